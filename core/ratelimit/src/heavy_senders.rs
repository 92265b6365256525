//! Finds the senders of a large part of a stream of datagrams, in constant memory and constant time per datagram.
//!
//! Invariant: a sender of more than a quarter of the datagrams of a window is reported at its end, and a sender of less
//! than an eighth is not. This follows from the algorithm of J. Misra and D. Gries, "Finding repeated elements",
//! Science of Computer Programming 2 (1982): with `k` counters, the count of a sender among `n` datagrams is too low by
//! at most `n / (k + 1)`.

use std::net::SocketAddr;

use crate::Ms;

/// Number of datagrams in a window.
const WINDOW: u32 = 256;
/// Number of counters, and so the maximum number of senders that one window can report.
const COUNTERS: usize = 8;
/// Lowest count with which a sender is reported. A sender of a quarter of the window has a count of at least
/// `256 / 4 - 256 / 9 = 35`.
const HEAVY_COUNT: u32 = WINDOW / 8;
/// A window that took longer to fill reports no sender: at less than 5,120 datagrams per second there is capacity for
/// all.
const MAX_WINDOW_MS: Ms = 50.0;

/// A possibly heavy sender, and a lower bound of its datagrams in this window.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    sender: SocketAddr,
    count: u32,
}

/// Watches one stream of datagrams for heavy senders.
#[derive(Debug)]
pub struct HeavySenders {
    candidates: Vec<Candidate>,
    observed: u32,
    started_at: Ms,
}

impl Default for HeavySenders {
    fn default() -> HeavySenders {
        HeavySenders { candidates: Vec::with_capacity(COUNTERS), observed: 0, started_at: 0.0 }
    }
}

impl HeavySenders {
    /// Counts a datagram. At the end of a window, returns its heavy senders. `now` must come from a monotonic clock.
    pub fn observe(&mut self, sender: SocketAddr, now: Ms) -> Vec<SocketAddr> {
        if self.observed == 0 {
            self.started_at = now;
        }
        self.observed += 1;
        self.count(sender);
        if self.observed < WINDOW {
            return Vec::new();
        }
        self.observed = 0;
        let is_fast = now - self.started_at <= MAX_WINDOW_MS;
        let ended = self.candidates.drain(..);
        ended.filter(|c| is_fast && c.count >= HEAVY_COUNT).map(|c| c.sender).collect()
    }

    fn count(&mut self, sender: SocketAddr) {
        if let Some(known) = self.candidates.iter_mut().find(|c| c.sender == sender) {
            known.count += 1;
        } else if self.candidates.len() < COUNTERS {
            self.candidates.push(Candidate { sender, count: 1 });
        } else {
            self.candidates.iter_mut().for_each(|c| c.count -= 1);
            self.candidates.retain(|c| c.count > 0);
        }
    }
}

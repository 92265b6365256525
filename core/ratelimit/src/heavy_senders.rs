//! Finds the senders that bring a large part of a stream of datagrams, in constant memory and time for each datagram.
//!
//! Invariant: whoever brings more than a quarter of the datagrams of a window is among the senders found at its end, and nobody
//! is found who brought less than an eighth of it. It rests on the algorithm of J. Misra and D. Gries, "Finding repeated
//! elements", Science of Computer Programming 2 (1982): with `k` counters, a count is too low by at most `n / (k + 1)`.

use std::net::SocketAddr;

use crate::Ms;

/// Datagrams of one window.
const WINDOW: u32 = 256;
/// Counters of a window, and so the senders at most that one window can find.
const COUNTERS: usize = 8;
/// A sender is found from this count on. The lowest count of a sender that brought a quarter of a window is
/// `256 / 4 - 256 / 9 = 35`.
const HEAVY_COUNT: u32 = WINDOW / 8;
/// A window that took longer to fill finds nobody: such a stream has room for all. It is 5,120 datagrams a second.
const MAX_WINDOW_MS: Ms = 50.0;

/// A sender that may be heavy, and a lower bound of what it brought in this window.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    sender: SocketAddr,
    count: u32,
}

/// Watches one stream of datagrams.
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
    /// Counts a datagram; at the end of a window, the senders that were heavy in it. `now` is in milliseconds of a clock that
    /// does not go back.
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

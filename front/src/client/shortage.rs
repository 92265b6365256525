//! Whether this machine could open connections a moment ago.
//!
//! While it can't, a request is not kept waiting for a connection that will not come: it is rejected at once, and told when to
//! return.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A shortage is taken to last for so long after it was last seen.
const MEMORY: Duration = Duration::from_millis(100);

/// The last shortage that a connection has given up over, shared by all connections.
#[derive(Clone, Debug)]
pub struct Shortage {
    epoch: Instant,
    /// Microseconds since the epoch until which it is taken to last.
    until_us: Arc<AtomicU64>,
}

impl Shortage {
    /// None has been seen yet.
    pub fn new(now: Instant) -> Shortage {
        Shortage { epoch: now, until_us: Arc::default() }
    }

    fn since_epoch(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.epoch).as_micros() as u64
    }

    /// A connection could not be opened for want of something on this machine.
    pub fn observe(&self, now: Instant) {
        self.until_us.fetch_max(self.since_epoch(now + MEMORY), Relaxed);
    }

    /// A connection was opened.
    pub fn end(&self) {
        self.until_us.store(0, Relaxed);
    }

    /// Whether it lasts, as far as is known.
    pub fn lasts(&self, now: Instant) -> bool {
        self.since_epoch(now) < self.until_us.load(Relaxed)
    }
}

#[cfg(test)]
mod tests;

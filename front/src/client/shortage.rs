//! Records whether this machine recently lacked the resources to open a connection.
//!
//! During a shortage a request does not wait for a connection that cannot be opened: it is rejected at once and told
//! when to retry.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a shortage is assumed to last after it was last reported.
const SHORTAGE_DURATION: Duration = Duration::from_millis(100);

/// The last shortage that made a connection give up, shared by all connections.
#[derive(Clone, Debug)]
pub struct Shortage {
    created_at: Instant,
    /// End of the shortage, in microseconds since creation.
    active_until_us: Arc<AtomicU64>,
}

impl Shortage {
    /// Creates the record, with no shortage reported.
    pub fn new(now: Instant) -> Shortage {
        Shortage { created_at: now, active_until_us: Arc::default() }
    }

    fn micros_since_creation(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created_at).as_micros() as u64
    }

    /// Reports that a connection could not be opened because this machine lacked a resource.
    pub fn report(&self, now: Instant) {
        self.active_until_us.fetch_max(self.micros_since_creation(now + SHORTAGE_DURATION), Relaxed);
    }

    /// Clears the shortage, since a connection was opened.
    pub fn clear(&self) {
        self.active_until_us.store(0, Relaxed);
    }

    /// Whether the shortage is assumed to last.
    pub fn is_active(&self, now: Instant) -> bool {
        self.micros_since_creation(now) < self.active_until_us.load(Relaxed)
    }
}

#[cfg(test)]
mod tests;

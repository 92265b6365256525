//! The longest deadline of any class since the start. Everything that must outlast every request depends on it: the
//! shutdown, the results kept for repeats, and the handover of keys. It never decreases, because a request admitted
//! before a reload may still be open.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use elmtide::Ms;

/// A shared handle to the longest deadline.
#[derive(Clone, Debug)]
pub struct Longest(Arc<AtomicU64>);

impl Longest {
    pub fn new(deadline: Ms) -> Longest {
        let longest = Longest(Arc::default());
        longest.raise(deadline);
        longest
    }

    /// Records the deadline of a class.
    pub fn raise(&self, deadline: Ms) {
        self.0.fetch_max((deadline.max(0.0) * 1000.0).ceil() as u64, Relaxed);
    }

    /// The longest deadline as a `Duration`.
    pub fn span(&self) -> Duration {
        Duration::from_micros(self.0.load(Relaxed))
    }

    /// The longest deadline in milliseconds.
    pub fn ms(&self) -> Ms {
        self.0.load(Relaxed) as f64 / 1000.0
    }
}

//! The longest deadline that any class has had since the start: what must outlast every request (the end of the process,
//! the results that are kept for repeats, keys that change hands) goes by it. A reload may raise it while the longest request
//! of before is still open, so it never falls.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use elmtide::Ms;

/// Shared by all who go by it.
#[derive(Clone, Debug)]
pub struct Longest(Arc<AtomicU64>);

impl Longest {
    pub fn new(deadline: Ms) -> Longest {
        let longest = Longest(Arc::default());
        longest.raise(deadline);
        longest
    }

    /// There is a class with this deadline from now on.
    pub fn raise(&self, deadline: Ms) {
        self.0.fetch_max((deadline.max(0.0) * 1000.0).ceil() as u64, Relaxed);
    }

    /// The same as a span.
    pub fn span(&self) -> Duration {
        Duration::from_micros(self.0.load(Relaxed))
    }

    pub fn ms(&self) -> Ms {
        self.0.load(Relaxed) as f64 / 1000.0
    }
}

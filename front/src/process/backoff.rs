//! Pauses between tries that fail one after the other.

use std::time::Duration;

/// A pause that grows with each failure in a row, up to a limit.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// The first pause, and the longest.
    pub fn new(first: Duration, longest: Duration) -> Backoff {
        Backoff { first, longest, next: first }
    }

    /// A try has failed: how long to wait before the next one.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.longest);
        pause
    }

    /// A try went well.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

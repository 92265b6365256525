//! Exponential backoff between consecutive failed attempts.

use std::time::Duration;

/// A pause that doubles with each consecutive failure, up to a maximum.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts at `first` and never exceeds `max`.
    pub fn new(first: Duration, max: Duration) -> Backoff {
        Backoff { first, max, next: first }
    }

    /// Records a failed attempt and returns the pause before the next one.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max);
        pause
    }

    /// Records a successful attempt: the next pause is the first one again.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

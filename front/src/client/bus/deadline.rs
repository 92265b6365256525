//! When reading an answer of the bus counts as silent.
//!
//! Each limit is on the time without progress, never on the whole answer: a front asks for the same answer again, so a
//! limit that one answer exceeds would be exceeded by every answer after it.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::LONG_POLL_WAIT_MS;

/// Limits the wait for the first byte of an answer.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(LONG_POLL_WAIT_MS + 400);
/// Limits the wait for more bytes of an answer: the bus may stall in the middle of an event and keep the connection open.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Limits the time for one event, however its bytes are spread over it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The deadline for the next byte on one connection.
#[derive(Debug)]
pub struct ProgressDeadline {
    next_byte: Cell<Instant>,
    /// The deadline for the end of the current event; `None` before the first byte of an answer.
    event_end: Cell<Option<Instant>>,
    /// Replaces all other limits once the connection is the patient one: the time for each event.
    patience: Cell<Option<Duration>>,
}

impl ProgressDeadline {
    /// The deadline for the answer to a request that is written now.
    pub fn after_request(now: Instant) -> ProgressDeadline {
        ProgressDeadline {
            next_byte: Cell::new(now + FIRST_BYTE_TIMEOUT),
            event_end: Cell::new(None),
            patience: Cell::new(None),
        }
    }

    /// From now on only this limits the time for each event, however its bytes are spread over it.
    pub fn set_patience(&self, now: Instant, patience: Duration) {
        self.patience.set(Some(patience));
        self.next_byte.set(now + patience);
    }

    /// Another request is written.
    pub fn on_request(&self, now: Instant) {
        if let Some(patience) = self.patience.get() {
            return self.next_byte.set(now + patience);
        }
        self.next_byte.set(now + FIRST_BYTE_TIMEOUT);
        self.event_end.set(None);
    }

    /// Bytes have arrived.
    pub fn on_bytes(&self, now: Instant) {
        if self.patience.get().is_some() {
            return;
        }
        let event_end = self.event_end.get().unwrap_or(now + EVENT_TIMEOUT);
        self.event_end.set(Some(event_end));
        self.next_byte.set(event_end.min(now + STALL_TIMEOUT));
    }

    /// An event is complete.
    pub fn on_event(&self, now: Instant) {
        if let Some(patience) = self.patience.get() {
            return self.next_byte.set(now + patience);
        }
        self.event_end.set(Some(now + EVENT_TIMEOUT));
        self.next_byte.set(now + STALL_TIMEOUT);
    }

    /// Time left for the next byte; zero once the connection counts as silent.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.next_byte.get().saturating_duration_since(now)
    }
}

#[cfg(test)]
mod tests;

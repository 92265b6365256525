//! Events of one answer that have arrived before an earlier one.
//!
//! Invariant: an event is released only after every earlier event of the answer. Its memory is bounded: if more is pending,
//! the events with the highest numbers are dropped, and they are asked for again from the last event released.

use std::collections::BTreeMap;

use crate::wire::bus::batch::NumberedEvent;

/// Bound on the encoded length of the pending events, except for the earliest one.
const MAX_PENDING_BYTES: usize = 1 << 20;

/// The events of one answer that can't be applied yet.
#[derive(Debug, Default)]
pub struct PendingEvents {
    events: BTreeMap<u64, NumberedEvent>,
    encoded_bytes: usize,
    /// Number of the earliest event that was dropped: no event from there on may be released.
    first_dropped: Option<u64>,
}

impl PendingEvents {
    /// Adds an event.
    pub fn insert(&mut self, event: NumberedEvent) {
        if self.first_dropped.is_some_and(|first| event.number >= first) {
            return;
        }
        self.encoded_bytes += event.encoded_bytes;
        if let Some(repeated) = self.events.insert(event.number, event) {
            self.encoded_bytes -= repeated.encoded_bytes;
        }
        while self.encoded_bytes > MAX_PENDING_BYTES && self.events.len() > 1 {
            self.drop_last();
        }
    }

    fn drop_last(&mut self) {
        if let Some((number, dropped)) = self.events.pop_last() {
            self.encoded_bytes -= dropped.encoded_bytes;
            self.first_dropped = Some(number);
        }
    }

    /// Releases the event with this number if it has arrived: the caller knows that none is missing before it.
    pub fn release(&mut self, number: u64) -> Option<NumberedEvent> {
        let event = self.events.remove(&number)?;
        self.encoded_bytes -= event.encoded_bytes;
        Some(event)
    }

    /// Releases all pending events in order: the answer is complete, so none can arrive before them.
    pub fn release_all(&mut self) -> impl Iterator<Item = NumberedEvent> {
        self.encoded_bytes = 0;
        std::mem::take(&mut self.events).into_values()
    }

    /// Whether no event of the answer was dropped.
    pub fn has_all(&self) -> bool {
        self.first_dropped.is_none()
    }

    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

#[cfg(test)]
mod tests;

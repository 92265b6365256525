//! Decodes a batch of events as it arrives: each event is passed on when its last byte is there, and memory is bounded by
//! the largest event, not by the length of the batch.

use std::cell::Cell;
use std::fmt;
use std::io::{self, ErrorKind, Read};
use std::ops::ControlFlow;

use serde::de::{DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use super::{Event, EventError};

/// An element of a batch.
#[derive(Debug)]
pub struct NumberedEvent {
    pub number: u64,
    /// Its length in the batch.
    pub encoded_bytes: usize,
    /// An event that can't be used does not hold up the ones after it.
    pub event: Result<Event, EventError>,
}

/// Why reading a batch ended early. Events that were passed on before remain valid.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    #[error("{0}")]
    Io(io::Error),
    #[error("invalid JSON: {0}")]
    Json(serde_json::Error),
    #[error("an event is longer than {0} bytes")]
    EventTooLong(usize),
    #[error("offset is missing or not a number")]
    NoOffset,
    #[error("batch is missing")]
    NoEvents,
    /// The receiver of the events asked to stop.
    #[error("stopped")]
    Stopped,
}

/// Receives the events of a batch in the order in which they arrive.
pub trait EventReceiver {
    /// Takes an event; `Break` ends the reading.
    fn receive(&mut self, event: NumberedEvent) -> ControlFlow<()>;
}

/// Reads a batch to the end of `source`. Returns the number of the last event that the bus has.
pub fn read_batch(
    source: impl Read,
    max_event_bytes: usize,
    receiver: &mut dyn EventReceiver,
) -> Result<u64, BatchError> {
    let progress = Progress { remaining: Cell::new(max_event_bytes), stopped: Cell::new(false) };
    let limited = LimitedReader { source, remaining: &progress.remaining };
    let mut json = serde_json::Deserializer::from_reader(limited);
    let seed = BatchSeed { progress: &progress, max_event_bytes, receiver };
    let decoded = seed.deserialize(&mut json).and_then(|envelope| json.end().map(|()| envelope));
    match decoded {
        Ok(Envelope { has_events: false, .. }) => Err(BatchError::NoEvents),
        Ok(Envelope { offset, .. }) => offset.ok_or(BatchError::NoOffset),
        Err(_) if progress.stopped.get() => Err(BatchError::Stopped),
        Err(_) if progress.remaining.get() == 0 => Err(BatchError::EventTooLong(max_event_bytes)),
        Err(error) if error.is_io() => Err(BatchError::Io(error.into())),
        Err(error) => Err(BatchError::Json(error)),
    }
}

/// What the parts of the decoder share.
struct Progress {
    /// Bytes that may still be read before the end of the current event.
    remaining: Cell<usize>,
    stopped: Cell<bool>,
}

/// Fails once `remaining` bytes have been read.
struct LimitedReader<'a, R> {
    source: R,
    remaining: &'a Cell<usize>,
}

impl<R: Read> Read for LimitedReader<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let limit = self.remaining.get().min(buffer.len());
        if limit == 0 && !buffer.is_empty() {
            return Err(ErrorKind::FileTooLarge.into());
        }
        let received = self.source.read(&mut buffer[..limit])?;
        self.remaining.set(self.remaining.get() - received);
        Ok(received)
    }
}

/// The parts of a batch beside its events.
struct Envelope {
    offset: Option<u64>,
    has_events: bool,
}

struct BatchSeed<'a> {
    progress: &'a Progress,
    max_event_bytes: usize,
    receiver: &'a mut dyn EventReceiver,
}

impl<'de> DeserializeSeed<'de> for BatchSeed<'_> {
    type Value = Envelope;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Envelope, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for BatchSeed<'_> {
    type Value = Envelope;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an object with offset and batch")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Envelope, A::Error> {
        let mut envelope = Envelope { offset: None, has_events: false };
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "offset" => envelope.offset = map.next_value::<Value>()?.as_u64(),
                "batch" => {
                    map.next_value_seed(EventsSeed {
                        progress: self.progress,
                        max_event_bytes: self.max_event_bytes,
                        receiver: &mut *self.receiver,
                    })?;
                    envelope.has_events = true;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(envelope)
    }
}

struct EventsSeed<'a> {
    progress: &'a Progress,
    max_event_bytes: usize,
    receiver: &'a mut dyn EventReceiver,
}

impl<'de> DeserializeSeed<'de> for EventsSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EventsSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of events")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut events: A) -> Result<(), A::Error> {
        while let Some(encoded) = events.next_element::<Box<RawValue>>()? {
            self.progress.remaining.set(self.max_event_bytes);
            let Some(event) = decode(encoded.get()) else {
                eprintln!("bus: ignoring an event without a number");
                continue;
            };
            if self.receiver.receive(event).is_break() {
                self.progress.stopped.set(true);
                return Err(A::Error::custom("stopped"));
            }
        }
        Ok(())
    }
}

/// The number of an event, whatever else it has.
#[derive(Deserialize)]
struct EventNumber {
    offset: Value,
}

fn decode(encoded: &str) -> Option<NumberedEvent> {
    let number = serde_json::from_str::<EventNumber>(encoded).ok()?.offset.as_u64()?;
    let event = serde_json::from_str::<Event>(encoded).map_err(EventError::from);
    Some(NumberedEvent { number, encoded_bytes: encoded.len(), event })
}

#[cfg(test)]
mod tests;

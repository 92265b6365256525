//! Reads one answer of the bus from a connection, and applies its events as they arrive.

use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::applier::EventApplier;
use super::deadline::ProgressDeadline;
use super::pending::PendingEvents;
use super::LONG_POLL_WAIT_MS;
use crate::wire::bus::batch::{read_batch, BatchError, EventReceiver, NumberedEvent};
use crate::wire::bus::encode_read_request;
use crate::wire::http::{self, ResponseHead};
use crate::wire::http_body::{is_blank, read_line, BodyReader};

/// Bound on one event: 1 KiB for each server that an event may have. Longer events are skipped.
const MAX_EVENT_BYTES: usize = 16 << 20;

/// Read at once. Events that arrive together are merged.
const READ_BYTES: usize = 64 * 1024;

/// Why the bus could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("the address of the bus has changed")]
    AddressChanged,
    #[error("connect: {0}")]
    Connect(io::Error),
    #[error("write: {0}")]
    Write(io::Error),
    #[error("{0}")]
    Receive(#[from] io::Error),
    #[error("{0}")]
    InvalidHead(String),
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Batch(BatchError),
    #[error("silent")]
    Silent,
    #[error("the reader panicked")]
    Panicked,
}

/// What follows an answer that was read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// The connection takes the next request.
    KeepAlive,
    /// The connection is closed.
    Close,
    /// The engine has stopped.
    EngineStopped,
}

/// The applier, shared by all connections to the bus.
pub fn lock(applier: &Mutex<EventApplier>) -> MutexGuard<'_, EventApplier> {
    applier.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A connection to the bus.
pub struct Connection<'a> {
    input: BufReader<TimedStream<'a>>,
    deadline: Rc<ProgressDeadline>,
    applier: &'a Mutex<EventApplier>,
    host: String,
}

/// Asked when a connection counts as silent.
pub trait OnSilence {
    /// How much longer the connection is waited for; `None` if it is closed.
    fn on_silence(&self) -> Option<Duration>;
}

impl<'a> Connection<'a> {
    /// `patience` is set if the connection may be silent for so long from the start.
    pub fn new(
        stream: &'a TcpStream,
        host: String,
        applier: &'a Mutex<EventApplier>,
        silence: &'a dyn OnSilence,
        patience: Option<Duration>,
    ) -> Connection<'a> {
        let now = Instant::now();
        let deadline = Rc::new(ProgressDeadline::after_request(now));
        if let Some(patience) = patience {
            deadline.set_patience(now, patience);
        }
        let timed = TimedStream { stream, deadline: deadline.clone(), applier, silence };
        let input = BufReader::with_capacity(READ_BYTES, timed);
        Connection { input, deadline, applier, host }
    }

    /// Asks for the events after the last one applied, and applies what the answer has.
    pub fn read_events(&mut self) -> Result<AfterAnswer, ReadError> {
        let (last_event, asked_at) = (lock(self.applier).last_event(), Instant::now());
        let request = encode_read_request(&self.host, last_event, LONG_POLL_WAIT_MS);
        let mut stream = self.input.get_ref().stream;
        stream.write_all(request.as_bytes()).map_err(ReadError::Write)?;
        self.deadline.on_request(Instant::now());
        let head = self.read_head()?;
        if head.status != 200 {
            return Err(ReadError::Status(head.status));
        }
        self.apply_body(&head, last_event, asked_at)
    }

    fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        let mut bytes = Vec::new();
        loop {
            let line = read_line(&mut self.input, http::MAX_HEAD_BYTES.saturating_sub(bytes.len()))?;
            bytes.extend_from_slice(&line);
            if let Some(head) = http::parse_response_head(&bytes).map_err(ReadError::InvalidHead)? {
                return Ok(head);
            }
            if is_blank(&line) {
                return Err(ReadError::InvalidHead("the head is empty".into()));
            }
        }
    }

    fn apply_body(
        &mut self,
        head: &ResponseHead,
        asked_from: u64,
        asked_at: Instant,
    ) -> Result<AfterAnswer, ReadError> {
        let mut receiver = OrderedReceiver::new(self.applier, &self.deadline, asked_from);
        let mut body = BodyReader::new(&mut self.input, head.body);
        match read_batch(&mut body, MAX_EVENT_BYTES, &mut receiver) {
            Ok(offset) if receiver.finish(offset, asked_at).is_break() => Ok(AfterAnswer::EngineStopped),
            Ok(_) if head.keep_alive => Ok(AfterAnswer::KeepAlive),
            Ok(_) => Ok(AfterAnswer::Close),
            Err(BatchError::Stopped) => Ok(AfterAnswer::EngineStopped),
            Err(error) => {
                if matches!(error, BatchError::EventTooLong(_)) {
                    receiver.skip_unreadable_event();
                }
                Err(ReadError::Batch(error))
            }
        }
    }
}

/// A stream whose reads fail once the connection counts as silent. Before a read may block, what has arrived is passed to
/// the engine.
struct TimedStream<'a> {
    stream: &'a TcpStream,
    deadline: Rc<ProgressDeadline>,
    applier: &'a Mutex<EventApplier>,
    silence: &'a dyn OnSilence,
}

impl Read for TimedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        // If the engine has stopped, the next event ends the reading.
        let _ = lock(self.applier).flush();
        loop {
            let mut remaining = self.deadline.remaining(Instant::now());
            if remaining.is_zero() {
                let patience = self.silence.on_silence();
                remaining = patience.ok_or_else(|| io::Error::new(ErrorKind::TimedOut, ReadError::Silent))?;
                self.deadline.set_patience(Instant::now(), remaining);
            }
            self.stream.set_read_timeout(Some(remaining))?;
            match self.stream.read(buffer) {
                Ok(received) => {
                    self.deadline.on_bytes(Instant::now());
                    return Ok(received);
                }
                // After SIGSTOP and SIGCONT every read with a timeout fails with Interrupted.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => {}
                Err(e) => return Err(io::Error::new(e.kind(), format!("read: {e}"))),
            }
        }
    }
}

/// Applies the events of one answer in the order of their numbers, whatever the order in the answer.
struct OrderedReceiver<'a> {
    applier: &'a Mutex<EventApplier>,
    pending: PendingEvents,
    deadline: &'a ProgressDeadline,
    /// The highest number in the answer so far, or the one that was asked from.
    highest: u64,
}

impl EventReceiver for OrderedReceiver<'_> {
    fn receive(&mut self, event: NumberedEvent) -> ControlFlow<()> {
        self.deadline.on_event(Instant::now());
        self.highest = self.highest.max(event.number);
        let mut applier = lock(self.applier);
        if event.number <= applier.last_event() {
            return ControlFlow::Continue(());
        }
        self.pending.insert(event);
        // Numbers are consecutive, so nothing can be missing before the next one.
        while let Some(next) = self.pending.release(applier.last_event() + 1) {
            applier.apply(next.number, next.event)?;
        }
        ControlFlow::Continue(())
    }
}

impl<'a> OrderedReceiver<'a> {
    /// A receiver for the answer to a request for the events after `asked_from`.
    fn new(
        applier: &'a Mutex<EventApplier>,
        deadline: &'a ProgressDeadline,
        asked_from: u64,
    ) -> OrderedReceiver<'a> {
        OrderedReceiver { applier, pending: PendingEvents::default(), deadline, highest: asked_from }
    }

    /// Applies the rest of an answer that is complete. `offset` is the number of the last event that the bus has.
    fn finish(&mut self, offset: u64, asked_at: Instant) -> ControlFlow<()> {
        let mut applier = lock(self.applier);
        for event in self.pending.release_all() {
            applier.apply(event.number, event.event)?;
        }
        applier.flush()?;
        if self.pending.has_all() {
            applier.advance_to(offset);
            applier.record_complete(asked_at);
        }
        applier.record_heard();
        ControlFlow::Continue(())
    }

    /// Skips an event that is too long to be read: it would be sent again in each answer, and hold up all later ones.
    fn skip_unreadable_event(&self) {
        let number = self.highest + 1;
        let mut applier = lock(self.applier);
        // Where events are pending, an earlier one may follow the unreadable one; and another connection may have gone on.
        if self.pending.is_empty() && applier.last_event() + 1 == number {
            eprintln!("bus: event {number} can't be used: longer than {MAX_EVENT_BYTES} bytes");
            applier.advance_to(number);
        }
    }
}

#[cfg(test)]
mod tests;

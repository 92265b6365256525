//! One connection to a cache node: a writer thread and a reader thread around the decisions of `streams`.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide::{MemberId, Note, Outcome};

use crate::client::shortage::Shortage;
use crate::client::streams::{CheckResult, NewStream, Purpose, StreamId, Streams, WriteDecision};
use crate::exchange::{AttemptEnd, AttemptKey, Input, Progress, ServedCopy, Token};
use crate::memory::counters::Counters;
use crate::process::backoff::Backoff;
use crate::process::socket_error::{remedy, Call, Remedy};
use crate::process::spawn;
use crate::wire::lines::{Answer, Word, MAX_LINE_BYTES};

/// Initial buffer capacity for an answer.
const INITIAL_ANSWER_CAPACITY: usize = 64 * 1024;
/// Maximum number of frames that wait for the writer.
const MAX_QUEUED_FRAMES: usize = 512;
/// A peer that accepts no bytes for this long is given up; the request being written stays incomplete.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long connecting is retried during a resource shortage. A brief shortage is waited out; a lasting one must not
/// keep a request waiting.
const SHORTAGE_RETRY_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay between the first two attempts to connect during a resource shortage.
const MIN_CONNECT_RETRY_DELAY: Duration = Duration::from_millis(2);
const MAX_CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes for the writer: those of a new stream (with its id), or a message about one that has already been written.
#[derive(Debug)]
struct Frame {
    tag: Token,
    id: Option<StreamId>,
    bytes: Vec<u8>,
}

/// The state of a connection that the pool and both threads share.
#[derive(Debug)]
pub struct Connection {
    streams: Mutex<Streams>,
    frames: Sender<Frame>,
    /// Number of reads from the socket so far.
    read_count: AtomicU64,
    socket: Mutex<Option<Arc<TcpStream>>>,
}

/// The node to connect to, with the limits of the connection.
pub struct Peer {
    pub addr: SocketAddr,
    pub connect_timeout: Duration,
    /// Checks without a byte received before the first ping.
    pub checks_before_ping: u32,
    /// A request that has waited longer than this to be written is no longer written.
    pub max_write_delay: Duration,
    /// Whether this machine lacks a resource that a connection needs.
    pub shortage: Shortage,
}

/// What caused the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCause {
    /// The peer, or the network path to it.
    Peer,
    /// This machine lacked a resource before anything was written.
    LocalShortage,
}

impl Connection {
    /// Creates the connection and starts its writer thread, which connects.
    pub fn open(peer: Peer, inputs: Sender<Input>, counters: Arc<Counters>) -> io::Result<Arc<Connection>> {
        let (frames, queue) = bounded(MAX_QUEUED_FRAMES);
        let streams = Mutex::new(Streams::new(peer.checks_before_ping, peer.max_write_delay, Instant::now()));
        let read_count = AtomicU64::new(0);
        let connection = Arc::new(Connection { streams, frames, read_count, socket: Mutex::new(None) });
        let writer = connection.clone();
        spawn("node-writer", move || {
            // A panic is confined to the connection: its open streams are still reported as ended.
            let run = || writer.write(&peer, &queue, &inputs, &counters);
            let cause = catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| {
                eprintln!("node {}: connection closed after a panic", peer.addr);
                EndCause::Peer
            });
            writer.close(&inputs, cause);
        })?;
        Ok(connection)
    }

    fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues a request; false if this connection can't accept it now.
    pub fn try_send(&self, new_stream: &NewStream<'_>, bytes: Vec<u8>) -> bool {
        let mut streams = self.streams();
        if !streams.can_accept(new_stream) {
            return false;
        }
        let frame = Frame { tag: new_stream.tag.clone(), id: Some(streams.next_id()), bytes };
        if self.frames.try_send(frame).is_err() {
            return false;
        }
        streams.open(new_stream, Instant::now());
        true
    }

    /// Abandons an attempt and returns how far it had come; `None` if it is not open here.
    pub fn abandon(&self, tag: &Token, key: AttemptKey, cancel_line: Vec<u8>) -> Option<Progress> {
        let progress = self.streams().abandon(tag, key, Instant::now())?;
        if progress != Progress::NotConnected {
            let _ = self.frames.try_send(Frame { tag: tag.clone(), id: None, bytes: cancel_line });
        }
        Some(progress)
    }

    /// Withdraws an attempt if nothing of it has been written; it is then never written.
    pub fn withdraw(&self, tag: &Token, key: AttemptKey) -> bool {
        self.streams().withdraw(tag, key)
    }

    /// Withdraws the unwritten attempts that a lost member would serve or fill.
    pub fn withdraw_from(&self, is_lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        self.streams().withdraw_from(is_lost)
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self, tag: &Token, key: AttemptKey) -> bool {
        self.streams().may_have_run(tag, key)
    }

    /// Accepts no new requests from now on.
    pub fn retire(&self) {
        self.streams().retire();
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.streams().is_closed()
    }

    /// Checks a connection with unanswered attempts: sends a ping, or closes it if it no longer works.
    /// Everything in flight on it may have run.
    pub fn check(&self, ping: &Token, ping_line: Option<Vec<u8>>) {
        let mut streams = self.streams();
        match streams.check(self.read_count.load(Relaxed), ping_line.is_some()) {
            CheckResult::Keep => {}
            CheckResult::SendPing => {
                streams.open_ping(ping, Instant::now());
                let bytes = ping_line.unwrap_or_default();
                let _ = self.frames.try_send(Frame { tag: ping.clone(), id: None, bytes });
            }
            CheckResult::Close => {
                drop(streams);
                self.shut_down();
            }
        }
    }

    /// Closes the connection if it has been idle for the timeout, or is retired and idle; true if it is closed.
    pub fn close_if_idle(&self, idle_timeout: Duration) -> bool {
        let mut streams = self.streams();
        if streams.close_if_idle(idle_timeout, Instant::now()) {
            drop(streams);
            self.shut_down();
            return true;
        }
        streams.is_closed()
    }

    /// Shuts the socket down and wakes the writer.
    fn shut_down(&self) {
        if let Some(socket) = self.socket.lock().unwrap_or_else(|p| p.into_inner()).take() {
            let _ = socket.shutdown(Shutdown::Both);
        }
        // Wakes a writer that waits for frames; a writer with a full queue is not waiting.
        if let Some(wake_tag) = Token::new(b"-") {
            let _ = self.frames.try_send(Frame { tag: wake_tag, id: None, bytes: Vec::new() });
        }
    }

    /// Closes the connection and reports the end of all its open streams.
    fn close(&self, inputs: &Sender<Input>, cause: EndCause) {
        let (open, closed_by_us) = {
            let mut streams = self.streams();
            (streams.close().collect::<Vec<_>>(), streams.is_closed_by_us())
        };
        self.shut_down();
        let to_end = match cause {
            EndCause::LocalShortage => |_| AttemptEnd::NotSent,
            EndCause::Peer if closed_by_us => AttemptEnd::Abandoned,
            EndCause::Peer => AttemptEnd::ConnectionFailed,
        };
        open.into_iter().for_each(|(purpose, progress)| report_end(purpose, progress, to_end, inputs));
    }

    /// Connects, and retries for a limited time while this machine lacks a resource.
    fn connect(&self, peer: &Peer) -> Result<TcpStream, EndCause> {
        // The requests that wait for the connection would not be written later than that either.
        let deadline = Instant::now() + peer.max_write_delay.min(SHORTAGE_RETRY_TIMEOUT);
        let mut backoff = Backoff::new(MIN_CONNECT_RETRY_DELAY, MAX_CONNECT_RETRY_DELAY);
        loop {
            let error = match TcpStream::connect_timeout(&peer.addr, peer.connect_timeout) {
                Ok(socket) => {
                    peer.shortage.clear();
                    return Ok(socket);
                }
                Err(error) => error,
            };
            match remedy(Call::Connect, &error) {
                Remedy::RetryNow | Remedy::BackOff if Instant::now() < deadline && !self.is_closed() => {
                    std::thread::sleep(backoff.pause());
                }
                Remedy::RetryNow | Remedy::BackOff => {
                    peer.shortage.report(Instant::now());
                    return Err(EndCause::LocalShortage);
                }
                Remedy::WaitUntilReady | Remedy::DropConnection | Remedy::GiveUp => {
                    return Err(EndCause::Peer)
                }
            }
        }
    }

    /// Connects, starts the reader, and writes frames until the connection ends.
    fn write(
        self: &Arc<Self>,
        peer: &Peer,
        queue: &Receiver<Frame>,
        inputs: &Sender<Input>,
        counters: &Counters,
    ) -> EndCause {
        let socket = match self.connect(peer) {
            Ok(socket) => socket,
            Err(cause) => return cause,
        };
        counters.node_connections.fetch_add(1, Relaxed);
        let _ = socket.set_nodelay(true);
        let _ = socket.set_write_timeout(Some(WRITE_TIMEOUT));
        let socket = Arc::new(socket);
        *self.socket.lock().unwrap_or_else(|p| p.into_inner()) = Some(socket.clone());
        let (connection, input, reader) = (self.clone(), inputs.clone(), socket.clone());
        let reader_thread = spawn("node-reader", move || {
            let run = || connection.read(&reader, &input);
            if catch_unwind(AssertUnwindSafe(run)).is_err() {
                eprintln!("node connection: reader stopped after a panic");
            }
            connection.close(&input, EndCause::Peer);
        });
        if reader_thread.is_err() {
            return EndCause::LocalShortage;
        }
        while let Ok(Frame { tag, id, bytes }) = queue.recv() {
            let decision = self.streams().begin_write(&tag, id, Instant::now());
            let tally = match decision {
                WriteDecision::Closed => break,
                WriteDecision::Skip => continue,
                WriteDecision::Expired(purpose) => {
                    report_end(purpose, Progress::NotConnected, AttemptEnd::ConnectionFailed, inputs);
                    continue;
                }
                WriteDecision::Write(tally) => tally,
            };
            if write_up_to_failure(&socket, &bytes) < bytes.len() {
                self.streams().mark_partly_written(&tag);
                break;
            }
            if let Some(tally) = tally {
                tally.attempts.fetch_add(1, Relaxed);
            }
        }
        EndCause::Peer
    }

    /// Reads answers and reports them until the connection ends.
    fn read(&self, socket: &TcpStream, inputs: &Sender<Input>) {
        let mut reader = BufReader::with_capacity(16 * 1024, CountingReader(socket, &self.read_count));
        let mut line = Vec::new();
        loop {
            line.clear();
            match reader.fill_buf() {
                Ok([]) => return,
                Ok(partial) if !partial.contains(&b'\n') => self.streams().line_started(),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return,
            }
            let received = (&mut reader).take(MAX_LINE_BYTES as u64).read_until(b'\n', &mut line);
            if !matches!(received, Ok(n) if n > 0) || line.last() != Some(&b'\n') {
                return;
            }
            let Ok(answer) = Answer::parse(&line) else {
                eprintln!("node connection: closed because an answer could not be parsed");
                return;
            };
            let Some(tag) = Token::new(answer.id.as_bytes()) else { return };
            self.streams().answer_started(&tag);
            let mut line_end = [0; 2];
            let received = read_body(&mut reader, answer.length);
            let is_complete = received.is_ok() && reader.read_exact(&mut line_end).is_ok();
            if !is_complete || line_end != *b"\r\n" {
                return;
            }
            let completed = {
                let mut streams = self.streams();
                let completed = streams.answer_completed(&tag, Instant::now());
                // Bytes received after this answer are recorded before anyone can act on the answer.
                if !reader.buffer().is_empty() {
                    streams.line_started();
                }
                completed
            };
            let (Some(answered_stream), Ok(bytes)) = (completed, received) else { continue };
            let input = match answered_stream.purpose {
                Purpose::Abandoned | Purpose::Ping => continue,
                Purpose::Probe(member) => {
                    let outcome = if answer.word == Word::Pong { Outcome::Ok } else { Outcome::Error };
                    Input::Probed {
                        member,
                        outcome,
                        latency: answered_stream.since.elapsed().as_secs_f64() * 1000.0,
                    }
                }
                Purpose::Attempt(key) => Input::AttemptEnded { key, end: attempt_end(&answer, bytes) },
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    }
}

/// Counts the reads from the socket.
struct CountingReader<'a>(&'a TcpStream, &'a AtomicU64);

impl Read for CountingReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let received = self.0.read(buffer)?;
        self.1.fetch_add(1, Relaxed);
        Ok(received)
    }
}

/// Reads a body of this length. Memory is allocated as bytes arrive, not by the announced length: at first a part, then
/// as much again as four times that, then by doubling.
fn read_body(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let first = length.min(INITIAL_ANSWER_CAPACITY);
    let mut bytes = Vec::with_capacity(first);
    reader.take(first as u64).read_to_end(&mut bytes)?;
    if bytes.len() == first && length > first {
        bytes.reserve_exact((length - first).min(4 * INITIAL_ANSWER_CAPACITY));
        reader.take((length - first) as u64).read_to_end(&mut bytes)?;
    }
    match bytes.len() == length {
        true => Ok(bytes),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Writes until done or the connection fails; returns the number of bytes written.
fn write_up_to_failure(mut socket: &TcpStream, bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        match socket.write(&bytes[written..]) {
            Ok(0) => break,
            Ok(n) => written += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    written
}

/// Reports to the engine that the connection failed for this stream.
fn report_end(
    purpose: Purpose,
    progress: Progress,
    to_end: fn(Progress) -> AttemptEnd,
    inputs: &Sender<Input>,
) {
    let input = match purpose {
        Purpose::Attempt(key) => Input::AttemptEnded { key, end: to_end(progress) },
        Purpose::Probe(member) => match to_end(progress) {
            // Nothing was sent, so nothing is known about the member.
            AttemptEnd::NotSent => return,
            _ => Input::Probed { member, outcome: progress.outcome_if_broken(), latency: 0.0 },
        },
        Purpose::Abandoned | Purpose::Ping => return,
    };
    let _ = inputs.send(input);
}

/// Converts an answer into the end of an attempt, in the decision module's terms.
fn attempt_end(answer: &Answer<'_>, bytes: Vec<u8>) -> AttemptEnd {
    let note = match answer.field("remark") {
        Some("local") => Note::Hit,
        Some("pulled") => Note::Filled,
        Some("pulled_far") => Note::FilledByOrigin,
        Some("rode") => Note::Joined,
        Some("expired") => Note::Stale,
        Some("turned_away") => Note::SourceRefused,
        Some("cut_off") => Note::SourceLost,
        Some("not_there") => Note::SourceLacks,
        Some("no_place") => Note::NoFillPlace,
        Some("far_fault") => Note::OriginFailed,
        _ => Note::Absent,
    };
    let outcome = match answer.word {
        Word::Hit | Word::Valid => Outcome::Ok,
        Word::None => Outcome::Miss,
        Word::Shed => Outcome::Full,
        Word::Late => Outcome::Moot,
        Word::Fault | Word::Pong | Word::Sick => Outcome::Error,
    };
    let digest = answer.field("digest").and_then(|d| Token::new(d.as_bytes()));
    let client_has_it = answer.word == Word::Valid;
    let copy = (outcome == Outcome::Ok).then_some(ServedCopy { bytes, digest, client_has_it });
    AttemptEnd::Answered { outcome, note, copy }
}

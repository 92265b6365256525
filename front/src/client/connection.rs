//! One connection to a cache node: a thread that writes and one that reads, around what `streams` decides.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide::{MemberId, Note, Outcome};

use crate::client::shortage::Shortage;
use crate::client::streams::{Admitted, Look, Opening, Purpose, Streams, Turn};
use crate::exchange::{AttemptEnd, AttemptKey, Input, Progress, ServedCopy, Token};
use crate::memory::counters::Counters;
use crate::process::backoff::Backoff;
use crate::process::socket_error::{remedy, Call, Remedy};
use crate::process::spawn;
use crate::wire::lines::{Answer, Word, MAX_LINE_BYTES};

/// What an answer is given to begin with.
const FIRST_BYTES: usize = 64 * 1024;
/// Frames that wait for the writer at most.
const QUEUE: usize = 512;
/// A peer that takes in nothing for so long is given up; what it was being sent is not whole.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A shortage of a moment is waited out; one that lasts is no reason to keep a request waiting.
const SHORTAGE_PATIENCE: Duration = Duration::from_millis(250);
/// Pauses between tries to connect while this machine is short of something: the first, and the longest.
const CONNECT_PAUSE: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(20));

/// Bytes for the writer: those of an opening, or what is said of one that is written already.
#[derive(Debug)]
struct Frame {
    tag: Token,
    turn: Option<Turn>,
    bytes: Vec<u8>,
}

/// The part of a connection that the pool and both threads share.
#[derive(Debug)]
pub struct Connection {
    streams: Mutex<Streams>,
    frames: Sender<Frame>,
    /// How often bytes have come.
    reads: AtomicU64,
    stream: Mutex<Option<Arc<TcpStream>>>,
}

pub struct Peer {
    pub addr: SocketAddr,
    pub connect_timeout: Duration,
    /// Looks without a byte until it is first asked whether it is still there.
    pub patience: u32,
    /// What has waited so long to be written is not written any more.
    pub stale: Duration,
    /// Whether this machine is short of what a connection takes.
    pub shortage: Shortage,
}

/// Whose doing the end of a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndCause {
    /// The peer's, or that of the way to it.
    Peer,
    /// This machine was short of something before anything was written.
    LocalShortage,
}

impl Connection {
    pub fn open(peer: Peer, inputs: Sender<Input>, counters: Arc<Counters>) -> io::Result<Arc<Connection>> {
        let (frames, queue) = bounded(QUEUE);
        let streams = Mutex::new(Streams::new(peer.patience, peer.stale, Instant::now()));
        let reads = AtomicU64::new(0);
        let connection = Arc::new(Connection { streams, frames, reads, stream: Mutex::new(None) });
        let own = connection.clone();
        spawn("node-writer", move || {
            // A panic stops at the connection: what is open on it still ends.
            let run = || own.write(&peer, &queue, &inputs, &counters);
            let cause = catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| {
                eprintln!("node {}: connection dropped after a panic", peer.addr);
                EndCause::Peer
            });
            own.close(&inputs, cause);
        })?;
        Ok(connection)
    }

    fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues a request; false if this connection can't take it now.
    pub fn try_send(&self, opening: &Opening<'_>, bytes: Vec<u8>) -> bool {
        let mut streams = self.streams();
        if !streams.accepts(opening) {
            return false;
        }
        let frame = Frame { tag: opening.tag.clone(), turn: Some(streams.next_turn()), bytes };
        if self.frames.try_send(frame).is_err() {
            return false;
        }
        streams.open(opening, Instant::now());
        true
    }

    /// Gives an attempt up; tells how far it had come, `None` if it is not open here.
    pub fn give_up(&self, tag: &Token, key: AttemptKey, never_mind: Vec<u8>) -> Option<Progress> {
        let progress = self.streams().give_up(tag, key, Instant::now())?;
        if progress != Progress::NotConnected {
            let _ = self.frames.try_send(Frame { tag: tag.clone(), turn: None, bytes: never_mind });
        }
        Some(progress)
    }

    /// Takes an attempt back if nothing of it has been written, nor will be.
    pub fn withdraw(&self, tag: &Token, key: AttemptKey) -> bool {
        self.streams().withdraw(tag, key)
    }

    /// Takes back what has not been written and such a member would serve or fill.
    pub fn withdraw_from(&self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        self.streams().withdraw_from(lost)
    }

    pub fn may_have_run(&self, tag: &Token, key: AttemptKey) -> bool {
        self.streams().may_have_run(tag, key)
    }

    /// Takes nothing new from now on.
    pub fn retire(&self) {
        self.streams().retire();
    }

    pub fn is_closed(&self) -> bool {
        self.streams().is_closed()
    }

    /// Ends the connection if it is of no further use. Whatever is out on it has run as far as is known.
    pub fn look(&self, ping: &Token, asking: Option<Vec<u8>>) {
        let mut streams = self.streams();
        match streams.look(self.reads.load(Relaxed), asking.is_some()) {
            Look::Leave => {}
            Look::Ask => {
                streams.asks(ping, Instant::now());
                let bytes = asking.unwrap_or_default();
                let _ = self.frames.try_send(Frame { tag: ping.clone(), turn: None, bytes });
            }
            Look::Shut => {
                drop(streams);
                self.shut();
            }
        }
    }

    /// Closes it if it has been idle for so long, or if it is retired and idle; true if it is closed.
    pub fn sweep(&self, idle: Duration) -> bool {
        let mut streams = self.streams();
        if streams.sweep(idle, Instant::now()) {
            drop(streams);
            self.shut();
            return true;
        }
        streams.is_closed()
    }

    fn shut(&self) {
        if let Some(stream) = self.stream.lock().unwrap_or_else(|p| p.into_inner()).take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes a writer that waits for frames; one whose queue is full is awake.
        if let Some(wake) = Token::new(b"-") {
            let _ = self.frames.try_send(Frame { tag: wake, turn: None, bytes: Vec::new() });
        }
    }

    /// Ends the connection and all that is open on it.
    fn close(&self, inputs: &Sender<Input>, cause: EndCause) {
        let (open, by_us) = {
            let mut streams = self.streams();
            (streams.close().collect::<Vec<_>>(), streams.is_shut_by_us())
        };
        self.shut();
        let returned = match cause {
            EndCause::LocalShortage => |_| AttemptEnd::NotSent,
            EndCause::Peer if by_us => AttemptEnd::Abandoned,
            EndCause::Peer => AttemptEnd::ConnectionFailed,
        };
        open.into_iter().for_each(|(purpose, progress)| end(purpose, progress, returned, inputs));
    }

    /// Connects, as soon as this machine has what it takes.
    fn connect(&self, peer: &Peer) -> Result<TcpStream, EndCause> {
        // What waits on the connection is not written after that either.
        let until = Instant::now() + peer.stale.min(SHORTAGE_PATIENCE);
        let mut backoff = Backoff::new(CONNECT_PAUSE.0, CONNECT_PAUSE.1);
        loop {
            let error = match TcpStream::connect_timeout(&peer.addr, peer.connect_timeout) {
                Ok(stream) => {
                    peer.shortage.end();
                    return Ok(stream);
                }
                Err(error) => error,
            };
            match remedy(Call::Connect, &error) {
                Remedy::RetryNow | Remedy::BackOff if Instant::now() < until && !self.is_closed() => {
                    std::thread::sleep(backoff.pause());
                }
                Remedy::RetryNow | Remedy::BackOff => {
                    peer.shortage.observe(Instant::now());
                    return Err(EndCause::LocalShortage);
                }
                Remedy::WaitUntilReady | Remedy::DropConnection | Remedy::GiveUp => {
                    return Err(EndCause::Peer)
                }
            }
        }
    }

    fn write(
        self: &Arc<Self>,
        peer: &Peer,
        queue: &Receiver<Frame>,
        inputs: &Sender<Input>,
        counters: &Counters,
    ) -> EndCause {
        let stream = match self.connect(peer) {
            Ok(stream) => stream,
            Err(cause) => return cause,
        };
        counters.node_connections.fetch_add(1, Relaxed);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let stream = Arc::new(stream);
        *self.stream.lock().unwrap_or_else(|p| p.into_inner()) = Some(stream.clone());
        let (own, input, reader) = (self.clone(), inputs.clone(), stream.clone());
        let started = spawn("node-reader", move || {
            let run = || own.read(&reader, &input);
            if catch_unwind(AssertUnwindSafe(run)).is_err() {
                eprintln!("node connection: reader stopped after a panic");
            }
            own.close(&input, EndCause::Peer);
        });
        if started.is_err() {
            return EndCause::LocalShortage;
        }
        while let Ok(Frame { tag, turn, bytes }) = queue.recv() {
            let admitted = self.streams().admit(&tag, turn, Instant::now());
            let tally = match admitted {
                Admitted::Closed => break,
                Admitted::Skipped => continue,
                Admitted::Overdue(purpose) => {
                    end(purpose, Progress::NotConnected, AttemptEnd::ConnectionFailed, inputs);
                    continue;
                }
                Admitted::Yes(tally) => tally,
            };
            if write_counted(&stream, &bytes) < bytes.len() {
                self.streams().fell_short(&tag);
                break;
            }
            if let Some(tally) = tally {
                tally.attempts.fetch_add(1, Relaxed);
            }
        }
        EndCause::Peer
    }

    fn read(&self, stream: &TcpStream, inputs: &Sender<Input>) {
        let mut reader = BufReader::with_capacity(16 * 1024, Counted(stream, &self.reads));
        let mut line = Vec::new();
        loop {
            line.clear();
            match reader.fill_buf() {
                Ok([]) => return,
                Ok(begun) if !begun.contains(&b'\n') => self.streams().line_begins(),
                Ok(_) => {}
                Err(why) if why.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return,
            }
            let got = (&mut reader).take(MAX_LINE_BYTES as u64).read_until(b'\n', &mut line);
            if !matches!(got, Ok(n) if n > 0) || line.last() != Some(&b'\n') {
                return;
            }
            let Ok(answer) = Answer::parse(&line) else {
                eprintln!("node connection: closed over an answer that can't be read");
                return;
            };
            let Some(tag) = Token::new(answer.id.as_bytes()) else { return };
            self.streams().answer_begins(&tag);
            // Memory is taken as the bytes come, and not for what a length only says.
            let mut bytes = Vec::with_capacity(answer.length.min(FIRST_BYTES));
            let mut end = [0; 2];
            let got = (&mut reader).take(answer.length as u64).read_to_end(&mut bytes);
            let whole = got.is_ok_and(|n| n == answer.length) && reader.read_exact(&mut end).is_ok();
            if !whole || end != *b"\r\n" {
                return;
            }
            let answered = {
                let mut streams = self.streams();
                let answered = streams.answer_ends(&tag, Instant::now());
                // What has come behind it is seen before anybody can act on the answer.
                if !reader.buffer().is_empty() {
                    streams.line_begins();
                }
                answered
            };
            let Some(slot) = answered else { continue };
            let input = match slot.purpose {
                Purpose::GivenUp | Purpose::Ping => continue,
                Purpose::Probe(member) => {
                    let outcome = if answer.word == Word::Pong { Outcome::Ok } else { Outcome::Error };
                    Input::Probed { member, outcome, latency: slot.since.elapsed().as_secs_f64() * 1000.0 }
                }
                Purpose::Attempt(key) => Input::AttemptEnded { key, end: returned(&answer, bytes) },
            };
            if inputs.send(input).is_err() {
                return;
            }
        }
    }
}

/// Counts how often bytes come.
struct Counted<'a>(&'a TcpStream, &'a AtomicU64);

impl Read for Counted<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let got = self.0.read(buffer)?;
        self.1.fetch_add(1, Relaxed);
        Ok(got)
    }
}

/// How many bytes went out before the connection failed, or all.
fn write_counted(mut stream: &TcpStream, bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => break,
            Ok(n) => written += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    written
}

/// Tells the engine that the connection has failed this.
fn end(purpose: Purpose, progress: Progress, returned: fn(Progress) -> AttemptEnd, inputs: &Sender<Input>) {
    let input = match purpose {
        Purpose::Attempt(key) => Input::AttemptEnded { key, end: returned(progress) },
        Purpose::Probe(member) => match returned(progress) {
            // Nothing was asked, so nothing is known.
            AttemptEnd::NotSent => return,
            _ => Input::Probed { member, outcome: progress.outcome_if_broken(), latency: 0.0 },
        },
        Purpose::GivenUp | Purpose::Ping => return,
    };
    let _ = inputs.send(input);
}

/// What an answer means to the module.
fn returned(answer: &Answer<'_>, bytes: Vec<u8>) -> AttemptEnd {
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

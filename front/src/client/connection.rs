//! One connection to a cache node: a thread that writes and one that reads, and the table of what is open.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide::{MemberId, Note, Outcome};

use crate::exchange::{AttemptKey, Copy, Input, Progress, Returned, Token};
use crate::memory::counters::Counters;
use crate::memory::figures::ClassTally;
use crate::process::spawn;
use crate::wire::lines::{Answer, Word, LONGEST_LINE};

/// What an answer is given to begin with.
const FIRST_BYTES: usize = 64 * 1024;
/// Frames that wait for the writer at most.
const QUEUE: usize = 512;
/// A peer that takes in nothing for so long is given up; what it was being sent is not whole.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// An answer to what was given up may still cross; its id is kept free of others for so long.
const FORGET_GIVEN_UP: Duration = Duration::from_secs(10);
/// A connection that owes an answer is looked at in turns, `Limits::look` apart. Turns are counted and not time:
/// a process that was stopped for a while finds many seconds gone and the answers not read yet.
/// After so many without a byte it is asked whether it is still there, at least (`Peer::patience`) and at most,
pub const QUIET: (u32, u32) = (4, 16);
/// after so many without an answer to that it is of no use any more,
const MUTE: u32 = 4;
/// nor is it after so many in the middle of an answer.
const STALLED: u32 = 8;

/// What has waited so long for a peer that takes in nothing is not sent any more: it was decided before purges
/// and drains that may have been told since, and these bind what is sent from 1 s and 2 s on.
const STALE: Duration = Duration::from_millis(700);

/// What an answer on this connection belongs to.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Attempt(AttemptKey),
    Probe(MemberId),
    /// Whether the connection is still of use.
    Ping,
    GivenUp,
}

#[derive(Debug)]
struct Slot {
    purpose: Purpose,
    /// Where an attempt that is written whole is counted.
    tally: Option<Arc<ClassTally>>,
    progress: Progress,
    since: Instant,
    alone: bool,
}

/// How much else may be open on a connection that takes something.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// So many at most, with this one.
    pub streams: usize,
    /// Nothing else: what breaks the connection over another's answer would take this with it, and it must not
    /// be sent again.
    pub alone: bool,
}

#[derive(Debug)]
struct Table {
    slots: HashMap<Token, Slot>,
    closed: bool,
    /// Takes nothing new; closed once nothing is open.
    retired: bool,
    last_used: Instant,
    /// Reads at the last look, looks since then, and how many until it is asked.
    seen: u64,
    quiet: u32,
    patience: u32,
    asked: bool,
}

/// The part of a connection that the pool and both threads share.
#[derive(Debug)]
pub struct Connection {
    table: Mutex<Table>,
    frames: Sender<(Token, Vec<u8>)>,
    /// How often bytes have come.
    reads: AtomicU64,
    patience: u32,
    stream: Mutex<Option<Arc<TcpStream>>>,
}

pub struct Peer {
    pub addr: SocketAddr,
    pub connect_timeout: Duration,
    /// Looks without a byte until it is first asked whether it is still there.
    pub patience: u32,
}

impl Connection {
    pub fn open(peer: Peer, inputs: Sender<Input>, counters: Arc<Counters>) -> io::Result<Arc<Connection>> {
        let (frames, queue) = bounded(QUEUE);
        let table = Table {
            slots: HashMap::new(),
            closed: false,
            retired: false,
            last_used: Instant::now(),
            seen: 0,
            quiet: 0,
            patience: peer.patience,
            asked: false,
        };
        let (table, reads) = (Mutex::new(table), AtomicU64::new(0));
        let connection =
            Arc::new(Connection { table, frames, reads, patience: peer.patience, stream: Mutex::new(None) });
        let own = connection.clone();
        spawn("node-writer", move || {
            // A panic stops at the connection: what is open on it still ends.
            let run = || own.write(&peer, &queue, &inputs, &counters);
            if catch_unwind(AssertUnwindSafe(run)).is_err() {
                eprintln!("node {}: connection dropped after a panic", peer.addr);
            }
            own.close(&inputs);
        })?;
        Ok(connection)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues a request; false if this connection can't take it now.
    pub fn try_send(
        &self,
        tag: &Token,
        purpose: Result<AttemptKey, MemberId>,
        frame: Vec<u8>,
        room: Room,
        tally: Option<&Arc<ClassTally>>,
    ) -> bool {
        let mut table = self.table();
        let now = Instant::now();
        let own = |s: &&Slot| matches!(s.purpose, Purpose::Attempt(_) | Purpose::Probe(_));
        let open = table.slots.values().filter(own).count();
        let taken = if room.alone { open > 0 } else { table.slots.values().any(|s| s.alone) };
        if table.closed || table.retired || taken || open >= room.streams || table.slots.contains_key(tag) {
            return false;
        }
        if self.frames.try_send((tag.clone(), frame)).is_err() {
            return false;
        }
        let purpose = purpose.map_or_else(Purpose::Probe, Purpose::Attempt);
        let (progress, alone) = (Progress::NotConnected, room.alone);
        let tally = tally.cloned();
        table.slots.insert(tag.clone(), Slot { purpose, tally, progress, since: now, alone });
        table.last_used = now;
        true
    }

    /// Gives an attempt up; tells how far it had come, `None` if it is not open here.
    pub fn give_up(&self, tag: &Token, key: AttemptKey, never_mind: Vec<u8>) -> Option<Progress> {
        let mut table = self.table();
        let slot = table.slots.get_mut(tag)?;
        if !matches!(slot.purpose, Purpose::Attempt(open) if open == key) {
            return None;
        }
        let progress = slot.progress;
        if progress == Progress::NotConnected {
            table.slots.remove(tag);
            return Some(progress);
        }
        (slot.purpose, slot.since, slot.alone) = (Purpose::GivenUp, Instant::now(), false);
        let _ = self.frames.try_send((tag.clone(), never_mind));
        Some(progress)
    }

    pub fn may_have_run(&self, tag: &Token, key: AttemptKey) -> bool {
        let table = self.table();
        let slot = table.slots.get(tag).filter(|s| matches!(s.purpose, Purpose::Attempt(k) if k == key));
        // One that is not here any more has ended: how far it came is on its way to the engine.
        slot.is_none_or(|s| s.progress.may_have_run())
    }

    /// Takes nothing new from now on.
    pub fn retire(&self) {
        self.table().retired = true;
    }

    /// Ends the connection if it owes answers and is of no further use: a machine that has vanished, and an answer
    /// that never comes, leave it open and silent for good. Whatever is out on it has run as far as is known.
    pub fn look(&self, ping: &Token, asking: Option<Vec<u8>>) {
        let mut table = self.table();
        let reads = self.reads.load(Relaxed);
        let out = |s: &Slot| matches!(s.purpose, Purpose::Attempt(_)) && s.progress.may_have_run();
        let owes = table.slots.values().any(out);
        if table.closed || !owes || table.seen != reads {
            table.patience = if !owes { self.patience } else { table.patience };
            (table.seen, table.quiet) = (reads, 0);
            if std::mem::take(&mut table.asked) {
                table.patience = (table.patience * 2).min(QUIET.1);
            }
            return;
        }
        table.quiet += 1;
        let cut = table.slots.values().any(|s| s.progress == Progress::PartOfAnswer);
        let useless = table.quiet >= if cut { STALLED } else { MUTE };
        if (cut || table.asked) && useless {
            table.closed = true;
            drop(table);
            self.shut();
        } else if let Some(frame) = asking.filter(|_| !cut && !table.asked && table.quiet >= table.patience) {
            let (purpose, progress, since) = (Purpose::Ping, Progress::Whole, Instant::now());
            table.slots.insert(ping.clone(), Slot { purpose, tally: None, progress, since, alone: false });
            let _ = self.frames.try_send((ping.clone(), frame));
            (table.asked, table.quiet) = (true, 0);
        }
    }

    /// Closes it if it has been idle for so long, or if it is retired and idle; true if it is closed.
    pub fn sweep(&self, idle: Duration) -> bool {
        let mut table = self.table();
        let given_up = |s: &Slot| matches!(s.purpose, Purpose::GivenUp | Purpose::Ping);
        table.slots.retain(|_, s| !given_up(s) || s.since.elapsed() < FORGET_GIVEN_UP);
        let open = table.slots.values().any(|s| !given_up(s));
        if !table.closed && !open && (table.retired || table.last_used.elapsed() > idle) {
            table.closed = true;
            drop(table);
            self.shut();
            return true;
        }
        table.closed
    }

    fn shut(&self) {
        if let Some(stream) = self.stream.lock().unwrap_or_else(|p| p.into_inner()).take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes a writer that waits for frames; one whose queue is full is awake.
        if let Some(wake) = Token::new(b"-") {
            let _ = self.frames.try_send((wake, Vec::new()));
        }
    }

    /// Ends the connection and all that is open on it.
    fn close(&self, inputs: &Sender<Input>) {
        let slots = {
            let mut table = self.table();
            table.closed = true;
            std::mem::take(&mut table.slots)
        };
        self.shut();
        slots.into_values().for_each(|slot| end(slot.purpose, slot.progress, inputs));
    }

    fn write(
        self: &Arc<Self>,
        peer: &Peer,
        queue: &Receiver<(Token, Vec<u8>)>,
        inputs: &Sender<Input>,
        counters: &Counters,
    ) {
        let Ok(stream) = TcpStream::connect_timeout(&peer.addr, peer.connect_timeout) else { return };
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
            own.close(&input);
        });
        if started.is_err() {
            return;
        }
        while let Ok((tag, frame)) = queue.recv() {
            let tally = match self.admit(&tag, inputs) {
                Admitted::Closed => return,
                Admitted::Skipped => continue,
                Admitted::Yes(tally) => tally,
            };
            if write_counted(&stream, &frame) < frame.len() {
                self.table().slots.entry(tag).and_modify(|s| s.progress = Progress::PartlyWritten);
                return;
            }
            if let Some(tally) = tally {
                tally.attempts.fetch_add(1, Relaxed);
            }
        }
    }

    /// Whether a frame is to be written. It counts as whole from before its write: the node may act on its last
    /// byte, and break the connection, before this thread runs again. Only a write that falls short proves less.
    fn admit(&self, tag: &Token, inputs: &Sender<Input>) -> Admitted {
        let mut table = self.table();
        if table.closed {
            return Admitted::Closed;
        }
        let Some(slot) = table.slots.get_mut(tag) else { return Admitted::Skipped };
        if slot.progress != Progress::NotConnected {
            return Admitted::Yes(None);
        }
        if slot.since.elapsed() > STALE {
            let (purpose, progress) = (slot.purpose, slot.progress);
            table.slots.remove(tag);
            drop(table);
            end(purpose, progress, inputs);
            return Admitted::Skipped;
        }
        slot.progress = Progress::Whole;
        Admitted::Yes(slot.tally.take())
    }

    fn read(&self, stream: &TcpStream, inputs: &Sender<Input>) {
        let mut reader = BufReader::with_capacity(16 * 1024, Counted(stream, &self.reads));
        let mut line = Vec::new();
        loop {
            line.clear();
            let got = (&mut reader).take(LONGEST_LINE as u64).read_until(b'\n', &mut line);
            if !matches!(got, Ok(n) if n > 0) || line.last() != Some(&b'\n') {
                return;
            }
            let Ok(answer) = Answer::parse(&line) else {
                eprintln!("node connection: closed over an answer that can't be read");
                return;
            };
            let Some(tag) = Token::new(answer.id.as_bytes()) else { return };
            // From here on the answer is cut if it is not whole.
            if let Some(slot) = self.table().slots.get_mut(&tag) {
                slot.progress = Progress::PartOfAnswer;
            }
            // Memory is taken as the bytes come, and not for what a length only says.
            let mut bytes = Vec::with_capacity(answer.length.min(FIRST_BYTES));
            let mut end = [0; 2];
            let got = (&mut reader).take(answer.length as u64).read_to_end(&mut bytes);
            let whole = got.is_ok_and(|n| n == answer.length) && reader.read_exact(&mut end).is_ok();
            if !whole || end != *b"\r\n" {
                return;
            }
            let slot = {
                let mut table = self.table();
                table.last_used = Instant::now();
                table.slots.remove(&tag)
            };
            let Some(slot) = slot else { continue };
            let input = match slot.purpose {
                Purpose::GivenUp | Purpose::Ping => continue,
                Purpose::Probe(member) => {
                    let outcome = if answer.word == Word::Pong { Outcome::Ok } else { Outcome::Error };
                    Input::Probed { member, outcome, latency: slot.since.elapsed().as_secs_f64() * 1000.0 }
                }
                Purpose::Attempt(key) => Input::Returned { key, returned: returned(&answer, bytes) },
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

enum Admitted {
    /// With the counts to add the attempt to, once it is written whole.
    Yes(Option<Arc<ClassTally>>),
    Skipped,
    Closed,
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
fn end(purpose: Purpose, progress: Progress, inputs: &Sender<Input>) {
    let input = match purpose {
        Purpose::Attempt(key) => Input::Returned { key, returned: Returned::Broke(progress) },
        Purpose::Probe(member) => Input::Probed { member, outcome: progress.broken(), latency: 0.0 },
        Purpose::GivenUp | Purpose::Ping => return,
    };
    let _ = inputs.send(input);
}

/// What an answer means to the module.
fn returned(answer: &Answer<'_>, bytes: Vec<u8>) -> Returned {
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
    let copy = (outcome == Outcome::Ok).then_some(Copy { bytes, digest, client_has_it });
    Returned::Answered { outcome, note, copy }
}

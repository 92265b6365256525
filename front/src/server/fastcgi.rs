//! The platform's front: the FastCGI 1.0 that a web server speaks on one connection, many requests open at a
//! time. Bytes go in, chunks of answers come out; `sockets` moves both.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Instant;

use elmtide::RequestId;
use elmtide_drain::ConnectionActivity;

use crate::exchange::{Answer, Input, Responder};
use crate::memory::budget::Held;
use crate::memory::mode::Mode;
use crate::process::clock;
use crate::server::clients::{Client, NotTaken, Owed};
use crate::server::mailbox::{Delivery, Mailbox};
use crate::server::{Fields, Intake};
use crate::wire::fastcgi::{self, Malformed, Pairs, ProtocolStatus, Record};

/// Requests open on one connection: web servers keep to 32, more are turned away.
const OPEN: usize = 32;
const LONGEST_PARAMS: usize = 16 * 1024;
const LONGEST_BODY: usize = 64 * 1024;
/// So many requests in a row that can't be used end a connection: what is the same again costs no more.
const UNUSABLE: u32 = 16;
const HEALTH: &[u8] = b"/-/healthy";
const API: &str = "/api/v2/";

/// Bytes that go out together.
#[derive(Debug)]
pub struct Chunk {
    pub bytes: Vec<u8>,
    /// The connection closes after them.
    pub last: bool,
    _owed: Option<Owed>,
}

/// A request that has not come whole.
#[derive(Debug)]
struct Half {
    began: Instant,
    params: Vec<u8>,
    params_done: bool,
    body: Vec<u8>,
    held: Held,
    keep: bool,
}

/// A request handed in and not answered yet, and whether the connection closes after the answer.
#[derive(Debug)]
struct Open {
    request: RequestId,
    serial: u64,
    keep: bool,
    owed: Owed,
}

#[derive(Debug)]
pub enum Broken {
    Record(Malformed),
    TooLong,
    Reused(u16),
    Unusable,
    /// By us, in the moment in which a request came whole.
    Closed,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Record(why) => write!(f, "a record that can't be read ({why:?})"),
            Broken::TooLong => write!(f, "a request that is too long"),
            Broken::Reused(id) => write!(f, "request id {id}, begun while it was open"),
            Broken::Unusable => write!(f, "{UNUSABLE} requests in a row that can't be used"),
            Broken::Closed => write!(f, "a request that crossed its close"),
        }
    }
}

impl From<Malformed> for Broken {
    fn from(why: Malformed) -> Broken {
        Broken::Record(why)
    }
}

/// One connection's side of the protocol.
pub struct Conversation {
    connection: u64,
    client: Arc<Client>,
    intake: Arc<Intake>,
    mailbox: Mailbox,
    /// The beginning of a record.
    input: Vec<u8>,
    begun: Option<Instant>,
    half: HashMap<u16, Half>,
    open: HashMap<u16, Open>,
    serials: u64,
    /// Requests in a row that could not be used.
    unusable: u32,
    /// A whole request has come.
    brought: bool,
    /// What is to be written.
    pub out: VecDeque<Chunk>,
}

impl Drop for Conversation {
    /// The client has left: nothing more is to be done for it.
    fn drop(&mut self) {
        for (_, open) in self.open.drain() {
            let _ = self.intake.inputs.send(Input::Abandoned(open.request));
        }
    }
}

impl Conversation {
    pub fn new(connection: u64, client: Arc<Client>, intake: Arc<Intake>, mailbox: Mailbox) -> Conversation {
        Conversation {
            connection,
            client,
            intake,
            mailbox,
            input: Vec::new(),
            begun: None,
            half: HashMap::new(),
            open: HashMap::new(),
            serials: 0,
            unusable: 0,
            brought: false,
            out: VecDeque::new(),
        }
    }

    /// Takes in what has come.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), Broken> {
        let mut input = std::mem::take(&mut self.input);
        input.extend_from_slice(bytes);
        let mut at = 0;
        while let Some((record, used)) = fastcgi::record(&input[at..])? {
            self.record(&record)?;
            at += used;
        }
        // A part of a record belongs to what came last; whatever is not whole has its time.
        self.begun = match at < input.len() {
            true if at == 0 => self.begun.or_else(|| Some(Instant::now())),
            true => Some(Instant::now()),
            false => None,
        };
        // An idle connection holds no memory for what it may bring.
        self.input = input.split_off(at);
        self.client.brings(self.half.values().map(|h| h.began).chain(self.begun).min());
        Ok(())
    }

    /// Takes nothing in any more: what has come in part is dropped.
    pub fn stop_taking(&mut self) {
        self.half.clear();
        (self.input, self.begun) = (Vec::new(), None);
        self.client.brings(None);
    }

    /// A request is open, or something said is not written yet.
    pub fn owes(&self) -> bool {
        !self.open.is_empty() || !self.out.is_empty()
    }

    /// Writes the final answer to a request, unless that was given up meanwhile.
    pub fn answer(&mut self, delivery: &Delivery) {
        if self.open.get(&delivery.slot).is_none_or(|o| o.serial != delivery.serial) {
            return;
        }
        if let Some(open) = self.open.remove(&delivery.slot) {
            let chunk = Chunk { bytes: answer(delivery), last: !open.keep, _owed: Some(open.owed) };
            match delivery.answer {
                Answer::Refused { .. } if open.keep => self.send_ahead(chunk),
                _ => self.out.push_back(chunk),
            }
        }
    }

    /// What the connection is doing, as far as it decides on its end in a drain.
    pub fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            owes_answer: self.owes(),
            partial_requests: self.half.len(),
            has_partial_input: !self.input.is_empty(),
            // A system call, and of no account while an answer is owed.
            has_unread_input: !self.owes() && self.client.has_unread(),
            // When the process is about to end, connections are closed whatever they have brought so far.
            has_brought_request: self.brought || self.mode().is_finishing(),
        }
    }

    /// The state of the process.
    pub fn mode(&self) -> &Mode {
        &self.intake.counters.mode
    }

    /// Requests that are open on the connection.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Rejects every request of which a part has come; the rest of it is dropped unseen.
    pub fn reject_partial_requests(&mut self) {
        let partial = std::mem::take(&mut self.half);
        self.intake.counters.drain_partial_rejected.fetch_add(partial.len() as u64, Relaxed);
        for (id, half) in partial {
            self.end(half.keep, |out| fastcgi::end_request(out, id, 0, ProtocolStatus::Overloaded));
        }
        self.client.brings(self.begun);
    }

    /// Puts an answer ahead of those that have not begun to be written: a client that takes large answers in slowly is told of
    /// a rejection at once all the same.
    fn send_ahead(&mut self, chunk: Chunk) {
        let after_the_begun_one = self.out.len().min(1);
        self.out.insert(after_the_begun_one, chunk);
    }

    fn say(&mut self, put: impl FnOnce(&mut Vec<u8>)) {
        self.end(true, put);
    }

    /// Ends a request that is no exchange; without KEEP_CONN the connection ends with it.
    fn end(&mut self, keep: bool, put: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = Vec::new();
        put(&mut bytes);
        self.out.push_back(Chunk { bytes, last: !keep, _owed: None });
    }

    fn record(&mut self, record: &Record<'_>) -> Result<(), Broken> {
        let id = record.id;
        match record.kind {
            fastcgi::GET_VALUES if id == 0 => {
                let known = [("FCGI_MAX_CONNS", "341"), ("FCGI_MAX_REQS", "1024"), ("FCGI_MPXS_CONNS", "1")];
                self.say(|out| fastcgi::values(out, record.content, &known));
            }
            fastcgi::BEGIN_REQUEST => return self.begin(id, record.content),
            fastcgi::ABORT_REQUEST => self.abort(id),
            fastcgi::PARAMS | fastcgi::STDIN => return self.content(record),
            fastcgi::DATA => {}
            kind if id == 0 => self.say(|out| fastcgi::unknown_type(out, kind)),
            _ => {}
        }
        Ok(())
    }

    fn begin(&mut self, id: u16, content: &[u8]) -> Result<(), Broken> {
        let (role, flags) = fastcgi::begin_request(content)?;
        if id == 0 || self.half.contains_key(&id) || self.open.contains_key(&id) {
            return Err(Broken::Reused(id));
        }
        if role != fastcgi::RESPONDER {
            let keep = flags & fastcgi::KEEP_CONN != 0;
            self.end(keep, |out| fastcgi::end_request(out, id, 0, ProtocolStatus::UnknownRole));
            return Ok(());
        }
        if self.half.len() + self.open.len() >= OPEN {
            self.intake.counters.refused_early.fetch_add(1, Relaxed);
            self.say(|out| fastcgi::end_request(out, id, 0, ProtocolStatus::Overloaded));
            return Ok(());
        }
        let half = Half {
            began: Instant::now(),
            params: Vec::new(),
            params_done: false,
            body: Vec::new(),
            held: self.intake.bodies.held(),
            keep: flags & fastcgi::KEEP_CONN != 0,
        };
        self.half.insert(id, half);
        Ok(())
    }

    fn abort(&mut self, id: u16) {
        let (half, open) = (self.half.remove(&id), self.open.remove(&id));
        if let Some(open) = &open {
            let _ = self.intake.inputs.send(Input::Abandoned(open.request));
        }
        // Where there is neither, its answer is on the way.
        if let Some(keep) = half.map(|h| h.keep).or(open.map(|o| o.keep)) {
            self.end(keep, |out| fastcgi::end_request(out, id, 1, ProtocolStatus::RequestComplete));
        }
    }

    /// What belongs to no request that is coming in is dropped unseen: the rest of one turned away, however long.
    fn content(&mut self, record: &Record<'_>) -> Result<(), Broken> {
        let id = record.id;
        let Some(half) = self.half.get_mut(&id) else { return Ok(()) };
        let keep = half.keep;
        let (stream, most) = match record.kind {
            fastcgi::PARAMS => (&mut half.params, LONGEST_PARAMS),
            _ => (&mut half.body, LONGEST_BODY),
        };
        if stream.len() + record.content.len() > most {
            return match record.kind {
                fastcgi::PARAMS => Err(Broken::TooLong),
                _ => self.turn_away(id, keep, b"Status: 413 Content Too Large\r\nContent-Length: 0\r\n\r\n"),
            };
        }
        if !half.held.grow(record.content.len()) {
            self.half.remove(&id);
            self.intake.counters.refused_early.fetch_add(1, Relaxed);
            self.end(keep, |out| fastcgi::end_request(out, id, 0, ProtocolStatus::Overloaded));
            return Ok(());
        }
        stream.extend_from_slice(record.content);
        match (record.kind, record.content.is_empty()) {
            (fastcgi::PARAMS, true) => half.params_done = true,
            (fastcgi::STDIN, true) if half.params_done => return self.complete(id),
            _ => {}
        }
        Ok(())
    }

    /// Answers a request that can't be used, whether or not it has come whole.
    fn turn_away(&mut self, id: u16, keep: bool, head: &[u8]) -> Result<(), Broken> {
        self.intake.counters.bad_requests.fetch_add(1, Relaxed);
        self.half.remove(&id);
        self.end(keep, |out| {
            fastcgi::stdout(out, id, head, b"");
            fastcgi::end_request(out, id, 0, ProtocolStatus::RequestComplete);
        });
        self.unusable += 1;
        // Requests that are open on the connection are owed their answers: it ends only once they are given.
        if self.unusable >= UNUSABLE && self.open.is_empty() {
            return Err(Broken::Unusable);
        }
        Ok(())
    }

    /// The last byte of a request has come: from here it counts as taken.
    fn complete(&mut self, id: u16) -> Result<(), Broken> {
        let came = clock::steady_ms();
        let Some(half) = self.half.remove(&id) else { return Ok(()) };
        self.brought = true;
        let mut fields = Fields::default();
        let mut path: &[u8] = b"";
        for pair in Pairs(&half.params) {
            let (name, value) = pair?;
            match name {
                b"SCRIPT_NAME" => path = value,
                b"HTTP_X_JOB_ID" => fields.job.put(value),
                b"HTTP_X_ALLOW_MS" => fields.allow_ms.put(value),
                b"HTTP_X_ITEM" => fields.item.put(value),
                b"HTTP_X_SLICE" => fields.part.put(value),
                b"HTTP_X_SET" => fields.group.put(value),
                b"HTTP_X_RAM_KB" => fields.size_kb.put(value),
                b"HTTP_X_SEEN" => fields.seen.put(value),
                b"HTTP_X_UNIQUE" => fields.unique.put(value),
                _ => {}
            }
        }
        if path == HEALTH {
            self.client.heard();
            let (head, body): (&[u8], &[u8]) = match self.intake.counters.mode.is_ready() {
                true => (b"Status: 200 OK\r\nContent-Type: text/plain\r\n\r\n", b"ok\n"),
                false => (b"Status: 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\n", b"no\n"),
            };
            self.end(half.keep, |out| {
                fastcgi::stdout(out, id, head, body);
                fastcgi::end_request(out, id, 0, ProtocolStatus::RequestComplete);
            });
            return Ok(());
        }
        let class = std::str::from_utf8(path).ok().and_then(|p| p.strip_prefix(API));
        let ready = class.and_then(|class| self.intake.ready(class, &fields, half.body, half.held, came));
        let Some(ready) = ready else {
            return self.turn_away(id, half.keep, b"Status: 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        };
        self.unusable = 0;
        self.client.heard();
        let owed = match self.client.open(&self.intake.counters) {
            Ok(owed) => owed,
            Err(NotTaken::Closed) => return Err(Broken::Closed),
            Err(NotTaken::TooMany) => {
                self.intake.counters.refused_early.fetch_add(1, Relaxed);
                self.end(half.keep, |out| fastcgi::end_request(out, id, 0, ProtocolStatus::Overloaded));
                return Ok(());
            }
        };
        self.serials += 1;
        let (connection, slot, serial) = (self.connection, id, self.serials);
        let mailbox = self.mailbox.clone();
        let responder =
            Responder::new(move |answer| mailbox.post(Delivery { connection, slot, serial, answer }));
        let request = self.intake.hand_in(ready, responder);
        self.open.insert(id, Open { request, serial, keep: half.keep, owed });
        Ok(())
    }
}

fn answer(delivery: &Delivery) -> Vec<u8> {
    let mut out = Vec::new();
    let nothing: &[u8] = &[];
    let (head, body) = match &delivery.answer {
        Answer::Served(copy) if copy.client_has_it => {
            ("Status: 200 OK\r\nX-Current: 1\r\nContent-Length: 0\r\n\r\n".to_owned(), nothing)
        }
        Answer::Served(copy) => (
            format!(
                "Status: 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n\r\n",
                copy.bytes.len()
            ),
            &copy.bytes[..],
        ),
        Answer::Refused { wait_ms } => {
            let wait = wait_ms.map(|ms| format!("X-Wait-Ms: {ms}\r\n")).unwrap_or_default();
            (format!("Status: 503 Service Unavailable\r\n{wait}Content-Length: 0\r\n\r\n"), nothing)
        }
        Answer::Failed => ("Status: 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n".to_owned(), nothing),
    };
    fastcgi::stdout(&mut out, delivery.slot, head.as_bytes(), body);
    fastcgi::end_request(&mut out, delivery.slot, 0, ProtocolStatus::RequestComplete);
    out
}

//! The platform's front: FastCGI 1.0 connections of web servers, many requests open on each.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};
use elmtide::RequestId;

use crate::exchange::{Answer, Input, Responder, Token};
use crate::lifecycle::{clock, spawn};
use crate::memory::counters::Unwritten;
use crate::server::{Fields, Intake};
use crate::wire::fastcgi::{self, Malformed, Pairs, ProtocolStatus, Record};

/// Requests open on one connection: web servers keep to 32, more than twice that are turned away.
const OPEN: usize = 72;
const LONGEST_PARAMS: usize = 16 * 1024;
const LONGEST_BODY: usize = 64 * 1024;
/// A client that takes in nothing for so long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const HEALTH: &[u8] = b"/-/healthy";
const API: &str = "/api/v2/";

struct Delivery {
    /// Which of the connection's requests is answered.
    slot: u16,
    answer: Answer,
}

/// What the writer is to send.
enum Out {
    Deliver(Delivery),
    Raw(Raw),
}

/// Bytes that are no answer of an exchange, and whether the connection closes after them.
struct Raw {
    bytes: Vec<u8>,
    last: bool,
}

#[derive(Debug, Default)]
struct Half {
    params: Vec<u8>,
    params_done: bool,
    body: Vec<u8>,
    keep: bool,
}

/// Requests handed in and not answered yet, and whether the connection closes after the answer.
#[derive(Debug)]
struct Open {
    request: Option<RequestId>,
    keep: bool,
    _unwritten: Unwritten,
}

type OpenTable = Arc<Mutex<HashMap<u16, Open>>>;

fn lock(open: &OpenTable) -> MutexGuard<'_, HashMap<u16, Open>> {
    open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn accept(listener: &TcpListener, intake: &Arc<Intake>, most: usize) {
    let live = Arc::new(());
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(why) => {
                eprintln!("accept: {why}");
                std::thread::sleep(Duration::from_millis(10));
                continue;
            }
        };
        // Each connection holds a share of `live`: that counts them.
        if Arc::strong_count(&live) > most {
            eprintln!("accept: {most} client connections are open, one more is closed");
            continue;
        }
        intake.counters.client_connections.fetch_add(1, Relaxed);
        let (intake, held) = (intake.clone(), live.clone());
        let started = spawn("client-reader", move || {
            let _held = held;
            let stream = Arc::new(stream);
            let run = || serve(&stream, &intake);
            if catch_unwind(AssertUnwindSafe(run)).is_err() {
                eprintln!("client connection: dropped after a panic");
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
        if let Err(why) = started {
            eprintln!("accept: no thread for a connection: {why}");
        }
    }
}

fn serve(stream: &Arc<TcpStream>, intake: &Arc<Intake>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let open: OpenTable = Arc::default();
    // Room for each request that may be open and for what the reader says beside.
    let (deliveries, answers) = bounded(OPEN);
    let (raw, raws) = bounded(OPEN);
    let (writer_stream, writer_open) = (stream.clone(), open.clone());
    let writer = spawn("client-writer", move || {
        write(&writer_stream, &answers, &raws, &writer_open);
        let _ = writer_stream.shutdown(Shutdown::Both);
    });
    if writer.is_err() {
        return;
    }
    let mut reader = Reader { half: HashMap::new(), open: open.clone(), deliveries, raw, intake };
    if let Err(why) = reader.run(stream) {
        eprintln!("client connection: closed over {why}");
        let _ = stream.shutdown(Shutdown::Both);
    }
    for (_, left) in lock(&open).drain() {
        if let Some(id) = left.request {
            let _ = intake.inputs.send(Input::Abandoned(id));
        }
    }
}

#[derive(Debug)]
enum Broken {
    Record(Malformed),
    TooLong,
    Reused(u16),
    Closed,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Broken::Record(why) => write!(f, "a record that can't be read ({why:?})"),
            Broken::TooLong => write!(f, "a request that is too long"),
            Broken::Reused(id) => write!(f, "request id {id}, begun while it was open"),
            Broken::Closed => write!(f, "a writer that has ended"),
        }
    }
}

impl From<Malformed> for Broken {
    fn from(why: Malformed) -> Broken {
        Broken::Record(why)
    }
}

struct Reader<'a> {
    half: HashMap<u16, Half>,
    open: OpenTable,
    deliveries: Sender<Delivery>,
    raw: Sender<Raw>,
    intake: &'a Intake,
}

impl Reader<'_> {
    fn run(&mut self, mut stream: &TcpStream) -> Result<(), Broken> {
        let mut bytes: Vec<u8> = Vec::with_capacity(4096);
        let mut chunk = [0; 16 * 1024];
        loop {
            let got = match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return Ok(()),
                Ok(got) => got,
            };
            bytes.extend_from_slice(&chunk[..got]);
            let mut at = 0;
            while let Some((record, used)) = fastcgi::record(&bytes[at..])? {
                self.record(&record)?;
                at += used;
            }
            bytes.drain(..at);
        }
    }

    fn say(&self, put: impl FnOnce(&mut Vec<u8>)) -> Result<(), Broken> {
        self.end(true, put)
    }

    /// Ends a request that is no exchange; without KEEP_CONN the connection ends with it.
    fn end(&self, keep: bool, put: impl FnOnce(&mut Vec<u8>)) -> Result<(), Broken> {
        let mut bytes = Vec::new();
        put(&mut bytes);
        self.raw.send(Raw { bytes, last: !keep }).map_err(|_| Broken::Closed)
    }

    fn record(&mut self, record: &Record<'_>) -> Result<(), Broken> {
        let id = record.id;
        match record.kind {
            fastcgi::GET_VALUES if id == 0 => {
                let known = [("FCGI_MAX_CONNS", "341"), ("FCGI_MAX_REQS", "1024"), ("FCGI_MPXS_CONNS", "1")];
                self.say(|out| fastcgi::values(out, record.content, &known))
            }
            fastcgi::BEGIN_REQUEST => self.begin(id, record.content),
            fastcgi::ABORT_REQUEST => self.abort(id),
            fastcgi::PARAMS | fastcgi::STDIN => self.content(record),
            fastcgi::DATA => Ok(()),
            kind if id == 0 => self.say(|out| fastcgi::unknown_type(out, kind)),
            _ => Ok(()),
        }
    }

    fn begin(&mut self, id: u16, content: &[u8]) -> Result<(), Broken> {
        let (role, flags) = fastcgi::begin_request(content)?;
        if id == 0 || self.half.contains_key(&id) || lock(&self.open).contains_key(&id) {
            return Err(Broken::Reused(id));
        }
        if role != fastcgi::RESPONDER {
            let keep = flags & fastcgi::KEEP_CONN != 0;
            return self.end(keep, |out| fastcgi::end_request(out, id, 0, ProtocolStatus::UnknownRole));
        }
        if self.half.len() + lock(&self.open).len() >= OPEN {
            return self.say(|out| fastcgi::end_request(out, id, 0, ProtocolStatus::Overloaded));
        }
        self.half.insert(id, Half { keep: flags & fastcgi::KEEP_CONN != 0, ..Half::default() });
        Ok(())
    }

    fn abort(&mut self, id: u16) -> Result<(), Broken> {
        let (half, open) = (self.half.remove(&id), lock(&self.open).remove(&id));
        if let Some(request) = open.as_ref().and_then(|o| o.request) {
            let _ = self.intake.inputs.send(Input::Abandoned(request));
        }
        let Some(keep) = half.map(|h| h.keep).or(open.map(|o| o.keep)) else {
            return Ok(()); // its answer is on the way
        };
        self.end(keep, |out| fastcgi::end_request(out, id, 1, ProtocolStatus::RequestComplete))
    }

    fn content(&mut self, record: &Record<'_>) -> Result<(), Broken> {
        let Some(half) = self.half.get_mut(&record.id) else { return Ok(()) };
        let (stream, most) = match record.kind {
            fastcgi::PARAMS => (&mut half.params, LONGEST_PARAMS),
            _ => (&mut half.body, LONGEST_BODY),
        };
        if stream.len() + record.content.len() > most {
            return Err(Broken::TooLong);
        }
        stream.extend_from_slice(record.content);
        match (record.kind, record.content.is_empty()) {
            (fastcgi::PARAMS, true) => half.params_done = true,
            (fastcgi::STDIN, true) if half.params_done => return self.complete(record.id),
            _ => {}
        }
        Ok(())
    }

    /// The last byte of a request has come: from here it counts as taken.
    fn complete(&mut self, id: u16) -> Result<(), Broken> {
        let came = clock::unix_ms();
        let Some(half) = self.half.remove(&id) else { return Ok(()) };
        let mut fields = Fields::default();
        let mut path: &[u8] = b"";
        for pair in Pairs(&half.params) {
            let (name, value) = pair?;
            let text = || std::str::from_utf8(value).ok();
            match name {
                b"SCRIPT_NAME" => path = value,
                b"HTTP_X_JOB_ID" => fields.job = Token::new(value),
                b"HTTP_X_ALLOW_MS" => fields.allow_ms = text().and_then(|t| t.parse().ok()),
                b"HTTP_X_ITEM" => fields.item = Token::new(value),
                b"HTTP_X_SLICE" => fields.part = Token::new(value),
                b"HTTP_X_SET" => fields.group = text().and_then(|t| t.parse().ok()),
                b"HTTP_X_RAM_KB" => fields.size_kb = text().and_then(|t| t.parse().ok()),
                b"HTTP_X_SEEN" => fields.seen = Token::new(value),
                _ => {}
            }
        }
        if path == HEALTH {
            return self.end(half.keep, |out| {
                fastcgi::stdout(out, id, b"Status: 200 OK\r\nContent-Type: text/plain\r\n\r\n", b"ok\n");
                fastcgi::end_request(out, id, 0, ProtocolStatus::RequestComplete);
            });
        }
        let class = std::str::from_utf8(path).ok().and_then(|p| p.strip_prefix(API));
        fields.class = class.unwrap_or("").to_owned();
        // Open before the engine hears of it: the answer may be faster than this thread.
        let unwritten = Unwritten::new(&self.intake.counters);
        let open = Open { request: None, keep: half.keep, _unwritten: unwritten };
        lock(&self.open).insert(id, open);
        let deliveries = self.deliveries.clone();
        let responder = Responder::new(move |answer| {
            // There is room for every request that may be open: where there is none, the client is past help.
            if let Err(TrySendError::Full(_)) = deliveries.try_send(Delivery { slot: id, answer }) {
                eprintln!("client connection: an answer found no room in its queue");
            }
        });
        if let Some(ready) = self.intake.ready(fields, half.body, came) {
            let request = self.intake.hand_in(ready, responder);
            lock(&self.open).entry(id).and_modify(|o| o.request = Some(request));
        }
        Ok(())
    }
}

fn write(mut stream: &TcpStream, answers: &Receiver<Delivery>, raws: &Receiver<Raw>, open: &OpenTable) {
    loop {
        let out = crossbeam_channel::select! {
            recv(answers) -> got => got.map(Out::Deliver),
            recv(raws) -> got => got.map(Out::Raw),
        };
        let (bytes, last, _unwritten) = match out {
            Ok(Out::Raw(raw)) => (raw.bytes, raw.last, None),
            Ok(Out::Deliver(delivery)) => {
                // One that was aborted meanwhile has had its END_REQUEST.
                let Some(asked) = lock(open).remove(&delivery.slot) else { continue };
                (answer(&delivery), !asked.keep, Some(asked))
            }
            Err(_) => return,
        };
        if stream.write_all(&bytes).is_err() || last {
            return;
        }
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

//! HTTP/1.1, as the clients that followed a DNS answer speak it. Each request is decided afresh on its arrival.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError};
use elmtide::Ms;

use crate::exchange::{Answer, Input, Responder, Token};
use crate::lifecycle::edge::InForce;
use crate::lifecycle::{clock, spawn};
use crate::memory::counters::Unwritten;
use crate::memory::ledger::{Entered, Ledger};
use crate::server::{Fields, Intake};
use crate::wire::http::{self, Body, RequestHead};

const CONNECTIONS: usize = 128;
const LONGEST_BODY: usize = 48_000;
/// A connection with no request on it, and one whose request does not come on, are closed after so long.
const IDLE: Duration = Duration::from_secs(10);
/// So often a waiting thread looks whether its client is still there.
const LOOK: Duration = Duration::from_millis(50);
/// Past its deadline an answer is still waited for this long: the engine gives one by then.
const SLACK: Ms = 40.0;
const API: &str = "/api/v2/";

/// What all our addresses share.
pub struct Site {
    pub name: String,
    pub intake: Arc<Intake>,
    pub ledger: Arc<Ledger>,
    pub in_force: Arc<InForce>,
    pub seed: u64,
    pub jobs: AtomicU64,
}

pub fn start(listener: TcpListener, site: &Arc<Site>, stop: &Arc<AtomicBool>) -> io::Result<()> {
    let (site, stop) = (site.clone(), stop.clone());
    spawn("http-accept", move || accept(&listener, &site, &stop)).map(drop)
}

fn accept(listener: &TcpListener, site: &Arc<Site>, stop: &Arc<AtomicBool>) {
    let live = Arc::new(());
    for stream in listener.incoming() {
        if stop.load(Relaxed) {
            return;
        }
        let Ok(stream) = stream else {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        if Arc::strong_count(&live) > CONNECTIONS {
            eprintln!("http: {CONNECTIONS} connections are open, one more is closed");
            continue;
        }
        let (site, stop, held) = (site.clone(), stop.clone(), live.clone());
        let served = spawn("http-client", move || {
            let _held = held;
            let run = || Connection { site: &site, stop: &stop, stream: &stream, bytes: Vec::new() }.serve();
            if catch_unwind(AssertUnwindSafe(run)).is_err() {
                eprintln!("http connection: dropped after a panic");
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
        if let Err(why) = served {
            eprintln!("http: no thread for a connection: {why}");
        }
    }
}

struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Response {
    fn text(status: u16, text: impl Into<String>) -> Response {
        let mut text = text.into();
        text.push('\n');
        Response { status, headers: vec![("Content-Type", "text/plain".into())], body: text.into_bytes() }
    }
}

struct Connection<'a> {
    site: &'a Site,
    stop: &'a AtomicBool,
    stream: &'a TcpStream,
    bytes: Vec<u8>,
}

impl Connection<'_> {
    fn serve(&mut self) {
        let _ = self.stream.set_nodelay(true);
        let _ = self.stream.set_write_timeout(Some(IDLE));
        while !self.stop.load(Relaxed) {
            match self.read_request() {
                Ok(Some((head, body))) => {
                    let keep = head.keep;
                    let _unwritten = Unwritten::new(&self.site.intake.counters);
                    let Some(reply) = self.answer(&head, body) else { return };
                    if !self.send(&reply, keep, head.method == "HEAD") || !keep {
                        return;
                    }
                }
                Ok(None) => return,
                Err(refused) => {
                    self.site.intake.counters.bad_requests.fetch_add(1, Relaxed);
                    self.send(&refused, false, false);
                    return;
                }
            }
        }
    }

    fn send(&self, reply: &Response, keep: bool, head_only: bool) -> bool {
        let bytes = http::response(reply.status, &reply.headers, &reply.body, keep, head_only);
        let mut stream = self.stream;
        stream.write_all(&bytes).is_ok()
    }

    /// More bytes; false where there are no more.
    fn more(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        let mut chunk = [0; 8192];
        let mut stream = self.stream;
        if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
            return false;
        }
        match stream.read(&mut chunk) {
            Ok(got) if got > 0 => self.bytes.extend_from_slice(&chunk[..got]),
            // A process that is stopped and goes on sees this on every read that has a time limit.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return false,
        }
        true
    }

    /// The next request; `None` where the client has no more, an answer where it can't be read.
    fn read_request(&mut self) -> Result<Option<(RequestHead, Vec<u8>)>, Response> {
        let until = Instant::now() + IDLE;
        let head = loop {
            match http::request_head(&self.bytes) {
                Ok(Some(head)) => break head,
                Ok(None) if self.more(until) => {}
                Ok(None) if self.bytes.is_empty() => return Ok(None),
                Ok(None) => return Err(Response::text(408, "the request has not come whole")),
                Err(why) => return Err(Response::text(400, why)),
            }
        };
        if head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            let mut stream = self.stream;
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        loop {
            let rest = &self.bytes[head.size..];
            let whole = match head.body {
                Body::Length(length) if length > LONGEST_BODY => None,
                Body::Length(length) if rest.len() >= length => Some((rest[..length].to_vec(), length)),
                Body::Length(_) | Body::UntilClose => Some((Vec::new(), usize::MAX)),
                Body::Chunked if rest.len() > 2 * LONGEST_BODY => None,
                Body::Chunked => match http::chunked(rest) {
                    Ok(whole) => whole.or(Some((Vec::new(), usize::MAX))),
                    Err(why) => return Err(Response::text(400, why)),
                },
            };
            match whole {
                Some((body, used)) if used != usize::MAX && body.len() <= LONGEST_BODY => {
                    self.bytes.drain(..head.size + used);
                    return Ok(Some((head, body)));
                }
                Some((_, usize::MAX)) => {
                    if !self.more(until) {
                        return Err(Response::text(408, "the request has not come whole"));
                    }
                }
                _ => return Err(Response::text(413, format!("{LONGEST_BODY} bytes at most"))),
            }
        }
    }

    /// The answer to a request; `None` where the client has left.
    fn answer(&self, head: &RequestHead, body: Vec<u8>) -> Option<Response> {
        let came = clock::unix_ms();
        let path = head.path.split('?').next().unwrap_or("");
        match path {
            "/-/healthy" => return Some(Response::text(200, "ok")),
            "/-/counters" => return Some(Response::text(200, self.site.intake.counters.to_string())),
            _ => {}
        }
        let class = path.strip_prefix(API).and_then(|name| self.site.intake.class(name));
        let Some(class) = class else { return Some(Response::text(404, "there is no such class")) };
        let method = match (class.write, head.method.as_str()) {
            (true, "POST") | (false, "GET" | "HEAD") => None,
            (true, _) => Some("POST"),
            (false, _) => Some("GET, HEAD"),
        };
        if let Some(allowed) = method {
            let mut reply = Response::text(405, "not with this method");
            reply.headers.push(("Allow", allowed.into()));
            return Some(reply);
        }
        let word = |name: &str| head.header(name).and_then(|v| Token::new(v.as_bytes()));
        let bare = |tag: &str| Token::new(tag.trim_start_matches("W/").trim_matches('"').as_bytes());
        // A time that can't be read must not turn into the longest one: `min` would pass over a NaN.
        let allow = head.header("x-allow-ms").map_or(Some(class.deadline), |v| v.parse().ok());
        let fields = Fields {
            class: class.name.to_string(),
            job: word("x-job-id").or_else(|| self.job()),
            allow_ms: allow.filter(|ms: &f64| !ms.is_nan()).map(|ms| ms.min(class.deadline)),
            item: word("x-item"),
            part: word("x-slice"),
            group: head.header("x-set").and_then(|v| v.parse().ok()),
            size_kb: head.header("x-ram-kb").and_then(|v| v.parse().ok()),
            seen: word("x-seen").or_else(|| head.header("if-none-match").and_then(bare)),
        };
        let conditional = head.header("if-none-match").is_some();
        if class.write {
            return self.write_once(head, fields, body, came);
        }
        let Some(ready) = self.site.intake.ready(fields, body, came) else {
            return Some(Response::text(400, "X-Item, X-Slice or X-Allow-Ms can't be used"));
        };
        let deadline = ready.deadline;
        let (to, answer) = bounded(1);
        let id = self
            .site
            .intake
            .hand_in(ready, Responder::new(move |answer| drop(to.try_send(Arc::new(answer)))));
        let Some(answer) = self.wait(&answer, deadline) else {
            // The client has left: nothing more is to be done for it.
            let _ = self.site.intake.inputs.send(Input::Abandoned(id));
            return None;
        };
        Some(reply(&answer, conditional))
    }

    /// A request that must never run twice. It runs once for its key, whether or not this client stays for it.
    fn write_once(&self, head: &RequestHead, fields: Fields, body: Vec<u8>, came: Ms) -> Option<Response> {
        let key = head.header("idempotency-key").map(|k| Token::new(k.trim_matches('"').as_bytes()));
        let Some(Some(key)) = key else {
            return Some(Response::text(400, "an Idempotency-Key of 1 to 64 plain characters is needed"));
        };
        let (now, site) = (self.site.in_force.now(), self.site);
        if let Some(owner) = now.0.owner(key.as_str()).filter(|o| o.name != site.name) {
            return Some(Response::text(421, format!("front {} takes this key", owner.name)));
        }
        let words = |token: &Option<Token>| token.as_ref().map(|t| t.as_str().to_owned());
        let request = (&fields.class, words(&fields.item), words(&fields.part), fields.group, &body);
        let fingerprint = site.ledger.fingerprint(&request);
        let Some(ready) = site.intake.ready(fields, body, came) else {
            return Some(Response::text(400, "X-Item, X-Slice or X-Allow-Ms can't be used"));
        };
        let deadline = ready.deadline;
        let result = match site.ledger.enter(&key, fingerprint, came) {
            Entered::Repeat(answer) => return Some(reply(&answer, false)),
            Entered::OtherRequest => {
                return Some(Response::text(422, "this Idempotency-Key was used for another request"))
            }
            Entered::Refuse => return Some(reply(&Answer::Refused { wait_ms: Some(500) }, false)),
            Entered::Join(result) => result,
            Entered::Run(result) => {
                let ledger = site.ledger.clone();
                site.intake.hand_in(
                    ready,
                    Responder::new(move |answer| ledger.finish(&key, answer, clock::unix_ms())),
                );
                result
            }
        };
        self.wait(&result, deadline).map(|answer| reply(&answer, false))
    }

    /// Waits for the answer; `None` where the client leaves before. Where the deadline passes it has failed.
    fn wait(&self, answer: &Receiver<Arc<Answer>>, deadline: Ms) -> Option<Arc<Answer>> {
        loop {
            match answer.recv_timeout(LOOK) {
                Ok(answer) => return Some(answer),
                Err(RecvTimeoutError::Disconnected) => return Some(Arc::new(Answer::Failed)),
                Err(RecvTimeoutError::Timeout) if clock::unix_ms() > deadline + SLACK => {
                    return Some(Arc::new(Answer::Failed))
                }
                Err(RecvTimeoutError::Timeout) if self.client_left() => return None,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn client_left(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = self.stream.peek(&mut [0]);
        let blocking = self.stream.set_nonblocking(false);
        let waits = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        blocking.is_err() || matches!(seen, Ok(0)) || seen.is_err_and(|e| !waits(&e))
    }

    /// An id for a request that has none: 16 hex digits, never the same again.
    fn job(&self) -> Option<Token> {
        let next = self.site.jobs.fetch_add(1, Relaxed);
        let mixed = (self.site.seed ^ next.wrapping_mul(0x9E37_79B9_7F4A_7C15)).rotate_left(23);
        Token::new(format!("{:016x}", mixed.wrapping_mul(0xBF58_476D_1CE4_E5B9)).as_bytes())
    }
}

fn reply(answer: &Answer, conditional: bool) -> Response {
    match answer {
        Answer::Served(copy) => {
            let mut headers = vec![("Content-Type", "application/octet-stream".to_owned())];
            headers.extend(copy.digest.as_ref().map(|d| ("ETag", format!("\"{}\"", d.as_str()))));
            if copy.client_has_it {
                headers.push(("X-Current", "1".into()));
            }
            let status = if copy.client_has_it && conditional { 304 } else { 200 };
            Response { status, headers, body: copy.bytes.clone() }
        }
        Answer::Refused { wait_ms } => {
            let mut reply = Response::text(503, "refused: trying again does no harm");
            if let Some(ms) = wait_ms {
                reply.headers.push(("X-Wait-Ms", ms.to_string()));
                reply.headers.push(("Retry-After", ms.div_ceil(1000).max(1).to_string()));
            }
            reply
        }
        Answer::Failed => Response::text(502, "failed"),
    }
}

//! HTTP/1.1, as the clients that followed a DNS answer speak it. Each request is decided afresh on its arrival.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError};
use elmtide::Ms;
use elmtide_steering::Net;

use crate::edge::in_force::{InForce, Owner, State};
use crate::exchange::{Answer, Class, Input, Responder, Token};
use crate::fleet::site_failover::{Client as PlannedClient, ClientDecision, SiteFailover};
use crate::memory::budget::Held;
use crate::memory::ledger::{Entered, Ledger};
use crate::process::accept::accept_until;
use crate::process::start_gate::StartGate;
use crate::process::{clock, spawn};
use crate::server::clients::{Client, Clients, NotTaken, Protocol, REQUEST};
use crate::server::{Field, Fields, Intake, Ready};
use crate::wire::http::{self, Body, RequestHead};

const LONGEST_BODY: usize = 48_000;
/// A connection with no request on it, and one whose request does not come on, are closed after so long.
const IDLE: Duration = Duration::from_secs(10);
/// A request is whole so soon after its first byte; a little less than all that the connection has for it.
const WHOLE: Duration = Duration::from_millis(REQUEST.as_millis() as u64 - 300);
/// What still comes of a request that was turned away is counted and dropped, so far and so long: a close with
/// bytes unread would take the answer away.
const DROPPED: (u64, Duration) = (64 << 20, Duration::from_secs(5));
/// The same behind the last answer of a connection that had nothing wrong.
const LINGER: (u64, Duration) = (16 << 20, Duration::from_secs(2));
/// So often a waiting thread looks whether its client is still there.
const LOOK: Duration = Duration::from_millis(50);
/// Past its deadline an answer is still waited for this long: the engine gives one by then.
const SLACK: Ms = 40.0;
/// The address of ours that a client should use instead.
const USE: &str = "X-Use-Address";
/// Clients of a drained front are told to wait from so many milliseconds on, spread over so many more.
const SPREAD: (u64, u64) = (50, 400);
const API: &str = "/api/v2/";

/// What all our addresses share.
pub struct Site {
    pub name: String,
    pub intake: Arc<Intake>,
    pub clients: Clients,
    pub ledger: Arc<Ledger>,
    pub in_force: Arc<InForce>,
    /// Where sites are watched.
    pub sites: Option<Arc<SiteFailover>>,
    pub seed: u64,
    pub jobs: AtomicU64,
}

/// Takes connections on a thread of its own from the moment in which the gate opens.
///
/// # Errors
/// If the thread can't be started.
pub fn start(
    listener: TcpListener,
    site: &Arc<Site>,
    stop: &Arc<AtomicBool>,
    gate: &StartGate,
) -> io::Result<()> {
    let (site, stop, gate) = (site.clone(), stop.clone(), gate.clone());
    let run = move || {
        gate.wait();
        accept(&listener, &site, &stop);
    };
    spawn("http-accept", run).map(drop)
}

fn accept(listener: &TcpListener, site: &Arc<Site>, stop: &Arc<AtomicBool>) {
    accept_until(
        "http",
        listener,
        || stop.load(Relaxed),
        |stream| {
            let Some(admitted) = site.clients.admit(stream, Protocol::Http) else { return };
            let (site, stop) = (site.clone(), stop.clone());
            let served = spawn("http-client", move || {
                let client = &admitted.client;
                let run = || Connection { site: &site, stop: &stop, client, bytes: Vec::new() }.serve();
                if catch_unwind(AssertUnwindSafe(run)).is_err() {
                    eprintln!("http connection: dropped after a panic");
                }
            });
            if let Err(why) = served {
                eprintln!("http: no thread for a connection: {why}");
            }
        },
    );
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
    client: &'a Arc<Client>,
    bytes: Vec<u8>,
}

impl Connection<'_> {
    fn serve(&mut self) {
        let _ = self.client.stream().set_nodelay(true);
        let _ = self.client.stream().set_write_timeout(Some(IDLE));
        while !self.stop.load(Relaxed) {
            match self.read_request() {
                Ok(Some((head, body))) => {
                    self.client.heard();
                    let opened = self.client.open(&self.site.intake.counters);
                    // Only now: until then it is a request that has come in part, and its connection is not at rest.
                    self.client.brings(None);
                    let owed = match opened {
                        Ok(owed) => owed,
                        Err(NotTaken::Closed) => return,
                        Err(NotTaken::TooMany) => {
                            self.site.intake.counters.refused_early.fetch_add(1, Relaxed);
                            if self.send(&reply(&Answer::Refused { wait_ms: Some(500) }, false), false, false)
                            {
                                self.drop_rest(LINGER);
                            }
                            return;
                        }
                    };
                    let Some(reply) = self.answer(&head, body) else { return };
                    let keep = head.keep && !self.site.intake.counters.mode.sends_away();
                    let written = self.send(&reply, keep, head.method == "HEAD");
                    drop(owed);
                    if !written {
                        return;
                    }
                    if !keep {
                        break;
                    }
                }
                Ok(None) => break,
                Err(refused) => {
                    self.site.intake.counters.bad_requests.fetch_add(1, Relaxed);
                    if self.send(&refused, false, false) {
                        self.drop_rest(DROPPED);
                    }
                    return;
                }
            }
        }
        self.drop_rest(LINGER);
    }

    fn send(&self, reply: &Response, keep: bool, head_only: bool) -> bool {
        let bytes = http::response(reply.status, &reply.headers, &reply.body, keep, head_only);
        self.client.takes();
        let mut stream: &TcpStream = self.client.stream();
        let written = stream.write_all(&bytes).is_ok();
        self.client.took();
        written
    }

    /// Ends our side, and reads on until the client ends its own, so far and so long.
    fn drop_rest(&mut self, (mut left, most): (u64, Duration)) {
        let _ = self.client.stream().shutdown(Shutdown::Write);
        let until = Instant::now() + most;
        self.client.heard();
        self.client.brings(None);
        loop {
            self.bytes.clear();
            if !self.more(until) || self.bytes.len() as u64 > left {
                return;
            }
            left -= self.bytes.len() as u64;
        }
    }

    /// More bytes; false where there are no more.
    fn more(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        let mut chunk = [0; 8192];
        let mut stream: &TcpStream = self.client.stream();
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
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
        let (since, mut begun) = (Instant::now(), None);
        let head = loop {
            let until = match self.bytes.is_empty() {
                true => since + IDLE,
                false => {
                    let begun = *begun.get_or_insert_with(Instant::now);
                    self.client.brings(Some(begun));
                    begun + WHOLE
                }
            };
            match http::request_head(&self.bytes) {
                Ok(Some(head)) => break head,
                Ok(None) if self.more(until) => {}
                Ok(None) if self.bytes.is_empty() => return Ok(None),
                Ok(None) => return Err(Response::text(408, "the request has not come whole")),
                Err(why) => return Err(Response::text(400, why)),
            }
        };
        if head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            let mut stream: &TcpStream = self.client.stream();
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let until = begun.unwrap_or_else(Instant::now) + WHOLE;
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
        let came = clock::steady_ms();
        let path = head.path.split('?').next().unwrap_or("");
        match path {
            "/-/healthy" if self.site.intake.counters.mode.is_ready() => {
                return Some(Response::text(200, "ok"))
            }
            "/-/healthy" => return Some(Response::text(503, "no")),
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
        let field = |name: &str| {
            let mut field = Field::Absent;
            head.headers.iter().filter(|(n, _)| n == name).for_each(|(_, v)| field.put(v.as_bytes()));
            field
        };
        let own_job = self.job();
        let usual = class.deadline.to_string();
        let seen = match head.header("if-none-match") {
            Some(tag) if field("x-seen") == Field::Absent => {
                Field::Once(tag.trim_start_matches("W/").trim_matches('"').as_bytes())
            }
            _ => field("x-seen"),
        };
        let fields = Fields {
            job: field("x-job-id").or(&own_job),
            allow_ms: field("x-allow-ms").or(&usual),
            item: field("x-item"),
            part: field("x-slice"),
            group: field("x-set"),
            size_kb: field("x-ram-kb"),
            seen,
            unique: match (class.keyed, head.header("idempotency-key")) {
                (true, Some(key)) => Field::Once(key.trim_matches('"').as_bytes()),
                _ => Field::Absent,
            },
            shop: field("x-shop"),
        };
        let mut held = self.site.intake.bodies.held();
        if !held.grow(body.len()) {
            return Some(reply(&Answer::Refused { wait_ms: Some(500) }, false));
        }
        let conditional = head.header("if-none-match").is_some();
        if class.write {
            return self.write_once(head, &class, fields, body, held, came);
        }
        let state = self.site.in_force.now();
        if state.drained(came) {
            return Some(self.sent_away(&state));
        }
        if let Some(reply) = self.placed(&state, &class) {
            return Some(reply);
        }
        let Some(ready) = self.ready(&class, &fields, body, held, came) else {
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
        let mut reply = reply(&answer, conditional);
        if matches!(*answer, Answer::Refused { .. }) && self.sends_elsewhere(&state) {
            reply.headers.extend(self.elsewhere(&state));
        }
        Some(reply)
    }

    /// This front has drained: the client is told where to go, and to take its time, so that not all are there at
    /// the same moment.
    fn sent_away(&self, state: &State) -> Response {
        self.site.intake.counters.sent_away.fetch_add(1, Relaxed);
        let turn = self.site.jobs.fetch_add(1, Relaxed);
        let wait = SPREAD.0 + turn.wrapping_mul(37) % SPREAD.1;
        let mut reply = reply(&Answer::Refused { wait_ms: Some(wait) }, false);
        reply.headers.extend(self.elsewhere(state));
        reply
    }

    /// What the plan for a lost site says to this client before anything is done for it: to go elsewhere, or that it is refused.
    fn placed(&self, state: &State, class: &Class) -> Option<Response> {
        let failover = self.site.sites.as_ref()?;
        let view = &state.served.as_ref()?.view;
        let client = Net::host(self.client.stream().peer_addr().ok()?.ip());
        let (home, routing_draw, rejection_draw) = view.home(client);
        let home = &state.config.branch.get(usize::from(home?.0))?.name;
        let client = PlannedClient { home, class: &class.name, routing_draw, rejection_draw };
        match failover.decide(&client) {
            ClientDecision::ServeHere => None,
            ClientDecision::Redirect => {
                self.site.intake.counters.site_refused.fetch_add(1, Relaxed);
                Some(self.sent_away(state))
            }
            ClientDecision::Reject { max_wait_ms } => {
                self.site.intake.counters.site_refused.fetch_add(1, Relaxed);
                let turn = self.site.jobs.fetch_add(1, Relaxed);
                // Those who are refused do not return together.
                let half = max_wait_ms / 2;
                let wait = half + turn.wrapping_mul(0x9E37_79B9_7F4A_7C15) % half.max(1);
                Some(reply(&Answer::Refused { wait_ms: Some(wait) }, false))
            }
        }
    }

    /// The front drains, by its file or by an operator's word: those whom it refuses are told of another one.
    fn sends_elsewhere(&self, state: &State) -> bool {
        state.clings_until.is_some() || self.site.intake.counters.mode.sends_away()
    }

    fn elsewhere(&self, state: &State) -> Option<(&'static str, String)> {
        let client = self.client.stream().peer_addr().ok()?.ip();
        state.elsewhere(client, &self.site.name).map(|at| (USE, at.to_string()))
    }

    /// A request that must never run twice. It runs once for its key; once it has been sent on, whether or not this client
    /// stays for it.
    fn write_once(
        &self,
        head: &RequestHead,
        class: &Class,
        fields: Fields<'_>,
        body: Vec<u8>,
        held: Held,
        came: Ms,
    ) -> Option<Response> {
        let key = head.header("idempotency-key").map(|k| Token::new(k.trim_matches('"').as_bytes()));
        let Some(Some(key)) = key else {
            return Some(Response::text(400, "an Idempotency-Key of 1 to 64 plain characters is needed"));
        };
        let (state, site) = (self.site.in_force.now(), self.site);
        // What has run here is told here, whoever owns the key now.
        if !site.ledger.knows(&key) {
            let mut owner = state.owner(key.as_str(), &site.name, came);
            if let Some(failover) = &site.sites {
                let by_sites = failover.owner(&state.config, key.as_str(), came, &failover.current());
                owner = by_sites.or_later(owner);
            }
            match owner {
                Owner::Other(owner) => {
                    let mut reply = Response::text(421, format!("front {} takes this key", owner.name));
                    reply.headers.extend(owner.http.first().map(|at| (USE, at.to_string())));
                    return Some(reply);
                }
                Owner::NotYet(until) => {
                    let wait = (until - came).clamp(1.0, 10_000.0) as u64;
                    return Some(reply(&Answer::Refused { wait_ms: Some(wait) }, false));
                }
                Owner::Ours if state.drained(came) => return Some(self.sent_away(&state)),
                // What must be served is never refused by plan; a client that is to go elsewhere is told who takes its key by 421.
                Owner::Ours => {}
            }
        }
        let print = site.ledger.print(&(&class.name, fields.item, fields.part, fields.group, &body));
        let Some(ready) = self.ready(class, &fields, body, held, came) else {
            return Some(Response::text(400, "X-Item, X-Slice or X-Allow-Ms can't be used"));
        };
        let deadline = ready.deadline;
        let result = match site.ledger.enter(&key, print, came) {
            Entered::Repeat(answer) => return Some(reply(&answer, false)),
            Entered::OtherRequest => {
                return Some(Response::text(422, "this Idempotency-Key was used for another request"))
            }
            Entered::Refuse => return Some(reply(&Answer::Refused { wait_ms: Some(500) }, false)),
            Entered::Join(result) => result,
            Entered::Run(result) => {
                let ledger = site.ledger.clone();
                let ended = key.clone();
                let responder =
                    Responder::new(move |answer| ledger.finish(&ended, answer, clock::steady_ms()));
                let id = site.intake.hand_in(ready, responder);
                site.ledger.runs(&key, id);
                result
            }
        };
        let answer = self.wait(&result.result, deadline);
        if answer.is_none() {
            if let Some(id) = site.ledger.leave(&key, &result) {
                let _ = site.intake.inputs.send(Input::NoWaiters(id));
            }
        }
        answer.map(|answer| reply(&answer, false))
    }

    /// Waits for the answer; `None` where the client leaves before. Where the deadline passes it has failed.
    fn wait(&self, answer: &Receiver<Arc<Answer>>, deadline: Ms) -> Option<Arc<Answer>> {
        loop {
            match answer.recv_timeout(LOOK) {
                Ok(answer) => return Some(answer),
                Err(RecvTimeoutError::Disconnected) => return Some(Arc::new(Answer::Failed)),
                Err(RecvTimeoutError::Timeout) if clock::steady_ms() > deadline + SLACK => {
                    return Some(Arc::new(Answer::Failed))
                }
                Err(RecvTimeoutError::Timeout) if self.client_left() => return None,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn client_left(&self) -> bool {
        let stream = self.client.stream();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = stream.peek(&mut [0]);
        let blocking = stream.set_nonblocking(false);
        let waits = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        blocking.is_err() || matches!(seen, Ok(0)) || seen.is_err_and(|e| !waits(&e))
    }

    /// Nobody here waits longer than the class allows: the ledger counts on it.
    fn ready(
        &self,
        class: &Class,
        fields: &Fields<'_>,
        body: Vec<u8>,
        held: Held,
        came: Ms,
    ) -> Option<Ready> {
        let ready = self.site.intake.ready(&class.name, fields, body, held, came);
        if ready.is_none() {
            self.site.intake.counters.bad_requests.fetch_add(1, Relaxed);
        }
        ready.map(|r| Ready { deadline: r.deadline.min(came + class.deadline), ..r })
    }

    /// An id for a request that has none: 16 hex digits, never the same again.
    fn job(&self) -> String {
        let next = self.site.jobs.fetch_add(1, Relaxed);
        let mixed = (self.site.seed ^ next.wrapping_mul(0x9E37_79B9_7F4A_7C15)).rotate_left(23);
        format!("{:016x}", mixed.wrapping_mul(0xBF58_476D_1CE4_E5B9))
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

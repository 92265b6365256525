//! The HTTP/1.1 server for clients that followed a DNS answer. Every request is routed anew when it arrives.

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
use crate::exchange::{Answer, Class, Responder, Token};
use crate::fleet::site_failover::{Client as PlannedClient, ClientDecision, SiteFailover};
use crate::memory::budget::Held;
use crate::memory::counters::Counters;
use crate::memory::ledger::{Entered, Ledger};
use crate::process::accept::accept_until;
use crate::process::start_gate::StartGate;
use crate::process::{clock, spawn};
use crate::server::clients::{AnswerMemory, Client, Clients, OpenError, Protocol, REQUEST_TIMEOUT};
use crate::server::{Field, Intake, RequestFields, ValidRequest};
use crate::wire::http::{self, Body, RequestHead};

const MAX_BODY_BYTES: usize = 48_000;
/// A response body up to this size is written together with its head.
const MAX_JOINED_BODY_BYTES: usize = 4096;
/// Timeout of a connection without a request. A write to a client that does not read is given up after the same time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A request must be complete this long after its first byte: slightly less than the connection timeout, so that the
/// client still gets a 408.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(REQUEST_TIMEOUT.as_millis() as u64 - 300);
/// Limits, in bytes and time, for reading and discarding the rest of a rejected request: closing a socket with unread
/// bytes resets it and loses the answer.
const REJECTED_INPUT_LIMITS: (u64, Duration) = (64 << 20, Duration::from_secs(5));
/// The same limits after the last answer of a connection without errors.
const LINGER_LIMITS: (u64, Duration) = (16 << 20, Duration::from_secs(2));
/// The interval at which a waiting thread checks whether its client is still connected.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long after its deadline an answer is still awaited; the engine gives one by then.
const ANSWER_GRACE_MS: Ms = 40.0;
/// Names the address that the client should use instead.
const USE_ADDRESS_HEADER: &str = "X-Use-Address";
/// Clients of a drained front are told to wait at least this long, plus a share of the spread.
const REDIRECT_MIN_WAIT_MS: u64 = 50;
const REDIRECT_WAIT_SPREAD_MS: u64 = 400;
const API_PREFIX: &str = "/api/v2/";

/// State that all HTTP listeners of the process share.
pub struct HttpContext {
    pub name: String,
    pub intake: Arc<Intake>,
    pub clients: Clients,
    pub ledger: Arc<Ledger>,
    pub in_force: Arc<InForce>,
    /// Present where sites are monitored for failover.
    pub sites: Option<Arc<SiteFailover>>,
    pub seed: u64,
    pub job_counter: AtomicU64,
}

/// Starts the thread that accepts connections once the gate opens.
///
/// # Errors
/// If the thread cannot be started.
pub fn start(
    listener: TcpListener,
    context: &Arc<HttpContext>,
    stop: &Arc<AtomicBool>,
    gate: &StartGate,
) -> io::Result<()> {
    let (context, stop, gate) = (context.clone(), stop.clone(), gate.clone());
    let run = move || {
        gate.wait();
        accept(&listener, &context, &stop);
    };
    spawn("http-accept", run).map(drop)
}

fn accept(listener: &TcpListener, context: &Arc<HttpContext>, stop: &Arc<AtomicBool>) {
    accept_until(
        "http",
        listener,
        || stop.load(Relaxed),
        |stream| {
            let Some(admitted) = context.clients.admit(stream, Protocol::Http) else { return };
            let (context, stop) = (context.clone(), stop.clone());
            let served = spawn("http-client", move || {
                let client = &admitted.client;
                let run = || Connection { context: &context, stop: &stop, client, input: Vec::new() }.serve();
                if catch_unwind(AssertUnwindSafe(run)).is_err() {
                    eprintln!("http connection: dropped after a panic");
                }
            });
            if let Err(error) = served {
                eprintln!("http: cannot start a connection thread: {error}");
            }
        },
    );
}

/// A response before it is encoded.
struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: ResponseBody,
    /// What is reserved for the body, if that was done when it came.
    memory: Option<AnswerMemory>,
}

/// An answer of the engine, with the memory that is reserved for it until its client has it.
struct HeldAnswer {
    answer: Arc<Answer>,
    memory: Option<AnswerMemory>,
}

impl HeldAnswer {
    /// Reserves memory for an answer when the engine gives it, not when the client's thread gets to it: beside other work
    /// hundreds of threads may wait for the processor with an answer each. Where there is no memory the answer is given up.
    fn reserve(
        answer: Answer,
        client: &Arc<Client>,
        may_be_repeated: bool,
        counters: &Counters,
    ) -> HeldAnswer {
        let bytes = answer.body_bytes();
        let memory = (bytes > 0).then(|| client.reserve_answer_memory(bytes)).flatten();
        if bytes == 0 || memory.is_some() {
            return HeldAnswer { answer: Arc::new(answer), memory };
        }
        counters.answers_shed.fetch_add(1, Relaxed);
        HeldAnswer { answer: Arc::new(Answer::given_up(may_be_repeated)), memory: None }
    }

    fn failed() -> HeldAnswer {
        HeldAnswer { answer: Arc::new(Answer::Failed), memory: None }
    }
}

/// The body of a response.
enum ResponseBody {
    Text(String),
    /// The bytes of a served copy, which is not copied: many may wait for their clients.
    Copy(Arc<Answer>),
}

impl ResponseBody {
    fn bytes(&self) -> &[u8] {
        match self {
            ResponseBody::Text(text) => text.as_bytes(),
            ResponseBody::Copy(answer) => match &**answer {
                Answer::Served(copy) => &copy.bytes,
                Answer::Refused { .. } | Answer::Failed => &[],
            },
        }
    }
}

impl Response {
    fn text(status: u16, text: impl Into<String>) -> Response {
        let mut text = text.into();
        text.push('\n');
        Response {
            status,
            headers: vec![("Content-Type", "text/plain".into())],
            body: ResponseBody::Text(text),
            memory: None,
        }
    }
}

/// One client connection and the bytes received and not yet used.
struct Connection<'a> {
    context: &'a HttpContext,
    stop: &'a AtomicBool,
    client: &'a Arc<Client>,
    input: Vec<u8>,
}

impl Connection<'_> {
    fn serve(&mut self) {
        let _ = self.client.stream().set_nodelay(true);
        let _ = self.client.stream().set_write_timeout(Some(IDLE_TIMEOUT));
        while !self.stop.load(Relaxed) {
            match self.read_request() {
                Ok(Some((head, body))) => {
                    self.client.record_valid_request();
                    let opened = self.client.open_request(&self.context.intake.counters);
                    // Not earlier: until the request is open it counts as partially received, so that the connection is
                    // not idle.
                    self.client.set_receive_start(None);
                    let mut open_guard = match opened {
                        Ok(open_guard) => open_guard,
                        Err(OpenError::Closed) => return,
                        Err(OpenError::TooMany) => {
                            self.context.intake.counters.refused_early.fetch_add(1, Relaxed);
                            if self.send(&refusal(500), false, false) {
                                self.discard_rest(LINGER_LIMITS);
                            }
                            return;
                        }
                    };
                    let Some(response) = self.answer(&head, body) else { return };
                    open_guard.record_answer();
                    let keep = head.keep_alive && !self.context.intake.counters.mode.sends_away();
                    let written = self.send_answer(&response, keep, head.method == "HEAD");
                    drop(open_guard);
                    if !written {
                        return;
                    }
                    if !keep {
                        break;
                    }
                }
                Ok(None) => break,
                Err(refused) => {
                    self.context.intake.counters.bad_requests.fetch_add(1, Relaxed);
                    if self.send(&refused, false, false) {
                        self.discard_rest(REJECTED_INPUT_LIMITS);
                    }
                    return;
                }
            }
        }
        self.discard_rest(LINGER_LIMITS);
    }

    /// Writes a response; false if the client did not take it.
    fn send(&self, response: &Response, keep: bool, head_only: bool) -> bool {
        let body = response.body.bytes();
        let mut head = http::encode_response_head(response.status, &response.headers, body.len(), keep);
        let has_body = !head_only && response.status != http::NOT_MODIFIED;
        let mut rest = if has_body { body } else { &[] };
        if rest.len() <= MAX_JOINED_BODY_BYTES {
            head.extend_from_slice(rest);
            rest = &[];
        }
        self.client.start_write();
        let mut stream: &TcpStream = self.client.stream();
        let written = stream.write_all(&head).and_then(|()| stream.write_all(rest)).is_ok();
        self.client.finish_write();
        written
    }

    /// Sends an answer with the memory that it takes reserved; where there is none, its client is told to return. False
    /// if the client did not take it.
    fn send_answer(&self, response: &Response, keep: bool, head_only: bool) -> bool {
        if response.memory.is_some() {
            return self.send(response, keep, head_only);
        }
        let Some(_memory) = self.client.reserve_answer_memory(response.body.bytes().len()) else {
            self.context.intake.counters.answers_shed.fetch_add(1, Relaxed);
            let refused = refusal(500);
            return self.send(&refused, keep, head_only);
        };
        self.send(response, keep, head_only)
    }

    /// Shuts down our side and discards input until the client closes its own, within these limits.
    fn discard_rest(&mut self, (mut left, max_time): (u64, Duration)) {
        let _ = self.client.stream().shutdown(Shutdown::Write);
        let until = Instant::now() + max_time;
        // Lifts the deadline for the first request, so that the watch thread does not close the connection meanwhile.
        self.client.record_valid_request();
        self.client.set_receive_start(None);
        loop {
            self.input.clear();
            if !self.read_more(until) || self.input.len() as u64 > left {
                return;
            }
            left -= self.input.len() as u64;
        }
    }

    /// Reads more bytes; false if there are none left or the time is over.
    fn read_more(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        let mut chunk = [0; 8192];
        let mut stream: &TcpStream = self.client.stream();
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return false;
        }
        match stream.read(&mut chunk) {
            Ok(got) if got > 0 => self.input.extend_from_slice(&chunk[..got]),
            // A process that is stopped and continued gets this error from every read with a timeout.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return false,
        }
        true
    }

    /// Reads the next request; `None` if the client sends no more, an error response if it is malformed.
    fn read_request(&mut self) -> Result<Option<(RequestHead, Vec<u8>)>, Response> {
        let (waiting_since, mut first_byte_at) = (Instant::now(), None);
        let head = loop {
            let until = match self.input.is_empty() {
                true => waiting_since + IDLE_TIMEOUT,
                false => {
                    let first_byte_at = *first_byte_at.get_or_insert_with(Instant::now);
                    self.client.set_receive_start(Some(first_byte_at));
                    first_byte_at + REQUEST_READ_TIMEOUT
                }
            };
            match http::parse_request_head(&self.input) {
                Ok(Some(head)) => break head,
                Ok(None) if self.read_more(until) => {}
                Ok(None) if self.input.is_empty() => return Ok(None),
                Ok(None) => return Err(Response::text(408, "the request has not come whole")),
                Err(error) => return Err(Response::text(400, error)),
            }
        };
        if head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            let mut stream: &TcpStream = self.client.stream();
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let until = first_byte_at.unwrap_or_else(Instant::now) + REQUEST_READ_TIMEOUT;
        loop {
            let rest = &self.input[head.head_bytes..];
            let complete = match head.body {
                Body::Length(length) if length > MAX_BODY_BYTES => None,
                Body::Length(length) if rest.len() >= length => Some((rest[..length].to_vec(), length)),
                Body::Length(_) | Body::UntilClose => Some((Vec::new(), usize::MAX)),
                Body::Chunked if rest.len() > 2 * MAX_BODY_BYTES => None,
                Body::Chunked => match http::decode_chunked(rest) {
                    Ok(complete) => complete.or(Some((Vec::new(), usize::MAX))),
                    Err(error) => return Err(Response::text(400, error)),
                },
            };
            match complete {
                Some((body, consumed)) if consumed != usize::MAX && body.len() <= MAX_BODY_BYTES => {
                    self.input.drain(..head.head_bytes + consumed);
                    return Ok(Some((head, body)));
                }
                Some((_, usize::MAX)) => {
                    if !self.read_more(until) {
                        return Err(Response::text(408, "the request has not come whole"));
                    }
                }
                _ => return Err(Response::text(413, format!("{MAX_BODY_BYTES} bytes at most"))),
            }
        }
    }

    /// Answers a request; `None` if the client has disconnected.
    fn answer(&self, head: &RequestHead, body: Vec<u8>) -> Option<Response> {
        let received_at = clock::steady_ms();
        let path = head.path.split('?').next().unwrap_or("");
        match path {
            "/-/healthy" if self.context.intake.counters.mode.is_ready() => {
                return Some(Response::text(200, "ok"))
            }
            "/-/healthy" => return Some(Response::text(503, "no")),
            "/-/counters" => return Some(Response::text(200, self.context.intake.counters.to_string())),
            _ => {}
        }
        let class = path.strip_prefix(API_PREFIX).and_then(|name| self.context.intake.class(name));
        let Some(class) = class else { return Some(Response::text(404, "there is no such class")) };
        let method = match (class.write, head.method.as_str()) {
            (true, "POST") | (false, "GET" | "HEAD") => None,
            (true, _) => Some("POST"),
            (false, _) => Some("GET, HEAD"),
        };
        if let Some(allowed) = method {
            let mut response = Response::text(405, "not with this method");
            response.headers.push(("Allow", allowed.into()));
            return Some(response);
        }
        let field = |name: &str| {
            let mut collected = Field::Absent;
            head.headers.iter().filter(|(n, _)| n == name).for_each(|(_, v)| collected.add(v.as_bytes()));
            collected
        };
        let default_job = self.new_job_id();
        let default_allow_ms = class.deadline.to_string();
        let seen = match head.header("if-none-match") {
            Some(tag) if field("x-seen") == Field::Absent => {
                Field::Single(tag.trim_start_matches("W/").trim_matches('"').as_bytes())
            }
            _ => field("x-seen"),
        };
        let fields = RequestFields {
            job: field("x-job-id").or_default_value(&default_job),
            allow_ms: field("x-allow-ms").or_default_value(&default_allow_ms),
            item: field("x-item"),
            part: field("x-slice"),
            group: field("x-set"),
            size_kb: field("x-ram-kb"),
            seen,
            unique: match (class.keyed, head.header("idempotency-key")) {
                (true, Some(key)) => Field::Single(key.trim_matches('"').as_bytes()),
                _ => Field::Absent,
            },
            shop: field("x-shop"),
        };
        let mut held = self.context.intake.request_memory.held();
        if !held.grow(body.len()) {
            return Some(refusal(500));
        }
        let conditional = head.header("if-none-match").is_some();
        if class.write {
            return self.answer_keyed_write(head, &class, fields, body, held, received_at);
        }
        let state = self.context.in_force.now();
        if state.is_drained(received_at) {
            return Some(self.redirect_response(&state));
        }
        if let Some(response) = self.failover_response(&state, &class) {
            return Some(response);
        }
        let Some(request) = self.validate(&class, &fields, body, held, received_at) else {
            return Some(Response::text(400, "X-Item, X-Slice or X-Allow-Ms can't be used"));
        };
        let deadline = request.deadline;
        let (to, answer) = bounded(1);
        let (client, counters) = (self.client.clone(), self.context.intake.counters.clone());
        let may_be_repeated = !class.once;
        let responder = Responder::new(move |answer| {
            drop(to.try_send(HeldAnswer::reserve(answer, &client, may_be_repeated, &counters)))
        });
        let id = self.context.intake.submit(self.client.source(), request, responder);
        let Some(HeldAnswer { answer, memory }) = self.wait(&answer, deadline, HeldAnswer::failed) else {
            // The client has disconnected: its request is abandoned.
            self.context.intake.requests.abandon(self.client.source(), id);
            return None;
        };
        let mut response = Response { memory, ..response_for(&answer, conditional) };
        if matches!(*answer, Answer::Refused { .. }) && self.redirects_clients(&state) {
            response.headers.extend(self.alternative_address(&state));
        }
        Some(response)
    }

    /// The response of a drained front: it names another address, and a waiting time that differs between clients so
    /// that they do not all arrive there at once.
    fn redirect_response(&self, state: &State) -> Response {
        self.context.intake.counters.sent_away.fetch_add(1, Relaxed);
        let sequence = self.context.job_counter.fetch_add(1, Relaxed);
        let wait = REDIRECT_MIN_WAIT_MS + sequence.wrapping_mul(37) % REDIRECT_WAIT_SPREAD_MS;
        let mut response = refusal(wait);
        response.headers.extend(self.alternative_address(state));
        response
    }

    /// The response that the failover plan of a lost site prescribes for this client before any work is done: a
    /// redirect or a rejection; `None` if the client is served here.
    fn failover_response(&self, state: &State, class: &Class) -> Option<Response> {
        let failover = self.context.sites.as_ref()?;
        let view = &state.served.as_ref()?.view;
        let client = Net::host(self.client.stream().peer_addr().ok()?.ip());
        let (home, routing_draw, rejection_draw) = view.home(client);
        let home = &state.config.branch.get(usize::from(home?.0))?.name;
        let client = PlannedClient { home, class: &class.name, routing_draw, rejection_draw };
        match failover.decide(&client) {
            ClientDecision::ServeHere => None,
            ClientDecision::Redirect => {
                self.context.intake.counters.site_refused.fetch_add(1, Relaxed);
                Some(self.redirect_response(state))
            }
            ClientDecision::Reject { max_wait_ms } => {
                self.context.intake.counters.site_refused.fetch_add(1, Relaxed);
                let sequence = self.context.job_counter.fetch_add(1, Relaxed);
                // The waiting times are spread, so that rejected clients do not return at once.
                let half = max_wait_ms / 2;
                let wait = half + sequence.wrapping_mul(0x9E37_79B9_7F4A_7C15) % half.max(1);
                Some(refusal(wait))
            }
        }
    }

    /// Whether the front drains, by configuration or by an operator command: rejected clients are told another address.
    fn redirects_clients(&self, state: &State) -> bool {
        state.drain_grace_until.is_some() || self.context.intake.counters.mode.sends_away()
    }

    /// The header that names another address for this client, if there is one.
    fn alternative_address(&self, state: &State) -> Option<(&'static str, String)> {
        let client = self.client.stream().peer_addr().ok()?.ip();
        state.redirect_address(client, &self.context.name).map(|at| (USE_ADDRESS_HEADER, at.to_string()))
    }

    /// Handles a request that must never run twice. It runs once for its key; once it has been forwarded, it does so
    /// whether or not this client stays connected.
    fn answer_keyed_write(
        &self,
        head: &RequestHead,
        class: &Class,
        fields: RequestFields<'_>,
        body: Vec<u8>,
        held: Held,
        received_at: Ms,
    ) -> Option<Response> {
        let key = head.header("idempotency-key").map(|k| Token::new(k.trim_matches('"').as_bytes()));
        let Some(Some(key)) = key else {
            return Some(Response::text(400, "an Idempotency-Key of 1 to 64 plain characters is needed"));
        };
        let (state, context) = (self.context.in_force.now(), self.context);
        // The outcome of what has run here is given here, whichever front owns the key now.
        if !context.ledger.knows(&key) {
            let mut owner = state.owner(key.as_str(), &context.name, received_at);
            if let Some(failover) = &context.sites {
                let by_sites = failover.owner(&state.config, key.as_str(), received_at, &failover.current());
                owner = by_sites.with_later_handover(owner);
            }
            match owner {
                Owner::Other(owner) => {
                    let mut response = Response::text(421, format!("front {} takes this key", owner.name));
                    response
                        .headers
                        .extend(owner.http.first().map(|at| (USE_ADDRESS_HEADER, at.to_string())));
                    return Some(response);
                }
                Owner::NotYet(until) => {
                    let wait = (until - received_at).clamp(1.0, 10_000.0) as u64;
                    return Some(refusal(wait));
                }
                Owner::Ours if state.is_drained(received_at) => return Some(self.redirect_response(&state)),
                // A request that must be served is never rejected by the failover plan; a client that should go
                // elsewhere learns the owner of its key from a 421.
                Owner::Ours => {}
            }
        }
        let fingerprint = context.ledger.print(&(&class.name, fields.item, fields.part, fields.group, &body));
        let Some(request) = self.validate(class, &fields, body, held, received_at) else {
            return Some(Response::text(400, "X-Item, X-Slice or X-Allow-Ms can't be used"));
        };
        let deadline = request.deadline;
        let result = match context.ledger.enter(&key, fingerprint, received_at) {
            Entered::Repeat(answer) => return Some(response_for(&answer, false)),
            Entered::OtherRequest => {
                return Some(Response::text(422, "this Idempotency-Key was used for another request"))
            }
            Entered::Refuse => return Some(refusal(500)),
            Entered::Join(result) => result,
            Entered::Run(result) => {
                let ledger = context.ledger.clone();
                let finished_key = key.clone();
                let responder =
                    Responder::new(move |answer| ledger.finish(&finished_key, answer, clock::steady_ms()));
                let id = context.intake.submit(self.client.source(), request, responder);
                context.ledger.runs(&key, id);
                result
            }
        };
        let answer = self.wait(&result.result, deadline, || Arc::new(Answer::Failed));
        if answer.is_none() {
            if let Some(id) = context.ledger.leave(&key, &result) {
                context.intake.requests.abandon_by_all(id);
            }
        }
        answer.map(|answer| response_for(&answer, false))
    }

    /// Waits for the answer; `None` if the client disconnects first. After the deadline the answer is a failure.
    fn wait<T>(&self, answer: &Receiver<T>, deadline: Ms, failed: impl FnOnce() -> T) -> Option<T> {
        loop {
            match answer.recv_timeout(CLIENT_CHECK_INTERVAL) {
                Ok(answer) => return Some(answer),
                Err(RecvTimeoutError::Disconnected) => return Some(failed()),
                Err(RecvTimeoutError::Timeout) if clock::steady_ms() > deadline + ANSWER_GRACE_MS => {
                    return Some(failed())
                }
                Err(RecvTimeoutError::Timeout) if self.client_left() => return None,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Whether the client has closed its side of the connection.
    fn client_left(&self) -> bool {
        let stream = self.client.stream();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = stream.peek(&mut [0]);
        let blocking = stream.set_nonblocking(false);
        let would_block = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        blocking.is_err() || matches!(seen, Ok(0)) || seen.is_err_and(|e| !would_block(&e))
    }

    /// Validates a request. Its deadline is bounded by its class: the ledger relies on no client waiting longer.
    fn validate(
        &self,
        class: &Class,
        fields: &RequestFields<'_>,
        body: Vec<u8>,
        held: Held,
        received_at: Ms,
    ) -> Option<ValidRequest> {
        let request = self.context.intake.validate(&class.name, fields, body, held, received_at);
        if request.is_none() {
            self.context.intake.counters.bad_requests.fetch_add(1, Relaxed);
        }
        request.map(|r| ValidRequest { deadline: r.deadline.min(received_at + class.deadline), ..r })
    }

    /// A unique id of 16 hexadecimal digits for a request without one.
    fn new_job_id(&self) -> String {
        let next = self.context.job_counter.fetch_add(1, Relaxed);
        let mixed = (self.context.seed ^ next.wrapping_mul(0x9E37_79B9_7F4A_7C15)).rotate_left(23);
        format!("{:016x}", mixed.wrapping_mul(0xBF58_476D_1CE4_E5B9))
    }
}

/// A rejection that tells the client when to return, in milliseconds.
fn refusal(wait_ms: u64) -> Response {
    response_for(&Arc::new(Answer::Refused { wait_ms: Some(wait_ms) }), false)
}

/// Maps an answer of the engine to an HTTP response.
fn response_for(answer: &Arc<Answer>, conditional: bool) -> Response {
    match &**answer {
        Answer::Served(copy) => {
            let mut headers = vec![("Content-Type", "application/octet-stream".to_owned())];
            headers.extend(copy.digest.as_ref().map(|d| ("ETag", format!("\"{}\"", d.as_str()))));
            if copy.client_has_it {
                headers.push(("X-Current", "1".into()));
            }
            let status = if copy.client_has_it && conditional { 304 } else { 200 };
            Response { status, headers, body: ResponseBody::Copy(answer.clone()), memory: None }
        }
        Answer::Refused { wait_ms } => {
            let mut response = Response::text(503, "refused: trying again does no harm");
            if let Some(ms) = wait_ms {
                response.headers.push(("X-Wait-Ms", ms.to_string()));
                response.headers.push(("Retry-After", ms.div_ceil(1000).max(1).to_string()));
            }
            response
        }
        Answer::Failed => Response::text(502, "failed"),
    }
}

#[cfg(test)]
mod tests;

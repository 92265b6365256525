//! The FastCGI 1.0 side of the front, as a web server speaks it: one connection carries many open requests at a time.
//! Received bytes go in, chunks of answers come out; `sockets` moves both.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Instant;

use elmtide::RequestId;
use elmtide_drain::ConnectionActivity;

use crate::exchange::{Answer, Responder};
use crate::memory::budget::Held;
use crate::memory::job_ids::Claimed;
use crate::memory::mode::Mode;
use crate::process::clock;
use crate::server::clients::{Client, OpenError, OpenRequestGuard};
use crate::server::mailbox::{Delivery, EngineSlots, Mailbox};
use crate::server::output_queue::{EncodedAnswer, OutputQueue, Substitute};
use crate::server::{Intake, RequestFields};
use crate::wire::fastcgi::{self, Malformed, Pairs, ProtocolStatus, Record};

/// The maximum number of open requests on one connection. Web servers keep to 32; more are rejected.
const MAX_REQUESTS_PER_CONNECTION: usize = 32;
/// Requests of one connection that the engine may hold, those included that their client has given up: all that may be
/// open, and as many that were aborted. The connection waits beyond it.
const MAX_ENGINE_SLOTS: usize = 2 * MAX_REQUESTS_PER_CONNECTION;
/// Records of one connection that are handled in a turn: about a dozen requests.
const MAX_RECORDS_PER_TURN: usize = 64;
/// A client with this many unwritten chunks is not read from.
pub const MAX_QUEUED_CHUNKS: usize = 64;
/// A client whose job id may still be running is told to return after this time.
const CLAIMED_JOB_WAIT_MS: u64 = 500;
/// The application status of an answer that ends early.
const INCOMPLETE_STATUS: u32 = 1;
/// Bounds of the parameters and of the body of one request.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// This many consecutive invalid requests end a connection, so that a client that repeats them costs nothing more.
const MAX_CONSECUTIVE_INVALID: u32 = 16;
const HEALTH_PATH: &[u8] = b"/-/healthy";
const API_PREFIX: &str = "/api/v2/";

/// A request that has been received in part.
#[derive(Debug)]
struct PartialRequest {
    started_at: Instant,
    params: Vec<u8>,
    params_done: bool,
    body: Vec<u8>,
    held: Held,
    keep_connection: bool,
}

/// A request that has been submitted and not answered yet, and whether the connection stays open after the answer.
#[derive(Debug)]
struct OpenRequest {
    request: RequestId,
    serial: u64,
    keep_connection: bool,
    open_guard: OpenRequestGuard,
}

/// Why a connection cannot go on.
#[derive(Debug)]
pub enum ConnectionError {
    Malformed(Malformed),
    ParamsTooLong,
    ReusedRequestId(u16),
    TooManyInvalid,
    /// This side closed the connection at the moment at which a request became complete.
    Closed,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Malformed(error) => write!(f, "a record that can't be read ({error:?})"),
            ConnectionError::ParamsTooLong => write!(f, "a request that is too long"),
            ConnectionError::ReusedRequestId(id) => write!(f, "request id {id}, reused while it was open"),
            ConnectionError::TooManyInvalid => {
                write!(f, "{MAX_CONSECUTIVE_INVALID} consecutive invalid requests")
            }
            ConnectionError::Closed => write!(f, "a request that arrived while its connection was closing"),
        }
    }
}

impl From<Malformed> for ConnectionError {
    fn from(error: Malformed) -> ConnectionError {
        ConnectionError::Malformed(error)
    }
}

/// The protocol state of one connection.
pub struct FastCgiSession {
    connection: u64,
    client: Arc<Client>,
    intake: Arc<Intake>,
    mailbox: Mailbox,
    /// The received part of an incomplete record.
    input: Vec<u8>,
    partial_record_since: Option<Instant>,
    partial_requests: HashMap<u16, PartialRequest>,
    open_requests: HashMap<u16, OpenRequest>,
    last_serial: u64,
    /// Consecutive invalid requests so far.
    consecutive_invalid: u32,
    /// A complete request has been received.
    has_received_request: bool,
    /// Whole records are left in `input`.
    has_unhandled_records: bool,
    slots: EngineSlots,
    /// What is to be written.
    pub output: OutputQueue,
}

impl Drop for FastCgiSession {
    /// The client has disconnected: its open requests are abandoned.
    fn drop(&mut self) {
        for (_, open) in self.open_requests.drain() {
            self.intake.requests.abandon(self.client.source(), open.request);
        }
    }
}

impl FastCgiSession {
    /// Creates the state of a new connection.
    pub fn new(
        connection: u64,
        client: Arc<Client>,
        intake: Arc<Intake>,
        mailbox: Mailbox,
    ) -> FastCgiSession {
        let slots = EngineSlots::new(connection, mailbox.clone());
        FastCgiSession {
            connection,
            client,
            intake,
            mailbox,
            input: Vec::new(),
            partial_record_since: None,
            partial_requests: HashMap::new(),
            open_requests: HashMap::new(),
            last_serial: 0,
            consecutive_invalid: 0,
            has_received_request: false,
            has_unhandled_records: false,
            slots,
            output: OutputQueue::default(),
        }
    }

    /// Processes received bytes.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        self.input.extend_from_slice(bytes);
        self.handle_records()
    }

    /// Handles records that have been received, as many as one turn allows; the others wait for the next turn, so that
    /// a client that sends much does not keep the thread from the others.
    pub fn handle_records(&mut self) -> Result<(), ConnectionError> {
        let input = std::mem::take(&mut self.input);
        let (mut position, mut handled) = (0, 0);
        self.has_unhandled_records = false;
        while let Some((record, used)) = fastcgi::parse_record(&input[position..])? {
            if handled >= MAX_RECORDS_PER_TURN || !self.takes_records() {
                self.has_unhandled_records = true;
                break;
            }
            self.handle_record(&record)?;
            (position, handled) = (position + used, handled + 1);
        }
        // The deadline of a partial record counts from the call that brought its first bytes.
        self.client.set_unhandled_input(self.has_unhandled_records);
        let has_partial_record = position < input.len() && !self.has_unhandled_records;
        self.partial_record_since = match has_partial_record {
            true if position == 0 => self.partial_record_since.or_else(|| Some(Instant::now())),
            true => Some(Instant::now()),
            false => None,
        };
        // An idle connection keeps no buffer allocated.
        self.input = match position {
            0 => input,
            _ => input[position..].to_vec(),
        };
        self.client.set_receive_start(
            self.partial_requests.values().map(|p| p.started_at).chain(self.partial_record_since).min(),
        );
        Ok(())
    }

    /// Whether records wait for a later turn. Nothing more is read until they are handled.
    pub fn has_unhandled_records(&self) -> bool {
        self.has_unhandled_records
    }

    /// Bytes that have been received and are not handled yet.
    pub fn input_bytes(&self) -> usize {
        self.input.len()
    }

    /// Whether the next turn can handle records that wait: a client that does not read its answers, or whose requests
    /// the engine has still to deal with, has to wait.
    pub fn can_go_on(&self) -> bool {
        self.has_unhandled_records && self.takes_records()
    }

    fn takes_records(&self) -> bool {
        self.output.len() < MAX_QUEUED_CHUNKS && self.slots.has_free(MAX_ENGINE_SLOTS)
    }

    /// Stops processing input and discards what has been received in part.
    pub fn stop_receiving(&mut self) {
        self.partial_requests.clear();
        self.has_unhandled_records = false;
        self.client.set_unhandled_input(false);
        (self.input, self.partial_record_since) = (Vec::new(), None);
        self.client.set_receive_start(None);
    }

    /// Whether a request is open or output is still to be written.
    pub fn owes_answer(&self) -> bool {
        !self.open_requests.is_empty() || !self.output.is_empty()
    }

    /// Queues the final answer to a request, unless the request was abandoned meanwhile.
    pub fn queue_answer(&mut self, delivery: &Delivery) {
        if self.open_requests.get(&delivery.fcgi_id).is_none_or(|o| o.serial != delivery.serial) {
            return;
        }
        let Some(open) = self.open_requests.remove(&delivery.fcgi_id) else { return };
        let keeps_connection = open.keep_connection;
        let answer = encode_answer(delivery, open);
        match delivery.answer {
            Answer::Refused { .. } if keeps_connection => self.output.push_answer_ahead(answer),
            _ => self.output.push_answer(answer),
        }
    }

    /// The activity of the connection, as far as a drain decides by it.
    pub fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            has_pending_response: self.owes_answer(),
            partial_requests: self.partial_requests.len(),
            has_partial_input: !self.input.is_empty(),
            // This costs a system call and does not matter while an answer is owed.
            has_unread_input: !self.owes_answer() && self.client.has_unread_bytes(),
            // Just before the process exits, connections are closed whether or not they have sent a request.
            has_received_request: self.has_received_request || self.mode().is_finishing(),
        }
    }

    /// The state of the process.
    pub fn mode(&self) -> &Mode {
        &self.intake.counters.mode
    }

    /// The number of open requests on the connection.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Rejects every partially received request; the remaining input of such a request is discarded.
    pub fn reject_partial_requests(&mut self) {
        let partial = std::mem::take(&mut self.partial_requests);
        self.intake.counters.drain_partial_rejected.fetch_add(partial.len() as u64, Relaxed);
        for (id, partial) in partial {
            self.queue_end(partial.keep_connection, |output| {
                fastcgi::write_end_request(output, id, 0, ProtocolStatus::Overloaded)
            });
        }
        self.client.set_receive_start(self.partial_record_since);
    }

    /// Queues a management response that ends no request.
    fn queue_response(&mut self, encode: impl FnOnce(&mut Vec<u8>)) {
        self.queue_end(true, encode);
    }

    /// Queues a response that ends a request without the engine; without KEEP_CONN the connection ends with it.
    fn queue_end(&mut self, keep_connection: bool, encode: impl FnOnce(&mut Vec<u8>)) {
        self.output.push_response(!keep_connection, encode);
    }

    /// Answers a request whose job id has come before.
    fn queue_repeated(&mut self, keep_connection: bool, id: u16, answer: &Answer) {
        self.intake.counters.repeated_jobs.fetch_add(1, Relaxed);
        self.queue_end(keep_connection, |output| output.extend(encode_records(id, answer)));
    }

    /// Handles one record.
    fn handle_record(&mut self, record: &Record<'_>) -> Result<(), ConnectionError> {
        let id = record.id;
        match record.kind {
            fastcgi::GET_VALUES if id == 0 => {
                let known_values =
                    [("FCGI_MAX_CONNS", "341"), ("FCGI_MAX_REQS", "1024"), ("FCGI_MPXS_CONNS", "1")];
                self.queue_response(|output| fastcgi::write_values(output, record.content, &known_values));
            }
            fastcgi::BEGIN_REQUEST => return self.handle_begin(id, record.content),
            fastcgi::ABORT_REQUEST => self.handle_abort(id),
            fastcgi::PARAMS | fastcgi::STDIN => return self.handle_content(record),
            fastcgi::DATA => {}
            kind if id == 0 => self.queue_response(|output| fastcgi::write_unknown_type(output, kind)),
            _ => {}
        }
        Ok(())
    }

    fn handle_begin(&mut self, id: u16, content: &[u8]) -> Result<(), ConnectionError> {
        let (role, flags) = fastcgi::parse_begin_request(content)?;
        if id == 0 || self.partial_requests.contains_key(&id) || self.open_requests.contains_key(&id) {
            return Err(ConnectionError::ReusedRequestId(id));
        }
        if role != fastcgi::RESPONDER {
            let keep_connection = flags & fastcgi::KEEP_CONN != 0;
            self.queue_end(keep_connection, |output| {
                fastcgi::write_end_request(output, id, 0, ProtocolStatus::UnknownRole)
            });
            return Ok(());
        }
        if self.partial_requests.len() + self.open_requests.len() >= MAX_REQUESTS_PER_CONNECTION {
            self.intake.counters.refused_early.fetch_add(1, Relaxed);
            self.queue_response(|output| {
                fastcgi::write_end_request(output, id, 0, ProtocolStatus::Overloaded)
            });
            return Ok(());
        }
        let partial = PartialRequest {
            started_at: Instant::now(),
            params: Vec::new(),
            params_done: false,
            body: Vec::new(),
            held: self.intake.request_memory.held(),
            keep_connection: flags & fastcgi::KEEP_CONN != 0,
        };
        self.partial_requests.insert(id, partial);
        Ok(())
    }

    fn handle_abort(&mut self, id: u16) {
        let (partial, open) = (self.partial_requests.remove(&id), self.open_requests.remove(&id));
        if let Some(open) = &open {
            self.intake.requests.abandon(self.client.source(), open.request);
        }
        // If it is neither partial nor open, its answer is on the way.
        if let Some(keep_connection) = partial.map(|p| p.keep_connection).or(open.map(|o| o.keep_connection))
        {
            self.queue_end(keep_connection, |output| {
                fastcgi::write_end_request(output, id, 1, ProtocolStatus::RequestComplete)
            });
        }
    }

    /// Content that belongs to no partial request is discarded, for example the rest of a rejected request, however
    /// long.
    fn handle_content(&mut self, record: &Record<'_>) -> Result<(), ConnectionError> {
        let id = record.id;
        let Some(partial) = self.partial_requests.get_mut(&id) else { return Ok(()) };
        let keep_connection = partial.keep_connection;
        let (stream, max_bytes) = match record.kind {
            fastcgi::PARAMS => (&mut partial.params, MAX_PARAMS_BYTES),
            _ => (&mut partial.body, MAX_BODY_BYTES),
        };
        if stream.len() + record.content.len() > max_bytes {
            return match record.kind {
                fastcgi::PARAMS => Err(ConnectionError::ParamsTooLong),
                _ => self.reject_invalid(
                    id,
                    keep_connection,
                    b"Status: 413 Content Too Large\r\nContent-Length: 0\r\n\r\n",
                ),
            };
        }
        if !partial.held.grow(record.content.len()) {
            self.partial_requests.remove(&id);
            self.intake.counters.refused_early.fetch_add(1, Relaxed);
            self.queue_end(keep_connection, |output| {
                fastcgi::write_end_request(output, id, 0, ProtocolStatus::Overloaded)
            });
            return Ok(());
        }
        stream.extend_from_slice(record.content);
        match (record.kind, record.content.is_empty()) {
            (fastcgi::PARAMS, true) => partial.params_done = true,
            (fastcgi::STDIN, true) if partial.params_done => return self.complete_request(id),
            _ => {}
        }
        Ok(())
    }

    /// Rejects an invalid request, whether or not it is complete.
    fn reject_invalid(&mut self, id: u16, keep_connection: bool, head: &[u8]) -> Result<(), ConnectionError> {
        self.intake.counters.bad_requests.fetch_add(1, Relaxed);
        self.partial_requests.remove(&id);
        self.queue_end(keep_connection, |output| {
            fastcgi::write_stdout(output, id, head, b"");
            fastcgi::write_end_request(output, id, 0, ProtocolStatus::RequestComplete);
        });
        self.consecutive_invalid += 1;
        // Open requests on the connection are still owed their answers, so it ends only once they are given.
        if self.consecutive_invalid >= MAX_CONSECUTIVE_INVALID && self.open_requests.is_empty() {
            return Err(ConnectionError::TooManyInvalid);
        }
        Ok(())
    }

    /// A request is complete: from its last byte on it counts as accepted.
    fn complete_request(&mut self, id: u16) -> Result<(), ConnectionError> {
        let received_at = clock::steady_ms();
        let Some(partial) = self.partial_requests.remove(&id) else { return Ok(()) };
        self.has_received_request = true;
        let mut fields = RequestFields::default();
        let mut path: &[u8] = b"";
        for pair in Pairs(&partial.params) {
            let (name, value) = pair?;
            match name {
                b"SCRIPT_NAME" => path = value,
                b"HTTP_X_JOB_ID" => fields.job.add(value),
                b"HTTP_X_ALLOW_MS" => fields.allow_ms.add(value),
                b"HTTP_X_ITEM" => fields.item.add(value),
                b"HTTP_X_SLICE" => fields.part.add(value),
                b"HTTP_X_SET" => fields.group.add(value),
                b"HTTP_X_RAM_KB" => fields.size_kb.add(value),
                b"HTTP_X_SEEN" => fields.seen.add(value),
                b"HTTP_X_UNIQUE" => fields.unique.add(value),
                _ => {}
            }
        }
        if path == HEALTH_PATH {
            self.client.record_valid_request();
            let (head, body): (&[u8], &[u8]) = match self.intake.counters.mode.is_ready() {
                true => (b"Status: 200 OK\r\nContent-Type: text/plain\r\n\r\n", b"ok\n"),
                false => (b"Status: 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\n", b"no\n"),
            };
            self.queue_end(partial.keep_connection, |output| {
                fastcgi::write_stdout(output, id, head, body);
                fastcgi::write_end_request(output, id, 0, ProtocolStatus::RequestComplete);
            });
            return Ok(());
        }
        let class = std::str::from_utf8(path).ok().and_then(|p| p.strip_prefix(API_PREFIX));
        let validated = class
            .and_then(|class| self.intake.validate(class, &fields, partial.body, partial.held, received_at));
        let Some(validated) = validated else {
            return self.reject_invalid(
                id,
                partial.keep_connection,
                b"Status: 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
            );
        };
        self.consecutive_invalid = 0;
        self.client.record_valid_request();
        let open_guard = match self.client.open_request(&self.intake.counters) {
            Ok(open_guard) => open_guard,
            Err(OpenError::Closed) => return Err(ConnectionError::Closed),
            Err(OpenError::TooMany) => {
                self.intake.counters.refused_early.fetch_add(1, Relaxed);
                self.queue_end(partial.keep_connection, |output| {
                    fastcgi::write_end_request(output, id, 0, ProtocolStatus::Overloaded)
                });
                return Ok(());
            }
        };
        let claim = match validated.claim_job(&self.intake.job_ids, received_at) {
            None => None,
            Some(Claimed::New(claim)) => Some(claim),
            Some(Claimed::Ended(answer)) => {
                self.queue_repeated(partial.keep_connection, id, &answer);
                return Ok(());
            }
            Some(Claimed::Refused) => {
                let refused = Answer::Refused { wait_ms: Some(CLAIMED_JOB_WAIT_MS) };
                self.queue_repeated(partial.keep_connection, id, &refused);
                return Ok(());
            }
        };
        self.last_serial += 1;
        let (connection, fcgi_id, serial) = (self.connection, id, self.last_serial);
        let (mailbox, slot) = (self.mailbox.clone(), self.slots.take());
        let (counters, may_be_repeated) = (self.intake.counters.clone(), validated.may_be_repeated);
        let responder = Responder::new(move |answer| {
            if !mailbox.post(Delivery { connection, fcgi_id, serial, may_be_repeated, answer }) {
                counters.answers_shed.fetch_add(1, Relaxed);
            }
            drop(slot);
        });
        let responder = responder.with_claim(claim);
        let request = self.intake.submit(self.client.source(), validated, responder);
        self.open_requests.insert(
            id,
            OpenRequest { request, serial, keep_connection: partial.keep_connection, open_guard },
        );
        Ok(())
    }
}

/// Encodes an answer as FastCGI records, with what takes its place if its memory is needed.
fn encode_answer(delivery: &Delivery, mut open: OpenRequest) -> EncodedAnswer {
    open.open_guard.record_answer();
    let id = delivery.fcgi_id;
    let has_body = matches!(&delivery.answer, Answer::Served(copy) if !copy.bytes.is_empty());
    let substitute = has_body.then(|| {
        let mut end = Vec::new();
        fastcgi::write_record(&mut end, fastcgi::STDOUT, id, &[]);
        fastcgi::write_end_request(&mut end, id, INCOMPLETE_STATUS, ProtocolStatus::RequestComplete);
        Substitute { answer: encode_records(id, &Answer::given_up(delivery.may_be_repeated)), end }
    });
    EncodedAnswer {
        bytes: encode_records(id, &delivery.answer),
        is_last: !open.keep_connection,
        substitute,
        open_guard: open.open_guard,
    }
}

fn encode_records(id: u16, answer: &Answer) -> Vec<u8> {
    let mut output = Vec::new();
    let no_body: &[u8] = &[];
    let (head, body) = match answer {
        Answer::Served(copy) if copy.client_has_it => {
            ("Status: 200 OK\r\nX-Current: 1\r\nContent-Length: 0\r\n\r\n".to_owned(), no_body)
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
            (format!("Status: 503 Service Unavailable\r\n{wait}Content-Length: 0\r\n\r\n"), no_body)
        }
        Answer::Failed => ("Status: 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n".to_owned(), no_body),
    };
    fastcgi::write_stdout(&mut output, id, head.as_bytes(), body);
    fastcgi::write_end_request(&mut output, id, 0, ProtocolStatus::RequestComplete);
    output
}

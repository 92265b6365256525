//! A web server that keeps one FastCGI connection to a front open and multiplexes requests on it.
//!
//! It records what it saw (when each request was written and how it ended, when the connection was opened and ended), so
//! that the checkers of `elmtide-rules` can judge a front by its clients' records and not by what it says of itself.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use elmtide_rules::front_drain::{ClientConnection, ClientRequest, RequestOutcome};

/// Requests that a web server keeps open on one connection at most.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// How often a waiting thread checks whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

const FCGI_VERSION: u8 = 1;
const FCGI_BEGIN_REQUEST: u8 = 1;
const FCGI_ABORT_REQUEST: u8 = 2;
const FCGI_END_REQUEST: u8 = 3;
const FCGI_PARAMS: u8 = 4;
const FCGI_STDIN: u8 = 5;
const FCGI_STDOUT: u8 = 6;
const FCGI_KEEP_CONNECTION: u8 = 1;
const FCGI_OVERLOADED: u8 = 2;
const RECORD_HEADER_LENGTH: usize = 8;

/// One FastCGI record without padding.
pub fn record(kind: u8, request_id: u16, content: &[u8]) -> Vec<u8> {
    let [id_high, id_low] = request_id.to_be_bytes();
    let [length_high, length_low] = (content.len() as u16).to_be_bytes();
    let header = [FCGI_VERSION, kind, id_high, id_low, length_high, length_low, 0, 0];
    [&header[..], content].concat()
}

/// One FastCGI name-value pair; both under 128 bytes.
fn name_value_pair(name: &str, value: &str) -> Vec<u8> {
    let lengths = [name.len() as u8, value.len() as u8];
    [&lengths[..], name.as_bytes(), value.as_bytes()].concat()
}

/// The records of one whole request.
pub fn request(request_id: u16, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut params = name_value_pair("SCRIPT_NAME", path);
    for (name, value) in headers {
        params.extend(name_value_pair(name, value));
    }
    let begin = [0, 1, FCGI_KEEP_CONNECTION, 0, 0, 0, 0, 0];
    let mut records = record(FCGI_BEGIN_REQUEST, request_id, &begin);
    records.extend(record(FCGI_PARAMS, request_id, &params));
    records.extend(record(FCGI_PARAMS, request_id, b""));
    if !body.is_empty() {
        records.extend(record(FCGI_STDIN, request_id, body));
    }
    records.extend(record(FCGI_STDIN, request_id, b""));
    records
}

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole response with this status, and the retry time that came with it.
    Status {
        /// The HTTP status.
        status: u16,
        /// `X-Wait-Ms`, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The protocol status OVERLOADED.
    Overloaded,
    /// The client gave it up by ABORT_REQUEST.
    Aborted,
    /// The connection ended first.
    ConnectionLost,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The job id that it was sent with.
    pub job: u64,
    /// When its last byte had been written.
    pub written: Instant,
    /// When and how it ended; none while it is open.
    pub end: Option<(Instant, RequestEnd)>,
    /// Answers that came after the first.
    pub extra_answers: u32,
}

/// One connection as its client saw it.
#[derive(Clone, Debug)]
pub struct ConnectionRecord {
    /// When it was established.
    pub opened: Instant,
    /// When the front's side ended, or the connection broke.
    pub ended: Option<Instant>,
    /// The connection broke by a reset instead of an orderly end.
    pub reset: bool,
    /// The requests on it, in the order in which they were written.
    pub requests: Vec<RequestRecord>,
}

#[derive(Debug)]
struct Shared {
    record: Mutex<ConnectionRecord>,
    /// Open requests: the place of each in the record by its FastCGI request id.
    open: Mutex<BTreeMap<u16, usize>>,
    stop: AtomicBool,
    ended: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What a web server asks for.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The class of its requests.
    pub class: String,
    /// The time between two requests.
    pub interval: Duration,
    /// How long it waits for an answer, in milliseconds (`X-Allow-Ms`).
    pub allow_ms: u32,
    /// Each request has a body of its own, by which a cache node knows whether it has run before.
    pub has_body: bool,
}

/// A web server's connection to a front.
#[derive(Debug)]
pub struct WebServerConnection {
    stream: TcpStream,
    shared: Arc<Shared>,
    next_request_id: AtomicU16,
    next_job: AtomicU64,
    reader: Option<JoinHandle<()>>,
}

impl WebServerConnection {
    /// Connects, and reads whatever the front says from then on.
    ///
    /// # Errors
    /// If the front can't be reached, or a thread can't be started.
    pub fn open(front: SocketAddr, first_job: u64) -> io::Result<WebServerConnection> {
        let mut connection = WebServerConnection::open_silent(front, first_job)?;
        connection.start_reading()?;
        Ok(connection)
    }

    /// Connects without ever reading, as a client that has fallen silent.
    ///
    /// # Errors
    /// If the front can't be reached.
    pub fn open_silent(front: SocketAddr, first_job: u64) -> io::Result<WebServerConnection> {
        let stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        let record =
            ConnectionRecord { opened: Instant::now(), ended: None, reset: false, requests: Vec::new() };
        let shared = Arc::new(Shared {
            record: Mutex::new(record),
            open: Mutex::default(),
            stop: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        Ok(WebServerConnection {
            stream,
            shared,
            next_request_id: AtomicU16::new(1),
            next_job: AtomicU64::new(first_job),
            reader: None,
        })
    }

    /// Reads answers on a thread of its own until the connection ends.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start_reading(&mut self) -> io::Result<()> {
        let (stream, shared) = (self.stream.try_clone()?, self.shared.clone());
        let reader = std::thread::Builder::new().spawn(move || read_answers(stream, &shared))?;
        self.reader = Some(reader);
        Ok(())
    }

    /// Sends requests at a steady rate on a thread of its own, until it is stopped or the front ends the connection.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start_sending(self, workload: Workload) -> io::Result<SendingWebServer> {
        let connection = Arc::new(self);
        let sender = connection.clone();
        let thread = std::thread::Builder::new().spawn(move || sender.send_steadily(&workload))?;
        Ok(SendingWebServer { connection, thread: Some(thread) })
    }

    fn send_steadily(&self, workload: &Workload) {
        let mut due = Instant::now();
        while !self.shared.stop.load(Relaxed) && !self.has_ended() {
            let left = due.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                std::thread::sleep(left.min(STOP_CHECK_INTERVAL));
                continue;
            }
            due += workload.interval;
            if self.open_requests() < MAX_OPEN_REQUESTS {
                let job = self.next_job.load(Relaxed).to_string();
                let body = if workload.has_body { job.as_bytes() } else { b"" };
                let sent = self.send(&workload.class, workload.allow_ms, body);
                if sent.is_err() {
                    return;
                }
            }
        }
    }

    /// Sends one request; its place in the record.
    ///
    /// # Errors
    /// If the connection takes no more bytes.
    pub fn send(&self, class: &str, allow_ms: u32, body: &[u8]) -> io::Result<usize> {
        let job = self.next_job.fetch_add(1, Relaxed);
        let (job_id, allow) = (format!("{job:016x}"), allow_ms.to_string());
        let headers = [
            ("HTTP_X_JOB_ID", &job_id[..]),
            ("HTTP_X_ITEM", "7f3a9c21e0b4d655"),
            ("HTTP_X_ALLOW_MS", &allow),
        ];
        let request_id = self.free_request_id();
        let bytes = request(request_id, &format!("/api/v2/{class}"), &headers, body);
        // Registered before it is written: its answer may come before this thread goes on.
        let place = {
            let mut record = lock(&self.shared.record);
            record.requests.push(RequestRecord { job, written: Instant::now(), end: None, extra_answers: 0 });
            record.requests.len() - 1
        };
        self.enter_as_open(request_id, place);
        let written = self.write(&bytes);
        if let Some(request) = lock(&self.shared.record).requests.get_mut(place) {
            request.written = Instant::now();
        }
        written.map(|()| place)
    }

    /// A request is open until its end; on a connection that has ended, its connection is lost from the beginning.
    fn enter_as_open(&self, request_id: u16, place: usize) {
        // Under this lock the connection's end ends what is open.
        let mut open = lock(&self.shared.open);
        if self.has_ended() {
            end_request(&self.shared, place, RequestEnd::ConnectionLost);
        } else {
            open.insert(request_id, place);
        }
    }

    fn free_request_id(&self) -> u16 {
        let open = lock(&self.shared.open);
        loop {
            let id = self.next_request_id.fetch_add(1, Relaxed);
            if id != 0 && !open.contains_key(&id) {
                return id;
            }
        }
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    /// If the connection takes no more bytes.
    pub fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    /// Gives up an open request by ABORT_REQUEST.
    ///
    /// # Errors
    /// If the connection takes no more bytes.
    pub fn abort(&self, place: usize) -> io::Result<()> {
        let request_id = {
            let mut open = lock(&self.shared.open);
            let request_id = open.iter().find(|(_, p)| **p == place).map(|(id, _)| *id);
            if let Some(id) = request_id {
                open.remove(&id);
                end_request(&self.shared, place, RequestEnd::Aborted);
            }
            request_id
        };
        let Some(request_id) = request_id else { return Ok(()) };
        self.write(&record(FCGI_ABORT_REQUEST, request_id, b""))
    }

    /// Ends this side of the connection while it is still read from.
    pub fn half_close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// The front's side has ended.
    pub fn has_ended(&self) -> bool {
        self.shared.ended.load(Relaxed)
    }

    /// Requests that have no answer yet.
    pub fn open_requests(&self) -> usize {
        lock(&self.shared.open).len()
    }

    /// What has been seen so far.
    pub fn record(&self) -> ConnectionRecord {
        lock(&self.shared.record).clone()
    }
}

impl Drop for WebServerConnection {
    fn drop(&mut self) {
        self.shared.stop.store(true, Relaxed);
        let _ = self.stream.shutdown(Shutdown::Both);
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// A connection on which requests are being sent.
#[derive(Debug)]
pub struct SendingWebServer {
    connection: Arc<WebServerConnection>,
    thread: Option<JoinHandle<()>>,
}

impl SendingWebServer {
    /// The connection.
    pub fn connection(&self) -> &WebServerConnection {
        &self.connection
    }

    /// Sends nothing more.
    pub fn stop_sending(&mut self) {
        self.connection.shared.stop.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for SendingWebServer {
    fn drop(&mut self) {
        self.stop_sending();
    }
}

fn end_request(shared: &Shared, place: usize, end: RequestEnd) {
    if let Some(request) = lock(&shared.record).requests.get_mut(place) {
        match request.end {
            None => request.end = Some((Instant::now(), end)),
            Some(_) => request.extra_answers += 1,
        }
    }
}

/// Reads until the connection ends; what is open then has lost its connection.
fn read_answers(mut stream: TcpStream, shared: &Shared) {
    let mut bodies: BTreeMap<u16, Vec<u8>> = BTreeMap::new();
    let why = loop {
        match read_record(&mut stream) {
            Ok((FCGI_STDOUT, id, content)) => bodies.entry(id).or_default().extend(content),
            Ok((FCGI_END_REQUEST, id, content)) => {
                let body = bodies.remove(&id).unwrap_or_default();
                // Locked until the end is in the record: who sees no open request finds the end of each there.
                let mut open = lock(&shared.open);
                if let Some(place) = open.remove(&id) {
                    end_request(shared, place, parse_end(&body, &content));
                }
            }
            Ok(_) => {}
            Err(why) => break why,
        }
    };
    {
        let mut record = lock(&shared.record);
        record.ended = Some(Instant::now());
        record.reset = why.kind() == ErrorKind::ConnectionReset;
    }
    {
        let mut open = lock(&shared.open);
        for place in std::mem::take(&mut *open).into_values() {
            end_request(shared, place, RequestEnd::ConnectionLost);
        }
        shared.ended.store(true, Relaxed);
    }
    // A web server that sees the end of the front's side ends its own.
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_record(stream: &mut TcpStream) -> io::Result<(u8, u16, Vec<u8>)> {
    let mut header = [0; RECORD_HEADER_LENGTH];
    stream.read_exact(&mut header)?;
    let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
    let padding = usize::from(header[6]);
    let mut content = vec![0; length + padding];
    stream.read_exact(&mut content)?;
    content.truncate(length);
    Ok((header[1], u16::from_be_bytes([header[2], header[3]]), content))
}

fn parse_end(response: &[u8], end_request_content: &[u8]) -> RequestEnd {
    const PROTOCOL_STATUS_OFFSET: usize = 4;
    if end_request_content.get(PROTOCOL_STATUS_OFFSET) == Some(&FCGI_OVERLOADED) {
        return RequestEnd::Overloaded;
    }
    let head =
        String::from_utf8_lossy(response.get(..response.len().min(512)).unwrap_or_default()).into_owned();
    let value = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    let status = value("Status: ").map_or(0, |status| status as u16);
    RequestEnd::Status { status, retry_after_ms: value("X-Wait-Ms: ") }
}

impl ConnectionRecord {
    /// The record as the checkers of `elmtide-rules` take it: milliseconds since a moment, and how long its requests wait.
    pub fn observed_since(&self, epoch: Instant, allow_ms: f64) -> ClientConnection {
        let millis = |at: Instant| at.saturating_duration_since(epoch).as_secs_f64() * 1000.0;
        let request = |request: &RequestRecord| ClientRequest {
            job: request.job,
            written: millis(request.written),
            deadline: millis(request.written) + allow_ms,
            end: request.end.map(|(at, end)| (millis(at), end.outcome())),
            extra_answers: request.extra_answers,
        };
        ClientConnection {
            opened: millis(self.opened),
            ended: self.ended.map(millis),
            requests: self.requests.iter().map(request).collect(),
        }
    }
}

impl RequestEnd {
    fn outcome(self) -> RequestOutcome {
        match self {
            RequestEnd::Status { .. } | RequestEnd::Overloaded => RequestOutcome::Answered,
            RequestEnd::Aborted => RequestOutcome::GivenUp,
            RequestEnd::ConnectionLost => RequestOutcome::ConnectionLost,
        }
    }
}

//! The management address: `STATUS`, `METRICS`, `PAUSE`, `RESUME`, one line per connection.
//!
//! A single thread serves every caller as it becomes ready (epoll), so a silent caller holds a slot but no thread:
//! `STATUS` is answered at once beside hundreds of silent callers. The number of callers is bounded; at the bound the
//! oldest is closed. Each caller has `CALL_TIMEOUT` to send its line; a reply that the caller does not read is
//! discarded.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};

use crate::memory::counters::Counters;
use crate::memory::mode::State;
use crate::process::transient::retry_at_start;
use crate::process::{clock, spawn_at_start};
use crate::server::acceptor::Acceptor;
use crate::wire::management::{self, Call, MAX_LINE_BYTES};

/// The maximum number of callers at a time.
const MAX_CALLERS: usize = 512;
/// A caller must send its line within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which expired callers are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const LISTENER_TOKEN: u64 = 0;
/// The size of one read.
const READ_BYTES: usize = 8192;

/// One connection to the management address.
struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
    connected_at: Instant,
    /// Set once the reply is sent and our side is shut down: the number of further bytes that are read and discarded.
    /// Closing a socket with unread bytes would reset it and lose the reply.
    discard_left: Option<usize>,
}

/// The number of bytes after a call that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// The management server.
pub struct Management {
    epoll: OwnedFd,
    acceptor: Acceptor,
    counters: Arc<Counters>,
    callers: HashMap<u64, Caller>,
    next_id: u64,
}

impl Management {
    /// Binds the address.
    ///
    /// # Errors
    /// If it cannot be bound, or the event loop cannot be created.
    pub fn bind(at: SocketAddr, counters: Arc<Counters>) -> Result<Management, String> {
        let listener = retry_at_start("management address", || TcpListener::bind(at))
            .map_err(|e| format!("management address {at}: {e}"))?;
        let create = || epoll::create(epoll::CreateFlags::CLOEXEC).map_err(io::Error::from);
        let epoll = retry_at_start("management epoll", create).map_err(|e| e.to_string())?;
        let acceptor = Acceptor::register(&epoll, listener, LISTENER_TOKEN).map_err(|e| e.to_string())?;
        Ok(Management { epoll, acceptor, counters, callers: HashMap::new(), next_id: LISTENER_TOKEN + 1 })
    }

    /// The bound address.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.acceptor.local_addr().ok()
    }

    /// Starts the thread that serves the address until the process exits.
    pub fn start(self) -> Result<(), String> {
        spawn_at_start("management", move || self.run())
            .map(drop)
            .map_err(|e| format!("management thread: {e}"))
    }

    fn run(mut self) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(64);
        loop {
            events.clear();
            self.acceptor.resume(&self.epoll);
            let timeout = self.acceptor.poll_timeout(POLL_INTERVAL);
            if epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout)).is_err() {
                events.clear();
            }
            for event in &events {
                match event.data.u64() {
                    LISTENER_TOKEN => self.accept(),
                    id => {
                        let finished = catch_unwind(AssertUnwindSafe(|| self.on_readable(id)));
                        if finished.unwrap_or(true) {
                            self.callers.remove(&id);
                        }
                    }
                }
            }
            let now = Instant::now();
            self.callers.retain(|_, caller| now.duration_since(caller.connected_at) < CALL_TIMEOUT);
        }
    }

    fn accept(&mut self) {
        // A connection that is pending while descriptors are exhausted is accepted after a pause.
        while let Ok(Some((stream, _))) = self.acceptor.accept(&self.epoll) {
            if self.callers.len() >= MAX_CALLERS {
                let oldest = self.callers.iter().min_by_key(|(_, c)| c.connected_at).map(|(id, _)| *id);
                oldest.map(|id| self.callers.remove(&id));
            }
            let id = self.next_id;
            self.next_id += 1;
            let _ = stream.set_nodelay(true);
            let added = stream.set_nonblocking(true).and_then(|()| {
                epoll::add(&self.epoll, &stream, EventData::new_u64(id), EventFlags::IN).map_err(Into::into)
            });
            if added.is_ok() {
                self.callers.insert(
                    id,
                    Caller { stream, received: Vec::new(), connected_at: Instant::now(), discard_left: None },
                );
            }
        }
    }

    /// Reads from a caller; true once the connection is finished.
    fn on_readable(&mut self, id: u64) -> bool {
        let Some(caller) = self.callers.get_mut(&id) else { return false };
        let mut buffer = [0; READ_BYTES];
        let length = match caller.stream.read(&mut buffer) {
            Ok(0) => return true,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return false
            }
            Err(_) => return true,
        };
        if let Some(left) = &mut caller.discard_left {
            *left = left.saturating_sub(length);
            return *left == 0;
        }
        let room = MAX_LINE_BYTES.saturating_sub(caller.received.len());
        caller.received.extend_from_slice(&buffer[..length.min(room + 1)]);
        let Some(call) = management::parse_call(&caller.received) else { return false };
        let reply = match call {
            Ok(call) => execute(call, &self.counters),
            Err(error) => error.reply().to_owned(),
        };
        // Replies are short: they fit the socket buffer, or the caller is not reading.
        let _ = caller.stream.set_nonblocking(false);
        let _ = caller.stream.set_write_timeout(Some(Duration::from_millis(200)));
        let written = caller.stream.write_all(reply.as_bytes());
        let ended = written.and_then(|()| caller.stream.shutdown(Shutdown::Write));
        caller.discard_left = Some(MAX_DISCARDED_BYTES);
        ended.and_then(|()| caller.stream.set_nonblocking(true)).is_err()
    }
}

/// Executes a call and gives its reply.
pub fn execute(call: Call, counters: &Counters) -> String {
    let mode = &counters.mode;
    match call {
        Call::Status if mode.is_ready() => "200 yes\r\n".into(),
        Call::Status if mode.state() == State::Serving => "200 no: its machine goes out for work\r\n".into(),
        Call::Status => format!("200 no: {:?}\r\n", mode.state()).to_lowercase(),
        // The reply is the metrics as one JSON line, then the line that terminates them.
        Call::Metrics => format!("{}\r\nEOF\r\n", counters.figures.render()),
        Call::Pause if mode.pause(clock::uptime()) => {
            eprintln!("management: paused; clients are sent away");
            "200 paused\r\n".into()
        }
        Call::Pause => "400 nothing to pause: the process is starting or ending\r\n".into(),
        Call::Resume if mode.resume(clock::uptime()) => {
            eprintln!("management: resumed; clients are taken again");
            "200 resumed\r\n".into()
        }
        Call::Resume => "400 nothing to resume: the process is starting or ending\r\n".into(),
    }
}

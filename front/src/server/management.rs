//! The management address: `STATUS`, `METRICS`, `PAUSE`, `RESUME`, one line a connection.
//!
//! One thread serves every caller as it becomes ready (epoll), so a caller that says nothing holds a slot and no
//! thread: a `STATUS` is answered at once beside hundreds that stay silent. Callers are bounded; at the bound the
//! oldest makes room. Each has `BRING` to bring its line; a reply that the caller does not take in is dropped.

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
use crate::wire::management::{self, Call, LONGEST};

/// Callers at a time.
const CALLERS: usize = 512;
/// A caller brings its line within so long.
const BRING: Duration = Duration::from_secs(5);
/// How often overdue callers are looked for.
const TURN: Duration = Duration::from_millis(100);
const LISTENER: u64 = 0;
/// Bytes read at a time.
const READ: usize = 8192;

struct Caller {
    stream: TcpStream,
    came: Vec<u8>,
    since: Instant,
    /// It has its reply and our side has ended; what it still brings is dropped, so many bytes more: a close over unread
    /// bytes would take the reply away.
    dropping: Option<usize>,
}

/// Bytes behind a call that are read and dropped.
const DROPPED: usize = 4 << 20;

pub struct Management {
    epoll: OwnedFd,
    acceptor: Acceptor,
    counters: Arc<Counters>,
    callers: HashMap<u64, Caller>,
    next: u64,
}

impl Management {
    pub fn bind(at: SocketAddr, counters: Arc<Counters>) -> Result<Management, String> {
        let listener = retry_at_start("management address", || TcpListener::bind(at))
            .map_err(|e| format!("management address {at}: {e}"))?;
        let create = || epoll::create(epoll::CreateFlags::CLOEXEC).map_err(io::Error::from);
        let epoll = retry_at_start("management epoll", create).map_err(|e| e.to_string())?;
        let acceptor = Acceptor::register(&epoll, listener, LISTENER).map_err(|e| e.to_string())?;
        Ok(Management { epoll, acceptor, counters, callers: HashMap::new(), next: LISTENER + 1 })
    }

    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.acceptor.local_addr().ok()
    }

    /// Serves on a thread of its own for as long as the program runs.
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
            let timeout = self.acceptor.wait_at_most(TURN);
            if epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout)).is_err() {
                events.clear();
            }
            for event in &events {
                match event.data.u64() {
                    LISTENER => self.accept(),
                    id => {
                        let done = catch_unwind(AssertUnwindSafe(|| self.hear(id)));
                        if done.unwrap_or(true) {
                            self.callers.remove(&id);
                        }
                    }
                }
            }
            let now = Instant::now();
            self.callers.retain(|_, caller| now.duration_since(caller.since) < BRING);
        }
    }

    fn accept(&mut self) {
        // A caller that waits while there are no descriptors is taken after a pause.
        while let Ok(Some((stream, _))) = self.acceptor.accept(&self.epoll) {
            if self.callers.len() >= CALLERS {
                let oldest = self.callers.iter().min_by_key(|(_, c)| c.since).map(|(id, _)| *id);
                oldest.map(|id| self.callers.remove(&id));
            }
            let id = self.next;
            self.next += 1;
            let _ = stream.set_nodelay(true);
            let added = stream.set_nonblocking(true).and_then(|()| {
                epoll::add(&self.epoll, &stream, EventData::new_u64(id), EventFlags::IN).map_err(Into::into)
            });
            if added.is_ok() {
                self.callers
                    .insert(id, Caller { stream, came: Vec::new(), since: Instant::now(), dropping: None });
            }
        }
    }

    /// Reads what a caller brought; true once it is done with.
    fn hear(&mut self, id: u64) -> bool {
        let Some(caller) = self.callers.get_mut(&id) else { return false };
        let mut buffer = [0; READ];
        let got = match caller.stream.read(&mut buffer) {
            Ok(0) => return true,
            Ok(got) => got,
            Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => return false,
            Err(_) => return true,
        };
        if let Some(left) = &mut caller.dropping {
            *left = left.saturating_sub(got);
            return *left == 0;
        }
        let room = LONGEST.saturating_sub(caller.came.len());
        caller.came.extend_from_slice(&buffer[..got.min(room + 1)]);
        let Some(call) = management::read(&caller.came) else { return false };
        let reply = match call {
            Ok(call) => reply(call, &self.counters),
            Err(bad) => bad.reply().to_owned(),
        };
        // Replies are short: the socket's buffer takes them whole, or the caller is not reading.
        let _ = caller.stream.set_nonblocking(false);
        let _ = caller.stream.set_write_timeout(Some(Duration::from_millis(200)));
        let written = caller.stream.write_all(reply.as_bytes());
        let ended = written.and_then(|()| caller.stream.shutdown(Shutdown::Write));
        caller.dropping = Some(DROPPED);
        ended.and_then(|()| caller.stream.set_nonblocking(true)).is_err()
    }
}

/// What a call says, and does.
pub fn reply(call: Call, counters: &Counters) -> String {
    let mode = &counters.mode;
    match call {
        Call::Status if mode.is_ready() => "200 yes\r\n".into(),
        Call::Status if mode.state() == State::Serving => "200 no: its machine goes out for work\r\n".into(),
        Call::Status => format!("200 no: {:?}\r\n", mode.state()).to_lowercase(),
        // The figures are the reply: one JSON line, then the line that ends them.
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

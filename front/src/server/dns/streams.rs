//! The name server over TCP: one thread serves all connections of one address.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

use elmtide_dns::answer::{Client, Server, Transport};
use elmtide_dns::tcp::{Admitted, Next, Table};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};

use super::{both_clocks, DnsContext, STOP_CHECK_INTERVAL};
use crate::edge::in_force::InForce;
use crate::process::clock;
use crate::server::acceptor::Acceptor;

const LISTENER_TOKEN: u64 = 0;
const FIRST_CONNECTION_TOKEN: u64 = 1;
/// Connections accepted in one turn of the loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// All TCP connections of one address.
pub(super) struct Streams {
    epoll: OwnedFd,
    acceptor: Acceptor,
    in_force: Arc<InForce>,
    shared: Arc<DnsContext>,
    server: Server,
    table: Table,
    streams: HashMap<u64, (TcpStream, EventFlags)>,
    next_token: u64,
    scratch: Vec<u8>,
}

impl Streams {
    pub(super) fn new(
        listener: TcpListener,
        in_force: Arc<InForce>,
        shared: Arc<DnsContext>,
    ) -> io::Result<Streams> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let acceptor = Acceptor::register(&epoll, listener, LISTENER_TOKEN)?;
        let state = in_force.now();
        let (server, table) = (shared.server(state.limits), Table::new(state.tcp));
        let (streams, scratch) = (HashMap::new(), Vec::with_capacity(4096));
        Ok(Streams {
            epoll,
            acceptor,
            in_force,
            shared,
            server,
            table,
            streams,
            next_token: FIRST_CONNECTION_TOKEN,
            scratch,
        })
    }

    /// Serves until `stop` is set.
    pub(super) fn run(mut self, stop: &AtomicBool) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        let mut buffer = vec![0; 16 * 1024];
        let mut limits = self.in_force.now().tcp;
        while !stop.load(Relaxed) {
            events.clear();
            self.acceptor.resume(&self.epoll);
            let timeout = self.acceptor.poll_timeout(STOP_CHECK_INTERVAL);
            let polled = epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout));
            let now = clock::steady_ms();
            let wanted = self.in_force.now().tcp;
            if wanted != limits {
                // Changed limits apply to new connections; open ones keep theirs.
                limits = wanted;
                self.table.set_limits(limits);
            }
            if polled.is_ok() {
                for event in &events {
                    match event.data.u64() {
                        LISTENER_TOKEN => self.accept(now),
                        id => self.advance(id, event.flags, &mut buffer, now),
                    }
                }
            }
            for id in self.table.overdue(now) {
                self.end(id);
            }
        }
    }

    fn end(&mut self, id: u64) {
        self.table.remove(id);
        self.streams.remove(&id);
    }

    fn accept(&mut self, now: f64) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let (stream, from) = match self.acceptor.accept(&self.epoll) {
                Ok(Some(accepted)) => accepted,
                Ok(None) => return,
                Err(error) => {
                    self.shared.log.write(|| format!("dns: accept: {error}"));
                    return;
                }
            };
            let id = self.next_token;
            self.next_token += 1;
            match self.table.admit(id, from.ip(), now) {
                Admitted::Yes => {}
                Admitted::Instead(evicted) => drop(self.streams.remove(&evicted)),
                Admitted::No => continue,
            }
            let ready = stream.set_nonblocking(true).and_then(|()| {
                let _ = stream.set_nodelay(true);
                Ok(epoll::add(&self.epoll, &stream, EventData::new_u64(id), EventFlags::IN)?)
            });
            match ready {
                Ok(()) => drop(self.streams.insert(id, (stream, EventFlags::IN))),
                Err(why) => {
                    self.shared.log.write(|| format!("dns: accept: {why}"));
                    self.table.remove(id);
                }
            }
        }
    }

    /// Advances one connection. An error or a panic ends this connection only.
    fn advance(&mut self, id: u64, flags: EventFlags, buffer: &mut [u8], now: f64) {
        let result = catch_unwind(AssertUnwindSafe(|| self.serve_connection(id, flags, buffer, now)));
        match result {
            Ok(Some(Next::Goes)) => {}
            Ok(Some(Next::Close) | None) => self.end(id),
            Err(_) => {
                self.shared.log.write(|| "dns: panic while serving a TCP connection".into());
                self.end(id);
            }
        }
    }

    fn serve_connection(&mut self, id: u64, flags: EventFlags, buffer: &mut [u8], now: f64) -> Option<Next> {
        let (stream, interest) = self.streams.get_mut(&id)?;
        let connection = self.table.get(id)?;
        if flags.intersects(EventFlags::ERR) {
            return None;
        }
        if flags.intersects(EventFlags::IN | EventFlags::HUP) && connection.reads() {
            match stream.read(buffer) {
                Ok(got) => connection.received(&buffer[..got], now),
                Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return None,
            }
        }
        let client = Client { address: connection.client, transport: Transport::Tcp };
        let state = self.in_force.now();
        let served = state.served.as_ref()?;
        let server = &mut self.server;
        loop {
            let time = both_clocks(now);
            let answer =
                |message: &[u8], out: &mut Vec<u8>| server.answer(served, client, time, message, out);
            let next = connection.serve(&mut self.scratch, time, answer);
            let mut written = 0;
            while !connection.pending().is_empty() {
                match stream.write(connection.pending()) {
                    Ok(0) => return None,
                    Ok(some) => {
                        connection.wrote(some, now);
                        written += some;
                    }
                    Err(why) if why.kind() == ErrorKind::Interrupted => {}
                    Err(why) if why.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return None,
                }
            }
            if next == Next::Close {
                return None;
            }
            // Writing freed buffer space: a transfer or further queries may continue.
            if written == 0 || !connection.pending().is_empty() {
                break;
            }
        }
        let mut wanted = EventFlags::empty();
        if connection.reads() {
            wanted |= EventFlags::IN;
        }
        if !connection.pending().is_empty() {
            wanted |= EventFlags::OUT;
        }
        if std::mem::replace(interest, wanted) != wanted {
            epoll::modify(&self.epoll, &*stream, EventData::new_u64(id), wanted).ok()?;
        }
        Some(Next::Goes)
    }
}

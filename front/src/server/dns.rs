//! The authoritative name server's sockets: UDP on one thread, all TCP connections on another. What is answered is
//! decided in `elmtide_dns`; it names addresses of ours and no others.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use elmtide_dns::answer::{Client, Counts, Reaction, Server, Transport};
use elmtide_dns::tcp::{Admitted, Next, Table};
use elmtide_ratelimit::{Limiter, Limits};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};

use crate::edge::in_force::InForce;
use crate::process::log::Log;
use crate::process::{clock, spawn};
use crate::server::acceptor::Acceptor;

/// So often a waiting thread looks whether it is to stop, and a connection whether its time is up.
const LOOK: Duration = Duration::from_millis(200);
/// Room for queries that come while one is answered.
const RECEIVE_BUFFER: usize = 4 << 20;
const LISTENER: u64 = 0;
const FIRST: u64 = 1;
const ACCEPT: usize = 64;

/// What the name servers of a process share.
pub struct Shared {
    pub counts: Arc<Counts>,
    pub log: Log,
    pub seed: u64,
}

impl Shared {
    fn server(&self, limits: Limits) -> Server {
        Server::new(Limiter::new(limits, self.seed), self.counts.clone())
    }
}

pub struct DnsSockets {
    udp: UdpSocket,
    tcp: TcpListener,
    threads: usize,
}

impl DnsSockets {
    /// Both on one port; with port 0 any that both can have.
    pub fn bind(at: SocketAddr, threads: usize) -> io::Result<DnsSockets> {
        let mut left = 8;
        loop {
            let tcp = TcpListener::bind(at)?;
            match UdpSocket::bind(tcp.local_addr()?) {
                Ok(udp) => return Ok(DnsSockets { udp, tcp, threads }),
                Err(why) if at.port() != 0 || left == 0 => return Err(why),
                Err(_) => left -= 1,
            }
        }
    }

    pub fn at(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    pub fn start(
        self,
        in_force: &Arc<InForce>,
        shared: &Arc<Shared>,
        stop: &Arc<AtomicBool>,
    ) -> io::Result<()> {
        let DnsSockets { udp, tcp, threads } = self;
        udp.set_read_timeout(Some(LOOK))?;
        // The system gives as much of it as it allows.
        let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&udp, RECEIVE_BUFFER);
        let streams = Streams::new(tcp, in_force.clone(), shared.clone())?;
        for _ in 0..threads {
            let (force, own, stopped) = (in_force.clone(), shared.clone(), stop.clone());
            let udp = udp.try_clone()?;
            spawn("dns-udp", move || serve_udp(&udp, &force, &own, &stopped))?;
        }
        let stopped = stop.clone();
        spawn("dns-tcp", move || streams.run(&stopped)).map(drop)
    }
}

fn serve_udp(socket: &UdpSocket, in_force: &InForce, shared: &Shared, stop: &AtomicBool) {
    let mut bytes = [0; 4096];
    let mut out = Vec::with_capacity(4096);
    let mut reader = in_force.reader();
    let mut server = shared.server(reader.load().limits);
    while !stop.load(Relaxed) {
        // A time-out is the moment to look at `stop`; an error is one client's (its port was closed).
        let Ok((got, from)) = socket.recv_from(&mut bytes) else { continue };
        let state = reader.load();
        let Some(served) = &state.served else { continue };
        if *server.limits() != state.limits {
            server = shared.server(state.limits);
        }
        let client = Client { address: from.ip(), transport: Transport::Udp };
        let answer = || server.answer(served, client, clock::steady_ms(), &bytes[..got], &mut out);
        match catch_unwind(AssertUnwindSafe(answer)) {
            Ok(Reaction::Reply) => drop(socket.send_to(&out, from)),
            Ok(Reaction::Silence | Reaction::Transfer(_)) => {}
            Err(_) => shared.log.say(|| format!("dns: a query of {from} ended in a panic")),
        }
    }
}

/// All TCP connections of one address.
struct Streams {
    epoll: OwnedFd,
    acceptor: Acceptor,
    in_force: Arc<InForce>,
    shared: Arc<Shared>,
    server: Server,
    table: Table,
    streams: HashMap<u64, (TcpStream, EventFlags)>,
    next: u64,
    scratch: Vec<u8>,
}

impl Streams {
    fn new(listener: TcpListener, in_force: Arc<InForce>, shared: Arc<Shared>) -> io::Result<Streams> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let acceptor = Acceptor::register(&epoll, listener, LISTENER)?;
        let state = in_force.now();
        let (server, table) = (shared.server(state.limits), Table::new(state.tcp));
        let (streams, scratch) = (HashMap::new(), Vec::with_capacity(4096));
        Ok(Streams { epoll, acceptor, in_force, shared, server, table, streams, next: FIRST, scratch })
    }

    fn run(mut self, stop: &AtomicBool) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        let mut buffer = vec![0; 16 * 1024];
        let mut limits = self.in_force.now().tcp;
        while !stop.load(Relaxed) {
            events.clear();
            self.acceptor.resume(&self.epoll);
            let timeout = self.acceptor.wait_at_most(LOOK);
            let waited = epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout));
            let now = clock::steady_ms();
            let wanted = self.in_force.now().tcp;
            if wanted != limits {
                // Other limits are for new connections; those that are there end by the old ones.
                limits = wanted;
                self.table.set_limits(limits);
            }
            if waited.is_ok() {
                for event in &events {
                    match event.data.u64() {
                        LISTENER => self.accept(now),
                        id => self.turn(id, event.flags, &mut buffer, now),
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
        for _ in 0..ACCEPT {
            let (stream, from) = match self.acceptor.accept(&self.epoll) {
                Ok(Some(accepted)) => accepted,
                Ok(None) => return,
                Err(error) => {
                    self.shared.log.say(|| format!("dns: accept: {error}"));
                    return;
                }
            };
            let id = self.next;
            self.next += 1;
            match self.table.admit(id, from.ip(), now) {
                Admitted::Yes => {}
                Admitted::Instead(other) => drop(self.streams.remove(&other)),
                Admitted::No => continue,
            }
            let ready = stream.set_nonblocking(true).and_then(|()| {
                let _ = stream.set_nodelay(true);
                Ok(epoll::add(&self.epoll, &stream, EventData::new_u64(id), EventFlags::IN)?)
            });
            match ready {
                Ok(()) => drop(self.streams.insert(id, (stream, EventFlags::IN))),
                Err(why) => {
                    self.shared.log.say(|| format!("dns: accept: {why}"));
                    self.table.remove(id);
                }
            }
        }
    }

    /// Lets a connection do what it can. An end, and a panic, is its own and nobody else's.
    fn turn(&mut self, id: u64, flags: EventFlags, buffer: &mut [u8], now: f64) {
        let acted = catch_unwind(AssertUnwindSafe(|| self.act(id, flags, buffer, now)));
        match acted {
            Ok(Some(Next::Goes)) => {}
            Ok(Some(Next::Close) | None) => self.end(id),
            Err(_) => {
                self.shared.log.say(|| "dns: a connection ended in a panic".into());
                self.end(id);
            }
        }
    }

    fn act(&mut self, id: u64, flags: EventFlags, buffer: &mut [u8], now: f64) -> Option<Next> {
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
            let answer = |message: &[u8], out: &mut Vec<u8>| server.answer(served, client, now, message, out);
            let next = connection.serve(&mut self.scratch, now, answer);
            let mut wrote = 0;
            while !connection.pending().is_empty() {
                match stream.write(connection.pending()) {
                    Ok(0) => return None,
                    Ok(some) => {
                        connection.wrote(some, now);
                        wrote += some;
                    }
                    Err(why) if why.kind() == ErrorKind::Interrupted => {}
                    Err(why) if why.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return None,
                }
            }
            if next == Next::Close {
                return None;
            }
            // What was written made room: a transfer, or more questions, may go on.
            if wrote == 0 || !connection.pending().is_empty() {
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

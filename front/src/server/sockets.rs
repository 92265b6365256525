//! The sockets of the platform's clients, all served by one thread as they become ready (epoll).
//!
//! Threads of their own, as connections have them elsewhere in this program, can't keep the limits here. A front
//! is held to its part of a core by being stopped and continued, and each time every thread wakes: with two for
//! each of 190 connections, most of them idle, 82 of 100 parts of the CPU went there, and the front stayed at its
//! limit over work that takes a quarter of it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide_drain::{ConnectionAction, DrainPhase};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};

use crate::lifecycle::listener::Origin;
use crate::memory::mode::{Mode, State};
use crate::process::clock;
use crate::process::transient::retry_at_start;

use crate::server::acceptor::Acceptor;
use crate::server::clients::{Admitted, Clients, Protocol};
use crate::server::drain_report::DrainReport;
use crate::server::fastcgi::{Broken, Conversation};
use crate::server::mailbox::{Delivery, Mailbox};
use crate::server::Intake;

/// What the two sources that are no client's connection are called.
const LISTENER: u64 = 0;
const WAKER: u64 = 1;
const FIRST: u64 = 2;
/// Taken in at one turn from one connection: others have theirs in between.
const READ: usize = 64 * 1024;
/// The longest wait for an event: idle connections are closed so soon after a pause.
const TURN: Duration = Duration::from_millis(100);
/// Connections accepted at one turn.
const ACCEPT: usize = 32;
/// A client with so much to take in brings nothing new.
const QUEUE: usize = 64;
/// A connection that we have ended is read from until its client ends it too, so long and so far, and so many at a
/// time: a close over unread bytes resets it, and takes the last answers with it.
const LINGER: (Duration, usize) = (Duration::from_secs(1), 1 << 20);
const LINGERING: usize = 64;

struct Connection {
    admitted: Admitted,
    /// Its client has broken the protocol: nothing is read from it any more, and it ends once what it asked before has
    /// been answered.
    broken: Option<Broken>,
    conversation: Conversation,
    /// How much of the first chunk has been written.
    written: usize,
    interest: EventFlags,
}

/// Why a connection ends.
enum End {
    /// By the client.
    Left,
    /// By us, after the last answer.
    Done,
    Broken(Broken),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> End {
        End::Left
    }
}

impl From<Broken> for End {
    fn from(why: Broken) -> End {
        match why {
            Broken::Closed => End::Done,
            why => End::Broken(why),
        }
    }
}

/// A connection whose side of ours has ended: what still comes is dropped.
struct Lingering {
    admitted: Admitted,
    until: Instant,
    left: usize,
}

impl Lingering {
    /// False once it is over.
    fn drop_rest(&mut self, buffer: &mut [u8]) -> bool {
        let mut stream: &TcpStream = self.admitted.client.stream();
        match stream.read(buffer) {
            Ok(0) => false,
            Ok(got) => {
                self.left = self.left.saturating_sub(got);
                self.left > 0
            }
            Err(why) => waits(&why),
        }
    }
}

fn waits(why: &io::Error) -> bool {
    matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl Connection {
    fn stream(&self) -> &TcpStream {
        self.admitted.client.stream()
    }

    fn ready(&mut self, what: EventFlags, buffer: &mut [u8]) -> Result<(), End> {
        // A connection that has ended says so whether or not it is to be read from.
        let ended = what.intersects(EventFlags::HUP | EventFlags::ERR);
        if (ended || what.contains(EventFlags::IN)) && self.broken.is_none() {
            match self.stream().read(buffer) {
                Ok(0) => return Err(End::Left),
                Ok(got) => {
                    if let Err(why) = self.conversation.take(&buffer[..got]) {
                        self.conversation.stop_taking();
                        self.broken = Some(why);
                    }
                }
                Err(why) if waits(&why) => {}
                Err(_) => return Err(End::Left),
            }
        } else if ended {
            return Err(End::Left);
        }
        self.flush()
    }

    /// Writes as much as the client takes in now.
    fn flush(&mut self) -> Result<(), End> {
        let client = self.admitted.client.clone();
        let mut stream: &TcpStream = client.stream();
        while let Some(chunk) = self.conversation.out.front() {
            if self.written == 0 {
                client.takes();
            }
            match stream.write(&chunk.bytes[self.written..]) {
                Ok(0) => return Err(End::Left),
                Ok(some) => self.written += some,
                Err(why) if waits(&why) => break,
                Err(why) => return Err(why.into()),
            }
            if self.written == chunk.bytes.len() {
                let last = chunk.last;
                client.took();
                self.conversation.out.pop_front();
                self.written = 0;
                // A client sent away has had its last answer once nothing else is open or owed: decided as the
                // answer goes out, not when it was queued, since more may have come meanwhile.
                if last || self.drain_action() == ConnectionAction::Close {
                    return Err(End::Done);
                }
            }
        }
        match self.broken.take_if(|_| !self.conversation.owes()) {
            Some(why) => Err(why.into()),
            None => Ok(()),
        }
    }

    /// What the drain wants done with the connection now.
    fn drain_action(&self) -> ConnectionAction {
        if !self.mode().sends_away() {
            return ConnectionAction::Keep;
        }
        let phase = self.mode().drain_phase(clock::uptime());
        phase.connection_action(self.conversation.activity())
    }

    fn mode(&self) -> &Mode {
        self.conversation.mode()
    }

    /// What the connection waits for now.
    fn wanted_interest(&self) -> EventFlags {
        let waiting = self.conversation.out.len();
        let reads = waiting < QUEUE && self.broken.is_none();
        let mut interest = if reads { EventFlags::IN } else { EventFlags::empty() };
        if waiting > 0 {
            interest |= EventFlags::OUT;
        }
        interest
    }

    /// Has the event loop tell what the connection waits for, if that has changed.
    fn register_interest(&mut self, epoll: &OwnedFd, id: u64) -> rustix::io::Result<()> {
        let wanted = self.wanted_interest();
        if wanted != self.interest {
            epoll::modify(epoll, self.stream(), EventData::new_u64(id), wanted)?;
            self.interest = wanted;
        }
        Ok(())
    }
}

pub struct Sockets {
    epoll: OwnedFd,
    acceptor: Acceptor,
    origin: Origin,
    clients: Clients,
    intake: Arc<Intake>,
    connections: HashMap<u64, Connection>,
    /// Connections whose registration could not be changed; it is tried again at the next turn.
    unregistered: BTreeSet<u64>,
    lingering: BTreeMap<u64, Lingering>,
    next: u64,
    mailbox: Mailbox,
    deliveries: Receiver<Delivery>,
    finished: Sender<()>,
    drain_report: DrainReport,
}

/// How the end of the program reaches the thread of the sockets.
pub struct Finish {
    mailbox: Mailbox,
    finished: Receiver<()>,
}

impl Finish {
    /// Has what came late answered, and all connections closed; waits for that so long at most. True if it is done.
    pub fn within(&self, mode: &Mode, most: Duration) -> bool {
        mode.finish();
        self.mailbox.wake();
        self.finished.recv_timeout(most).is_ok()
    }
}

impl Sockets {
    pub fn new(
        listener: TcpListener,
        origin: Origin,
        clients: Clients,
        intake: Arc<Intake>,
    ) -> io::Result<(Sockets, Finish)> {
        let create = || epoll::create(epoll::CreateFlags::CLOEXEC).map_err(io::Error::from);
        let epoll = retry_at_start("clients' epoll", create)?;
        let (mailbox, deliveries) = retry_at_start("clients' mailbox", Mailbox::new)?;
        let acceptor = Acceptor::register(&epoll, listener, LISTENER)?;
        epoll::add(&epoll, mailbox.bell(), EventData::new_u64(WAKER), EventFlags::IN)?;
        let connections = HashMap::new();
        let (finished, told) = bounded(1);
        let finish = Finish { mailbox: mailbox.clone(), finished: told };
        let sockets = Sockets {
            epoll,
            acceptor,
            origin,
            clients,
            intake,
            connections,
            unregistered: BTreeSet::new(),
            lingering: BTreeMap::new(),
            next: FIRST,
            mailbox,
            deliveries,
            finished,
            drain_report: DrainReport::default(),
        };
        Ok((sockets, finish))
    }

    /// Serves for as long as the program runs.
    pub fn run(mut self) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        let mut buffer = vec![0; READ];
        loop {
            events.clear();
            let turn = self.acceptor.wait_at_most(TURN);
            if epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&turn)).is_err() {
                // It is interrupted each time the process is stopped and goes on. What has been left is delivered all the same.
                events.clear();
            }
            self.serve(&events, &mut buffer);
        }
    }

    /// One turn: what has come is taken in first, and only then idle connections are closed.
    fn serve(&mut self, events: &[epoll::Event], buffer: &mut [u8]) {
        self.acceptor.resume(&self.epoll);
        for id in std::mem::take(&mut self.unregistered) {
            self.turn(id, Connection::flush);
        }
        for event in events {
            match event.data.u64() {
                LISTENER => self.accept(),
                WAKER => self.mailbox.heard(),
                id if self.lingering.contains_key(&id) => {
                    if self.lingering.get_mut(&id).is_some_and(|l| !l.drop_rest(buffer)) {
                        self.lingering.remove(&id);
                    }
                }
                id => self.turn(id, |connection| connection.ready(event.flags, buffer)),
            }
        }
        while let Ok(delivery) = self.deliveries.try_recv() {
            self.turn(delivery.connection, |connection| {
                connection.conversation.answer(&delivery);
                connection.flush()
            });
        }
        self.drain_connections();
        let now = Instant::now();
        self.lingering.retain(|_, l| now < l.until);
        self.finish();
    }

    /// The program ends: all that has come is answered and all connections are closed, theirs too.
    fn finish(&mut self) {
        if !self.intake.counters.mode.is_finishing() {
            return;
        }
        if self.acceptor.is_open() {
            self.accept();
        }
        if self.connections.is_empty() && self.lingering.is_empty() {
            let _ = self.finished.try_send(());
        }
    }

    /// Ends our side and drops what still comes. An open request is given up by this: its client is owed nothing more, or
    /// has broken the protocol.
    fn linger(&mut self, id: u64, connection: Connection) {
        let Connection { admitted, conversation, .. } = connection;
        drop(conversation);
        admitted.client.close_idle();
        let data = EventData::new_u64(id);
        if epoll::modify(&self.epoll, admitted.client.stream(), data, EventFlags::IN).is_err() {
            return;
        }
        if self.lingering.len() >= LINGERING {
            self.lingering.pop_first();
        }
        let lingering = Lingering { admitted, until: Instant::now() + LINGER.0, left: LINGER.1 };
        self.lingering.insert(id, lingering);
    }

    /// Paused or ending, connections are released as the drain wants it; ending on a listener that the next process shares
    /// too, no connection is taken any more: those that wait are the next process's.
    fn drain_connections(&mut self) {
        let mode = &self.intake.counters.mode;
        let phase = mode.drain_phase(clock::uptime());
        let connections = self.connections.values();
        let held = connections.map(|c| (c.conversation.open_requests(), c.conversation.owes()));
        self.drain_report.observe(phase, held);
        if !phase.is_draining() {
            return;
        }
        if self.origin == Origin::Inherited && mode.state() == State::Ending {
            self.acceptor.close(&self.epoll);
        }
        let actions =
            self.connections.iter().map(|(id, c)| (*id, phase.connection_action(c.conversation.activity())));
        for (id, action) in
            actions.filter(|(_, action)| *action != ConnectionAction::Keep).collect::<Vec<_>>()
        {
            match action {
                ConnectionAction::Keep => {}
                ConnectionAction::RejectPartialRequests => self.turn(id, |connection| {
                    connection.conversation.reject_partial_requests();
                    connection.flush()
                }),
                ConnectionAction::Close => self.close_drained(id, phase),
            }
        }
    }

    fn close_drained(&mut self, id: u64, phase: DrainPhase) {
        if let Some(connection) = self.connections.remove(&id) {
            tracing::debug!(connection = id, phase = phase.name(), "drain: connection closed");
            self.intake.counters.drain_closed.fetch_add(1, Relaxed);
            self.linger(id, connection);
        }
    }

    /// Lets a connection do something. An end, and a panic, is its own and nobody else's.
    fn turn(&mut self, id: u64, act: impl FnOnce(&mut Connection) -> Result<(), End>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let acted = catch_unwind(AssertUnwindSafe(|| act(connection)));
        let mut ours = true;
        let why = match acted {
            Ok(Ok(())) => {
                if connection.register_interest(&self.epoll, id).is_err() {
                    self.unregistered.insert(id);
                }
                return;
            }
            Ok(Err(End::Done)) => None,
            Ok(Err(End::Left)) => {
                ours = false;
                None
            }
            Ok(Err(End::Broken(why))) => Some(why.to_string()),
            Err(_) => Some("a panic".into()),
        };
        if let Some(why) = why {
            self.intake.counters.broken_clients.fetch_add(1, Relaxed);
            self.intake.log.say(|| format!("client connection: closed over {why}"));
        }
        let Some(connection) = self.connections.remove(&id) else { return };
        if ours {
            self.linger(id, connection);
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPT {
            let stream = match self.acceptor.accept(&self.epoll) {
                Ok(Some((stream, _))) => stream,
                Ok(None) => return,
                Err(error) => {
                    self.intake.log.say(|| format!("accept: {error}"));
                    return;
                }
            };
            let Some(admitted) = self.clients.admit(stream, Protocol::FastCgi) else { continue };
            self.intake.counters.client_connections.fetch_add(1, Relaxed);
            if let Err(why) = self.take_in(admitted) {
                self.intake.log.say(|| format!("accept: {why}"));
            }
        }
    }

    fn take_in(&mut self, admitted: Admitted) -> io::Result<()> {
        let (id, client) = (self.next, admitted.client.clone());
        self.next += 1;
        client.stream().set_nonblocking(true)?;
        client.stream().set_nodelay(true)?;
        epoll::add(&self.epoll, client.stream(), EventData::new_u64(id), EventFlags::IN)?;
        let conversation = Conversation::new(id, client, self.intake.clone(), self.mailbox.clone());
        let (broken, written, interest) = (None, 0, EventFlags::IN);
        let connection = Connection { admitted, broken, conversation, written, interest };
        self.connections.insert(id, connection);
        Ok(())
    }
}

#[cfg(test)]
mod tests;

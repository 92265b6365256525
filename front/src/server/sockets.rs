//! The sockets of the platform clients, all served by one thread as they become ready (epoll).
//!
//! Threads per connection, as elsewhere in this program, would break the CPU limit here. A front is held to its share
//! of a core by being stopped and continued, and every thread wakes each time: with two threads for each of 190 mostly
//! idle connections, 82 % of the CPU time went into these wake-ups, and the front stayed at its limit with work that
//! needs a quarter of it.

mod connection;
mod lingering;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide_drain::{ConnectionAction, DrainPhase};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};

use self::connection::{Connection, End};
use self::lingering::Lingering;
use crate::lifecycle::listener::Origin;
use crate::memory::mode::{Mode, State};
use crate::process::clock;
use crate::process::transient::retry_at_start;

use crate::server::acceptor::Acceptor;
use crate::server::clients::{Admitted, Clients, Protocol};
use crate::server::drain_report::DrainReport;
use crate::server::fastcgi::FastCgiSession;
use crate::server::mailbox::{Delivery, Mailbox};
use crate::server::output_queue::OutputQueue;
use crate::server::Intake;

/// Event tokens of the listener and of the wake-up signal; client connections use the tokens from the third on.
const LISTENER_TOKEN: u64 = 0;
const WAKE_TOKEN: u64 = 1;
const FIRST_CONNECTION_TOKEN: u64 = 2;
/// Bytes read from one connection per turn, so that the others get theirs in between.
const READ_BYTES: usize = 64 * 1024;
/// The maximum time between two turns: the delay within which idle connections are closed after a pause.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Connections accepted per turn.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Connections at most that have been shut down and are still read from.
const MAX_LINGERING: usize = 64;

/// The event loop and its connections.
pub struct Sockets {
    epoll: OwnedFd,
    acceptor: Acceptor,
    origin: Origin,
    clients: Clients,
    intake: Arc<Intake>,
    connections: HashMap<u64, Connection>,
    /// Connections with records left for the next turn.
    unfinished: BTreeSet<u64>,
    /// Connections whose registration failed; it is retried at the next turn.
    unregistered: BTreeSet<u64>,
    lingering: BTreeMap<u64, Lingering>,
    /// Bytes of all connections' unwritten output, and their bound.
    output_bytes: usize,
    /// Bytes of records that have been received and not handled yet, of all connections.
    input_bytes: usize,
    /// The bound of each of the two.
    max_buffered_bytes: usize,
    next_token: u64,
    mailbox: Mailbox,
    deliveries: Receiver<Delivery>,
    finished: Sender<()>,
    drain_report: DrainReport,
}

/// Lets the main thread finish the thread that serves the sockets.
pub struct ShutdownHandle {
    mailbox: Mailbox,
    finished: Receiver<()>,
}

impl ShutdownHandle {
    /// Answers late requests and closes all connections, waiting at most `timeout`. True if all are closed.
    pub fn close_within(&self, mode: &Mode, timeout: Duration) -> bool {
        mode.finish();
        self.mailbox.wake();
        self.finished.recv_timeout(timeout).is_ok()
    }
}

impl Sockets {
    /// Registers the listener and the mailbox with a new event loop.
    ///
    /// # Errors
    /// If the system refuses one of them.
    pub fn new(
        listener: TcpListener,
        origin: Origin,
        clients: Clients,
        intake: Arc<Intake>,
        max_buffered_bytes: usize,
    ) -> io::Result<(Sockets, ShutdownHandle)> {
        let create = || epoll::create(epoll::CreateFlags::CLOEXEC).map_err(io::Error::from);
        let epoll = retry_at_start("clients' epoll", create)?;
        let (mailbox, deliveries) = retry_at_start("clients' mailbox", || Mailbox::new(max_buffered_bytes))?;
        let acceptor = Acceptor::register(&epoll, listener, LISTENER_TOKEN)?;
        epoll::add(&epoll, mailbox.wake_signal(), EventData::new_u64(WAKE_TOKEN), EventFlags::IN)?;
        let connections = HashMap::new();
        let (finished, finished_receiver) = bounded(1);
        let finish = ShutdownHandle { mailbox: mailbox.clone(), finished: finished_receiver };
        let sockets = Sockets {
            epoll,
            acceptor,
            origin,
            clients,
            intake,
            connections,
            unfinished: BTreeSet::new(),
            unregistered: BTreeSet::new(),
            lingering: BTreeMap::new(),
            output_bytes: 0,
            input_bytes: 0,
            max_buffered_bytes,
            next_token: FIRST_CONNECTION_TOKEN,
            mailbox,
            deliveries,
            finished,
            drain_report: DrainReport::default(),
        };
        Ok((sockets, finish))
    }

    /// Serves until the process exits.
    pub fn run(mut self) {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            events.clear();
            let longest = if self.unfinished.is_empty() { POLL_INTERVAL } else { Duration::ZERO };
            let timeout = self.acceptor.poll_timeout(longest);
            if epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&timeout)).is_err() {
                // The wait is interrupted each time the process is stopped and continued. Queued deliveries are still
                // processed.
                events.clear();
            }
            self.run_turn(&events, &mut buffer);
        }
    }

    /// One turn: received input is processed first, and idle connections are closed only then.
    fn run_turn(&mut self, events: &[epoll::Event], buffer: &mut [u8]) {
        self.acceptor.resume(&self.epoll);
        let mut unfinished = std::mem::take(&mut self.unfinished);
        for id in std::mem::take(&mut self.unregistered) {
            self.run_action(id, Connection::flush);
        }
        for event in events {
            match event.data.u64() {
                LISTENER_TOKEN => self.accept(),
                WAKE_TOKEN => self.mailbox.reset_wake_signal(),
                id if self.lingering.contains_key(&id) => {
                    if self.lingering.get_mut(&id).is_some_and(|l| !l.discard_input(buffer)) {
                        self.lingering.remove(&id);
                    }
                }
                id => self.run_action(id, |connection| connection.handle_events(event.flags, buffer)),
            }
        }
        while let Ok(delivery) = self.deliveries.try_recv() {
            self.mailbox.record_received(&delivery);
            self.run_action(delivery.connection, |connection| {
                connection.session.queue_answer(&delivery);
                connection.flush()
            });
        }
        unfinished.extend(self.mailbox.take_resumed());
        for id in unfinished {
            self.run_action(id, Connection::go_on);
        }
        self.drain_connections();
        let now = Instant::now();
        self.lingering.retain(|_, lingering| lingering.has_time(now));
        self.finish_shutdown();
    }

    /// When the process is about to exit: accepts what is still pending, and reports once all connections are closed on
    /// both sides.
    fn finish_shutdown(&mut self) {
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

    /// Shuts down our side and discards the remaining input. An open request is abandoned by this: its client is owed
    /// nothing more, or has violated the protocol.
    fn linger(&mut self, id: u64, connection: Connection) {
        let Connection { admitted, session, .. } = connection;
        drop(session);
        admitted.client.close_idle();
        let data = EventData::new_u64(id);
        if epoll::modify(&self.epoll, admitted.client.stream(), data, EventFlags::IN).is_err() {
            return;
        }
        if self.lingering.len() >= MAX_LINGERING {
            self.lingering.pop_first();
        }
        self.lingering.insert(id, Lingering::new(admitted));
    }

    /// Applies the drain to each connection while paused or ending. A process that ends on a listener shared with its
    /// successor accepts no more connections: pending ones are left to the successor.
    fn drain_connections(&mut self) {
        let mode = &self.intake.counters.mode;
        let phase = mode.drain_phase(clock::uptime());
        let connections = self.connections.values();
        let held = connections.map(|c| (c.session.open_request_count(), c.session.owes_answer()));
        self.drain_report.observe(phase, held);
        if !phase.is_draining() {
            return;
        }
        if self.origin == Origin::Inherited && mode.state() == State::Ending {
            self.acceptor.close(&self.epoll);
        }
        let actions =
            self.connections.iter().map(|(id, c)| (*id, phase.connection_action(c.session.activity())));
        for (id, action) in
            actions.filter(|(_, action)| *action != ConnectionAction::Keep).collect::<Vec<_>>()
        {
            match action {
                ConnectionAction::Keep => {}
                ConnectionAction::RejectPartialRequests => self.run_action(id, |connection| {
                    connection.session.reject_partial_requests();
                    connection.flush()
                }),
                ConnectionAction::Close => self.close_drained(id, phase),
            }
        }
    }

    /// Closes a connection that the drain releases.
    fn close_drained(&mut self, id: u64, phase: DrainPhase) {
        if let Some(connection) = self.remove_connection(id) {
            tracing::debug!(connection = id, phase = phase.name(), "drain: connection closed");
            self.intake.counters.drain_closed.fetch_add(1, Relaxed);
            self.linger(id, connection);
        }
    }

    /// Runs an action on a connection. An error or a panic ends this connection only.
    fn run_action(&mut self, id: u64, action: impl FnOnce(&mut Connection) -> Result<(), End>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (input_before, output_before) =
            (connection.session.input_bytes(), connection.session.output.bytes());
        let result = catch_unwind(AssertUnwindSafe(|| action(connection)));
        self.input_bytes = self.input_bytes - input_before + connection.session.input_bytes();
        self.output_bytes = self.output_bytes - output_before + connection.session.output.bytes();
        let mut closed_by_us = true;
        let error = match result {
            Ok(Ok(())) => {
                if connection.register_interest(&self.epoll, id).is_err() {
                    self.unregistered.insert(id);
                }
                if connection.session.can_go_on() {
                    self.unfinished.insert(id);
                }
                self.shed_output();
                self.shed_input();
                self.mailbox.record_output(self.output_bytes);
                return;
            }
            Ok(Err(End::Finished)) => None,
            Ok(Err(End::ClosedByClient)) => {
                closed_by_us = false;
                None
            }
            Ok(Err(End::Failed(error))) => Some(error.to_string()),
            Err(_) => Some("a panic".into()),
        };
        if let Some(error) = error {
            self.intake.counters.broken_clients.fetch_add(1, Relaxed);
            self.intake.log.write(|| format!("client connection: closed over {error}"));
        }
        let Some(connection) = self.remove_connection(id) else { return };
        if closed_by_us {
            self.linger(id, connection);
        }
    }

    fn remove_connection(&mut self, id: u64) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.input_bytes -= connection.session.input_bytes();
        self.output_bytes -= connection.session.output.bytes();
        Some(connection)
    }

    /// Keeps the unwritten output of all connections within its bound: the connection that holds the most gives up
    /// answers, since its client does not read them.
    fn shed_output(&mut self) {
        if self.output_bytes > self.max_buffered_bytes {
            let outputs = self.connections.values_mut().map(|connection| &mut connection.session.output);
            self.output_bytes -= outputs.map(OutputQueue::release_written).sum::<usize>();
        }
        while self.output_bytes > self.max_buffered_bytes {
            let mut by_size: Vec<&mut Connection> = self.connections.values_mut().collect();
            by_size.sort_by_key(|connection| std::cmp::Reverse(connection.session.output.bytes()));
            let mut freed = 0;
            for connection in by_size {
                let output = &mut connection.session.output;
                let before = output.bytes();
                if output.shed() {
                    freed = before - output.bytes();
                    break;
                }
            }
            if freed == 0 {
                return;
            }
            self.output_bytes -= freed;
            self.intake.counters.answers_shed.fetch_add(1, Relaxed);
        }
    }

    /// Keeps the unhandled input of all connections within its bound: the connection that holds the most of an
    /// incomplete record is closed, if it is owed nothing.
    fn shed_input(&mut self) {
        while self.input_bytes > self.max_buffered_bytes {
            let is_owed_nothing =
                |c: &Connection| !c.session.owes_answer() && !c.session.has_unhandled_records();
            let candidates = self.connections.iter().filter(|(_, c)| is_owed_nothing(c));
            let largest = candidates.max_by_key(|(_, c)| c.session.input_bytes());
            let Some(id) = largest.filter(|(_, c)| c.session.input_bytes() > 0).map(|(id, _)| *id) else {
                return;
            };
            self.intake.counters.broken_clients.fetch_add(1, Relaxed);
            self.intake.log.write(|| "client connection: closed, its incomplete record takes memory".into());
            drop(self.remove_connection(id));
        }
    }

    /// Accepts pending connections.
    fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let stream = match self.acceptor.accept(&self.epoll) {
                Ok(Some((stream, _))) => stream,
                Ok(None) => return,
                Err(error) => {
                    self.intake.log.write(|| format!("accept: {error}"));
                    return;
                }
            };
            let Some(admitted) = self.clients.admit(stream, Protocol::FastCgi) else { continue };
            self.intake.counters.client_connections.fetch_add(1, Relaxed);
            if let Err(error) = self.register(admitted) {
                self.intake.log.write(|| format!("accept: {error}"));
            }
        }
    }

    /// Registers an admitted connection with the event loop.
    fn register(&mut self, admitted: Admitted) -> io::Result<()> {
        let (id, client) = (self.next_token, admitted.client.clone());
        self.next_token += 1;
        client.stream().set_nonblocking(true)?;
        client.stream().set_nodelay(true)?;
        epoll::add(&self.epoll, client.stream(), EventData::new_u64(id), EventFlags::IN)?;
        let session = FastCgiSession::new(id, client, self.intake.clone(), self.mailbox.clone());
        self.connections.insert(id, Connection::new(admitted, session));
        Ok(())
    }
}

#[cfg(test)]
mod tests;

//! The open client connections, bounded in total and for each address, so that a flood from one address cannot starve
//! the others. At the bound, an idle connection is closed to make room for a new one. A connection that does not send a
//! whole request, or does not read its answer, within its timeout is closed.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use elmtide_drain::{ConnectionAction, ConnectionActivity, DrainPhase};

use crate::memory::counters::{Counters, Unwritten};
use crate::memory::fair_queue::Source;
use crate::process::{clock, spawn_at_start};

/// A request must be complete this long after its first byte; the first request of a connection, this long after the
/// connection was accepted.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// An answer must be read by the client within this time.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_secs(6);
/// A connection that has sent requests before is closed after being idle for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which connections are checked for expired deadlines.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// One address may hold at most this fraction (1 / N) of the connections and of the open requests.
const ADDRESS_SHARE_DIVISOR: usize = 2;
/// The maximum number of unanswered requests from all clients.
const MAX_OPEN_REQUESTS: usize = 1000;
/// A connection may open another request while so many times its unanswered ones are still free for all: the more there
/// are in all, the fewer each may have, and one without any has room while there is any.
const OWN_REQUEST_WEIGHT: usize = 2;
/// How many connections that are closed, but whose threads have not ended yet, may exist on top of the maximum.
const MAX_CLOSING_CONNECTIONS: usize = 32;

/// The protocol of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The thread that serves these sockets checks each connection for the drain itself.
    FastCgi,
    /// Each connection has a thread that blocks on its client, so the watch thread releases it in a drain.
    Http,
}

/// The activity of one connection.
#[derive(Debug)]
pub struct Client {
    id: u64,
    stream: Arc<TcpStream>,
    protocol: Protocol,
    address: IpAddr,
    registry: Arc<Registry>,
    /// It has sent a valid request.
    has_sent_request: AtomicBool,
    open_requests: AtomicUsize,
    /// Those of them that have no answer yet.
    unanswered_requests: AtomicUsize,
    /// Records that have been read wait to be handled: a request among them must not be lost.
    has_unhandled_input: AtomicBool,
    /// This side is closing the connection. Set and read under the registry lock; what is read from the socket
    /// afterwards is not forwarded.
    is_closing: AtomicBool,
    /// Milliseconds of the registry clock: the last activity, and the deadlines by which the client must have sent what
    /// it began to send, and read what is being written (0: nothing is in progress).
    idle_since_ms: AtomicU64,
    receive_deadline_ms: AtomicU64,
    write_deadline_ms: AtomicU64,
}

impl Client {
    /// Sets the receive deadline for a request whose first byte came at `since`; `None` if no request is partially
    /// received. Before the first request of the connection its initial deadline stays.
    pub fn set_receive_start(&self, since: Option<Instant>) {
        let deadline = since.map(|since| self.registry.to_millis(since + REQUEST_TIMEOUT));
        let initial =
            if self.has_sent_request.load(Relaxed) { 0 } else { self.receive_deadline_ms.load(Relaxed) };
        self.receive_deadline_ms.store(deadline.unwrap_or(initial), Relaxed);
    }

    /// A valid request has been received.
    pub fn record_valid_request(&self) {
        self.has_sent_request.store(true, Relaxed);
        self.record_activity();
    }

    /// Records whether input that has been read waits to be handled.
    pub fn set_unhandled_input(&self, has_unhandled_input: bool) {
        self.has_unhandled_input.store(has_unhandled_input, Relaxed);
    }

    /// Whether a request is open, or may be among the input that waits to be handled.
    fn is_busy(&self) -> bool {
        self.open_requests.load(Relaxed) > 0 || self.has_unhandled_input.load(Relaxed)
    }

    /// Records activity, which restarts the idle timeout.
    fn record_activity(&self) {
        self.idle_since_ms.store(self.registry.to_millis(Instant::now()), Relaxed);
    }

    /// An answer is about to be written; the client must read it by the write deadline.
    pub fn start_write(&self) {
        self.write_deadline_ms.store(self.registry.to_millis(Instant::now() + ANSWER_READ_TIMEOUT), Relaxed);
    }

    /// The answer has been written.
    pub fn finish_write(&self) {
        self.write_deadline_ms.store(0, Relaxed);
    }

    /// Whether a drain in this phase closes the connection, if the watch thread is responsible for it.
    fn is_released(&self, phase: DrainPhase) -> bool {
        let has_sent_request = self.has_sent_request.load(Relaxed);
        let has_partial_request = has_sent_request && self.receive_deadline_ms.load(Relaxed) > 0;
        let activity = ConnectionActivity {
            has_pending_response: self.open_requests.load(Relaxed) > 0,
            partial_requests: usize::from(has_partial_request),
            has_partial_input: false,
            has_unread_input: self.has_unread_bytes(),
            has_received_request: has_sent_request,
        };
        let already_closed = self.is_closing.load(Relaxed);
        self.protocol == Protocol::Http
            && !already_closed
            && phase.connection_action(activity) == ConnectionAction::Close
    }

    fn shut_down(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether received bytes have not been read yet.
    pub fn has_unread_bytes(&self) -> bool {
        rustix::io::ioctl_fionread(&self.stream).is_ok_and(|n| n > 0)
    }

    /// Whether this side is closing the connection.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Relaxed)
    }

    /// Ends our side of the connection if no request is open on it; true if it did. Written data still goes out. What
    /// the client sends from now on it has to send again on another connection; it must still be read and discarded,
    /// since closing a socket with unread bytes resets it and loses what was written.
    pub fn close_idle(&self) -> bool {
        let _state = self.registry.lock();
        let idle = self.open_requests.load(Relaxed) == 0;
        if idle {
            self.is_closing.store(true, Relaxed);
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        idle
    }

    /// Opens a request that has been received completely.
    pub fn open_request(self: &Arc<Self>, counters: &Arc<Counters>) -> Result<OpenRequestGuard, OpenError> {
        let mut state = self.registry.lock();
        if self.is_closing.load(Relaxed) {
            return Err(OpenError::Closed);
        }
        let free_in_total = MAX_OPEN_REQUESTS.saturating_sub(state.requests);
        let usage = state.addresses.entry(self.address).or_default();
        let free_of_address = (MAX_OPEN_REQUESTS / ADDRESS_SHARE_DIVISOR).saturating_sub(usage.requests);
        let own = self.unanswered_requests.load(Relaxed);
        if own * OWN_REQUEST_WEIGHT >= free_in_total.min(free_of_address) {
            return Err(OpenError::TooMany);
        }
        usage.requests += 1;
        state.requests += 1;
        self.open_requests.fetch_add(1, Relaxed);
        self.unanswered_requests.fetch_add(1, Relaxed);
        Ok(OpenRequestGuard {
            client: self.clone(),
            is_unanswered: true,
            _unwritten: Unwritten::new(counters),
        })
    }
}

/// Memory that is reserved for an answer until it is written.
#[derive(Debug)]
pub struct AnswerMemory {
    client: Arc<Client>,
    bytes: usize,
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        let mut state = self.client.registry.lock();
        state.answer_bytes -= self.bytes;
        state.update_usage(self.client.address, |a| a.answer_bytes -= self.bytes);
    }
}

impl Client {
    /// Reserves memory for an answer that waits for this client; `None` if its address, or all addresses together, have
    /// too much. An address may have as much as is free for all, so that one whose clients do not read leaves room.
    pub fn reserve_answer_memory(self: &Arc<Self>, bytes: usize) -> Option<AnswerMemory> {
        let mut state = self.registry.lock();
        let free = self.registry.max_answer_bytes.saturating_sub(state.answer_bytes);
        let usage = state.addresses.entry(self.address).or_default();
        if usage.answer_bytes + bytes > free {
            return None;
        }
        usage.answer_bytes += bytes;
        state.answer_bytes += bytes;
        Some(AnswerMemory { client: self.clone(), bytes })
    }
}

/// Why a complete request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// This address, or all addresses together, have too many open requests.
    TooMany,
    /// The connection was being closed when the request arrived; the client sends it again on a new one.
    Closed,
}

/// An open request: held from its last byte until its answer is written.
#[derive(Debug)]
pub struct OpenRequestGuard {
    client: Arc<Client>,
    is_unanswered: bool,
    _unwritten: Unwritten,
}

impl OpenRequestGuard {
    /// The request has its answer. While that waits for its client it takes memory, but no place among the requests.
    pub fn record_answer(&mut self) {
        if !std::mem::replace(&mut self.is_unanswered, false) {
            return;
        }
        self.client.unanswered_requests.fetch_sub(1, Relaxed);
        let mut state = self.client.registry.lock();
        state.requests -= 1;
        state.update_usage(self.client.address, |a| a.requests -= 1);
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.record_answer();
        self.client.open_requests.fetch_sub(1, Relaxed);
        self.client.record_activity();
    }
}

/// The connections and open requests of one address, and the bytes of answers that wait for its clients.
#[derive(Debug, Default, PartialEq)]
struct AddressUsage {
    connections: usize,
    requests: usize,
    answer_bytes: usize,
}

/// The registry state that its lock protects.
#[derive(Debug, Default)]
struct RegistryState {
    next_id: u64,
    clients: BTreeMap<u64, Arc<Client>>,
    addresses: BTreeMap<IpAddr, AddressUsage>,
    requests: usize,
    answer_bytes: usize,
}

impl RegistryState {
    /// Changes the usage of an address; an entry without connections and requests is removed.
    fn update_usage(&mut self, address: IpAddr, change: impl FnOnce(&mut AddressUsage)) {
        if let Some(usage) = self.addresses.get_mut(&address) {
            change(usage);
            if *usage == AddressUsage::default() {
                self.addresses.remove(&address);
            }
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(client) = self.clients.remove(&id) {
            self.update_usage(client.address, |a| a.connections -= 1);
        }
    }
}

/// The registry that all connections share.
#[derive(Debug)]
struct Registry {
    epoch: Instant,
    max_connections: usize,
    max_answer_bytes: usize,
    /// Connections whose threads still run, including closed ones.
    live_connections: AtomicUsize,
    state: Mutex<RegistryState>,
    rejected_connections: AtomicU64,
}

impl Registry {
    fn to_millis(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.epoch).as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Registration of a connection, held as long as its threads run.
#[derive(Debug)]
pub struct Admitted {
    pub client: Arc<Client>,
    id: u64,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.client.shut_down();
        self.client.registry.live_connections.fetch_sub(1, Relaxed);
        self.client.registry.lock().remove(self.id);
    }
}

/// All client connections of the process.
#[derive(Clone, Debug)]
pub struct Clients(Arc<Registry>);

impl Clients {
    /// Creates a registry for at most this many connections, and this many bytes of answers that wait for clients of
    /// HTTP.
    pub fn new(max_connections: usize, max_answer_bytes: usize) -> Clients {
        Clients(Arc::new(Registry {
            epoch: Instant::now(),
            max_connections,
            max_answer_bytes,
            live_connections: AtomicUsize::new(0),
            state: Mutex::default(),
            rejected_connections: AtomicU64::new(0),
        }))
    }

    /// Admits a connection; `None` if the bound is reached and no connection can be evicted. Rejecting one is cheap: no
    /// thread has been started, and it gets no log line of its own.
    pub fn admit(&self, stream: TcpStream, protocol: Protocol) -> Option<Admitted> {
        let registry = &self.0;
        let address = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |a| a.ip());
        let mut state = registry.lock();
        let own_connections = state.addresses.get(&address).map_or(0, |a| a.connections);
        let address_is_full = own_connections >= registry.max_connections.div_ceil(ADDRESS_SHARE_DIVISOR);
        if address_is_full || state.clients.len() >= registry.max_connections {
            let evicted = evict(&mut state, |client| !address_is_full || client.address == address);
            if !evicted {
                registry.rejected_connections.fetch_add(1, Relaxed);
                return None;
            }
        }
        if registry.live_connections.load(Relaxed) >= registry.max_connections + MAX_CLOSING_CONNECTIONS {
            registry.rejected_connections.fetch_add(1, Relaxed);
            return None;
        }
        let now = Instant::now();
        state.next_id += 1;
        let id = state.next_id;
        let client = Arc::new(Client {
            id,
            stream: Arc::new(stream),
            protocol,
            address,
            registry: registry.clone(),
            has_sent_request: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            unanswered_requests: AtomicUsize::new(0),
            has_unhandled_input: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            idle_since_ms: AtomicU64::new(registry.to_millis(now)),
            receive_deadline_ms: AtomicU64::new(registry.to_millis(now + REQUEST_TIMEOUT)),
            write_deadline_ms: AtomicU64::new(0),
        });
        state.clients.insert(id, client.clone());
        state.addresses.entry(address).or_default().connections += 1;
        registry.live_connections.fetch_add(1, Relaxed);
        Some(Admitted { client, id })
    }

    /// Starts the thread that closes connections whose deadline has passed, and those that a drain releases.
    pub fn start_watch(&self, counters: &Arc<Counters>) -> io::Result<()> {
        let (registry, counters) = (self.0.clone(), counters.clone());
        let watch = move || loop {
            std::thread::sleep(WATCH_INTERVAL);
            let phase = counters.mode.drain_phase(clock::uptime());
            let now = registry.to_millis(Instant::now());
            let is_past = |deadline: &AtomicU64| (1..now).contains(&deadline.load(Relaxed));
            let idle_before = now.saturating_sub(IDLE_TIMEOUT.as_millis() as u64);
            // Under the lock: a request that completes at the same instant is either open already, so that the
            // connection is not idle, or is not accepted any more.
            for client in registry.lock().clients.values() {
                let is_busy = client.is_busy();
                let is_idle = !is_busy
                    && client.has_sent_request.load(Relaxed)
                    && client.idle_since_ms.load(Relaxed) < idle_before;
                let is_released = phase.is_draining() && client.is_released(phase);
                if is_released {
                    counters.drain_closed.fetch_add(1, Relaxed);
                }
                if is_released
                    || is_past(&client.write_deadline_ms)
                    || (!is_busy
                        && (is_past(&client.receive_deadline_ms) || (is_idle && !client.has_unread_bytes())))
                {
                    client.is_closing.store(true, Relaxed);
                    client.shut_down();
                }
            }
            let rejected = registry.rejected_connections.swap(0, Relaxed);
            if rejected > 0 {
                eprintln!("accept: no room, {rejected} client connections were turned away");
            }
        };
        spawn_at_start("client-watch", watch).map(drop)
    }
}

impl Client {
    /// Where requests on this connection come from.
    pub fn source(&self) -> Source {
        Source { address: self.address, connection: self.id }
    }

    /// The socket of the connection.
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }
}

/// Closes the least valuable connection: never one that is owed an answer or has unread bytes; first those that have
/// not sent a valid request, then those idle for longest. A client sends again whatever arrives during the close.
fn evict(state: &mut RegistryState, is_eligible: impl Fn(&Client) -> bool) -> bool {
    let idle = state.clients.iter().filter(|(_, c)| !c.is_busy() && is_eligible(c));
    let mut order: Vec<(bool, u64, u64)> =
        idle.map(|(id, c)| (c.has_sent_request.load(Relaxed), c.idle_since_ms.load(Relaxed), *id)).collect();
    order.sort_unstable();
    let has_unread = |id: &u64| state.clients.get(id).is_some_and(|c| c.has_unread_bytes());
    let Some(id) = order.into_iter().map(|(_, _, id)| id).find(|id| !has_unread(id)) else {
        return false;
    };
    if let Some(client) = state.clients.get(&id) {
        client.is_closing.store(true, Relaxed);
        client.shut_down();
    }
    state.remove(id);
    true
}

//! The client connections that are open: bounded in all and for each address, so that one flood can't starve
//! the others. Room for a new connection is made by closing one that asks for nothing; one that does not bring
//! a whole request in time, or does not take its answer in, is closed.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use elmtide_drain::{ConnectionAction, ConnectionActivity, DrainPhase};

use crate::memory::counters::{Counters, Unwritten};
use crate::process::{clock, spawn_at_start};

/// A request is whole within so long of its first byte, and the first of a connection of its start.
pub const REQUEST: Duration = Duration::from_millis(2200);
/// An answer is taken in within so long.
const TAKEN_IN: Duration = Duration::from_secs(6);
/// A connection that has brought requests and brings no more is closed after so long.
const IDLE: Duration = Duration::from_secs(60);
/// How often the table is looked through.
const LOOK: Duration = Duration::from_millis(200);
/// Parts of the connections and of the open requests that one address may have.
const PER_ADDRESS: usize = 2;
/// Requests open at most, from all clients.
const REQUESTS: usize = 1000;
/// Connections that are closed already, but whose threads have not ended yet, over those allowed.
const ENDING: usize = 32;

/// What a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The thread of the sockets looks at each connection by itself.
    FastCgi,
    /// Each connection has a thread, which waits for its client: it is released by the watch.
    Http,
}

/// What one connection is doing.
#[derive(Debug)]
pub struct Client {
    stream: Arc<TcpStream>,
    protocol: Protocol,
    address: IpAddr,
    table: Arc<Table>,
    /// Has brought a request that could be used.
    heard: AtomicBool,
    open: AtomicUsize,
    /// It is being closed by us. Set and asked under the table's lock: what is read after that is not sent on.
    closed: AtomicBool,
    /// Milliseconds of the table's clock: when it last had something to do, and until when it must have brought
    /// or taken in what it has begun (0: it has begun nothing).
    idle_since: AtomicU64,
    bring_by: AtomicU64,
    take_by: AtomicU64,
}

impl Client {
    /// What has begun to come is to be whole by then; none where nothing has begun.
    pub fn brings(&self, since: Option<Instant>) {
        let due = since.map(|since| self.table.millis(since + REQUEST));
        let first = if self.heard.load(Relaxed) { 0 } else { self.bring_by.load(Relaxed) };
        self.bring_by.store(due.unwrap_or(first), Relaxed);
    }

    pub fn heard(&self) {
        self.heard.store(true, Relaxed);
        self.touch();
    }

    fn touch(&self) {
        self.idle_since.store(self.table.millis(Instant::now()), Relaxed);
    }

    /// An answer begins to be written, and must be taken in soon.
    pub fn takes(&self) {
        self.take_by.store(self.table.millis(Instant::now() + TAKEN_IN), Relaxed);
    }

    pub fn took(&self) {
        self.take_by.store(0, Relaxed);
    }

    /// A drain in this phase closes the connection, as far as that is for the watch to do.
    fn is_released(&self, phase: DrainPhase) -> bool {
        let heard = self.heard.load(Relaxed);
        let begun = heard && self.bring_by.load(Relaxed) > 0;
        let activity = ConnectionActivity {
            owes_answer: self.open.load(Relaxed) > 0,
            partial_requests: usize::from(begun),
            has_partial_input: false,
            has_unread_input: self.has_unread(),
            has_brought_request: heard,
        };
        let is_closed = self.closed.load(Relaxed);
        self.protocol == Protocol::Http
            && !is_closed
            && phase.connection_action(activity) == ConnectionAction::Close
    }

    fn shut(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Bytes have come that nobody has looked at.
    pub fn has_unread(&self) -> bool {
        rustix::io::ioctl_fionread(&self.stream).is_ok_and(|n| n > 0)
    }

    /// Ends our side of the connection, if no request is open on it: true if it is ended. What has been written still
    /// goes out; what still comes is the client's to send again, and has to be read and dropped, since a close over
    /// unread bytes takes with it what was written.
    pub fn close_idle(&self) -> bool {
        let _book = self.table.book();
        let idle = self.open.load(Relaxed) == 0;
        if idle {
            self.closed.store(true, Relaxed);
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        idle
    }

    /// A request has come whole.
    pub fn open(self: &Arc<Self>, counters: &Arc<Counters>) -> Result<Owed, NotTaken> {
        let mut book = self.table.book();
        if self.closed.load(Relaxed) {
            return Err(NotTaken::Closed);
        }
        if book.requests >= REQUESTS {
            return Err(NotTaken::TooMany);
        }
        let of_address = book.addresses.entry(self.address).or_default();
        if of_address.requests >= REQUESTS / PER_ADDRESS {
            return Err(NotTaken::TooMany);
        }
        of_address.requests += 1;
        book.requests += 1;
        self.open.fetch_add(1, Relaxed);
        Ok(Owed { client: self.clone(), _unwritten: Unwritten::new(counters) })
    }
}

/// Why a request that has come whole is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// This address, or all together, have too many open.
    TooMany,
    /// It has crossed the close of its connection: its client sends it again on a new one.
    Closed,
}

/// Held from a request's last byte until its answer is written.
#[derive(Debug)]
pub struct Owed {
    client: Arc<Client>,
    _unwritten: Unwritten,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.client.open.fetch_sub(1, Relaxed);
        self.client.touch();
        let mut book = self.client.table.book();
        book.requests -= 1;
        book.of(self.client.address, |a| a.requests -= 1);
    }
}

#[derive(Debug, Default)]
struct OfAddress {
    connections: usize,
    requests: usize,
}

#[derive(Debug, Default)]
struct Book {
    next: u64,
    clients: BTreeMap<u64, Arc<Client>>,
    addresses: BTreeMap<IpAddr, OfAddress>,
    requests: usize,
}

impl Book {
    /// An address that has nothing more is forgotten.
    fn of(&mut self, address: IpAddr, change: impl FnOnce(&mut OfAddress)) {
        if let Some(of_address) = self.addresses.get_mut(&address) {
            change(of_address);
            if of_address.connections == 0 && of_address.requests == 0 {
                self.addresses.remove(&address);
            }
        }
    }

    fn remove(&mut self, place: u64) {
        if let Some(client) = self.clients.remove(&place) {
            self.of(client.address, |a| a.connections -= 1);
        }
    }
}

#[derive(Debug)]
struct Table {
    epoch: Instant,
    most: usize,
    /// Connections whose threads run, closed ones too.
    live: AtomicUsize,
    book: Mutex<Book>,
    turned_away: AtomicU64,
}

impl Table {
    fn millis(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.epoch).as_millis() as u64
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Held as long as a connection's threads run.
#[derive(Debug)]
pub struct Admitted {
    pub client: Arc<Client>,
    place: u64,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.client.shut();
        self.client.table.live.fetch_sub(1, Relaxed);
        self.client.table.book().remove(self.place);
    }
}

/// All client connections of the program.
#[derive(Clone, Debug)]
pub struct Clients(Arc<Table>);

impl Clients {
    pub fn new(most: usize) -> Clients {
        Clients(Arc::new(Table {
            epoch: Instant::now(),
            most,
            live: AtomicUsize::new(0),
            book: Mutex::default(),
            turned_away: AtomicU64::new(0),
        }))
    }

    /// Takes a connection in; `None` where there is no room and none can be made. Closing it costs as little as
    /// can be: no thread has been started, and nothing is logged for it alone.
    pub fn admit(&self, stream: TcpStream, protocol: Protocol) -> Option<Admitted> {
        let table = &self.0;
        let address = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |a| a.ip());
        let mut book = table.book();
        let own = book.addresses.get(&address).map_or(0, |a| a.connections);
        let crowded = own >= table.most.div_ceil(PER_ADDRESS);
        if crowded || book.clients.len() >= table.most {
            let room = evict(&mut book, |client| !crowded || client.address == address);
            if !room {
                table.turned_away.fetch_add(1, Relaxed);
                return None;
            }
        }
        if table.live.load(Relaxed) >= table.most + ENDING {
            table.turned_away.fetch_add(1, Relaxed);
            return None;
        }
        let now = Instant::now();
        let client = Arc::new(Client {
            stream: Arc::new(stream),
            protocol,
            address,
            table: table.clone(),
            heard: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            idle_since: AtomicU64::new(table.millis(now)),
            bring_by: AtomicU64::new(table.millis(now + REQUEST)),
            take_by: AtomicU64::new(0),
        });
        book.next += 1;
        let place = book.next;
        book.clients.insert(place, client.clone());
        book.addresses.entry(address).or_default().connections += 1;
        table.live.fetch_add(1, Relaxed);
        Some(Admitted { client, place })
    }

    /// Closes what is overdue, for good, and what a drain releases.
    pub fn watch(&self, counters: &Arc<Counters>) -> io::Result<()> {
        let (table, counters) = (self.0.clone(), counters.clone());
        let watch = move || loop {
            std::thread::sleep(LOOK);
            let phase = counters.mode.drain_phase(clock::uptime());
            let now = table.millis(Instant::now());
            let past = |due: &AtomicU64| (1..now).contains(&due.load(Relaxed));
            let idle = now.saturating_sub(IDLE.as_millis() as u64);
            // Under the lock, so that a request that comes whole in the same instant is either open by now, and the
            // connection does not rest, or is not taken any more.
            for client in table.book().clients.values() {
                let open = client.open.load(Relaxed) > 0;
                let rests = !open && client.heard.load(Relaxed) && client.idle_since.load(Relaxed) < idle;
                let released = phase.is_draining() && client.is_released(phase);
                if released {
                    counters.drain_closed.fetch_add(1, Relaxed);
                }
                if released
                    || past(&client.take_by)
                    || (!open && (past(&client.bring_by) || (rests && !client.has_unread())))
                {
                    client.closed.store(true, Relaxed);
                    client.shut();
                }
            }
            let away = table.turned_away.swap(0, Relaxed);
            if away > 0 {
                eprintln!("accept: no room, {away} client connections were turned away");
            }
        };
        spawn_at_start("client-watch", watch).map(drop)
    }
}

impl Client {
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }
}

/// Closes the connection that can best be done without: none that is owed an answer, and none with bytes that
/// have not been looked at; first those that have brought nothing that could be used, then those idle for
/// longest. A client sends again what crosses the close.
fn evict(book: &mut Book, may: impl Fn(&Client) -> bool) -> bool {
    let idle = book.clients.iter().filter(|(_, c)| c.open.load(Relaxed) == 0 && may(c));
    let mut order: Vec<(bool, u64, u64)> =
        idle.map(|(place, c)| (c.heard.load(Relaxed), c.idle_since.load(Relaxed), *place)).collect();
    order.sort_unstable();
    let unread = |place: &u64| book.clients.get(place).is_some_and(|c| c.has_unread());
    let Some(place) = order.into_iter().map(|(_, _, place)| place).find(|place| !unread(place)) else {
        return false;
    };
    if let Some(client) = book.clients.get(&place) {
        client.closed.store(true, Relaxed);
        client.shut();
    }
    book.remove(place);
    true
}

//! Follows the event bus by long polling: reads on from the last event received for as long as the front runs.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide::{Availability, CellId, Event, KindId, ListUpdate, Listing, ObjectId, PurgeGroup, ZoneId};

use crate::client::start_times::StartTimes;
use crate::exchange::{Input, ListSource, MemberUpdate, MembersUpdate};
use crate::memory::counters::Counters;
use crate::memory::members::member_id;
use crate::process::clock;
use crate::process::jitter_fraction;
use crate::wire::bus::{self, Batch, Server, State};
use crate::wire::http::{self, Body};

/// The bus counts an announcement as delivered 2 s after the end of the requested wait, whether or not it was
/// received. The wait is short enough to detect a silent bus and to ask again before that.
const LONG_POLL_WAIT_MS: u64 = 1000;
/// Limits the wait for the first byte of a response.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(LONG_POLL_WAIT_MS + 400);
/// Limits the time from the first byte of a response to its end: the bus may stall in the middle of an event and keep
/// the connection open.
const FULL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Limits connecting and each write.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the first retry; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Range of the random factor applied to each delay, drawn per front and failure, so that a failure seen by all
/// fronts does not make them all reconnect at once.
const MIN_JITTER: f64 = 0.4;
const MAX_JITTER: f64 = 1.0;
/// A longer response is rejected as not coming from the bus.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The zone and kind names of the settings; the index of a name is its id in the decision module.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl NameTable {
    /// The id of a zone, if the settings have it.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let index = self.zones.iter().position(|z| z == name)?;
        u8::try_from(index).ok().map(ZoneId)
    }

    /// The id of a kind, if the settings have it.
    pub fn kind(&self, name: &str) -> Option<KindId> {
        let index = self.kinds.iter().position(|k| k == name)?;
        u16::try_from(index).ok().map(KindId)
    }

    fn listing(&self, server: &Server) -> Result<(Listing, MemberUpdate), String> {
        let zone = self.zone(&server.zone).ok_or_else(|| format!("unknown zone {:?}", server.zone))?;
        let kind = self.kind(&server.kind).ok_or_else(|| format!("unknown kind {:?}", server.kind))?;
        let availability = match server.state {
            State::Active => Availability::Ready,
            State::Leaving => Availability::Draining,
            State::Left => Availability::Gone,
        };
        let member = member_id(&server.id);
        let started_at = (server.started_ms > 0.0).then_some(server.started_ms);
        let (weight, cell) = (server.weight, CellId(server.cell));
        let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
        let gone = availability == Availability::Gone;
        let addr = server.addr.parse().ok();
        Ok((listing, MemberUpdate { member, name: server.id.as_str().into(), addr, started_at, gone }))
    }

    /// Converts a bus event into an input of the engine.
    pub fn input(&self, event: &bus::Event) -> Input {
        match event {
            bus::Event::BanUrl { url, ts } => {
                Input::Purged { object: Some(ObjectId(*url)), group: PurgeGroup(0), at: *ts }
            }
            bus::Event::BanTag { tag, ts } => {
                Input::Purged { object: None, group: PurgeGroup(*tag), at: *ts }
            }
            bus::Event::Topology { full, servers } => {
                let (mut entries, mut members) = (Vec::new(), Vec::new());
                for server in servers {
                    match self.listing(server) {
                        Ok((listing, member)) => {
                            entries.push(listing);
                            members.push(member);
                        }
                        Err(reason) => eprintln!("bus: ignoring server {}: {reason}", server.id),
                    }
                }
                let update = if *full { ListUpdate::Full } else { ListUpdate::Delta };
                let event = Event::List { update, entries };
                let members_update = MembersUpdate { full: *full, members };
                Input::MembersListed { from: ListSource::Bus, members_update, event }
            }
        }
    }
}

/// Applies bus events in order, each exactly once.
pub struct BusFollower {
    pub names: NameTable,
    pub start_times: StartTimes,
    /// Number of the last applied event.
    pub last_event: u64,
    pub inputs: Sender<Input>,
    pub counters: Arc<Counters>,
    pub seed: u64,
}

/// Returns the randomised delay of a front after this number of failures.
fn jittered_delay(backoff: Duration, seed: u64, failures: u64) -> Duration {
    backoff.mul_f64(MIN_JITTER + (MAX_JITTER - MIN_JITTER) * jitter_fraction(seed, failures))
}

impl BusFollower {
    /// Applies the new events of a batch. Returns false once the engine has stopped.
    pub fn apply(&mut self, read: Result<(Batch, Vec<(u64, String)>), String>) -> Result<bool, String> {
        let (batch, invalid) = read?;
        for (number, reason) in invalid {
            eprintln!("bus: event {number} can't be used: {reason}");
        }
        let mut events: BTreeMap<u64, bus::Event> = batch.events.into_iter().collect();
        // Events that were already applied are delivered again if a response was lost.
        let new_events = events.split_off(&(self.last_event + 1));
        for (number, event) in new_events {
            let mut input = self.names.input(&event);
            if let Input::MembersListed { event, .. } = &mut input {
                self.start_times.convert(event, clock::to_steady_ms);
            }
            if self.inputs.send(input).is_err() {
                return Ok(false);
            }
            self.counters.bus_events.fetch_add(1, Relaxed);
            self.last_event = number;
        }
        self.last_event = self.last_event.max(batch.offset);
        self.counters.bus_heard.store(clock::steady_ms() as u64, Relaxed);
        Ok(true)
    }

    /// Reads events until the engine stops, following changes of the bus address.
    pub fn follow(mut self, bus: &BusAddress) {
        let mut backoff = MIN_RETRY_DELAY;
        loop {
            let addr = bus.current();
            // A panic must not permanently stop the delivery of purges and drains.
            let run = AssertUnwindSafe(|| self.read_events(addr, bus, &mut backoff));
            let failure = match catch_unwind(run).unwrap_or_else(|_| Err("the reader panicked".into())) {
                Ok(()) => return,
                Err(reason) => reason,
            };
            if bus.current() != addr {
                backoff = MIN_RETRY_DELAY;
                continue;
            }
            let failures = self.counters.bus_failures.fetch_add(1, Relaxed);
            let delay = jittered_delay(backoff, self.seed, failures);
            eprintln!("bus: {failure}; asking again within {} ms", backoff.as_millis());
            bus.wait_until_moved(addr, delay);
            backoff = (backoff * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn read_events(
        &mut self,
        addr: SocketAddr,
        bus: &BusAddress,
        backoff: &mut Duration,
    ) -> Result<(), String> {
        let with_context = |what: &'static str| move |e: io::Error| format!("{what}: {e}");
        let host = addr.to_string();
        loop {
            let stream =
                TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).map_err(with_context("connect"))?;
            let _ = stream.set_nodelay(true);
            stream.set_write_timeout(Some(CONNECT_TIMEOUT)).map_err(with_context("timeout"))?;
            let stream = Arc::new(stream);
            if !bus.register(addr, &stream) {
                return Err("the address of the bus has changed".into());
            }
            let mut buffer = Vec::new();
            loop {
                let request = bus::encode_read_request(&host, self.last_event, LONG_POLL_WAIT_MS);
                (&*stream).write_all(request.as_bytes()).map_err(with_context("write"))?;
                let (body, keep_alive) = read_response(&stream, &mut buffer)?;
                let value = serde_json::from_slice(&body).map_err(|e| format!("invalid JSON: {e}"))?;
                if !self.apply(bus::parse_batch(&value))? {
                    return Ok(());
                }
                *backoff = MIN_RETRY_DELAY;
                if !keep_alive {
                    break;
                }
            }
        }
    }
}

/// The address of the bus, which a new configuration may change while the bus is being read.
#[derive(Debug)]
pub struct BusAddress {
    state: Mutex<(SocketAddr, Option<Arc<TcpStream>>)>,
    moved: Condvar,
}

impl BusAddress {
    /// Creates the address, with no connection registered.
    pub fn new(addr: SocketAddr) -> BusAddress {
        BusAddress { state: Mutex::new((addr, None)), moved: Condvar::new() }
    }

    fn state(&self) -> MutexGuard<'_, (SocketAddr, Option<Arc<TcpStream>>)> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The current address.
    pub fn current(&self) -> SocketAddr {
        self.state().0
    }

    /// Registers the connection being read. Returns false if the address has changed since it was obtained.
    fn register(&self, addr: SocketAddr, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.1 = Some(stream.clone());
        state.0 == addr
    }

    /// Waits for the timeout, or until the address changes.
    fn wait_until_moved(&self, addr: SocketAddr, timeout: Duration) {
        let is_unchanged = |state: &mut (SocketAddr, Option<Arc<TcpStream>>)| state.0 == addr;
        drop(self.moved.wait_timeout_while(self.state(), timeout, is_unchanged));
    }

    /// Changes the address and ends the read from the old one immediately. Returns false if the address is unchanged.
    pub fn move_to(&self, addr: SocketAddr) -> bool {
        let mut state = self.state();
        if state.0 == addr {
            return false;
        }
        state.0 = addr;
        if let Some(stream) = state.1.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.moved.notify_all();
        true
    }
}

/// Reads one response and returns its body and whether the connection stays open.
fn read_response(mut stream: &TcpStream, buffer: &mut Vec<u8>) -> Result<(Vec<u8>, bool), String> {
    let mut chunk = [0; 8192];
    let mut is_eof = false;
    let mut deadline = Instant::now() + FIRST_BYTE_TIMEOUT;
    loop {
        if let Some(head) = http::parse_response_head(buffer)? {
            let rest = &buffer[head.head_bytes..];
            let complete = match head.body {
                Body::Length(length) if rest.len() >= length => Some((rest[..length].to_vec(), length)),
                Body::Length(_) => None,
                Body::Chunked => http::decode_chunked(rest)?,
                Body::UntilClose => is_eof.then(|| (rest.to_vec(), rest.len())),
            };
            if let Some((body, consumed)) = complete {
                if head.status != 200 {
                    return Err(format!("status {}", head.status));
                }
                buffer.drain(..head.head_bytes + consumed);
                return Ok((body, head.keep_alive && !is_eof));
            }
        }
        if is_eof {
            return Err("connection closed in the middle of a response".into());
        }
        if buffer.len() > MAX_RESPONSE_BYTES {
            return Err("the response is too long".into());
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err("silent".into());
        }
        stream.set_read_timeout(Some(remaining)).map_err(|e| format!("set read timeout: {e}"))?;
        let received = match stream.read(&mut chunk) {
            // After SIGSTOP and SIGCONT every read with a timeout fails with Interrupted.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => continue,
            received => received.map_err(|e| format!("read: {e}"))?,
        };
        if buffer.is_empty() {
            deadline = Instant::now() + FULL_RESPONSE_TIMEOUT;
        }
        is_eof = received == 0;
        buffer.extend_from_slice(&chunk[..received]);
    }
}

#[cfg(test)]
mod tests;

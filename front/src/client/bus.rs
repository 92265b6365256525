//! Follows the event bus: reads on from the last event it has, for as long as the front runs.

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
use crate::process::part;
use crate::wire::bus::{self, Batch, Server, State};
use crate::wire::http::{self, Body};

/// What is announced counts as told 2 s after the end of the wait that was asked for, heard or not. The wait is
/// short, so that a bus gone silent is noticed and asked again before that.
const HOLD_MS: u64 = 1000;
const SILENCE: Duration = Duration::from_millis(HOLD_MS + 400);
/// A response that has begun is whole within this: the bus may stop in the middle of an event and stay open.
const WHOLE: Duration = Duration::from_millis(700);
const CONNECT: Duration = Duration::from_millis(500);
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Parts of a pause that are waited, drawn for each front and failure: what fails all fronts at once must not bring them
/// back at once.
const SPREAD: (f64, f64) = (0.4, 1.0);
/// A response longer than this is none of the bus's.
const LONGEST: usize = 1 << 20;

/// Places of the settings' names, as the module counts them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl Names {
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let place = self.zones.iter().position(|z| z == name)?;
        u8::try_from(place).ok().map(ZoneId)
    }

    pub fn kind(&self, name: &str) -> Option<KindId> {
        let place = self.kinds.iter().position(|k| k == name)?;
        u16::try_from(place).ok().map(KindId)
    }

    fn listing(&self, server: &Server) -> Result<(Listing, MemberUpdate), String> {
        let zone = self.zone(&server.zone).ok_or_else(|| format!("zone {:?} is not known", server.zone))?;
        let kind = self.kind(&server.kind).ok_or_else(|| format!("kind {:?} is not known", server.kind))?;
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

    /// What an event of the bus means to the engine.
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
                        Err(why) => eprintln!("bus: {} is left out: {why}", server.id),
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

/// Hands the events on in their order, each once.
pub struct Feed {
    pub names: Names,
    pub start_times: StartTimes,
    pub last: u64,
    pub inputs: Sender<Input>,
    pub counters: Arc<Counters>,
    pub seed: u64,
}

/// The pause of a front after so many failures.
fn spread(pause: Duration, seed: u64, failures: u64) -> Duration {
    pause.mul_f64(SPREAD.0 + (SPREAD.1 - SPREAD.0) * part(seed, failures))
}

impl Feed {
    /// False once nobody listens any more.
    pub fn apply(&mut self, read: Result<(Batch, Vec<(u64, String)>), String>) -> Result<bool, String> {
        let (batch, bad) = read?;
        for (number, why) in bad {
            eprintln!("bus: event {number} can't be used: {why}");
        }
        let mut events: BTreeMap<u64, bus::Event> = batch.events.into_iter().collect();
        // What has been applied already comes again where an answer was lost.
        let fresh = events.split_off(&(self.last + 1));
        for (number, event) in fresh {
            let mut input = self.names.input(&event);
            if let Input::MembersListed { event, .. } = &mut input {
                self.start_times.place(event, clock::on_steady_line);
            }
            if self.inputs.send(input).is_err() {
                return Ok(false);
            }
            self.counters.bus_events.fetch_add(1, Relaxed);
            self.last = number;
        }
        self.last = self.last.max(batch.offset);
        self.counters.bus_heard.store(clock::steady_ms() as u64, Relaxed);
        Ok(true)
    }

    /// Reads on for good, wherever the bus is.
    pub fn follow(mut self, bus: &Whereabouts) {
        let mut pause = PAUSE.0;
        loop {
            let addr = bus.now();
            // A panic must not end the hearing of purges and drains for good.
            let run = AssertUnwindSafe(|| self.read_on(addr, bus, &mut pause));
            let failed = match catch_unwind(run).unwrap_or_else(|_| Err("a panic".into())) {
                Ok(()) => return,
                Err(why) => why,
            };
            if bus.now() != addr {
                pause = PAUSE.0;
                continue;
            }
            let failures = self.counters.bus_failures.fetch_add(1, Relaxed);
            let wait = spread(pause, self.seed, failures);
            eprintln!("bus: {failed}; asking again within {} ms", pause.as_millis());
            bus.wait(addr, wait);
            pause = (pause * 2).min(PAUSE.1);
        }
    }

    fn read_on(&mut self, addr: SocketAddr, bus: &Whereabouts, pause: &mut Duration) -> Result<(), String> {
        let failed = |what: &'static str| move |e: io::Error| format!("{what}: {e}");
        let host = addr.to_string();
        loop {
            let stream = TcpStream::connect_timeout(&addr, CONNECT).map_err(failed("connect"))?;
            let _ = stream.set_nodelay(true);
            stream.set_write_timeout(Some(CONNECT)).map_err(failed("timeout"))?;
            let stream = Arc::new(stream);
            if !bus.reads(addr, &stream) {
                return Err("the bus has moved".into());
            }
            let mut bytes = Vec::new();
            loop {
                let request = bus::encode_read_request(&host, self.last, HOLD_MS);
                (&*stream).write_all(request.as_bytes()).map_err(failed("write"))?;
                let (body, keep) = response(&stream, &mut bytes)?;
                let value = serde_json::from_slice(&body).map_err(|e| format!("no JSON: {e}"))?;
                if !self.apply(bus::parse_batch(&value))? {
                    return Ok(());
                }
                *pause = PAUSE.0;
                if !keep {
                    break;
                }
            }
        }
    }
}

/// Where the bus is. A new configuration moves it while it is being read.
#[derive(Debug)]
pub struct Whereabouts {
    state: Mutex<(SocketAddr, Option<Arc<TcpStream>>)>,
    moved: Condvar,
}

impl Whereabouts {
    pub fn new(addr: SocketAddr) -> Whereabouts {
        Whereabouts { state: Mutex::new((addr, None)), moved: Condvar::new() }
    }

    fn state(&self) -> MutexGuard<'_, (SocketAddr, Option<Arc<TcpStream>>)> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn now(&self) -> SocketAddr {
        self.state().0
    }

    /// False if the bus has moved since this address was taken.
    fn reads(&self, addr: SocketAddr, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        state.1 = Some(stream.clone());
        state.0 == addr
    }

    /// Waits, but no longer than the bus stays there.
    fn wait(&self, addr: SocketAddr, pause: Duration) {
        let here = |state: &mut (SocketAddr, Option<Arc<TcpStream>>)| state.0 == addr;
        drop(self.moved.wait_timeout_while(self.state(), pause, here));
    }

    /// Moves it; what is being read at the old address ends at once. False if it is there already.
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

/// Reads one response: its body, and whether the connection goes on.
fn response(mut stream: &TcpStream, bytes: &mut Vec<u8>) -> Result<(Vec<u8>, bool), String> {
    let mut chunk = [0; 8192];
    let mut ended = false;
    let mut until = Instant::now() + SILENCE;
    loop {
        if let Some(head) = http::parse_response_head(bytes)? {
            let rest = &bytes[head.head_bytes..];
            let whole = match head.body {
                Body::Length(length) if rest.len() >= length => Some((rest[..length].to_vec(), length)),
                Body::Length(_) => None,
                Body::Chunked => http::decode_chunked(rest)?,
                Body::UntilClose => ended.then(|| (rest.to_vec(), rest.len())),
            };
            if let Some((body, used)) = whole {
                if head.status != 200 {
                    return Err(format!("status {}", head.status));
                }
                bytes.drain(..head.head_bytes + used);
                return Ok((body, head.keep_alive && !ended));
            }
        }
        if ended {
            return Err("closed within a response".into());
        }
        if bytes.len() > LONGEST {
            return Err("a response is too long".into());
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("silent".into());
        }
        stream.set_read_timeout(Some(left)).map_err(|e| format!("timeout: {e}"))?;
        let got = match stream.read(&mut chunk) {
            // A process that is stopped and goes on sees Interrupted on every read that has a time limit.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => continue,
            got => got.map_err(|e| format!("read: {e}"))?,
        };
        if bytes.is_empty() {
            until = Instant::now() + WHOLE;
        }
        ended = got == 0;
        bytes.extend_from_slice(&chunk[..got]);
    }
}

#[cfg(test)]
mod tests;

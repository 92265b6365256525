//! The second front, DNS-based request routing: replacing one configuration by another, and the state that changes
//! while a configuration is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};

use elmtide::Ms;
use elmtide_dns::answer::{Served, NSID};
use elmtide_dns::cookie::{Secret, Secrets};
use elmtide_dns::notify::Notifier;
use elmtide_dns::peers::{self, Peers};
use elmtide_dns::transfer::History;
use elmtide_dns::tsig::Keys;
use elmtide_dns::wire::{parse_name, shown};
use elmtide_dns::zone::Zone;
use elmtide_steering::{BranchId, Condition, FailoverRoute, FrontId, Steering};

use crate::edge::config::{EdgeConfig, FrontState};
use crate::edge::in_force::{FormerFronts, InForce, State};
use crate::edge::serial::{serial_for, StoredSerial};
use crate::fleet::site_failover::SiteFailover;
use crate::lifecycle::apply_error::ApplyError;
use crate::lifecycle::cookie_secrets::{random, read_private, read_secrets, SecretSource};
use crate::lifecycle::key_owners::KeyOwners;
use crate::lifecycle::listen_address::Listens;
use crate::lifecycle::peer_sockets::PeerSockets;
use crate::memory::counters::Counters;
use crate::memory::ledger::LIVES;
use crate::memory::longest::Longest;
use crate::memory::mode::State as ProcessState;
use crate::process::start_gate::StartGate;
use crate::process::{clock, spawn};
use crate::server::dns::{DnsContext, DnsSockets};
use crate::server::http;

/// Interval between updates of the state of the fronts.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Window over which the shed fraction is computed.
const SHED_WINDOW_MS: Ms = 2000.0;
/// Minimum number of requests in the window for a shed fraction.
const SHED_MIN_REQUESTS: u64 = 20;
/// Maximum number of earlier configurations kept while keys are handed over.
const MAX_FORMER_CONFIGS: usize = 16;
/// Delay before saving a serial is retried.
const SERIAL_RETRY_INTERVAL_MS: Ms = 1000.0;

enum Bound {
    Dns(DnsSockets),
    Http(std::net::TcpListener),
}

struct Listener {
    stop: Arc<AtomicBool>,
    at: SocketAddr,
}

impl Listener {
    fn stop(&self) {
        self.stop.store(true, Relaxed);
        // Wakes the thread that is blocked in accept.
        let _ = std::net::TcpStream::connect(self.at);
    }
}

/// State that changes while a configuration is in force.
struct Live {
    steering: Option<Steering>,
    peers: Option<Peers>,
    notifier: Option<Notifier>,
    kept: Option<StoredSerial>,
    /// When to retry saving a serial that could not be saved.
    unsaved_serial: Option<Ms>,
    secret: SecretSource,
    /// The process has been told to exit.
    ending: bool,
    /// Recent samples: time, requests accepted and requests refused.
    request_samples: Vec<(Ms, u64, u64)>,
    own: Condition,
}

/// The running second front.
pub struct Edge {
    name: String,
    in_force: Arc<InForce>,
    listeners: Mutex<BTreeMap<Listens, Listener>>,
    live: Mutex<Live>,
    dns: Arc<DnsContext>,
    site: Arc<http::HttpContext>,
    counters: Arc<Counters>,
    /// Determines the hold time of a key after its handover, if the file does not set it.
    longest: Longest,
    owners: Option<KeyOwners>,
}

fn seed() -> u64 {
    u64::from_le_bytes(random())
}

impl Edge {
    pub fn new(
        name: String,
        in_force: Arc<InForce>,
        counters: Arc<Counters>,
        dns: Arc<DnsContext>,
        site: http::HttpContext,
        longest: Longest,
    ) -> Arc<Edge> {
        let live = Live {
            steering: None,
            peers: None,
            notifier: None,
            kept: None,
            unsaved_serial: None,
            secret: SecretSource::own(),
            ending: false,
            request_samples: Vec::new(),
            own: Condition::NotReady,
        };
        let owners = KeyOwners::from_env(&name);
        Arc::new(Edge {
            owners,
            name,
            in_force,
            listeners: Mutex::default(),
            live: Mutex::new(live),
            dns,
            site: Arc::new(site),
            counters,
            longest,
        })
    }

    pub fn in_force(&self) -> EdgeConfig {
        (*self.in_force.now().config).clone()
    }

    fn live(&self) -> MutexGuard<'_, Live> {
        self.live.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Puts a configuration in force, completely or not at all; returns false if it is in force already. `from`, if
    /// given, must be the fingerprint of the configuration in force.
    ///
    /// # Errors
    /// If it was not put in force; nothing has changed then.
    pub fn apply(&self, to: EdgeConfig, from: Option<&str>) -> Result<bool, ApplyError> {
        let mut listeners = self.listeners.lock().unwrap_or_else(|p| p.into_inner());
        let before = self.in_force();
        if to == before {
            return Ok(false);
        }
        if from.is_some_and(|from| from != before.fingerprint()) {
            return Err(ApplyError::Stale);
        }
        to.check()?;
        let mut live = self.live();
        // Every step that can fail comes before the first change.
        let next = self.prepare(&live, &to)?;
        self.keep_owners(&before, &next)?;
        let own = to.front.iter().find(|f| f.name == self.name).cloned().unwrap_or_default();
        let dns = own.dns.into_iter().map(Listens::Dns);
        let wanted: BTreeSet<Listens> = dns.chain(own.http.into_iter().map(Listens::Http)).collect();
        let mut bound = Vec::new();
        for listens in wanted.iter().filter(|w| !listeners.contains_key(w)) {
            let got = match listens {
                Listens::Dns(at) => DnsSockets::bind(*at, to.udp_threads()).map(Bound::Dns),
                Listens::Http(at) => std::net::TcpListener::bind(at).map(Bound::Http),
            };
            let sockets = got.map_err(|error| ApplyError::Address { listens: *listens, error })?;
            bound.push((*listens, sockets));
        }
        // Packets and connections that arrive before the next state is in force wait in the sockets.
        let gate = StartGate::default();
        let started = self.start_all(bound, &gate)?;
        self.put_in_force(&mut live, next);
        drop(live);
        gate.open();
        for (listens, listener) in started {
            eprintln!("edge: {} on {}", listens.protocol(), listener.at);
            listeners.insert(listens, listener);
        }
        listeners.retain(|listens, listener| {
            let keep = wanted.contains(listens);
            if !keep {
                listener.stop();
                eprintln!("edge: no longer on {listens}");
            }
            keep
        });
        Ok(true)
    }

    /// Keeps who owned keys before for the next process. A plan that can't be kept is not put in force; at the start the
    /// file in force has to serve.
    fn keep_owners(&self, before: &EdgeConfig, next: &Next) -> Result<(), String> {
        let Some(owners) = &self.owners else { return Ok(()) };
        match owners.save(&next.state.config, &next.state.former, clock::steady_ms()) {
            Err(why) if before.is_off() => {
                eprintln!("edge: the owners of keys are not kept for the next process: {why}");
                Ok(())
            }
            kept => {
                kept.map_err(|why| format!("the owners of keys can't be kept for the next process: {why}"))
            }
        }
    }

    /// Prepares the next state; all steps that can fail are here.
    fn prepare(&self, live: &Live, to: &EdgeConfig) -> Result<Next, String> {
        let now = clock::steady_ms();
        let current = self.in_force.now();
        let config = Arc::new(to.clone());
        let hold = to.hand_over_s.map_or(self.longest.ms() * LIVES, |s| s * 1000.0);
        let mut former: Vec<FormerFronts> = match (&self.owners, current.config.is_off()) {
            (Some(owners), true) => owners.load(to, hold, now),
            _ => current.former.iter().filter(|f| f.until > now).cloned().collect(),
        };
        if !current.config.is_off() && current.config.front != to.front {
            former.push(FormerFronts { config: current.config.clone(), until: now + hold });
            if former.len() > MAX_FORMER_CONFIGS {
                return Err("the fronts change too often: keys are still changing hands".into());
            }
        }
        let mut state = State { config, former, ..State::default() };
        if to.is_off() {
            return Ok(Next {
                state,
                kept: live.kept.clone(),
                steering: None,
                peers: None,
                notifier: None,
                file: None,
            });
        }
        let meaning = to.compile()?;
        let last = match (&live.kept, &to.serial_file) {
            (Some(kept), _) => Some(kept.clone()),
            (None, Some(path)) => StoredSerial::load(path).unwrap_or_else(|why| {
                eprintln!("edge: the serial goes by the clock: {why}");
                None
            }),
            (None, None) => None,
        };
        let kept = serial_for(to, last.as_ref(), (now / 1000.0) as u64 as u32)?;
        let zone = Arc::new(Zone::compile(&meaning.source, kept.serial)?);
        let history = match &current.served {
            Some(served) => served.history.with(&served.zone, &zone),
            None => History::default(),
        };
        let keys = match &to.key_file {
            None => Keys::default(),
            Some(path) => {
                Keys::parse(&read_private(path)?).map_err(|why| format!("{}: {why}", path.display()))?
            }
        };
        let named = |name: &String| -> Result<Box<[u8]>, String> {
            let wire = parse_name(name, &[0])?;
            match keys.get(&wire) {
                Some(_) => Ok(wire),
                None => Err(format!("transfer: there is no key {name} in the key file")),
            }
        };
        let transfer_keys = to.transfer.keys.iter().map(named).collect::<Result<Vec<_>, _>>()?;
        let notify_key = match &to.transfer.notify_key {
            None => None,
            Some(name) => keys.get(&named(name)?).cloned(),
        };
        let (secrets, file) = match (&to.cookie_secret_file, &current.served) {
            (Some(path), _) => {
                (read_secrets(path)?, Some(std::fs::metadata(path).and_then(|m| m.modified()).ok()))
            }
            (None, Some(served)) if current.config.cookie_secret_file.is_none() => {
                (served.secrets.clone(), None)
            }
            (None, _) => (Secrets::new(Secret::new(random()), None), None),
        };
        let mut steering = Steering::new(meaning.layout.clone(), 0, now);
        if let Some(running) = &live.steering {
            let mut kept = running.clone();
            kept.apply_layout(meaning.layout.clone(), now);
            steering = kept;
        }
        self.report_file(&mut steering, to, now);
        let own = to.front.iter().find(|f| f.name == self.name);
        if let Some(own) = own.filter(|o| o.state == FrontState::Draining) {
            // A plan that changes something else does not restart this time.
            state.drain_grace_until = current.drain_grace_until.or(Some(now + own.cling_s * 1000.0));
        }
        let others = to.front.iter().enumerate().filter(|(_, f)| f.name != self.name);
        let watched: Vec<(FrontId, SocketAddr)> =
            others.filter_map(|(n, f)| f.dns.first().map(|a| (FrontId(n as u16), *a))).collect();
        let peers = (to.steering.watch_ms > 0.0)
            .then(|| Peers::new(&watched, &zone.origin, to.steering.watch_ms, seed()));
        let mut notifier = Notifier::new(&to.transfer.notify, notify_key, seed());
        if current.served.as_ref().is_none_or(|s| s.zone.serial != zone.serial) {
            notifier.changed(&zone.origin, &zone.soa.bytes, zone.ttl, now);
        }
        let mut nsid: Vec<u8> = self.name.clone().into();
        nsid.truncate(NSID);
        state.limits = to.rate_limit.limits();
        // Each thread has its own limiter, and the system distributes a client's queries over the threads.
        let threads = to.udp_threads() as f64;
        for rate in [
            &mut state.limits.answers,
            &mut state.limits.nxdomains,
            &mut state.limits.errors,
            &mut state.limits.all,
        ] {
            *rate /= threads;
        }
        state.tcp = to.tcp.limits();
        state.all_fronts = meaning.all_fronts;
        state.served = Some(Served {
            view: steering.view(),
            state: Some(own_state(&zone, live.own)),
            zone,
            secrets,
            nsid: Some(nsid.into()),
            keys,
            transfer_keys,
            history,
            keepalive: (to.tcp.idle_ms / 100.0) as u16,
        });
        Ok(Next { state, kept: Some(kept), steering: Some(steering), peers, notifier: Some(notifier), file })
    }

    /// Reports the front states set in the file. Fronts that are not queried count as serving.
    fn report_file(&self, steering: &mut Steering, config: &EdgeConfig, now: Ms) {
        for (place, front) in config.front.iter().enumerate() {
            let id = FrontId(place as u16);
            if front.state == FrontState::Draining {
                steering.report(id, Condition::Draining, now);
            } else if front.name != self.name && config.steering.watch_ms == 0.0 {
                steering.report(id, Condition::Serving { shed: 0.0 }, now);
            }
        }
    }

    fn put_in_force(&self, live: &mut Live, next: Next) {
        live.unsaved_serial = None;
        if let (Some(kept), Some(path)) = (&next.kept, &next.state.config.serial_file) {
            if let Err(why) = kept.save(path) {
                eprintln!("edge: the serial is not kept: {why}; trying again until it is");
                live.unsaved_serial = Some(clock::steady_ms() + SERIAL_RETRY_INTERVAL_MS);
            }
        }
        (live.kept, live.steering, live.peers, live.notifier) =
            (next.kept, next.steering, next.peers, next.notifier);
        match (next.file, &live.secret) {
            (Some(changed), _) => live.secret = SecretSource::file(changed),
            (None, SecretSource::File { .. }) => live.secret = SecretSource::own(),
            (None, SecretSource::Own { .. }) => {}
        }
        let told = next.state.served.as_ref().map(|served| {
            let zone = shown(&served.zone.origin);
            format!("edge: zone {zone} with serial {} is in force", served.zone.serial)
        });
        self.in_force.set(next.state);
        if let Some(told) = told {
            eprintln!("{told}");
        }
    }

    /// Starts the threads of all these sockets, or of none. They serve after the gate opens.
    fn start_all(
        &self,
        bound: Vec<(Listens, Bound)>,
        gate: &StartGate,
    ) -> Result<Vec<(Listens, Listener)>, ApplyError> {
        let mut started: Vec<(Listens, Listener)> = Vec::new();
        for (listens, sockets) in bound {
            match self.start(sockets, gate) {
                Ok(listener) => started.push((listens, listener)),
                Err(error) => {
                    started.iter().for_each(|(_, listener)| listener.stop());
                    // Threads waiting at the gate then see that they must stop.
                    gate.open();
                    return Err(ApplyError::Start(error));
                }
            }
        }
        Ok(started)
    }

    fn start(&self, sockets: Bound, gate: &StartGate) -> std::io::Result<Listener> {
        let stop = Arc::new(AtomicBool::new(false));
        let started = match sockets {
            Bound::Dns(sockets) => {
                let at = sockets.local_addr();
                at.and_then(|at| sockets.start(&self.in_force, &self.dns, &stop, gate).map(|()| at))
            }
            Bound::Http(listener) => {
                let at = listener.local_addr();
                at.and_then(|at| http::start(listener, &self.site, &stop, gate).map(|()| at))
            }
        };
        // Some threads may already run and would keep the address bound.
        let at = started.inspect_err(|_| stop.store(true, Relaxed))?;
        Ok(Listener { stop, at })
    }

    /// Starts the background work: state of the fronts, cookie secrets, notifications.
    pub fn watch(self: &Arc<Self>) -> std::io::Result<()> {
        let edge = self.clone();
        // Queries and notifications of this front use the same sockets permanently.
        let sockets = PeerSockets::bind()?;
        let run = move || loop {
            let look = || edge.look(&sockets);
            if std::panic::catch_unwind(std::panic::AssertUnwindSafe(look)).is_err() {
                eprintln!("edge: a panic in the watch of the fronts");
            }
            sockets.wait(WATCH_INTERVAL);
        };
        spawn("edge-watch", run).map(drop)
    }

    /// The process is exiting: DNS answers omit it from now on.
    pub fn end(&self) {
        let mut live = self.live();
        live.ending = true;
        self.refresh(&mut live, clock::steady_ms());
    }

    /// Closes all listeners: open connections are still served, new ones are not accepted.
    pub fn leave(&self) {
        let mut listeners = self.listeners.lock().unwrap_or_else(|p| p.into_inner());
        std::mem::take(&mut *listeners).values().for_each(Listener::stop);
    }

    fn look(&self, sockets: &PeerSockets) {
        let now = clock::steady_ms();
        let mut live = self.live();
        if live.steering.is_none() {
            return;
        }
        self.save_serial(&mut live, now);
        let Live { peers, steering, notifier, .. } = &mut *live;
        sockets.turn(peers, steering, notifier, now);
        self.refresh(&mut live, now);
    }

    /// Retries saving a serial: otherwise the next process might start with an earlier one, which secondaries ignore.
    fn save_serial(&self, live: &mut Live, now: Ms) {
        if live.unsaved_serial.is_none_or(|retry_at| now < retry_at) {
            return;
        }
        let config = self.in_force();
        let (Some(kept), Some(path)) = (&live.kept, &config.serial_file) else { return };
        live.unsaved_serial = match kept.save(path) {
            Ok(()) => {
                eprintln!("edge: the serial is kept");
                None
            }
            Err(_) => Some(now + SERIAL_RETRY_INTERVAL_MS),
        };
    }

    /// The fraction of recent requests that was refused.
    fn shed(&self, live: &mut Live, now: Ms) -> f64 {
        let refused = self.counters.refused.load(Relaxed) + self.counters.refused_early.load(Relaxed);
        let taken = self.counters.taken.load(Relaxed) + self.counters.refused_early.load(Relaxed);
        live.request_samples.retain(|(at, ..)| now - at <= SHED_WINDOW_MS && *at <= now);
        let (_, taken_then, refused_then) =
            live.request_samples.first().copied().unwrap_or((now, taken, refused));
        live.request_samples.push((now, taken, refused));
        let (asked, turned) = (taken.saturating_sub(taken_then), refused.saturating_sub(refused_then));
        if asked < SHED_MIN_REQUESTS {
            0.0
        } else {
            (turned as f64 / asked as f64).min(1.0)
        }
    }

    /// Puts in force what has changed since the last update.
    fn refresh(&self, live: &mut Live, now: Ms) {
        let current = self.in_force.now();
        let Some(served) = &current.served else { return };
        let config = &current.config;
        let drains = config.front.iter().any(|f| f.name == self.name && f.state == FrontState::Draining);
        let shed = self.shed(live, now);
        let leaves = live.ending || drains || self.counters.mode.is_leaving();
        // A paused front is omitted from the answers while another front is left.
        let is_paused = self.counters.mode.state() == ProcessState::Paused;
        let is_ready = self.counters.ready.load(Relaxed) && !is_paused;
        live.own = match (leaves, is_ready) {
            (true, _) => Condition::Draining,
            (false, false) => Condition::NotReady,
            (false, true) => Condition::Serving { shed },
        };
        let own = live.own;
        let Some(steering) = &mut live.steering else { return };
        if let Some(id) = steering.layout().front_by_name(&self.name) {
            steering.report(id, own, now);
        }
        self.report_file(steering, config, now);
        if let Some(watched) = &self.site.sites {
            steering.set_failover_routes(failover_routes(watched, config));
        }
        steering.tick(now);
        let view = steering.view();
        let secrets = live.secret.renew(&current, now);
        let state = Some(own_state(&served.zone, own));
        if view == served.view && secrets.is_none() && state == served.state {
            return;
        }
        let secrets = secrets.unwrap_or_else(|| served.secrets.clone());
        let served = Served { view, secrets, state, ..served.clone() };
        self.in_force.set(State { served: Some(served), ..(*current).clone() });
    }
}

/// Where the plan in force sends clients of the file's branches, for branches that are sites with reduced capacity.
fn failover_routes(failover: &SiteFailover, config: &EdgeConfig) -> Vec<(BranchId, FailoverRoute)> {
    let current = failover.current();
    let place = |branch: usize| {
        let name = &failover.sites().layout.branches.get(branch)?.name;
        config.branch.iter().position(|b| b.name == *name).map(|p| BranchId(p as u16))
    };
    let displaced = current.routing().branches().iter().enumerate().filter(|(_, b)| b.home_fraction < 1.0);
    let away = displaced.filter_map(|(branch, routing)| {
        let destinations = routing.destinations.iter();
        let targets = destinations.filter_map(|d| Some((place(d.branch)?, d.interval_end))).collect();
        Some((place(branch)?, FailoverRoute { home_fraction: routing.home_fraction, targets }))
    });
    away.collect()
}

/// The DNS record from which other fronts read the condition of this one.
fn own_state(zone: &Zone, own: Condition) -> (Box<[u8]>, Box<[u8]>) {
    let words = peers::words(own);
    let data = [&[words.len() as u8], words.as_bytes()].concat();
    ([peers::LABEL, &zone.origin].concat().into(), data.into())
}

/// A state that is ready to be put in force.
struct Next {
    state: State,
    kept: Option<StoredSerial>,
    steering: Option<Steering>,
    peers: Option<Peers>,
    notifier: Option<Notifier>,
    /// Modification time of the secrets file, if one is used.
    file: Option<Option<SystemTime>>,
}

//! The fleet's thread: datagrams, the store, the clock; thirty dull lines around [`Member`].

use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide_budgets::{BudgetCommand, Clocks, FrontId, LeaseSettings};
use elmtide_fleet::Event;
use elmtide_fleet::{
    AgreedCommand, FleetNode, FleetSettings, NodeConfig, Output, RecoveredState, SyncResult,
};
use elmtide_maintenance::report::MaintenanceDetails;
use elmtide_maintenance::{MachineId, MaintenanceExclusions, MaintenanceReport};
use elmtide_sites::{FailoverSettings, RecoveryPhase, SiteHealthMonitor, SiteId};
use elmtide_store::Store;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::engine::budget_client::BudgetClient;
use crate::engine::working::Working;
use crate::exchange::Input;
use crate::fleet::config::FleetConfig;
use crate::fleet::hooks::Hooks;
use crate::fleet::look::{self, Shown};
use crate::fleet::probe;
use crate::fleet::site_failover::{FailoverConfig, SiteFailover};
use crate::fleet::sites::{Sites, SitesEntry};
use crate::fleet::spend_log::SpendLog;
use crate::fleet::work::{self, Names, Reply, Request};
use crate::fleet_link::{EngineReport, FleetUpdate, OwnSiteState, Waker};
use crate::memory::counters::Counters;
use crate::memory::ledger::LIVES;
use crate::process::{clock, spawn};

/// Datagrams that are taken in one turn, in all and from one address: nobody has the thread for itself.
const TURN: usize = 256;
const OF_ONE: usize = 64;
/// The longest that the thread waits for datagrams.
const WAIT: Duration = Duration::from_millis(50);
/// What is shown is made anew so often.
const SHOW: Duration = Duration::from_millis(200);
/// How long an end in order waits for the others to know of it.
const LEAVE: Duration = Duration::from_millis(500);

/// Commands whose outcome is waited for at most.
const REPLIES: usize = 64;

/// What the program asks of the thread.
enum Order {
    Leave(Sender<()>),
    Forget(FrontId),
    /// An operator's command; what came of it goes back.
    Work(Box<Request>, Sender<String>),
    /// What is shown of the work, once the leader has told it.
    Look(Sender<String>),
}

/// For so long the leader is asked to tell details after somebody has looked; and an operator's command waits for its outcome.
const LOOKS: Duration = Duration::from_secs(5);

/// The running fleet, as the rest of the program sees it.
pub struct Fleet {
    orders: Sender<Order>,
    waker: Waker,
}

impl Fleet {
    /// Gives back what this front holds; the engine spends no share any more. Waits until the others know, or for half a second.
    pub fn leave(&self, inputs: &Sender<Input>) {
        let (closed, done) = bounded(1);
        if inputs.send(Input::Fleet(FleetUpdate::Close(closed))).is_err() {
            return;
        }
        if done.recv_timeout(LEAVE).is_err() {
            return;
        }
        let (told, left) = bounded(1);
        if self.orders.send(Order::Leave(told)).is_ok() {
            self.waker.wake();
            let _ = left.recv_timeout(LEAVE);
        }
    }
}

struct Runner {
    socket: UdpSocket,
    member: FleetNode,
    store: Option<Store>,
    addresses: BTreeMap<FrontId, SocketAddr>,
    names: BTreeMap<FrontId, String>,
    inputs: Sender<Input>,
    reports: Receiver<EngineReport>,
    orders: Receiver<Order>,
    leaving: Option<Sender<()>>,
    shown: Arc<ArcSwapOption<Shown>>,
    show_at: Instant,
    report: EngineReport,
    /// For a member that has to begin anew.
    begin: Begin,
    stale: u64,
    /// Datagrams of one address above its part of a turn.
    crowded: u64,
    watch: Option<Watch>,
    work: Work,
}

/// What this front sees of other sites, and what it was told of all.
struct Watch {
    watched: Arc<SiteFailover>,
    watcher: SiteHealthMonitor,
    of: BTreeMap<FrontId, SiteId>,
    probes: Receiver<probe::Heard>,
    counters: Arc<Counters>,
    /// Since when its own site is in contact again, Unix milliseconds.
    back_since: Option<u64>,
}

impl Watch {
    fn start(
        config: &FleetConfig,
        table: &SitesEntry,
        rules: &FailoverSettings,
        name: &str,
        terms: LeaseSettings,
        longest: f64,
        counters: Arc<Counters>,
    ) -> Result<Watch, String> {
        let sites = Sites::of(table, &config.site)?;
        let failover = FailoverConfig {
            sites,
            fronts: config.fronts_of_sites(),
            own_name: name.to_owned(),
            lease: terms,
            key_lifetime: longest * LIVES,
            max_wait: table.refused_ms,
        };
        let watched = SiteFailover::start(failover).map_err(|e| e.to_string())?;
        let others = |place: usize| Some(SiteId(place as u16)) != watched.own_site();
        let (heard, probes) = bounded(256);
        let silence = Duration::from_secs_f64(table.silence_ms / 1000.0);
        let boxes = config.site.iter().enumerate().filter(|(place, _)| others(*place));
        let boxes = boxes.map(|(place, s)| (SiteId(place as u16), s.boxes.clone())).collect();
        probe::start(boxes, silence, &heard).map_err(|e| e.to_string())?;
        let others = (0..config.site.len()).filter(|place| others(*place)).map(|p| SiteId(p as u16));
        let watcher = SiteHealthMonitor::new(silence.as_micros() as u64, others, clock::both().monotonic);
        let of = rules.site_of_front.clone();
        Ok(Watch { watched, watcher, of, probes, counters, back_since: None })
    }

    /// What is said now.
    fn said(&mut self, heard: Vec<FrontId>, own: OwnSiteState, now: Clocks) -> elmtide_sites::SiteReport {
        for front in heard {
            if let Some(site) = self.of.get(&front) {
                self.watcher.on_front_heard(*site, front.0, now.monotonic);
            }
        }
        while let Ok(heard) = self.probes.try_recv() {
            // One box is as good as all: which of them are gone is the matter of their own fronts.
            self.watcher.on_cache_answered(heard.site, 0, heard.timeliness, now.monotonic);
        }
        let current = self.watched.current();
        let view = current.view();
        let standing = self.watched.own_site().zip(view).map(|(own, view)| view.phase(own));
        self.back_since = match standing {
            Some(RecoveryPhase::Lost) | None => None,
            Some(_) => self.back_since.or(Some(now.wall / 1000)),
        };
        let bus = self.counters.bus_heard.load(Relaxed);
        elmtide_sites::SiteReport {
            opinions: self.watcher.opinions(now.monotonic),
            view_revision: view.map(|v| v.revision),
            has_caught_up: self.back_since.is_some_and(|since| bus > since),
            caches_warm: own.caches_warm,
            is_overloaded: own.overloaded,
        }
    }
}

/// What operators wait for.
struct Work {
    on: bool,
    names: Names,
    hooks: Hooks,
    /// Until when details are asked for, and who waits for them.
    looks: Option<Instant>,
    lookers: Vec<Sender<String>>,
    details: Option<(Instant, MaintenanceDetails)>,
    replies: BTreeMap<u64, Sender<String>>,
    next_tag: u64,
    said: MaintenanceReport,
}

struct Begin {
    me: FrontId,
    installation: String,
    key: Vec<u8>,
    settings: FleetSettings,
    seed: u64,
}

impl Begin {
    fn member(&self, kept: RecoveredState) -> Result<FleetNode, String> {
        let config = NodeConfig {
            own: self.me,
            installation: self.installation.clone(),
            key: self.key.clone(),
            settings: self.settings.clone(),
            recovered: kept,
            seed: self.seed,
        };
        FleetNode::new(config, clock::both()).map_err(|why| why.to_string())
    }
}

/// The running fleet, and the engine's sides of it.
pub struct Started {
    pub fleet: Fleet,
    pub budgets: Box<BudgetClient>,
    /// None where no machine goes out for work.
    pub working: Option<Box<Working>>,
    /// None where no sites are watched.
    pub watched: Option<Arc<SiteFailover>>,
}

/// Opens the socket and the store, and starts the thread. Gives the engine's side as well. `longest` is the longest deadline in
/// milliseconds, `seed` a number that nobody else has.
pub fn start(
    config: &FleetConfig,
    name: &str,
    longest: f64,
    seed: u64,
    inputs: Sender<Input>,
    counters: Arc<Counters>,
) -> Result<Started, String> {
    let own = config.own(name).ok_or_else(|| format!("no [[front]] has the name {name:?}"))?;
    let settings = config.settings(longest)?;
    let terms: LeaseSettings = settings.lease;
    let (store, kept) = match &config.store {
        Some(path) => {
            let (store, kept) = Store::open(path, &config.installation)
                .map_err(|why| format!("{}: {why}", path.display()))?;
            (Some(store), kept)
        }
        // Without a store only the clock tells runs apart; a clock that went back makes this run one that the others refuse.
        None => (None, RecoveredState { incarnation: clock::unix_ms() as u64, ..RecoveredState::default() }),
    };
    let at = own.listen.unwrap_or(own.address);
    let socket = UdpSocket::bind(at).map_err(|e| format!("{at}: {e}"))?;
    socket.set_nonblocking(true).map_err(|e| e.to_string())?;
    let at = socket.local_addr().map_err(|e| e.to_string())?;
    let waker = |socket: &UdpSocket| Waker::new(socket, at).map_err(|e| e.to_string());
    tracing::info!(%at, "fleet: listens");
    let settings_on = settings.maintenance.is_some();
    let machines = settings.maintenance.iter().flat_map(|maintenance| &maintenance.machines);
    let machines: Vec<_> = machines.map(|s| (MachineId::from_name(&s.name), s.address)).collect();
    let own_machine = config.machine.iter().find(|m| m.front.as_deref() == Some(name));
    let working = settings_on.then(|| {
        let viewer = MaintenanceExclusions::new(terms, machines.clone());
        Box::new(Working::new(viewer, own_machine.map(|m| MachineId::from_name(&m.name))))
    });
    let watch = match (&config.sites, &settings.sites) {
        (Some(table), Some(rules)) => {
            Some(Watch::start(config, table, rules, name, terms, longest, counters)?)
        }
        _ => None,
    };
    let watched = watch.as_ref().map(|w| w.watched.clone());
    let sites_on = watch.is_some();
    let begin = Begin {
        me: FrontId::from_name(name),
        installation: config.installation.clone(),
        key: config.key()?,
        settings,
        seed,
    };
    let member = begin.member(kept)?;
    let (reports_in, reports) = bounded(64);
    let (orders_in, orders) = bounded(16);
    let shown = Arc::new(ArcSwapOption::empty());
    let path = config.look(name);
    let (forgets, names) =
        (orders_in.clone(), config.front.iter().map(|f| f.name.clone()).collect::<Vec<_>>());
    let forget = move |name: &str| match names.iter().any(|n| n == name) {
        true => Err(format!("{name} is in this front's file: take it out of the list first")),
        false => forgets.try_send(Order::Forget(FrontId::from_name(name))).map_err(|e| e.to_string()),
    };
    let asks = orders_in.clone();
    let wakes = waker(&socket)?;
    let on = settings_on;
    let work = move |line: Option<&str>| {
        let of_site = line.is_some_and(|l| l.contains("\"site-"));
        if !(if of_site { sites_on } else { on }) {
            return Err("this front's file has no [work], or no [sites] with fronts of theirs".to_owned());
        }
        let (told, outcome) = bounded(1);
        let order = match line {
            None => Order::Look(told),
            Some(line) => Order::Work(serde_json::from_str(line).map_err(|e| e.to_string())?, told),
        };
        asks.try_send(order).map_err(|e| e.to_string())?;
        wakes.wake();
        outcome.recv_timeout(LOOKS).map_err(|_| {
            "nothing was agreed on within 5 s: it may be yet, look with `elmtide work`".to_owned()
        })
    };
    look::listen(&path, shown.clone(), forget, work).map_err(|e| format!("{}: {e}", path.display()))?;
    let record = config.record.as_deref().map(SpendLog::start).transpose()?;
    let site = config.own(name).map_or("", |own| &own.site);
    let wholes = config.budget.iter().map(|b| b.whole(site)).collect::<Result<Vec<_>, _>>()?;
    let wholes = wholes.into_iter().flatten().collect();
    let kinds = config.budget.iter().map(|b| b.kind()).collect::<Result<Vec<_>, _>>()?;
    let budgets = Box::new(BudgetClient::new(terms, wholes, kinds, reports_in, waker(&socket)?, record));
    let fleet = Fleet { orders: orders_in, waker: waker(&socket)? };
    let mut runner = Runner {
        socket,
        member,
        store,
        addresses: config.front.iter().map(|f| (FrontId::from_name(&f.name), f.address)).collect(),
        names: config.front.iter().map(|f| (FrontId::from_name(&f.name), f.name.clone())).collect(),
        inputs,
        reports,
        orders,
        leaving: None,
        shown,
        show_at: Instant::now(),
        report: EngineReport::default(),
        begin,
        stale: 0,
        crowded: 0,
        watch,
        work: Work {
            on: settings_on,
            names: Names::of(config),
            hooks: config.work.as_ref().map_or_else(
                || Hooks::new(BTreeMap::new(), 1.0),
                |w| Hooks::new(w.hooks.clone(), w.hook_seconds),
            ),
            looks: None,
            lookers: Vec::new(),
            details: None,
            replies: BTreeMap::new(),
            next_tag: 1,
            said: MaintenanceReport::default(),
        },
    };
    let run = move || {
        if catch_unwind(AssertUnwindSafe(|| runner.run())).is_err() {
            tracing::error!("fleet: ended after a panic; shares run out, this front goes on with its floors");
        }
    };
    spawn("fleet", run).map_err(|e| e.to_string())?;
    Ok(Started { fleet, budgets, working, watched })
}

impl Runner {
    fn run(&mut self) {
        tracing::info!(
            front = %self.name(self.begin.me),
            incarnation = self.member.holder().incarnation.0,
            "fleet: begins"
        );
        self.carry_out();
        loop {
            self.wait();
            self.receive();
            self.listen();
            self.member.advance_time(clock::both());
            self.carry_out();
            if self.member.has_left() {
                if let Some(told) = self.leaving.take() {
                    let _ = told.try_send(());
                }
            }
            self.show();
        }
    }

    fn wait(&self) {
        let left = Duration::from_micros(self.member.next_deadline().saturating_sub(clock::both().monotonic));
        let left = left.clamp(Duration::from_micros(200), WAIT);
        let timeout = Timespec { tv_sec: 0, tv_nsec: left.as_nanos() as _ };
        let _ = poll(&mut [PollFd::new(&self.socket, PollFlags::IN)], Some(&timeout));
    }

    fn receive(&mut self) {
        let mut bytes = [0; 2048];
        let mut of: HashMap<SocketAddr, usize> = HashMap::new();
        for _ in 0..TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((0, _)) => {}
                Ok((got, from)) => {
                    let count = of.entry(from).or_default();
                    *count += 1;
                    if *count > OF_ONE {
                        self.crowded += 1;
                        continue;
                    }
                    self.member.on_datagram(&bytes[..got], clock::both());
                    // What has to be synced goes first: the next datagram may depend on it.
                    self.carry_out();
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // An error is one peer's: nobody listens there.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return,
            }
        }
    }

    /// What the engine and the program say.
    fn listen(&mut self) {
        while let Ok(report) = self.reports.try_recv() {
            let now = clock::both();
            if let Some(number) = report.quota_epoch {
                self.member.on_applied(number, report.minimums_epoch, now);
            }
            self.member.set_demands(report.demands.clone());
            if let Some(said) = &report.maintenance {
                self.work.said = said.clone();
            }
            self.report = report;
        }
        if self.work.on {
            let looks = self.work.looks.is_some_and(|until| Instant::now() < until);
            self.member.report_maintenance(
                MaintenanceReport { needs_details: looks, ..self.work.said.clone() },
                clock::both(),
            );
        }
        if let Some(watch) = &mut self.watch {
            let now = clock::both();
            let said = watch.said(self.member.take_heard_fronts(), self.report.own_site, now);
            self.member.report_sites(said, now);
        }
        while let Ok(order) = self.orders.try_recv() {
            let now = clock::both();
            match order {
                Order::Leave(told) => {
                    self.leaving = Some(told);
                    self.member.transfer_leadership(now);
                    self.member.leave(now);
                }
                Order::Look(told) => {
                    self.work.looks = Some(Instant::now() + LOOKS);
                    match self.member.has_contact() {
                        true => self.work.lookers.push(told),
                        false => drop(told.try_send(self.shown_work())),
                    }
                }
                Order::Work(request, told) => self.on_request(*request, told, now),
                Order::Forget(front) => {
                    self.member.submit(AgreedCommand::Budgets(BudgetCommand::RemoveFront { front }), now);
                }
            }
        }
    }

    /// Does what the member wants done, in order.
    fn carry_out(&mut self) {
        while let Some(output) = self.member.poll_output() {
            match output {
                Output::Send(to, bytes) => {
                    if let Some(at) = self.addresses.get(&to) {
                        let _ = self.socket.send_to(&bytes, at);
                    }
                }
                Output::SyncLog(persist) => self.kept(|store| store.write_log(&persist)),
                Output::SyncVoterId(id) => self.kept(|store| store.write_voter_id(id)),
                Output::CompactLog(persist) => {
                    if let Some(Err(why)) = self.store.as_ref().map(|s| s.write_log(&persist)) {
                        tracing::warn!(%why, "fleet: the log was not cut");
                    }
                }
                Output::ApplyMinimums(floors) => match self.store.as_ref().map(|s| s.write_minimums(&floors))
                {
                    // What is not kept is not used, and not said to be: others wait for a smaller one to be.
                    Some(Err(why)) => tracing::error!(%why, "fleet: floors can't be kept"),
                    _ => self.tell(FleetUpdate::Minimums(floors)),
                },
                Output::ApplyGrant(grant) => self.tell(FleetUpdate::Grant(grant)),
                Output::ApplyMaintenanceView(mut told) => {
                    if let Some(details) = told.view.details.take() {
                        self.work.details = Some((Instant::now(), *details));
                        let shown = self.shown_work();
                        self.work.lookers.drain(..).for_each(|l| drop(l.try_send(shown.clone())));
                    }
                    self.tell(FleetUpdate::Maintenance(told));
                }
                Output::ApplySiteView(told) => {
                    if let Some(watch) = &self.watch {
                        watch.watched.apply(told);
                    }
                }
                Output::CommandEnded(tag, outcome) => {
                    if let Some(told) = self.work.replies.remove(&tag) {
                        let reply = self.work.names.reply(outcome);
                        let _ = told.try_send(serde_json::to_string(&reply).unwrap_or_default());
                    }
                }
                Output::ResetStore => self.begin_anew(),
                Output::Event(event) => self.said(&event),
            }
        }
    }

    /// An operator's command: from a front without contact it is refused, and said who would have it.
    fn on_request(&mut self, request: Request, told: Sender<String>, now: Clocks) {
        let refuse = |text: String| {
            let _ = told.try_send(serde_json::to_string(&Reply::refused(text)).unwrap_or_default());
        };
        if !self.member.has_contact() {
            let leader = self.member.known_leader().map(|f| self.name(f));
            let leader =
                leader.map_or("nobody known here leads".to_owned(), |l| format!("{l} led when last heard"));
            return refuse(format!("this front has no contact: ask another one; {leader}"));
        }
        let change = match request.change(self.watch.as_ref().map(|w| w.watched.sites())) {
            Ok(change) => change,
            Err(why) => return refuse(why),
        };
        let tag = self.work.next_tag;
        self.work.next_tag += 1;
        while self.work.replies.len() >= REPLIES {
            self.work.replies.pop_first();
        }
        match self.member.request_command(tag, change, now) {
            Ok(()) => drop(self.work.replies.insert(tag, told)),
            Err(why) => refuse(why.to_string()),
        }
    }

    fn shown_work(&self) -> String {
        let leader = self.member.known_leader().map(|f| self.name(f));
        let contact = self.member.has_contact();
        let shown = match &self.work.details {
            None => work::Shown { contact, leader, ..work::Shown::default() },
            Some((at, details)) => {
                let age = at.elapsed().as_secs_f64() * 1000.0;
                work::Shown::new(details, &self.work.names, contact, leader, age)
            }
        };
        serde_json::to_string(&shown).unwrap_or_default()
    }

    fn tell(&self, news: FleetUpdate) {
        // The engine may be behind: a grant that finds no room is asked for again.
        let _ = self.inputs.try_send(Input::Fleet(news));
    }

    fn kept(&mut self, keep: impl FnOnce(&Store) -> Result<(), elmtide_store::StoreError>) {
        let kept = match &self.store {
            Some(store) => keep(store).map_err(|why| {
                tracing::error!(%why, path = %store.path().display(), "fleet: the store failed, this front votes no more")
            }),
            None => Err(()),
        };
        let result = if kept.is_ok() { SyncResult::Synced } else { SyncResult::Failed };
        self.member.on_synced(result, clock::both());
    }

    /// The store is not the latest of this front: it is emptied, and the member begins anew.
    fn begin_anew(&mut self) {
        let Some(store) = &self.store else { return };
        let begun = store.reset(self.stale).map_err(|e| e.to_string());
        match begun.and_then(|kept| self.begin.member(kept)) {
            Ok(member) => {
                self.member = member;
                self.tell(FleetUpdate::Reset);
            }
            Err(why) => tracing::error!(%why, "fleet: can't begin anew"),
        }
    }

    fn name(&self, front: FrontId) -> String {
        self.names.get(&front).cloned().unwrap_or_else(|| format!("{:016x}", front.0))
    }

    fn said(&mut self, event: &Event) {
        match event {
            Event::LeadershipGained { term } => tracing::info!(term, "fleet: leads"),
            Event::LeadershipLost { term } => tracing::info!(term, "fleet: leads no more"),
            Event::LogBootstrapped { voters } => tracing::info!(voters, "fleet: a new log is begun"),
            Event::ContactGained => tracing::info!("fleet: in contact with a leader"),
            Event::ContactLost => {
                tracing::warn!(
                    "fleet: no leader has answered for a lease: this front goes on with its floors"
                )
            }
            Event::FrontListInForce { version } => tracing::info!(version, "fleet: the list in force"),
            Event::StoreStale { seen_incarnation: seen } => {
                self.stale = *seen;
                tracing::error!(
                    seen,
                    "fleet: others have seen a later run of this front: its store is a copy from before, and is emptied"
                );
            }
            Event::StoreFailed => tracing::error!("fleet: no vote without a store"),
            Event::VoterReplaced { front } => {
                tracing::info!(front = %self.name(*front), "fleet: a voter with another store takes its seat")
            }
            Event::LeaseGranted { epoch: number, quotas: shares } => {
                tracing::debug!(number = number.0, shares, "fleet: granted")
            }
            Event::CommandApplied { rejected: refused, command } => {
                tracing::info!(refused, what = command.name(), "fleet: agreed");
            }
            Event::Left => tracing::info!("fleet: left in order"),
            Event::SiteChanged { site, standing } => {
                let name = self.watch.as_ref().map_or_else(String::new, |w| w.watched.sites().name(*site));
                tracing::warn!(site = name, standing = standing.name(), "sites: agreed");
            }
            Event::MachineAdvanced { machine, step } => {
                let (machine, step) = (self.work.names.machine(*machine), work::step_name(*step));
                tracing::info!(machine, step, "work: agreed");
                self.work.hooks.run(step, &machine);
            }
        }
    }

    fn show(&mut self) {
        if self.show_at.elapsed() < SHOW {
            return;
        }
        self.show_at = Instant::now();
        let now: Clocks = clock::both();
        let shown = Shown::new(self.member.status(now), &self.report, &self.names, self.crowded, now);
        let sites = self.watch.as_ref().map_or_else(Vec::new, |w| w.watched.shown());
        let shown = Shown { sites, ..shown };
        self.shown.store(Some(Arc::new(shown)));
    }
}

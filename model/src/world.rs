//! The driver: events in the order of true time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use elmtide_budgets::GuaranteedMinimums;
use elmtide_budgets::MinimumRule;
use elmtide_budgets::TotalLimit;
use elmtide_budgets::{
    BudgetId, BudgetKind, Clocks, FrontId, LeaseSettings, Micros, PartsPerMillion, Priority, QuotaLedger,
    TOTAL,
};
use elmtide_consensus::records::StorageUpdate;
use elmtide_consensus::VoterId;
use elmtide_fleet::node::status::NodeRole;
use elmtide_fleet::Event as Said;
use elmtide_fleet::{
    AgreedCommand, CommandOutcome, FleetNode, FleetSettings, FrontSettings, NodeConfig, Output,
    RecoveredState,
};
use elmtide_fleet::{MaintenanceSettings, SyncResult};
use elmtide_maintenance::report::{MachineObservation, ObservedState, WorkOutcome};
use elmtide_maintenance::{
    DisruptionBudget, MachineId, MachineSpec, MaintenanceCommand, MaintenanceExclusions, Stage,
};
use elmtide_rules::spends::{self, Spends};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::sites::{self, Looker, Sites};

/// The network between fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Net {
    pub loss: f64,
    pub double: f64,
    /// Least and most delay; what is drawn between reorders.
    pub delay: (Micros, Micros),
}

impl Default for Net {
    fn default() -> Net {
        Net { loss: 0.0, double: 0.0, delay: (200, 800) }
    }
}

/// What becomes of a store when its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Kept,
    Lost,
    /// Put back as it was at an earlier moment.
    Yesterday,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub fronts: usize,
    pub voters: usize,
    pub seed: u64,
    pub tick: Micros,
    pub lease: Micros,
    /// Budgets that every front knows from the start.
    pub budgets: Vec<(BudgetId, TotalLimit)>,
    pub floors: Vec<(BudgetKind, MinimumRule)>,
    /// Time a sync takes.
    pub sync: Micros,
    /// Machines that may go out for work.
    pub machines: Option<Machines>,
    /// So many sites are watched.
    pub sites: Option<usize>,
}

impl Setup {
    pub fn new(fronts: usize, seed: u64) -> Setup {
        let retries = BudgetId { kind: BudgetKind::Retries, resource: 0 };
        let whole = TotalLimit { rate: 100.0, burst: 100.0, window: 1_000_000 };
        let floor = MinimumRule { set_aside: 200_000, unit: 10_000 };
        Setup {
            fronts,
            voters: if fronts >= 5 { 5 } else { 3.min(fronts) },
            seed,
            tick: 50_000,
            lease: 2_000_000,
            budgets: vec![(retries, whole)],
            floors: vec![(BudgetKind::Retries, floor)],
            sync: 2_000,
            machines: None,
            sites: None,
        }
    }

    pub fn terms(&self) -> LeaseSettings {
        LeaseSettings {
            duration: self.lease,
            drift: 0.001,
            slack: 2 * self.tick,
            max_clock_divergence: self.tick / 2,
            max_request_deadline: self.lease,
        }
    }
}

/// A machine's clocks: how fast they run, and how far the wall's was set off.
#[derive(Clone, Copy, Debug, Default)]
struct Clock {
    /// Parts in a million faster than true.
    ppm: f64,
    /// The wall clock alone, in microseconds.
    set: i64,
    /// Time for which the steady clock stood still.
    stood: Micros,
}

#[derive(Clone, Debug, Default)]
struct Store {
    kept: RecoveredState,
    /// A copy of some time ago.
    old: Option<RecoveredState>,
    /// Refuses to sync.
    full: bool,
}

struct Node {
    id: FrontId,
    member: Option<FleetNode>,
    purse: QuotaLedger,
    store: Store,
    clock: Clock,
    /// Which run of the process it is, for events that are meant for an earlier one.
    run: u64,
    stalled_until: Micros,
    settings: FleetSettings,
    /// Units a second that are wanted, by budget.
    demand: BTreeMap<BudgetId, f64>,
    wake_at: Micros,
    /// Parts of the wants that were served.
    tried: u64,
    served: u64,
    /// This node's front uses a purse that ignores its lease: a breach on purpose.
    ignores_lease: bool,
    /// What it keeps off, and until when something that it has sent is open at each machine.
    viewer: Option<MaintenanceExclusions>,
    open: BTreeMap<MachineId, Micros>,
    /// What it sees of sites.
    looker: Option<Looker>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { to: usize, bytes: Vec<u8> },
    Wake { node: usize, run: u64 },
    Synced { node: usize, run: u64, what: usize },
    Spend { node: usize, key: BudgetId },
    Report { node: usize, run: u64 },
    Send { node: usize },
}

impl Machines {
    /// So many machines, so many to a location, of which one may be out.
    pub fn new(count: usize, to_a_location: usize) -> Machines {
        let specs: Vec<MachineSpec> = (0..count)
            .map(|n| MachineSpec {
                name: format!("c-{n}"),
                location: (n / to_a_location.max(1)) as u16 + 1,
                hub: 0,
                kind: 1,
                weight: 1_000_000,
                address: None,
                front: None,
            })
            .collect();
        let bounds = DisruptionBudget {
            per_location: 1,
            tolerates_further_loss: false,
            ..DisruptionBudget::default()
        };
        let born = specs.iter().map(|s| (MachineId::from_name(&s.name), Some(1))).collect();
        Machines { specs, bounds, born, rate: 40.0, open: 100_000 }
    }

    pub fn ids(&self) -> Vec<MachineId> {
        self.specs.iter().map(|s| MachineId::from_name(&s.name)).collect()
    }
}

/// Machines in simulated time: what fronts send there, and which are there.
#[derive(Clone, Debug)]
pub struct Machines {
    pub specs: Vec<MachineSpec>,
    pub bounds: DisruptionBudget,
    /// Of each machine: when it started, in Unix milliseconds; it is away while it has none.
    pub born: BTreeMap<MachineId, Option<u64>>,
    /// Requests a second that each front sends, to machines in turns; how long one is open.
    pub rate: f64,
    pub open: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    /// Windows that held more than they may, and moments at which parts summed to more than the whole.
    pub over: Vec<String>,
    pub spent: BTreeMap<BudgetId, f64>,
    pub closest: BTreeMap<BudgetId, f64>,
    /// The largest sum of parts in force, of the whole.
    pub largest: f64,
    pub datagrams: u64,
    pub bytes: u64,
    pub syncs: u64,
    pub leaders: u64,
    pub tried: u64,
    pub served: u64,
}

enum Pending {
    Log(Box<StorageUpdate>),
    Number(VoterId),
    Floors(GuaranteedMinimums),
}

pub struct World {
    pub now: Micros,
    setup: Setup,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    serial: u64,
    net: Net,
    cuts: BTreeSet<(usize, usize)>,
    pending: BTreeMap<usize, Pending>,
    next_pending: usize,
    spends: Spends<BudgetId>,
    report: Report,
    /// Digest of all that happened.
    hash: u64,
    pub said: Vec<(Micros, usize, Said)>,
    pub outcomes: Vec<(Micros, usize, CommandOutcome)>,
    checked_at: Micros,
    pub machines: Option<Machines>,
    agreed: Option<elmtide_maintenance::MaintenanceState>,
    pub(crate) sites: Option<Sites>,
    tag: u64,
}

/// Wants are told to the members so often, and what is in force is summed.
const REPORT: Micros = 100_000;

impl World {
    pub fn new(setup: Setup) -> World {
        let ids: Vec<FrontId> = (0..setup.fronts).map(|n| FrontId::from_name(&format!("n{n}"))).collect();
        let settings = World::settings(&setup, &ids, 1);
        let mut world = World {
            now: 1_000_000,
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            net: Net::default(),
            cuts: BTreeSet::new(),
            pending: BTreeMap::new(),
            next_pending: 0,
            spends: Spends::new(),
            report: Report { seed: setup.seed, ..Report::default() },
            hash: 0xcbf2_9ce4_8422_2325,
            said: Vec::new(),
            outcomes: Vec::new(),
            checked_at: 0,
            machines: setup.machines.clone(),
            agreed: None,
            sites: setup.sites.map(Sites::new),
            tag: 0,
            setup,
        };
        let drift = 1.0 + world.setup.terms().drift;
        for (key, whole) in world.setup.budgets.clone() {
            world.spends.know(key, spends::Whole { rate: whole.rate * drift, burst: whole.burst });
        }
        for id in ids {
            let ppm = (world.random.random::<f64>() - 0.5) * 400.0;
            world.nodes.push(Node {
                id,
                member: None,
                purse: QuotaLedger::new(world.setup.terms()),
                store: Store::default(),
                clock: Clock { ppm, ..Clock::default() },
                run: 0,
                stalled_until: 0,
                settings: settings.clone(),
                demand: BTreeMap::new(),
                wake_at: Micros::MAX,
                tried: 0,
                served: 0,
                ignores_lease: false,
                viewer: None,
                open: BTreeMap::new(),
                looker: None,
            });
        }
        for node in 0..world.nodes.len() {
            world.start(node);
        }
        world
    }

    fn settings(setup: &Setup, ids: &[FrontId], version: u64) -> FleetSettings {
        let front = |(n, id): (usize, &FrontId)| FrontSettings {
            id: *id,
            site: (n % 3) as u16,
            is_voter: n < setup.voters,
        };
        FleetSettings {
            version,
            fronts: ids.iter().enumerate().map(front).collect(),
            minimums: setup.floors.clone(),
            lease: setup.terms(),
            tick: setup.tick,
            sites: sites::rules(setup, ids),
            maintenance: setup
                .machines
                .as_ref()
                .map(|m| MaintenanceSettings { machines: m.specs.clone(), bounds: m.bounds.clone() }),
        }
    }

    pub fn ids(&self) -> Vec<FrontId> {
        self.nodes.iter().map(|n| n.id).collect()
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }

    fn clocks(&self, node: usize) -> Clocks {
        let clock = self.nodes[node].clock;
        let gone = self.now as f64 * (1.0 + clock.ppm / 1e6);
        let steady = (gone as Micros).saturating_sub(clock.stood);
        let wall = (gone as i64 + clock.set + 1_000_000_000_000).max(0) as Micros;
        Clocks { monotonic: steady, wall }
    }

    // ---- Faults ----

    pub fn start(&mut self, node: usize) {
        let clocks = self.clocks(node);
        let terms = self.setup.terms();
        let seed = self.random.random::<u64>();
        let place = &mut self.nodes[node];
        place.run += 1;
        place.store.kept.incarnation += 1;
        place.store.kept.durable = true;
        place.purse = QuotaLedger::new(terms);
        for (key, whole) in &self.setup.budgets {
            place.purse.configure_budget(*key, *whole, clocks);
        }
        let config = NodeConfig {
            own: place.id,
            installation: "model".into(),
            key: b"a key of the model".to_vec(),
            settings: place.settings.clone(),
            recovered: place.store.kept.clone(),
            seed,
        };
        place.member = FleetNode::new(config, clocks).ok();
        place.stalled_until = 0;
        place.wake_at = Micros::MAX;
        place.open.clear();
        place.looker = self.sites.as_ref().map(|s| Looker::new(s.count, node % s.count, clocks.monotonic));
        if let Some(machines) = &self.machines {
            let first = place.viewer.is_none();
            place.viewer = Some(MaintenanceExclusions::new(
                terms,
                machines.specs.iter().map(|s| (MachineId::from_name(&s.name), None)),
            ));
            if first {
                self.push(self.now, Event::Send { node });
            }
        }
        let place = &mut self.nodes[node];
        let run = place.run;
        self.push(self.now, Event::Report { node, run });
        self.drain(node);
        self.wake(node);
    }

    /// The process ends at once; its machine is silent.
    pub fn kill(&mut self, node: usize, disk: Disk) {
        let place = &mut self.nodes[node];
        place.member = None;
        place.run += 1;
        let incarnation = place.store.kept.incarnation;
        match disk {
            Disk::Kept => {}
            // Without the store the incarnation goes by a clock that only rises.
            Disk::Lost => {
                place.store.kept =
                    RecoveredState { incarnation: incarnation + 10, ..RecoveredState::default() }
            }
            Disk::Yesterday => {
                if let Some(old) = place.store.old.clone() {
                    place.store.kept = old;
                }
            }
        }
        let demand = place.demand.clone();
        place.purse = QuotaLedger::new(self.setup.terms());
        place.demand = demand;
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].member.is_some()
    }

    /// Keeps a copy of the store, for [`Disk::Yesterday`].
    pub fn copy_store(&mut self, node: usize) {
        self.nodes[node].store.old = Some(self.nodes[node].store.kept.clone());
    }

    pub fn fill_disk(&mut self, node: usize, full: bool) {
        self.nodes[node].store.full = full;
    }

    /// The whole process stands still; its clocks go on, and what comes waits.
    pub fn stall(&mut self, node: usize, span: Micros) {
        self.nodes[node].stalled_until = self.now + span;
    }

    /// The machine sleeps: its steady clock stands still as well.
    pub fn sleep(&mut self, node: usize, span: Micros) {
        self.stall(node, span);
        self.nodes[node].clock.stood += span;
    }

    pub fn set_wall(&mut self, node: usize, by: i64) {
        self.nodes[node].clock.set += by;
    }

    pub fn drift(&mut self, node: usize, ppm: f64) {
        // The clock goes on from where it is.
        let before = self.clocks(node);
        self.nodes[node].clock.ppm = ppm;
        let after = self.clocks(node);
        let clock = &mut self.nodes[node].clock;
        if after.monotonic > before.monotonic {
            clock.stood += after.monotonic - before.monotonic;
        } else {
            clock.stood = clock.stood.saturating_sub(before.monotonic - after.monotonic);
        }
        clock.set += before.wall as i64 - after.wall as i64;
    }

    pub fn net(&mut self, net: Net) {
        self.net = net;
    }

    /// Cuts one direction, or heals it.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        match cut {
            true => self.cuts.insert((from, to)),
            false => self.cuts.remove(&(from, to)),
        };
    }

    pub fn split(&mut self, parts: &[&[usize]]) {
        for (a, one) in parts.iter().enumerate() {
            for (b, other) in parts.iter().enumerate().filter(|(b, _)| *b != a) {
                let _ = b;
                for from in *one {
                    for to in *other {
                        self.cuts.insert((*from, *to));
                    }
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// A front that spends by shares whose lease is over: what the checkers must find.
    pub fn ignore_leases(&mut self, node: usize) {
        self.nodes[node].ignores_lease = true;
    }

    /// Another list of fronts for this node, from its next start on.
    pub fn relist(&mut self, node: usize, version: u64, fronts: &[usize]) {
        let ids: Vec<FrontId> = fronts.iter().map(|n| self.nodes[*n].id).collect();
        self.nodes[node].settings = World::settings(&self.setup, &ids, version);
    }

    pub fn demand(&mut self, node: usize, key: BudgetId, rate: f64) {
        let before = self.nodes[node].demand.insert(key, rate);
        if rate > 0.0 && before.unwrap_or(0.0) <= 0.0 {
            self.push(self.now, Event::Spend { node, key });
        }
    }

    pub fn leave(&mut self, node: usize) {
        let clocks = self.clocks(node);
        self.nodes[node].purse.close(clocks);
        if let Some(member) = &mut self.nodes[node].member {
            member.leave(clocks);
        }
        self.nodes[node].demand.clear();
        self.drain(node);
        self.wake(node);
    }

    // ---- Time ----

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = end;
        self.check_parts();
    }

    /// Runs until something holds; false where it never does.
    pub fn until(&mut self, most: Micros, mut holds: impl FnMut(&World) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run(10_000);
        }
        holds(self)
    }

    fn happen(&mut self, event: Event) {
        self.digest(&event);
        let node = match &event {
            Event::Arrive { to, .. } => *to,
            Event::Wake { node, .. }
            | Event::Synced { node, .. }
            | Event::Spend { node, .. }
            | Event::Send { node }
            | Event::Report { node, .. } => *node,
        };
        // What is meant for a process that stands still waits until it goes on.
        let stalled = self.nodes[node].stalled_until;
        if self.now < stalled {
            return self.push(stalled, event);
        }
        let clocks = self.clocks(node);
        match event {
            Event::Arrive { to, bytes } => {
                if let Some(member) = &mut self.nodes[to].member {
                    member.on_datagram(&bytes, clocks);
                }
            }
            Event::Wake { run, .. } => {
                if self.nodes[node].run != run || self.now < self.nodes[node].wake_at {
                    return;
                }
                self.nodes[node].wake_at = Micros::MAX;
                if let Some(member) = &mut self.nodes[node].member {
                    member.advance_time(clocks);
                }
            }
            Event::Synced { run, what, .. } => {
                let pending = self.pending.remove(&what);
                if self.nodes[node].run == run {
                    self.synced(node, pending, clocks);
                }
            }
            Event::Spend { key, .. } => self.spend(node, key, clocks),
            Event::Send { .. } => self.send_work(node, clocks),
            Event::Report { run, .. } => {
                if self.nodes[node].run != run {
                    return;
                }
                let place = &mut self.nodes[node];
                let wants = place.purse.demands(clocks);
                if let Some(member) = &mut place.member {
                    member.set_demands(wants);
                }
                self.say_work(node, clocks);
                self.say_sites(node, clocks);
                self.push(self.now + REPORT, Event::Report { node, run });
                if self.now >= self.checked_at + REPORT {
                    self.check_parts();
                }
            }
        }
        self.drain(node);
        self.wake(node);
    }

    fn synced(&mut self, node: usize, pending: Option<Pending>, clocks: Clocks) {
        let place = &mut self.nodes[node];
        let kept = !place.store.full;
        let result = if kept { SyncResult::Synced } else { SyncResult::Failed };
        match pending {
            Some(Pending::Log(persist)) => {
                if kept {
                    place.store.kept.log.apply(&persist);
                }
                if let Some(member) = &mut place.member {
                    member.on_synced(result, clocks);
                }
            }
            Some(Pending::Number(id)) => {
                if kept {
                    place.store.kept.voter = Some(id);
                }
                if let Some(member) = &mut place.member {
                    member.on_synced(result, clocks);
                }
            }
            Some(Pending::Floors(floors)) if kept => {
                place.store.kept.minimums = floors.clone();
                place.purse.apply_minimums(floors, clocks);
            }
            _ => {}
        }
    }

    fn spend(&mut self, node: usize, key: BudgetId, clocks: Clocks) {
        let rate = self.nodes[node].demand.get(&key).copied().unwrap_or(0.0);
        if rate <= 0.0 {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let next = self.now + ((gap * 1e6) as Micros).max(1);
        self.push(next, Event::Spend { node, key });
        let place = &mut self.nodes[node];
        if place.member.is_none() {
            return;
        }
        place.tried += 1;
        // A breach on purpose: the purse is shown the moment at which its lease began.
        let seen = if place.ignores_lease {
            let frozen = place.purse.lease_expiry(clocks).unwrap_or(clocks.monotonic);
            Clocks { monotonic: clocks.monotonic.min(frozen), ..clocks }
        } else {
            clocks
        };
        let took = place.purse.try_acquire_combined(key, 1.0, Priority::Low, seen);
        if took.is_some() || (place.ignores_lease && self.random.random::<f64>() < 0.5) {
            place.served += 1;
            self.spends.spent(key, 1.0, self.now);
        }
    }

    /// Carries out what the member wants done.
    fn drain(&mut self, node: usize) {
        loop {
            let clocks = self.clocks(node);
            let Some(output) = self.nodes[node].member.as_mut().and_then(FleetNode::poll_output) else {
                break;
            };
            let run = self.nodes[node].run;
            match output {
                Output::Send(to, bytes) => self.send(node, to, bytes),
                Output::SyncLog(persist) => self.sync(node, run, Pending::Log(Box::new(persist))),
                Output::SyncVoterId(id) => self.sync(node, run, Pending::Number(id)),
                Output::ApplyMinimums(floors) => self.sync(node, run, Pending::Floors(floors)),
                Output::CompactLog(persist) => self.nodes[node].store.kept.log.apply(&persist),
                Output::ResetStore => {
                    // The store is emptied, and the process begun anew under a later run.
                    let incarnation = self.nodes[node].store.kept.incarnation + 1000;
                    self.kill(node, Disk::Lost);
                    self.nodes[node].store.kept.incarnation = incarnation;
                    return self.start(node);
                }
                Output::ApplyGrant(grant) => self.nodes[node].purse.apply_grant(grant, clocks),
                Output::ApplyMaintenanceView(told) => {
                    if let Some(viewer) = &mut self.nodes[node].viewer {
                        viewer.apply(&told, clocks);
                    }
                }
                Output::ApplySiteView(told) => {
                    if let Some(looker) = &mut self.nodes[node].looker {
                        looker.holding.apply(told);
                    }
                    self.say_sites(node, clocks);
                }
                Output::CommandEnded(_, outcome) => self.outcomes.push((self.now, node, outcome)),
                Output::Event(event) => {
                    if matches!(event, Said::LeadershipGained { .. }) {
                        self.report.leaders += 1;
                    }
                    self.said.push((self.now, node, event));
                }
            }
        }
        let clocks = self.clocks(node);
        self.keep_sites(node);
        if self.nodes[node].viewer.is_some() {
            self.keep_agreed(node);
            self.say_work(node, clocks);
        }
        let place = &mut self.nodes[node];
        if let Some(member) = &mut place.member {
            if let Some(number) = place.purse.confirmable_epoch(clocks) {
                member.on_applied(number, place.purse.minimums_epoch(), clocks);
            }
        }
    }

    fn sync(&mut self, node: usize, run: u64, pending: Pending) {
        self.report.syncs += 1;
        let what = self.next_pending;
        self.next_pending += 1;
        self.pending.insert(what, pending);
        self.push(self.now + self.setup.sync, Event::Synced { node, run, what });
    }

    fn send(&mut self, from: usize, to: FrontId, bytes: Vec<u8>) {
        self.report.datagrams += 1;
        self.report.bytes += bytes.len() as u64;
        let Some(to) = self.nodes.iter().position(|n| n.id == to) else { return };
        if self.cuts.contains(&(from, to)) || self.random.random::<f64>() < self.net.loss {
            return;
        }
        let copies = if self.random.random::<f64>() < self.net.double { 2 } else { 1 };
        for _ in 0..copies {
            let (least, most) = self.net.delay;
            let delay = self.random.random_range(least..=most.max(least));
            self.push(self.now + delay, Event::Arrive { to, bytes: bytes.clone() });
        }
    }

    /// Wakes the member when it says, by its own clock.
    fn wake(&mut self, node: usize) {
        let clocks = self.clocks(node);
        let place = &mut self.nodes[node];
        let Some(member) = &place.member else { return };
        let left = member.next_deadline().saturating_sub(clocks.monotonic);
        let at = self.now + ((left as f64 / (1.0 + place.clock.ppm / 1e6)).ceil() as Micros).max(50);
        if at < place.wake_at {
            place.wake_at = at;
            let run = place.run;
            self.push(at, Event::Wake { node, run });
        }
    }

    // ---- Machines out for work ----

    /// Asks at a node for a command about machines.
    pub fn command(&mut self, node: usize, command: MaintenanceCommand) -> bool {
        self.change(node, AgreedCommand::Maintenance(command))
    }

    /// Asks at a node for a change.
    pub(crate) fn change(&mut self, node: usize, change: AgreedCommand) -> bool {
        let clocks = self.clocks(node);
        self.tag += 1;
        let tag = self.tag;
        let taken =
            self.nodes[node].member.as_mut().is_some_and(|m| m.request_command(tag, change, clocks).is_ok());
        self.drain(node);
        self.wake(node);
        taken
    }

    /// What a front says of machines, as its engine would.
    fn say_work(&mut self, node: usize, clocks: Clocks) {
        let Some(machines) = &self.machines else { return };
        let now = self.now;
        let place = &mut self.nodes[node];
        let (Some(viewer), Some(member)) = (&place.viewer, &mut place.member) else { return };
        place.open.retain(|_, until| now < *until);
        let sight = |machine: &MachineId, born: &Option<u64>| {
            let looks = if born.is_some() { ObservedState::Ready } else { ObservedState::Absent };
            (
                *machine,
                MachineObservation {
                    state: looks,
                    started_at_ms: born.unwrap_or(0),
                    warm_percent: 100,
                    load: 1,
                    work: WorkOutcome::Succeeded,
                },
            )
        };
        let said = elmtide_maintenance::MaintenanceReport {
            acknowledged: viewer.has_view().then(|| viewer.epoch()),
            drained: viewer.excluded_by_view().filter(|m| !place.open.contains_key(m)).collect(),
            // Each machine is told of by a few fronts, as those of its location would.
            observations: (machines.born.iter().enumerate())
                .filter(|(at, _)| at % self.setup.fronts.min(8) == node % 8)
                .map(|(_, (machine, born))| sight(machine, born))
                .collect(),
            is_overloaded: false,
            needs_details: false,
        };
        member.report_maintenance(said, clocks);
    }

    /// The stage of a machine as a front's view has it.
    pub fn viewed(&self, node: usize, machine: MachineId) -> Option<Stage> {
        self.nodes[node].viewer.as_ref()?.stage(machine)
    }

    /// A machine goes away, or is there again with another start.
    pub fn machine(&mut self, machine: MachineId, born: Option<u64>) {
        if let Some(machines) = &mut self.machines {
            machines.born.insert(machine, born);
        }
    }

    /// Who works on machines: one that is let go is taken away at once, and is there again at the next call.
    pub fn work_on(&mut self) {
        let ways = self.agreed().map(|s| s.progress().clone()).unwrap_or_default();
        let born = self.now / 1000 + 1;
        let Some(machines) = &mut self.machines else { return };
        for (machine, there) in &mut machines.born {
            let way = ways.get(machine).filter(|w| w.stage == Stage::Released);
            match (way, *there) {
                (_, None) => *there = Some(born),
                (Some(way), Some(since)) if since == way.started_at_ms => *there = None,
                _ => {}
            }
        }
    }

    /// A front sends one request to a machine that it does not keep off; the agreed state must not have let that one go.
    fn send_work(&mut self, node: usize, clocks: Clocks) {
        let Some(machines) = &self.machines else { return };
        let (rate, open) = (machines.rate, machines.open);
        let count = machines.specs.len();
        let turn = self.random.random_range(0..count.max(1));
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let machine = machines.specs.get(turn).map(|s| MachineId::from_name(&s.name));
        self.push(self.now + ((gap * 1e6) as Micros).max(1), Event::Send { node });
        let place = &mut self.nodes[node];
        let (Some(machine), Some(viewer), true) = (machine, &place.viewer, place.member.is_some()) else {
            return;
        };
        // A breach on purpose: no lease on the view is looked at, and what was next at its end is sent to.
        let off = match place.ignores_lease {
            true => viewer.stage(machine).is_some_and(|s| s.is_excluded()),
            false => viewer.is_excluded(machine, clocks),
        };
        if off {
            return;
        }
        let until = self.now + open;
        let last = place.open.entry(machine).or_insert(0);
        *last = until.max(*last);
        place.tried += 1;
        self.check_machine(machine, node);
    }

    /// The most that was ever agreed, also where those who know of it are away now.
    pub fn agreed(&self) -> Option<&elmtide_maintenance::MaintenanceState> {
        self.agreed.as_ref()
    }

    fn keep_agreed(&mut self, node: usize) {
        let Some(state) = self.nodes[node].member.as_ref().and_then(FleetNode::maintenance) else { return };
        let place = |s: &elmtide_maintenance::MaintenanceState| {
            (s.version(), s.epoch(), s.clock_ms(), s.jobs().len())
        };
        if self.agreed.as_ref().is_none_or(|before| place(state) >= place(before) && state != before) {
            self.agreed = Some(state.clone());
        }
    }

    fn check_machine(&mut self, machine: MachineId, node: usize) {
        let stage = self.agreed().and_then(|s| s.progress().get(&machine)).map(|w| w.stage);
        if stage == Some(Stage::Released) && self.report.over.len() < 20 {
            self.report
                .over
                .push(format!("{} us: front {node} sends to {machine:?}, which is let go", self.now));
        }
    }

    /// Looks at what is open at machines that are let go, and at the bounds.
    fn check_machines(&mut self) {
        if self.machines.is_none() {
            return;
        }
        let now = self.now;
        let Some(state) = self.agreed() else { return };
        let mut over = Vec::new();
        if let Some((machine, bound)) = state.find_excess() {
            over.push(format!("{now} us: {machine:?} is out over its bound: {bound:?}"));
        }
        for (machine, _) in state.progress().iter().filter(|(_, w)| w.stage == Stage::Released) {
            let open = |n: &Node| n.member.is_some() && n.open.get(machine).is_some_and(|until| now < *until);
            if let Some(node) = self.nodes.iter().position(open) {
                over.push(format!(
                    "{now} us: front {node} has something open at {machine:?}, which is let go"
                ));
            }
        }
        over.truncate(20usize.saturating_sub(self.report.over.len()));
        self.report.over.extend(over);
    }

    // ---- What is checked ----

    /// Sums the parts in force at this moment over all fronts, as each would spend by now.
    fn check_parts(&mut self) {
        self.checked_at = self.now;
        self.check_machines();
        self.look_at_sites();
        let mut sums: BTreeMap<BudgetId, u64> = BTreeMap::new();
        for node in 0..self.nodes.len() {
            let clocks = self.clocks(node);
            let place = &mut self.nodes[node];
            if place.member.is_none() || self.now < place.stalled_until {
                continue;
            }
            for quota in place.purse.quotas(clocks) {
                *sums.entry(quota.budget).or_default() += u64::from(quota.leased) + u64::from(quota.minimum);
            }
        }
        for (key, sum) in sums {
            let of = sum as f64 / f64::from(TOTAL);
            self.report.largest = self.report.largest.max(of);
            if sum > u64::from(TOTAL) && self.report.over.len() < 20 {
                self.report.over.push(format!("{} us: parts of {key:?} sum to {of:.4}", self.now));
            }
        }
    }

    /// Something that must not be, told with the report.
    pub(crate) fn breach(&mut self, text: String) {
        if self.report.over.len() < 20 {
            self.report.over.push(text);
        }
    }

    pub(crate) fn looker(&mut self, node: usize) -> Option<(&mut FleetNode, &mut Looker)> {
        let place = &mut self.nodes[node];
        place.member.as_mut().zip(place.looker.as_mut())
    }

    pub(crate) fn fronts(&self) -> usize {
        self.nodes.len()
    }

    pub(crate) fn stands_still(&self, node: usize) -> bool {
        self.now < self.nodes[node].stalled_until
    }

    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn digest(&mut self, event: &Event) {
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        add(&self.now.to_le_bytes());
        match event {
            Event::Arrive { to, bytes } => {
                add(&(*to as u64).to_le_bytes());
                add(bytes);
            }
            Event::Wake { node, .. } => add(&[1, *node as u8]),
            Event::Synced { node, .. } => add(&[2, *node as u8]),
            Event::Spend { node, .. } => add(&[3, *node as u8]),
            Event::Send { node } => add(&[5, *node as u8]),
            Event::Report { node, .. } => add(&[4, *node as u8]),
        }
    }

    /// The same for two runs of one seed.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub fn leader(&self) -> Option<usize> {
        let clocks = Clocks::default();
        (0..self.nodes.len()).find(|n| {
            self.nodes[*n].member.as_ref().is_some_and(|m| m.status(clocks).role == NodeRole::Leader)
                && self.now >= self.nodes[*n].stalled_until
        })
    }

    /// The part that a front may spend by now: share and floor.
    pub fn part(&mut self, node: usize, key: BudgetId) -> (PartsPerMillion, PartsPerMillion) {
        let clocks = self.clocks(node);
        let shown = self.nodes[node].purse.quotas(clocks);
        shown.into_iter().find(|q| q.budget == key).map_or((0, 0), |q| (q.leased, q.minimum))
    }

    /// The first so many fronts vote.
    pub fn voters(&self) -> usize {
        self.setup.voters
    }

    pub fn member(&self, node: usize) -> Option<&FleetNode> {
        self.nodes[node].member.as_ref()
    }

    pub fn status(&self, node: usize) -> Option<elmtide_fleet::NodeStatus> {
        let clocks = self.clocks(node);
        self.nodes[node].member.as_ref().map(|m| m.status(clocks))
    }

    pub fn spent(&self, key: BudgetId) -> f64 {
        self.spends.sum(&key)
    }

    pub fn report(&mut self) -> Report {
        self.check_parts();
        let mut report = self.report.clone();
        for over in &self.spends.over {
            let text = format!(
                "{} us: a window of {:?} held {:.2} above the rate, {:.2} may",
                over.at, over.key, over.level, over.burst
            );
            report.over.push(text);
        }
        for (key, _) in &self.setup.budgets {
            report.spent.insert(*key, self.spends.sum(key));
            report.closest.insert(*key, self.spends.closest(key));
        }
        report.tried = self.nodes.iter().map(|n| n.tried).sum();
        report.served = self.nodes.iter().map(|n| n.served).sum();
        report
    }
}

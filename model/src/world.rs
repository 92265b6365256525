//! The driver: events in the order of true time. Faults, machines, sites and checks are modules of their own.

mod checks;
mod faults;
mod maintenance;
mod sites;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use elmtide_budgets::{BudgetId, Clocks, FrontId, GuaranteedMinimums, Micros, Priority, QuotaLedger};
use elmtide_consensus::records::StorageUpdate;
use elmtide_consensus::VoterId;
use elmtide_fleet::node::status::NodeRole;
use elmtide_fleet::{
    AgreedCommand, CommandOutcome, Event as NodeEvent, FleetNode, FleetSettings, FrontSettings,
    MaintenanceSettings, Output, SyncResult,
};
use elmtide_rules::spends::{self, Spends};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::setup::{Disk, Machines, Net, Report, Setup};
use crate::simulated_node::{Clock, Node, Store};
use crate::site_state::{self, SimulatedSites, SiteObserver};

/// Breaches that are told of one world at most.
const MAX_BREACHES: usize = 20;

/// Wants are told to the members so often, and what is in force is summed.
const REPORT_INTERVAL: Micros = 100_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { to: usize, bytes: Vec<u8> },
    Wake { node: usize, run: u64 },
    Synced { node: usize, run: u64, what: usize },
    Spend { node: usize, key: BudgetId },
    Report { node: usize, run: u64 },
    Send { node: usize },
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
    pub said: Vec<(Micros, usize, NodeEvent)>,
    pub outcomes: Vec<(Micros, usize, CommandOutcome)>,
    checked_at: Micros,
    pub machines: Option<Machines>,
    agreed: Option<elmtide_maintenance::MaintenanceState>,
    pub(crate) sites: Option<SimulatedSites>,
    tag: u64,
}

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
            sites: setup.sites.map(SimulatedSites::new),
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
                ledger: QuotaLedger::new(world.setup.terms()),
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
                exclusions: None,
                open: BTreeMap::new(),
                site_observer: None,
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
            sites: site_state::failover_settings(setup, ids),
            maintenance: setup.machines.as_ref().map(|m| MaintenanceSettings {
                machines: m.specs.clone(),
                disruption_budget: m.bounds.clone(),
            }),
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

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
        self.check_quotas();
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

    fn handle_event(&mut self, event: Event) {
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
                let wants = place.ledger.demands(clocks);
                if let Some(member) = &mut place.member {
                    member.set_demands(wants);
                }
                self.report_machines(node, clocks);
                self.report_sites(node, clocks);
                self.push(self.now + REPORT_INTERVAL, Event::Report { node, run });
                if self.now >= self.checked_at + REPORT_INTERVAL {
                    self.check_quotas();
                }
            }
        }
        self.process_outputs(node);
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
                place.ledger.apply_minimums(floors, clocks);
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
        // A breach on purpose: the ledger is shown the moment at which its lease began.
        let seen = if place.ignores_lease {
            let frozen = place.ledger.lease_expiry(clocks).unwrap_or(clocks.monotonic);
            Clocks { monotonic: clocks.monotonic.min(frozen), ..clocks }
        } else {
            clocks
        };
        let took = place.ledger.try_acquire_combined(key, 1.0, Priority::Low, seen);
        if took.is_some() || (place.ignores_lease && self.random.random::<f64>() < 0.5) {
            place.served += 1;
            self.spends.spent(key, 1.0, self.now);
        }
    }

    /// Carries out what the member wants done.
    fn process_outputs(&mut self, node: usize) {
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
                Output::ApplyGrant(grant) => self.nodes[node].ledger.apply_grant(grant, clocks),
                Output::ApplyMaintenanceView(told) => {
                    if let Some(exclusions) = &mut self.nodes[node].exclusions {
                        exclusions.apply(&told, clocks);
                    }
                }
                Output::ApplySiteView(told) => {
                    if let Some(site_observer) = &mut self.nodes[node].site_observer {
                        site_observer.holding.apply(told);
                    }
                    self.report_sites(node, clocks);
                }
                Output::CommandEnded(_, outcome) => self.outcomes.push((self.now, node, outcome)),
                Output::Event(event) => {
                    if matches!(event, NodeEvent::LeadershipGained { .. }) {
                        self.report.leaders += 1;
                    }
                    self.said.push((self.now, node, event));
                }
            }
        }
        let clocks = self.clocks(node);
        self.record_site_phases(node);
        if self.nodes[node].exclusions.is_some() {
            self.record_agreed_state(node);
            self.report_machines(node, clocks);
        }
        let place = &mut self.nodes[node];
        if let Some(member) = &mut place.member {
            if let Some(number) = place.ledger.confirmable_epoch(clocks) {
                member.on_applied(number, place.ledger.minimums_epoch(), clocks);
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

    /// Asks at a node for a change.
    pub(crate) fn change(&mut self, node: usize, change: AgreedCommand) -> bool {
        let clocks = self.clocks(node);
        self.tag += 1;
        let tag = self.tag;
        let taken =
            self.nodes[node].member.as_mut().is_some_and(|m| m.request_command(tag, change, clocks).is_ok());
        self.process_outputs(node);
        self.wake(node);
        taken
    }

    pub fn leader(&self) -> Option<usize> {
        let clocks = Clocks::default();
        (0..self.nodes.len()).find(|n| {
            self.nodes[*n].member.as_ref().is_some_and(|m| m.status(clocks).role == NodeRole::Leader)
                && self.now >= self.nodes[*n].stalled_until
        })
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

    pub(crate) fn site_observer(&mut self, node: usize) -> Option<(&mut FleetNode, &mut SiteObserver)> {
        let place = &mut self.nodes[node];
        place.member.as_mut().zip(place.site_observer.as_mut())
    }

    pub(crate) fn fronts(&self) -> usize {
        self.nodes.len()
    }

    pub(crate) fn is_stalled(&self, node: usize) -> bool {
        self.now < self.nodes[node].stalled_until
    }

    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }
}

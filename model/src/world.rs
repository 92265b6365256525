//! The simulation driver, which handles events in the order of simulated true time. Faults, machines, sites and checks
//! are in submodules.

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
use elmtide_rules::spends::{self, SpendChecker};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::setup::{Machines, NetworkConditions, Report, Setup, StoreFate};
use crate::simulated_node::{Clock, Node, Store};
use crate::site_state::{self, SimulatedSites, SiteObserver};

/// Maximum number of violations that are reported for one simulation.
const MAX_VIOLATIONS: usize = 20;

/// Interval in microseconds at which demands are reported to the members and the quotas in force are checked.
const REPORT_INTERVAL: Micros = 100_000;

/// An event in the queue. One with a `run` is ignored once the process has a later run number.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A datagram arrives.
    Deliver { to: usize, bytes: Vec<u8> },
    /// The member's next deadline is due.
    Wake { node: usize, run: u64 },
    /// The store has finished a sync.
    SyncDone { node: usize, run: u64, sync_id: usize },
    /// A front tries to spend a unit of a budget.
    Spend { node: usize, budget: BudgetId },
    /// A front reports its demands and observations.
    Report { node: usize, run: u64 },
    /// A front sends a request to a machine.
    SendRequest { node: usize },
}

/// Data that a sync is writing.
enum PendingSync {
    Log(Box<StorageUpdate>),
    VoterId(VoterId),
    Minimums(GuaranteedMinimums),
}

/// A simulated fleet with its network, clocks, stores and faults.
pub struct World {
    /// True time in microseconds.
    pub now: Micros,
    setup: Setup,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// Number of the last queued event; it orders events that are due at the same time.
    last_serial: u64,
    network: NetworkConditions,
    /// Directed links between fronts that deliver nothing.
    blocked_links: BTreeSet<(usize, usize)>,
    pending_syncs: BTreeMap<usize, PendingSync>,
    next_sync_id: usize,
    spend_checker: SpendChecker<BudgetId>,
    report: Report,
    /// Digest of all events so far.
    hash: u64,
    /// Events that the members emitted, with time and front.
    pub events: Vec<(Micros, usize, NodeEvent)>,
    /// Outcomes of commands, with time and front.
    pub command_outcomes: Vec<(Micros, usize, CommandOutcome)>,
    last_check_at: Micros,
    /// Machines that may be taken into maintenance.
    pub machines: Option<Machines>,
    /// The latest maintenance state that any voter has applied.
    agreed_maintenance: Option<elmtide_maintenance::MaintenanceState>,
    pub(crate) sites: Option<SimulatedSites>,
    last_tag: u64,
}

impl World {
    /// Starts all fronts of a fleet.
    pub fn new(setup: Setup) -> World {
        let ids: Vec<FrontId> = (0..setup.fronts).map(|n| FrontId::from_name(&format!("n{n}"))).collect();
        let settings = World::settings(&setup, &ids, 1);
        let mut world = World {
            now: 1_000_000,
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            last_serial: 0,
            network: NetworkConditions::default(),
            blocked_links: BTreeSet::new(),
            pending_syncs: BTreeMap::new(),
            next_sync_id: 0,
            spend_checker: SpendChecker::new(),
            report: Report { seed: setup.seed, ..Report::default() },
            hash: 0xcbf2_9ce4_8422_2325,
            events: Vec::new(),
            command_outcomes: Vec::new(),
            last_check_at: 0,
            machines: setup.machines.clone(),
            agreed_maintenance: None,
            sites: setup.sites.map(SimulatedSites::new),
            last_tag: 0,
            setup,
        };
        let drift = 1.0 + world.setup.lease_settings().drift;
        for (budget, limit) in world.setup.budgets.clone() {
            world
                .spend_checker
                .set_limit(budget, spends::SpendLimit { rate: limit.rate * drift, burst: limit.burst });
        }
        for id in ids {
            let ppm = (world.random.random::<f64>() - 0.5) * 400.0;
            world.nodes.push(Node {
                id,
                member: None,
                ledger: QuotaLedger::new(world.setup.lease_settings()),
                store: Store::default(),
                clock: Clock { ppm, ..Clock::default() },
                run: 0,
                stalled_until: 0,
                settings: settings.clone(),
                demand: BTreeMap::new(),
                wake_at: Micros::MAX,
                attempted: 0,
                served: 0,
                ignores_lease: false,
                exclusions: None,
                open_requests: BTreeMap::new(),
                site_observer: None,
            });
        }
        for node in 0..world.nodes.len() {
            world.start(node);
        }
        world
    }

    /// The fleet settings for a list of fronts.
    fn settings(setup: &Setup, ids: &[FrontId], version: u64) -> FleetSettings {
        let front = |(n, id): (usize, &FrontId)| FrontSettings {
            id: *id,
            site: (n % 3) as u16,
            is_voter: n < setup.voters,
        };
        FleetSettings {
            version,
            fronts: ids.iter().enumerate().map(front).collect(),
            minimums: setup.minimums.clone(),
            lease: setup.lease_settings(),
            tick: setup.tick,
            sites: site_state::failover_settings(setup, ids),
            maintenance: setup.machines.as_ref().map(|m| MaintenanceSettings {
                machines: m.specs.clone(),
                disruption_budget: m.disruption_budget.clone(),
            }),
        }
    }

    /// The identities of all fronts.
    pub fn ids(&self) -> Vec<FrontId> {
        self.nodes.iter().map(|n| n.id).collect()
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.last_serial += 1;
        self.queue.push(Reverse((at, self.last_serial, event)));
    }

    /// A front's clocks at this moment.
    fn clocks(&self, node: usize) -> Clocks {
        let clock = self.nodes[node].clock;
        let elapsed = self.now as f64 * (1.0 + clock.ppm / 1e6);
        let monotonic_time = (elapsed as Micros).saturating_sub(clock.suspended);
        let wall = (elapsed as i64 + clock.wall_offset + 1_000_000_000_000).max(0) as Micros;
        Clocks { monotonic: monotonic_time, wall }
    }

    /// Runs for this long and checks the quotas at the end.
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

    /// Runs until a condition holds or the maximum time has passed. Returns whether it holds.
    pub fn run_until(&mut self, max_span: Micros, mut condition: impl FnMut(&World) -> bool) -> bool {
        let end = self.now + max_span;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run(10_000);
        }
        condition(self)
    }

    fn handle_event(&mut self, event: Event) {
        self.digest(&event);
        let node = match &event {
            Event::Deliver { to, .. } => *to,
            Event::Wake { node, .. }
            | Event::SyncDone { node, .. }
            | Event::Spend { node, .. }
            | Event::SendRequest { node }
            | Event::Report { node, .. } => *node,
        };
        // Events for a stalled process wait until it continues.
        let stalled_until = self.nodes[node].stalled_until;
        if self.now < stalled_until {
            return self.push(stalled_until, event);
        }
        let clocks = self.clocks(node);
        match event {
            Event::Deliver { to, bytes } => {
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
            Event::SyncDone { run, sync_id, .. } => {
                let pending = self.pending_syncs.remove(&sync_id);
                if self.nodes[node].run == run {
                    self.complete_sync(node, pending, clocks);
                }
            }
            Event::Spend { budget, .. } => self.spend(node, budget, clocks),
            Event::SendRequest { .. } => self.send_machine_request(node, clocks),
            Event::Report { run, .. } => {
                if self.nodes[node].run != run {
                    return;
                }
                let host = &mut self.nodes[node];
                let demands = host.ledger.demands(clocks);
                if let Some(member) = &mut host.member {
                    member.set_demands(demands);
                }
                self.report_machines(node, clocks);
                self.report_sites(node, clocks);
                self.push(self.now + REPORT_INTERVAL, Event::Report { node, run });
                if self.now >= self.last_check_at + REPORT_INTERVAL {
                    self.check_quotas();
                }
            }
        }
        self.process_outputs(node);
        self.wake(node);
    }

    /// Applies the result of a sync to the store and reports it to the member.
    fn complete_sync(&mut self, node: usize, pending: Option<PendingSync>, clocks: Clocks) {
        let host = &mut self.nodes[node];
        let written = !host.store.full;
        let result = if written { SyncResult::Synced } else { SyncResult::Failed };
        match pending {
            Some(PendingSync::Log(persist)) => {
                if written {
                    host.store.current.log.apply(&persist);
                }
                if let Some(member) = &mut host.member {
                    member.on_synced(result, clocks);
                }
            }
            Some(PendingSync::VoterId(id)) => {
                if written {
                    host.store.current.voter = Some(id);
                }
                if let Some(member) = &mut host.member {
                    member.on_synced(result, clocks);
                }
            }
            Some(PendingSync::Minimums(minimums)) if written => {
                host.store.current.minimums = minimums.clone();
                host.ledger.apply_minimums(minimums, clocks);
            }
            _ => {}
        }
    }

    /// Tries to spend one unit and schedules the next attempt.
    fn spend(&mut self, node: usize, budget: BudgetId, clocks: Clocks) {
        let rate = self.nodes[node].demand.get(&budget).copied().unwrap_or(0.0);
        if rate <= 0.0 {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let next = self.now + ((gap * 1e6) as Micros).max(1);
        self.push(next, Event::Spend { node, budget });
        let host = &mut self.nodes[node];
        if host.member.is_none() {
            return;
        }
        host.attempted += 1;
        // A deliberate violation: the ledger's clock is held at the expiry of its lease.
        let ledger_clocks = if host.ignores_lease {
            let frozen = host.ledger.lease_expiry(clocks).unwrap_or(clocks.monotonic);
            Clocks { monotonic: clocks.monotonic.min(frozen), ..clocks }
        } else {
            clocks
        };
        let acquired = host.ledger.try_acquire_combined(budget, 1.0, Priority::Low, ledger_clocks);
        if acquired.is_some() || (host.ignores_lease && self.random.random::<f64>() < 0.5) {
            host.served += 1;
            self.spend_checker.record(budget, 1.0, self.now);
        }
    }

    /// Executes the outputs of the member.
    fn process_outputs(&mut self, node: usize) {
        loop {
            let clocks = self.clocks(node);
            let Some(output) = self.nodes[node].member.as_mut().and_then(FleetNode::poll_output) else {
                break;
            };
            let run = self.nodes[node].run;
            match output {
                Output::Send(to, bytes) => self.send(node, to, bytes),
                Output::SyncLog(persist) => self.sync(node, run, PendingSync::Log(Box::new(persist))),
                Output::SyncVoterId(id) => self.sync(node, run, PendingSync::VoterId(id)),
                Output::ApplyMinimums(minimums) => self.sync(node, run, PendingSync::Minimums(minimums)),
                Output::CompactLog(persist) => self.nodes[node].store.current.log.apply(&persist),
                Output::ResetStore => {
                    // Clears the store and restarts the process with a higher incarnation.
                    let incarnation = self.nodes[node].store.current.incarnation + 1000;
                    self.kill(node, StoreFate::Lost);
                    self.nodes[node].store.current.incarnation = incarnation;
                    return self.start(node);
                }
                Output::ApplyGrant(grant) => self.nodes[node].ledger.apply_grant(grant, clocks),
                Output::ApplyMaintenanceView(view) => {
                    if let Some(exclusions) = &mut self.nodes[node].exclusions {
                        exclusions.apply(&view, clocks);
                    }
                }
                Output::ApplySiteView(view) => {
                    if let Some(site_observer) = &mut self.nodes[node].site_observer {
                        site_observer.held_view.apply(view);
                    }
                    self.report_sites(node, clocks);
                }
                Output::CommandEnded(_, outcome) => self.command_outcomes.push((self.now, node, outcome)),
                Output::Event(event) => {
                    if matches!(event, NodeEvent::LeadershipGained { .. }) {
                        self.report.leaders += 1;
                    }
                    self.events.push((self.now, node, event));
                }
            }
        }
        let clocks = self.clocks(node);
        self.record_site_phases(node);
        if self.nodes[node].exclusions.is_some() {
            self.record_agreed_state(node);
            self.report_machines(node, clocks);
        }
        let host = &mut self.nodes[node];
        if let Some(member) = &mut host.member {
            if let Some(epoch) = host.ledger.confirmable_epoch(clocks) {
                member.on_applied(epoch, host.ledger.minimums_epoch(), clocks);
            }
        }
    }

    /// Starts a sync of the store.
    fn sync(&mut self, node: usize, run: u64, pending: PendingSync) {
        self.report.syncs += 1;
        let sync_id = self.next_sync_id;
        self.next_sync_id += 1;
        self.pending_syncs.insert(sync_id, pending);
        self.push(self.now + self.setup.sync_time, Event::SyncDone { node, run, sync_id });
    }

    /// Sends a datagram through the simulated network.
    fn send(&mut self, from: usize, to: FrontId, bytes: Vec<u8>) {
        self.report.datagrams += 1;
        self.report.bytes += bytes.len() as u64;
        let Some(to) = self.nodes.iter().position(|n| n.id == to) else { return };
        if self.blocked_links.contains(&(from, to)) || self.random.random::<f64>() < self.network.loss {
            return;
        }
        let copies = if self.random.random::<f64>() < self.network.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let (min_delay, max_delay) = self.network.delay;
            let delay = self.random.random_range(min_delay..=max_delay.max(min_delay));
            self.push(self.now + delay, Event::Deliver { to, bytes: bytes.clone() });
        }
    }

    /// Schedules a wake-up at the member's next deadline by its own clock.
    fn wake(&mut self, node: usize) {
        let clocks = self.clocks(node);
        let host = &mut self.nodes[node];
        let Some(member) = &host.member else { return };
        let left = member.next_deadline().saturating_sub(clocks.monotonic);
        let at = self.now + ((left as f64 / (1.0 + host.clock.ppm / 1e6)).ceil() as Micros).max(50);
        if at < host.wake_at {
            host.wake_at = at;
            let run = host.run;
            self.push(at, Event::Wake { node, run });
        }
    }

    /// Requests a command at a front. Returns whether the front accepted it.
    pub(crate) fn request_command(&mut self, node: usize, command: AgreedCommand) -> bool {
        let clocks = self.clocks(node);
        self.last_tag += 1;
        let tag = self.last_tag;
        let accepted =
            self.nodes[node].member.as_mut().is_some_and(|m| m.request_command(tag, command, clocks).is_ok());
        self.process_outputs(node);
        self.wake(node);
        accepted
    }

    /// The front that leads and is not stalled.
    pub fn leader(&self) -> Option<usize> {
        let clocks = Clocks::default();
        (0..self.nodes.len()).find(|n| {
            self.nodes[*n].member.as_ref().is_some_and(|m| m.status(clocks).role == NodeRole::Leader)
                && self.now >= self.nodes[*n].stalled_until
        })
    }

    /// Number of voters, which are the first fronts.
    pub fn voters(&self) -> usize {
        self.setup.voters
    }

    /// The fleet member of a front, if its process is running.
    pub fn member(&self, node: usize) -> Option<&FleetNode> {
        self.nodes[node].member.as_ref()
    }

    /// The status of a front's member, if its process is running.
    pub fn status(&self, node: usize) -> Option<elmtide_fleet::NodeStatus> {
        let clocks = self.clocks(node);
        self.nodes[node].member.as_ref().map(|m| m.status(clocks))
    }

    /// Total units of a budget that all fronts have spent.
    pub fn spent(&self, budget: BudgetId) -> f64 {
        self.spend_checker.total(&budget)
    }

    /// A front's member and site observer, if both exist.
    pub(crate) fn site_observer(&mut self, node: usize) -> Option<(&mut FleetNode, &mut SiteObserver)> {
        let host = &mut self.nodes[node];
        host.member.as_mut().zip(host.site_observer.as_mut())
    }

    /// Number of fronts.
    pub(crate) fn fronts(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a front's process is stalled.
    pub(crate) fn is_stalled(&self, node: usize) -> bool {
        self.now < self.nodes[node].stalled_until
    }

    /// Whether the link from one front to another is blocked.
    pub(crate) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.blocked_links.contains(&(from, to))
    }
}

//! All ways by which a router comes to take requests, times all that the process knows by then: the router must heed it
//! with its first request. Guards against ways that hand over a part only (purges forgotten under new cells, machines
//! under maintenance used again when cells are removed, budgets of cold servers spent twice).

use std::collections::BTreeSet;
use std::net::UdpSocket;

use elmtide::{KindId, ZoneId};
use elmtide_budgets::{BudgetKind, Epoch, LeaseSettings};
use elmtide_cells::{Cell, Limits, ShopId, ShopRule};
use elmtide_maintenance::report::{LeasedMaintenanceView, MaintenanceView};
use elmtide_maintenance::{DisruptedMachine, MachineId, MaintenanceExclusions, Stage};

use super::*;
use crate::fleet_link::{FleetUpdate, Waker};

const WINDOW_MS: Ms = 3000.0;
const COLD_FRACTION: f64 = 0.15;
const OVERLOAD_FACTOR: f64 = 3.0;
const WORK_MS: Ms = 50.0;
const TRANSFER_KB_PER_S: f64 = 1000.0;
/// Requests of mean work that all fronts together may send the cold server within a window, right after its start.
const COLD_LIMIT: f64 = COLD_FRACTION * OVERLOAD_FACTOR * WINDOW_MS / WORK_MS;
/// Enough for each server of each cell to be chosen many times, and more than a cold server may get.
const PROBES: u32 = 120;
/// So many that a cold server would get more than its budget if there were none.
const COLD_PROBES: u32 = 1000;
const SERVERS: [u64; 4] = [1, 2, 3, 4];
const SHOPS: [&str; 2] = ["one", "two"];
/// The server that most of the knowledge is about; it is never alone in its cell.
const SUBJECT: MemberId = MemberId(1);
const PURGED: ObjectId = ObjectId(7);
const PURGED_GROUP: PurgeGroup = PurgeGroup(17);

/// The cells of a layout, each as the numbers of its servers; the shop of the same index belongs to each.
type CellServers = &'static [&'static [u64]];

const ONE_CELL: CellServers = &[&SERVERS];
const TWO_CELLS: CellServers = &[&[1, 2], &[3, 4]];
const OTHER_TWO_CELLS: CellServers = &[&[3, 4], &[1, 2]];
const MIXED_CELLS: CellServers = &[&[1, 3], &[2, 4]];

/// A change of the configuration that makes, puts aside or takes up routers.
#[derive(Clone, Copy, Debug)]
enum Change {
    Reload,
    Cells(CellServers),
    NoCells,
}

/// What was in force when something became known, and the changes since then.
struct Way {
    name: &'static str,
    is_replacement: bool,
    before: &'static [Change],
    after: &'static [Change],
}

const fn way(name: &'static str, before: &'static [Change], after: &'static [Change]) -> Way {
    Way { name, is_replacement: false, before, after }
}

const WAYS: [Way; 16] = [
    way("start", &[], &[]),
    Way { name: "replacement", is_replacement: true, before: &[], after: &[] },
    Way {
        name: "replacement with cells",
        is_replacement: true,
        before: &[],
        after: &[Change::Cells(TWO_CELLS)],
    },
    way("reload", &[], &[Change::Reload]),
    way("two reloads", &[], &[Change::Reload, Change::Reload]),
    way("cells on", &[], &[Change::Cells(TWO_CELLS)]),
    way("cells on after a reload", &[Change::Reload], &[Change::Cells(TWO_CELLS)]),
    way("cell split", &[Change::Cells(ONE_CELL)], &[Change::Cells(TWO_CELLS)]),
    way("cells joined", &[Change::Cells(TWO_CELLS)], &[Change::Cells(ONE_CELL)]),
    way("servers exchanged between cells", &[Change::Cells(TWO_CELLS)], &[Change::Cells(OTHER_TWO_CELLS)]),
    way("servers mixed between cells", &[Change::Cells(TWO_CELLS)], &[Change::Cells(MIXED_CELLS)]),
    way(
        "servers there and back",
        &[Change::Cells(TWO_CELLS)],
        &[Change::Cells(MIXED_CELLS), Change::Cells(TWO_CELLS)],
    ),
    way("cells off", &[Change::Cells(TWO_CELLS)], &[Change::NoCells]),
    way("cells off after a reload", &[Change::Reload, Change::Cells(TWO_CELLS)], &[Change::NoCells]),
    way("reload after cells", &[Change::Cells(TWO_CELLS)], &[Change::NoCells, Change::Reload]),
    way("cells on again", &[Change::Cells(TWO_CELLS), Change::NoCells], &[Change::Cells(TWO_CELLS)]),
];

/// What the process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    PurgedObject,
    PurgedGroup,
    Draining,
    Gone,
    Joined,
    /// The subject's machine is being drained for maintenance.
    DrainingMachine,
    /// The subject's machine is released for maintenance.
    ReleasedMachine,
    /// The subject has refused all connections so far.
    Failing,
    /// What has been sent to the cold subject.
    ColdBudget,
    /// That nothing has been sent to the cold subject, so that its budget may be used.
    UnusedColdBudget,
    /// This front has no quota of the cold subject's budget.
    NoQuotaOfColdBudget,
    /// Another process of this front runs.
    ProcessShare,
}

const ALL_KNOWLEDGE: [Knowledge; 12] = [
    Knowledge::PurgedObject,
    Knowledge::PurgedGroup,
    Knowledge::Draining,
    Knowledge::Gone,
    Knowledge::Joined,
    Knowledge::DrainingMachine,
    Knowledge::ReleasedMachine,
    Knowledge::Failing,
    Knowledge::ColdBudget,
    Knowledge::UnusedColdBudget,
    Knowledge::NoQuotaOfColdBudget,
    Knowledge::ProcessShare,
];

fn settings() -> Settings {
    let class = ClassSettings { target_latency: WORK_MS, deadline: 60_000.0, ..ClassSettings::default() };
    Settings {
        classes: vec![class],
        origin_kind: Some(KindId(2)),
        max_attempts: Some(2),
        cancel: true,
        overload_factor: Some(OVERLOAD_FACTOR),
        overload_window: Some(WINDOW_MS),
        cold_fraction: Some(COLD_FRACTION),
        cold_duration: Some(1e9),
        transfer_kb_per_s: Some(TRANSFER_KB_PER_S),
        ..Settings::default()
    }
}

fn layout(cells: CellServers) -> Layout {
    let cell = |(index, servers): (usize, &&[u64])| Cell {
        // A cell whose name is new takes its shops over at once.
        name: if cells.len() == 1 { "whole".into() } else { format!("cell-{index}") },
        boxes: servers.iter().map(|server| format!("s-{server}")).collect(),
        weight: 1.0,
        source_share: 1.0 / cells.len() as f64,
        evacuate: false,
    };
    let rule = |(index, shop): (usize, &&str)| ShopRule {
        shop: (*shop).to_owned(),
        cell: elmtide_cells::CellIx(index.min(cells.len() - 1) as u16),
        shard: None,
        rate: None,
        worth: 1.0,
    };
    let limits = Limits {
        running: (500.0, 500.0, 500.0),
        shop_share: 1.0,
        max_request_ms: 60_000.0,
        ..Limits::default()
    };
    let rules = SHOPS.iter().enumerate().map(rule).collect();
    Layout::new(cells.iter().enumerate().map(cell).collect(), rules, limits).unwrap()
}

/// A front, and what it was told and asked.
pub(super) struct Scenario {
    pub(super) engine: Engine<Recorder>,
    sent: Recorder,
    next_id: u32,
    reloads: u32,
    answers: Answers,
    reports: crossbeam_channel::Receiver<crate::fleet_link::EngineReport>,
}

impl Scenario {
    pub(super) fn new(is_replacement: bool, with_slow_start_budget: bool) -> Scenario {
        Scenario::start(is_replacement, with_slow_start_budget, None)
    }

    /// A front that runs on a machine of this name.
    pub(super) fn on_machine(name: &str) -> Scenario {
        Scenario::start(false, false, Some(MachineId::from_name(name)))
    }

    fn start(is_replacement: bool, with_slow_start_budget: bool, own: Option<MachineId>) -> Scenario {
        let sent = Recorder::default();
        let engine = Engine::new(settings(), 7, sent.clone(), Arc::default());
        let lease = LeaseSettings {
            duration: 4_000_000,
            drift: 0.01,
            slack: 50_000,
            max_clock_divergence: 50_000,
            max_request_deadline: 3_000_000,
        };
        let exclusions = MaintenanceExclusions::new(lease, [(MachineId::from_name("s-1"), None)]);
        let kinds = if with_slow_start_budget { vec![BudgetKind::SlowStartCache] } else { Vec::new() };
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let waker = Waker::new(&socket, socket.local_addr().unwrap()).unwrap();
        let (report_sender, reports) = unbounded();
        let budgets = BudgetClient::new(lease, Vec::new(), kinds, report_sender, waker, None);
        let engine = engine
            .with_class_names(vec!["a".into()])
            .with_budgets(Some(Box::new(budgets)))
            .with_maintenance(Some(Box::new(MaintenanceClient::new(exclusions, own))));
        let engine = if is_replacement { engine.with_other_processes() } else { engine };
        let mut scenario =
            Scenario { engine, sent, next_id: 1, reloads: 0, answers: Answers::default(), reports };
        scenario.put_under_maintenance(1, None);
        scenario.list(true, &[1, 2, 3, 4], Availability::Ready, None);
        scenario
    }

    /// Lets all that was sent before grow older than the overload window.
    fn pass_window(&mut self) {
        self.engine.now += WINDOW_MS + 1000.0;
    }

    /// Lists servers, all with this availability and start; a full list has the origin too.
    fn list(&mut self, full: bool, servers: &[u64], availability: Availability, started_at: Option<Ms>) {
        self.list_in_zone(ZoneId(0), full, servers, availability, started_at);
    }

    fn list_in_zone(
        &mut self,
        zone: ZoneId,
        full: bool,
        servers: &[u64],
        availability: Availability,
        started_at: Option<Ms>,
    ) {
        let listing = |id: u64, kind: u16| Listing {
            member: MemberId(id),
            weight: 1.0,
            zone,
            kind: KindId(kind),
            cell: Default::default(),
            started_at,
            availability,
        };
        let named = |id: u64, name: String| MemberUpdate {
            member: MemberId(id),
            name: name.as_str().into(),
            addr: None,
            started_at,
            gone: availability == Availability::Gone,
        };
        let mut entries: Vec<Listing> = servers.iter().map(|id| listing(*id, 0)).collect();
        let mut members: Vec<MemberUpdate> = servers.iter().map(|id| named(*id, format!("s-{id}"))).collect();
        if full {
            entries.push(Listing { started_at: None, ..listing(ORIGIN.0, 2) });
            members.push(named(ORIGIN.0, "o-1".into()));
        }
        let update = if full { ListUpdate::Full } else { ListUpdate::Delta };
        let event = Event::List { update, entries };
        let members_update = MembersUpdate { full, members };
        self.engine.handle(Input::MembersListed { from: ListSource::Bus, members_update, event });
    }

    /// A view in which the subject's machine is at this stage, or no machine is disrupted.
    pub(super) fn put_under_maintenance(&mut self, epoch: u64, stage: Option<Stage>) {
        let machine = MachineId::from_name("s-1");
        let disrupted = stage.map(|stage| DisruptedMachine { machine, address: None, stage });
        let view = MaintenanceView {
            epoch: Epoch(epoch),
            machines_version: 1,
            disrupted: Some(disrupted.into_iter().collect()),
            details: None,
        };
        let now = clock::both_clocks();
        let leased =
            LeasedMaintenanceView { view, requested_at: now, expires_at: now.monotonic + 3_600_000_000 };
        self.engine.handle(Input::Fleet(FleetUpdate::Maintenance(leased)));
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Reload => self.reload(),
            Change::Cells(servers) => self.engine.handle(cells(Some(layout(servers)))),
            Change::NoCells => self.engine.handle(cells(None)),
        }
    }

    fn reload(&mut self) {
        self.reloads += 1;
        let changed = Settings { max_attempts: Some(2 + self.reloads), ..settings() };
        let class = Class {
            name: "a".into(),
            id: ClassId(0),
            write: false,
            once: false,
            keyed: false,
            deadline: 60_000.0,
        };
        let done = Box::new(|result: Result<Vec<Class>, String>| assert!(result.is_ok(), "{result:?}"));
        let reconfiguration = Reconfiguration { settings: changed, classes: vec![class], done };
        self.engine.handle(Input::Reconfigure(Box::new(reconfiguration)));
    }

    /// Sends a request of a shop and returns its attempts.
    pub(super) fn ask(&mut self, shop: &str, object: Option<ObjectId>, group: PurgeGroup) -> Vec<Sent> {
        let id = self.next_id;
        self.next_id += 1;
        let before = self.sent.0.lock().unwrap().len();
        let Input::Request(mut incoming) = request(id, 60_000.0, &self.answers) else { panic!("a request") };
        incoming.deadline = self.engine.now + 60_000.0;
        (incoming.shop, incoming.group) = (ShopId::of(shop), group);
        incoming.size_kb = Some(WORK_MS / 1000.0 * TRANSFER_KB_PER_S);
        incoming.object = object.unwrap_or(incoming.object);
        self.engine.handle(Input::Request(incoming));
        self.sent.0.lock().unwrap()[before..].to_vec()
    }

    /// Sends requests of both shops for many objects, each of which is answered with `outcome`.
    fn ask_many(&mut self, count: u32, outcome: impl Fn(MemberId) -> Outcome) -> Vec<Sent> {
        let mut all = Vec::new();
        for place in 0..count {
            let shop = SHOPS[place as usize % SHOPS.len()];
            let mut sent = self.ask(shop, None, PurgeGroup(0));
            while let Some(attempt) = sent.pop() {
                all.push(attempt);
                let before = self.sent.0.lock().unwrap().len();
                let copy = Some(ServedCopy { bytes: vec![], digest: None, client_has_it: false });
                let end = match outcome(attempt.server) {
                    Outcome::ConnectFailed => AttemptEnd::ConnectionFailed(Progress::NotConnected),
                    outcome => AttemptEnd::Answered { outcome, note: elmtide::Note::Hit, copy },
                };
                self.engine.handle(Input::AttemptEnded { key: attempt.key, end });
                sent.extend_from_slice(&self.sent.0.lock().unwrap()[before..]);
            }
        }
        all
    }

    /// Whether the front reports the subject's machine as drained.
    pub(super) fn reports_drained(&mut self) -> bool {
        while self.reports.try_recv().is_ok() {}
        self.engine.report_to_fleet();
        let report = self.reports.try_recv().unwrap();
        report.maintenance.unwrap().drained.contains(&MachineId::from_name("s-1"))
    }

    fn tell(&mut self, knowledge: Knowledge) {
        match knowledge {
            Knowledge::PurgedObject => self.purge(Some(PURGED), PurgeGroup(0)),
            Knowledge::PurgedGroup => self.purge(None, PURGED_GROUP),
            Knowledge::Draining => self.list(false, &[1], Availability::Draining, None),
            Knowledge::Gone => self.list(false, &[1], Availability::Gone, None),
            Knowledge::Joined => {
                self.list(false, &[1], Availability::Gone, None);
                self.list(false, &[1], Availability::Ready, None);
            }
            Knowledge::DrainingMachine => self.put_under_maintenance(2, Some(Stage::Draining)),
            Knowledge::ReleasedMachine => self.put_under_maintenance(2, Some(Stage::Released)),
            Knowledge::Failing => {
                let fails = |server| if server == SUBJECT { Outcome::ConnectFailed } else { Outcome::Ok };
                self.ask_many(PROBES, fails);
            }
            Knowledge::ColdBudget => {
                self.start_subject();
                self.ask_many(COLD_PROBES, |_| Outcome::Ok);
            }
            Knowledge::UnusedColdBudget | Knowledge::NoQuotaOfColdBudget | Knowledge::ProcessShare => {
                self.start_subject()
            }
        }
    }

    fn purge(&mut self, object: Option<ObjectId>, group: PurgeGroup) {
        let at = self.engine.now;
        self.engine.handle(Input::Purged { object, group, at });
    }

    /// The subject is a process that starts now.
    fn start_subject(&mut self) {
        let now = self.engine.now;
        self.list(false, &[1], Availability::Ready, Some(now));
    }

    /// What breaks the rule that belongs to the knowledge, if anything does.
    fn breach(&mut self, knowledge: Knowledge) -> Option<String> {
        match knowledge {
            Knowledge::PurgedObject => self.purge_breach(Some(PURGED), PurgeGroup(1)),
            Knowledge::PurgedGroup => self.purge_breach(None, PURGED_GROUP),
            Knowledge::Joined | Knowledge::UnusedColdBudget => {
                let is_used = self.ask_many(PROBES, |_| Outcome::Ok).iter().any(|s| s.server == SUBJECT);
                (!is_used).then(|| "nothing is sent to the server".into())
            }
            Knowledge::ColdBudget => self.cold_breach(COLD_LIMIT),
            Knowledge::ProcessShare => self.cold_breach(COLD_LIMIT / 2.0),
            _ => {
                let sent = self.ask_many(PROBES, |_| Outcome::Ok);
                let wrong = sent.iter().filter(|s| s.server == SUBJECT).count();
                (wrong > 0).then(|| format!("{wrong} of {} requests sent to the server", sent.len()))
            }
        }
    }

    /// Whether the cold subject has got more than so many requests, whichever routers sent them.
    fn cold_breach(&mut self, limit: f64) -> Option<String> {
        self.ask_many(COLD_PROBES, |_| Outcome::Ok);
        let sent = self.sent.0.lock().unwrap().iter().filter(|s| s.server == SUBJECT).count();
        (sent as f64 > limit).then(|| format!("{sent} requests sent to a cold server, {limit} allowed"))
    }

    fn purge_breach(&mut self, object: Option<ObjectId>, group: PurgeGroup) -> Option<String> {
        for shop in SHOPS {
            let sent = self.ask(shop, object, group);
            let first = sent.first()?;
            if first.max_age.is_none() {
                return Some(format!("shop {shop}: a copy of any age would do"));
            }
        }
        None
    }

    /// Whether each shop's requests reach servers of its own cell only.
    fn confinement_breach(&mut self, cells: CellServers) -> Option<String> {
        let mut seen = vec![BTreeSet::new(); SHOPS.len()];
        for place in 0..PROBES as usize {
            let shop = place % SHOPS.len();
            let sent = self.ask(SHOPS[shop], None, PurgeGroup(0));
            seen[shop].extend(sent.iter().map(|s| s.server.0));
        }
        let allowed =
            |shop: usize| cells[shop.min(cells.len() - 1)].iter().copied().collect::<BTreeSet<u64>>();
        (0..SHOPS.len()).find(|shop| seen[*shop] != allowed(*shop)).map(|shop| {
            format!("shop {}: servers {:?} instead of {:?}", SHOPS[shop], seen[shop], allowed(shop))
        })
    }
}

#[test]
fn each_router_knows_all_that_the_process_knows_with_its_first_request() {
    let mut breaches = Vec::new();
    for way in &WAYS {
        for knowledge in ALL_KNOWLEDGE {
            let is_replacement = way.is_replacement || knowledge == Knowledge::ProcessShare;
            let mut scenario = Scenario::new(is_replacement, knowledge == Knowledge::NoQuotaOfColdBudget);
            way.before.iter().for_each(|change| scenario.change(*change));
            scenario.pass_window();
            scenario.tell(knowledge);
            way.after.iter().for_each(|change| scenario.change(*change));
            if let Some(breach) = scenario.breach(knowledge) {
                breaches.push(format!("{}, {knowledge:?}: {breach}", way.name));
            }
        }
    }
    assert!(breaches.is_empty(), "{} breaches:\n{}", breaches.len(), breaches.join("\n"));
}

/// Guards against requests of one cell reaching the servers of another, however the cells came into force.
#[test]
fn requests_stay_in_their_cell_on_each_way() {
    let mut breaches = Vec::new();
    for way in &WAYS {
        let mut scenario = Scenario::new(way.is_replacement, false);
        let changes: Vec<Change> = way.before.iter().chain(way.after).copied().collect();
        changes.iter().for_each(|change| scenario.change(*change));
        let cells = match changes.last() {
            Some(Change::Cells(cells)) => *cells,
            _ => ONE_CELL,
        };
        if let Some(breach) = scenario.confinement_breach(cells) {
            breaches.push(format!("{}: {breach}", way.name));
        }
    }
    assert!(breaches.is_empty(), "{} breaches:\n{}", breaches.len(), breaches.join("\n"));
}

/// What becomes known after a router was replaced and concerns the requests that it still has open.
const KNOWLEDGE_OF_OPEN_REQUESTS: [Knowledge; 6] = [
    Knowledge::PurgedObject,
    Knowledge::PurgedGroup,
    Knowledge::Draining,
    Knowledge::Gone,
    Knowledge::DrainingMachine,
    Knowledge::ReleasedMachine,
];

/// Guards against retries of replaced routers to servers that have left, or from copies that were purged, since then.
#[test]
fn replaced_routers_heed_what_becomes_known_afterwards() {
    let mut breaches = Vec::new();
    for way in WAYS.iter().filter(|way| !way.after.is_empty()) {
        for knowledge in KNOWLEDGE_OF_OPEN_REQUESTS {
            let mut scenario = Scenario::new(way.is_replacement, false);
            way.before.iter().for_each(|change| scenario.change(*change));
            let mut open = Vec::new();
            for place in 0..PROBES {
                let shop = SHOPS[place as usize % SHOPS.len()];
                let object = (place < 2).then_some(PURGED);
                open.extend(scenario.ask(shop, object, PURGED_GROUP));
            }
            way.after.iter().for_each(|change| scenario.change(*change));
            scenario.tell(knowledge);
            let sent_before = scenario.sent.0.lock().unwrap().len();
            for attempt in open {
                let end = AttemptEnd::ConnectionFailed(Progress::NotConnected);
                scenario.engine.handle(Input::AttemptEnded { key: attempt.key, end });
            }
            let retries = scenario.sent.0.lock().unwrap()[sent_before..].to_vec();
            let is_purge = matches!(knowledge, Knowledge::PurgedObject | Knowledge::PurgedGroup);
            let concerns = |sent: &&Sent| knowledge == Knowledge::PurgedGroup || sent.key.id.0 <= 2;
            let wrong = match is_purge {
                true => retries.iter().filter(concerns).filter(|sent| sent.max_age.is_none()).count(),
                false => retries.iter().filter(|sent| sent.server == SUBJECT).count(),
            };
            if wrong > 0 || retries.is_empty() {
                let count = retries.len();
                breaches.push(format!("{}, {knowledge:?}: {wrong} of {count} retries", way.name));
            }
        }
    }
    assert!(breaches.is_empty(), "{} breaches:\n{}", breaches.len(), breaches.join("\n"));
}

/// The number of routers is bounded: a layout that would need more changes nothing and says so, and comes into force once
/// requests have ended.
#[test]
fn a_layout_that_needs_too_many_routers_changes_nothing() {
    let mut scenario = Scenario::new(false, false);
    let layouts = [ONE_CELL, TWO_CELLS];
    let (mut open, mut refused) = (Vec::new(), None);
    for number in 0..routers::MAX_ROUTERS {
        open.extend(scenario.ask(SHOPS[0], None, PurgeGroup(0)));
        open.extend(scenario.ask(SHOPS[1], None, PurgeGroup(0)));
        let servers = layouts[number % 2];
        if let Err(why) = scenario.engine.reconfigure_cells(Some(Box::new(layout(servers)))) {
            refused = Some((servers, why));
            break;
        }
    }
    let (servers, why) = refused.expect("the number of routers is bounded");
    assert!(why.contains("still have requests open"), "{why}");
    let in_force = scenario.engine.cells.as_ref().unwrap().cells.layout().cells().len();
    assert_ne!(in_force, servers.len(), "the layout before stays in force");
    assert!(!scenario.ask(SHOPS[1], None, PurgeGroup(0)).is_empty(), "requests are still sent");
    for attempt in open {
        let copy = Some(ServedCopy { bytes: vec![], digest: None, client_has_it: false });
        let end = AttemptEnd::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
        scenario.engine.handle(Input::AttemptEnded { key: attempt.key, end });
    }
    assert_eq!(scenario.engine.reconfigure_cells(Some(Box::new(layout(servers)))), Ok(()));
}

/// Guards against forgetting which machine a server is on after many others have been replaced: the machine would be used
/// again while it is worked on, and be reported as empty while a request is open there.
#[test]
fn a_machine_under_maintenance_is_known_however_many_servers_are_replaced() {
    let mut scenario = Scenario::new(false, false);
    let open = (0..PROBES).flat_map(|_| scenario.ask(SHOPS[0], None, PurgeGroup(0))).collect::<Vec<Sent>>();
    let open = open.iter().find(|sent| sent.server == SUBJECT).copied().unwrap();
    scenario.put_under_maintenance(2, Some(Stage::Draining));
    for round in 1..=6 {
        let others: Vec<u64> = (1..=1000).map(|other| round * 10_000 + other).collect();
        scenario.list_in_zone(ZoneId(9), false, &others, Availability::Ready, None);
        scenario.list_in_zone(ZoneId(9), false, &others, Availability::Gone, None);
        scenario.engine.report_to_fleet();
    }
    let sent = scenario.ask_many(PROBES, |_| Outcome::Ok);
    assert_eq!(sent.iter().filter(|sent| sent.server == SUBJECT).count(), 0, "requests to the machine");
    assert!(!scenario.reports_drained(), "a request is open there");
    // Its server is gone, and the request is still open.
    scenario.list(false, &[SUBJECT.0], Availability::Gone, None);
    assert!(!scenario.reports_drained(), "a request is open there");
    let all = scenario.sent.0.lock().unwrap().clone();
    for sent in all.iter().filter(|sent| sent.server == open.server) {
        let end = AttemptEnd::ConnectionFailed(Progress::FullyWritten);
        scenario.engine.handle(Input::AttemptEnded { key: sent.key, end });
    }
    assert!(scenario.reports_drained(), "nothing is open there any more");
}

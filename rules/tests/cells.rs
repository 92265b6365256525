//! Checks the five rules on cells with the decision module's routers behind them, in simulated time, under random
//! layouts, moves, drains, purges, cold cache nodes and lost answers. A failing case prints its seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use elmtide::*;
use elmtide_cells::{Arrival, Cell, CellIx, Cells, Completion, Decision, Layout, Limits, ShopId, ShopRule};
use elmtide_rules::{Observation, Rule, RuleChecker};
use proptest::prelude::*;

/// Number of cache nodes.
const BOXES: u64 = 9;
const ORIGIN: u64 = 99;
const DEADLINE: Ms = 900.0;
/// Weight of a cache node.
const WEIGHT: f64 = 4.0;
/// The warm-up of a cache node: initial fraction of its capacity, window for counting its requests, time until it is
/// warm.
const WARM_UP: (f64, Ms, Ms) = (0.2, 1000.0, 8000.0);
/// Time for which a request occupies a cache node.
const SERVICE_TIME: Ms = 10.0;

fn settings() -> Settings {
    let class = |repeat, write| ClassSettings {
        target_latency: SERVICE_TIME,
        deadline: DEADLINE,
        repeat,
        write,
        ..ClassSettings::default()
    };
    Settings {
        classes: vec![class(Repeat::Safe, false), class(Repeat::Unsafe, true)],
        origin_kind: Some(KindId(2)),
        weights: WeightMeaning::Rough,
        max_attempts: Some(4),
        cancel: true,
        fronts: Some(1),
        zone_fronts: vec![1],
        cold_fraction: Some(WARM_UP.0),
        cold_duration: Some(WARM_UP.2),
        overload_factor: Some(1.0),
        overload_window: Some(WARM_UP.1),
        ..Settings::default()
    }
}

fn layout(shops: &[u16; 4]) -> Layout {
    let cell = |c: u64| Cell {
        name: format!("c{c}"),
        boxes: (c * 3..c * 3 + 3).map(|n| format!("{n}")).collect(),
        weight: 1.0,
        source_share: 1.0 / 3.0,
        evacuate: false,
    };
    let rule = |(n, cell): (usize, &u16)| ShopRule {
        shop: format!("s{n}"),
        cell: CellIx(*cell),
        shard: None,
        rate: None,
        worth: 1.0,
    };
    let limits = Limits { warm_step_ms: 300.0, max_request_ms: DEADLINE, ..Limits::default() };
    Layout::new((0..3).map(cell).collect(), shops.iter().enumerate().map(rule).collect(), limits).unwrap()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Reply { id: u32, attempt: u8, fate: u8 },
    Timer { router: usize, token: u64 },
    Attempt { id: u32, attempt: u8 },
    Deadline { id: u32 },
}

/// Whether a cache node rejects the attempt with this fate. Other fates from 60 up lose the answer.
fn is_rejected(fate: u8) -> bool {
    fate >= 60 && fate.is_multiple_of(2)
}

/// A request that was submitted.
struct OpenRequest {
    router: usize,
    object: u64,
    once: bool,
    /// The cache node of each attempt, none once the attempt has ended.
    attempts: Vec<Option<u64>>,
    answered: bool,
    copy_made_at: Ms,
}

/// A stand-in for the front's engine, in simulated time.
struct SimulatedEngine {
    now: Ms,
    cells: Cells,
    routers: Vec<Router>,
    waiting: HashMap<u32, (Request, bool)>,
    open: BTreeMap<u32, OpenRequest>,
    scheduled: BinaryHeap<Reverse<(u64, ScheduledEvent)>>,
    listings: BTreeMap<u64, Listing>,
    checker: RuleChecker,
    copies: HashMap<(u64, u64), Ms>,
    attempt_fates: Vec<u8>,
    attempts_started: usize,
}

impl SimulatedEngine {
    fn new(seed: u64, attempt_fates: Vec<u8>) -> SimulatedEngine {
        let layout = layout(&[0, 1, 2, 0]);
        let routers = (0..3).map(|_| Router::new(settings(), seed, 0.0, &mut Vec::new())).collect();
        let listing = |n: u64| Listing {
            member: MemberId(n),
            weight: WEIGHT,
            zone: ZoneId(0),
            kind: KindId(if n == ORIGIN { 2 } else { 0 }),
            cell: CellId(0),
            started_at: None,
            availability: Availability::Ready,
        };
        let mut engine = SimulatedEngine {
            now: 0.0,
            cells: Cells::new(layout, seed, 0.0),
            routers,
            waiting: HashMap::new(),
            open: BTreeMap::new(),
            scheduled: BinaryHeap::new(),
            listings: (0..BOXES).chain([ORIGIN]).map(|n| (n, listing(n))).collect(),
            checker: RuleChecker::new(1.0),
            copies: HashMap::new(),
            attempt_fates,
            attempts_started: 0,
        };
        engine.publish_listings();
        engine
    }

    fn schedule(&mut self, at: Ms, scheduled: ScheduledEvent) {
        self.scheduled.push(Reverse(((at * 1000.0) as u64, scheduled)));
    }

    fn publish_listings(&mut self) {
        for cell in 0..3u64 {
            let own = |n: u64| n == ORIGIN || n / 3 == cell;
            let entries: Vec<Listing> =
                self.listings.iter().filter(|(n, _)| own(**n)).map(|(_, l)| *l).collect();
            let ready = entries
                .iter()
                .filter(|l| l.kind == KindId(0) && l.availability == Availability::Ready)
                .count();
            self.send_event(cell as usize, Event::List { update: ListUpdate::Full, entries });
            self.cells.set_ready_nodes(CellIx(cell as u16), ready, self.now);
        }
        self.process_decisions();
    }

    fn send_event(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(router, action);
        }
    }

    fn apply_action(&mut self, router: usize, action: Action) {
        match action {
            Action::Serve { id, cache, source, timeout, max_age, .. } => {
                let now = self.now;
                let Some(open) = self.open.get_mut(&id.0) else { return };
                let attempt = open.attempts.len() as u8;
                open.attempts.push(Some(cache.0));
                let (object, once) = (open.object, open.once);
                self.checker.observe(
                    now,
                    Observation::WorkAssigned {
                        node: cache.0,
                        source: (source != cache).then_some(source.0),
                    },
                );
                let fate = self.attempt_fates[self.attempts_started % self.attempt_fates.len()];
                self.attempts_started += 1;
                // A rejected attempt has not executed the request; one whose answer is lost has.
                if once && !is_rejected(fate) {
                    self.checker.observe(now, Observation::Executed { key: u64::from(id.0) });
                }
                // A copy older than the request accepts is fetched again.
                let held = self.copies.get(&(cache.0, object)).copied();
                let copy_made_at = held.filter(|at| max_age.is_none_or(|age| now - at <= age)).unwrap_or(now);
                self.copies.insert((cache.0, object), copy_made_at);
                if let Some(open) = self.open.get_mut(&id.0) {
                    open.copy_made_at = copy_made_at;
                }
                self.schedule(
                    now + 10.0 + f64::from(fate),
                    ScheduledEvent::Reply { id: id.0, attempt, fate },
                );
                self.schedule(now + timeout, ScheduledEvent::Attempt { id: id.0, attempt });
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.send_final_answer(id.0, false),
            Action::SetTimer { delay, token } => {
                let at = self.now + delay.max(0.0);
                self.schedule(at, ScheduledEvent::Timer { router, token: token.0 });
            }
            Action::Cancel { id, attempt } => self.end_attempt(id.0, attempt.0, Outcome::Cancelled),
            Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    /// Sends the final answer, unless the request already has one.
    fn send_final_answer(&mut self, id: u32, served: bool) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let copy = (served && !open.once).then_some((open.object, open.copy_made_at));
        self.checker.observe(now, Observation::Answered { request: u64::from(id), copy });
        self.waiting.remove(&id);
        self.cells.end(id, if served { Completion::Served } else { Completion::Failed }, now);
        self.process_decisions();
    }

    fn process_decisions(&mut self) {
        while let Some(decision) = self.cells.poll() {
            self.apply_decision(decision);
        }
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Start { id, cell } => {
                let Some((mut request, _)) = self.waiting.remove(&id) else { return };
                let router = usize::from(cell.0);
                let Some(open) = self.open.get_mut(&id) else { return };
                open.router = router;
                request.time_left -= self.now - f64::from(request.part);
                request.part = 0;
                self.send_event(router, Event::Request(request));
            }
            Decision::Refuse { id, .. } => self.send_final_answer(id, false),
            Decision::Wait => {}
        }
    }

    fn submit(&mut self, id: u32, shop: u8, object: u64, once: bool) {
        let now = self.now.floor();
        self.now = now.max(self.now);
        let request = Request {
            id: RequestId(id),
            class: ClassId(u16::from(once)),
            object: ObjectId(object),
            // Holds the arrival time until the request is started.
            part: self.now as u32,
            group: PurgeGroup(0),
            time_left: DEADLINE,
            size_kb: None,
            write: once,
        };
        let deadline = self.now + DEADLINE;
        self.checker.observe(self.now, Observation::Requested { request: u64::from(id), deadline });
        let open = OpenRequest {
            router: 0,
            object,
            once,
            attempts: Vec::new(),
            answered: false,
            copy_made_at: self.now,
        };
        self.open.insert(id, open);
        self.waiting.insert(id, (request, once));
        self.schedule(deadline, ScheduledEvent::Deadline { id });
        let shop = ShopId::of(&format!("s{shop}"));
        let arrival = Arrival { id, shop, object, once, cost: 1.0, deadline };
        let decision = self.cells.admit(arrival, self.now);
        self.apply_decision(decision);
        self.process_decisions();
    }

    /// Ends an attempt, unless it has already ended.
    fn end_attempt(&mut self, id: u32, attempt: u8, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let cache = open.attempts.get_mut(usize::from(attempt)).and_then(Option::take);
        if cache.is_none() {
            return;
        }
        let router = open.router;
        if outcome == Outcome::Ok {
            self.send_final_answer(id, true);
        }
        let settled = self.open.get(&id).is_some_and(|o| o.answered);
        let (id, attempt, note) = (RequestId(id), Try(attempt), Note::Absent);
        self.send_event(router, Event::Reply { id, attempt, outcome, latency: 10.0, settled, note });
    }

    fn run_until(&mut self, until: Ms) {
        while let Some(Reverse((at, scheduled))) = self.scheduled.peek().copied() {
            let at = at as f64 / 1000.0;
            if at > until {
                break;
            }
            self.scheduled.pop();
            self.now = self.now.max(at);
            match scheduled {
                // Some attempts are rejected, some lose their answer.
                ScheduledEvent::Reply { id, attempt, fate } if is_rejected(fate) => {
                    self.end_attempt(id, attempt, Outcome::Full)
                }
                ScheduledEvent::Reply { id, attempt, fate } if fate >= 60 => {
                    self.end_attempt(id, attempt, Outcome::Reset)
                }
                ScheduledEvent::Reply { id, attempt, .. } => self.end_attempt(id, attempt, Outcome::Ok),
                ScheduledEvent::Attempt { id, attempt } => self.end_attempt(id, attempt, Outcome::Timeout),
                ScheduledEvent::Timer { router, token } => {
                    self.send_event(router, Event::Timer { token: Token(token) })
                }
                ScheduledEvent::Deadline { id } => {
                    self.send_final_answer(id, false);
                    let router = self.open.get(&id).map_or(0, |o| o.router);
                    self.send_event(router, Event::Expired { id: RequestId(id) });
                }
            }
        }
        self.now = self.now.max(until);
        self.cells.advance(self.now);
        self.process_decisions();
    }
}

/// The kind of announcement that is withheld from the cells and routers, to test that the checkers notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Withheld {
    Nothing,
    Drains,
    Purges,
    Starts,
}

/// Kind, shop, object, and time after the previous operation.
type Operation = (u8, u8, u64, Ms);

fn run_operations(
    seed: u64,
    attempt_fates: Vec<u8>,
    operations: &[Operation],
    withheld: Withheld,
) -> Vec<elmtide_rules::Violation> {
    let mut engine = SimulatedEngine::new(seed, attempt_fates);
    let mut shops = [0u16, 1, 2, 0];
    for (n, (kind, shop, object, delay)) in operations.iter().copied().enumerate() {
        let next = engine.now + delay;
        engine.run_until(next);
        let (node, now) = (object % BOXES, engine.now);
        match kind {
            0 => {
                engine.checker.observe(now, Observation::DrainAnnounced { node });
                if withheld != Withheld::Drains {
                    engine.listings.get_mut(&node).unwrap().availability = Availability::Draining;
                }
                engine.publish_listings();
            }
            1 => {
                // It returns as a new process with a cold cache.
                let listing = engine.listings.get_mut(&node).unwrap();
                listing.availability = Availability::Ready;
                if withheld != Withheld::Starts {
                    listing.started_at = Some(now);
                }
                engine.checker.observe(now, Observation::ServiceResumed { node });
                let capacity = WEIGHT * WARM_UP.1 / SERVICE_TIME;
                let (initial_fraction, window, warm_after) = (WARM_UP.0, WARM_UP.1, WARM_UP.2);
                engine.checker.observe(
                    now,
                    Observation::Started { node, capacity, initial_fraction, window, warm_after },
                );
                engine.copies.retain(|(at, _), _| *at != node);
                engine.publish_listings();
            }
            2 => {
                engine.checker.observe(now, Observation::PurgeAnnounced { object });
                let purged = Event::Purged { object: Some(ObjectId(object)), group: PurgeGroup(0), ago: 0.0 };
                (0..3)
                    .filter(|_| withheld != Withheld::Purges)
                    .for_each(|router| engine.send_event(router, purged.clone()));
            }
            3 => {
                shops[usize::from(shop)] = (object % 3) as u16;
                engine.cells.apply_layout(layout(&shops), now).unwrap();
                engine.publish_listings();
            }
            4 => drop(engine.cells.undo_move(ShopId::of(&format!("s{shop}")), now)),
            _ => engine.submit(n as u32, shop, object, kind < 10),
        }
    }
    let end = engine.now + 5000.0;
    engine.run_until(end);
    engine.checker.finish(end)
}

/// When drains, purges or starts are withheld from the cells and routers, the matching rule is violated. This shows
/// that the checkers can find such violations in this simulation.
#[test]
fn withheld_announcements_violate_the_matching_rule() {
    for (withheld, rule) in [
        (Withheld::Nothing, None),
        (Withheld::Drains, Some(Rule::WorkWhileDraining)),
        (Withheld::Purges, Some(Rule::StaleAfterPurge)),
        (Withheld::Starts, Some(Rule::ColdOverload)),
    ] {
        let mut random_state = 7u64;
        let mut random_below = |limit: u64| {
            random_state =
                random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random_state >> 33) % limit
        };
        let operations: Vec<Operation> = (0..12_000)
            .map(|_| {
                // Drains and returns are rare, so that nodes drain for longer than the grace period.
                let kind = match random_below(800) {
                    0 => 0,
                    1 => 1,
                    2..=5 => 2,
                    _ => 5 + random_below(35) as u8,
                };
                (kind, random_below(4) as u8, random_below(30), 0.5 + random_below(8) as f64 / 8.0)
            })
            .collect();
        let violations =
            run_operations(3, vec![3, 9, 20, 31, 4, 61, 12, 60, 17, 8, 25], &operations, withheld);
        match rule {
            None => assert!(violations.is_empty(), "{violations:?}"),
            Some(rule) => assert!(violations.iter().any(|b| b.rule == rule), "{withheld:?}: {violations:?}"),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 64, ..ProptestConfig::default() })]

    /// All five rules hold under random layouts, moves, drains, starts, purges and lost answers.
    #[test]
    fn the_five_rules_hold_under_random_operations(
        seed: u64,
        attempt_fates in prop::collection::vec(0u8..64, 40..80),
        operations in prop::collection::vec((0u8..40, 0u8..4, 0u64..30, 1.0f64..60.0), 50..400),
    ) {
        let violations = run_operations(seed, attempt_fates, &operations, Withheld::Nothing);
        prop_assert!(violations.is_empty(), "{:?}", violations);
    }
}

//! Cells with the module's own routers behind them, in simulated time: random plans, moves, drains, purges, cold boxes
//! and lost answers, held against the five rules. A failing case prints its seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use elmtide::*;
use elmtide_cells::{Arrival, Cell, CellIx, Cells, Completion, Decision, Layout, Limits, ShopId, ShopRule};
use elmtide_rules::{Rule, Rules, Seen};
use proptest::prelude::*;

const BOXES: u64 = 9;
const ORIGIN: u64 = 99;
const DEADLINE: Ms = 900.0;
/// Of a box: its weight, how much work it bears in a span while it is cold, and how it warms.
const WEIGHT: f64 = 4.0;
const COLD: (f64, Ms, Ms) = (0.2, 1000.0, 8000.0);
const WORK: Ms = 10.0;

fn settings() -> Settings {
    let class = |repeat, write| ClassSettings {
        target_latency: WORK,
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
        cold_fraction: Some(COLD.0),
        cold_duration: Some(COLD.2),
        overload_factor: Some(1.0),
        overload_window: Some(COLD.1),
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
enum Due {
    Reply { id: u32, attempt: u8, fate: u8 },
    Timer { router: usize, token: u64 },
    Attempt { id: u32, attempt: u8 },
    Deadline { id: u32 },
}

fn turned_away(fate: u8) -> bool {
    fate >= 60 && fate.is_multiple_of(2)
}

struct Open {
    router: usize,
    object: u64,
    once: bool,
    /// Attempts that are out, by their box.
    out: Vec<Option<u64>>,
    answered: bool,
    dated: Ms,
}

/// An engine in simulated time.
struct World {
    now: Ms,
    cells: Cells,
    routers: Vec<Router>,
    waiting: HashMap<u32, (Request, bool)>,
    open: BTreeMap<u32, Open>,
    due: BinaryHeap<Reverse<(u64, Due)>>,
    listings: BTreeMap<u64, Listing>,
    rules: Rules,
    copies: HashMap<(u64, u64), Ms>,
    fates: Vec<u8>,
    drawn: usize,
}

impl World {
    fn new(seed: u64, fates: Vec<u8>) -> World {
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
        let mut world = World {
            now: 0.0,
            cells: Cells::new(layout, seed, 0.0),
            routers,
            waiting: HashMap::new(),
            open: BTreeMap::new(),
            due: BinaryHeap::new(),
            listings: (0..BOXES).chain([ORIGIN]).map(|n| (n, listing(n))).collect(),
            rules: Rules::new(1.0),
            copies: HashMap::new(),
            fates,
            drawn: 0,
        };
        world.list();
        world
    }

    fn at(&mut self, at: Ms, due: Due) {
        self.due.push(Reverse(((at * 1000.0) as u64, due)));
    }

    fn list(&mut self) {
        for cell in 0..3u64 {
            let own = |n: u64| n == ORIGIN || n / 3 == cell;
            let entries: Vec<Listing> =
                self.listings.iter().filter(|(n, _)| own(**n)).map(|(_, l)| *l).collect();
            let ready = entries
                .iter()
                .filter(|l| l.kind == KindId(0) && l.availability == Availability::Ready)
                .count();
            self.tell(cell as usize, Event::List { update: ListUpdate::Full, entries });
            self.cells.set_ready_nodes(CellIx(cell as u16), ready, self.now);
        }
        self.decided();
    }

    fn tell(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        for action in actions {
            self.act(router, action);
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Serve { id, cache, source, timeout, max_age, .. } => {
                let now = self.now;
                let Some(open) = self.open.get_mut(&id.0) else { return };
                let attempt = open.out.len() as u8;
                open.out.push(Some(cache.0));
                let (object, once) = (open.object, open.once);
                self.rules
                    .see(now, Seen::Work { node: cache.0, source: (source != cache).then_some(source.0) });
                let fate = self.fates[self.drawn % self.fates.len()];
                self.drawn += 1;
                // What is turned away has not run; what is lost has.
                if once && !turned_away(fate) {
                    self.rules.see(now, Seen::Ran { key: u64::from(id.0) });
                }
                // A copy that is too old for what is asked is fetched anew.
                let held = self.copies.get(&(cache.0, object)).copied();
                let dated = held.filter(|at| max_age.is_none_or(|age| now - at <= age)).unwrap_or(now);
                self.copies.insert((cache.0, object), dated);
                if let Some(open) = self.open.get_mut(&id.0) {
                    open.dated = dated;
                }
                self.at(now + 10.0 + f64::from(fate), Due::Reply { id: id.0, attempt, fate });
                self.at(now + timeout, Due::Attempt { id: id.0, attempt });
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.answer(id.0, false),
            Action::SetTimer { delay, token } => {
                let at = self.now + delay.max(0.0);
                self.at(at, Due::Timer { router, token: token.0 });
            }
            Action::Cancel { id, attempt } => self.back(id.0, attempt.0, Outcome::Cancelled),
            Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    /// The final answer.
    fn answer(&mut self, id: u32, served: bool) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let copy = (served && !open.once).then_some((open.object, open.dated));
        self.rules.see(now, Seen::Answered { request: u64::from(id), copy });
        self.waiting.remove(&id);
        self.cells.end(id, if served { Completion::Served } else { Completion::Failed }, now);
        self.decided();
    }

    fn decided(&mut self) {
        while let Some(decision) = self.cells.poll() {
            self.decide(decision);
        }
    }

    fn decide(&mut self, decision: Decision) {
        match decision {
            Decision::Start { id, cell } => {
                let Some((mut request, _)) = self.waiting.remove(&id) else { return };
                let router = usize::from(cell.0);
                let Some(open) = self.open.get_mut(&id) else { return };
                open.router = router;
                request.time_left -= self.now - f64::from(request.part);
                request.part = 0;
                self.tell(router, Event::Request(request));
            }
            Decision::Refuse { id, .. } => self.answer(id, false),
            Decision::Wait => {}
        }
    }

    fn ask(&mut self, id: u32, shop: u8, object: u64, once: bool) {
        let now = self.now.floor();
        self.now = now.max(self.now);
        let request = Request {
            id: RequestId(id),
            class: ClassId(u16::from(once)),
            object: ObjectId(object),
            // The moment at which it came, until it is begun.
            part: self.now as u32,
            group: PurgeGroup(0),
            time_left: DEADLINE,
            size_kb: None,
            write: once,
        };
        let deadline = self.now + DEADLINE;
        self.rules.see(self.now, Seen::Asked { request: u64::from(id), deadline });
        let open = Open { router: 0, object, once, out: Vec::new(), answered: false, dated: self.now };
        self.open.insert(id, open);
        self.waiting.insert(id, (request, once));
        self.at(deadline, Due::Deadline { id });
        let shop = ShopId::of(&format!("s{shop}"));
        let arrival = Arrival { id, shop, object, once, cost: 1.0, deadline };
        let decision = self.cells.admit(arrival, self.now);
        self.decide(decision);
        self.decided();
    }

    /// An attempt is over.
    fn back(&mut self, id: u32, attempt: u8, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let out = open.out.get_mut(usize::from(attempt)).and_then(Option::take);
        if out.is_none() {
            return;
        }
        let router = open.router;
        if outcome == Outcome::Ok {
            self.answer(id, true);
        }
        let settled = self.open.get(&id).is_some_and(|o| o.answered);
        let (id, attempt, note) = (RequestId(id), Try(attempt), Note::Absent);
        self.tell(router, Event::Reply { id, attempt, outcome, latency: 10.0, settled, note });
    }

    fn run_until(&mut self, until: Ms) {
        while let Some(Reverse((at, due))) = self.due.peek().copied() {
            let at = at as f64 / 1000.0;
            if at > until {
                break;
            }
            self.due.pop();
            self.now = self.now.max(at);
            match due {
                // Some boxes turn work away, some lose it.
                Due::Reply { id, attempt, fate } if turned_away(fate) => {
                    self.back(id, attempt, Outcome::Full)
                }
                Due::Reply { id, attempt, fate } if fate >= 60 => self.back(id, attempt, Outcome::Reset),
                Due::Reply { id, attempt, .. } => self.back(id, attempt, Outcome::Ok),
                Due::Attempt { id, attempt } => self.back(id, attempt, Outcome::Timeout),
                Due::Timer { router, token } => self.tell(router, Event::Timer { token: Token(token) }),
                Due::Deadline { id } => {
                    self.answer(id, false);
                    let router = self.open.get(&id).map_or(0, |o| o.router);
                    self.tell(router, Event::Expired { id: RequestId(id) });
                }
            }
        }
        self.now = self.now.max(until);
        self.cells.advance(self.now);
        self.decided();
    }
}

/// What the world is to keep from the cells and routers, to see that the checkers notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deaf {
    Nothing,
    Drains,
    Purges,
    Starts,
}

type Step = (u8, u8, u64, Ms);

fn play(seed: u64, fates: Vec<u8>, steps: &[Step], deaf: Deaf) -> Vec<elmtide_rules::Broken> {
    let mut world = World::new(seed, fates);
    let mut shops = [0u16, 1, 2, 0];
    for (n, (kind, shop, object, later)) in steps.iter().copied().enumerate() {
        let next = world.now + later;
        world.run_until(next);
        let (node, now) = (object % BOXES, world.now);
        match kind {
            0 => {
                world.rules.see(now, Seen::Drains { node });
                if deaf != Deaf::Drains {
                    world.listings.get_mut(&node).unwrap().availability = Availability::Draining;
                }
                world.list();
            }
            1 => {
                // It is back as a new process, cold.
                let listing = world.listings.get_mut(&node).unwrap();
                listing.availability = Availability::Ready;
                if deaf != Deaf::Starts {
                    listing.started_at = Some(now);
                }
                world.rules.see(now, Seen::Serves { node });
                let bears = WEIGHT * COLD.1 / WORK;
                let (from, span, warm_after) = (COLD.0, COLD.1, COLD.2);
                world.rules.see(now, Seen::Started { node, bears, from, span, warm_after });
                world.copies.retain(|(at, _), _| *at != node);
                world.list();
            }
            2 => {
                world.rules.see(now, Seen::Purge { object });
                let purged = Event::Purged { object: Some(ObjectId(object)), group: PurgeGroup(0), ago: 0.0 };
                (0..3).filter(|_| deaf != Deaf::Purges).for_each(|router| world.tell(router, purged.clone()));
            }
            3 => {
                shops[usize::from(shop)] = (object % 3) as u16;
                world.cells.apply_layout(layout(&shops), now).unwrap();
                world.list();
            }
            4 => drop(world.cells.undo_move(ShopId::of(&format!("s{shop}")), now)),
            _ => world.ask(n as u32, shop, object, kind < 10),
        }
    }
    let end = world.now + 5000.0;
    world.run_until(end);
    world.rules.end(end)
}

/// Cells and routers that are not told of drains, purges or starts break just that rule: the checkers can see it in
/// this world, so that their silence says something.
#[test]
fn what_is_not_told_is_seen_to_break() {
    for (deaf, rule) in [
        (Deaf::Nothing, None),
        (Deaf::Drains, Some(Rule::Drained)),
        (Deaf::Purges, Some(Rule::Purged)),
        (Deaf::Starts, Some(Rule::PushedOver)),
    ] {
        let mut x = 7u64;
        let mut draw = |most: u64| {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (x >> 33) % most
        };
        let steps: Vec<Step> = (0..12_000)
            .map(|_| {
                // Drains are rare, so that boxes drain for long enough.
                let kind = match draw(800) {
                    0 => 0,
                    1 => 1,
                    2..=5 => 2,
                    _ => 5 + draw(35) as u8,
                };
                (kind, draw(4) as u8, draw(30), 0.5 + draw(8) as f64 / 8.0)
            })
            .collect();
        let broken = play(3, vec![3, 9, 20, 31, 4, 61, 12, 60, 17, 8, 25], &steps, deaf);
        match rule {
            None => assert!(broken.is_empty(), "{broken:?}"),
            Some(rule) => assert!(broken.iter().any(|b| b.rule == rule), "{deaf:?}: {broken:?}"),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 64, ..ProptestConfig::default() })]

    /// Whatever the plans, moves, drains, starts, purges and lost answers: all five rules hold.
    #[test]
    fn the_five_rules_hold(
        seed: u64,
        fates in prop::collection::vec(0u8..64, 40..80),
        steps in prop::collection::vec((0u8..40, 0u8..4, 0u64..30, 1.0f64..60.0), 50..400),
    ) {
        let broken = play(seed, fates, &steps, Deaf::Nothing);
        prop_assert!(broken.is_empty(), "{:?}", broken);
    }
}

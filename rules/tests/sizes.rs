//! Checks that large requests are answered as often as the others, with the decision module's router in front of caches
//! whose links are shared by their transfers, in simulated time, under loads that force refusals.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use elmtide::*;
use elmtide_rules::sizes::{SizeFairness, MIN_RATIO_DISTURBED, MIN_RATIO_UNDISTURBED};

const CACHES: u64 = 6;
const ORIGIN: u64 = 99;
/// Number of transfers that a cache's link can carry at full rate.
const LINK_CAPACITY: f64 = 8.0;
/// Maximum number of concurrent transfers of a cache.
const MAX_TRANSFERS: usize = 40;
/// Full rate of a transfer, in KB per second.
const RATE_KB_PER_S: f64 = 8000.0;
const STEP: Ms = 1.0;
const DURATION: Ms = 60_000.0;

/// A class: its fraction of the requests, the mean and sigma of its lognormal work, its target latency and target
/// stretch, its deadline.
#[derive(Clone, Copy)]
struct ClassProfile(f64, Ms, f64, Ms, Option<f64>, Ms);

/// The classes of two customers. The second has no target stretch for requests that take long to send.
const CUSTOMERS: [[ClassProfile; 2]; 2] = [
    [
        ClassProfile(0.55, 430.0, 1.0, 400.0, Some(1.6), 5000.0),
        ClassProfile(0.45, 75.0, 0.8, 400.0, Some(2.0), 2500.0),
    ],
    [ClassProfile(0.3, 300.0, 0.9, 600.0, None, 4000.0), ClassProfile(0.7, 90.0, 0.7, 350.0, None, 1800.0)],
];

/// A pseudo-random generator.
struct Rng(u64);

impl Rng {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// Draws from a lognormal distribution with this mean.
    fn lognormal(&mut self, mean: Ms, sigma: f64) -> Ms {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// A transfer that a cache is sending.
struct Transfer {
    id: u32,
    attempt: u8,
    sent: Ms,
    /// Work that remains, in milliseconds at full rate.
    left: Ms,
}

/// A submitted request.
struct RequestState {
    class: u16,
    work: Ms,
    deadline: Ms,
    answered: Option<bool>,
    /// Number of attempts so far.
    attempts: u8,
}

struct Simulation {
    now: Ms,
    router: Router,
    caches: BTreeMap<u64, Vec<Transfer>>,
    requests: BTreeMap<u32, RequestState>,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    /// Attempts at caches that were full; the answer follows one step later.
    rejected: Vec<(u32, u8)>,
    /// Makes the front shed requests with more work than this before they reach the router.
    shed_above: Option<Ms>,
}

impl Simulation {
    fn new(classes: &[ClassProfile; 2], seed: u64, shed_above: Option<Ms>) -> Simulation {
        let class = |k: &ClassProfile| ClassSettings {
            target_latency: k.3,
            target_stretch: k.4,
            deadline: k.5,
            repeat: Repeat::Safe,
            ..ClassSettings::default()
        };
        let settings = Settings {
            classes: classes.iter().map(class).collect(),
            origin_kind: Some(KindId(2)),
            weights: WeightMeaning::Rough,
            transfer_kb_per_s: Some(RATE_KB_PER_S),
            max_attempts: Some(8),
            cancel: true,
            second_copies: true,
            fronts: Some(1),
            zone_fronts: vec![1],
            ..Settings::default()
        };
        let router = Router::new(settings, seed, 0.0, &mut Vec::new());
        let caches = (0..CACHES).map(|n| (n, Vec::new())).collect();
        let (requests, timers, rejected) = Default::default();
        let mut simulation = Simulation { now: 0.0, router, caches, requests, timers, rejected, shed_above };
        let listing = |n: u64| Listing {
            member: MemberId(n),
            weight: LINK_CAPACITY,
            zone: ZoneId(0),
            kind: KindId(if n == ORIGIN { 2 } else { 0 }),
            cell: CellId(0),
            started_at: None,
            availability: Availability::Ready,
        };
        let entries = (0..CACHES).chain([ORIGIN]).map(listing).collect();
        simulation.send_event(Event::List { update: ListUpdate::Full, entries });
        simulation
    }

    fn send_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.apply_action(action));
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Serve { id, cache, .. } => {
                let Some(request) = self.requests.get_mut(&id.0) else { return };
                let (attempt, work, sent) = (request.attempts, request.work, self.now);
                request.attempts += 1;
                let transfers = self.caches.entry(cache.0).or_default();
                match transfers.len() < MAX_TRANSFERS {
                    true => transfers.push(Transfer { id: id.0, attempt, sent, left: work + 5.0 }),
                    false => self.rejected.push((id.0, attempt)),
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.end_request(id.0, false),
            Action::SetTimer { delay, token } => {
                self.timers.push(Reverse((((self.now + delay.max(0.0)) * 1000.0) as u64, token.0)));
            }
            Action::Cancel { id, attempt } => {
                let of = |s: &Transfer| s.id == id.0 && s.attempt == attempt.0;
                let was: usize = self.caches.values().map(Vec::len).sum();
                self.caches.values_mut().for_each(|c| c.retain(|s| !of(s)));
                if self.caches.values().map(Vec::len).sum::<usize>() < was {
                    self.reply(id.0, attempt.0, Outcome::Cancelled, 0.0);
                }
            }
            Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    fn end_request(&mut self, id: u32, answered: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.answered.get_or_insert(answered);
        }
    }

    fn reply(&mut self, id: u32, attempt: u8, outcome: Outcome, latency: Ms) {
        if outcome == Outcome::Ok {
            self.end_request(id, true);
        }
        let settled = self.requests.get(&id).is_some_and(|a| a.answered.is_some());
        let (id, attempt, note) = (RequestId(id), Try(attempt), Note::Hit);
        self.send_event(Event::Reply { id, attempt, outcome, latency, settled, note });
    }

    fn submit(&mut self, id: u32, class: u16, work: Ms, allow: Ms, object: u64) {
        let deadline = self.now + allow;
        self.requests.insert(id, RequestState { class, work, deadline, answered: None, attempts: 0 });
        if self.shed_above.is_some_and(|limit| work > limit) {
            return self.end_request(id, false);
        }
        self.send_event(Event::Request(Request {
            id: RequestId(id),
            class: ClassId(class),
            object: ObjectId(object),
            part: 0,
            group: PurgeGroup(0),
            time_left: allow,
            size_kb: Some(work * RATE_KB_PER_S / 1000.0),
            write: false,
        }));
    }

    /// Advances by one step. The transfers of a cache share its link.
    fn advance(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at as f64 / 1000.0 > self.now {
                break;
            }
            self.timers.pop();
            self.send_event(Event::Timer { token: Token(token) });
        }
        for (id, attempt) in std::mem::take(&mut self.rejected) {
            self.reply(id, attempt, Outcome::Full, STEP);
        }
        let mut ended = Vec::new();
        for transfers in self.caches.values_mut() {
            let pace = (LINK_CAPACITY / transfers.len().max(1) as f64).min(1.0);
            let requests = &self.requests;
            transfers.retain_mut(|s| {
                s.left -= STEP * pace;
                let late = requests.get(&s.id).is_none_or(|a| self.now > a.deadline);
                if s.left <= 0.0 || late {
                    let outcome = if late { Outcome::Timeout } else { Outcome::Ok };
                    ended.push((s.id, s.attempt, outcome, self.now - s.sent));
                }
                s.left > 0.0 && !late
            });
        }
        for (id, attempt, outcome, latency) in ended {
            self.reply(id, attempt, outcome, latency);
        }
    }
}

/// Runs the simulation at a load relative to the capacity of all links. With failures two caches are gone in the middle
/// third.
fn simulate(
    classes: &[ClassProfile; 2],
    load: f64,
    with_failures: bool,
    seed: u64,
    shed_above: Option<Ms>,
) -> SizeFairness {
    let mut simulation = Simulation::new(classes, seed, shed_above);
    let mut rng = Rng(seed);
    let mean: Ms = classes.iter().map(|k| k.0 * k.1).sum();
    let mean_interval = mean / (load * CACHES as f64 * LINK_CAPACITY);
    let (mut next, mut id) = (0.0, 0);
    while simulation.now < DURATION {
        while next <= simulation.now {
            let class = u16::from(rng.unit() > classes[0].0);
            let ClassProfile(_, mean, sigma, _, _, allow) = classes[usize::from(class)];
            let work = rng.lognormal(mean, sigma).min(allow);
            id += 1;
            let object = (rng.unit() * 1e9) as u64;
            simulation.submit(id, class, work, allow, object);
            next -= mean_interval * rng.unit().ln();
        }
        if with_failures && [DURATION / 3.0, DURATION / 1.5].contains(&simulation.now) {
            let back = simulation.now > DURATION / 2.0;
            let availability = if back { Availability::Ready } else { Availability::Gone };
            let listing = |n: u64| Listing {
                member: MemberId(n),
                weight: LINK_CAPACITY,
                zone: ZoneId(0),
                kind: KindId(0),
                cell: CellId(0),
                started_at: None,
                availability,
            };
            simulation.send_event(Event::List {
                update: ListUpdate::Delta,
                entries: (0..2).map(listing).collect(),
            });
        }
        simulation.advance();
    }
    let mut fairness = SizeFairness::default();
    // Requests whose deadline is past the end have not had their full time.
    let is_due = |a: &&RequestState| a.deadline < DURATION;
    for request in simulation.requests.values().filter(is_due) {
        fairness.record(request.class, request.work, request.answered == Some(true));
    }
    fairness
}

#[test]
fn large_requests_are_answered_as_often_as_the_others() {
    for (customer, classes) in CUSTOMERS.iter().enumerate() {
        for (load, with_failures, min_ratio) in [
            (0.9, false, MIN_RATIO_UNDISTURBED),
            (1.2, false, MIN_RATIO_DISTURBED),
            (1.7, false, MIN_RATIO_DISTURBED),
            (2.5, false, MIN_RATIO_DISTURBED),
            (0.9, true, MIN_RATIO_DISTURBED),
        ] {
            for seed in 1..=2 {
                let fairness = simulate(classes, load, with_failures, seed, None);
                let shares = fairness.shares();
                eprintln!(
                    "customer {customer} load {load} failures {with_failures} seed {seed}: {shares:.3?}"
                );
                assert!(fairness.shortfalls(min_ratio).is_empty(), "{:?}", fairness.shortfalls(min_ratio));
                if load > 1.5 {
                    assert!(shares.values().any(|s| s[0] < 0.9), "nothing had to be refused: {shares:?}");
                }
            }
        }
    }
}

/// Shedding requests that take long to send is reported, but not when it affects only a few of them.
#[test]
fn shedding_large_requests_is_reported() {
    let classes = &CUSTOMERS[0];
    let shortfalls = simulate(classes, 0.9, false, 1, Some(800.0)).shortfalls(MIN_RATIO_UNDISTURBED);
    assert!(shortfalls.iter().any(|s| s.class == 0 && s.from == 0.0), "{shortfalls:?}");
    let shortfalls = simulate(classes, 0.9, false, 1, Some(500.0)).shortfalls(MIN_RATIO_DISTURBED);
    assert!(
        shortfalls.iter().any(|s| s.class == 0 && s.from > 0.0),
        "the next fifth is affected as well: {shortfalls:?}"
    );
    assert!(simulate(classes, 0.9, false, 1, Some(4900.0)).shortfalls(MIN_RATIO_UNDISTURBED).is_empty());
}

/// Compares the shares with ones calculated by hand.
#[test]
fn shares_are_counted_by_descending_size() {
    let mut fairness = SizeFairness::default();
    for n in 0..1000 {
        // Answered: 60 of 100 in the largest tenth, 120 of 200 in the next fifth, and all others.
        fairness.record(7, f64::from(n), n < 700 || n % 10 < 6);
    }
    assert_eq!(fairness.shares()[&7], [0.88, 0.6, 0.6]);
    assert_eq!(fairness.shortfalls(0.69).len(), 2);
    assert_eq!(fairness.shortfalls(0.68), []);
    // With few requests the first group is the largest quarter.
    let mut small_class = SizeFairness::default();
    (0..100).for_each(|n| small_class.record(1, f64::from(n), n < 75));
    assert_eq!(small_class.shortfalls(0.5).len(), 1);
    assert_eq!((small_class.shortfalls(0.5)[0].to, small_class.shortfalls(0.5)[0].answered), (0.25, 0.0));
}

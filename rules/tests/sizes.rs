//! Whether large requests are answered as the others are, with the module's own router in front of caches whose links are
//! shared, in simulated time, under loads that force refusals.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use elmtide::*;
use elmtide_rules::sizes::{Sizes, QUIET, ROUGH};

const CACHES: u64 = 6;
const ORIGIN: u64 = 99;
/// Transfers at full pace that a cache's link bears, and those that it holds at once.
const LINK: f64 = 8.0;
const SLOTS: usize = 40;
/// KB a second at full pace.
const PACE: f64 = 8000.0;
const STEP: Ms = 1.0;
const DAY: Ms = 60_000.0;

/// A class: its part of the requests, its mean work, how wide that is drawn, its aim and what of its work is added, its deadline.
#[derive(Clone, Copy)]
struct Kind(f64, Ms, f64, Ms, Option<f64>, Ms);

/// The classes of two customers. With the second nothing is added for what takes long to send.
const CUSTOMERS: [[Kind; 2]; 2] = [
    [Kind(0.55, 430.0, 1.0, 400.0, Some(1.6), 5000.0), Kind(0.45, 75.0, 0.8, 400.0, Some(2.0), 2500.0)],
    [Kind(0.3, 300.0, 0.9, 600.0, None, 4000.0), Kind(0.7, 90.0, 0.7, 350.0, None, 1800.0)],
];

struct Chance(u64);

impl Chance {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    /// Lognormal with this mean.
    fn work(&mut self, mean: Ms, sigma: f64) -> Ms {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// A transfer that a cache is sending.
struct Sending {
    id: u32,
    attempt: u8,
    sent: Ms,
    left: Ms,
}

struct Asked {
    class: u16,
    work: Ms,
    deadline: Ms,
    answered: Option<bool>,
    out: u8,
}

struct World {
    now: Ms,
    router: Router,
    caches: BTreeMap<u64, Vec<Sending>>,
    asked: BTreeMap<u32, Asked>,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    /// Answers of caches that are full, one step later.
    full: Vec<(u32, u8)>,
    /// What is put between the router and the caches: a front that sheds what is larger than so much work.
    sheds_over: Option<Ms>,
}

impl World {
    fn new(classes: &[Kind; 2], seed: u64, sheds_over: Option<Ms>) -> World {
        let class = |k: &Kind| ClassSettings {
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
            transfer_kb_per_s: Some(PACE),
            max_attempts: Some(8),
            cancel: true,
            second_copies: true,
            fronts: Some(1),
            zone_fronts: vec![1],
            ..Settings::default()
        };
        let router = Router::new(settings, seed, 0.0, &mut Vec::new());
        let caches = (0..CACHES).map(|n| (n, Vec::new())).collect();
        let (asked, timers, full) = Default::default();
        let mut world = World { now: 0.0, router, caches, asked, timers, full, sheds_over };
        let listing = |n: u64| Listing {
            member: MemberId(n),
            weight: LINK,
            zone: ZoneId(0),
            kind: KindId(if n == ORIGIN { 2 } else { 0 }),
            cell: CellId(0),
            started_at: None,
            availability: Availability::Ready,
        };
        let entries = (0..CACHES).chain([ORIGIN]).map(listing).collect();
        world.tell(Event::List { update: ListUpdate::Full, entries });
        world
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Serve { id, cache, .. } => {
                let Some(asked) = self.asked.get_mut(&id.0) else { return };
                let (attempt, work, sent) = (asked.out, asked.work, self.now);
                asked.out += 1;
                let sending = self.caches.entry(cache.0).or_default();
                match sending.len() < SLOTS {
                    true => sending.push(Sending { id: id.0, attempt, sent, left: work + 5.0 }),
                    false => self.full.push((id.0, attempt)),
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.end(id.0, false),
            Action::SetTimer { delay, token } => {
                self.timers.push(Reverse((((self.now + delay.max(0.0)) * 1000.0) as u64, token.0)));
            }
            Action::Cancel { id, attempt } => {
                let of = |s: &Sending| s.id == id.0 && s.attempt == attempt.0;
                let was: usize = self.caches.values().map(Vec::len).sum();
                self.caches.values_mut().for_each(|c| c.retain(|s| !of(s)));
                if self.caches.values().map(Vec::len).sum::<usize>() < was {
                    self.reply(id.0, attempt.0, Outcome::Cancelled, 0.0);
                }
            }
            Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    fn end(&mut self, id: u32, answered: bool) {
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.answered.get_or_insert(answered);
        }
    }

    fn reply(&mut self, id: u32, attempt: u8, outcome: Outcome, latency: Ms) {
        if outcome == Outcome::Ok {
            self.end(id, true);
        }
        let settled = self.asked.get(&id).is_some_and(|a| a.answered.is_some());
        let (id, attempt, note) = (RequestId(id), Try(attempt), Note::Hit);
        self.tell(Event::Reply { id, attempt, outcome, latency, settled, note });
    }

    fn ask(&mut self, id: u32, class: u16, work: Ms, allow: Ms, object: u64) {
        let deadline = self.now + allow;
        self.asked.insert(id, Asked { class, work, deadline, answered: None, out: 0 });
        if self.sheds_over.is_some_and(|most| work > most) {
            return self.end(id, false);
        }
        self.tell(Event::Request(Request {
            id: RequestId(id),
            class: ClassId(class),
            object: ObjectId(object),
            part: 0,
            group: PurgeGroup(0),
            time_left: allow,
            size_kb: Some(work * PACE / 1000.0),
            write: false,
        }));
    }

    /// A millisecond: links are shared by what they send.
    fn step(&mut self) {
        self.now += STEP;
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at as f64 / 1000.0 > self.now {
                break;
            }
            self.timers.pop();
            self.tell(Event::Timer { token: Token(token) });
        }
        for (id, attempt) in std::mem::take(&mut self.full) {
            self.reply(id, attempt, Outcome::Full, STEP);
        }
        let mut ended = Vec::new();
        for sending in self.caches.values_mut() {
            let pace = (LINK / sending.len().max(1) as f64).min(1.0);
            let asked = &self.asked;
            sending.retain_mut(|s| {
                s.left -= STEP * pace;
                let late = asked.get(&s.id).is_none_or(|a| self.now > a.deadline);
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

/// A day at so much of what all links bear; in its middle third two caches are lost or not.
fn day(classes: &[Kind; 2], load: f64, loses: bool, seed: u64, sheds_over: Option<Ms>) -> Sizes {
    let mut world = World::new(classes, seed, sheds_over);
    let mut chance = Chance(seed);
    let mean: Ms = classes.iter().map(|k| k.0 * k.1).sum();
    let every = mean / (load * CACHES as f64 * LINK);
    let (mut next, mut id) = (0.0, 0);
    while world.now < DAY {
        while next <= world.now {
            let class = u16::from(chance.unit() > classes[0].0);
            let Kind(_, mean, sigma, _, _, allow) = classes[usize::from(class)];
            let work = chance.work(mean, sigma).min(allow);
            id += 1;
            let object = (chance.unit() * 1e9) as u64;
            world.ask(id, class, work, allow, object);
            next -= every * chance.unit().ln();
        }
        if loses && [DAY / 3.0, DAY / 1.5].contains(&world.now) {
            let back = world.now > DAY / 2.0;
            let availability = if back { Availability::Ready } else { Availability::Gone };
            let listing = |n: u64| Listing {
                member: MemberId(n),
                weight: LINK,
                zone: ZoneId(0),
                kind: KindId(0),
                cell: CellId(0),
                started_at: None,
                availability,
            };
            world.tell(Event::List { update: ListUpdate::Delta, entries: (0..2).map(listing).collect() });
        }
        world.step();
    }
    let mut sizes = Sizes::default();
    // What was asked last has not had its time.
    let over = |a: &&Asked| a.deadline < DAY;
    for asked in world.asked.values().filter(over) {
        sizes.see(asked.class, asked.work, asked.answered == Some(true));
    }
    sizes
}

#[test]
fn large_requests_are_answered_as_the_others_are() {
    for (customer, classes) in CUSTOMERS.iter().enumerate() {
        for (load, loses, part) in [
            (0.9, false, QUIET),
            (1.2, false, ROUGH),
            (1.7, false, ROUGH),
            (2.5, false, ROUGH),
            (0.9, true, ROUGH),
        ] {
            for seed in 1..=2 {
                let sizes = day(classes, load, loses, seed, None);
                let shares = sizes.shares();
                eprintln!("customer {customer} load {load} loses {loses} seed {seed}: {shares:.3?}");
                assert!(sizes.short(part).is_empty(), "{:?}", sizes.short(part));
                if load > 1.5 {
                    assert!(shares.values().any(|s| s[0] < 0.9), "nothing had to be refused: {shares:?}");
                }
            }
        }
    }
}

/// A front that sheds what takes long to send is found, and one that sheds a little of it is not.
#[test]
fn a_front_that_sheds_large_requests_is_found() {
    let classes = &CUSTOMERS[0];
    let short = day(classes, 0.9, false, 1, Some(800.0)).short(QUIET);
    assert!(short.iter().any(|s| s.class == 0 && s.from == 0.0), "{short:?}");
    let short = day(classes, 0.9, false, 1, Some(500.0)).short(ROUGH);
    assert!(short.iter().any(|s| s.class == 0 && s.from > 0.0), "the next fifth as well: {short:?}");
    assert!(day(classes, 0.9, false, 1, Some(4900.0)).short(QUIET).is_empty());
}

/// The figures, by hand.
#[test]
fn shares_are_counted_largest_first() {
    let mut sizes = Sizes::default();
    for n in 0..1000 {
        // Of the largest tenth 60 of 100, of the next fifth 120 of 200, of the rest all.
        sizes.see(7, f64::from(n), n < 700 || n % 10 < 6);
    }
    assert_eq!(sizes.shares()[&7], [0.88, 0.6, 0.6]);
    assert_eq!(sizes.short(0.69).len(), 2);
    assert_eq!(sizes.short(0.68), []);
    // Few requests: the largest quarter.
    let mut few = Sizes::default();
    (0..100).for_each(|n| few.see(1, f64::from(n), n < 75));
    assert_eq!(few.short(0.5).len(), 1);
    assert_eq!((few.short(0.5)[0].to, few.short(0.5)[0].answered), (0.25, 0.0));
}

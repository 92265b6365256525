//! A small front for tests: one router and a clock.
#![allow(dead_code)]

use elmtide::*;

pub const ZONE: ZoneId = ZoneId(7);
pub const PARENT: KindId = KindId(1);
pub const ORIGIN: KindId = KindId(2);

pub fn class_settings(repeat: Repeat) -> ClassSettings {
    ClassSettings {
        target_latency: 300.0,
        target_stretch: Some(2.0),
        deadline: 3000.0,
        repeat,
        ..ClassSettings::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        zone: ZONE,
        classes: vec![class_settings(Repeat::Safe)],
        fronts: Some(2),
        zone_fronts: vec![0, 0, 0, 0, 0, 0, 0, 1],
        parent_kind: Some(PARENT),
        origin_kind: Some(ORIGIN),
        weights: WeightMeaning::Nominal,
        transfer_kb_per_s: Some(1000.0),
        joins: true,
        siblings: Siblings::Location,
        max_attempts: Some(6),
        second_copies: true,
        cancel: true,
        retry_after: true,
        max_retry_after: Some(500.0),
        drain_grace: Some(500.0),
        overload_factor: Some(3.0),
        overload_window: Some(2000.0),
        cold_fraction: Some(0.2),
        cold_duration: Some(18_000.0),
        parent_overload_factor: Some(2.0),
        parent_cold_fraction: Some(0.1),
        parent_cold_duration: Some(20_000.0),
        purge_duration: Some(6000.0),
        ..Settings::default()
    }
}

pub fn cache(id: u64) -> Listing {
    Listing {
        member: MemberId(id),
        weight: 10.0,
        zone: ZONE,
        kind: KindId(0),
        cell: CellId(id as u16 % 2),
        started_at: None,
        availability: Availability::Ready,
    }
}

pub fn parent(id: u64) -> Listing {
    Listing { kind: PARENT, zone: ZoneId(0), ..cache(id) }
}

pub fn origin(id: u64) -> Listing {
    Listing { kind: ORIGIN, zone: ZoneId(0), ..cache(id) }
}

/// Caches 1 to 4, parents 101 and 102 and origin 201.
pub fn member_list() -> Vec<Listing> {
    (1..5).map(cache).chain([parent(101), parent(102), origin(201)]).collect()
}

pub fn request(id: u32, object: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        object: ObjectId(object),
        part: 0,
        group: PurgeGroup(3),
        time_left: 3000.0,
        size_kb: Some(100.0),
        write: false,
    }
}

pub struct TestFront {
    pub router: Router,
    pub now: Ms,
}

impl TestFront {
    pub fn new(settings: Settings, list: Vec<Listing>) -> TestFront {
        let mut front = TestFront { router: Router::new(settings, 1, 0.0, &mut Vec::new()), now: 100_000.0 };
        front.handle(Event::List { update: ListUpdate::Cached, entries: list });
        front
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    pub fn request(&mut self, id: u32, object: u64) -> Vec<Action> {
        self.handle(Event::Request(request(id, object)))
    }

    pub fn reply(&mut self, id: u32, attempt: u8, outcome: Outcome) -> Vec<Action> {
        let (id, attempt, settled) = (RequestId(id), Try(attempt), outcome == Outcome::Ok);
        self.handle(Event::Reply { id, attempt, outcome, latency: 150.0, settled, note: Note::Absent })
    }
}

/// What an [`Action::Serve`] sends.
pub struct SentAttempt {
    pub cache: MemberId,
    pub source: MemberId,
    pub max_age: Option<Ms>,
    pub mode: FillMode,
    pub timeout: Ms,
}

/// The first attempt among the actions.
pub fn first_attempt(actions: &[Action]) -> Option<SentAttempt> {
    actions.iter().find_map(|a| match a {
        Action::Serve { cache, source, max_age, mode, timeout, .. } => Some(SentAttempt {
            cache: *cache,
            source: *source,
            max_age: *max_age,
            mode: *mode,
            timeout: *timeout,
        }),
        _ => None,
    })
}

/// Number of final answers among the actions.
pub fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count()
}

/// A small generator, so that a seed gives the same run on every machine.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

//! Routers of one process that replace one another, over drawn replacements in simulated time: together they send a cold
//! server no more than one router would.

mod common;

use common::*;
use elmtide::*;

const WINDOW_MS: Ms = 2000.0;
const SERVER_STARTED_AT: Ms = 100_000.0;
/// The work of each request of `common::request`.
const WORK_MS: Ms = 100.0;
const SEEDS: u64 = 60;
const STEP_MS: Ms = 0.5;
const STEPS: u32 = 14_000;

/// The process: the router that takes requests is the last.
struct Process {
    routers: Vec<Router>,
    started_at: Ms,
    sent: Vec<Ms>,
    /// Requests without an answer, with the router and the attempt.
    open: Vec<(usize, RequestId, Try)>,
    /// Off to show that the check finds routers that are not told what others have sent.
    hands_over: bool,
}

impl Process {
    fn new(now: Ms, hands_over: bool) -> Process {
        let (routers, sent, open) = (Vec::new(), Vec::new(), Vec::new());
        let mut process = Process { routers, started_at: now, sent, open, hands_over };
        process.replace_router(now);
        process
    }

    fn replace_router(&mut self, now: Ms) {
        let mut histories = ServerHistories::new(self.started_at);
        if self.hands_over {
            self.routers.iter().for_each(|router| histories.merge(router.server_histories()));
        }
        let mut router = Router::new(settings(), 1, now, &mut Vec::new());
        router.adopt_histories(&histories, now);
        self.routers.iter_mut().for_each(|router| router.divide_among_processes(f64::INFINITY));
        let cold = Listing { weight: 100.0, started_at: Some(SERVER_STARTED_AT), ..cache(1) };
        let list = Event::List { update: ListUpdate::Full, entries: vec![cold, origin(201)] };
        router.handle(now, list, &mut Vec::new());
        self.routers.push(router);
    }

    fn carry_out(&mut self, router: usize, now: Ms, actions: &[Action]) {
        for action in actions {
            let Action::Serve { id, .. } = action else { continue };
            self.sent.push(now);
            let attempt = self.open.iter().filter(|(_, open, _)| open == id).count() as u8;
            self.open.push((router, *id, Try(attempt)));
        }
    }

    fn request(&mut self, id: u32, now: Ms) {
        let (router, mut out) = (self.routers.len() - 1, Vec::new());
        let request = Request { time_left: 1e6, ..request(id, u64::from(id)) };
        self.routers[router].handle(now, Event::Request(request), &mut out);
        self.carry_out(router, now, &out);
    }

    /// Ends a drawn attempt: answered, or with a connection that failed, so that its router may try again.
    fn end_attempt(&mut self, random: &mut Random, now: Ms) {
        if self.open.is_empty() {
            return;
        }
        let (router, id, attempt) = self.open.remove(random.next(self.open.len() as u64) as usize);
        let outcome = if random.next(5) == 0 { Outcome::ConnectFailed } else { Outcome::Ok };
        let (latency, settled, note) = (WORK_MS, outcome == Outcome::Ok, Note::Hit);
        let mut out = Vec::new();
        let reply = Event::Reply { id, attempt, outcome, latency, settled, note };
        self.routers[router].handle(now, reply, &mut out);
        self.carry_out(router, now, &out);
    }
}

/// The times at which the cold server was sent a request.
fn play(seed: u64, hands_over: bool) -> Vec<Ms> {
    let mut random = Random(seed);
    let mut process = Process::new(SERVER_STARTED_AT - 10_000.0, hands_over);
    let mut next_replacement = SERVER_STARTED_AT + random.next(3000) as f64;
    for step in 0..STEPS {
        let now = SERVER_STARTED_AT + f64::from(step) * STEP_MS;
        if now >= next_replacement {
            process.replace_router(now);
            next_replacement = now + random.next(4000) as f64;
        }
        process.request(step, now);
        (0..random.next(4)).for_each(|_| process.end_attempt(&mut random, now));
    }
    process.sent
}

/// What the cold server may get of the front in a window that ends now.
fn allowed(now: Ms) -> f64 {
    let warm = ((now - SERVER_STARTED_AT) / 18_000.0).clamp(0.0, 1.0);
    (0.2 + 0.8 * warm) * 100.0 * 3.0 * WINDOW_MS / WORK_MS
}

/// The largest part of what is allowed that a window of the run had.
fn fullest_window(sent: &[Ms]) -> f64 {
    let mut first = 0;
    let mut fullest: f64 = 0.0;
    for (last, end) in sent.iter().enumerate() {
        while sent[first] < end - WINDOW_MS {
            first += 1;
        }
        fullest = fullest.max((last - first + 1) as f64 / allowed(*end));
    }
    fullest
}

/// Guards against each router of a process using the whole budget of a cold server anew.
#[test]
fn routers_that_replace_one_another_stay_within_the_cold_budget() {
    for seed in 0..SEEDS {
        let sent = play(seed, true);
        let fullest = fullest_window(&sent);
        assert!(fullest <= 1.0, "seed {seed}: {fullest} of what is allowed");
        assert!(sent.len() > 500, "seed {seed}: {} requests were sent", sent.len());
    }
}

#[test]
fn routers_that_are_not_told_what_others_have_sent_are_found() {
    let found = (0..SEEDS).filter(|seed| fullest_window(&play(*seed, false)) > 1.0).count();
    assert!(found > 0, "no breach in {SEEDS} seeds");
}

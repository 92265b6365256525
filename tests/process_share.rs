//! Cold budgets of a front whose process is replaced: in simulated time, over drawn upgrades.

mod common;

use common::*;
use elmtide::*;

const WINDOW_MS: Ms = 2000.0;
const NODE_STARTED_AT: Ms = 100_000.0;
/// The work of each request of `common::request`.
const WORK_MS: Ms = 100.0;
const SEEDS: u64 = 300;

/// A process of the front: it runs from its registration to its end, and may be stopped in between.
struct Process {
    router: Router,
    share: ProcessShare,
    registered_at: Ms,
    ends_at: Ms,
    stopped: std::ops::Range<Ms>,
}

impl Process {
    fn start(now: Ms, random: &mut Random) -> Process {
        let mut router = Router::new(settings(), random.next(1000), now, &mut Vec::new());
        let cold = Listing { weight: 100.0, started_at: Some(NODE_STARTED_AT), ..cache(1) };
        let list = Event::List { update: ListUpdate::Cached, entries: vec![cold, origin(201)] };
        router.handle(now, list, &mut Vec::new());
        let stopped_from = now + random.next(20_000) as f64;
        let stopped = stopped_from..stopped_from + random.next(3) as f64 * random.next(3000) as f64;
        Process { router, share: ProcessShare::new(now), registered_at: now, ends_at: f64::INFINITY, stopped }
    }

    fn runs(&self, now: Ms) -> bool {
        (self.registered_at..self.ends_at).contains(&now) && !self.stopped.contains(&now)
    }

    fn is_registered(&self, now: Ms) -> bool {
        (self.registered_at..self.ends_at).contains(&now)
    }

    /// Whether a request is sent to the cold node now.
    fn sends(&mut self, now: Ms, id: u32) -> bool {
        self.router.divide_among_processes(self.share.divisor(now, WINDOW_MS));
        let mut out = Vec::new();
        let request = Request { time_left: 1e6, ..request(id, u64::from(id)) };
        self.router.handle(now, Event::Request(request), &mut out);
        let sent = first_attempt(&out).is_some();
        if sent {
            let reply = Event::Reply {
                id: RequestId(id),
                attempt: Try(0),
                outcome: Outcome::Ok,
                latency: WORK_MS,
                settled: true,
                note: Note::Hit,
            };
            self.router.handle(now, reply, &mut out);
        }
        sent
    }
}

/// What the cold node may get of the front in a window that ends now; a fifth of it is left for chance.
fn allowed(now: Ms) -> f64 {
    let warm = ((now - NODE_STARTED_AT) / 18_000.0).clamp(0.0, 1.0);
    (0.2 + 0.8 * warm) * 100.0 * 3.0 * WINDOW_MS / WORK_MS * 0.6
}

/// The times at which the cold node was sent a request, and the most processes that ran at a time.
struct Played {
    sent: Vec<Ms>,
    most_processes: u32,
}

/// Plays upgrades one after the other. `watches` is off to show that the check finds processes that know nothing of one
/// another.
fn play(seed: u64, watches: bool) -> Played {
    let mut random = Random(seed);
    let mut processes = vec![Process::start(NODE_STARTED_AT - 10_000.0, &mut random)];
    let mut played = Played { sent: Vec::new(), most_processes: 0 };
    let mut next_start = NODE_STARTED_AT + random.next(6000) as f64;
    let mut id = 0;
    for step in 0..17_000 {
        let now = NODE_STARTED_AT - 10_000.0 + f64::from(step) * 1.5;
        if now >= next_start {
            processes.push(Process::start(now, &mut random));
            let last = processes.len() - 1;
            // The old one is ended within 6 s of the new one's yes, or killed before; its drain takes up to 4 s.
            processes[last - 1].ends_at = now + random.next(10_000) as f64;
            next_start = now + 1000.0 + random.next(12_000) as f64;
        }
        let registered = processes.iter().filter(|p| p.is_registered(now)).count() as u32;
        played.most_processes = played.most_processes.max(registered);
        // An observation comes at any interval, and is as old as its way to the engine took.
        let is_observed = random.next(20) == 0;
        for process in processes.iter_mut().filter(|p| p.runs(now)) {
            let window = WINDOW_MS;
            match watches {
                true if is_observed => process.share.observe(now, Some(registered), window),
                true => {}
                false => process.share.observe(now, Some(1), window),
            }
            id += 1;
            if process.sends(now, id) {
                played.sent.push(now);
            }
        }
    }
    played
}

/// How far the fullest window of a run exceeds what is allowed. A process may round a fraction of a request up.
fn worst_excess(Played { sent, most_processes }: &Played) -> f64 {
    let mut first = 0;
    let mut worst = f64::NEG_INFINITY;
    for (last, end) in sent.iter().enumerate() {
        while sent[first] < end - WINDOW_MS {
            first += 1;
        }
        worst = worst.max((last - first + 1) as f64 - allowed(*end) - f64::from(*most_processes));
    }
    worst
}

/// Guards against the processes of an upgrade using the whole of a cold budget each.
#[test]
fn processes_of_a_front_together_stay_within_its_cold_budget() {
    for seed in 0..SEEDS {
        let played = play(seed, true);
        let (excess, sent) = (worst_excess(&played), &played.sent);
        assert!(excess <= 0.0, "seed {seed}: a window exceeds the budget by {excess:.1} requests");
        assert!(sent.len() > 100, "seed {seed}: the budget is hardly used: {} requests", sent.len());
    }
}

#[test]
fn processes_that_know_nothing_of_one_another_are_found() {
    let seeds = 0..SEEDS / 10;
    let found = seeds.clone().filter(|seed| worst_excess(&play(*seed, false)) > 0.0).count();
    assert!(found as u64 > seeds.end / 2, "found in {found} of {} runs", seeds.end);
}

#[test]
fn an_expired_observation_counts_as_another_process() {
    let mut share = ProcessShare::new(0.0);
    for at in (0..6000).step_by(50) {
        share.observe(f64::from(at), Some(1), WINDOW_MS);
    }
    assert_eq!(share.divisor(6000.0, WINDOW_MS), 1.0);
    assert_eq!(share.divisor(6000.0 + MAX_OBSERVATION_AGE_MS, WINDOW_MS), 2.0);
}

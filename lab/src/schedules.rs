//! Many seeded schedules of faults in simulated time: what the checkers found, and how near it came.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::Instant;

use elmtide_budgets::{BudgetId, BudgetKind};
use elmtide_model::schedule::run_site_faults;
use elmtide_model::schedule::{run_budget_faults, run_maintenance_faults, FaultMode};
use elmtide_model::{Report, Setup, StoreFate, World};

const KEY: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };

#[derive(Default)]
struct Sum {
    broken: Vec<(u64, Vec<String>)>,
    largest: f64,
    closest: f64,
    datagrams: u64,
    leaders: u64,
    tried: u64,
    served: u64,
}

impl Sum {
    fn add(&mut self, report: Report) {
        self.largest = self.largest.max(report.peak_quota_sum);
        self.closest = report.peak_window_use.values().copied().fold(self.closest, f64::max);
        self.datagrams += report.datagrams;
        self.leaders += report.leaders;
        self.tried += report.requests_attempted;
        self.served += report.requests_served;
        if !report.violations.is_empty() {
            self.broken.push((report.seed, report.violations));
        }
    }
}

/// What is played while faults come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum While {
    Budgets,
    Work,
    Sites,
}

pub fn run(count: u64, seed: u64, steps: usize, breach: bool, during: While) -> Result<(), String> {
    let play = |seed: u64, steps: usize, rough: FaultMode| match during {
        While::Budgets => run_budget_faults(seed, steps, rough),
        While::Work => run_maintenance_faults(seed, steps, rough),
        While::Sites => run_site_faults(seed, steps),
    };
    let rough = if breach { FaultMode::LeaseViolation } else { FaultMode::Tolerated };
    let next = AtomicU64::new(seed);
    let sum = Mutex::new(Sum::default());
    let began = Instant::now();
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get());
    let last = seed + count;
    let done = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads)
            .map(|_| {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Relaxed);
                    if seed >= last {
                        return;
                    }
                    let played = std::panic::catch_unwind(|| play(seed, steps, rough));
                    let report = played.unwrap_or_else(|_| Report {
                        seed,
                        violations: vec!["a panic".into()],
                        ..Report::default()
                    });
                    sum.lock().unwrap_or_else(|p| p.into_inner()).add(report);
                })
            })
            .collect();
        threads.into_iter().all(|t| t.join().is_ok())
    });
    if !done {
        return Err("a thread panicked".into());
    }
    let sum = sum.into_inner().unwrap_or_else(|p| p.into_inner());
    println!("| what | figure |\n| --- | --- |");
    println!("| schedules, faults each | {count}, {steps} |");
    println!("| broken | {} |", sum.broken.len());
    println!("| largest sum of parts in force, of the whole | {:.4} |", sum.largest);
    println!("| fullest window, of what it may hold | {:.4} |", sum.closest);
    println!("| leaders | {} |", sum.leaders);
    println!("| datagrams | {} |", sum.datagrams);
    println!("| wants served | {:.1} % |", 100.0 * sum.served as f64 / sum.tried.max(1) as f64);
    println!("| seconds | {:.1} |", began.elapsed().as_secs_f64());
    for (seed, over) in sum.broken.iter().take(5) {
        let flag = match during {
            While::Budgets => "",
            While::Work => " --work",
            While::Sites => " --sites",
        };
        println!("\nseed {seed}: elmtide-lab schedules --count 1 --seed {seed} --steps {steps}{flag}");
        over.iter().take(3).for_each(|line| println!("  {line}"));
    }
    match (sum.broken.is_empty(), breach) {
        (true, false) | (false, true) => Ok(()),
        (true, true) => Err("a breach on purpose was not found".into()),
        (false, false) => Err("the whole was exceeded".into()),
    }
}

const SECOND: u64 = 1_000_000;
/// A budget that is small for many fronts: fetches from the origin in a second.
const FETCHES: f64 = 28.0;

/// So many fronts under even demand, in simulated time.
fn even(fronts: usize, burst: f64, each: f64, seed: u64) -> World {
    let mut setup = Setup::new(fronts, seed);
    for (_, whole) in &mut setup.budgets {
        (whole.rate, whole.burst) = (FETCHES, burst);
    }
    setup.minimums[0].1.unit = (1e6 / burst).ceil() as u32;
    setup.minimums[0].1.set_aside = 100_000;
    let mut world = World::new(setup);
    (0..fronts).for_each(|front| world.set_demand(front, KEY, each));
    world.run(30 * SECOND);
    world
}

/// Part of the whole that is used, over so many seconds.
fn used(world: &mut World, seconds: u64) -> f64 {
    let before = world.spent(KEY);
    world.run(seconds * SECOND);
    (world.spent(KEY) - before) / seconds as f64 / FETCHES
}

/// What a fleet costs under even demand, how much of a small budget it uses, and how soon the part of those that vanish is used
/// again, by its size.
pub fn cost(seed: u64) -> Result<(), String> {
    println!("| fronts | datagrams a second and front | bytes a second and front | syncs a second, all | the leader's datagrams a second |");
    println!("| --- | --- | --- | --- | --- |");
    let mut rows = Vec::new();
    for fronts in [5usize, 50, 300] {
        let mut world = even(fronts, FETCHES, 1.0, seed);
        let before = world.report();
        let leader = world.leader().ok_or("no leader")?;
        let sent = world.member(leader).map_or(0, |m| m.traffic().datagrams);
        let small = used(&mut world, 40);
        let after = world.report();
        let per = |a: u64, b: u64| (b - a) as f64 / 40.0;
        let led =
            world.member(leader).map_or(0, |m| m.traffic().datagrams).saturating_sub(sent) as f64 / 40.0;
        println!(
            "| {fronts} | {:.1} | {:.0} | {:.1} | {led:.0} |",
            per(before.datagrams, after.datagrams) / fronts as f64,
            per(before.bytes, after.bytes) / fronts as f64,
            per(before.syncs, after.syncs),
        );
        let crowd = used(&mut even(fronts, FETCHES, 10.0, seed), 40);
        let large = used(&mut even(fronts, 10.0 * FETCHES, 1.0, seed), 40);
        // A third of the fronts is gone at once, no voter among them.
        let first = world.voters();
        (first..fronts).take(fronts / 3).for_each(|front| world.kill(front, StoreFate::Kept));
        let began = world.now;
        let mut again = None;
        while world.now < began + 60 * SECOND && again.is_none() {
            again = (used(&mut world, 1) >= 0.8 * small).then(|| (world.now - began) / SECOND);
        }
        let over = world.report().violations;
        if !over.is_empty() {
            return Err(format!("{fronts} fronts: {}", over[0]));
        }
        rows.push((fronts, small, crowd, large, again));
    }
    println!("\nUsed of 28 a second, wanted by each front:\n");
    println!("| fronts | 1 a second, burst 28 | 10 a second, burst 28 | 1 a second, burst 280 | a third gone: 0.8 of it used after |");
    println!("| --- | --- | --- | --- | --- |");
    for (fronts, small, crowd, large, again) in rows {
        let again = again.map_or("not within a minute".into(), |s| format!("{s} s"));
        println!("| {fronts} | {small:.2} | {crowd:.2} | {large:.2} | {again} |");
    }
    Ok(())
}

//! Fronts that share a budget, with stand-ins and links around them: a play of faults with the rules checked, and how much of the whole is
//! used beside a fixed division and one that knows all at once.

use std::path::Path;
use std::time::{Duration, Instant};

use elmtide_rules::spends::SpendLimit;
use elmtide_standins::bus::listed;
use elmtide_standins::fleet::{cold_settings, Fleet, Plan};
use elmtide_standins::links::Way;
use elmtide_standins::node::Behaviour;
use elmtide_standins::till::{Asks, Load};

const RETRIES: &str = "retries";
const RATE: f64 = 60.0;
const BURST: f64 = 60.0;

fn wait(span: Duration) {
    std::thread::sleep(span);
}

/// What was spent of the whole.
struct Used {
    /// Parts of the whole a second.
    part: f64,
    closest: f64,
    /// How long a front took to have most of the whole once it wanted it.
    adapts: Option<Duration>,
}

/// How the whole is divided in a run.
#[derive(Clone, Copy, PartialEq)]
enum Division {
    /// All of it is floors: each front has 1/N for ever.
    Fixed,
    Shared,
    /// Each has more than it can want: what is spent is what is wanted.
    Endless,
}

/// Requests a second of each front, each of which wants one further attempt on average: the first has half of all.
fn demands(fronts: usize) -> Vec<f64> {
    let all = RATE * 1.1;
    let rest = all / 2.0 / (fronts as f64 - 1.0);
    (0..fronts).map(|f| if f == 0 { all / 2.0 } else { rest }).collect()
}

fn measure(
    program: &Path,
    fronts: usize,
    (division, way): (Division, Way),
    seconds: u64,
    seed: u64,
) -> Result<Used, String> {
    let (scale, floor) = match division {
        Division::Fixed => (1.0, 1.0),
        Division::Shared => (1.0, 0.1),
        Division::Endless => (50.0, 1.0),
    };
    let (rate, burst) = (RATE * scale, BURST * scale);
    let budgets = format!(
        "[[budget]]\nkind = \"{RETRIES}\"\nrate = {rate:.1}\nburst = {burst:.1}\nfloor = {floor:.1}\n"
    );
    let plan = Plan { budgets, tick_ms: 50.0, lease_ms: 2000.0, nodes: 4, ..Plan::new(fronts, seed) };
    let fleet = Fleet::start(program, plan)?;
    for node in &fleet.nodes {
        node.set(Behaviour { shed: 0.5, ..Behaviour::default() });
    }
    fleet.links.set_all(way);
    fleet.leader()?;
    let start = |front: usize, rate: f64, turn: u64| -> Result<Load, String> {
        Ok(Load::start(fleet.front(front).listen()?, "small-files", rate, 8, (front as u64 + turn) << 48))
    };
    let mut loads = Vec::new();
    for (front, rate) in demands(fronts).iter().enumerate() {
        loads.push(start(front, *rate, 1)?);
    }
    wait(Duration::from_secs(5));
    let spent = || fleet.records().map(|r| r.len() as f64);
    let (before, began) = (spent()?, Instant::now());
    wait(Duration::from_secs(seconds));
    let part = (spent()? - before) / began.elapsed().as_secs_f64() / RATE;
    for load in loads {
        load.stop();
    }
    let mut adapts = None;
    if division == Division::Shared {
        // All that is wanted is wanted by the second front now.
        let moved = Instant::now();
        let load = start(1, RATE * 1.2, 20)?;
        while moved.elapsed() < Duration::from_secs(15) && adapts.is_none() {
            adapts = (fleet.part(1, RETRIES).0 > 0.5).then(|| moved.elapsed());
            wait(Duration::from_millis(20));
        }
        load.stop();
    }
    let checked = fleet.check(RETRIES, SpendLimit { rate: rate * 1.001, burst: burst + 0.5 })?;
    Ok(Used { part, closest: checked.closest, adapts })
}

pub fn worth(program: &Path, fronts: Option<usize>, seconds: u64, seed: u64) -> Result<(), String> {
    println!("One front has half of the demand. 'Wanted' is what is spent where there is more than enough; an oracle that knows all at");
    println!("once spends the lesser of that and the whole. Seed {seed}.\n");
    println!("| fronts | links | wanted | fixed 1/N | shared | of the oracle | fullest window | follows a step in |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let delay = (Duration::from_millis(50), Duration::from_millis(50));
    let bad = Way { loss: 0.1, delay, ..Way::default() };
    for fronts in fronts.map_or(vec![3, 5, 7], |n| vec![n]) {
        let one = |division, way| measure(program, fronts, (division, way), seconds, seed);
        let wanted = one(Division::Endless, Way::default())?.part;
        let fixed = one(Division::Fixed, Way::default())?.part;
        for (name, way) in [("calm", Way::default()), ("10% loss, 50 ms", bad)] {
            let used = one(Division::Shared, way)?;
            let step = used.adapts.map_or("over 15 s".into(), |took| format!("{:.1} s", took.as_secs_f64()));
            println!(
                "| {fronts} | {name} | {wanted:.2} | {fixed:.2} | {:.2} | {:.2} | {:.2} | {step} |",
                used.part,
                used.part / wanted.min(1.0),
                used.closest,
            );
        }
    }
    Ok(())
}

/// Fetches a second that the origin bears.
const ORIGIN: f64 = 40.0;

struct Stormed {
    asked: u64,
    served: u64,
    worst: u64,
    fetches: u64,
    turned_away: usize,
}

/// A cold box, a storm of further attempts and a crowd at the origin, one after the other.
fn storm(program: &Path, shares: bool, seed: u64) -> Result<Stormed, String> {
    let budgets = format!(
        "[[budget]]\nkind = \"retries\"\nrate = {RATE:.1}\nburst = {BURST:.1}\nfloor = 0.1\n\
         [[budget]]\nkind = \"cold-cache\"\nfloor = 0.1\n\
         [[budget]]\nkind = \"origin\"\nrate = {ORIGIN:.1}\nburst = 20.0\nfloor = 0.15\n"
    );
    let settings = Some(cold_settings(8000));
    let plan =
        Plan { budgets, settings, shares, nodes: 4, tick_ms: 50.0, lease_ms: 2000.0, ..Plan::new(3, seed) };
    let fleet = Fleet::start(program, plan)?;
    *fleet.origin.rate.lock().map_err(|e| e.to_string())? = ORIGIN;
    let delay = Duration::from_millis(5);
    let usual = Behaviour { honest: true, delay, slots: 8, queue: 16, ..Behaviour::default() };
    fleet.nodes.iter().for_each(|n| n.set(usual));
    if shares {
        fleet.leader()?;
    }
    // One front has seven tenths of the clients.
    let rates = [140.0, 30.0, 30.0];
    let known = Asks { items: Some(64), size_kb: 390, ..Asks::default() };
    let mut loads = Vec::new();
    for (front, rate) in rates.iter().enumerate() {
        loads.push(Load::of(fleet.front(front).listen()?, known, *rate, 16, (front as u64 + 1) << 48));
    }
    let mut crowd: Vec<Load> = Vec::new();
    wait(Duration::from_secs(4));
    let total = |loads: &[Load], crowd: &[Load]| -> u64 {
        let all = loads.iter().chain(crowd);
        all.map(|l| l.counts.served.load(std::sync::atomic::Ordering::Relaxed)).sum()
    };
    let mut seconds: Vec<u64> = Vec::new();
    let mut last = total(&loads, &crowd);
    let (began, first) = (Instant::now(), last);
    let cold = &fleet.nodes[0];
    for second in 0..28u64 {
        match second {
            // The box is back from a start, and a list says so.
            1 => {
                cold.start_again();
                cold.set(Behaviour { cold: Some((0.1, Duration::from_secs(8))), ..usual });
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let now = now.map_or(0.0, |d| d.as_secs_f64() * 1000.0);
                let mut entry = listed(&cold.name, cold.at, "edge-1", "small", "active");
                entry["started_ms"] = serde_json::json!(now);
                fleet.bus.list(false, &[entry]);
            }
            10 => fleet.nodes.iter().for_each(|n| n.set(Behaviour { shed: 0.6, ..usual })),
            16 => {
                fleet.nodes.iter().for_each(|n| n.set(usual));
                let misses = Asks { items: None, ..known };
                for (front, rate) in rates.iter().enumerate() {
                    let at = fleet.front(front).listen()?;
                    crowd.push(Load::of(at, misses, rate * 0.6, 32, (front as u64 + 11) << 48));
                }
            }
            24 => crowd.iter().for_each(|l| l.pause()),
            _ => {}
        }
        wait((Duration::from_secs(second + 1)).saturating_sub(began.elapsed()));
        let now = total(&loads, &crowd);
        seconds.push(now - last);
        last = now;
    }
    let worst = seconds.windows(10).map(|w| w.iter().sum()).min().unwrap_or(0);
    let turned_away = cold.turned_away();
    let mut asked = 0;
    for load in loads.into_iter().chain(crowd) {
        asked += load.stop().asked.load(std::sync::atomic::Ordering::Relaxed);
    }
    let fetches = fleet.origin.fills.load(std::sync::atomic::Ordering::Relaxed);
    if shares {
        fleet.check(RETRIES, SpendLimit { rate: RATE * 1.001, burst: BURST + 0.5 })?;
        fleet.check("origin", SpendLimit { rate: ORIGIN * 1.001, burst: 20.5 })?;
    }
    Ok(Stormed { asked, served: last - first, worst, fetches, turned_away })
}

pub fn storms(program: &Path, seeds: std::ops::Range<u64>) -> Result<(), String> {
    println!("A box back and cold, a storm of further attempts, a crowd at an origin that bears {ORIGIN} fetches a second; one front has");
    println!("seven tenths of the clients. 28 seconds each.\n");
    println!("| seed | division | asked | served | worst 10 s | fetches from the origin | turned away by the cold box |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for seed in seeds {
        for (name, shares) in [("fixed 1/N", false), ("shared", true)] {
            let s = storm(program, shares, seed)?;
            println!(
                "| {seed} | {name} | {} | {} | {} | {} | {} |",
                s.asked, s.served, s.worst, s.fetches, s.turned_away
            );
        }
    }
    Ok(())
}

/// A play of faults under load; every rule is checked at the end.
pub fn play(program: &Path, fronts: usize, seed: u64) -> Result<(), String> {
    if !(3..=7).contains(&fronts) {
        return Err("three to seven fronts are played with".into());
    }
    let again = format!("elmtide-lab fleet --fronts {fronts} --seed {seed}");
    println!("{fronts} fronts, 3 cache nodes, links between all; seed {seed}. Again: {again}\n");
    let mut fleet = Fleet::start(program, Plan::new(fronts, seed))?;
    for node in &fleet.nodes {
        node.set(Behaviour { shed: 0.7, ..Behaviour::default() });
    }
    let mut loads = Vec::new();
    for front in 0..fronts {
        loads.push(Load::start(
            fleet.front(front).listen()?,
            "small-files",
            30.0,
            4,
            (front as u64 + 1) << 48,
        ));
    }
    let all: Vec<usize> = (0..fronts).collect();
    let mut rows = vec![("divided among all", fleet.wait_shares(&all, RETRIES, 0.7)?)];
    // What came first has gone to who asked first: the leader is killed once it has its part.
    wait(Duration::from_secs(3));
    let leader = fleet.leader()?;
    let rest: Vec<usize> = all.iter().copied().filter(|f| *f != leader).collect();
    fleet.wait_shares(&[leader], RETRIES, 0.8 / fronts as f64 / 2.0)?;
    fleet.kill(leader);
    rows.push(("leader killed: the rest have its part", fleet.wait_shares(&rest, RETRIES, 0.75)?));
    fleet.start_front(leader)?;
    loads.push(Load::start(fleet.front(leader).listen()?, "small-files", 30.0, 4, 99 << 48));
    rows.push((
        "it comes back: its share",
        fleet.wait_shares(&[leader], RETRIES, 0.8 / fronts as f64 / 2.0)?,
    ));
    let leader = fleet.leader()?;
    let rest: Vec<usize> = all.iter().copied().filter(|f| *f != leader).collect();
    let used = || all.iter().map(|f| fleet.front(*f).cpu_s().unwrap_or(0.0) * 1000.0).collect::<Vec<f64>>();
    let before = used();
    wait(Duration::from_secs(4));
    let spent: Vec<f64> = used().iter().zip(&before).map(|(now, then)| (now - then) / 4.0).collect();
    let of_rest = rest.iter().map(|f| spent[*f]).sum::<f64>() / rest.len().max(1) as f64;
    println!(
        "CPU of the leader {:.1} ms a second, of another {:.1} ms, under load, ticks of 20 ms\n",
        spent[leader], of_rest
    );
    fleet.front(leader).signal("STOP")?;
    rows.push(("leader stopped: the rest have its part", fleet.wait_shares(&rest, RETRIES, 0.75)?));
    fleet.front(leader).signal("CONT")?;
    fleet.wait_shares(&[leader], RETRIES, 0.8 / fronts as f64 / 2.0)?;
    let (few, many) = all.split_at(fronts / 2);
    fleet.links.split(&[few, many]);
    rows.push(("split: the larger part has all", fleet.wait_shares(many, RETRIES, 0.75)?));
    fleet.links.heal();
    rows.push(("healed: the others have theirs", fleet.wait_shares(few, RETRIES, 0.1)?));
    let delay = (Duration::ZERO, Duration::from_millis(40));
    fleet.links.set_all(Way { loss: 0.2, double: 0.2, delay, ..Way::default() });
    wait(Duration::from_secs(3));
    fleet.links.heal();
    // One leaves in order; then the whole fleet is started anew.
    let leaver = fronts - 1;
    let stay: Vec<usize> = all[..leaver].to_vec();
    fleet.wait_shares(&all, RETRIES, 0.7)?;
    let began = Instant::now();
    fleet.front(leaver).signal("TERM")?;
    fleet.wait_shares(&stay, RETRIES, 0.75)?;
    rows.push(("one leaves in order: the others have its part", began.elapsed()));
    if !fleet.end(leaver) {
        return Err("a front did not end at SIGTERM".into());
    }
    let mut asked = 0;
    for load in loads.drain(..) {
        asked += load.stop().asked.load(std::sync::atomic::Ordering::Relaxed);
    }
    (0..fronts).for_each(|front| fleet.kill(front));
    let began = Instant::now();
    for front in 0..fronts {
        fleet.start_front(front)?;
        let at = fleet.front(front).listen()?;
        loads.push(Load::start(at, "small-files", 30.0, 4, (front as u64 + 50) << 48));
    }
    fleet.wait_shares(&all, RETRIES, 0.7)?;
    rows.push(("all killed and started: divided", began.elapsed()));
    for load in loads {
        asked += load.stop().asked.load(std::sync::atomic::Ordering::Relaxed);
    }
    let checked = fleet
        .check(RETRIES, SpendLimit { rate: RATE * 1.001, burst: BURST + 0.5 })
        .map_err(|why| format!("{why}\n{again}"))?;
    println!("| step | after |\n| --- | --- |");
    for (what, took) in rows {
        println!("| {what} | {:.2} s |", took.as_secs_f64());
    }
    println!("| requests, further attempts | {asked}, {} |", checked.sum);
    println!("| fullest window, of what it may hold | {:.2} |", checked.closest);
    println!("| windows above rate x t + burst | 0 |");
    Ok(())
}

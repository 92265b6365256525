//! All machines of three locations taken out for work under load: by the fronts, calm and with a fault every few seconds, beside the same time
//! without work, and beside a roller that takes each in turn after fixed pauses and knows nothing of the fronts.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_maintenance::planning::{min_rounds, plan_rounds, Observations};
use elmtide_maintenance::report::{AttemptOutcome, MachineObservation};
use elmtide_maintenance::CoordinatorInput;
use elmtide_maintenance::{
    DisruptionBudget, MachineId, MachineSpec, MaintenanceCommand, MaintenanceCoordinator, MaintenanceReport,
    MaintenanceState,
};
use elmtide_standins::fleet::{cold_settings, Fleet, Plan, NAME};
use elmtide_standins::links::Way;
use elmtide_standins::node::{runs, Behaviour, Node};
use elmtide_standins::till::{Asks, Load};
use elmtide_standins::until;
use serde_json::Value;

/// Boxes of each location, and parents.
const BOXES: [usize; 3] = [4, 3, 3];
const PARENTS: usize = 2;
/// How long a machine is worked on, and how long a cold one takes to be warm.
const WORK: Duration = Duration::from_millis(500);
const WARM: Duration = Duration::from_secs(3);
/// What a naive roller waits before it takes a machine that the bus drains, and after it is back.
const PAUSE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    /// No work at all, for so long.
    None(Duration),
    Fronts {
        faults: bool,
    },
    Roller,
}

#[derive(Debug, Default)]
struct Seen {
    took: Duration,
    asked: u64,
    served: u64,
    unanswered: u64,
    twice: usize,
    /// Requests that came to a machine while it was worked on.
    disturbed: usize,
    /// Two machines of one location away at once.
    over: usize,
    origin: u64,
}

fn tables() -> String {
    let mut text = "[work]\nper_location = 1\nper_hub = 1\nfurther_loss = true\n".to_owned();
    let mut node = 0;
    for (location, count) in BOXES.iter().enumerate() {
        for _ in 0..*count {
            text.push_str(&format!(
                "[[machine]]\nname = \"c-{node}\"\nlocation = \"l-{location}\"\nweight = 4.0\n"
            ));
            node += 1;
        }
    }
    for parent in 0..PARENTS {
        text.push_str(&format!(
            "[[machine]]\nname = \"p-{parent}\"\nkind = \"parent\"\nlocation = \"east\"\nhub = \"east\"\nweight = 100.0\n"
        ));
    }
    text.replace("further_loss = true", "further_loss = false")
}

fn location(name: &str) -> usize {
    let Some(node) = name.strip_prefix("c-").and_then(|n| n.parse::<usize>().ok()) else { return 9 };
    let mut first = 0;
    for (location, count) in BOXES.iter().enumerate() {
        first += count;
        if node < first {
            return location;
        }
    }
    8
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// A machine that is away, since when, and how much it had been asked by then.
struct Away {
    since: Instant,
    asked: usize,
}

struct Site {
    fleet: Fleet,
    away: BTreeMap<String, Away>,
    /// Permits that were taken up: each is once.
    taken: BTreeSet<u64>,
    seen: Seen,
}

impl Site {
    fn node(&self, name: &str) -> Option<&Node> {
        self.fleet.nodes.iter().chain(&self.fleet.parents).find(|n| n.name == name)
    }

    fn take(&mut self, name: &str) {
        let asked = self.node(name).map_or(0, |n| self.reached(n));
        self.away.insert(name.to_owned(), Away { since: Instant::now(), asked });
        let mut at: BTreeMap<usize, usize> = BTreeMap::new();
        self.away.keys().for_each(|n| *at.entry(location(n)).or_default() += 1);
        self.seen.over += at.values().filter(|count| **count > 1).count();
    }

    /// Requests that came to a machine, and fills through it.
    fn reached(&self, node: &Node) -> usize {
        let through =
            |n: &Node| n.seen().iter().filter(|s| s.parent.starts_with(&node.name) && s.missed).count();
        node.asked() + if node.name.starts_with('p') { self.fleet.nodes.iter().map(through).sum() } else { 0 }
    }

    fn bring(&mut self, name: &str) {
        let Some(away) = self.away.remove(name) else { return };
        let Some(node) = self.node(name) else { return };
        let disturbed = self.reached(node).saturating_sub(away.asked);
        node.start_again();
        self.fleet.list_node(node, unix_ms(), "active");
        if disturbed > 0 {
            println!("({disturbed} to {name} while it was worked on)");
        }
        self.seen.disturbed += disturbed;
    }
}

fn play(program: &Path, way: Manner, seed: u64) -> Result<Seen, String> {
    let boxes: usize = BOXES.iter().sum();
    let plan = Plan {
        nodes: boxes,
        parents: PARENTS,
        settings: Some(cold_settings(WARM.as_millis() as u32)),
        work: if way == Manner::Roller { String::new() } else { tables() },
        ..Plan::new(3, seed)
    };
    let fleet = Fleet::start(program, plan)?;
    let cold = Some((0.2, WARM));
    let usual = Behaviour {
        honest: true,
        delay: Duration::from_millis(10),
        slots: 16,
        queue: 32,
        cold,
        ..Behaviour::default()
    };
    for node in fleet.nodes.iter().chain(&fleet.parents) {
        node.set(usual);
    }
    fleet.leader()?;
    // A front takes no work before it has a view.
    let views = || way == Manner::Roller || (0..3).all(|f| fleet.stage(f, "c-0").is_some());
    if !until(views) {
        return Err("a front has no view".into());
    }
    let known = Asks { items: Some(400), size_kb: 390, ..Asks::default() };
    let signups = Asks { class: "plan-signup", items: None, ..Asks::default() };
    let mut loads = Vec::new();
    for front in 0..3 {
        let at = fleet.front(front).listen()?;
        loads.push(Load::of(at, known, 30.0, 6, (front as u64 + 1) << 48));
        loads.push(Load::of(at, signups, 2.0, 2, (front as u64 + 11) << 48));
    }
    if !until(|| fleet.nodes.iter().all(|n| n.asked() > 40)) {
        return Err("the load does not reach all nodes".into());
    }
    let counted = |loads: &[Load]| {
        let sum = |of: fn(&Load) -> u64| loads.iter().map(of).sum::<u64>();
        (sum(|l| l.counts.asked.load(Relaxed)), sum(|l| l.counts.served.load(Relaxed)))
    };
    let before = counted(&loads);
    let fills = fleet.origin.fills.load(Relaxed);
    let mut site = Site { fleet, away: BTreeMap::new(), taken: BTreeSet::new(), seen: Seen::default() };
    let began = Instant::now();
    match way {
        Manner::None(span) => std::thread::sleep(span),
        Manner::Roller => roll(&mut site),
        Manner::Fronts { faults } => by_fronts(&mut site, faults, seed)?,
    }
    site.seen.took = began.elapsed();
    site.seen.origin = site.fleet.origin.fills.load(Relaxed) - fills;
    let after = counted(&loads);
    (site.seen.asked, site.seen.served) = (after.0 - before.0, after.1 - before.1);
    for load in loads {
        site.seen.unanswered += load.stop().none.load(Relaxed);
    }
    site.seen.twice = runs(&site.fleet.nodes).values().filter(|times| **times > 1).count();
    Ok(site.seen)
}

fn names() -> Vec<String> {
    let boxes = (0..BOXES.iter().sum::<usize>()).map(|n| format!("c-{n}"));
    boxes.chain((0..PARENTS).map(|n| format!("p-{n}"))).collect()
}

/// Each in turn: the bus says that it drains, after a fixed pause it is taken, after another one the next.
fn roll(site: &mut Site) {
    for name in names() {
        if let Some(node) = site.node(&name) {
            site.fleet.list_node(node, 0.0, "leaving");
        }
        std::thread::sleep(PAUSE);
        site.take(&name);
        std::thread::sleep(WORK);
        site.bring(&name);
        std::thread::sleep(PAUSE + WARM);
    }
}

fn by_fronts(site: &mut Site, faults: bool, seed: u64) -> Result<(), String> {
    let all = names();
    let words: Vec<&str> = ["out"].into_iter().chain(all.iter().map(|n| &n[..])).collect();
    let (done, text) = site.fleet.work(0, &words);
    if !done {
        return Err(text);
    }
    let began = Instant::now();
    let mut fault_at = Instant::now() + Duration::from_secs(2);
    let mut turn = seed;
    loop {
        if began.elapsed() > Duration::from_secs(240) {
            return Err(format!("not done: {}", site.fleet.work(0, &[]).1));
        }
        if faults && Instant::now() >= fault_at {
            fault_at = Instant::now() + Duration::from_secs(3);
            fault(site, turn)?;
            turn += 1;
        }
        std::thread::sleep(Duration::from_millis(50));
        let shown = (0..3).filter_map(|f| {
            let shown: Value = serde_json::from_str(&site.fleet.work(f, &[]).1).ok()?;
            (shown["contact"] == Value::Bool(true)).then_some(shown)
        });
        let Some(shown) = shown.into_iter().next() else { continue };
        let machines = shown["machines"].as_array().cloned().unwrap_or_default();
        let stage = |name: &str| machines.iter().find(|m| m["machine"] == name).map(|m| m["stage"].clone());
        for name in &all {
            let now = stage(name);
            let now = now.as_ref().and_then(Value::as_str);
            let permit = machines.iter().find(|m| m["machine"] == *name).and_then(|m| m["permit"].as_u64());
            if now == Some("released") && permit.is_some_and(|permit| site.taken.insert(permit)) {
                site.take(name);
            }
        }
        let over: Vec<String> =
            site.away.iter().filter(|(_, a)| a.since.elapsed() >= WORK).map(|(n, _)| n.clone()).collect();
        over.iter().for_each(|name| site.bring(name));
        if machines.is_empty() && shown["jobs"][0]["over"] == Value::Bool(true) {
            site.fleet.links.heal();
            return Ok(());
        }
    }
}

/// Cuts, loss, splits and a stopped front in turns; each ends what was before.
fn fault(site: &mut Site, turn: u64) -> Result<(), String> {
    let (fleet, one) = (&mut site.fleet, (turn % 3) as usize);
    fleet.links.heal();
    fleet.links.set_all(Way::default());
    let rest: Vec<usize> = (0..3).filter(|f| *f != one).collect();
    match turn % 5 {
        0 => fleet.links.split(&[&[one], &rest]),
        1 => fleet.links.set_all(Way {
            loss: 0.3,
            double: 0.2,
            delay: (Duration::from_millis(5), Duration::from_millis(60)),
            ..Way::default()
        }),
        2 => rest.iter().for_each(|other| fleet.links.cut(*other, one, true)),
        3 => {
            let stopped = fleet.front(one);
            stopped.signal("STOP")?;
            std::thread::sleep(Duration::from_millis(300));
            stopped.signal("CONT")?;
        }
        _ => fleet.links.split(&[&[0], &[1], &[2]]),
    }
    Ok(())
}

pub fn run(program: &Path, seed: u64) -> Result<(), String> {
    let boxes: usize = BOXES.iter().sum();
    println!("{} fronts, {boxes} boxes in 3 locations, {PARENTS} parents: all taken out, each worked on for {WORK:?}, warm after", NAME[..3].len());
    println!("{WARM:?}; one of a location and one of the hub at a time. 'None' is the same load without work. Seed {seed}.\n");
    let calm = play(program, Manner::Fronts { faults: false }, seed)?;
    let faults = play(program, Manner::Fronts { faults: true }, seed)?;
    let none = play(program, Manner::None(calm.took.min(Duration::from_secs(30))), seed)?;
    let roller = play(program, Manner::Roller, seed)?;
    let rounds = BOXES.into_iter().chain([PARENTS]).max().unwrap_or(1) as u32;
    let least = (WORK + WARM) * rounds;
    println!("| way | took | of the least | served | signups twice | no answer | sent to one that was worked on | two of a location | fills a second |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, s) in [
        ("none", &none),
        ("fronts, calm", &calm),
        ("fronts, a fault every 3 s", &faults),
        ("roller", &roller),
    ] {
        println!(
            "| {name} | {:.1} s | {:.2} | {:.2} % | {} | {} | {} | {} | {:.1} |",
            s.took.as_secs_f64(),
            s.took.as_secs_f64() / least.as_secs_f64(),
            100.0 * s.served as f64 / s.asked.max(1) as f64,
            s.twice,
            s.unanswered,
            s.disturbed,
            s.over,
            s.origin as f64 / s.took.as_secs_f64(),
        );
    }
    println!("\nThe least: {rounds} rounds of the work and of getting warm alone.");
    let broken = |s: &Seen| s.disturbed + s.over + s.twice;
    match broken(&calm) + broken(&faults) {
        0 => Ok(()),
        broken => Err(format!("{broken} rules broken: elmtide-lab fleet --work --seed {seed}")),
    }
}

/// What planning costs: one plan of a whole job with what 50 fronts say, at 10, 100 and 1,000 machines.
pub fn cost() -> Result<(), String> {
    println!(
        "\n| machines | rounds, and the least | one plan | a dry run of all |\n| --- | --- | --- | --- |"
    );
    for count in [10usize, 100, 1000] {
        let specs: Vec<MachineSpec> = (0..count)
            .map(|n| MachineSpec {
                name: format!("c-{n}"),
                location: (n / 4) as u16 + 1,
                hub: 0,
                kind: 1,
                weight: 1000,
                address: None,
                front: None,
            })
            .collect();
        let ids: Vec<MachineId> = specs.iter().map(|s| MachineId::from_name(&s.name)).collect();
        let bounds = DisruptionBudget {
            per_location: 1,
            tolerates_further_loss: true,
            capacity_margin_percent: 20,
            ..DisruptionBudget::default()
        };
        let mut state = MaintenanceState::default();
        let refused = |why| format!("{why:?}");
        state
            .apply(&MaintenanceCommand::UpdateMachines { version: 1, machines: specs, budget: bounds })
            .map_err(refused)?;
        let mut conductor = MaintenanceCoordinator::new();
        for front in 0..50u64 {
            let holder = HolderId { front: FrontId(front), incarnation: Incarnation(1) };
            state.on_join(holder);
            let sight = MachineObservation {
                warm_percent: 100,
                load: 1,
                attempt_outcome: AttemptOutcome::Succeeded,
                ..MachineObservation::default()
            };
            let sights = ids.iter().skip(front as usize * 4).take(40).map(|m| (*m, sight)).collect();
            let said = MaintenanceReport {
                acknowledged: Some(Epoch(0)),
                observations: sights,
                ..MaintenanceReport::default()
            };
            conductor.on_report(&state, holder, said, 0);
        }
        let job = MaintenanceCommand::Request {
            machines: ids.clone(),
            requested_by: "lab".into(),
            reason: String::new(),
            expected_minutes: 0,
            at_ms: 0,
        };
        state.apply(&job).map_err(refused)?;
        let now = CoordinatorInput {
            monotonic: 0,
            wall_ms: 0,
            lease: 1,
            own_front: FrontId(0),
            requests_ended_at: &|_| 0,
        };
        let began = Instant::now();
        let proposed = conductor.propose(&state, &now).commands.len();
        let plan = began.elapsed();
        let began = Instant::now();
        let rounds = plan_rounds(&state, &Observations::default(), &ids).rounds;
        let all = began.elapsed();
        let least = min_rounds(state.budget(), state.machines(), &ids);
        println!("| {count} | {}, {least} | {plan:.1?} ({proposed} steps) | {all:.1?} |", rounds.len());
    }
    Ok(())
}

//! A site of three is lost and returns, under load that is skewed: what is served by the plan that the fronts agree on, beside a static
//! overflow of names, and beside an oracle that has the plan's figures in force at the instant of loss and return.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_sites::{plan, Class, Layout, Loss, SiteCapacity};
use elmtide_standins::fleet::{Fleet, Plan, Sites, Web, NAME};
use elmtide_standins::node::{runs, Behaviour};
use elmtide_standins::shopper::{get, lookup_from, signup, Http};
use elmtide_standins::until;
use plotters::prelude::*;

const SITES: usize = 3;
/// Requests a second of each site's clients, and how many clients send them.
const LOADS: [f64; SITES] = [150.0, 100.0, 80.0];
const CLIENTS: usize = 40;
/// One request in so many is a signup, which is worth so much.
const SIGNUP: u64 = 25;
const WORTH: f64 = 20.0;
/// A box works on so many requests at once, each for so long; it is planned for eight tenths of that, since items are not spread evenly.
const SLOTS: usize = 2;
const WORK: Duration = Duration::from_millis(40);
const BOXES: usize = 4;
const PLANNED: f64 = 0.8;
/// Seconds before the loss, of the loss, and after it at the most.
const CALM: u64 = 6;
const GONE: u64 = 10;
const AFTER: u64 = 20;
/// The figures count from so long after the loss.
const FROM: u64 = 3;
const PATIENCE: Duration = Duration::from_millis(900);
/// An answer of a name server is used for so long.
const TTL: Duration = Duration::from_secs(1);

fn room() -> f64 {
    BOXES as f64 * SLOTS as f64 / WORK.as_secs_f64() * PLANNED
}

/// The same figures as the file's.
fn layout() -> Layout {
    let class = |name: &str, worth, must| Class {
        name: name.into(),
        priority_weight: worth,
        work: 1.0,
        fills_per_request: 0.0,
        must_be_served: must,
    };
    let branch = |(n, load): (usize, &f64)| SiteCapacity {
        name: format!("s{n}"),
        capacity: room(),
        capacity_per_cache: room() / BOXES as f64,
        load: split(*load).into(),
        link_capacity: Vec::new(),
    };
    Layout {
        classes: vec![class("plan-signup", WORTH, true), class("small-files", 1.0, false)],
        branches: LOADS.iter().enumerate().map(branch).collect(),
        hubs: Vec::new(),
        origin_fraction: 1.0,
        origin_capacity: 1000.0,
        max_own_loss: 0.02,
    }
}

/// Signups and reads of a load.
fn split(load: f64) -> [f64; 2] {
    [load / SIGNUP as f64, load - load / SIGNUP as f64]
}

fn tables() -> Sites {
    let head = format!(
        "[sites]\norigin = 1000.0\npace_ms = 1000.0\nrefused_ms = 4000.0\n\
         class = [{{ name = \"plan-signup\", worth = {WORTH:.1}, must = true }}, {{ name = \"small-files\", worth = 1.0 }}]\n"
    );
    let each = LOADS.iter().map(|load| {
        let [signups, reads] = split(*load);
        format!("room = {:.1}\nload = {{ plan-signup = {signups:.2}, small-files = {reads:.2} }}", room())
    });
    Sites { count: SITES, head, each: each.collect(), hubs: String::new() }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Agreed,
    /// Names overflow to the next branch where nobody serves; nothing is agreed on.
    Overflow,
}

/// Worth served by second of the trial, for each site's clients; and what was asked.
#[derive(Default)]
struct Seconds {
    served: Vec<[AtomicU64; SITES]>,
    asked: Vec<[AtomicU64; SITES]>,
    unanswered: AtomicU64,
}

struct Client {
    web: Web,
    site: usize,
    net: usize,
    every: Duration,
    began: Instant,
    seconds: Arc<Seconds>,
    stop: Arc<AtomicBool>,
}

impl Client {
    fn ip(&self) -> IpAddr {
        self.web.client(self.site, self.net)
    }

    /// Its own site's name servers first, then any: as a resolver does.
    fn resolve(&self, turn: usize) -> Option<SocketAddr> {
        let own = (0..SITES * 2).filter(|f| f % SITES == self.site);
        let others = (0..SITES * 2).filter(|f| f % SITES != self.site);
        own.chain(others).find_map(|front| {
            let found = lookup_from(self.ip(), self.web.dns(front), "shop.edge.example.", turn as u16)?;
            self.web.front(*found.first()?).map(|front| self.web.http(front))
        })
    }

    fn run(&self) {
        let mut random = (self.site * CLIENTS + self.net) as u64;
        let mut state = Known { at: None, kept: BTreeMap::new() };
        let mut next = self.began + self.every * (self.net as u32) / CLIENTS as u32;
        let mut turn = 0usize;
        let mut quiet: Option<Instant> = None;
        // Signups that were refused with a wait: they are asked for again under their keys.
        let mut later: VecDeque<(Instant, String)> = VecDeque::new();
        while !self.stop.load(Relaxed) {
            let due = later.front().is_some_and(|(at, _)| *at <= Instant::now());
            let left = next.saturating_duration_since(Instant::now());
            if !left.is_zero() && !due {
                std::thread::sleep(left.min(Duration::from_millis(20)));
                continue;
            }
            let second = self.began.elapsed().as_secs() as usize;
            let Some(asked) = self.seconds.asked.get(second) else { return };
            turn += 1;
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let again = if due { later.pop_front().map(|(_, key)| key) } else { None };
            let signs = again.is_some() || (random >> 33).is_multiple_of(SIGNUP);
            if again.is_none() {
                next = (next + self.every).max(Instant::now() - self.every);
                asked[self.site].fetch_add(if signs { WORTH as u64 } else { 1 }, Relaxed);
            }
            // Who was told to wait does; what it would have asked counts as asked.
            if quiet.is_some_and(|until| Instant::now() < until) && !signs {
                continue;
            }
            let key = again.unwrap_or_else(|| format!("s{}-{}-{turn}", self.site, self.net));
            let text = if signs { signup(&key) } else { get(random >> 40 & 255) };
            match self.ask(&mut state, &text, turn, signs) {
                End::Served => {
                    let worth = if signs { WORTH as u64 } else { 1 };
                    let second = self.began.elapsed().as_secs() as usize;
                    if let Some(served) = self.seconds.served.get(second) {
                        served[self.site].fetch_add(worth, Relaxed);
                    }
                }
                End::Refused(wait) if signs => {
                    let wait = wait.clamp(Duration::from_millis(100), Duration::from_secs(2));
                    later.push_back((Instant::now() + wait, key));
                }
                End::Refused(wait) => quiet = Some(Instant::now() + wait),
                End::Unanswered => drop(self.seconds.unanswered.fetch_add(1, Relaxed)),
                End::Failed => {}
            }
        }
    }

    fn ask(&self, state: &mut Known, text: &str, turn: usize, signs: bool) -> End {
        if state.at.is_none_or(|(at, _)| at.elapsed() > TTL) {
            state.at = self.resolve(turn).map(|at| (Instant::now(), at)).or(state.at);
        }
        let Some((_, mut at)) = state.at else { return End::Failed };
        let until = Instant::now() + PATIENCE;
        for _ in 0..4 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let Some(mut http) =
                state.kept.remove(&at).or_else(|| Http::connect_from(self.ip(), at, left).ok())
            else {
                // Nobody there: whatever names say now.
                state.at = self.resolve(turn).map(|at| (Instant::now(), at));
                match state.at {
                    Some((_, other)) if other != at => at = other,
                    _ => return End::Failed,
                }
                continue;
            };
            match http.send(text).and_then(|()| http.reply()) {
                Ok(reply) => {
                    state.kept.insert(at, http);
                    let wait = Duration::from_millis(reply.wait_ms().unwrap_or(200));
                    match (reply.status, reply.use_address()) {
                        (200, _) => return End::Served,
                        (421 | 503, Some(other)) => at = other,
                        (503 | 421, None) => return End::Refused(wait),
                        _ => return End::Failed,
                    }
                }
                // A signup whose answer was lost is not asked again here: its outcome is not known.
                Err(_) if signs => return End::Unanswered,
                Err(_) => {}
            }
        }
        if signs {
            End::Refused(Duration::from_millis(200))
        } else {
            End::Failed
        }
    }
}

/// The address that a client uses, and connections that it keeps.
struct Known {
    at: Option<(Instant, SocketAddr)>,
    kept: BTreeMap<SocketAddr, Http>,
}

enum End {
    Served,
    Refused(Duration),
    /// The connection broke or nothing came: of a signup the outcome is not known.
    Unanswered,
    Failed,
}

struct Trial {
    /// By second: of each site's clients, asked and served.
    seconds: Vec<[(f64, f64); SITES]>,
    declared: Option<Duration>,
    returned: Option<Duration>,
    twice: usize,
    unanswered: u64,
    turned_away: usize,
}

fn trial(program: &Path, manner: Manner, seed: u64) -> Result<Trial, String> {
    let agreed = manner == Manner::Agreed;
    let made = Plan {
        sites: Some(tables()),
        nodes: SITES * BOXES,
        tick_ms: 50.0,
        lease_ms: 1000.0,
        shares: agreed,
        ..Plan::new(SITES * 2, seed)
    };
    let mut fleet = Fleet::start(program, made)?;
    for node in &fleet.nodes {
        node.set(Behaviour { delay: WORK, slots: SLOTS, queue: 16, ..Behaviour::default() });
    }
    if agreed {
        fleet.wait_standing(1, "s0", &["present"])?;
    }
    let web = fleet.web.ok_or("no addresses for the web")?;
    let count = (CALM + GONE + AFTER + 2) as usize;
    let new = || (0..count).map(|_| [(); SITES].map(|()| AtomicU64::new(0))).collect();
    let seconds = Arc::new(Seconds { served: new(), asked: new(), unanswered: AtomicU64::new(0) });
    let stop = Arc::new(AtomicBool::new(false));
    let began = Instant::now();
    let mut threads = Vec::new();
    for (site, load) in LOADS.iter().enumerate() {
        for net in 0..CLIENTS {
            let every = Duration::from_secs_f64(CLIENTS as f64 / load);
            let client =
                Client { web, site, net, every, began, seconds: seconds.clone(), stop: stop.clone() };
            threads.push(std::thread::spawn(move || client.run()));
        }
    }
    let at = |second: u64| {
        std::thread::sleep((began + Duration::from_secs(second)).saturating_duration_since(Instant::now()))
    };
    at(CALM);
    let of_first = |n: &usize| n.is_multiple_of(SITES);
    let usual = Behaviour { delay: WORK, slots: SLOTS, queue: 16, ..Behaviour::default() };
    for node in (0..SITES * BOXES).filter(of_first) {
        fleet.nodes[node].set(Behaviour { mute: true, ..usual });
    }
    let lost_at = Instant::now();
    (0..SITES * 2).filter(of_first).for_each(|front| fleet.kill(front));
    let declared = agreed.then(|| fleet.wait_standing(1, "s0", &["lost"])).transpose()?;
    let declared = declared.map(|_| lost_at.elapsed());
    at(CALM + GONE);
    for node in (0..SITES * BOXES).filter(of_first) {
        fleet.nodes[node].set(usual);
        fleet.nodes[node].start_again();
    }
    let back_at = Instant::now();
    for front in (0..SITES * 2).filter(of_first) {
        fleet.start_front(front)?;
    }
    let returned = match agreed {
        true => until(|| fleet.standing(1, "s0").as_deref() == Some("present")).then(|| back_at.elapsed()),
        false => None,
    };
    at(CALM + GONE + AFTER);
    stop.store(true, Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let read = |of: &[AtomicU64; SITES], site: usize| of[site].load(Relaxed) as f64;
    let rows = seconds.asked.iter().zip(&seconds.served).take((CALM + GONE + AFTER) as usize);
    let rows = rows.map(|(a, s)| [0, 1, 2].map(|site| (read(a, site), read(s, site))));
    let twice = runs(&fleet.nodes).values().filter(|n| **n > 1).count();
    let turned_away = fleet.nodes.iter().map(|n| n.turned_away()).sum();
    Ok(Trial {
        seconds: rows.collect(),
        declared,
        returned,
        twice,
        unanswered: seconds.unanswered.load(Relaxed),
        turned_away,
    })
}

/// Part of what is asked that the plan serves at a second, for each site's clients: by the plan while it is lost, all else.
fn oracle(planned: &elmtide_sites::FailoverPlan, layout: &Layout, second: u64) -> [f64; SITES] {
    let gone = (CALM..CALM + GONE).contains(&second);
    [0, 1, 2].map(|site| {
        let asked: f64 =
            layout.branches[site].load.iter().zip(&layout.classes).map(|(r, c)| r * c.priority_weight).sum();
        let refused = planned.rejected.iter().filter(|r| r.branch == site);
        let refused: f64 = refused.map(|r| r.rate * layout.classes[r.class].priority_weight).sum();
        if gone {
            1.0 - refused / asked
        } else {
            1.0
        }
    })
}

pub fn run(program: &Path, seed: u64, out: &Path) -> Result<(), String> {
    let layout = layout();
    let lost = Loss { branches: [0].into(), ..Loss::default() };
    let planned = plan(&layout, &lost, None).map_err(|why| why.to_string())?;
    println!(
        "{SITES} sites of 2 fronts and {BOXES} boxes; {LOADS:?} requests a second, one in {SIGNUP} a signup worth {WORTH}. The first site is\n\
         lost after {CALM} s and back {GONE} s later, with empty boxes. The plan: {:.0} of {:.0} worth a second. Seed {seed}.\n",
        planned.value, planned.value_asked
    );
    println!("| way | calm | of the oracle, from {FROM} s after the loss to the end | takers' own clients, before | while it is lost | declared after | all back after | signups twice | without an answer | turned away by boxes |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut lines: Vec<(&str, Vec<f64>)> = Vec::new();
    for (name, manner) in [("agreed", Manner::Agreed), ("overflow", Manner::Overflow)] {
        let trial = trial(program, manner, seed)?;
        let part = |from: u64, to: u64, sites: &[usize]| {
            let rows = || (from..to).filter_map(|s| trial.seconds.get(s as usize));
            let sum = |of: &dyn Fn(&(f64, f64)) -> f64| -> f64 {
                rows().flat_map(|row| sites.iter().map(|site| of(&row[*site]))).sum()
            };
            sum(&|r| r.1) / sum(&|r| r.0).max(1e-9)
        };
        let (first, last) = (CALM + FROM, CALM + GONE + AFTER);
        let mut best = 0.0;
        let mut got = 0.0;
        for second in first..last {
            let parts = oracle(&planned, &layout, second);
            for (site, (asked, served)) in trial.seconds[second as usize].iter().enumerate() {
                best += asked * parts[site];
                got += served;
            }
        }
        let span = |t: Option<Duration>| t.map_or("-".into(), |t| format!("{:.1} s", t.as_secs_f64()));
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {} | {} |",
            part(2, CALM, &[0, 1, 2]),
            got / best,
            part(2, CALM, &[1, 2]),
            part(first, CALM + GONE, &[1, 2]),
            span(trial.declared),
            span(trial.returned),
            trial.twice,
            trial.unanswered,
            trial.turned_away,
        );
        let served = trial.seconds.iter().map(|row| row.iter().map(|r| r.1).sum()).collect();
        if lines.is_empty() {
            let best = trial.seconds.iter().enumerate().map(|(second, row)| {
                let parts = oracle(&planned, &layout, second as u64);
                row.iter().zip(parts).map(|((asked, _), part)| asked * part).sum()
            });
            lines.push(("oracle", best.collect()));
        }
        lines.push((name, served));
    }
    draw(&lines, out).map_err(|why| why.to_string())?;
    println!("\nServed worth by second: {}; fronts {:?}", out.display(), &NAME[..SITES * 2]);
    Ok(())
}

fn draw(lines: &[(&str, Vec<f64>)], out: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let most = lines.iter().flat_map(|(_, l)| l).copied().fold(1.0, f64::max);
    let root = SVGBackend::new(out, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let last = (CALM + GONE + AFTER) as f64;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..last, 0.0..most * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("worth served a second").disable_mesh().draw()?;
    for ((name, line), colour) in lines.iter().zip([BLACK, BLUE, RED]) {
        let points = line.iter().enumerate().map(|(second, worth)| (second as f64 + 0.5, *worth));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// What planning costs at so many sites: every branch has links to all hubs, one for ten branches, and a load that just does not fit beside
/// the others'.
pub fn cost() -> Result<(), String> {
    println!(
        "\n| sites | hubs | a usual day | loss of one | loss of two | memory of one plan, at the most |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for count in [3usize, 20, 100] {
        let hubs = count.div_ceil(10);
        let class = |name: &str, worth, must| Class {
            name: name.into(),
            priority_weight: worth,
            work: 1.0,
            fills_per_request: 0.1,
            must_be_served: must,
        };
        let hub = |n: usize| SiteCapacity {
            name: format!("h{n}"),
            capacity: 400.0,
            capacity_per_cache: 40.0,
            load: vec![],
            link_capacity: vec![],
        };
        let branch = |n: usize| SiteCapacity {
            name: format!("s{n}"),
            capacity: 100.0 + (n * 7 % 30) as f64,
            capacity_per_cache: 25.0,
            load: vec![4.0, 40.0 + (n * 11 % 40) as f64, 20.0],
            link_capacity: (0..hubs).map(|h| if h == n % hubs { 30.0 } else { 10.0 }).collect(),
        };
        let layout = Layout {
            classes: vec![
                class("signup", 20.0, true),
                class("files", 2.0, false),
                class("extras", 0.5, false),
            ],
            branches: (0..count).map(branch).collect(),
            hubs: (0..hubs).map(hub).collect(),
            origin_fraction: 0.3,
            origin_capacity: 100.0 * count as f64,
            max_own_loss: 0.02,
        };
        let mut took = Vec::new();
        let mut most = 0;
        for branches in [vec![], vec![0], vec![0, 1]] {
            let loss = Loss { branches: branches.into_iter().collect(), ..Loss::default() };
            let region = stats_alloc::Region::new(crate::COUNTED);
            let began = Instant::now();
            plan(&layout, &loss, None).map_err(|why| why.to_string())?;
            took.push(began.elapsed());
            let change = region.change();
            most = most.max(change.bytes_allocated);
        }
        println!(
            "| {count} | {hubs} | {:.1?} | {:.1?} | {:.1?} | {} KB allocated in all |",
            took[0],
            took[1],
            took[2],
            most / 1000
        );
    }
    Ok(())
}

//! One shop floods at twenty times its share: what the others notice, with cells and without, in paired runs of the
//! same seed; and the blast radius of shuffle shards, computed and drawn.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide::{
    Availability, ClassId, ClassSettings, Event, KindId, ListUpdate, Listing, MemberId, ObjectId, Outcome,
    PurgeGroup, RequestId, Router, Settings, ZoneId,
};
use elmtide_cells::layout::{blast_radius, shard};
use elmtide_cells::{Arrival, Cells, Completion, Layout, Limits, ShopId};
use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::front::{Front, Setup};
use elmtide_standins::node::{Behaviour, Node, Origin};
use elmtide_standins::shopper::{get_for, Http};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CELLS: [(&str, std::ops::Range<usize>); 3] = [("a", 0..4), ("b", 4..7), ("c", 7..10)];
/// Shops of each cell, and requests a second of each.
const SHOPS: usize = 6;
const EACH: f64 = 20.0;
const FLOOD: f64 = 20.0;

fn file() -> String {
    let mut text =
        String::from("[limits]\nrunning_first = 24.0\nrunning_most = 24.0\nwaiting_of_shop = 16\n");
    for (name, boxes) in CELLS {
        let list: Vec<String> = boxes.map(|n| format!("\"box-{n}\"")).collect();
        text += &format!("[[cell]]\nname = \"{name}\"\nboxes = [{}]\n", list.join(", "));
        for n in 0..SHOPS {
            text += &format!("[[shop]]\nname = \"{name}{n}\"\ncell = \"{name}\"\n");
        }
    }
    text
}

/// What a group of shops saw.
struct Seen {
    asked: u64,
    served: u64,
    latencies: Histogram<u64>,
}

impl Seen {
    fn new() -> Result<Seen, String> {
        Ok(Seen { asked: 0, served: 0, latencies: Histogram::new(3).map_err(|e| e.to_string())? })
    }

    fn add(&mut self, other: &Seen) -> Result<(), String> {
        self.asked += other.asked;
        self.served += other.served;
        self.latencies.add(&other.latencies).map_err(|e| e.to_string())
    }

    fn row(&self) -> (f64, u64, u64) {
        let part = self.served as f64 / self.asked.max(1) as f64;
        (part, self.latencies.value_at_quantile(0.5), self.latencies.value_at_quantile(0.99))
    }
}

/// Connections of a shop: a late answer does not keep its next request waiting.
const CONNECTIONS: usize = 8;

/// A shop at its own pace, from when each request is due; in microseconds.
fn shop(at: SocketAddr, name: &str, length: Duration, seed: u64) -> Result<Seen, String> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut due, mut asks) = (0.0, Vec::new());
    while due < length.as_secs_f64() {
        due += -(1.0 - random.random::<f64>()).ln() / EACH;
        asks.push((due, random.random_range(0..400u64)));
    }
    let (start, next) = (Instant::now(), Arc::new(AtomicUsize::new(0)));
    let asks = Arc::new(asks);
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let (asks, next, name) = (asks.clone(), next.clone(), name.to_owned());
            std::thread::spawn(move || -> Result<Seen, String> {
                let mut seen = Seen::new()?;
                let mut http = Http::connect(at, Duration::from_secs(3)).map_err(|e| e.to_string())?;
                while let Some((due, item)) = asks.get(next.fetch_add(1, Relaxed)) {
                    let when = start + Duration::from_secs_f64(*due);
                    std::thread::sleep(when.saturating_duration_since(Instant::now()));
                    seen.asked += 1;
                    match http.send(&get_for(*item, &name)).and_then(|()| http.reply()) {
                        Ok(reply) if reply.status == 200 => {
                            seen.served += 1;
                            let micros = when.elapsed().as_micros() as u64;
                            seen.latencies.record(micros.max(1)).map_err(|e| e.to_string())?;
                        }
                        Ok(_) => {}
                        Err(_) => {
                            http = Http::connect(at, Duration::from_secs(3)).map_err(|e| e.to_string())?
                        }
                    }
                }
                Ok(seen)
            })
        })
        .collect();
    let mut all = Seen::new()?;
    for thread in threads {
        all.add(&thread.join().map_err(|_| "a shop panicked")??)?;
    }
    Ok(all)
}

/// Asks for what is never kept, at a pace that no refusal slows.
fn flood(at: SocketAddr, name: &'static str, stop: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<()>> {
    let asked = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let rate = EACH * FLOOD;
    (0..64)
        .map(|_| {
            let (stop, asked) = (stop.clone(), asked.clone());
            std::thread::spawn(move || {
                let Ok(mut http) = Http::connect(at, Duration::from_secs(3)) else { return };
                while !stop.load(Relaxed) {
                    let n = asked.fetch_add(1, Relaxed);
                    let due = start + Duration::from_secs_f64(n as f64 / rate);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let replied = http.send(&get_for(n + (1 << 40), name)).and_then(|()| http.reply());
                    if replied.is_err() {
                        let Ok(again) = Http::connect(at, Duration::from_secs(3)) else { return };
                        http = again;
                    }
                }
            })
        })
        .collect()
}

/// One run: what the flooder's neighbours and the shops of other cells saw.
fn once(
    program: &Path,
    cells: &str,
    flooding: bool,
    length: Duration,
    seed: u64,
) -> Result<(Seen, Seen), String> {
    let failed = |e: std::io::Error| e.to_string();
    let (bus, origin) = (Bus::start().map_err(failed)?, Arc::new(Origin::default()));
    let mut servers = Vec::new();
    for n in 0..10u64 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let node = Node::start(&format!("box-{n}"), listener, &origin, seed ^ n).map_err(failed)?;
        // Two at a time, 25 ms each: 80 a second of each box, and a short queue.
        let delay = Duration::from_millis(25);
        node.set(Behaviour { delay, slots: 2, queue: 16, ..Behaviour::default() });
        servers.push(listed(&node.name, node.at, "edge-1", "small", "active"));
    }
    servers.push(listed("origin-1", ([127, 0, 0, 1], 9).into(), "east", "origin", "active"));
    bus.list(true, &servers);
    let edge = "zone = \"edge.example.\"\n[[front]]\nname = \"lab\"\nhttp = [\"127.0.0.1:0\"]\n";
    let known = bus.known();
    let setup = Setup { binary: program, name: "lab", bus: bus.at, known, edge, cells, sockets: 1024 };
    let front = Front::start(&setup)?;
    let at = front.edge("http", 0)?;
    let stop = Arc::new(AtomicBool::new(false));
    let floods = if flooding { flood(at, "a0", &stop) } else { Vec::new() };
    let mut threads = Vec::new();
    for (cell, (name, _)) in CELLS.iter().enumerate() {
        for n in 0..SHOPS {
            // The flooder's own requests are its own affair.
            if cell == 0 && n == 0 {
                continue;
            }
            let (name, own) = (format!("{name}{n}"), seed * 1000 + (cell * SHOPS + n) as u64);
            threads.push((cell, std::thread::spawn(move || shop(at, &name, length, own))));
        }
    }
    let (mut near, mut far) = (Seen::new()?, Seen::new()?);
    for (cell, thread) in threads {
        let seen = thread.join().map_err(|_| "a shop panicked")??;
        if cell == 0 {
            near.add(&seen)?
        } else {
            far.add(&seen)?
        }
    }
    stop.store(true, Relaxed);
    for thread in floods {
        let _ = thread.join();
    }
    Ok((near, far))
}

pub fn run(program: &Path, length: Duration, seed: u64) -> Result<(), String> {
    println!(
        "Ten boxes in three cells, {SHOPS} shops of {EACH} requests a second in each, one floods at {FLOOD} times its share; \
         paired runs of {length:?}, seed {seed}:\n"
    );
    println!(
        "| | shops | served calm | served flooded | p50 calm, ms | p50 flooded | p99 calm | p99 flooded |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, cells) in [("cells", file()), ("no cells", String::new())] {
        let (near, far) = once(program, &cells, false, length, seed)?;
        let (near_flooded, far_flooded) = once(program, &cells, true, length, seed)?;
        for (who, calm, flooded) in
            [("other cells", far, far_flooded), ("the flooder's cell", near, near_flooded)]
        {
            let ((s0, p0, q0), (s1, p1, q1)) = (calm.row(), flooded.row());
            let ms = |us: u64| us as f64 / 1000.0;
            println!(
                "| {name} | {who} | {:.1} % | {:.1} % | {:.1} | {:.1} | {:.1} | {:.1} |",
                s0 * 100.0,
                s1 * 100.0,
                ms(p0),
                ms(p1),
                ms(q0),
                ms(q1)
            );
        }
    }
    blast(seed);
    decisions();
    Ok(())
}

/// Shops harmed by one poisonous shop: all of their boxes, or some, by the formula and as they are drawn.
fn blast(seed: u64) {
    println!("\nShuffle shards of 4 boxes, 20,000 shops, one of them poisonous:\n");
    println!("| boxes | all boxes in common, computed | drawn | some in common, computed | drawn |");
    println!("| --- | --- | --- | --- | --- |");
    for count in [10usize, 30, 100, 300, 1000] {
        let boxes: Vec<String> = (0..count).map(|n| format!("box-{seed}-{n}")).collect();
        let poisonous = shard(ShopId::of("poisonous"), &boxes, 4);
        let (mut whole, mut some) = (0, 0);
        for n in 0..20_000 {
            let own = shard(ShopId::of(&format!("shop-{seed}-{n}")), &boxes, 4);
            let common = own.iter().filter(|b| poisonous.contains(b)).count();
            whole += usize::from(common == 4);
            some += usize::from(common > 0);
        }
        let (all, any) = blast_radius(count, 4);
        let part = |n: usize| n as f64 / 20_000.0;
        println!("| {count} | {all:.6} | {:.6} | {any:.4} | {:.4} |", part(whole), part(some));
    }
}

/// A router over ten caches and an origin, as a cell has one.
fn router() -> Router {
    let class = ClassSettings { target_latency: 100.0, deadline: 900.0, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], origin_kind: Some(KindId(2)), ..Settings::default() };
    let mut router = Router::new(settings, 1, 0.0, &mut Vec::new());
    let listing = |n: u64, kind| Listing {
        member: MemberId(n),
        weight: 4.0,
        zone: ZoneId(0),
        kind: KindId(kind),
        cell: elmtide::CellId(0),
        started_at: None,
        availability: Availability::Ready,
    };
    let entries = (1..=10).map(|n| listing(n, 0)).chain([listing(99, 2)]).collect();
    router.handle(0.0, Event::List { update: ListUpdate::Full, entries }, &mut Vec::new());
    router
}

/// Nanoseconds of a request's way through the module, behind cells where there are some.
fn way(router: &mut Router, mut cells: Option<&mut Cells>, shops: &[ShopId], from: u32, times: u32) -> f64 {
    let mut actions = Vec::with_capacity(8);
    let since = Instant::now();
    for id in from..from + times {
        let now = f64::from(id) / 10.0;
        let object = u64::from(id % 5000) * 7919;
        if let Some(cells) = &mut cells {
            let shop = shops[id as usize % shops.len()];
            let arrival = Arrival { id, shop, object, once: false, cost: 1.0, deadline: now + 900.0 };
            std::hint::black_box(cells.admit(arrival, now));
        }
        let request = elmtide::Request {
            id: RequestId(id),
            class: ClassId(0),
            object: ObjectId(object),
            part: 0,
            group: PurgeGroup(0),
            time_left: 900.0,
            size_kb: Some(40.0),
            write: false,
        };
        router.handle(now, Event::Request(request), &mut actions);
        let reply = Event::Reply {
            id: RequestId(id),
            attempt: elmtide::Try(0),
            outcome: Outcome::Ok,
            latency: 5.0,
            settled: true,
            note: elmtide::Note::Hit,
        };
        router.handle(now + 0.05, reply, &mut actions);
        actions.clear();
        if let Some(cells) = &mut cells {
            cells.end(id, Completion::Served, now + 0.05);
        }
    }
    since.elapsed().as_secs_f64() * 1e9 / f64::from(times)
}

/// What cells cost, beside the module's own time for a request and its answer; both in turns in one run.
fn decisions() {
    const TIMES: u32 = 40_000;
    const TURNS: u32 = 15;
    println!("\nA request and its answer through the module, {TURNS} turns of {TIMES} each way:\n");
    println!(
        "| cells | module alone, ns | with cells, ns | ratio, median of turns | bytes of the cells' state | bytes of all routers |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let shops: Vec<ShopId> = (0..64).map(|n| ShopId::of(&format!("s{n}"))).collect();
    for count in [1usize, 3, 64] {
        let cell = |n: usize| elmtide_cells::Cell {
            name: format!("c{n}"),
            boxes: vec![format!("box-{n}")],
            weight: 1.0,
            source_share: 1.0 / count as f64,
            evacuate: false,
        };
        let region = stats_alloc::Region::new(crate::COUNTED);
        let Ok(layout) = Layout::new((0..count).map(cell).collect(), Vec::new(), Limits::default()) else {
            continue;
        };
        let mut cells = Cells::new(layout, 1, 0.0);
        (0..count).for_each(|n| cells.set_ready_nodes(elmtide_cells::CellIx(n as u16), 1, 0.0));
        let bytes = region.change().bytes_allocated;
        // Each router with ten caches in its list, and no object seen yet.
        let region = stats_alloc::Region::new(crate::COUNTED);
        let routers: Vec<Router> = (0..count).map(|_| router()).collect();
        let change = region.change();
        let held = change.bytes_allocated - change.bytes_deallocated;
        drop(routers);
        let (mut bare, mut behind) = (router(), router());
        let mut turns: Vec<(f64, f64)> = (0..TURNS)
            .map(|turn| {
                let from = turn * TIMES;
                (
                    way(&mut bare, None, &shops, from, TIMES),
                    way(&mut behind, Some(&mut cells), &shops, from, TIMES),
                )
            })
            .collect();
        turns.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
        let (alone, with) = turns[turns.len() / 2];
        println!("| {count} | {alone:.0} | {with:.0} | {:.3} | {bytes} | {held} |", with / alone);
    }
}

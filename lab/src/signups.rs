//! Many shoppers sign up through resolvers that ignore TTLs, at second addresses, after lost answers, while one of two
//! fronts is killed and started again and a cache node drains: what ran twice, what had no answer, what the drained
//! node was asked.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::front::{Front, Setup};
use elmtide_standins::node::{runs, Behaviour, Node, Origin};
use elmtide_standins::ports::free_port;
use elmtide_standins::resolver::{Habits, Resolver};
use elmtide_standins::shopper::{self, End, Shopper};

/// Shoppers that are at it at once; each has a thread.
const AT_ONCE: u32 = 64;

pub fn run(program: &Path, clients: u32, each: u32, seed: u64) -> Result<(), String> {
    let failed = |e: std::io::Error| e.to_string();
    let (bus, origin) = (Bus::start().map_err(failed)?, Arc::new(Origin::default()));
    let mut nodes = Vec::new();
    for n in 0..6u64 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        let node = Node::start(&format!("cache-{n}"), listener, &origin, seed ^ n).map_err(failed)?;
        // Some answers of nodes are lost as well: those signups are uncertain, and must not run again.
        node.set(Behaviour { delay: Duration::from_millis(2), lose: 0.01, ..Behaviour::default() });
        nodes.push(node);
    }
    let mut servers: Vec<_> =
        nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
    servers.push(listed("origin-1", ([127, 0, 0, 1], 9).into(), "east", "origin", "active"));
    bus.list(true, &servers);
    let ips = [1, 2].map(|n| IpAddr::V4(Ipv4Addr::new(127, 0, 0, n)));
    let http = free_port(&ips).map_err(failed)?;
    let dns = free_port(&ips).map_err(failed)?;
    let edge = format!(
        "zone = \"edge.example.\"\n[rate_limit]\non = false\n[steering]\nwatch_ms = 200.0\nsettle_ms = 1000.0\n\
         [[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:{dns}\"]\nhttp = [\"127.0.0.1:{http}\"]\n\
         [[front]]\nname = \"n2\"\ndns = [\"127.0.0.2:{dns}\"]\nhttp = [\"127.0.0.2:{http}\"]\n\
         [[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\", \"127.0.0.2\"]\n"
    );
    let start = |name| {
        let known = bus.known();
        Front::start(&Setup {
            binary: program,
            name,
            bus: bus.at,
            known,
            edge: &edge,
            cells: "",
            sockets: 1024,
        })
    };
    let (mut one, two) = (start("n1")?, start("n2")?);
    for front in [&one, &two] {
        front.log.wait("ledger: open", 0)?;
    }
    let mut resolvers = Vec::new();
    for n in 0..4u64 {
        let resolver = Resolver::start(seed + n).map_err(failed)?;
        resolver.forward_to(two.edge("dns", 0)?);
        resolver.set(Habits {
            holds: Some(Duration::from_secs(30)),
            lose: 0.05,
            double: 0.05,
            reorder: 0.05,
            truncate: 0.02,
            forge: 0.05,
            cut: 0.02,
            ..Habits::default()
        });
        resolvers.push(resolver.at);
    }
    println!("{clients} clients, {each} signups each, seed {seed}; resolvers hold answers for 30 s.");
    let next = Arc::new(AtomicU32::new(0));
    let threads: Vec<_> = (0..AT_ONCE.min(clients))
        .map(|_| {
            let (next, resolvers) = (next.clone(), resolvers.clone());
            std::thread::spawn(move || {
                let mut ends = Vec::new();
                loop {
                    let client = next.fetch_add(1, Relaxed);
                    if client >= clients {
                        return ends;
                    }
                    let habits = shopper::Habits { loses: 0.1, races: 0.1, ..shopper::Habits::default() };
                    let at = resolvers[client as usize % resolvers.len()];
                    let own = seed.wrapping_mul(1_000_003) + u64::from(client);
                    let mut shopper = Shopper::new(at, "branch.edge.example.", http, habits, own);
                    ends.extend((0..each).map(|n| shopper.sign_up(&format!("c{client}-{n}"))));
                }
            })
        })
        .collect();
    let all = clients * each;
    let wait = |part: f64| {
        let until = Instant::now() + Duration::from_secs(600);
        while runs(&nodes).len() < (f64::from(all) * part) as usize && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait(0.25);
    let drained = Instant::now();
    bus.list(false, &[listed(&nodes[0].name, nodes[0].at, "edge-1", "small", "leaving")]);
    wait(0.45);
    let killed = Instant::now();
    one.again()?;
    println!("n1 was killed and is ready again after {} ms.", killed.elapsed().as_millis());
    let mut ends: BTreeMap<End, usize> = BTreeMap::new();
    for thread in threads {
        for end in thread.join().map_err(|_| "a shopper panicked")? {
            *ends.entry(end).or_default() += 1;
        }
    }
    let ran = runs(&nodes);
    let twice = ran.values().filter(|n| **n > 1).count();
    let late = nodes[0].after(drained + Duration::from_secs(2));
    let unanswered = ends.get(&End::Unanswered).copied().unwrap_or(0);
    println!("\n| what | count |\n| --- | --- |");
    println!("| signups | {all} |");
    for (end, count) in &ends {
        println!("| ended {end:?} | {count} |");
    }
    println!("| ran at the nodes | {} |", ran.len());
    println!("| ran twice | {twice} |");
    println!("| requests without an answer in time | {unanswered} |");
    println!("| work on the drained node after 2 s | {late} |");
    for (name, front) in [("n1", &one), ("n2", &two)] {
        println!("| memory of {name}, MB | {:.1} |", front.resident_kb().unwrap_or(0) as f64 / 1024.0);
    }
    match twice + late + unanswered {
        0 => Ok(()),
        _ => Err(format!("a rule is broken; again with --seed {seed}")),
    }
}

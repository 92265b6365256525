//! One command that shows a front at work: stand-ins around it, names, objects and a signup through it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::front::{Front, Setup};
use elmtide_standins::node::{runs, Node, Origin};
use elmtide_standins::ports::free_port;
use elmtide_standins::shopper::{get, lookup, signup, Http};

const PATIENCE: Duration = Duration::from_secs(5);

pub fn run(program: &Path, stay: bool) -> Result<(), String> {
    let failed = |e: std::io::Error| e.to_string();
    let (bus, origin) = (Bus::start().map_err(failed)?, Arc::new(Origin::default()));
    let mut nodes = Vec::new();
    for n in 1..=3u8 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        nodes.push(Node::start(&format!("cache-{n}"), listener, &origin, u64::from(n)).map_err(failed)?);
    }
    let mut servers: Vec<_> =
        nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
    servers.push(listed("origin-1", ([127, 0, 0, 1], 9).into(), "east", "origin", "active"));
    bus.list(true, &servers);
    let ips = [1, 2].map(|n| IpAddr::V4(Ipv4Addr::new(127, 0, 0, n)));
    let http = free_port(&ips).map_err(failed)?;
    let dns = free_port(&ips[..1]).map_err(failed)?;
    let edge = format!(
        "zone = \"edge.example.\"\n\n[[front]]\nname = \"demo\"\ndns = [\"127.0.0.1:{dns}\"]\n\
         http = [\"127.0.0.1:{http}\", \"127.0.0.2:{http}\"]\n\n[[name]]\nname = \"branch\"\n\
         addresses = [\"127.0.0.1\", \"127.0.0.2\"]\n\n[[record]]\nname = \"www\"\ntype = \"CNAME\"\n\
         target = \"branch\"\n\n[[record]]\nname = \"branch\"\ntype = \"HTTPS\"\npriority = 1\ntarget = \".\"\n\
         port = {http}\n"
    );
    let setup = Setup {
        binary: program,
        name: "demo",
        bus: bus.at,
        known: bus.known(),
        edge: &edge,
        cells: "",
        sockets: 1024,
    };
    let front = Front::start(&setup)?;
    println!(
        "A front (pid {}), {} cache nodes, an origin and an event bus, all on loopback.\n",
        front.id(),
        nodes.len()
    );
    let server = front.edge("dns", 0)?;
    let mut at = None;
    for name in ["branch.edge.example.", "www.edge.example."] {
        let found = lookup(server, name, 7).ok_or("the name server does not answer")?;
        println!("{name} has {found:?}");
        at = found.first().map(|ip| SocketAddr::new(*ip, http)).or(at);
    }
    let at = at.ok_or("the name has no address")?;
    let mut shop = Http::connect(at, PATIENCE).map_err(failed)?;
    for item in [1, 2, 3, 1] {
        shop.send(&get(item)).map_err(failed)?;
        let reply = shop.reply().map_err(failed)?;
        println!("object {item:016x}: {} with {} bytes", reply.status, reply.body.len());
    }
    println!("\nSignups are refused until the ledger of the process before must be forgotten:");
    shop.send(&signup("demo-1")).map_err(failed)?;
    let early = shop.reply().map_err(failed)?;
    match early.wait_ms() {
        Some(wait) => println!("signup demo-1: {}, retry after {wait} ms", early.status),
        None => println!("signup demo-1: {}", early.status),
    }
    front.log.wait("ledger: open", 0)?;
    for from in [at, SocketAddr::new(ips[1], http)] {
        let mut shop = Http::connect(from, PATIENCE).map_err(failed)?;
        shop.send(&signup("demo-1")).map_err(failed)?;
        println!("signup demo-1 at {from}: {}", shop.reply().map_err(failed)?.status);
    }
    let ran = runs(&nodes).values().sum::<usize>();
    let times = if ran == 1 { "once".to_owned() } else { format!("{ran} times") };
    println!("It ran {times} at the nodes. Filled from the origin: {}.\n", origin.fills.load(Relaxed));
    let (_, counters) = front.run(&["counters", "--control", "control.sock"])?;
    print_counters(&counters);
    if ran != 1 {
        return Err(format!("the signup ran {ran} times"));
    }
    if stay {
        let folder = front.folder.0.display();
        println!("It stays up until Ctrl-C. To try by hand:\n");
        println!("  dig @127.0.0.1 -p {dns} branch.edge.example A");
        println!("  dig @127.0.0.1 -p {dns} branch.edge.example HTTPS +cookie +nsid");
        println!("  curl -i -H 'X-Item: 00000000000000aa' http://{at}/api/v2/small-files");
        println!("  curl -i -d me -H 'X-Item: 00000000000000aa' -H 'Idempotency-Key: k1' http://{at}/api/v2/plan-signup");
        println!("  {0} plan --edge {folder}/edge.toml --control {folder}/control.sock", program.display());
        println!("  {0} counters --control {folder}/control.sock", program.display());
        loop {
            std::thread::park();
        }
    }
    Ok(())
}

/// Prints the counters that are not zero, one a line.
fn print_counters(line: &str) {
    println!("Counters of the front that are not zero:");
    for counter in line.split_whitespace() {
        if let Some((name, value)) = counter.split_once('=').filter(|(_, value)| *value != "0") {
            println!("  {name:<20} {value:>6}");
        }
    }
    println!();
}

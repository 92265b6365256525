//! Case 3: a purge that was told before cells are put in force by plan and apply is not heeded after that.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins::*;

const FILES_MS: u64 = 2500;
/// The object that is purged, and one that is not.
const ITEM: &str = "7f3a9c21e0b4d655";
/// Fronts have 1 s after they were told, and 50 ms on sockets.
const GRACE_MS: f64 = 1050.0;
/// Caches drop older copies within 6 s; these do after 5 s.
const DROPPED_AFTER: Duration = Duration::from_secs(5);

const CELLS: &str = "[[cell]]\nname = \"a\"\nboxes = [\"s-1\"]\n[[cell]]\nname = \"b\"\nboxes = [\"s-2\"]\n\
                     [[shop]]\nname = \"one\"\ncell = \"a\"\n";

fn main() {
    run_case("case3", |record, root, repository, trouble| {
        let bus = Bus::start(record)?;
        let nodes = [Node::start("s-1", record)?, Node::start("s-2", record)?];
        let origin = "127.0.0.1:9".parse().map_err(text("address"))?;
        let mut servers: Vec<String> =
            nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
        servers.push(listed("o-1", origin, "east", "origin", "active"));
        bus.list(true, &servers);

        let [dns, http] = free_ports()?;
        let place = Place::new(root, "n1", repository)?;
        place.write(
            "deploy/edge.toml",
            &format!(
                "zone = \"edge.example.\"\n[[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:{dns}\"]\n\
                 http = [\"127.0.0.1:{http}\"]\n[[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n"
            ),
        )?;
        place.configure(&bus, &settings(SITE_DEADLINES))?;
        let at: SocketAddr = format!("127.0.0.1:{http}").parse().map_err(text("address"))?;
        let front = place.start(true, record)?;
        front.wait("edge: http on", Duration::from_secs(10))?;

        let mut client = Http::connect(at)?;
        let mut ask = || -> Res<(u16, String)> {
            client.send(&get(ITEM, FILES_MS))?;
            let reply = client.reply(Duration::from_millis(FILES_MS))?;
            record.say(format!("client   got {} {:?}", reply.status, reply.body));
            Ok((reply.status, reply.body))
        };
        // Both boxes keep a copy; the second one's was fetched for another client.
        let old = unix_ms();
        nodes.iter().for_each(|n| n.keeps(ITEM, old));
        if ask()?.0 != 200 {
            return Err("the object is not served before the trouble".into());
        }
        sleep(Duration::from_millis(200));
        let purged_at = unix_ms();
        let told = Instant::now();
        let told_ms = record.ms();
        nodes.iter().for_each(|n| n.drops_after(ITEM, purged_at, DROPPED_AFTER));
        bus.purge(ITEM, purged_at);

        sleep(Duration::from_millis(1200));
        if trouble {
            place.write("deploy/cells.toml", CELLS)?;
            place.plan(record)?;
            place.apply(record)?;
            front.wait("cells: 2 are in force", Duration::from_secs(5))?;
        }
        sleep(Duration::from_millis(1600).saturating_sub(told.elapsed()));
        let mut served = 0;
        while told.elapsed() < Duration::from_millis(4500) {
            served += u32::from(ask()?.0 == 200);
            sleep(Duration::from_millis(200));
        }
        drop(front);
        // What counts is the request's first byte at the box: these came whole later than the grace after the event.
        let wants: Vec<Want> = nodes.iter().flat_map(Node::wants).collect();
        let late = |w: &&Want| w.at_ms > told_ms + GRACE_MS && w.field("thing") == ITEM;
        let after = wants.iter().filter(late).count();
        let stale =
            wants.iter().filter(late).filter(|w| w.dated.is_some_and(|dated| dated < purged_at)).count();
        record.say(format!("requests sent later than {GRACE_MS} ms after the purge was told: {after}, of these answered from an older copy: {stale}"));
        match (served, stale) {
            (0, _) => Err("nothing was served after the purge".into()),
            (_, 0) => Ok(Verdict::Held),
            _ => Ok(Verdict::Broken(format!(
                "{stale} of {after} requests were answered from a copy older than the purge"
            ))),
        }
    })
}

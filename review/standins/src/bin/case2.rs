//! Case 2: after an outage of discovery in a large fleet, the front never reads the event bus again: a purge is not heeded.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins::*;

const VIDEO_MS: u64 = 5000;
/// The object that is purged.
const ITEM: &str = "7f3a9c21e0b4d655";
/// Fronts have 1 s after they were told, and 50 ms on sockets.
const GRACE_MS: f64 = 1050.0;
/// Caches drop older copies within 6 s; these do after 5 s.
const DROPPED_AFTER: Duration = Duration::from_secs(5);
/// The most cache nodes of a fleet, in so many locations.
const NODES: usize = 3200;
const LOCATIONS: usize = 240;
/// Six in ten are replaced within 7 s; discovery is down for 8 s.
const REPLACED: usize = NODES * 6 / 10;
const RELEASE: Duration = Duration::from_secs(7);
const OUTAGE: Duration = Duration::from_secs(8);

/// A cache node of another location; no request may go there, and nobody listens.
fn far(n: usize, release: usize, state: &str, started_ms: u64) -> String {
    let at = format!("127.{}.{}.{}:10080", 10 + release, n / 250, 1 + n % 250);
    format!(
        r#"{{"id":"s-{release:02x}{n:06x}","addr":"{at}","zone":"edge-{}","kind":"small","cell":0,"state":"{state}","weight":4,"started_ms":{started_ms}}}"#,
        2 + n % (LOCATIONS - 1)
    )
}

fn main() {
    run_case("case2", |record, root, repository, trouble| {
        let bus = Bus::start(record)?;
        let nodes: Vec<Node> = (1..=4).map(|n| Node::start(&format!("s-{n}"), record)).collect::<Res<_>>()?;
        let origin = "127.0.0.1:9".parse().map_err(text("address"))?;
        let mut servers: Vec<String> =
            nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
        servers.push(listed("o-1", origin, "east", "origin", "active"));
        servers.extend((0..NODES - nodes.len()).map(|n| far(n, 0, "active", 0)));
        bus.list(true, &servers);

        let place = Place::new(root, "n1", repository)?;
        place.configure(&bus, &settings_of_fleet(SITE_DEADLINES, LOCATIONS))?;
        let front = place.start(true, record)?;
        let at: SocketAddr = place.listen;
        let mut client = Web::connect(at)?;
        let mut ask = || -> Res<(u16, String)> {
            let (status, body) = client.get("small-files", ITEM, 2500, Duration::from_millis(VIDEO_MS))?;
            record.say(format!("client   got {status} {body:?}"));
            Ok((status, body))
        };
        let old = unix_ms();
        nodes.iter().for_each(|n| n.keeps(ITEM, old));
        if ask()?.0 != 200 {
            return Err("the object is not served before the trouble".into());
        }

        // A release: boxes of other locations are replaced, each by a new one. Discovery is down from its beginning on.
        let begun = Instant::now();
        if trouble {
            bus.set_down(true);
        }
        record.say(format!("platform replaces {REPLACED} of {NODES} cache nodes"));
        for n in 0..REPLACED {
            sleep((RELEASE * n as u32 / REPLACED as u32).saturating_sub(begun.elapsed()));
            bus.change(&far(n, 0, "leaving", 0));
            bus.change(&far(n, 1, "active", unix_ms()));
            bus.change(&far(n, 0, "left", 0));
        }
        sleep(OUTAGE.saturating_sub(begun.elapsed()));
        if trouble {
            bus.set_down(false);
        }
        // Discovery is back and well for 10 s. Then an object is purged.
        sleep(Duration::from_secs(10));
        if ask()?.0 != 200 {
            return Err("the object is not served before the purge".into());
        }
        let purged_at = unix_ms();
        let (told, told_ms) = (Instant::now(), record.ms());
        nodes.iter().for_each(|n| n.drops_after(ITEM, purged_at, DROPPED_AFTER));
        bus.purge(ITEM, purged_at);
        sleep(Duration::from_millis(1600).saturating_sub(told.elapsed()));
        let mut served = 0;
        while told.elapsed() < Duration::from_millis(4500) {
            served += u32::from(ask()?.0 == 200);
            sleep(Duration::from_millis(200));
        }
        drop(front);
        let wants: Vec<Want> = nodes.iter().flat_map(Node::wants).collect();
        let late = |w: &&Want| w.at_ms > told_ms + GRACE_MS && w.field("thing") == ITEM;
        let after = wants.iter().filter(late).count();
        let stale =
            wants.iter().filter(late).filter(|w| w.dated.is_some_and(|dated| dated < purged_at)).count();
        record.say(format!(
            "requests sent later than {GRACE_MS} ms after the purge was told: {after}, of these answered from an older copy: {stale}"
        ));
        match (served, stale) {
            (0, _) => Err("nothing was served after the purge".into()),
            (_, 0) => Ok(Verdict::Held),
            _ => Ok(Verdict::Broken(format!(
                "{stale} of {after} requests were answered from a copy older than the purge"
            ))),
        }
    })
}

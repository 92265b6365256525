//! A box is out for work while most of the cache nodes of other locations are replaced by new ones.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::permit::{agrees, fleet, stage};
use crate::Verdict;

/// Cache nodes of other locations, and how many of them are replaced: six in ten, within 7 s.
const OTHERS: usize = 3197;
const REPLACED: usize = OTHERS * 6 / 10;
const RELEASE_MS: u64 = 6800;
/// Locations beside the fronts' own.
const LOCATIONS: usize = 200;
/// The boxes of the fronts' location; the first is the id on the protocol page.
const OWN: [&str; 3] = ["s-00c41f7a", "s-00c41f7b", "s-00c41f7c"];

/// The id of a cache node elsewhere, as on the protocol page: eight hex digits, without order.
fn id(number: usize) -> String {
    let mixed = (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("s-{:08x}", (mixed ^ (mixed >> 29)) as u32)
}

fn elsewhere(number: usize, place: usize, state: &str, started: f64) -> String {
    let at = format!("127.{}.{}.{}:7000", 20 + number / 40_000, number / 200 % 200, 1 + number % 200);
    let zone = format!("edge-{}", 2 + place % LOCATIONS);
    server(&id(number), at.parse().unwrap(), &zone, "small", state, 8.0, started)
}

/// The settings of the other cases, with more locations.
fn wide_settings(me: u32) -> String {
    let zones: Vec<String> = (0..LOCATIONS).map(|n| format!(",\"edge-{}\"", n + 2)).collect();
    settings(3, me)
        .replace("\"edge-1\"]", &format!("\"edge-1\"{}]", zones.concat()))
        .replace("\"CountByZone\":[0,3]", &format!("\"CountByZone\":[0,3{}]", ",0".repeat(LOCATIONS)))
        .replace(
            "\"LinkInKbPerS\":[0.0,0.0]",
            &format!("\"LinkInKbPerS\":[0.0,0.0{}]", ",0.0".repeat(LOCATIONS)),
        )
        .replace("\"ZoneHub\":[0,0]", &format!("\"ZoneHub\":[0,0{}]", ",0".repeat(LOCATIONS)))
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let boxes: Vec<Node> = (0..3)
        .map(|_| {
            Node::start(Arc::new(|want| {
                Some(Reply {
                    after_ms: 20,
                    word: "HIT",
                    fields: format!("digest={},dated={},remark=local", want.field("thing"), now_ms() as u64),
                    body: vec![b'x'; 1000],
                })
            }))
        })
        .collect();
    let origin = Node::start(Arc::new(|_| None));
    let bus = Bus::start();
    let mut servers: Vec<String> = (boxes.iter().zip(OWN))
        .map(|(b, id)| server(id, b.at, "edge-1", "small", "active", 8.0, 0.0))
        .collect();
    servers.push(server("o-1", origin.at, "east", "origin", "active", 50.0, 0.0));
    servers.extend((0..OTHERS).map(|n| elsewhere(n, n, "active", 0.0)));
    bus.tell(&topology(1, true, &servers));
    let mut fronts = fleet(&folder.0);
    for (place, front) in fronts.iter_mut().enumerate() {
        front.settings = wide_settings(place as u32);
        let file = &front.arguments[1];
        let mut text = fs::read_to_string(file).unwrap();
        for (n, id) in OWN.iter().enumerate() {
            text = text.replace(&format!("name = \"c-{}\"", n + 1), &format!("name = \"{id}\""));
        }
        fs::write(file, text).unwrap();
    }
    let mut processes: Vec<Process> = fronts.iter_mut().map(|f| f.start(&bus, true)).collect();
    for process in &mut processes {
        if !process.ready(10_000) {
            return Verdict::NotRun("a front is not ready".into());
        }
    }
    let look = fronts[0].arguments[1].clone();
    if !agrees(&look) {
        return Verdict::NotRun("the fronts do not agree on a leader".into());
    }
    sleep_ms(1500);
    let at = fronts[0].listen;
    let mut job = 0u64;
    let mut ask = || {
        job += 1;
        let parameters = [
            ("HTTP_X_JOB_ID", format!("{:016x}", job << 8)),
            ("HTTP_X_ALLOW_MS", "2500".into()),
            ("HTTP_X_ITEM", format!("{:016x}", 0x100 + job % 60)),
            ("HTTP_X_SLICE", "0".into()),
            ("HTTP_X_SET", "5".into()),
            ("HTTP_X_RAM_KB", "200".into()),
        ];
        let got = Fcgi::connect(at).and_then(|mut c| {
            c.send("/api/v2/small-files", &parameters, b"")?;
            c.answer(2600)
        });
        matches!(got, Ok(a) if a.status == 200)
    };
    let before = (0..60).filter(|_| ask()).count();
    let used = boxes[0].seen().len();
    record.line(format!("60 requests to n1: {before} served, {used} of them by {}", OWN[0]));
    let (code, said) =
        elmtide(&["work", "--fleet", &look, "out", OWN[0], "--reason", "kernel", "--minutes", "5"]);
    record.line(format!("elmtide work out {}: {code} {}", OWN[0], said.trim()));
    let until = Instant::now() + Duration::from_secs(15);
    while stage(&look, OWN[0]) != "released" {
        if code != 0 || Instant::now() > until {
            return Verdict::NotRun(format!("{} was not released", OWN[0]));
        }
        sleep_ms(50);
    }
    record.line(format!("{} is released for work", OWN[0]));
    // What was decided before is over.
    sleep_ms(2500);
    let released = now_ms();
    if trouble {
        let begun = Instant::now();
        for n in 0..REPLACED {
            let told = RELEASE_MS * n as u64 / REPLACED as u64;
            let due = begun + Duration::from_millis(told);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let version = 2 + 3 * n as u32;
            let changes = [
                elsewhere(n, n, "leaving", 0.0),
                elsewhere(OTHERS + n, n, "active", now_ms()),
                elsewhere(n, n, "left", 0.0),
            ];
            for (step, change) in (0..).zip(changes) {
                bus.tell(&topology(version + step, false, &[change]));
            }
        }
        record.line(format!(
            "{REPLACED} cache nodes of other locations were replaced within {:.1} s",
            begun.elapsed().as_secs_f64()
        ));
    } else {
        sleep_ms(RELEASE_MS);
    }
    sleep_ms(1000);
    let asked_at = now_ms();
    let mut served = 0;
    for _ in 0..200 {
        served += usize::from(ask());
        sleep_ms(10);
    }
    let still = stage(&look, OWN[0]);
    record.line(format!("200 requests to n1: {served} served; stage of {}: {still}", OWN[0]));
    let late = boxes[0].seen().iter().filter(|w| w.at > released).count();
    for (id, node) in OWN.iter().zip(&boxes) {
        let count = node.seen().iter().filter(|w| w.at > asked_at).count();
        record.line(format!("{id}: {count} requests of these"));
    }
    for front in &fronts {
        let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
        log.lines().for_each(|line| record.line(format!("log of {}: {line}", front.name)));
    }
    drop(processes);
    if used == 0 || served < 150 || still != "released" {
        return Verdict::NotRun(format!(
            "{} served {used} at first, {served} were served, its stage is {still:?}",
            OWN[0]
        ));
    }
    match late {
        0 => Verdict::Held(format!("{served} requests were served, none by the box that is worked on")),
        n => Verdict::Broken(format!("{} got {n} of n1's requests while it was released for work", OWN[0])),
    }
}

//! Two new configurations in a row, then cells that are put in force and taken back while a box drains.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::Verdict;

/// DrainGraceMs of the settings, and the 50 ms by which every time limit is longer on sockets.
const GRACE_MS: f64 = 2050.0;
/// Objects from this number on are large: their sending time, ms.
const LARGE: u64 = 0x8000;
const LARGE_MS: u64 = 2500;

fn request(class: &str, item: u64, job: u64, size_kb: u64) -> (String, Vec<(&'static str, String)>) {
    let parameters = vec![
        ("HTTP_X_JOB_ID", format!("{job:016x}")),
        ("HTTP_X_ALLOW_MS", "2500".to_owned()),
        ("HTTP_X_ITEM", format!("{item:016x}")),
        ("HTTP_X_SLICE", "0".into()),
        ("HTTP_X_SET", "5".into()),
        ("HTTP_X_RAM_KB", size_kb.to_string()),
    ];
    (format!("/api/v2/{class}"), parameters)
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let boxes: Vec<Node> = (0..3)
        .map(|_| {
            Node::start(Arc::new(|want| {
                let item = u64::from_str_radix(want.field("thing"), 16).unwrap_or(0);
                Some(Reply {
                    after_ms: if item >= LARGE { LARGE_MS } else { 30 },
                    word: "HIT",
                    fields: format!("digest={item:x},dated={},remark=local", now_ms() as u64),
                    body: vec![b'x'; 1000],
                })
            }))
        })
        .collect();
    let origin = Node::start(Arc::new(|_| None));
    let bus = Bus::start();
    let line =
        |n: usize, state: &str| server(&format!("c{n}"), boxes[n].at, "edge-1", "small", state, 8.0, 0.0);
    let mut servers: Vec<String> = (0..3).map(|n| line(n, "active")).collect();
    servers.push(server("o1", origin.at, "east", "origin", "active", 50.0, 0.0));
    bus.tell(&topology(1, true, &servers));
    let mut front = Front::new(&folder.0, "n1", settings(1, 0));
    let (edge, cells) = (front.folder.join("edge.toml"), front.folder.join("cells.toml"));
    let (dns, http_at) = (free("127.0.0.1"), free("127.0.0.1"));
    fs::write(
        &edge,
        format!(
            "zone = \"edge.example.\"\nttl_s = 1\n[[front]]\nname = \"n1\"\ndns = [\"{dns}\"]\nhttp = [\"{http_at}\"]\n\
             [[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n"
        ),
    )
    .unwrap();
    let paths = [&edge, &cells, &front.control()].map(|p| p.display().to_string());
    front.arguments =
        ["--edge", &paths[0], "--cells", &paths[1], "--control", &paths[2]].map(String::from).to_vec();
    let mut process = front.start(&bus, true);
    if !process.ready(8000) {
        return Verdict::NotRun("the front is not ready".into());
    }
    sleep_ms(500);
    let at = front.listen;
    let mut clients = Vec::new();
    for round in 0..2u64 {
        // Large objects are being sent while the configuration changes.
        for number in 0..3 {
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let item = LARGE + round * 16 + number;
                let (script, parameters) = request("video-parts", item, 0xb000 + item, LARGE_MS * 8);
                let parameters: Vec<_> = parameters
                    .into_iter()
                    .map(|(n, v)| if n == "HTTP_X_ALLOW_MS" { (n, "5000".into()) } else { (n, v) })
                    .collect();
                let got = Fcgi::connect(at).and_then(|mut c| {
                    c.send(&script, &parameters, b"")?;
                    c.answer(5200)
                });
                record.line(format!("large object {item:x}: {:?}", got.map(|a| a.status)));
            }));
        }
        sleep_ms(200);
        if trouble {
            // The attempts are reduced: from 8 to 7, then to 6.
            let from = format!("\"TryLimit\":{}", 8 - round);
            front.settings = front.settings.replace(&from, &format!("\"TryLimit\":{}", 7 - round));
            front.write_config(&bus);
            process.signal("HUP");
            let until = Instant::now() + Duration::from_secs(3);
            let wanted = format!("\"reloads_ok\":{}", round + 1);
            while !process.call("METRICS").contains(&wanted) {
                if Instant::now() > until {
                    return Verdict::NotRun("the new configuration is not taken".into());
                }
                sleep_ms(20);
            }
            record.line(format!("new configuration {} is in force", round + 1));
        }
        sleep_ms(800);
    }
    let change = |text: &str| -> Option<String> {
        fs::write(&cells, text).unwrap();
        let plan = folder.0.join("plan.json").display().to_string();
        let (planned, said) = elmtide(&[
            "plan",
            "--edge",
            &paths[0],
            "--cells",
            &paths[1],
            "--control",
            &paths[2],
            "--out",
            &plan,
        ]);
        let (applied, answer) = elmtide(&["apply", "--control", &paths[2], &plan]);
        record.line(format!("plan and apply of cells: {planned} {applied}"));
        (planned != 2 || applied != 0).then(|| format!("{said} {answer}"))
    };
    if let Some(why) = change("[[cell]]\nname = \"all\"\nboxes = [\"c0\", \"c1\", \"c2\"]\n") {
        return Verdict::NotRun(why);
    }
    sleep_ms(500);
    bus.tell(&topology(2, false, &[line(2, "leaving")]));
    let told_at = now_ms();
    record.line("c2 is leaving");
    sleep_ms(1000);
    if let Some(why) = change("") {
        return Verdict::NotRun(why);
    }
    bus.tell(&topology(3, false, &[line(1, "active")]));
    let mut served = 0;
    for number in 0..300u64 {
        let (script, parameters) = request("small-files", 0x100 + number % 60, 0xc_0000 + number, 200);
        let got = Fcgi::connect(at).and_then(|mut c| {
            c.send(&script, &parameters, b"")?;
            c.answer(2600)
        });
        served += usize::from(matches!(got, Ok(a) if a.status == 200));
        sleep_ms(10);
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    for (n, node) in boxes.iter().enumerate() {
        let seen: Vec<Want> = node.seen().into_iter().filter(|w| w.at > told_at).collect();
        record.line(format!(
            "c{n}: {} requests since c2 is leaving, the last {:.0} ms after",
            seen.len(),
            seen.last().map_or(0.0, |w| w.at - told_at)
        ));
    }
    let late: Vec<Want> = boxes[2].seen().into_iter().filter(|w| w.at > told_at + GRACE_MS).collect();
    let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(format!("log: {line}")));
    drop(process);
    if served < 200 {
        return Verdict::NotRun(format!("{served} requests were served"));
    }
    match late.last() {
        None => Verdict::Held(format!("{served} requests were served, none by c2 later than 2 s after the telling")),
        Some(last) => Verdict::Broken(format!(
            "c2 got {} requests later than 2 s after the front was told that it drains, the last {:.0} ms after",
            late.len(),
            last.at - told_at
        )),
    }
}

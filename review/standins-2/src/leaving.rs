//! The machine of a front is taken out for work while its clients still ask. No case: by hand only.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::permit::{agrees, fleet, stage};
use crate::Verdict;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let boxes: Vec<Node> = (0..3)
        .map(|_| {
            Node::start(Arc::new(|want| {
                Some(Reply {
                    after_ms: 1500,
                    word: "HIT",
                    fields: format!("digest={},dated={},remark=local", want.field("thing"), now_ms() as u64),
                    body: vec![b'v'; 20_000],
                })
            }))
        })
        .collect();
    let origin = Node::start(Arc::new(|_| None));
    let bus = Bus::start();
    let mut servers: Vec<String> = (boxes.iter().enumerate())
        .map(|(n, b)| server(&format!("c-{}", n + 1), b.at, "edge-1", "small", "active", 8.0, 0.0))
        .collect();
    servers.push(server("o-1", origin.at, "east", "origin", "active", 50.0, 0.0));
    bus.tell(&topology(1, true, &servers));
    let mut fronts = fleet(&folder.0);
    for front in &fronts {
        let file = &front.arguments[1];
        let mut text = fs::read_to_string(file).unwrap();
        for name in ["n1", "n2", "n3"] {
            text += &format!("[[machine]]\nname = \"host-{name}\"\nlocation = \"pest\"\nhub = \"east\"\nkind = \"front\"\nweight = 1.0\nfront = \"{name}\"\n");
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
    let at = fronts[2].listen;
    // Clients of n3: each asks once, on a connection of its own. With the disruption they go on for 0.6 s after the job.
    let ask = |number: u64| {
        let record = record.clone();
        thread::spawn(move || {
            let id = 0xa000 + number;
            let parameters = [
                ("HTTP_X_JOB_ID", format!("{id:016x}")),
                ("HTTP_X_ALLOW_MS", "2500".into()),
                ("HTTP_X_ITEM", format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 12)),
                ("HTTP_X_SLICE", "0".into()),
                ("HTTP_X_SET", "1".into()),
                ("HTTP_X_RAM_KB", "12000".into()),
            ];
            let sent = now_ms();
            let answer = Fcgi::connect(at).and_then(|mut c| {
                c.send("/api/v2/small-files", &parameters, b"")?;
                c.answer(2700)
            });
            let ended = now_ms();
            record.line(format!("client of n3, request {id:016x}: {:?}", answer.as_ref().map(|a| a.status)));
            (sent, ended, answer.map_or(0, |a| a.status))
        })
    };
    let (code, said) =
        elmtide(&["work", "--fleet", &look, "out", "host-n3", "--reason", "kernel", "--minutes", "5"]);
    record.line(format!("elmtide work out host-n3: {code} {}", said.trim()));
    let begun = Instant::now();
    let (mut clients, mut number, mut before, mut released) = (Vec::new(), 0, String::new(), None);
    while begun.elapsed() < Duration::from_secs(6) && released.is_none_or(|at: f64| now_ms() < at + 600.0) {
        let now = stage(&look, "host-n3");
        if now != before {
            record.line(format!("stage of host-n3: {now}"));
            before.clone_from(&now);
            if now == "released" {
                released = Some(now_ms());
            }
        }
        if trouble && now == "released" && begun.elapsed() < Duration::from_millis(900) {
            number += 1;
            clients.push(ask(number));
        }
        sleep_ms(40);
    }
    let answers: Vec<(f64, f64, u16)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    for (sent, ended, status) in &answers {
        record.line(format!(
            "sent {:.0} ms after the release, ended after {:.0}: {status}",
            sent - released.unwrap_or(0.0),
            ended - sent
        ));
    }
    for front in &fronts {
        let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
        log.lines().for_each(|line| record.line(format!("log of {}: {line}", front.name)));
    }
    drop(processes);
    let served = answers.iter().filter(|a| a.2 == 200).count();
    if released.is_none() {
        return Verdict::NotRun("not released".into());
    }
    match served {
        0 => Verdict::Held("nothing was open at the front".into()),
        n => {
            Verdict::Broken(format!("{n} requests were taken and open at n3 after its machine was released"))
        }
    }
}

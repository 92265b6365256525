//! A front with cells is killed and started again soon after a purge.

use std::collections::BTreeMap;
use std::fs;
use std::sync::{Arc, Mutex};

use crate::kit::*;
use crate::Verdict;

/// The group that is purged.
const GROUP: u32 = 17;
/// PurgeSlackMs of the settings, and the 50 ms by which every time limit is longer on sockets.
const SLACK_MS: f64 = 1050.0;
/// A box drops older copies in its own time, within PurgeTakesMs.
const DROPS_AFTER_MS: f64 = 5800.0;

/// What a box has answered: when the request came, and from when the copy was.
struct Answered {
    at: f64,
    dated: f64,
    accept: String,
}

struct Copies {
    dated: BTreeMap<String, f64>,
    purged_at: Option<f64>,
    answered: Vec<Answered>,
}

/// A sound box: it keeps copies, gives none older than `accept`, and drops purged ones late.
fn keeping_box(copies: &Arc<Mutex<Copies>>) -> Node {
    let copies = copies.clone();
    Node::start(Arc::new(move |want| {
        let mut copies = copies.lock().unwrap();
        let accept = want.field("accept").parse::<f64>().ok().filter(|a| *a > 0.0);
        let purged_at = copies.purged_at;
        let kept = copies.dated.get(want.field("thing")).copied();
        let usable = kept.filter(|dated| {
            accept.is_none_or(|oldest| want.at - dated <= oldest)
                && purged_at.is_none_or(|at| *dated >= at || want.at < at + DROPS_AFTER_MS)
        });
        let dated = usable.unwrap_or(want.at);
        copies.dated.insert(want.field("thing").to_owned(), dated);
        copies.answered.push(Answered { at: want.at, dated, accept: want.field("accept").to_owned() });
        Some(Reply {
            after_ms: 20,
            word: "HIT",
            fields: format!(
                "digest={:x},dated={},remark={}",
                dated as u64,
                dated as u64,
                if usable.is_some() { "local" } else { "pulled" }
            ),
            body: b"the contract".to_vec(),
        })
    }))
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let copies =
        Arc::new(Mutex::new(Copies { dated: BTreeMap::new(), purged_at: None, answered: Vec::new() }));
    // Both boxes give the same copies, so that it makes no difference which of them is asked.
    let boxes = [keeping_box(&copies), keeping_box(&copies)];
    let origin = Node::start(Arc::new(|_| None));
    let bus = Bus::start();
    let mut servers: Vec<String> = (boxes.iter().enumerate())
        .map(|(n, b)| server(&format!("c{n}"), b.at, "edge-1", "small", "active", 5.0, 0.0))
        .collect();
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
    fs::write(
        &cells,
        "[[cell]]\nname = \"one\"\nboxes = [\"c0\"]\n[[cell]]\nname = \"two\"\nboxes = [\"c1\"]\n",
    )
    .unwrap();
    front.arguments = [
        "--edge",
        &edge.display().to_string(),
        "--cells",
        &cells.display().to_string(),
        "--control",
        &front.control().display().to_string(),
    ]
    .map(String::from)
    .to_vec();
    let mut process = front.start(&bus, true);
    if !process.ready(8000) {
        return Verdict::NotRun("the front is not ready".into());
    }
    let mut job = 0u64;
    let at = front.listen;
    let mut ask = |item: u64| {
        job += 1;
        let parameters = [
            ("HTTP_X_JOB_ID", format!("{:016x}", job << 8)),
            ("HTTP_X_ALLOW_MS", "2500".into()),
            ("HTTP_X_ITEM", format!("{item:016x}")),
            ("HTTP_X_SLICE", "0".into()),
            ("HTTP_X_SET", GROUP.to_string()),
            ("HTTP_X_RAM_KB", "400".into()),
        ];
        Fcgi::connect(at).and_then(|mut c| {
            c.send("/api/v2/small-files", &parameters, b"")?;
            c.answer(2600)
        })
    };
    // Ten objects of the group are kept.
    let items: Vec<u64> = (1..=10).map(|n| 0x1000 + n).collect();
    sleep_ms(500);
    for item in &items {
        let said = ask(*item).map(|a| a.status);
        record.line(format!("object {item:x} is asked for: {said:?}"));
    }
    sleep_ms(500);
    let purged_at = now_ms();
    copies.lock().unwrap().purged_at = Some(purged_at);
    bus.tell(&format!("\"ban\":{{\"tag\":{GROUP},\"ts\":{}}}", purged_at.ceil() as u64));
    record.line(format!("group {GROUP} is purged"));
    sleep_ms(200);
    let mut told_at = now_ms();
    if trouble {
        drop(process);
        record.line("the front is killed");
        process = front.start(&bus, true);
        if !process.ready(8000) {
            return Verdict::NotRun("the new process is not ready".into());
        }
        told_at = now_ms();
        record.line(format!("it is ready again; the file's `known` has the purge: {}", bus.since(1)));
    }
    let counts_from = told_at + SLACK_MS;
    let mut answered = 0;
    while now_ms() < purged_at + DROPS_AFTER_MS - 300.0 {
        for item in &items {
            let said = ask(*item).map(|a| a.status);
            answered += usize::from(matches!(said, Ok(200)) && now_ms() > counts_from);
        }
        sleep_ms(100);
    }
    let copies = copies.lock().unwrap();
    let late = copies.answered.iter().filter(|a| a.at >= counts_from && a.at < purged_at + DROPS_AFTER_MS);
    let (mut old, mut worst) = (0, 0.0);
    for answer in late {
        let is_old = answer.dated < purged_at.floor();
        if is_old {
            old += 1;
            worst = f64::max(worst, answer.at - told_at);
        }
        record.line(format!(
            "request {:.0} ms after the telling, accept={:?}: answered from a copy {:.0} ms {} the purge",
            answer.at - told_at,
            answer.accept,
            (answer.dated - purged_at).abs(),
            if is_old { "older than" } else { "after" }
        ));
    }
    let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(format!("log: {line}")));
    drop(process);
    if answered < 10 {
        return Verdict::NotRun(format!("only {answered} requests were served"));
    }
    match old {
        0 => Verdict::Held(format!("{answered} requests were served, none from a purged copy")),
        n => Verdict::Broken(format!(
            "{n} requests sent later than 1 s after the telling, up to {worst:.0} ms, were answered from purged copies"
        )),
    }
}

//! A box is out for work while a front's cells are taken back by plan and apply.

use std::fs;
use std::sync::Arc;
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
    let mut servers: Vec<String> = (boxes.iter().enumerate())
        .map(|(n, b)| server(&format!("c-{}", n + 1), b.at, "edge-1", "small", "active", 8.0, 0.0))
        .collect();
    servers.push(server("o-1", origin.at, "east", "origin", "active", 50.0, 0.0));
    bus.tell(&topology(1, true, &servers));
    let mut fronts = fleet(&folder.0);
    let mut files = Vec::new();
    for front in &mut fronts {
        let (edge, cells) = (front.folder.join("edge.toml"), front.folder.join("cells.toml"));
        let (dns, http) = (free("127.0.0.1"), free("127.0.0.1"));
        fs::write(
            &edge,
            format!(
                "zone = \"edge.example.\"\nttl_s = 1\n[[front]]\nname = \"{}\"\ndns = [\"{dns}\"]\nhttp = [\"{http}\"]\n\
                 [[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n",
                front.name
            ),
        )
        .unwrap();
        let paths = [&edge, &cells, &front.control()].map(|p| p.display().to_string());
        let more = ["--edge", &paths[0], "--cells", &paths[1], "--control", &paths[2]].map(String::from);
        front.arguments.extend(more);
        files.push(paths);
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
    let change = |text: &str| -> Option<String> {
        let [edge, cells, control] = &files[0];
        fs::write(cells, text).unwrap();
        let plan = folder.0.join("plan.json").display().to_string();
        let (planned, said) =
            elmtide(&["plan", "--edge", edge, "--cells", cells, "--control", control, "--out", &plan]);
        let (applied, answer) = elmtide(&["apply", "--control", control, &plan]);
        record.line(format!("plan and apply of n1's cells: {planned} {applied}"));
        (planned != 2 || applied != 0).then(|| format!("plan or apply: {said} {answer}"))
    };
    if let Some(why) = change("[[cell]]\nname = \"all\"\nboxes = [\"c-1\", \"c-2\", \"c-3\"]\n") {
        return Verdict::NotRun(why);
    }
    sleep_ms(500);
    let before = (0..60).filter(|_| ask()).count();
    let used = boxes[0].seen().len();
    record.line(format!("60 requests to n1: {before} served, {used} of them by c-1"));
    let (code, said) =
        elmtide(&["work", "--fleet", &look, "out", "c-1", "--reason", "kernel", "--minutes", "5"]);
    record.line(format!("elmtide work out c-1: {code} {}", said.trim()));
    let until = Instant::now() + Duration::from_secs(15);
    while stage(&look, "c-1") != "released" {
        if code != 0 || Instant::now() > until {
            return Verdict::NotRun("c-1 was not released".into());
        }
        sleep_ms(50);
    }
    record.line("c-1 is released for work");
    // What was decided before is over.
    sleep_ms(2500);
    let released = now_ms();
    if trouble {
        if let Some(why) = change("") {
            return Verdict::NotRun(why);
        }
    }
    sleep_ms(300);
    let mut served = 0;
    for _ in 0..200 {
        served += usize::from(ask());
        sleep_ms(10);
    }
    let still = stage(&look, "c-1");
    record.line(format!("200 requests to n1: {served} served; stage of c-1: {still}"));
    let late: Vec<f64> =
        boxes[0].seen().iter().filter(|w| w.at > released).map(|w| w.at - released).collect();
    for (n, node) in boxes.iter().enumerate() {
        let count = node.seen().iter().filter(|w| w.at > released).count();
        record.line(format!("c-{}: {count} requests since then", n + 1));
    }
    for front in &fronts {
        let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
        log.lines().for_each(|line| record.line(format!("log of {}: {line}", front.name)));
    }
    drop(processes);
    if used == 0 || served < 150 || still != "released" {
        return Verdict::NotRun(format!(
            "c-1 served {used} at first, {served} were served, its stage is {still:?}"
        ));
    }
    match late.len() {
        0 => Verdict::Held(format!("{served} requests were served, none by the box that is worked on")),
        n => Verdict::Broken(format!(
            "c-1 got {n} of n1's requests while it was released for work, the last {:.0} ms after the cells were taken back",
            late[n - 1]
        )),
    }
}

//! A box is taken out for work while a front that has requests open there is told to end.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::Verdict;

/// Sending time of the requests, ms, and their size at `ClientKbPerS`.
const WORK_MS: u64 = 2800;
const SIZE_KB: u64 = WORK_MS * 8;
const NAMES: [&str; 3] = ["n1", "n2", "n3"];

/// Three fronts that vote, and their files: boxes c-1 to c-3 can be taken out for work, one at a time.
pub fn fleet(folder: &Path) -> Vec<Front> {
    let key = folder.join("fleet.key");
    fs::write(&key, "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n").unwrap();
    fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).unwrap();
    let peers = [(); 3].map(|()| free("127.0.0.1"));
    let mut fronts: Vec<Front> = Vec::new();
    for (place, name) in NAMES.iter().enumerate() {
        let mut front = Front::new(folder, name, settings(3, place as u32));
        let mut text = format!(
            "installation = \"review\"\nkey_file = \"{}\"\nversion = 1\nstore = \"{}\"\nlook = \"{}\"\ntick_ms = 50.0\nlease_ms = 2000.0\n",
            key.display(),
            front.folder.join("fleet.redb").display(),
            front.folder.join("fleet.sock").display()
        );
        for (name, at) in NAMES.iter().zip(peers) {
            text +=
                &format!("[[front]]\nname = \"{name}\"\naddress = \"{at}\"\nsite = \"pest\"\nvotes = true\n");
        }
        text += "[[budget]]\nkind = \"retries\"\nrate = 100.0\nburst = 100.0\nfloor = 0.2\n";
        text += "[work]\nper_location = 1\nmargin_percent = 20\nfurther_loss = false\nback = \"word\"\n";
        for n in 1..4 {
            text += &format!(
                "[[machine]]\nname = \"c-{n}\"\nlocation = \"pest\"\nhub = \"east\"\nkind = \"box\"\nweight = 8.0\n"
            );
        }
        let file = front.folder.join("fleet.toml");
        fs::write(&file, text).unwrap();
        front.arguments = vec!["--fleet".into(), file.display().to_string()];
        fronts.push(front);
    }
    fronts
}

/// Waits until the fronts agree on a leader.
pub fn agrees(look: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while !elmtide(&["work", "--json", "--fleet", look]).1.contains("\"contact\":true") {
        if Instant::now() > until {
            return false;
        }
        sleep_ms(100);
    }
    true
}

/// The stage of a machine in what `elmtide work --json` prints; empty if it is in no job.
pub fn stage(fleet: &str, machine: &str) -> String {
    let (_, text) = elmtide(&["work", "--json", "--fleet", fleet]);
    let text: String = text.chars().filter(|c| !c.is_whitespace()).collect();
    let Some(at) = text.find(&format!("\"machine\":\"{machine}\"")) else { return String::new() };
    let rest = &text[at..];
    let Some(at) = rest.find("\"stage\":\"") else { return String::new() };
    rest[at + 9..].split('"').next().unwrap_or("").to_owned()
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    // A sound box: each answer takes its sending time.
    let boxes: Vec<Node> = (0..3)
        .map(|_| {
            Node::start(Arc::new(|want| {
                Some(Reply {
                    after_ms: WORK_MS,
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
    record.line(format!(
        "leader: {:?}",
        elmtide(&["work", "--json", "--fleet", &look])
            .1
            .split("\"leader\":")
            .nth(1)
            .map(|t| t.chars().take(8).collect::<String>())
    ));
    // Clients of n2 ask for 8 large parts of videos.
    let mut clients = Vec::new();
    for number in 0..8u64 {
        let (at, record) = (fronts[1].listen, record.clone());
        clients.push(thread::spawn(move || {
            let id = 0xa000 + number;
            let parameters = [
                ("HTTP_X_JOB_ID", format!("{id:016x}")),
                ("HTTP_X_ALLOW_MS", "5000".into()),
                ("HTTP_X_ITEM", format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 12)),
                ("HTTP_X_SLICE", "0".into()),
                ("HTTP_X_SET", "1".into()),
                ("HTTP_X_RAM_KB", SIZE_KB.to_string()),
            ];
            let answer = Fcgi::connect(at).and_then(|mut c| {
                c.send("/api/v2/video-parts", &parameters, b"")?;
                c.answer(5200)
            });
            let said = answer.map(|a| format!("{} with {} bytes", a.status, a.body.len()));
            record.line(format!("client of n2, request {id:016x}: {said:?}"));
        }));
    }
    sleep_ms(300);
    let open = boxes[0].out();
    record.line(format!("out at c-1: {}", open.iter().map(|(id, _)| &id[..]).collect::<Vec<_>>().join(" ")));
    if open.is_empty() {
        return Verdict::NotRun("no request of n2 is at c-1".into());
    }
    let (code, said) =
        elmtide(&["work", "--fleet", &look, "out", "c-1", "--reason", "kernel", "--minutes", "5"]);
    record.line(format!("elmtide work out c-1: {code} {}", said.trim()));
    if code != 0 {
        return Verdict::NotRun("the job was not agreed".into());
    }
    let mut before = String::new();
    let mut told_to_end = false;
    let begun = Instant::now();
    let verdict = loop {
        let now = stage(&look, "c-1");
        if now != before {
            record.line(format!("stage of c-1: {now}"));
            before.clone_from(&now);
        }
        if now == "leaving" && trouble && !told_to_end {
            processes[1].signal("TERM");
            record.line("n2 gets SIGTERM");
            told_to_end = true;
        }
        if now == "released" {
            // An attempt counts only if it was out before, and still is a while after the release was shown.
            let at_release = boxes[0].out();
            sleep_ms(150);
            let still: Vec<String> =
                boxes[0].out().into_iter().filter(|o| at_release.contains(o)).map(|(id, _)| id).collect();
            record.line(format!("c-1 is released; out there: {}", still.join(" ")));
            if still.is_empty() {
                break Verdict::Held("c-1 was released when nothing was open there".into());
            }
            let ends = processes[1].ended();
            break Verdict::Broken(format!(
                "c-1 was released for work while {} requests of n2 were open there (n2 still runs: {})",
                still.len(),
                !ends
            ));
        }
        if begun.elapsed() > Duration::from_secs(20) {
            break Verdict::NotRun(format!("c-1 was not released, its stage is {now:?}"));
        }
        sleep_ms(20);
    };
    clients.into_iter().for_each(|c| drop(c.join()));
    for front in &fronts {
        let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
        log.lines().for_each(|line| record.line(format!("log of {}: {line}", front.name)));
    }
    drop(processes);
    verdict
}

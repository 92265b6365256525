//! A signup whose front is taken out, while the front that takes its keys is replaced.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::Verdict;

/// The class's time, over all tries of a client.
const CLIENT_MS: u64 = 3000;

fn edge(http: &[SocketAddr; 2], dns: &[SocketAddr; 2], first_state: &str) -> String {
    format!(
        "zone = \"edge.example.\"\nttl_s = 1\n\
         [[front]]\nname = \"n1\"\ndns = [\"{}\"]\nhttp = [\"{}\"]\nstate = \"{first_state}\"\ncling_s = 10\n\
         [[front]]\nname = \"n2\"\ndns = [\"{}\"]\nhttp = [\"{}\"]\n\
         [[name]]\nname = \"branch\"\naddresses = [\"{}\", \"{}\"]\n",
        dns[0], http[0], dns[1], http[1], http[0].ip(), http[1].ip()
    )
}

fn head(item: u64, job: u64) -> String {
    format!(
        "POST /api/v2/plan-signup HTTP/1.1\r\nX-Item: {item:016x}\r\nX-Job-Id: {job:016x}\r\nX-Set: 3\r\n\
         X-Allow-Ms: 3000\r\nIdempotency-Key: signup-{item}"
    )
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    // A signup runs at the origin in 150 ms, once for each `want` that has come whole.
    let node = Node::start(Arc::new(|want| {
        Some(Reply {
            after_ms: 150,
            word: "HIT",
            fields: format!("digest={},dated={},remark=pulled", want.field("thing"), now_ms() as u64),
            body: b"recorded".to_vec(),
        })
    }));
    let origin = Node::start(Arc::new(|_| None));
    let bus = Bus::start();
    bus.tell(&topology(
        1,
        true,
        &[
            server("c1", node.at, "edge-1", "small", "active", 20.0, 0.0),
            server("o1", origin.at, "east", "origin", "active", 5.0, 0.0),
        ],
    ));
    let http_at = [free("127.0.0.1"), free("127.0.0.2")];
    let dns_at = [free("127.0.0.1"), free("127.0.0.2")];
    let files = [folder.0.join("edge-1.toml"), folder.0.join("edge-2.toml")];
    let mut fronts: Vec<Front> = Vec::new();
    for (place, name) in ["n1", "n2"].iter().enumerate() {
        fs::write(&files[place], edge(&http_at, &dns_at, "serving")).unwrap();
        let mut front = Front::new(&folder.0, name, settings(2, place as u32));
        let (file, control) = (files[place].display().to_string(), front.control().display().to_string());
        front.arguments = vec!["--edge".into(), file, "--control".into(), control];
        fronts.push(front);
    }
    let mut first = fronts[0].start(&bus, true);
    let mut old = fronts[1].start(&bus, true);
    if !first.ready(8000) || !old.ready(8000) {
        return Verdict::NotRun("a front is not ready".into());
    }
    // Until the ledger of a front is open, signups are refused: for the longest deadline after its start.
    let until = Instant::now() + Duration::from_secs(15);
    let mut warm = 1_000_000;
    for at in http_at {
        loop {
            warm += 1;
            let got = http(at, &head(warm, warm), b"plan", 2000);
            match got.map(|r| r.status) {
                Ok(200) => break,
                _ if Instant::now() > until => return Verdict::NotRun("signups are not taken".into()),
                _ => sleep_ms(100),
            }
        }
    }
    // Clients ask the second front first; it names the first for keys that are the first's.
    let mut items = Vec::new();
    let mut item = 1;
    while items.len() < 6 && item < 200 {
        item += 1;
        match http(http_at[1], &head(item, 0x1000 + item), b"plan", 2000) {
            Ok(r) if r.status == 421 => items.push(item),
            Ok(_) => {}
            Err(why) => return Verdict::NotRun(format!("a signup at n2: {why}")),
        }
    }
    let sent_at = Instant::now();
    let sent_unix = now_ms();
    for item in &items {
        // The link breaks just after the signup was sent.
        let mut stream = TcpStream::connect(http_at[0]).unwrap();
        let text = format!("{}\r\nHost: n1\r\nContent-Length: 4\r\n\r\nplan", head(*item, 0x2000 + item));
        stream.write_all(text.as_bytes()).unwrap();
        record.line(format!("client {item}: signup sent to n1, its link breaks 60 ms later"));
        thread::spawn(move || {
            sleep_ms(60);
            drop(stream);
        });
    }
    sleep_ms(250);
    // The first front is taken out, as the operators' page says: to that front first, then to the other.
    for (place, front) in fronts.iter().enumerate() {
        fs::write(&files[place], edge(&http_at, &dns_at, "draining")).unwrap();
        let (file, control) = (files[place].display().to_string(), front.control().display().to_string());
        let plan = folder.0.join(format!("plan-{place}.json")).display().to_string();
        let (planned, said) = elmtide(&["plan", "--edge", &file, "--control", &control, "--out", &plan]);
        let (applied, answer) = elmtide(&["apply", "--control", &control, &plan]);
        record.line(format!("plan and apply at {}: {planned} {applied}", front.name));
        if planned != 2 || applied != 0 {
            return Verdict::NotRun(format!("plan or apply: {said} {answer}"));
        }
    }
    let mut new = None;
    if trouble {
        let mut process = fronts[1].start(&bus, true);
        if !process.ready(8000) {
            return Verdict::NotRun("the new process is not ready".into());
        }
        old.signal("TERM");
        record.line("the new process of n2 says yes, the old one gets SIGTERM");
        new = Some(process);
    }
    // Each client asks again at the second front until it has an answer or its time is over.
    let mut clients = Vec::new();
    for item in items.clone() {
        let (record, at) = (record.clone(), http_at[1]);
        clients.push(thread::spawn(move || {
            sleep_ms(300);
            let mut job = 0x10_0000 + item * 100;
            while sent_at.elapsed() < Duration::from_millis(CLIENT_MS - 100) {
                job += 1;
                let left = CLIENT_MS - sent_at.elapsed().as_millis() as u64;
                let wait = match http(at, &head(item, job), b"plan", left) {
                    Ok(r) => {
                        let wait = r.headers.get("x-wait-ms").and_then(|w| w.parse::<u64>().ok());
                        record.line(format!("client {item}: n2 answers {} wait {wait:?}", r.status));
                        if r.status != 503 {
                            return;
                        }
                        // Clients follow waits up to MaxRetryAfterMs of the settings.
                        wait.unwrap_or(200).min(500)
                    }
                    Err(why) => {
                        record.line(format!("client {item}: n2: {why}"));
                        200
                    }
                };
                sleep_ms(wait.max(50));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(300);
    let (mut once, mut twice) = (0, 0);
    for item in &items {
        let thing = format!("{item:016x}");
        let runs: Vec<String> = node
            .seen()
            .iter()
            .filter(|w| w.field("profile") == "plan-signup" && w.field("thing") == thing)
            .map(|w| format!("job {} at {:.0} ms", w.id, w.at - sent_unix))
            .collect();
        record.line(format!("signup {item}: ran {} times: {}", runs.len(), runs.join(", ")));
        twice += usize::from(runs.len() > 1);
        once += usize::from(!runs.is_empty());
    }
    for front in &fronts {
        let log = fs::read_to_string(front.folder.join("log")).unwrap_or_default();
        log.lines().for_each(|line| record.line(format!("log of {}: {line}", front.name)));
    }
    drop((first, old, new));
    match twice {
        0 if once < items.len() => Verdict::NotRun(format!("only {once} of {} signups ran", items.len())),
        0 => Verdict::Held(format!("{} signups ran once each", items.len())),
        n => Verdict::Broken(format!("{n} of {} signups ran twice", items.len())),
    }
}

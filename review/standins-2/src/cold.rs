//! A branch comes back cold while the process of its front is replaced.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;
use crate::Verdict;

const WEIGHT: f64 = 4.0;
/// Sending time of each request, ms, and its size at `ClientKbPerS`.
const WORK_MS: f64 = 40.0;
const SIZE_KB: f64 = WORK_MS / 1000.0 * 8000.0;
// Of the settings: StartCapacity, WarmAfterMs, OverloadFactor, FallMs.
const START: f64 = 0.15;
const WARM_MS: f64 = 18_000.0;
const FACTOR: f64 = 3.0;
const WINDOW_MS: f64 = 3000.0;

/// What a box that started so long ago can do, in transfers at the full rate.
fn capacity(age_ms: f64) -> f64 {
    (START + (1.0 - START) * (age_ms / WARM_MS).clamp(0.0, 1.0)) * WEIGHT
}

/// A sound cold box: it holds twice what it can send at the full rate, which then takes twice as long, and sheds the rest.
fn cold_box(started: Arc<Mutex<f64>>) -> Node {
    let held: Arc<Mutex<Vec<f64>>> = Arc::default();
    Node::start(Arc::new(move |want| {
        let can = capacity(now_ms() - *started.lock().unwrap());
        let mut held = held.lock().unwrap();
        held.retain(|until| *until > now_ms());
        if held.len() as f64 >= 2.0 * can {
            return Some(Reply {
                after_ms: 0,
                word: "SHED",
                fields: "remark=no_place".into(),
                body: Vec::new(),
            });
        }
        held.push(now_ms() + 2.0 * WORK_MS);
        Some(Reply {
            after_ms: (2.0 * WORK_MS) as u64,
            word: "HIT",
            fields: format!(
                "digest={},dated={},remark=pulled,first=20",
                want.field("thing"),
                now_ms() as u64
            ),
            body: vec![b'x'; 2000],
        })
    }))
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let started: Arc<Mutex<f64>> = Arc::new(Mutex::new(now_ms()));
    let boxes = [cold_box(started.clone()), cold_box(started.clone())];
    let origin = Node::start(Arc::new(|_| None));
    let bus = Bus::start();
    // The branch is lost when the run begins.
    let origin_line = server("o1", origin.at, "east", "origin", "active", 50.0, 0.0);
    bus.tell(&topology(1, true, &[origin_line]));
    let mut front = Front::new(&folder.0, "n1", settings(1, 0));
    let mut old = front.start(&bus, true);
    if !old.ready(8000) {
        return Verdict::NotRun("the front is not ready".into());
    }
    sleep_ms(4000);
    // Clients: 118 at a time, about 470 requests a second, a new connection for every fourth request.
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new([const { AtomicU64::new(0) }; 3]));
    let mut clients = Vec::new();
    for client in 0..118u64 {
        let (at, stop, counts) = (front.listen, stop.clone(), counts.clone());
        clients.push(thread::spawn(move || {
            let (mut connection, mut next) = (None, Instant::now() + Duration::from_millis(client * 2));
            for number in 0..400u64 {
                if stop.load(Relaxed) {
                    return;
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next = (next + Duration::from_millis(250)).max(Instant::now());
                if number % 4 == 0 {
                    connection = Fcgi::connect(at).ok();
                }
                let Some(open) = &mut connection else { continue };
                let id = (client << 32 | number).wrapping_mul(0x9E37_79B9_7F4A_7C15);
                let parameters = [
                    ("HTTP_X_JOB_ID", format!("{id:016x}")),
                    ("HTTP_X_ALLOW_MS", "2500".into()),
                    ("HTTP_X_ITEM", format!("{:016x}", id >> 12)),
                    ("HTTP_X_SLICE", "0".into()),
                    ("HTTP_X_SET", (id >> 56).to_string()),
                    ("HTTP_X_RAM_KB", SIZE_KB.to_string()),
                ];
                let answer =
                    open.send("/api/v2/small-files", &parameters, b"").and_then(|()| open.answer(2600));
                let place = match &answer {
                    Ok(a) if a.status == 200 => 0,
                    Ok(_) => 1,
                    Err(_) => 2,
                };
                counts[place].fetch_add(1, Relaxed);
                if answer.is_err() {
                    connection = Fcgi::connect(at).ok();
                }
            }
        }));
    }
    sleep_ms(1000);
    let mut new = None;
    if trouble {
        let mut process = front.start(&bus, true);
        if !process.ready(8000) {
            return Verdict::NotRun("the new process is not ready".into());
        }
        record.line("the new process says yes");
        new = Some((process, Instant::now()));
    }
    sleep_ms(200);
    let began = now_ms();
    *started.lock().unwrap() = began;
    let lines: Vec<String> = (boxes.iter().enumerate())
        .map(|(n, b)| server(&format!("c{n}"), b.at, "edge-1", "small", "active", WEIGHT, began))
        .collect();
    bus.tell(&topology(2, false, &lines));
    record.line("the branch is back: two boxes, cold, of weight 4");
    if let Some((process, yes_at)) = &new {
        // SIGTERM comes within 6 s of the yes.
        thread::sleep(Duration::from_millis(5800).saturating_sub(yes_at.elapsed()));
        record.line(format!("new process: {}", process.call("METRICS").lines().next().unwrap_or("")));
        record.line(format!("old process: {}", old.call("METRICS").lines().next().unwrap_or("")));
        old.signal("TERM");
        record.line("SIGTERM to the old process");
    } else {
        sleep_ms(5600);
    }
    sleep_ms(4000);
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let [served, other, broken] = [0, 1, 2].map(|n| counts[n].load(Relaxed));
    record.line(format!("clients: {served} served, {other} refused or failed, {broken} without an answer"));
    drop((old, new));
    // The rule: the requests of mean work in every window of FallMs, against what the settings allow at its end.
    let mut worst = (f64::MIN, String::new());
    for (n, node) in boxes.iter().enumerate() {
        let at: Vec<f64> = node.seen().iter().map(|w| w.at - began).collect();
        let mut first = 0;
        for (last, end) in at.iter().enumerate() {
            while at[first] < end - WINDOW_MS {
                first += 1;
            }
            let count = (last - first + 1) as f64;
            let allowed = FACTOR * capacity(*end) * WINDOW_MS / WORK_MS;
            let limit = if allowed < 30.0 {
                allowed + 3.0 * allowed.sqrt() + 3.0
            } else {
                allowed + 2.0 * allowed.sqrt() + 2.0
            };
            if count - limit > worst.0 {
                let text = format!("box {n}, 3 s up to {end:.0} ms after its start: {count} requests, N = {allowed:.0}, it falls at {limit:.0}");
                worst = (count - limit, text);
            }
        }
        let mut by_second = [0; 16];
        at.iter().for_each(|a| by_second[(a / 1000.0).clamp(0.0, 15.0) as usize] += 1);
        record.line(format!("box {n}: requests by second since its start {by_second:?}"));
    }
    if worst.0 > 0.0 {
        return Verdict::Broken(worst.1);
    }
    if served < 100 {
        return Verdict::NotRun("hardly anything was served".into());
    }
    Verdict::Held(worst.1)
}

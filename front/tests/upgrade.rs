//! An upgrade with two processes on one inherited listener, one `TMPDIR` and the same addresses of the second front:
//! the old one is killed, stopped or left to end at each step while signups are half done. Nothing runs twice, and
//! the new process takes signups when it knows, or has outwaited, what the old one ran.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::faults::Faults;
use elmtide_standins::front::{Folder, Front, Handed, Setup, SETTINGS};
use elmtide_standins::node::{runs, Behaviour, Node, Origin};
use elmtide_standins::ports::free_port;
use elmtide_standins::shopper::{signup, Http};
use elmtide_standins::{till, until, PATIENCE};
use rstest::rstest;

/// The settings' longest deadline: a client gives a signup up after it.
const DEADLINE: Duration = Duration::from_millis(900);

/// What becomes of the old process, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Killed while the new one starts.
    KilledBeforeYes,
    KilledAfterYes,
    /// Killed in its drain, with the signup half done.
    KilledAfterTerm,
    /// Stopped at its end for longer than the new one waits, then killed.
    StoppedAtTerm,
    /// Ends by itself, after its drain.
    Ends,
}

struct Scene {
    bus: Bus,
    node: Node,
    handed: Handed,
    edge: String,
    http: SocketAddr,
}

impl Scene {
    fn new() -> Scene {
        let (bus, origin) = (Bus::start().unwrap(), Arc::new(Origin::default()));
        let node = Node::start("c-1", TcpListener::bind("127.0.0.1:0").unwrap(), &origin, 1).unwrap();
        node.set(Behaviour { delay: Duration::from_millis(400), ..Behaviour::default() });
        let far = "127.0.0.1:9".parse().unwrap();
        let servers = [
            listed("c-1", node.at, "edge-1", "small", "active"),
            listed("o-1", far, "east", "origin", "active"),
        ];
        bus.list(true, &servers);
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let port = || free_port(&[ip]).unwrap();
        let (http, dns) = (port(), port());
        let edge = format!(
            "zone = \"edge.example.\"\n[[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:{dns}\"]\n\
             http = [\"127.0.0.1:{http}\"]\n[[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n"
        );
        let http = SocketAddr::new(ip, http);
        Scene { bus, node, handed: Handed::new().unwrap(), edge, http }
    }

    fn start(&self) -> Front {
        self.start_in(Folder::new().unwrap())
    }

    fn start_in(&self, folder: Folder) -> Front {
        let setup = Setup {
            binary: Path::new(env!("CARGO_BIN_EXE_elmtide")),
            name: "n1",
            bus: self.bus.at,
            known: self.bus.known(),
            edge: &self.edge,
            cells: "",
            sockets: 1024,
        };
        Front::start_in(folder, &setup, Some(&self.handed)).unwrap()
    }

    fn asked(&self, body: &str) -> usize {
        runs([&self.node]).get(body.as_bytes()).copied().unwrap_or(0)
    }

    /// A client of the second front that asks again and again with its key until it is told an end or gives up.
    fn shopper(&self, key: &'static str, patience: Duration) -> JoinHandle<Option<u16>> {
        let at = self.http;
        std::thread::spawn(move || {
            let end = Instant::now() + patience;
            loop {
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return None;
                }
                let asked = Http::connect(at, left).and_then(|mut http| {
                    http.send(&signup(key))?;
                    http.reply()
                });
                match asked.map(|reply| reply.status) {
                    Ok(status @ (200 | 502)) => return Some(status),
                    _ => std::thread::sleep(Duration::from_millis(10)),
                }
            }
        })
    }

    /// A signup on the platform's connection, which its client does not repeat. Gives the status, if one came.
    fn platform(&self, body: &'static str) -> JoinHandle<Option<String>> {
        let at = self.handed.listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let mut stream = TcpStream::connect(at).unwrap();
            stream.set_read_timeout(Some(2 * DEADLINE)).unwrap();
            stream.write_all(&till::request("plan-signup", "9b1f03aa5c7e2d41", 900, body, false)).unwrap();
            till::status(&mut stream)
        })
    }
}

#[rstest]
#[case(Step::KilledBeforeYes)]
#[case(Step::KilledAfterYes)]
#[case(Step::KilledAfterTerm)]
#[case(Step::StoppedAtTerm)]
#[case(Step::Ends)]
fn no_signup_runs_twice_over_an_upgrade(#[case] step: Step) {
    let scene = Scene::new();
    let mut old = scene.start();
    old.log.wait("ledger: open", 0).unwrap();
    assert_eq!(scene.shopper("done", DEADLINE).join().unwrap(), Some(200));

    let platform = scene.platform("platform");
    let half = scene.shopper("half", DEADLINE);
    assert!(until(|| scene.asked("half") > 0 && scene.asked("platform") > 0), "both are half done");
    if step == Step::KilledBeforeYes {
        old.kill();
    }
    let new = scene.start();
    match step {
        Step::KilledBeforeYes => {}
        Step::KilledAfterYes => old.kill(),
        Step::KilledAfterTerm => {
            old.signal("TERM").unwrap();
            old.log.wait("draining: ", 0).unwrap();
            old.kill();
        }
        Step::StoppedAtTerm => {
            old.signal("TERM").unwrap();
            // It has given its addresses up, and stays for a second at least.
            new.log.wait("edge: http on ", 0).unwrap();
            old.signal("STOP").unwrap();
        }
        Step::Ends => old.signal("TERM").unwrap(),
    }

    // New signups go on; what is asked with the old keys is told, or refused, and never run again.
    let next = scene.shopper("next", PATIENCE);
    let (half, platform) = (half.join().unwrap(), platform.join().unwrap());
    assert_eq!(next.join().unwrap(), Some(200), "the new process takes signups");
    new.log.wait("ledger: open", 0).unwrap();
    if step == Step::StoppedAtTerm {
        // It goes on after the new one has run signups: what it knows must be of no effect now.
        old.signal("CONT").unwrap();
    }
    if matches!(step, Step::Ends | Step::StoppedAtTerm) {
        assert!(until(|| old.has_ended()));
    }
    if step == Step::Ends {
        old.log.wait("ledger: left to the next process", 0).unwrap();
        new.log.wait("ledger: taken over from the process before", 0).unwrap();
        assert_eq!(
            (half, platform.as_deref()),
            (Some(200), Some("200")),
            "the old one finishes what it holds"
        );
        let again = scene.shopper("done", DEADLINE).join().unwrap();
        assert_eq!(again, Some(200), "the new one repeats what the old one ran");
    }
    for key in ["done", "half", "platform", "next"] {
        assert_eq!(scene.asked(key), 1, "{key} at the node, {step:?}");
    }

    // A third process knows the second's signups by its seal, and not by what the first may have left later.
    let mut new = new;
    let third = scene.start();
    assert_eq!(scene.shopper("last", DEADLINE).join().unwrap(), Some(200));
    new.signal("TERM").unwrap();
    assert!(until(|| new.has_ended()));
    third.log.wait("ledger: taken over from the process before", 0).unwrap();
    assert_eq!(scene.shopper("last", DEADLINE).join().unwrap(), Some(200));
    assert_eq!(scene.asked("last"), 1);
}

const HOUR_MS: i64 = 3_600_000;
/// Results are kept for six of the longest deadlines, far longer than the test takes.
const LONG_DEADLINE_MS: i64 = 3000;
/// A little less than that.
const MOST_OF_A_LIFE_MS: i64 = 17_500;

/// The wall clock is stepped between the starts of the two processes: what the old one ran is taken over, and repeated.
///
/// Each process counts its time from the Unix time of its own start, and the seal carried a moment of the old one's count. A step
/// forward made what had been sealed look old: the results were forgotten at once, and the same key ran again. After a step back, or
/// one by an hour, the seal was not used at all, and every signup was refused for the longest deadline.
#[rstest]
#[case::forward(MOST_OF_A_LIFE_MS)]
#[case::back(-MOST_OF_A_LIFE_MS)]
#[case::an_hour_forward(HOUR_MS)]
#[case::an_hour_back(-HOUR_MS)]
fn signups_outlast_an_upgrade_over_a_stepped_clock(#[case] step_ms: i64) {
    let control = Folder::new().unwrap();
    let faults = Faults::new(&control.0, 1).unwrap();
    let mut scene = Scene::new();
    scene.handed.environment = faults.environment().into();
    let start = |scene: &Scene| {
        let folder = Folder::new().unwrap();
        let settings =
            SETTINGS.replace("\"HardLimitMs\":900", &format!("\"HardLimitMs\":{LONG_DEADLINE_MS}"));
        std::fs::write(folder.0.join("settings.json"), settings).unwrap();
        scene.start_in(folder)
    };
    let mut old = start(&scene);
    old.log.wait("ledger: open", 0).unwrap();
    assert_eq!(scene.shopper("done", DEADLINE).join().unwrap(), Some(200));
    faults.set_wall_clock_offset(step_ms).unwrap();
    let new = start(&scene);
    old.signal("TERM").unwrap();
    assert!(until(|| old.has_ended()));
    new.log.wait("ledger: taken over from the process before: 1 keys", 0).unwrap();
    assert_eq!(scene.shopper("done", DEADLINE).join().unwrap(), Some(200));
    assert_eq!(scene.asked("done"), 1);
}

/// A signup that the old process takes on an open connection after it has given its addresses up, as late as it takes any.
const LATE_SIGNUP: Duration = Duration::from_millis(550);
/// Longer than the new process has the addresses when the old one is still running it.
const LATE_ANSWER: Duration = Duration::from_millis(2900);
/// When its client asks again: within its deadline, which began with the first try.
const ASKED_AGAIN: Duration = Duration::from_millis(3350);

/// Guards against a new process that takes signups while the old one still runs some that it does not know of.
#[test]
fn a_signup_that_the_old_process_takes_late_does_not_run_in_the_new_one() {
    let scene = Scene::new();
    let start = || {
        let folder = Folder::new().unwrap();
        let settings =
            SETTINGS.replace("\"HardLimitMs\":900", &format!("\"HardLimitMs\":{LONG_DEADLINE_MS}"));
        std::fs::write(folder.0.join("settings.json"), settings).unwrap();
        scene.start_in(folder)
    };
    let mut old = start();
    old.log.wait("ledger: open", 0).unwrap();
    scene.node.set(Behaviour { delay: LATE_ANSWER, ..Behaviour::default() });
    let mut client = Http::connect(scene.http, PATIENCE).unwrap();
    let new = start();
    let ended_at = Instant::now();
    old.signal("TERM").unwrap();
    std::thread::sleep(LATE_SIGNUP.saturating_sub(ended_at.elapsed()));
    client.send(&signup("late")).unwrap();
    assert!(until(|| scene.asked("late") == 1), "the old process takes it");
    // Its answer is lost.
    drop(client);
    std::thread::sleep(ASKED_AGAIN.saturating_sub(ended_at.elapsed()));
    let told = scene.shopper("late", PATIENCE).join().unwrap();
    assert!(until(|| old.has_ended()));
    new.log.wait("ledger: taken over from the process before: 1 keys", 0).unwrap();
    assert_eq!((scene.asked("late"), told), (1, Some(200)), "it ran once, and the new process knows how");
}

/// A front that is listed and does not run.
const OTHER_FRONT: &str = "[[front]]\nname = \"n9\"\nhttp = [\"127.0.0.9:9\"]\n";
const TAKES_KEYS_AFTER: &str = "hand_over_s = 30.0\n";

/// Guards against a process that replaces a key's new owner and does not know of the hand-over that a plan began: the former
/// owner may still run the signup.
#[test]
fn a_hand_over_of_keys_goes_on_in_the_next_process() {
    let mut scene = Scene::new();
    let alone = format!("{TAKES_KEYS_AFTER}{}", scene.edge);
    scene.edge = format!("{alone}{OTHER_FRONT}");
    let mut old = scene.start();
    old.log.wait("ledger: open", 0).unwrap();
    let at = scene.http;
    let ask = |key: &str| {
        let mut http = Http::connect(at, PATIENCE).unwrap();
        http.send(&signup(key)).unwrap();
        http.reply().unwrap().status
    };
    let keys: Vec<String> = (0..40).map(|n| format!("key-{n}")).collect();
    let others: Vec<&String> = keys.iter().filter(|key| ask(key) == 421).collect();
    assert!(!others.is_empty(), "none of the keys is the other front's");
    // The plan takes the other front out.
    std::fs::write(old.folder.0.join("edge.toml"), &alone).unwrap();
    let control = scene.handed.folder.0.join("elmtide-n1.sock").display().to_string();
    let plan = ["plan", "--edge", "edge.toml", "--control", &control, "--out", "p.json"];
    old.run(&plan).unwrap();
    assert_eq!(old.run(&["apply", "--control", &control, "p.json"]).unwrap().0, Some(0));
    assert!(others.iter().all(|key| ask(key) == 503), "they change hands");
    scene.edge = alone;
    let new = scene.start();
    old.signal("TERM").unwrap();
    assert!(until(|| old.has_ended()));
    new.log.wait("ledger: taken over from the process before", 0).unwrap();
    assert!(others.iter().all(|key| ask(key) == 503), "they still do");
    assert!(others.iter().all(|key| scene.asked(key) == 0), "nothing ran");
}

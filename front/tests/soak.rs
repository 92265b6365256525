//! Seeded runs of a front between stand-ins under several faults at once, up to a SIGKILL at the earliest moment that the
//! platform allows. Clients use their open connections until then; what broke is judged by what clients and nodes recorded.
//!
//! A seed gives the same plan of faults. By hand: `ELMTIDE_SOAK_SEEDS=100..150 cargo test -p elmtide-front --test soak --
//! --nocapture`; a seed that fails is run again alone with `ELMTIDE_SOAK_SEEDS=117..118`.

mod common;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::hostile::{peak_memory_mb, read_request, signup, silent_reader, Flood, Leaving};
use common::{call_management, elmtide, start_under_faults, Program};
use elmtide_rules::front_drain::{check_answers, check_drain, ClientConnection, Violation};
use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::faults::{FailingCalls, Faults};
use elmtide_standins::node::{runs, Behaviour, Node, Origin, Seen};
use elmtide_standins::tcp_proxy::{LinkFaults, TcpProxy};
use elmtide_standins::until;
use elmtide_standins::web_server::{ConnectionRecord, SendingWebServer, WebServerConnection, Workload};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEEDS_VARIABLE: &str = "ELMTIDE_SOAK_SEEDS";
/// Seeds that CI passes over, with commas between them; `.ci/test-runner` sets it from the list of known failures.
const KNOWN_FAILURES_VARIABLE: &str = "ELMTIDE_SOAK_KNOWN_FAILURES";
/// What CI plays: under two minutes.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// Runs at a time.
const PARALLEL_RUNS: u64 = 4;
/// An answer so late only earns nothing; one that is later is lost.
const LATE_LIMIT_MS: f64 = 500.0;
/// The platform kills so long after the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// What the platform counts of the longest deadline.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const DRAIN_OBSERVATION: Duration = Duration::from_millis(4150);
const HOUR_MS: i64 = 3_600_000;
const CROWD: usize = 450;
/// The object that web servers of the stand-ins ask for.
const OBJECT: u64 = 0x7f3a_9c21_e0b4_d655;
/// What the bus has to tell counts as told so much later at the latest, whether or not it arrived.
const TOLD_WITHIN: Duration = Duration::from_secs(7);
/// What follows from a purge is done so much later, with what the platform adds to each limit on sockets.
const PURGE_SLACK: Duration = Duration::from_millis(1050);
/// The faults of the bus are drawn apart, so that a seed keeps its other faults.
const BUS_SEED: u64 = 0x6275_735f_6661_756c;

/// The hostile clients are drawn apart too, and have jobs of their own.
const HOSTILE_SEED: u64 = 0x686f_7374_696c_6531;
const HOSTILE_FIRST_JOB: u64 = 1 << 56;
const MAX_FLOOD_ROUNDS: u64 = 30;
const MAX_SILENT_READERS: usize = 40;
const REQUESTS_OF_SILENT: u64 = 8;
const SIGNUPS_THAT_COME_AGAIN: u64 = 4;
/// Nine tenths of the limit that a configuration without one means.
const USABLE_MEMORY_MB: f64 = 0.9 * 192.0;

/// Changes of the configuration are drawn apart too.
const CONFIGURATION_SEED: u64 = 0x636f_6e66_6967_7572;
const EDGE: &str = "zone = \"edge.test.\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n";

/// A web server: what it asks, its connection, and those that have ended.
struct Client {
    workload: Workload,
    current: Option<SendingWebServer>,
    past: Vec<ConnectionRecord>,
    next_job: u64,
}

/// Jobs of one connection are numbered from its first.
const JOBS_PER_CONNECTION: u64 = 100_000;

impl Client {
    fn new(place: u64, class: &str, interval_ms: u64, allow_ms: u32) -> Client {
        let workload = Workload {
            class: class.into(),
            interval: Duration::from_millis(interval_ms),
            allow_ms,
            has_body: class.ends_with("signup"),
        };
        Client { workload, current: None, past: Vec::new(), next_job: (place + 1) << 32 }
    }

    /// Goes on where its connection has ended, if new ones are opened now.
    fn keep_connected(&mut self, front: SocketAddr, opens: bool) {
        if self.current.as_ref().is_some_and(|c| c.connection().has_ended()) {
            self.retire();
        }
        if self.current.is_none() && opens {
            let opened = WebServerConnection::open(front, self.next_job);
            self.next_job += JOBS_PER_CONNECTION;
            self.current = opened.and_then(|c| c.start_sending(self.workload.clone())).ok();
        }
    }

    fn retire(&mut self) {
        if let Some(mut connection) = self.current.take() {
            connection.stop_sending();
            self.past.push(connection.connection().record());
        }
    }

    /// All its connections so far.
    fn records(&self) -> Vec<ConnectionRecord> {
        let now = self.current.iter().map(|c| c.connection().record());
        self.past.iter().cloned().chain(now).collect()
    }

    fn observed(&self, epoch: Instant) -> Vec<ClientConnection> {
        let allow_ms = f64::from(self.workload.allow_ms);
        self.records().into_iter().map(|record| record.observed_since(epoch, allow_ms)).collect()
    }
}

/// What one run came to.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    faults: Vec<String>,
    breaches: Vec<String>,
}

/// What a way does, as it is printed with a seed.
fn shown(faults: &LinkFaults) -> String {
    let LinkFaults { delay, max_piece, bytes_per_second, is_silent } = faults;
    format!("delay={},piece={max_piece},rate={bytes_per_second},silent={is_silent}", delay.as_millis())
}

/// The event bus and the way to it.
struct BusUnderFaults {
    random: StdRng,
    bus: Bus,
    link: TcpProxy,
    changes: usize,
    /// When the last purge was told.
    purged_at: Option<Instant>,
}

impl BusUnderFaults {
    /// A bus at this listener, which knows one cache node.
    fn start(seed: u64, listener: TcpListener, node: SocketAddr) -> BusUnderFaults {
        let bus = Bus::start().unwrap();
        bus.list(true, &[listed("s-1", node, "edge-1", "small", "active")]);
        let link = TcpProxy::start(listener, bus.at).unwrap();
        let random = StdRng::seed_from_u64(seed ^ BUS_SEED);
        BusUnderFaults { random, bus, link, changes: 0, purged_at: None }
    }

    /// Draws changes that gather, and an outage, a slow way or the end of either.
    fn inject(&mut self) -> String {
        let changes = [0, 100, 8000][self.random.random_range(0..3)];
        self.add_changes(changes);
        let faults = LinkFaults {
            delay: Duration::from_millis([0, 0, 700, 1500][self.random.random_range(0..4)]),
            max_piece: [100, 10_000, 64_000][self.random.random_range(0..3)],
            bytes_per_second: [0, 0, 100_000, 1_000_000][self.random.random_range(0..4)],
            is_silent: self.random.random_bool(0.4),
        };
        self.link.set(faults);
        let is_reset = self.random.random_bool(0.3);
        if is_reset {
            self.link.reset_all();
        }
        format!("bus(changes={changes},{},reset={is_reset})", shown(&faults))
    }

    /// Servers of other locations leave the list, an event each.
    fn add_changes(&mut self, count: usize) {
        let at = "127.0.0.1:9".parse().unwrap();
        for _ in 0..count {
            let name = format!("far-{:08}", self.changes);
            self.bus.list(false, &[listed(&name, at, "east", "small", "left")]);
            self.changes += 1;
        }
    }

    /// The bus is well again, and tells of a purge.
    fn recover_and_purge(&mut self) {
        self.link.set(LinkFaults::default());
        self.bus.purge(OBJECT);
        self.purged_at = Some(Instant::now());
    }
}

/// Hostile clients: floods, readers that never read, ids that come again.
struct HostileClients {
    random: StdRng,
    silent: Vec<TcpStream>,
    /// Those that have given up their requests and stay connected.
    left: Vec<TcpStream>,
    next_job: u64,
}

impl HostileClients {
    fn new(seed: u64) -> HostileClients {
        let random = StdRng::seed_from_u64(seed ^ HOSTILE_SEED);
        HostileClients { random, silent: Vec::new(), left: Vec::new(), next_job: HOSTILE_FIRST_JOB }
    }

    /// The next so many jobs.
    fn jobs(&mut self, count: u64) -> Range<u64> {
        let first = self.next_job;
        self.next_job += count;
        first..self.next_job
    }

    /// Draws what one of them does.
    fn inject(&mut self, front: SocketAddr) -> String {
        match self.random.random_range(0..3) {
            0 => self.flood(front),
            1 => self.read_nothing(front),
            _ => self.come_again(front),
        }
    }

    fn flood(&mut self, front: SocketAddr) -> String {
        let flood = Flood::ALL[self.random.random_range(0..Flood::ALL.len())];
        let rounds = self.random.random_range(1..MAX_FLOOD_ROUNDS);
        if TcpStream::connect(front).is_ok() {
            flood.start(front, rounds, &Arc::default());
        }
        format!("flood({flood:?},rounds={rounds})")
    }

    fn read_nothing(&mut self, front: SocketAddr) -> String {
        let readers = self.random.random_range(1..MAX_SILENT_READERS);
        for _ in 0..readers {
            let jobs = self.jobs(REQUESTS_OF_SILENT);
            let mut reader = silent_reader(front, Ipv4Addr::new(127, 0, 0, 3));
            let requests: Vec<u8> =
                (1..).zip(jobs).flat_map(|(id, job)| read_request(id, job, 900)).collect();
            let _ = reader.write(&requests);
            self.silent.push(reader);
        }
        format!("silent(readers={readers})")
    }

    /// Signups whose client leaves, and that come again with the same ids.
    fn come_again(&mut self, front: SocketAddr) -> String {
        let leaving = Leaving::ALL[self.random.random_range(0..Leaving::ALL.len())];
        let pause = Duration::from_millis(self.random.random_range(0..60));
        let jobs = self.jobs(SIGNUPS_THAT_COME_AGAIN);
        let signups: Vec<u8> = (1..).zip(jobs).flat_map(|(id, job)| signup(id, job, 900)).collect();
        let send = || {
            let mut stream = TcpStream::connect(front).ok()?;
            stream.write_all(&signups).ok().map(|()| stream)
        };
        let first = send();
        std::thread::sleep(pause);
        let left = first.and_then(|stream| leaving.end(stream, SIGNUPS_THAT_COME_AGAIN as u16));
        self.left.extend(left);
        self.left.extend(send());
        format!("again({leaving:?},pause={})", pause.as_millis())
    }

    /// All of them are gone.
    fn end(&mut self) {
        self.silent.clear();
        self.left.clear();
    }
}

/// Plans and applies this file of cells. A plan that a fault hinders changes nothing.
fn apply_cells(folder: &Path, cells: &str) {
    let run = |arguments: &[&str]| elmtide().args(arguments).current_dir(folder).output();
    let files = ["--edge", "edge.toml", "--cells", "cells.toml", "--control", "control.sock"];
    if std::fs::write(folder.join("cells.toml"), cells).is_err() {
        return;
    }
    let planned = run(&[&["plan"], &files[..], &["--out", "p.json"]].concat());
    let has_plan = planned.is_ok() && folder.join("p.json").exists();
    if has_plan {
        let _ = run(&["apply", "--control", "control.sock", "p.json"]);
        let _ = std::fs::remove_file(folder.join("p.json"));
    }
}

struct Run {
    random: StdRng,
    /// Draws changes of the configuration.
    changes: StdRng,
    /// The attempts that the configuration file allows a request.
    try_limit: u32,
    /// How many cells have been named.
    cells: u32,
    /// When the purge was first seen to be heeded.
    heeded_at: Option<Instant>,
    program: Program,
    management: SocketAddr,
    faults: Faults,
    node: Node,
    link: TcpProxy,
    bus: BusUnderFaults,
    hostile: HostileClients,
    clients: Vec<Client>,
    crowd: Vec<TcpStream>,
    epoch: Instant,
    longest_deadline: Duration,
    outcome: Outcome,
}

impl Run {
    fn start(seed: u64) -> Run {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut program, management, faults) = start_under_faults(seed, &[], Some(EDGE));
        let own = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = own.local_addr().unwrap();
        let node = Node::start("s-1", own, &Arc::new(Origin::default()), seed).unwrap();
        let listener = program.listeners.remove("s-1").unwrap();
        let listed_at = listener.local_addr().unwrap();
        let link = TcpProxy::start(listener, at).unwrap();
        let bus = BusUnderFaults::start(seed, program.listeners.remove("bus").unwrap(), listed_at);
        let deadline_ms: u32 = random.random_range(500..4500);
        program.spoil("\"HardLimitMs\":900", &format!("\"HardLimitMs\":{deadline_ms}"));
        if random.random_bool(0.5) {
            program.spoil("\"SecondCopies\":true", "\"SecondCopies\":false");
        }
        program.signal("HUP");
        program.log.wait("classes are in force", 0);
        let allow_ms = deadline_ms - 50;
        let mut interval = || random.random_range(15..90);
        let clients = vec![
            Client::new(0, "small-files", interval(), allow_ms),
            Client::new(1, "small-files", interval(), allow_ms),
            Client::new(2, "plan-signup", interval(), allow_ms),
        ];
        let longest_deadline = Duration::from_millis(u64::from(deadline_ms));
        let outcome = Outcome { faults: vec![format!("deadline={deadline_ms}")], ..Outcome::default() };
        let epoch = Instant::now();
        let crowd = Vec::new();
        Run {
            random,
            changes: StdRng::seed_from_u64(seed ^ CONFIGURATION_SEED),
            try_limit: 8,
            cells: 0,
            heeded_at: None,
            program,
            management,
            faults,
            node,
            link,
            bus,
            hostile: HostileClients::new(seed),
            clients,
            crowd,
            epoch,
            longest_deadline,
            outcome,
        }
    }

    /// Lets time pass while clients go on.
    fn pass(&mut self, span: Duration, opens: bool) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            for client in &mut self.clients {
                client.keep_connected(self.program.listen, opens);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn note(&mut self, fault: impl Into<String>) {
        self.outcome.faults.push(fault.into());
    }

    /// Draws one fault, or the end of some.
    fn inject(&mut self) {
        match self.random.random_range(0..11) {
            0 => {
                let offset = [HOUR_MS, -HOUR_MS, 7000, -7000, 0][self.random.random_range(0..5)];
                self.faults.set_wall_clock_offset(offset).unwrap();
                self.note(format!("clock={offset}"));
            }
            1 | 2 => {
                let all = [
                    FailingCalls::Accept,
                    FailingCalls::Connect,
                    FailingCalls::Receive,
                    FailingCalls::Send,
                    FailingCalls::Thread,
                ];
                let calls = all[self.random.random_range(0..all.len())];
                let rate = self.random.random_range(0..250);
                self.faults.set_failure_rate(calls, rate).unwrap();
                self.note(format!("{calls:?}={rate}"));
            }
            3 => {
                self.program.signal("HUP");
                self.note("HUP");
            }
            4 => {
                self.program.signal("USR1");
                self.note("USR1");
            }
            5 => {
                self.program.signal("STOP");
                std::thread::sleep(Duration::from_millis(60));
                self.program.signal("CONT");
                self.note("STOP,CONT");
            }
            6 if self.crowd.is_empty() && self.random.random_bool(0.4) => {
                let connect = |_| TcpStream::connect(self.program.listen).ok();
                self.crowd = (0..CROWD).filter_map(connect).collect();
                self.note("crowd");
            }
            7 => {
                self.link.reset_all();
                self.note("link(reset)");
            }
            8 | 9 => self.change_link(),
            _ => self.change_node(),
        }
    }

    /// The way between the front and its node.
    fn change_link(&mut self) {
        let faults = LinkFaults {
            delay: Duration::from_millis(self.random.random_range(0..150)),
            max_piece: [1, 7, 1000, 64 * 1024][self.random.random_range(0..4)],
            bytes_per_second: [0, 0, 500_000][self.random.random_range(0..3)],
            is_silent: self.random.random_bool(0.25),
        };
        self.link.set(faults);
        self.note(format!("link({})", shown(&faults)));
    }

    fn change_node(&mut self) {
        let behaviour = Behaviour {
            delay: Duration::from_millis(self.random.random_range(0..400)),
            mute: self.random.random_bool(0.2),
            lose: [0.0, 0.1][self.random.random_range(0..2)],
            shed: [0.0, 0.2][self.random.random_range(0..2)],
            bytes: [64, 100_000][self.random.random_range(0..2)],
            ..Behaviour::default()
        };
        self.node.set(behaviour);
        self.note(format!(
            "node(delay={},mute={},lose={},shed={})",
            behaviour.delay.as_millis(),
            behaviour.mute,
            behaviour.lose,
            behaviour.shed
        ));
    }

    /// Draws a change of the configuration by which another router comes to take requests.
    fn reconfigure(&mut self) {
        let (fault, cells) = match self.changes.random_range(0..6) {
            0 | 1 => {
                // A name that was not there before, so that a router is created.
                self.cells += 1;
                let name = format!("cell-{}", self.cells);
                (name.clone(), format!("[[cell]]\nname = \"{name}\"\nboxes = [\"s-1\"]\n"))
            }
            2 => ("no-cells".into(), String::new()),
            3 => {
                let limit = self.changes.random_range(2..9);
                let entry = |limit| format!("\"TryLimit\":{limit}");
                self.program.spoil(&entry(self.try_limit), &entry(limit));
                self.try_limit = limit;
                self.program.signal("HUP");
                return self.note(format!("HUP(TryLimit={limit})"));
            }
            _ => return,
        };
        let folder = self.program.folder.clone();
        let applying = std::thread::spawn(move || apply_cells(&folder, &cells));
        while !applying.is_finished() {
            self.pass(Duration::from_millis(10), true);
        }
        self.note(fault);
    }

    fn trouble(&mut self, faults: usize) {
        for _ in 0..faults {
            let span = Duration::from_millis(self.random.random_range(100..500));
            self.pass(span, true);
            self.inject();
            self.reconfigure();
            if self.bus.purged_at.is_none() {
                let fault = self.bus.inject();
                self.note(fault);
                let fault = self.hostile.inject(self.program.listen);
                self.note(fault);
            }
        }
    }

    /// The bus is well from here on. Waits until a purge is heeded, or until it must be.
    fn purge(&mut self) {
        self.hostile.end();
        self.note("purge");
        self.bus.recover_and_purge();
        let end = Instant::now() + TOLD_WITHIN + PURGE_SLACK;
        while Instant::now() < end && self.heeded_at.is_none() {
            self.pass(Duration::from_millis(20), true);
            self.heeded_at = self.is_purge_heeded().then(Instant::now);
        }
    }

    fn is_purge_heeded(&self) -> bool {
        let seen = self.node.seen();
        let last = seen.iter().rfind(|seen| seen.thing == format!("{OBJECT:016x}"));
        last.is_some_and(|seen| Some(seen.at) > self.bus.purged_at && seen.max_age_ms.is_some())
    }

    /// Requests that the node got with no limit on the age of a copy, and that their client wrote later than a purge was
    /// heeded or must be. One that was written before may lie on a silent way until then.
    fn unbounded_after_purge(&self) -> usize {
        let Some(purged_at) = self.bus.purged_at else { return 0 };
        let heeded_by = self.heeded_at.unwrap_or(purged_at + TOLD_WITHIN + PURGE_SLACK);
        let connections = self.clients.iter().flat_map(Client::records);
        let late: BTreeSet<u64> = connections
            .flat_map(|connection| connection.requests)
            .filter(|request| request.written > heeded_by)
            .map(|request| request.job)
            .collect();
        let is_breach = |seen: &&Seen| {
            let is_late = u64::from_str_radix(&seen.job, 16).is_ok_and(|job| late.contains(&job));
            is_late && !seen.profile.ends_with("signup") && seen.max_age_ms.is_none()
        };
        self.node.seen().iter().filter(is_breach).count()
    }

    /// An operator drains the front, past the limit, with a fault or two meanwhile.
    fn drain(&mut self) {
        self.note("PAUSE");
        let began = self.epoch.elapsed().as_secs_f64() * 1000.0;
        let end = Instant::now() + DRAIN_OBSERVATION;
        assert_eq!(call_management(self.management, b"PAUSE\n"), "200 paused\r\n");
        self.pass(Duration::from_millis(200), true);
        self.pass(Duration::from_millis(500), false);
        self.inject();
        self.pass(end.saturating_duration_since(Instant::now()), false);
        let observed: Vec<ClientConnection> =
            self.clients.iter().flat_map(|c| c.observed(self.epoch)).collect();
        let breaches = check_drain(began, &observed);
        self.outcome.breaches.extend(breaches.iter().map(|b| format!("drain: {b}")));
        assert_eq!(call_management(self.management, b"RESUME\n"), "200 resumed\r\n");
        self.note("RESUME");
    }

    /// SIGTERM, sometimes in a series of signals, and the kill at its earliest; clients go on until then.
    fn end(&mut self) {
        let peak = peak_memory_mb(self.program.child.id());
        if peak > USABLE_MEMORY_MB {
            self.outcome.breaches.push(format!("memory: {peak:.0} MB at the most"));
        }
        let began = Instant::now();
        let series: &[&str] =
            [&["TERM"][..], &["HUP", "HUP", "TERM"], &["TERM", "HUP"], &["TERM", "USR1", "TERM"]]
                [self.random.random_range(0..4)];
        for signal in series {
            self.program.signal(signal);
        }
        self.note(series.join(","));
        // New connections keep coming for 0.2 to 0.4 s.
        self.pass(Duration::from_millis(300), true);
        let kill_at = began + self.longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        self.pass(kill_at.saturating_duration_since(Instant::now()), false);
        let _ = self.program.child.kill();
        let _ = self.program.child.wait();
        for client in &mut self.clients {
            if let Some(connection) = &client.current {
                let ended = until(|| connection.connection().has_ended());
                assert!(ended, "the kill ends every connection");
            }
            client.retire();
        }
    }

    fn judge(mut self) -> Outcome {
        let observed: Vec<ClientConnection> =
            self.clients.iter().flat_map(|c| c.observed(self.epoch)).collect();
        self.outcome.requests = observed.iter().map(|c| c.requests.len()).sum();
        let only_late =
            |breach: &Violation| matches!(breach, Violation::Late { by, .. } if *by < LATE_LIMIT_MS);
        let breaches = check_answers(&observed).into_iter().filter(|b| !only_late(b));
        self.outcome.breaches.extend(breaches.map(|b| format!("answers: {b}")));
        let twice = runs([&self.node]).into_iter().filter(|(_, count)| *count > 1);
        let unbounded = self.unbounded_after_purge();
        if unbounded > 0 {
            self.outcome.breaches.push(format!("purge: {unbounded} requests were sent without its bound"));
        }
        self.outcome.breaches.extend(
            twice.map(|(body, count)| format!("signup {} ran {count} times", String::from_utf8_lossy(&body))),
        );
        self.outcome
    }
}

fn play(seed: u64) -> Outcome {
    let mut run = Run::start(seed);
    let first = run.random.random_range(3..8);
    run.trouble(first);
    if run.random.random_bool(0.6) {
        run.drain();
    }
    let second = run.random.random_range(1..5);
    run.purge();
    // A router that is made now must know of the purge.
    run.reconfigure();
    run.trouble(second);
    run.end();
    run.judge()
}

/// The seeds that are named, all of them, or those of CI but for the ones that are known to fail.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        let known = known_failures();
        return DEFAULT_SEEDS.filter(|seed| !known.contains(seed)).collect();
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

fn known_failures() -> Vec<u64> {
    let text = std::env::var(KNOWN_FAILURES_VARIABLE).unwrap_or_default();
    text.split(',').filter(|seed| !seed.is_empty()).map(|seed| seed.parse().unwrap()).collect()
}

#[test]
fn no_rule_breaks_under_several_faults_up_to_the_kill() {
    let seeds = seeds();
    let lanes: Vec<_> = (0..PARALLEL_RUNS)
        .map(|lane| {
            let own: Vec<u64> = seeds.iter().copied().filter(|seed| seed % PARALLEL_RUNS == lane).collect();
            std::thread::spawn(move || own.into_iter().map(|seed| (seed, play(seed))).collect::<Vec<_>>())
        })
        .collect();
    let mut outcomes: Vec<(u64, Outcome)> = lanes.into_iter().flat_map(|lane| lane.join().unwrap()).collect();
    outcomes.sort_by_key(|(seed, _)| *seed);
    for (seed, outcome) in &outcomes {
        let (requests, faults) = (outcome.requests, outcome.faults.join(" "));
        println!("seed {seed}: {requests} requests, {} breaches; {faults}", outcome.breaches.len());
        outcome.breaches.iter().take(10).for_each(|breach| println!("  {breach}"));
    }
    let requests: usize = outcomes.iter().map(|(_, outcome)| outcome.requests).sum();
    let broken = outcomes.iter().filter(|(_, outcome)| !outcome.breaches.is_empty()).count();
    println!("{} runs, {requests} requests, {broken} runs with a breach", outcomes.len());
    assert_eq!(broken, 0);
}

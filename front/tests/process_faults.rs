//! Faults of the process itself, with real processes: its wall clock is stepped, its system calls fail for a while.

mod common;

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::{accept, call_management, folder, start_under_faults, Program, PATIENCE};
use elmtide_standins::faults::{FailingCalls, Faults};
use elmtide_standins::front::cpu_seconds;
use elmtide_standins::node::{Behaviour, Node, Origin};
use elmtide_standins::shopper::{self, Http};
use elmtide_standins::until;
use elmtide_standins::web_server::{RequestEnd, WebServerConnection, Workload};
use rstest::rstest;

const HOUR_MS: i64 = 3_600_000;
const ALLOW_MS: u32 = 850;
/// A second front with one address.
const EDGE: &str = "zone = \"edge.test.\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n";

struct Scene {
    program: Program,
    management: std::net::SocketAddr,
    faults: Faults,
    node: Node,
}

impl Scene {
    fn start(seed: u64) -> Scene {
        Scene::start_failing(seed, &[], None)
    }

    /// These calls fail from the start: so many of a thousand.
    fn start_failing(seed: u64, failing: &[(FailingCalls, u64)], edge: Option<&str>) -> Scene {
        println!("seed {seed}");
        let (mut program, management, faults) = start_under_faults(seed, failing, edge);
        let listener = program.listeners.remove("s-1").unwrap();
        let node = Node::start("s-1", listener, &Arc::new(Origin::default()), seed).unwrap();
        Scene { program, management, faults, node }
    }

    fn connect(&self, first_job: u64) -> WebServerConnection {
        WebServerConnection::open(self.program.listen, first_job).unwrap()
    }

    /// Sends so many requests one after the other; how each of them ended.
    fn ask(&self, first_job: u64, count: usize) -> Vec<RequestEnd> {
        let connection = self.connect(first_job);
        for _ in 0..count {
            connection.send("small-files", ALLOW_MS, b"").unwrap();
            assert!(until(|| connection.open_requests() == 0));
        }
        connection.record().requests.iter().map(|request| request.end.unwrap().1).collect()
    }
}

fn served(ends: &[RequestEnd]) -> usize {
    ends.iter().filter(|end| matches!(end, RequestEnd::Status { status: 200, .. })).count()
}

/// The wall clock of the front is stepped, once or twice within a second, and all requests are served as before.
#[rstest]
#[case::an_hour_forward(&[HOUR_MS])]
#[case::an_hour_back(&[-HOUR_MS])]
#[case::seconds_forward(&[7000])]
#[case::seconds_back(&[-7000])]
#[case::forward_and_back_at_once(&[HOUR_MS, -HOUR_MS, 0])]
fn a_step_of_the_wall_clock_changes_nothing(#[case] offsets: &[i64]) {
    let scene = Scene::start(1);
    assert_eq!(served(&scene.ask(1, 10)), 10);
    scene.node.set(Behaviour { delay: Duration::from_millis(100), ..Behaviour::default() });
    let workload = Workload {
        class: "small-files".into(),
        interval: Duration::from_millis(20),
        allow_ms: ALLOW_MS,
        has_body: false,
    };
    let mut load = scene.connect(1000).start_sending(workload).unwrap();
    for offset in offsets {
        let asked = scene.node.asked();
        assert!(until(|| scene.node.asked() > asked + 5), "requests are sent on");
        scene.faults.set_wall_clock_offset(*offset).unwrap();
    }
    let asked = scene.node.asked();
    assert!(until(|| scene.node.asked() > asked + 10), "requests are sent on after the step");
    load.stop_sending();
    assert!(until(|| load.connection().open_requests() == 0));
    let ends: Vec<RequestEnd> =
        load.connection().record().requests.iter().map(|request| request.end.unwrap().1).collect();
    assert_eq!(served(&ends), ends.len(), "{ends:?}");
    assert_eq!(served(&scene.ask(5000, 10)), 10);
}

/// A request whose node is silent has its final answer by its deadline, whatever the wall clock does meanwhile.
#[rstest]
#[case::an_hour_forward(HOUR_MS)]
#[case::an_hour_back(-HOUR_MS)]
fn a_step_under_an_open_request_leaves_its_deadline(#[case] offset: i64) {
    let scene = Scene::start(2);
    scene.node.set(Behaviour { mute: true, ..Behaviour::default() });
    let connection = scene.connect(1);
    connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(|| scene.node.asked() == 1));
    scene.faults.set_wall_clock_offset(offset).unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let request = connection.record().requests[0].clone();
    let waited = request.end.unwrap().0 - request.written;
    let allowed = Duration::from_millis(u64::from(ALLOW_MS));
    assert!(waited > allowed / 4 && waited < allowed + Duration::from_millis(50), "{waited:?}");
}

/// A step in the middle of a drain: it has its time, no more and no less.
#[rstest]
#[case::an_hour_forward(HOUR_MS)]
#[case::an_hour_back(-HOUR_MS)]
fn a_step_under_a_drain_does_not_change_its_time(#[case] offset: i64) {
    let scene = Scene::start(3);
    scene.node.set(Behaviour { delay: Duration::from_millis(300), ..Behaviour::default() });
    let workload = Workload {
        class: "small-files".into(),
        interval: Duration::from_millis(60),
        allow_ms: ALLOW_MS,
        has_body: false,
    };
    let mut busy = scene.connect(1).start_sending(workload).unwrap();
    assert!(until(|| scene.node.asked() >= 5));
    let began = Instant::now();
    assert_eq!(call_management(scene.management, b"PAUSE\n"), "200 paused\r\n");
    scene.faults.set_wall_clock_offset(offset).unwrap();
    assert!(until(|| busy.connection().has_ended()));
    let held = began.elapsed();
    assert!(held > Duration::from_millis(900) && held < Duration::from_millis(4050), "{held:?}");
    busy.stop_sending();
    let record = busy.connection().record();
    let lost =
        record.requests.iter().filter(|r| r.end.is_some_and(|(_, end)| end == RequestEnd::ConnectionLost));
    let crossed = |written| record.ended.unwrap() - written < Duration::from_millis(50);
    assert!(lost.clone().all(|r| crossed(r.written)), "none is lost");
    assert!(record.requests.iter().all(|r| r.extra_answers == 0));
}

/// Nothing older than a purge is asked for, whichever way the wall clock of the front was stepped before it was told.
#[rstest]
#[case::not_stepped(0)]
#[case::an_hour_forward(HOUR_MS)]
#[case::an_hour_back(-HOUR_MS)]
fn a_purge_is_never_taken_for_older_than_it_is(#[case] offset: i64) {
    let scene = Scene::start(4);
    assert_eq!(served(&scene.ask(1, 1)), 1);
    scene.faults.set_wall_clock_offset(offset).unwrap();
    let purged_at = Instant::now();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let event = format!(r#"{{"offset":2,"ban":{{"url":"7f3a9c21e0b4d655","ts":{unix_ms}}}}}"#);
    let body = format!(r#"{{"offset":2,"batch":[{event}]}}"#);
    let mut bus = accept(&scene.program.listeners["bus"]);
    write!(bus, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    let mut job = 100;
    // Until the grace of a purge is over a copy from before it may still do.
    while purged_at.elapsed() < Duration::from_millis(1000) {
        scene.ask(job, 1);
        job += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    scene.ask(job, 1);
    let since_purge = purged_at.elapsed().as_millis() as u64;
    let max_age = scene.node.seen().last().unwrap().max_age_ms.expect("an oldest copy is named");
    assert!((1..=since_purge).contains(&max_age), "{max_age} ms, {since_purge} ms after the purge");
}

/// Calls of sockets fail or go through in part, three in ten, for seconds: every request has an answer, nearly all are served,
/// and afterwards the front is as it was.
#[rstest]
fn failing_calls_of_sockets_lose_no_request(#[values(11, 12, 13)] seed: u64) {
    let scene = Scene::start(seed);
    assert_eq!(served(&scene.ask(1, 5)), 5);
    let calls = [FailingCalls::Accept, FailingCalls::Connect, FailingCalls::Receive, FailingCalls::Send];
    for call in calls {
        scene.faults.set_failure_rate(call, 300).unwrap();
    }
    let workload = Workload {
        class: "small-files".into(),
        interval: Duration::from_millis(15),
        allow_ms: ALLOW_MS,
        has_body: false,
    };
    let first = scene.connect(1000).start_sending(workload.clone()).unwrap();
    let second = scene.connect(100_000).start_sending(workload).unwrap();
    assert!(until(|| scene.faults.injected_failures().unwrap() > 500));
    for call in calls {
        scene.faults.set_failure_rate(call, 0).unwrap();
    }
    for mut load in [first, second] {
        load.stop_sending();
        assert!(until(|| load.connection().open_requests() == 0));
        let record = load.connection().record();
        let ends: Vec<RequestEnd> = record.requests.iter().map(|request| request.end.unwrap().1).collect();
        assert!(!ends.contains(&RequestEnd::ConnectionLost), "{ends:?}");
        assert!(served(&ends) * 10 >= ends.len() * 8, "{} of {} served", served(&ends), ends.len());
    }
    assert_eq!(served(&scene.ask(500_000, 20)), 20, "as it was before");
}

/// No descriptor is left for a while, and a connection waits at each listener: the program uses little of a core meanwhile, and
/// takes all of them afterwards.
#[test]
fn connections_that_can_not_be_accepted_take_no_core() {
    const WHILE: Duration = Duration::from_millis(800);
    let scene = Scene::start_failing(27, &[], Some(EDGE));
    assert_eq!(served(&scene.ask(1, 1)), 1);
    scene.faults.set_failure_rate(FailingCalls::Accept, 1000).unwrap();
    let connection = scene.connect(100);
    connection.send("small-files", 60_000, b"").unwrap();
    let mut operator = std::net::TcpStream::connect(scene.management).unwrap();
    operator.set_read_timeout(Some(PATIENCE)).unwrap();
    operator.write_all(b"STATUS\n").unwrap();
    let mut planner = UnixStream::connect(scene.program.folder.join("control.sock")).unwrap();
    planner.set_read_timeout(Some(PATIENCE)).unwrap();
    planner.write_all(b"\"Counters\"\n").unwrap();
    let used = || cpu_seconds(scene.program.child.id()).unwrap();
    let before = used();
    // The span over which is measured.
    std::thread::sleep(WHILE);
    let during = used() - before;
    assert!(during < WHILE.as_secs_f64() * 0.4, "{during} s of {WHILE:?}");
    scene.faults.set_failure_rate(FailingCalls::Accept, 0).unwrap();
    let mut reply = String::new();
    operator.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("200 yes"), "{reply}");
    reply.clear();
    planner.read_to_string(&mut reply).unwrap();
    assert!(reply.contains("Counters"), "{reply}");
    assert!(until(|| connection.open_requests() == 0));
    assert_eq!(served(&scene.ask(500, 3)), 3);
}

/// No socket can be had for a connection to a server, for a part of a request's time: the request waits that out and is served.
#[test]
fn a_request_waits_out_a_shortage_of_sockets() {
    /// They take a small part of the time that a request may wait for a connection.
    const FAILURES: u64 = 6;
    let scene = Scene::start(28);
    scene.faults.set_failure_rate(FailingCalls::Connect, 1000).unwrap();
    let connection = scene.connect(1);
    connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(
        || scene.faults.injected_failures().unwrap() >= FAILURES || connection.open_requests() == 0
    ));
    scene.faults.set_failure_rate(FailingCalls::Connect, 0).unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let ends: Vec<RequestEnd> =
        connection.record().requests.iter().map(|request| request.end.unwrap().1).collect();
    assert_eq!(served(&ends), 1, "{ends:?}");
}

/// A shortage of this machine that outlasts requests: each is answered, and once it is over all are served again.
#[rstest]
fn a_shortage_of_this_machine_is_no_fault_of_a_server(
    #[values(FailingCalls::Connect, FailingCalls::Thread)] calls: FailingCalls,
) {
    let scene = Scene::start(29);
    scene.faults.set_failure_rate(calls, 1000).unwrap();
    let ends = scene.ask(1, 3);
    assert!(!ends.contains(&RequestEnd::ConnectionLost), "{ends:?}");
    assert_eq!(served(&ends), 0, "nothing can be served");
    scene.faults.set_failure_rate(calls, 0).unwrap();
    let mut job = 500;
    assert!(until(|| {
        job += 1;
        served(&scene.ask(job, 1)) == 1
    }));
    assert_eq!(served(&scene.ask(50_000, 10)), 10);
}

/// Sockets and threads that can't be had for a moment while the front starts: it starts all the same, and serves.
#[rstest]
fn a_start_waits_out_what_fails_for_a_moment(#[values(21, 22, 23, 24)] seed: u64) {
    let failing = [(FailingCalls::Connect, 500), (FailingCalls::Thread, 500)];
    let scene = Scene::start_failing(seed, &failing, None);
    assert!(scene.faults.injected_failures().unwrap() > 0);
    for (calls, _) in failing {
        scene.faults.set_failure_rate(calls, 0).unwrap();
    }
    assert_eq!(served(&scene.ask(1, 10)), 10);
}

/// A signal whose handler can't wake its thread is seen all the same, and no second one is needed.
#[test]
fn a_signal_is_seen_while_every_send_fails() {
    let mut scene = Scene::start(26);
    scene.faults.set_failure_rate(FailingCalls::Send, 1000).unwrap();
    scene.program.signal("USR1");
    scene.program.log.wait("counters ", 0);
    scene.program.signal("TERM");
    scene.program.log.wait("draining: ", 0);
    assert!(until(|| scene.program.child.try_wait().unwrap().is_some()), "it ends");
}

/// Threads can't be started for a while: connections to cache nodes can't be opened, and every request has an answer.
#[test]
fn threads_that_can_not_be_started_lose_no_request() {
    let scene = Scene::start(25);
    scene.faults.set_failure_rate(FailingCalls::Thread, 1000).unwrap();
    let ends = scene.ask(1, 5);
    assert!(!ends.contains(&RequestEnd::ConnectionLost), "{ends:?}");
    scene.faults.set_failure_rate(FailingCalls::Thread, 0).unwrap();
    assert!(until(|| served(&scene.ask(scene.faults.injected_failures().unwrap() * 1000, 1)) == 1));
    assert_eq!(served(&scene.ask(900_000, 10)), 10);
}

fn signup(front: std::net::SocketAddr, key: &str) -> String {
    let mut stream = std::net::TcpStream::connect(front).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head =
        "POST /api/v2/plan-signup HTTP/1.1\r\nHost: test\r\nConnection: close\r\nX-Item: 7f3a9c21e0b4d655";
    write!(stream, "{head}\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{key}", key.len()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// The file of the zone's serial can't be written when a zone comes into force: the zone is served, and the serial is kept once
/// the disk is well.
#[test]
fn a_serial_is_kept_once_the_disk_is_well() {
    let folder = folder();
    let faults = Faults::new(&folder, 32).unwrap();
    faults.set_failure_rate(FailingCalls::Disk, 1000).unwrap();
    let edge = format!("{EDGE}[[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n");
    let edge = format!("serial = 7\nserial_file = \"serial\"\n{edge}");
    let environment = faults.environment();
    let environment: Vec<(&str, &str)> = environment.iter().map(|(n, v)| (*n, &v[..])).collect();
    let program = Program::start_in(folder, &["s-1"], Some(&edge), 1024, &environment);
    program.log.wait("the serial is not kept", 0);
    program.edge("http", 0);
    let serial = || std::fs::read_to_string(program.folder.join("serial")).unwrap_or_default();
    assert_eq!(serial(), "");
    faults.set_failure_rate(FailingCalls::Disk, 0).unwrap();
    assert!(until(|| serial().starts_with("7 ")), "{}", serial());
}

/// The folder that is left to the next process can't be written for a while: signups are refused meanwhile, and taken again by
/// itself once the disk is well; what ran is left in order at the end.
#[test]
fn a_disk_that_fails_for_a_while_refuses_signups_and_recovers_by_itself() {
    let folder = folder();
    let faults = Faults::new(&folder, 31).unwrap();
    faults.set_failure_rate(FailingCalls::Disk, 1000).unwrap();
    let own = folder.join("lasting");
    std::fs::create_dir(&own).unwrap();
    let lasting = own.to_string_lossy().into_owned();
    let environment = faults.environment();
    let mut environment: Vec<(&str, &str)> = environment.iter().map(|(n, v)| (*n, &v[..])).collect();
    environment.push(("TMPDIR", &lasting));
    let mut program = Program::start_in(folder, &["s-1"], Some(EDGE), 1024, &environment);
    let listener = program.listeners.remove("s-1").unwrap();
    let node = Node::start("s-1", listener, &Arc::new(Origin::default()), 1).unwrap();
    let http = program.edge("http", 0);
    // Longer than a start without a file of the process before waits.
    let end = Instant::now() + Duration::from_millis(3000);
    while Instant::now() < end {
        assert_eq!(signup(http, "early"), "503");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(node.asked(), 0, "refused before anything was sent on");
    assert!(faults.injected_failures().unwrap() > 0);
    faults.set_failure_rate(FailingCalls::Disk, 0).unwrap();
    assert!(until(|| signup(http, "late") == "200"), "no restart by hand");
    assert_eq!(signup(http, "late"), "200", "the same again");
    assert_eq!(node.asked(), 1, "which ran once");
    program.signal("TERM");
    program.log.wait("ledger: left to the next process", 0);
}

/// What the log says to be in force is in force: the thread that says so loses its processor right after the line, and a request
/// by the new classes is taken all the same.
///
/// It was answered 400, which a client does not repeat. The engine said `classes are in force`, and only then gave the classes to
/// those who take requests in; until then a request was checked by the classes of before, whose deadline its time was too long for
/// (`a_request_at_a_node_that_hangs_is_sent_to_no_other`: 400 after 0.25 ms, the next request on the same connection taken).
#[test]
fn classes_are_in_force_when_the_log_says_so() {
    let scene = Scene::start(1);
    scene.program.spoil("\"HardLimitMs\":900", "\"HardLimitMs\":3000");
    scene.faults.set_log_line_pause(Duration::from_millis(500)).unwrap();
    scene.program.signal("HUP");
    scene.program.log.wait("classes are in force", 0);
    let connection = scene.connect(1);
    connection.send("small-files", 2900, b"").unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let end = connection.record().requests[0].end.unwrap().1;
    assert!(matches!(end, RequestEnd::Status { status: 200, .. }), "{end:?}");
}

/// Two fronts; the other one owns about half of the keys.
const TWO_FRONTS: &str = "zone = \"edge.test.\"\n\
     [[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:0\"]\nhttp = [\"127.0.0.1:0\"]\n\
     [[front]]\nname = \"n2\"\nhttp = [\"127.0.0.2:9\"]\n\
     [[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n";

/// A question for `branch.edge.test.`, type A.
const QUESTION: &[u8] = b"\0\x07\0\0\0\x01\0\0\0\0\0\0\x06branch\x04edge\x04test\0\0\x01\0\x01";

/// A second front with its plan applied step by step: after each line of the log its thread stands still.
fn apply_with_pauses(scene: &Scene) -> std::thread::JoinHandle<()> {
    scene.program.log.wait("ledger: open", 0);
    std::fs::write(scene.program.folder.join("edge.toml"), TWO_FRONTS).unwrap();
    let control = ["--control", "control.sock"];
    let plan = [&["plan", "--edge", "edge.toml", "--out", "plan.json"][..], &control].concat();
    let (_, said) = scene.program.run(&plan);
    scene.faults.set_log_line_pause(Duration::from_millis(500)).unwrap();
    let folder = scene.program.folder.clone();
    std::thread::spawn(move || {
        let apply = ["apply", "--control", "control.sock", "plan.json"];
        let out = common::elmtide().args(apply).current_dir(folder).output().unwrap();
        assert!(out.status.success(), "{said}{out:?}");
    })
}

/// The name server answers from the moment in which the log says that it is there.
///
/// A question in the first moment had no answer: the threads ran, and the log said so, before the zone was in force, and what they
/// read until then they passed over in silence (`a_draining_front_leaves_the_answers_and_sends_clients_on`, beside load).
#[test]
fn names_are_answered_when_the_log_says_so() {
    let scene = Scene::start_failing(1, &[], Some(""));
    let applied = apply_with_pauses(&scene);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(scene.program.edge("dns", 0)).unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    socket.send(QUESTION).unwrap();
    let mut answer = [0; 512];
    let length = socket.recv(&mut answer).expect("an answer");
    assert_eq!(answer[..2], QUESTION[..2]);
    assert!(answer[..length].ends_with(&[127, 0, 0, 1]), "{answer:?}");
    applied.join().unwrap();
}

/// A signup whose key another front owns is sent there from the moment in which the log says that HTTP is served.
///
/// In the first moment this front took every key for its own, since no configuration was in force yet: where its client asked the
/// owner next, the signup could run twice.
#[test]
fn keys_of_others_are_left_alone_when_the_log_says_so() {
    let scene = Scene::start_failing(1, &[], Some(""));
    let applied = apply_with_pauses(&scene);
    let at = scene.program.edge("http", 0);
    let mut statuses = Vec::new();
    for key in 0..8 {
        let mut http = Http::connect(at, PATIENCE).unwrap();
        http.send(&shopper::signup(&format!("key-{key}"))).unwrap();
        statuses.push(http.reply().unwrap().status);
    }
    assert!(statuses.contains(&200) && statuses.contains(&421), "{statuses:?}");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 421)), "{statuses:?}");
    applied.join().unwrap();
}

//! The drain of a front by `PAUSE`, with real processes: what its clients are held for, judged by their own records.
//!
//! Every case is a way in which a client, a cache node or an operator keeps a drain from ending by itself.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{call_management, start_managed, Program, PATIENCE};
use elmtide_rules::front_drain::{check_answers, check_drain, ClientConnection, Violation, DRAIN_LIMIT_MS};
use elmtide_standins::node::{Behaviour, Node, Origin};
use elmtide_standins::until;
use elmtide_standins::web_server::{record, RequestEnd, WebServerConnection, Workload};

/// After the limit of a drain, so long is waited before its records are judged.
const OBSERVATION_MARGIN: Duration = Duration::from_millis(300);
const BEGIN_REQUEST: u8 = 1;
const PARAMS: u8 = 4;

/// A front with one cache node and a management address, and the moment from which records count.
struct Scene {
    program: Program,
    management: SocketAddr,
    node: Node,
    epoch: Instant,
}

impl Scene {
    fn start() -> Scene {
        let epoch = Instant::now();
        let (mut program, management) = start_managed();
        let listener = program.listeners.remove("s-1").unwrap();
        let node = Node::start("s-1", listener, &Arc::new(Origin::default()), 1).unwrap();
        Scene { program, management, node, epoch }
    }

    /// All classes wait so long, from the next request on.
    fn set_deadline(&self, ms: u32) {
        self.program.spoil("\"HardLimitMs\":900", &format!("\"HardLimitMs\":{ms}"));
        self.program.signal("HUP");
        self.program.log.wait("classes are in force", 0);
    }

    fn answer_after(&self, delay: Duration) {
        self.node.set(Behaviour { delay, ..Behaviour::default() });
    }

    fn connect(&self, first_job: u64) -> WebServerConnection {
        WebServerConnection::open(self.program.listen, first_job).unwrap()
    }

    fn millis(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1000.0
    }

    /// The moment of the call, in milliseconds since the scene began.
    fn pause(&self) -> f64 {
        let before = Instant::now();
        assert_eq!(call_management(self.management, b"PAUSE\n"), "200 paused\r\n");
        self.millis(before)
    }

    fn resume(&self) {
        assert_eq!(call_management(self.management, b"RESUME\n"), "200 resumed\r\n");
    }

    /// Waits until the limit of a drain that began at this moment has passed.
    fn wait_past_limit(&self, began: f64) {
        let limit = self.epoch + Duration::from_secs_f64((began + DRAIN_LIMIT_MS) / 1000.0);
        std::thread::sleep((limit + OBSERVATION_MARGIN).saturating_duration_since(Instant::now()));
    }

    fn observed(&self, connection: &WebServerConnection, allow_ms: u32) -> ClientConnection {
        connection.record().observed_since(self.epoch, f64::from(allow_ms))
    }
}

fn workload(interval_ms: u64, allow_ms: u32) -> Workload {
    Workload {
        class: "small-files".into(),
        interval: Duration::from_millis(interval_ms),
        allow_ms,
        has_body: false,
    }
}

fn assert_none(breaches: &[Violation]) {
    let lines: Vec<String> = breaches.iter().map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{}", lines.join("\n"));
}

/// The incident: a web server multiplexes requests so closely that its connection is never without an open one.
#[test]
fn a_connection_that_is_never_idle_is_released_within_the_limit() {
    const ALLOW_MS: u32 = 850;
    let scene = Scene::start();
    scene.answer_after(Duration::from_millis(300));
    let mut busy = scene.connect(1).start_sending(workload(100, ALLOW_MS)).unwrap();
    assert!(until(|| scene.node.asked() >= 8));
    let began = scene.pause();
    scene.wait_past_limit(began);
    busy.stop_sending();
    assert!(until(|| busy.connection().open_requests() == 0));
    let observed = [scene.observed(busy.connection(), ALLOW_MS)];
    assert_none(&check_drain(began, &observed));
    assert_none(&check_answers(&observed));
}

/// What is refused on the way out is refused at once, and told when to come back.
#[test]
fn a_request_late_in_a_drain_is_refused_at_once_with_a_retry_time() {
    const ALLOW_MS: u32 = 4900;
    let scene = Scene::start();
    scene.set_deadline(5000);
    scene.answer_after(Duration::from_millis(1800));
    let connection = scene.connect(1);
    connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(|| scene.node.asked() == 1));
    let began = scene.pause();
    std::thread::sleep(Duration::from_millis(1200));
    let late = connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let record = connection.record();
    let (at, end) = record.requests[late].end.unwrap();
    assert!(matches!(end, RequestEnd::Status { status: 503, retry_after_ms: Some(1..) }), "{end:?}");
    assert!(at - record.requests[late].written < Duration::from_millis(200), "refused at once");
    let first = record.requests[0].end.unwrap().1;
    assert!(matches!(first, RequestEnd::Status { status: 200, .. }), "what was open is served: {first:?}");
    scene.wait_past_limit(began);
    let observed = [scene.observed(&connection, ALLOW_MS)];
    assert_none(&check_drain(began, &observed));
    assert_none(&check_answers(&observed));
}

/// Cache nodes that never answer, and deadlines beyond the limit: the drain ends all the same, each request with an answer.
#[test]
fn requests_with_long_deadlines_do_not_hold_a_drain() {
    const ALLOW_MS: u32 = 9000;
    let scene = Scene::start();
    scene.set_deadline(9500);
    scene.node.set(Behaviour { mute: true, ..Behaviour::default() });
    let mut busy = scene.connect(1).start_sending(workload(150, ALLOW_MS)).unwrap();
    assert!(until(|| scene.node.asked() >= 2));
    let began = scene.pause();
    scene.wait_past_limit(began);
    busy.stop_sending();
    assert!(busy.connection().has_ended(), "released although nothing was answered");
    let observed = [scene.observed(busy.connection(), ALLOW_MS)];
    assert_none(&check_drain(began, &observed));
    assert_none(&check_answers(&observed));
}

/// Half-sent requests, one after the other, never leave the connection idle.
#[test]
fn half_sent_requests_do_not_hold_a_drain() {
    let scene = Scene::start();
    let connection = scene.connect(1);
    connection.send("small-files", 850, b"").unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let began = scene.pause();
    let end = Instant::now() + Duration::from_millis(3900);
    let mut request_id = 100;
    while Instant::now() < end && !connection.has_ended() {
        let begin = record(BEGIN_REQUEST, request_id, &[0, 1, 1, 0, 0, 0, 0, 0]);
        let part = record(PARAMS, request_id, b"\x0b");
        let sent = connection.write(&[begin, part].concat());
        // The one before is given up: another is half-sent before the time of the first has passed.
        let aborted = connection.write(&record(2, request_id - 1, b""));
        if sent.and(aborted).is_err() {
            break;
        }
        request_id += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    scene.wait_past_limit(began);
    assert_none(&check_drain(began, &[scene.observed(&connection, 850)]));
}

/// A client that never reads keeps an answer in the front's buffer; what it asks afterwards is no reason to hold it.
#[test]
fn a_client_that_reads_nothing_does_not_hold_a_drain() {
    let scene = Scene::start();
    scene.node.set(Behaviour { bytes: 200_000, ..Behaviour::default() });
    let silent = WebServerConnection::open_silent(scene.program.listen, 1).unwrap();
    for _ in 0..30 {
        silent.send("small-files", 850, b"").unwrap();
    }
    // The others, which do read, are released in time beside it.
    scene.answer_after(Duration::from_millis(100));
    let mut busy = scene.connect(100).start_sending(workload(40, 850)).unwrap();
    assert!(until(|| scene.node.asked() >= 8));
    let began = scene.pause();
    scene.wait_past_limit(began);
    busy.stop_sending();
    let observed = [scene.observed(busy.connection(), 850)];
    assert_none(&check_drain(began, &observed));
    assert_none(&check_answers(&observed));
}

/// A connection that has brought nothing when the front is paused, and one that is opened while it drains.
#[test]
fn connections_that_bring_nothing_are_released() {
    let scene = Scene::start();
    let before = scene.connect(1);
    let began = scene.pause();
    std::thread::sleep(Duration::from_millis(2500));
    let during = scene.connect(2);
    scene.wait_past_limit(began);
    let observed = [scene.observed(&before, 850), scene.observed(&during, 850)];
    assert_none(&check_drain(began, &observed));
}

/// `RESUME` in the middle of a drain takes clients again at once, and a second drain has its whole time.
#[test]
fn a_resume_ends_the_drain_and_the_next_has_its_whole_time() {
    const ALLOW_MS: u32 = 850;
    let scene = Scene::start();
    scene.answer_after(Duration::from_millis(250));
    let mut busy = scene.connect(1).start_sending(workload(60, ALLOW_MS)).unwrap();
    assert!(until(|| scene.node.asked() >= 8));
    scene.pause();
    std::thread::sleep(Duration::from_millis(1500));
    scene.resume();
    busy.stop_sending();
    let connection = scene.connect(1000);
    let kept = connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let end = connection.record().requests[kept].end.unwrap().1;
    assert!(matches!(end, RequestEnd::Status { status: 200, .. }), "taken again: {end:?}");
    let mut again = connection.start_sending(workload(60, ALLOW_MS)).unwrap();
    let asked = scene.node.asked();
    assert!(until(|| scene.node.asked() >= asked + 8));
    let began = scene.pause();
    // Early in the second drain requests are still served: its time does not count from the first.
    std::thread::sleep(Duration::from_millis(600));
    scene.wait_past_limit(began);
    again.stop_sending();
    let observed = [scene.observed(again.connection(), ALLOW_MS)];
    assert_none(&check_drain(began, &observed));
    assert_none(&check_answers(&observed));
    let early = observed[0].requests.iter().filter(|r| r.written > began && r.written < began + 300.0);
    assert!(early.count() > 0, "the second drain began with open requests");
}

/// A configuration that is read again, and the counters that are asked for, while a front drains.
#[test]
fn a_reload_does_not_prolong_a_drain() {
    const ALLOW_MS: u32 = 850;
    let scene = Scene::start();
    scene.answer_after(Duration::from_millis(300));
    let mut busy = scene.connect(1).start_sending(workload(80, ALLOW_MS)).unwrap();
    assert!(until(|| scene.node.asked() >= 8));
    let began = scene.pause();
    std::thread::sleep(Duration::from_millis(500));
    scene.set_deadline(3000);
    scene.program.signal("USR1");
    assert_eq!(
        call_management(scene.management, b"PAUSE\n"),
        "200 paused\r\n",
        "a second call begins nothing anew"
    );
    scene.wait_past_limit(began);
    busy.stop_sending();
    let observed = [scene.observed(busy.connection(), ALLOW_MS)];
    assert_none(&check_drain(began, &observed));
    assert_none(&check_answers(&observed));
}

fn http_status(stream: &mut TcpStream, path: &str) -> String {
    write!(stream, "GET {path} HTTP/1.1\r\nHost: test\r\n\r\n").unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length: ").map(str::to_owned));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    head.split(' ').nth(1).unwrap().to_owned()
}

/// The second front: readiness says no, and a resting connection is closed.
#[test]
fn the_second_front_is_drained_too() {
    let edge = "zone = \"edge.test.\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n";
    let program = Program::start_env(&["s-1"], Some(edge), 1024, &[("LB_MANAGEMENT", "127.0.0.1:0")]);
    let management = program.management();
    let http = program.edge("http", 0);
    let connect = || {
        let stream = TcpStream::connect(http).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    };
    let mut resting = connect();
    assert_eq!(http_status(&mut resting, "/-/healthy"), "200");
    let mut silent = connect();
    assert_eq!(call_management(management, b"PAUSE\n"), "200 paused\r\n");
    let began = Instant::now();
    assert_eq!(resting.read(&mut [0]).unwrap(), 0, "the resting connection is closed");
    assert_eq!(silent.read(&mut [0]).unwrap(), 0, "and the one that has brought nothing");
    assert!(began.elapsed() < Duration::from_secs(4), "within the limit: {:?}", began.elapsed());
    let mut asking = connect();
    assert_eq!(http_status(&mut asking, "/-/healthy"), "503");
    assert_eq!(asking.read(&mut [0]).unwrap(), 0, "and closed after it");
    assert_eq!(call_management(management, b"RESUME\n"), "200 resumed\r\n");
    assert_eq!(http_status(&mut connect(), "/-/healthy"), "200");
}

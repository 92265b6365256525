//! The wall clock of every machine is stepped while a front runs: what others stamp with Unix time from then on goes by the new time,
//! the front's own time line by the old one.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmtide_dns::query::{Header, Query};
use elmtide_dns::tsig::Signer;
use elmtide_dns::wire::parse_name;
use elmtide_dns_suite::zone;
use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::faults::Faults;
use elmtide_standins::fleet::cold_settings;
use elmtide_standins::front::{Folder, Front, Handed, Setup};
use elmtide_standins::node::{Node, Origin};
use elmtide_standins::till::{Asks, Load};
use elmtide_standins::{until, PATIENCE};
use rstest::rstest;

const HOUR_MS: i64 = 3_600_000;
/// How long a server's slow start lasts.
const SLOW_START: Duration = Duration::from_secs(4);
/// What the settings allow a server in slow start, over a second: its weight times the overload factor, in milliseconds of work.
const WARM_WORK_MS: f64 = 4.0 * 2.0 * 1000.0;
/// The part of it at the very start.
const INITIAL_PART: f64 = 0.2;
/// Size of what a request asks for.
const REQUEST_KB: u32 = 390;
/// Milliseconds of work that it is, at the 7,800 kB/s of the settings.
const REQUEST_WORK_MS: f64 = 50.0;
const WINDOW: Duration = Duration::from_secs(1);

/// A front under faults of its clock, with a server that has been there for long.
struct Scene {
    bus: Bus,
    faults: Faults,
    old: Node,
    new: Node,
    front: Front,
    _handed: Handed,
    _control: Folder,
}

fn write_private(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).unwrap();
}

fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

fn node(name: &str, origin: &Arc<Origin>) -> Node {
    Node::start(name, TcpListener::bind("127.0.0.1:0").unwrap(), origin, 1).unwrap()
}

impl Scene {
    fn start() -> Scene {
        Scene::with_edge("")
    }

    /// With a second front by this file.
    fn with_edge(edge: &str) -> Scene {
        let control = Folder::new().unwrap();
        let faults = Faults::new(&control.0, 1).unwrap();
        let (bus, origin) = (Bus::start().unwrap(), Arc::new(Origin::default()));
        let (old, new) = (node("c-1", &origin), node("c-2", &origin));
        let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let servers = [
            listed("c-1", old.at, "edge-1", "small", "active"),
            listed("o-1", nowhere, "east", "origin", "active"),
        ];
        bus.list(true, &servers);
        let mut handed = Handed::new().unwrap();
        handed.environment = faults.environment().into();
        let folder = Folder::new().unwrap();
        let settings = cold_settings(SLOW_START.as_millis() as u32).replace("[0,3]", "[0,1]");
        std::fs::write(folder.0.join("settings.json"), settings).unwrap();
        write_private(&folder.0.join("keys"), &zone::key_text(false));
        let setup = Setup {
            binary: Path::new(env!("CARGO_BIN_EXE_elmtide")),
            name: "n1",
            bus: bus.at,
            known: bus.known(),
            edge,
            cells: "",
            sockets: 1024,
        };
        let front = Front::start_in(folder, &setup, Some(&handed)).unwrap();
        Scene { bus, faults, old, new, front, _handed: handed, _control: control }
    }

    /// Steps the clock of every machine, the front's with it, and starts the new server, which stamps its start by the new time.
    fn step_and_start_server(&self, step_ms: i64) -> Instant {
        self.faults.set_wall_clock_offset(step_ms).unwrap();
        let mut entry = listed("c-2", self.new.at, "edge-1", "small", "active");
        entry["started_ms"] = serde_json::json!(wall_ms() + step_ms);
        self.bus.list(false, &[entry]);
        Instant::now()
    }

    fn load(&self) -> Load {
        let asks = Asks { items: None, size_kb: REQUEST_KB, ..Asks::default() };
        Load::of(self.front.listen().unwrap(), asks, 400.0, 32, 1 << 48)
    }
}

/// What slow start allows in the second from `since_start` on, with the platform's slack.
fn allowed(since_start: Duration) -> f64 {
    let risen = ((since_start + WINDOW).as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
    let n = (INITIAL_PART + (1.0 - INITIAL_PART) * risen) * WARM_WORK_MS / REQUEST_WORK_MS;
    let (factor, more) = if n < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    n + factor * n.sqrt() + more
}

/// A server that starts after the step is cold, and gets no more than slow start allows; afterwards it has its part.
///
/// After a step back it was taken for a server that had started an hour ago, and had its whole part at once: its start is stamped by the
/// new time, and was compared with the front's own line. After a step forward it was taken for cold for an hour.
#[rstest]
#[case::no_step(0)]
#[case::an_hour_back(-HOUR_MS)]
#[case::an_hour_forward(HOUR_MS)]
fn a_server_that_starts_after_a_step_has_its_slow_start(#[case] step_ms: i64) {
    let scene = Scene::start();
    let load = scene.load();
    assert!(until(|| scene.old.asked() > 100));
    let started = scene.step_and_start_server(step_ms);
    assert!(until(|| started.elapsed() > SLOW_START * 2));
    load.stop();
    let sent: Vec<Duration> = scene.new.seen().iter().map(|seen| seen.at - started).collect();
    for (n, at) in sent.iter().enumerate().filter(|(_, at)| **at + WINDOW < SLOW_START) {
        let within = sent[n..].iter().take_while(|later| **later < *at + WINDOW).count();
        assert!(
            within as f64 <= allowed(*at),
            "{within} in the second after {at:?}, {:.0} may",
            allowed(*at)
        );
    }
    let warm = sent.iter().filter(|at| **at > SLOW_START).count();
    let of_old = scene.old.after(started + SLOW_START);
    assert!(warm * 3 > of_old, "{warm} at the new server once it is warm, {of_old} at the other");
}

const EDGE: &str = "zone = \"edge.test.\"\nkey_file = \"keys\"\n\
     [[front]]\nname = \"n1\"\ndns = [\"127.0.0.1:0\"]\nhttp = [\"127.0.0.1:0\"]\n\
     [[name]]\nname = \"branch\"\naddresses = [\"127.0.0.1\"]\n";
/// A question for `branch.edge.test.`, type A.
const QUESTION: &[u8] = b"\0\x07\0\0\0\x01\0\0\0\0\0\0\x06branch\x04edge\x04test\0\0\x01\0\x01";

/// A message signed by the new time is taken, and answered by a signature of the new time.
///
/// It was refused (BADTIME) until the process was started anew: RFC 8945 ties a signature to Unix time, and the name server took its own
/// time line for that.
#[rstest]
#[case::no_step(0)]
#[case::an_hour_back(-HOUR_MS)]
#[case::an_hour_forward(HOUR_MS)]
fn a_signature_after_a_step_is_taken(#[case] step_ms: i64) {
    let scene = Scene::with_edge(EDGE);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(scene.front.edge("dns", 0).unwrap()).unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    scene.faults.set_wall_clock_offset(step_ms).unwrap();
    let now_s = || ((wall_ms() + step_ms) / 1000) as u64;
    let key = zone::keys(false).get(&parse_name(zone::KEY, &[0]).unwrap()).unwrap().clone();
    let mut signer = Signer::request(key);
    let mut query = QUESTION.to_vec();
    signer.sign(&mut query, now_s());
    socket.send(&query).unwrap();
    let mut bytes = [0; 1024];
    let length = socket.recv(&mut bytes).unwrap();
    let answer = &bytes[..length];
    assert_eq!(answer[3] & 0xF, 0, "no error");
    let header = Header::read(answer).unwrap();
    let signature = Query::read(answer, &header).unwrap().tsig.unwrap();
    signer.expects_first();
    assert!(signer.check(answer, signature, now_s()));
}

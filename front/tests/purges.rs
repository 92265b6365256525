//! Purges that a front knows are heeded from its first request on, by whatever way its process, settings or cells were put
//! in force. Guards against routers that are created after a purge and accept copies from before it.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::faults::Faults;
use elmtide_standins::front::{Folder, Front, Handed, Setup, SETTINGS};
use elmtide_standins::node::{Node, Origin};
use elmtide_standins::shopper::{get_for, Http};
use elmtide_standins::{until, PATIENCE};
use rstest::rstest;

const EDGE: &str = "zone = \"edge.test.\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n";
const NO_CELLS: &str = "";
const ONE_CELL: &str = "[[cell]]\nname = \"all\"\nboxes = [\"c-0\", \"c-1\"]\n";
const TWO_CELLS: &str =
    "[[cell]]\nname = \"one\"\nboxes = [\"c-0\"]\n[[cell]]\nname = \"two\"\nboxes = [\"c-1\"]\n\
     [[shop]]\nname = \"first\"\ncell = \"one\"\n[[shop]]\nname = \"second\"\ncell = \"two\"\n";
const SHOPS: [&str; 2] = ["first", "second"];

const OBJECT: u64 = 0x7f3a_9c21_e0b4_d655;
const OTHER_OBJECT: u64 = 0x1b2c_3d4e_5f60_7182;
const GROUP: u16 = 17;
/// More purges than a front keeps one by one.
const MANY: u64 = 5000;
/// A purge must be heeded so long after it was told, with what the platform adds to each limit on sockets.
const PURGE_SLACK: Duration = Duration::from_millis(1050);

/// A front between a bus and two cache nodes.
struct Deployment {
    bus: Bus,
    nodes: Vec<Node>,
    handed: Option<Handed>,
    front: Front,
    /// The process before, where it was replaced.
    _replaced: Option<Front>,
    at: SocketAddr,
}

impl Deployment {
    fn start(cells: &str, handed: Option<Handed>) -> Deployment {
        let (bus, origin) = (Bus::start().unwrap(), Arc::new(Origin::default()));
        let node = |n: u64| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            Node::start(&format!("c-{n}"), listener, &origin, n).unwrap()
        };
        let nodes: Vec<Node> = (0..2).map(node).collect();
        let mut servers: Vec<_> =
            nodes.iter().map(|n| listed(&n.name, n.at, "edge-1", "small", "active")).collect();
        servers.push(listed("o-1", "127.0.0.1:9".parse().unwrap(), "east", "origin", "active"));
        bus.list(true, &servers);
        let front = start_front(&bus, cells, handed.as_ref());
        let at = front.edge("http", 0).unwrap();
        Deployment { bus, nodes, handed, front, _replaced: None, at }
    }

    /// Kills the process and starts it again with what is known by now.
    fn kill_and_start(&mut self, cells: &str) {
        self.front.kill();
        self.front = start_front(&self.bus, cells, None);
        self.at = self.front.edge("http", 0).unwrap();
    }

    /// Starts a second process on the same listener, which takes over the addresses of the first.
    fn replace(&mut self, cells: &str) {
        let next = start_front(&self.bus, cells, self.handed.as_ref());
        self.front.signal("TERM").unwrap();
        self.at = next.edge("http", 0).unwrap();
        self._replaced = Some(std::mem::replace(&mut self.front, next));
    }

    /// Reloads the configuration with another limit, so that a router is created.
    fn reload(&self) {
        let file = self.front.folder.0.join("config.json");
        let text = std::fs::read_to_string(&file).unwrap();
        let changed = text.replace("\"TryLimit\":8", "\"TryLimit\":7");
        assert_ne!(changed, text);
        std::fs::write(file, changed).unwrap();
        self.front.signal("HUP").unwrap();
        self.front.log.wait("classes are in force", 0).unwrap();
    }

    /// Asks for both objects as both shops, in the group; what was asked of the nodes for them.
    fn ask(&self) -> Vec<elmtide_standins::node::Seen> {
        let before: Vec<usize> = self.nodes.iter().map(Node::asked).collect();
        let mut http = Http::connect(self.at, PATIENCE).unwrap();
        for shop in SHOPS {
            for object in [OBJECT, OTHER_OBJECT] {
                let grouped =
                    get_for(object, shop).replacen("Host: b", &format!("Host: b\r\nX-Set: {GROUP}"), 1);
                http.send(&grouped).unwrap();
                assert_eq!(http.reply().unwrap().status, 200);
            }
        }
        let seen = self.nodes.iter().zip(before).flat_map(|(node, from)| node.seen().split_off(from));
        seen.collect()
    }

    /// Requests for purged objects that would take a copy from before the purge.
    fn breaches(&self, is_group: bool, purged_at: Instant) -> Vec<String> {
        let purged = [format!("{OBJECT:016x}"), format!("{OTHER_OBJECT:016x}")];
        let seen = self.ask();
        assert!(seen.len() >= 4, "{seen:?}");
        let concerned = seen.iter().filter(|s| s.thing == purged[0] || is_group && s.thing == purged[1]);
        let takes_old = concerned.filter(|s| {
            let since_purge = s.at.duration_since(purged_at).as_millis() as u64;
            s.max_age_ms.is_none_or(|age| age > since_purge)
        });
        takes_old.map(|s| format!("object {}, oldest copy {:?} ms", s.thing, s.max_age_ms)).collect()
    }
}

fn start_front(bus: &Bus, cells: &str, handed: Option<&Handed>) -> Front {
    let folder = Folder::new().unwrap();
    let settings = SETTINGS.replacen("\"FamilyInfo\":{", "\"FamilyInfo\":{\"PurgeTakesMs\":6000,", 1);
    std::fs::write(folder.0.join("settings.json"), settings).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_elmtide"));
    let setup =
        Setup { binary, name: "n1", bus: bus.at, known: bus.known(), edge: EDGE, cells, sockets: 1024 };
    Front::start_in(folder, &setup, handed).unwrap()
}

/// A way by which new requests come to a router that was created after the purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Started,
    StartedWithCells,
    ReplacedWithCells,
    Reloaded,
    CellsOn,
    CellSplit,
    CellsOff,
}

impl Way {
    fn begin(self) -> Deployment {
        match self {
            Way::Started | Way::Reloaded | Way::CellsOn => Deployment::start(NO_CELLS, None),
            Way::StartedWithCells | Way::CellsOff => Deployment::start(TWO_CELLS, None),
            Way::ReplacedWithCells => Deployment::start(TWO_CELLS, Some(Handed::new().unwrap())),
            Way::CellSplit => Deployment::start(ONE_CELL, None),
        }
    }

    fn go(self, deployment: &mut Deployment) {
        match self {
            Way::Started => deployment.kill_and_start(NO_CELLS),
            Way::StartedWithCells => deployment.kill_and_start(TWO_CELLS),
            Way::ReplacedWithCells => deployment.replace(TWO_CELLS),
            Way::Reloaded => deployment.reload(),
            Way::CellsOn | Way::CellSplit => deployment.front.apply_cells(TWO_CELLS).unwrap(),
            Way::CellsOff => deployment.front.apply_cells(NO_CELLS).unwrap(),
        }
    }
}

#[rstest]
fn a_purge_is_heeded_with_the_first_request(
    #[values(
        Way::Started,
        Way::StartedWithCells,
        Way::ReplacedWithCells,
        Way::Reloaded,
        Way::CellsOn,
        Way::CellSplit,
        Way::CellsOff
    )]
    way: Way,
    #[values(false, true)] is_group: bool,
) {
    let mut deployment = way.begin();
    deployment.ask();
    let purged_at = Instant::now();
    match is_group {
        true => deployment.bus.purge_group(GROUP),
        false => deployment.bus.purge(OBJECT),
    }
    let is_heeded = || deployment.breaches(is_group, purged_at).is_empty();
    assert!(until(is_heeded), "the purge is not heeded before the change either");
    way.go(&mut deployment);
    let breaches = deployment.breaches(is_group, purged_at);
    assert!(breaches.is_empty(), "{breaches:?}");
}

/// Guards against forgetting a purge because others were told after it.
#[rstest]
fn a_purge_before_many_others_is_heeded(#[values(Way::Reloaded, Way::CellsOn)] way: Way) {
    let mut deployment = way.begin();
    deployment.ask();
    let purged_at = Instant::now();
    deployment.bus.purge(OBJECT);
    (1..=MANY).for_each(|object| deployment.bus.purge(object));
    deployment.bus.purge(OTHER_OBJECT);
    let is_last_heeded = || deployment.breaches(true, purged_at).is_empty();
    assert!(until(is_last_heeded), "the purges are not heeded before the change either");
    way.go(&mut deployment);
    let breaches = deployment.breaches(true, purged_at);
    assert!(breaches.is_empty(), "{breaches:?}");
}

/// A purge that the file does not have yet is heard of the bus within the time to heed it.
#[test]
fn a_purge_that_only_the_bus_knows_is_heeded_in_time() {
    let mut deployment = Deployment::start(TWO_CELLS, None);
    deployment.ask();
    let purged_at = Instant::now();
    deployment.bus.purge(OBJECT);
    deployment.front.kill();
    // With the same file, in which the purge is not.
    deployment.front.again().unwrap();
    deployment.at = deployment.front.edge("http", 0).unwrap();
    let ready_at = Instant::now();
    assert!(until(|| deployment.breaches(false, purged_at).is_empty()));
    assert!(ready_at.elapsed() < PURGE_SLACK, "{:?} after it was ready", ready_at.elapsed());
}

/// Guards against a reload that leaves out what its file knows of the bus: the bus says nothing here.
#[test]
fn a_purge_that_only_the_new_file_knows_is_heeded_after_a_reload() {
    let mut deployment = Deployment::start(NO_CELLS, None);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let file = deployment.front.folder.0.join("config.json");
    let text = std::fs::read_to_string(&file).unwrap();
    let before = text.replace(&deployment.bus.at.to_string(), &silent.local_addr().unwrap().to_string());
    std::fs::write(&file, &before).unwrap();
    deployment.front.again().unwrap();
    deployment.at = deployment.front.edge("http", 0).unwrap();
    deployment.ask();
    let known = deployment.bus.known().to_string();
    deployment.bus.purge(OBJECT);
    let purged_at = Instant::now();
    let after = before.replace(&known, &deployment.bus.known().to_string());
    assert_ne!(after, before);
    std::fs::write(&file, after).unwrap();
    deployment.front.signal("HUP").unwrap();
    deployment.front.log.wait("classes are in force", 0).unwrap();
    let breaches = deployment.breaches(false, purged_at);
    assert!(breaches.is_empty(), "{breaches:?}");
}

/// How far the front's clock is from that of the machine which stamps purges when the front starts.
const HOUR_MS: i64 = 3_600_000;

/// Guards against a front whose clock was stepped before it started, so that it takes a purge for older than it is, by a
/// timestamp of another machine.
#[rstest]
fn a_purge_is_heeded_whatever_the_clock_at_the_start(
    #[values(-HOUR_MS, -7000, -3000, -1000, 0, 1000, 3000, 7000, HOUR_MS)] difference_ms: i64,
    #[values(false, true)] is_known_at_start: bool,
) {
    let (control, mut handed) = (Folder::new().unwrap(), Handed::new().unwrap());
    let faults = Faults::new(&control.0, 1).unwrap();
    faults.set_wall_clock_offset(difference_ms).unwrap();
    handed.environment = faults.environment().into();
    let mut deployment = Deployment::start(NO_CELLS, Some(handed));
    deployment.ask();
    let purged_at = Instant::now();
    deployment.bus.purge(OBJECT);
    if is_known_at_start {
        deployment.front.kill();
        deployment.front = start_front(&deployment.bus, NO_CELLS, deployment.handed.as_ref());
        deployment.at = deployment.front.edge("http", 0).unwrap();
    }
    let told_at = Instant::now();
    while !deployment.breaches(false, purged_at).is_empty() {
        assert!(told_at.elapsed() < PURGE_SLACK, "not heeded {:?} after it was told", told_at.elapsed());
    }
    // Nor is it taken for so recent that copies made since then are of no use.
    let until_next = Instant::now() + Duration::from_millis(500);
    while Instant::now() < until_next {
        deployment.ask();
    }
    let seen = deployment.nodes.iter().flat_map(Node::seen).filter(|s| s.thing == format!("{OBJECT:016x}"));
    let newest = seen.max_by_key(|s| s.at).unwrap();
    let (age, since_purge) = (newest.max_age_ms.unwrap(), newest.at.duration_since(purged_at));
    assert!(
        Duration::from_millis(age) + PURGE_SLACK > since_purge,
        "{age} ms, {since_purge:?} after the purge"
    );
}

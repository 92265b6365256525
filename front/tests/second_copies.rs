//! A deployment that forbids second copies, with real processes: no cache node is sent a request while another may still work on
//! it, whatever way the first attempt was lost.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::Program;
use elmtide_standins::node::{Behaviour, Node, Origin};
use elmtide_standins::until;
use elmtide_standins::web_server::{RequestEnd, WebServerConnection};

const ALLOW_MS: u32 = 2900;

struct Scene {
    program: Program,
    nodes: Vec<Node>,
}

impl Scene {
    fn start() -> Scene {
        let mut program = Program::start(&["s-1", "s-2"], None);
        program.spoil("\"HardLimitMs\":900", "\"HardLimitMs\":3000");
        program.spoil("\"SecondCopies\":true", "\"SecondCopies\":false");
        program.signal("HUP");
        program.log.wait("classes are in force", 0);
        let origin = Arc::new(Origin::default());
        let nodes = ["s-1", "s-2"].map(|name| {
            let listener = program.listeners.remove(name).unwrap();
            Node::start(name, listener, &origin, 1).unwrap()
        });
        Scene { program, nodes: nodes.into() }
    }

    /// How often each job came to a node.
    fn attempts(&self) -> BTreeMap<String, usize> {
        let mut attempts = BTreeMap::new();
        for seen in self.nodes.iter().flat_map(Node::seen) {
            *attempts.entry(seen.job).or_insert(0) += 1;
        }
        attempts
    }

    fn set_all(&self, behaviour: Behaviour) {
        self.nodes.iter().for_each(|node| node.set(behaviour));
    }
}

/// Nodes that take requests and hang: they are asked, their connections are closed over the silence, and no request goes on to the
/// other node, since the one that hangs has not heard of that.
#[test]
fn a_request_at_a_node_that_hangs_is_sent_to_no_other() {
    let scene = Scene::start();
    scene.set_all(Behaviour { mute: true, ..Behaviour::default() });
    let connection = WebServerConnection::open(scene.program.listen, 1).unwrap();
    for _ in 0..8 {
        connection.send("small-files", ALLOW_MS, b"").unwrap();
    }
    assert!(until(|| connection.open_requests() == 0));
    let attempts = scene.attempts();
    assert!(!attempts.is_empty());
    assert!(attempts.values().all(|count| *count == 1), "{attempts:?}");
    let record = connection.record();
    let refused = |end| matches!(end, RequestEnd::Status { status: 503, .. });
    assert!(
        record.requests.iter().all(|r| refused(r.end.unwrap().1)),
        "trying again does no harm: {record:?}"
    );
    let longest = record.requests.iter().map(|r| r.end.unwrap().0 - r.written).max().unwrap();
    assert!(longest < Duration::from_millis(u64::from(ALLOW_MS)), "before the deadline: {longest:?}");
}

/// What a node tells by ending the connection is an end: the request goes on to the other node.
#[test]
fn a_request_whose_end_is_told_goes_on_to_another() {
    let scene = Scene::start();
    let connection = WebServerConnection::open(scene.program.listen, 1).unwrap();
    connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let asked_first = scene.nodes.iter().find(|node| node.asked() == 1).unwrap();
    asked_first.set(Behaviour { lose: 1.0, ..Behaviour::default() });
    connection.send("small-files", ALLOW_MS, b"").unwrap();
    assert!(until(|| connection.open_requests() == 0));
    let attempts = scene.attempts();
    assert!(attempts.values().any(|count| *count > 1), "{attempts:?}");
    let record = connection.record();
    let served = |end| matches!(end, RequestEnd::Status { status: 200, .. });
    assert!(record.requests.iter().all(|r| served(r.end.unwrap().1)), "{record:?}");
}

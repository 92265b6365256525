//! A sound event bus is heard however large its answers are and however slowly they come.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::Program;
use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::node::{Node, Origin};
use elmtide_standins::tcp_proxy::{LinkFaults, TcpProxy};
use elmtide_standins::until;
use elmtide_standins::web_server::{RequestEnd, WebServerConnection};
use rstest::rstest;
use serde_json::Value;

const ALLOW_MS: u32 = 800;
/// The object that web servers of the stand-ins ask for.
const OBJECT: u64 = 0x7f3a_9c21_e0b4_d655;

/// The most servers that a fleet has, and how many of them a release replaces.
const FLEET: usize = 3200;
const REPLACED: usize = FLEET * 6 / 10;

/// A server that serves another location.
fn far(n: usize, state: &str) -> Value {
    listed(&format!("far-{n:08}"), "127.0.0.1:9".parse().unwrap(), "east", "small", state)
}

struct Scene {
    bus: Bus,
    link: TcpProxy,
    node: Node,
    program: Program,
}

impl Scene {
    /// A front with one cache node, and a link with faults on its way to the event bus.
    fn start() -> Scene {
        let mut program = Program::start(&["s-1"], None);
        let bus = Bus::start().unwrap();
        let own = program.listeners.remove("s-1").unwrap();
        // The event that the front has at its start.
        bus.list(true, &[listed("s-1", own.local_addr().unwrap(), "edge-1", "small", "active")]);
        let link = TcpProxy::start(program.listeners.remove("bus").unwrap(), bus.at).unwrap();
        let node = Node::start("s-1", own, &Arc::new(Origin::default()), 1).unwrap();
        Scene { bus, link, node, program }
    }

    /// Changes of servers that serve other locations, an event each.
    fn add_changes(&self, count: usize) {
        for n in 0..count {
            self.bus.list(false, &[far(n, "left")]);
        }
    }

    /// Replaces servers of other locations, each by a new one.
    fn replace_servers(&self, count: usize) {
        for n in 0..count {
            self.bus.list(false, &[far(n, "leaving")]);
            self.bus.list(false, &[far(n + FLEET, "active")]);
            self.bus.list(false, &[far(n, "left")]);
        }
    }

    /// Sends one request; whether the node was told of a purge with it.
    fn is_purge_heeded(&self) -> bool {
        let connection = WebServerConnection::open(self.program.listen, 1).unwrap();
        connection.send("small-files", ALLOW_MS, b"").unwrap();
        assert!(until(|| connection.open_requests() == 0));
        let request = &connection.record().requests[0];
        let (ended, end) = request.end.unwrap();
        assert!(matches!(end, RequestEnd::Status { status: 200, .. }), "{end:?}");
        let took = ended - request.written;
        assert!(took < Duration::from_millis(u64::from(ALLOW_MS)), "answered after {took:?}");
        self.node.seen().last().is_some_and(|seen| seen.max_age_ms.is_some())
    }
}

/// Changes gather while the bus can't be reached. Over 1 MiB of them in one answer were refused as too long, and asked for
/// again from the same number for ever. Requests are answered in time meanwhile: each change by itself held them up for
/// seconds.
#[test]
fn changes_that_gather_in_an_outage_of_the_bus_are_all_heard() {
    let scene = Scene::start();
    scene.bus.list(false, &(0..FLEET).map(|n| far(n, "active")).collect::<Vec<_>>());
    assert!(!scene.is_purge_heeded());
    scene.link.set(LinkFaults { is_silent: true, ..LinkFaults::default() });
    scene.replace_servers(REPLACED);
    scene.bus.purge(OBJECT);
    scene.link.set(LinkFaults::default());
    assert!(until(|| scene.is_purge_heeded()), "{}", scene.program.log.wait("bus: ", 0));
}

/// An answer that takes longer than a front waits at first. It was given up, and asked for again from the same number for
/// ever.
#[rstest]
#[case::a_low_rate(2000, LinkFaults { bytes_per_second: 200_000, max_piece: 10_000, ..LinkFaults::default() })]
#[case::a_pause_of_a_second_between_pieces(1000, LinkFaults { bytes_per_second: 64_000, max_piece: 64_000, ..LinkFaults::default() })]
#[case::two_seconds_to_the_first_byte(1, LinkFaults { delay: Duration::from_millis(1000), ..LinkFaults::default() })]
fn a_slow_answer_of_the_bus_is_heard(#[case] changes: usize, #[case] faults: LinkFaults) {
    let scene = Scene::start();
    assert!(!scene.is_purge_heeded());
    scene.link.set(faults);
    // What has been asked for already would be answered sooner.
    scene.link.reset_all();
    scene.add_changes(changes);
    scene.bus.purge(OBJECT);
    assert!(until(|| scene.is_purge_heeded()), "{}", scene.program.log.wait("bus: ", 0));
}

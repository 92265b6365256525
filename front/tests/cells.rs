//! Cells in service, between stand-ins: ten cache nodes in three cells, shops that flood, moves with signups in flight,
//! cells that lose their boxes, files that can't be used.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_rules::{Observation, RuleChecker};
use elmtide_standins::bus::{listed, Bus};
use elmtide_standins::front::{Front, Setup};
use elmtide_standins::node::{runs, Behaviour, Node, Origin};
use elmtide_standins::shopper::{get_for, signup_for, Http};
use elmtide_standins::{until, PATIENCE};

const EDGE: &str = "zone = \"edge.test.\"\n[[front]]\nname = \"n1\"\nhttp = [\"127.0.0.1:0\"]\n";
const CELLS: [std::ops::Range<usize>; 3] = [0..4, 4..7, 7..10];

/// The file: three cells over ten boxes, and shops by name.
fn file(shops: &[(&str, &str)], more: &str) -> String {
    let mut text = String::from(
        "[limits]\nwarm_step_ms = 60.0\nwaiting_of_shop = 8\nrunning_first = 8.0\nrunning_most = 16.0\n",
    );
    text += more;
    for (name, boxes) in ["a", "b", "c"].iter().zip(CELLS) {
        let list: Vec<String> = boxes.map(|n| format!("\"box-{n}\"")).collect();
        text += &format!("[[cell]]\nname = \"{name}\"\nboxes = [{}]\n", list.join(", "));
    }
    for (shop, cell) in shops {
        text += &format!("[[shop]]\nname = \"{shop}\"\ncell = \"{cell}\"\n");
    }
    text
}

struct Fleet {
    bus: Bus,
    boxes: Vec<Node>,
    front: Front,
    at: SocketAddr,
    begun: Instant,
}

impl Fleet {
    fn new(cells: &str) -> Fleet {
        let begun = Instant::now();
        let (bus, origin) = (Bus::start().unwrap(), Arc::new(Origin::default()));
        let node = |n: usize| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let node = Node::start(&format!("box-{n}"), listener, &origin, n as u64).unwrap();
            node.set(Behaviour { delay: Duration::from_millis(3), ..Behaviour::default() });
            node
        };
        let boxes: Vec<Node> = (0..10).map(node).collect();
        let mut servers: Vec<_> =
            boxes.iter().map(|b| listed(&b.name, b.at, "edge-1", "small", "active")).collect();
        servers.push(listed("o-1", "127.0.0.1:9".parse().unwrap(), "east", "origin", "active"));
        bus.list(true, &servers);
        let binary = Path::new(env!("CARGO_BIN_EXE_elmtide"));
        let known = bus.known();
        let setup = Setup { binary, name: "n1", bus: bus.at, known, edge: EDGE, cells, sockets: 1024 };
        let front = Front::start(&setup).unwrap();
        front.log.wait("cells: 3 are in force", 0).unwrap();
        let at = front.edge("http", 0).unwrap();
        Fleet { bus, boxes, front, at, begun }
    }

    fn client(&self) -> Http {
        Http::connect(self.at, PATIENCE).unwrap()
    }

    /// What the boxes saw, held against the rules; the second are announcements of drains.
    fn rules(&self, drains: &[(Instant, usize)]) -> RuleChecker {
        let zero = self.begun;
        let ms = |at: Instant| (at - zero).as_secs_f64() * 1000.0;
        let mut seen: Vec<(f64, Observation)> = drains
            .iter()
            .map(|(at, node)| (ms(*at), Observation::DrainAnnounced { node: *node as u64 }))
            .collect();
        let mut keys: Vec<Vec<u8>> = Vec::new();
        for (node, b) in self.boxes.iter().enumerate() {
            for asked in b.seen() {
                seen.push((ms(asked.at), Observation::WorkAssigned { node: node as u64, source: None }));
                if asked.profile == "plan-signup" {
                    let key = keys.iter().position(|k| *k == asked.body).unwrap_or(keys.len());
                    if key == keys.len() {
                        keys.push(asked.body);
                    }
                    seen.push((ms(asked.at), Observation::Executed { key: key as u64 }));
                }
            }
        }
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut rules = RuleChecker::new(0.0);
        seen.into_iter().for_each(|(at, s)| rules.observe(at, s));
        rules
    }

    /// Cells whose boxes have been asked, of requests for items from here on.
    fn cells_asked(&self, from: Instant) -> BTreeSet<usize> {
        (0..3).filter(|c| self.boxes[CELLS[*c].clone()].iter().any(|b| b.after(from) > 0)).collect()
    }
}

/// Asks once; the status.
fn ask(http: &mut Http, item: u64, shop: &str) -> u16 {
    http.send(&get_for(item, shop)).unwrap();
    http.reply().unwrap().status
}

/// A shop's requests reach the boxes of its own cell and no others.
#[test]
fn shops_are_confined() {
    let fleet = Fleet::new(&file(&[("one", "a"), ("two", "b"), ("three", "c")], ""));
    let mut http = fleet.client();
    for (shop, cell) in [("one", 0), ("two", 1), ("three", 2)] {
        let since = Instant::now();
        for item in 0..60 {
            assert_eq!(ask(&mut http, item, shop), 200);
        }
        assert_eq!(fleet.cells_asked(since), BTreeSet::from([cell]), "{shop}");
    }
}

/// A shop with a shard of two boxes reaches those two and no others; its neighbours have the whole cell.
#[test]
fn a_shop_has_its_shard() {
    let text =
        file(&[("one", "a"), ("two", "a")], "").replace("name = \"one\"\n", "name = \"one\"\nshard = 2\n");
    let fleet = Fleet::new(&text);
    let mut http = fleet.client();
    let asked = |since| fleet.boxes.iter().filter(|b| b.after(since) > 0).count();
    for (shop, boxes) in [("one", 2), ("two", 4)] {
        let since = Instant::now();
        for item in 0..80 {
            assert_eq!(ask(&mut http, item, shop), 200);
        }
        assert_eq!(asked(since), boxes, "{shop}");
    }
}

/// One shop floods from many connections: shops of other cells are all served, its neighbour mostly.
#[test]
fn a_flood_ends_at_its_cell() {
    let fleet = Fleet::new(&file(&[("flood", "a"), ("near", "a"), ("far", "b")], ""));
    let stop = Arc::new(AtomicBool::new(false));
    let floods: Vec<_> = (0..48u64)
        .map(|n| {
            let (stop, mut http) = (stop.clone(), fleet.client());
            std::thread::spawn(move || {
                let (mut refused, mut item) = (0u32, n << 32);
                while !stop.load(Relaxed) {
                    item += 1;
                    http.send(&get_for(item, "flood")).unwrap();
                    let Ok(reply) = http.reply() else { break };
                    refused += u32::from(reply.status == 503 && reply.wait_ms().is_some());
                }
                refused
            })
        })
        .collect();
    let (mut far, mut near) = (0, 0);
    let (mut one, mut two) = (fleet.client(), fleet.client());
    for item in 0..150 {
        far += usize::from(ask(&mut one, item, "far") == 200);
        near += usize::from(ask(&mut two, item, "near") == 200);
    }
    stop.store(true, Relaxed);
    let refused: u32 = floods.into_iter().map(|f| f.join().unwrap()).sum();
    assert_eq!(far, 150, "another cell");
    assert!(near >= 135, "its neighbour: {near} of 150");
    assert!(refused > 0, "the flood is refused, with a time to come back");
}

/// The flood comes from the very shop that is being moved, onto boxes that have just started: a third cell is untouched
/// throughout, the new cell's own shop mostly, and the old one is free of it in the end.
#[test]
fn the_flooding_shop_is_moved() {
    let shops = |cell| [("flood", cell), ("old", "a"), ("new", "b"), ("far", "c")];
    let fleet = Fleet::new(&file(&shops("a"), ""));
    for b in &fleet.boxes[CELLS[1].clone()] {
        let cold = Some((0.25, Duration::from_secs(2)));
        b.set(Behaviour { delay: Duration::from_millis(3), slots: 16, cold, ..Behaviour::default() });
        b.start_again();
    }
    let stop = Arc::new(AtomicBool::new(false));
    // It holds connections that it never uses besides.
    let held: Vec<_> = (0..64).map(|_| std::net::TcpStream::connect(fleet.at).unwrap()).collect();
    let floods: Vec<_> = (0..24u64)
        .map(|n| {
            let (stop, mut http) = (stop.clone(), fleet.client());
            std::thread::spawn(move || {
                let mut item = (n + 1) << 32;
                while !stop.load(Relaxed) {
                    item += 1;
                    // Refused, it asks again at once, and always for what nobody has.
                    http.send(&get_for(item, "flood")).unwrap();
                    if http.reply().is_err() {
                        break;
                    }
                }
            })
        })
        .collect();
    let (mut http, mut asked, mut served) = (fleet.client(), [0u32; 3], [0u32; 3]);
    let mut round = |item: u64| {
        for (place, shop) in ["old", "new", "far"].into_iter().enumerate() {
            asked[place] += 1;
            served[place] += u32::from(ask(&mut http, item, shop) == 200);
        }
        (asked, served)
    };
    let mut last = ([0; 3], [0; 3]);
    (0..30).for_each(|item| last = round(item));
    fleet.front.apply_cells(&file(&shops("b"), "")).unwrap();
    let mut item = 30;
    assert!(until(|| {
        let since = Instant::now();
        (0..10).for_each(|_| {
            item += 1;
            last = round(item);
        });
        // The old cell's boxes see its own shop alone.
        let old = fleet.boxes[CELLS[0].clone()].iter().map(|b| b.after(since)).sum::<usize>();
        old <= 12
    }));
    stop.store(true, Relaxed);
    floods.into_iter().for_each(|f| f.join().unwrap());
    drop(held);
    let (asked, served) = last;
    assert_eq!(asked[2], served[2], "a third cell");
    assert!(f64::from(served[0]) >= 0.9 * f64::from(asked[0]), "the old cell: {served:?} of {asked:?}");
    assert!(f64::from(served[1]) >= 0.8 * f64::from(asked[1]), "the new cell: {served:?} of {asked:?}");
}

/// A shop is moved while its signups are in flight, answers are lost and clients ask again: none runs twice, each is
/// answered, and in the end the new cell alone has the shop.
#[test]
fn a_move_with_signups_in_flight() {
    let fleet = Fleet::new(&file(&[("one", "a")], ""));
    fleet.front.log.wait("ledger: open", 0).unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let at = fleet.at;
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut answered = 0;
                for k in 0.. {
                    if stop.load(Relaxed) {
                        break;
                    }
                    let request = signup_for(&format!("m{n}-{k}"), "one");
                    // Every third answer is lost, and the same is asked again.
                    if k % 3 == 0 {
                        let mut http = Http::connect(at, PATIENCE).unwrap();
                        http.send(&request).unwrap();
                    }
                    let mut http = Http::connect(at, PATIENCE).unwrap();
                    http.send(&request).unwrap();
                    let status = http.reply().expect("an answer").status;
                    assert!(matches!(status, 200 | 502 | 503), "{status}");
                    answered += u32::from(status == 200);
                }
                answered
            })
        })
        .collect();
    assert!(until(|| runs(&fleet.boxes).len() > 50));
    fleet.front.apply_cells(&file(&[("one", "b")], "")).unwrap();
    // A reader shows how far it is.
    let mut http = fleet.client();
    let mut item = 0;
    assert!(until(|| {
        let since = Instant::now();
        for _ in 0..40 {
            item += 1;
            ask(&mut http, item, "one");
        }
        fleet.cells_asked(since) == BTreeSet::from([1])
    }));
    stop.store(true, Relaxed);
    let answered: u32 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(answered > 100, "{answered}");
    let broken = fleet.rules(&[]).finish(1e9);
    assert!(broken.is_empty(), "{broken:?}");
}

/// A move is taken back while it warms: all is where it was. Killed in the middle of one and started again, the front
/// has the file's word: the shop is in its new cell.
#[test]
fn a_move_undone_and_a_move_cut_off() {
    let slow = "running_least = 4.0\n";
    let mut fleet =
        Fleet::new(&file(&[("one", "a")], slow).replace("warm_step_ms = 60.0", "warm_step_ms = 60000.0"));
    let slow_file =
        |cell| file(&[("one", cell)], slow).replace("warm_step_ms = 60.0", "warm_step_ms = 60000.0");
    fleet.front.apply_cells(&slow_file("b")).unwrap();
    let mut http = fleet.client();
    let mut item = 0;
    let mut both = |http: &mut Http, fleet: &Fleet| {
        let since = Instant::now();
        for _ in 0..300 {
            item += 1;
            ask(http, item, "one");
        }
        fleet.cells_asked(since)
    };
    assert!(until(|| both(&mut http, &fleet) == BTreeSet::from([0, 1])), "warming");
    let (code, said) = fleet.front.run(&["undo-move", "--control", "control.sock", "one"]).unwrap();
    assert_eq!(code, Some(0), "{said}");
    fleet.front.log.wait("the move of a shop was undone", 0).unwrap();
    assert_eq!(both(&mut http, &fleet), BTreeSet::from([0]));
    fleet.front.apply_cells(&slow_file("a")).unwrap();
    fleet.front.apply_cells(&slow_file("b")).unwrap();
    assert!(until(|| both(&mut http, &fleet) == BTreeSet::from([0, 1])), "warming again");
    fleet.front.again().unwrap();
    fleet.at = fleet.front.edge("http", 0).unwrap();
    let mut http = fleet.client();
    assert_eq!(both(&mut http, &fleet), BTreeSet::from([1]));
    // The same file once more changes nothing.
    let (_, said) = fleet
        .front
        .run(&["plan", "--edge", "edge.toml", "--cells", "cells.toml", "--control", "control.sock"])
        .unwrap();
    assert!(said.contains("no change"), "{said}");
}

/// A cell whose boxes all drain: its shops are refused, with a time to come back, and others go on; no work comes to
/// the drained boxes after 2 s.
#[test]
fn a_cell_that_loses_its_boxes() {
    let fleet = Fleet::new(&file(&[("one", "b"), ("two", "c")], ""));
    let mut http = fleet.client();
    assert_eq!(ask(&mut http, 1, "one"), 200);
    let gone: Vec<_> = fleet.boxes[CELLS[1].clone()]
        .iter()
        .map(|b| listed(&b.name, b.at, "edge-1", "small", "leaving"))
        .collect();
    fleet.bus.list(false, &gone);
    let drained = Instant::now() + Duration::from_secs(2);
    assert!(until(|| ask(&mut http, 2, "one") == 503));
    http.send(&get_for(3, "one")).unwrap();
    let reply = http.reply().unwrap();
    assert!(reply.wait_ms().is_some_and(|ms| (500..=1500).contains(&ms)), "{reply:?}");
    while Instant::now() < drained + Duration::from_millis(200) {
        assert_eq!(ask(&mut http, 4, "two"), 200);
        ask(&mut http, 5, "one");
    }
    let announced = drained - Duration::from_secs(2);
    let drains: Vec<(Instant, usize)> = CELLS[1].clone().map(|n| (announced, n)).collect();
    let broken = fleet.rules(&drains).finish(1e9);
    assert!(broken.is_empty(), "{broken:?}");
}

/// A cell that is emptied: its shops are served elsewhere.
#[test]
fn an_emptied_cell() {
    let fleet = Fleet::new(&file(&[("one", "b"), ("two", "c")], ""));
    let emptied =
        file(&[("one", "b"), ("two", "c")], "").replace("name = \"b\"\n", "name = \"b\"\nevacuate = true\n");
    fleet.front.apply_cells(&emptied).unwrap();
    fleet.front.log.wait("cells: 3 are in force", 1).unwrap();
    let (mut http, since) = (fleet.client(), Instant::now());
    for item in 0..60 {
        assert_eq!(ask(&mut http, item, "one"), 200);
    }
    let asked = fleet.cells_asked(since);
    assert!(!asked.contains(&1) && asked.len() == 1, "{asked:?}");
}

/// Files that can't be used change nothing, and say why.
#[test]
fn bad_files_change_nothing() {
    let good = file(&[("one", "a")], "");
    let fleet = Fleet::new(&good);
    for (bad, told) in [
        (good.replace("\"box-4\"", "\"box-0\""), "box box-0 is in cell a and in cell b"),
        (good.replace("boxes = [\"box-4\", \"box-5\", \"box-6\"]", "boxes = []"), "cell b has no boxes"),
        (good.replace("cell = \"a\"", "cell = \"x\""), "shop one: there is no cell x"),
        (good.replace("warm_step_ms = 60.0", "warm_step_ms = nan"), "out of its range"),
        (good.replace("[[cell]]", "[[cel]]"), "cells.toml"),
    ] {
        let why = fleet.front.apply_cells(&bad).unwrap_err();
        assert!(why.contains(told), "{why}");
    }
    std::fs::write(fleet.front.folder.0.join("cells.toml"), &good).unwrap();
    let plan = [
        "plan",
        "--edge",
        "edge.toml",
        "--cells",
        "cells.toml",
        "--control",
        "control.sock",
        "--out",
        "q.json",
    ];
    assert!(fleet.front.run(&plan).unwrap().1.contains("no change"));
    // A plan made against other cells than those in force.
    std::fs::write(fleet.front.folder.0.join("cells.toml"), file(&[("one", "c")], "")).unwrap();
    assert_eq!(fleet.front.run(&plan).unwrap().0, Some(2));
    fleet.front.apply_cells(&file(&[("one", "b")], "")).unwrap();
    let (code, said) = fleet.front.run(&["apply", "--control", "control.sock", "q.json"]).unwrap();
    assert!(code == Some(1) && said.contains("other cells"), "{said}");
}

/// A plan whose cells have more shops than fit in 1 MiB was refused at each try, though its file is within the limits.
#[test]
fn a_plan_with_many_shops_is_applied() {
    let fleet = Fleet::new(&file(&[], ""));
    let names: Vec<String> = (0..30_000).map(|n| format!("shop-{n:08}")).collect();
    let shops: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "b")).collect();
    // The plan prints a line for each shop; the last one says what went wrong.
    let applied = fleet.front.apply_cells(&file(&shops, ""));
    assert!(applied.is_ok(), "{:?}", applied.err().and_then(|said| said.lines().last().map(str::to_owned)));
    fleet.front.log.wait("cells: 3 are in force", 1).unwrap();
    let from = Instant::now();
    assert_eq!(ask(&mut fleet.client(), 1, "shop-00029999"), 200);
    assert_eq!(fleet.cells_asked(from), BTreeSet::from([1]));
}

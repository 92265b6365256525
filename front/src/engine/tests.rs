//! The engine by itself: inputs in, orders and answers out, with ways to nodes that do as the test says.

use std::sync::Mutex;
use std::time::Duration;

use crossbeam_channel::{bounded, unbounded};
use elmtide::{
    Availability, ClassId, ClassSettings, ListUpdate, Listing, MemberId, ObjectId, PurgeGroup, Repeat,
    RequestId,
};
use elmtide_cells::Layout;

use super::*;
use crate::exchange::*;
use crate::memory::budget::Budget;

/// A way to nodes on which nothing ever comes back, and attempts are written whole or not at all.
struct Silent(bool);

impl Upstream for Silent {
    fn send(&mut self, _: &Order) -> Result<(), SendError> {
        Ok(())
    }
    fn ended(&mut self, _: AttemptKey) {}
    fn give_up(&mut self, _: AttemptKey) -> Option<Progress> {
        Some(if self.0 { Progress::Whole } else { Progress::NotConnected })
    }
    fn withdraw(&mut self, _: AttemptKey) -> bool {
        !self.0
    }
    fn withdraw_from(&mut self, _: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        Vec::new()
    }
    fn may_have_run(&self, _: AttemptKey) -> bool {
        self.0
    }
    fn probe(&mut self, _: MemberId) -> Result<(), SendError> {
        Err(SendError::NoAddress)
    }
    fn learn(&mut self, _: &MembersNews) {}
    fn look(&mut self) {}
    fn sweep(&mut self) {}
}

/// The answer to a request of 400 ms, and after how much of them it came.
fn asked(written: bool, seed: u64) -> (Answer, Ms) {
    let class = ClassSettings { target_latency: 100.0, deadline: 400.0, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], cancel: true, ..Settings::default() };
    let settings = Settings { retry_after: true, max_retry_after: Some(500.0), ..settings };
    let (inputs, events) = unbounded();
    let member = MemberId(1);
    let (weight, zone, kind) = (1.0, Default::default(), Default::default());
    let (cell, started_at, availability) = (Default::default(), None, Availability::Ready);
    let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
    let event = Event::List { update: ListUpdate::Full, entries: vec![listing] };
    inputs.send(Input::Listed { from: ListSource::Bus, news: MembersNews::default(), event }).unwrap();
    let (to, answer) = bounded(1);
    let to = Mutex::new(to);
    let sent = clock::steady_ms();
    let word = |text: &str| crate::exchange::Token::new(text.as_bytes()).unwrap();
    let incoming = Incoming {
        id: RequestId(1),
        class: ClassId(0),
        object: ObjectId(7),
        part: 0,
        group: PurgeGroup(0),
        size_kb: None,
        shop: elmtide_cells::ShopId::of(""),
        deadline: sent + 400.0,
        passed: Arc::new(Passed {
            job: word("9b1f03aa5c7e2d41"),
            class_name: "small-files".into(),
            item: word("7f3a9c21e0b4d655"),
            part: word("0"),
            seen: None,
            unique: None,
            body: Vec::new(),
            once: false,
            write: false,
            _held: Budget::new(0).held(),
            tally: Arc::default(),
        }),
        responder: Responder::new(move |a| to.lock().unwrap().send((a, clock::steady_ms())).unwrap()),
    };
    inputs.send(Input::Taken(incoming)).unwrap();
    let engine = Engine::new(settings, seed, Silent(written), Arc::default());
    let run = std::thread::spawn(move || engine.run(&events));
    let (answer, at) = answer.recv_timeout(Duration::from_secs(20)).unwrap();
    inputs.send(Input::Stop).unwrap();
    run.join().unwrap();
    (answer, at - sent)
}

/// A request that no node was sent whole is not held past half its time; one that was waits for its end.
#[test]
fn what_could_not_be_sent_is_refused_before_half_its_time() {
    let (answer, after) = asked(false, 1);
    assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
    assert!(after >= 150.0, "after {after} ms: it was given a chance");
    let (answer, after) = asked(true, 1);
    assert!(answer != Answer::Served(Copy { bytes: vec![], digest: None, client_has_it: false }));
    assert!(after >= 380.0, "after {after} ms, while it was out");
}

/// A trouble that has many fronts refuse by themselves does not bring all their clients back in one moment.
#[test]
fn fronts_that_refuse_by_themselves_tell_different_waits() {
    let wait = |seed| match asked(false, seed).0 {
        Answer::Refused { wait_ms: Some(wait) } => wait,
        other => panic!("{other:?}"),
    };
    let waits: Vec<u64> = (1..5).map(wait).collect();
    assert!(waits.iter().all(|w| (300..=500).contains(w)), "{waits:?}");
    assert!(waits.iter().any(|w| *w != waits[0]), "{waits:?}");
}
/// A reload keeps the ids of classes whose rules stay, gives new ids to new or changed ones, and sends new
/// requests to a router of its own while the one before keeps its open requests.
#[test]
fn a_reload_keeps_the_ids_of_unchanged_classes_and_routes_new_requests_anew() {
    let rules = |deadline| ClassSettings { target_latency: 100.0, deadline, ..ClassSettings::default() };
    let settings = Settings { classes: vec![rules(400.0)], max_attempts: Some(4), ..Settings::default() };
    let engine = Engine::new(settings, 1, Silent(true), Arc::default());
    let mut engine = engine.with_class_names(vec!["a".into()]);
    let class = |name: &str, id| Class {
        name: name.into(),
        id: ClassId(id),
        write: false,
        once: false,
        keyed: false,
        deadline: 0.0,
    };
    let retune = |engine: &mut Engine<Silent>, classes: Vec<Class>, deadlines: &[f64]| {
        let (to, taken) = bounded(1);
        let settings = Settings {
            classes: deadlines.iter().map(|d| rules(*d)).collect(),
            max_attempts: Some(2),
            ..Settings::default()
        };
        let done = Box::new(move |t| to.send(t).unwrap());
        engine.handle(Input::Reconfigure(Box::new(Reconfiguration { settings, classes, done })));
        let table: Vec<(String, u16)> =
            taken.recv().unwrap().unwrap().iter().map(|c| (c.name.to_string(), c.id.0)).collect();
        table
    };
    let first = engine.current;
    let table = retune(&mut engine, vec![class("a", 0), class("b", 1)], &[400.0, 900.0]);
    assert_eq!(table, [("a".to_string(), 0), ("b".to_string(), 1)]);
    assert_ne!(engine.current, first, "new requests go to a router of the new settings");
    assert_eq!(engine.settings.max_attempts, Some(2));
    let table = retune(&mut engine, vec![class("a", 0)], &[700.0]);
    assert_eq!(table, [("a".to_string(), 2)], "a class whose rules changed is a new one");
    assert_eq!(engine.settings.classes.len(), 3, "ids are never taken back: open requests keep their rules");
    assert!(engine.routers.len() <= MAX_ROUTERS);
}
/// What the engine sent on: the age cap of each order.
struct Recording(Arc<Mutex<Vec<Option<Ms>>>>);

impl Upstream for Recording {
    fn send(&mut self, order: &Order) -> Result<(), SendError> {
        self.0.lock().unwrap().push(order.max_age);
        Ok(())
    }
    fn ended(&mut self, _: AttemptKey) {}
    fn give_up(&mut self, _: AttemptKey) -> Option<Progress> {
        None
    }
    fn withdraw(&mut self, _: AttemptKey) -> bool {
        false
    }
    fn withdraw_from(&mut self, _: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        Vec::new()
    }
    fn may_have_run(&self, _: AttemptKey) -> bool {
        true
    }
    fn probe(&mut self, _: MemberId) -> Result<(), SendError> {
        Ok(())
    }
    fn learn(&mut self, _: &MembersNews) {}
    fn look(&mut self) {}
    fn sweep(&mut self) {}
}

/// A router built at a reload is told the purges before it: it asks for no copy older than the purge.
#[test]
fn a_router_built_at_a_reload_knows_the_purges_before_it() {
    let class = ClassSettings { target_latency: 100.0, deadline: 2000.0, ..ClassSettings::default() };
    let origin = Some(elmtide::KindId(2));
    let settings = Settings { classes: vec![class], origin_kind: origin, ..Settings::default() };
    let sent = Arc::new(Mutex::new(Vec::new()));
    let engine = Engine::new(settings.clone(), 1, Recording(sent.clone()), Arc::default());
    let mut engine = engine.with_class_names(vec!["a".into()]);
    let (member, weight, zone, kind) = (MemberId(1), 1.0, Default::default(), Default::default());
    let (cell, started_at, availability) = (Default::default(), None, Availability::Ready);
    let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
    let source = Listing { member: MemberId(2), kind: elmtide::KindId(2), ..listing };
    let event = Event::List { update: ListUpdate::Full, entries: vec![listing, source] };
    let named = |member, name: &str| MemberNews {
        member,
        name: name.into(),
        addr: None,
        started_at: None,
        gone: false,
    };
    let members = vec![named(MemberId(1), "s-1"), named(MemberId(2), "o-1")];
    let news = MembersNews { full: true, members };
    engine.handle(Input::Listed { from: ListSource::Bus, news, event });
    let now = clock::steady_ms();
    engine.handle(Input::Purged { object: Some(ObjectId(7)), group: PurgeGroup(0), at: now });
    let a =
        Class { name: "a".into(), id: ClassId(0), write: false, once: false, keyed: false, deadline: 2000.0 };
    let done = Box::new(|taken: Result<Vec<Class>, String>| assert!(taken.is_ok()));
    engine.handle(Input::Reconfigure(Box::new(Reconfiguration { settings, classes: vec![a], done })));
    let word = |text: &str| crate::exchange::Token::new(text.as_bytes()).unwrap();
    for (id, object) in [(1, 7), (2, 8)] {
        let incoming = Incoming {
            id: RequestId(id),
            class: ClassId(0),
            object: ObjectId(object),
            part: 0,
            group: PurgeGroup(1),
            size_kb: None,
            shop: elmtide_cells::ShopId::of(""),
            deadline: clock::steady_ms() + 2000.0,
            passed: Arc::new(Passed {
                job: word(&format!("{id:016x}")),
                class_name: "a".into(),
                item: word("7f3a9c21e0b4d655"),
                part: word("0"),
                seen: None,
                unique: None,
                body: Vec::new(),
                once: false,
                write: false,
                _held: Budget::new(0).held(),
                tally: Arc::default(),
            }),
            responder: Responder::new(|_| {}),
        };
        engine.handle(Input::Taken(incoming));
    }
    let sent = sent.lock().unwrap().clone();
    assert_eq!(sent.len(), 2, "{sent:?}");
    assert!(sent[0].is_some(), "the purged object is asked for with an age cap: {sent:?}");
    assert_eq!(sent[1], None, "another object is not: {sent:?}");
}

/// What happened at a way to nodes, in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Happened {
    Sent(AttemptKey, MemberId),
    Withdrawn(AttemptKey),
}

/// An attempt that waits, who is to serve it and who to fill it.
type Out = (AttemptKey, [Option<MemberId>; 2]);

/// A way on which everything waits for a connection; what is taken back is taken back, unless it is written in that very
/// instant.
#[derive(Clone, Default)]
struct Waiting {
    happened: Arc<Mutex<Vec<Happened>>>,
    out: Arc<Mutex<Vec<Out>>>,
    write_by: Arc<Mutex<Vec<Option<Ms>>>>,
    /// The writer is always a step ahead of whoever takes something back.
    written_at_once: bool,
}

impl Waiting {
    fn happened(&self) -> Vec<Happened> {
        self.happened.lock().unwrap().clone()
    }
}

impl Upstream for Waiting {
    fn send(&mut self, order: &Order) -> Result<(), SendError> {
        self.happened.lock().unwrap().push(Happened::Sent(order.key, order.cache));
        self.out.lock().unwrap().push((order.key, [Some(order.cache), order.source]));
        self.write_by.lock().unwrap().push(order.write_by);
        Ok(())
    }
    fn ended(&mut self, _: AttemptKey) {}
    fn give_up(&mut self, key: AttemptKey) -> Option<Progress> {
        let written = self.written_at_once;
        self.withdraw(key).then_some(Progress::NotConnected).or(written.then_some(Progress::Whole))
    }
    fn withdraw(&mut self, key: AttemptKey) -> bool {
        let mut out = self.out.lock().unwrap();
        let here = out.iter().position(|(k, _)| *k == key).filter(|_| !self.written_at_once);
        if let Some(place) = here {
            out.remove(place);
            self.happened.lock().unwrap().push(Happened::Withdrawn(key));
        }
        here.is_some()
    }
    fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        let of = |(key, members): &Out| members.iter().flatten().any(|m| lost(*m)).then_some(*key);
        let keys: Vec<AttemptKey> = self.out.lock().unwrap().iter().filter_map(of).collect();
        keys.into_iter().filter(|key| self.withdraw(*key)).collect()
    }
    fn may_have_run(&self, _: AttemptKey) -> bool {
        false
    }
    fn probe(&mut self, _: MemberId) -> Result<(), SendError> {
        Ok(())
    }
    fn learn(&mut self, _: &MembersNews) {}
    fn look(&mut self) {}
    fn sweep(&mut self) {}
}

const ORIGIN: MemberId = MemberId(90);

fn listed(members: &[(MemberId, Availability)]) -> Input {
    let listing = |(member, availability): &(MemberId, Availability)| Listing {
        member: *member,
        weight: 4.0,
        zone: Default::default(),
        kind: elmtide::KindId(if *member == ORIGIN { 2 } else { 0 }),
        cell: Default::default(),
        started_at: None,
        availability: *availability,
    };
    let named = |(member, _): &(MemberId, Availability)| MemberNews {
        member: *member,
        name: format!("s-{}", member.0).as_str().into(),
        addr: None,
        started_at: None,
        gone: false,
    };
    let event = Event::List { update: ListUpdate::Full, entries: members.iter().map(listing).collect() };
    let news = MembersNews { full: true, members: members.iter().map(named).collect() };
    Input::Listed { from: ListSource::Bus, news, event }
}

type Answers = Arc<Mutex<Vec<(RequestId, Answer)>>>;

fn request(id: u32, allow: Ms, answers: &Answers) -> Input {
    let word = |text: &str| crate::exchange::Token::new(text.as_bytes()).unwrap();
    let answers = answers.clone();
    Input::Taken(Incoming {
        id: RequestId(id),
        class: ClassId(0),
        object: ObjectId(u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        part: 0,
        group: PurgeGroup(0),
        size_kb: None,
        shop: elmtide_cells::ShopId::of(""),
        deadline: clock::steady_ms() + allow,
        passed: Arc::new(Passed {
            job: word(&format!("{id:016x}")),
            class_name: "a".into(),
            item: word("7f3a9c21e0b4d655"),
            part: word("0"),
            seen: None,
            unique: None,
            body: Vec::new(),
            once: false,
            write: false,
            _held: Budget::new(0).held(),
            tally: Arc::default(),
        }),
        responder: Responder::new(move |answer| answers.lock().unwrap().push((RequestId(id), answer))),
    })
}

/// Ways to nodes, the engine, and the answers it gives; a class with this rule on repeats.
fn engine_with(way: &Waiting, repeat: Repeat, cancel: bool) -> (Engine<Waiting>, Answers) {
    let class = ClassSettings {
        target_latency: 1000.0,
        deadline: 60_000.0,
        repeat,
        key_window: Some(3000.0),
        ..ClassSettings::default()
    };
    let origin_kind = Some(elmtide::KindId(2));
    let settings = Settings {
        classes: vec![class],
        cancel,
        origin_kind,
        max_attempts: Some(8),
        second_copies: true,
        ..Settings::default()
    };
    let mut engine = Engine::new(settings, 7, way.clone(), Arc::default());
    engine.handle(listed(&[
        (MemberId(1), Availability::Ready),
        (MemberId(2), Availability::Ready),
        (ORIGIN, Availability::Ready),
    ]));
    (engine, Answers::default())
}

/// A thousand clients leave while their requests wait for a connection, with and without leave of the settings to call
/// attempts off: each is taken back in the same moment, and nothing is sent after that.
#[test]
fn of_a_thousand_clients_that_leave_while_waiting_for_a_connection_none_is_sent_on() {
    for cancel in [true, false] {
        let way = Waiting::default();
        let (mut engine, answers) = engine_with(&way, Repeat::Safe, cancel);
        for id in 1..=1000 {
            engine.handle(request(id, 60_000.0, &answers));
            engine.handle(Input::Abandoned(RequestId(id)));
            assert!(way.out.lock().unwrap().is_empty(), "request {id}, calling off {cancel}");
        }
        let sent = way.happened().iter().filter(|h| matches!(h, Happened::Sent(..))).count();
        assert_eq!(sent, 1000);
        assert_eq!(engine.exchanges.unanswered(), 0);
        assert!(answers.lock().unwrap().is_empty(), "no answer is owed");
    }
}

/// Half of a request's time is over in the very instant in which it is written: it is not refused as one that never ran,
/// since its client would send it again and it would run twice.
#[test]
fn what_is_written_in_the_instant_of_its_refusal_is_not_refused() {
    for (written, answers_given) in [(false, 1), (true, 0)] {
        let way = Waiting { written_at_once: written, ..Waiting::default() };
        let (mut engine, answers) = engine_with(&way, Repeat::Unsafe, true);
        engine.handle(request(1, 60_000.0, &answers));
        engine.reject_if_unsent(RequestId(1));
        engine.finish_ended_attempts();
        assert_eq!(answers.lock().unwrap().len(), answers_given, "written {written}");
        let left = usize::from(written);
        assert_eq!(way.out.lock().unwrap().len(), left, "a refused one is never written");
    }
}

/// A node begins to drain while a request waits for a connection to it: it goes elsewhere at once, and the same where
/// its source begins to drain.
#[test]
fn what_waits_for_a_node_that_begins_to_drain_goes_elsewhere_at_once() {
    let way = Waiting::default();
    let (mut engine, answers) = engine_with(&way, Repeat::Unsafe, false);
    (1..=8).for_each(|id| engine.handle(request(id, 60_000.0, &answers)));
    let to = |way: &Waiting| -> Vec<MemberId> {
        way.out.lock().unwrap().iter().filter_map(|(_, members)| members[0]).collect()
    };
    assert!(to(&way).contains(&MemberId(1)) && to(&way).contains(&MemberId(2)), "{:?}", to(&way));
    engine.handle(listed(&[
        (MemberId(1), Availability::Draining),
        (MemberId(2), Availability::Ready),
        (ORIGIN, Availability::Ready),
    ]));
    assert!(to(&way).iter().all(|m| *m == MemberId(2)), "{:?}", to(&way));
    assert_eq!(to(&way).len(), 8, "none is lost: {:?}", answers.lock().unwrap());
    engine.handle(listed(&[(MemberId(2), Availability::Ready), (ORIGIN, Availability::Draining)]));
    let fills = way.out.lock().unwrap().iter().filter(|(_, m)| m[1] == Some(ORIGIN)).count();
    assert_eq!(fills, 0, "nor is a fill asked of a source that drains");
}

/// A repeat is not written later than the node remembers the first attempt, however long it waits for a connection.
#[test]
fn a_repeat_of_what_may_have_run_says_by_when_it_must_be_written() {
    let way = Waiting::default();
    let (mut engine, answers) = engine_with(&way, Repeat::Keyed, true);
    let before = clock::steady_ms();
    engine.handle(request(1, 60_000.0, &answers));
    let Happened::Sent(key, _) = way.happened()[0] else { panic!("{:?}", way.happened()) };
    engine.handle(Input::Returned { key, returned: Returned::Broke(Progress::Whole) });
    let by = way.write_by.lock().unwrap().clone();
    assert_eq!((by.len(), by[0]), (2, None), "{by:?}");
    let window = by[1].expect("a repeat has a last moment") - before;
    assert!((2900.0..3100.0).contains(&window), "{window}");

    // What never ran is no repeat.
    let way = Waiting::default();
    let (mut engine, answers) = engine_with(&way, Repeat::Keyed, true);
    engine.handle(request(1, 60_000.0, &answers));
    let Happened::Sent(key, _) = way.happened()[0] else { panic!("{:?}", way.happened()) };
    engine.handle(Input::Returned { key, returned: Returned::Broke(Progress::NotConnected) });
    assert_eq!(*way.write_by.lock().unwrap(), [None, None]);
}

/// Attempts that this machine could not send, and attempts that their servers did not take: only the latter count against a
/// server.
#[test]
fn a_shortage_of_this_machine_counts_against_no_server() {
    let failing_after = |returned: fn() -> Returned| {
        let way = Waiting::default();
        let (mut engine, answers) = engine_with(&way, Repeat::Safe, true);
        for id in 1..=20 {
            engine.handle(request(id, 60_000.0, &answers));
            let next = || way.out.lock().unwrap().pop().map(|(key, _)| key);
            while let Some(key) = next() {
                engine.handle(Input::Returned { key, returned: returned() });
            }
        }
        assert_eq!(answers.lock().unwrap().len(), 20, "each request has its answer");
        [1, 2].iter().filter(|n| engine.failing.is_failing(MemberId(**n))).count()
    };
    assert_eq!(failing_after(|| Returned::NotSent), 0);
    assert_eq!(failing_after(|| Returned::Broke(Progress::NotConnected)), 2);
}

/// Cells whose part of the fills is used up: what is kept is asked for without one, but what never is kept has to be run at
/// its source whatever its class says of repeats.
#[test]
fn a_write_is_run_at_its_source_where_no_fill_is_left() {
    for (repeat, write, wanted) in [
        (Repeat::Safe, false, None),
        (Repeat::Keyed, true, Some(ORIGIN)),
        (Repeat::Unsafe, true, Some(ORIGIN)),
    ] {
        let way = Waiting::default();
        let (mut engine, answers) = engine_with(&way, repeat, true);
        let boxes = vec!["s-1".into(), "s-2".into()];
        let cell =
            elmtide_cells::Cell { name: "a".into(), boxes, weight: 1.0, source_share: 1.0, evacuate: false };
        let limits = elmtide_cells::Limits { fills_per_s: 1e-9, ..Default::default() };
        let layout = Layout::new(vec![cell], Vec::new(), limits).unwrap();
        engine.handle(Input::Cells(Some(Box::new(layout))));
        let now = engine.now;
        let cells = &mut engine.cells.as_mut().unwrap().cells;
        (0..100).for_each(|_| cells.record_fill(elmtide_cells::CellIx(0), now));
        let Input::Taken(mut incoming) = request(1, 60_000.0, &answers) else { panic!("a request") };
        if let Some(passed) = Arc::get_mut(&mut incoming.passed) {
            (passed.once, passed.write) = (repeat == Repeat::Unsafe, write);
        }
        engine.handle(Input::Taken(incoming));
        let sources: Vec<Option<MemberId>> = way.out.lock().unwrap().iter().map(|(_, m)| m[1]).collect();
        assert_eq!(sources, [wanted], "{repeat:?}, write {write}");
    }
}

/// Bytes that requests hold together; a request that holds some of them.
fn holding(budget: &Budget, bytes: usize, input: Input) -> Input {
    let Input::Taken(mut incoming) = input else { panic!("a request") };
    let passed = Arc::get_mut(&mut incoming.passed).expect("nobody else has it yet");
    passed._held = budget.held();
    assert!(passed._held.grow(bytes), "what was held before is not all given back");
    Input::Taken(incoming)
}

/// A thousand clients leave while their requests wait in a cell's queue: none is started when there is room again, and the
/// bytes that each held are there for the next.
#[test]
fn of_a_thousand_clients_that_leave_while_queued_none_is_sent_on() {
    let way = Waiting::default();
    let (mut engine, answers) = engine_with(&way, Repeat::Safe, true);
    let boxes = vec!["s-1".into(), "s-2".into()];
    let cell =
        elmtide_cells::Cell { name: "a".into(), boxes, weight: 1.0, source_share: 1.0, evacuate: false };
    let limits = elmtide_cells::Limits {
        running: (1.0, 1.0, 1.0),
        waiting: 2000,
        waiting_of_shop: 2000,
        max_request_ms: 60_000.0,
        ..Default::default()
    };
    engine.handle(Input::Cells(Some(Box::new(Layout::new(vec![cell], Vec::new(), limits).unwrap()))));
    engine.handle(request(1, 60_000.0, &answers));
    let first = way.happened();
    let Some(Happened::Sent(key, _)) = first.first().copied() else { panic!("{first:?}") };
    // One at a time, then many at once: more than the table of exchanges holds go through in all.
    let budget = Budget::new(900);
    for id in 2..=600 {
        engine.handle(holding(&budget, 900, request(id, 60_000.0, &answers)));
        engine.handle(Input::Abandoned(RequestId(id)));
    }
    for id in 601..=1500 {
        engine.handle(holding(&budget, 1, request(id, 60_000.0, &answers)));
    }
    assert_eq!(way.happened(), first, "all wait: the cell runs one");
    for id in (601..=1500).rev() {
        engine.handle(Input::Abandoned(RequestId(id)));
    }
    let copy = Some(Copy { bytes: vec![], digest: None, client_has_it: false });
    let returned = Returned::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
    engine.handle(Input::Returned { key, returned });
    engine.advance_cells();
    assert_eq!(way.happened(), first, "nobody is left to be started");
    assert_eq!(answers.lock().unwrap().len(), 1, "only the one that stayed has an answer");
    assert!(budget.held().grow(900), "all that was held is given back");
    assert_eq!(engine.exchanges.unanswered(), 0);
    // Nor does one that left hold the cell's only place.
    engine.handle(request(1501, 60_000.0, &answers));
    assert_eq!(way.happened().len(), 2);
}

/// A thousand clients leave while a second copy of their request is under way too, neither written yet: both are taken back,
/// and their ends are passed over.
#[test]
fn of_a_thousand_clients_that_leave_with_two_copies_waiting_neither_is_sent_on() {
    let way = Waiting::default();
    let (mut engine, answers) = engine_with(&way, Repeat::Safe, true);
    let budget = Budget::new(7);
    for id in 1..=1000 {
        engine.handle(holding(&budget, 7, request(id, 60_000.0, &answers)));
        let at = way.out.lock().unwrap()[0].1[0];
        let other = if at == Some(MemberId(1)) { MemberId(2) } else { MemberId(1) };
        let mode = elmtide::FillMode::default();
        let (id, timeout) = (RequestId(id), 5000.0);
        engine.carry_out(
            0,
            Action::Serve { id, cache: other, source: ORIGIN, rank: 1, max_age: None, mode, timeout },
        );
        assert_eq!(way.out.lock().unwrap().len(), 2);
        engine.handle(Input::Abandoned(id));
        assert!(way.out.lock().unwrap().is_empty(), "request {}", id.0);
    }
    assert!(budget.held().grow(7) && answers.lock().unwrap().is_empty());
    assert_eq!((engine.exchanges.unanswered(), engine.ended.len()), (0, 0));
}

/// The first answer settles a request: a second one some milliseconds late, and a reset after it, change nothing.
#[test]
fn what_comes_after_the_answer_is_passed_over() {
    let ends: [fn() -> Returned; 3] = [
        || Returned::Broke(Progress::Whole),
        || Returned::Answered { outcome: Outcome::Full, note: elmtide::Note::Absent, copy: None },
        || Returned::Answered { outcome: Outcome::Error, note: elmtide::Note::Absent, copy: None },
    ];
    for repeat in [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe] {
        for late in ends {
            let way = Waiting { written_at_once: true, ..Waiting::default() };
            let (mut engine, answers) = engine_with(&way, repeat, true);
            engine.handle(request(1, 60_000.0, &answers));
            let Happened::Sent(key, _) = way.happened()[0] else { panic!("{:?}", way.happened()) };
            let copy = Some(Copy { bytes: vec![1], digest: None, client_has_it: false });
            let returned = Returned::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
            engine.handle(Input::Returned { key, returned });
            engine.handle(Input::Returned { key, returned: late() });
            assert_eq!(way.happened().len(), 1, "{repeat:?}: sent again");
            assert_eq!(answers.lock().unwrap().len(), 1);

            // The other order: the end first. What may not be repeated is failed by a reset; no answer heals that.
            let way = Waiting { written_at_once: true, ..Waiting::default() };
            let (mut engine, answers) = engine_with(&way, repeat, true);
            engine.handle(request(1, 60_000.0, &answers));
            let Happened::Sent(key, _) = way.happened()[0] else { panic!("{:?}", way.happened()) };
            engine.handle(Input::Returned { key, returned: late() });
            let (sent, said) = (way.happened().len(), answers.lock().unwrap().len());
            let ran = !matches!(late(), Returned::Answered { outcome: Outcome::Full, .. });
            assert_eq!(sent == 1, repeat == Repeat::Unsafe && ran, "{repeat:?}");
            let copy = Some(Copy { bytes: vec![1], digest: None, client_has_it: false });
            let returned = Returned::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
            engine.handle(Input::Returned { key, returned });
            assert_eq!((way.happened().len(), answers.lock().unwrap().len()), (sent, said), "{repeat:?}");
        }
    }
}

/// A file that brings the settings that there are, or only drops a class: the router keeps what it knows. A changed class
/// is decided by a router of its own.
#[test]
fn a_reload_that_changes_nothing_keeps_the_router() {
    let way = Waiting::default();
    let (engine, _) = engine_with(&way, Repeat::Safe, true);
    let mut engine = engine.with_class_names(vec!["a".into()]);
    let settings = engine.settings.clone();
    let class = Class {
        name: "a".into(),
        id: ClassId(0),
        write: false,
        once: false,
        keyed: false,
        deadline: 60_000.0,
    };
    let reload = |engine: &mut Engine<Waiting>, settings: Settings, classes: Vec<Class>| {
        let (to, taken) = bounded(1);
        let done = Box::new(move |table| to.send(table).unwrap());
        engine.handle(Input::Reconfigure(Box::new(Reconfiguration { settings, classes, done })));
        taken.recv().unwrap().unwrap().len()
    };
    for _ in 0..3 {
        assert_eq!(reload(&mut engine, settings.clone(), vec![class.clone()]), 1);
    }
    assert_eq!((engine.routers.len(), engine.current), (1, 0));
    assert_eq!(reload(&mut engine, settings.clone(), Vec::new()), 0, "no request names a class any more");
    assert_eq!((engine.routers.len(), engine.current), (1, 0));
    let mut other = settings;
    other.classes[0].deadline = 30_000.0;
    (other.retry_after, other.max_retry_after) = (true, Some(900.0));
    assert_eq!(reload(&mut engine, other, vec![class]), 1);
    assert_eq!((engine.routers.len(), engine.current), (2, 1));
    assert!(
        engine.retry_after(RequestId(1)).is_some_and(|ms| (500..=900).contains(&ms)),
        "as the new settings say"
    );
}

/// A client comes again under the id of its request while that is open: nodes could not tell the two apart. The second fails,
/// the first goes on, and once it is over the id may be used again.
#[test]
fn a_repeat_under_the_id_of_an_open_request_is_not_sent_on() {
    let way = Waiting { written_at_once: true, ..Waiting::default() };
    let (mut engine, answers) = engine_with(&way, Repeat::Safe, true);
    let again = |id| {
        let Input::Taken(mut incoming) = request(id, 60_000.0, &answers) else { panic!("a request") };
        let job = crate::exchange::Token::new(b"9b1f03aa5c7e2d41").unwrap();
        Arc::get_mut(&mut incoming.passed).unwrap().job = job;
        Input::Taken(incoming)
    };
    engine.handle(again(1));
    engine.handle(again(2));
    let Happened::Sent(key, _) = way.happened()[0] else { panic!("{:?}", way.happened()) };
    assert_eq!(way.happened().len(), 1);
    assert_eq!(*answers.lock().unwrap(), [(RequestId(2), Answer::Failed)]);
    let copy = Some(Copy { bytes: vec![], digest: None, client_has_it: false });
    let returned = Returned::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
    engine.handle(Input::Returned { key, returned });
    engine.handle(again(3));
    assert_eq!((way.happened().len(), answers.lock().unwrap().len()), (2, 2));
}

/// The last client that waits for a signup by its key leaves: a thousand that wait for a connection are not sent on, and are
/// told as refused, so that the key may be used again; those that are written go on to their outcome.
#[test]
fn signups_that_nobody_waits_for_are_sent_on_only_if_they_were() {
    for written in [false, true] {
        let way = Waiting { written_at_once: written, ..Waiting::default() };
        let (mut engine, answers) = engine_with(&way, Repeat::Unsafe, true);
        for id in 1..=1000 {
            engine.handle(request(id, 60_000.0, &answers));
            engine.handle(Input::Unwanted(RequestId(id)));
            let (out, answers) = (way.out.lock().unwrap().len(), answers.lock().unwrap());
            match written {
                false => {
                    assert_eq!(out, 0, "request {id}");
                    assert!(matches!(answers.last(), Some((of, Answer::Refused { .. })) if of.0 == id));
                }
                true => assert_eq!((out as u32, answers.len()), (id, 0)),
            }
        }
    }
}

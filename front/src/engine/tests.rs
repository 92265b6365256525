//! Tests of the engine alone: inputs in, attempts and answers out, with upstreams that behave as each test needs.

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
use crate::memory::fair_queue::Source;

mod leaving;
mod router_knowledge;

/// An upstream whose nodes never answer; attempts are fully written if the field is true, and never written otherwise.
struct UnresponsiveNodes(bool);

impl Upstream for UnresponsiveNodes {
    fn send(&mut self, _: &AttemptOrder) -> Result<(), SendError> {
        Ok(())
    }
    fn attempt_ended(&mut self, _: AttemptKey) {}
    fn abandon(&mut self, _: AttemptKey) -> Option<Progress> {
        Some(if self.0 { Progress::FullyWritten } else { Progress::NotConnected })
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
    fn update_members(&mut self, _: &MembersUpdate) {}
    fn check_connections(&mut self) {}
    fn close_idle(&mut self) {}
}

/// The answer to a request with 400 ms of time, and how many milliseconds after the request it came.
fn answer_to_request(written: bool, seed: u64) -> (Answer, Ms) {
    let class = ClassSettings { target_latency: 100.0, deadline: 400.0, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], cancel: true, ..Settings::default() };
    let settings = Settings { retry_after: true, max_retry_after: Some(500.0), ..settings };
    let (inputs, events) = unbounded();
    let member = MemberId(1);
    let (weight, zone, kind) = (1.0, Default::default(), Default::default());
    let (cell, started_at, availability) = (Default::default(), None, Availability::Ready);
    let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
    let event = Event::List { update: ListUpdate::Full, entries: vec![listing] };
    inputs
        .send(Input::MembersListed { from: ListSource::Bus, members_update: MembersUpdate::default(), event })
        .unwrap();
    let (to, answer) = bounded(1);
    let to = Mutex::new(to);
    let sent = clock::steady_ms();
    let token = |text: &str| crate::exchange::Token::new(text.as_bytes()).unwrap();
    let incoming = Incoming {
        id: RequestId(1),
        class: ClassId(0),
        object: ObjectId(7),
        part: 0,
        group: PurgeGroup(0),
        size_kb: None,
        shop: elmtide_cells::ShopId::of(""),
        deadline: sent + 400.0,
        forwarded: Arc::new(ForwardedRequest {
            job: token("9b1f03aa5c7e2d41"),
            class_name: "small-files".into(),
            item: token("7f3a9c21e0b4d655"),
            part: token("0"),
            client_digest: None,
            idempotency_key: None,
            body: Vec::new(),
            once: false,
            write: false,
            _held: Budget::new(0).held(),
            tally: Arc::default(),
        }),
        responder: Responder::new(move |a| to.lock().unwrap().send((a, clock::steady_ms())).unwrap()),
    };
    inputs.send(Input::Request(incoming)).unwrap();
    let engine = Engine::new(settings, seed, UnresponsiveNodes(written), Arc::default());
    let requests = RequestQueue::new(inputs.clone());
    let run = std::thread::spawn(move || engine.run(&events, &requests));
    let (answer, at) = answer.recv_timeout(Duration::from_secs(20)).unwrap();
    inputs.send(Input::Stop).unwrap();
    run.join().unwrap();
    (answer, at - sent)
}

/// Guards against holding a request that could not be fully written past half its time, when its client could still
/// act. A request that was written waits for its outcome.
#[test]
fn an_unsent_request_is_rejected_before_half_its_time_has_passed() {
    let (answer, after) = answer_to_request(false, 1);
    assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
    assert!(after >= 150.0, "after {after} ms: it was given a chance");
    let (answer, after) = answer_to_request(true, 1);
    assert!(answer != Answer::Served(ServedCopy { bytes: vec![], digest: None, client_has_it: false }));
    assert!(after >= 380.0, "after {after} ms, while it was out");
}

/// Guards against clients returning all at once after a fault that makes many fronts reject requests.
#[test]
fn fronts_that_reject_on_their_own_send_different_retry_after_times() {
    let wait = |seed| match answer_to_request(false, seed).0 {
        Answer::Refused { wait_ms: Some(wait) } => wait,
        other => panic!("{other:?}"),
    };
    let waits: Vec<u64> = (1..5).map(wait).collect();
    assert!(waits.iter().all(|w| (300..=500).contains(w)), "{waits:?}");
    assert!(waits.iter().any(|w| *w != waits[0]), "{waits:?}");
}

/// A reload keeps the ids of classes whose rules stay, gives new ids to new or changed ones, and gives
/// new requests to a new router while the previous one keeps its open requests.
#[test]
fn a_reload_keeps_the_ids_of_unchanged_classes_and_gives_new_requests_to_a_new_router() {
    let rules = |deadline| ClassSettings { target_latency: 100.0, deadline, ..ClassSettings::default() };
    let settings = Settings { classes: vec![rules(400.0)], max_attempts: Some(4), ..Settings::default() };
    let engine = Engine::new(settings, 1, UnresponsiveNodes(true), Arc::default());
    let mut engine = engine.with_class_names(vec!["a".into()]);
    let class = |name: &str, id| Class {
        name: name.into(),
        id: ClassId(id),
        write: false,
        once: false,
        keyed: false,
        deadline: 0.0,
    };
    let reload = |engine: &mut Engine<UnresponsiveNodes>, classes: Vec<Class>, deadlines: &[f64]| {
        let (to, result) = bounded(1);
        let settings = Settings {
            classes: deadlines.iter().map(|d| rules(*d)).collect(),
            max_attempts: Some(2),
            ..Settings::default()
        };
        let done = Box::new(move |t| to.send(t).unwrap());
        engine.handle(Input::Reconfigure(Box::new(Reconfiguration { settings, classes, done })));
        let table: Vec<(String, u16)> =
            result.recv().unwrap().unwrap().iter().map(|c| (c.name.to_string(), c.id.0)).collect();
        table
    };
    let first = engine.current_router;
    let table = reload(&mut engine, vec![class("a", 0), class("b", 1)], &[400.0, 900.0]);
    assert_eq!(table, [("a".to_string(), 0), ("b".to_string(), 1)]);
    assert_ne!(engine.current_router, first, "new requests go to a router of the new settings");
    assert_eq!(engine.settings.max_attempts, Some(2));
    let table = reload(&mut engine, vec![class("a", 0)], &[700.0]);
    assert_eq!(table, [("a".to_string(), 2)], "a class whose rules changed is a new one");
    assert_eq!(engine.settings.classes.len(), 3, "ids are never reused: open requests keep their rules");
    assert!(engine.routers.len() <= routers::MAX_ROUTERS);
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    key: AttemptKey,
    server: MemberId,
    max_age: Option<Ms>,
}

/// An upstream that records what is sent.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<Sent>>>);

impl Upstream for Recorder {
    fn send(&mut self, order: &AttemptOrder) -> Result<(), SendError> {
        let sent = Sent { key: order.key, server: order.cache, max_age: order.max_age };
        self.0.lock().unwrap().push(sent);
        Ok(())
    }
    fn attempt_ended(&mut self, _: AttemptKey) {}
    fn abandon(&mut self, _: AttemptKey) -> Option<Progress> {
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
    fn update_members(&mut self, _: &MembersUpdate) {}
    fn check_connections(&mut self) {}
    fn close_idle(&mut self) {}
}

/// Guards against a router created at a reload serving a copy from before an earlier purge: it gets the earlier
/// purges and limits the age of the copy it asks for.
#[test]
fn a_router_built_at_a_reload_knows_the_purges_before_it() {
    let class = ClassSettings { target_latency: 100.0, deadline: 2000.0, ..ClassSettings::default() };
    let origin = Some(elmtide::KindId(2));
    let settings = Settings { classes: vec![class], origin_kind: origin, ..Settings::default() };
    let sent = Recorder::default();
    let engine = Engine::new(settings.clone(), 1, sent.clone(), Arc::default());
    let mut engine = engine.with_class_names(vec!["a".into()]);
    let (member, weight, zone, kind) = (MemberId(1), 1.0, Default::default(), Default::default());
    let (cell, started_at, availability) = (Default::default(), None, Availability::Ready);
    let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
    let source = Listing { member: MemberId(2), kind: elmtide::KindId(2), ..listing };
    let event = Event::List { update: ListUpdate::Full, entries: vec![listing, source] };
    let named = |member, name: &str| MemberUpdate {
        member,
        name: name.into(),
        addr: None,
        started_at: None,
        gone: false,
    };
    let members = vec![named(MemberId(1), "s-1"), named(MemberId(2), "o-1")];
    let members_update = MembersUpdate { full: true, members };
    engine.handle(Input::MembersListed { from: ListSource::Bus, members_update, event });
    let now = clock::steady_ms();
    engine.handle(Input::Purged { object: Some(ObjectId(7)), group: PurgeGroup(0), at: now });
    let a =
        Class { name: "a".into(), id: ClassId(0), write: false, once: false, keyed: false, deadline: 2000.0 };
    let done = Box::new(|result: Result<Vec<Class>, String>| assert!(result.is_ok()));
    engine.handle(Input::Reconfigure(Box::new(Reconfiguration { settings, classes: vec![a], done })));
    let token = |text: &str| crate::exchange::Token::new(text.as_bytes()).unwrap();
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
            forwarded: Arc::new(ForwardedRequest {
                job: token(&format!("{id:016x}")),
                class_name: "a".into(),
                item: token("7f3a9c21e0b4d655"),
                part: token("0"),
                client_digest: None,
                idempotency_key: None,
                body: Vec::new(),
                once: false,
                write: false,
                _held: Budget::new(0).held(),
                tally: Arc::default(),
            }),
            responder: Responder::new(|_| {}),
        };
        engine.handle(Input::Request(incoming));
    }
    let sent: Vec<Option<Ms>> = sent.0.lock().unwrap().iter().map(|sent| sent.max_age).collect();
    assert_eq!(sent.len(), 2, "{sent:?}");
    assert!(sent[0].is_some(), "the purged object is asked for with an age cap: {sent:?}");
    assert_eq!(sent[1], None, "another object is not: {sent:?}");
}

/// What the engine did with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamEvent {
    Sent(AttemptKey, MemberId),
    Withdrawn(AttemptKey),
}

/// A queued attempt, with the member that serves it and the one that fills it.
type QueuedAttempt = (AttemptKey, [Option<MemberId>; 2]);

/// An upstream on which every attempt waits for a connection. Withdrawing works unless `written_at_once` is set.
#[derive(Clone, Default)]
struct QueueingUpstream {
    events: Arc<Mutex<Vec<UpstreamEvent>>>,
    queued: Arc<Mutex<Vec<QueuedAttempt>>>,
    write_by: Arc<Mutex<Vec<Option<Ms>>>>,
    /// Attempts are written before they can be withdrawn.
    written_at_once: bool,
}

impl QueueingUpstream {
    fn events(&self) -> Vec<UpstreamEvent> {
        self.events.lock().unwrap().clone()
    }
}

impl Upstream for QueueingUpstream {
    fn send(&mut self, order: &AttemptOrder) -> Result<(), SendError> {
        self.events.lock().unwrap().push(UpstreamEvent::Sent(order.key, order.cache));
        self.queued.lock().unwrap().push((order.key, [Some(order.cache), order.source]));
        self.write_by.lock().unwrap().push(order.write_by);
        Ok(())
    }
    fn attempt_ended(&mut self, _: AttemptKey) {}
    fn abandon(&mut self, key: AttemptKey) -> Option<Progress> {
        let written = self.written_at_once;
        self.withdraw(key).then_some(Progress::NotConnected).or(written.then_some(Progress::FullyWritten))
    }
    fn withdraw(&mut self, key: AttemptKey) -> bool {
        let mut queued = self.queued.lock().unwrap();
        let here = queued.iter().position(|(k, _)| *k == key).filter(|_| !self.written_at_once);
        if let Some(place) = here {
            queued.remove(place);
            self.events.lock().unwrap().push(UpstreamEvent::Withdrawn(key));
        }
        here.is_some()
    }
    fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        let of = |(key, members): &QueuedAttempt| members.iter().flatten().any(|m| lost(*m)).then_some(*key);
        let keys: Vec<AttemptKey> = self.queued.lock().unwrap().iter().filter_map(of).collect();
        keys.into_iter().filter(|key| self.withdraw(*key)).collect()
    }
    fn may_have_run(&self, _: AttemptKey) -> bool {
        false
    }
    fn probe(&mut self, _: MemberId) -> Result<(), SendError> {
        Ok(())
    }
    fn update_members(&mut self, _: &MembersUpdate) {}
    fn check_connections(&mut self) {}
    fn close_idle(&mut self) {}
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
    let named = |(member, _): &(MemberId, Availability)| MemberUpdate {
        member: *member,
        name: format!("s-{}", member.0).as_str().into(),
        addr: None,
        started_at: None,
        gone: false,
    };
    let event = Event::List { update: ListUpdate::Full, entries: members.iter().map(listing).collect() };
    let members_update = MembersUpdate { full: true, members: members.iter().map(named).collect() };
    Input::MembersListed { from: ListSource::Bus, members_update, event }
}

type Answers = Arc<Mutex<Vec<(RequestId, Answer)>>>;

fn request(id: u32, allow: Ms, answers: &Answers) -> Input {
    let token = |text: &str| crate::exchange::Token::new(text.as_bytes()).unwrap();
    let answers = answers.clone();
    Input::Request(Incoming {
        id: RequestId(id),
        class: ClassId(0),
        object: ObjectId(u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        part: 0,
        group: PurgeGroup(0),
        size_kb: None,
        shop: elmtide_cells::ShopId::of(""),
        deadline: clock::steady_ms() + allow,
        forwarded: Arc::new(ForwardedRequest {
            job: token(&format!("{id:016x}")),
            class_name: "a".into(),
            item: token("7f3a9c21e0b4d655"),
            part: token("0"),
            client_digest: None,
            idempotency_key: None,
            body: Vec::new(),
            once: false,
            write: false,
            _held: Budget::new(0).held(),
            tally: Arc::default(),
        }),
        responder: Responder::new(move |answer| answers.lock().unwrap().push((RequestId(id), answer))),
    })
}

/// An engine with two nodes, an origin and one class with this rule on repeats, and the list of its answers.
fn engine_with_two_nodes(
    upstream: &QueueingUpstream,
    repeat: Repeat,
    cancel: bool,
) -> (Engine<QueueingUpstream>, Answers) {
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
    let mut engine = Engine::new(settings, 7, upstream.clone(), Arc::default());
    engine.handle(listed(&[
        (MemberId(1), Availability::Ready),
        (MemberId(2), Availability::Ready),
        (ORIGIN, Availability::Ready),
    ]));
    (engine, Answers::default())
}

/// Guards against sending requests whose clients have left while the attempts waited for a connection: each is
/// withdrawn at once, whether or not the settings allow cancelling attempts.
#[test]
fn no_request_is_sent_for_clients_that_leave_while_waiting_for_a_connection() {
    for cancel in [true, false] {
        let upstream = QueueingUpstream::default();
        let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Safe, cancel);
        for id in 1..=1000 {
            engine.handle(request(id, 60_000.0, &answers));
            engine.handle(Input::Abandoned(RequestId(id)));
            assert!(upstream.queued.lock().unwrap().is_empty(), "request {id}, cancel {cancel}");
        }
        let sent = upstream.events().iter().filter(|h| matches!(h, UpstreamEvent::Sent(..))).count();
        assert_eq!(sent, 1000);
        assert_eq!(engine.exchanges.unanswered(), 0);
        assert!(answers.lock().unwrap().is_empty(), "no answer is owed");
    }
}

/// A request that is still unsent when half of its time has passed is rejected. Guards against rejecting it while it is
/// being written: its client would retry and the request would run twice.
#[test]
fn a_request_written_while_it_is_being_rejected_is_not_rejected() {
    for (written, answers_given) in [(false, 1), (true, 0)] {
        let upstream = QueueingUpstream { written_at_once: written, ..QueueingUpstream::default() };
        let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Unsafe, true);
        engine.handle(request(1, 60_000.0, &answers));
        engine.reject_if_unsent(RequestId(1));
        engine.finish_ended_attempts();
        assert_eq!(answers.lock().unwrap().len(), answers_given, "written {written}");
        let left = usize::from(written);
        assert_eq!(upstream.queued.lock().unwrap().len(), left, "a rejected request is never written");
    }
}

/// Requests that wait for a connection to a node that begins to drain go to another node at once. Once the source
/// drains, no fill is requested from it.
#[test]
fn attempts_waiting_for_a_node_that_begins_to_drain_move_to_another_at_once() {
    let upstream = QueueingUpstream::default();
    let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Unsafe, false);
    (1..=8).for_each(|id| engine.handle(request(id, 60_000.0, &answers)));
    let to = |upstream: &QueueingUpstream| -> Vec<MemberId> {
        upstream.queued.lock().unwrap().iter().filter_map(|(_, members)| members[0]).collect()
    };
    assert!(
        to(&upstream).contains(&MemberId(1)) && to(&upstream).contains(&MemberId(2)),
        "{:?}",
        to(&upstream)
    );
    engine.handle(listed(&[
        (MemberId(1), Availability::Draining),
        (MemberId(2), Availability::Ready),
        (ORIGIN, Availability::Ready),
    ]));
    assert!(to(&upstream).iter().all(|m| *m == MemberId(2)), "{:?}", to(&upstream));
    assert_eq!(to(&upstream).len(), 8, "none is lost: {:?}", answers.lock().unwrap());
    engine.handle(listed(&[(MemberId(2), Availability::Ready), (ORIGIN, Availability::Draining)]));
    let fills = upstream.queued.lock().unwrap().iter().filter(|(_, m)| m[1] == Some(ORIGIN)).count();
    assert_eq!(fills, 0, "no fill is requested from a draining source");
}

/// Guards against writing a retry after the node has forgotten the first attempt's key, however long the retry waits
/// for a connection.
#[test]
fn a_retry_of_an_attempt_that_may_have_run_has_a_write_deadline() {
    let upstream = QueueingUpstream::default();
    let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Keyed, true);
    let before = clock::steady_ms();
    engine.handle(request(1, 60_000.0, &answers));
    let UpstreamEvent::Sent(key, _) = upstream.events()[0] else { panic!("{:?}", upstream.events()) };
    engine.handle(Input::AttemptEnded { key, end: AttemptEnd::ConnectionFailed(Progress::FullyWritten) });
    let by = upstream.write_by.lock().unwrap().clone();
    assert_eq!((by.len(), by[0]), (2, None), "{by:?}");
    let window = by[1].expect("a retry has a write deadline") - before;
    assert!((2900.0..3100.0).contains(&window), "{window}");

    // An attempt after one that never ran has no write deadline.
    let upstream = QueueingUpstream::default();
    let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Keyed, true);
    engine.handle(request(1, 60_000.0, &answers));
    let UpstreamEvent::Sent(key, _) = upstream.events()[0] else { panic!("{:?}", upstream.events()) };
    engine.handle(Input::AttemptEnded { key, end: AttemptEnd::ConnectionFailed(Progress::NotConnected) });
    assert_eq!(*upstream.write_by.lock().unwrap(), [None, None]);
}

/// Attempts that this machine could not send don't count against a server; attempts whose connection the server
/// refused do.
#[test]
fn a_local_shortage_counts_against_no_server() {
    let failing_after = |end: fn() -> AttemptEnd| {
        let upstream = QueueingUpstream::default();
        let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Safe, true);
        for id in 1..=20 {
            engine.handle(request(id, 60_000.0, &answers));
            let next = || upstream.queued.lock().unwrap().pop().map(|(key, _)| key);
            while let Some(key) = next() {
                engine.handle(Input::AttemptEnded { key, end: end() });
            }
        }
        assert_eq!(answers.lock().unwrap().len(), 20, "each request has its answer");
        [1, 2].iter().filter(|n| engine.failing.is_failing(MemberId(**n))).count()
    };
    assert_eq!(failing_after(|| AttemptEnd::NotSent), 0);
    assert_eq!(failing_after(|| AttemptEnd::ConnectionFailed(Progress::NotConnected)), 2);
}

/// Once a cell's share of the fills is used up, reads are sent without a fill, but writes must still run at their
/// source whatever their class says of repeats.
#[test]
fn a_write_runs_at_its_source_when_no_fills_are_left() {
    for (repeat, write, wanted) in [
        (Repeat::Safe, false, None),
        (Repeat::Keyed, true, Some(ORIGIN)),
        (Repeat::Unsafe, true, Some(ORIGIN)),
    ] {
        let upstream = QueueingUpstream::default();
        let (mut engine, answers) = engine_with_two_nodes(&upstream, repeat, true);
        let boxes = vec!["s-1".into(), "s-2".into()];
        let cell =
            elmtide_cells::Cell { name: "a".into(), boxes, weight: 1.0, source_share: 1.0, evacuate: false };
        let limits = elmtide_cells::Limits { fills_per_s: 1e-9, ..Default::default() };
        let layout = Layout::new(vec![cell], Vec::new(), limits).unwrap();
        engine.handle(cells(Some(layout)));
        let now = engine.now;
        let cells = &mut engine.cells.as_mut().unwrap().cells;
        (0..100).for_each(|_| cells.record_fill(elmtide_cells::CellIx(0), now));
        let Input::Request(mut incoming) = request(1, 60_000.0, &answers) else { panic!("a request") };
        if let Some(forwarded) = Arc::get_mut(&mut incoming.forwarded) {
            (forwarded.once, forwarded.write) = (repeat == Repeat::Unsafe, write);
        }
        engine.handle(Input::Request(incoming));
        let sources: Vec<Option<MemberId>> =
            upstream.queued.lock().unwrap().iter().map(|(_, m)| m[1]).collect();
        assert_eq!(sources, [wanted], "{repeat:?}, write {write}");
    }
}

/// A layout of cells, which must come into force.
fn cells(layout: Option<Layout>) -> Input {
    let done = Box::new(|result: Result<(), String>| assert!(result.is_ok(), "{result:?}"));
    Input::Cells(CellsChange { layout: layout.map(Box::new), done })
}

/// A request that holds this many bytes of the budget.
fn request_holding_bytes(budget: &Budget, bytes: usize, input: Input) -> Input {
    let Input::Request(mut incoming) = input else { panic!("a request") };
    let forwarded = Arc::get_mut(&mut incoming.forwarded).expect("nobody else has it yet");
    forwarded._held = budget.held();
    assert!(forwarded._held.grow(bytes), "earlier requests have not released all their bytes");
    Input::Request(incoming)
}

/// Guards against starting requests whose clients left while they waited in a cell's queue, and against leaking the
/// bytes that those requests held.
#[test]
fn no_request_is_sent_for_clients_that_leave_while_queued_in_a_cell() {
    let upstream = QueueingUpstream::default();
    let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Safe, true);
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
    engine.handle(cells(Some(Layout::new(vec![cell], Vec::new(), limits).unwrap())));
    engine.handle(request(1, 60_000.0, &answers));
    let first = upstream.events();
    let Some(UpstreamEvent::Sent(key, _)) = first.first().copied() else { panic!("{first:?}") };
    // One at a time, then many at once: in all more requests than the table of exchanges holds.
    let budget = Budget::new(900);
    for id in 2..=600 {
        engine.handle(request_holding_bytes(&budget, 900, request(id, 60_000.0, &answers)));
        engine.handle(Input::Abandoned(RequestId(id)));
    }
    for id in 601..=1500 {
        engine.handle(request_holding_bytes(&budget, 1, request(id, 60_000.0, &answers)));
    }
    assert_eq!(upstream.events(), first, "all wait, since the cell runs one request");
    for id in (601..=1500).rev() {
        engine.handle(Input::Abandoned(RequestId(id)));
    }
    let copy = Some(ServedCopy { bytes: vec![], digest: None, client_has_it: false });
    let end = AttemptEnd::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
    engine.handle(Input::AttemptEnded { key, end });
    engine.advance_cells();
    assert_eq!(upstream.events(), first, "there is no request left to start");
    assert_eq!(answers.lock().unwrap().len(), 1, "only the remaining client gets an answer");
    assert!(budget.held().grow(900), "all held bytes are released");
    assert_eq!(engine.exchanges.unanswered(), 0);
    // An abandoned request does not hold the cell's only place either.
    engine.handle(request(1501, 60_000.0, &answers));
    assert_eq!(upstream.events().len(), 2);
}

/// Clients leave while two attempts of their request wait unwritten: both are withdrawn, and their ends are ignored.
#[test]
fn no_attempt_is_sent_for_clients_that_leave_while_two_copies_wait() {
    let upstream = QueueingUpstream::default();
    let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Safe, true);
    let budget = Budget::new(7);
    for id in 1..=1000 {
        engine.handle(request_holding_bytes(&budget, 7, request(id, 60_000.0, &answers)));
        let at = upstream.queued.lock().unwrap()[0].1[0];
        let other = if at == Some(MemberId(1)) { MemberId(2) } else { MemberId(1) };
        let mode = elmtide::FillMode::default();
        let (id, timeout) = (RequestId(id), 5000.0);
        engine.carry_out(
            0,
            Action::Serve { id, cache: other, source: ORIGIN, rank: 1, max_age: None, mode, timeout },
        );
        assert_eq!(upstream.queued.lock().unwrap().len(), 2);
        engine.handle(Input::Abandoned(id));
        assert!(upstream.queued.lock().unwrap().is_empty(), "request {}", id.0);
    }
    assert!(budget.held().grow(7) && answers.lock().unwrap().is_empty());
    assert_eq!((engine.exchanges.unanswered(), engine.ended_attempts.len()), (0, 0));
}

/// The first answer settles a request: a later answer or reset changes nothing.
#[test]
fn results_that_arrive_after_the_answer_are_ignored() {
    let ends: [fn() -> AttemptEnd; 3] = [
        || AttemptEnd::ConnectionFailed(Progress::FullyWritten),
        || AttemptEnd::Answered { outcome: Outcome::Full, note: elmtide::Note::Absent, copy: None },
        || AttemptEnd::Answered { outcome: Outcome::Error, note: elmtide::Note::Absent, copy: None },
    ];
    for repeat in [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe] {
        for late in ends {
            let upstream = QueueingUpstream { written_at_once: true, ..QueueingUpstream::default() };
            let (mut engine, answers) = engine_with_two_nodes(&upstream, repeat, true);
            engine.handle(request(1, 60_000.0, &answers));
            let UpstreamEvent::Sent(key, _) = upstream.events()[0] else { panic!("{:?}", upstream.events()) };
            let copy = Some(ServedCopy { bytes: vec![1], digest: None, client_has_it: false });
            let end = AttemptEnd::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
            engine.handle(Input::AttemptEnded { key, end });
            engine.handle(Input::AttemptEnded { key, end: late() });
            assert_eq!(upstream.events().len(), 1, "{repeat:?}: sent again");
            assert_eq!(answers.lock().unwrap().len(), 1);

            // In the other order the failure comes first. A reset fails a non-repeatable request, and a later answer
            // does not change that.
            let upstream = QueueingUpstream { written_at_once: true, ..QueueingUpstream::default() };
            let (mut engine, answers) = engine_with_two_nodes(&upstream, repeat, true);
            engine.handle(request(1, 60_000.0, &answers));
            let UpstreamEvent::Sent(key, _) = upstream.events()[0] else { panic!("{:?}", upstream.events()) };
            engine.handle(Input::AttemptEnded { key, end: late() });
            let (sent, answer_count) = (upstream.events().len(), answers.lock().unwrap().len());
            let ran = !matches!(late(), AttemptEnd::Answered { outcome: Outcome::Full, .. });
            assert_eq!(sent == 1, repeat == Repeat::Unsafe && ran, "{repeat:?}");
            let copy = Some(ServedCopy { bytes: vec![1], digest: None, client_has_it: false });
            let end = AttemptEnd::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
            engine.handle(Input::AttemptEnded { key, end });
            assert_eq!(
                (upstream.events().len(), answers.lock().unwrap().len()),
                (sent, answer_count),
                "{repeat:?}"
            );
        }
    }
}

/// A reload with unchanged settings, or one that only removes a class, keeps the router and what it knows. A changed
/// class gets a new router.
#[test]
fn a_reload_that_changes_nothing_keeps_the_router() {
    let upstream = QueueingUpstream::default();
    let (engine, _) = engine_with_two_nodes(&upstream, Repeat::Safe, true);
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
    let reload = |engine: &mut Engine<QueueingUpstream>, settings: Settings, classes: Vec<Class>| {
        let (to, result) = bounded(1);
        let done = Box::new(move |table| to.send(table).unwrap());
        engine.handle(Input::Reconfigure(Box::new(Reconfiguration { settings, classes, done })));
        result.recv().unwrap().unwrap().len()
    };
    for _ in 0..3 {
        assert_eq!(reload(&mut engine, settings.clone(), vec![class.clone()]), 1);
    }
    assert_eq!((engine.routers.len(), engine.current_router), (1, 0));
    assert_eq!(reload(&mut engine, settings.clone(), Vec::new()), 0, "no request names a class any more");
    assert_eq!((engine.routers.len(), engine.current_router), (1, 0));
    let mut other = settings;
    other.classes[0].deadline = 30_000.0;
    (other.retry_after, other.max_retry_after) = (true, Some(900.0));
    assert_eq!(reload(&mut engine, other, vec![class]), 1);
    assert_eq!((engine.routers.len(), engine.current_router), (2, 1));
    assert!(
        engine.retry_after(RequestId(1)).is_some_and(|ms| (500..=900).contains(&ms)),
        "the new settings apply"
    );
}

/// Guards against two open requests with one job id, which nodes could not tell apart. The second fails, the first
/// continues, and once it has ended the id may be used again.
#[test]
fn a_request_that_reuses_the_job_id_of_an_open_one_is_not_sent() {
    let upstream = QueueingUpstream { written_at_once: true, ..QueueingUpstream::default() };
    let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Safe, true);
    let request_with_same_job = |id| {
        let Input::Request(mut incoming) = request(id, 60_000.0, &answers) else { panic!("a request") };
        let job = crate::exchange::Token::new(b"9b1f03aa5c7e2d41").unwrap();
        Arc::get_mut(&mut incoming.forwarded).unwrap().job = job;
        Input::Request(incoming)
    };
    engine.handle(request_with_same_job(1));
    engine.handle(request_with_same_job(2));
    let UpstreamEvent::Sent(key, _) = upstream.events()[0] else { panic!("{:?}", upstream.events()) };
    assert_eq!(upstream.events().len(), 1);
    assert_eq!(*answers.lock().unwrap(), [(RequestId(2), Answer::Failed)]);
    let copy = Some(ServedCopy { bytes: vec![], digest: None, client_has_it: false });
    let end = AttemptEnd::Answered { outcome: Outcome::Ok, note: elmtide::Note::Hit, copy };
    engine.handle(Input::AttemptEnded { key, end });
    engine.handle(request_with_same_job(3));
    assert_eq!((upstream.events().len(), answers.lock().unwrap().len()), (2, 2));
}

/// The last client that waits for a signup leaves. A signup that waits for a connection is not sent and ends as
/// refused, so that its key may be used again; one that was written continues to its outcome.
#[test]
fn signups_without_waiting_clients_continue_only_if_already_written() {
    for written in [false, true] {
        let upstream = QueueingUpstream { written_at_once: written, ..QueueingUpstream::default() };
        let (mut engine, answers) = engine_with_two_nodes(&upstream, Repeat::Unsafe, true);
        for id in 1..=1000 {
            engine.handle(request(id, 60_000.0, &answers));
            engine.handle(Input::NoWaiters(RequestId(id)));
            let (queued, answers) = (upstream.queued.lock().unwrap().len(), answers.lock().unwrap());
            match written {
                false => {
                    assert_eq!(queued, 0, "request {id}");
                    assert!(matches!(answers.last(), Some((of, Answer::Refused { .. })) if of.0 == id));
                }
                true => assert_eq!((queued as u32, answers.len()), (id, 0)),
            }
        }
    }
}

/// Guards against losing what waits in the engine's channel when more waits than is handled before the next request.
#[test]
fn every_input_and_request_that_waits_at_once_is_handled() {
    const EACH: u32 = 200;
    let upstream = QueueingUpstream::default();
    let (engine, answers) = engine_with_two_nodes(&upstream, Repeat::Safe, true);
    let (inputs, events) = unbounded();
    let requests = Arc::new(RequestQueue::new(inputs.clone()));
    for id in 0..EACH {
        inputs.send(request(id, 60_000.0, &answers)).unwrap();
        let source = Source { address: [127, 0, 0, 1].into(), connection: u64::from(id % 7) };
        let Input::Request(incoming) = request(EACH + id, 60_000.0, &answers) else { panic!("a request") };
        requests.push(source, incoming);
    }
    let of_engine = requests.clone();
    let run = std::thread::spawn(move || engine.run(&events, &of_engine));
    // A request that is lost is answered 'failed'.
    let refused = || answers.lock().unwrap().iter().filter(|(_, answer)| *answer != Answer::Failed).count();
    let handled = || upstream.queued.lock().unwrap().len() + refused();
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while handled() < 2 * EACH as usize {
        assert!(std::time::Instant::now() < until, "{} of {} were handled", handled(), 2 * EACH);
        std::thread::yield_now();
    }
    inputs.send(Input::Stop).unwrap();
    run.join().unwrap();
}

//! What becomes of new and open requests in the engine while the front drains.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam_channel::{unbounded, Receiver};
use elmtide::{
    Availability, ClassId, ClassSettings, Event, KindId, ListUpdate, Listing, MemberId, Ms, ObjectId,
    PurgeGroup, Repeat, RequestId, Settings,
};
use elmtide_cells::ShopId;
use elmtide_drain::DrainSchedule;

use super::*;
use crate::exchange::{
    AttemptKey, Incoming, Input, ListSource, MembersNews, Order, Passed, Progress, Responder, SendError,
    Token, Upstream,
};
use crate::memory::budget::Budget;
use crate::memory::counters::Counters;

const LONG_DEADLINE_MS: Ms = 60_000.0;
const WRITE_KIND: KindId = KindId(0);

/// A way to a node that never answers: attempts are written whole, or wait unwritten.
#[derive(Clone, Default)]
struct MuteNode {
    writes: bool,
    given_up: Arc<Mutex<Vec<AttemptKey>>>,
}

impl Upstream for MuteNode {
    fn send(&mut self, _: &Order) -> Result<(), SendError> {
        Ok(())
    }
    fn ended(&mut self, _: AttemptKey) {}
    fn give_up(&mut self, key: AttemptKey) -> Option<Progress> {
        self.given_up.lock().unwrap().push(key);
        Some(if self.writes { Progress::Whole } else { Progress::NotConnected })
    }
    fn withdraw(&mut self, _: AttemptKey) -> bool {
        !self.writes
    }
    fn withdraw_from(&mut self, _: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        Vec::new()
    }
    fn may_have_run(&self, _: AttemptKey) -> bool {
        self.writes
    }
    fn probe(&mut self, _: MemberId) -> Result<(), SendError> {
        Ok(())
    }
    fn learn(&mut self, _: &MembersNews) {}
    fn look(&mut self) {}
    fn sweep(&mut self) {}
}

struct Scene {
    engine: Engine<MuteNode>,
    counters: Arc<Counters>,
    given_up: Arc<Mutex<Vec<AttemptKey>>>,
    next: u32,
}

impl Scene {
    /// An engine with one class of this kind and one node.
    fn start(repeat: Repeat, writes: bool) -> Scene {
        let class = ClassSettings {
            target_latency: 100.0,
            deadline: LONG_DEADLINE_MS,
            repeat,
            ..ClassSettings::default()
        };
        let settings = Settings {
            classes: vec![class],
            cancel: true,
            retry_after: true,
            max_retry_after: Some(500.0),
            ..Settings::default()
        };
        let counters = Arc::new(Counters::default());
        counters.mode.serves(clock::uptime());
        let node = MuteNode { writes, ..MuteNode::default() };
        let given_up = node.given_up.clone();
        let mut engine = Engine::new(settings, 1, node, counters.clone());
        let listing = Listing {
            member: MemberId(1),
            weight: 1.0,
            zone: Default::default(),
            kind: WRITE_KIND,
            cell: Default::default(),
            started_at: None,
            availability: Availability::Ready,
        };
        let event = Event::List { update: ListUpdate::Full, entries: vec![listing] };
        engine.handle(Input::Listed { from: ListSource::Bus, news: MembersNews::default(), event });
        Scene { engine, counters, given_up, next: 1 }
    }

    /// Hands a request in; its answers come out of the channel.
    fn ask(&mut self, allow_ms: Ms) -> (RequestId, Receiver<Answer>) {
        let id = RequestId(self.next);
        self.next += 1;
        let (to, answers) = unbounded();
        let token = |text: &str| Token::new(text.as_bytes()).unwrap();
        let passed = Passed {
            job: token(&format!("{:016x}", id.0)),
            class_name: "class".into(),
            item: token("7f3a9c21e0b4d655"),
            part: token("0"),
            seen: None,
            unique: None,
            body: Vec::new(),
            once: false,
            write: false,
            _held: Budget::new(0).held(),
            tally: Arc::default(),
        };
        self.engine.handle(Input::Taken(Incoming {
            id,
            class: ClassId(0),
            object: ObjectId(7),
            part: 0,
            group: PurgeGroup(0),
            size_kb: None,
            shop: ShopId::of(""),
            deadline: clock::steady_ms() + allow_ms,
            passed: Arc::new(passed),
            responder: Responder::new(move |answer| drop(to.send(answer))),
        }));
        (id, answers)
    }

    /// The front has been draining for so long.
    fn drain_for(&self, elapsed: Duration) {
        assert!(self.counters.mode.pause(clock::uptime() - elapsed));
    }

    fn end_for(&self, elapsed: Duration) {
        self.counters.mode.end(clock::uptime() - elapsed, Duration::from_secs(60));
    }
}

const CUT_OFF: Duration = DrainSchedule::RELEASE_CLIENTS.cut_off_after;

#[test]
fn a_request_that_comes_early_in_a_drain_ends_by_its_cut_off() {
    let mut scene = Scene::start(Repeat::Safe, true);
    let elapsed = Duration::from_millis(300);
    scene.drain_for(elapsed);
    let before = clock::steady_ms();
    let (id, answers) = scene.ask(LONG_DEADLINE_MS);
    assert!(answers.try_recv().is_err(), "it is admitted");
    let left = scene.engine.exchanges.get(id).unwrap().deadline - before;
    let until_cut_off = (CUT_OFF - elapsed).as_secs_f64() * 1000.0;
    assert!((until_cut_off - 100.0..until_cut_off + 100.0).contains(&left), "{left} ms");
    let (id, _answers) = scene.ask(100.0);
    let left = scene.engine.exchanges.get(id).unwrap().deadline - before;
    assert!(left < 1000.0, "a deadline before the cut-off stays: {left} ms");
}

#[test]
fn a_request_that_comes_late_in_a_drain_is_rejected_at_once_until_it_is_resumed() {
    let mut scene = Scene::start(Repeat::Safe, true);
    scene.drain_for(DrainSchedule::RELEASE_CLIENTS.reject_after);
    let (_, answers) = scene.ask(900.0);
    assert!(matches!(answers.try_recv(), Ok(Answer::Refused { wait_ms: Some(1..) })));
    assert_eq!(scene.counters.drain_rejected.load(Relaxed), 1);
    scene.counters.mode.resume(clock::uptime());
    let (_, answers) = scene.ask(900.0);
    assert!(answers.try_recv().is_err(), "admitted again");
}

#[test]
fn what_may_be_repeated_is_rejected_at_the_cut_off_and_its_attempt_given_up() {
    let mut scene = Scene::start(Repeat::Safe, true);
    let (id, answers) = scene.ask(LONG_DEADLINE_MS);
    scene.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "not while the front serves");
    scene.drain_for(CUT_OFF);
    scene.engine.cut_off_open_requests();
    scene.engine.finish_ended_attempts();
    assert!(matches!(answers.try_recv(), Ok(Answer::Refused { .. })));
    assert!(scene.given_up.lock().unwrap().iter().any(|key| key.id == id), "its node is told");
    scene.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "one answer");
    assert_eq!(scene.counters.drain_cut_off.load(Relaxed), 1);
    assert!(scene.counters.all_answered());
}

#[test]
fn what_must_not_run_twice_goes_on_past_the_cut_off_of_a_front_that_stays() {
    let mut scene = Scene::start(Repeat::Unsafe, true);
    let (_, answers) = scene.ask(LONG_DEADLINE_MS);
    scene.drain_for(CUT_OFF);
    scene.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "it may run: its outcome is waited for");
    assert!(scene.given_up.lock().unwrap().is_empty());
}

#[test]
fn what_must_not_run_twice_and_has_not_been_sent_is_rejected_at_the_cut_off() {
    let mut scene = Scene::start(Repeat::Unsafe, false);
    let (_, answers) = scene.ask(LONG_DEADLINE_MS);
    scene.drain_for(CUT_OFF);
    scene.engine.cut_off_open_requests();
    assert!(matches!(answers.try_recv(), Ok(Answer::Refused { .. })));
}

#[test]
fn what_must_not_run_twice_has_its_final_answer_before_the_process_is_killed() {
    let mut scene = Scene::start(Repeat::Unsafe, true);
    let (_, answers) = scene.ask(LONG_DEADLINE_MS);
    scene.end_for(Duration::from_millis(3300));
    scene.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "as long as it can be waited for");
    let mut scene = Scene::start(Repeat::Unsafe, true);
    let (_, answers) = scene.ask(LONG_DEADLINE_MS);
    scene.end_for(Duration::from_millis(3460));
    scene.engine.cut_off_open_requests();
    assert_eq!(answers.try_recv(), Ok(Answer::Failed), "it may have run");
}

//! How the engine treats new and open requests while the front drains.

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
    AttemptKey, AttemptOrder, ForwardedRequest, Incoming, Input, ListSource, MembersUpdate, Progress,
    Responder, SendError, Token, Upstream,
};
use crate::memory::budget::Budget;
use crate::memory::counters::Counters;

const LONG_DEADLINE_MS: Ms = 60_000.0;
const CACHE_KIND: KindId = KindId(0);

/// An upstream whose node never answers. Attempts are fully written at once if `writes`, else never.
#[derive(Clone, Default)]
struct UnresponsiveNode {
    writes: bool,
    abandoned: Arc<Mutex<Vec<AttemptKey>>>,
}

impl Upstream for UnresponsiveNode {
    fn send(&mut self, _: &AttemptOrder) -> Result<(), SendError> {
        Ok(())
    }
    fn attempt_ended(&mut self, _: AttemptKey) {}
    fn abandon(&mut self, key: AttemptKey) -> Option<Progress> {
        self.abandoned.lock().unwrap().push(key);
        Some(if self.writes { Progress::FullyWritten } else { Progress::NotConnected })
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
    fn update_members(&mut self, _: &MembersUpdate) {}
    fn check_connections(&mut self) {}
    fn close_idle(&mut self) {}
}

struct DrainScenario {
    engine: Engine<UnresponsiveNode>,
    counters: Arc<Counters>,
    abandoned: Arc<Mutex<Vec<AttemptKey>>>,
    next: u32,
}

impl DrainScenario {
    /// Creates an engine with one class of this kind and one node.
    fn start(repeat: Repeat, writes: bool) -> DrainScenario {
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
        let node = UnresponsiveNode { writes, ..UnresponsiveNode::default() };
        let abandoned = node.abandoned.clone();
        let mut engine = Engine::new(settings, 1, node, counters.clone());
        let listing = Listing {
            member: MemberId(1),
            weight: 1.0,
            zone: Default::default(),
            kind: CACHE_KIND,
            cell: Default::default(),
            started_at: None,
            availability: Availability::Ready,
        };
        let event = Event::List { update: ListUpdate::Full, entries: vec![listing] };
        engine.handle(Input::MembersListed {
            from: ListSource::Bus,
            members_update: MembersUpdate::default(),
            event,
        });
        DrainScenario { engine, counters, abandoned, next: 1 }
    }

    /// Sends a request; its answers arrive on the returned channel.
    fn send_request(&mut self, allow_ms: Ms) -> (RequestId, Receiver<Answer>) {
        let id = RequestId(self.next);
        self.next += 1;
        let (to, answers) = unbounded();
        let token = |text: &str| Token::new(text.as_bytes()).unwrap();
        let forwarded = ForwardedRequest {
            job: token(&format!("{:016x}", id.0)),
            class_name: "class".into(),
            item: token("7f3a9c21e0b4d655"),
            part: token("0"),
            client_digest: None,
            idempotency_key: None,
            body: Vec::new(),
            once: false,
            write: false,
            _held: Budget::new(0).held(),
            tally: Arc::default(),
        };
        self.engine.handle(Input::Request(Incoming {
            id,
            class: ClassId(0),
            object: ObjectId(7),
            part: 0,
            group: PurgeGroup(0),
            size_kb: None,
            shop: ShopId::of(""),
            deadline: clock::steady_ms() + allow_ms,
            forwarded: Arc::new(forwarded),
            responder: Responder::new(move |answer| drop(to.send(answer))),
        }));
        (id, answers)
    }

    /// Pauses the front as of `elapsed` ago.
    fn begin_drain_ago(&self, elapsed: Duration) {
        assert!(self.counters.mode.pause(clock::uptime() - elapsed));
    }

    /// Begins to stop the process as of `elapsed` ago.
    fn end_process_ago(&self, elapsed: Duration) {
        self.counters.mode.end(clock::uptime() - elapsed, Duration::from_secs(60));
    }
}

const CUT_OFF: Duration = DrainSchedule::RELEASE_CLIENTS.cut_off_after;

#[test]
fn a_request_admitted_early_in_a_drain_gets_a_deadline_no_later_than_the_cut_off() {
    let mut scenario = DrainScenario::start(Repeat::Safe, true);
    let elapsed = Duration::from_millis(300);
    scenario.begin_drain_ago(elapsed);
    let before = clock::steady_ms();
    let (id, answers) = scenario.send_request(LONG_DEADLINE_MS);
    assert!(answers.try_recv().is_err(), "it is admitted");
    let left = scenario.engine.exchanges.get(id).unwrap().deadline - before;
    let until_cut_off = (CUT_OFF - elapsed).as_secs_f64() * 1000.0;
    assert!((until_cut_off - 100.0..until_cut_off + 100.0).contains(&left), "{left} ms");
    let (id, _answers) = scenario.send_request(100.0);
    let left = scenario.engine.exchanges.get(id).unwrap().deadline - before;
    assert!(left < 1000.0, "a deadline before the cut-off stays: {left} ms");
}

#[test]
fn requests_late_in_a_drain_are_rejected_at_once_until_the_front_resumes() {
    let mut scenario = DrainScenario::start(Repeat::Safe, true);
    scenario.begin_drain_ago(DrainSchedule::RELEASE_CLIENTS.reject_after);
    let (_, answers) = scenario.send_request(900.0);
    assert!(matches!(answers.try_recv(), Ok(Answer::Refused { wait_ms: Some(1..) })));
    assert_eq!(scenario.counters.drain_rejected.load(Relaxed), 1);
    scenario.counters.mode.resume(clock::uptime());
    let (_, answers) = scenario.send_request(900.0);
    assert!(answers.try_recv().is_err(), "admitted again");
}

#[test]
fn a_repeatable_request_is_rejected_at_the_cut_off_and_its_attempt_abandoned() {
    let mut scenario = DrainScenario::start(Repeat::Safe, true);
    let (id, answers) = scenario.send_request(LONG_DEADLINE_MS);
    scenario.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "not while the front serves");
    scenario.begin_drain_ago(CUT_OFF);
    scenario.engine.cut_off_open_requests();
    scenario.engine.finish_ended_attempts();
    assert!(matches!(answers.try_recv(), Ok(Answer::Refused { .. })));
    assert!(scenario.abandoned.lock().unwrap().iter().any(|key| key.id == id), "its attempt is abandoned");
    scenario.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "there is only one answer");
    assert_eq!(scenario.counters.drain_cut_off.load(Relaxed), 1);
    assert!(scenario.counters.all_answered());
}

#[test]
fn a_non_repeatable_request_continues_past_the_cut_off_of_a_front_that_stays() {
    let mut scenario = DrainScenario::start(Repeat::Unsafe, true);
    let (_, answers) = scenario.send_request(LONG_DEADLINE_MS);
    scenario.begin_drain_ago(CUT_OFF);
    scenario.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "it may have run, so its outcome is awaited");
    assert!(scenario.abandoned.lock().unwrap().is_empty());
}

#[test]
fn an_unsent_non_repeatable_request_is_rejected_at_the_cut_off() {
    let mut scenario = DrainScenario::start(Repeat::Unsafe, false);
    let (_, answers) = scenario.send_request(LONG_DEADLINE_MS);
    scenario.begin_drain_ago(CUT_OFF);
    scenario.engine.cut_off_open_requests();
    assert!(matches!(answers.try_recv(), Ok(Answer::Refused { .. })));
}

#[test]
fn a_non_repeatable_request_is_answered_before_the_process_is_killed() {
    let mut scenario = DrainScenario::start(Repeat::Unsafe, true);
    let (_, answers) = scenario.send_request(LONG_DEADLINE_MS);
    scenario.end_process_ago(Duration::from_millis(3300));
    scenario.engine.cut_off_open_requests();
    assert!(answers.try_recv().is_err(), "its outcome is awaited as long as possible");
    let mut scenario = DrainScenario::start(Repeat::Unsafe, true);
    let (_, answers) = scenario.send_request(LONG_DEADLINE_MS);
    scenario.end_process_ago(Duration::from_millis(3460));
    scenario.engine.cut_off_open_requests();
    assert_eq!(answers.try_recv(), Ok(Answer::Failed), "it may have run");
}

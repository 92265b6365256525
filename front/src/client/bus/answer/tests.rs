use super::*;
use std::io::Cursor;
use std::sync::Arc;

use crossbeam_channel::{unbounded, Receiver};
use elmtide::PurgeGroup;

use super::super::names::NameTable;
use crate::exchange::Input;
use crate::memory::counters::Counters;

fn ban(number: u64) -> String {
    format!(r#"{{"offset":{number},"ban":{{"tag":{number},"ts":1}}}}"#)
}

fn batch(events: &[String], offset: u64) -> String {
    format!(r#"{{"offset":{offset},"batch":[{}]}}"#, events.join(","))
}

struct Scene {
    applier: Mutex<EventApplier>,
    inputs: Receiver<Input>,
}

impl Scene {
    fn new() -> Scene {
        let (sender, inputs) = unbounded();
        let applier = EventApplier::new(NameTable::default(), sender, Arc::new(Counters::default()));
        Scene { applier: Mutex::new(applier), inputs }
    }

    /// Reads an answer as it would come over a connection.
    fn read(&self, text: &str) -> Result<(), BatchError> {
        let deadline = ProgressDeadline::after_request(Instant::now());
        let mut receiver = OrderedReceiver::new(&self.applier, &deadline, self.last_event());
        match read_batch(Cursor::new(text), MAX_EVENT_BYTES, &mut receiver) {
            Ok(offset) => {
                assert!(receiver.finish(offset, Instant::now()).is_continue());
                Ok(())
            }
            Err(error) => {
                if matches!(error, BatchError::EventTooLong(_)) {
                    receiver.skip_unreadable_event();
                }
                Err(error)
            }
        }
    }

    fn last_event(&self) -> u64 {
        lock(&self.applier).last_event()
    }

    /// The events that have reached the engine since the last call.
    fn applied(&self) -> Vec<u16> {
        assert!(lock(&self.applier).flush().is_continue());
        let tag = |input| match input {
            Input::Purged { group: PurgeGroup(tag), .. } => tag,
            _ => panic!("not a purge"),
        };
        self.inputs.try_iter().map(tag).collect()
    }
}

#[test]
fn events_are_applied_once_and_in_order_whatever_their_order_in_the_answer() {
    let scene = Scene::new();
    scene.read(&batch(&[ban(3), ban(1), ban(2)], 3)).unwrap();
    assert_eq!((scene.applied(), scene.last_event()), (vec![1, 2, 3], 3));
    scene.read(&batch(&[ban(3), ban(4)], 5)).unwrap();
    assert_eq!((scene.applied(), scene.last_event()), (vec![4], 5));
    // Numbers that are not consecutive.
    scene.read(&batch(&[ban(9), ban(7)], 9)).unwrap();
    assert_eq!((scene.applied(), scene.last_event()), (vec![7, 9], 9));
}

/// What had arrived of an answer before its connection ended was thrown away, and asked for again from the same number.
#[test]
fn events_before_the_end_of_a_broken_answer_are_not_asked_for_again() {
    let scene = Scene::new();
    let answer = batch(&(1..=50).map(ban).collect::<Vec<_>>(), 50);
    assert!(scene.read(&answer[..answer.len() / 2]).is_err());
    let applied = scene.applied();
    assert_eq!(applied, (1..=applied.len() as u16).collect::<Vec<_>>());
    assert!(applied.len() > 20);
    assert_eq!(scene.last_event(), applied.len() as u64);
    // An event that comes before an earlier one is not applied until that one has come.
    let scene = Scene::new();
    assert!(scene.read(&answer.replace(&ban(3), &ban(60))[..answer.len() / 2]).is_err());
    assert_eq!((scene.applied(), scene.last_event()), (vec![1, 2], 2));
}

#[test]
fn more_events_out_of_order_than_fit_in_memory_are_applied_over_several_answers() {
    let scene = Scene::new();
    let padding = "x".repeat(20_000);
    let padded = |n: u64| format!(r#"{{"offset":{n},"ban":{{"tag":{n},"ts":1,"note":"{padding}"}}}}"#);
    let all: Vec<u16> = (1..=200).collect();
    let mut applied = Vec::new();
    while scene.last_event() < 200 {
        let from = scene.last_event() + 1;
        scene.read(&batch(&(from..=200).rev().map(padded).collect::<Vec<_>>(), 200)).unwrap();
        assert!(scene.last_event() >= from, "each answer brings the front on");
        applied.extend(scene.applied());
    }
    assert_eq!(applied, all);
}

#[test]
fn an_event_that_is_too_long_is_skipped_and_later_ones_are_heard() {
    let scene = Scene::new();
    let long = format!(r#"{{"offset":2,"ban":{{"tag":2,"ts":1,"note":"{}"}}}}"#, "x".repeat(MAX_EVENT_BYTES));
    let answer = batch(&[ban(1), long, ban(3)], 3);
    assert!(matches!(scene.read(&answer), Err(BatchError::EventTooLong(_))));
    assert_eq!((scene.applied(), scene.last_event()), (vec![1], 2));
    scene.read(&batch(&[ban(3)], 3)).unwrap();
    assert_eq!((scene.applied(), scene.last_event()), (vec![3], 3));
}

#[test]
fn an_event_that_is_too_long_on_two_connections_is_skipped_once() {
    let scene = Scene::new();
    let deadline = ProgressDeadline::after_request(Instant::now());
    let receivers = [0, 0].map(|asked_from| OrderedReceiver::new(&scene.applier, &deadline, asked_from));
    receivers.iter().for_each(OrderedReceiver::skip_unreadable_event);
    assert_eq!(scene.last_event(), 1);
}

use super::*;
use crate::wire::bus::Event;

fn event(number: u64, encoded_bytes: usize) -> NumberedEvent {
    NumberedEvent { number, encoded_bytes, event: Ok(Event::BanTag { tag: 1, ts: 1.0 }) }
}

#[test]
fn an_event_waits_for_the_ones_before_it() {
    let mut pending = PendingEvents::default();
    pending.insert(event(3, 100));
    assert!(pending.release(2).is_none());
    pending.insert(event(2, 100));
    assert_eq!(pending.release(2).map(|e| e.number), Some(2));
    assert_eq!(pending.release(3).map(|e| e.number), Some(3));
    assert!(pending.is_empty() && pending.has_all());
}

#[test]
fn above_the_bound_the_earliest_events_are_kept_and_none_is_released_past_a_dropped_one() {
    let mut pending = PendingEvents::default();
    let third = MAX_PENDING_BYTES / 3;
    for number in [9, 8, 7, 6, 5, 12, 4] {
        pending.insert(event(number, third));
        assert!(pending.encoded_bytes <= MAX_PENDING_BYTES);
    }
    assert!(!pending.has_all());
    assert_eq!(pending.release_all().map(|e| e.number).collect::<Vec<_>>(), [4, 5, 6]);
}

#[test]
fn one_event_above_the_bound_is_kept() {
    let mut pending = PendingEvents::default();
    pending.insert(event(5, 3 * MAX_PENDING_BYTES));
    pending.insert(event(7, 1));
    assert_eq!(pending.release_all().map(|e| e.number).collect::<Vec<_>>(), [5]);
    assert!(!pending.has_all());
}

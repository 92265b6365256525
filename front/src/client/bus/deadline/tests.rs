use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn an_answer_that_makes_progress_never_counts_as_silent() {
    let start = Instant::now();
    let deadline = ProgressDeadline::after_request(start);
    assert_eq!(deadline.remaining(start), FIRST_BYTE_TIMEOUT);
    let mut now = start + FIRST_BYTE_TIMEOUT - MS;
    // A minute of events, each in two pieces that come just in time.
    while now < start + Duration::from_secs(60) {
        deadline.on_bytes(now);
        now += STALL_TIMEOUT - MS;
        assert!(deadline.remaining(now) > Duration::ZERO);
        deadline.on_event(now);
        now += STALL_TIMEOUT - MS;
        assert!(deadline.remaining(now) > Duration::ZERO);
    }
}

#[test]
fn a_stall_and_an_event_without_end_count_as_silent() {
    let start = Instant::now();
    let deadline = ProgressDeadline::after_request(start);
    assert_eq!(deadline.remaining(start + FIRST_BYTE_TIMEOUT), Duration::ZERO);
    deadline.on_bytes(start);
    assert_eq!(deadline.remaining(start + STALL_TIMEOUT), Duration::ZERO);
    // Bytes that come one by one and never complete an event.
    let mut now = start;
    while now < start + EVENT_TIMEOUT {
        deadline.on_bytes(now);
        now += 100 * MS;
    }
    assert_eq!(deadline.remaining(start + EVENT_TIMEOUT), Duration::ZERO);
    deadline.on_request(now);
    assert_eq!(deadline.remaining(now), FIRST_BYTE_TIMEOUT);
}

#[test]
fn a_patient_connection_is_limited_by_event_alone() {
    let start = Instant::now();
    let deadline = ProgressDeadline::after_request(start);
    let patience = Duration::from_secs(60);
    deadline.set_patience(start, patience);
    deadline.on_bytes(start + patience / 2);
    assert_eq!(deadline.remaining(start + patience / 2), patience / 2);
    assert_eq!(deadline.remaining(start + patience), Duration::ZERO);
    deadline.on_event(start + patience);
    assert_eq!(deadline.remaining(start + patience), patience);
}

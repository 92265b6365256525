use super::*;

/// A bus that falls silent does so for all fronts at once. Without jitter, 100 of 100 fronts asked again within 50
/// ms.
#[test]
fn the_retries_of_a_hundred_fronts_are_spread_in_time() {
    let mut delays: Vec<Duration> =
        (0..100).map(|seed| jittered_delay(MAX_RETRY_DELAY, seed * 7919, 3)).collect();
    delays.sort();
    assert!(
        delays[0] >= MAX_RETRY_DELAY.mul_f64(MIN_JITTER) && delays[99] <= MAX_RETRY_DELAY.mul_f64(MAX_JITTER)
    );
    let window = MAX_RETRY_DELAY / 10;
    let counts_per_window = delays
        .iter()
        .map(|start| delays.iter().filter(|delay| (*start..*start + window).contains(delay)).count());
    assert!(counts_per_window.max() < Some(30), "{delays:?}");
    assert_ne!(jittered_delay(MAX_RETRY_DELAY, 1, 1), jittered_delay(MAX_RETRY_DELAY, 1, 2));
}

/// Events of a new file after a gap are left to the bus: what lies in the gap must not be taken for applied.
#[test]
fn events_of_a_file_are_applied_up_to_the_first_gap() {
    let (inputs, events) = crossbeam_channel::unbounded();
    let names = NameTable { zones: Vec::new(), kinds: Vec::new() };
    let mut applier = EventApplier::new(names, inputs, Arc::default());
    let purge = |number: u64| (number, crate::wire::bus::Event::BanUrl { url: number, ts: 0.0 });
    let batch = |numbers: &[u64]| Batch { offset: 9, events: numbers.iter().copied().map(purge).collect() };
    assert!(applier.apply_following(batch(&[2, 1, 4])).is_continue());
    assert_eq!((events.len(), applier.last_event()), (2, 2));
    assert!(applier.apply_following(batch(&[1, 2, 3, 4])).is_continue());
    assert_eq!((events.len(), applier.last_event()), (4, 4), "none is applied twice");
}

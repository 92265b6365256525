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

use super::*;

/// A bus that falls silent does so for all fronts in one moment: counted, 100 of 100 asked again within 50 ms.
#[test]
fn a_hundred_fronts_do_not_ask_a_silent_bus_again_together() {
    let mut waits: Vec<Duration> = (0..100).map(|seed| spread(PAUSE.1, seed * 7919, 3)).collect();
    waits.sort();
    assert!(waits[0] >= PAUSE.1.mul_f64(SPREAD.0) && waits[99] <= PAUSE.1.mul_f64(SPREAD.1));
    let span = PAUSE.1 / 10;
    let together =
        waits.iter().map(|from| waits.iter().filter(|w| (*from..*from + span).contains(w)).count());
    assert!(together.max() < Some(30), "{waits:?}");
    assert_ne!(spread(PAUSE.1, 1, 1), spread(PAUSE.1, 1, 2));
}

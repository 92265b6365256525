//! A step of the wall clock does not change steady time, and at most makes timestamps look newer than they are.

use super::*;

const HOUR: Ms = 3_600_000.0;
const NOW: Ms = 1.8e12;

#[test]
fn steady_time_starts_at_wall_time_and_never_goes_back() {
    let (first, wall, second) = (steady_ms(), wall_ms(), steady_ms());
    assert!((first - wall).abs() < 1000.0, "steady time {first} is not near wall time {wall}");
    assert!(second >= first);
}

#[test]
fn an_age_is_never_overestimated_whichever_clock_was_stepped() {
    let timestamp = NOW - 500.0;
    assert_eq!(youngest_age(timestamp, NOW, NOW), 500.0);
    assert_eq!(youngest_age(timestamp, NOW, NOW + HOUR), 500.0, "the local clock was set forward");
    assert_eq!(youngest_age(timestamp, NOW, NOW - HOUR), 0.0, "the local clock was set back: treated as new");
    // All machines' clocks were set: the timestamp follows the new time, the steady time the old one.
    assert_eq!(youngest_age(timestamp + HOUR, NOW, NOW + HOUR), 0.0);
    assert_eq!(youngest_age(timestamp - HOUR, NOW, NOW - HOUR), 500.0);
    assert_eq!(youngest_age(NOW + 5.0, NOW, NOW), 0.0, "from the future");
}

#[test]
fn boot_moments_can_be_compared_only_within_one_boot() {
    let moment = |boot: &str, since_boot_ms| BootMoment { boot: boot.into(), since_boot_ms };
    assert_eq!(moment("one", 5.0).until(&moment("one", 12.5)), Some(7.5));
    assert_eq!(moment("one", 12.5).until(&moment("one", 5.0)), Some(-7.5), "negative for an earlier moment");
    assert_eq!(moment("one", 5.0).until(&moment("other", 12.5)), None);
    let (before, after) = (BootMoment::now().unwrap(), BootMoment::now().unwrap());
    assert!((0.0..60_000.0).contains(&before.until(&after).unwrap()));
}

#[test]
fn a_converted_timestamp_is_no_earlier_than_either_clock_shows() {
    let timestamp = NOW - 500.0;
    assert_eq!(steady_time_of(timestamp, NOW, NOW + 0.3), timestamp, "no step: the timestamp itself");
    assert_eq!(steady_time_of(NOW + 700.0, NOW, NOW), NOW + 700.0);
    // All machines' clocks were set back, and the timestamp is half a second old.
    assert_eq!(steady_time_of(timestamp - HOUR, NOW, NOW - HOUR), timestamp);
    // All machines' clocks were set forward: the age is unknown.
    assert_eq!(steady_time_of(timestamp + HOUR, NOW, NOW + HOUR), NOW);
    assert_eq!(steady_time_of(timestamp, NOW, NOW - HOUR), NOW, "the timestamp is older than the step back");
    assert_eq!(
        steady_time_of(timestamp, NOW, NOW + HOUR),
        timestamp,
        "the timestamp is older than the step forward"
    );
}

//! What a step of the wall clock does to the process's time line and to ages: nothing, or the cautious thing.

use super::*;

const HOUR: Ms = 3_600_000.0;
const NOW: Ms = 1.8e12;

#[test]
fn the_time_line_begins_with_the_wall_clock_and_never_goes_back() {
    let (first, wall, second) = (steady_ms(), wall_ms(), steady_ms());
    assert!((first - wall).abs() < 1000.0, "nobody has stepped the clock here: {first} {wall}");
    assert!(second >= first);
}

#[test]
fn an_age_is_never_taken_for_more_than_it_is_whichever_clock_was_stepped() {
    let stamp = NOW - 500.0;
    assert_eq!(youngest_age(stamp, NOW, NOW), 500.0);
    assert_eq!(youngest_age(stamp, NOW, NOW + HOUR), 500.0, "the own clock was set forward");
    assert_eq!(youngest_age(stamp, NOW, NOW - HOUR), 0.0, "the own clock was set back: taken for new");
    // All machines' clocks were set: whoever stamped goes by the new time, the time line by the old.
    assert_eq!(youngest_age(stamp + HOUR, NOW, NOW + HOUR), 0.0);
    assert_eq!(youngest_age(stamp - HOUR, NOW, NOW - HOUR), 500.0);
    assert_eq!(youngest_age(NOW + 5.0, NOW, NOW), 0.0, "from the future");
}

#[test]
fn moments_of_one_start_of_the_machine_can_be_compared() {
    let moment = |boot: &str, since_boot_ms| BootMoment { boot: boot.into(), since_boot_ms };
    assert_eq!(moment("one", 5.0).until(&moment("one", 12.5)), Some(7.5));
    assert_eq!(moment("one", 12.5).until(&moment("one", 5.0)), Some(-7.5), "of a clock that is none");
    assert_eq!(moment("one", 5.0).until(&moment("other", 12.5)), None);
    let (before, after) = (BootMoment::now().unwrap(), BootMoment::now().unwrap());
    assert!((0.0..60_000.0).contains(&before.until(&after).unwrap()));
}

#[test]
fn a_moment_stamped_elsewhere_is_placed_no_earlier_than_either_clock_says() {
    let stamp = NOW - 500.0;
    assert_eq!(place(stamp, NOW, NOW + 0.3), stamp, "no step: the stamp itself");
    assert_eq!(place(NOW + 700.0, NOW, NOW), NOW + 700.0);
    // All machines' clocks were set back, then something was stamped half a second ago.
    assert_eq!(place(stamp - HOUR, NOW, NOW - HOUR), stamp);
    // Set forward: it is not known how long ago.
    assert_eq!(place(stamp + HOUR, NOW, NOW + HOUR), NOW);
    assert_eq!(place(stamp, NOW, NOW - HOUR), NOW, "stamped before the clocks were set back");
    assert_eq!(place(stamp, NOW, NOW + HOUR), stamp, "stamped before they were set forward");
}

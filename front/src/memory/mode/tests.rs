//! The state of the process: what pauses, resumes and ends it, and since when it drains.

use super::*;

const START: Duration = Duration::from_secs(1000);
const LONGEST: Duration = Duration::from_millis(900);

fn at(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
}

#[test]
fn a_machine_that_comes_back_does_not_undo_an_operators_pause() {
    let mode = Mode::default();
    mode.serves(START);
    mode.machine_goes(true, START);
    assert!(!mode.is_ready() && mode.sends_away() && mode.is_leaving());
    assert!(mode.pause(START));
    mode.machine_goes(false, START);
    assert!(!mode.is_ready() && mode.sends_away() && !mode.is_leaving());
    assert!(mode.resume(START) && mode.is_ready());
    mode.machine_goes(true, START);
    assert!(mode.resume(START) && !mode.is_ready(), "nor does an operator bring a machine back");
}

#[test]
fn pause_and_resume_only_while_serving_and_ending_is_for_good() {
    let mode = Mode::default();
    assert!(!mode.pause(START) && !mode.is_ready());
    mode.serves(START);
    assert!(mode.pause(START) && mode.pause(START));
    assert!(!mode.is_ready() && mode.sends_away());
    mode.serves(START);
    assert_eq!(mode.state(), State::Paused, "a start does not undo a pause");
    assert!(mode.resume(START) && mode.is_ready());
    mode.end(START, LONGEST);
    assert!(!mode.resume(START) && !mode.pause(START) && mode.sends_away());
}

#[test]
fn a_drain_counts_from_the_first_call_and_a_resume_ends_it() {
    let mode = Mode::default();
    mode.serves(START);
    assert_eq!(mode.drain_phase(at(0)), DrainPhase::NotDraining);
    assert_eq!(mode.time_until_cut_off(at(0)), None);
    mode.pause(at(0));
    mode.pause(at(900));
    assert_eq!(mode.drain_phase(at(950)), DrainPhase::Settling);
    assert_eq!(mode.drain_phase(at(1000)), DrainPhase::Rejecting, "the second call begins nothing anew");
    mode.resume(at(1500));
    assert_eq!(mode.drain_phase(at(9000)), DrainPhase::NotDraining);
    mode.pause(at(10_000));
    assert_eq!(mode.drain_phase(at(10_500)), DrainPhase::Settling, "the next drain has its whole time");
}

#[test]
fn of_two_drains_the_one_that_has_come_furthest_counts() {
    let mode = Mode::default();
    mode.serves(START);
    mode.machine_goes(true, at(0));
    mode.machine_goes(true, at(3000));
    mode.pause(at(3000));
    assert_eq!(mode.drain_phase(at(3700)), DrainPhase::Releasing);
    mode.machine_goes(false, at(3700));
    assert_eq!(mode.drain_phase(at(3700)), DrainPhase::Settling);
    mode.end(at(3800), LONGEST);
    mode.end(at(5000), LONGEST);
    assert_eq!(mode.drain_phase(at(3900)), DrainPhase::Settling);
    assert_eq!(mode.drain_phase(at(4400)), DrainPhase::Settling);
    assert_eq!(mode.drain_phase(at(4460)), DrainPhase::Rejecting);
    assert_eq!(
        mode.drain_phase(at(5400)),
        DrainPhase::Releasing,
        "the second order to end begins nothing anew"
    );
}

#[test]
fn a_moment_before_the_drain_began_is_its_beginning() {
    let mode = Mode::default();
    mode.serves(START);
    mode.pause(at(100));
    assert_eq!(mode.drain_phase(at(0)), DrainPhase::Settling);
}

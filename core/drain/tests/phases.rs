//! The phases of a drain: what becomes of requests and connections in each, and that no client can prolong it.

use std::time::Duration;

use elmtide_drain::{Admission, ConnectionAction, ConnectionActivity, DrainPhase, DrainSchedule};
use proptest::prelude::*;

const SCHEDULE: DrainSchedule = DrainSchedule::RELEASE_CLIENTS;
/// What the operators allow.
const OPERATORS_LIMIT: Duration = Duration::from_secs(4);
const TURN: Duration = Duration::from_millis(100);

fn phase_at(ms: u64) -> DrainPhase {
    SCHEDULE.phase(Some(Duration::from_millis(ms)))
}

#[test]
fn the_schedule_ends_within_what_the_operators_allow() {
    assert!(SCHEDULE.reject_after < SCHEDULE.cut_off_after);
    assert!(
        SCHEDULE.cut_off_after + TURN < SCHEDULE.release_after,
        "answers of the cut-off are written before"
    );
    assert!(SCHEDULE.release_after + 5 * TURN < OPERATORS_LIMIT);
}

#[test]
fn phases_follow_the_time_since_the_drain_began() {
    let table = [
        (0, DrainPhase::Settling),
        (999, DrainPhase::Settling),
        (1000, DrainPhase::Rejecting),
        (3000, DrainPhase::CuttingOff),
        (3400, DrainPhase::Releasing),
        (86_400_000, DrainPhase::Releasing),
    ];
    for (ms, phase) in table {
        assert_eq!(phase_at(ms), phase, "{ms} ms");
    }
    assert_eq!(SCHEDULE.phase(None), DrainPhase::NotDraining);
}

#[test]
fn requests_are_admitted_up_to_the_cut_off_and_then_rejected() {
    assert_eq!(DrainPhase::NotDraining.admission(), Admission::Admit);
    assert_eq!(DrainPhase::Settling.admission(), Admission::AdmitUntilCutOff);
    for phase in [DrainPhase::Rejecting, DrainPhase::CuttingOff, DrainPhase::Releasing] {
        assert_eq!(phase.admission(), Admission::Reject);
    }
    assert_eq!(SCHEDULE.time_until_cut_off(Duration::from_millis(900)), Duration::from_millis(2100));
    assert_eq!(SCHEDULE.time_until_cut_off(Duration::from_secs(9)), Duration::ZERO);
}

/// Each kind of connection against each phase.
#[test]
fn a_connection_is_closed_in_its_first_idle_moment_and_in_the_end_whatever_it_brings() {
    use ConnectionAction::{Close, Keep, RejectPartialRequests};
    let resting = ConnectionActivity { has_brought_request: true, ..ConnectionActivity::default() };
    let new = ConnectionActivity::default();
    let owing = ConnectionActivity { owes_answer: true, ..resting };
    let partial = ConnectionActivity { partial_requests: 1, ..resting };
    let owing_and_partial = ConnectionActivity { owes_answer: true, ..partial };
    let half_record = ConnectionActivity { has_partial_input: true, ..resting };
    let unread = ConnectionActivity { has_unread_input: true, ..resting };
    let phases = [
        DrainPhase::NotDraining,
        DrainPhase::Settling,
        DrainPhase::Rejecting,
        DrainPhase::CuttingOff,
        DrainPhase::Releasing,
    ];
    let table = [
        ("resting", resting, [Keep, Close, Close, Close, Close]),
        ("new", new, [Keep, Keep, Close, Close, Close]),
        ("owing", owing, [Keep, Keep, Keep, Keep, Keep]),
        ("partial", partial, [Keep, Keep, Keep, RejectPartialRequests, Close]),
        (
            "owing and partial",
            owing_and_partial,
            [Keep, Keep, Keep, RejectPartialRequests, RejectPartialRequests],
        ),
        ("half a record", half_record, [Keep, Keep, Keep, Keep, Close]),
        ("unread", unread, [Keep, Keep, Keep, Keep, Close]),
    ];
    for (name, activity, actions) in table {
        for (phase, action) in phases.into_iter().zip(actions) {
            assert_eq!(phase.connection_action(activity), action, "{name} while {}", phase.name());
        }
    }
}

/// What a client does in one turn of the thread that owns its connection.
#[derive(Clone, Copy, Debug)]
enum ClientStep {
    Send,
    BeginPartial,
    SendGarbage,
    Rest,
}

fn client_steps() -> impl Strategy<Value = Vec<ClientStep>> {
    let step = prop_oneof![
        Just(ClientStep::Send),
        Just(ClientStep::BeginPartial),
        Just(ClientStep::SendGarbage),
        Just(ClientStep::Rest),
    ];
    prop::collection::vec(step, 50)
}

proptest! {
    /// Whatever a client sends and however slowly requests are answered, its connection is closed before the limit, and
    /// every request that was admitted has had its answer by then.
    #[test]
    fn no_client_prolongs_a_drain(steps in client_steps(), service_turns in 1usize..60) {
        let mut open: Vec<usize> = Vec::new();
        let mut activity = ConnectionActivity { has_brought_request: true, ..ConnectionActivity::default() };
        let mut closed_after = None;
        for (turn, step) in steps.into_iter().enumerate() {
            let elapsed = TURN * turn as u32;
            let phase = SCHEDULE.phase(Some(elapsed));
            match step {
                ClientStep::Send if phase.admission() != Admission::Reject => open.push(turn),
                ClientStep::BeginPartial => activity.partial_requests += 1,
                ClientStep::SendGarbage => activity.has_partial_input = true,
                ClientStep::Send | ClientStep::Rest => {}
            }
            open.retain(|since| turn - since < service_turns && !phase.cuts_off_open_requests());
            activity.owes_answer = !open.is_empty();
            match phase.connection_action(activity) {
                ConnectionAction::Keep => {}
                ConnectionAction::RejectPartialRequests => activity.partial_requests = 0,
                ConnectionAction::Close => {
                    prop_assert!(open.is_empty(), "closed over an open request");
                    closed_after = Some(elapsed);
                    break;
                }
            }
        }
        let closed_after = closed_after.expect("closed at all");
        prop_assert!(closed_after + TURN < OPERATORS_LIMIT, "closed after {closed_after:?}");
    }
}

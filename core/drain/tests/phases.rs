//! How requests and connections are handled in each phase of a drain, and that no client can prolong it.

use std::time::Duration;

use elmtide_drain::{Admission, ConnectionAction, ConnectionActivity, DrainPhase, DrainSchedule};
use proptest::prelude::*;

const SCHEDULE: DrainSchedule = DrainSchedule::RELEASE_CLIENTS;
/// The maximum duration of a drain that operators allow.
const MAX_DRAIN: Duration = Duration::from_secs(4);
/// The interval at which a thread checks its connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn phase_at(ms: u64) -> DrainPhase {
    SCHEDULE.phase(Some(Duration::from_millis(ms)))
}

#[test]
fn the_schedule_ends_before_the_operators_limit() {
    assert!(SCHEDULE.reject_after < SCHEDULE.cut_off_after);
    assert!(
        SCHEDULE.cut_off_after + CHECK_INTERVAL < SCHEDULE.release_after,
        "responses sent at the cut-off are written before connections are closed"
    );
    assert!(SCHEDULE.release_after + 5 * CHECK_INTERVAL < MAX_DRAIN);
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
fn requests_are_admitted_while_settling_and_rejected_afterwards() {
    assert_eq!(DrainPhase::NotDraining.admission(), Admission::Admit);
    assert_eq!(DrainPhase::Settling.admission(), Admission::AdmitUntilCutOff);
    for phase in [DrainPhase::Rejecting, DrainPhase::CuttingOff, DrainPhase::Releasing] {
        assert_eq!(phase.admission(), Admission::Reject);
    }
    assert_eq!(SCHEDULE.time_until_cut_off(Duration::from_millis(900)), Duration::from_millis(2100));
    assert_eq!(SCHEDULE.time_until_cut_off(Duration::from_secs(9)), Duration::ZERO);
}

/// Each kind of connection in each phase.
#[test]
fn a_connection_is_closed_once_idle_and_at_the_end_whatever_its_activity() {
    use ConnectionAction::{Close, Keep, RejectPartialRequests};
    let idle = ConnectionActivity { has_received_request: true, ..ConnectionActivity::default() };
    let new = ConnectionActivity::default();
    let pending = ConnectionActivity { has_pending_response: true, ..idle };
    let partial = ConnectionActivity { partial_requests: 1, ..idle };
    let pending_and_partial = ConnectionActivity { has_pending_response: true, ..partial };
    let partial_record = ConnectionActivity { has_partial_input: true, ..idle };
    let unread = ConnectionActivity { has_unread_input: true, ..idle };
    let phases = [
        DrainPhase::NotDraining,
        DrainPhase::Settling,
        DrainPhase::Rejecting,
        DrainPhase::CuttingOff,
        DrainPhase::Releasing,
    ];
    let table = [
        ("idle", idle, [Keep, Close, Close, Close, Close]),
        ("new", new, [Keep, Keep, Close, Close, Close]),
        ("pending", pending, [Keep, Keep, Keep, Keep, Keep]),
        ("partial", partial, [Keep, Keep, Keep, RejectPartialRequests, Close]),
        (
            "pending and partial",
            pending_and_partial,
            [Keep, Keep, Keep, RejectPartialRequests, RejectPartialRequests],
        ),
        ("partial record", partial_record, [Keep, Keep, Keep, Keep, Close]),
        ("unread", unread, [Keep, Keep, Keep, Keep, Close]),
    ];
    for (name, activity, actions) in table {
        for (phase, action) in phases.into_iter().zip(actions) {
            assert_eq!(phase.connection_action(activity), action, "{name} while {}", phase.name());
        }
    }
}

/// What a client does within one check interval.
#[derive(Clone, Copy, Debug)]
enum ClientStep {
    Send,
    BeginPartial,
    SendGarbage,
    Idle,
}

fn client_steps() -> impl Strategy<Value = Vec<ClientStep>> {
    let step = prop_oneof![
        Just(ClientStep::Send),
        Just(ClientStep::BeginPartial),
        Just(ClientStep::SendGarbage),
        Just(ClientStep::Idle),
    ];
    prop::collection::vec(step, 50)
}

proptest! {
    /// Whatever a client sends and however slowly requests are answered, its connection is closed before the limit, and
    /// every admitted request has been answered by then.
    #[test]
    fn no_client_prolongs_a_drain(steps in client_steps(), service_intervals in 1usize..60) {
        let mut open: Vec<usize> = Vec::new();
        let mut activity = ConnectionActivity { has_received_request: true, ..ConnectionActivity::default() };
        let mut closed_after = None;
        for (interval, step) in steps.into_iter().enumerate() {
            let elapsed = CHECK_INTERVAL * interval as u32;
            let phase = SCHEDULE.phase(Some(elapsed));
            match step {
                ClientStep::Send if phase.admission() != Admission::Reject => open.push(interval),
                ClientStep::BeginPartial => activity.partial_requests += 1,
                ClientStep::SendGarbage => activity.has_partial_input = true,
                ClientStep::Send | ClientStep::Idle => {}
            }
            open.retain(|since| interval - since < service_intervals && !phase.cuts_off_open_requests());
            activity.has_pending_response = !open.is_empty();
            match phase.connection_action(activity) {
                ConnectionAction::Keep => {}
                ConnectionAction::RejectPartialRequests => activity.partial_requests = 0,
                ConnectionAction::Close => {
                    prop_assert!(open.is_empty(), "closed with an open request");
                    closed_after = Some(elapsed);
                    break;
                }
            }
        }
        let closed_after = closed_after.expect("the connection is closed within the steps");
        prop_assert!(closed_after + CHECK_INTERVAL < MAX_DRAIN, "closed after {closed_after:?}");
    }
}

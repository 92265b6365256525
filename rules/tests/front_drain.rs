//! The checkers of a front's drain find each deliberate violation and report nothing else.

use elmtide_rules::front_drain::{
    check_answers, check_drain, ClientConnection, ClientRequest, RequestOutcome, Violation,
};

fn request(job: u64, written: f64, end: Option<(f64, RequestOutcome)>) -> ClientRequest {
    ClientRequest { job, written, deadline: written + 5000.0, end, extra_answers: 0 }
}

fn connection(ended: Option<f64>, requests: Vec<ClientRequest>) -> ClientConnection {
    ClientConnection { opened: 0.0, ended, requests }
}

#[test]
fn a_connection_held_idle_past_the_limit_is_found() {
    let answered = request(1, 900.0, Some((950.0, RequestOutcome::Answered)));
    let held = connection(None, vec![answered.clone()]);
    assert_eq!(check_drain(1000.0, &[held]), [Violation::HeldIdle { opened: 0.0 }]);
    assert_eq!(check_drain(1000.0, &[connection(Some(5010.0), vec![answered])]), []);
}

#[test]
fn a_recent_request_on_a_held_connection_is_found_and_an_old_one_is_allowed() {
    let recent = request(7, 4900.0, Some((5200.0, RequestOutcome::Answered)));
    let old = request(8, 2500.0, Some((5600.0, RequestOutcome::Answered)));
    let held = connection(Some(5700.0), vec![old.clone(), recent]);
    let violations = check_drain(1000.0, &[held]);
    assert_eq!(violations, [Violation::HeldWithRecentRequest { job: 7, age: 100.0 }]);
    assert_eq!(check_drain(1000.0, &[connection(Some(5700.0), vec![old])]), []);
}

#[test]
fn lost_late_and_duplicate_answers_are_found() {
    let lost =
        connection(Some(200.0), vec![request(1, 100.0, Some((200.0, RequestOutcome::ConnectionLost)))]);
    let crossed =
        connection(Some(200.0), vec![request(2, 170.0, Some((200.0, RequestOutcome::ConnectionLost)))]);
    let unanswered = connection(None, vec![request(3, 100.0, None)]);
    let late = connection(None, vec![request(4, 0.0, Some((5100.0, RequestOutcome::Answered)))]);
    let given_up = connection(None, vec![request(5, 0.0, Some((10.0, RequestOutcome::GivenUp)))]);
    let mut answered_twice = request(6, 0.0, Some((10.0, RequestOutcome::Answered)));
    answered_twice.extra_answers = 1;
    let all = [lost, crossed, unanswered, late, given_up, connection(None, vec![answered_twice])];
    let expected = [
        Violation::Lost { job: 1 },
        Violation::Lost { job: 3 },
        Violation::Late { job: 4, by: 50.0 },
        Violation::SecondAnswer { job: 6 },
    ];
    assert_eq!(check_answers(&all), expected);
}

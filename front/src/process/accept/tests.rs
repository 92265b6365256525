use std::collections::VecDeque;

use rustix::io::Errno;

use super::*;

/// An `accept` that returns these results in order, then that no connection is pending.
fn scripted(results: &[Result<u8, Errno>]) -> impl FnMut() -> io::Result<u8> {
    let mut results: VecDeque<_> = results.iter().copied().collect();
    move || results.pop_front().unwrap_or(Err(Errno::AGAIN)).map_err(io::Error::from)
}

#[test]
fn connections_that_failed_before_accept_are_skipped() {
    let mut policy = AcceptPolicy::default();
    let call = scripted(&[Err(Errno::CONNABORTED), Err(Errno::INTR), Err(Errno::HOSTUNREACH), Ok(7)]);
    assert!(matches!(policy.attempt(call), AcceptOutcome::Accepted(7)));
}

/// Pauses grow while descriptors are short, stay bounded, and start from the first one again after a connection.
#[test]
fn pauses_grow_during_a_shortage_and_reset_after_a_connection() {
    let mut policy = AcceptPolicy::default();
    let pause = |policy: &mut AcceptPolicy| match policy.attempt(scripted(&[Err(Errno::MFILE)])) {
        AcceptOutcome::Pause(pause, _) => pause,
        other => panic!("{other:?}"),
    };
    let pauses: Vec<Duration> = (0..8).map(|_| pause(&mut policy)).collect();
    assert_eq!(pauses[0], PAUSE.0);
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(pauses[7], PAUSE.1);
    assert!(matches!(policy.attempt(scripted(&[Ok(1)])), AcceptOutcome::Accepted(1)));
    assert_eq!(pause(&mut policy), PAUSE.0);
}

/// An error of single connections that never ends is not retried forever without a pause.
#[test]
fn too_many_consecutive_failures_cause_a_pause() {
    let mut calls = 0;
    let mut policy = AcceptPolicy::default();
    let attempt = policy.attempt(|| -> io::Result<()> {
        calls += 1;
        Err(Errno::CONNABORTED.into())
    });
    assert!(matches!(attempt, AcceptOutcome::Pause(..)));
    assert_eq!(calls, MAX_FAILURES_WITHOUT_PAUSE + 1);
}

#[test]
fn a_broken_listener_differs_from_one_without_pending_connections() {
    let mut policy = AcceptPolicy::default();
    assert!(matches!(policy.attempt(scripted(&[Err(Errno::NOTSOCK)])), AcceptOutcome::Broken(_)));
    assert!(matches!(policy.attempt(scripted(&[])), AcceptOutcome::Empty));
}

use std::collections::VecDeque;

use rustix::io::Errno;

use super::*;

/// Results of `accept` in their order; nobody waits after them.
fn scripted(results: &[Result<u8, Errno>]) -> impl FnMut() -> io::Result<u8> {
    let mut results: VecDeque<_> = results.iter().copied().collect();
    move || results.pop_front().unwrap_or(Err(Errno::AGAIN)).map_err(io::Error::from)
}

#[test]
fn a_connection_that_has_gone_is_passed_over() {
    let mut policy = AcceptPolicy::default();
    let call = scripted(&[Err(Errno::CONNABORTED), Err(Errno::INTR), Err(Errno::HOSTUNREACH), Ok(7)]);
    assert!(matches!(policy.attempt(call), Attempt::Accepted(7)));
}

/// The pauses grow while descriptors are short, stay bounded, and begin anew after a connection.
#[test]
fn a_shortage_is_waited_out_with_growing_pauses() {
    let mut policy = AcceptPolicy::default();
    let pause = |policy: &mut AcceptPolicy| match policy.attempt(scripted(&[Err(Errno::MFILE)])) {
        Attempt::Pause(pause, _) => pause,
        other => panic!("{other:?}"),
    };
    let pauses: Vec<Duration> = (0..8).map(|_| pause(&mut policy)).collect();
    assert_eq!(pauses[0], PAUSE.0);
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(pauses[7], PAUSE.1);
    assert!(matches!(policy.attempt(scripted(&[Ok(1)])), Attempt::Accepted(1)));
    assert_eq!(pause(&mut policy), PAUSE.0);
}

/// An error of single connections that never ends is not tried for ever.
#[test]
fn an_endless_row_of_failures_makes_a_pause() {
    let mut calls = 0;
    let mut policy = AcceptPolicy::default();
    let attempt = policy.attempt(|| -> io::Result<()> {
        calls += 1;
        Err(Errno::CONNABORTED.into())
    });
    assert!(matches!(attempt, Attempt::Pause(..)));
    assert_eq!(calls, FAILURES_WITHOUT_PAUSE + 1);
}

#[test]
fn a_listener_of_no_use_is_told_apart() {
    let mut policy = AcceptPolicy::default();
    assert!(matches!(policy.attempt(scripted(&[Err(Errno::NOTSOCK)])), Attempt::Broken(_)));
    assert!(matches!(policy.attempt(scripted(&[])), Attempt::Empty));
}

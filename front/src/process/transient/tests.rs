//! Which errors are retried, and for how long.

use super::*;

fn error(errno: Errno) -> io::Error {
    errno.into()
}

#[test]
fn shortages_and_interruptions_are_transient_and_other_errors_are_not() {
    let transient = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN, Errno::INTR];
    for errno in transient {
        assert!(is_transient(&error(errno)), "{errno:?}");
    }
    for errno in [Errno::ACCESS, Errno::ADDRNOTAVAIL, Errno::BADF, Errno::INVAL, Errno::NOENT] {
        assert!(!is_transient(&error(errno)), "{errno:?}");
    }
}

#[test]
fn a_call_with_transient_errors_is_retried_until_it_succeeds() {
    let mut calls = 0;
    let done = retry_at_start("a call", || {
        calls += 1;
        if calls < 4 {
            Err(error(Errno::NFILE))
        } else {
            Ok(calls)
        }
    });
    assert_eq!(done.unwrap(), 4);
}

#[test]
fn a_permanent_error_is_returned_at_once_and_a_transient_one_after_the_timeout() {
    let mut calls = 0;
    let permanent = retry_at_start("a call", || -> io::Result<()> {
        calls += 1;
        Err(error(Errno::ACCESS))
    });
    assert_eq!((Errno::from_io_error(&permanent.unwrap_err()), calls), (Some(Errno::ACCESS), 1));
    let timed_out = retry_within(Duration::ZERO, "a call", || -> io::Result<()> { Err(error(Errno::MFILE)) });
    assert_eq!(Errno::from_io_error(&timed_out.unwrap_err()), Some(Errno::MFILE));
}

#[test]
fn a_thread_started_at_start_runs_its_body_once() {
    let (sender, finished) = crossbeam_channel::unbounded();
    spawn_at_start("body", None, move || sender.send(()).unwrap()).unwrap().join().unwrap();
    assert_eq!(finished.iter().count(), 1);
}

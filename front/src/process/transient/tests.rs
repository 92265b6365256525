//! Which errors are waited out, and for how long.

use super::*;

fn error(errno: Errno) -> io::Error {
    errno.into()
}

#[test]
fn shortages_and_interruptions_pass_and_faults_of_the_call_last() {
    let passing = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN, Errno::INTR];
    for errno in passing {
        assert!(is_transient(&error(errno)), "{errno:?}");
    }
    for errno in [Errno::ACCESS, Errno::ADDRNOTAVAIL, Errno::BADF, Errno::INVAL, Errno::NOENT] {
        assert!(!is_transient(&error(errno)), "{errno:?}");
    }
}

#[test]
fn a_call_that_fails_for_a_moment_is_made_again() {
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
fn a_lasting_error_is_told_at_once_and_a_passing_one_when_the_patience_is_over() {
    let mut calls = 0;
    let lasting = retry_at_start("a call", || -> io::Result<()> {
        calls += 1;
        Err(error(Errno::ACCESS))
    });
    assert_eq!((Errno::from_io_error(&lasting.unwrap_err()), calls), (Some(Errno::ACCESS), 1));
    let over = retry_within(Duration::ZERO, "a call", || -> io::Result<()> { Err(error(Errno::MFILE)) });
    assert_eq!(Errno::from_io_error(&over.unwrap_err()), Some(Errno::MFILE));
}

#[test]
fn a_thread_runs_its_body_once() {
    let (to, ran) = crossbeam_channel::unbounded();
    spawn_at_start("body", None, move || to.send(()).unwrap()).unwrap().join().unwrap();
    assert_eq!(ran.iter().count(), 1);
}

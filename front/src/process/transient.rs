//! Retries of system calls that fail transiently, mainly during the program's start.

use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long the start retries a call. The platform gives a front more time than this to become ready.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two attempts.
const START_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Whether the same call may succeed a moment later: it was interrupted, or the system is short of a resource.
pub fn is_transient(error: &io::Error) -> bool {
    const SHORTAGE_ERRORS: [Errno; 5] =
        [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN];
    let is_shortage = Errno::from_io_error(error).is_some_and(|errno| SHORTAGE_ERRORS.contains(&errno));
    is_shortage || error.kind() == ErrorKind::Interrupted
}

/// Repeats a call that the start needs until it succeeds, as long as its errors are transient.
///
/// # Errors
/// The last error, if it is permanent or [`START_RETRY_TIMEOUT`] has elapsed.
pub fn retry_at_start<T>(what: &str, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_within(START_RETRY_TIMEOUT, what, call)
}

/// Repeats a call until it succeeds, as long as its errors are transient and the timeout has not elapsed.
///
/// # Errors
/// The last error, if it is permanent or the timeout has elapsed.
pub fn retry_within<T>(
    timeout: Duration,
    what: &str,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + timeout;
    let mut was_logged = false;
    loop {
        let error = match call() {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        if !is_transient(&error) || Instant::now() >= deadline {
            return Err(error);
        }
        if !std::mem::replace(&mut was_logged, true) {
            eprintln!("{what}: {error}; retrying for up to {} ms", timeout.as_millis());
        }
        std::thread::sleep(START_RETRY_PAUSE);
    }
}

/// Starts a thread that the program cannot run without; retries transient failures.
///
/// # Errors
/// As [`retry_at_start`].
pub fn spawn_at_start(
    name: &str,
    stack: Option<usize>,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    // The builder consumes the closure even if starting the thread fails, so each attempt shares the body.
    let body = Arc::new(Mutex::new(Some(body)));
    retry_at_start(name, || {
        let body = body.clone();
        let run = move || {
            let body = body.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
            if let Some(body) = body {
                body();
            }
        };
        let builder = std::thread::Builder::new().name(name.into());
        let builder = stack.into_iter().fold(builder, std::thread::Builder::stack_size);
        builder.spawn(run)
    })
}

#[cfg(test)]
mod tests;

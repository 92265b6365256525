//! System calls that fail for a moment only, and the start of the program, which waits such moments out.

use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// The start tries for so long: the platform gives a front longer to be ready.
const START_PATIENCE: Duration = Duration::from_secs(8);
/// Between two tries.
const START_BACKOFF: Duration = Duration::from_millis(20);

/// Whether the same call may succeed a moment later: it was interrupted, or the system is short of something.
pub fn is_transient(error: &io::Error) -> bool {
    const SHORTAGES: [Errno; 5] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN];
    let is_shortage = Errno::from_io_error(error).is_some_and(|errno| SHORTAGES.contains(&errno));
    is_shortage || error.kind() == ErrorKind::Interrupted
}

/// Calls something that the start needs until it succeeds, as long as it fails for a moment only.
///
/// # Errors
/// The last error, if it is a lasting one or [`START_PATIENCE`] is over.
pub fn retry_at_start<T>(what: &str, call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_within(START_PATIENCE, what, call)
}

/// Calls something until it succeeds, as long as it fails for a moment only, and for so long at most.
///
/// # Errors
/// The last error, if it is a lasting one or the patience is over.
pub fn retry_within<T>(
    patience: Duration,
    what: &str,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let end = Instant::now() + patience;
    let mut was_told = false;
    loop {
        let error = match call() {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        if !is_transient(&error) || Instant::now() >= end {
            return Err(error);
        }
        if !std::mem::replace(&mut was_told, true) {
            eprintln!("{what}: {error}; trying again for {} ms", patience.as_millis());
        }
        std::thread::sleep(START_BACKOFF);
    }
}

/// Starts a thread that the program can't do without, as soon as the system lets it.
///
/// # Errors
/// As [`retry_at_start`].
pub fn spawn_at_start(
    name: &str,
    stack: Option<usize>,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    // A builder uses its body up even where no thread was started.
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

//! Accepting connections, with pauses while `accept` fails.
//!
//! While the system is short of descriptors or memory, a pending connection keeps its listener readable and `accept`
//! failing. A loop that retried at once would use a whole core or more, and one that ended would never serve again.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::process::backoff::Backoff;
use crate::process::socket_error::{remedy, Call, Remedy};

/// The first and the longest pause while no connection can be accepted.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));
/// Consecutive errors of single connections after which the loop pauses anyway.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 64;
/// How often an accept loop checks whether it has to stop.
const STOP_INTERVAL: Duration = Duration::from_millis(200);

/// The result of an attempt to accept a connection.
#[derive(Debug)]
pub enum AcceptOutcome<T> {
    Accepted(T),
    /// No connection is pending.
    Empty,
    /// No connection can be accepted now; retry after this pause.
    Pause(Duration, io::Error),
    /// The listener is unusable.
    Broken(io::Error),
}

/// Accepts connections and counts consecutive failures.
#[derive(Debug)]
pub struct AcceptPolicy {
    backoff: Backoff,
    consecutive_failures: u32,
}

impl Default for AcceptPolicy {
    fn default() -> AcceptPolicy {
        AcceptPolicy { backoff: Backoff::new(PAUSE.0, PAUSE.1), consecutive_failures: 0 }
    }
}

impl AcceptPolicy {
    /// Accepts a connection with `call`, which must not block.
    pub fn attempt<T>(&mut self, mut call: impl FnMut() -> io::Result<T>) -> AcceptOutcome<T> {
        loop {
            let error = match call() {
                Ok(accepted) => {
                    self.backoff.reset();
                    self.consecutive_failures = 0;
                    return AcceptOutcome::Accepted(accepted);
                }
                Err(error) => error,
            };
            match remedy(Call::Accept, &error) {
                Remedy::WaitUntilReady => return AcceptOutcome::Empty,
                Remedy::RetryNow if self.consecutive_failures < MAX_FAILURES_WITHOUT_PAUSE => {
                    self.consecutive_failures += 1
                }
                Remedy::RetryNow | Remedy::BackOff => {
                    self.consecutive_failures = 0;
                    return AcceptOutcome::Pause(self.backoff.pause(), error);
                }
                Remedy::DropConnection | Remedy::GiveUp => return AcceptOutcome::Broken(error),
            }
        }
    }
}

/// A listener that a dedicated thread accepts connections from.
pub trait AcceptingListener: AsFd {
    type Stream;
    /// Makes the listener nonblocking.
    ///
    /// # Errors
    /// As the system call.
    fn set_nonblocking(&self) -> io::Result<()>;
    /// Accepts one connection.
    ///
    /// # Errors
    /// As the system call.
    fn accept_stream(&self) -> io::Result<Self::Stream>;
}

impl AcceptingListener for TcpListener {
    type Stream = TcpStream;

    fn set_nonblocking(&self) -> io::Result<()> {
        TcpListener::set_nonblocking(self, true)
    }

    fn accept_stream(&self) -> io::Result<TcpStream> {
        self.accept().map(|(stream, _): (TcpStream, SocketAddr)| stream)
    }
}

impl AcceptingListener for UnixListener {
    type Stream = UnixStream;

    fn set_nonblocking(&self) -> io::Result<()> {
        UnixListener::set_nonblocking(self, true)
    }

    fn accept_stream(&self) -> io::Result<UnixStream> {
        self.accept().map(|(stream, _)| stream)
    }
}

/// Passes each connection to `handle` until `is_stopped` returns true or the listener is unusable. `name` names the
/// listener in the log.
pub fn accept_until<L: AcceptingListener>(
    name: &str,
    listener: &L,
    is_stopped: impl Fn() -> bool,
    mut handle: impl FnMut(L::Stream),
) {
    if let Err(error) = listener.set_nonblocking() {
        eprintln!("{name}: {error}; no connections will be accepted");
        return;
    }
    let mut policy = AcceptPolicy::default();
    while !is_stopped() {
        match policy.attempt(|| listener.accept_stream()) {
            // A connection that arrives after the stop only wakes up the loop.
            AcceptOutcome::Accepted(_) if is_stopped() => return,
            AcceptOutcome::Accepted(stream) => handle(stream),
            AcceptOutcome::Empty => wait_until_readable(listener),
            AcceptOutcome::Pause(pause, _) => std::thread::sleep(pause),
            AcceptOutcome::Broken(error) => {
                eprintln!("{name}: {error}; no more connections will be accepted");
                return;
            }
        }
    }
}

/// Waits until a connection is pending, for [`STOP_INTERVAL`] at the longest.
fn wait_until_readable(listener: &impl AsFd) {
    let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(STOP_INTERVAL.subsec_nanos()) };
    let started = Instant::now();
    let waited = poll(&mut [PollFd::new(listener, PollFlags::IN)], Some(&timeout));
    if waited.is_err() && started.elapsed() < PAUSE.0 {
        // Interrupted or short of memory: pause, to avoid a busy loop.
        std::thread::sleep(PAUSE.0);
    }
}

#[cfg(test)]
mod tests;

//! Accepting connections, whatever `accept` says for a while.
//!
//! While the system is short of descriptors or memory, a connection that waits keeps its listener readable and `accept` failing:
//! a loop that only tries again would take a whole core and more, and one that ends would never serve again.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::process::backoff::Backoff;
use crate::process::socket_error::{remedy, Call, Remedy};

/// Pauses while connections can't be accepted: the first, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));
/// Errors of single connections in a row after which a pause is made all the same.
const FAILURES_WITHOUT_PAUSE: u32 = 64;
/// A loop that accepts looks so often whether it is to end.
const STOP_INTERVAL: Duration = Duration::from_millis(200);

/// What became of a try to accept a connection.
#[derive(Debug)]
pub enum Attempt<T> {
    Accepted(T),
    /// Nobody waits.
    Empty,
    /// No connection can be accepted before this pause is over.
    Pause(Duration, io::Error),
    /// The listener is of no use any more.
    Broken(io::Error),
}

/// Tries to accept, and remembers how often that failed in a row.
#[derive(Debug)]
pub struct AcceptPolicy {
    backoff: Backoff,
    failures: u32,
}

impl Default for AcceptPolicy {
    fn default() -> AcceptPolicy {
        AcceptPolicy { backoff: Backoff::new(PAUSE.0, PAUSE.1), failures: 0 }
    }
}

impl AcceptPolicy {
    /// Accepts a connection with `call`, which must not block.
    pub fn attempt<T>(&mut self, mut call: impl FnMut() -> io::Result<T>) -> Attempt<T> {
        loop {
            let error = match call() {
                Ok(accepted) => {
                    self.backoff.reset();
                    self.failures = 0;
                    return Attempt::Accepted(accepted);
                }
                Err(error) => error,
            };
            match remedy(Call::Accept, &error) {
                Remedy::WaitUntilReady => return Attempt::Empty,
                Remedy::RetryNow if self.failures < FAILURES_WITHOUT_PAUSE => self.failures += 1,
                Remedy::RetryNow | Remedy::BackOff => {
                    self.failures = 0;
                    return Attempt::Pause(self.backoff.pause(), error);
                }
                Remedy::DropConnection | Remedy::GiveUp => return Attempt::Broken(error),
            }
        }
    }
}

/// A listener of this process that a thread of its own accepts from.
pub trait Incoming: AsFd {
    type Stream;
    /// # Errors
    /// As the system call.
    fn set_nonblocking(&self) -> io::Result<()>;
    /// # Errors
    /// As the system call.
    fn accept_stream(&self) -> io::Result<Self::Stream>;
}

impl Incoming for TcpListener {
    type Stream = TcpStream;

    fn set_nonblocking(&self) -> io::Result<()> {
        TcpListener::set_nonblocking(self, true)
    }

    fn accept_stream(&self) -> io::Result<TcpStream> {
        self.accept().map(|(stream, _): (TcpStream, SocketAddr)| stream)
    }
}

impl Incoming for UnixListener {
    type Stream = UnixStream;

    fn set_nonblocking(&self) -> io::Result<()> {
        UnixListener::set_nonblocking(self, true)
    }

    fn accept_stream(&self) -> io::Result<UnixStream> {
        self.accept().map(|(stream, _)| stream)
    }
}

/// Hands each connection to `take` until `is_stopped`, or the listener is of no use any more.
pub fn accept_until<L: Incoming>(
    what: &str,
    listener: &L,
    is_stopped: impl Fn() -> bool,
    mut take: impl FnMut(L::Stream),
) {
    if let Err(error) = listener.set_nonblocking() {
        eprintln!("{what}: {error}; no connection is taken");
        return;
    }
    let mut policy = AcceptPolicy::default();
    while !is_stopped() {
        match policy.attempt(|| listener.accept_stream()) {
            // A connection that comes while the loop is told to end was only to wake it.
            Attempt::Accepted(_) if is_stopped() => return,
            Attempt::Accepted(stream) => take(stream),
            Attempt::Empty => wait_until_readable(listener),
            Attempt::Pause(pause, _) => std::thread::sleep(pause),
            Attempt::Broken(error) => {
                eprintln!("{what}: {error}; no connection is taken any more");
                return;
            }
        }
    }
}

fn wait_until_readable(listener: &impl AsFd) {
    let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(STOP_INTERVAL.subsec_nanos()) };
    let begun = Instant::now();
    let waited = poll(&mut [PollFd::new(listener, PollFlags::IN)], Some(&timeout));
    if waited.is_err() && begun.elapsed() < PAUSE.0 {
        // Interrupted, or short of memory: either way not to be tried in a tight loop.
        std::thread::sleep(PAUSE.0);
    }
}

#[cfg(test)]
mod tests;

//! The listening socket of an event loop. While the system cannot accept connections, the listener is deregistered from
//! readiness events, so that the loop keeps serving the open connections.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;

use crate::process::accept::{AcceptOutcome, AcceptPolicy};

/// A listener that is registered with an event loop.
pub struct Acceptor {
    listener: TcpListener,
    token: u64,
    policy: AcceptPolicy,
    resume_at: Option<Instant>,
    is_closed: bool,
}

impl Acceptor {
    /// Registers a listener with the event loop under this token.
    ///
    /// # Errors
    /// If the listener cannot be registered.
    pub fn register(epoll: &OwnedFd, listener: TcpListener, token: u64) -> io::Result<Acceptor> {
        listener.set_nonblocking(true)?;
        epoll::add(epoll, &listener, EventData::new_u64(token), EventFlags::IN)?;
        Ok(Acceptor { listener, token, policy: AcceptPolicy::default(), resume_at: None, is_closed: false })
    }

    /// The address of the listener.
    ///
    /// # Errors
    /// As the system call.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts the next pending connection, if there is one.
    ///
    /// # Errors
    /// The reason why no connection can be accepted at the moment.
    pub fn accept(&mut self, epoll: &OwnedFd) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        if self.resume_at.is_some() {
            return Ok(None);
        }
        let listener = &self.listener;
        match self.policy.attempt(|| listener.accept()) {
            AcceptOutcome::Accepted(accepted) => Ok(Some(accepted)),
            AcceptOutcome::Empty => Ok(None),
            AcceptOutcome::Pause(pause, error) => {
                self.pause(epoll, pause);
                Err(error)
            }
            AcceptOutcome::Broken(error) => {
                self.close(epoll);
                Err(error)
            }
        }
    }

    fn pause(&mut self, epoll: &OwnedFd, pause: Duration) {
        self.resume_at = Some(Instant::now() + pause);
        if epoll::modify(epoll, &self.listener, EventData::new_u64(self.token), EventFlags::empty()).is_err()
        {
            // The listener stays readable, so the loop would spin without this pause.
            std::thread::sleep(pause);
        }
    }

    /// Resumes listening once a pause is over. Called at every turn of the loop.
    pub fn resume(&mut self, epoll: &OwnedFd) {
        let is_pause_over = self.resume_at.is_some_and(|at| at <= Instant::now());
        if is_pause_over
            && epoll::modify(epoll, &self.listener, EventData::new_u64(self.token), EventFlags::IN).is_ok()
        {
            self.resume_at = None;
        }
    }

    /// The timeout of the next poll: at most `max_wait`, less if a pause ends sooner.
    pub fn poll_timeout(&self, max_wait: Duration) -> Timespec {
        let left = self.resume_at.map(|at| at.saturating_duration_since(Instant::now()));
        let wait = left.map_or(max_wait, |left| left.min(max_wait));
        Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) }
    }

    /// Stops accepting connections. True if the listener is closed.
    pub fn close(&mut self, epoll: &OwnedFd) -> bool {
        if !self.is_closed && epoll::delete(epoll, &self.listener).is_ok() {
            self.is_closed = true;
            self.resume_at = None;
        }
        self.is_closed
    }

    /// Whether the listener accepts connections, now or after a pause.
    pub fn is_open(&self) -> bool {
        !self.is_closed
    }
}

#[cfg(test)]
mod tests;

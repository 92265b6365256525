//! The listening socket of an event loop: while no connection can be accepted it is not listened to, so that the loop goes on
//! for those that are there.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::Timespec;

use crate::process::accept::{AcceptPolicy, Attempt};

/// A listener that is registered with an event loop.
pub struct Acceptor {
    listener: TcpListener,
    number: u64,
    policy: AcceptPolicy,
    resume_at: Option<Instant>,
    is_closed: bool,
}

impl Acceptor {
    /// Registers a listener under a number of the event loop.
    ///
    /// # Errors
    /// If the system refuses it.
    pub fn register(epoll: &OwnedFd, listener: TcpListener, number: u64) -> io::Result<Acceptor> {
        listener.set_nonblocking(true)?;
        epoll::add(epoll, &listener, EventData::new_u64(number), EventFlags::IN)?;
        Ok(Acceptor { listener, number, policy: AcceptPolicy::default(), resume_at: None, is_closed: false })
    }

    /// # Errors
    /// As the system call.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The next connection, if one waits.
    ///
    /// # Errors
    /// Why none can be accepted for now.
    pub fn accept(&mut self, epoll: &OwnedFd) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        if self.resume_at.is_some() {
            return Ok(None);
        }
        let listener = &self.listener;
        match self.policy.attempt(|| listener.accept()) {
            Attempt::Accepted(accepted) => Ok(Some(accepted)),
            Attempt::Empty => Ok(None),
            Attempt::Pause(pause, error) => {
                self.pause(epoll, pause);
                Err(error)
            }
            Attempt::Broken(error) => {
                self.close(epoll);
                Err(error)
            }
        }
    }

    fn pause(&mut self, epoll: &OwnedFd, pause: Duration) {
        self.resume_at = Some(Instant::now() + pause);
        if epoll::modify(epoll, &self.listener, EventData::new_u64(self.number), EventFlags::empty()).is_err()
        {
            // It stays readable: the loop would turn without a rest.
            std::thread::sleep(pause);
        }
    }

    /// Listens again once a pause is over. To be called at each turn of the loop.
    pub fn resume(&mut self, epoll: &OwnedFd) {
        let is_over = self.resume_at.is_some_and(|at| at <= Instant::now());
        if is_over
            && epoll::modify(epoll, &self.listener, EventData::new_u64(self.number), EventFlags::IN).is_ok()
        {
            self.resume_at = None;
        }
    }

    /// How long the loop may wait, if it would wait so long otherwise.
    pub fn wait_at_most(&self, usual: Duration) -> Timespec {
        let left = self.resume_at.map(|at| at.saturating_duration_since(Instant::now()));
        let wait = left.map_or(usual, |left| left.min(usual));
        Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) }
    }

    /// Takes no connections any more; true once that is so.
    pub fn close(&mut self, epoll: &OwnedFd) -> bool {
        if !self.is_closed && epoll::delete(epoll, &self.listener).is_ok() {
            self.is_closed = true;
            self.resume_at = None;
        }
        self.is_closed
    }

    /// Whether it takes connections, now or after a pause.
    pub fn is_open(&self) -> bool {
        !self.is_closed
    }
}

#[cfg(test)]
mod tests;

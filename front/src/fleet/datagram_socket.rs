//! The fleet's socket. It receives datagrams of the other fronts, and whatever else is sent to it.
//!
//! Invariant: one call of [`FleetSocket::receive`] returns at most [`MAX_PER_SENDER`] datagrams of a sender from the
//! shared queue, and a flooding sender fills only a queue of its own ([`DatagramListener`]). Further datagrams of a sender
//! are deferred to later calls, up to a whole message: a message whose last datagrams were dropped would be sent again and
//! lose the same ones. Which senders are fronts of the fleet is decided later, by the datagram's MAC.

mod deferred;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

use self::deferred::DeferredDatagrams;
use crate::fleet_link::Waker;
use crate::process::backoff::Backoff;
use crate::process::clock;
use crate::process::datagram_counters::DatagramCounters;
use crate::process::datagram_listener::{DatagramListener, Isolation, ReleaseTimer};
use crate::process::socket_error::{remedy, Call, Remedy};

/// Maximum number of datagrams that one call reads from the shared queue.
const MAX_PER_CALL: usize = 256;
/// Maximum number of datagrams of one address in one call, so that no sender occupies the thread alone.
const MAX_PER_SENDER: usize = 64;
/// Size of the receive buffer; longer than any datagram of a front.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Pauses between failed reads: the first and the longest.
const FAILED_RECEIVE_PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(50));

/// The fleet's socket, read by one thread.
pub struct FleetSocket {
    listener: DatagramListener,
    isolation: Isolation,
    release_timer: ReleaseTimer,
    counters: Arc<DatagramCounters>,
    backoff: Backoff,
    /// After a failed read, the time until which nothing is read.
    resume_at: Option<Instant>,
    deferred: DeferredDatagrams,
    /// See [`FleetSocket::over_limit`].
    over_limit: u64,
}

impl FleetSocket {
    /// Binds the socket and registers its counters.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn bind(address: SocketAddr, counters: Arc<DatagramCounters>) -> io::Result<FleetSocket> {
        let listener = DatagramListener::bind(address)?;
        listener.shared.set_nonblocking(true)?;
        counters.watch(&listener.shared, &listener.isolated);
        Ok(FleetSocket {
            isolation: Isolation::new(listener.isolated.clone()),
            release_timer: ReleaseTimer::default(),
            listener,
            counters,
            backoff: Backoff::new(FAILED_RECEIVE_PAUSE.0, FAILED_RECEIVE_PAUSE.1),
            resume_at: None,
            deferred: DeferredDatagrams::default(),
            over_limit: 0,
        })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    /// If the system call fails.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.shared.local_addr()
    }

    /// A waker that ends [`FleetSocket::wait`].
    ///
    /// # Errors
    /// If the socket can't be duplicated.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(&self.listener.shared, self.local_addr()?)
    }

    /// Number of datagrams that were dropped because more of their sender were deferred than a message has.
    pub fn over_limit(&self) -> u64 {
        self.over_limit
    }

    /// Waits until a datagram can be read, for at most `timeout`.
    pub fn wait(&self, timeout: Duration) {
        if !self.deferred.is_empty() {
            return;
        }
        if let Some(resume_at) = self.resume_at {
            return std::thread::sleep(timeout.min(resume_at.saturating_duration_since(Instant::now())));
        }
        let sockets = self.listener.isolated.sockets_in_use().iter().chain([&self.listener.shared]);
        let mut descriptors: Vec<PollFd<'_>> =
            sockets.map(|socket| PollFd::new(socket, PollFlags::IN)).collect();
        let timeout = Timespec { tv_sec: timeout.as_secs() as _, tv_nsec: timeout.subsec_nanos().into() };
        let _ = poll(&mut descriptors, Some(&timeout));
    }

    /// Reads waiting datagrams, up to the limits of one call. An empty datagram only wakes the thread and is skipped.
    pub fn receive(&mut self) -> Vec<Vec<u8>> {
        self.release_timer.release_if_due(&self.listener.isolated, clock::steady_ms());
        let mut datagrams = Vec::new();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        let by_sender = self.deferred.release(MAX_PER_SENDER, &mut datagrams);
        self.receive_shared(&mut buffer, by_sender, &mut datagrams);
        let mut isolated = 0;
        self.listener.isolated.receive(&mut buffer, |_, bytes, _| {
            isolated += 1;
            datagrams.push(bytes.to_vec());
        });
        self.counters.isolated_received.fetch_add(isolated, Relaxed);
        datagrams
    }

    /// Reads the shared queue. `by_sender` counts the datagrams that this call returns of each sender.
    fn receive_shared(
        &mut self,
        buffer: &mut [u8],
        mut by_sender: HashMap<SocketAddr, usize>,
        datagrams: &mut Vec<Vec<u8>>,
    ) {
        if self.resume_at.is_some_and(|at| at > Instant::now()) {
            return;
        }
        self.resume_at = None;
        let now = clock::steady_ms();
        for _ in 0..MAX_PER_CALL {
            let (length, from) = match self.listener.shared.recv_from(buffer) {
                Ok(received) => received,
                Err(error) => match remedy(Call::ReceiveDatagram, &error) {
                    Remedy::RetryNow => continue,
                    Remedy::WaitUntilReady => return self.backoff.reset(),
                    Remedy::BackOff | Remedy::DropConnection | Remedy::GiveUp => return self.back_off(),
                },
            };
            if length == 0 {
                continue;
            }
            self.counters.received.fetch_add(1, Relaxed);
            let isolated = self.isolation.observe(from, now);
            self.counters.isolations.fetch_add(isolated as u64, Relaxed);
            let count = by_sender.entry(from).or_default();
            *count += 1;
            if *count <= MAX_PER_SENDER {
                datagrams.push(buffer[..length].to_vec());
            } else if !self.deferred.defer(from, &buffer[..length]) {
                self.over_limit += 1;
            }
        }
    }

    /// A socket whose reads fail stays readable: without a pause the thread would loop without waiting.
    fn back_off(&mut self) {
        self.counters.receive_failed.fetch_add(1, Relaxed);
        self.resume_at = Some(Instant::now() + self.backoff.pause());
    }

    /// Sends a datagram. One that is lost is sent again by the node that misses an answer.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let socket: &UdpSocket = &self.listener.shared;
        let counter = match socket.send_to(datagram, to) {
            Ok(_) => &self.counters.sent,
            Err(_) => &self.counters.send_failed,
        };
        counter.fetch_add(1, Relaxed);
    }
}

#[cfg(test)]
mod tests;

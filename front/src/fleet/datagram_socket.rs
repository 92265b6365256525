//! The fleet's socket: datagrams of the other fronts, and whatever else is sent there.
//!
//! Invariant: in one turn nobody has more than [`MAX_PER_SENDER`] datagrams taken, and a sender that floods fills a queue of its own
//! ([`DatagramListener`]). Who is a front of the fleet is told apart later, by signature.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::fleet_link::Waker;
use crate::process::backoff::Backoff;
use crate::process::clock;
use crate::process::datagram_counters::DatagramCounters;
use crate::process::datagram_listener::{DatagramListener, Isolation, ReleaseTimer};
use crate::process::socket_error::{remedy, Call, Remedy};

/// Most datagrams that are taken from the shared queue in one turn.
const MAX_PER_TURN: usize = 256;
/// Most datagrams of one address in one turn: nobody has the thread for itself.
const MAX_PER_SENDER: usize = 64;
/// Longer than any datagram of a front.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Pauses between reads that the system refuses.
const FAILED_RECEIVE_PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(50));

/// The fleet's socket, read by one thread.
pub struct FleetSocket {
    listener: DatagramListener,
    isolation: Isolation,
    release_timer: ReleaseTimer,
    counters: Arc<DatagramCounters>,
    backoff: Backoff,
    /// Nothing is read until then: the system has refused it.
    resume_at: Option<Instant>,
    crowded: u64,
}

impl FleetSocket {
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
            crowded: 0,
        })
    }

    /// # Errors
    /// As the system call.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.shared.local_addr()
    }

    /// Something that wakes the thread in [`FleetSocket::wait`].
    ///
    /// # Errors
    /// If the socket can't be duplicated.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(&self.listener.shared, self.local_addr()?)
    }

    /// Datagrams of one address above its part of a turn, which were not looked at.
    pub fn crowded(&self) -> u64 {
        self.crowded
    }

    /// Waits for a datagram, or for so long.
    pub fn wait(&self, timeout: Duration) {
        if let Some(resume_at) = self.resume_at {
            return std::thread::sleep(timeout.min(resume_at.saturating_duration_since(Instant::now())));
        }
        let all = self.listener.isolated.sockets_in_use().iter().chain([&self.listener.shared]);
        let mut descriptors: Vec<PollFd<'_>> = all.map(|socket| PollFd::new(socket, PollFlags::IN)).collect();
        let timeout = Timespec { tv_sec: timeout.as_secs() as _, tv_nsec: timeout.subsec_nanos().into() };
        let _ = poll(&mut descriptors, Some(&timeout));
    }

    /// What has come: a turn's part of it. An empty datagram only woke the thread, and is passed over.
    pub fn receive(&mut self) -> Vec<Vec<u8>> {
        self.release_timer.turn(&self.listener.isolated, clock::steady_ms());
        let mut datagrams = Vec::new();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        self.receive_shared(&mut buffer, &mut datagrams);
        let mut isolated = 0;
        self.listener.isolated.receive(&mut buffer, |_, bytes, _| {
            isolated += 1;
            datagrams.push(bytes.to_vec());
        });
        self.counters.isolated_received.fetch_add(isolated, Relaxed);
        datagrams
    }

    fn receive_shared(&mut self, buffer: &mut [u8], datagrams: &mut Vec<Vec<u8>>) {
        if self.resume_at.is_some_and(|at| at > Instant::now()) {
            return;
        }
        self.resume_at = None;
        let now = clock::steady_ms();
        let mut by_sender: HashMap<SocketAddr, usize> = HashMap::new();
        for _ in 0..MAX_PER_TURN {
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
            if *count > MAX_PER_SENDER {
                self.crowded += 1;
            } else {
                datagrams.push(buffer[..length].to_vec());
            }
        }
    }

    /// A socket that can't be read stays readable: without a pause the thread would turn without a rest.
    fn back_off(&mut self) {
        self.counters.receive_failed.fetch_add(1, Relaxed);
        self.resume_at = Some(Instant::now() + self.backoff.pause());
    }

    /// Sends a datagram. What is lost is sent again by whoever misses an answer.
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

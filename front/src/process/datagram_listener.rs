//! A UDP listener on which one sender cannot starve the others.
//!
//! The system keeps one queue per socket. A sender that fills it causes drops for all others, and a limit that the
//! program applies after reading comes too late for datagrams dropped before. So a sender with a large share of the
//! datagrams read is *isolated*: it gets its own socket, and with it its own queue. That socket is bound to the
//! listener's address and connected to the sender; the system prefers it to the shared socket for this sender's
//! datagrams (`udp(7)`, `connect(2)`).
//!
//! Invariant: a socket for isolated senders receives datagrams of its sender only, and nothing in its queue is lost. It
//! is always connected, except between its binding and its first connection; while unassigned it is connected to a port
//! that nobody sends from. Datagrams that arrived in that interval, or from an earlier sender, are read regardless of
//! their sender.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use elmtide::Ms;
use elmtide_ratelimit::heavy_senders::HeavySenders;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily, SocketType};

/// Maximum number of isolated senders at a time.
pub const MAX_ISOLATED: usize = 8;
/// Receive buffer of the shared socket, as far as the system allows.
const SHARED_BUFFER_BYTES: usize = 4 << 20;
/// Receive buffer of an isolated sender's socket, as far as the system allows.
const ISOLATED_BUFFER_BYTES: usize = 1 << 20;
/// An isolated sender with fewer datagrams than this per [`RELEASE_INTERVAL_MS`] moves back to the shared socket.
const MIN_DATAGRAMS_PER_INTERVAL: u64 = 64;
const RELEASE_INTERVAL_MS: Ms = 1000.0;
/// Maximum number of datagrams read from one isolated sender before the next one is read.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// The peer port of unassigned sockets. It is reserved for an obsolete service (tcpmux, RFC 1078), and only privileged
/// programs can bind it.
const UNASSIGNED_PEER_PORT: u16 = 1;
/// The pause after a failed wait.
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(5);

/// The sockets of one address.
#[derive(Debug)]
pub struct DatagramListener {
    /// Receives from all senders that are not isolated.
    pub shared: UdpSocket,
    /// The isolated senders and their sockets.
    pub isolated: Arc<IsolatedSenders>,
}

impl DatagramListener {
    /// Binds all sockets of an address; with port 0 the system chooses the port. If the system is short of sockets,
    /// fewer senders can be isolated.
    ///
    /// # Errors
    /// If the shared socket can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<DatagramListener> {
        let shared = reusable_socket(address, SHARED_BUFFER_BYTES)?;
        let address = shared.local_addr()?;
        let sockets: Vec<UdpSocket> =
            (0..MAX_ISOLATED).map_while(|_| unassigned_socket(address).ok()).collect();
        // From here on no other socket can bind the address.
        for socket in sockets.iter().chain([&shared]) {
            sockopt::set_socket_reuseaddr(socket, false)?;
        }
        Ok(DatagramListener { shared, isolated: Arc::new(IsolatedSenders::new(address, sockets)) })
    }
}

/// A socket that shares its address with other sockets of this process.
fn reusable_socket(address: SocketAddr, buffer_bytes: usize) -> io::Result<UdpSocket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = rustix::net::SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    // Best effort: the system caps the size.
    let _ = sockopt::set_socket_recv_buffer_size(&socket, buffer_bytes);
    rustix::net::bind(&socket, &address)?;
    Ok(UdpSocket::from(socket))
}

/// The peer of an unassigned socket: a port of the listener's own host that programs do not send from.
fn unassigned_peer(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), UNASSIGNED_PEER_PORT)
}

/// A socket for isolated senders that is not assigned to one yet.
fn unassigned_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = reusable_socket(address, ISOLATED_BUFFER_BYTES)?;
    socket.connect(unassigned_peer(address))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// The sender that a socket is assigned to, if any.
#[derive(Clone, Copy, Debug, Default)]
struct Assignment {
    sender: Option<SocketAddr>,
    /// Datagrams since the last check for idle senders.
    received: u64,
}

/// The senders that have their own queues.
#[derive(Debug)]
pub struct IsolatedSenders {
    address: SocketAddr,
    sockets: Vec<UdpSocket>,
    /// One per socket, in the order of `sockets`.
    assignments: Mutex<Vec<Assignment>>,
    /// Whether a queue is assigned or may still hold datagrams. Set and reset with the assignments locked.
    in_use: AtomicBool,
}

impl IsolatedSenders {
    fn new(address: SocketAddr, sockets: Vec<UdpSocket>) -> IsolatedSenders {
        let assignments = Mutex::new(vec![Assignment::default(); sockets.len()]);
        // Starts as true: datagrams that arrived between a socket's binding and its first connection are in its queue.
        IsolatedSenders { address, sockets, assignments, in_use: AtomicBool::new(true) }
    }

    fn assignments(&self) -> MutexGuard<'_, Vec<Assignment>> {
        self.assignments.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// All sockets for isolated senders, for counting the drops at their queues.
    pub fn sockets(&self) -> &[UdpSocket] {
        &self.sockets
    }

    /// Gives a sender its own queue. Returns false if it already has one, or if no queue is free or can be connected.
    pub fn isolate(&self, sender: SocketAddr) -> bool {
        let mut assignments = self.assignments();
        if assignments.iter().any(|a| a.sender == Some(sender)) {
            return false;
        }
        let Some(free) = assignments.iter().position(|a| a.sender.is_none()) else { return false };
        // If connecting fails, the sender is retried when it is found to be heavy again.
        if self.sockets[free].connect(sender).is_err() {
            return false;
        }
        assignments[free] = Assignment { sender: Some(sender), received: 0 };
        self.in_use.store(true, Relaxed);
        true
    }

    /// Waits until one of the queues has a datagram, or until the timeout.
    pub fn wait(&self, timeout: Duration) {
        let mut descriptors: Vec<PollFd<'_>> =
            self.sockets.iter().map(|socket| PollFd::new(socket, PollFlags::IN)).collect();
        let timeout = Timespec { tv_sec: timeout.as_secs() as _, tv_nsec: timeout.subsec_nanos().into() };
        if let Err(error) = poll(&mut descriptors, Some(&timeout)) {
            if error != Errno::INTR {
                // A call that fails at once must not release_if_due the caller's loop into a busy loop.
                std::thread::sleep(FAILED_WAIT_PAUSE);
            }
        }
    }

    /// The sockets that may have datagrams: all or none.
    pub fn sockets_in_use(&self) -> &[UdpSocket] {
        if self.in_use.load(Relaxed) {
            &self.sockets
        } else {
            &[]
        }
    }

    /// Passes queued datagrams to `handle`, a bounded number per queue, each with its sender and with the socket to
    /// answer from.
    pub fn receive(&self, buffer: &mut [u8], mut handle: impl FnMut(&UdpSocket, &[u8], SocketAddr)) {
        // A thread that calls this often must not pay for unused queues.
        if !self.in_use.load(Relaxed) {
            return;
        }
        let mut total = 0;
        for (index, socket) in self.sockets.iter().enumerate() {
            let mut received = 0;
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                match socket.recv_from(buffer) {
                    Ok((length, from)) => {
                        received += 1;
                        handle(socket, &buffer[..length], from);
                    }
                    // The sender has closed its port; datagrams it sent before may still be queued.
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
            }
            if received > 0 {
                self.assignments()[index].received += received;
            }
            total += received;
        }
        let assignments = self.assignments();
        if total == 0 && assignments.iter().all(|a| a.sender.is_none()) {
            self.in_use.store(false, Relaxed);
        }
    }

    /// Releases the queues of idle senders. Must be called once per [`RELEASE_INTERVAL_MS`].
    fn release_idle(&self) {
        let mut assignments = self.assignments();
        for (assignment, socket) in assignments.iter_mut().zip(&self.sockets) {
            let received = std::mem::take(&mut assignment.received);
            let is_idle = assignment.sender.is_some() && received < MIN_DATAGRAMS_PER_INTERVAL;
            if is_idle && socket.connect(unassigned_peer(self.address)).is_ok() {
                assignment.sender = None;
            }
        }
    }
}

/// Schedules the release of idle senders' queues.
#[derive(Debug, Default)]
pub struct ReleaseTimer {
    last_release: Ms,
}

impl ReleaseTimer {
    /// Releases the queues of idle senders if it is due. Returns true once per [`RELEASE_INTERVAL_MS`].
    pub fn release_if_due(&mut self, senders: &IsolatedSenders, now: Ms) -> bool {
        if now - self.last_release < RELEASE_INTERVAL_MS {
            return false;
        }
        self.last_release = now;
        senders.release_idle();
        true
    }
}

/// Watches what is read from a shared socket and isolates heavy senders.
#[derive(Debug)]
pub struct Isolation {
    heavy: HeavySenders,
    senders: Arc<IsolatedSenders>,
}

impl Isolation {
    /// Creates the detector for one thread that reads the shared socket.
    pub fn new(senders: Arc<IsolatedSenders>) -> Isolation {
        Isolation { heavy: HeavySenders::default(), senders }
    }

    /// Counts a datagram of the shared socket and returns the number of senders isolated because of it.
    pub fn observe(&mut self, sender: SocketAddr, now: Ms) -> usize {
        let heavy = self.heavy.observe(sender, now);
        heavy.into_iter().filter(|sender| self.senders.isolate(*sender)).count()
    }
}

#[cfg(test)]
mod tests;

//! A UDP listener on which one sender can't crowd out the others.
//!
//! The system keeps one queue for each socket. Whoever fills it takes the room of everybody else, and whatever the program
//! decides about a datagram after reading it comes too late for those that were dropped before. So a sender that brings a large
//! part of what is read is *isolated*: it gets a socket, and with that a queue, of its own. That socket is bound to the
//! listener's address and connected to the sender; the system prefers it to the shared socket for this sender's datagrams
//! (`udp(7)`, `connect(2)`).
//!
//! Invariant: a socket for isolated senders takes the datagrams of its sender only, and nothing that lies in its queue is lost. It is
//! connected at any moment but for that between its binding and its first connection: at rest to a port from which nobody sends.
//! What came to it in that moment, or from an earlier sender, is read whoever sent it.

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

/// Senders that can be isolated at a time.
pub const MAX_ISOLATED: usize = 8;
/// Bytes of the shared socket's queue, as far as the system allows.
const SHARED_QUEUE_BYTES: usize = 4 << 20;
/// Bytes of an isolated sender's queue.
const ISOLATED_QUEUE_BYTES: usize = 1 << 20;
/// An isolated sender that brings fewer datagrams than this in [`RELEASE_INTERVAL_MS`] is served by the shared socket again.
const RELEASE_BELOW: u64 = 64;
const RELEASE_INTERVAL_MS: Ms = 1000.0;
/// Datagrams of one isolated sender that are read before the next one has its turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Reserved for a service of old (tcpmux, RFC 1078), and bound by privileged programs only.
const RESTING_PORT: u16 = 1;
/// The pause after a wait that the system refuses.
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(5);

/// The sockets of one address.
#[derive(Debug)]
pub struct DatagramListener {
    /// Who is not isolated.
    pub shared: UdpSocket,
    /// Who is.
    pub isolated: Arc<IsolatedSenders>,
}

impl DatagramListener {
    /// Binds all sockets of an address; with port 0 to one that the system chooses. Where the system is short of sockets there are
    /// fewer to isolate senders with.
    ///
    /// # Errors
    /// If the shared socket can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<DatagramListener> {
        let shared = reusable_socket(address, SHARED_QUEUE_BYTES)?;
        let address = shared.local_addr()?;
        let sockets: Vec<UdpSocket> = (0..MAX_ISOLATED).map_while(|_| resting_socket(address).ok()).collect();
        // From here on the address is ours alone again.
        for socket in sockets.iter().chain([&shared]) {
            sockopt::set_socket_reuseaddr(socket, false)?;
        }
        Ok(DatagramListener { shared, isolated: Arc::new(IsolatedSenders::new(address, sockets)) })
    }
}

/// A socket that shares its address with others of this process.
fn reusable_socket(address: SocketAddr, queue_bytes: usize) -> io::Result<UdpSocket> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = rustix::net::SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::DGRAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    // The system gives as much of it as it allows.
    let _ = sockopt::set_socket_recv_buffer_size(&socket, queue_bytes);
    rustix::net::bind(&socket, &address)?;
    Ok(UdpSocket::from(socket))
}

/// Who a socket at rest is connected to: a port of the listener's own host that programs don't send from.
fn resting_peer(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), RESTING_PORT)
}

fn resting_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = reusable_socket(address, ISOLATED_QUEUE_BYTES)?;
    socket.connect(resting_peer(address))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// What a socket is used for.
#[derive(Clone, Copy, Debug, Default)]
struct Assignment {
    sender: Option<SocketAddr>,
    /// Datagrams since the last look for idle senders.
    received: u64,
}

/// The senders that have a queue of their own.
#[derive(Debug)]
pub struct IsolatedSenders {
    address: SocketAddr,
    sockets: Vec<UdpSocket>,
    /// One for each socket.
    assignments: Mutex<Vec<Assignment>>,
    /// Some queue is in use, or may still hold something. Set and reset with the assignments locked.
    in_use: AtomicBool,
}

impl IsolatedSenders {
    fn new(address: SocketAddr, sockets: Vec<UdpSocket>) -> IsolatedSenders {
        let assignments = Mutex::new(vec![Assignment::default(); sockets.len()]);
        // What came between a socket's binding and its first connection lies in its queue.
        IsolatedSenders { address, sockets, assignments, in_use: AtomicBool::new(true) }
    }

    fn assignments(&self) -> MutexGuard<'_, Vec<Assignment>> {
        self.assignments.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The sockets, whose queues may drop datagrams.
    pub fn sockets(&self) -> &[UdpSocket] {
        &self.sockets
    }

    /// Gives a sender a queue of its own; false if it has one, or there is none left.
    pub fn isolate(&self, sender: SocketAddr) -> bool {
        let mut assignments = self.assignments();
        if assignments.iter().any(|a| a.sender == Some(sender)) {
            return false;
        }
        let Some(free) = assignments.iter().position(|a| a.sender.is_none()) else { return false };
        // A sender that can't be connected to now is tried again when it is found to be heavy again.
        if self.sockets[free].connect(sender).is_err() {
            return false;
        }
        assignments[free] = Assignment { sender: Some(sender), received: 0 };
        self.in_use.store(true, Relaxed);
        true
    }

    /// Waits until one of the queues has something, or for so long.
    pub fn wait(&self, timeout: Duration) {
        let mut descriptors: Vec<PollFd<'_>> =
            self.sockets.iter().map(|socket| PollFd::new(socket, PollFlags::IN)).collect();
        let timeout = Timespec { tv_sec: timeout.as_secs() as _, tv_nsec: timeout.subsec_nanos().into() };
        if let Err(error) = poll(&mut descriptors, Some(&timeout)) {
            if error != Errno::INTR {
                // A call that fails at once must not turn the loop into one without a rest.
                std::thread::sleep(FAILED_WAIT_PAUSE);
            }
        }
    }

    /// The sockets that may have something.
    pub fn sockets_in_use(&self) -> &[UdpSocket] {
        if self.in_use.load(Relaxed) {
            &self.sockets
        } else {
            &[]
        }
    }

    /// Hands on what lies in the queues, a bounded number of datagrams of each, with the socket that answers go out by.
    pub fn receive(&self, buffer: &mut [u8], mut take: impl FnMut(&UdpSocket, &[u8], SocketAddr)) {
        // A thread that turns often must not pay for queues that nobody uses.
        if !self.in_use.load(Relaxed) {
            return;
        }
        let mut all = 0;
        for (place, socket) in self.sockets.iter().enumerate() {
            let mut received = 0;
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                match socket.recv_from(buffer) {
                    Ok((length, from)) => {
                        received += 1;
                        take(socket, &buffer[..length], from);
                    }
                    // The sender has closed its port: it may have sent before.
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
            }
            if received > 0 {
                self.assignments()[place].received += received;
            }
            all += received;
        }
        let assignments = self.assignments();
        if all == 0 && assignments.iter().all(|a| a.sender.is_none()) {
            self.in_use.store(false, Relaxed);
        }
    }

    /// Takes the queues of those back that hardly use them. To be called each [`RELEASE_INTERVAL_MS`].
    fn release_idle(&self) {
        let mut assignments = self.assignments();
        for (assignment, socket) in assignments.iter_mut().zip(&self.sockets) {
            let received = std::mem::take(&mut assignment.received);
            let is_idle = assignment.sender.is_some() && received < RELEASE_BELOW;
            if is_idle && socket.connect(resting_peer(self.address)).is_ok() {
                assignment.sender = None;
            }
        }
    }
}

/// When idle senders are looked for next.
#[derive(Debug, Default)]
pub struct ReleaseTimer {
    last: Ms,
}

impl ReleaseTimer {
    /// Takes the queues of idle senders back where it is time to. True once in each [`RELEASE_INTERVAL_MS`].
    pub fn turn(&mut self, senders: &IsolatedSenders, now: Ms) -> bool {
        if now - self.last < RELEASE_INTERVAL_MS {
            return false;
        }
        self.last = now;
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
    /// For one thread that reads the shared socket.
    pub fn new(senders: Arc<IsolatedSenders>) -> Isolation {
        Isolation { heavy: HeavySenders::default(), senders }
    }

    /// Counts a datagram of the shared socket; how many senders have been isolated for it.
    pub fn observe(&mut self, sender: SocketAddr, now: Ms) -> usize {
        let heavy = self.heavy.observe(sender, now);
        heavy.into_iter().filter(|sender| self.senders.isolate(*sender)).count()
    }
}

#[cfg(test)]
mod tests;

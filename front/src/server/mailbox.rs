//! Where the engine leaves answers for the thread that has all of the platform's clients.

use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;

use crossbeam_channel::{unbounded, Receiver, Sender};
use rustix::event::{eventfd, EventfdFlags};

use crate::exchange::Answer;

/// The final answer to a request, on its way to its connection.
pub struct Delivery {
    pub connection: u64,
    /// The web server's number for the request, which it may use again, and ours, which is never the same.
    pub slot: u16,
    pub serial: u64,
    pub answer: Answer,
}

/// Leaving a delivery never blocks; there are no more of them than requests may be open.
#[derive(Clone)]
pub struct Mailbox {
    deliveries: Sender<Delivery>,
    bell: Arc<Bell>,
}

struct Bell {
    fd: OwnedFd,
    rung: AtomicBool,
}

impl Mailbox {
    pub fn new() -> std::io::Result<(Mailbox, Receiver<Delivery>)> {
        let fd = eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?;
        let (deliveries, left) = unbounded();
        Ok((Mailbox { deliveries, bell: Arc::new(Bell { fd, rung: AtomicBool::new(false) }) }, left))
    }

    /// What becomes readable when something is left.
    pub fn bell(&self) -> &OwnedFd {
        &self.bell.fd
    }

    pub fn post(&self, delivery: Delivery) {
        if self.deliveries.send(delivery).is_ok() {
            self.wake();
        }
    }

    /// Has the thread look at what else has changed.
    pub fn wake(&self) {
        if !self.bell.rung.swap(true, SeqCst) {
            // It can fail only where it is rung already.
            let _ = rustix::io::write(&self.bell.fd, &1u64.to_ne_bytes());
        }
    }

    /// The bell has been heard.
    pub fn heard(&self) {
        let _ = rustix::io::read(&self.bell.fd, &mut [0; 8][..]);
        self.bell.rung.store(false, SeqCst);
    }
}

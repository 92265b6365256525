//! The queue through which the engine delivers answers to the thread that serves the platform clients.

use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;

use crossbeam_channel::{unbounded, Receiver, Sender};
use rustix::event::{eventfd, EventfdFlags};

use crate::exchange::Answer;

/// The final answer to a request, addressed to its connection.
pub struct Delivery {
    pub connection: u64,
    /// The FastCGI request id, which the web server may reuse, and our serial, which is never reused.
    pub fcgi_id: u16,
    pub serial: u64,
    pub answer: Answer,
}

/// The sending side of the queue. Posting never blocks; the queue is bounded by the number of open requests.
#[derive(Clone)]
pub struct Mailbox {
    deliveries: Sender<Delivery>,
    wake_signal: Arc<WakeSignal>,
}

/// A wake-up signal, written at most once until it is reset.
struct WakeSignal {
    fd: OwnedFd,
    is_signalled: AtomicBool,
}

impl Mailbox {
    /// Creates a mailbox and its receiving end.
    pub fn new() -> std::io::Result<(Mailbox, Receiver<Delivery>)> {
        let fd = eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?;
        let (deliveries, receiver) = unbounded();
        Ok((
            Mailbox {
                deliveries,
                wake_signal: Arc::new(WakeSignal { fd, is_signalled: AtomicBool::new(false) }),
            },
            receiver,
        ))
    }

    /// The descriptor that becomes readable when there is something to receive.
    pub fn wake_signal(&self) -> &OwnedFd {
        &self.wake_signal.fd
    }

    /// Queues a delivery and wakes the receiving thread.
    pub fn post(&self, delivery: Delivery) {
        if self.deliveries.send(delivery).is_ok() {
            self.wake();
        }
    }

    /// Wakes the receiving thread, also for changes other than deliveries.
    pub fn wake(&self) {
        if !self.wake_signal.is_signalled.swap(true, SeqCst) {
            // It fails only if the descriptor is signalled already.
            let _ = rustix::io::write(&self.wake_signal.fd, &1u64.to_ne_bytes());
        }
    }

    /// Resets the wake-up signal, before the queue is read.
    pub fn reset_wake_signal(&self) {
        let _ = rustix::io::read(&self.wake_signal.fd, &mut [0; 8][..]);
        self.wake_signal.is_signalled.store(false, SeqCst);
    }
}

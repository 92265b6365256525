//! The queue through which the engine delivers answers to the thread that serves the platform clients.

use std::collections::BTreeSet;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use crossbeam_channel::{unbounded, Receiver, Sender};
use rustix::event::{eventfd, EventfdFlags};

use crate::exchange::Answer;

/// The final answer to a request, addressed to its connection.
pub struct Delivery {
    pub connection: u64,
    /// The FastCGI request id, which the web server may reuse, and our serial, which is never reused.
    pub fcgi_id: u16,
    pub serial: u64,
    /// A repetition of the request does no harm whatever became of it.
    pub may_be_repeated: bool,
    pub answer: Answer,
}

/// The requests of one connection that the engine holds, answered or given up by its client.
#[derive(Clone, Debug)]
pub struct EngineSlots(Arc<SlotState>);

struct SlotState {
    connection: u64,
    mailbox: Mailbox,
    used: AtomicUsize,
    /// The connection is not handled until a slot is free.
    is_awaited: AtomicBool,
}

impl std::fmt::Debug for SlotState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SlotState({} used)", self.used.load(SeqCst))
    }
}

impl EngineSlots {
    /// The slots of a connection, all free.
    pub fn new(connection: u64, mailbox: Mailbox) -> EngineSlots {
        let (used, is_awaited) = (AtomicUsize::new(0), AtomicBool::new(false));
        EngineSlots(Arc::new(SlotState { connection, mailbox, used, is_awaited }))
    }

    /// Takes a slot, which is free again once the engine has answered or discarded the request.
    pub fn take(&self) -> EngineSlot {
        self.0.used.fetch_add(1, SeqCst);
        EngineSlot(self.0.clone())
    }

    /// Whether fewer than `limit` are used. If not, the mailbox tells when one is free.
    pub fn has_free(&self, limit: usize) -> bool {
        if self.0.used.load(SeqCst) < limit {
            return true;
        }
        self.0.is_awaited.store(true, SeqCst);
        // One may have become free before it was known that it is awaited.
        self.0.used.load(SeqCst) < limit
    }
}

/// The slot of one request.
#[derive(Debug)]
pub struct EngineSlot(Arc<SlotState>);

impl Drop for EngineSlot {
    fn drop(&mut self) {
        self.0.used.fetch_sub(1, SeqCst);
        if self.0.is_awaited.swap(false, SeqCst) {
            self.0.mailbox.resume(self.0.connection);
        }
    }
}

/// The sending side of the queue. Posting never blocks; the queue is bounded by the number of open requests and by bytes.
#[derive(Clone)]
pub struct Mailbox {
    deliveries: Sender<Delivery>,
    /// Bytes of the answers that wait to be received, of those that wait for clients, and the bound of their sum.
    answer_bytes: Arc<AtomicUsize>,
    output_bytes: Arc<AtomicUsize>,
    max_answer_bytes: usize,
    /// Connections that waited for a slot and have one.
    resumed: Arc<Mutex<BTreeSet<u64>>>,
    wake_signal: Arc<WakeSignal>,
}

/// A wake-up signal, written at most once until it is reset.
struct WakeSignal {
    fd: OwnedFd,
    is_signalled: AtomicBool,
}

impl Mailbox {
    /// Creates a mailbox, for at most so many bytes of answers, and its receiving end.
    pub fn new(max_answer_bytes: usize) -> std::io::Result<(Mailbox, Receiver<Delivery>)> {
        let fd = eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?;
        let (deliveries, receiver) = unbounded();
        Ok((
            Mailbox {
                deliveries,
                answer_bytes: Arc::default(),
                output_bytes: Arc::default(),
                max_answer_bytes,
                resumed: Arc::default(),
                wake_signal: Arc::new(WakeSignal { fd, is_signalled: AtomicBool::new(false) }),
            },
            receiver,
        ))
    }

    /// The descriptor that becomes readable when there is something to receive.
    pub fn wake_signal(&self) -> &OwnedFd {
        &self.wake_signal.fd
    }

    /// Queues a delivery and wakes the receiving thread. If the answers that wait take too much memory, since the thread
    /// can't keep up, this one is given up; false then.
    pub fn post(&self, mut delivery: Delivery) -> bool {
        let bytes = delivery.answer.body_bytes();
        let waiting = self.answer_bytes.fetch_add(bytes, SeqCst);
        // What comes while nothing else waits to be received is let through: its client may well read it.
        let is_kept = bytes == 0
            || waiting == 0
            || waiting + self.output_bytes.load(SeqCst) + bytes <= self.max_answer_bytes;
        if !is_kept {
            self.answer_bytes.fetch_sub(bytes, SeqCst);
            delivery.answer = Answer::given_up(delivery.may_be_repeated);
        }
        if self.deliveries.send(delivery).is_ok() {
            self.wake();
        }
        is_kept
    }

    /// So many bytes of answers wait for clients now.
    pub fn record_output(&self, bytes: usize) {
        self.output_bytes.store(bytes, SeqCst);
    }

    /// A delivery has been received.
    pub fn record_received(&self, delivery: &Delivery) {
        self.answer_bytes.fetch_sub(delivery.answer.body_bytes(), SeqCst);
    }

    /// Has the receiving thread go on with a connection.
    fn resume(&self, connection: u64) {
        self.resumed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).insert(connection);
        self.wake();
    }

    /// The connections to go on with.
    pub fn take_resumed(&self) -> BTreeSet<u64> {
        std::mem::take(&mut self.resumed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
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

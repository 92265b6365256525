//! What becomes of the datagrams of a UDP listener, from the system's queue to the answer.
//!
//! Every datagram that comes is in exactly one of: dropped by the system (shared or isolated), received. The counters tell where
//! one was lost: dropped before it was read, judged by a limit (counted by whoever judges), answered, or not sent.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters of all listeners of one kind.
#[derive(Debug, Default)]
pub struct DatagramCounters {
    /// Read from sockets that many senders share.
    pub received: AtomicU64,
    /// Read from the queues of isolated senders.
    pub isolated_received: AtomicU64,
    /// Reads that failed, but for time-outs and interruptions.
    pub receive_failed: AtomicU64,
    /// Answers handed to the system.
    pub sent: AtomicU64,
    /// Answers that the system did not take.
    pub send_failed: AtomicU64,
    /// Dropped by the system before they were read, for want of room in a shared queue.
    pub dropped_by_system: AtomicU64,
    /// The same of the queues of isolated senders.
    pub isolated_dropped_by_system: AtomicU64,
    /// How often a sender was given a queue of its own.
    pub isolations: AtomicU64,
}

impl DatagramCounters {
    /// Names and values, for whoever shows them.
    pub fn named(&self) -> [(&'static str, u64); 8] {
        [
            ("received", &self.received),
            ("isolated_received", &self.isolated_received),
            ("receive_failed", &self.receive_failed),
            ("sent", &self.sent),
            ("send_failed", &self.send_failed),
            ("dropped_by_system", &self.dropped_by_system),
            ("isolated_dropped_by_system", &self.isolated_dropped_by_system),
            ("isolations", &self.isolations),
        ]
        .map(|(name, count)| (name, count.load(Relaxed)))
    }
}

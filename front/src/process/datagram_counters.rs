//! What becomes of the datagrams of a UDP listener, from the system's queue to the answer.
//!
//! Every datagram that comes is in exactly one of: dropped by the system (shared or isolated), received. The counters tell where
//! one was lost: dropped before it was read, judged by a limit (counted by whoever judges), answered, or not sent.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, Weak};

use crate::process::datagram_listener::IsolatedSenders;
use crate::process::system_drops::SystemDrops;

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
    watched: Mutex<Vec<WatchedListener>>,
}

/// The queues of one listener, for as long as it is there.
#[derive(Debug)]
struct WatchedListener {
    of_shared: SystemDrops,
    of_isolated: SystemDrops,
    senders: Weak<IsolatedSenders>,
}

impl DatagramCounters {
    /// Counts the system's drops at these sockets from now on.
    pub fn watch(&self, shared: &UdpSocket, isolated: &Arc<IsolatedSenders>) {
        let watched = WatchedListener {
            of_shared: SystemDrops::of([shared]),
            of_isolated: SystemDrops::of(isolated.sockets()),
            senders: Arc::downgrade(isolated),
        };
        self.watched.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(watched);
    }

    /// Brings the drops up to date; how many are new at shared queues. The system's table costs time for each socket of the
    /// machine, so this is for whoever looks at the counters, and for a thread that sees a flood.
    pub fn refresh_drops(&self) -> u64 {
        let mut watched = self.watched.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        watched.retain(|listener| listener.senders.strong_count() > 0);
        let mut new = 0;
        for listener in watched.iter_mut() {
            new += listener.of_shared.take_new();
            self.isolated_dropped_by_system.fetch_add(listener.of_isolated.take_new(), Relaxed);
        }
        self.dropped_by_system.fetch_add(new, Relaxed);
        new
    }

    /// Names and values by now, for whoever shows them.
    pub fn named(&self) -> [(&'static str, u64); 8] {
        self.refresh_drops();
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

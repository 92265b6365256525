//! Counters of a UDP listener's datagrams, from the system's queue to the answer.
//!
//! Every datagram that arrives is counted either as dropped by the system (shared or isolated) or as received. The
//! counters show what happened to it: dropped before it was read, rejected by a limit (counted where the limit is
//! applied), answered, or not sent.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, Weak};

use crate::process::datagram_listener::IsolatedSenders;
use crate::process::system_drops::SystemDrops;

/// Datagram counters of all listeners of one kind.
#[derive(Debug, Default)]
pub struct DatagramCounters {
    /// Datagrams read from the shared sockets.
    pub received: AtomicU64,
    /// Datagrams read from the queues of isolated senders.
    pub isolated_received: AtomicU64,
    /// Failed reads, except for timeouts and interruptions.
    pub receive_failed: AtomicU64,
    /// Answers handed to the system.
    pub sent: AtomicU64,
    /// Answers that the system did not accept.
    pub send_failed: AtomicU64,
    /// Datagrams that the system dropped before they were read because a shared queue was full.
    pub dropped_by_system: AtomicU64,
    /// The same for the queues of isolated senders.
    pub isolated_dropped_by_system: AtomicU64,
    /// How many times a sender was given its own queue.
    pub isolations: AtomicU64,
    watched: Mutex<Vec<WatchedListener>>,
}

/// The queues of one listener, while it exists.
#[derive(Debug)]
struct WatchedListener {
    shared_drops: SystemDrops,
    isolated_drops: SystemDrops,
    senders: Weak<IsolatedSenders>,
}

impl DatagramCounters {
    /// Starts counting the system's drops at these sockets.
    pub fn watch(&self, shared: &UdpSocket, isolated: &Arc<IsolatedSenders>) {
        let watched = WatchedListener {
            shared_drops: SystemDrops::for_sockets([shared]),
            isolated_drops: SystemDrops::for_sockets(isolated.sockets()),
            senders: Arc::downgrade(isolated),
        };
        self.watched.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(watched);
    }

    /// Updates the drop counters and returns the number of new drops at shared queues. The cost grows with the number
    /// of the machine's UDP sockets, so call it only when the counters are shown, or from a thread that sees a flood.
    pub fn refresh_drops(&self) -> u64 {
        let mut watched = self.watched.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        watched.retain(|listener| listener.senders.strong_count() > 0);
        let mut new = 0;
        for listener in watched.iter_mut() {
            new += listener.shared_drops.take_new();
            self.isolated_dropped_by_system.fetch_add(listener.isolated_drops.take_new(), Relaxed);
        }
        self.dropped_by_system.fetch_add(new, Relaxed);
        new
    }

    /// Names and current values, for display.
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

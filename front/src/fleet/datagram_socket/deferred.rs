//! Datagrams that are kept for a later call, because their sender has had its part of this one.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use elmtide_fleet::datagram::MAX_DATAGRAMS_PER_MESSAGE;

/// Maximum number of deferred datagrams of all senders together, so that memory is bounded whoever sends.
pub(super) const MAX_DEFERRED: usize = 2 * MAX_DATAGRAMS_PER_MESSAGE;

/// The deferred datagrams of each sender, in the order in which they arrived.
#[derive(Debug, Default)]
pub(super) struct DeferredDatagrams {
    by_sender: HashMap<SocketAddr, VecDeque<Vec<u8>>>,
    count: usize,
}

impl DeferredDatagrams {
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Keeps a datagram. Returns false if it is dropped, because a whole message of its sender is kept already, or as many
    /// datagrams as there is memory for.
    pub(super) fn defer(&mut self, from: SocketAddr, datagram: &[u8]) -> bool {
        let queue = self.by_sender.entry(from).or_default();
        if queue.len() >= MAX_DATAGRAMS_PER_MESSAGE || self.count >= MAX_DEFERRED {
            return false;
        }
        self.count += 1;
        queue.push_back(datagram.to_vec());
        true
    }

    /// Moves up to `limit` datagrams of each sender to `datagrams`. Returns how many of each sender; for one that has
    /// more, at least `limit`, so that none of its later datagrams overtakes them.
    pub(super) fn release(
        &mut self,
        limit: usize,
        datagrams: &mut Vec<Vec<u8>>,
    ) -> HashMap<SocketAddr, usize> {
        let mut released = HashMap::new();
        for (from, queue) in &mut self.by_sender {
            let count = queue.len().min(limit);
            datagrams.extend(queue.drain(..count));
            self.count -= count;
            released.insert(*from, count);
        }
        self.by_sender.retain(|_, queue| !queue.is_empty());
        released
    }
}

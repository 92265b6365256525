//! Datagrams that are kept for a later call, because their sender has had its part of this one.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use elmtide_fleet::datagram::MAX_DATAGRAMS_PER_MESSAGE;

/// Maximum number of senders with deferred datagrams, so that memory is bounded whoever sends.
pub(super) const MAX_SENDERS: usize = 8;

/// The deferred datagrams of each sender, in the order in which they arrived.
#[derive(Debug, Default)]
pub(super) struct DeferredDatagrams(HashMap<SocketAddr, VecDeque<Vec<u8>>>);

impl DeferredDatagrams {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Keeps a datagram. Returns false if it is dropped, because a whole message of its sender is kept already or too many
    /// senders have deferred datagrams.
    pub(super) fn defer(&mut self, from: SocketAddr, datagram: &[u8]) -> bool {
        if self.0.len() >= MAX_SENDERS && !self.0.contains_key(&from) {
            return false;
        }
        let queue = self.0.entry(from).or_default();
        if queue.len() >= MAX_DATAGRAMS_PER_MESSAGE {
            return false;
        }
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
        for (from, queue) in &mut self.0 {
            let count = queue.len().min(limit);
            datagrams.extend(queue.drain(..count));
            released.insert(*from, count);
        }
        self.0.retain(|_, queue| !queue.is_empty());
        released
    }
}

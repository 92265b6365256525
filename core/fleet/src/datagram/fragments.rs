//! Reassembly of one message from its fragments.

use serde::{Deserialize, Serialize};

/// Which fragment of which message a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Fragment {
    /// Number of the message within the sender's incarnation.
    pub message: u32,
    /// Position of this fragment within the message, from 0.
    pub index: u16,
    /// Number of fragments of the message.
    pub count: u16,
}

impl Fragment {
    /// Whether the index is in range, and the number of fragments is at most the maximum.
    pub(super) fn is_valid(&self, max_fragments: usize) -> bool {
        self.index < self.count && usize::from(self.count) <= max_fragments
    }
}

/// A message of which some fragments have arrived.
#[derive(Debug)]
pub(super) struct Reassembly {
    message: u32,
    /// The payload of each fragment; `None` until it arrives.
    payloads: Vec<Option<Vec<u8>>>,
    bytes: usize,
}

impl Reassembly {
    pub(super) fn new(first: Fragment) -> Reassembly {
        Reassembly { message: first.message, payloads: vec![None; usize::from(first.count)], bytes: 0 }
    }

    /// Whether the fragment belongs to this message.
    pub(super) fn matches(&self, fragment: Fragment) -> bool {
        self.message == fragment.message && self.payloads.len() == usize::from(fragment.count)
    }

    /// Total size of the payloads that have been added, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a fragment's payload. A repeated fragment is ignored.
    pub(super) fn add(&mut self, fragment: Fragment, payload: &[u8]) {
        let Some(slot) = self.payloads.get_mut(usize::from(fragment.index)) else { return };
        if slot.is_none() {
            *slot = Some(payload.to_vec());
            self.bytes += payload.len();
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.payloads.iter().all(Option::is_some)
    }

    pub(super) fn into_message(self) -> Vec<u8> {
        self.payloads.into_iter().flatten().flatten().collect()
    }
}

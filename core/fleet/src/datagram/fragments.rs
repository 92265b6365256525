//! Reassembly of one message from its fragments.

use serde::{Deserialize, Serialize};

/// Which part of which message a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Fragment {
    /// Number of the message within the sender's incarnation.
    pub message: u32,
    pub index: u16,
    pub count: u16,
}

impl Fragment {
    pub(super) fn is_valid(&self, max_fragments: usize) -> bool {
        self.index < self.count && usize::from(self.count) <= max_fragments
    }
}

#[derive(Debug)]
pub(super) struct Reassembly {
    message: u32,
    parts: Vec<Option<Vec<u8>>>,
    bytes: usize,
}

impl Reassembly {
    pub(super) fn new(first: Fragment) -> Reassembly {
        Reassembly { message: first.message, parts: vec![None; usize::from(first.count)], bytes: 0 }
    }

    pub(super) fn is_of(&self, fragment: Fragment) -> bool {
        self.message == fragment.message && self.parts.len() == usize::from(fragment.count)
    }

    /// Bytes that have been added.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a part; one that is there already changes nothing.
    pub(super) fn add(&mut self, fragment: Fragment, part: &[u8]) {
        let Some(slot) = self.parts.get_mut(usize::from(fragment.index)) else { return };
        if slot.is_none() {
            *slot = Some(part.to_vec());
            self.bytes += part.len();
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.parts.iter().all(Option::is_some)
    }

    pub(super) fn into_message(self) -> Vec<u8> {
        self.parts.into_iter().flatten().flatten().collect()
    }
}

//! Who a peer is.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One incarnation of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The front.
    pub front: u64,
    /// Which run of it.
    pub incarnation: u64,
    /// Raised by a run that others took for dead.
    pub renewal: u32,
    /// Where it is: a number from the configuration.
    pub site: u16,
}

impl PeerIdentity {
    /// A front of which nothing is known but its id.
    pub(crate) fn unknown(front: u64) -> PeerIdentity {
        PeerIdentity { front, incarnation: 0, renewal: 0, site: 0 }
    }
}

impl Identity for PeerIdentity {
    type Addr = u64;

    fn renew(&self) -> Option<PeerIdentity> {
        Some(PeerIdentity { renewal: self.renewal.wrapping_add(1), ..*self })
    }

    fn addr(&self) -> u64 {
        self.front
    }

    fn win_addr_conflict(&self, other: &PeerIdentity) -> bool {
        (self.incarnation, self.renewal) > (other.incarnation, other.renewal)
    }
}

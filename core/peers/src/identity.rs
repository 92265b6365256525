//! The identity under which a front takes part in the SWIM protocol.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The id of the front.
    pub front: u64,
    /// The incarnation: raised each time the front starts.
    pub incarnation: u64,
    /// Raised by an incarnation that others have declared dead, to refute that.
    pub renewal: u32,
    /// The number of its site in the configuration.
    pub site: u16,
}

impl PeerIdentity {
    /// The identity of a front of which only the id is known.
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

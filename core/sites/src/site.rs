//! Identifiers of sites, and the phases of a lost site's recovery.

use serde::{Deserialize, Serialize};

/// A site, identified by its index in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SiteId(pub u16);

/// The service level of a site: lost, in one of the phases of recovery, or serving all of its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecoveryPhase {
    /// Its clients are sent to other sites.
    Lost,
    /// Its fronts can be reached again.
    InContact,
    /// Its fronts have the endpoint list and the purges that they missed while the site was lost.
    CaughtUp,
    /// Its caches are warm.
    WarmedUp,
    /// It serves a quarter of its clients.
    QuarterTraffic,
    /// It serves half of its clients.
    HalfTraffic,
    /// It serves all of its clients.
    Serving,
}

impl RecoveryPhase {
    /// Every phase, in order.
    pub const ALL: [RecoveryPhase; 7] = [
        RecoveryPhase::Lost,
        RecoveryPhase::InContact,
        RecoveryPhase::CaughtUp,
        RecoveryPhase::WarmedUp,
        RecoveryPhase::QuarterTraffic,
        RecoveryPhase::HalfTraffic,
        RecoveryPhase::Serving,
    ];

    /// The phase's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryPhase::Lost => "Lost",
            RecoveryPhase::InContact => "Contact",
            RecoveryPhase::CaughtUp => "CaughtUp",
            RecoveryPhase::WarmedUp => "Warm",
            RecoveryPhase::QuarterTraffic => "Quarter",
            RecoveryPhase::HalfTraffic => "Half",
            RecoveryPhase::Serving => "Present",
        }
    }

    /// The phase that follows this one; `None` for [`RecoveryPhase::Serving`].
    pub fn next(self) -> Option<RecoveryPhase> {
        let index = RecoveryPhase::ALL.iter().position(|phase| *phase == self)?;
        RecoveryPhase::ALL.get(index + 1).copied()
    }

    /// The percentage of its own clients that the site serves.
    pub fn client_percent(self) -> u8 {
        match self {
            RecoveryPhase::Serving => 100,
            RecoveryPhase::HalfTraffic => 50,
            RecoveryPhase::QuarterTraffic => 25,
            _ => 0,
        }
    }

    /// Whether the site serves none of its clients.
    pub fn serves_no_clients(self) -> bool {
        self.client_percent() == 0
    }
}

//! Sites, and the phases of a lost one's return.

use serde::{Deserialize, Serialize};

/// A site by its place in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SiteId(pub u16);

/// How far a site is in service: from lost through its recovery to serving all of its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecoveryPhase {
    /// Its clients go elsewhere.
    Lost,
    /// Its fronts are heard again.
    InContact,
    /// Its fronts have the endpoint list and the purges of the time that they missed.
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

    /// Its name in log lines.
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

    /// The next phase of a recovery.
    pub fn next(self) -> Option<RecoveryPhase> {
        let place = RecoveryPhase::ALL.iter().position(|phase| *phase == self)?;
        RecoveryPhase::ALL.get(place + 1).copied()
    }

    /// The part of its own clients that the site serves, in percent.
    pub fn client_percent(self) -> u8 {
        match self {
            RecoveryPhase::Serving => 100,
            RecoveryPhase::HalfTraffic => 50,
            RecoveryPhase::QuarterTraffic => 25,
            _ => 0,
        }
    }

    /// Whether the site serves none of its clients.
    pub fn serves_nobody(self) -> bool {
        self.client_percent() == 0
    }
}

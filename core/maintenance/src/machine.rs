//! Machines, and the stages that they pass through on their way out and back.

use std::net::SocketAddr;

use elmtide_budgets::{Epoch, FrontId, Incarnation};
use serde::{Deserialize, Serialize};

/// A machine, by its name in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineId(pub u64);

impl MachineId {
    /// The id of a name, the same at every front.
    pub fn from_name(name: &str) -> MachineId {
        MachineId(FrontId::from_name(name).0)
    }
}

/// A front that runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedFront {
    /// The front.
    pub id: FrontId,
    /// Whether it votes.
    pub is_voter: bool,
}

/// What the configuration says of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineSpec {
    /// Its name.
    pub name: String,
    /// Number of its location in the configuration; 0 for none.
    pub location: u16,
    /// Number of its hub; 0 for none.
    pub hub: u16,
    /// Number of its kind; 0 for none.
    pub kind: u16,
    /// Its capacity, in thousandths of that of a machine of weight one.
    pub weight: u32,
    /// Where it is reached, whatever the event bus calls it.
    pub address: Option<SocketAddr>,
    /// The front that runs on it.
    pub front: Option<HostedFront>,
}

impl MachineSpec {
    /// Whether a front with a vote runs on it.
    pub fn hosts_voter(&self) -> bool {
        self.front.is_some_and(|front| front.is_voter)
    }

    /// Whether it is a server of the same kind at the same location.
    pub fn is_alike(&self, other: &MachineSpec) -> bool {
        self.location == other.location && self.kind == other.kind && self.front.is_none()
    }
}

/// Where a machine is on its way out and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// It waits for its turn.
    Requested,
    /// A front whose lease expires from now on excludes it.
    Scheduled,
    /// Every front excludes it.
    Draining,
    /// No request is open there.
    Drained,
    /// It may be worked on: a permit was given.
    Released,
    /// It is there again, and still excluded.
    Returned,
    /// It is sent to by its slow-start budget.
    SlowStart,
}

impl Stage {
    /// Every stage, in order.
    pub const ALL: [Stage; 7] = [
        Stage::Requested,
        Stage::Scheduled,
        Stage::Draining,
        Stage::Drained,
        Stage::Released,
        Stage::Returned,
        Stage::SlowStart,
    ];

    /// Its name in status output.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Requested => "queued",
            Stage::Scheduled => "next",
            Stage::Draining => "leaving",
            Stage::Drained => "empty",
            Stage::Released => "released",
            Stage::Returned => "back",
            Stage::SlowStart => "warming",
        }
    }

    /// Whether the machine counts against the disruption budget.
    pub fn occupies_slot(self) -> bool {
        self != Stage::Requested
    }

    /// Whether a front excludes such a machine whatever its lease.
    pub fn is_excluded(self) -> bool {
        matches!(self, Stage::Draining | Stage::Drained | Stage::Released | Stage::Returned)
    }

    /// Whether a front excludes such a machine once its lease on the view has expired.
    pub fn is_excluded_without_lease(self) -> bool {
        self.is_excluded() || self == Stage::Scheduled
    }

    /// Whether the machine can still be put back into service without having been worked on.
    pub fn can_be_reverted(self) -> bool {
        matches!(self, Stage::Scheduled | Stage::Draining | Stage::Drained)
    }
}

/// A machine that counts against the disruption budget, as fronts are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacedMachine {
    /// Which.
    pub machine: MachineId,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Where it is on its way.
    pub stage: Stage,
}

/// An incarnation of a front that is present, and the view that it decides by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontPresence {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// It decides by the view of this epoch, or a later one.
    pub acknowledged: Epoch,
    /// An operator has said that its machine is off.
    pub is_declared_off: bool,
}

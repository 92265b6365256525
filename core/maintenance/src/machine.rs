//! Machines, and the stages that they pass through out of service and back.

use std::net::SocketAddr;

use elmtide_budgets::{Epoch, FrontId, Incarnation};
use serde::{Deserialize, Serialize};

/// Identifies a machine; derived from its name in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineId(pub u64);

impl MachineId {
    /// The id of the machine with this name, the same at every front.
    pub fn from_name(name: &str) -> MachineId {
        MachineId(FrontId::from_name(name).0)
    }
}

/// The front that runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedFront {
    /// The front.
    pub id: FrontId,
    /// Whether the front is a voter.
    pub is_voter: bool,
}

/// Configuration of one machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineSpec {
    /// Its name.
    pub name: String,
    /// Number of its location in the configuration; 0 if it has none.
    pub location: u16,
    /// Number of its hub; 0 if it has none.
    pub hub: u16,
    /// Number of its kind; 0 if it has none.
    pub kind: u16,
    /// Its capacity, in thousandths of the capacity of a machine of weight one.
    pub weight: u32,
    /// Its address, which identifies it whatever name the event bus gives it.
    pub address: Option<SocketAddr>,
    /// The front that runs on it; `None` for a server.
    pub front: Option<HostedFront>,
}

impl MachineSpec {
    /// Whether a front that is a voter runs on it.
    pub fn hosts_voter(&self) -> bool {
        self.front.is_some_and(|front| front.is_voter)
    }

    /// Whether this machine is a server of the same kind at the same location as `other`.
    pub fn is_interchangeable_with(&self, other: &MachineSpec) -> bool {
        self.location == other.location && self.kind == other.kind && self.front.is_none()
    }
}

/// Stage of a machine's maintenance, in the order in which machines pass through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// It waits to be scheduled.
    Requested,
    /// It is going to be drained. A front whose lease on the view has expired excludes it.
    Scheduled,
    /// Every front excludes it; requests may still be open there.
    Draining,
    /// No front has an open request there.
    Drained,
    /// A permit was issued: maintenance may be done on it.
    Released,
    /// It is back, and still excluded.
    Returned,
    /// Fronts send to it within its slow-start budget.
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

    /// Whether a machine in this stage counts against the disruption budget.
    pub fn is_disrupted(self) -> bool {
        self != Stage::Requested
    }

    /// Whether a front excludes a machine in this stage whether or not its lease on the view has expired.
    pub fn is_excluded(self) -> bool {
        matches!(self, Stage::Draining | Stage::Drained | Stage::Released | Stage::Returned)
    }

    /// Whether a front excludes a machine in this stage once its lease on the view has expired.
    pub fn is_excluded_without_lease(self) -> bool {
        self.is_excluded() || self == Stage::Scheduled
    }

    /// Whether a machine in this stage can still be put back into service without maintenance.
    pub fn can_be_reverted(self) -> bool {
        matches!(self, Stage::Scheduled | Stage::Draining | Stage::Drained)
    }
}

/// A machine that counts against the disruption budget, as sent to fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DisruptedMachine {
    /// The machine.
    pub machine: MachineId,
    /// Its address.
    pub address: Option<SocketAddr>,
    /// Its stage.
    pub stage: Stage,
}

/// The incarnation of a front that is present, and the view that it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontPresence {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// It applies the view of this epoch or of a later one.
    pub acknowledged: Epoch,
    /// An operator has declared that its machine is powered off.
    pub is_declared_off: bool,
}

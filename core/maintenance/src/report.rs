//! What fronts report on machines with their lease requests, and what they are told with the responses.

use elmtide_budgets::{Clocks, Epoch, FrontId, Micros};
use serde::{Deserialize, Serialize};

use crate::budget::DisruptionLimit;
use crate::job::{Job, JobId, MachineProgress};
use crate::machine::{MachineId, PlacedMachine};

/// Most machines that one front reports on.
pub const MAX_OBSERVATIONS: usize = 512;

/// How a machine looks to a front that sends to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObservedState {
    /// It serves.
    #[default]
    Ready,
    /// The endpoint list says that it drains, or that it is not ready.
    Draining,
    /// Its last attempts failed.
    Failing,
    /// It is in no endpoint list.
    Absent,
}

/// What became of attempts that a front has sent since the machine's release: answered health checks are not enough. Of a
/// parent, whose work is seen by those that it fills, what was sent counts as succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkOutcome {
    /// Nothing was sent.
    #[default]
    NoneSent,
    /// None of it has succeeded yet.
    NoneSucceeded,
    /// Some of it has succeeded.
    Succeeded,
}

/// What one front observes of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineObservation {
    /// How it looks.
    pub state: ObservedState,
    /// When its software was started by the endpoint list, Unix milliseconds; 0 if that is not known.
    pub started_at_ms: u64,
    /// How far its slow start has come, in percent.
    pub warm_percent: u8,
    /// Load that this front has sent there lately, in thousandths of the capacity of a machine of weight one.
    pub load: u32,
    /// What became of it.
    pub work: WorkOutcome,
}

/// What a front reports with a lease request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceReport {
    /// It decides by the view of this epoch, or a later one; `None` before it has one.
    pub acknowledged: Option<Epoch>,
    /// Machines that are excluded by that view and at which it has no open request.
    pub drained: Vec<MachineId>,
    /// What it observes.
    pub observations: Vec<(MachineId, MachineObservation)>,
    /// One of its budgets is exhausted, or many purges are in progress.
    pub is_overloaded: bool,
    /// An operator looks at this front: details are needed.
    pub needs_details: bool,
}

/// Why a machine does not advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WaitReason {
    /// Its job is paused.
    JobPaused,
    /// Others exhaust the disruption budget.
    DisruptionLimit(DisruptionLimit),
    /// What would be left has less capacity than is required, both in thousandths.
    CapacityShortfall {
        /// Capacity that would be left.
        remaining: u32,
        /// Capacity that is required.
        required: u32,
    },
    /// The configuration names these hours.
    Blackout,
    /// This front reports that a budget is exhausted.
    FrontOverloaded(FrontId),
    /// This machine is down or failing without being in maintenance.
    MachineLost(MachineId),
    /// The permit of this machine at the same location is overdue.
    PermitOverdue(MachineId),
    /// This front has not acknowledged the view yet.
    NotAcknowledged(FrontId),
    /// This front has open requests there.
    OpenRequests(FrontId),
    /// This front is not heard, and may be sending there.
    FrontUnreachable(FrontId),
    /// The leader runs on it, and hands leadership over first.
    LeadershipTransfer,
    /// The voters that are heard would be no majority.
    VoterMajority,
    /// It is released.
    InMaintenance,
    /// Its slow start has come this far, in percent.
    SlowStart(u8),
    /// It answers this front with errors.
    Failing(FrontId),
    /// This front sends to it, and nothing has succeeded yet.
    Unproven(FrontId),
    /// No front has seen it ready yet.
    NotReady,
    /// It can advance; the command waits for the log.
    ReadyToAdvance,
}

/// What a front is told with a lease response: the view has the response's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceView {
    /// Of the state that it shows.
    pub epoch: Epoch,
    /// Version of the machines in force.
    pub machines_version: u64,
    /// The machines that count against the disruption budget; `None` if the front has acknowledged this epoch.
    pub placed: Option<Vec<PlacedMachine>>,
    /// For operators.
    pub details: Option<Box<MaintenanceDetails>>,
}

/// What operators are shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceDetails {
    /// All jobs that are kept.
    pub jobs: Vec<(JobId, Job)>,
    /// How far each machine has come.
    pub progress: Vec<(MachineId, MachineProgress)>,
    /// Why each machine waits.
    pub wait_reasons: Vec<(MachineId, WaitReason)>,
    /// Machines that are down or failing without being in maintenance, by most fronts that observe them.
    pub missing: Vec<MachineId>,
    /// Median of what the last machines took, in milliseconds.
    pub median_duration_ms: Option<u64>,
    /// The leader's Unix clock, in milliseconds.
    pub now_ms: u64,
}

/// A view with its lease.
#[derive(Clone, Debug)]
pub struct LeasedMaintenanceView {
    /// The view.
    pub view: MaintenanceView,
    /// The moment before the request.
    pub requested_at: Clocks,
    /// When the lease expires, by the monotonic clock.
    pub expires_at: Micros,
}

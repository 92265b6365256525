//! Reports on machines that fronts send with their lease requests, and views that they receive with the responses.

use elmtide_budgets::{Clocks, Epoch, FrontId, Micros};
use serde::{Deserialize, Serialize};

use crate::budget::DisruptionLimit;
use crate::job::{Job, JobId, MachineProgress};
use crate::machine::{DisruptedMachine, MachineId};

/// Maximum number of machines in one front's report.
pub const MAX_OBSERVATIONS: usize = 512;

/// State of a machine as observed by a front that sends to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ObservedState {
    /// It serves requests.
    #[default]
    Ready,
    /// The endpoint list marks it as draining or not ready.
    Draining,
    /// The last attempts there failed.
    Failing,
    /// It is not in any endpoint list.
    Absent,
}

/// Outcome of the attempts that a front has sent to a machine since its release. Successful health checks do not prove
/// that a machine serves requests. An attempt sent to a parent counts as succeeded, because only the servers that it
/// fills see its outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// No attempt was sent.
    #[default]
    NoneSent,
    /// No attempt has succeeded yet.
    NoneSucceeded,
    /// At least one attempt has succeeded.
    Succeeded,
}

/// One front's observation of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineObservation {
    /// Observed state.
    pub state: ObservedState,
    /// Start time of its software according to the endpoint list, in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
    /// Progress of its slow start, in percent.
    pub warm_percent: u8,
    /// Load that this front has recently sent there, in thousandths of the capacity of a machine of weight one.
    pub load: u32,
    /// Outcome of the attempts that were sent there.
    pub attempt_outcome: AttemptOutcome,
}

/// A front's report, sent with its lease requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceReport {
    /// The front applies the view of this epoch or of a later one; `None` before it has a view.
    pub acknowledged: Option<Epoch>,
    /// Machines that this view excludes and at which the front has no open request.
    pub drained: Vec<MachineId>,
    /// Observations of machines.
    pub observations: Vec<(MachineId, MachineObservation)>,
    /// One of its budgets is exhausted, or many purges are in progress.
    pub is_overloaded: bool,
    /// An operator has requested the status from this front, so the view has to contain details.
    pub needs_details: bool,
}

/// Why a machine does not advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WaitReason {
    /// The machine's job is paused.
    JobPaused,
    /// Other machines use up this limit of the disruption budget.
    DisruptionLimit(DisruptionLimit),
    /// The remaining machines would have less capacity than required. Both are in thousandths of the capacity of a
    /// machine of weight one.
    CapacityShortfall {
        /// Capacity of the remaining machines.
        remaining: u32,
        /// Required capacity.
        required: u32,
    },
    /// The configuration allows no scheduling at this time of day.
    Blackout,
    /// This front reports that it is overloaded.
    FrontOverloaded(FrontId),
    /// This machine is down or failing without being in maintenance.
    MachineLost(MachineId),
    /// This machine at the same location is overdue.
    PermitOverdue(MachineId),
    /// This front has not acknowledged the view yet.
    NotAcknowledged(FrontId),
    /// This front has open requests at the machine.
    OpenRequests(FrontId),
    /// This front has sent no recent report, and may be sending to the machine.
    FrontUnreachable(FrontId),
    /// The leader runs on the machine, and has to transfer leadership first.
    LeadershipTransfer,
    /// The remaining reachable voters would not be a majority.
    VoterMajority,
    /// The machine is released and under maintenance.
    InMaintenance,
    /// The machine is in slow start, at this percentage.
    SlowStart(u8),
    /// Attempts of this front at the machine fail.
    Failing(FrontId),
    /// This front sends to the machine, and no attempt has succeeded yet.
    Unproven(FrontId),
    /// The machine is not observed as ready.
    NotReady,
    /// The machine can advance; the command has not been applied yet.
    ReadyToAdvance,
}

/// The machines in maintenance, as sent to a front with a lease response. The response's lease covers the view too.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceView {
    /// Epoch of the replicated state that the view shows.
    pub epoch: Epoch,
    /// Version of the current machine configuration.
    pub machines_version: u64,
    /// Machines that count against the disruption budget; `None` if the front has acknowledged this epoch.
    pub disrupted: Option<Vec<DisruptedMachine>>,
    /// Details for operators, if the front's report requested them.
    pub details: Option<Box<MaintenanceDetails>>,
}

/// Details for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceDetails {
    /// Open jobs, and the last jobs that have ended.
    pub jobs: Vec<(JobId, Job)>,
    /// Progress of each machine in a job.
    pub progress: Vec<(MachineId, MachineProgress)>,
    /// Why each machine in a job does not advance.
    pub wait_reasons: Vec<(MachineId, WaitReason)>,
    /// Machines that are not in maintenance and that most of the fronts observing them find down or failing.
    pub lost: Vec<MachineId>,
    /// Median duration of the last machines' maintenance, in milliseconds.
    pub median_duration_ms: Option<u64>,
    /// The leader's Unix clock, in milliseconds.
    pub now_ms: u64,
}

/// A view and the lease on it.
#[derive(Clone, Debug)]
pub struct LeasedMaintenanceView {
    /// The view.
    pub view: MaintenanceView,
    /// Clock readings taken just before the lease request was sent.
    pub requested_at: Clocks,
    /// When the lease expires, by the monotonic clock.
    pub expires_at: Micros,
}

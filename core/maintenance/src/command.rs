//! Commands of the replicated log that change the maintenance state.

use elmtide_budgets::{Epoch, FrontId, HolderId};
use serde::{Deserialize, Serialize};

use crate::budget::{DisruptionBudget, DisruptionLimit};
use crate::job::JobId;
use crate::machine::{MachineId, MachineSpec};

/// One command; each keeps the disruption budget or does nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MaintenanceCommand {
    /// Replaces the machines and the disruption budget; a version that is not higher changes nothing.
    UpdateMachines {
        /// Of the configuration.
        version: u64,
        /// All machines.
        machines: Vec<MachineSpec>,
        /// How many may be out of service together.
        budget: DisruptionBudget,
    },
    /// An operator requests that machines go into maintenance.
    Request {
        /// Which.
        machines: Vec<MachineId>,
        /// Who.
        requested_by: String,
        /// Why.
        reason: String,
        /// How long one machine is expected to take; 0 if that is not said.
        expected_minutes: u32,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// Schedules no further machine of a job.
    PauseJob {
        /// The job.
        job: JobId,
    },
    /// Ends a pause.
    ResumeJob {
        /// The job.
        job: JobId,
    },
    /// Cancels a whole job, or one machine of it.
    Cancel {
        /// The job.
        job: JobId,
        /// The machine; all of them if there is none.
        machine: Option<MachineId>,
    },
    /// These machines of a job go first, in this order.
    Prioritize {
        /// The job.
        job: JobId,
        /// The machines.
        machines: Vec<MachineId>,
    },
    /// An operator says that a machine is back.
    ConfirmReturn {
        /// The machine.
        machine: MachineId,
    },
    /// An operator says that the machine of a front is off: the front is not waited for until it joins again.
    DeclareFrontOff {
        /// The front.
        front: FrontId,
    },
    /// Views that fronts decide by.
    Acknowledge {
        /// By front.
        acknowledgements: Vec<(HolderId, Epoch)>,
    },
    /// The leader advances one machine.
    Advance {
        /// The machine.
        machine: MachineId,
        /// Its epoch when the step was decided.
        epoch: Epoch,
        /// What is done.
        step: Step,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
}

/// What the leader does with a machine; each step counts only from the stage that it is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Requested to scheduled.
    Schedule,
    /// Scheduled to draining.
    Drain,
    /// Draining to drained.
    MarkDrained,
    /// Drained to released: a permit is given.
    Release {
        /// When its software was started, by which a later start is known.
        started_at_ms: u64,
    },
    /// It takes longer than expected.
    MarkOverdue,
    /// Back to requested, before its release.
    Revert,
    /// The endpoint list has it anew.
    MarkListed,
    /// Released to returned.
    Return,
    /// Returned to slow start.
    BeginSlowStart,
    /// Slow start to in service.
    Complete,
}

/// Why a command did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandRejected {
    /// The machines in force are as new.
    #[error("the machines in force are as new")]
    StaleVersion,
    /// More than the state's bounds allow, or nothing at all.
    #[error("nothing named, or more jobs or machines than are kept")]
    LimitExceeded,
    /// The machine is not in the configuration in force.
    #[error("{0:?} is not configured")]
    UnknownMachine(MachineId),
    /// The machine is in a job already.
    #[error("{0:?} is in {1:?} already")]
    AlreadyInJob(MachineId, JobId),
    /// There is no such open job.
    #[error("there is no such job, or it has ended")]
    UnknownJob,
    /// Something has changed since the command was decided.
    #[error("something has changed since")]
    StaleEpoch,
    /// The machine is not in this job.
    #[error("the machine is not in this job")]
    NotInJob,
    /// The machine has not been released, or has returned already.
    #[error("{0:?} has not been released")]
    NotReleased(MachineId),
    /// The machine has been released: it can only return.
    #[error("{0:?} has been released")]
    AlreadyReleased(MachineId),
    /// Its job is paused or cancelled.
    #[error("the job is paused or cancelled")]
    JobPaused,
    /// It would exceed the disruption budget.
    #[error("the disruption budget is exhausted: {0:?}")]
    DisruptionLimit(DisruptionLimit),
    /// This front has not acknowledged that the machine is scheduled.
    #[error("{0:?} has not acknowledged the view")]
    NotAcknowledged(FrontId),
    /// More fronts than are accounted for.
    #[error("more fronts than are accounted for")]
    TooManyFronts,
    /// Without the machine there would be none of its kind at its location, or no majority of voters.
    #[error("{0:?} is the last of its kind")]
    LastOfItsKind(MachineId),
    /// A name or a reason is too long.
    #[error("a name or a reason is too long")]
    TextTooLong,
    /// The front is not present.
    #[error("{0:?} is not present")]
    FrontNotPresent(FrontId),
}

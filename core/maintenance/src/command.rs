//! Commands of the replicated log that change the maintenance state.

use elmtide_budgets::{Epoch, FrontId, HolderId};
use serde::{Deserialize, Serialize};

use crate::budget::{DisruptionBudget, DisruptionLimit};
use crate::job::JobId;
use crate::machine::{MachineId, MachineSpec};

/// One command. A command that would exceed the disruption budget is rejected and changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MaintenanceCommand {
    /// Replaces the machine configuration and the disruption budget. Rejected unless the version is higher than the
    /// current one.
    UpdateMachines {
        /// Version of the configuration.
        version: u64,
        /// All configured machines.
        machines: Vec<MachineSpec>,
        /// How many may be out of service at the same time.
        budget: DisruptionBudget,
    },
    /// An operator requests that machines go into maintenance.
    Request {
        /// The machines.
        machines: Vec<MachineId>,
        /// Name of the operator.
        requested_by: String,
        /// Reason for the maintenance.
        reason: String,
        /// Expected duration of the maintenance of one machine; 0 if not specified.
        expected_minutes: u32,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// Pauses a job: none of its machines that have not been released advances.
    PauseJob {
        /// The job.
        job: JobId,
    },
    /// Resumes a paused job.
    ResumeJob {
        /// The job.
        job: JobId,
    },
    /// Cancels a whole job, or one machine of it.
    Cancel {
        /// The job.
        job: JobId,
        /// The machine; `None` cancels the whole job.
        machine: Option<MachineId>,
    },
    /// Schedules these machines of a job before its others, in this order.
    Prioritize {
        /// The job.
        job: JobId,
        /// The machines.
        machines: Vec<MachineId>,
    },
    /// An operator confirms that a machine is back.
    ConfirmReturn {
        /// The machine.
        machine: MachineId,
    },
    /// An operator declares that the machine of a front is powered off. The front is not waited for until it joins or
    /// acknowledges a view again.
    DeclareFrontOff {
        /// The front.
        front: FrontId,
    },
    /// Records the epochs of the views that fronts apply.
    Acknowledge {
        /// The acknowledged epoch of each front.
        acknowledgements: Vec<(HolderId, Epoch)>,
    },
    /// The leader moves one machine to its next stage, or marks its progress.
    Advance {
        /// The machine.
        machine: MachineId,
        /// The machine's epoch when the step was decided; the command is rejected if it has changed.
        epoch: Epoch,
        /// The step.
        step: Step,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
}

/// A step that the leader takes for one machine. Each step is accepted only in the stage that it starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// From requested to scheduled.
    Schedule,
    /// From scheduled to draining.
    Drain,
    /// From draining to drained.
    MarkDrained,
    /// From drained to released: a permit is issued.
    Release {
        /// Start time of its software, in Unix milliseconds. A different start time later shows that it was restarted.
        started_at_ms: u64,
    },
    /// Marks a released machine as overdue: its maintenance takes longer than expected.
    MarkOverdue,
    /// Back to requested, before the machine is released.
    Revert,
    /// Marks a released machine as listed: the endpoint list contains it again.
    MarkListed,
    /// From released to returned.
    Return,
    /// From returned to slow start.
    BeginSlowStart,
    /// From slow start to in service: the machine leaves its job.
    Complete,
}

/// Why a command was rejected; a rejected command changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandRejected {
    /// The current machine configuration has this version or a higher one.
    #[error("the current machine configuration has this version or a higher one")]
    StaleVersion,
    /// The command names no machine, or exceeds the maximum number of jobs, machines or fronts.
    #[error("no machine is named, or there are too many jobs, machines or fronts")]
    LimitExceeded,
    /// The machine is not in the current configuration.
    #[error("{0:?} is not in the current machine configuration")]
    UnknownMachine(MachineId),
    /// The machine is already in a job.
    #[error("{0:?} is already in {1:?}")]
    AlreadyInJob(MachineId, JobId),
    /// The job does not exist or has ended.
    #[error("the job does not exist or has ended")]
    UnknownJob,
    /// The machine has advanced since the command was decided, or the step does not start from its stage.
    #[error("the machine is not in the epoch or stage that the step was decided for")]
    StaleEpoch,
    /// The machine is not in this job.
    #[error("the machine is not in this job")]
    NotInJob,
    /// The machine has not been released, has already returned, or does not satisfy the return policy yet.
    #[error("{0:?} is not released, or does not satisfy the return policy yet")]
    NotReleased(MachineId),
    /// The machine has already been released and can only return.
    #[error("{0:?} has already been released")]
    AlreadyReleased(MachineId),
    /// The machine's job is paused or cancelled.
    #[error("the job is paused or cancelled")]
    JobPaused,
    /// The machine would exceed this limit of the disruption budget.
    #[error("the disruption budget is exhausted: {0:?}")]
    DisruptionLimit(DisruptionLimit),
    /// This front has not acknowledged the view in which the machine is scheduled.
    #[error("{0:?} has not acknowledged the view in which the machine is scheduled")]
    NotAcknowledged(FrontId),
    /// More fronts have joined than the state can track.
    #[error("more fronts have joined than the state can track")]
    TooManyFronts,
    /// Without the machine there would be no server of its kind at its location, or no majority of voters.
    #[error("without {0:?} there would be no server of its kind at its location, or no majority of voters")]
    LastOfItsKind(MachineId),
    /// A name or a reason is too long.
    #[error("a name or a reason is too long")]
    TextTooLong,
    /// The front is not present, so it cannot be declared off.
    #[error("{0:?} is not present")]
    FrontNotPresent(FrontId),
}

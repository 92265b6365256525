//! Jobs, and the progress of each machine in a job.

use serde::{Deserialize, Serialize};

use elmtide_budgets::Epoch;

use crate::machine::{MachineId, Stage};

/// Number of a job, an operator's request to take machines into maintenance. Jobs are numbered from 1; 0 means no job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u32);

/// Progress of one machine in a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineProgress {
    /// The machine's job.
    pub job: JobId,
    /// The machine's stage.
    pub stage: Stage,
    /// Epoch in which its stage last changed; fronts have to acknowledge it.
    pub epoch: Epoch,
    /// When it was scheduled, by the leader's Unix clock, in milliseconds.
    pub scheduled_at_ms: u64,
    /// When it entered its stage, by the leader's Unix clock, in milliseconds.
    pub stage_since_ms: u64,
    /// Number of its permit. Permits are numbered from 1; 0 before the machine is released.
    pub permit: u64,
    /// Start time of its software as known at its release, in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
    /// The endpoint list contains it again.
    pub is_listed: bool,
    /// An operator has confirmed that it is back.
    pub is_confirmed: bool,
    /// Its maintenance takes longer than the job expected.
    pub is_overdue: bool,
    /// It was cancelled after its release.
    pub is_cancelled: bool,
}

/// An operator's request to take machines into maintenance, and how many of them are done.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    /// Name of the operator.
    pub requested_by: String,
    /// Reason for the maintenance.
    pub reason: String,
    /// Expected duration of the maintenance of one machine; 0 if not specified.
    pub expected_minutes: u32,
    /// Paused: none of its machines that have not been released advances.
    pub is_paused: bool,
    /// The whole job was cancelled.
    pub is_cancelled: bool,
    /// Machines that an operator wants to be scheduled first, in this order.
    pub prioritized: Vec<MachineId>,
    /// Number of machines that were requested.
    pub machine_count: u32,
    /// Number of machines that are back in service.
    pub completed: u32,
    /// Number of machines that were cancelled before their release.
    pub cancelled_count: u32,
    /// When it was requested, by the leader's Unix clock, in milliseconds.
    pub requested_at_ms: u64,
    /// When it ended, in Unix milliseconds; `None` while it is open.
    pub ended_at_ms: Option<u64>,
}

impl Job {
    /// Whether the job has not ended yet.
    pub fn is_open(&self) -> bool {
        self.ended_at_ms.is_none()
    }
}

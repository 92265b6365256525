//! Jobs, and how far each of their machines has come.

use serde::{Deserialize, Serialize};

use elmtide_budgets::Epoch;

use crate::machine::{MachineId, Stage};

/// One request of an operator for machines to go into maintenance; numbered from 1, 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u32);

/// How far one machine has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineProgress {
    /// Its job.
    pub job: JobId,
    /// Its stage.
    pub stage: Stage,
    /// Epoch of its last change that fronts have to know of.
    pub epoch: Epoch,
    /// When it was scheduled, by the leader's Unix clock.
    pub scheduled_at_ms: u64,
    /// When it came to its stage.
    pub stage_since_ms: u64,
    /// Number of its permit, from 1; 0 before it is released.
    pub permit: u64,
    /// When its software was started, as it was known at its release.
    pub started_at_ms: u64,
    /// The endpoint list has it again.
    pub is_listed: bool,
    /// An operator has said that it is back.
    pub is_confirmed: bool,
    /// It takes longer than the job expected.
    pub is_overdue: bool,
    /// Its job was cancelled after its release.
    pub is_cancelled: bool,
}

/// What an operator has requested, and how much of it is done.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    /// Who.
    pub requested_by: String,
    /// Why.
    pub reason: String,
    /// How long one machine is expected to take; 0 if that was not said.
    pub expected_minutes: u32,
    /// No further machine of it is scheduled.
    pub is_paused: bool,
    /// It was cancelled.
    pub is_cancelled: bool,
    /// Machines that an operator wants first.
    pub prioritized: Vec<MachineId>,
    /// Number of its machines.
    pub machine_count: u32,
    /// Machines that are back in service.
    pub completed: u32,
    /// Machines that were cancelled before their release.
    pub spared: u32,
    /// When it was requested, by the leader's Unix clock.
    pub requested_at_ms: u64,
    /// When it ended.
    pub ended_at_ms: Option<u64>,
}

impl Job {
    /// Whether it has not ended.
    pub fn is_open(&self) -> bool {
        self.ended_at_ms.is_none()
    }
}

//! The replicated state of every machine in a job: changed by commands of the log only, the same wherever they are applied. Each
//! command keeps the disruption budget or does nothing, and none needs a clock: time comes with a command, and never goes back.
//!
//! | from | command | to | by | what has to hold | undone by |
//! | --- | --- | --- | --- | --- | --- |
//! | - | `Request` | requested | operator | known, in no job | `Cancel` |
//! | requested | `Schedule` | scheduled | leader | the disruption budget, its job not paused | `Revert`, `Cancel` |
//! | scheduled | `Drain` | draining | leader | every front that is present has acknowledged it | `Revert`, `Cancel` |
//! | draining | `MarkDrained` | drained | leader | no front has open requests there, or its lease has expired | `Revert`, `Cancel` |
//! | drained | `Release` | released | leader | - | maintenance, then its return |
//! | released | `Return` | returned | leader | the endpoint list, an operator's word, or both | - |
//! | returned | `BeginSlowStart` | slow start | leader | - | - |
//! | slow start | `Complete` | in service | leader | it bears its load | - |

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elmtide_budgets::{Epoch, FrontId, HolderId};
use serde::{Deserialize, Serialize};

use crate::budget::{DisruptionBudget, DisruptionLimit};
use crate::command::{CommandRejected, MaintenanceCommand, Step};
use crate::job::{Job, JobId, MachineProgress};
use crate::machine::{FrontPresence, MachineId, MachineSpec, PlacedMachine, Stage};

/// Most machines that are accounted for.
pub const MAX_MACHINES: usize = 2048;
/// Most open jobs.
pub const MAX_JOBS: usize = 32;
/// Most fronts that are accounted for.
pub const MAX_FRONTS: usize = 2048;
/// Most ended jobs that are still shown.
const MAX_ENDED_JOBS: usize = 8;
/// Most durations that the median is taken of.
const MAX_DURATIONS: usize = 32;
const MAX_NAME_BYTES: usize = 64;
const MAX_REASON_BYTES: usize = 200;
/// With fewer voters none can be spared.
const MIN_VOTERS: usize = 3;
/// With fewer servers of a kind at a location none can be spared.
const MIN_ALIKE: usize = 2;
/// What a command that concerns no job gives.
const NO_JOB: JobId = JobId(0);

/// The replicated maintenance state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceState {
    version: u64,
    machines: BTreeMap<MachineId, MachineSpec>,
    budget: DisruptionBudget,
    progress: BTreeMap<MachineId, MachineProgress>,
    jobs: BTreeMap<JobId, Job>,
    fronts: BTreeMap<FrontId, FrontPresence>,
    /// More fronts have come than are accounted for.
    has_untracked_fronts: bool,
    epoch: Epoch,
    last_permit: u64,
    last_job: u32,
    clock_ms: u64,
    /// What the last machines took.
    durations_ms: VecDeque<u64>,
}

/// An operator's request.
struct NewJob<'a> {
    machines: BTreeSet<MachineId>,
    requested_by: &'a str,
    reason: &'a str,
    expected_minutes: u32,
}

impl MaintenanceState {
    /// Version of the machines in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Epoch of the last change that fronts have to know of.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The machines in force, and those that are in a job besides.
    pub fn machines(&self) -> &BTreeMap<MachineId, MachineSpec> {
        &self.machines
    }

    /// How many may be out of service together.
    pub fn budget(&self) -> &DisruptionBudget {
        &self.budget
    }

    /// How far each machine in a job has come.
    pub fn progress(&self) -> &BTreeMap<MachineId, MachineProgress> {
        &self.progress
    }

    /// The open jobs, and the last ones that have ended.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The fronts that are present.
    pub fn fronts(&self) -> &BTreeMap<FrontId, FrontPresence> {
        &self.fronts
    }

    /// The latest Unix time that a command has brought, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Median of what the last machines took, in milliseconds.
    pub fn median_duration_ms(&self) -> Option<u64> {
        let mut durations: Vec<u64> = self.durations_ms.iter().copied().collect();
        durations.sort_unstable();
        durations.get(durations.len() / 2).copied()
    }

    /// Whether fronts have no machine to exclude.
    pub fn excludes_nothing(&self) -> bool {
        self.progress.values().all(|progress| !progress.stage.occupies_slot())
    }

    /// Machines that host a voter.
    pub fn voters(&self) -> Vec<MachineId> {
        let voters = self.machines.iter().filter(|(_, spec)| spec.hosts_voter());
        voters.map(|(machine, _)| *machine).collect()
    }

    /// Machines that count against the disruption budget, as fronts are told.
    pub fn placed_machines(&self) -> Vec<PlacedMachine> {
        let placed = self.progress.iter().filter(|(_, progress)| progress.stage.occupies_slot());
        let address = |machine: &MachineId| self.machines.get(machine).and_then(|spec| spec.address);
        placed
            .map(|(machine, progress)| PlacedMachine {
                machine: *machine,
                address: address(machine),
                stage: progress.stage,
            })
            .collect()
    }

    /// Which limit a machine would exceed if it were scheduled now.
    pub fn exceeded_limit_of(&self, machine: MachineId) -> Option<DisruptionLimit> {
        let spec = self.machines.get(&machine)?;
        let others = self.progress.iter().filter(|(m, p)| p.stage.occupies_slot() && **m != machine);
        let others: Vec<(MachineId, &MachineSpec)> =
            others.filter_map(|(m, _)| Some((*m, self.machines.get(m)?))).collect();
        self.budget.exceeded_limit(self.voters().len(), machine, spec, &others)
    }

    /// An incarnation of a front has joined.
    pub fn on_join(&mut self, holder: HolderId) {
        if self.fronts.len() >= MAX_FRONTS && !self.fronts.contains_key(&holder.front) {
            self.has_untracked_fronts = true;
            return;
        }
        let presence =
            FrontPresence { incarnation: holder.incarnation, acknowledged: Epoch(0), is_declared_off: false };
        self.fronts.insert(holder.front, presence);
    }

    /// An incarnation of a front has left.
    pub fn on_leave(&mut self, holder: HolderId) {
        if self.fronts.get(&holder.front).is_some_and(|f| f.incarnation == holder.incarnation) {
            self.fronts.remove(&holder.front);
        }
    }

    /// A front was removed from the fleet.
    pub fn on_removed(&mut self, front: FrontId) {
        self.fronts.remove(&front);
    }

    /// Applies a command of the log; gives the job that it concerned, or job 0.
    ///
    /// # Errors
    /// Why the command did nothing.
    pub fn apply(&mut self, command: &MaintenanceCommand) -> Result<JobId, CommandRejected> {
        let applied = match command {
            MaintenanceCommand::UpdateMachines { version, machines, budget } => {
                self.update_machines(*version, machines, budget)
            }
            MaintenanceCommand::Request { machines, requested_by, reason, expected_minutes, at_ms } => {
                let machines = machines.iter().copied().collect();
                let job = NewJob { machines, requested_by, reason, expected_minutes: *expected_minutes };
                self.request(job, *at_ms)
            }
            MaintenanceCommand::PauseJob { job } => self.set_paused(*job, true),
            MaintenanceCommand::ResumeJob { job } => self.set_paused(*job, false),
            MaintenanceCommand::Cancel { job, machine } => self.cancel(*job, *machine),
            MaintenanceCommand::Prioritize { job, machines } => self.prioritize(*job, machines),
            MaintenanceCommand::ConfirmReturn { machine } => self.confirm_return(*machine),
            MaintenanceCommand::DeclareFrontOff { front } => self.declare_front_off(*front),
            MaintenanceCommand::Acknowledge { acknowledgements } => self.acknowledge(acknowledgements),
            MaintenanceCommand::Advance { machine, epoch, step, at_ms } => {
                self.advance(*machine, *epoch, *step, *at_ms)
            }
        };
        debug_assert_eq!(self.check_invariant(), Ok(()));
        applied
    }

    fn open_job(&mut self, job: JobId) -> Result<&mut Job, CommandRejected> {
        self.jobs.get_mut(&job).filter(|job| job.is_open()).ok_or(CommandRejected::UnknownJob)
    }

    fn set_paused(&mut self, job: JobId, is_paused: bool) -> Result<JobId, CommandRejected> {
        self.open_job(job)?.is_paused = is_paused;
        Ok(job)
    }

    fn advance_clock(&mut self, at_ms: u64) -> u64 {
        self.clock_ms = self.clock_ms.max(at_ms);
        self.clock_ms
    }

    fn next_epoch(&mut self) -> Epoch {
        self.epoch.0 += 1;
        self.epoch
    }

    fn update_machines(
        &mut self,
        version: u64,
        machines: &[MachineSpec],
        budget: &DisruptionBudget,
    ) -> Result<JobId, CommandRejected> {
        if version <= self.version {
            return Err(CommandRejected::StaleVersion);
        }
        if machines.len() > MAX_MACHINES || budget.exclusive_pairs.len() > MAX_MACHINES {
            return Err(CommandRejected::LimitExceeded);
        }
        if machines.iter().any(|machine| machine.name.len() > MAX_NAME_BYTES) {
            return Err(CommandRejected::TextTooLong);
        }
        let mut updated: BTreeMap<MachineId, MachineSpec> =
            machines.iter().map(|spec| (MachineId::from_name(&spec.name), spec.clone())).collect();
        // A machine that is in a job stays known.
        for (machine, spec) in &self.machines {
            if self.progress.contains_key(machine) {
                updated.entry(*machine).or_insert_with(|| spec.clone());
            }
        }
        self.version = version;
        self.machines = updated;
        self.budget = budget.clone();
        Ok(NO_JOB)
    }

    fn request(&mut self, new_job: NewJob, at_ms: u64) -> Result<JobId, CommandRejected> {
        if new_job.requested_by.len() > MAX_NAME_BYTES || new_job.reason.len() > MAX_REASON_BYTES {
            return Err(CommandRejected::TextTooLong);
        }
        let open = self.jobs.values().filter(|job| job.is_open()).count();
        let count = new_job.machines.len();
        if count == 0 || count > MAX_MACHINES || open >= MAX_JOBS {
            return Err(CommandRejected::LimitExceeded);
        }
        for machine in &new_job.machines {
            self.check_requestable(*machine)?;
        }
        let at_ms = self.advance_clock(at_ms);
        self.last_job += 1;
        let job = JobId(self.last_job);
        for machine in new_job.machines {
            self.progress.insert(machine, self.requested(job, at_ms));
        }
        let entry = Job {
            requested_by: new_job.requested_by.to_owned(),
            reason: new_job.reason.to_owned(),
            expected_minutes: new_job.expected_minutes,
            is_paused: false,
            is_cancelled: false,
            prioritized: Vec::new(),
            machine_count: count as u32,
            completed: 0,
            spared: 0,
            requested_at_ms: at_ms,
            ended_at_ms: None,
        };
        self.jobs.insert(job, entry);
        Ok(job)
    }

    /// A machine that could never be scheduled is rejected at once, not kept waiting for ever.
    fn check_requestable(&self, machine: MachineId) -> Result<(), CommandRejected> {
        let spec = self.machines.get(&machine).ok_or(CommandRejected::UnknownMachine(machine))?;
        if let Some(progress) = self.progress.get(&machine) {
            return Err(CommandRejected::AlreadyInJob(machine, progress.job));
        }
        let alike = self.machines.values().filter(|other| other.is_alike(spec)).count();
        let is_last_voter = spec.hosts_voter() && self.voters().len() < MIN_VOTERS;
        let is_last_server = spec.front.is_none() && alike < MIN_ALIKE;
        if is_last_voter || is_last_server {
            return Err(CommandRejected::LastOfItsKind(machine));
        }
        Ok(())
    }

    fn requested(&self, job: JobId, at_ms: u64) -> MachineProgress {
        MachineProgress {
            job,
            stage: Stage::Requested,
            epoch: self.epoch,
            scheduled_at_ms: at_ms,
            stage_since_ms: at_ms,
            permit: 0,
            started_at_ms: 0,
            is_listed: false,
            is_confirmed: false,
            is_overdue: false,
            is_cancelled: false,
        }
    }

    fn cancel(&mut self, job: JobId, machine: Option<MachineId>) -> Result<JobId, CommandRejected> {
        self.open_job(job)?;
        let is_meant = |(m, progress): &(&MachineId, &MachineProgress)| {
            progress.job == job && machine.is_none_or(|one| one == **m)
        };
        let meant: Vec<(MachineId, Stage)> =
            self.progress.iter().filter(is_meant).map(|(m, progress)| (*m, progress.stage)).collect();
        if meant.is_empty() && machine.is_some() {
            return Err(CommandRejected::NotInJob);
        }
        if machine.is_none() {
            self.open_job(job)?.is_cancelled = true;
        }
        for (machine, stage) in meant {
            if stage < Stage::Released {
                self.spare(job, machine, stage)?;
            } else if let Some(progress) = self.progress.get_mut(&machine) {
                progress.is_cancelled = true;
            }
        }
        self.end_finished_jobs();
        Ok(job)
    }

    /// Takes a machine out of its job that has not been released.
    fn spare(&mut self, job: JobId, machine: MachineId, stage: Stage) -> Result<(), CommandRejected> {
        self.progress.remove(&machine);
        if stage.occupies_slot() {
            self.next_epoch();
        }
        self.open_job(job)?.spared += 1;
        Ok(())
    }

    fn prioritize(&mut self, job: JobId, machines: &[MachineId]) -> Result<JobId, CommandRejected> {
        if machines.len() > MAX_MACHINES {
            return Err(CommandRejected::LimitExceeded);
        }
        let is_elsewhere = |machine: &&MachineId| self.progress.get(machine).is_none_or(|p| p.job != job);
        if let Some(machine) = machines.iter().find(is_elsewhere) {
            return Err(CommandRejected::UnknownMachine(*machine));
        }
        self.open_job(job)?.prioritized = machines.to_vec();
        Ok(job)
    }

    fn confirm_return(&mut self, machine: MachineId) -> Result<JobId, CommandRejected> {
        let not_released = CommandRejected::NotReleased(machine);
        let progress = self.progress.get_mut(&machine).ok_or(not_released)?;
        match progress.stage {
            Stage::Released => {
                progress.is_confirmed = true;
                Ok(progress.job)
            }
            // Confirmed again: the same result.
            Stage::Returned | Stage::SlowStart if progress.is_confirmed => Ok(progress.job),
            _ => Err(not_released),
        }
    }

    fn declare_front_off(&mut self, front: FrontId) -> Result<JobId, CommandRejected> {
        let presence = self.fronts.get_mut(&front).ok_or(CommandRejected::FrontNotPresent(front))?;
        presence.is_declared_off = true;
        Ok(NO_JOB)
    }

    fn acknowledge(&mut self, acknowledgements: &[(HolderId, Epoch)]) -> Result<JobId, CommandRejected> {
        if acknowledgements.len() > MAX_FRONTS {
            return Err(CommandRejected::LimitExceeded);
        }
        for (holder, epoch) in acknowledgements {
            let presence = self.fronts.get_mut(&holder.front);
            if let Some(presence) = presence.filter(|p| p.incarnation == holder.incarnation) {
                presence.acknowledged = presence.acknowledged.max((*epoch).min(self.epoch));
                // It was heard, so its machine is not off.
                presence.is_declared_off = false;
            }
        }
        Ok(NO_JOB)
    }

    fn advance(
        &mut self,
        machine: MachineId,
        epoch: Epoch,
        step: Step,
        at_ms: u64,
    ) -> Result<JobId, CommandRejected> {
        let progress = self.progress.get(&machine).ok_or(CommandRejected::NotInJob)?;
        if progress.epoch != epoch {
            return Err(CommandRejected::StaleEpoch);
        }
        let job = progress.job;
        if (progress.stage, step) == (Stage::SlowStart, Step::Complete) {
            self.complete(machine, job, at_ms);
            return Ok(job);
        }
        let from = progress.stage;
        let to = self.next_stage(machine, progress, step)?;
        let at_ms = self.advance_clock(at_ms);
        let epoch = if to == from { epoch } else { self.next_epoch() };
        if matches!(step, Step::Release { .. }) {
            self.last_permit += 1;
        }
        let permit = self.last_permit;
        let progress = self.progress.get_mut(&machine).ok_or(CommandRejected::NotInJob)?;
        match step {
            Step::Schedule => progress.scheduled_at_ms = at_ms,
            Step::Release { started_at_ms } => {
                progress.permit = permit;
                progress.started_at_ms = started_at_ms;
            }
            Step::MarkOverdue => progress.is_overdue = true,
            Step::MarkListed => progress.is_listed = true,
            _ => {}
        }
        if to != from {
            progress.stage = to;
            progress.epoch = epoch;
            progress.stage_since_ms = at_ms;
            progress.is_overdue = false;
        }
        Ok(job)
    }

    /// The stage that a step leads to, if what has to hold for it does.
    fn next_stage(
        &self,
        machine: MachineId,
        progress: &MachineProgress,
        step: Step,
    ) -> Result<Stage, CommandRejected> {
        match (progress.stage, step) {
            (Stage::Requested, Step::Schedule) => {
                self.check_schedulable(machine, progress.job)?;
                Ok(Stage::Scheduled)
            }
            (Stage::Scheduled, Step::Drain) => {
                self.check_acknowledged(progress.epoch)?;
                Ok(Stage::Draining)
            }
            (Stage::Draining, Step::MarkDrained) => Ok(Stage::Drained),
            (Stage::Drained, Step::Release { .. }) => Ok(Stage::Released),
            (stage, Step::Revert) if stage.can_be_reverted() => Ok(Stage::Requested),
            (Stage::Released, Step::MarkOverdue | Step::MarkListed) => Ok(Stage::Released),
            (Stage::Released, Step::Return) if self.budget.return_policy.is_satisfied_by(progress) => {
                Ok(Stage::Returned)
            }
            (Stage::Released, Step::Return) => Err(CommandRejected::NotReleased(machine)),
            (Stage::Returned, Step::BeginSlowStart) => Ok(Stage::SlowStart),
            _ => Err(CommandRejected::StaleEpoch),
        }
    }

    fn check_schedulable(&self, machine: MachineId, job: JobId) -> Result<(), CommandRejected> {
        if self.jobs.get(&job).is_none_or(|job| job.is_paused || job.is_cancelled) {
            return Err(CommandRejected::JobPaused);
        }
        match self.exceeded_limit_of(machine) {
            Some(limit) => Err(CommandRejected::DisruptionLimit(limit)),
            None => Ok(()),
        }
    }

    fn check_acknowledged(&self, epoch: Epoch) -> Result<(), CommandRejected> {
        if self.has_untracked_fronts {
            return Err(CommandRejected::TooManyFronts);
        }
        let is_behind = |presence: &FrontPresence| !presence.is_declared_off && presence.acknowledged < epoch;
        match self.fronts.iter().find(|(_, presence)| is_behind(presence)) {
            Some((front, _)) => Err(CommandRejected::NotAcknowledged(*front)),
            None => Ok(()),
        }
    }

    /// The machine is in service again.
    fn complete(&mut self, machine: MachineId, job: JobId, at_ms: u64) {
        let at_ms = self.advance_clock(at_ms);
        if let Some(progress) = self.progress.remove(&machine) {
            self.durations_ms.push_back(at_ms.saturating_sub(progress.scheduled_at_ms));
        }
        if self.durations_ms.len() > MAX_DURATIONS {
            self.durations_ms.pop_front();
        }
        if let Some(job) = self.jobs.get_mut(&job) {
            job.completed += 1;
        }
        self.next_epoch();
        self.end_finished_jobs();
    }

    fn end_finished_jobs(&mut self) {
        for (id, job) in &mut self.jobs {
            if job.is_open() && !self.progress.values().any(|progress| progress.job == *id) {
                job.ended_at_ms = Some(self.clock_ms);
            }
        }
        let ended: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| !job.is_open()).map(|(id, _)| *id).collect();
        for id in ended.iter().take(ended.len().saturating_sub(MAX_ENDED_JOBS)) {
            self.jobs.remove(id);
        }
    }

    /// A machine that exceeds a limit besides the others. No command makes one, except an update to a tighter budget than
    /// what is out of service already.
    pub fn find_excess(&self) -> Option<(MachineId, DisruptionLimit)> {
        let mut placed = self.progress.iter().filter(|(_, progress)| progress.stage.occupies_slot());
        placed.find_map(|(machine, _)| Some((*machine, self.exceeded_limit_of(*machine)?)))
    }

    /// Checks epochs, jobs and permits against each other.
    ///
    /// # Errors
    /// The first violation that is found.
    pub fn check_invariant(&self) -> Result<(), InvariantViolation> {
        for (machine, progress) in &self.progress {
            if progress.epoch > self.epoch {
                return Err(InvariantViolation::EpochAhead { machine: *machine, epoch: progress.epoch });
            }
            if self.jobs.get(&progress.job).is_none_or(|job| !job.is_open()) {
                return Err(InvariantViolation::NoOpenJob { machine: *machine });
            }
            if (progress.stage >= Stage::Released) != (progress.permit > 0) {
                let (machine, stage, permit) = (*machine, progress.stage, progress.permit);
                return Err(InvariantViolation::WrongPermit { machine, stage, permit });
            }
        }
        Ok(())
    }
}

/// What is wrong with a state; never the case, whatever commands were applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// A machine's epoch is later than the state's.
    #[error("{machine:?} has epoch {epoch:?}, later than the state's")]
    EpochAhead {
        /// The machine.
        machine: MachineId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// A machine is in no open job.
    #[error("{machine:?} is in no open job")]
    NoOpenJob {
        /// The machine.
        machine: MachineId,
    },
    /// A machine has a permit before its release, or none after it.
    #[error("{machine:?} is {} with permit {permit}", stage.name())]
    WrongPermit {
        /// The machine.
        machine: MachineId,
        /// Its stage.
        stage: Stage,
        /// Its permit; 0 for none.
        permit: u64,
    },
}

//! The replicated maintenance state: the stage of every machine in a job.
//!
//! It is changed only by commands of the replicated log, and applying them is deterministic. A command that would
//! exceed the disruption budget is rejected. No command reads a clock: times are part of the command, and the state's
//! clock never goes back.
//!
//! | from | command | to | by | precondition | undone by |
//! | --- | --- | --- | --- | --- | --- |
//! | - | `Request` | requested | operator | configured, in no job | `Cancel` |
//! | requested | `Schedule` | scheduled | leader | disruption budget, job not paused | `Revert`, `Cancel` |
//! | scheduled | `Drain` | draining | leader | acknowledged by every present front | `Revert`, `Cancel` |
//! | draining | `MarkDrained` | drained | leader | per front: no open requests, or lease expired | `Revert`, `Cancel` |
//! | drained | `Release` | released | leader | - | `Return`, after the maintenance |
//! | released | `Return` | returned | leader | endpoint list, operator's confirmation, or both | - |
//! | returned | `BeginSlowStart` | slow start | leader | - | - |
//! | slow start | `Complete` | in service | leader | warm, and no front sees only failed attempts | - |

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elmtide_budgets::{Epoch, FrontId, HolderId};
use serde::{Deserialize, Serialize};

use crate::budget::{DisruptionBudget, DisruptionLimit};
use crate::command::{CommandRejected, MaintenanceCommand, Step};
use crate::job::{Job, JobId, MachineProgress};
use crate::machine::{DisruptedMachine, FrontPresence, MachineId, MachineSpec, Stage};

/// Maximum number of machines in a configuration, and of machines in one command.
pub const MAX_MACHINES: usize = 2048;
/// Maximum number of open jobs.
pub const MAX_JOBS: usize = 32;
/// Maximum number of fronts that are tracked.
pub const MAX_FRONTS: usize = 2048;
/// Maximum number of ended jobs that are kept for display.
const MAX_ENDED_JOBS: usize = 8;
/// Number of durations that the median is computed from.
const MAX_DURATIONS: usize = 32;
const MAX_NAME_BYTES: usize = 64;
const MAX_REASON_BYTES: usize = 200;
/// With fewer voters, taking one out of service leaves no majority.
const MIN_VOTERS: usize = 3;
/// With fewer servers of a kind at a location, taking one out of service leaves none.
const MIN_INTERCHANGEABLE: usize = 2;
/// Result of a command that concerns no job.
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
    /// More than `MAX_FRONTS` fronts have joined, so some are not tracked.
    has_untracked_fronts: bool,
    epoch: Epoch,
    last_permit: u64,
    last_job: u32,
    clock_ms: u64,
    /// Durations of the last machines' maintenance, from scheduled to in service.
    durations_ms: VecDeque<u64>,
}

/// An operator's request for a new job.
struct NewJob<'a> {
    machines: BTreeSet<MachineId>,
    requested_by: &'a str,
    reason: &'a str,
    expected_minutes: u32,
}

impl MaintenanceState {
    /// Version of the current machine configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Epoch of the last change that fronts have to acknowledge.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The configured machines, and machines removed from the configuration that are still in a job.
    pub fn machines(&self) -> &BTreeMap<MachineId, MachineSpec> {
        &self.machines
    }

    /// The limits on machines that are out of service at the same time.
    pub fn budget(&self) -> &DisruptionBudget {
        &self.budget
    }

    /// Progress of each machine in a job.
    pub fn progress(&self) -> &BTreeMap<MachineId, MachineProgress> {
        &self.progress
    }

    /// Open jobs, and the last jobs that have ended.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The fronts that are present.
    pub fn fronts(&self) -> &BTreeMap<FrontId, FrontPresence> {
        &self.fronts
    }

    /// The latest Unix time of any applied command, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Median duration of the last machines' maintenance, in milliseconds.
    pub fn median_duration_ms(&self) -> Option<u64> {
        let mut durations: Vec<u64> = self.durations_ms.iter().copied().collect();
        durations.sort_unstable();
        durations.get(durations.len() / 2).copied()
    }

    /// Whether fronts have no machine to exclude.
    pub fn excludes_nothing(&self) -> bool {
        self.progress.values().all(|progress| !progress.stage.is_disrupted())
    }

    /// Machines that host a voter.
    pub fn voters(&self) -> Vec<MachineId> {
        let voters = self.machines.iter().filter(|(_, spec)| spec.hosts_voter());
        voters.map(|(machine, _)| *machine).collect()
    }

    /// Machines that count against the disruption budget, as sent to fronts.
    pub fn disrupted_machines(&self) -> Vec<DisruptedMachine> {
        let disrupted = self.progress.iter().filter(|(_, progress)| progress.stage.is_disrupted());
        let address = |machine: &MachineId| self.machines.get(machine).and_then(|spec| spec.address);
        disrupted
            .map(|(machine, progress)| DisruptedMachine {
                machine: *machine,
                address: address(machine),
                stage: progress.stage,
            })
            .collect()
    }

    /// The limit that a machine would exceed if it were scheduled now.
    pub fn exceeded_limit_of(&self, machine: MachineId) -> Option<DisruptionLimit> {
        let spec = self.machines.get(&machine)?;
        let others = self.progress.iter().filter(|(m, p)| p.stage.is_disrupted() && **m != machine);
        let others: Vec<(MachineId, &MachineSpec)> =
            others.filter_map(|(m, _)| Some((*m, self.machines.get(m)?))).collect();
        self.budget.exceeded_limit(self.voters().len(), machine, spec, &others)
    }

    /// Tracks an incarnation of a front that has joined.
    pub fn on_join(&mut self, holder: HolderId) {
        if self.fronts.len() >= MAX_FRONTS && !self.fronts.contains_key(&holder.front) {
            self.has_untracked_fronts = true;
            return;
        }
        let presence =
            FrontPresence { incarnation: holder.incarnation, acknowledged: Epoch(0), is_declared_off: false };
        self.fronts.insert(holder.front, presence);
    }

    /// Forgets an incarnation of a front that has left; it sends no more requests.
    pub fn on_leave(&mut self, holder: HolderId) {
        if self.fronts.get(&holder.front).is_some_and(|f| f.incarnation == holder.incarnation) {
            self.fronts.remove(&holder.front);
        }
    }

    /// Forgets a front that was removed from the fleet.
    pub fn on_removed(&mut self, front: FrontId) {
        self.fronts.remove(&front);
    }

    /// Applies a command of the log. Returns the job that it concerns, or job 0 if it concerns none.
    ///
    /// # Errors
    /// The reason why the command was rejected.
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
        // A machine that is in a job is kept even if the new configuration does not contain it.
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
            self.progress.insert(machine, self.new_progress(job, at_ms));
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
            cancelled_count: 0,
            requested_at_ms: at_ms,
            ended_at_ms: None,
        };
        self.jobs.insert(job, entry);
        Ok(job)
    }

    /// Rejects a machine that could never be scheduled, rather than letting it wait forever.
    fn check_requestable(&self, machine: MachineId) -> Result<(), CommandRejected> {
        let spec = self.machines.get(&machine).ok_or(CommandRejected::UnknownMachine(machine))?;
        if let Some(progress) = self.progress.get(&machine) {
            return Err(CommandRejected::AlreadyInJob(machine, progress.job));
        }
        let interchangeable =
            self.machines.values().filter(|other| other.is_interchangeable_with(spec)).count();
        let is_last_voter = spec.hosts_voter() && self.voters().len() < MIN_VOTERS;
        let is_last_server = spec.front.is_none() && interchangeable < MIN_INTERCHANGEABLE;
        if is_last_voter || is_last_server {
            return Err(CommandRejected::LastOfItsKind(machine));
        }
        Ok(())
    }

    fn new_progress(&self, job: JobId, at_ms: u64) -> MachineProgress {
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
        let is_selected = |(m, progress): &(&MachineId, &MachineProgress)| {
            progress.job == job && machine.is_none_or(|one| one == **m)
        };
        let selected: Vec<(MachineId, Stage)> =
            self.progress.iter().filter(is_selected).map(|(m, progress)| (*m, progress.stage)).collect();
        if selected.is_empty() && machine.is_some() {
            return Err(CommandRejected::NotInJob);
        }
        if machine.is_none() {
            self.open_job(job)?.is_cancelled = true;
        }
        for (machine, stage) in selected {
            if stage < Stage::Released {
                self.remove_from_job(job, machine, stage)?;
            } else if let Some(progress) = self.progress.get_mut(&machine) {
                progress.is_cancelled = true;
            }
        }
        self.end_finished_jobs();
        Ok(job)
    }

    /// Removes a machine that has not been released from its job.
    fn remove_from_job(
        &mut self,
        job: JobId,
        machine: MachineId,
        stage: Stage,
    ) -> Result<(), CommandRejected> {
        self.progress.remove(&machine);
        if stage.is_disrupted() {
            self.next_epoch();
        }
        self.open_job(job)?.cancelled_count += 1;
        Ok(())
    }

    fn prioritize(&mut self, job: JobId, machines: &[MachineId]) -> Result<JobId, CommandRejected> {
        if machines.len() > MAX_MACHINES {
            return Err(CommandRejected::LimitExceeded);
        }
        let is_not_in_job = |machine: &&MachineId| self.progress.get(machine).is_none_or(|p| p.job != job);
        if let Some(machine) = machines.iter().find(is_not_in_job) {
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
            // Repeating the confirmation gives the same result.
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
                // A front cannot have seen an epoch that is later than the state's.
                presence.acknowledged = presence.acknowledged.max((*epoch).min(self.epoch));
                // The front has reported, so its machine is not off.
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

    /// The stage that a step leads to, if its preconditions hold.
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

    /// Removes a machine that is in service again from its job.
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

    /// Finds a machine that exceeds a limit together with the other machines out of service. No command causes this,
    /// except an update to a budget that is already exceeded.
    pub fn find_exceeded_limit(&self) -> Option<(MachineId, DisruptionLimit)> {
        let mut disrupted = self.progress.iter().filter(|(_, progress)| progress.stage.is_disrupted());
        disrupted.find_map(|(machine, _)| Some((*machine, self.exceeded_limit_of(*machine)?)))
    }

    /// Checks epochs, jobs and permits against each other.
    ///
    /// # Errors
    /// The first violation found.
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

/// An inconsistency of the state, which no sequence of commands may cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// A machine's epoch is later than the epoch of the state.
    #[error("{machine:?} has epoch {epoch:?}, later than the epoch of the state")]
    EpochAhead {
        /// The machine.
        machine: MachineId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// The job of a machine has ended or does not exist.
    #[error("the job of {machine:?} has ended or does not exist")]
    NoOpenJob {
        /// The machine.
        machine: MachineId,
    },
    /// A machine has a permit before its release, or none after it.
    #[error("{machine:?} is in stage {} with permit {permit}", stage.name())]
    WrongPermit {
        /// The machine.
        machine: MachineId,
        /// Its stage.
        stage: Stage,
        /// Its permit; 0 for none.
        permit: u64,
    },
}

//! What the leader proposes: from what fronts report with their lease requests, and by its own clock from its own election on. All
//! of it is volatile; a new leader hears it again.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::{Epoch, FrontId, HolderId, Micros};

use crate::budget::DisruptionBudget;
use crate::command::{MaintenanceCommand, Step};
use crate::job::MachineProgress;
use crate::machine::{FrontPresence, MachineId, MachineSpec, Stage};
use crate::planning::{self, capacity_shortfall, Observations};
use crate::report::{
    MachineObservation, MaintenanceDetails, MaintenanceReport, MaintenanceView, ObservedState, WaitReason,
    WorkOutcome, MAX_OBSERVATIONS,
};
use crate::state::MaintenanceState;

/// Most steps that are proposed at once.
const MAX_STEPS_PER_PLAN: usize = 256;
/// A machine that is warm and that nobody sends to counts as in service after this long.
const UNUSED_TIMEOUT_MS: u64 = 3000;
const MS_PER_MINUTE: u64 = 60_000;
const FULLY_WARM: u8 = 100;

/// The moment, and what the leader knows besides what fronts report.
pub struct CoordinatorInput<'a> {
    /// The leader's monotonic clock.
    pub monotonic: Micros,
    /// The leader's Unix clock, in milliseconds.
    pub wall_ms: u64,
    /// Length of a lease.
    pub lease: Micros,
    /// The leader's own front.
    pub own: FrontId,
    /// When the lease that a holder may have must have expired, and everything that was decided under it must have ended.
    pub drained_at: &'a dyn Fn(HolderId) -> Micros,
}

/// What the leader proposes.
#[derive(Debug, Default)]
pub struct Proposal {
    /// Commands for the log.
    pub commands: Vec<MaintenanceCommand>,
    /// The leader's own machine is to go: another one leads first.
    pub transfers_leadership: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct ReceivedReport {
    received_at: Micros,
    report: MaintenanceReport,
}

/// One machine that is being advanced.
struct Candidate<'a> {
    machine: MachineId,
    spec: &'a MachineSpec,
    progress: &'a MachineProgress,
}

/// The leader's side, new with each election.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MaintenanceCoordinator {
    reports: BTreeMap<HolderId, ReceivedReport>,
    wait_reasons: BTreeMap<MachineId, WaitReason>,
    /// Down or failing without being in maintenance.
    missing: BTreeSet<MachineId>,
    /// The epochs that holders were last notified of.
    notified: BTreeMap<HolderId, Epoch>,
    /// Machines that were seen away since their release.
    seen_away: BTreeSet<MachineId>,
}

impl MaintenanceCoordinator {
    /// A coordinator that has heard nothing yet.
    pub fn new() -> MaintenanceCoordinator {
        MaintenanceCoordinator::default()
    }

    /// Takes what a front reports.
    pub fn on_report(
        &mut self,
        state: &MaintenanceState,
        holder: HolderId,
        mut report: MaintenanceReport,
        now: Micros,
    ) {
        if !is_present(state, holder) {
            return;
        }
        report.observations.truncate(MAX_OBSERVATIONS);
        report.drained.truncate(MAX_OBSERVATIONS);
        // What it has acknowledged does not go back.
        if let Some(before) = self.reports.get(&holder) {
            report.acknowledged = report.acknowledged.max(before.report.acknowledged);
        }
        self.reports.insert(holder, ReceivedReport { received_at: now, report });
    }

    /// What goes with a response to this holder; nothing for one that reports nothing.
    pub fn view(&self, state: &MaintenanceState, holder: HolderId, wall_ms: u64) -> Option<MaintenanceView> {
        let report = &self.reports.get(&holder)?.report;
        if state.version() == 0 {
            return None;
        }
        let is_known = report.acknowledged == Some(state.epoch());
        let details = report.needs_details.then(|| Box::new(self.details(state, wall_ms)));
        Some(MaintenanceView {
            epoch: state.epoch(),
            machines_version: state.version(),
            placed: (!is_known).then(|| state.placed_machines()),
            details,
        })
    }

    fn details(&self, state: &MaintenanceState, wall_ms: u64) -> MaintenanceDetails {
        MaintenanceDetails {
            jobs: state.jobs().iter().map(|(id, job)| (*id, job.clone())).collect(),
            progress: state.progress().iter().map(|(m, progress)| (*m, progress.clone())).collect(),
            wait_reasons: self.wait_reasons.iter().map(|(m, reason)| (*m, *reason)).collect(),
            missing: self.missing.iter().copied().take(MAX_OBSERVATIONS).collect(),
            median_duration_ms: state.median_duration_ms(),
            now_ms: wall_ms.max(state.clock_ms()),
        }
    }

    /// Holders that should renew now: they have neither acknowledged the last epoch, nor been notified of it.
    pub fn holders_to_notify(&mut self, state: &MaintenanceState) -> Vec<HolderId> {
        let epoch = state.epoch();
        let behind = self.reports.iter().filter(|(_, r)| r.report.acknowledged != Some(epoch));
        let behind: Vec<HolderId> = behind.map(|(holder, _)| *holder).collect();
        let notified = &mut self.notified;
        behind.into_iter().filter(|holder| notified.insert(*holder, epoch) != Some(epoch)).collect()
    }

    fn recent_reports<'a>(
        &'a self,
        input: &'a CoordinatorInput,
    ) -> impl Iterator<Item = (HolderId, &'a MaintenanceReport)> + 'a {
        let recent = self.reports.iter().filter(|(_, r)| is_recent(r.received_at, input));
        recent.map(|(holder, received)| (*holder, &received.report))
    }

    fn is_reachable(&self, holder: HolderId, input: &CoordinatorInput) -> bool {
        self.reports.get(&holder).is_some_and(|received| is_recent(received.received_at, input))
    }

    /// What fronts report, put together.
    pub fn observations(&self, state: &MaintenanceState, input: &CoordinatorInput) -> Observations {
        let is_voter = |front: FrontId| state.machines().values().any(|s| s.hosts_voter() && hosts(s, front));
        let reachable = self.recent_reports(input).map(|(holder, _)| holder.front);
        Observations {
            lost: self.lost_machines(state, input),
            load: self.load(state),
            blocked_by: self.blocked_by(state, input),
            reachable_voters: reachable.filter(|front| is_voter(*front)).collect(),
        }
    }

    /// Machines that look bad to most fronts that observe them, without being in maintenance.
    fn lost_machines(&self, state: &MaintenanceState, input: &CoordinatorInput) -> BTreeSet<MachineId> {
        let mut votes: BTreeMap<MachineId, (u32, u32)> = BTreeMap::new();
        for (_, report) in self.recent_reports(input) {
            for (machine, observation) in &report.observations {
                let (bad, all) = votes.entry(*machine).or_default();
                *bad += u32::from(observation.state != ObservedState::Ready);
                *all += 1;
            }
        }
        let is_in_maintenance = |m: &MachineId| {
            let stage = state.progress().get(m).map(|progress| progress.stage);
            stage.is_some_and(|stage| stage.is_excluded() || stage == Stage::SlowStart)
        };
        let lost = votes.into_iter().filter(|(m, (bad, all))| bad * 2 > *all && !is_in_maintenance(m));
        lost.map(|(machine, _)| machine).collect()
    }

    fn load(&self, state: &MaintenanceState) -> BTreeMap<(u16, u16), u64> {
        let mut load = BTreeMap::new();
        for (machine, observation) in self.reports.values().flat_map(|r| &r.report.observations) {
            if let Some(spec) = state.machines().get(machine) {
                *load.entry((spec.location, spec.kind)).or_default() += u64::from(observation.load);
            }
        }
        load
    }

    fn blocked_by(&self, state: &MaintenanceState, input: &CoordinatorInput) -> Option<WaitReason> {
        if state.budget().is_blackout(input.wall_ms) {
            return Some(WaitReason::Blackout);
        }
        let overloaded = self.recent_reports(input).find(|(_, report)| report.is_overloaded);
        if let Some((holder, _)) = overloaded {
            return Some(WaitReason::FrontOverloaded(holder.front));
        }
        let mut present = state.fronts().iter();
        let unreachable = present.find(|(front, presence)| {
            !presence.is_declared_off && !self.is_reachable(holder_of(**front, presence), input)
        });
        unreachable.map(|(front, _)| WaitReason::FrontUnreachable(*front))
    }

    /// What is to be proposed now.
    pub fn propose(&mut self, state: &MaintenanceState, input: &CoordinatorInput) -> Proposal {
        self.forget_former(state);
        let mut proposal = Proposal::default();
        if state.progress().is_empty() {
            self.wait_reasons.clear();
            // Only operators need it then.
            if self.reports.values().any(|received| received.report.needs_details) {
                self.missing = self.lost_machines(state, input);
            }
            return proposal;
        }
        proposal.commands.extend(self.acknowledgements(state, input));
        let observations = self.observations(state, input);
        self.missing.clone_from(&observations.lost);
        let planning::Schedule { machines, mut wait_reasons } = planning::schedule(state, &observations);
        self.advance_placed(state, &observations, input, &mut proposal, &mut wait_reasons);
        let left = MAX_STEPS_PER_PLAN.saturating_sub(proposal.commands.len());
        for machine in machines.into_iter().take(left) {
            let Some(progress) = state.progress().get(&machine) else { continue };
            proposal.commands.push(advance(machine, progress, Step::Schedule, input));
        }
        self.wait_reasons = wait_reasons;
        proposal
    }

    fn forget_former(&mut self, state: &MaintenanceState) {
        self.reports.retain(|holder, _| is_present(state, *holder));
        self.notified.retain(|holder, _| is_present(state, *holder));
        let is_released = |m: &MachineId| state.progress().get(m).is_some_and(|p| p.stage == Stage::Released);
        self.seen_away.retain(is_released);
    }

    /// Proposes the next step of each machine that is on its way, or notes why there is none.
    fn advance_placed(
        &mut self,
        state: &MaintenanceState,
        observations: &Observations,
        input: &CoordinatorInput,
        proposal: &mut Proposal,
        wait_reasons: &mut BTreeMap<MachineId, WaitReason>,
    ) {
        for (machine, progress) in state.progress().iter().filter(|(_, p)| p.stage.occupies_slot()) {
            let Some(spec) = state.machines().get(machine) else { continue };
            let candidate = Candidate { machine: *machine, spec, progress };
            let reason = match self.next_step(state, observations, input, &candidate) {
                Ok(step) => {
                    if proposal.commands.len() < MAX_STEPS_PER_PLAN {
                        proposal.commands.push(advance(*machine, progress, step, input));
                    }
                    WaitReason::ReadyToAdvance
                }
                Err(reason) => reason,
            };
            proposal.transfers_leadership |= reason == WaitReason::LeadershipTransfer;
            wait_reasons.insert(*machine, reason);
        }
    }

    /// Acknowledged views where a machine waits for them; and that a front is heard that was declared off.
    fn acknowledgements(
        &self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
    ) -> Option<MaintenanceCommand> {
        let scheduled = state.progress().values().filter(|p| p.stage == Stage::Scheduled);
        let awaited = scheduled.map(|progress| progress.epoch).max()?;
        let news = self.recent_reports(input).filter_map(|(holder, report)| {
            let acknowledged = report.acknowledged?;
            let presence = state.fronts().get(&holder.front)?;
            let is_awaited = presence.acknowledged < awaited && acknowledged > presence.acknowledged;
            (is_awaited || presence.is_declared_off).then_some((holder, acknowledged))
        });
        let acknowledgements: Vec<(HolderId, Epoch)> = news.collect();
        let is_any = !acknowledgements.is_empty();
        is_any.then_some(MaintenanceCommand::Acknowledge { acknowledgements })
    }

    fn next_step(
        &mut self,
        state: &MaintenanceState,
        observations: &Observations,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> Result<Step, WaitReason> {
        let Candidate { machine, spec, progress } = candidate;
        let job = state.jobs().get(&progress.job);
        if progress.stage.can_be_reverted() {
            if is_capacity_short_without(state, observations, *machine, spec) {
                return Ok(Step::Revert);
            }
            if job.is_some_and(|job| job.is_paused) {
                return Err(WaitReason::JobPaused);
            }
        }
        match progress.stage {
            Stage::Requested => Err(WaitReason::ReadyToAdvance),
            Stage::Scheduled => {
                self.check_acknowledged(state, observations, input, candidate)?;
                Ok(Step::Drain)
            }
            Stage::Draining => {
                self.check_drained(state, input, candidate)?;
                Ok(Step::MarkDrained)
            }
            Stage::Drained => Ok(Step::Release { started_at_ms: self.last_start(input, *machine) }),
            Stage::Released => {
                let expected_minutes = u64::from(job.map_or(0, |job| job.expected_minutes));
                self.step_of_released(state, input, candidate, expected_minutes)
            }
            Stage::Returned => {
                self.warm_percent(state, input, *machine, spec)?;
                Ok(Step::BeginSlowStart)
            }
            Stage::SlowStart => self.step_of_slow_start(state, observations, input, candidate),
        }
    }

    fn step_of_released(
        &mut self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
        candidate: &Candidate,
        expected_minutes: u64,
    ) -> Result<Step, WaitReason> {
        let progress = candidate.progress;
        if !progress.is_listed && self.is_listed_anew(state, input, candidate) {
            return Ok(Step::MarkListed);
        }
        if state.budget().return_policy.is_satisfied_by(progress) {
            return Ok(Step::Return);
        }
        let elapsed_ms = input.wall_ms.saturating_sub(progress.stage_since_ms);
        let is_late = expected_minutes > 0 && elapsed_ms > expected_minutes * MS_PER_MINUTE;
        if is_late && !progress.is_overdue {
            return Ok(Step::MarkOverdue);
        }
        Err(WaitReason::InMaintenance)
    }

    fn step_of_slow_start(
        &self,
        state: &MaintenanceState,
        observations: &Observations,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> Result<Step, WaitReason> {
        let Candidate { machine, spec, progress } = candidate;
        let warm = self.warm_percent(state, input, *machine, spec)?;
        let with_outcome = |outcome: WorkOutcome| {
            self.observations_of(input, *machine).find(|(_, observation)| observation.work == outcome)
        };
        if let Some((front, _)) = with_outcome(WorkOutcome::NoneSucceeded) {
            return Err(WaitReason::Unproven(front));
        }
        let is_in_demand = spec.front.is_none() && observations.load_beside(spec) > 0;
        let elapsed_ms = input.wall_ms.saturating_sub(progress.stage_since_ms);
        let may_still_be_used = is_in_demand && elapsed_ms < UNUSED_TIMEOUT_MS;
        let is_unproven = may_still_be_used && with_outcome(WorkOutcome::Succeeded).is_none();
        if warm == FULLY_WARM && !is_unproven {
            Ok(Step::Complete)
        } else {
            Err(WaitReason::SlowStart(warm))
        }
    }

    /// Whether every front that is present has acknowledged that the machine is scheduled, and enough voters are left.
    fn check_acknowledged(
        &self,
        state: &MaintenanceState,
        observations: &Observations,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> Result<(), WaitReason> {
        let epoch = candidate.progress.epoch;
        let is_behind = |p: &FrontPresence| !p.is_declared_off && p.acknowledged < epoch;
        if let Some((front, presence)) = state.fronts().iter().find(|(_, p)| is_behind(p)) {
            let is_reachable = self.is_reachable(holder_of(*front, presence), input);
            return Err(match is_reachable {
                true => WaitReason::NotAcknowledged(*front),
                false => WaitReason::FrontUnreachable(*front),
            });
        }
        let Some(hosted) = candidate.spec.front else { return Ok(()) };
        if hosted.is_voter {
            let left = observations.reachable_voters.iter().filter(|front| **front != hosted.id).count();
            if left * 2 <= state.voters().len() {
                return Err(WaitReason::VoterMajority);
            }
        }
        if hosted.id == input.own {
            return Err(WaitReason::LeadershipTransfer);
        }
        Ok(())
    }

    /// Whether no front has an open request at the machine, or may have one.
    fn check_drained(
        &self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> Result<(), WaitReason> {
        let epoch = Some(candidate.progress.epoch);
        for (front, presence) in state.fronts().iter().filter(|(_, p)| !p.is_declared_off) {
            let holder = holder_of(*front, presence);
            let report = self.reports.get(&holder).map(|received| &received.report);
            let is_drained =
                report.is_some_and(|r| r.acknowledged >= epoch && r.drained.contains(&candidate.machine));
            if is_drained || input.monotonic >= (input.drained_at)(holder) {
                continue;
            }
            return Err(match self.is_reachable(holder, input) {
                true => WaitReason::OpenRequests(*front),
                false => WaitReason::FrontUnreachable(*front),
            });
        }
        Ok(())
    }

    fn observations_of<'a>(
        &'a self,
        input: &'a CoordinatorInput,
        machine: MachineId,
    ) -> impl Iterator<Item = (FrontId, MachineObservation)> + 'a {
        self.recent_reports(input).filter_map(move |(holder, report)| {
            let (_, observation) = report.observations.iter().find(|(m, _)| *m == machine)?;
            Some((holder.front, *observation))
        })
    }

    fn last_start(&self, input: &CoordinatorInput, machine: MachineId) -> u64 {
        self.observations_of(input, machine).map(|(_, o)| o.started_at_ms).max().unwrap_or(0)
    }

    /// Whether the endpoint list has the machine anew: with another start, or after it was away; or its front has joined again.
    fn is_listed_anew(
        &mut self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> bool {
        let Candidate { machine, spec, progress } = candidate;
        if let Some(hosted) = spec.front {
            let presence = state.fronts().get(&hosted.id);
            if presence.is_none() {
                self.seen_away.insert(*machine);
            }
            return presence.is_some_and(|p| p.incarnation.0 > 0) && self.seen_away.contains(machine);
        }
        let observed: Vec<MachineObservation> =
            self.observations_of(input, *machine).map(|(_, observation)| observation).collect();
        let is_away =
            |o: &MachineObservation| matches!(o.state, ObservedState::Absent | ObservedState::Draining);
        if !observed.is_empty() && observed.iter().all(is_away) {
            self.seen_away.insert(*machine);
        }
        let was_away = self.seen_away.contains(machine);
        let is_anew = |o: &MachineObservation| {
            let has_restarted = o.started_at_ms > 0 && o.started_at_ms != progress.started_at_ms;
            !is_away(o) && (has_restarted || was_away)
        };
        observed.iter().any(is_anew)
    }

    /// How far the machine's slow start has come; or why it is not ready.
    fn warm_percent(
        &self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
        machine: MachineId,
        spec: &MachineSpec,
    ) -> Result<u8, WaitReason> {
        if let Some(hosted) = spec.front {
            let presence = state.fronts().get(&hosted.id).ok_or(WaitReason::NotReady)?;
            let is_reachable = self.is_reachable(holder_of(hosted.id, presence), input);
            return if is_reachable { Ok(FULLY_WARM) } else { Err(WaitReason::FrontUnreachable(hosted.id)) };
        }
        let observed: Vec<(FrontId, MachineObservation)> = self.observations_of(input, machine).collect();
        if let Some((front, _)) = observed.iter().find(|(_, o)| o.state == ObservedState::Failing) {
            return Err(WaitReason::Failing(*front));
        }
        if observed.iter().any(|(_, o)| o.state != ObservedState::Ready) {
            return Err(WaitReason::NotReady);
        }
        observed.iter().map(|(_, o)| o.warm_percent).min().ok_or(WaitReason::NotReady)
    }
}

fn is_recent(received_at: Micros, input: &CoordinatorInput) -> bool {
    input.monotonic.saturating_sub(received_at) <= input.lease
}

fn is_present(state: &MaintenanceState, holder: HolderId) -> bool {
    state.fronts().get(&holder.front).is_some_and(|p| p.incarnation == holder.incarnation)
}

fn holder_of(front: FrontId, presence: &FrontPresence) -> HolderId {
    HolderId { front, incarnation: presence.incarnation }
}

fn hosts(spec: &MachineSpec, front: FrontId) -> bool {
    spec.front.is_some_and(|hosted| hosted.id == front)
}

fn advance(
    machine: MachineId,
    progress: &MachineProgress,
    step: Step,
    input: &CoordinatorInput,
) -> MaintenanceCommand {
    MaintenanceCommand::Advance { machine, epoch: progress.epoch, step, at_ms: input.wall_ms }
}

/// Whether too little is left while this machine goes, now that others are lost: then it is put back into service.
fn is_capacity_short_without(
    state: &MaintenanceState,
    observations: &Observations,
    machine: MachineId,
    spec: &MachineSpec,
) -> bool {
    let is_placed = |m: &MachineId| state.progress().get(m).is_some_and(|p| p.stage.occupies_slot());
    let with_spec = |m: &MachineId| Some((*m, state.machines().get(m)?));
    let lost = observations.lost.iter().filter(|m| **m != machine && !is_placed(m));
    let lost: Vec<(MachineId, &MachineSpec)> = lost.filter_map(with_spec).collect();
    let is_near = |(m, other): &(MachineId, &MachineSpec)| {
        (other.location == spec.location && other.kind == spec.kind)
            || state.budget().excluded_partners(machine).any(|partner| partner == *m)
    };
    if !lost.iter().any(is_near) {
        return false;
    }
    let placed = state.progress().keys().filter(|m| is_placed(m) && **m != machine);
    let out: Vec<(MachineId, &MachineSpec)> =
        placed.filter_map(with_spec).chain(lost.iter().copied()).collect();
    if state.budget().exceeded_limit(usize::MAX, machine, spec, &out).is_some() {
        return true;
    }
    let budget = DisruptionBudget { tolerates_further_loss: false, ..state.budget().clone() };
    let is_out = |m: &MachineId| is_placed(m) || observations.lost.contains(m);
    capacity_shortfall(&budget, state.machines(), observations, spec, &is_out).is_some()
}

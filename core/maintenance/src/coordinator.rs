//! Decides which commands the leader proposes, from the reports that fronts send with their lease requests and from the
//! leader's own clock since its election. This state is volatile: a new leader rebuilds it from the next reports.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::{Epoch, FrontId, HolderId, Micros};

use crate::budget::DisruptionBudget;
use crate::command::{MaintenanceCommand, Step};
use crate::job::MachineProgress;
use crate::machine::{FrontPresence, MachineId, MachineSpec, Stage};
use crate::planning::{self, capacity_shortfall, Observations};
use crate::report::{
    AttemptOutcome, MachineObservation, MaintenanceDetails, MaintenanceReport, MaintenanceView,
    ObservedState, WaitReason, MAX_OBSERVATIONS,
};
use crate::state::MaintenanceState;

/// Maximum number of commands in one proposal.
const MAX_COMMANDS_PER_PROPOSAL: usize = 256;
/// A warm machine that receives no attempts is considered in service after this time in slow start.
const UNUSED_TIMEOUT_MS: u64 = 3000;
const MS_PER_MINUTE: u64 = 60_000;
const FULLY_WARM: u8 = 100;

/// The current time, and what the leader knows in addition to the fronts' reports.
pub struct CoordinatorInput<'a> {
    /// The leader's monotonic clock.
    pub monotonic: Micros,
    /// The leader's Unix clock, in milliseconds.
    pub wall_ms: u64,
    /// Duration of a lease.
    pub lease: Micros,
    /// The leader's own front.
    pub own_front: FrontId,
    /// Monotonic time by which any lease of this holder has expired and every request sent under it has ended.
    pub requests_ended_at: &'a dyn Fn(HolderId) -> Micros,
}

/// The leader's proposals.
#[derive(Debug, Default)]
pub struct Proposal {
    /// Commands to propose to the replicated log.
    pub commands: Vec<MaintenanceCommand>,
    /// The leader's own machine is next to be drained, so leadership has to be transferred first.
    pub transfers_leadership: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct ReceivedReport {
    received_at: Micros,
    report: MaintenanceReport,
}

/// A machine that may advance to its next stage.
struct Candidate<'a> {
    machine: MachineId,
    spec: &'a MachineSpec,
    progress: &'a MachineProgress,
}

/// The volatile state of the leader; created anew at each election.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MaintenanceCoordinator {
    reports: BTreeMap<HolderId, ReceivedReport>,
    wait_reasons: BTreeMap<MachineId, WaitReason>,
    /// Machines that are down or failing without being in maintenance.
    lost: BTreeSet<MachineId>,
    /// Last epoch that each holder was notified of.
    notified: BTreeMap<HolderId, Epoch>,
    /// Machines that were observed as absent or draining, or whose front was not present, since their release.
    seen_absent: BTreeSet<MachineId>,
}

impl MaintenanceCoordinator {
    /// A coordinator without any reports.
    pub fn new() -> MaintenanceCoordinator {
        MaintenanceCoordinator::default()
    }

    /// Stores the report of a front; ignored unless this incarnation of the front is present.
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
        // Acknowledged epochs never go back.
        if let Some(before) = self.reports.get(&holder) {
            report.acknowledged = report.acknowledged.max(before.report.acknowledged);
        }
        self.reports.insert(holder, ReceivedReport { received_at: now, report });
    }

    /// The view to send with the response to this holder; `None` if it has sent no report or nothing is configured.
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
            disrupted: (!is_known).then(|| state.disrupted_machines()),
            details,
        })
    }

    fn details(&self, state: &MaintenanceState, wall_ms: u64) -> MaintenanceDetails {
        MaintenanceDetails {
            jobs: state.jobs().iter().map(|(id, job)| (*id, job.clone())).collect(),
            progress: state.progress().iter().map(|(m, progress)| (*m, progress.clone())).collect(),
            wait_reasons: self.wait_reasons.iter().map(|(m, reason)| (*m, *reason)).collect(),
            lost: self.lost.iter().copied().take(MAX_OBSERVATIONS).collect(),
            median_duration_ms: state.median_duration_ms(),
            now_ms: wall_ms.max(state.clock_ms()),
        }
    }

    /// Holders that should renew their lease now because they have neither acknowledged the current epoch nor been
    /// notified of it. Each is returned once per epoch.
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

    /// Combines the reports of the fronts.
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

    /// Machines that are not in maintenance and that most of the fronts observing them find not ready.
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

    /// Decides what to propose now.
    pub fn propose(&mut self, state: &MaintenanceState, input: &CoordinatorInput) -> Proposal {
        self.forget_departed(state);
        let mut proposal = Proposal::default();
        if state.progress().is_empty() {
            self.wait_reasons.clear();
            // Without machines in a job, only operators need the lost machines.
            if self.reports.values().any(|received| received.report.needs_details) {
                self.lost = self.lost_machines(state, input);
            }
            return proposal;
        }
        proposal.commands.extend(self.acknowledgements(state, input));
        let observations = self.observations(state, input);
        self.lost.clone_from(&observations.lost);
        let planning::Schedule { machines, mut wait_reasons } = planning::schedule(state, &observations);
        self.advance_disrupted(state, &observations, input, &mut proposal, &mut wait_reasons);
        let left = MAX_COMMANDS_PER_PROPOSAL.saturating_sub(proposal.commands.len());
        for machine in machines.into_iter().take(left) {
            let Some(progress) = state.progress().get(&machine) else { continue };
            proposal.commands.push(advance(machine, progress, Step::Schedule, input));
        }
        self.wait_reasons = wait_reasons;
        proposal
    }

    fn forget_departed(&mut self, state: &MaintenanceState) {
        self.reports.retain(|holder, _| is_present(state, *holder));
        self.notified.retain(|holder, _| is_present(state, *holder));
        let is_released = |m: &MachineId| state.progress().get(m).is_some_and(|p| p.stage == Stage::Released);
        self.seen_absent.retain(is_released);
    }

    /// Proposes the next step of each machine that counts against the disruption budget, or records why it waits.
    fn advance_disrupted(
        &mut self,
        state: &MaintenanceState,
        observations: &Observations,
        input: &CoordinatorInput,
        proposal: &mut Proposal,
        wait_reasons: &mut BTreeMap<MachineId, WaitReason>,
    ) {
        for (machine, progress) in state.progress().iter().filter(|(_, p)| p.stage.is_disrupted()) {
            let Some(spec) = state.machines().get(machine) else { continue };
            let candidate = Candidate { machine: *machine, spec, progress };
            let reason = match self.next_step(state, observations, input, &candidate) {
                Ok(step) => {
                    if proposal.commands.len() < MAX_COMMANDS_PER_PROPOSAL {
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

    /// Acknowledgements that a scheduled machine waits for, and those of fronts that were declared off but have
    /// reported.
    fn acknowledgements(
        &self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
    ) -> Option<MaintenanceCommand> {
        let scheduled = state.progress().values().filter(|p| p.stage == Stage::Scheduled);
        let needed_epoch = scheduled.map(|progress| progress.epoch).max()?;
        let updates = self.recent_reports(input).filter_map(|(holder, report)| {
            let acknowledged = report.acknowledged?;
            let presence = state.fronts().get(&holder.front)?;
            let is_needed = presence.acknowledged < needed_epoch && acknowledged > presence.acknowledged;
            (is_needed || presence.is_declared_off).then_some((holder, acknowledged))
        });
        let acknowledgements: Vec<(HolderId, Epoch)> = updates.collect();
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
            Stage::Drained => Ok(Step::Release { started_at_ms: self.latest_start_ms(input, *machine) }),
            Stage::Released => {
                let expected_minutes = u64::from(job.map_or(0, |job| job.expected_minutes));
                self.next_step_released(state, input, candidate, expected_minutes)
            }
            Stage::Returned => {
                self.warm_percent(state, input, *machine, spec)?;
                Ok(Step::BeginSlowStart)
            }
            Stage::SlowStart => self.next_step_slow_start(state, observations, input, candidate),
        }
    }

    fn next_step_released(
        &mut self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
        candidate: &Candidate,
        expected_minutes: u64,
    ) -> Result<Step, WaitReason> {
        let progress = candidate.progress;
        if !progress.is_listed && self.is_listed_again(state, input, candidate) {
            return Ok(Step::MarkListed);
        }
        if state.budget().return_policy.is_satisfied_by(progress) {
            return Ok(Step::Return);
        }
        let elapsed_ms = input.wall_ms.saturating_sub(progress.stage_since_ms);
        let is_past_expected = expected_minutes > 0 && elapsed_ms > expected_minutes * MS_PER_MINUTE;
        if is_past_expected && !progress.is_overdue {
            return Ok(Step::MarkOverdue);
        }
        Err(WaitReason::InMaintenance)
    }

    fn next_step_slow_start(
        &self,
        state: &MaintenanceState,
        observations: &Observations,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> Result<Step, WaitReason> {
        let Candidate { machine, spec, progress } = candidate;
        let warm = self.warm_percent(state, input, *machine, spec)?;
        let with_outcome = |outcome: AttemptOutcome| {
            self.observations_of(input, *machine)
                .find(|(_, observation)| observation.attempt_outcome == outcome)
        };
        if let Some((front, _)) = with_outcome(AttemptOutcome::NoneSucceeded) {
            return Err(WaitReason::Unproven(front));
        }
        let is_in_demand = spec.front.is_none() && observations.group_load(spec) > 0;
        let elapsed_ms = input.wall_ms.saturating_sub(progress.stage_since_ms);
        let may_still_be_used = is_in_demand && elapsed_ms < UNUSED_TIMEOUT_MS;
        let is_unproven = may_still_be_used && with_outcome(AttemptOutcome::Succeeded).is_none();
        if warm == FULLY_WARM && !is_unproven {
            Ok(Step::Complete)
        } else {
            Err(WaitReason::SlowStart(warm))
        }
    }

    /// Checks that every front that is present has acknowledged the scheduled stage, that the remaining reachable
    /// voters are a majority, and that the leader does not run on the machine.
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
        if hosted.id == input.own_front {
            return Err(WaitReason::LeadershipTransfer);
        }
        Ok(())
    }

    /// Checks that no front can have an open request at the machine.
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
            if is_drained || input.monotonic >= (input.requests_ended_at)(holder) {
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

    fn latest_start_ms(&self, input: &CoordinatorInput, machine: MachineId) -> u64 {
        self.observations_of(input, machine).map(|(_, o)| o.started_at_ms).max().unwrap_or(0)
    }

    /// Whether the machine is back: the endpoint list contains it with another start time or after it was absent, or
    /// its front has joined again.
    fn is_listed_again(
        &mut self,
        state: &MaintenanceState,
        input: &CoordinatorInput,
        candidate: &Candidate,
    ) -> bool {
        let Candidate { machine, spec, progress } = candidate;
        if let Some(hosted) = spec.front {
            let presence = state.fronts().get(&hosted.id);
            if presence.is_none() {
                self.seen_absent.insert(*machine);
            }
            return presence.is_some_and(|p| p.incarnation.0 > 0) && self.seen_absent.contains(machine);
        }
        let observed: Vec<MachineObservation> =
            self.observations_of(input, *machine).map(|(_, observation)| observation).collect();
        let is_absent =
            |o: &MachineObservation| matches!(o.state, ObservedState::Absent | ObservedState::Draining);
        if !observed.is_empty() && observed.iter().all(is_absent) {
            self.seen_absent.insert(*machine);
        }
        let was_absent = self.seen_absent.contains(machine);
        let has_returned = |o: &MachineObservation| {
            let has_restarted = o.started_at_ms > 0 && o.started_at_ms != progress.started_at_ms;
            !is_absent(o) && (has_restarted || was_absent)
        };
        observed.iter().any(has_returned)
    }

    /// Progress of the machine's slow start in percent, or why it is not ready.
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

/// Whether too little capacity is left without this machine because others are lost. Such a machine is put back into
/// service.
fn is_capacity_short_without(
    state: &MaintenanceState,
    observations: &Observations,
    machine: MachineId,
    spec: &MachineSpec,
) -> bool {
    let is_disrupted = |m: &MachineId| state.progress().get(m).is_some_and(|p| p.stage.is_disrupted());
    let with_spec = |m: &MachineId| Some((*m, state.machines().get(m)?));
    let lost = observations.lost.iter().filter(|m| **m != machine && !is_disrupted(m));
    let lost: Vec<(MachineId, &MachineSpec)> = lost.filter_map(with_spec).collect();
    let shares_limit = |(m, other): &(MachineId, &MachineSpec)| {
        (other.location == spec.location && other.kind == spec.kind)
            || state.budget().excluded_partners(machine).any(|partner| partner == *m)
    };
    if !lost.iter().any(shares_limit) {
        return false;
    }
    let disrupted = state.progress().keys().filter(|m| is_disrupted(m) && **m != machine);
    let out: Vec<(MachineId, &MachineSpec)> =
        disrupted.filter_map(with_spec).chain(lost.iter().copied()).collect();
    if state.budget().exceeded_limit(usize::MAX, machine, spec, &out).is_some() {
        return true;
    }
    let budget = DisruptionBudget { tolerates_further_loss: false, ..state.budget().clone() };
    let is_out = |m: &MachineId| is_disrupted(m) || observations.lost.contains(m);
    capacity_shortfall(&budget, state.machines(), observations, spec, &is_out).is_some()
}

//! Decides which machines may go out of service at the same time, and why others wait.
//!
//! Machines are chosen greedily, those first whose tightest limit needs the most rounds. The order is recomputed after
//! every event, and each decision has exactly one reason. The design page compares this with using a solver.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::FrontId;

use crate::budget::DisruptionBudget;
use crate::machine::{MachineId, MachineSpec};
use crate::report::WaitReason;
use crate::state::MaintenanceState;

/// What the leader knows from the fronts' reports, in addition to the replicated state. It may be wrong; the disruption
/// budget is kept regardless.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Machines that are down or failing without being in maintenance.
    pub lost: BTreeSet<MachineId>,
    /// Load per location and kind, in thousandths of the capacity of a machine of weight one.
    pub load: BTreeMap<(u16, u16), u64>,
    /// If set, no machine is scheduled, for this reason.
    pub blocked_by: Option<WaitReason>,
    /// Voting fronts with a recent report.
    pub reachable_voters: BTreeSet<FrontId>,
}

impl Observations {
    /// Load on the servers of the same kind at the same location as this machine.
    pub fn group_load(&self, spec: &MachineSpec) -> u64 {
        self.load.get(&(spec.location, spec.kind)).copied().unwrap_or(0)
    }
}

/// Machines that can be scheduled now, and why the others wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// Machines to schedule, in this order.
    pub machines: Vec<MachineId>,
    /// The reason for every requested machine.
    pub wait_reasons: BTreeMap<MachineId, WaitReason>,
}

/// Machines and their configuration.
type Machines<'a> = Vec<(MachineId, &'a MachineSpec)>;

/// Machines in a job, grouped for scheduling.
#[derive(Default)]
struct MachinesInJobs<'a> {
    disrupted: Machines<'a>,
    requested: Vec<MachineId>,
    paused: Vec<MachineId>,
    /// One overdue machine per location.
    overdue: BTreeMap<u16, MachineId>,
}

fn machines_in_jobs(state: &MaintenanceState) -> MachinesInJobs<'_> {
    let mut machines = MachinesInJobs::default();
    for (machine, progress) in state.progress() {
        let Some(spec) = state.machines().get(machine) else { continue };
        if progress.is_overdue {
            machines.overdue.insert(spec.location, *machine);
        }
        if progress.stage.is_disrupted() {
            machines.disrupted.push((*machine, spec));
        } else if state.jobs().get(&progress.job).is_some_and(|job| job.is_paused) {
            machines.paused.push(*machine);
        } else {
            machines.requested.push(*machine);
        }
    }
    machines
}

/// Decides which requested machines can be scheduled now, and why the others wait.
pub fn schedule(state: &MaintenanceState, observations: &Observations) -> Schedule {
    let MachinesInJobs { mut disrupted, requested, paused, overdue } = machines_in_jobs(state);
    let mut schedule = Schedule::default();
    schedule.wait_reasons.extend(paused.into_iter().map(|machine| (machine, WaitReason::JobPaused)));
    for machine in order_by_priority(state, &requested) {
        let Some(spec) = state.machines().get(&machine) else { continue };
        let overdue_nearby = || overdue.get(&spec.location).map(|m| WaitReason::PermitOverdue(*m));
        let reason = observations
            .blocked_by
            .or_else(overdue_nearby)
            .or_else(|| blocking_reason(state, observations, machine, spec, &disrupted));
        if reason.is_none() {
            disrupted.push((machine, spec));
            schedule.machines.push(machine);
        }
        schedule.wait_reasons.insert(machine, reason.unwrap_or(WaitReason::ReadyToAdvance));
    }
    schedule
}

/// Machines that an operator has prioritized come first, then those of all jobs with the tightest limits.
fn order_by_priority(state: &MaintenanceState, requested: &[MachineId]) -> Vec<MachineId> {
    let priority = |machine: &MachineId| {
        let progress = state.progress().get(machine);
        let job = progress.and_then(|progress| state.jobs().get(&progress.job));
        job.and_then(|job| job.prioritized.iter().position(|m| m == machine)).unwrap_or(usize::MAX)
    };
    let mut order = order_by_tightness(state.budget(), state.machines(), requested);
    order.sort_by_key(priority);
    order
}

/// Why this machine can't go out of service in addition to `disrupted`.
fn blocking_reason(
    state: &MaintenanceState,
    observations: &Observations,
    machine: MachineId,
    spec: &MachineSpec,
    disrupted: &[(MachineId, &MachineSpec)],
) -> Option<WaitReason> {
    let budget = state.budget();
    let voters = state.voters().len();
    if let Some(limit) = budget.exceeded_limit(voters, machine, spec, disrupted) {
        return Some(WaitReason::DisruptionLimit(limit));
    }
    // Lost machines count against the budget as well.
    let is_disrupted = |m: &MachineId| *m == machine || disrupted.iter().any(|(other, _)| other == m);
    let lost = observations.lost.iter().filter(|m| !is_disrupted(m));
    let lost: Machines = lost.filter_map(|m| Some((*m, state.machines().get(m)?))).collect();
    let all: Machines = disrupted.iter().chain(&lost).copied().collect();
    if budget.exceeded_limit(voters, machine, spec, &all).is_some() {
        let shares_limit = |(m, other): &&(MachineId, &MachineSpec)| {
            other.location == spec.location || budget.excluded_partners(machine).any(|p| p == *m)
        };
        let cause = lost.iter().find(shares_limit).or(lost.first());
        return Some(WaitReason::MachineLost(cause.map_or(machine, |(m, _)| *m)));
    }
    if spec.hosts_voter() && !leaves_voter_majority(observations, spec, disrupted, voters) {
        return Some(WaitReason::VoterMajority);
    }
    let is_out = |m: &MachineId| is_disrupted(m) || observations.lost.contains(m);
    capacity_shortfall(budget, state.machines(), observations, spec, &is_out)
}

/// Whether the reachable voters would still be a majority without `disrupted` and this machine.
fn leaves_voter_majority(
    observations: &Observations,
    spec: &MachineSpec,
    disrupted: &[(MachineId, &MachineSpec)],
    voters: usize,
) -> bool {
    let own = spec.front.map(|front| front.id);
    let is_out = |front: &FrontId| {
        Some(*front) == own || disrupted.iter().any(|(_, s)| s.front.is_some_and(|f| f.id == *front))
    };
    let left = observations.reachable_voters.iter().filter(|front| !is_out(front)).count();
    left * 2 > voters
}

/// Whether the servers of this kind at this location that are not out of service have too little capacity, as a wait
/// reason.
pub fn capacity_shortfall(
    budget: &DisruptionBudget,
    machines: &BTreeMap<MachineId, MachineSpec>,
    observations: &Observations,
    spec: &MachineSpec,
    is_out: &dyn Fn(&MachineId) -> bool,
) -> Option<WaitReason> {
    if spec.front.is_some() {
        return None;
    }
    let group = machines.iter().filter(|(_, other)| other.is_interchangeable_with(spec));
    let available: Vec<u64> =
        group.filter(|(m, _)| !is_out(m)).map(|(_, other)| u64::from(other.weight)).collect();
    let largest = available.iter().max().copied().unwrap_or(0);
    let further_loss = if budget.tolerates_further_loss { largest } else { 0 };
    let remaining = available.iter().sum::<u64>() - further_loss;
    let load = observations.group_load(spec);
    let required = load * (100 + u64::from(budget.capacity_margin_percent)) / 100;
    // At least one machine has to remain even if no load is measured.
    let is_enough = !available.is_empty() && remaining >= required;
    let shortfall = WaitReason::CapacityShortfall { remaining: remaining as u32, required: required as u32 };
    (!is_enough).then_some(shortfall)
}

/// A group of machines that one limit applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LimitGroup {
    Location { location: u16, kind: u16 },
    Hub(u16),
    Kind(u16),
}

impl LimitGroup {
    fn all_of(spec: &MachineSpec) -> [LimitGroup; 3] {
        let location = LimitGroup::Location { location: spec.location, kind: spec.kind };
        [location, LimitGroup::Hub(spec.hub), LimitGroup::Kind(spec.kind)]
    }

    /// The limit for this group; 0 means no limit.
    fn limit(self, budget: &DisruptionBudget) -> u16 {
        match self {
            LimitGroup::Location { .. } => budget.per_location,
            LimitGroup::Hub(0) => 0,
            LimitGroup::Hub(_) => budget.per_hub,
            LimitGroup::Kind(_) => budget.per_kind,
        }
    }

    /// Number of rounds that this many machines of the group need.
    fn rounds(self, budget: &DisruptionBudget, count: usize) -> usize {
        match self.limit(budget) {
            0 => 1,
            limit => count.div_ceil(usize::from(limit)),
        }
    }
}

fn count_groups<'a>(specs: impl Iterator<Item = &'a MachineSpec>) -> BTreeMap<LimitGroup, usize> {
    let mut counts = BTreeMap::new();
    for group in specs.flat_map(LimitGroup::all_of) {
        *counts.entry(group).or_default() += 1;
    }
    counts
}

/// Machines whose tightest limit needs the most rounds come first; ties are ordered by name, as an operator would
/// expect.
fn order_by_tightness(
    budget: &DisruptionBudget,
    machines: &BTreeMap<MachineId, MachineSpec>,
    requested: &[MachineId],
) -> Vec<MachineId> {
    let counts = count_groups(requested.iter().filter_map(|m| machines.get(m)));
    let waiting: BTreeSet<MachineId> = requested.iter().copied().collect();
    let rounds = |machine: &MachineId| {
        let Some(spec) = machines.get(machine) else { return 0 };
        let groups = LimitGroup::all_of(spec).into_iter();
        let by_limit = groups.map(|g| g.rounds(budget, counts.get(&g).copied().unwrap_or(0))).max();
        let has_partner = budget.excluded_partners(*machine).any(|partner| waiting.contains(&partner));
        by_limit.unwrap_or(1).max(if has_partner { 2 } else { 1 })
    };
    let name = |machine: &MachineId| machines.get(machine).map_or("", |spec| &spec.name[..]);
    let mut order: Vec<(usize, MachineId)> = requested.iter().map(|m| (rounds(m), *m)).collect();
    order.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(&a.1).cmp(name(&b.1))));
    order.into_iter().map(|(_, machine)| machine).collect()
}

/// Result of a dry run: the rounds in which machines would go out of service if nothing else changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DryRun {
    /// The machines of each round.
    pub rounds: Vec<Vec<MachineId>>,
    /// Machines that could never go out of service, with the reason.
    pub blocked: BTreeMap<MachineId, WaitReason>,
}

/// Computes the rounds in which these machines would go out of service if nothing else changed.
pub fn plan_rounds(state: &MaintenanceState, observations: &Observations, machines: &[MachineId]) -> DryRun {
    let known = machines.iter().copied().filter(|m| state.machines().contains_key(m));
    let mut left: BTreeSet<MachineId> = known.collect();
    let mut dry_run = DryRun::default();
    loop {
        let order =
            order_by_tightness(state.budget(), state.machines(), &left.iter().copied().collect::<Vec<_>>());
        let mut disrupted: Machines = Vec::new();
        let mut blocked = BTreeMap::new();
        for machine in order {
            let Some(spec) = state.machines().get(&machine) else { continue };
            match blocking_reason(state, observations, machine, spec, &disrupted) {
                Some(reason) => drop(blocked.insert(machine, reason)),
                None => disrupted.push((machine, spec)),
            }
        }
        if disrupted.is_empty() {
            dry_run.blocked = blocked;
            return dry_run;
        }
        let round: Vec<MachineId> = disrupted.iter().map(|(machine, _)| *machine).collect();
        left.retain(|machine| !round.contains(machine));
        dry_run.rounds.push(round);
    }
}

/// A lower bound on the number of rounds, from the limits alone.
pub fn min_rounds(
    budget: &DisruptionBudget,
    machines: &BTreeMap<MachineId, MachineSpec>,
    requested: &[MachineId],
) -> usize {
    let counts = count_groups(requested.iter().filter_map(|m| machines.get(m)));
    let by_limit = counts.iter().map(|(group, count)| group.rounds(budget, *count)).max().unwrap_or(0);
    let hosts_voter = |m: &&MachineId| machines.get(m).is_some_and(MachineSpec::hosts_voter);
    let voters_requested = requested.iter().filter(hosts_voter).count();
    let voters = machines.values().filter(|spec| spec.hosts_voter()).count();
    let by_voters = voters_requested.div_ceil((voters.saturating_sub(1) / 2).max(1));
    let has_pair = requested.iter().any(|m| budget.excluded_partners(*m).any(|p| requested.contains(&p)));
    by_limit.max(by_voters).max(if has_pair { 2 } else { 0 })
}

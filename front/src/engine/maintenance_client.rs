//! The engine's side of machine maintenance: which members are excluded by the view from the fleet's thread at the
//! current time, and what the engine reports back about the machines.

use std::collections::{BTreeMap, BTreeSet};

use elmtide::{Availability, Listing, MemberId, Ms, Settings};
use elmtide_budgets::Clocks;
use elmtide_maintenance::report::{
    AttemptOutcome, LeasedMaintenanceView, MachineObservation, ObservedState, MAX_OBSERVATIONS,
};
use elmtide_maintenance::{MachineId, MaintenanceExclusions, MaintenanceReport, Stage};

use crate::exchange::MembersUpdate;
use crate::process::clock;

/// Time constant of the decay of a machine's load, in microseconds.
const LOAD_DECAY_MICROS: f64 = 2_000_000.0;
/// Work of a request of unknown size, in milliseconds at the full transfer rate.
const DEFAULT_WORK_MS: Ms = 50.0;

/// The engine's view of machines under maintenance.
#[derive(Debug)]
pub struct MaintenanceClient {
    /// The clocks as read at the engine's current input.
    now: Clocks,
    exclusions: MaintenanceExclusions,
    /// The machine that this front runs on, if the fleet's file lists it.
    own_machine: Option<MachineId>,
    /// Of the members that are listed, and of those that are gone and have attempts in flight: nothing that matters for a
    /// machine is forgotten, however many members come and go.
    machine_of_member: BTreeMap<MemberId, MachineId>,
    /// Those of them that are gone.
    gone: BTreeSet<MemberId>,
    /// Members' start times as stamped by the lists.
    stamped_starts: BTreeMap<MemberId, Option<Ms>>,
    /// Members whose machines were excluded at the last `refresh`.
    excluded: BTreeSet<MemberId>,
    /// Machines that this front's lists have contained; one that is no longer listed is reported as absent.
    listed_machines: BTreeSet<MachineId>,
    /// Whether the lease on the view was valid at the last `refresh`.
    had_lease: bool,
    /// Machines that were sent work since their last release: whether any of it succeeded.
    work_succeeded: BTreeMap<MachineId, bool>,
    /// Recent work sent to each machine, in decaying milliseconds.
    load: BTreeMap<MachineId, f64>,
    /// When `load` was last decayed, in microseconds of the monotonic clock.
    load_decayed_at: u64,
}

impl MaintenanceClient {
    pub fn new(exclusions: MaintenanceExclusions, own_machine: Option<MachineId>) -> MaintenanceClient {
        MaintenanceClient {
            now: clock::both_clocks(),
            exclusions,
            own_machine,
            machine_of_member: BTreeMap::new(),
            gone: BTreeSet::new(),
            stamped_starts: BTreeMap::new(),
            excluded: BTreeSet::new(),
            listed_machines: BTreeSet::new(),
            had_lease: false,
            work_succeeded: BTreeMap::new(),
            load: BTreeMap::new(),
            load_decayed_at: 0,
        }
    }

    /// Sets the clocks of the next input.
    pub fn set_time(&mut self, now: Clocks) {
        self.now = now;
    }

    /// Applies a view from the fleet's thread.
    pub fn apply(&mut self, view: &LeasedMaintenanceView) {
        self.exclusions.apply(view, self.now);
    }

    /// Updates which machine each listed member is on.
    pub fn update_members(&mut self, members_update: &MembersUpdate) {
        if members_update.full {
            self.gone = self.machine_of_member.keys().copied().collect();
        }
        for member in &members_update.members {
            if member.gone {
                self.gone.insert(member.member);
                continue;
            }
            self.gone.remove(&member.member);
            let machine = self.exclusions.machine_at(&member.name, member.addr);
            self.machine_of_member.insert(member.member, machine);
            self.stamped_starts.insert(member.member, member.started_at);
        }
    }

    /// Forgets the members that are gone and have no attempts in flight.
    fn forget_gone(&mut self, is_open_at: impl Fn(MemberId) -> bool) {
        let (forgotten, kept) = std::mem::take(&mut self.gone).into_iter().partition(|m| !is_open_at(*m));
        self.gone = kept;
        let forgotten: BTreeSet<MemberId> = forgotten;
        self.machine_of_member.retain(|member, _| !forgotten.contains(member));
        self.stamped_starts.retain(|member, _| !forgotten.contains(member));
    }

    /// Whether the lease on the view has begun or expired since the last `refresh`, so that the exclusions may be
    /// stale.
    pub fn lease_has_changed(&self) -> bool {
        self.had_lease != self.exclusions.has_valid_lease(self.now)
    }

    /// Recomputes the excluded members and returns those that changed.
    pub fn refresh(&mut self) -> Vec<MemberId> {
        let now = self.now;
        self.had_lease = self.exclusions.has_valid_lease(now);
        let excluded: BTreeSet<MemberId> = (self.machine_of_member.iter())
            .filter(|(_, machine)| self.exclusions.is_excluded(**machine, now))
            .map(|(member, _)| *member)
            .collect();
        let changed = excluded.symmetric_difference(&self.excluded).copied().collect();
        self.excluded = excluded;
        changed
    }

    /// Members whose machines are released or just returned: earlier failures don't count for a returning machine.
    pub fn released_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        let is_released_machine =
            |machine: &MachineId| self.exclusions.stage(*machine).is_some_and(is_released);
        self.machine_of_member
            .iter()
            .filter(move |(_, machine)| is_released_machine(machine))
            .map(|(member, _)| *member)
    }

    /// Records that a member completed a request's work.
    pub fn note_success(&mut self, member: MemberId) {
        let Some(machine) = self.machine_of_member.get(&member).copied() else { return };
        if self.exclusions.knows(machine) {
            self.work_succeeded.insert(machine, true);
        }
    }

    /// The members excluded at the last `refresh`.
    pub fn excluded(&self) -> &BTreeSet<MemberId> {
        &self.excluded
    }

    /// Whether this front's own machine is excluded, so that clients are sent to other fronts.
    pub fn is_own_machine_excluded(&self) -> bool {
        let stage = self.own_machine.and_then(|machine| self.exclusions.stage(machine));
        stage.is_some_and(|s| s.is_excluded())
    }

    /// Records that work was sent to these members.
    pub fn note_work_sent(&mut self, members: &[MemberId], work: Option<Ms>) {
        self.decay_load();
        for machine in members.iter().filter_map(|m| self.machine_of_member.get(m)) {
            if self.exclusions.knows(*machine) {
                *self.load.entry(*machine).or_default() += work.unwrap_or(DEFAULT_WORK_MS);
                self.work_succeeded.entry(*machine).or_insert(false);
            }
        }
    }

    fn decay_load(&mut self) {
        let now = self.now.monotonic;
        let kept_fraction = (-(now.saturating_sub(self.load_decayed_at) as f64) / LOAD_DECAY_MICROS).exp();
        self.load_decayed_at = now;
        self.load.values_mut().for_each(|load| *load *= kept_fraction);
        self.load.retain(|_, load| *load > 1e-3);
    }

    /// The report to send with the next lease request. `is_open_at` tells whether a member has attempts in flight,
    /// `is_front_idle` whether this front has nothing open and takes no more requests.
    pub fn report(
        &mut self,
        listed: &[Listing],
        settings: &Settings,
        now: Ms,
        is_failing: impl Fn(MemberId) -> bool,
        is_open_at: impl Fn(MemberId) -> bool,
        is_front_idle: bool,
    ) -> MaintenanceReport {
        self.decay_load();
        self.forget_gone(&is_open_at);
        let exclusions = &self.exclusions;
        let is_in_use = |m: MachineId| exclusions.knows(m) && !exclusions.stage(m).is_some_and(is_released);
        // Work from before a machine's release says nothing about the machine that returns.
        self.work_succeeded.retain(|machine, _| is_in_use(*machine));
        self.load.retain(|machine, _| is_in_use(*machine));
        let mut observations: BTreeMap<MachineId, MachineObservation> = BTreeMap::new();
        for listing in listed {
            let Some(machine) = self.machine_of_member.get(&listing.member).copied() else { continue };
            let is_parent = Some(listing.kind) == settings.parent_kind;
            let is_own =
                (is_parent || listing.zone == settings.zone) && Some(listing.kind) != settings.origin_kind;
            if !is_own || !self.exclusions.knows(machine) {
                continue;
            }
            let observed_state = match listing.availability {
                Availability::Gone => ObservedState::Absent,
                Availability::Draining => ObservedState::Draining,
                Availability::Ready if is_failing(listing.member) => ObservedState::Failing,
                Availability::Ready => ObservedState::Ready,
            };
            let slow_start_duration =
                if is_parent { settings.parent_cold_duration } else { settings.cold_duration };
            let progress = listing
                .started_at
                .zip(slow_start_duration.filter(|s| *s > 0.0))
                .map(|(started_at, slow_start_duration)| (now - started_at) / slow_start_duration);
            let observation = MachineObservation {
                state: observed_state,
                // The stamped time, unconverted: all fronts must report the same value for one start.
                started_at_ms: (self.stamped_starts.get(&listing.member).copied().flatten())
                    .map_or(0, |ms| ms.max(0.0) as u64),
                warm_percent: (progress.unwrap_or(1.0).clamp(0.0, 1.0) * 100.0) as u8,
                load: (self.load.get(&machine).copied().unwrap_or(0.0) / (LOAD_DECAY_MICROS / 1e6)) as u32,
                attempt_outcome: match self.work_succeeded.get(&machine) {
                    None => AttemptOutcome::NoneSent,
                    Some(false) if !is_parent => AttemptOutcome::NoneSucceeded,
                    Some(_) => AttemptOutcome::Succeeded,
                },
            };
            self.listed_machines.insert(machine);
            // A machine that is listed under several names has the best of their states.
            let is_better = |before: &MachineObservation| {
                observed_state == ObservedState::Ready || before.state == ObservedState::Absent
            };
            if observations.get(&machine).is_none_or(is_better) {
                observations.insert(machine, observation);
            }
        }
        let absent = MachineObservation { state: ObservedState::Absent, ..MachineObservation::default() };
        for machine in &self.listed_machines {
            observations.entry(*machine).or_insert(absent);
        }
        while self.listed_machines.len() > MAX_OBSERVATIONS {
            self.listed_machines.pop_first();
        }
        let members_on = |machine: MachineId| {
            self.machine_of_member.iter().filter(move |(_, m)| **m == machine).map(|(id, _)| *id)
        };
        let drained =
            self.exclusions.excluded_by_view().filter(|machine| match Some(*machine) == self.own_machine {
                true => is_front_idle,
                false => !members_on(*machine).any(&is_open_at),
            });
        MaintenanceReport {
            acknowledged: self.exclusions.has_view().then(|| self.exclusions.epoch()),
            drained: drained.collect(),
            observations: observations.into_iter().take(MAX_OBSERVATIONS).collect(),
            is_overloaded: false,
            needs_details: false,
        }
    }
}

/// Whether nobody sends to the machine any more and its earlier state no longer counts.
fn is_released(stage: Stage) -> bool {
    matches!(stage, Stage::Released | Stage::Returned)
}

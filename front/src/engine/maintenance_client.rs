//! Machines out for work, where requests are decided: what is kept off by the view that the fleet's thread has told, as the clocks of
//! the moment have it, and what is said back of them.

use std::collections::{BTreeMap, BTreeSet};

use elmtide::{Availability, Listing, MemberId, Ms, Settings};
use elmtide_budgets::Clocks;
use elmtide_maintenance::report::{
    AttemptOutcome, LeasedMaintenanceView, MachineObservation, ObservedState, MAX_OBSERVATIONS,
};
use elmtide_maintenance::{MachineId, MaintenanceExclusions, MaintenanceReport, Stage};

use crate::exchange::MembersNews;
use crate::process::clock;

/// Members whose machines are remembered.
const MOST: usize = 4096;
/// Load is reckoned over so many microseconds.
const FADE: f64 = 2_000_000.0;
/// Work of a request whose size is not told, in milliseconds at full pace.
const WORK: Ms = 50.0;

#[derive(Debug)]
pub struct MaintenanceClient {
    /// The clocks of this input of the engine.
    now: Clocks,
    viewer: MaintenanceExclusions,
    /// The machine that this front runs on, if it is one of the file's.
    own: Option<MachineId>,
    members: BTreeMap<MemberId, MachineId>,
    /// When members started, as the lists have stamped it.
    stamped_starts: BTreeMap<MemberId, Option<Ms>>,
    off: BTreeSet<MemberId>,
    /// Machines that this front has had in its lists: one that is in none any more is absent.
    mine: BTreeSet<MachineId>,
    /// Whether the lease on the view was in force when `off` was made.
    leased: bool,
    /// Machines that were sent work since they were let go last: whether any was done well.
    tried: BTreeMap<MachineId, bool>,
    load: BTreeMap<MachineId, f64>,
    faded: u64,
}

impl MaintenanceClient {
    pub fn new(viewer: MaintenanceExclusions, own: Option<MachineId>) -> MaintenanceClient {
        MaintenanceClient {
            now: clock::both(),
            viewer,
            own,
            members: BTreeMap::new(),
            stamped_starts: BTreeMap::new(),
            off: BTreeSet::new(),
            mine: BTreeSet::new(),
            leased: false,
            tried: BTreeMap::new(),
            load: BTreeMap::new(),
            faded: 0,
        }
    }

    /// Another input: the clocks of its moment.
    pub fn at(&mut self, now: Clocks) {
        self.now = now;
    }

    /// What the fleet's thread was told.
    pub fn take(&mut self, told: &LeasedMaintenanceView) {
        self.viewer.apply(told, self.now);
    }

    /// Which machine each member of a list is.
    pub fn learn(&mut self, news: &MembersNews) {
        for member in news.members.iter().filter(|m| !m.gone) {
            let machine = self.viewer.machine_at(&member.name, member.addr);
            self.members.insert(member.member, machine);
            self.stamped_starts.insert(member.member, member.started_at);
        }
        while self.members.len() > MOST {
            self.members.pop_first();
        }
        while self.stamped_starts.len() > MOST {
            self.stamped_starts.pop_first();
        }
    }

    /// Whether what is kept off may be out of date: the lease on the view has begun or ended since.
    pub fn turned(&self) -> bool {
        self.leased != self.viewer.has_valid_lease(self.now)
    }

    /// Looks again at what is kept off by now; the members of which that has changed.
    pub fn refresh(&mut self) -> Vec<MemberId> {
        let now = self.now;
        self.leased = self.viewer.has_valid_lease(now);
        let off: BTreeSet<MemberId> = (self.members.iter())
            .filter(|(_, machine)| self.viewer.is_excluded(**machine, now))
            .map(|(member, _)| *member)
            .collect();
        let changed = off.symmetric_difference(&self.off).copied().collect();
        self.off = off;
        changed
    }

    /// Members whose machines are let go or just back: what they failed before that is another machine's past.
    pub fn let_go(&self) -> impl Iterator<Item = MemberId> + '_ {
        let gone = |machine: &MachineId| self.viewer.stage(*machine).is_some_and(is_let_go);
        self.members.iter().filter(move |(_, machine)| gone(machine)).map(|(member, _)| *member)
    }

    /// Work of a request was done well there.
    pub fn served(&mut self, member: MemberId) {
        let Some(machine) = self.members.get(&member).copied() else { return };
        if self.viewer.knows(machine) {
            self.tried.insert(machine, true);
        }
    }

    pub fn off(&self) -> &BTreeSet<MemberId> {
        &self.off
    }

    /// Whether this front's own machine is to go: clients are sent away.
    pub fn goes(&self) -> bool {
        let stage = self.own.and_then(|own| self.viewer.stage(own));
        stage.is_some_and(|s| s.is_excluded())
    }

    /// Work was sent to these.
    pub fn sent(&mut self, members: &[MemberId], work: Option<Ms>) {
        self.fade();
        for machine in members.iter().filter_map(|m| self.members.get(m)) {
            if self.viewer.knows(*machine) {
                *self.load.entry(*machine).or_default() += work.unwrap_or(WORK);
                self.tried.entry(*machine).or_insert(false);
            }
        }
    }

    fn fade(&mut self) {
        let now = self.now.monotonic;
        let keep = (-(now.saturating_sub(self.faded) as f64) / FADE).exp();
        self.faded = now;
        self.load.values_mut().for_each(|load| *load *= keep);
        self.load.retain(|_, load| *load > 1e-3);
    }

    /// What is said with the next ask. `open` tells whether something is open at a member; `busy` whether anything is open at all.
    pub fn said(
        &mut self,
        listed: &[Listing],
        set: &Settings,
        now: Ms,
        failing: impl Fn(MemberId) -> bool,
        open: impl Fn(MemberId) -> bool,
        busy: bool,
    ) -> MaintenanceReport {
        self.fade();
        let viewer = &self.viewer;
        let there = |m: MachineId| viewer.knows(m) && !viewer.stage(m).is_some_and(is_let_go);
        // What was sent and done before it was let go says nothing of the one that comes back.
        self.tried.retain(|machine, _| there(*machine));
        self.load.retain(|machine, _| there(*machine));
        let mut sights: BTreeMap<MachineId, MachineObservation> = BTreeMap::new();
        for listing in listed {
            let Some(machine) = self.members.get(&listing.member).copied() else { continue };
            let parent = Some(listing.kind) == set.parent_kind;
            let ours = (parent || listing.zone == set.zone) && Some(listing.kind) != set.origin_kind;
            if !ours || !self.viewer.knows(machine) {
                continue;
            }
            let looks = match listing.availability {
                Availability::Gone => ObservedState::Absent,
                Availability::Draining => ObservedState::Draining,
                Availability::Ready if failing(listing.member) => ObservedState::Failing,
                Availability::Ready => ObservedState::Ready,
            };
            let span = if parent { set.parent_cold_duration } else { set.cold_duration };
            let age = listing
                .started_at
                .zip(span.filter(|s| *s > 0.0))
                .map(|(started_at, span)| (now - started_at) / span);
            let sight = MachineObservation {
                state: looks,
                // As it was stamped: all fronts have to name one start alike.
                started_at_ms: (self.stamped_starts.get(&listing.member).copied().flatten())
                    .map_or(0, |ms| ms.max(0.0) as u64),
                warm_percent: (age.unwrap_or(1.0).clamp(0.0, 1.0) * 100.0) as u8,
                load: (self.load.get(&machine).copied().unwrap_or(0.0) / (FADE / 1e6)) as u32,
                attempt_outcome: match self.tried.get(&machine) {
                    None => AttemptOutcome::NoneSent,
                    Some(false) if !parent => AttemptOutcome::NoneSucceeded,
                    Some(_) => AttemptOutcome::Succeeded,
                },
            };
            self.mine.insert(machine);
            // A machine that is listed under several names is as good as the best of them.
            let better = |before: &MachineObservation| {
                looks == ObservedState::Ready || before.state == ObservedState::Absent
            };
            if sights.get(&machine).is_none_or(better) {
                sights.insert(machine, sight);
            }
        }
        let absent = MachineObservation { state: ObservedState::Absent, ..MachineObservation::default() };
        for machine in &self.mine {
            sights.entry(*machine).or_insert(absent);
        }
        while self.mine.len() > MAX_OBSERVATIONS {
            self.mine.pop_first();
        }
        let at =
            |machine: MachineId| self.members.iter().filter(move |(_, m)| **m == machine).map(|(id, _)| *id);
        let clear = self.viewer.excluded_by_view().filter(|machine| match Some(*machine) == self.own {
            true => !busy,
            false => !at(*machine).any(&open),
        });
        MaintenanceReport {
            acknowledged: self.viewer.has_view().then(|| self.viewer.epoch()),
            drained: clear.collect(),
            observations: sights.into_iter().take(MAX_OBSERVATIONS).collect(),
            is_overloaded: false,
            needs_details: false,
        }
    }
}

/// Nobody sends to it, and what it was before is over.
fn is_let_go(stage: Stage) -> bool {
    matches!(stage, Stage::Released | Stage::Returned)
}

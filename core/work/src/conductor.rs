//! What the leader proposes: from what fronts say with their asks, and by its own clock from its own beginning as leader. All of it is
//! volatile; a new leader hears it again.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::{Epoch, FrontId, HolderId, Micros};

use crate::plan::{self, can_be_called_back, Facts, Wait};
use crate::state::{bound_beside, Command, State, Step, Way};
use crate::view::{Details, Looks, Said, Sight, View, Work, SIGHTS};
use crate::{Bounds, MachineId, Spec, Stage};

/// Steps proposed in one turn.
const STEPS: usize = 256;
/// A machine that is warm and that nobody sends to counts as in after so long, in milliseconds.
const UNUSED: u64 = 3000;

/// The moment, and what the leader knows beside what fronts say.
pub struct Now<'a> {
    pub steady: Micros,
    /// Unix clock in milliseconds.
    pub wall: u64,
    pub lease: Micros,
    pub me: FrontId,
    /// When a lease that this run may hold is over, and all that was decided under it has ended.
    pub over_at: &'a dyn Fn(HolderId) -> Micros,
}

#[derive(Debug, Default)]
pub struct Proposal {
    pub commands: Vec<Command>,
    /// This leader's own machine is to go: another one leads first.
    pub hand_over: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conductor {
    said: BTreeMap<HolderId, (Micros, Said)>,
    waits: BTreeMap<MachineId, Wait>,
    /// Gone or failing without being out for work.
    missing: BTreeSet<MachineId>,
    /// The numbers that runs were last reminded of.
    poked: BTreeMap<HolderId, Epoch>,
    /// Machines that were seen away since they were let go.
    away: BTreeSet<MachineId>,
}

impl Conductor {
    pub fn new() -> Conductor {
        Conductor::default()
    }

    /// Takes in what a front says.
    pub fn on_said(&mut self, state: &State, holder: HolderId, mut said: Said, now: Micros) {
        if !current(state, holder) {
            return;
        }
        said.sights.truncate(SIGHTS);
        said.clear.truncate(SIGHTS);
        // What it has said that it has seen does not go back.
        if let Some((_, before)) = self.said.get(&holder) {
            said.seen = said.seen.max(before.seen);
        }
        self.said.insert(holder, (now, said));
    }

    /// What goes with an answer to this run; nothing for one that says nothing.
    pub fn view(&self, state: &State, holder: HolderId, wall: u64) -> Option<View> {
        let (_, said) = self.said.get(&holder)?;
        if state.version() == 0 {
            return None;
        }
        let known = said.seen == Some(state.number());
        let details = said.looks.then(|| Box::new(self.details(state, wall)));
        Some(View {
            number: state.number(),
            version: state.version(),
            placed: (!known).then(|| state.placed()),
            details,
        })
    }

    fn details(&self, state: &State, wall: u64) -> Details {
        Details {
            jobs: state.jobs().iter().map(|(id, job)| (*id, job.clone())).collect(),
            ways: state.ways().iter().map(|(m, way)| (*m, way.clone())).collect(),
            waits: self.waits.iter().map(|(m, wait)| (*m, *wait)).collect(),
            missing: self.missing.iter().copied().take(SIGHTS).collect(),
            took: state.took(),
            at: wall.max(state.at()),
        }
    }

    /// Runs that should ask now: they have not seen the last number, nor been reminded of it.
    pub fn pokes(&mut self, state: &State) -> Vec<HolderId> {
        let number = state.number();
        let unseen = self.said.iter().filter(|(_, (_, said))| said.seen != Some(number));
        let unseen: Vec<HolderId> = unseen.map(|(holder, _)| *holder).collect();
        let poked = &mut self.poked;
        unseen.into_iter().filter(|h| poked.insert(*h, number) != Some(number)).collect()
    }

    fn fresh<'a>(&'a self, now: &'a Now) -> impl Iterator<Item = (HolderId, &'a Said)> + 'a {
        let heard = self.said.iter().filter(|(_, (at, _))| now.steady.saturating_sub(*at) <= now.lease);
        heard.map(|(holder, (_, said))| (*holder, said))
    }

    /// What fronts say, put together.
    pub fn facts(&self, state: &State, now: &Now) -> Facts {
        let mut facts = Facts::default();
        let mut looks: BTreeMap<MachineId, (u32, u32)> = BTreeMap::new();
        let mut strained = None;
        for (holder, said) in self.fresh(now) {
            let votes = state.specs().values().any(|s| s.front == Some((holder.front, true)));
            if votes {
                facts.voters.insert(holder.front);
            }
            strained = strained.or(said.strained.then_some(holder.front));
            for (machine, sight) in &said.sights {
                let (bad, all) = looks.entry(*machine).or_default();
                *bad += u32::from(sight.looks != Looks::Ready);
                *all += 1;
            }
        }
        for (machine, sight) in self.said.values().flat_map(|(_, said)| &said.sights) {
            if let Some(spec) = state.specs().get(machine) {
                *facts.load.entry((spec.location, spec.kind)).or_default() += u64::from(sight.load);
            }
        }
        let out = |m: &MachineId| {
            state.ways().get(m).is_some_and(|w| w.stage.kept_off(false) || w.stage == Stage::Warming)
        };
        let lost = looks.into_iter().filter(|(m, (bad, all))| bad * 2 > *all && !out(m));
        facts.lost = lost.map(|(machine, _)| machine).collect();
        let unheard = state.fronts().iter().find(|(front, there)| {
            let holder = HolderId { front: **front, incarnation: there.incarnation };
            !there.off && !self.is_fresh(holder, now)
        });
        facts.stopped = match (state.bounds().is_closed(now.wall), strained, unheard) {
            (true, ..) => Some(Wait::Hours),
            (_, Some(front), _) => Some(Wait::Strained(front)),
            (_, _, Some((front, _))) => Some(Wait::NotHeard(*front)),
            _ => None,
        };
        facts
    }

    fn is_fresh(&self, holder: HolderId, now: &Now) -> bool {
        self.said.get(&holder).is_some_and(|(at, _)| now.steady.saturating_sub(*at) <= now.lease)
    }

    /// What is to be proposed now.
    pub fn propose(&mut self, state: &State, now: &Now) -> Proposal {
        self.said.retain(|holder, _| current(state, *holder));
        self.poked.retain(|holder, _| current(state, *holder));
        self.away.retain(|m| state.ways().get(m).is_some_and(|w| w.stage == Stage::Released));
        let mut proposal = Proposal::default();
        if state.ways().is_empty() {
            self.waits.clear();
            // Nobody needs it then but those who look.
            if self.said.values().any(|(_, said)| said.looks) {
                self.missing = self.facts(state, now).lost;
            }
            return proposal;
        }
        proposal.commands.extend(self.seen(state, now));
        let facts = self.facts(state, now);
        self.missing.clone_from(&facts.lost);
        let (chosen, mut waits) = plan::choose(state, &facts);
        for (machine, way) in state.ways().iter().filter(|(_, w)| w.stage != Stage::Queued) {
            let Some(spec) = state.specs().get(machine) else { continue };
            match self.step(state, &facts, now, *machine, spec, way) {
                Ok(step) if proposal.commands.len() < STEPS => {
                    let (number, at) = (way.number, now.wall);
                    proposal.commands.push(Command::Step { machine: *machine, number, step, at });
                    waits.insert(*machine, Wait::Turn);
                }
                Ok(_) => drop(waits.insert(*machine, Wait::Turn)),
                Err(wait) => {
                    proposal.hand_over |= wait == Wait::HandOver;
                    waits.insert(*machine, wait);
                }
            }
        }
        for machine in chosen.into_iter().take(STEPS.saturating_sub(proposal.commands.len())) {
            let Some(way) = state.ways().get(&machine) else { continue };
            let step = Command::Step { machine, number: way.number, step: Step::Next, at: now.wall };
            proposal.commands.push(step);
        }
        self.waits = waits;
        proposal
    }

    /// What fronts have said that they have seen, where a machine waits for it; and that one is there that was said to be off.
    fn seen(&self, state: &State, now: &Now) -> Option<Command> {
        let next = state.ways().values().filter(|w| w.stage == Stage::Next);
        let wanted = next.map(|w| w.number).max()?;
        let news = self.fresh(now).filter_map(|(holder, said)| {
            let (seen, there) = (said.seen?, state.fronts().get(&holder.front)?);
            ((there.seen < wanted && seen > there.seen) || there.off).then_some((holder, seen))
        });
        let fronts: Vec<(HolderId, Epoch)> = news.collect();
        (!fronts.is_empty()).then_some(Command::Seen { fronts })
    }

    fn step(
        &mut self,
        state: &State,
        facts: &Facts,
        now: &Now,
        machine: MachineId,
        spec: &Spec,
        way: &Way,
    ) -> Result<Step, Wait> {
        let job = state.jobs().get(&way.job);
        let held = job.is_some_and(|j| j.held);
        if can_be_called_back(way.stage) {
            if short_without(state, facts, machine, spec) {
                return Ok(Step::CallBack);
            }
            if held {
                return Err(Wait::Held);
            }
        }
        match way.stage {
            Stage::Queued => Err(Wait::Turn),
            Stage::Next => self.leaves(state, facts, now, spec, way).map(|()| Step::Leave),
            Stage::Leaving => self.empty(state, now, machine, way).map(|()| Step::Empty),
            Stage::Empty => Ok(Step::Release { born: self.born(now, machine) }),
            Stage::Released => {
                let listed = way.listed || self.is_listed(state, now, machine, spec, way);
                let minutes = u64::from(job.map_or(0, |j| j.minutes));
                match () {
                    () if listed && !way.listed => Ok(Step::Listed),
                    () if is_back(state.bounds(), way) => Ok(Step::Return),
                    () if minutes > 0
                        && !way.overdue
                        && now.wall.saturating_sub(way.since) > minutes * 60_000 =>
                    {
                        Ok(Step::Overdue)
                    }
                    () => Err(Wait::Work),
                }
            }
            Stage::Back => self.ready(state, now, machine, spec).map(|_| Step::Warm),
            Stage::Warming => {
                let warm = self.ready(state, now, machine, spec)?;
                let worked = |work: Work| self.sights(now, machine).find(|(_, s)| s.work == work);
                if let Some((front, _)) = worked(Work::NoneDone) {
                    return Err(Wait::Unproven(front));
                }
                let group = facts.load.get(&(spec.location, spec.kind)).copied().unwrap_or(0);
                let waits = spec.front.is_none() && group > 0 && now.wall.saturating_sub(way.since) < UNUSED;
                let unused = waits && worked(Work::Done).is_none();
                match warm {
                    100 if !unused => Ok(Step::In),
                    warm => Err(Wait::Warms(warm)),
                }
            }
        }
    }

    /// Whether all that are there have seen it next.
    fn leaves(&self, state: &State, facts: &Facts, now: &Now, spec: &Spec, way: &Way) -> Result<(), Wait> {
        let unseen = state.fronts().iter().find(|(_, t)| !t.off && t.seen < way.number);
        if let Some((front, there)) = unseen {
            let holder = HolderId { front: *front, incarnation: there.incarnation };
            return Err(if self.is_fresh(holder, now) {
                Wait::NotSeen(*front)
            } else {
                Wait::NotHeard(*front)
            });
        }
        if let Some((front, true)) = spec.front {
            let left = facts.voters.iter().filter(|f| **f != front).count();
            if left * 2 <= state.voters().len() {
                return Err(Wait::Majority);
            }
        }
        match spec.front {
            Some((front, _)) if front == now.me => Err(Wait::HandOver),
            _ => Ok(()),
        }
    }

    /// Whether nobody has anything open there.
    fn empty(&self, state: &State, now: &Now, machine: MachineId, way: &Way) -> Result<(), Wait> {
        for (front, there) in state.fronts().iter().filter(|(_, t)| !t.off) {
            let holder = HolderId { front: *front, incarnation: there.incarnation };
            let said = self.said.get(&holder).map(|(_, said)| said);
            let clear = said.is_some_and(|s| s.seen >= Some(way.number) && s.clear.contains(&machine));
            if !clear && now.steady < (now.over_at)(holder) {
                return Err(if self.is_fresh(holder, now) {
                    Wait::Open(*front)
                } else {
                    Wait::NotHeard(*front)
                });
            }
        }
        Ok(())
    }

    fn sights<'a>(&'a self, now: &'a Now, machine: MachineId) -> impl Iterator<Item = (FrontId, Sight)> + 'a {
        self.fresh(now).filter_map(move |(holder, said)| {
            let sight = said.sights.iter().find(|(m, _)| *m == machine)?;
            Some((holder.front, sight.1))
        })
    }

    fn born(&self, now: &Now, machine: MachineId) -> u64 {
        self.sights(now, machine).map(|(_, s)| s.born).max().unwrap_or(0)
    }

    /// It is listed anew: with another start, after it was away, or its front has joined again.
    fn is_listed(&mut self, state: &State, now: &Now, machine: MachineId, spec: &Spec, way: &Way) -> bool {
        if let Some((front, _)) = spec.front {
            let there = state.fronts().get(&front);
            if there.is_none() {
                self.away.insert(machine);
            }
            return there.is_some_and(|t| t.incarnation.0 > 0) && self.away.contains(&machine);
        }
        let sights: Vec<Sight> = self.sights(now, machine).map(|(_, s)| s).collect();
        if !sights.is_empty() && sights.iter().all(|s| matches!(s.looks, Looks::Absent | Looks::Draining)) {
            self.away.insert(machine);
        }
        let ready = |s: &&Sight| s.looks == Looks::Ready || s.looks == Looks::Failing;
        let mut there = sights.iter().filter(ready);
        there.any(|s| (s.born > 0 && s.born != way.born) || self.away.contains(&machine))
    }

    /// How warm it is; or why it is not ready.
    fn ready(&self, state: &State, now: &Now, machine: MachineId, spec: &Spec) -> Result<u8, Wait> {
        if let Some((front, _)) = spec.front {
            let there = state.fronts().get(&front).ok_or(Wait::NotReady)?;
            let holder = HolderId { front, incarnation: there.incarnation };
            let heard = self.is_fresh(holder, now);
            return if heard { Ok(100) } else { Err(Wait::NotHeard(front)) };
        }
        let sights: Vec<(FrontId, Sight)> = self.sights(now, machine).collect();
        if let Some((front, _)) = sights.iter().find(|(_, s)| s.looks == Looks::Failing) {
            return Err(Wait::Fails(*front));
        }
        if sights.is_empty() || sights.iter().any(|(_, s)| s.looks != Looks::Ready) {
            return Err(Wait::NotReady);
        }
        Ok(sights.iter().map(|(_, s)| s.warm).min().unwrap_or(0))
    }
}

fn current(state: &State, holder: HolderId) -> bool {
    state.fronts().get(&holder.front).is_some_and(|t| t.incarnation == holder.incarnation)
}

fn is_back(bounds: &Bounds, way: &Way) -> bool {
    use crate::BackBy;
    match bounds.back {
        BackBy::Bus => way.listed || way.word,
        BackBy::Word => way.word,
        BackBy::Both => way.listed && way.word,
    }
}

/// Whether too little is left while this one goes, now that others are lost: then it is called back.
fn short_without(state: &State, facts: &Facts, machine: MachineId, spec: &Spec) -> bool {
    if facts.lost.is_empty() {
        return false;
    }
    let placed = |m: &MachineId| state.ways().get(m).is_some_and(|w| w.stage.takes_place());
    let others = |m: &&MachineId| **m != machine && !placed(m);
    let lost: Vec<(MachineId, &Spec)> =
        (facts.lost.iter().filter(others)).filter_map(|m| Some((*m, state.specs().get(m)?))).collect();
    let out: Vec<(MachineId, &Spec)> = (state.ways().iter())
        .filter(|(m, w)| w.stage.takes_place() && **m != machine)
        .filter_map(|(m, _)| Some((*m, state.specs().get(m)?)))
        .chain(lost.iter().copied())
        .collect();
    let near = lost.iter().any(|(m, s)| {
        (s.location == spec.location && s.kind == spec.kind)
            || state.bounds().others(machine).any(|o| o == *m)
    });
    if !near {
        return false;
    }
    if bound_beside(state.bounds(), usize::MAX, machine, spec, &out).is_some() {
        return true;
    }
    let bounds = Bounds { further: false, ..state.bounds().clone() };
    let gone = |m: &MachineId| placed(m) || facts.lost.contains(m);
    plan::load_left(&bounds, state.specs(), facts, spec, &gone).is_some()
}

//! The agreed state of every machine in a job: changed by commands of the log only, the same wherever they are applied. Each command
//! keeps the bounds or does nothing, and none needs a clock: time comes as a part of a command, and never goes back.
//!
//! | from | command | to | by | what has to hold | undone by |
//! | --- | --- | --- | --- | --- | --- |
//! | - | `Out` | queued | operator | known, in no job | `CallOff` |
//! | queued | `Next` | next | leader | the bounds, its job not held | `CallBack`, `CallOff` |
//! | next | `Leave` | leaving | leader | all that are there have seen it next | `CallBack`, `CallOff` |
//! | leaving | `Empty` | empty | leader | all have nothing open there, or are outwaited | `CallBack`, `CallOff` |
//! | empty | `Release` | released | leader | - | work, then its return |
//! | released | `Return` | back | leader | the bus, an operator's word, or both | - |
//! | back | `Warm` | warming | leader | - | - |
//! | warming | `In` | in | leader | it bears its load | - |

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elmtide_budgets::{Epoch, FrontId, HolderId};
use serde::{Deserialize, Serialize};

use crate::view::Placed;
use crate::{BackBy, Bounds, JobId, MachineId, Spec, Stage, There};

/// Bounds of the state itself.
pub const MACHINES: usize = 2048;
pub const JOBS: usize = 32;
pub const FRONTS: usize = 2048;
/// Jobs that are over and still told of; ways whose length is remembered.
const OVER: usize = 8;
const TOOK: usize = 32;
/// Bytes of a name, and of a reason.
const NAME: usize = 64;
const REASON: usize = 200;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The machines that there are, and the bounds; a version that is not higher changes nothing.
    Layout {
        version: u64,
        machines: Vec<Spec>,
        bounds: Bounds,
    },
    Out {
        machines: Vec<MachineId>,
        by: String,
        reason: String,
        minutes: u32,
        at: u64,
    },
    Hold {
        job: JobId,
    },
    GoOn {
        job: JobId,
    },
    /// A whole job, or one machine of it.
    CallOff {
        job: JobId,
        machine: Option<MachineId>,
    },
    /// These go first, in this order.
    Reorder {
        job: JobId,
        first: Vec<MachineId>,
    },
    /// An operator says that a machine is back.
    Word {
        machine: MachineId,
    },
    /// An operator says that the machine of a front is off: it is not waited for until it joins again.
    Off {
        front: FrontId,
    },
    /// What fronts have said that they have seen.
    Seen {
        fronts: Vec<(HolderId, Epoch)>,
    },
    Step {
        machine: MachineId,
        number: Epoch,
        step: Step,
        at: u64,
    },
}

/// What the leader does with a machine; each counts only from the stage that it is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Its start, as the bus has it now, by which a later one is known.
    Next,
    Leave,
    Empty,
    Release {
        born: u64,
    },
    Overdue,
    CallBack,
    /// Seen anew by the bus.
    Listed,
    Return,
    Warm,
    In,
}

/// Why a command did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    OldLayout,
    TooMany,
    Unknown(MachineId),
    /// It is in this job already.
    InJob(MachineId, JobId),
    NoJob,
    /// Something has changed since.
    Changed,
    NotThere,
    /// It has not been let go, or is back already.
    NotReleased(MachineId),
    /// It has been let go: it can only come back.
    Released(MachineId),
    Held,
    Bound(Bound),
    /// This front has not seen it next.
    NotSeen(FrontId),
    /// More fronts than can be kept account of.
    Untracked,
    /// The voters that would be left are no majority.
    LastOf(MachineId),
    TooLong,
    /// A front that is there; only one that can't be heard is said to be off.
    IsOff(FrontId),
}

/// Which bound another machine would be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Bound {
    Location,
    Hub,
    Kind,
    Pair(MachineId),
    Voters,
}

/// One machine's way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Way {
    pub job: JobId,
    pub stage: Stage,
    /// Of its last change that fronts have to know of.
    pub number: Epoch,
    /// Leader's wall clock in milliseconds: when it was made next, and when it came to its stage.
    pub began: u64,
    pub since: u64,
    /// Numbered from one.
    pub permit: u64,
    /// Its start as it was when it was let go.
    pub born: u64,
    pub listed: bool,
    pub word: bool,
    pub overdue: bool,
    pub called_off: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    pub by: String,
    pub reason: String,
    /// What one machine is expected to take; 0 for not said.
    pub minutes: u32,
    pub held: bool,
    pub called_off: bool,
    /// Those that an operator wants first.
    pub first: Vec<MachineId>,
    pub machines: u32,
    /// Back in, and called off before they left.
    pub done: u32,
    pub spared: u32,
    pub began: u64,
    pub ended: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    version: u64,
    specs: BTreeMap<MachineId, Spec>,
    bounds: Bounds,
    ways: BTreeMap<MachineId, Way>,
    jobs: BTreeMap<JobId, Job>,
    fronts: BTreeMap<FrontId, There>,
    /// More fronts have come than are kept account of.
    untracked: bool,
    number: Epoch,
    permits: u64,
    last_job: u32,
    at: u64,
    /// Milliseconds that the last ways took.
    took: VecDeque<u64>,
}

impl State {
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Of the last change that fronts have to know of.
    pub fn number(&self) -> Epoch {
        self.number
    }

    pub fn specs(&self) -> &BTreeMap<MachineId, Spec> {
        &self.specs
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    pub fn ways(&self) -> &BTreeMap<MachineId, Way> {
        &self.ways
    }

    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    pub fn fronts(&self) -> &BTreeMap<FrontId, There> {
        &self.fronts
    }

    /// The latest time that a leader has put in, in milliseconds.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// The middle of what the last ways took, in milliseconds.
    pub fn took(&self) -> Option<u64> {
        let mut took: Vec<u64> = self.took.iter().copied().collect();
        took.sort_unstable();
        took.get(took.len() / 2).copied()
    }

    /// Whether the fronts have anything to keep off.
    pub fn is_idle(&self) -> bool {
        self.ways.values().all(|w| w.stage == Stage::Queued)
    }

    // ---- Fronts that come and go: told by the budgets' accounts ----

    pub fn joined(&mut self, holder: HolderId) {
        if self.fronts.len() >= FRONTS && !self.fronts.contains_key(&holder.front) {
            self.untracked = true;
            return;
        }
        let there = There { incarnation: holder.incarnation, seen: Epoch(0), off: false };
        self.fronts.insert(holder.front, there);
    }

    pub fn left(&mut self, holder: HolderId) {
        if self.fronts.get(&holder.front).is_some_and(|t| t.incarnation == holder.incarnation) {
            self.fronts.remove(&holder.front);
        }
    }

    pub fn forgotten(&mut self, front: FrontId) {
        self.fronts.remove(&front);
    }

    // ---- Commands ----

    pub fn apply(&mut self, command: &Command) -> Result<JobId, Refused> {
        let done = match command {
            Command::Layout { version, machines, bounds } => self.layout(*version, machines, bounds),
            Command::Out { machines, by, reason, minutes, at } => {
                self.out(machines, by, reason, *minutes, *at)
            }
            Command::Hold { job } => self.job(*job).map(|j| j.held = true).map(|()| *job),
            Command::GoOn { job } => self.job(*job).map(|j| j.held = false).map(|()| *job),
            Command::CallOff { job, machine } => self.call_off(*job, *machine),
            Command::Reorder { job, first } => self.reorder(*job, first),
            Command::Word { machine } => self.word(*machine),
            Command::Off { front } => self.front_off(*front),
            Command::Seen { fronts } => self.seen(fronts),
            Command::Step { machine, number, step, at } => self.step(*machine, *number, *step, *at),
        };
        debug_assert_eq!(self.check(), Ok(()));
        done
    }

    fn job(&mut self, job: JobId) -> Result<&mut Job, Refused> {
        self.jobs.get_mut(&job).filter(|j| j.ended.is_none()).ok_or(Refused::NoJob)
    }

    fn clock(&mut self, at: u64) -> u64 {
        self.at = self.at.max(at);
        self.at
    }

    fn layout(&mut self, version: u64, machines: &[Spec], bounds: &Bounds) -> Result<JobId, Refused> {
        if version <= self.version {
            return Err(Refused::OldLayout);
        }
        if machines.len() > MACHINES || bounds.pairs.len() > MACHINES {
            return Err(Refused::TooMany);
        }
        if machines.iter().any(|m| m.name.len() > NAME) {
            return Err(Refused::TooLong);
        }
        let mut specs: BTreeMap<MachineId, Spec> =
            machines.iter().map(|m| (MachineId::of(&m.name), m.clone())).collect();
        // What is on its way is not lost from sight.
        for (machine, spec) in &self.specs {
            if self.ways.contains_key(machine) {
                specs.entry(*machine).or_insert_with(|| spec.clone());
            }
        }
        (self.version, self.specs, self.bounds) = (version, specs, bounds.clone());
        Ok(JobId(0))
    }

    fn out(
        &mut self,
        machines: &[MachineId],
        by: &str,
        reason: &str,
        minutes: u32,
        at: u64,
    ) -> Result<JobId, Refused> {
        if by.len() > NAME || reason.len() > REASON {
            return Err(Refused::TooLong);
        }
        let wanted: BTreeSet<MachineId> = machines.iter().copied().collect();
        let open = self.jobs.values().filter(|j| j.ended.is_none()).count();
        if wanted.is_empty() || wanted.len() > MACHINES || open >= JOBS {
            return Err(Refused::TooMany);
        }
        for machine in &wanted {
            let spec = self.specs.get(machine).ok_or(Refused::Unknown(*machine))?;
            if let Some(way) = self.ways.get(machine) {
                return Err(Refused::InJob(*machine, way.job));
            }
            // One that could never go is refused at once, not queued for ever.
            let voters = self.voters();
            if spec.front.is_some_and(|(_, votes)| votes) && voters.len() < 3 {
                return Err(Refused::LastOf(*machine));
            }
            if spec.front.is_none() && self.alike(spec) < 2 {
                return Err(Refused::LastOf(*machine));
            }
        }
        let at = self.clock(at);
        self.last_job += 1;
        let job = JobId(self.last_job);
        let entry = Job {
            by: by.to_owned(),
            reason: reason.to_owned(),
            minutes,
            held: false,
            called_off: false,
            first: Vec::new(),
            machines: wanted.len() as u32,
            done: 0,
            spared: 0,
            began: at,
            ended: None,
        };
        self.jobs.insert(job, entry);
        for machine in wanted {
            let way = Way {
                job,
                stage: Stage::Queued,
                number: self.number,
                began: at,
                since: at,
                permit: 0,
                born: 0,
                listed: false,
                word: false,
                overdue: false,
                called_off: false,
            };
            self.ways.insert(machine, way);
        }
        Ok(job)
    }

    /// Machines of the layout that stand in for this one: of its location and kind.
    fn alike(&self, spec: &Spec) -> usize {
        let same = |s: &&Spec| s.location == spec.location && s.kind == spec.kind && s.front.is_none();
        self.specs.values().filter(same).count()
    }

    pub fn voters(&self) -> Vec<MachineId> {
        let voters = self.specs.iter().filter(|(_, s)| s.front.is_some_and(|(_, votes)| votes));
        voters.map(|(machine, _)| *machine).collect()
    }

    fn call_off(&mut self, job: JobId, machine: Option<MachineId>) -> Result<JobId, Refused> {
        self.job(job)?;
        let of_job = |(m, way): (&MachineId, &Way)| {
            (way.job == job && machine.is_none_or(|one| one == *m)).then_some((*m, way.stage))
        };
        let named: Vec<(MachineId, Stage)> = self.ways.iter().filter_map(of_job).collect();
        if named.is_empty() && machine.is_some() {
            return Err(Refused::NotThere);
        }
        if machine.is_none() {
            self.job(job)?.called_off = true;
        }
        for (machine, stage) in named {
            if stage < Stage::Released {
                self.ways.remove(&machine);
                if stage.takes_place() {
                    self.next_number();
                }
                self.job(job)?.spared += 1;
            } else if let Some(way) = self.ways.get_mut(&machine) {
                way.called_off = true;
            }
        }
        self.end_jobs();
        Ok(job)
    }

    fn reorder(&mut self, job: JobId, first: &[MachineId]) -> Result<JobId, Refused> {
        if first.len() > MACHINES {
            return Err(Refused::TooMany);
        }
        let wrong = first.iter().find(|m| self.ways.get(m).is_none_or(|w| w.job != job));
        if let Some(machine) = wrong {
            return Err(Refused::Unknown(*machine));
        }
        self.job(job)?.first = first.to_vec();
        Ok(job)
    }

    fn word(&mut self, machine: MachineId) -> Result<JobId, Refused> {
        let way = self.ways.get_mut(&machine).ok_or(Refused::NotReleased(machine))?;
        match way.stage {
            Stage::Released => {
                way.word = true;
                Ok(way.job)
            }
            // Said again: the same result.
            Stage::Back | Stage::Warming if way.word => Ok(way.job),
            _ => Err(Refused::NotReleased(machine)),
        }
    }

    fn front_off(&mut self, front: FrontId) -> Result<JobId, Refused> {
        let there = self.fronts.get_mut(&front).ok_or(Refused::IsOff(front))?;
        there.off = true;
        Ok(JobId(0))
    }

    fn seen(&mut self, fronts: &[(HolderId, Epoch)]) -> Result<JobId, Refused> {
        if fronts.len() > FRONTS {
            return Err(Refused::TooMany);
        }
        for (holder, number) in fronts {
            let there = self.fronts.get_mut(&holder.front);
            if let Some(there) = there.filter(|t| t.incarnation == holder.incarnation) {
                there.seen = there.seen.max((*number).min(self.number));
                // It can be heard: so it is not off.
                there.off = false;
            }
        }
        Ok(JobId(0))
    }

    fn next_number(&mut self) -> Epoch {
        self.number.0 += 1;
        self.number
    }

    /// Why a machine can't be made next beside those that have a place.
    pub fn bound(&self, machine: MachineId) -> Option<Bound> {
        let spec = self.specs.get(&machine)?;
        let placed = self.ways.iter().filter(|(m, w)| w.stage.takes_place() && **m != machine);
        let placed: Vec<(MachineId, &Spec)> =
            placed.filter_map(|(m, _)| Some((*m, self.specs.get(m)?))).collect();
        bound_beside(&self.bounds, self.voters().len(), machine, spec, &placed)
    }

    fn step(&mut self, machine: MachineId, number: Epoch, step: Step, at: u64) -> Result<JobId, Refused> {
        let way = self.ways.get(&machine).ok_or(Refused::NotThere)?;
        let (job, stage) = (way.job, way.stage);
        if way.number != number {
            return Err(Refused::Changed);
        }
        let to = match (stage, step) {
            (Stage::Queued, Step::Next) => {
                if self.jobs.get(&job).is_none_or(|j| j.held || j.called_off) {
                    return Err(Refused::Held);
                }
                if let Some(bound) = self.bound(machine) {
                    return Err(Refused::Bound(bound));
                }
                Stage::Next
            }
            (Stage::Next, Step::Leave) => {
                if self.untracked {
                    return Err(Refused::Untracked);
                }
                let unseen = self.fronts.iter().find(|(_, there)| !there.off && there.seen < number);
                if let Some((front, _)) = unseen {
                    return Err(Refused::NotSeen(*front));
                }
                Stage::Leaving
            }
            (Stage::Leaving, Step::Empty) => Stage::Empty,
            (Stage::Empty, Step::Release { .. }) => Stage::Released,
            (Stage::Next | Stage::Leaving | Stage::Empty, Step::CallBack) => Stage::Queued,
            (Stage::Released, Step::Overdue | Step::Listed) => Stage::Released,
            (Stage::Released, Step::Return) => {
                let back = match self.bounds.back {
                    BackBy::Bus => way.listed || way.word,
                    BackBy::Word => way.word,
                    BackBy::Both => way.listed && way.word,
                };
                if !back {
                    return Err(Refused::NotReleased(machine));
                }
                Stage::Back
            }
            (Stage::Back, Step::Warm) => Stage::Warming,
            (Stage::Warming, Step::In) => {
                let at = self.clock(at);
                if let Some(way) = self.ways.remove(&machine) {
                    self.took.push_back(at.saturating_sub(way.began));
                }
                if self.took.len() > TOOK {
                    self.took.pop_front();
                }
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.done += 1;
                }
                self.next_number();
                self.end_jobs();
                return Ok(job);
            }
            _ => return Err(Refused::Changed),
        };
        let at = self.clock(at);
        let number = if to == stage { number } else { self.next_number() };
        if let Step::Release { .. } = step {
            self.permits += 1;
        }
        let permits = self.permits;
        let way = self.ways.get_mut(&machine).ok_or(Refused::NotThere)?;
        match step {
            Step::Next => way.began = at,
            Step::Release { born } => (way.permit, way.born) = (permits, born),
            Step::Overdue => way.overdue = true,
            Step::Listed => way.listed = true,
            _ => {}
        }
        if to != stage {
            (way.stage, way.number, way.since) = (to, number, at);
            way.overdue = false;
        }
        Ok(job)
    }

    fn end_jobs(&mut self) {
        let at = self.at;
        for (id, job) in &mut self.jobs {
            if job.ended.is_none() && !self.ways.values().any(|w| w.job == *id) {
                job.ended = Some(at);
            }
        }
        let over: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| j.ended.is_some()).map(|(id, _)| *id).collect();
        for id in over.iter().take(over.len().saturating_sub(OVER)) {
            self.jobs.remove(id);
        }
    }

    /// A machine that has a place and is over a bound beside the others: none by any command, as long as a layout has not been made
    /// tighter than what was out already.
    pub fn over_bounds(&self) -> Option<(MachineId, Bound)> {
        let placed = self.ways.iter().filter(|(_, w)| w.stage.takes_place());
        placed.filter_map(|(machine, _)| Some((*machine, self.bound(*machine)?))).next()
    }

    /// Numbers and jobs, reckoned anew.
    pub fn check(&self) -> Result<(), String> {
        for (machine, way) in &self.ways {
            if way.number > self.number {
                return Err(format!("{machine:?} has number {:?} of {:?}", way.number, self.number));
            }
            if self.jobs.get(&way.job).is_none_or(|j| j.ended.is_some()) {
                return Err(format!("{machine:?} is in no open job"));
            }
            if (way.stage >= Stage::Released) != (way.permit > 0) {
                return Err(format!("{machine:?} is {} with permit {}", way.stage.name(), way.permit));
            }
        }
        Ok(())
    }

    /// What a front has to know: the machines with a place, where they are, and their stages.
    pub fn placed(&self) -> Vec<Placed> {
        let placed = self.ways.iter().filter(|(_, w)| w.stage.takes_place());
        let at = |machine: &MachineId| self.specs.get(machine).and_then(|s| s.at);
        placed.map(|(m, way)| Placed { machine: *m, at: at(m), stage: way.stage }).collect()
    }
}

/// Why a machine can't have a place beside others.
pub fn bound_beside(
    bounds: &Bounds,
    voters: usize,
    machine: MachineId,
    spec: &Spec,
    placed: &[(MachineId, &Spec)],
) -> Option<Bound> {
    let count = |same: &dyn Fn(&Spec) -> bool| placed.iter().filter(|(_, s)| same(s)).count();
    let over = |most: u16, count: usize| most > 0 && count >= usize::from(most);
    if over(bounds.of_location, count(&|s| s.location == spec.location && s.kind == spec.kind)) {
        return Some(Bound::Location);
    }
    if spec.hub > 0 && over(bounds.of_hub, count(&|s| s.hub == spec.hub)) {
        return Some(Bound::Hub);
    }
    if over(bounds.of_kind, count(&|s| s.kind == spec.kind)) {
        return Some(Bound::Kind);
    }
    let mut others = bounds.others(machine);
    if let Some(other) = others.find(|other| placed.iter().any(|(m, _)| m == other)) {
        return Some(Bound::Pair(other));
    }
    let votes = |s: &Spec| s.front.is_some_and(|(_, votes)| votes);
    let out = count(&votes) + 1;
    (votes(spec) && out > voters.saturating_sub(1) / 2).then_some(Bound::Voters)
}

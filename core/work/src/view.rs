//! What a front keeps off, by the view that it was told last and by the lease on it; and what it says back.
//!
//! **Invariant: by a view of number n, whether its lease is over or not, a front sends nothing new to a machine that was on its way out by n;
//! and once the lease is over, nothing to one that was next by n.** Looked at with the clocks of the moment of the decision.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elmtide_budgets::{Clocks, Epoch, LeaseSettings, Micros};
use serde::{Deserialize, Serialize};

use crate::plan::Wait;
use crate::state::{Job, Way};
use crate::{JobId, MachineId, Stage};

/// Machines that one front tells of at most.
pub const SIGHTS: usize = 512;

/// How a machine looks to a front that sends to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Looks {
    #[default]
    Ready,
    /// The bus says that it drains, or that it is not ready.
    Draining,
    /// Its last attempts failed.
    Failing,
    /// It is in no list.
    Absent,
}

/// What became of work that a front has sent since the machine was let go last: to answer probes is not enough. Of a parent, whose work is
/// seen by those that it fills, what was sent counts as done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Work {
    #[default]
    NoneSent,
    NoneDone,
    Done,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sight {
    pub looks: Looks,
    /// Its start by the bus, Unix milliseconds; 0 where it is not told.
    pub born: u64,
    /// Hundredths of the way to being warm.
    pub warm: u8,
    /// Load that this front has sent there of late, in thousandths of what a machine of weight one bears.
    pub load: u32,
    pub work: Work,
}

/// What a front says with its asks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Said {
    /// It decides by this view, or a later one; none before it has one.
    pub seen: Option<Epoch>,
    /// Machines on their way out by that view at which it has nothing open.
    pub clear: Vec<MachineId>,
    pub sights: Vec<(MachineId, Sight)>,
    /// A budget of it is used up, or many purges are on.
    pub strained: bool,
    /// Somebody looks: details are wanted.
    pub looks: bool,
}

/// A machine that has a place, as fronts are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placed {
    pub machine: MachineId,
    pub at: Option<SocketAddr>,
    pub stage: Stage,
}

/// What a front is told with an answer: it has the answer's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    pub number: Epoch,
    /// Of the layout.
    pub version: u64,
    /// None where nothing has changed since what the front had said that it has seen.
    pub placed: Option<Vec<Placed>>,
    pub details: Option<Box<Details>>,
}

/// For those who look.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Details {
    pub jobs: Vec<(JobId, Job)>,
    pub ways: Vec<(MachineId, Way)>,
    pub waits: Vec<(MachineId, Wait)>,
    /// Gone or failing without being out for work, by most who see them.
    pub missing: Vec<MachineId>,
    pub took: Option<u64>,
    /// Leader's wall clock, milliseconds.
    pub at: u64,
}

/// A view with its lease.
#[derive(Clone, Debug)]
pub struct Told {
    pub view: View,
    pub asked: Clocks,
    pub ends: Micros,
}

/// The front's side, where it decides.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewer {
    terms: LeaseSettings,
    /// Machines of the file, which are kept off before there is a view.
    known: BTreeSet<MachineId>,
    addresses: BTreeMap<SocketAddr, MachineId>,
    placed: Option<BTreeMap<MachineId, Stage>>,
    number: Epoch,
    lease: Option<(Clocks, Micros)>,
}

impl Viewer {
    pub fn new(
        terms: LeaseSettings,
        machines: impl IntoIterator<Item = (MachineId, Option<SocketAddr>)>,
    ) -> Viewer {
        let mut viewer = Viewer {
            terms,
            known: BTreeSet::new(),
            addresses: BTreeMap::new(),
            placed: None,
            number: Epoch(0),
            lease: None,
        };
        for (machine, at) in machines {
            viewer.known.insert(machine);
            viewer.addresses.extend(at.map(|at| (at, machine)));
        }
        viewer
    }

    /// Takes a view in; one that is older than what is held, or that says no change of something not held, gives nothing.
    pub fn take(&mut self, told: &Told, now: Clocks) {
        let Told { view, asked, ends } = told;
        if view.number < self.number || !in_force(&self.terms, *asked, *ends, now) {
            return;
        }
        match &view.placed {
            Some(placed) => {
                self.placed = Some(placed.iter().map(|p| (p.machine, p.stage)).collect());
                self.addresses.extend(placed.iter().filter_map(|p| Some((p.at?, p.machine))));
            }
            None if view.number == self.number && self.placed.is_some() => {}
            None => return,
        }
        self.number = view.number;
        if self.lease.is_none_or(|(before, _)| asked.monotonic >= before.monotonic) {
            self.lease = Some((*asked, *ends));
        }
    }

    /// Whether there is a view at all.
    pub fn has_view(&self) -> bool {
        self.placed.is_some()
    }

    pub fn number(&self) -> Epoch {
        self.number
    }

    /// Whether the lease on the view is in force at this moment.
    pub fn is_leased(&self, now: Clocks) -> bool {
        self.lease.is_some_and(|(asked, ends)| in_force(&self.terms, asked, ends, now))
    }

    /// The machine that has this name in the list, or is at this address.
    pub fn machine(&self, name: &str, at: Option<SocketAddr>) -> MachineId {
        let by_address = at.and_then(|at| self.addresses.get(&at)).copied();
        by_address.unwrap_or_else(|| MachineId::of(name))
    }

    pub fn knows(&self, machine: MachineId) -> bool {
        self.known.contains(&machine) || self.placed.as_ref().is_some_and(|p| p.contains_key(&machine))
    }

    pub fn stage(&self, machine: MachineId) -> Option<Stage> {
        self.placed.as_ref()?.get(&machine).copied()
    }

    /// Whether nothing new is to be sent there at this moment.
    pub fn keeps_off(&self, machine: MachineId, now: Clocks) -> bool {
        match &self.placed {
            None => self.known.contains(&machine),
            Some(placed) => placed.get(&machine).is_some_and(|s| s.kept_off(!self.is_leased(now))),
        }
    }

    /// Those on their way out or out by the view: what the front has to say that it is clear of.
    pub fn leaving(&self) -> impl Iterator<Item = MachineId> + '_ {
        let placed = self.placed.iter().flatten();
        placed.filter(|(_, stage)| stage.kept_off(false)).map(|(machine, _)| *machine)
    }

    pub fn known(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.known.iter().copied()
    }
}

fn in_force(terms: &LeaseSettings, asked: Clocks, ends: Micros, now: Clocks) -> bool {
    now.monotonic >= asked.monotonic
        && now.monotonic < ends
        && now.divergence_since(asked) <= terms.max_clock_divergence
}

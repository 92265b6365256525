//! Machines out for work: boxes, parents and the fronts' own, in an order that the fronts settle among themselves.
//!
//! **Invariants.** (1) While a permit for a machine is given, no front sends to it or has anything open there. (2) At every moment
//! the machines that are on their way out, out, or on their way back are within the bounds of the agreed layout: so many of a
//! location, a hub, a kind; never both of a pair; never a majority of the voters' machines.
//!
//! They rest on a majority of the voters and their synced stores; on each front's lease on its view, looked at when it decides; and
//! on clocks that run at the same rate within a stated bound for a lease and the longest deadline. They do not rest on who
//! seems alive, on timers that fire, on equal clocks, on a list of the bus, or on messages that come once or at all. When nobody agrees,
//! nothing new goes out; what is out may come back by the bus, but is sent to only when the fronts agree again.
//!
//! A front that is cut off keeps off every machine that its last view had next or on its way out. So nothing leaves before every
//! front that is there has said that it has seen it next; one that can't be heard holds the job up, and an operator can say that it is
//! off. A front that has just started takes no work for the machines of the layout before it has a view.
//!
//! - [`state`]: the agreed state, changed by commands only;
//! - [`plan`]: which machines may go together, and why others wait;
//! - [`conductor`]: what the leader proposes, from what fronts say;
//! - [`view`]: what a front keeps off.

use std::net::SocketAddr;

use elmtide_budgets::{Epoch, FrontId, Incarnation};
use serde::{Deserialize, Serialize};

pub mod conductor;
pub mod plan;
pub mod state;
pub mod view;

pub use conductor::Conductor;
pub use state::{Command, Refused, State};
pub use view::{Said, View, Viewer};

/// A machine, by the name that the file has for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineId(pub u64);

impl MachineId {
    pub fn of(name: &str) -> MachineId {
        MachineId(FrontId::from_name(name).0)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u32);

/// What the file says of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    /// Numbers of its location, its hub (0 for none) and its kind in the file.
    pub location: u16,
    pub hub: u16,
    pub kind: u16,
    /// Thousandths of the load that a machine of weight one bears.
    pub weight: u32,
    /// Where it is reached, whatever the bus calls it.
    pub at: Option<SocketAddr>,
    /// The front that runs on it, if one does, and whether it votes.
    pub front: Option<(FrontId, bool)>,
}

/// What makes a released machine count as back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackBy {
    /// The bus lists it anew, or an operator says so.
    #[default]
    Bus,
    /// An operator says so.
    Word,
    Both,
}

/// How many may be out together. Nought is no bound.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    pub of_location: u16,
    pub of_hub: u16,
    pub of_kind: u16,
    pub pairs: Vec<(MachineId, MachineId)>,
    /// What is left has to bear the load and so many parts of a hundred more, and any one further loss.
    pub margin: u32,
    /// Whether it has to bear one further loss.
    pub further: bool,
    pub back: BackBy,
    /// Minutes of the day (UTC) from and to which nothing new goes out.
    pub closed: Vec<(u16, u16)>,
}

impl Bounds {
    /// Those that must not be out together with this one.
    pub fn others(&self, machine: MachineId) -> impl Iterator<Item = MachineId> + '_ {
        self.pairs.iter().filter_map(move |(a, b)| match machine {
            m if m == *a => Some(*b),
            m if m == *b => Some(*a),
            _ => None,
        })
    }

    /// Whether nothing new goes out at this moment of the Unix clock, in milliseconds.
    pub fn is_closed(&self, wall: u64) -> bool {
        let minute = (wall / 60_000 % 1440) as u16;
        self.closed.iter().any(|(from, to)| match from <= to {
            true => (*from..*to).contains(&minute),
            false => minute >= *from || minute < *to,
        })
    }
}

/// Where a machine is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Queued,
    /// Whoever loses contact from now on keeps off it.
    Next,
    /// Nobody sends anything new there.
    Leaving,
    /// Nothing is open there.
    Empty,
    /// It may be worked on.
    Released,
    /// It is there again, and nobody sends to it yet.
    Back,
    /// It is sent to, by the shares of what a cold one bears.
    Warming,
}

impl Stage {
    pub const ALL: [Stage; 7] = [
        Stage::Queued,
        Stage::Next,
        Stage::Leaving,
        Stage::Empty,
        Stage::Released,
        Stage::Back,
        Stage::Warming,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Stage::Queued => "queued",
            Stage::Next => "next",
            Stage::Leaving => "leaving",
            Stage::Empty => "empty",
            Stage::Released => "released",
            Stage::Back => "back",
            Stage::Warming => "warming",
        }
    }

    /// It takes one of the places that the bounds give.
    pub fn takes_place(self) -> bool {
        self != Stage::Queued
    }

    /// Whether a front sends nothing new to such a machine; cut off is one whose lease on its view is over.
    pub fn kept_off(self, cut_off: bool) -> bool {
        match self {
            Stage::Leaving | Stage::Empty | Stage::Released | Stage::Back => true,
            Stage::Next => cut_off,
            Stage::Queued | Stage::Warming => false,
        }
    }
}

/// A run of a front that is there, and what it has said that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct There {
    pub incarnation: Incarnation,
    pub seen: Epoch,
    /// An operator has said that its machine is off.
    pub off: bool,
}

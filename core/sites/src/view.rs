//! What fronts say of sites with their asks, and what they are told back with a lease.
//!
//! **Invariant: a front takes a signup of a key that it owns only while its lease on a view is in force, by the clocks of that moment; and one
//! whose owner's site is lost only after every lease that the owner could have had is over, and a key's life besides.**

use elmtide_budgets::{Clocks, LeaseSettings, Micros};
use serde::{Deserialize, Serialize};

use crate::state::{SiteId, Standing};
use crate::watch::Word;

/// What a front says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said {
    /// Words on other sites that are not fine.
    pub words: Vec<(SiteId, Word)>,
    /// It decides by this view; none before it has one.
    pub seen: Option<u64>,
    /// It has heard the list and the purges of the time that it missed, since that view said that its site is in contact again.
    pub caught_up: bool,
    /// The boxes of its site are warm.
    pub warm: bool,
    /// It refuses, or a budget of it is used up.
    pub strained: bool,
}

/// The standing of each site by its number, by an agreed step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub number: u64,
    /// Of the layout.
    pub version: u64,
    pub sites: Vec<(Standing, Since)>,
}

/// For those who look: since when, in milliseconds of the leader's clock, and whether an operator has declared it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Since {
    pub at: u64,
    pub by_operator: bool,
}

impl View {
    pub fn standing(&self, site: SiteId) -> Standing {
        self.sites.get(usize::from(site.0)).map_or(Standing::Present, |(standing, _)| *standing)
    }

    /// Sites that serve none of their clients.
    pub fn lost(&self) -> Vec<SiteId> {
        let none = |(_, (standing, _)): &(usize, &(Standing, Since))| standing.clients() == 0;
        self.sites.iter().enumerate().filter(none).map(|(place, _)| SiteId(place as u16)).collect()
    }
}

/// A view with its lease.
#[derive(Clone, Debug)]
pub struct Told {
    pub view: View,
    pub asked: Clocks,
    pub ends: Micros,
}

/// The front's side: the newest view that it was told, and the longest lease on it.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    pub view: Option<View>,
    lease: Option<(Clocks, Micros)>,
}

impl Holding {
    /// Takes a view in: false for one that is older than what is held.
    pub fn take(&mut self, told: Told) -> bool {
        if self.view.as_ref().is_some_and(|v| told.view.number < v.number) {
            return false;
        }
        self.view = Some(told.view);
        if self.lease.is_none_or(|(before, _)| told.asked.monotonic >= before.monotonic) {
            self.lease = Some((told.asked, told.ends));
        }
        true
    }

    /// Whether the lease is in force at this moment, by both clocks.
    pub fn is_leased(&self, terms: &LeaseSettings, now: Clocks) -> bool {
        self.lease.is_some_and(|(asked, ends)| {
            now.monotonic >= asked.monotonic
                && now.monotonic < ends
                && now.divergence_since(asked) <= terms.max_clock_divergence
        })
    }
}

//! What fronts report on sites with their lease requests, and what they are told with the responses.

use elmtide_budgets::{Clocks, Micros};
use serde::{Deserialize, Serialize};

use crate::opinion::SiteOpinion;
use crate::site::{RecoveryPhase, SiteId};

/// What a front reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteReport {
    /// Its opinions of other sites that are not healthy.
    pub opinions: Vec<(SiteId, SiteOpinion)>,
    /// It decides by the view of this revision; `None` before it has one.
    pub view_revision: Option<u64>,
    /// It has the endpoint list and the purges of the time that it missed, since that view has its site in contact again.
    pub has_caught_up: bool,
    /// The caches of its site are warm.
    pub caches_warm: bool,
    /// It sheds load, or a budget of it is exhausted.
    pub is_overloaded: bool,
}

/// The phase of each site by its number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteView {
    /// Of the state that it shows.
    pub revision: u64,
    /// Version of the sites in force.
    pub sites_version: u64,
    /// By the number of the site.
    pub sites: Vec<SiteViewEntry>,
}

/// One site of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteViewEntry {
    /// How far it is in service.
    pub phase: RecoveryPhase,
    /// Since when, by the leader's Unix clock.
    pub since_ms: u64,
    /// An operator has declared it lost.
    pub by_operator: bool,
}

impl SiteView {
    /// How far a site is in service.
    pub fn phase(&self, site: SiteId) -> RecoveryPhase {
        self.sites.get(usize::from(site.0)).map_or(RecoveryPhase::Serving, |entry| entry.phase)
    }

    /// Sites that serve none of their clients.
    pub fn lost(&self) -> Vec<SiteId> {
        let lost = self.sites.iter().enumerate().filter(|(_, entry)| entry.phase.serves_nobody());
        lost.map(|(place, _)| SiteId(place as u16)).collect()
    }

    /// Sites of which this front may have missed changes since an earlier view: those that differ from it, unless one change
    /// lies between the two.
    pub fn sites_with_missed_changes(&self, before: &SiteView) -> Vec<SiteId> {
        if self.revision <= before.revision + 1 {
            return Vec::new();
        }
        let has_changed = |(place, entry): &(usize, &SiteViewEntry)| before.sites.get(*place) != Some(*entry);
        let changed = self.sites.iter().enumerate().filter(has_changed);
        changed.map(|(place, _)| SiteId(place as u16)).collect()
    }

    /// Whether no site has ever changed.
    pub fn is_untouched(&self) -> bool {
        self.sites.iter().all(|entry| entry.since_ms == 0)
    }
}

/// A view with its lease.
#[derive(Clone, Debug)]
pub struct LeasedSiteView {
    /// The view.
    pub view: SiteView,
    /// The moment before the request.
    pub requested_at: Clocks,
    /// When the lease expires, by the monotonic clock.
    pub expires_at: Micros,
}

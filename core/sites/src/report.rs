//! The reports on sites that fronts send with their lease requests, and the view of sites that they receive in
//! response.

use elmtide_budgets::{Clocks, Micros};
use serde::{Deserialize, Serialize};

use crate::opinion::SiteOpinion;
use crate::site::{RecoveryPhase, SiteId};

/// A front's report to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteReport {
    /// The front's opinions on other sites; healthy ones are omitted.
    pub opinions: Vec<(SiteId, SiteOpinion)>,
    /// Revision of the view that the front uses; `None` before it has received one.
    pub view_revision: Option<u64>,
    /// Whether the front has received the endpoint list and the purges that it missed, after its view showed its site
    /// to be in contact again.
    pub has_caught_up: bool,
    /// Whether the caches of the front's site are warm.
    pub caches_warm: bool,
    /// Whether the front sheds load or has exhausted one of its budgets.
    pub is_overloaded: bool,
}

/// A snapshot of the phases of all sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteView {
    /// Revision of the replicated state at the time of the snapshot.
    pub revision: u64,
    /// Version of the current site configuration.
    pub sites_version: u64,
    /// The sites, in the order of their identifiers.
    pub sites: Vec<SiteViewEntry>,
}

/// One site of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteViewEntry {
    /// The site's phase.
    pub phase: RecoveryPhase,
    /// When the site entered this phase, by the leader's Unix clock in milliseconds.
    pub since_ms: u64,
    /// Whether an operator has declared the site lost.
    pub by_operator: bool,
}

impl SiteView {
    /// The phase of a site. A site missing from the view counts as serving.
    pub fn phase(&self, site: SiteId) -> RecoveryPhase {
        self.sites.get(usize::from(site.0)).map_or(RecoveryPhase::Serving, |entry| entry.phase)
    }

    /// Sites that serve none of their own clients.
    pub fn lost(&self) -> Vec<SiteId> {
        let lost = self.sites.iter().enumerate().filter(|(_, entry)| entry.phase.serves_no_clients());
        lost.map(|(index, _)| SiteId(index as u16)).collect()
    }

    /// Sites with changes that the front may have missed since its previous view: all that differ between the two
    /// views, or none if at most one change lies between them.
    pub fn sites_with_missed_changes(&self, previous: &SiteView) -> Vec<SiteId> {
        if self.revision <= previous.revision + 1 {
            return Vec::new();
        }
        let has_changed =
            |(index, entry): &(usize, &SiteViewEntry)| previous.sites.get(*index) != Some(*entry);
        let changed = self.sites.iter().enumerate().filter(has_changed);
        changed.map(|(index, _)| SiteId(index as u16)).collect()
    }

    /// Whether no site has ever changed its phase.
    pub fn is_initial(&self) -> bool {
        self.sites.iter().all(|entry| entry.since_ms == 0)
    }
}

/// A view together with the lease on it.
#[derive(Clone, Debug)]
pub struct LeasedSiteView {
    /// The view.
    pub view: SiteView,
    /// The front's clocks just before it sent the request.
    pub requested_at: Clocks,
    /// When the lease expires, by the front's monotonic clock.
    pub expires_at: Micros,
}

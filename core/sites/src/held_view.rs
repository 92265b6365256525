//! The front's side of a view: the newest one that it was told, and the longest lease on it.

use elmtide_budgets::{Clocks, LeaseSettings, Micros};

use crate::report::{LeasedSiteView, SiteView};

#[derive(Clone, Copy, Debug)]
struct ViewLease {
    requested_at: Clocks,
    expires_at: Micros,
}

/// The view that a front decides by.
#[derive(Clone, Debug, Default)]
pub struct HeldSiteView {
    view: Option<SiteView>,
    lease: Option<ViewLease>,
}

/// Whether a view was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// It is held from now on.
    Taken,
    /// It is older than what is held.
    Stale,
}

impl HeldSiteView {
    /// The newest view; `None` before there is one.
    pub fn view(&self) -> Option<&SiteView> {
        self.view.as_ref()
    }

    /// Takes a view that is no older than what is held.
    pub fn apply(&mut self, leased: LeasedSiteView) -> ViewUpdate {
        let LeasedSiteView { view, requested_at, expires_at } = leased;
        if self.view.as_ref().is_some_and(|held| view.revision < held.revision) {
            return ViewUpdate::Stale;
        }
        self.view = Some(view);
        let before = self.lease.map(|lease| lease.requested_at.monotonic);
        if before.is_none_or(|before| requested_at.monotonic >= before) {
            self.lease = Some(ViewLease { requested_at, expires_at });
        }
        ViewUpdate::Taken
    }

    /// Whether the lease on the view is in force, by both clocks.
    pub fn has_valid_lease(&self, settings: &LeaseSettings, now: Clocks) -> bool {
        self.lease.is_some_and(|lease| settings.is_in_force(lease.requested_at, lease.expires_at, now))
    }
}

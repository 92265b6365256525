//! The view that a front holds: the newest one that it has received, with the longest lease on it.

use elmtide_budgets::{Clocks, LeaseSettings, Micros};

use crate::report::{LeasedSiteView, SiteView};

#[derive(Clone, Copy, Debug)]
struct ViewLease {
    requested_at: Clocks,
    expires_at: Micros,
}

/// The view of sites that a front bases its decisions on.
#[derive(Clone, Debug, Default)]
pub struct HeldSiteView {
    view: Option<SiteView>,
    lease: Option<ViewLease>,
}

/// The result of [`HeldSiteView::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// The view replaced the held one.
    Applied,
    /// The view is older than the held one and was ignored.
    Stale,
}

impl HeldSiteView {
    /// The newest view; `None` before the first has been received.
    pub fn view(&self) -> Option<&SiteView> {
        self.view.as_ref()
    }

    /// Replaces the held view, unless the new one is older.
    pub fn apply(&mut self, leased: LeasedSiteView) -> ViewUpdate {
        let LeasedSiteView { view, requested_at, expires_at } = leased;
        if self.view.as_ref().is_some_and(|held| view.revision < held.revision) {
            return ViewUpdate::Stale;
        }
        self.view = Some(view);
        let previous = self.lease.map(|lease| lease.requested_at.monotonic);
        if previous.is_none_or(|previous| requested_at.monotonic >= previous) {
            self.lease = Some(ViewLease { requested_at, expires_at });
        }
        ViewUpdate::Applied
    }

    /// Whether the lease on the view is valid according to both clocks.
    pub fn has_valid_lease(&self, settings: &LeaseSettings, now: Clocks) -> bool {
        self.lease.is_some_and(|lease| settings.is_in_force(lease.requested_at, lease.expires_at, now))
    }
}

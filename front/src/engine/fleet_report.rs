//! Reports to the fleet's thread, and updates that the engine gets from it.

use elmtide::Listing;

use super::Engine;
use crate::exchange::Upstream;
use crate::fleet_link::FleetUpdate;

impl<U: Upstream> Engine<U> {
    /// Applies an update from the fleet's thread.
    pub(super) fn apply_fleet_update(&mut self, update: FleetUpdate) {
        match update {
            FleetUpdate::Maintenance(view) => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.apply(&view);
                }
                self.exclude_servers_under_maintenance();
                self.withdraw_from_unavailable();
                self.report_to_fleet();
                if let Some(budgets) = &mut self.budgets {
                    budgets.wake_fleet();
                }
            }
            update => self.apply_budget_update(update),
        }
    }

    fn apply_budget_update(&mut self, update: FleetUpdate) {
        let needs_report = !matches!(update, FleetUpdate::Close(_));
        if let Some(budgets) = &mut self.budgets {
            budgets.apply(update);
        }
        if needs_report {
            self.report_to_fleet();
        }
        self.update_slow_start_shares();
    }

    /// Reports demand, usage and observations to the fleet's thread.
    pub(super) fn report_to_fleet(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        if let Some(maintenance) = &self.maintenance {
            maintenance.released_members().for_each(|member| self.failing.forget(member));
        }
        let report = self.maintenance.as_mut().map(|maintenance| {
            let (exchanges, failing) = (&self.exchanges, &self.failing);
            let has_open_requests = exchanges.unanswered() > 0;
            let mut report = maintenance.report(
                &self.knowledge.endpoints.all_listings(),
                &self.settings,
                self.now,
                |member| failing.is_failing(member),
                |member| exchanges.is_open_at(member),
                has_open_requests,
            );
            report.is_overloaded = budgets.is_short();
            report
        });
        let (settings, now) = (&self.settings, self.now);
        let is_cold = |l: &Listing| {
            let is_own_cache = l.zone == settings.zone
                && Some(l.kind) != settings.parent_kind
                && Some(l.kind) != settings.origin_kind;
            let duration = settings.cold_duration.filter(|duration| *duration > 0.0);
            is_own_cache
                && l.started_at
                    .zip(duration)
                    .is_some_and(|(started_at, duration)| now - started_at < duration)
        };
        let caches_warm = !self.knowledge.endpoints.all_listings().iter().any(is_cold);
        budgets.report(report, caches_warm);
    }

    /// Gives the routers this front's shares of the capacity of servers in slow start.
    pub(super) fn update_slow_start_shares(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        let listed = self.knowledge.endpoints.present_listings();
        for share in budgets.update_slow_start(&listed, &self.settings, self.now) {
            self.knowledge.record_slow_start_share(share);
            self.routers.divide_cold_budget(share.member, share.fronts);
        }
    }
}

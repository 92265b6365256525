//! Reports to the fleet's thread, and updates that the engine gets from it.

use elmtide::Listing;
use elmtide_drain::Admission;

use super::Engine;
use crate::exchange::Upstream;
use crate::fleet_link::FleetUpdate;
use crate::process::clock;

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
        match update {
            FleetUpdate::Close(confirmation) => self.pending_close = Some(confirmation),
            update => {
                if let Some(budgets) = &mut self.budgets {
                    budgets.apply(update);
                }
                self.report_to_fleet();
            }
        }
        self.update_slow_start_shares();
    }

    /// Whether no request and no attempt is open, and none is admitted any more.
    fn is_idle_for_good(&self) -> bool {
        let phase = self.counters.mode.drain_phase(clock::uptime());
        self.exchanges.is_empty() && phase.admission() == Admission::Reject
    }

    /// Lets the front leave the fleet once no request and no attempt is open: what it was granted, and the machines that it
    /// sends to, are others' to use from then on.
    pub(super) fn close_if_idle(&mut self) {
        if self.pending_close.is_none() || !self.is_idle_for_good() {
            return;
        }
        let Some(confirmation) = self.pending_close.take() else { return };
        if let Some(budgets) = &mut self.budgets {
            budgets.close();
        }
        let _ = confirmation.try_send(());
    }

    /// Reports demand, usage and observations to the fleet's thread.
    pub(super) fn report_to_fleet(&mut self) {
        let is_idle_for_good = self.is_idle_for_good();
        let Some(budgets) = &mut self.budgets else { return };
        if let Some(maintenance) = &self.maintenance {
            maintenance.released_members().for_each(|member| self.failing.forget(member));
        }
        let report = self.maintenance.as_mut().map(|maintenance| {
            let (exchanges, failing) = (&self.exchanges, &self.failing);
            let mut report = maintenance.report(
                &self.knowledge.endpoints.all_listings(),
                &self.settings,
                self.now,
                |member| failing.is_failing(member),
                |member| exchanges.is_open_at(member),
                is_idle_for_good,
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

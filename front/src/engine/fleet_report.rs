//! What the engine reports to the fleet's thread, and what it takes over from the leases held there.

use elmtide::Listing;

use super::Engine;
use crate::exchange::Upstream;
use crate::fleet_link::FleetUpdate;

impl<U: Upstream> Engine<U> {
    /// Takes over what the fleet's thread has decided.
    pub(super) fn apply_fleet_update(&mut self, update: FleetUpdate) {
        match update {
            FleetUpdate::Maintenance(told) => {
                if let Some(maintenance) = &mut self.maintenance {
                    maintenance.take(&told);
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
        let answer = !matches!(update, FleetUpdate::Close(_));
        if let Some(budgets) = &mut self.budgets {
            budgets.apply(update);
        }
        if answer {
            self.report_to_fleet();
        }
        self.update_slow_start_shares();
    }

    /// Tells the fleet's thread what is wanted, used and seen.
    pub(super) fn report_to_fleet(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        if let Some(maintenance) = &self.maintenance {
            maintenance.let_go().for_each(|member| self.failing.forget(member));
        }
        let said = self.maintenance.as_mut().map(|maintenance| {
            let (exchanges, failing) = (&self.exchanges, &self.failing);
            let busy = exchanges.unanswered() > 0;
            let mut said = maintenance.said(
                &self.endpoints.all_listings(),
                &self.settings,
                self.now,
                |member| failing.is_failing(member),
                |member| exchanges.is_open_at(member),
                busy,
            );
            said.is_overloaded = budgets.is_short();
            said
        });
        let (set, now) = (&self.settings, self.now);
        let cold = |l: &Listing| {
            let ours =
                l.zone == set.zone && Some(l.kind) != set.parent_kind && Some(l.kind) != set.origin_kind;
            let span = set.cold_duration.filter(|span| *span > 0.0);
            ours && l.started_at.zip(span).is_some_and(|(started_at, span)| now - started_at < span)
        };
        let warm = !self.endpoints.all_listings().iter().any(cold);
        budgets.report(said, warm);
    }

    /// Tells the routers their parts of what cold boxes and parents bear.
    pub(super) fn update_slow_start_shares(&mut self) {
        let Some(budgets) = &mut self.budgets else { return };
        let listed = self.endpoints.present_listings();
        for share in budgets.update_slow_start(&listed, &self.settings, self.now) {
            self.routers.iter_mut().for_each(|r| r.divide_cold_budget(share.member, share.fronts));
        }
    }
}

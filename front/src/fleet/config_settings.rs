//! Converts the fleet's file to the settings of the fleet's crates: budgets, leases, machines and sites, on which all
//! fronts must agree.

use std::collections::BTreeMap;

use elmtide_budgets::{
    BudgetId, BudgetKind, FrontId, LeaseSettings, Micros, MinimumRule, SpendingModel, TotalLimit, TOTAL,
};
use elmtide_cells::ShopId;
use elmtide_fleet::{FleetSettings, FrontSettings, MaintenanceSettings};
use elmtide_maintenance::{DisruptionBudget, HostedFront, MachineId, MachineSpec, ReturnPolicy};
use elmtide_sites::{FailoverSettings, SiteId};

use crate::fleet::config::{BackEntry, BudgetEntry, FleetConfig, FrontEntry, MachineEntry};
use crate::fleet::config_check::parse_hours;
use crate::fleet::config_error::FleetConfigError;

impl FrontEntry {
    fn hosted(&self) -> HostedFront {
        HostedFront { id: FrontId::from_name(&self.name), is_voter: self.votes }
    }
}

impl BudgetEntry {
    /// The budget and its size. `None` for kinds of which each cache node has its own: those are found in service. A
    /// link budget is that of the front's own site; each site has one of this size.
    pub fn total_limit(&self, site: &str) -> Result<Option<(BudgetId, TotalLimit)>, FleetConfigError> {
        let kind = self.kind()?;
        let id = match kind {
            BudgetKind::LinkFills => FrontId::from_name(site).0,
            _ => self.shop.as_deref().map_or(0, |shop| ShopId::of(shop).0),
        };
        let total = TotalLimit { rate: self.rate, burst: self.burst, window: 0 };
        Ok((kind.spending_model() != SpendingModel::SlidingWindow)
            .then_some((BudgetId { kind, resource: id }, total)))
    }
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

impl FleetConfig {
    /// The machines and the limits of maintenance, on which all fronts must agree.
    pub fn maintenance_settings(&self) -> Option<MaintenanceSettings> {
        let work = self.work.as_ref()?;
        let sorted_names = |of: &dyn Fn(&MachineEntry) -> String| {
            let mut names: Vec<String> = self.machine.iter().map(of).filter(|n| !n.is_empty()).collect();
            names.sort_unstable();
            names.dedup();
            names
        };
        let (locations, hubs, kinds) = (
            sorted_names(&|m| m.location.clone()),
            sorted_names(&|m| m.hub.clone()),
            sorted_names(&|m| m.kind.clone()),
        );
        // 0 stands for no name.
        let index_of = |names: &[String], name: &str| {
            names.binary_search_by(|n| n[..].cmp(name)).map_or(0, |index| index as u16 + 1)
        };
        let spec = |m: &MachineEntry| MachineSpec {
            name: m.name.clone(),
            location: index_of(&locations, &m.location),
            hub: index_of(&hubs, &m.hub),
            kind: index_of(&kinds, &m.kind),
            weight: (m.weight * 1000.0) as u32,
            address: m.address,
            front: m.front.as_ref().and_then(|f| self.front_entry(f)).map(FrontEntry::hosted),
        };
        let pair = |(a, b): &(String, String)| (MachineId::from_name(a), MachineId::from_name(b));
        let disruption_budget = DisruptionBudget {
            per_location: work.per_location,
            per_hub: work.per_hub,
            per_kind: work.per_kind,
            exclusive_pairs: work.pairs.iter().map(pair).collect(),
            capacity_margin_percent: work.margin_percent,
            tolerates_further_loss: work.further_loss,
            return_policy: match work.back {
                BackEntry::Bus => ReturnPolicy::EndpointListed,
                BackEntry::Word => ReturnPolicy::OperatorConfirmed,
                BackEntry::Both => ReturnPolicy::Both,
            },
            blackout_minutes: work.closed.iter().filter_map(|text| parse_hours(text)).collect(),
        };
        Some(MaintenanceSettings { machines: self.machine.iter().map(spec).collect(), disruption_budget })
    }

    /// Durations and clock tolerances of leases. `max_deadline_ms` is the longest deadline of a request.
    pub fn lease_settings(&self, max_deadline_ms: f64) -> LeaseSettings {
        LeaseSettings {
            duration: micros(self.lease_ms),
            drift: self.drift,
            slack: micros(2.0 * self.tick_ms),
            max_clock_divergence: micros(self.gap_ms),
            max_request_deadline: micros(max_deadline_ms),
        }
    }

    /// The settings on which all fronts must agree. `max_deadline_ms` is the longest deadline of a request.
    pub fn settings(&self, max_deadline_ms: f64) -> Result<FleetSettings, FleetConfigError> {
        let mut sites: Vec<&str> = self.front.iter().map(|f| &f.site[..]).collect();
        sites.sort_unstable();
        sites.dedup();
        let site = |name: &str| sites.iter().position(|s| *s == name).unwrap_or(0) as u16;
        let fronts = self.front.iter();
        let fronts = fronts.map(|f| FrontSettings {
            id: FrontId::from_name(&f.name),
            site: site(&f.site),
            is_voter: f.votes,
        });
        let mut minimums = BTreeMap::new();
        for budget in &self.budget {
            let kind = budget.kind()?;
            // A minimum below one unit of the burst is of no use. Sliding windows and totals in parts have no such
            // unit.
            let min_unit = match kind.spending_model() {
                SpendingModel::SlidingWindow => 1,
                _ => (f64::from(TOTAL) / budget.burst).ceil().clamp(1.0, f64::from(TOTAL)) as u32,
            };
            let reserved_parts = (budget.floor * f64::from(TOTAL)) as u32;
            minimums.insert(kind, MinimumRule { set_aside: reserved_parts, unit: min_unit });
        }
        Ok(FleetSettings {
            version: self.version,
            fronts: fronts.collect(),
            minimums: minimums.into_iter().collect(),
            lease: self.lease_settings(max_deadline_ms),
            tick: micros(self.tick_ms),
            maintenance: self.maintenance_settings(),
            sites: self.failover_settings(),
        })
    }

    /// The settings of site failover, on which all fronts must agree; `None` if no front belongs to a site.
    fn failover_settings(&self) -> Option<FailoverSettings> {
        let table = self.sites.as_ref()?;
        let fronts: BTreeMap<FrontId, SiteId> = self
            .fronts_of_sites()
            .into_iter()
            .map(|(name, site)| (FrontId::from_name(&name), site))
            .collect();
        (!fronts.is_empty()).then_some(FailoverSettings {
            sites: self.site.len() as u16,
            patience_ms: table.patience_ms as u64,
            max_patience_ms: table.ceiling_ms as u64,
            min_phase_ms: table.pace_ms as u64,
            site_of_front: fronts,
        })
    }

    /// The fronts that belong to a site, each with its site.
    pub fn fronts_of_sites(&self) -> Vec<(String, SiteId)> {
        let site =
            |name: &str| self.site.iter().position(|s| s.name == name).map(|index| SiteId(index as u16));
        self.front.iter().filter_map(|f| Some((f.name.clone(), site(&f.site)?))).collect()
    }
}

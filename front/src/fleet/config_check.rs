//! Checks of the fleet's file that go beyond its types.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::command::MAX_FRONTS;
use elmtide_budgets::{BudgetKind, FrontId, SpendingModel};
use elmtide_maintenance::state::MAX_MACHINES;

use crate::fleet::config::{FleetConfig, WorkEntry};
use crate::fleet::config_error::FleetConfigError;
use crate::fleet::config_limits::{HOOK_STEPS, MAX_MACHINE_NAME_BYTES};
use crate::fleet::site_directory::SiteDirectory;

fn check_range(field: impl Into<String>, value: f64, min: f64, max: f64) -> Result<(), FleetConfigError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(FleetConfigError::OutOfRange { field: field.into(), value, min, max })
}

/// Parses hours such as `07:00-19:30` into their first and last minute of the day.
pub(super) fn parse_hours(text: &str) -> Option<(u16, u16)> {
    let minute = |text: &str| {
        let (hour, minute) = text.split_once(':')?;
        let (hour, minute): (u16, u16) = (hour.parse().ok()?, minute.parse().ok()?);
        (hour <= 24 && minute < 60 && hour * 60 + minute <= 1440).then_some(hour * 60 + minute)
    };
    let (from, to) = text.split_once('-')?;
    Some((minute(from.trim())?, minute(to.trim())?))
}

impl FleetConfig {
    pub(super) fn check(&self) -> Result<(), FleetConfigError> {
        self.check_times()?;
        self.check_fronts()?;
        self.check_budgets()?;
        match &self.work {
            Some(work) => self.check_maintenance(work)?,
            None if self.machine.is_empty() => {}
            None => return Err(FleetConfigError::MachinesWithoutWork),
        }
        match &self.sites {
            Some(sites) => {
                SiteDirectory::from_config(sites, &self.site)?;
                Ok(())
            }
            None if self.site.is_empty() => Ok(()),
            None => Err(FleetConfigError::SitesWithoutTable),
        }
    }

    fn check_times(&self) -> Result<(), FleetConfigError> {
        check_range("tick_ms", self.tick_ms, 1.0, 1000.0)?;
        check_range("lease_ms", self.lease_ms, 8.0 * self.tick_ms, 3_600_000.0)?;
        check_range("drift", self.drift, 0.0, 0.1)?;
        check_range("gap_ms", self.gap_ms, 1.0, self.lease_ms)
    }

    fn check_fronts(&self) -> Result<(), FleetConfigError> {
        if self.version == 0 {
            return Err(FleetConfigError::VersionZero);
        }
        if self.store.is_some() == self.no_store {
            return Err(FleetConfigError::StoreAmbiguous);
        }
        if self.front.is_empty() || self.front.len() > MAX_FRONTS {
            return Err(FleetConfigError::FrontCount(self.front.len()));
        }
        let ids: BTreeSet<FrontId> = self.front.iter().map(|front| FrontId::from_name(&front.name)).collect();
        if ids.len() != self.front.len() {
            return Err(FleetConfigError::DuplicateFront);
        }
        let voters = self.front.iter().filter(|front| front.votes).count();
        if !elmtide_consensus::is_valid_cluster_size(voters) {
            return Err(FleetConfigError::VoterCount(voters));
        }
        Ok(())
    }

    fn check_budgets(&self) -> Result<(), FleetConfigError> {
        let mut minimums = BTreeMap::new();
        for budget in &self.budget {
            let kind = budget.kind()?;
            check_range(format!("floor of {}", budget.kind), budget.floor, 0.0, 1.0)?;
            if kind.spending_model() != SpendingModel::SlidingWindow {
                check_range(format!("burst of {}", budget.kind), budget.burst, 1e-3, 1e9)?;
            }
            if kind.spending_model() == SpendingModel::TokenBucket {
                check_range(format!("rate of {}", budget.kind), budget.rate, 1e-3, 1e9)?;
            }
            let is_of_shop = matches!(kind, BudgetKind::ShopRate | BudgetKind::ShopConcurrency);
            if is_of_shop != budget.shop.is_some() {
                return Err(FleetConfigError::ShopOfBudget(budget.kind.clone()));
            }
            if *minimums.entry(kind).or_insert(budget.floor) != budget.floor {
                return Err(FleetConfigError::DifferentFloors(budget.kind.clone()));
            }
        }
        Ok(())
    }

    fn check_maintenance(&self, work: &WorkEntry) -> Result<(), FleetConfigError> {
        if self.machine.len() > MAX_MACHINES {
            return Err(FleetConfigError::TooManyMachines);
        }
        let names: BTreeSet<&str> = self.machine.iter().map(|machine| &machine.name[..]).collect();
        if names.len() != self.machine.len() {
            return Err(FleetConfigError::DuplicateMachine);
        }
        self.check_machines()?;
        let paired = work.pairs.iter().flat_map(|(first, second)| [first, second]);
        if let Some(unknown) = paired.into_iter().find(|machine| !names.contains(&machine[..])) {
            return Err(FleetConfigError::UnknownPairedMachine(unknown.clone()));
        }
        if let Some(text) = work.closed.iter().find(|text| parse_hours(text).is_none()) {
            return Err(FleetConfigError::Hours(text.clone()));
        }
        if let Some(step) = work.hooks.keys().find(|step| !HOOK_STEPS.contains(&&step[..])) {
            return Err(FleetConfigError::UnknownHookStep { step: step.clone() });
        }
        if work.hooks.values().any(Vec::is_empty) || !(0.1..=3600.0).contains(&work.hook_seconds) {
            return Err(FleetConfigError::HookCommand);
        }
        Ok(())
    }

    fn check_machines(&self) -> Result<(), FleetConfigError> {
        for machine in &self.machine {
            if machine.name.is_empty() || machine.name.len() > MAX_MACHINE_NAME_BYTES {
                return Err(FleetConfigError::MachineName(machine.name.clone()));
            }
            if !(1e-3..=1e5).contains(&machine.weight) {
                let (machine, weight) = (machine.name.clone(), machine.weight);
                return Err(FleetConfigError::MachineWeight { machine, weight });
            }
            if let Some(front) = machine.front.as_ref().filter(|front| self.front_entry(front).is_none()) {
                let (machine, front) = (machine.name.clone(), front.clone());
                return Err(FleetConfigError::UnknownHostedFront { machine, front });
            }
        }
        Ok(())
    }
}

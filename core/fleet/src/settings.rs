//! The fleet's configuration, and what a node recovers from its store.

use elmtide_budgets::{
    BudgetCommand, BudgetKind, FrontId, GuaranteedMinimums, LeaseSettings, Micros, MinimumRule,
};
use elmtide_consensus::records::StoredLog;
use elmtide_consensus::VoterId;
use elmtide_maintenance::{DisruptionBudget, MachineSpec};

use crate::agreed_state::AgreedCommand;

/// A front of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontSettings {
    /// The id, derived from its name.
    pub id: FrontId,
    /// The number of its site.
    pub site: u16,
    /// Whether it has a vote.
    pub is_voter: bool,
}

/// The machines that may go into maintenance, and how many of them at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceSettings {
    /// All machines.
    pub machines: Vec<MachineSpec>,
    /// Limits the machines that may be in maintenance at the same time.
    pub disruption_budget: DisruptionBudget,
}

/// The configuration of the fleet; the same at all fronts for a given version.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Version of the configuration; a higher version replaces a lower one.
    pub version: u64,
    /// All fronts.
    pub fronts: Vec<FrontSettings>,
    /// The rule for guaranteed minimums, for each kind of budget.
    pub minimums: Vec<(BudgetKind, MinimumRule)>,
    /// Durations and clock tolerances of leases.
    pub lease: LeaseSettings,
    /// Duration of a tick, the unit of election timeouts and other intervals.
    pub tick: Micros,
    /// `None` if maintenance is disabled.
    pub maintenance: Option<MaintenanceSettings>,
    /// `None` if site failover is disabled.
    pub sites: Option<elmtide_sites::FailoverSettings>,
}

impl FleetSettings {
    /// The fronts that vote.
    pub fn voters(&self) -> impl Iterator<Item = FrontId> + '_ {
        self.fronts.iter().filter(|front| front.is_voter).map(|front| front.id)
    }

    /// The command that puts the list of fronts into force.
    pub(crate) fn front_list_command(&self) -> AgreedCommand {
        AgreedCommand::Budgets(BudgetCommand::UpdateFronts {
            version: self.version,
            fronts: self.fronts.iter().map(|front| front.id).collect(),
            minimums: self.minimums.clone(),
            lease: self.lease.duration,
        })
    }

    /// The command that puts the machines into force; `None` if maintenance is disabled.
    pub(crate) fn machines_command(&self) -> Option<AgreedCommand> {
        let MaintenanceSettings { machines, disruption_budget } = self.maintenance.clone()?;
        let version = self.version;
        Some(AgreedCommand::Maintenance(elmtide_maintenance::MaintenanceCommand::UpdateMachines {
            version,
            machines,
            budget: disruption_budget,
        }))
    }

    /// The command that puts the sites into force; `None` if site failover is disabled.
    pub(crate) fn sites_command(&self) -> Option<AgreedCommand> {
        let failover = self.sites.as_ref()?;
        Some(AgreedCommand::Sites(elmtide_sites::SiteCommand::UpdateSites {
            version: self.version,
            sites: failover.sites,
            patience_ms: failover.patience_ms,
            max_patience_ms: failover.max_patience_ms,
        }))
    }
}

/// Everything that a node starts with.
pub struct NodeConfig {
    /// This front.
    pub own: FrontId,
    /// The installation's name. It goes into every MAC, so that datagrams of another installation are dropped.
    pub installation: String,
    /// The installation's key.
    pub key: Vec<u8>,
    /// The configuration.
    pub settings: FleetSettings,
    /// What the store has kept, with an incarnation that is higher than any before; the default without a store.
    pub recovered: RecoveredState,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What a store has kept for this front.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The incarnation of the run that starts now.
    pub incarnation: u64,
    /// Whether there is a durable store. Without one the front has no vote, and no guaranteed minimum before the first
    /// lease response.
    pub durable: bool,
    /// The voter id of the store, if it has one.
    pub voter: Option<VoterId>,
    /// The replicated log.
    pub log: StoredLog,
    /// The guaranteed minimums, which the front may use with or without a lease.
    pub minimums: GuaranteedMinimums,
}

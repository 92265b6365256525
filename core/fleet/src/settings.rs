//! What the configuration says of the fleet, and what a node recovers from its store.

use elmtide_budgets::{
    BudgetCommand, BudgetKind, FrontId, GuaranteedMinimums, LeaseSettings, Micros, MinimumRule,
};
use elmtide_consensus::records::StoredLog;
use elmtide_consensus::VoterId;
use elmtide_maintenance::{DisruptionBudget, MachineSpec};

use crate::agreed_state::AgreedCommand;

/// A front as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontSettings {
    /// By its name.
    pub id: FrontId,
    /// Where it is.
    pub site: u16,
    /// Whether it has a vote.
    pub is_voter: bool,
}

/// The machines that may go into maintenance, and how many of them at once.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceSettings {
    /// All machines.
    pub machines: Vec<MachineSpec>,
    /// How many may be out together.
    pub bounds: DisruptionBudget,
}

/// What the configuration says of the fleet: the same at all fronts, by its version.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Of the configuration; a higher one takes the place of a lower.
    pub version: u64,
    /// All fronts.
    pub fronts: Vec<FrontSettings>,
    /// The guaranteed minimums by kind of budget.
    pub minimums: Vec<(BudgetKind, MinimumRule)>,
    /// The times that leases go by.
    pub lease: LeaseSettings,
    /// The unit of the timeouts of elections.
    pub tick: Micros,
    /// `None` where maintenance is off.
    pub maintenance: Option<MaintenanceSettings>,
    /// `None` where sites are not watched.
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

    /// The command that puts the machines into force, where maintenance is on.
    pub(crate) fn machines_command(&self) -> Option<AgreedCommand> {
        let MaintenanceSettings { machines, bounds } = self.maintenance.clone()?;
        let version = self.version;
        Some(AgreedCommand::Maintenance(elmtide_maintenance::MaintenanceCommand::UpdateMachines {
            version,
            machines,
            budget: bounds,
        }))
    }

    /// The command that puts the sites into force, where they are watched.
    pub(crate) fn sites_command(&self) -> Option<AgreedCommand> {
        let rules = self.sites.as_ref()?;
        Some(AgreedCommand::Sites(elmtide_sites::SiteCommand::UpdateSites {
            version: self.version,
            sites: rules.sites,
            patience_ms: rules.patience_ms,
            max_patience_ms: rules.max_patience_ms,
        }))
    }
}

/// Everything that a node starts with.
pub struct NodeConfig {
    /// This front.
    pub own: FrontId,
    /// In every MAC: datagrams of another installation are dropped.
    pub installation: String,
    /// The installation's key.
    pub key: Vec<u8>,
    /// What the configuration says.
    pub settings: FleetSettings,
    /// From the store, with an incarnation that is higher than any before; the default without a store.
    pub recovered: RecoveredState,
    /// Of everything that is drawn at random.
    pub seed: u64,
}

/// What a store has kept for this front.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Of the run that begins now.
    pub incarnation: u64,
    /// Whether there is a durable store: without one there is no vote, and no guaranteed minimum before the first response.
    pub durable: bool,
    /// The id of the store, if it has voted.
    pub voter: Option<VoterId>,
    /// The replicated log.
    pub log: StoredLog,
    /// What the front may spend with or without a lease.
    pub minimums: GuaranteedMinimums,
}

//! Why the fleet's file can't be used.

use std::io;
use std::path::PathBuf;

use elmtide_budgets::command::MAX_FRONTS;
use elmtide_budgets::BudgetKind;
use elmtide_maintenance::state::MAX_MACHINES;
use elmtide_sites::command::MAX_SITES;

use crate::fleet::config_limits::{HOOK_STEPS, MAX_FILE_BYTES};

/// Why the fleet's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FleetConfigError {
    /// An error in a file.
    #[error("{}: {error}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The error.
        #[source]
        error: Box<FleetConfigError>,
    },
    /// The key's file can't be used.
    #[error("{}: {error}", path.display())]
    Key {
        /// Its path.
        path: PathBuf,
        /// The error.
        #[source]
        error: KeyError,
    },
    /// The file can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is too large.
    #[error("the file is larger than {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// The file is not valid TOML, or has unknown keys or values of the wrong type.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("{field} is {value}, which is outside the range from {min} to {max}")]
    OutOfRange {
        /// The key, with the kind of budget where it belongs to one.
        field: String,
        /// The value.
        value: f64,
        /// The lowest valid value.
        min: f64,
        /// The highest valid value.
        max: f64,
    },
    /// The version is 0.
    #[error("version must be at least 1")]
    VersionZero,
    /// Neither a store nor `no_store` is set, or both are.
    #[error("set either store or no_store = true")]
    StoreAmbiguous,
    /// There is no front, or there are too many.
    #[error("{0} fronts are configured: there must be from 1 to {MAX_FRONTS}")]
    FrontCount(usize),
    /// Two fronts have the same name.
    #[error("two fronts have the same name")]
    DuplicateFront,
    /// The number of voters is not valid for a majority.
    #[error("{0} fronts vote: there must be three or five voters, or one for trials")]
    VoterCount(usize),
    /// A kind of budget does not exist.
    #[error("unknown kind of budget {kind:?}; the kinds are {}", budget_kinds())]
    UnknownBudget {
        /// The kind in the file.
        kind: String,
    },
    /// A shop's budget does not name its shop, or another budget names one.
    #[error("{0}: a shop's budget must name its shop, and other budgets must not name one")]
    ShopOfBudget(String),
    /// Budgets of one kind have different floors.
    #[error("{0}: all budgets of a kind must have the same floor")]
    DifferentFloors(String),
    /// Machines are configured without the limits of maintenance.
    #[error("[[machine]] without [work]: configure the limits of maintenance")]
    MachinesWithoutWork,
    /// There are too many machines.
    #[error("more than {MAX_MACHINES} machines are configured")]
    TooManyMachines,
    /// Two machines have the same name.
    #[error("two machines have the same name")]
    DuplicateMachine,
    /// The name of a machine is empty or too long.
    #[error("machine {0:?}: a name must have 1 to 64 bytes")]
    MachineName(String),
    /// The weight of a machine is out of range.
    #[error("the weight of {machine} is {weight}, which is out of range")]
    MachineWeight {
        /// The machine.
        machine: String,
        /// Its weight.
        weight: f64,
    },
    /// A machine hosts a front that does not exist.
    #[error("{machine}: there is no [[front]] with the name {front:?}")]
    UnknownHostedFront {
        /// The machine.
        machine: String,
        /// The front that it hosts according to the file.
        front: String,
    },
    /// A pair names a machine that does not exist.
    #[error("pairs: there is no machine {0:?}")]
    UnknownPairedMachine(String),
    /// Hours of the day can't be parsed.
    #[error("closed: {0:?} does not have the form \"07:00-19:30\"")]
    Hours(String),
    /// A hook is configured for a step that does not exist.
    #[error("hooks: there is no step {step:?}; the steps are {}", HOOK_STEPS.join(", "))]
    UnknownHookStep {
        /// The step in the file.
        step: String,
    },
    /// A hook has no command, or the timeout of hooks is out of range.
    #[error("hooks: each must have a command, and hook_seconds must be from 0.1 to 3600")]
    HookCommand,
    /// Sites are configured without their settings.
    #[error("[[site]] without [sites]")]
    SitesWithoutTable,
    /// The tables of sites are invalid.
    #[error(transparent)]
    Sites(#[from] SiteTableError),
}

/// Why the key of the fleet can't be read.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Users other than its owner may read the file.
    #[error("users other than its owner may read it: its mode must be 0600")]
    ReadableByOthers,
    /// The file is too large for a key.
    #[error("it is too large for a key")]
    TooLarge,
    /// The file is not one line of enough hex digits.
    #[error("it must be one line of at least 32 hex digits")]
    NotHex,
}

/// Why tables of sites can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SiteTableError {
    /// Two sites have the same name.
    #[error("two sites have the same name")]
    DuplicateSite,
    /// A load is given for a class that does not exist.
    #[error("site {site}: there is no class {class:?}")]
    UnknownClass {
        /// The site.
        site: String,
        /// The class.
        class: String,
    },
    /// A link leads to a hub that does not exist.
    #[error("site {site}: there is no hub {hub:?}")]
    UnknownHub {
        /// The site.
        site: String,
        /// The hub.
        hub: String,
    },
    /// A pair names a site that does not exist.
    #[error("pairs: there is no site {0:?}")]
    UnknownPairedSite(String),
    /// No plan can be made with the figures.
    #[error("{0}")]
    Layout(String),
    /// A duration is out of range.
    #[error("sites: a duration is outside the range from 10 ms to one hour")]
    Time,
    /// There are too many sites.
    #[error("more than {MAX_SITES} sites are configured")]
    TooManySites,
}

fn budget_kinds() -> String {
    let kinds: Vec<&str> = BudgetKind::ALL.iter().map(|kind| kind.name()).collect();
    kinds.join(", ")
}

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
    /// The file that is wrong.
    #[error("{}: {error}", path.display())]
    File {
        /// Where it is.
        path: PathBuf,
        /// What is wrong.
        #[source]
        error: Box<FleetConfigError>,
    },
    /// The file of the key is wrong.
    #[error("{}: {error}", path.display())]
    Key {
        /// Where it is.
        path: PathBuf,
        /// What is wrong.
        #[source]
        error: KeyError,
    },
    /// It can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is larger than any such file.
    #[error("over {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// It is no TOML, or has keys or values that are none.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// A figure is out of its range.
    #[error("{what} is {value}, which is not from {least} to {most}")]
    OutOfRange {
        /// The key, and of what.
        what: String,
        /// The figure.
        value: f64,
        /// The least that is possible.
        least: f64,
        /// The most that is possible.
        most: f64,
    },
    /// The version is 0.
    #[error("version begins at 1")]
    VersionZero,
    /// Neither a store nor `no_store`, or both.
    #[error("name a store, or say no_store = true: one of them")]
    StoreUnclear,
    /// No front, or too many.
    #[error("{0} fronts: from 1 to {MAX_FRONTS} are possible")]
    FrontCount(usize),
    /// Two fronts have one name.
    #[error("two fronts have one name")]
    DuplicateFront,
    /// A number of voters that has no proper majority.
    #[error("{0} fronts vote: three or five do, or one to try it out")]
    VoterCount(usize),
    /// A kind of budget that there is none of.
    #[error("budget {kind:?} is not known; there are {}", budget_kinds())]
    UnknownBudget {
        /// As the file has it.
        kind: String,
    },
    /// A shop's budget without its shop, or another one with a shop.
    #[error("{0}: a shop's budget names its shop, others name none")]
    ShopOfBudget(String),
    /// Budgets of one kind have different floors.
    #[error("{0}: all budgets of a kind have the same floor")]
    DifferentFloors(String),
    /// Machines without the bounds by which they go into maintenance.
    #[error("[[machine]] without [work]: say by which bounds they go out")]
    MachinesWithoutWork,
    /// More machines than are possible.
    #[error("over {MAX_MACHINES} machines")]
    TooManyMachines,
    /// Two machines have one name.
    #[error("two machines have one name")]
    DuplicateMachine,
    /// A name of a machine that is empty or too long.
    #[error("machine {0:?}: a name has 1 to 64 bytes")]
    MachineName(String),
    /// A weight that is none.
    #[error("weight of {machine} is {weight}")]
    MachineWeight {
        /// The machine.
        machine: String,
        /// Its weight.
        weight: f64,
    },
    /// A machine hosts a front that there is none of.
    #[error("{machine}: no [[front]] has the name {front:?}")]
    UnknownHostedFront {
        /// The machine.
        machine: String,
        /// The front that it is said to host.
        front: String,
    },
    /// A pair names a machine that there is none of.
    #[error("pairs: there is no machine {0:?}")]
    UnknownPairedMachine(String),
    /// Hours of the day that can't be read.
    #[error("closed: {0:?} is not as \"07:00-19:30\"")]
    Hours(String),
    /// A hook for a step that there is none of.
    #[error("hooks: there is no step {step:?}; there are {}", HOOK_STEPS.join(", "))]
    UnknownHookStep {
        /// As the file has it.
        step: String,
    },
    /// A hook without a command, or with a time that is none.
    #[error("hooks: a command, and hook_seconds from 0.1 to 3600")]
    HookCommand,
    /// Sites without their table.
    #[error("[[site]] without [sites]")]
    SitesWithoutTable,
    /// The tables of sites are wrong.
    #[error(transparent)]
    Sites(#[from] SiteTableError),
}

/// Why the key of the fleet can't be had.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// It can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Others than its owner may read it.
    #[error("others may read it: it has to be of mode 0600")]
    ReadableByOthers,
    /// It is larger than any key.
    #[error("it is no key")]
    TooLarge,
    /// It has something else than enough hex digits.
    #[error("one line of at least 32 hex digits is wanted")]
    NotHex,
}

/// Why tables of sites can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SiteTableError {
    /// Two sites have one name.
    #[error("two sites have one name")]
    DuplicateSite,
    /// A load of a class that there is none of.
    #[error("site {site}: there is no class {class:?}")]
    UnknownClass {
        /// The site.
        site: String,
        /// The class.
        class: String,
    },
    /// A link to a hub that there is none of.
    #[error("site {site}: there is no hub {hub:?}")]
    UnknownHub {
        /// The site.
        site: String,
        /// The hub.
        hub: String,
    },
    /// A pair names a site that there is none of.
    #[error("pairs: there is no site {0:?}")]
    UnknownPairedSite(String),
    /// Figures that no plan can be made by.
    #[error("{0}")]
    Layout(String),
    /// A time is out of its range.
    #[error("sites: a time is not from 10 ms to an hour")]
    Time,
    /// More sites than are possible.
    #[error("over {MAX_SITES} sites")]
    TooManySites,
}

fn budget_kinds() -> String {
    let kinds: Vec<&str> = BudgetKind::ALL.iter().map(|kind| kind.name()).collect();
    kinds.join(", ")
}

//! The fleet's file, `deploy/fleet.toml`: the fronts, who votes, the budgets and their guaranteed minimums. Without it nothing of
//! the fleet is there: no socket, thread, file or cost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use elmtide_budgets::BudgetKind;
use serde::Deserialize;

use crate::fleet::config_error::{FleetConfigError, KeyError};
use crate::fleet::config_limits::{MAX_FILE_BYTES, MAX_KEY_FILE_BYTES, MIN_KEY_BYTES};
use crate::fleet::site_directory::{SiteEntry, SitesEntry};
use crate::process::log::LogForm;

/// Where the file is, if nothing else is said.
pub const FILE: &str = "deploy/fleet.toml";

fn default_tick_ms() -> f64 {
    50.0
}

fn default_lease_ms() -> f64 {
    2000.0
}

fn default_drift() -> f64 {
    0.001
}

fn default_gap_ms() -> f64 {
    50.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Its name is in every MAC.
    pub installation: String,
    /// One line of at least 32 hex digits, of mode 0600.
    pub key_file: PathBuf,
    /// Of this list; a higher one takes the place of a lower.
    pub version: u64,
    /// The store; none only with `no_store = true`.
    pub store: Option<PathBuf>,
    #[serde(default)]
    pub no_store: bool,
    #[serde(default = "default_tick_ms")]
    pub tick_ms: f64,
    #[serde(default = "default_lease_ms")]
    pub lease_ms: f64,
    /// How much faster one machine's clock may run than another's.
    #[serde(default = "default_drift")]
    pub drift: f64,
    /// How far a machine's two clocks may part during a lease.
    #[serde(default = "default_gap_ms")]
    pub gap_ms: f64,
    /// Where each spending is written down; for tests and trials.
    pub record: Option<PathBuf>,
    /// Where `elmtide fleet` asks.
    pub look: Option<PathBuf>,
    #[serde(default)]
    pub log: LogForm,
    #[serde(default)]
    pub front: Vec<FrontEntry>,
    #[serde(default)]
    pub budget: Vec<BudgetEntry>,
    /// Machines go out for work by these bounds; without it, none do.
    pub work: Option<WorkEntry>,
    #[serde(default)]
    pub machine: Vec<MachineEntry>,
    /// For the plan of a loss; see `elmtide site plan`.
    pub sites: Option<SitesEntry>,
    #[serde(default)]
    pub site: Vec<SiteEntry>,
}

/// Bounds of machines that are out for work together; 0 is none.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Of one kind at one location.
    #[serde(default = "default_limit")]
    pub per_location: u16,
    #[serde(default = "default_limit")]
    pub per_hub: u16,
    #[serde(default)]
    pub per_kind: u16,
    /// What is left at a location bears the measured load and so many hundredths more.
    #[serde(default = "default_margin_percent")]
    pub margin_percent: u32,
    /// And one further loss.
    #[serde(default = "enabled")]
    pub further_loss: bool,
    #[serde(default)]
    pub back: BackEntry,
    /// Never out together.
    #[serde(default)]
    pub pairs: Vec<(String, String)>,
    /// Hours (UTC) in which nothing new goes out, as `"07:00-19:30"`.
    #[serde(default)]
    pub closed: Vec<String>,
    /// Commands that the leader runs at a step (`next`, `leave`, `empty`, `release`, `return`, `in`, `overdue`, `call-back`), argument by
    /// argument; the machine's name follows as the last one.
    #[serde(default)]
    pub hooks: BTreeMap<String, Vec<String>>,
    #[serde(default = "default_hook_seconds")]
    pub hook_seconds: f64,
}

fn default_limit() -> u16 {
    1
}

fn default_margin_percent() -> u32 {
    20
}

fn default_hook_seconds() -> f64 {
    30.0
}

fn enabled() -> bool {
    true
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackEntry {
    #[default]
    Bus,
    Word,
    Both,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineEntry {
    /// As the bus calls it, or any name where its address is told.
    pub name: String,
    pub address: Option<SocketAddr>,
    #[serde(default)]
    pub location: String,
    #[serde(default)]
    pub hub: String,
    #[serde(default = "cache_kind")]
    pub kind: String,
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The front that runs on it.
    pub front: Option<String>,
}

fn cache_kind() -> String {
    "box".into()
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontEntry {
    pub name: String,
    /// Where the others send to.
    pub address: SocketAddr,
    /// Where it listens, if that is not where the others send to.
    pub listen: Option<SocketAddr>,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub votes: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    pub kind: String,
    /// Units a second, and units at once; `running` units at a time. Cold boxes have theirs from the settings.
    #[serde(default)]
    pub rate: f64,
    #[serde(default)]
    pub burst: f64,
    /// Part of it that is divided into floors.
    pub floor: f64,
    /// Of a shop's budget.
    pub shop: Option<String>,
}

impl BudgetEntry {
    /// The kind of the budget.
    ///
    /// # Errors
    /// If there is no such kind.
    pub fn kind(&self) -> Result<BudgetKind, FleetConfigError> {
        BudgetKind::from_name(&self.kind)
            .ok_or_else(|| FleetConfigError::UnknownBudget { kind: self.kind.clone() })
    }
}

impl FleetConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If it can't be read, is too large, or is wrong; the path is named.
    pub fn load(path: &Path) -> Result<FleetConfig, FleetConfigError> {
        let failed = |error: FleetConfigError| FleetConfigError::File {
            path: path.to_owned(),
            error: Box::new(error),
        };
        let length = std::fs::metadata(path).map_err(|error| failed(error.into()))?.len();
        if length > MAX_FILE_BYTES {
            return Err(failed(FleetConfigError::TooLarge));
        }
        let text = std::fs::read_to_string(path).map_err(|error| failed(error.into()))?;
        FleetConfig::parse(&text).map_err(failed)
    }

    /// Reads and checks a file's text.
    ///
    /// # Errors
    /// If it is wrong.
    pub fn parse(text: &str) -> Result<FleetConfig, FleetConfigError> {
        let config: FleetConfig = toml::from_str(text)?;
        config.check()?;
        Ok(config)
    }

    /// The entry of a front.
    pub fn own(&self, name: &str) -> Option<&FrontEntry> {
        self.front.iter().find(|front| front.name == name)
    }

    /// The key of the fleet's datagrams, from the file that this one names.
    ///
    /// # Errors
    /// If the file can't be read, others may read it, or it has no key; the path is named.
    pub fn key(&self) -> Result<Vec<u8>, FleetConfigError> {
        read_key(&self.key_file).map_err(|error| FleetConfigError::Key { path: self.key_file.clone(), error })
    }

    /// Where a front of this name answers operators.
    pub fn operator_socket(&self, name: &str) -> PathBuf {
        let usual = || std::env::temp_dir().join(format!("elmtide-{name}-fleet.sock"));
        self.look.clone().unwrap_or_else(usual)
    }
}

fn read_key(path: &Path) -> Result<Vec<u8>, KeyError> {
    let about = std::fs::metadata(path)?;
    if about.permissions().mode() & 0o077 != 0 {
        return Err(KeyError::ReadableByOthers);
    }
    if about.len() > MAX_KEY_FILE_BYTES {
        return Err(KeyError::TooLarge);
    }
    let text = std::fs::read_to_string(path)?;
    let digits = text.trim();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let key: Option<Vec<u8>> = digits.as_bytes().chunks(2).map(byte).collect();
    key.filter(|key| digits.len() % 2 == 0 && key.len() >= MIN_KEY_BYTES).ok_or(KeyError::NotHex)
}

#[cfg(test)]
mod tests;

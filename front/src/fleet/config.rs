//! The fleet's file, `deploy/fleet.toml`: the fronts, the voters, the budgets and their guaranteed minimums. Without
//! the file the fleet is off and has no socket, thread, file or cost.

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

/// The path of the file unless another one is given.
pub const DEFAULT_PATH: &str = "deploy/fleet.toml";

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

/// The content of the fleet's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The name of the installation, which is part of every MAC.
    pub installation: String,
    /// The file of the key: one line of at least 32 hex digits, with mode 0600.
    pub key_file: PathBuf,
    /// Version of the list of fronts; a higher version replaces a lower one.
    pub version: u64,
    /// Path of the store; may be absent only with `no_store = true`.
    pub store: Option<PathBuf>,
    /// Runs this front without a store.
    #[serde(default)]
    pub no_store: bool,
    /// Duration of a tick of the node.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: f64,
    /// Duration of a lease.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: f64,
    /// Maximum relative difference in rate between the clocks of two machines.
    #[serde(default = "default_drift")]
    pub drift: f64,
    /// Maximum divergence of a machine's wall clock and monotonic clock during a lease.
    #[serde(default = "default_gap_ms")]
    pub gap_ms: f64,
    /// Path of the spend log; for tests and trials.
    pub record: Option<PathBuf>,
    /// Path of the operators' socket.
    pub look: Option<PathBuf>,
    /// The form of log lines.
    #[serde(default)]
    pub log: LogForm,
    /// All fronts.
    #[serde(default)]
    pub front: Vec<FrontEntry>,
    /// The budgets that the fronts share.
    #[serde(default)]
    pub budget: Vec<BudgetEntry>,
    /// Limits of maintenance; without them no machine goes into maintenance.
    pub work: Option<WorkEntry>,
    /// The machines that may go into maintenance.
    #[serde(default)]
    pub machine: Vec<MachineEntry>,
    /// Settings of site failover; see `elmtide site plan`.
    pub sites: Option<SitesEntry>,
    /// The sites.
    #[serde(default)]
    pub site: Vec<SiteEntry>,
}

/// Limits of machines that are in maintenance at the same time; 0 means no limit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Machines of one kind at one location.
    #[serde(default = "default_limit")]
    pub per_location: u16,
    /// Machines of one hub.
    #[serde(default = "default_limit")]
    pub per_hub: u16,
    /// Machines of one kind.
    #[serde(default)]
    pub per_kind: u16,
    /// The machines that remain at a location must bear the measured load plus this margin.
    #[serde(default = "default_margin_percent")]
    pub margin_percent: u32,
    /// They must also bear the loss of the largest of them.
    #[serde(default = "enabled")]
    pub further_loss: bool,
    /// What shows that a machine has returned.
    #[serde(default)]
    pub back: BackEntry,
    /// Pairs of machines that are never in maintenance together.
    #[serde(default)]
    pub pairs: Vec<(String, String)>,
    /// Hours (UTC) in which no further machine goes into maintenance, as `"07:00-19:30"`.
    #[serde(default)]
    pub closed: Vec<String>,
    /// Commands with their arguments that the leader runs at a step (`next`, `leave`, `empty`, `release`, `return`,
    /// `in`, `overdue`, `call-back`); the machine's name is appended as the last argument.
    #[serde(default)]
    pub hooks: BTreeMap<String, Vec<String>>,
    /// Timeout of a hook.
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

/// What shows that a machine has returned from maintenance.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackEntry {
    /// The bus lists it.
    #[default]
    Bus,
    /// An operator confirms it.
    Word,
    /// The bus lists it and an operator confirms it.
    Both,
}

/// A machine that may go into maintenance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineEntry {
    /// Its name on the bus, or any name if its address is given.
    pub name: String,
    /// Its address, which identifies it whatever name the bus gives it.
    pub address: Option<SocketAddr>,
    /// Its location; may be empty.
    #[serde(default)]
    pub location: String,
    /// Its hub; may be empty.
    #[serde(default)]
    pub hub: String,
    /// Its kind; limits apply to machines of one kind.
    #[serde(default = "cache_kind")]
    pub kind: String,
    /// Its capacity, as a multiple of a machine of weight one.
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

/// A front of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontEntry {
    /// Its name.
    pub name: String,
    /// The address that the other fronts send to.
    pub address: SocketAddr,
    /// The address that it binds, if that is another one.
    pub listen: Option<SocketAddr>,
    /// Its site; may be empty.
    #[serde(default)]
    pub site: String,
    /// Whether it is a voter.
    #[serde(default)]
    pub votes: bool,
}

/// A budget that the fronts share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    /// Name of its kind.
    pub kind: String,
    /// Units per second. Budgets of cold cache nodes have their size from the settings.
    #[serde(default)]
    pub rate: f64,
    /// Units at once; for budgets of running requests, units at the same time.
    #[serde(default)]
    pub burst: f64,
    /// Fraction of it that is divided into the fronts' guaranteed minimums.
    pub floor: f64,
    /// The shop, for a shop's budget.
    pub shop: Option<String>,
}

impl BudgetEntry {
    /// The kind of the budget.
    ///
    /// # Errors
    /// If the kind does not exist.
    pub fn kind(&self) -> Result<BudgetKind, FleetConfigError> {
        BudgetKind::from_name(&self.kind)
            .ok_or_else(|| FleetConfigError::UnknownBudget { kind: self.kind.clone() })
    }
}

impl FleetConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file can't be read, is too large or is invalid; the error names the path.
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

    /// Parses and checks a file's text.
    ///
    /// # Errors
    /// If it is invalid.
    pub fn parse(text: &str) -> Result<FleetConfig, FleetConfigError> {
        let config: FleetConfig = toml::from_str(text)?;
        config.check()?;
        Ok(config)
    }

    /// The entry of the front with this name.
    pub fn front_entry(&self, name: &str) -> Option<&FrontEntry> {
        self.front.iter().find(|front| front.name == name)
    }

    /// Reads the key of the fleet's datagrams from [`FleetConfig::key_file`].
    ///
    /// # Errors
    /// If the key's file can't be read, is readable by others or holds no key; the error names the path.
    pub fn key(&self) -> Result<Vec<u8>, FleetConfigError> {
        read_key(&self.key_file).map_err(|error| FleetConfigError::Key { path: self.key_file.clone(), error })
    }

    /// Path of the operators' socket of the front with this name.
    pub fn operator_socket(&self, name: &str) -> PathBuf {
        let default_path = || std::env::temp_dir().join(format!("elmtide-{name}-fleet.sock"));
        self.look.clone().unwrap_or_else(default_path)
    }
}

fn read_key(path: &Path) -> Result<Vec<u8>, KeyError> {
    let metadata = std::fs::metadata(path)?;
    if metadata.permissions().mode() & 0o077 != 0 {
        return Err(KeyError::ReadableByOthers);
    }
    if metadata.len() > MAX_KEY_FILE_BYTES {
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

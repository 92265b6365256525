//! Saved plans: the configuration to put in force, and the fingerprint of the one the plan was made against.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::edge::cells::CellsConfig;
use crate::edge::config::{EdgeConfig, FrontState};
use crate::process::durable_file;

/// Format version of saved plans.
pub const PLAN_VERSION: u32 = 1;

/// A change of the configuration, ready to be applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub version: u32,
    /// Fingerprint of the configuration that the plan was made against.
    pub from: String,
    pub to: EdgeConfig,
    /// The change of the cells, if there is a cells file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<CellsPlan>,
}

/// A change of the cells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellsPlan {
    pub from: String,
    pub to: CellsConfig,
}

impl Plan {
    /// Reads a plan and checks its configurations.
    ///
    /// # Errors
    /// If it can't be read or is invalid: the path and the cause.
    pub fn load(path: &Path) -> Result<Plan, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let plan: Plan = serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        if plan.version != PLAN_VERSION {
            return Err(format!("{}: plan of version {}, not {PLAN_VERSION}", path.display(), plan.version));
        }
        plan.to.check().map_err(|why| format!("{}: {why}", path.display()))?;
        if let Some(cells) = &plan.cells {
            cells.to.layout(1.0).map_err(|why| format!("{}: {why}", path.display()))?;
        }
        Ok(plan)
    }

    /// Writes the plan atomically: a plan truncated by a full disk must not be applied.
    ///
    /// # Errors
    /// If it can't be written: the path and the cause.
    pub fn save(&self, path: &Path) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("{}: {e}", path.display());
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        let part = PathBuf::from(format!("{}.part", path.display()));
        durable_file::replace(path, &part, durable_file::READABLE, (text + "\n").as_bytes()).map_err(failed)
    }
}

/// The settings of a configuration, one line each.
fn lines(config: &EdgeConfig) -> BTreeSet<String> {
    let mut lines = BTreeSet::new();
    if config.is_off() {
        return lines;
    }
    lines.insert(format!("zone {} ttl {} s", config.zone, config.ttl_s.unwrap_or(1)));
    lines.extend(config.serial.map(|s| format!("serial {s}")));
    lines.extend(config.resolvers().iter().map(|r| format!("resolver {r}")));
    for front in &config.front {
        lines.insert(format!("front {}", front.name));
        lines.extend(front.dns.iter().map(|a| format!("front {} dns {a}", front.name)));
        lines.extend(front.http.iter().map(|a| format!("front {} http {a}", front.name)));
        if front.state == FrontState::Draining {
            lines.insert(format!("front {} drains, serves who clings for {} s", front.name, front.cling_s));
        }
        if !front.branch.is_empty() || front.weight != 1.0 {
            lines.insert(format!("front {} branch {:?} weight {}", front.name, front.branch, front.weight));
        }
    }
    for name in &config.name {
        lines.insert(format!("name {}", name.name));
        lines.extend(name.addresses.iter().map(|a| format!("name {} address {a}", name.name)));
        lines.extend(name.answers.map(|a| format!("name {} answers {a}", name.name)));
    }
    for u in &config.upstream {
        lines.insert(format!(
            "upstream {} port {} zone {} kind {} weight {} by {:?}",
            u.name, u.port, u.zone, u.kind, u.weight, u.records
        ));
    }
    lines.extend(config.branch.iter().map(|b| format!("branch {} overflow {:?}", b.name, b.overflow)));
    lines.extend(config.subnet.iter().map(|s| format!("subnet {} branch {}", s.net, s.branch)));
    // Entries with many keys are shown as JSON.
    let json_line = |entry: &str, value: &dyn json::ToJsonLine| format!("{entry} {}", value.to_json_line());
    lines.extend(config.record.iter().map(|r| json_line("record", r)));
    lines.insert(json_line("soa", &config.soa));
    lines.insert(json_line("transfer", &config.transfer));
    lines.insert(json_line("rate_limit", &config.rate_limit));
    lines.insert(json_line("tcp", &config.tcp));
    lines.insert(json_line("steering", &config.steering));
    let files = [
        ("serial_file", &config.serial_file),
        ("cookie_secret_file", &config.cookie_secret_file),
        ("key_file", &config.key_file),
    ];
    lines.extend(
        files.iter().filter_map(|(key, path)| path.as_ref().map(|p| format!("{key} {}", p.display()))),
    );
    lines.extend(config.cookie_roll_s.map(|s| format!("cookie_roll_s {s}")));
    lines.extend(config.udp_threads.map(|n| format!("udp_threads {n}")));
    lines.extend(config.hand_over_s.map(|s| format!("hand_over_s {s}")));
    lines
}

mod json {
    /// A value that can be printed as one line of JSON.
    pub trait ToJsonLine {
        fn to_json_line(&self) -> String;
    }

    impl<T: serde::Serialize> ToJsonLine for T {
        fn to_json_line(&self) -> String {
            serde_json::to_string(self).unwrap_or_default()
        }
    }
}

/// The settings of the cells, one line each.
fn cell_lines(config: &CellsConfig) -> BTreeSet<String> {
    let mut lines = BTreeSet::new();
    for cell in &config.cell {
        lines.insert(format!(
            "cell {} weight {} source_share {:?}",
            cell.name, cell.weight, cell.source_share
        ));
        lines.extend(cell.boxes.iter().map(|b| format!("cell {} box {b}", cell.name)));
        if cell.evacuate {
            lines.insert(format!("cell {} is emptied", cell.name));
        }
    }
    for shop in &config.shop {
        let settings = format!("rate {:?} shard {:?} worth {}", shop.rate, shop.shard, shop.worth);
        lines.insert(format!("shop {} in cell {} {settings}", shop.name, shop.cell));
    }
    if !config.is_off() {
        lines.insert(format!("cells' limits {}", json::ToJsonLine::to_json_line(&config.limits)));
    }
    lines
}

/// The changed lines of the cells, `-` for removed and `+` for added ones.
pub fn cells_difference(from: &CellsConfig, to: &CellsConfig) -> Vec<String> {
    changed_lines(&cell_lines(from), &cell_lines(to))
}

/// The lines only in `before`, with `-`, then those only in `after`, with `+`.
fn changed_lines(before: &BTreeSet<String>, after: &BTreeSet<String>) -> Vec<String> {
    let removed = before.difference(after).map(|l| format!("- {l}"));
    let added = after.difference(before).map(|l| format!("+ {l}"));
    removed.chain(added).collect()
}

/// The changed lines of the configuration, `-` for removed and `+` for added ones.
pub fn difference(from: &EdgeConfig, to: &EdgeConfig) -> Vec<String> {
    changed_lines(&lines(from), &lines(to))
}

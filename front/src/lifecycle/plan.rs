//! Plan and apply: the difference between the file and what is in force, and carrying out a saved plan.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::lifecycle::control::{self, Ask, Reply};
use crate::lifecycle::edge::EdgeConfig;

const VERSION: u32 = 1;

/// A saved plan: what is to be in force, and the state it was made against.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub version: u32,
    pub from: String,
    pub to: EdgeConfig,
}

impl Plan {
    pub fn load(path: &Path) -> Result<Plan, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let plan: Plan = serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        if plan.version != VERSION {
            return Err(format!("{}: plan of version {}, not {VERSION}", path.display(), plan.version));
        }
        plan.to.zone().map_err(|why| format!("{}: {why}", path.display()))?;
        Ok(plan)
    }

    /// Whole or not at all: a plan cut short by a full disk must not be applied.
    fn save(&self, path: &Path) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("{}: {e}", path.display());
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        let part = PathBuf::from(format!("{}.part", path.display()));
        std::fs::write(&part, text + "\n").map_err(failed)?;
        std::fs::rename(&part, path).map_err(failed)
    }
}

/// The settings of a configuration, a line each.
fn lines(config: &EdgeConfig) -> BTreeSet<String> {
    let mut lines = BTreeSet::new();
    if config.is_off() {
        return lines;
    }
    lines.insert(format!("zone {} ttl {} s", config.zone, config.ttl_s.unwrap_or(1)));
    lines.extend(config.resolver.map(|r| format!("resolver {r}")));
    for front in &config.front {
        lines.insert(format!("front {}", front.name));
        lines.extend(front.dns.iter().map(|a| format!("front {} dns {a}", front.name)));
        lines.extend(front.http.iter().map(|a| format!("front {} http {a}", front.name)));
    }
    for name in &config.name {
        lines.insert(format!("name {}", name.name));
        lines.extend(name.addresses.iter().map(|a| format!("name {} address {a}", name.name)));
    }
    for u in &config.upstream {
        lines.insert(format!(
            "upstream {} port {} zone {} kind {} weight {}",
            u.name, u.port, u.zone, u.kind, u.weight
        ));
    }
    lines
}

/// The difference, `-` for what goes and `+` for what comes.
pub fn difference(from: &EdgeConfig, to: &EdgeConfig) -> Vec<String> {
    let (before, after) = (lines(from), lines(to));
    let goes = before.difference(&after).map(|l| format!("- {l}"));
    let comes = after.difference(&before).map(|l| format!("+ {l}"));
    goes.chain(comes).collect()
}

/// Prints the difference and saves the plan; whether there is a change.
pub fn plan(edge: &Path, control: &Path, out: Option<&Path>) -> Result<bool, String> {
    let to = EdgeConfig::load(edge)?;
    let from = match control::ask(control, &Ask::Show) {
        Ok(Reply::InForce(config)) => config,
        Ok(other) => return Err(format!("the program answered {other:?}")),
        Err(why) => {
            println!("no program runs, so nothing is in force ({why})");
            EdgeConfig::default()
        }
    };
    let changed = from != to;
    difference(&from, &to).iter().for_each(|line| println!("{line}"));
    println!("{}", if changed { "the file differs from what is in force" } else { "no change" });
    if let Some(path) = out {
        Plan { version: VERSION, from: from.fingerprint(), to }.save(path)?;
        println!("plan saved to {}", path.display());
    }
    Ok(changed)
}

/// Carries a saved plan out, exactly.
pub fn apply(path: &Path, control: &Path) -> Result<(), String> {
    match control::ask(control, &Ask::Apply(Plan::load(path)?))? {
        Reply::Applied { changed: true } => println!("applied"),
        Reply::Applied { changed: false } => println!("in force already"),
        Reply::Refused(why) => return Err(why),
        other => return Err(format!("the program answered {other:?}")),
    }
    Ok(())
}

/// Prints the counters of the running program.
pub fn counters(control: &Path) -> Result<(), String> {
    match control::ask(control, &Ask::Counters)? {
        Reply::Counters(text) => println!("{text}"),
        other => return Err(format!("the program answered {other:?}")),
    }
    Ok(())
}

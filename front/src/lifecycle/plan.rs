//! The commands plan, apply, undo-move and counters.

use std::path::Path;

use crate::edge::cells::CellsConfig;
use crate::edge::config::EdgeConfig;
use crate::edge::plan::{cells_difference, difference, CellsPlan, Plan, PLAN_VERSION};
use crate::lifecycle::control::{self, Ask, Reply};

/// Prints the difference and saves the plan; returns whether there is a change. The cells' file is included if it
/// exists.
pub fn plan(edge: &Path, cells: &Path, control: &Path, out: Option<&Path>) -> Result<bool, String> {
    let to = EdgeConfig::load(edge)?;
    let from = match control::ask(control, &Ask::Show) {
        Ok(Reply::InForce(config)) => *config,
        Ok(other) => return Err(format!("the program answered {other:?}")),
        Err(why) => {
            println!("no program runs, so nothing is in force ({why})");
            EdgeConfig::default()
        }
    };
    let mut changed = from != to;
    let mut cells_plan = None;
    if cells.exists() {
        let to = CellsConfig::load(cells)?;
        let from = match control::ask(control, &Ask::ShowCells) {
            Ok(Reply::Cells(config)) => *config,
            Ok(other) => return Err(format!("the program answered {other:?}")),
            Err(_) => CellsConfig::default(),
        };
        changed |= from != to;
        cells_difference(&from, &to).iter().for_each(|line| println!("{line}"));
        cells_plan = Some(CellsPlan { from: from.fingerprint(), to });
    }
    difference(&from, &to).iter().for_each(|line| println!("{line}"));
    println!("{}", if changed { "the file differs from what is in force" } else { "no change" });
    if let Some(path) = out {
        Plan { version: PLAN_VERSION, from: from.fingerprint(), to, cells: cells_plan }.save(path)?;
        println!("plan saved to {}", path.display());
    }
    Ok(changed)
}

/// Applies a saved plan exactly.
pub fn apply(path: &Path, control: &Path) -> Result<(), String> {
    match control::ask(control, &Ask::Apply(Box::new(Plan::load(path)?)))? {
        Reply::Applied { changed: true } => println!("applied"),
        Reply::Applied { changed: false } => println!("in force already"),
        Reply::Refused(why) => return Err(why),
        other => return Err(format!("the program answered {other:?}")),
    }
    Ok(())
}

/// Reverts the move of a shop between cells.
pub fn undo_move(shop: &str, control: &Path) -> Result<(), String> {
    match control::ask(control, &Ask::UndoMove(shop.into()))? {
        Reply::Applied { .. } => println!("undone, if it was under way"),
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

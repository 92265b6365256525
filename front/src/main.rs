//! elmtide: a front for cache nodes. This program does the I/O; the library of the same name decides.

#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

mod client;
mod edge;
mod engine;
mod exchange;
mod fleet;
mod fleet_link;
mod lifecycle;
mod memory;
mod process;
mod server;
mod wire;

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lifecycle::config::Config;
use lifecycle::second_front::SecondFrontFiles;

const USAGE: &str = "\
elmtide: a front that takes requests in and sends them on to cache nodes

  elmtide serve [--config FILE] [--edge FILE] [--cells FILE] [--fleet FILE] [--control PATH]
      run the front in the foreground; FILE is LB_CONFIG where it is not given. The second front
      (DNS-based request routing) is on if the edge file is there: deploy/edge.toml where not given;
      budgets are shared with other fronts if the fleet's file is there: deploy/fleet.toml
  elmtide check [--config FILE] [--edge FILE] [--cells FILE] [--fleet FILE]
      read the files and say what is wrong with them
  elmtide plan [--edge FILE] [--cells FILE] [--control PATH] [--out FILE]
      show how the edge file, and the cells' where there is one, differ from what is in force, and save that as a plan;
      ends with 0 for no change, 2 for a change, 1 for an error
  elmtide apply [--control PATH] PLAN
      carry out a saved plan exactly; refused if something else is in force than when it was made
  elmtide undo-move [--control PATH] SHOP
      take the move of a shop from cell to cell back
  elmtide counters [--control PATH]
      print what the running front has taken, sent and answered
  elmtide fleet [--fleet FILE] [--json] [forget NAME]
      print who is there, who leads, and who may spend what, as the front that runs here knows it; or have
      a machine that is out of the list, and off for good, forgotten
  elmtide work [--json] [--fleet FILE] [out MACHINE... [--reason TEXT] [--minutes N] | plan MACHINE... | watch |
      back MACHINE | hold JOB | go-on JOB | call-off JOB [MACHINE] | reorder JOB MACHINE... | off FRONT]
      take machines out for work, in an order that the fronts settle; without a word, show what is out and why
  elmtide site [--json] [--fleet FILE] [lost SITE | clear SITE]
      which sites are lost by what the fronts have agreed on, and how far those that return have come; declare one lost, or clear it
  elmtide site plan [--fleet FILE] [SITE...] [SITE.CLASS=RATE...]
      where the clients of a lost site go, what is refused and what binds, for every loss or that of the sites named, by the
      file's load or another one
  elmtide version
";

/// Exit code of `plan` if there are changes.
const EXIT_PLAN_HAS_CHANGES: u8 = 2;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match command(args) {
        Ok(code) => code,
        Err(why) => {
            eprintln!("elmtide: {why}");
            ExitCode::FAILURE
        }
    }
}

fn command(mut args: pico_args::Arguments) -> Result<ExitCode, String> {
    let command = args.subcommand().map_err(|e| e.to_string())?;
    let json = args.contains("--json");
    let string_option = |args: &mut pico_args::Arguments, key| {
        args.opt_value_from_str::<_, String>(key).map_err(|e| e.to_string())
    };
    let reason = string_option(&mut args, "--reason")?.unwrap_or_default();
    let minutes = string_option(&mut args, "--minutes")?.map_or(Ok(0), |m| m.parse::<u32>());
    let minutes = minutes.map_err(|_| "--minutes must be a whole number")?;
    let mut option = |key| {
        let read = |s: &OsStr| Ok::<_, String>(PathBuf::from(s));
        args.opt_value_from_os_str(key, read).map_err(|e| e.to_string())
    };
    let (config, edge_option) = (option("--config")?, option("--edge")?);
    let (control, out, cells) = (option("--control")?, option("--out")?, option("--cells")?);
    let fleet = option("--fleet")?.unwrap_or_else(|| fleet::config::DEFAULT_PATH.into());
    let mut rest = args.finish();
    let file = edge_option.unwrap_or_else(|| edge::config::FILE.into());
    let cells = cells.unwrap_or_else(|| edge::cells::FILE.into());
    let name = std::env::var("LB_NAME").unwrap_or_else(|_| "front".into());
    let control_path = || control.clone().unwrap_or_else(|| lifecycle::control::usual_path(&name));
    let takes_operand = matches!(command.as_deref(), Some("apply" | "undo-move"));
    let is_forget = command.as_deref() == Some("fleet") && rest.first().is_some_and(|word| word == "forget");
    let front_to_forget = if is_forget && rest.len() == 2 { rest.drain(..).next_back() } else { None };
    let operand = if takes_operand { rest.pop() } else { None };
    let takes_words = matches!(command.as_deref(), Some("work" | "site"));
    let words = if takes_words { std::mem::take(&mut rest) } else { Vec::new() };
    if !rest.is_empty() {
        return Err(format!("unexpected arguments: {rest:?}\n\n{USAGE}"));
    }
    match command.as_deref() {
        Some("serve") => {
            let read = move || load(config.clone());
            lifecycle::serve::serve(read, &SecondFrontFiles { file, control: control.clone(), cells, fleet })?
        }
        Some("check") => {
            let config = load(config)?;
            println!("{}: {} classes, listens on {}", config.name, config.classes.len(), config.listen);
            if cells.exists() {
                let config = edge::cells::CellsConfig::load(&cells)?;
                println!("{}: {} cells, {} shops", cells.display(), config.cell.len(), config.shop.len());
            }
            if fleet.exists() {
                let fleet = fleet::config::FleetConfig::load(&fleet).map_err(|e| e.to_string())?;
                fleet.key().map_err(|e| e.to_string())?;
                println!("fleet: {} fronts, {} budgets", fleet.front.len(), fleet.budget.len());
            }
            if file.exists() {
                let edge = edge::config::EdgeConfig::load(&file)?;
                println!(
                    "{}: zone {}, {} names, {} records",
                    file.display(),
                    edge.zone,
                    edge.name.len(),
                    edge.record.len()
                );
            }
        }
        Some("plan") => {
            if lifecycle::plan::plan(&file, &cells, &control_path(), out.as_deref())? {
                return Ok(ExitCode::from(EXIT_PLAN_HAS_CHANGES));
            }
        }
        Some("apply") => {
            let plan = operand.ok_or("apply needs a plan file")?;
            lifecycle::plan::apply(Path::new(&plan), &control_path())?;
        }
        Some("undo-move") => {
            let shop = operand.ok_or("undo-move needs the name of a shop")?;
            lifecycle::plan::undo_move(&shop.to_string_lossy(), &control_path())?;
        }
        Some("fleet") => {
            let path =
                fleet::config::FleetConfig::load(&fleet).map_err(|e| e.to_string())?.operator_socket(&name);
            if let Some(front) = front_to_forget {
                fleet::operator_client::remove_front(&path, &front.to_string_lossy())
                    .map_err(|e| e.to_string())?;
                return Ok(ExitCode::SUCCESS);
            }
            let status = fleet::operator_client::status(&path).map_err(|e| e.to_string())?;
            match json {
                true => println!("{}", serde_json::to_string_pretty(&status).map_err(|e| e.to_string())?),
                false => fleet::status_view::print(&status),
            }
        }
        Some("site") => {
            let config = fleet::config::FleetConfig::load(&fleet).map_err(|e| e.to_string())?;
            let words: Vec<String> = words.iter().map(|w| w.to_string_lossy().into_owned()).collect();
            let sites = config.sites.as_ref().map(|sites| (sites, &config.site[..]));
            if words.first().is_none_or(|w| w != "plan") {
                return fleet::site_command::run_request(&config.operator_socket(&name), &words, json);
            }
            if !fleet::site_command::run_plan(sites, &words)? {
                return Ok(ExitCode::FAILURE);
            }
        }
        Some("work") => {
            let config = fleet::config::FleetConfig::load(&fleet).map_err(|e| e.to_string())?;
            let words = words.iter().map(|w| w.to_string_lossy().into_owned()).collect();
            let arguments = fleet::maintenance_command::MaintenanceArgs { words, reason, minutes, json };
            if !fleet::maintenance_command::run(&config, &name, &arguments)? {
                return Ok(ExitCode::FAILURE);
            }
        }
        Some("counters") => lifecycle::plan::counters(&control_path())?,
        Some("version") => println!("elmtide {}", env!("CARGO_PKG_VERSION")),
        Some(other) => return Err(format!("unknown command {other:?}\n\n{USAGE}")),
        None => return Err(format!("no command given\n\n{USAGE}")),
    }
    Ok(ExitCode::SUCCESS)
}

fn load(path_option: Option<PathBuf>) -> Result<Config, String> {
    let path = path_option.or_else(|| std::env::var_os("LB_CONFIG").map(Into::into));
    let path = path.ok_or("neither --config nor LB_CONFIG names a configuration")?;
    let listen = std::env::var("LB_LISTEN").ok();
    Config::load(&path, listen.as_deref())
}

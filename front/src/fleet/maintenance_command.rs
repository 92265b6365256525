//! The command `elmtide work`: what was typed becomes a request to the front that runs here, or a dry run by the file.

use std::path::Path;
use std::time::Duration;

use elmtide_fleet::MaintenanceSettings;
use elmtide_maintenance::planning::{self, DryRun, Observations};
use elmtide_maintenance::{CommandRejected, MachineId, MaintenanceCommand, MaintenanceState};

use crate::fleet::config::FleetConfig;
use crate::fleet::display_names::DisplayNames;
use crate::fleet::maintenance_view::MaintenanceStatusView;
use crate::fleet::operator_client::{self, RequestAnswer};
use crate::fleet::operator_request::OperatorRequest;

/// How often `elmtide work watch` shows the machines.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// What an operator has typed after `elmtide work`.
pub struct MaintenanceArgs {
    pub words: Vec<String>,
    pub reason: String,
    pub minutes: u32,
    pub json: bool,
}

fn parse_request(words: &[String], typed: &MaintenanceArgs) -> Result<OperatorRequest, String> {
    let (what, rest) = words.split_first().ok_or("nothing said")?;
    let one = || rest.first().filter(|_| rest.len() == 1).cloned().ok_or(format!("work {what}: name one"));
    let job = || {
        let number = rest.first().and_then(|j| j.parse().ok());
        number.ok_or(format!("work {what}: the number of a job is wanted"))
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    Ok(match &what[..] {
        "out" if rest.is_empty() => return Err("work out: name the machines".into()),
        "out" => OperatorRequest::Out {
            machines: rest.to_vec(),
            by: user,
            reason: typed.reason.clone(),
            minutes: typed.minutes,
        },
        "back" => OperatorRequest::Back { machine: one()? },
        "hold" => OperatorRequest::Hold { job: job()? },
        "go-on" => OperatorRequest::GoOn { job: job()? },
        "call-off" => OperatorRequest::CallOff { job: job()?, machine: rest.get(1).cloned() },
        "reorder" => OperatorRequest::Reorder { job: job()?, machines: rest[1..].to_vec() },
        "off" => OperatorRequest::Off { front: one()? },
        other => return Err(format!("work {other}: there is no such command")),
    })
}

/// `elmtide work ...`: true where it was done.
pub fn run(config: &FleetConfig, name: &str, typed: &MaintenanceArgs) -> Result<bool, String> {
    let path = config.operator_socket(name);
    match typed.words.first().map(|w| &w[..]) {
        None => show(&path, typed.json),
        Some("watch") => loop {
            show(&path, typed.json)?;
            println!();
            std::thread::sleep(WATCH_INTERVAL);
        },
        Some("plan") => dry_run(config, &path, &typed.words[1..]),
        Some(_) => {
            let request = parse_request(&typed.words, typed)?;
            let RequestAnswer { json, reply } =
                operator_client::request(&path, &request).map_err(|error| error.to_string())?;
            match typed.json {
                true => println!("{json}"),
                false if reply.done => println!("{}", reply.text),
                false => eprintln!("elmtide: refused: {}", reply.text),
            }
            Ok(reply.done)
        }
    }
}

fn show(path: &Path, json: bool) -> Result<bool, String> {
    let text = operator_client::call(path, "work-show").map_err(|error| error.to_string())?;
    let shown: MaintenanceStatusView = serde_json::from_str(&text).map_err(|_| text.clone())?;
    match json {
        true => println!("{text}"),
        false => shown.print(),
    }
    Ok(true)
}

/// Rounds, times and what is left at each, by the file and by what the front knows; nothing is asked for.
fn dry_run(config: &FleetConfig, path: &Path, machines: &[String]) -> Result<bool, String> {
    let MaintenanceSettings { machines: specs, disruption_budget } =
        config.maintenance_settings().ok_or("the file has no [work]")?;
    let names = DisplayNames::from_config(config);
    let mut state = MaintenanceState::default();
    let layout =
        MaintenanceCommand::UpdateMachines { version: 1, machines: specs, budget: disruption_budget };
    state.apply(&layout).map_err(|why| names.rejection_text(why))?;
    let wanted: Vec<MachineId> = machines.iter().map(|m| MachineId::from_name(m)).collect();
    if let Some(unknown) = wanted.iter().find(|m| !state.machines().contains_key(m)) {
        return Err(names.rejection_text(CommandRejected::UnknownMachine(*unknown)));
    }
    let shown = operator_client::call(path, "work-show")
        .ok()
        .and_then(|text| serde_json::from_str::<MaintenanceStatusView>(&text).ok());
    let took = shown.and_then(|s| s.took_s);
    // All voters are taken to be there.
    let voters = state.machines().values().filter_map(|s| s.front.filter(|f| f.is_voter)).map(|f| f.id);
    let facts = Observations { reachable_voters: voters.collect(), ..Observations::default() };
    let DryRun { rounds, blocked: waits } = planning::plan_rounds(&state, &facts, &wanted);
    for (number, round) in rounds.iter().enumerate() {
        let round: Vec<String> = round.iter().map(|m| names.machine(*m)).collect();
        println!("round {:>2}: {}", number + 1, round.join(" "));
    }
    for (machine, wait) in &waits {
        println!("never: {}: {}", names.machine(*machine), names.wait_text(wait));
    }
    let least = planning::min_rounds(state.budget(), state.machines(), &wanted);
    println!("{} rounds, {least} at the least by the bounds; load is looked at when they go", rounds.len());
    if let Some(took) = took {
        println!("about {:.0} s, at the {took:.0} s that the last ways took", took * rounds.len() as f64);
    }
    Ok(waits.is_empty())
}

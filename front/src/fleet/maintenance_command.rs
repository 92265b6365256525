//! The command `elmtide work`: sends a request to the front on this machine, shows its answer, or makes a dry run.

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

/// How often `elmtide work watch` prints the machines.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// The arguments of `elmtide work`.
pub struct MaintenanceArgs {
    /// The subcommand and its arguments.
    pub words: Vec<String>,
    /// The reason for the maintenance.
    pub reason: String,
    /// The expected duration of one machine's maintenance; 0 if not specified.
    pub minutes: u32,
    /// Prints JSON instead of text.
    pub json: bool,
}

/// Converts the arguments to a request.
fn parse_request(words: &[String], args: &MaintenanceArgs) -> Result<OperatorRequest, String> {
    let (what, rest) = words.split_first().ok_or("nothing said")?;
    let single_name =
        || rest.first().filter(|_| rest.len() == 1).cloned().ok_or(format!("work {what}: name one"));
    let job = || {
        let number = rest.first().and_then(|j| j.parse().ok());
        number.ok_or(format!("work {what}: expected the number of a job"))
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    Ok(match &what[..] {
        "out" if rest.is_empty() => return Err("work out: name the machines".into()),
        "out" => OperatorRequest::Out {
            machines: rest.to_vec(),
            by: user,
            reason: args.reason.clone(),
            minutes: args.minutes,
        },
        "back" => OperatorRequest::Back { machine: single_name()? },
        "hold" => OperatorRequest::Hold { job: job()? },
        "go-on" => OperatorRequest::GoOn { job: job()? },
        "call-off" => OperatorRequest::CallOff { job: job()?, machine: rest.get(1).cloned() },
        "reorder" => OperatorRequest::Reorder { job: job()?, machines: rest[1..].to_vec() },
        "off" => OperatorRequest::Off { front: single_name()? },
        other => return Err(format!("work {other}: there is no such command")),
    })
}

/// Runs `elmtide work`; false if the request was refused, or the dry run is blocked.
pub fn run(config: &FleetConfig, name: &str, args: &MaintenanceArgs) -> Result<bool, String> {
    let path = config.operator_socket(name);
    match args.words.first().map(|w| &w[..]) {
        None => show(&path, args.json),
        Some("watch") => loop {
            show(&path, args.json)?;
            println!();
            std::thread::sleep(WATCH_INTERVAL);
        },
        Some("plan") => dry_run(config, &path, &args.words[1..]),
        Some(_) => {
            let request = parse_request(&args.words, args)?;
            let RequestAnswer { json, reply } =
                operator_client::request(&path, &request).map_err(|error| error.to_string())?;
            match args.json {
                true => println!("{json}"),
                false if reply.done => println!("{}", reply.text),
                false => eprintln!("elmtide: refused: {}", reply.text),
            }
            Ok(reply.done)
        }
    }
}

/// Prints the machines in maintenance.
fn show(path: &Path, json: bool) -> Result<bool, String> {
    let text = operator_client::call(path, "work-show").map_err(|error| error.to_string())?;
    let status: MaintenanceStatusView = serde_json::from_str(&text).map_err(|_| text.clone())?;
    match json {
        true => println!("{text}"),
        false => status.print(),
    }
    Ok(true)
}

/// Prints the rounds that maintenance of these machines would take by the file, and their expected time by what the
/// front knows. Nothing is requested.
fn dry_run(config: &FleetConfig, path: &Path, machines: &[String]) -> Result<bool, String> {
    let MaintenanceSettings { machines: specs, disruption_budget } =
        config.maintenance_settings().ok_or("the file has no [work]")?;
    let names = DisplayNames::from_config(config);
    let mut state = MaintenanceState::default();
    let layout =
        MaintenanceCommand::UpdateMachines { version: 1, machines: specs, budget: disruption_budget };
    state.apply(&layout).map_err(|why| names.rejection_text(why))?;
    let requested: Vec<MachineId> = machines.iter().map(|m| MachineId::from_name(m)).collect();
    if let Some(unknown) = requested.iter().find(|m| !state.machines().contains_key(m)) {
        return Err(names.rejection_text(CommandRejected::UnknownMachine(*unknown)));
    }
    let status = operator_client::call(path, "work-show")
        .ok()
        .and_then(|text| serde_json::from_str::<MaintenanceStatusView>(&text).ok());
    let took = status.and_then(|s| s.took_s);
    // All voters are assumed to be reachable.
    let voters = state.machines().values().filter_map(|s| s.front.filter(|f| f.is_voter)).map(|f| f.id);
    let observations = Observations { reachable_voters: voters.collect(), ..Observations::default() };
    let DryRun { rounds, blocked: wait_reasons } = planning::plan_rounds(&state, &observations, &requested);
    for (number, round) in rounds.iter().enumerate() {
        let round: Vec<String> = round.iter().map(|m| names.machine(*m)).collect();
        println!("round {:>2}: {}", number + 1, round.join(" "));
    }
    for (machine, wait) in &wait_reasons {
        println!("never: {}: {}", names.machine(*machine), names.wait_text(wait));
    }
    let least = planning::min_rounds(state.budget(), state.machines(), &requested);
    println!("{} rounds, {least} at the least by the bounds; load is looked at when they go", rounds.len());
    if let Some(took) = took {
        println!("about {:.0} s, at the {took:.0} s that the last ways took", took * rounds.len() as f64);
    }
    Ok(wait_reasons.is_empty())
}

//! What operators ask for of machines that go out for work, and what they are shown.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use elmtide_budgets::FrontId;
use elmtide_fleet::{AgreedCommand, CommandOutcome};
use elmtide_maintenance::planning::{self, DryRun, Observations};
use elmtide_maintenance::report::MaintenanceDetails;
use elmtide_maintenance::DisruptionLimit;
use elmtide_maintenance::WaitReason;
use elmtide_maintenance::{CommandRejected, JobId, MachineId, MaintenanceCommand, MaintenanceState};
use serde::{Deserialize, Serialize};

use crate::fleet::config::FleetConfig;
use crate::fleet::look;
use crate::fleet::sites::Sites;

/// What an operator asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Request {
    Out {
        machines: Vec<String>,
        by: String,
        reason: String,
        minutes: u32,
    },
    Back {
        machine: String,
    },
    Hold {
        job: u32,
    },
    GoOn {
        job: u32,
    },
    CallOff {
        job: u32,
        machine: Option<String>,
    },
    Reorder {
        job: u32,
        machines: Vec<String>,
    },
    /// A front's machine is off: it is not waited for.
    Off {
        front: String,
    },
    /// A site is lost by an operator's word, or no longer.
    SiteLost {
        site: String,
    },
    SiteClear {
        site: String,
    },
}

impl Request {
    /// The change that is asked for; a site is named as the file names it.
    pub fn change(self, sites: Option<&Sites>) -> Result<AgreedCommand, String> {
        let of_site = |name: &str, lost: bool| {
            let site =
                sites.and_then(|s| s.site(name)).ok_or_else(|| format!("there is no site {name:?}"))?;
            Ok(AgreedCommand::Sites(elmtide_sites::SiteCommand::OverrideByOperator { site, lost, at_ms: 0 }))
        };
        match self {
            Request::SiteLost { site } => of_site(&site, true),
            Request::SiteClear { site } => of_site(&site, false),
            other => Ok(AgreedCommand::Maintenance(other.command())),
        }
    }

    fn command(self) -> MaintenanceCommand {
        let ids = |names: Vec<String>| names.iter().map(|n| MachineId::from_name(n)).collect();
        match self {
            Request::Out { machines, by, reason, minutes } => MaintenanceCommand::Request {
                machines: ids(machines),
                requested_by: by,
                reason,
                expected_minutes: minutes,
                at_ms: 0,
            },
            Request::Back { machine } => {
                MaintenanceCommand::ConfirmReturn { machine: MachineId::from_name(&machine) }
            }
            Request::Hold { job } => MaintenanceCommand::PauseJob { job: JobId(job) },
            Request::GoOn { job } => MaintenanceCommand::ResumeJob { job: JobId(job) },
            Request::CallOff { job, machine } => MaintenanceCommand::Cancel {
                job: JobId(job),
                machine: machine.map(|m| MachineId::from_name(&m)),
            },
            Request::Reorder { job, machines } => {
                MaintenanceCommand::Prioritize { job: JobId(job), machines: ids(machines) }
            }
            Request::Off { front } => {
                MaintenanceCommand::DeclareFrontOff { front: FrontId::from_name(&front) }
            }
            // Not of work: an empty list is refused.
            Request::SiteLost { .. } | Request::SiteClear { .. } => MaintenanceCommand::Request {
                machines: Vec::new(),
                requested_by: String::new(),
                reason: String::new(),
                expected_minutes: 0,
                at_ms: 0,
            },
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    pub done: bool,
    pub job: u32,
    pub text: String,
}

impl Reply {
    pub fn refused(text: impl Into<String>) -> Reply {
        Reply { done: false, job: 0, text: text.into() }
    }
}

/// Names of machines and fronts, for texts.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub machines: BTreeMap<MachineId, String>,
    pub fronts: BTreeMap<FrontId, String>,
}

impl Names {
    pub fn of(config: &FleetConfig) -> Names {
        Names {
            machines: config
                .machine
                .iter()
                .map(|m| (MachineId::from_name(&m.name), m.name.clone()))
                .collect(),
            fronts: config.front.iter().map(|f| (FrontId::from_name(&f.name), f.name.clone())).collect(),
        }
    }

    pub fn machine(&self, machine: MachineId) -> String {
        self.machines.get(&machine).cloned().unwrap_or_else(|| format!("machine {:016x}", machine.0))
    }

    pub fn front(&self, front: FrontId) -> String {
        self.fronts.get(&front).cloned().unwrap_or_else(|| format!("front {:016x}", front.0))
    }

    pub fn reply(&self, outcome: CommandOutcome) -> Reply {
        match outcome {
            CommandOutcome::Maintenance(Ok(job)) if job.0 > 0 => {
                Reply { done: true, job: job.0, text: format!("agreed: job {}", job.0) }
            }
            CommandOutcome::Maintenance(Ok(_)) => Reply { done: true, job: 0, text: "agreed".into() },
            CommandOutcome::Maintenance(Err(why)) => Reply::refused(self.refused(why)),
            CommandOutcome::Sites(Ok(())) => Reply { done: true, job: 0, text: "agreed".into() },
            other => Reply::refused(format!("{other:?}")),
        }
    }

    /// Why, and what would make it possible.
    fn refused(&self, why: CommandRejected) -> String {
        match why {
            CommandRejected::UnknownMachine(machine) => format!(
                "{} is not in the layout in force: add it as [[machine]] to every front's file, with a higher version",
                self.machine(machine)
            ),
            CommandRejected::AlreadyInJob(machine, job) => {
                format!("{} is in job {} already: call it off there, or leave it", self.machine(machine), job.0)
            }
            CommandRejected::LastOfItsKind(machine) => format!(
                "{} is the last of its kind at its location, or votes where no other could lead: \
                 another one has to be there first",
                self.machine(machine)
            ),
            CommandRejected::NotReleased(machine) => {
                format!("{} has not been let go: `elmtide work` says where it is", self.machine(machine))
            }
            CommandRejected::AlreadyReleased(machine) => {
                format!("{} has been let go: it can only come back", self.machine(machine))
            }
            CommandRejected::UnknownJob => "there is no such job, or it is over".into(),
            CommandRejected::LimitExceeded => "nothing named, or more jobs or machines than are kept: end some first".into(),
            CommandRejected::TextTooLong => "a name or a reason is too long (64 and 200 bytes)".into(),
            CommandRejected::FrontNotPresent(front) => format!("{} is not there", self.front(front)),
            CommandRejected::NotInJob => "it is not in this job".into(),
            other => format!("{other:?}"),
        }
    }

    pub fn wait(&self, wait: &WaitReason) -> String {
        match wait {
            WaitReason::JobPaused => "its job is held".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Location) => "others of its location are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Hub) => "others of its hub are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Kind) => "others of its kind are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Voters) => "other voters are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Pair(other)) => {
                format!("{} is out, which it is paired with", self.machine(*other))
            }
            WaitReason::CapacityShortfall { remaining: bears, required: wanted } => format!(
                "what would be left bears {:.1}, {:.1} are wanted",
                f64::from(*bears) / 1000.0,
                f64::from(*wanted) / 1000.0
            ),
            WaitReason::Blackout => "nothing new goes out at this hour".into(),
            WaitReason::FrontOverloaded(front) => format!("{} is short of a budget", self.front(*front)),
            WaitReason::MachineLost(machine) => format!("{} is gone or failing", self.machine(*machine)),
            WaitReason::PermitOverdue(machine) => {
                format!("{} is overdue at its location", self.machine(*machine))
            }
            WaitReason::NotAcknowledged(front) => format!("{} has not seen it yet", self.front(*front)),
            WaitReason::OpenRequests(front) => format!("{} has something open there", self.front(*front)),
            WaitReason::FrontUnreachable(front) => format!(
                "{} can't be heard and may be sending: if its machine is off, say `elmtide work off {}`",
                self.front(*front),
                self.front(*front)
            ),
            WaitReason::LeadershipTransfer => "it leads, and hands over first".into(),
            WaitReason::VoterMajority => "the voters that can be heard would be no majority".into(),
            WaitReason::InMaintenance => "it is worked on".into(),
            WaitReason::SlowStart(part) => format!("it is {part}% warm"),
            WaitReason::Failing(front) => format!("it fails at {}", self.front(*front)),
            WaitReason::Unproven(front) => {
                format!("it has served nothing well at {} yet", self.front(*front))
            }
            WaitReason::NotReady => "nobody has seen it ready".into(),
            WaitReason::ReadyToAdvance => "its turn".into(),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownMachine {
    pub machine: String,
    pub job: u32,
    pub stage: String,
    /// Seconds for which it has been there.
    pub since_s: f64,
    pub permit: u64,
    pub overdue: bool,
    pub called_off: bool,
    pub why: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownJob {
    pub job: u32,
    pub by: String,
    pub reason: String,
    pub minutes: u32,
    pub held: bool,
    pub called_off: bool,
    pub machines: u32,
    pub done: u32,
    pub spared: u32,
    pub over: bool,
}

/// What `elmtide work` shows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Shown {
    pub contact: bool,
    pub leader: Option<String>,
    /// Milliseconds since the leader said it.
    pub age_ms: Option<f64>,
    pub jobs: Vec<ShownJob>,
    pub machines: Vec<ShownMachine>,
    /// Gone or failing without being out for work.
    pub missing: Vec<String>,
    /// Seconds that the middle one of the last ways took.
    pub took_s: Option<f64>,
}

impl Shown {
    pub fn new(
        details: &MaintenanceDetails,
        names: &Names,
        contact: bool,
        leader: Option<String>,
        age_ms: f64,
    ) -> Shown {
        let waits: BTreeMap<MachineId, WaitReason> = details.wait_reasons.iter().copied().collect();
        let seconds = |since: u64| details.now_ms.saturating_sub(since) as f64 / 1000.0;
        let machines = details.progress.iter().map(|(machine, way)| ShownMachine {
            machine: names.machine(*machine),
            job: way.job.0,
            stage: way.stage.name().to_owned(),
            since_s: seconds(way.stage_since_ms),
            permit: way.permit,
            overdue: way.is_overdue,
            called_off: way.is_cancelled,
            why: waits.get(machine).map_or(String::new(), |wait| names.wait(wait)),
        });
        let jobs = details.jobs.iter().map(|(id, job)| ShownJob {
            job: id.0,
            by: job.requested_by.clone(),
            reason: job.reason.clone(),
            minutes: job.expected_minutes,
            held: job.is_paused,
            called_off: job.is_cancelled,
            machines: job.machine_count,
            done: job.completed,
            spared: job.spared,
            over: job.ended_at_ms.is_some(),
        });
        Shown {
            contact,
            leader,
            age_ms: Some(age_ms),
            jobs: jobs.collect(),
            machines: machines.collect(),
            missing: details.missing.iter().map(|m| names.machine(*m)).collect(),
            took_s: details.median_duration_ms.map(|ms| ms as f64 / 1000.0),
        }
    }

    pub fn print(&self) {
        match (self.contact, self.age_ms) {
            (true, _) => println!("leader: {}", self.leader.as_deref().unwrap_or("nobody known")),
            (false, Some(age)) => println!("CUT OFF: what follows is {:.1} s old", age / 1000.0),
            (false, None) => println!("CUT OFF: nothing was heard since the start"),
        }
        for job in &self.jobs {
            let state = match (job.over, job.called_off, job.held) {
                (true, ..) => "over",
                (_, true, _) => "called off",
                (_, _, true) => "held",
                _ => "goes on",
            };
            println!(
                "job {} by {} ({}): {state}, {} of {} done, {} spared",
                job.job, job.by, job.reason, job.done, job.machines, job.spared
            );
        }
        if !self.machines.is_empty() {
            println!("\n{:<16} {:>4} {:<9} {:>8} {:>7}  why", "machine", "job", "stage", "for", "permit");
        }
        for m in &self.machines {
            let permit = if m.permit > 0 { m.permit.to_string() } else { String::new() };
            let overdue = if m.overdue { "OVERDUE; " } else { "" };
            println!(
                "{:<16} {:>4} {:<9} {:>6.0} s {permit:>7}  {overdue}{}",
                m.machine, m.job, m.stage, m.since_s, m.why
            );
        }
        if !self.missing.is_empty() {
            println!("\ngone or failing without being out for work: {}", self.missing.join(", "));
        }
        let open = self.machines.len();
        if let Some(took) = self.took_s.filter(|_| open > 0) {
            println!("\nthe middle of the last ways took {took:.0} s; {open} are not in yet");
        }
    }
}

/// What an operator has typed after `elmtide work`.
pub struct Typed {
    pub words: Vec<String>,
    pub reason: String,
    pub minutes: u32,
    pub json: bool,
}

fn request(words: &[String], typed: &Typed) -> Result<Request, String> {
    let (what, rest) = words.split_first().ok_or("nothing said")?;
    let one = || rest.first().filter(|_| rest.len() == 1).cloned().ok_or(format!("work {what}: name one"));
    let job = || {
        let number = rest.first().and_then(|j| j.parse().ok());
        number.ok_or(format!("work {what}: the number of a job is wanted"))
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    Ok(match &what[..] {
        "out" if rest.is_empty() => return Err("work out: name the machines".into()),
        "out" => Request::Out {
            machines: rest.to_vec(),
            by: user,
            reason: typed.reason.clone(),
            minutes: typed.minutes,
        },
        "back" => Request::Back { machine: one()? },
        "hold" => Request::Hold { job: job()? },
        "go-on" => Request::GoOn { job: job()? },
        "call-off" => Request::CallOff { job: job()?, machine: rest.get(1).cloned() },
        "reorder" => Request::Reorder { job: job()?, machines: rest[1..].to_vec() },
        "off" => Request::Off { front: one()? },
        other => return Err(format!("work {other}: there is no such command")),
    })
}

/// `elmtide work ...`: true where it was done.
pub fn run(config: &FleetConfig, name: &str, typed: &Typed) -> Result<bool, String> {
    let path = config.look(name);
    match typed.words.first().map(|w| &w[..]) {
        None => show(&path, typed.json),
        Some("watch") => loop {
            show(&path, typed.json)?;
            println!();
            std::thread::sleep(Duration::from_secs(2));
        },
        Some("plan") => dry_run(config, &path, &typed.words[1..]),
        Some(_) => {
            let request = request(&typed.words, typed)?;
            let line = serde_json::to_string(&request).map_err(|e| e.to_string())?;
            let text = look::call(&path, &format!("work {line}"))?;
            let reply: Reply = serde_json::from_str(&text).map_err(|_| text.clone())?;
            match typed.json {
                true => println!("{text}"),
                false if reply.done => println!("{}", reply.text),
                false => eprintln!("elmtide: refused: {}", reply.text),
            }
            Ok(reply.done)
        }
    }
}

fn show(path: &Path, json: bool) -> Result<bool, String> {
    let text = look::call(path, "work-show")?;
    let shown: Shown = serde_json::from_str(&text).map_err(|_| text.clone())?;
    match json {
        true => println!("{text}"),
        false => shown.print(),
    }
    Ok(true)
}

/// Rounds, times and what is left at each, by the file and by what the front knows; nothing is asked for.
fn dry_run(config: &FleetConfig, path: &Path, machines: &[String]) -> Result<bool, String> {
    let elmtide_fleet::MaintenanceSettings { machines: specs, bounds } =
        config.layout().ok_or("the file has no [work]")?;
    let names = Names::of(config);
    let mut state = MaintenanceState::default();
    let layout = MaintenanceCommand::UpdateMachines { version: 1, machines: specs, budget: bounds };
    state.apply(&layout).map_err(|why| names.refused(why))?;
    let wanted: Vec<MachineId> = machines.iter().map(|m| MachineId::from_name(m)).collect();
    if let Some(unknown) = wanted.iter().find(|m| !state.machines().contains_key(m)) {
        return Err(names.refused(CommandRejected::UnknownMachine(*unknown)));
    }
    let shown = look::call(path, "work-show").ok().and_then(|text| serde_json::from_str::<Shown>(&text).ok());
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
        println!("never: {}: {}", names.machine(*machine), names.wait(wait));
    }
    let least = planning::least_rounds(state.budget(), state.machines(), &wanted);
    println!("{} rounds, {least} at the least by the bounds; load is looked at when they go", rounds.len());
    if let Some(took) = took {
        println!("about {:.0} s, at the {took:.0} s that the last ways took", took * rounds.len() as f64);
    }
    Ok(waits.is_empty())
}

/// The name of a step as hooks and logs have it.
pub fn step_name(step: elmtide_maintenance::Step) -> &'static str {
    use elmtide_maintenance::Step;
    match step {
        Step::Schedule => "next",
        Step::Drain => "leave",
        Step::MarkDrained => "empty",
        Step::Release { .. } => "release",
        Step::MarkOverdue => "overdue",
        Step::Revert => "call-back",
        Step::MarkListed => "listed",
        Step::Return => "return",
        Step::BeginSlowStart => "warm",
        Step::Complete => "in",
    }
}

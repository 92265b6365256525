//! What a front says of itself and the fleet, to whoever asks on this machine: one JSON object a connection. Nothing is asked
//! of other fronts for it, so one that is cut off answers as well, and says how old what it knows is.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use elmtide_budgets::{Clocks, FrontId, TOTAL};
use elmtide_fleet::NodeStatus;
use elmtide_peers::Liveness;
use serde::{Deserialize, Serialize};

use crate::fleet::operator::{CallError, OperatorCalls};
use crate::fleet_link::EngineReport;
use crate::process::spawn;

const PATIENCE: Duration = Duration::from_secs(7);
const LONGEST: u64 = 16 << 20;
/// Calls at a time.
const CALLERS: usize = 16;
/// The longest line that is asked.
const LINE: u64 = 256 << 10;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownFront {
    pub name: String,
    pub seems: Liveness,
    pub incarnation: u64,
}

/// What one front may spend of a budget now: parts of the whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownPart {
    pub budget: String,
    pub share: f64,
    pub floor: f64,
    pub why: String,
}

/// What the agreed state has of a front: counted, and told to use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownShare {
    pub front: String,
    pub incarnation: u64,
    pub budget: String,
    pub counted: f64,
    pub told: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shown {
    pub front: String,
    pub incarnation: u64,
    pub role: String,
    pub term: u64,
    pub leader: Option<String>,
    pub contact: bool,
    /// Milliseconds since a leader last answered.
    pub answer_age_ms: Option<f64>,
    /// Milliseconds that the lease has left.
    pub lease_left_ms: Option<f64>,
    pub list_in_force: u64,
    pub list_of_file: u64,
    pub log_entries: u64,
    pub applied: u64,
    pub fronts: Vec<ShownFront>,
    pub own: Vec<ShownPart>,
    pub agreed: Vec<ShownShare>,
    pub dropped: BTreeMap<String, u64>,
    /// Sites that are watched.
    #[serde(default)]
    pub sites: Vec<ShownSite>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownSite {
    pub site: String,
    pub standing: String,
    /// Part of its clients that it has.
    pub clients: u8,
    pub by_operator: bool,
}

fn part(parts: u32) -> f64 {
    f64::from(parts) / f64::from(TOTAL)
}

fn budget(key: &elmtide_budgets::BudgetId) -> String {
    match key.resource {
        0 => key.kind.name().to_owned(),
        id => format!("{}:{id:016x}", key.kind.name()),
    }
}

impl Shown {
    pub fn new(
        status: NodeStatus,
        report: &EngineReport,
        names: &BTreeMap<FrontId, String>,
        crowded: u64,
        now: Clocks,
    ) -> Shown {
        let name = |front: &FrontId| names.get(front).cloned().unwrap_or_else(|| format!("{:016x}", front.0));
        let left = report.lease_expiry.map(|ends| ends.saturating_sub(now.monotonic) as f64 / 1000.0);
        let why = |share: u32| match (share, left) {
            (_, Some(left)) if left > 0.0 && share > 0 => "leased",
            (_, Some(left)) if left > 0.0 => "wants nothing, or all is given",
            _ => "no lease: floor only",
        };
        let own = report.quotas.iter().map(|quota| ShownPart {
            budget: budget(&quota.budget),
            share: part(quota.leased),
            floor: part(quota.minimum),
            why: why(quota.leased).to_owned(),
        });
        let agreed = status.quotas.iter().map(|quota| ShownShare {
            front: name(&quota.holder.front),
            incarnation: quota.holder.incarnation.0,
            budget: budget(&quota.budget),
            counted: part(quota.committed),
            told: part(quota.granted),
        });
        let mut dropped: BTreeMap<String, u64> =
            status.dropped.iter().map(|(reason, count)| (reason.name().to_owned(), *count)).collect();
        dropped.insert("Crowded".into(), crowded);
        Shown {
            front: name(&status.front),
            incarnation: status.incarnation,
            role: status.role.name().to_owned(),
            term: status.term,
            leader: status.leader.as_ref().map(name),
            contact: status.has_contact,
            answer_age_ms: status.response_age.map(|us| us as f64 / 1000.0),
            lease_left_ms: left.filter(|left| *left > 0.0),
            list_in_force: status.front_list_version,
            list_of_file: status.configured_version,
            log_entries: status.log_entries,
            applied: status.applied_index,
            fronts: status
                .fronts
                .iter()
                .map(|(front, member)| ShownFront {
                    name: name(front),
                    seems: member.liveness,
                    incarnation: member.incarnation,
                })
                .collect(),
            own: own.collect(),
            agreed: agreed.collect(),
            dropped,
            sites: Vec::new(),
        }
    }
}

/// Answers whoever connects with one line: `show`, `forget NAME`, `work-show` or `work JSON`.
pub fn listen(path: &Path, calls: OperatorCalls) -> std::io::Result<()> {
    if UnixStream::connect(path).is_err() {
        let _ = std::fs::remove_file(path);
    }
    let listener = UnixListener::bind(path)?;
    let calls = Arc::new(calls);
    // An operator's command waits for its outcome, while others look.
    let busy = Arc::new(AtomicUsize::new(0));
    let serve = move || {
        for stream in listener.incoming().flatten() {
            if busy.fetch_add(1, Relaxed) >= CALLERS {
                busy.fetch_sub(1, Relaxed);
                continue;
            }
            let (calls, done) = (calls.clone(), busy.clone());
            let one = move || {
                let _ = answer(stream, &calls);
                done.fetch_sub(1, Relaxed);
            };
            if spawn("fleet-call", one).is_err() {
                busy.fetch_sub(1, Relaxed);
            }
        }
    };
    spawn("fleet-look", serve).map(drop)
}

fn answer(mut stream: UnixStream, calls: &OperatorCalls) -> std::io::Result<()> {
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut line = String::new();
    BufReader::new((&stream).take(LINE)).read_line(&mut line)?;
    let refused = |why: CallError| format!("refused: {why}");
    let line = line.trim();
    let text = match line.split_once(' ') {
        None if line == "show" => calls.status(),
        None if line == "work-show" => calls.maintenance().unwrap_or_else(refused),
        Some(("forget", name)) => calls.remove_front(name).map_or_else(refused, |()| "asked".to_owned()),
        Some(("work", request)) => calls.request(request).unwrap_or_else(refused),
        _ => "refused: not understood".to_owned(),
    };
    stream.write_all(text.as_bytes())
}

/// One line to the front that runs here, and what it says.
pub fn call(path: &Path, line: &str) -> Result<String, String> {
    let failed = |e: std::io::Error| format!("{}: {e}", path.display());
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(failed)?;
    let mut text = String::new();
    stream.take(LONGEST).read_to_string(&mut text).map_err(failed)?;
    Ok(text)
}

/// Asks the front that runs here.
pub fn ask(path: &Path) -> Result<Shown, String> {
    let text = call(path, "show")?;
    serde_json::from_str(&text)
        .map_err(|e| format!("the front has nothing to show yet, or it can't be read: {e}"))
}

/// Has the front that runs here ask for a machine to be forgotten: it is off for good, and its floor is free.
pub fn forget(path: &Path, name: &str) -> Result<(), String> {
    match call(path, &format!("forget {name}"))?.as_str() {
        "asked" => Ok(()),
        said => Err(said.to_owned()),
    }
}

/// For people.
pub fn print(shown: &Shown) {
    let contact = match (shown.contact, shown.answer_age_ms) {
        (true, Some(age)) => format!("in contact, last answer {age:.0} ms ago"),
        (false, Some(age)) => {
            format!("CUT OFF: no leader has answered for {age:.0} ms; what follows is that old")
        }
        (_, None) => "no leader has answered since the start".to_owned(),
    };
    println!("{} (run {}): {}; {contact}", shown.front, shown.incarnation, shown.role);
    let leader = shown.leader.as_deref().unwrap_or("nobody that is known here");
    println!(
        "leader: {leader}, term {}; list {} in force, {} in the file",
        shown.term, shown.list_in_force, shown.list_of_file
    );
    if let Some(left) = shown.lease_left_ms {
        println!("lease: {left:.0} ms left");
    }
    println!("\n{:<24} {:>9} {:>9}  why", "budget", "share", "floor");
    for own in &shown.own {
        println!("{:<24} {:>8.2}% {:>8.2}%  {}", own.budget, own.share * 100.0, own.floor * 100.0, own.why);
    }
    println!("\n{:<12} {:<10} {:>8}", "front", "seems", "run");
    for front in &shown.fronts {
        println!("{:<12} {:<10} {:>8}", front.name, front.seems.name(), front.incarnation);
    }
    if !shown.sites.is_empty() {
        println!();
        print_sites(shown);
    }
    if !shown.agreed.is_empty() {
        println!("\nas agreed: {:<24} {:<12} {:>9} {:>9}", "budget", "front", "counted", "told");
        for share in &shown.agreed {
            let (counted, told) = (share.counted * 100.0, share.told * 100.0);
            println!("           {:<24} {:<12} {counted:>8.2}% {told:>8.2}%", share.budget, share.front);
        }
    }
}

pub fn print_sites(shown: &Shown) {
    if !shown.contact {
        println!("CUT OFF: as it was heard last");
    }
    println!("{:<16} {:<10} {:>8}", "site", "standing", "clients");
    for site in &shown.sites {
        let word = if site.by_operator { "  by an operator" } else { "" };
        println!("{:<16} {:<10} {:>7}%{word}", site.site, site.standing, site.clients);
    }
}

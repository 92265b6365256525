//! What a front shows of itself and the fleet: the JSON object of its status, and its text for people.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, Clocks, FrontId, TOTAL};
use elmtide_fleet::NodeStatus;
use elmtide_peers::Liveness;
use serde::{Deserialize, Serialize};

use crate::fleet_link::EngineReport;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetStatusView {
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
    pub fronts: Vec<FrontView>,
    pub own: Vec<QuotaView>,
    pub agreed: Vec<CommittedQuotaView>,
    pub dropped: BTreeMap<String, u64>,
    /// Sites that are watched.
    #[serde(default)]
    pub sites: Vec<SiteStatusView>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontView {
    pub name: String,
    pub seems: Liveness,
    pub incarnation: u64,
}

/// What one front may spend of a budget now: parts of the whole.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaView {
    pub budget: String,
    pub share: f64,
    pub floor: f64,
    pub why: String,
}

/// What the agreed state has of a front: counted, and told to use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommittedQuotaView {
    pub front: String,
    pub incarnation: u64,
    pub budget: String,
    pub counted: f64,
    pub told: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteStatusView {
    pub site: String,
    pub standing: String,
    /// Part of its clients that it has.
    pub clients: u8,
    pub by_operator: bool,
}

fn fraction(parts: u32) -> f64 {
    f64::from(parts) / f64::from(TOTAL)
}

fn budget_name(key: &BudgetId) -> String {
    match key.resource {
        0 => key.kind.name().to_owned(),
        id => format!("{}:{id:016x}", key.kind.name()),
    }
}

impl FleetStatusView {
    pub fn new(
        status: NodeStatus,
        report: &EngineReport,
        names: &BTreeMap<FrontId, String>,
        crowded: u64,
        now: Clocks,
    ) -> FleetStatusView {
        let name = |front: &FrontId| names.get(front).cloned().unwrap_or_else(|| format!("{:016x}", front.0));
        let left = report.lease_expiry.map(|ends| ends.saturating_sub(now.monotonic) as f64 / 1000.0);
        let why = |share: u32| match (share, left) {
            (_, Some(left)) if left > 0.0 && share > 0 => "leased",
            (_, Some(left)) if left > 0.0 => "wants nothing, or all is given",
            _ => "no lease: floor only",
        };
        let own = report.quotas.iter().map(|quota| QuotaView {
            budget: budget_name(&quota.budget),
            share: fraction(quota.leased),
            floor: fraction(quota.minimum),
            why: why(quota.leased).to_owned(),
        });
        let agreed = status.quotas.iter().map(|quota| CommittedQuotaView {
            front: name(&quota.holder.front),
            incarnation: quota.holder.incarnation.0,
            budget: budget_name(&quota.budget),
            counted: fraction(quota.committed),
            told: fraction(quota.granted),
        });
        let mut dropped: BTreeMap<String, u64> =
            status.dropped.iter().map(|(reason, count)| (reason.name().to_owned(), *count)).collect();
        dropped.insert("Crowded".into(), crowded);
        FleetStatusView {
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
                .map(|(front, member)| FrontView {
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

/// For people.
pub fn print(shown: &FleetStatusView) {
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

pub fn print_sites(shown: &FleetStatusView) {
    if !shown.contact {
        println!("CUT OFF: as it was heard last");
    }
    println!("{:<16} {:<10} {:>8}", "site", "standing", "clients");
    for site in &shown.sites {
        let word = if site.by_operator { "  by an operator" } else { "" };
        println!("{:<16} {:<10} {:>7}%{word}", site.site, site.standing, site.clients);
    }
}

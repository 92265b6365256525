//! The status of a front and of the fleet as the front knows it, as JSON or as text.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, Clocks, FrontId, TOTAL};
use elmtide_fleet::NodeStatus;
use elmtide_peers::Liveness;
use serde::{Deserialize, Serialize};

use crate::fleet_link::EngineReport;

/// The status of a front and of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetStatusView {
    /// Name of the front.
    pub front: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its role in the replicated log.
    pub role: String,
    /// The log's term as known to the front; 0 without a vote.
    pub term: u64,
    /// The leader, if the front knows it.
    pub leader: Option<String>,
    /// Whether a leader has answered within the duration of a lease.
    pub contact: bool,
    /// Milliseconds since a leader last answered.
    pub answer_age_ms: Option<f64>,
    /// Milliseconds until the lease expires; `None` without a valid lease.
    pub lease_left_ms: Option<f64>,
    /// Version of the list of fronts in force.
    pub list_in_force: u64,
    /// Version of the list of fronts in this front's file.
    pub list_of_file: u64,
    /// Number of entries in the log.
    pub log_entries: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// The failure detector's view of all fronts that have been seen.
    pub fronts: Vec<FrontView>,
    /// What this front may spend.
    pub own: Vec<QuotaView>,
    /// All quotas of the replicated state; empty if this front does not have it.
    pub agreed: Vec<CommittedQuotaView>,
    /// Number of dropped datagrams by reason.
    pub dropped: BTreeMap<String, u64>,
    /// The sites; empty if site failover is not configured.
    #[serde(default)]
    pub sites: Vec<SiteStatusView>,
}

/// The failure detector's view of a front.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontView {
    /// Name of the front.
    pub name: String,
    /// Whether it appears to be alive.
    pub seems: Liveness,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What this front may spend of a budget, as fractions of the total.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaView {
    /// Name of the budget.
    pub budget: String,
    /// Fraction by lease.
    pub share: f64,
    /// Fraction by guaranteed minimum.
    pub floor: f64,
    /// Why the fraction by lease is what it is.
    pub why: String,
}

/// A front's quota of a budget in the replicated state, as fractions of the total.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommittedQuotaView {
    /// Name of the front.
    pub front: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Name of the budget.
    pub budget: String,
    /// The fraction that the front may still be using.
    pub counted: f64,
    /// The fraction that the front is told to use.
    pub told: f64,
}

/// The status of a site.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteStatusView {
    /// Name of the site.
    pub site: String,
    /// Phase of its loss and recovery.
    pub standing: String,
    /// Percentage of its clients that it serves.
    pub clients: u8,
    /// Whether an operator has declared it lost.
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
    /// Creates the view from the status of the node and the report of the engine. `over_limit` is the number of
    /// datagrams that were dropped unread.
    pub fn new(
        status: NodeStatus,
        report: &EngineReport,
        names: &BTreeMap<FrontId, String>,
        over_limit: u64,
        now: Clocks,
    ) -> FleetStatusView {
        let name = |front: &FrontId| names.get(front).cloned().unwrap_or_else(|| format!("{:016x}", front.0));
        let left = report.lease_expiry.map(|ends| ends.saturating_sub(now.monotonic) as f64 / 1000.0);
        let lease_state = |share: u32| match (share, left) {
            (_, Some(left)) if left > 0.0 && share > 0 => "leased",
            (_, Some(left)) if left > 0.0 => "wants nothing, or all is given",
            _ => "no lease: floor only",
        };
        let own = report.quotas.iter().map(|quota| QuotaView {
            budget: budget_name(&quota.budget),
            share: fraction(quota.leased),
            floor: fraction(quota.minimum),
            why: lease_state(quota.leased).to_owned(),
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
        dropped.insert("Crowded".into(), over_limit);
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

/// Prints the status as text.
pub fn print(status: &FleetStatusView) {
    let contact = match (status.contact, status.answer_age_ms) {
        (true, Some(age)) => format!("in contact, last answer {age:.0} ms ago"),
        (false, Some(age)) => {
            format!("CUT OFF: no leader has answered for {age:.0} ms; what follows is that old")
        }
        (_, None) => "no leader has answered since the start".to_owned(),
    };
    println!("{} (run {}): {}; {contact}", status.front, status.incarnation, status.role);
    let leader = status.leader.as_deref().unwrap_or("nobody that is known here");
    println!(
        "leader: {leader}, term {}; list {} in force, {} in the file",
        status.term, status.list_in_force, status.list_of_file
    );
    if let Some(left) = status.lease_left_ms {
        println!("lease: {left:.0} ms left");
    }
    println!("\n{:<24} {:>9} {:>9}  why", "budget", "share", "floor");
    for own in &status.own {
        println!("{:<24} {:>8.2}% {:>8.2}%  {}", own.budget, own.share * 100.0, own.floor * 100.0, own.why);
    }
    println!("\n{:<12} {:<10} {:>8}", "front", "seems", "run");
    for front in &status.fronts {
        println!("{:<12} {:<10} {:>8}", front.name, front.seems.name(), front.incarnation);
    }
    if !status.sites.is_empty() {
        println!();
        print_sites(status);
    }
    if !status.agreed.is_empty() {
        println!("\nas agreed: {:<24} {:<12} {:>9} {:>9}", "budget", "front", "counted", "told");
        for share in &status.agreed {
            let (counted, told) = (share.counted * 100.0, share.told * 100.0);
            println!("           {:<24} {:<12} {counted:>8.2}% {told:>8.2}%", share.budget, share.front);
        }
    }
}

/// Prints the status of sites as text.
pub fn print_sites(status: &FleetStatusView) {
    if !status.contact {
        println!("CUT OFF: as it was heard last");
    }
    println!("{:<16} {:<10} {:>8}", "site", "standing", "clients");
    for site in &status.sites {
        let word = if site.by_operator { "  by an operator" } else { "" };
        println!("{:<16} {:<10} {:>7}%{word}", site.site, site.standing, site.clients);
    }
}

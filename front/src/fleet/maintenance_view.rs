//! What `elmtide work` shows: the JSON object of machines in maintenance, and its text for people.

use std::collections::BTreeMap;

use elmtide_maintenance::report::MaintenanceDetails;
use elmtide_maintenance::{MachineId, WaitReason};
use serde::{Deserialize, Serialize};

use crate::fleet::display_names::DisplayNames;

/// What `elmtide work` shows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MaintenanceStatusView {
    pub contact: bool,
    pub leader: Option<String>,
    /// Milliseconds since the leader said it.
    pub age_ms: Option<f64>,
    pub jobs: Vec<JobView>,
    pub machines: Vec<MachineView>,
    /// Gone or failing without being out for work.
    pub missing: Vec<String>,
    /// Seconds that the middle one of the last ways took.
    pub took_s: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineView {
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
pub struct JobView {
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

impl MaintenanceStatusView {
    pub fn new(
        details: &MaintenanceDetails,
        names: &DisplayNames,
        contact: bool,
        leader: Option<String>,
        age_ms: f64,
    ) -> MaintenanceStatusView {
        let waits: BTreeMap<MachineId, WaitReason> = details.wait_reasons.iter().copied().collect();
        let seconds = |since: u64| details.now_ms.saturating_sub(since) as f64 / 1000.0;
        let machines = details.progress.iter().map(|(machine, way)| MachineView {
            machine: names.machine(*machine),
            job: way.job.0,
            stage: way.stage.name().to_owned(),
            since_s: seconds(way.stage_since_ms),
            permit: way.permit,
            overdue: way.is_overdue,
            called_off: way.is_cancelled,
            why: waits.get(machine).map_or(String::new(), |wait| names.wait_text(wait)),
        });
        let jobs = details.jobs.iter().map(|(id, job)| JobView {
            job: id.0,
            by: job.requested_by.clone(),
            reason: job.reason.clone(),
            minutes: job.expected_minutes,
            held: job.is_paused,
            called_off: job.is_cancelled,
            machines: job.machine_count,
            done: job.completed,
            spared: job.cancelled_count,
            over: job.ended_at_ms.is_some(),
        });
        MaintenanceStatusView {
            contact,
            leader,
            age_ms: Some(age_ms),
            jobs: jobs.collect(),
            machines: machines.collect(),
            missing: details.lost.iter().map(|m| names.machine(*m)).collect(),
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

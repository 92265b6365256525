//! The status of maintenance that `elmtide work` prints, as JSON or as text.

use std::collections::BTreeMap;

use elmtide_maintenance::report::MaintenanceDetails;
use elmtide_maintenance::{MachineId, WaitReason};
use serde::{Deserialize, Serialize};

use crate::fleet::display_names::DisplayNames;

/// The status of maintenance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MaintenanceStatusView {
    /// Whether the front is in contact with a leader.
    pub contact: bool,
    /// The leader, if the front knows it.
    pub leader: Option<String>,
    /// Milliseconds since the leader sent this status.
    pub age_ms: Option<f64>,
    /// The jobs.
    pub jobs: Vec<JobView>,
    /// The machines that are in a job.
    pub machines: Vec<MachineView>,
    /// Machines that are absent or failing without being in maintenance.
    pub missing: Vec<String>,
    /// Median duration of maintenance among the last machines, in seconds.
    pub took_s: Option<f64>,
}

/// The progress of a machine in a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineView {
    /// Name of the machine.
    pub machine: String,
    /// Number of the job.
    pub job: u32,
    /// Name of the stage that the machine is in.
    pub stage: String,
    /// Seconds since it entered the stage.
    pub since_s: f64,
    /// Number of its permit; 0 if it has none.
    pub permit: u64,
    /// Whether its maintenance takes longer than the job expected.
    pub overdue: bool,
    /// Whether its maintenance was cancelled.
    pub called_off: bool,
    /// What it waits for; may be empty.
    pub why: String,
}

/// The status of a maintenance job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobView {
    /// Number of the job.
    pub job: u32,
    /// Name of the operator.
    pub by: String,
    /// Reason for the maintenance.
    pub reason: String,
    /// Expected duration of one machine's maintenance; 0 if not specified.
    pub minutes: u32,
    /// Whether the job is paused.
    pub held: bool,
    /// Whether the whole job was cancelled.
    pub called_off: bool,
    /// Number of machines that were requested.
    pub machines: u32,
    /// Number of machines that are back in service.
    pub done: u32,
    /// Number of machines that were cancelled before their release.
    pub spared: u32,
    /// Whether the job has ended.
    pub over: bool,
}

impl MaintenanceStatusView {
    /// Makes the status from the leader's details, which are `age_ms` old.
    pub fn new(
        details: &MaintenanceDetails,
        names: &DisplayNames,
        contact: bool,
        leader: Option<String>,
        age_ms: f64,
    ) -> MaintenanceStatusView {
        let wait_reasons: BTreeMap<MachineId, WaitReason> = details.wait_reasons.iter().copied().collect();
        let seconds_since = |since: u64| details.now_ms.saturating_sub(since) as f64 / 1000.0;
        let machines = details.progress.iter().map(|(machine, machine_progress)| MachineView {
            machine: names.machine(*machine),
            job: machine_progress.job.0,
            stage: machine_progress.stage.name().to_owned(),
            since_s: seconds_since(machine_progress.stage_since_ms),
            permit: machine_progress.permit,
            overdue: machine_progress.is_overdue,
            called_off: machine_progress.is_cancelled,
            why: wait_reasons.get(machine).map_or(String::new(), |wait| names.wait_text(wait)),
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

    /// Prints the status as text.
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

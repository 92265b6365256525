//! Operators' requests to the fleet and the replies to them.

use elmtide_budgets::FrontId;
use elmtide_fleet::AgreedCommand;
use elmtide_maintenance::{JobId, MachineId, MaintenanceCommand};
use elmtide_sites::SiteCommand;
use serde::{Deserialize, Serialize};

use crate::fleet::site_directory::SiteDirectory;

/// An operator's request, written as JSON on the operators' socket.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum OperatorRequest {
    /// Take machines into maintenance.
    Out {
        /// Names of the machines.
        machines: Vec<String>,
        /// Name of the operator.
        by: String,
        /// Reason for the maintenance.
        reason: String,
        /// Expected duration of one machine's maintenance; 0 if not specified.
        minutes: u32,
    },
    /// A machine has returned.
    Back {
        /// Name of the machine.
        machine: String,
    },
    /// Pause a job.
    Hold {
        /// Number of the job.
        job: u32,
    },
    /// Resume a job.
    GoOn {
        /// Number of the job.
        job: u32,
    },
    /// Cancel a job, or one of its machines.
    CallOff {
        /// Number of the job.
        job: u32,
        /// Name of the machine; `None` for the whole job.
        machine: Option<String>,
    },
    /// Schedule these machines of a job first.
    Reorder {
        /// Number of the job.
        job: u32,
        /// Names of the machines, in this order.
        machines: Vec<String>,
    },
    /// A front's machine is off: others no longer wait for the front.
    Off {
        /// Name of the front.
        front: String,
    },
    /// Declare a site lost.
    SiteLost {
        /// Name of the site.
        site: String,
    },
    /// Withdraw the declaration that a site is lost.
    SiteClear {
        /// Name of the site.
        site: String,
    },
}

impl OperatorRequest {
    /// The command for the replicated state. A site is looked up by its name in the fleet's file.
    pub fn into_command(self, sites: Option<&SiteDirectory>) -> Result<AgreedCommand, String> {
        let override_site = |name: &str, lost: bool| {
            let site =
                sites.and_then(|s| s.site(name)).ok_or_else(|| format!("there is no site {name:?}"))?;
            Ok(AgreedCommand::Sites(SiteCommand::OverrideByOperator { site, lost, at_ms: 0 }))
        };
        match self {
            OperatorRequest::SiteLost { site } => override_site(&site, true),
            OperatorRequest::SiteClear { site } => override_site(&site, false),
            other => Ok(AgreedCommand::Maintenance(other.into_maintenance_command())),
        }
    }

    fn into_maintenance_command(self) -> MaintenanceCommand {
        let ids = |names: Vec<String>| names.iter().map(|n| MachineId::from_name(n)).collect();
        match self {
            OperatorRequest::Out { machines, by, reason, minutes } => MaintenanceCommand::Request {
                machines: ids(machines),
                requested_by: by,
                reason,
                expected_minutes: minutes,
                at_ms: 0,
            },
            OperatorRequest::Back { machine } => {
                MaintenanceCommand::ConfirmReturn { machine: MachineId::from_name(&machine) }
            }
            OperatorRequest::Hold { job } => MaintenanceCommand::PauseJob { job: JobId(job) },
            OperatorRequest::GoOn { job } => MaintenanceCommand::ResumeJob { job: JobId(job) },
            OperatorRequest::CallOff { job, machine } => MaintenanceCommand::Cancel {
                job: JobId(job),
                machine: machine.map(|m| MachineId::from_name(&m)),
            },
            OperatorRequest::Reorder { job, machines } => {
                MaintenanceCommand::Prioritize { job: JobId(job), machines: ids(machines) }
            }
            OperatorRequest::Off { front } => {
                MaintenanceCommand::DeclareFrontOff { front: FrontId::from_name(&front) }
            }
            // Not a request for maintenance: becomes a command without machines, which is rejected.
            OperatorRequest::SiteLost { .. } | OperatorRequest::SiteClear { .. } => {
                MaintenanceCommand::Request {
                    machines: Vec::new(),
                    requested_by: String::new(),
                    reason: String::new(),
                    expected_minutes: 0,
                    at_ms: 0,
                }
            }
        }
    }
}

/// The reply to an operator's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorReply {
    /// Whether the request was agreed on.
    pub done: bool,
    /// Number of the new job; 0 if there is none.
    pub job: u32,
    /// The outcome as text.
    pub text: String,
}

impl OperatorReply {
    /// A reply that refuses the request.
    pub fn refused(text: impl Into<String>) -> OperatorReply {
        OperatorReply { done: false, job: 0, text: text.into() }
    }
}

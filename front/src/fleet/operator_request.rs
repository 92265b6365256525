//! What operators request of the fleet, and what they are answered.

use elmtide_budgets::FrontId;
use elmtide_fleet::AgreedCommand;
use elmtide_maintenance::{JobId, MachineId, MaintenanceCommand};
use elmtide_sites::SiteCommand;
use serde::{Deserialize, Serialize};

use crate::fleet::site_directory::SiteDirectory;

/// What an operator asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum OperatorRequest {
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

impl OperatorRequest {
    /// The change that is asked for; a site is named as the file names it.
    pub fn into_command(self, sites: Option<&SiteDirectory>) -> Result<AgreedCommand, String> {
        let of_site = |name: &str, lost: bool| {
            let site =
                sites.and_then(|s| s.site(name)).ok_or_else(|| format!("there is no site {name:?}"))?;
            Ok(AgreedCommand::Sites(SiteCommand::OverrideByOperator { site, lost, at_ms: 0 }))
        };
        match self {
            OperatorRequest::SiteLost { site } => of_site(&site, true),
            OperatorRequest::SiteClear { site } => of_site(&site, false),
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
            // Not of work: an empty list is refused.
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

/// What came of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorReply {
    pub done: bool,
    pub job: u32,
    pub text: String,
}

impl OperatorReply {
    pub fn refused(text: impl Into<String>) -> OperatorReply {
        OperatorReply { done: false, job: 0, text: text.into() }
    }
}

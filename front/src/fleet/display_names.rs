//! Texts for operators with names of machines and fronts: replies, wait reasons and log lines.

use std::collections::BTreeMap;

use elmtide_budgets::FrontId;
use elmtide_fleet::CommandOutcome;
use elmtide_maintenance::{CommandRejected, DisruptionLimit, MachineId, Step, WaitReason};

use crate::fleet::config::FleetConfig;
use crate::fleet::operator_request::OperatorReply;

/// The names of machines and fronts by id.
#[derive(Clone, Debug, Default)]
pub struct DisplayNames {
    /// The machines of the fleet's file.
    pub machines: BTreeMap<MachineId, String>,
    /// The fronts of the fleet's file.
    pub fronts: BTreeMap<FrontId, String>,
}

impl DisplayNames {
    /// The names in the fleet's file.
    pub fn from_config(config: &FleetConfig) -> DisplayNames {
        DisplayNames {
            machines: config
                .machine
                .iter()
                .map(|m| (MachineId::from_name(&m.name), m.name.clone()))
                .collect(),
            fronts: config.front.iter().map(|f| (FrontId::from_name(&f.name), f.name.clone())).collect(),
        }
    }

    /// The name of a machine, or its id if it has none.
    pub fn machine(&self, machine: MachineId) -> String {
        self.machines.get(&machine).cloned().unwrap_or_else(|| format!("machine {:016x}", machine.0))
    }

    /// The name of a front, or its id if it has none.
    pub fn front(&self, front: FrontId) -> String {
        self.fronts.get(&front).cloned().unwrap_or_else(|| format!("front {:016x}", front.0))
    }

    /// The reply to the operator who submitted a command.
    pub fn reply(&self, outcome: CommandOutcome) -> OperatorReply {
        match outcome {
            CommandOutcome::Maintenance(Ok(job)) if job.0 > 0 => {
                OperatorReply { done: true, job: job.0, text: format!("agreed: job {}", job.0) }
            }
            CommandOutcome::Maintenance(Ok(_)) => OperatorReply { done: true, job: 0, text: "agreed".into() },
            CommandOutcome::Maintenance(Err(why)) => OperatorReply::refused(self.rejection_text(why)),
            CommandOutcome::Sites(Ok(())) => OperatorReply { done: true, job: 0, text: "agreed".into() },
            other => OperatorReply::refused(format!("{other:?}")),
        }
    }

    /// Why a command was rejected, and how it could succeed.
    pub fn rejection_text(&self, why: CommandRejected) -> String {
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

    /// What a machine waits for.
    pub fn wait_text(&self, wait: &WaitReason) -> String {
        match wait {
            WaitReason::JobPaused => "its job is held".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Location) => "others of its location are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Hub) => "others of its hub are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Kind) => "others of its kind are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Voters) => "other voters are out".into(),
            WaitReason::DisruptionLimit(DisruptionLimit::Pair(other)) => {
                format!("{} is out, which it is paired with", self.machine(*other))
            }
            WaitReason::CapacityShortfall { remaining: remaining_millis, required: required_millis } => {
                format!(
                    "what would be left bears {:.1}, {:.1} are wanted",
                    f64::from(*remaining_millis) / 1000.0,
                    f64::from(*required_millis) / 1000.0
                )
            }
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

/// The name of a step in hooks and log lines.
pub fn step_name(step: Step) -> &'static str {
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

//! Commands that this front submits to the replicated log. One is submitted at a time, and retried until its outcome is
//! known. The leader's handling of submitted commands is here as well.

use std::collections::VecDeque;

use elmtide_budgets::{BudgetCommand, Clocks, FrontId};
use elmtide_consensus::sessions::CommandStatus;
use elmtide_consensus::CommandId;

use super::voting::{ActiveVoter, QueuedCommand, VoterState};
use super::{Departure, FleetNode};
use crate::agreed_state::{AgreedCommand, CommandOutcome};
use crate::message::PeerMessage;
use crate::output::{CommandSummary, Event, Output};

/// Ticks after which a command without an outcome is submitted again.
const RETRY_INTERVAL_TICKS: u64 = 10;
/// Maximum number of operators' commands that wait at this front.
const MAX_PENDING_COMMANDS: usize = 16;
/// Maximum number of submitted commands that wait here while the log is syncing, and of those that wait for their
/// outcomes.
const MAX_WAITING_CLIENTS: usize = 256;

/// The command whose outcome this front waits for.
struct SubmittedCommand {
    id: CommandId,
    command: AgreedCommand,
    submitted_at_tick: u64,
    /// The tag of an operator's command; `None` for a command that the node itself submitted.
    tag: Option<u64>,
}

/// An operator's command that has not been submitted yet.
struct PendingCommand {
    tag: u64,
    command: AgreedCommand,
}

/// The commands that this front submits.
#[derive(Default)]
pub(super) struct CommandQueue {
    submitted: Option<SubmittedCommand>,
    pending: VecDeque<PendingCommand>,
    last_sequence: u64,
}

/// Too many operators' commands wait at this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many commands wait at this front")]
pub struct TooManyCommands;

impl FleetNode {
    /// Queues an operator's command. Its outcome is reported with the tag.
    ///
    /// # Errors
    /// If too many commands wait.
    pub fn request_command(
        &mut self,
        tag: u64,
        command: AgreedCommand,
        now: Clocks,
    ) -> Result<(), TooManyCommands> {
        if self.commands.pending.len() >= MAX_PENDING_COMMANDS {
            return Err(TooManyCommands);
        }
        self.commands.pending.push_back(PendingCommand { tag, command });
        self.submit_next_pending(now);
        Ok(())
    }

    fn submit_next_pending(&mut self, now: Clocks) {
        if self.commands.submitted.is_some() || self.departure != Departure::Staying {
            return;
        }
        if let Some(PendingCommand { tag, command }) = self.commands.pending.pop_front() {
            self.submit_tagged(command, now);
            if let Some(submitted) = &mut self.commands.submitted {
                submitted.tag = Some(tag);
            }
        }
    }

    /// Submits a command of this front. It replaces the previous one, whose outcome is no longer waited for.
    pub fn submit(&mut self, command: AgreedCommand, now: Clocks) {
        self.submit_tagged(command, now);
    }

    fn submit_tagged(&mut self, command: AgreedCommand, now: Clocks) {
        self.commands.last_sequence += 1;
        let id = CommandId {
            client: self.own.0,
            incarnation: self.holder().incarnation.0,
            sequence: self.commands.last_sequence,
        };
        let submitted_at_tick = self.ticks;
        self.commands.submitted = Some(SubmittedCommand { id, command, submitted_at_tick, tag: None });
        self.send_submitted(now);
    }

    pub(super) fn submit_leave(&mut self, now: Clocks) {
        let holder = self.holder();
        self.submit(AgreedCommand::Budgets(BudgetCommand::Leave { holder }), now);
    }

    fn send_submitted(&mut self, now: Clocks) {
        let Some(submitted) = &self.commands.submitted else { return };
        let (id, command) = (submitted.id, submitted.command.clone());
        match self.request_target() {
            Some(to) if to == self.own => self.on_submitted_command(to, id, command, now),
            Some(to) => self.send(to, &PeerMessage::SubmitCommand(id, command)),
            None => {}
        }
    }

    /// Retries the submitted command, submits the configuration if it is newer than the fleet's, and then pending
    /// commands.
    pub(super) fn tick_commands(&mut self, now: Clocks) {
        self.retry_submitted(now);
        if self.commands.submitted.is_none() && self.lease.has_contact {
            if let Some(command) = self.outdated_configuration() {
                self.submit(command, now);
            }
        }
        self.submit_next_pending(now);
    }

    fn retry_submitted(&mut self, now: Clocks) {
        let ticks = self.ticks;
        let Some(submitted) = &mut self.commands.submitted else { return };
        if ticks - submitted.submitted_at_tick >= RETRY_INTERVAL_TICKS {
            submitted.submitted_at_tick = ticks;
            self.send_submitted(now);
        }
    }

    /// A command that updates what the fleet has in an earlier version than this front's configuration; the list of
    /// fronts goes first. Version 0 means that the fleet's version is not known yet.
    fn outdated_configuration(&self) -> Option<AgreedCommand> {
        let own_version = self.settings.version;
        let is_outdated = |version: u64| (1..own_version).contains(&version);
        if is_outdated(self.lease.front_list_version) {
            return Some(self.settings.front_list_command());
        }
        if self.lease.front_list_version != own_version {
            return None;
        }
        let machines = self.settings.machines_command().filter(|_| is_outdated(self.lease.machines_version));
        machines.or_else(|| self.settings.sites_command().filter(|_| is_outdated(self.lease.sites_version)))
    }

    /// Handles a command that a front, possibly this one, has submitted to this node.
    pub(super) fn on_submitted_command(
        &mut self,
        from: FrontId,
        id: CommandId,
        command: AgreedCommand,
        now: Clocks,
    ) {
        let Some(command) = admit_client_command(command, now) else { return };
        if id.client != from.0 {
            return;
        }
        if !self.is_leading() {
            if from != self.own {
                let leader = self.leader_for(from);
                self.send(from, &PeerMessage::NotLeader(leader));
            }
            return;
        }
        let VoterState::Active(active) = &mut self.voting else { return };
        match active.propose_for_client(from, id, command) {
            ClientProposal::Queued => {}
            ClientProposal::Proposed => self.run_log(now),
            ClientProposal::AlreadyApplied(outcome) => self.send_outcome(from, id, outcome, now),
        }
    }

    pub(super) fn on_command_outcome(&mut self, id: CommandId, outcome: CommandOutcome, now: Clocks) {
        let Some(submitted) = self.commands.submitted.take_if(|submitted| submitted.id == id) else { return };
        let command = summarize(&submitted.command);
        if command == CommandSummary::Leave {
            self.departure = Departure::Left;
        }
        if let Some(tag) = submitted.tag {
            self.outputs.push_back(Output::CommandEnded(tag, outcome));
        }
        self.report_event(Event::CommandApplied { rejected: !outcome.is_done(), command });
        if self.departure == Departure::Left {
            self.report_event(Event::Left);
        }
        self.submit_next_pending(now);
    }
}

/// What the leader did with a submitted command.
enum ClientProposal {
    /// The command waits until the sync in progress has completed.
    Queued,
    /// It was proposed, or dropped. The client retries it until it has an outcome.
    Proposed,
    /// It was applied before, with this outcome.
    AlreadyApplied(CommandOutcome),
}

impl ActiveVoter {
    fn propose_for_client(&mut self, from: FrontId, id: CommandId, command: AgreedCommand) -> ClientProposal {
        if self.syncing.is_some() {
            if self.queued_commands.len() < MAX_WAITING_CLIENTS {
                self.queued_commands.push(QueuedCommand { from, id, command });
            }
            return ClientProposal::Queued;
        }
        match self.voter.command_status(id) {
            CommandStatus::Duplicate(outcome) => return ClientProposal::AlreadyApplied(outcome),
            CommandStatus::Stale => {}
            CommandStatus::New => {
                let has_capacity = self.waiting_clients.len() < MAX_WAITING_CLIENTS;
                if has_capacity && self.voter.propose(Some(id), &command).is_ok() {
                    self.waiting_clients.insert(id.into(), from);
                }
            }
        }
        ClientProposal::Proposed
    }
}

/// The command as the leader proposes it, with the leader's time in it; `None` for a command that only a leader may
/// originate.
fn admit_client_command(mut command: AgreedCommand, now: Clocks) -> Option<AgreedCommand> {
    use elmtide_maintenance::MaintenanceCommand as Maintenance;
    use elmtide_sites::SiteCommand as Sites;
    let now_ms = now.wall / 1000;
    let is_accepted = match &mut command {
        AgreedCommand::Budgets(_) => true,
        AgreedCommand::Maintenance(Maintenance::Request { at_ms: at, .. }) => {
            *at = now_ms;
            true
        }
        AgreedCommand::Maintenance(Maintenance::Acknowledge { .. } | Maintenance::Advance { .. }) => false,
        AgreedCommand::Maintenance(_) => true,
        AgreedCommand::Sites(Sites::OverrideByOperator { at_ms: at, .. }) => {
            *at = now_ms;
            true
        }
        AgreedCommand::Sites(Sites::UpdateSites { .. }) => true,
        AgreedCommand::Sites(_) | AgreedCommand::AssignVoter { .. } => false,
    };
    is_accepted.then_some(command)
}

fn summarize(command: &AgreedCommand) -> CommandSummary {
    match command {
        AgreedCommand::Budgets(BudgetCommand::UpdateFronts { .. }) => CommandSummary::FrontList,
        AgreedCommand::Budgets(BudgetCommand::Leave { .. }) => CommandSummary::Leave,
        AgreedCommand::Budgets(BudgetCommand::RemoveFront { .. }) => CommandSummary::RemoveFront,
        AgreedCommand::Maintenance(elmtide_maintenance::MaintenanceCommand::UpdateMachines { .. })
        | AgreedCommand::Sites(elmtide_sites::SiteCommand::UpdateSites { .. }) => CommandSummary::Layout,
        _ => CommandSummary::Other,
    }
}

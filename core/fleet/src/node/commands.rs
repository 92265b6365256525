//! Commands of this front for the replicated log: one is submitted at a time, again and again until its outcome is known.

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
/// Most commands of operators that wait at this front.
const MAX_PENDING_COMMANDS: usize = 16;
/// Most commands of other fronts that wait here, for the log or for their outcomes.
const MAX_WAITING_CLIENTS: usize = 256;

struct SubmittedCommand {
    id: CommandId,
    command: AgreedCommand,
    submitted_at_tick: u64,
    /// The operator's tag; `None` for a command of the node's own.
    tag: Option<u64>,
}

struct PendingCommand {
    tag: u64,
    command: AgreedCommand,
}

/// The commands of this front.
#[derive(Default)]
pub(super) struct CommandQueue {
    submitted: Option<SubmittedCommand>,
    pending: VecDeque<PendingCommand>,
    last_sequence: u64,
}

/// Too many commands of operators wait at this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many commands wait at this front")]
pub struct TooManyCommands;

impl FleetNode {
    /// Requests an operator's command; its outcome comes with the tag.
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

    /// Submits a command of this front in place of the one before, whose outcome is not waited for any more.
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
        match self.whom_to_ask() {
            Some(to) if to == self.own => self.on_submitted_command(to, id, command, now),
            Some(to) => self.send(to, &PeerMessage::SubmitCommand(id, command)),
            None => {}
        }
    }

    /// Submits again what has no outcome yet, and what the configuration has in a later version than the fleet.
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

    /// A command for what the fleet has in an earlier version than this front's configuration. Version 0 says that nothing is
    /// known of the fleet's version yet.
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

    /// Takes a command that a front has submitted here.
    pub(super) fn on_submitted_command(
        &mut self,
        from: FrontId,
        id: CommandId,
        command: AgreedCommand,
        now: Clocks,
    ) {
        let Some(command) = accepted_from_clients(command, now) else { return };
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

/// What became of a client's command at the leader.
enum ClientProposal {
    /// It waits until a sync has ended.
    Queued,
    /// It was proposed, or dropped: the client submits it again until it has an outcome.
    Proposed,
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
                let has_room = self.waiting_clients.len() < MAX_WAITING_CLIENTS;
                if has_room && self.voter.propose(Some(id), &command).is_ok() {
                    self.waiting_clients.insert(id.into(), from);
                }
            }
        }
        ClientProposal::Proposed
    }
}

/// The command as the leader proposes it; `None` for one that only a leader may propose. The time in it is the leader's.
fn accepted_from_clients(mut command: AgreedCommand, now: Clocks) -> Option<AgreedCommand> {
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

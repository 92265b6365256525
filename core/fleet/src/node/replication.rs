//! Driving the replicated log: what has to be synced and sent, and what follows once a command is applied.

use elmtide_budgets::{Clocks, FrontId, LeaseResponse};
use elmtide_consensus::records::StoredLog;
use elmtide_consensus::sessions::CommandStatus;
use elmtide_consensus::{AppliedCommand, CommandId, Message, Progress, VoterId};

use super::voting::{ActiveVoter, QueuedCommand, VoterState};
use super::{FleetNode, KnownVoter};
use crate::agreed_state::{AgreedCommand, AgreedState, CommandOutcome};
use crate::message::{PeerMessage, Views};
use crate::output::{Event, Output};

/// Maximum number of voters' messages that are queued during a sync. Further ones are dropped, which the log tolerates
/// like any lost message.
const MAX_QUEUED_MESSAGES: usize = 512;

/// The result of a sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncResult {
    /// The data is on stable storage.
    Synced,
    /// The data could not be synced.
    Failed,
}

/// The outcome of a command, for the front that submitted it.
struct ClientOutcome {
    to: FrontId,
    id: CommandId,
    outcome: CommandOutcome,
}

impl FleetNode {
    pub(super) fn on_raft_message(&mut self, from: FrontId, message: Message, now: Clocks) {
        let sender = KnownVoter { id: message.from, has_log: true };
        self.known_voters.entry(from).or_insert(sender).id = message.from;
        if let VoterState::Active(active) = &mut self.voting {
            if active.accepts_input() {
                active.voter.on_message(message);
            } else if active.is_participating() && active.queued_messages.len() < MAX_QUEUED_MESSAGES {
                active.queued_messages.push_back(message);
            }
        }
        self.run_log(now);
    }

    /// Outputs what the log has to send and sync, until an update has to be synced before anything else.
    pub(super) fn run_log(&mut self, now: Clocks) {
        loop {
            let VoterState::Active(active) = &mut self.voting else { return };
            if !active.accepts_input() {
                return;
            }
            let Some(ready) = active.voter.ready() else { return };
            let messages = ready.messages.clone();
            if !ready.update.is_empty() {
                let update = ready.update.clone();
                active.syncing = Some(ready);
                self.send_raft_messages(messages);
                self.outputs.push_back(Output::SyncLog(update));
                return;
            }
            let progress = active.voter.advance(ready);
            self.send_raft_messages(messages);
            self.on_progress(progress, now);
        }
    }

    /// Reports the result of the last `SyncLog` or `SyncVoterId`. If it failed, this node stops voting.
    pub fn on_synced(&mut self, result: SyncResult, now: Clocks) {
        if result == SyncResult::Failed {
            self.voting = VoterState::Failed;
            self.report_event(Event::StoreFailed);
            return;
        }
        match std::mem::replace(&mut self.voting, VoterState::NotVoting) {
            VoterState::SyncingId(id) => {
                self.voting = match ActiveVoter::new(id, StoredLog::default()) {
                    Ok(active) => VoterState::Active(active),
                    Err(_) => VoterState::Failed,
                };
                self.run_log(now);
            }
            VoterState::Active(active) => {
                self.on_log_synced(active, now);
                self.run_log(now);
            }
            other => self.voting = other,
        }
    }

    fn on_log_synced(&mut self, mut active: Box<ActiveVoter>, now: Clocks) {
        if let Some(first_snapshot) = active.bootstrapping.take() {
            let mut log = StoredLog::default();
            log.apply(&first_snapshot);
            match ActiveVoter::new(active.voter.id(), log) {
                Ok(bootstrapped) => self.finish_bootstrap(bootstrapped),
                Err(_) => self.voting = VoterState::Failed,
            }
            return;
        }
        let synced_update = active.syncing.take();
        let progress = synced_update.map(|ready| active.voter.advance(ready));
        self.voting = VoterState::Active(active);
        if let Some(progress) = progress {
            self.on_progress(progress, now);
            self.process_queued_input(now);
        }
    }

    /// Processes the messages and commands that arrived during a sync, until the next sync starts.
    fn process_queued_input(&mut self, now: Clocks) {
        self.run_log(now);
        loop {
            let VoterState::Active(active) = &mut self.voting else { return };
            if active.syncing.is_some() {
                return;
            }
            if let Some(message) = active.queued_messages.pop_front() {
                active.voter.on_message(message);
            } else if let Some(QueuedCommand { from, id, command }) = active.queued_commands.pop() {
                self.on_submitted_command(from, id, command, now);
            } else {
                break;
            }
            self.run_log(now);
        }
        // Lease requests that arrived during the sync wait for a read.
        if self.is_leading() {
            self.begin_lease_read();
            self.run_log(now);
        }
    }

    fn send_raft_messages(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Some(to) = self.front_of_voter(message.to) {
                self.send(to, &PeerMessage::Raft(Box::new(message)));
            }
        }
    }

    pub(super) fn front_of_voter(&self, id: VoterId) -> Option<FrontId> {
        self.known_voters.iter().find(|(_, voter)| voter.id == id).map(|(front, _)| *front)
    }

    /// Handles the log's progress: sends its messages, the outcomes of applied commands, and the answers to lease
    /// requests whose reads were acknowledged. Plans again if a command was applied.
    fn on_progress(&mut self, progress: Progress<AgreedState>, now: Clocks) {
        self.send_raft_messages(progress.messages);
        if !progress.compaction.is_empty() {
            self.outputs.push_back(Output::CompactLog(progress.compaction));
        }
        let mut outcomes = Vec::new();
        for applied in &progress.applied {
            outcomes.extend(self.on_applied_command(applied));
        }
        let responses = self.answer_reads(&progress.acknowledged_reads, now);
        for ClientOutcome { to, id, outcome } in outcomes {
            self.send_outcome(to, id, outcome, now);
        }
        for (response, views) in responses {
            self.send_lease_response(response, views, now);
        }
        if !progress.applied.is_empty() {
            self.plan_as_leader(now);
        }
    }

    /// As the leader, reports an applied command and updates the allocator. Returns the outcome if a front waits for
    /// it.
    fn on_applied_command(&mut self, applied: &AppliedCommand<AgreedState>) -> Option<ClientOutcome> {
        let VoterState::Active(active) = &mut self.voting else { return None };
        if let Some(leadership) = &mut active.leadership {
            if let AgreedCommand::Budgets(command) = &applied.command {
                leadership.allocator.on_command_ended(command);
            }
            let event = applied_event(applied);
            self.outputs.extend(event.map(Output::Event));
        }
        let id = applied.id?;
        let to = active.waiting_clients.remove(&id.into());
        let status = active.voter.command_status(id);
        match (to, status) {
            (Some(to), CommandStatus::Duplicate(outcome)) => Some(ClientOutcome { to, id, outcome }),
            _ => None,
        }
    }

    /// The responses, with their views, to the lease requests whose reads were acknowledged.
    fn answer_reads(&mut self, reads: &[u64], now: Clocks) -> Vec<(LeaseResponse, Views)> {
        let VoterState::Active(active) = &mut self.voting else { return Vec::new() };
        let Some(leadership) = &mut active.leadership else { return Vec::new() };
        let agreed = active.voter.state_machine();
        let mut answers = Vec::new();
        for read in reads {
            let responses = leadership.allocator.on_read_acknowledged(&agreed.budgets, *read, now.monotonic);
            for response in responses {
                let maintenance =
                    leadership.maintenance.view(&agreed.maintenance, response.holder, now.wall / 1000);
                let sites = leadership.sites.view(&agreed.sites, response.holder.front);
                answers.push((response, Views { maintenance, sites }));
            }
        }
        answers
    }

    pub(super) fn send_outcome(&mut self, to: FrontId, id: CommandId, outcome: CommandOutcome, now: Clocks) {
        if to == self.own {
            self.on_command_outcome(id, outcome, now);
        } else {
            self.send(to, &PeerMessage::CommandOutcome(id, outcome));
        }
    }

    fn send_lease_response(&mut self, response: LeaseResponse, views: Views, now: Clocks) {
        let to = response.holder.front;
        if to == self.own {
            self.on_lease_response(self.own, &response, views, now);
        } else {
            self.send(to, &views.into_message(response));
        }
    }
}

/// The event that a leader reports for an applied command, if any.
fn applied_event(applied: &AppliedCommand<AgreedState>) -> Option<Event> {
    match (&applied.command, &applied.outcome) {
        (AgreedCommand::Sites(command), Some(CommandOutcome::Sites(Ok(())))) => site_event(command),
        (
            AgreedCommand::Maintenance(elmtide_maintenance::MaintenanceCommand::Advance {
                machine,
                step,
                ..
            }),
            Some(CommandOutcome::Maintenance(Ok(_))),
        ) => Some(Event::MachineAdvanced { machine: *machine, step: *step }),
        _ => None,
    }
}

fn site_event(command: &elmtide_sites::SiteCommand) -> Option<Event> {
    use elmtide_sites::{RecoveryPhase, SiteCommand};
    let (site, phase) = match command {
        SiteCommand::DeclareLost { site, .. } | SiteCommand::OverrideByOperator { site, lost: true, .. } => {
            (*site, RecoveryPhase::Lost)
        }
        SiteCommand::AdvanceRecovery { site, to, .. } => (*site, *to),
        _ => return None,
    };
    Some(Event::SiteChanged { site, phase })
}

//! The replicated state of all subsystems together.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetCommand, BudgetState, FrontId};
use elmtide_consensus::{StateMachine, VoterId};
use elmtide_maintenance::JobId;
use serde::{Deserialize, Serialize};

/// Most fronts that have ever had a vote.
const MAX_VOTERS: usize = 64;

/// One command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreedCommand {
    /// Who may spend how much.
    Budgets(BudgetCommand),
    /// A front's vote is that of this store.
    AssignVoter {
        /// The front.
        front: FrontId,
        /// The id of its store.
        voter: VoterId,
    },
    /// Machines in maintenance.
    Maintenance(elmtide_maintenance::MaintenanceCommand),
    /// Sites that are lost.
    Sites(elmtide_sites::SiteCommand),
}

/// What applying a command gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// It was carried out.
    Done,
    /// A command on budgets did nothing.
    BudgetsRejected(elmtide_budgets::CommandRejected),
    /// More fronts have had a vote than are accounted for.
    TooManyVoters,
    /// Of a command on maintenance: the job, or why it did nothing.
    Maintenance(Result<JobId, elmtide_maintenance::CommandRejected>),
    /// Of a command on sites.
    Sites(Result<(), elmtide_sites::CommandRejected>),
}

impl CommandOutcome {
    /// Whether the command was carried out.
    pub fn is_done(&self) -> bool {
        matches!(
            self,
            CommandOutcome::Done | CommandOutcome::Maintenance(Ok(_)) | CommandOutcome::Sites(Ok(()))
        )
    }
}

/// The state that the log's commands make.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreedState {
    /// Who may spend how much.
    pub budgets: BudgetState,
    /// The store that each voting front votes with.
    pub voters: BTreeMap<FrontId, VoterId>,
    /// Machines in maintenance.
    pub maintenance: elmtide_maintenance::MaintenanceState,
    /// Sites that are lost.
    pub sites: elmtide_sites::SiteState,
}

impl AgreedState {
    fn apply_to_budgets(&mut self, command: &BudgetCommand) -> CommandOutcome {
        match self.budgets.apply(command) {
            Ok(()) => {
                self.update_presence(command);
                CommandOutcome::Done
            }
            Err(reason) => CommandOutcome::BudgetsRejected(reason),
        }
    }

    /// Fronts join and leave for all subsystems at once.
    fn update_presence(&mut self, command: &BudgetCommand) {
        match command {
            BudgetCommand::Join { holder } => self.maintenance.on_join(*holder),
            BudgetCommand::Leave { holder } => self.maintenance.on_leave(*holder),
            BudgetCommand::RemoveFront { front } => self.maintenance.on_removed(*front),
            _ => {}
        }
    }

    fn assign_voter(&mut self, front: FrontId, voter: VoterId) -> CommandOutcome {
        if self.voters.len() >= MAX_VOTERS && !self.voters.contains_key(&front) {
            return CommandOutcome::TooManyVoters;
        }
        self.voters.insert(front, voter);
        CommandOutcome::Done
    }
}

impl StateMachine for AgreedState {
    type Command = AgreedCommand;
    type Outcome = CommandOutcome;

    fn apply(&mut self, command: &AgreedCommand) -> CommandOutcome {
        match command {
            AgreedCommand::Budgets(command) => self.apply_to_budgets(command),
            AgreedCommand::AssignVoter { front, voter } => self.assign_voter(*front, *voter),
            AgreedCommand::Maintenance(command) => {
                CommandOutcome::Maintenance(self.maintenance.apply(command))
            }
            AgreedCommand::Sites(command) => CommandOutcome::Sites(self.sites.apply(command)),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(bytes: &[u8]) -> Option<AgreedState> {
        let (budgets, rest) = postcard::take_from_bytes(bytes).ok()?;
        let (voters, rest) = postcard::take_from_bytes(rest).ok()?;
        let mut state = AgreedState { budgets, voters, ..AgreedState::default() };
        // Snapshots from before there was maintenance end here, and those from before there were sites after it.
        if rest.is_empty() {
            return Some(state);
        }
        let (maintenance, rest) = postcard::take_from_bytes(rest).ok()?;
        state.maintenance = maintenance;
        if !rest.is_empty() {
            state.sites = postcard::from_bytes(rest).ok()?;
        }
        Some(state)
    }
}

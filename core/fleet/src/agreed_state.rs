//! The state that the fleet agrees on through the replicated log: the replicated states of all subsystems together.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetCommand, BudgetState, FrontId};
use elmtide_consensus::{StateMachine, VoterId};
use elmtide_maintenance::JobId;
use serde::{Deserialize, Serialize};

/// Maximum number of fronts that have ever had a vote.
const MAX_VOTERS: usize = 64;

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgreedCommand {
    /// Changes the budgets' quotas, minimums or holders.
    Budgets(BudgetCommand),
    /// Assigns a voter, that is, a store, to a front.
    AssignVoter {
        /// The front.
        front: FrontId,
        /// The id of its store.
        voter: VoterId,
    },
    /// Changes machines in maintenance.
    Maintenance(elmtide_maintenance::MaintenanceCommand),
    /// Changes lost and recovering sites.
    Sites(elmtide_sites::SiteCommand),
}

/// The outcome of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The command was carried out.
    Done,
    /// A budgets command was rejected and changed nothing.
    BudgetsRejected(elmtide_budgets::CommandRejected),
    /// No voter was assigned: as many fronts as supported have already had a vote.
    TooManyVoters,
    /// Outcome of a maintenance command: its job, or why it was rejected.
    Maintenance(Result<JobId, elmtide_maintenance::CommandRejected>),
    /// Outcome of a sites command.
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

/// The state that results from applying the log's commands in order.
///
/// Snapshots encode the fields by position, see `restore`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreedState {
    /// Quotas and guaranteed minimums of each front.
    pub budgets: BudgetState,
    /// The store that each voting front votes with.
    pub voters: BTreeMap<FrontId, VoterId>,
    /// Machines in maintenance.
    pub maintenance: elmtide_maintenance::MaintenanceState,
    /// Lost and recovering sites.
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

    /// Passes on fronts that join, leave or are removed to the other subsystems that keep track of them.
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
        // Snapshots of versions without maintenance end here; those of versions without sites end after maintenance.
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

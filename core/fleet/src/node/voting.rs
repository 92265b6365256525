//! Where this node stands with its vote.

use std::collections::{BTreeMap, VecDeque};

use elmtide_budgets::{FrontId, LeaseAllocator};
use elmtide_consensus::records::{StorageUpdate, StoredLog};
use elmtide_consensus::{CommandId, Message, Ready, RestoreError, Role, Voter, VoterId};

use crate::agreed_state::{AgreedCommand, AgreedState};

/// Ticks for which a restarted voter waits for word of a later incarnation of its own before it votes, if not all others have
/// answered; see [`FleetNode`](super::FleetNode).
const PROBATION_TICKS: u64 = 20;

/// Where this node stands with its vote.
pub(super) enum VoterState {
    /// It has no vote.
    NotVoting,
    /// The id of its new store is being synced.
    ChoosingId(VoterId),
    /// It takes part, or is about to.
    Active(Box<ActiveVoter>),
    /// Its store has failed or is stale: it does not vote any more.
    Failed,
}

/// A voter with everything that waits for its storage.
pub(super) struct ActiveVoter {
    pub voter: Voter<AgreedState>,
    /// Its update is being synced: until then the log takes no input.
    pub syncing: Option<Ready>,
    /// What came meanwhile.
    pub queued_messages: VecDeque<Message>,
    pub queued_commands: Vec<QueuedCommand>,
    /// The first snapshot of a new log, being synced.
    pub bootstrapping: Option<StorageUpdate>,
    /// `None` once it may vote.
    pub probation: Option<Probation>,
    /// `Some` while it leads.
    pub leadership: Option<Leadership>,
    pub next_plan_tick: u64,
    /// Whom to tell the outcome of a command.
    pub waiting_clients: BTreeMap<CommandKey, FrontId>,
}

/// A command that came while the log took no input.
pub(super) struct QueuedCommand {
    pub from: FrontId,
    pub id: CommandId,
    pub command: AgreedCommand,
}

/// A command id as the key of a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CommandKey {
    client: u64,
    incarnation: u64,
    sequence: u64,
}

impl From<CommandId> for CommandKey {
    fn from(id: CommandId) -> CommandKey {
        CommandKey { client: id.client, incarnation: id.incarnation, sequence: id.sequence }
    }
}

/// The time in which a restarted voter does not know yet whether its store is the latest.
pub(super) struct Probation {
    /// The tick after which a majority is enough.
    pub ends_at_tick: u64,
    /// Voters that have seen no later incarnation.
    pub vouched: Vec<FrontId>,
}

/// What a leader has beside the log: new with each term.
pub(super) struct Leadership {
    pub term: u64,
    pub allocator: LeaseAllocator,
    pub maintenance: elmtide_maintenance::MaintenanceCoordinator,
    pub sites: elmtide_sites::FailoverCoordinator,
}

impl ActiveVoter {
    /// A voter that may vote at once: its store is new, and so has no vote that could count twice.
    pub(super) fn new(id: VoterId, log: StoredLog) -> Result<Box<ActiveVoter>, RestoreError> {
        Ok(Box::new(ActiveVoter {
            voter: Voter::restore(id, log)?,
            syncing: None,
            queued_messages: VecDeque::new(),
            queued_commands: Vec::new(),
            bootstrapping: None,
            probation: None,
            leadership: None,
            next_plan_tick: 0,
            waiting_clients: BTreeMap::new(),
        }))
    }

    /// A voter of a store from before, which has to ask the others first.
    pub(super) fn on_probation(id: VoterId, log: StoredLog) -> Result<Box<ActiveVoter>, RestoreError> {
        let mut voter = ActiveVoter::new(id, log)?;
        voter.probation = Some(Probation { ends_at_tick: PROBATION_TICKS, vouched: Vec::new() });
        Ok(voter)
    }

    /// It may vote, and is not just beginning a log.
    pub(super) fn takes_part(&self) -> bool {
        self.probation.is_none() && self.bootstrapping.is_none()
    }

    /// It takes part, and nothing is being synced.
    pub(super) fn may_take_input(&self) -> bool {
        self.syncing.is_none() && self.takes_part()
    }

    /// It has taken part in a log, or been admitted to one.
    pub(super) fn has_log(&self) -> bool {
        self.voter.applied_index() > 0
    }

    /// It leads, and knows everything that was committed before.
    pub(super) fn is_leading(&self) -> bool {
        self.leadership.is_some() && self.voter.role() == Role::Leader
    }
}

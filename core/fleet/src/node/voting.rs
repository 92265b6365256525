//! The state of this node's vote.

use std::collections::{BTreeMap, VecDeque};

use elmtide_budgets::{FrontId, LeaseAllocator};
use elmtide_consensus::records::{StorageUpdate, StoredLog};
use elmtide_consensus::{CommandId, Message, Ready, RestoreError, Role, Voter, VoterId};

use crate::agreed_state::{AgreedCommand, AgreedState};

/// Probation period of a restarted voter, in ticks. After it, confirmations from a majority are enough; see
/// [`FleetNode`](super::FleetNode).
const PROBATION_TICKS: u64 = 20;

/// The state of this node's vote.
pub(super) enum VoterState {
    /// The node has no vote.
    NotVoting,
    /// The voter id of its new store is being synced.
    SyncingId(VoterId),
    /// The voter runs; it may still be on probation or waiting for its first snapshot.
    Active(Box<ActiveVoter>),
    /// Its store has failed or is stale, so it no longer votes.
    Failed,
}

/// A voter, and everything that waits for its storage.
pub(super) struct ActiveVoter {
    pub voter: Voter<AgreedState>,
    /// Its update is being synced; the log accepts no input until that has completed.
    pub syncing: Option<Ready>,
    /// Messages of other voters that arrived during the sync.
    pub queued_messages: VecDeque<Message>,
    /// Commands that arrived during the sync.
    pub queued_commands: Vec<QueuedCommand>,
    /// The first snapshot of a new log while it is being synced.
    pub bootstrapping: Option<StorageUpdate>,
    /// `None` once it may vote.
    pub probation: Option<Probation>,
    /// `Some` while this voter is the leader.
    pub leadership: Option<Leadership>,
    /// The tick at which the leader plans next.
    pub next_plan_tick: u64,
    /// The front that waits for the outcome of each proposed command.
    pub waiting_clients: BTreeMap<CommandKey, FrontId>,
}

/// A command that arrived while the log accepted no input.
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

/// State of a restarted voter that does not know yet whether its store is the latest.
pub(super) struct Probation {
    /// The tick from which confirmations from a majority are enough.
    pub ends_at_tick: u64,
    /// Fronts that have seen no later incarnation of this one.
    pub confirmed_by: Vec<FrontId>,
}

/// The leader's state outside the log; it starts anew with each term.
pub(super) struct Leadership {
    pub term: u64,
    pub allocator: LeaseAllocator,
    pub maintenance: elmtide_maintenance::MaintenanceCoordinator,
    pub sites: elmtide_sites::FailoverCoordinator,
}

impl ActiveVoter {
    /// A voter that may vote at once: its store is new, so it has cast no vote that could be counted twice.
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

    /// A voter restored from an existing store, which has to ask the other voters first.
    pub(super) fn on_probation(id: VoterId, log: StoredLog) -> Result<Box<ActiveVoter>, RestoreError> {
        let mut voter = ActiveVoter::new(id, log)?;
        voter.probation = Some(Probation { ends_at_tick: PROBATION_TICKS, confirmed_by: Vec::new() });
        Ok(voter)
    }

    /// Whether it may vote, and is not syncing the first snapshot of a new log.
    pub(super) fn is_participating(&self) -> bool {
        self.probation.is_none() && self.bootstrapping.is_none()
    }

    /// Whether it participates, and nothing is being synced.
    pub(super) fn accepts_input(&self) -> bool {
        self.syncing.is_none() && self.is_participating()
    }

    /// Whether it has taken part in a log, or been admitted to one.
    pub(super) fn has_log(&self) -> bool {
        self.voter.applied_index() > 0
    }

    /// Whether it is the leader, and knows everything that was committed before its term.
    pub(super) fn is_leading(&self) -> bool {
        self.leadership.is_some() && self.voter.role() == Role::Leader
    }
}

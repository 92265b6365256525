//! What a voter gives its caller to sync and send, and what follows once that is done.

use crate::message::Message;
use crate::records::{HardState, StorageUpdate};
use crate::{CommandId, StateMachine};

/// What has to be done before the voter can go on.
pub struct Ready {
    /// Messages that do not depend on anything that has to be synced.
    pub messages: Vec<Message>,
    /// To be synced, all of it, before [`Voter::advance`](crate::Voter::advance).
    pub update: StorageUpdate,
    /// The new hard state, also where it need not be synced: a commit index alone is found again after a restart.
    pub(crate) hard_state: Option<HardState>,
    pub(crate) raft: raft::Ready,
}

/// What follows once a [`Ready`] was synced.
pub struct Progress<M: StateMachine> {
    /// Messages that depended on what was synced.
    pub messages: Vec<Message>,
    /// Commands that are committed now, in the order of the log.
    pub applied: Vec<AppliedCommand<M>>,
    /// Read requests that a majority has acknowledged; see [`Voter::read_index`](crate::Voter::read_index).
    pub acknowledged_reads: Vec<u64>,
    /// A leader's snapshot has replaced the state.
    pub snapshot_restored: bool,
    /// To be synced without haste: until then the stored log is only longer than necessary.
    pub compaction: StorageUpdate,
}

impl<M: StateMachine> Default for Progress<M> {
    fn default() -> Self {
        Progress {
            messages: Vec::new(),
            applied: Vec::new(),
            acknowledged_reads: Vec::new(),
            snapshot_restored: false,
            compaction: StorageUpdate::default(),
        }
    }
}

/// A committed command.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedCommand<M: StateMachine> {
    /// Its index in the log.
    pub index: u64,
    /// Who submitted it as which command; `None` for the leader's own proposals.
    pub id: Option<CommandId>,
    /// The command.
    pub command: M::Command,
    /// Its outcome; `None` if it was a duplicate or stale, and so not applied.
    pub outcome: Option<M::Outcome>,
}

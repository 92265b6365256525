//! The work that a voter hands to its caller: what to sync and send, and what follows once that is synced.

use crate::message::Message;
use crate::records::{HardState, StorageUpdate};
use crate::{CommandId, StateMachine};

/// Work that the caller has to do before the voter can continue.
pub struct Ready {
    /// Messages that may be sent before `update` is synced.
    pub messages: Vec<Message>,
    /// Must be synced completely before [`Voter::advance`](crate::Voter::advance) is called.
    pub update: StorageUpdate,
    /// The new hard state, even if it need not be synced: a commit index alone is rediscovered after a restart.
    pub(crate) hard_state: Option<HardState>,
    pub(crate) raft: raft::Ready,
}

/// What follows once the update of a [`Ready`] is synced.
pub struct Progress<M: StateMachine> {
    /// Messages that had to wait for the sync.
    pub messages: Vec<Message>,
    /// Newly committed commands, in log order.
    pub applied: Vec<AppliedCommand<M>>,
    /// Read requests that may be answered now; see [`Voter::read_index`](crate::Voter::read_index).
    pub acknowledged_reads: Vec<u64>,
    /// Whether a snapshot from the leader has replaced the state.
    pub snapshot_restored: bool,
    /// May be synced at any later time: until then the stored log is merely longer than necessary.
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

/// A committed command and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedCommand<M: StateMachine> {
    /// Index of its log entry.
    pub index: u64,
    /// The client's id for the command; `None` for the leader's own proposals.
    pub id: Option<CommandId>,
    /// The command.
    pub command: M::Command,
    /// Its outcome; `None` if it was a duplicate or stale and therefore not applied.
    pub outcome: Option<M::Outcome>,
}

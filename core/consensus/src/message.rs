//! Raft's messages as types of ours, with the bounds that a peer's message has to keep.

use serde::{Deserialize, Serialize};

use crate::records::{LogEntry, Snapshot};
use crate::VoterId;

/// Most entries of one message.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 8192;
/// Most bytes of one entry.
pub const MAX_ENTRY_BYTES: usize = 256 << 10;
/// Most bytes of a message's context.
const MAX_CONTEXT_BYTES: usize = 64;

/// The kinds of messages that voters send each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "named as in the Raft paper")]
pub enum MessageKind {
    Append,
    AppendResponse,
    Vote,
    VoteResponse,
    PreVote,
    PreVoteResponse,
    Heartbeat,
    HeartbeatResponse,
    Snapshot,
    TimeoutNow,
}

/// One message between voters; the fields are those of the `raft` crate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "named as in the `raft` crate")]
pub struct Message {
    pub kind: MessageKind,
    pub from: VoterId,
    pub to: VoterId,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<LogEntry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
}

impl Message {
    /// Whether a voter of ours could have sent it.
    pub(crate) fn is_well_formed(&self) -> bool {
        let bounded = self.entries.len() <= MAX_ENTRIES_PER_MESSAGE
            && self.entries.iter().all(|entry| entry.data.len() <= MAX_ENTRY_BYTES)
            && self.context.len() <= MAX_CONTEXT_BYTES;
        let has_snapshot = self.snapshot.is_some();
        bounded && has_snapshot == (self.kind == MessageKind::Snapshot) && self.entries_are_contiguous()
    }

    /// Entries follow one another from the message's index on, and none is of a later term than the message.
    fn entries_are_contiguous(&self) -> bool {
        let first = self.index + 1;
        let in_place = |(entry, index): (&LogEntry, u64)| entry.index == index && entry.term <= self.term;
        self.entries.iter().zip(first..).all(in_place)
    }
}

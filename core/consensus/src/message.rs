//! Raft's messages as types of this crate, with the limits that a received message must respect.

use serde::{Deserialize, Serialize};

use crate::records::{LogEntry, Snapshot};
use crate::VoterId;

/// Maximum number of entries in one message.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 8192;
/// Maximum size of one entry's data, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 << 10;
/// Maximum size of a message's context, in bytes.
const MAX_CONTEXT_BYTES: usize = 64;

/// The kinds of messages that voters exchange.
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

/// One message between voters, with the same fields as the `raft` crate's message.
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
    /// Whether a correct voter could have sent this message.
    pub(crate) fn is_well_formed(&self) -> bool {
        let is_within_limits = self.entries.len() <= MAX_ENTRIES_PER_MESSAGE
            && self.entries.iter().all(|entry| entry.data.len() <= MAX_ENTRY_BYTES)
            && self.context.len() <= MAX_CONTEXT_BYTES;
        let has_snapshot = self.snapshot.is_some();
        is_within_limits
            && has_snapshot == (self.kind == MessageKind::Snapshot)
            && self.entries_are_contiguous()
    }

    /// Whether the entries directly follow the message's index without gaps and none has a later term than the message.
    fn entries_are_contiguous(&self) -> bool {
        let first = self.index + 1;
        let is_valid_at = |(entry, index): (&LogEntry, u64)| entry.index == index && entry.term <= self.term;
        self.entries.iter().zip(first..).all(is_valid_at)
    }
}

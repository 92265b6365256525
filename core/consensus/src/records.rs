//! The persistent state of a voter, and the updates that its store has to sync.

use serde::{Deserialize, Serialize};

use crate::VoterId;

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that proposed it.
    pub term: u64,
    /// Position in the log, from 1.
    pub index: u64,
    /// The encoded command; empty for an entry without a command and for a membership change.
    pub data: Vec<u8>,
    /// The encoded membership change; `None` for a normal entry.
    pub voter_change: Option<Vec<u8>>,
}

/// Raft's hard state, which is synced before a vote is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that this voter has seen.
    pub term: u64,
    /// Id of the voter that it voted for in that term; 0 for none.
    pub vote: u64,
    /// Index of the last entry that it knows to be committed.
    pub commit: u64,
}

/// The voters as of a log index. During a membership change (joint consensus) there are two sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// The current voters or, during a change, the voters after it.
    pub incoming: Vec<VoterId>,
    /// The voters before the change; empty if no change is in progress.
    pub outgoing: Vec<VoterId>,
    /// Whether the joint configuration is left automatically once the change is committed.
    pub auto_leave: bool,
}

/// The whole state as of a log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The voters at that index.
    pub voters: VoterSet,
    /// The encoded state machine and client sessions.
    pub data: Vec<u8>,
}

/// A snapshot taken by this voter, which allows the beginning of the log to be discarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compaction {
    /// The new snapshot.
    pub snapshot: Snapshot,
    /// First index that the log retains.
    pub first_index: u64,
}

/// Changes that must be on stable storage before any message that depends on them is sent. They are applied in the
/// order of the fields, as one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorageUpdate {
    /// Replaces the stored snapshot and deletes all log entries.
    pub snapshot: Option<Snapshot>,
    /// Appended to the log, replacing any existing entries from the first index on.
    pub entries: Vec<LogEntry>,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces the snapshot and discards the beginning of the log.
    pub compaction: Option<Compaction>,
}

impl StorageUpdate {
    /// Whether there is nothing to sync.
    pub fn is_empty(&self) -> bool {
        *self == StorageUpdate::default()
    }
}

/// The log state that is read from a store at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLog {
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot; index 0 if there is none.
    pub snapshot: Snapshot,
    /// The log entries, without gaps.
    pub entries: Vec<LogEntry>,
}

impl StoredLog {
    /// Whether the parts are consistent: the log has no gap, overlaps or directly follows the snapshot, and reaches at
    /// least to the end of the snapshot and to the commit index.
    pub fn is_consistent(&self) -> bool {
        let first = self.entries.first().map_or(self.snapshot.index + 1, |e| e.index);
        let contiguous = self.entries.iter().zip(first..).all(|(entry, index)| entry.index == index);
        let last = first + self.entries.len() as u64 - 1;
        let joins_snapshot = first <= self.snapshot.index + 1 && last >= self.snapshot.index;
        contiguous && joins_snapshot && self.hard_state.commit <= last
    }

    /// Applies an update to this copy, as a store applies it to its file.
    pub fn apply(&mut self, update: &StorageUpdate) {
        if let Some(snapshot) = &update.snapshot {
            self.entries.clear();
            self.replace_snapshot(snapshot);
        }
        if let Some(first) = update.entries.first() {
            self.entries.retain(|e| e.index < first.index);
            self.entries.extend(update.entries.iter().cloned());
        }
        if let Some(hard_state) = update.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(compaction) = &update.compaction {
            self.entries.retain(|e| e.index >= compaction.first_index);
            self.replace_snapshot(&compaction.snapshot);
        }
    }

    fn replace_snapshot(&mut self, snapshot: &Snapshot) {
        self.snapshot = snapshot.clone();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
    }
}

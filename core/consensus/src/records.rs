//! What a store keeps of a voter, and the updates that it has to sync.

use serde::{Deserialize, Serialize};

use crate::VoterId;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that proposed it.
    pub term: u64,
    /// Position in the log, from 1.
    pub index: u64,
    /// An encoded command; empty for an entry without one, or for a change of voters.
    pub data: Vec<u8>,
    /// An encoded change of voters; `None` for a normal entry.
    pub voter_change: Option<Vec<u8>>,
}

/// Raft's hard state: synced before a vote is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that this voter has seen.
    pub term: u64,
    /// Whom it voted for in that term; 0 for nobody.
    pub vote: u64,
    /// Index of the last entry that it knows to be committed.
    pub commit: u64,
}

/// The voters at an index; during a change both the coming and the going ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// The voters, or those after the change.
    pub incoming: Vec<VoterId>,
    /// The voters before the change; empty if none is in progress.
    pub outgoing: Vec<VoterId>,
    /// The change ends by itself once it is committed.
    pub auto_leave: bool,
}

/// The whole state up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that is in it.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The voters at that index.
    pub voters: VoterSet,
    /// The encoded state machine with its sessions.
    pub data: Vec<u8>,
}

/// A snapshot that was made here, after which the beginning of the log can go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compaction {
    /// The new snapshot.
    pub snapshot: Snapshot,
    /// First index that the log still needs.
    pub first_index: u64,
}

/// What has to be on stable storage before anything that depends on it is sent: in the order of the fields, as one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorageUpdate {
    /// Replaces everything, the log included.
    pub snapshot: Option<Snapshot>,
    /// Replace all entries from the index of the first one on.
    pub entries: Vec<LogEntry>,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Cuts the beginning of the log.
    pub compaction: Option<Compaction>,
}

impl StorageUpdate {
    /// Whether there is nothing to sync.
    pub fn is_empty(&self) -> bool {
        *self == StorageUpdate::default()
    }
}

/// The content of a store, as it is read at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLog {
    /// The last hard state.
    pub hard_state: HardState,
    /// The last snapshot; index 0 if there is none.
    pub snapshot: Snapshot,
    /// The entries, without a gap.
    pub entries: Vec<LogEntry>,
}

impl StoredLog {
    /// Whether the parts fit together: the log has no gap and begins at the snapshot or before its end.
    pub fn is_consistent(&self) -> bool {
        let first = self.entries.first().map_or(self.snapshot.index + 1, |e| e.index);
        let contiguous = self.entries.iter().zip(first..).all(|(entry, index)| entry.index == index);
        let last = first + self.entries.len() as u64 - 1;
        let joins_snapshot = first <= self.snapshot.index + 1 && last >= self.snapshot.index;
        contiguous && joins_snapshot && self.hard_state.commit <= last
    }

    /// Applies an update; for stores in memory, and for those that read it back.
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

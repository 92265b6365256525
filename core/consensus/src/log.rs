//! The in-memory copy of the log, which the `raft` crate reads through its `Storage` trait.

use raft::prelude::{Entry, HardState as RaftHardState, Snapshot as RaftSnapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

use crate::convert::{entry_to_raft, snapshot_to_raft, voters_to_raft};
use crate::records::{Compaction, HardState, Snapshot, StoredLog};

/// Index and term of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogPosition {
    pub index: u64,
    pub term: u64,
}

/// The latest snapshot and the log entries that follow `preceding`, the position before the first retained entry.
pub(crate) struct MemoryLog {
    pub hard_state: HardState,
    pub snapshot: Snapshot,
    preceding: LogPosition,
    entries: Vec<Entry>,
}

impl MemoryLog {
    pub(crate) fn new(stored: StoredLog) -> MemoryLog {
        let StoredLog { hard_state, snapshot, entries } = stored;
        let preceding = match entries.first() {
            // The term of the preceding entry is only queried if the snapshot ends there.
            Some(first) if first.index <= snapshot.index => LogPosition { index: first.index - 1, term: 0 },
            _ => LogPosition { index: snapshot.index, term: snapshot.term },
        };
        // A change of only the commit index is not synced. Entries covered by a snapshot are committed.
        let commit = hard_state.commit.max(snapshot.index);
        MemoryLog {
            hard_state: HardState { commit, ..hard_state },
            snapshot,
            preceding,
            entries: entries.into_iter().map(entry_to_raft).collect(),
        }
    }

    fn first(&self) -> u64 {
        self.preceding.index + 1
    }

    fn last(&self) -> u64 {
        self.preceding.index + self.entries.len() as u64
    }

    /// Appends entries, replacing any existing entries from the first new index on.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|e| e.index) else { return };
        let kept = first.saturating_sub(self.first()) as usize;
        self.entries.truncate(kept);
        self.entries.extend(entries);
    }

    /// Replaces the snapshot and the whole log by a snapshot received from the leader.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.preceding = LogPosition { index: snapshot.index, term: snapshot.term };
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.hard_state.term = self.hard_state.term.max(snapshot.term);
        self.snapshot = snapshot;
    }

    /// Installs a snapshot taken by this voter and discards the entries before `first_index`.
    pub(crate) fn compact(&mut self, compaction: Compaction) {
        self.snapshot = compaction.snapshot;
        let dropped = compaction.first_index.saturating_sub(self.first());
        let dropped = dropped.min(self.entries.len() as u64) as usize;
        if dropped > 0 {
            let last = &self.entries[dropped - 1];
            self.preceding = LogPosition { index: last.index, term: last.term };
            self.entries.drain(..dropped);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> Result<RaftState> {
        let mut hard_state = RaftHardState::default();
        hard_state.term = self.hard_state.term;
        hard_state.vote = self.hard_state.vote;
        hard_state.commit = self.hard_state.commit;
        Ok(RaftState { hard_state, conf_state: voters_to_raft(&self.snapshot.voters) })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let offset = |index: u64| (index - self.first()) as usize;
        let mut entries = self.entries[offset(low)..offset(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        if index == self.preceding.index {
            return Ok(self.preceding.term);
        }
        if index < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.first()) as usize);
        entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<RaftSnapshot> {
        if self.snapshot.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(snapshot_to_raft(self.snapshot.clone()))
    }
}

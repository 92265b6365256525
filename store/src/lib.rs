//! Stable storage of a process: the id and the log of a voter, the front's incarnation, its guaranteed minimums.
//!
//! **Invariant: what a call has reported as written is there after any crash, and a store that can't be trusted is rejected,
//! never guessed at.** It rests on the file system keeping what it synced, and on `redb` (one file, one process at a time,
//! transactions). Each record has a checksum of its own besides, the file names its format and its installation, and each
//! opening raises the incarnation.
//!
//! | what is found | what is done |
//! | --- | --- |
//! | no file, or an empty one | a new store, incarnation 1; where there is no file it is put there once it is whole |
//! | another process has it open | rejected: [`StoreError::InUse`] |
//! | of another installation or a later format | rejected, the file is left as it is |
//! | torn, a record that does not fit its checksum, a log with a gap | rejected: [`StoreError::Corrupt`] |
//! | a copy from before | not seen here: others have seen a later incarnation, see `elmtide_fleet::Member` |
//! | full, or failing | the call fails, nothing of it counts as written; nothing more is written by this opening |
//! | well again | [`Store::rewrite`]: read, and written anew into another file, which takes its place |
//!
//! After a sync that failed, the system's cache may show as written what the disk never got, and a later sync of the same file
//! succeeds over it. So a file whose writes have failed is not written on: its content goes whole into a new file.

mod error;
mod record;
mod replacement;

use std::path::{Path, PathBuf};

use elmtide_budgets::GuaranteedMinimums;
use elmtide_consensus::records::{HardState, LogEntry, StorageUpdate, StoredLog};
use elmtide_consensus::VoterId;
use elmtide_fleet::RecoveredState;
use redb::{
    Builder, Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend,
    StorageError, TableDefinition,
};
use redb::{TableError, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::Serialize;

pub use error::{Corruption, StoreError};
use record::{decode, encode};

pub(crate) const FORMAT_VERSION: u32 = 1;
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Memory that the database uses to cache its file, in bytes.
const CACHE_BYTES: usize = 1 << 20;

/// Keys of the meta table.
mod key {
    pub(crate) const FORMAT: &str = "format";
    pub(crate) const INSTALLATION: &str = "installation";
    pub(crate) const INCARNATION: &str = "incarnation";
    pub(crate) const VOTER: &str = "voter";
    pub(crate) const MINIMUMS: &str = "floors";
    pub(crate) const HARD_STATE: &str = "vote";
    pub(crate) const SNAPSHOT: &str = "state";
}

/// An open store. The file is this process's alone while it is open.
pub struct Store {
    database: Database,
    path: PathBuf,
}

impl Store {
    /// Opens a store, or creates it, and raises the incarnation, which is synced before this returns.
    ///
    /// # Errors
    /// If the file is in use, belongs to another installation or format, can't be trusted, or can't be read or written.
    pub fn open(path: &Path, installation: &str) -> Result<(Store, RecoveredState), StoreError> {
        if !path.exists() {
            if let Some(created) = Store::create(path, installation)? {
                return Ok(created);
            }
            // Another process was quicker.
        }
        let database = database_builder().create(path).map_err(open_error)?;
        Store { database, path: path.to_owned() }.begin(installation)
    }

    /// Creates a store beside its path, and puts it there whole: a process killed in the middle leaves nothing there that would
    /// be refused later. `None` if there is one by now.
    fn create(path: &Path, installation: &str) -> Result<Option<(Store, RecoveredState)>, StoreError> {
        let new_path = replacement::new_path(path);
        let database = database_builder().create(&new_path).map_err(open_error)?;
        let created = Store { database, path: path.to_owned() }.begin(installation)?;
        if !replacement::put_if_absent(&new_path, path).map_err(StoreError::Rewrite)? {
            return Ok(None);
        }
        replacement::remove_leftovers(path);
        Ok(Some(created))
    }

    /// Opens a store, or creates it, on storage that is no file: what a disk does in a crash can be simulated by it.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on(
        storage: impl StorageBackend,
        installation: &str,
    ) -> Result<(Store, RecoveredState), StoreError> {
        let database = database_builder().create_with_backend(storage).map_err(open_error)?;
        Store { database, path: PathBuf::new() }.begin(installation)
    }

    /// Reads what is there, and raises the incarnation.
    fn begin(self, installation: &str) -> Result<(Store, RecoveredState), StoreError> {
        let store = self;
        let mut recovered = store.read(installation)?;
        recovered.incarnation += 1;
        store.write(|transaction| {
            put(transaction, key::FORMAT, &FORMAT_VERSION)?;
            put(transaction, key::INSTALLATION, &installation)?;
            put(transaction, key::INCARNATION, &recovered.incarnation)
        })?;
        Ok((store, recovered))
    }

    /// Opens a store whose writes have failed: reads what it has, writes it anew into a file that is synced and takes its place,
    /// and raises the incarnation. What was reported as written is in it; of a write that has failed, all or nothing.
    ///
    /// # Errors
    /// As [`Store::open`], and if the new file can't take the old one's place. The store is as it was, or the new one already.
    pub fn rewrite(path: &Path, installation: &str) -> Result<(Store, RecoveredState), StoreError> {
        // Open until the new one is in its place: it keeps other processes out.
        let old =
            Store { database: database_builder().open(path).map_err(open_error)?, path: path.to_owned() };
        let mut state = old.read(installation)?;
        state.incarnation += 1;
        replacement::remove_leftovers(path);
        let new_path = replacement::new_path(path);
        let database = database_builder().create(&new_path).map_err(open_error)?;
        let new = Store { database, path: path.to_owned() };
        new.write_state(installation, &state)?;
        replacement::put(&new_path, path).map_err(StoreError::Rewrite)?;
        Ok((new, state))
    }

    /// The whole content of a new file.
    fn write_state(&self, installation: &str, state: &RecoveredState) -> Result<(), StoreError> {
        self.write(|transaction| {
            put(transaction, key::FORMAT, &FORMAT_VERSION)?;
            put(transaction, key::INSTALLATION, &installation)?;
            put(transaction, key::INCARNATION, &state.incarnation)?;
            if let Some(voter) = &state.voter {
                put(transaction, key::VOTER, voter)?;
            }
            put(transaction, key::MINIMUMS, &state.minimums)?;
            put(transaction, key::HARD_STATE, &state.log.hard_state)?;
            put(transaction, key::SNAPSHOT, &state.log.snapshot)?;
            let mut log = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            for entry in &state.log.entries {
                log.insert(entry.index, &encode(entry)?[..]).map_err(StoreError::database)?;
            }
            Ok(())
        })
    }

    fn read(&self, installation: &str) -> Result<RecoveredState, StoreError> {
        let transaction = self.database.begin_read().map_err(StoreError::database)?;
        let Some(meta) = MetaRecords::open(&transaction)? else { return Ok(empty_state()) };
        meta.check_identity(installation)?;
        let mut state = empty_state();
        state.incarnation = meta.get(key::INCARNATION)?.ok_or(Corruption::NoIncarnation)?;
        state.voter = meta.get(key::VOTER)?;
        state.minimums = meta.get(key::MINIMUMS)?.unwrap_or_default();
        state.log = StoredLog {
            hard_state: meta.get::<HardState>(key::HARD_STATE)?.unwrap_or_default(),
            snapshot: meta.get(key::SNAPSHOT)?.unwrap_or_default(),
            entries: read_entries(&transaction)?,
        };
        if !state.log.is_consistent() {
            return Err(Corruption::InconsistentLog.into());
        }
        Ok(state)
    }

    /// One transaction, synced when this returns.
    fn write(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let transaction = self.database.begin_write().map_err(StoreError::database)?;
        change(&transaction)?;
        transaction.commit().map_err(StoreError::database)
    }

    /// Writes an update of the log: all of it, or nothing.
    ///
    /// # Errors
    /// If the file can't be written; the store has its content from before then.
    pub fn write_log(&self, update: &StorageUpdate) -> Result<(), StoreError> {
        self.write(|transaction| {
            let mut log = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            if let Some(snapshot) = &update.snapshot {
                put(transaction, key::SNAPSHOT, snapshot)?;
                log.retain(|_, _| false).map_err(StoreError::database)?;
            }
            if let Some(first) = update.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(StoreError::database)?;
            }
            for entry in &update.entries {
                log.insert(entry.index, &encode(entry)?[..]).map_err(StoreError::database)?;
            }
            if let Some(hard_state) = &update.hard_state {
                put(transaction, key::HARD_STATE, hard_state)?;
            }
            if let Some(compaction) = &update.compaction {
                put(transaction, key::SNAPSHOT, &compaction.snapshot)?;
                log.retain_in(..compaction.first_index, |_, _| false).map_err(StoreError::database)?;
            }
            Ok(())
        })
    }

    /// Writes the id of the voter that this store belongs to.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_voter_id(&self, voter: VoterId) -> Result<(), StoreError> {
        self.write(|transaction| put(transaction, key::VOTER, &voter))
    }

    /// Writes the guaranteed minimums that this front may use from now on.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_minimums(&self, minimums: &GuaranteedMinimums) -> Result<(), StoreError> {
        self.write(|transaction| put(transaction, key::MINIMUMS, minimums))
    }

    /// Forgets everything but the installation, and goes on after an incarnation that others have seen.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn reset(&self, seen_incarnation: u64) -> Result<RecoveredState, StoreError> {
        let mut state = empty_state();
        state.incarnation = seen_incarnation + 1;
        self.write(|transaction| {
            let mut log = transaction.open_table(LOG_TABLE).map_err(StoreError::database)?;
            log.retain(|_, _| false).map_err(StoreError::database)?;
            let mut meta = transaction.open_table(META_TABLE).map_err(StoreError::database)?;
            for key in [key::VOTER, key::MINIMUMS, key::HARD_STATE, key::SNAPSHOT] {
                meta.remove(key).map_err(StoreError::database)?;
            }
            drop(meta);
            put(transaction, key::INCARNATION, &state.incarnation)
        })?;
        Ok(state)
    }

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn database_builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

fn open_error(error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch => StoreError::InUse,
        DatabaseError::UpgradeRequired(found) => StoreError::UnknownFormat { found: u32::from(found) },
        DatabaseError::Storage(error) if is_corruption(&error) => Corruption::database(error).into(),
        other => StoreError::database(other),
    }
}

fn is_corruption(error: &StorageError) -> bool {
    match error {
        StorageError::Corrupted(_) => true,
        StorageError::Io(error) => error.kind() == std::io::ErrorKind::InvalidData,
        _ => false,
    }
}

fn empty_state() -> RecoveredState {
    RecoveredState { durable: true, ..RecoveredState::default() }
}

/// The meta table in one read transaction.
struct MetaRecords(redb::ReadOnlyTable<&'static str, &'static [u8]>);

impl MetaRecords {
    /// `None` in a new store.
    fn open(transaction: &ReadTransaction) -> Result<Option<MetaRecords>, Corruption> {
        match transaction.open_table(META_TABLE) {
            Ok(table) => Ok(Some(MetaRecords(table))),
            Err(TableError::TableDoesNotExist(_)) => Ok(None),
            Err(error) => Err(Corruption::database(error)),
        }
    }

    fn get<T: DeserializeOwned>(&self, key: &'static str) -> Result<Option<T>, Corruption> {
        let record = self.0.get(key).map_err(Corruption::database)?;
        record.map(|record| decode(key, record.value())).transpose()
    }

    /// Checks the format before anything else is decoded, then the installation.
    fn check_identity(&self, installation: &str) -> Result<(), StoreError> {
        let format: u32 = self.get(key::FORMAT)?.ok_or(Corruption::NoFormat)?;
        if format != FORMAT_VERSION {
            return Err(StoreError::UnknownFormat { found: format });
        }
        let found: String = self.get(key::INSTALLATION)?.unwrap_or_default();
        if found != installation {
            return Err(StoreError::OtherInstallation { found });
        }
        Ok(())
    }
}

fn read_entries(transaction: &ReadTransaction) -> Result<Vec<LogEntry>, Corruption> {
    let log = match transaction.open_table(LOG_TABLE) {
        Ok(log) => log,
        Err(TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
        Err(error) => return Err(Corruption::database(error)),
    };
    let mut entries = Vec::new();
    for row in log.iter().map_err(Corruption::database)? {
        let (index, record) = row.map_err(Corruption::database)?;
        let entry: LogEntry = decode("an entry", record.value())?;
        if entry.index != index.value() {
            return Err(Corruption::MisplacedEntry);
        }
        entries.push(entry);
    }
    Ok(entries)
}

fn put(transaction: &WriteTransaction, key: &str, value: &impl Serialize) -> Result<(), StoreError> {
    let mut meta = transaction.open_table(META_TABLE).map_err(StoreError::database)?;
    meta.insert(key, &encode(value)?[..]).map_err(StoreError::database)?;
    Ok(())
}

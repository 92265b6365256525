//! Durable state of a process: the id and the log of its voter, the front's incarnation, and its guaranteed minimums.
//!
//! **Invariant: data that a call has reported as written survives any crash, and a store that cannot be trusted is
//! rejected, never repaired by guessing.** This assumes that the file system keeps what it synced, and that `redb`
//! provides transactions on one file that one process has open at a time. In addition, each record has its own
//! checksum, the file records its format and its installation, and each opening raises the incarnation.
//!
//! | condition | reaction |
//! | --- | --- |
//! | no file, or an empty one | a new store with incarnation 1; a missing file only appears once it is complete |
//! | open in another process | rejected: [`StoreError::InUse`] |
//! | another installation, or another format | rejected; the file is left unchanged |
//! | torn file, wrong checksum of a record, gap in the log | rejected: [`StoreError::Corrupt`] |
//! | an old copy of the store | not detected here; others know a later incarnation, see `elmtide_fleet::Member` |
//! | disk full or failing | the call fails, none of its data counts as written; no more writes through this [`Store`] |
//! | disk working again | [`Store::rewrite`] copies the content to a new file, which replaces the old one |
//!
//! After a failed sync, the system's cache may show data as written that never reached the disk, and a later sync of
//! the same file succeeds nevertheless. Therefore a file is not written to after a failed write: its whole content is
//! written to a new file instead.

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
/// Size of the database's cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;

/// Record keys of the meta table.
mod key {
    pub(crate) const FORMAT: &str = "format";
    pub(crate) const INSTALLATION: &str = "installation";
    pub(crate) const INCARNATION: &str = "incarnation";
    pub(crate) const VOTER: &str = "voter";
    pub(crate) const MINIMUMS: &str = "floors";
    pub(crate) const HARD_STATE: &str = "vote";
    pub(crate) const SNAPSHOT: &str = "state";
}

/// An open store. The file is locked against other processes while it is open.
pub struct Store {
    database: Database,
    path: PathBuf,
}

impl Store {
    /// Opens or creates a store and raises the incarnation, which is synced before this returns.
    ///
    /// # Errors
    /// If the file is in use, belongs to another installation, has another format, is corrupt, or cannot be read or
    /// written.
    pub fn open(path: &Path, installation: &str) -> Result<(Store, RecoveredState), StoreError> {
        if !path.exists() {
            if let Some(created) = Store::create(path, installation)? {
                return Ok(created);
            }
            // Another process has created it in the meantime.
        }
        let database = database_builder().create(path).map_err(open_error)?;
        Store { database, path: path.to_owned() }.raise_incarnation(installation)
    }

    /// Creates a store in a temporary file and moves it to its path once it is complete, so that a process killed
    /// in between leaves nothing at the path that would be rejected later. `None` if another process has created the
    /// store.
    fn create(path: &Path, installation: &str) -> Result<Option<(Store, RecoveredState)>, StoreError> {
        let temporary_path = replacement::temporary_path(path);
        let database = database_builder().create(&temporary_path).map_err(open_error)?;
        let created = Store { database, path: path.to_owned() }.raise_incarnation(installation)?;
        if !replacement::move_if_absent(&temporary_path, path).map_err(StoreError::Rewrite)? {
            return Ok(None);
        }
        replacement::remove_leftovers(path);
        Ok(Some(created))
    }

    /// Opens or creates a store on the given storage instead of a file. Tests use this to simulate the effect of a
    /// crash on a disk.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on(
        storage: impl StorageBackend,
        installation: &str,
    ) -> Result<(Store, RecoveredState), StoreError> {
        let database = database_builder().create_with_backend(storage).map_err(open_error)?;
        Store { database, path: PathBuf::new() }.raise_incarnation(installation)
    }

    /// Reads the content and raises the incarnation.
    fn raise_incarnation(self, installation: &str) -> Result<(Store, RecoveredState), StoreError> {
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

    /// Opens a store whose writes have failed: reads its content, writes it to a new, synced file that replaces the
    /// old one, and raises the incarnation. The new file contains everything that was reported as written, and either
    /// all or nothing of a write that has failed.
    ///
    /// # Errors
    /// As [`Store::open`], and if the new file cannot replace the old one. The path then holds either the old or the
    /// complete new store.
    pub fn rewrite(path: &Path, installation: &str) -> Result<(Store, RecoveredState), StoreError> {
        // Stays open until the new file is in place, which keeps other processes out.
        let old =
            Store { database: database_builder().open(path).map_err(open_error)?, path: path.to_owned() };
        let mut state = old.read(installation)?;
        state.incarnation += 1;
        replacement::remove_leftovers(path);
        let temporary_path = replacement::temporary_path(path);
        let database = database_builder().create(&temporary_path).map_err(open_error)?;
        let new = Store { database, path: path.to_owned() };
        new.write_state(installation, &state)?;
        replacement::replace(&temporary_path, path).map_err(StoreError::Rewrite)?;
        Ok((new, state))
    }

    /// Writes the whole content of a new file.
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

    /// Runs one write transaction, which is synced when this returns.
    fn write(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let transaction = self.database.begin_write().map_err(StoreError::database)?;
        change(&transaction)?;
        transaction.commit().map_err(StoreError::database)
    }

    /// Writes an update of the log atomically.
    ///
    /// # Errors
    /// If the file cannot be written. The store then has its previous content.
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
    /// If the file cannot be written.
    pub fn write_voter_id(&self, voter: VoterId) -> Result<(), StoreError> {
        self.write(|transaction| put(transaction, key::VOTER, &voter))
    }

    /// Writes the guaranteed minimums that this front may use from now on.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn write_minimums(&self, minimums: &GuaranteedMinimums) -> Result<(), StoreError> {
        self.write(|transaction| put(transaction, key::MINIMUMS, minimums))
    }

    /// Deletes everything except the format and the installation, and continues with an incarnation above one that
    /// other fronts have seen.
    ///
    /// # Errors
    /// If the file cannot be written.
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

    /// The path of the file.
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

/// The meta table as seen by one read transaction.
struct MetaRecords(redb::ReadOnlyTable<&'static str, &'static [u8]>);

impl MetaRecords {
    /// Opens the table; `None` in a new store.
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

    /// Checks the format, before anything else is decoded, and then the installation.
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
        let entry: LogEntry = decode("log entry", record.value())?;
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

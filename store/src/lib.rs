//! What must outlive a process: the number and the log of a voter, the front's incarnation, its floors.
//!
//! **Invariant: what a call said is kept is there after any crash, and a store that can't be trusted is refused, never guessed at.**
//! It rests on the file system keeping what it synced, and on `redb` (one file, one process at a time, transactions). Each
//! record has a checksum of its own besides, the file says its format and its installation, and each opening raises the incarnation.
//!
//! | what is found | what is done |
//! | --- | --- |
//! | no file | a new store, incarnation 1 |
//! | another process has it | refused: [`StoreError::InUse`] |
//! | of another installation or a format to come | refused, the file is left as it is |
//! | torn, a record that does not fit its checksum, a log with a hole | refused: [`StoreError::Torn`] |
//! | a copy from before | not seen here: others have seen a later incarnation, see `elmtide_fleet::Member` |
//! | full | the call fails, nothing of it is kept; the voter votes no more |

use std::fmt;
use std::path::{Path, PathBuf};

use elmtide_budgets::GuaranteedMinimums;
use elmtide_consensus::records::{HardState, LogEntry, StorageUpdate, StoredLog};
use elmtide_consensus::VoterId;
use elmtide_fleet::Kept;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FORMAT: u32 = 1;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Memory that the database keeps of its file.
const CACHE: usize = 1 << 20;

#[derive(Debug)]
pub enum StoreError {
    /// Another process has it open.
    InUse,
    /// Of another installation.
    Foreign { of: String },
    /// Written by another version.
    Format { found: u32 },
    /// It can't be trusted: what does not fit.
    Torn(String),
    /// The file system said no.
    Io(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::InUse => write!(f, "another process has the store open: end it first"),
            StoreError::Foreign { of } => {
                write!(f, "the store is of the installation {of:?}: name another file, or take this one away")
            }
            StoreError::Format { found } => {
                write!(f, "the store is of format {found}, this program knows {FORMAT}")
            }
            StoreError::Torn(why) => {
                write!(
                    f,
                    "the store can't be trusted ({why}): take it away, the front comes back as a new voter"
                )
            }
            StoreError::Io(why) => write!(f, "the store can't be read or written: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

fn failed(why: impl fmt::Display) -> StoreError {
    StoreError::Io(why.to_string())
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let body = postcard::to_allocvec(value).map_err(failed)?;
    Ok([&crc32c::crc32c(&body).to_le_bytes()[..], &body].concat())
}

fn decode<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let torn = || StoreError::Torn(format!("{what} does not fit its checksum"));
    let (sum, body) = bytes.split_at_checked(4).ok_or_else(torn)?;
    if crc32c::crc32c(body).to_le_bytes() != sum {
        return Err(torn());
    }
    postcard::from_bytes(body).map_err(|_| torn())
}

pub struct Store {
    db: Database,
    path: PathBuf,
}

impl Store {
    /// Opens it, or makes a new one, and raises the incarnation, which is synced before this returns.
    pub fn open(path: &Path, installation: &str) -> Result<(Store, Kept), StoreError> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        let db = builder.create(path).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch => StoreError::InUse,
            DatabaseError::UpgradeRequired(found) => StoreError::Format { found: u32::from(found) },
            DatabaseError::Storage(redb::StorageError::Corrupted(why)) => StoreError::Torn(why),
            DatabaseError::Storage(redb::StorageError::Io(why))
                if why.kind() == std::io::ErrorKind::InvalidData =>
            {
                StoreError::Torn(why.to_string())
            }
            other => failed(other),
        })?;
        let store = Store { db, path: path.to_owned() };
        let mut kept = store.read(installation)?;
        kept.incarnation += 1;
        store.write(|write| {
            put(write, "format", &FORMAT)?;
            put(write, "installation", &installation)?;
            put(write, "incarnation", &kept.incarnation)
        })?;
        Ok((store, kept))
    }

    fn read(&self, installation: &str) -> Result<Kept, StoreError> {
        let read = self.db.begin_read().map_err(failed)?;
        let meta = match read.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(new_kept()),
            Err(why) => return Err(StoreError::Torn(why.to_string())),
        };
        let get = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let value = meta.get(key).map_err(|e| StoreError::Torn(e.to_string()))?;
            Ok(value.map(|v| v.value().to_vec()))
        };
        fn read_as<T: DeserializeOwned>(what: &str, bytes: Option<Vec<u8>>) -> Result<Option<T>, StoreError> {
            bytes.map(|b| decode(what, &b)).transpose()
        }
        let format: u32 =
            read_as("format", get("format")?)?.ok_or(StoreError::Torn("it says no format".into()))?;
        if format != FORMAT {
            return Err(StoreError::Format { found: format });
        }
        let of: String = read_as("installation", get("installation")?)?.unwrap_or_default();
        if of != installation {
            return Err(StoreError::Foreign { of });
        }
        let incarnation: Option<u64> = read_as("incarnation", get("incarnation")?)?;
        let mut kept = new_kept();
        kept.incarnation = incarnation.ok_or(StoreError::Torn("it has no incarnation".into()))?;
        kept.voter = read_as("voter", get("voter")?)?;
        kept.floors = read_as("floors", get("floors")?)?.unwrap_or_default();
        let mut stored = StoredLog {
            hard_state: read_as::<HardState>("vote", get("vote")?)?.unwrap_or_default(),
            snapshot: read_as("state", get("state")?)?.unwrap_or_default(),
            entries: Vec::new(),
        };
        match read.open_table(LOG) {
            Ok(log) => {
                for row in log.iter().map_err(|e| StoreError::Torn(e.to_string()))? {
                    let (index, value) = row.map_err(|e| StoreError::Torn(e.to_string()))?;
                    let entry: LogEntry = decode("an entry", value.value())?;
                    if entry.index != index.value() {
                        return Err(StoreError::Torn("an entry is in another's place".into()));
                    }
                    stored.entries.push(entry);
                }
            }
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(why) => return Err(StoreError::Torn(why.to_string())),
        }
        if !stored.is_consistent() {
            return Err(StoreError::Torn("the log has a hole, or does not fit its state".into()));
        }
        kept.stored = stored;
        Ok(kept)
    }

    /// One transaction, synced when this returns.
    fn write(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(failed)?;
        change(&write)?;
        write.commit().map_err(failed)
    }

    /// The log's part, whole or not at all.
    pub fn keep(&self, persist: &StorageUpdate) -> Result<(), StoreError> {
        self.write(|write| {
            let mut log = write.open_table(LOG).map_err(failed)?;
            if let Some(kept) = &persist.snapshot {
                put(write, "state", kept)?;
                log.retain(|_, _| false).map_err(failed)?;
            }
            if let Some(first) = persist.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(failed)?;
                for entry in &persist.entries {
                    log.insert(entry.index, &encode(entry)?[..]).map_err(failed)?;
                }
            }
            if let Some(vote) = &persist.hard_state {
                put(write, "vote", vote)?;
            }
            if let Some(compaction) = &persist.compaction {
                put(write, "state", &compaction.snapshot)?;
                log.retain_in(..compaction.first_index, |_, _| false).map_err(failed)?;
            }
            Ok(())
        })
    }

    pub fn keep_number(&self, voter: VoterId) -> Result<(), StoreError> {
        self.write(|write| put(write, "voter", &voter))
    }

    pub fn keep_floors(&self, floors: &GuaranteedMinimums) -> Result<(), StoreError> {
        self.write(|write| put(write, "floors", floors))
    }

    /// Forgets all but the installation, and goes on after an incarnation that others have seen.
    pub fn begin_anew(&self, seen: u64) -> Result<Kept, StoreError> {
        let mut kept = new_kept();
        kept.incarnation = seen + 1;
        self.write(|write| {
            let mut log = write.open_table(LOG).map_err(failed)?;
            log.retain(|_, _| false).map_err(failed)?;
            let mut meta = write.open_table(META).map_err(failed)?;
            for key in ["voter", "floors", "vote", "state"] {
                meta.remove(key).map_err(failed)?;
            }
            drop(meta);
            put(write, "incarnation", &kept.incarnation)
        })?;
        Ok(kept)
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

fn new_kept() -> Kept {
    Kept { lasting: true, ..Kept::default() }
}

fn put(write: &WriteTransaction, key: &str, value: &impl Serialize) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).map_err(failed)?;
    meta.insert(key, &encode(value)?[..]).map_err(failed)?;
    Ok(())
}

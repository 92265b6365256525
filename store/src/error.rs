//! Errors of opening, reading and writing a store.

use crate::FORMAT_VERSION;

/// Why a store cannot be opened, read or written. Where an operator can act, the message says how.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("the store is in use by another process: stop that process first")]
    InUse,
    /// The store belongs to another installation.
    #[error("the store belongs to the installation {found:?}: configure another file or remove this one")]
    OtherInstallation {
        /// The installation recorded in the file.
        found: String,
    },
    /// The store was written in a format that this version of the program does not support.
    #[error("the store has format {found}, but this program supports format {FORMAT_VERSION}")]
    UnknownFormat {
        /// The format recorded in the file.
        found: u32,
    },
    /// The store's content is corrupt.
    #[error("the store is corrupt ({0}): remove it, and the front rejoins as a new voter")]
    Corrupt(#[from] Corruption),
    /// The file system or the database failed.
    #[error("the store cannot be read or written: {0}")]
    Database(#[source] Box<redb::Error>),
    /// A newly written file could not be moved to the store's path.
    #[error("the new store file cannot be put in place: {0}")]
    Rewrite(#[source] std::io::Error),
    /// A record cannot be encoded.
    #[error("a record of the store cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
}

impl StoreError {
    pub(crate) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }
}

/// Evidence that a store's content is not what was written.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A record does not match its checksum or cannot be decoded.
    #[error("the record {record:?} does not match its checksum or cannot be decoded")]
    Checksum {
        /// The record's name.
        record: &'static str,
    },
    /// The format record is missing.
    #[error("the format record is missing")]
    NoFormat,
    /// The incarnation record is missing.
    #[error("the incarnation record is missing")]
    NoIncarnation,
    /// A log entry is stored under an index other than its own.
    #[error("a log entry is stored under another entry's index")]
    MisplacedEntry,
    /// The log has a gap or does not match its snapshot.
    #[error("the log has a gap or does not match its snapshot")]
    InconsistentLog,
    /// The database detected that its file is corrupt.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
}

impl Corruption {
    pub(crate) fn database(error: impl Into<redb::Error>) -> Corruption {
        Corruption::Database(Box::new(error.into()))
    }
}

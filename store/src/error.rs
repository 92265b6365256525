//! Why a store can't be used.

use crate::FORMAT_VERSION;

/// Why a store can't be opened, read or written; the text says what an operator does next.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("another process has the store open: end it first")]
    InUse,
    /// It belongs to another installation.
    #[error("the store is of the installation {found:?}: name another file, or take this one away")]
    OtherInstallation {
        /// The installation that the file names.
        found: String,
    },
    /// Another version of the program wrote it.
    #[error("the store is of format {found}, this program knows {FORMAT_VERSION}")]
    UnknownFormat {
        /// The format that the file names.
        found: u32,
    },
    /// Its content can't be trusted.
    #[error("the store can't be trusted ({0}): take it away, the front comes back as a new voter")]
    Corrupt(#[from] Corruption),
    /// The file system or the database failed.
    #[error("the store can't be read or written: {0}")]
    Database(#[source] Box<redb::Error>),
    /// The file that is to take the store's place can't be put there.
    #[error("the store can't be written anew: {0}")]
    Rewrite(#[source] std::io::Error),
    /// A record can't be encoded.
    #[error("the store can't be read or written: {0}")]
    Encoding(#[from] postcard::Error),
}

impl StoreError {
    pub(crate) fn database(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Database(Box::new(error.into()))
    }
}

/// What shows that a store's content is not what was written.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A record does not fit its checksum, or can't be decoded.
    #[error("{record} does not fit its checksum")]
    Checksum {
        /// The record's name.
        record: &'static str,
    },
    /// The file does not name its format.
    #[error("it says no format")]
    NoFormat,
    /// The incarnation is missing.
    #[error("it has no incarnation")]
    NoIncarnation,
    /// An entry's index is not the one that it is stored under.
    #[error("an entry is in another's place")]
    MisplacedEntry,
    /// The log has a gap, or does not fit its snapshot.
    #[error("the log has a hole, or does not fit its state")]
    InconsistentLog,
    /// The database finds its own file corrupt.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
}

impl Corruption {
    pub(crate) fn database(error: impl Into<redb::Error>) -> Corruption {
        Corruption::Database(Box::new(error.into()))
    }
}

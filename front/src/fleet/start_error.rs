//! Why the fleet can't be started.

use std::io;
use std::path::PathBuf;

use elmtide_fleet::NodeError;
use elmtide_store::StoreError;

use crate::fleet::config_error::FleetConfigError;

/// Why the fleet can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The fleet's file does not name this front.
    #[error("there is no [[front]] with the name {0:?}")]
    UnknownFront(String),
    /// The fleet's file can't be used.
    #[error(transparent)]
    Config(#[from] FleetConfigError),
    /// The spend log can't be written.
    #[error("{0}")]
    SpendLog(String),
    /// The store can't be used.
    #[error("{}: {error}", path.display())]
    Store {
        /// Its path.
        path: PathBuf,
        /// The cause.
        #[source]
        error: StoreError,
    },
    /// A socket, a file or a thread can't be opened or started.
    #[error("{what}: {error}")]
    Io {
        /// The address, the path or the name of the thread.
        what: String,
        /// The cause.
        #[source]
        error: io::Error,
    },
    /// The node can't be started from its store.
    #[error(transparent)]
    Node(#[from] NodeError),
}

impl StartError {
    /// Makes an error of an I/O error on `what`; for `map_err`.
    pub(crate) fn io(what: impl ToString) -> impl FnOnce(io::Error) -> StartError {
        let what = what.to_string();
        move |error| StartError::Io { what, error }
    }
}

//! Why a configuration of the second front is not in force.

use std::io;

use crate::lifecycle::listen_address::Listens;
use crate::process::socket_error::{remedy, Call, Remedy};
use crate::process::transient::is_transient;

/// Why a configuration was not put in force. The previous configuration stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The file is invalid, or something that it names can't be used.
    #[error("{0}")]
    Rejected(String),
    /// The plan was made against a configuration that is no longer in force.
    #[error("the plan was made against another state than the one in force")]
    Stale,
    /// An address of the file can't be bound.
    #[error("{listens}: {error}")]
    Address { listens: Listens, error: io::Error },
    /// The server of an address can't be started.
    #[error("edge: {0}")]
    Start(io::Error),
}

impl ApplyError {
    /// Whether applying the same file later may succeed.
    pub fn may_pass(&self) -> bool {
        match self {
            ApplyError::Rejected(_) | ApplyError::Stale => false,
            ApplyError::Address { error, .. } => {
                matches!(remedy(Call::Bind, error), Remedy::BackOff | Remedy::RetryNow)
            }
            ApplyError::Start(error) => is_transient(error),
        }
    }
}

impl From<String> for ApplyError {
    fn from(reason: String) -> ApplyError {
        ApplyError::Rejected(reason)
    }
}

//! The operator's end of the socket: one line to the front that runs on this machine, and its answer.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::fleet::operator_request::{OperatorReply, OperatorRequest};
use crate::fleet::status_view::FleetStatusView;

/// How long each end waits for the other.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(7);
/// The longest answer that is read.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Why the front gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The socket can't be used.
    #[error("{}: {error}", path.display())]
    Io {
        /// Where the socket is.
        path: PathBuf,
        /// Why.
        #[source]
        error: std::io::Error,
    },
    /// The status is empty or can't be read.
    #[error("the front has nothing to show yet, or it can't be read: {0}")]
    NoStatus(#[source] serde_json::Error),
    /// The front has answered with a text of its own.
    #[error("{0}")]
    Refused(String),
    /// The request can't be written.
    #[error(transparent)]
    Unwritable(#[from] serde_json::Error),
}

/// Sends one line to the front that runs here, and reads its answer.
///
/// # Errors
/// If the socket can't be used, or the answer takes longer than [`CALL_TIMEOUT`].
pub fn call(path: &Path, line: &str) -> Result<String, ClientError> {
    let failed = |error: std::io::Error| ClientError::Io { path: path.to_owned(), error };
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).map_err(failed)?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(failed)?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut text).map_err(failed)?;
    Ok(text)
}

/// The status of the front that runs here.
///
/// # Errors
/// If there is no front, or it has nothing to show yet.
pub fn status(path: &Path) -> Result<FleetStatusView, ClientError> {
    let text = call(path, "show")?;
    serde_json::from_str(&text).map_err(ClientError::NoStatus)
}

/// Asks for an unlisted front to be removed: it is off for good, and its guaranteed minimum is free.
///
/// # Errors
/// If the front that runs here refuses it.
pub fn remove_front(path: &Path, name: &str) -> Result<(), ClientError> {
    let answer = call(path, &format!("forget {name}"))?;
    if answer == "asked" {
        return Ok(());
    }
    Err(ClientError::Refused(answer))
}

/// An answer to a request: as it came, and as it reads.
pub struct RequestAnswer {
    pub json: String,
    pub reply: OperatorReply,
}

/// Sends a request and waits for its outcome.
///
/// # Errors
/// If the front does not answer, or with something else than a reply.
pub fn request(path: &Path, request: &OperatorRequest) -> Result<RequestAnswer, ClientError> {
    let line = serde_json::to_string(request)?;
    let json = call(path, &format!("work {line}"))?;
    match serde_json::from_str(&json) {
        Ok(reply) => Ok(RequestAnswer { json, reply }),
        Err(_) => Err(ClientError::Refused(json)),
    }
}

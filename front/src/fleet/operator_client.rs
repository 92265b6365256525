//! The client of the operators' socket: sends one line to the front on this machine and reads its answer.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::fleet::operator_request::{OperatorReply, OperatorRequest};
use crate::fleet::status_view::FleetStatusView;

/// Timeout of each side of a call for reading and writing.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(7);
/// Maximum length of an answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Why a call got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The socket can't be used.
    #[error("{}: {error}", path.display())]
    Io {
        /// Path of the socket.
        path: PathBuf,
        /// The cause.
        #[source]
        error: std::io::Error,
    },
    /// The status is empty or can't be parsed.
    #[error("the front has nothing to show yet, or it can't be read: {0}")]
    NoStatus(#[source] serde_json::Error),
    /// The front has refused the request with this text.
    #[error("{0}")]
    Refused(String),
    /// The request can't be encoded.
    #[error(transparent)]
    Unwritable(#[from] serde_json::Error),
}

/// Sends one line to the front on this machine, and reads its answer.
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

/// The status of the front on this machine.
///
/// # Errors
/// If no front is running, or it has no status yet.
pub fn status(path: &Path) -> Result<FleetStatusView, ClientError> {
    let text = call(path, "show")?;
    serde_json::from_str(&text).map_err(ClientError::NoStatus)
}

/// Requests the removal of a front that is not in the list. Its machine must be off for good, since its guaranteed
/// minimum becomes available to others.
///
/// # Errors
/// If the front on this machine refuses it.
pub fn remove_front(path: &Path, name: &str) -> Result<(), ClientError> {
    let answer = call(path, &format!("forget {name}"))?;
    if answer == "asked" {
        return Ok(());
    }
    Err(ClientError::Refused(answer))
}

/// The answer to a request.
pub struct RequestAnswer {
    /// As it was received.
    pub json: String,
    /// Parsed.
    pub reply: OperatorReply,
}

/// Sends a request and waits for its outcome.
///
/// # Errors
/// If the front does not answer, or answers with something other than a reply.
pub fn request(path: &Path, request: &OperatorRequest) -> Result<RequestAnswer, ClientError> {
    let line = serde_json::to_string(request)?;
    let json = call(path, &format!("work {line}"))?;
    match serde_json::from_str(&json) {
        Ok(reply) => Ok(RequestAnswer { json, reply }),
        Err(_) => Err(ClientError::Refused(json)),
    }
}

//! Files that one process of the program leaves to the next: they are read only if no other user can have written them,
//! and only if they are complete.

use std::fs::{self, File};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Length of the checksum between the first bytes and the rest.
const CHECKSUM_BYTES: usize = 4;

/// Why a file has no usable content.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("there is none")]
    Absent,
    #[error("{0}")]
    Io(io::Error),
    /// Owned by another user, writable by others, or not a regular file.
    #[error("it is no file of ours, or others may write it")]
    Untrusted,
    #[error("it is over {0} bytes")]
    TooLong(u64),
    /// Truncated, of another version, or another kind of file.
    #[error("it is torn or of another version")]
    Corrupt,
}

/// The content of a file of this user that no other user may write.
///
/// # Errors
/// If there is none, or it can't be trusted or read.
pub fn read(path: &Path, max_bytes: u64) -> Result<Vec<u8>, ReadError> {
    let named = match fs::symlink_metadata(path) {
        Ok(named) => named,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Err(ReadError::Absent),
        Err(e) => return Err(ReadError::Io(e)),
    };
    let user = own_user().map_err(ReadError::Io)?;
    if !named.is_file() || named.uid() != user || named.mode() & 0o022 != 0 {
        return Err(ReadError::Untrusted);
    }
    if named.len() > max_bytes {
        return Err(ReadError::TooLong(max_bytes));
    }
    let file = File::open(path).map_err(ReadError::Io)?;
    let opened = file.metadata().map_err(ReadError::Io)?;
    if (opened.dev(), opened.ino()) != (named.dev(), named.ino()) {
        return Err(ReadError::Untrusted);
    }
    let mut bytes = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut bytes).map_err(ReadError::Io)?;
    Ok(bytes)
}

/// The user of this process.
fn own_user() -> io::Result<u32> {
    Ok(fs::metadata("/proc/self")?.uid())
}

/// First bytes that tell type and version, the checksum of the body, and the body.
pub fn with_checksum(magic: &[u8], body: &[u8]) -> Vec<u8> {
    [magic, &crc32c::crc32c(body).to_le_bytes(), body].concat()
}

/// The body, if it has these first bytes and its checksum.
pub fn checked_body<'a>(magic: &[u8], bytes: &'a [u8]) -> Option<&'a [u8]> {
    let rest = bytes.strip_prefix(magic)?;
    let (sum, body) = rest.split_at_checked(CHECKSUM_BYTES)?;
    (crc32c::crc32c(body).to_le_bytes() == sum).then_some(body)
}

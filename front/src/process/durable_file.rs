//! Atomic, durable replacement of files: a failure or a kill in the middle leaves the old file or the new one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Mode of a file that other users may read.
pub const READABLE: u32 = 0o644;
/// Mode of a file that only this program's user may read.
pub const PRIVATE: u32 = 0o600;

/// Writes the bytes to a new file of this mode at `temporary`, syncs it, renames it to `path` and syncs the directory.
/// `temporary` must be in the same directory and have no other user at the time; a leftover file there is removed.
///
/// # Errors
/// If a system call fails. The file is then either the old or already the new one.
pub fn replace(path: &Path, temporary: &Path, mode: u32, bytes: &[u8]) -> io::Result<()> {
    let _ = fs::remove_file(temporary);
    let written = write_new(temporary, mode, bytes).and_then(|()| fs::rename(temporary, path));
    if written.is_err() {
        let _ = fs::remove_file(temporary);
        return written;
    }
    // The rename is durable once the directory is synced.
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}

/// Creates a file with these contents and syncs it.
fn write_new(path: &Path, mode: u32, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path)?;
    file.write_all(bytes)?;
    file.sync_data()
}

//! Files that are replaced whole or not at all, whatever fails or is killed in the middle.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// The mode of a file that others may read.
pub const READABLE: u32 = 0o644;
/// The mode of a file for this program's user only.
pub const PRIVATE: u32 = 0o600;

/// Writes the bytes into a new file of this mode beside the old one, syncs it, and puts it in its place for good. `beside` is in
/// the same directory, and used by nobody else at a time; what is left there is removed.
///
/// # Errors
/// If a call fails; the file is the old one, or the new one already.
pub fn replace(path: &Path, beside: &Path, mode: u32, bytes: &[u8]) -> io::Result<()> {
    let _ = fs::remove_file(beside);
    let written = write_new(beside, mode, bytes).and_then(|()| fs::rename(beside, path));
    if written.is_err() {
        let _ = fs::remove_file(beside);
        return written;
    }
    // The file's new name lasts once the directory is synced.
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}

fn write_new(path: &Path, mode: u32, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path)?;
    file.write_all(bytes)?;
    file.sync_data()
}

//! Temporary files that are written beside a store and then moved into its place atomically.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Separates the store's file name from the unique suffix of a temporary file.
const TEMPORARY_FILE_INFIX: &str = ".new-";

/// A path beside the store that no other caller uses, neither in this process nor in another.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut name = temporary_file_prefix(path);
    name.push(format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed)));
    path.with_file_name(name)
}

fn temporary_file_prefix(path: &Path) -> OsString {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(TEMPORARY_FILE_INFIX);
    name
}

/// Replaces the store's file by the temporary one and syncs the directory.
pub(crate) fn replace(temporary_path: &Path, path: &Path) -> io::Result<()> {
    fs::rename(temporary_path, path)?;
    sync_directory(parent_directory(path))
}

/// Moves the temporary file to the store's path unless a store exists there. Returns false in that case. Unless this
/// fails, the temporary file is removed.
pub(crate) fn move_if_absent(temporary_path: &Path, path: &Path) -> io::Result<bool> {
    // Unlike a rename, a hard link never replaces a file that another process has put there.
    let linked = fs::hard_link(temporary_path, path);
    let is_created = match linked {
        Ok(()) => true,
        Err(error) if error.kind() == ErrorKind::AlreadyExists => false,
        // Another process has put its own store there and removed this temporary file as a leftover.
        Err(error) if error.kind() == ErrorKind::NotFound && path.exists() => false,
        Err(error) => return Err(error),
    };
    let _ = fs::remove_file(temporary_path);
    sync_directory(parent_directory(path))?;
    Ok(is_created)
}

/// Removes temporary files that killed processes have left beside a store. Only the process that has the store open may
/// call this.
pub(crate) fn remove_leftovers(path: &Path) {
    let temporary_file_prefix = temporary_file_prefix(path);
    let Ok(entries) = fs::read_dir(parent_directory(path)) else { return };
    for entry in entries.flatten() {
        let is_leftover =
            entry.file_name().as_encoded_bytes().starts_with(temporary_file_prefix.as_encoded_bytes());
        if is_leftover {
            let _ = fs::remove_file(entry.path());
        }
    }
}

fn parent_directory(path: &Path) -> &Path {
    path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

/// Makes created and renamed file names durable.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

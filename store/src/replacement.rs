//! Files that are made beside a store and put in its place whole.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Between the store's name and what tells one such file from another.
const INFIX: &str = ".new-";

/// A name that no other process, and nobody else in this one, uses now.
pub(crate) fn new_path(path: &Path) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut name = prefix(path);
    name.push(format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed)));
    path.with_file_name(name)
}

fn prefix(path: &Path) -> OsString {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(INFIX);
    name
}

/// Puts a new file in the place of the store's.
pub(crate) fn put(new_path: &Path, path: &Path) -> io::Result<()> {
    fs::rename(new_path, path)?;
    sync_directory(directory_of(path))
}

/// Puts a new file where no store is; false, and it is gone, if there is one by now.
pub(crate) fn put_if_absent(new_path: &Path, path: &Path) -> io::Result<bool> {
    // Unlike a rename it never takes the place of what another process has put there.
    let linked = fs::hard_link(new_path, path);
    let is_first = match linked {
        Ok(()) => true,
        Err(error) if error.kind() == ErrorKind::AlreadyExists => false,
        // Another process has put its own there, and cleared this one away.
        Err(error) if error.kind() == ErrorKind::NotFound && path.exists() => false,
        Err(error) => return Err(error),
    };
    let _ = fs::remove_file(new_path);
    sync_directory(directory_of(path))?;
    Ok(is_first)
}

/// Removes what killed processes have left beside a store. Only for who has the store open.
pub(crate) fn remove_leftovers(path: &Path) {
    let prefix = prefix(path);
    let Ok(entries) = fs::read_dir(directory_of(path)) else { return };
    for entry in entries.flatten() {
        let is_leftover = entry.file_name().as_encoded_bytes().starts_with(prefix.as_encoded_bytes());
        if is_leftover {
            let _ = fs::remove_file(entry.path());
        }
    }
}

fn directory_of(path: &Path) -> &Path {
    path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

/// A file's name lasts once its directory is synced.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

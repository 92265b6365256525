//! The processes of this front that run at the same time, as during an upgrade: each holds the lock of a file in
//! `$TMPDIR` for as long as it lives.
//!
//! The kernel releases the lock when the process ends, however it ends, so that a process counts exactly as long as
//! it runs. This does not rest on a clock, a signal or a message between the processes.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crossbeam_channel::Sender;

use crate::exchange::Input;
use crate::process::{clock, is_file_name, spawn_at_start};

/// The most processes of one front at a time. An upgrade has two; the others allow for processes that have not ended.
const MAX_PROCESSES: usize = 8;
/// The interval at which the other processes are counted: several times within an observation's age.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// Why this process can't be registered.
#[derive(Debug, thiserror::Error)]
pub enum RegistrationError {
    #[error("TMPDIR is not set, or the name {0:?} is unsuitable for a file")]
    NoFolder(String),
    #[error("{MAX_PROCESSES} processes of this front run already")]
    TooManyProcesses,
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
}

/// The registration of this process, held until it ends.
#[derive(Debug)]
pub struct ProcessRegistration {
    paths: Vec<PathBuf>,
    own_index: usize,
    _own_lock: File,
}

impl ProcessRegistration {
    /// Registers this process of the front `name` in `$TMPDIR`.
    ///
    /// # Errors
    /// If the folder can't be used, or too many processes run.
    pub fn from_env(name: &str) -> Result<ProcessRegistration, RegistrationError> {
        let folder = std::env::var_os("TMPDIR").filter(|t| !t.is_empty());
        match folder.filter(|_| is_file_name(name)) {
            Some(folder) => ProcessRegistration::register(Path::new(&folder), name),
            None => Err(RegistrationError::NoFolder(name.to_owned())),
        }
    }

    fn register(folder: &Path, name: &str) -> Result<ProcessRegistration, RegistrationError> {
        let path = |index| folder.join(format!("elmtide-{name}.process-{index}"));
        let paths: Vec<PathBuf> = (0..MAX_PROCESSES).map(path).collect();
        for own_index in 0..paths.len() {
            let own_path = paths[own_index].clone();
            let lock = open(&own_path).and_then(|file| match file.try_lock() {
                Ok(()) => Ok(Some(file)),
                Err(TryLockError::WouldBlock) => Ok(None),
                Err(TryLockError::Error(error)) => Err(error),
            });
            match lock {
                Ok(Some(_own_lock)) => return Ok(ProcessRegistration { paths, own_index, _own_lock }),
                Ok(None) => {}
                Err(error) => return Err(RegistrationError::Io(own_path, error)),
            }
        }
        Err(RegistrationError::TooManyProcesses)
    }

    /// Counts the registered processes, this one included.
    ///
    /// # Errors
    /// If a file can't be opened or its lock can't be tried.
    pub fn count(&self) -> io::Result<u32> {
        let mut processes = 1;
        for (index, path) in self.paths.iter().enumerate() {
            if index != self.own_index && is_held(path)? {
                processes += 1;
            }
        }
        Ok(processes)
    }
}

fn open(path: &Path) -> io::Result<File> {
    let flags = rustix::fs::OFlags::NOFOLLOW | rustix::fs::OFlags::NONBLOCK;
    let flags = flags.bits() as i32;
    OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).custom_flags(flags).open(path)
}

/// Whether a process holds the lock. A shared lock is tried, so that processes that check at the same time do not count
/// each other's checks.
fn is_held(path: &Path) -> io::Result<bool> {
    match open(path)?.try_lock_shared() {
        Ok(()) => Ok(false),
        Err(TryLockError::WouldBlock) => Ok(true),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Counts the processes at intervals and tells the engine, on a thread of its own. Without a registration the engine is
/// told that the number is not known.
///
/// # Errors
/// If the thread can't be started.
pub fn observe(registration: Option<ProcessRegistration>, inputs: Sender<Input>) -> io::Result<()> {
    let run = move || loop {
        let at = clock::steady_ms();
        let processes = registration.as_ref().and_then(|registration| registration.count().ok());
        if inputs.send(Input::ProcessesObserved { at, processes }).is_err() {
            return;
        }
        std::thread::sleep(OBSERVATION_INTERVAL);
    };
    spawn_at_start("process-watch", run).map(drop)
}

#[cfg(test)]
mod tests;

//! Passes the signups that ran in this process to the next one, in a file in `$TMPDIR`.
//!
//! The file names the process that may accept signups (`Open`), or holds the ledger of the last process that did, as
//! of its end (`Sealed`). A process writes its own `Open` before its first signup, and its seal only over its own
//! `Open`, both under a lock and by rename. A seal that is present therefore always comes from the last process that
//! accepted signups, no matter which process was killed or stopped at which step. This depends only on the lock and
//! on rename, not on a clock or on detecting live processes.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide::Ms;
use serde::{Deserialize, Serialize};

use crate::memory::ledger::{Ledger, Sealed};
use crate::process::clock::BootMoment;
use crate::process::trusted_file::{self, ReadError};
use crate::process::{clock, durable_file, is_file_name};

/// The first bytes of the file: type and version.
const MAGIC: &[u8; 18] = b"elmtide-signups 1\n";
const MAX_FILE_BYTES: u64 = 8 << 20;
/// How long sealing waits for a lock that another process holds.
const SEAL_LOCK_TIMEOUT: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One run of the program, identified by a unique number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run(pub u64);

/// The content of the file. Older versions of the program write and read only the first two variants.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum HandoverRecord {
    Open(Run),
    /// The seal time is on the time line of the sealing process.
    Sealed(Run, Sealed),
    /// With the seal time on the clock that both processes share.
    SealedAt(Run, Sealed, BootMoment),
}

impl HandoverRecord {
    fn sealed(run: Run, sealed: Sealed, sealed_at: Option<BootMoment>) -> HandoverRecord {
        match sealed_at {
            Some(moment) => HandoverRecord::SealedAt(run, sealed, moment),
            None => HandoverRecord::Sealed(run, sealed),
        }
    }
}

/// Converts a seal to the time line of this process. Each process counts time from the Unix time of its own start: if
/// the wall clock was stepped between the two starts, only the shared clock gives the age of the seal. After a reboot
/// there is no shared clock, and both time lines are assumed to be the same.
fn on_own_time_line(sealed: Sealed, sealed_at: Option<&BootMoment>, now: Ms) -> Sealed {
    let age = sealed_at.zip(BootMoment::now()).and_then(|(at, now)| at.until(&now));
    match age {
        Some(age) => sealed.sealed_before(now, age),
        None => sealed,
    }
}

fn encode(record: &HandoverRecord) -> Option<Vec<u8>> {
    let bytes = trusted_file::with_checksum(MAGIC, &postcard::to_allocvec(record).ok()?);
    (bytes.len() as u64 <= MAX_FILE_BYTES).then_some(bytes)
}

fn decode(bytes: &[u8]) -> Option<HandoverRecord> {
    let body = trusted_file::checked_body(MAGIC, bytes)?;
    let (record, left) = postcard::take_from_bytes(body).ok()?;
    left.is_empty().then_some(record)
}

fn read(path: &Path) -> Result<HandoverRecord, ReadError> {
    decode(&trusted_file::read(path, MAX_FILE_BYTES)?).ok_or(ReadError::Corrupt)
}

/// How the ledger was opened.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    /// With this number of keys sealed by the previous process.
    TakenOver(usize),
    /// Without its content, after its clients have given up.
    Waited,
}

/// The handover file of this process.
#[derive(Clone, Debug)]
pub struct Handover {
    path: PathBuf,
    run: Run,
}

impl Handover {
    /// `None` if `$TMPDIR` is not set or the name is unsuitable for a file: nothing is passed on then.
    pub fn from_env(name: &str, run: Run) -> Option<Handover> {
        let folder = std::env::var_os("TMPDIR").filter(|t| !t.is_empty())?;
        is_file_name(name).then(|| Handover::at(Path::new(&folder), name, run))
    }

    fn at(folder: &Path, name: &str, run: Run) -> Handover {
        Handover { path: folder.join(format!("elmtide-{name}.signups")), run }
    }

    /// Takes the lock under which the file is read and replaced; `None` if another process holds it.
    fn lock(&self) -> io::Result<Option<File>> {
        let at = self.path.with_extension("signups-lock");
        let file = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(at)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(why)) => Err(why),
        }
    }

    /// Writes the file completely or not at all.
    fn put(&self, record: &HandoverRecord) -> io::Result<()> {
        let bytes = encode(record).ok_or(io::ErrorKind::FileTooLarge)?;
        let temporary = self.path.with_extension(format!("signups-{:016x}", self.run.0));
        durable_file::replace(&self.path, &temporary, durable_file::PRIVATE, &bytes)
    }

    /// Opens the ledger if the previous process has sealed its own, or if `waited` says that the clients of that
    /// process have given up. Returns `None` if it is too early.
    pub fn open(&self, ledger: &Ledger, waited: bool) -> io::Result<Option<Opened>> {
        let Some(_locked) = self.lock()? else { return Ok(None) };
        let found = read(&self.path);
        let open = HandoverRecord::Open(self.run);
        let seal = match found {
            Ok(HandoverRecord::Sealed(of, sealed)) => Some((of, sealed, None)),
            Ok(HandoverRecord::SealedAt(of, sealed, at)) => Some((of, sealed, Some(at))),
            Ok(HandoverRecord::Open(_)) | Err(ReadError::Absent) => None,
            Err(ref why) if waited => {
                eprintln!("ledger: {} is not used: {why}", self.path.display());
                None
            }
            Err(_) => None,
        };
        if let Some((of, sealed, at)) = seal {
            // No later process may take this seal, because it does not contain what this process runs.
            self.put(&open)?;
            let now = clock::steady_ms();
            match ledger.take_over(on_own_time_line(sealed, at.as_ref(), now), now) {
                Ok(keys) => return Ok(Some(Opened::TakenOver(keys))),
                Err(why) => eprintln!("ledger: what run {:x} left is not used: {why:?}", of.0),
            }
        }
        if !waited {
            return Ok(None);
        }
        match self.put(&open) {
            // Processes of this program never read an untrusted file, so it can't hold a seal that misleads one.
            Err(_) if matches!(read(&self.path), Err(ReadError::Untrusted)) => {}
            put => put?,
        }
        ledger.open();
        Ok(Some(Opened::Waited))
    }

    /// Stops accepting signups and writes the content of the ledger. Returns the number of bytes, or `None` if another
    /// process has taken over in the meantime.
    pub fn seal(&self, ledger: &Ledger) -> io::Result<Option<usize>> {
        let sealed_at = BootMoment::now();
        let sealed = ledger.seal(clock::steady_ms());
        let until = Instant::now() + SEAL_LOCK_TIMEOUT;
        let _locked = loop {
            match self.lock()? {
                Some(locked) => break locked,
                None if Instant::now() < until => std::thread::sleep(POLL_INTERVAL),
                None => return Err(io::ErrorKind::WouldBlock.into()),
            }
        };
        if !matches!(read(&self.path), Ok(HandoverRecord::Open(run)) if run == self.run) {
            return Ok(None);
        }
        let record = HandoverRecord::sealed(self.run, sealed, sealed_at);
        self.put(&record)?;
        Ok(encode(&record).map(|bytes| bytes.len()))
    }
}

/// Opens the ledger as soon as that is safe. `since` returns when this process became the only one that its clients
/// can reach, or `None` before that.
pub fn open_when_safe(
    ledger: &Arc<Ledger>,
    handover: Option<&Handover>,
    closed: Duration,
    since: impl Fn() -> Option<Instant>,
) {
    let mut was_reported = false;
    loop {
        let waited = since().is_some_and(|since| since.elapsed() >= closed);
        match handover.map(|h| h.open(ledger, waited)) {
            None if waited => ledger.open(),
            None | Some(Ok(None)) => {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            Some(Ok(Some(Opened::TakenOver(keys)))) => {
                eprintln!("ledger: taken over from the process before: {keys} keys")
            }
            Some(Ok(Some(Opened::Waited))) => {}
            Some(Err(why)) => {
                if !std::mem::replace(&mut was_reported, true) {
                    eprintln!(
                        "ledger: closed, signups are refused: the file in TMPDIR can't be written: {why}"
                    );
                }
                std::thread::sleep(POLL_INTERVAL * 10);
                continue;
            }
        }
        eprintln!("ledger: open, requests that run once are taken from now on");
        return;
    }
}

#[cfg(test)]
mod tests;

//! What the process after this one is told of the signups that ran here: a file in `$TMPDIR`.
//!
//! The file says who may take signups (`Open`), or what whoever took them last knew when it ended (`Sealed`). A
//! process writes its own `Open` before its first signup, and its seal only over its own `Open`, both under a lock
//! and by rename. So a seal that is there is that of the last process that took signups, whatever was killed or
//! stopped at which step. It rests on that lock and on rename; on no clock, and on no guess who lives.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide::Ms;
use serde::{Deserialize, Serialize};

use crate::memory::ledger::{Ledger, Sealed};
use crate::process::clock::BootMoment;
use crate::process::{clock, durable_file};

/// The first bytes of the file: what it is and its version.
const MAGIC: &[u8; 18] = b"elmtide-signups 1\n";
/// Behind them the checksum of the rest.
const HEAD: usize = MAGIC.len() + 4;
const LONGEST: u64 = 8 << 20;
/// A seal is tried for so long where another process holds the lock.
const SEAL_FOR: Duration = Duration::from_millis(200);
const TURN: Duration = Duration::from_millis(20);

/// One run of the program, by a number nobody else has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run(pub u64);

/// What the file says. Versions of the program before this one write and read the first two.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Word {
    Open(Run),
    /// The moment of the seal is on the time line of whoever sealed it.
    Sealed(Run, Sealed),
    /// With the moment of the seal by the clock that both processes share.
    SealedAt(Run, Sealed, BootMoment),
}

impl Word {
    fn sealed(run: Run, sealed: Sealed, sealed_at: Option<BootMoment>) -> Word {
        match sealed_at {
            Some(moment) => Word::SealedAt(run, sealed, moment),
            None => Word::Sealed(run, sealed),
        }
    }
}

/// A seal as this process has to read it. Each process counts its time from the Unix time of its own start: where the wall clock
/// was stepped between the two starts, only the clock that both share tells how old the seal is. After a start of the machine there
/// is none, and the two time lines are taken for one.
fn on_own_time_line(sealed: Sealed, sealed_at: Option<&BootMoment>, now: Ms) -> Sealed {
    let age = sealed_at.zip(BootMoment::now()).and_then(|(at, now)| at.until(&now));
    match age {
        Some(age) => sealed.sealed_before(now, age),
        None => sealed,
    }
}

/// Why there is no word that can be used.
#[derive(Debug)]
enum Unread {
    Absent,
    Io(io::Error),
    /// Of somebody else, or open to others.
    NotOurs,
    TooLong,
    /// Torn, of another version, or no such file.
    Spoilt,
}

impl std::fmt::Display for Unread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unread::Absent => write!(f, "there is none"),
            Unread::Io(why) => write!(f, "{why}"),
            Unread::NotOurs => write!(f, "it is no file of ours, or others may write it"),
            Unread::TooLong => write!(f, "it is over {LONGEST} bytes"),
            Unread::Spoilt => write!(f, "it is torn or of another version"),
        }
    }
}

fn encode(word: &Word) -> Option<Vec<u8>> {
    let mut bytes = [&MAGIC[..], &[0; 4]].concat();
    bytes.extend(postcard::to_allocvec(word).ok()?);
    let sum = crc32c::crc32c(&bytes[HEAD..]);
    bytes[MAGIC.len()..HEAD].copy_from_slice(&sum.to_le_bytes());
    (bytes.len() as u64 <= LONGEST).then_some(bytes)
}

fn decode(bytes: &[u8]) -> Option<Word> {
    let (magic, rest) = bytes.split_at_checked(MAGIC.len())?;
    let (sum, body) = rest.split_at_checked(4)?;
    let whole = magic == MAGIC && crc32c::crc32c(body).to_le_bytes() == sum;
    let (word, left) = postcard::take_from_bytes(body).ok().filter(|_| whole)?;
    left.is_empty().then_some(word)
}

/// The user of this process.
fn own_user() -> io::Result<u32> {
    Ok(fs::metadata("/proc/self")?.uid())
}

fn read(path: &Path) -> Result<Word, Unread> {
    let named = match fs::symlink_metadata(path) {
        Ok(named) => named,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Err(Unread::Absent),
        Err(e) => return Err(Unread::Io(e)),
    };
    let user = own_user().map_err(Unread::Io)?;
    if !named.is_file() || named.uid() != user || named.mode() & 0o022 != 0 {
        return Err(Unread::NotOurs);
    }
    if named.len() > LONGEST {
        return Err(Unread::TooLong);
    }
    let file = File::open(path).map_err(Unread::Io)?;
    let opened = file.metadata().map_err(Unread::Io)?;
    if (opened.dev(), opened.ino()) != (named.dev(), named.ino()) {
        return Err(Unread::NotOurs);
    }
    let mut bytes = Vec::new();
    file.take(LONGEST + 1).read_to_end(&mut bytes).map_err(Unread::Io)?;
    decode(&bytes).ok_or(Unread::Spoilt)
}

/// How the ledger came to be open.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened {
    /// The process before had sealed so many keys.
    TakenOver(usize),
    /// Nothing is known of it, and its clients have given up.
    Waited,
}

/// The way to the process after this one.
#[derive(Clone, Debug)]
pub struct Handover {
    path: PathBuf,
    run: Run,
}

impl Handover {
    /// Where `$TMPDIR` is not set, nothing is passed on.
    pub fn from_env(name: &str, run: Run) -> Option<Handover> {
        let folder = std::env::var_os("TMPDIR").filter(|t| !t.is_empty())?;
        let plain =
            !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        plain.then(|| Handover::at(Path::new(&folder), name, run))
    }

    fn at(folder: &Path, name: &str, run: Run) -> Handover {
        Handover { path: folder.join(format!("elmtide-{name}.signups")), run }
    }

    /// The lock under which the file is read and put in place; `None` where another process has it.
    fn lock(&self) -> io::Result<Option<File>> {
        let at = self.path.with_extension("signups-lock");
        let file = OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(at)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(why)) => Err(why),
        }
    }

    /// Whole or not at all.
    fn put(&self, word: &Word) -> io::Result<()> {
        let bytes = encode(word).ok_or(io::ErrorKind::FileTooLarge)?;
        let beside = self.path.with_extension(format!("signups-{:016x}", self.run.0));
        durable_file::replace(&self.path, &beside, durable_file::PRIVATE, &bytes)
    }

    /// Opens the ledger if the process before has sealed what it knew, or if `waited` says that its clients have given
    /// up by now. `None`: not yet.
    pub fn open(&self, ledger: &Ledger, waited: bool) -> io::Result<Option<Opened>> {
        let Some(_locked) = self.lock()? else { return Ok(None) };
        let found = read(&self.path);
        let open = Word::Open(self.run);
        let seal = match found {
            Ok(Word::Sealed(of, sealed)) => Some((of, sealed, None)),
            Ok(Word::SealedAt(of, sealed, at)) => Some((of, sealed, Some(at))),
            Ok(Word::Open(_)) | Err(Unread::Absent) => None,
            Err(ref why) if waited => {
                eprintln!("ledger: {} is not used: {why}", self.path.display());
                None
            }
            Err(_) => None,
        };
        if let Some((of, sealed, at)) = seal {
            // Nobody after us may take this seal: it will not know of what we run.
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
            // What is not ours is never taken by a process of ours, so no seal can be there that misleads one.
            Err(_) if matches!(read(&self.path), Err(Unread::NotOurs)) => {}
            put => put?,
        }
        ledger.open();
        Ok(Some(Opened::Waited))
    }

    /// Ends the taking of signups and leaves what the ledger knows. Gives the number of bytes; `None` where another process
    /// has taken over meanwhile.
    pub fn seal(&self, ledger: &Ledger) -> io::Result<Option<usize>> {
        let sealed_at = BootMoment::now();
        let sealed = ledger.seal(clock::steady_ms());
        let until = Instant::now() + SEAL_FOR;
        let _locked = loop {
            match self.lock()? {
                Some(locked) => break locked,
                None if Instant::now() < until => std::thread::sleep(TURN),
                None => return Err(io::ErrorKind::WouldBlock.into()),
            }
        };
        if !matches!(read(&self.path), Ok(Word::Open(run)) if run == self.run) {
            return Ok(None);
        }
        let word = Word::sealed(self.run, sealed, sealed_at);
        self.put(&word)?;
        Ok(encode(&word).map(|bytes| bytes.len()))
    }
}

/// Opens the ledger as soon as that is safe: `since` gives when this process became the only one that its clients
/// can reach, once it has.
pub fn open_when_safe(
    ledger: &Arc<Ledger>,
    handover: Option<&Handover>,
    closed: Duration,
    since: impl Fn() -> Option<Instant>,
) {
    let mut told = false;
    loop {
        let waited = since().is_some_and(|since| since.elapsed() >= closed);
        match handover.map(|h| h.open(ledger, waited)) {
            None if waited => ledger.open(),
            None | Some(Ok(None)) => {
                std::thread::sleep(TURN);
                continue;
            }
            Some(Ok(Some(Opened::TakenOver(keys)))) => {
                eprintln!("ledger: taken over from the process before: {keys} keys")
            }
            Some(Ok(Some(Opened::Waited))) => {}
            Some(Err(why)) => {
                if !std::mem::replace(&mut told, true) {
                    eprintln!(
                        "ledger: closed, signups are refused: the file in TMPDIR can't be written: {why}"
                    );
                }
                std::thread::sleep(TURN * 10);
                continue;
            }
        }
        eprintln!("ledger: open, requests that run once are taken from now on");
        return;
    }
}

#[cfg(test)]
mod tests;

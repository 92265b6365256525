//! Which fronts owned idempotency keys before the configuration in force, kept in `$TMPDIR` for the next process.
//!
//! Invariant: a process that takes signups knows of each configuration by which another front may still run a signup
//! of one of its keys, also if the configuration was changed while another process of this front ran. What is kept is written
//! before a configuration comes into force. A front whose file has changed in between begins a hand-over of its own.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use elmtide::Ms;
use serde::{Deserialize, Serialize};

use crate::edge::config::{EdgeConfig, FrontEntry};
use crate::edge::in_force::FormerFronts;
use crate::process::clock::BootMoment;
use crate::process::trusted_file::{self, ReadError};
use crate::process::{durable_file, is_file_name};

/// The first bytes of the file: type and version.
const MAGIC: &[u8; 17] = b"elmtide-owners 1\n";
const MAX_FILE_BYTES: u64 = 8 << 20;

/// The fronts of a configuration that is not in force any more.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct KeptFronts {
    fronts: Vec<FrontEntry>,
    /// How long keys that others owned in it are not taken over, counted from when this was written.
    left: Ms,
}

/// The content of the file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OwnersRecord {
    /// By the clock that the processes share; `None` if there is none.
    written_at: Option<BootMoment>,
    /// The fronts of the configuration that comes into force.
    current: Vec<FrontEntry>,
    former: Vec<KeptFronts>,
}

/// The file of this front.
#[derive(Debug)]
pub struct KeyOwners(PathBuf);

impl KeyOwners {
    /// `None` if `$TMPDIR` is not set or the name is unsuitable for a file: nothing is kept then.
    pub fn from_env(name: &str) -> Option<KeyOwners> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        is_file_name(name).then(|| KeyOwners::at(Path::new(&folder), name))
    }

    fn at(folder: &Path, name: &str) -> KeyOwners {
        KeyOwners(folder.join(format!("elmtide-{name}.owners")))
    }

    /// Keeps the owners of a configuration that is about to come into force.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn save(&self, config: &EdgeConfig, former: &[FormerFronts], now: Ms) -> std::io::Result<()> {
        let kept = |former: &FormerFronts| KeptFronts {
            fronts: former.config.front.clone(),
            left: former.until - now,
        };
        let record = OwnersRecord {
            written_at: BootMoment::now(),
            current: config.front.clone(),
            former: former.iter().map(kept).collect(),
        };
        let bytes = trusted_file::with_checksum(MAGIC, &serde_json::to_vec(&record)?);
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(std::io::ErrorKind::FileTooLarge.into());
        }
        let temporary = self.0.with_extension(format!("owners-{}", std::process::id()));
        durable_file::replace(&self.0, &temporary, durable_file::PRIVATE, &bytes)
    }

    /// The owners before the first configuration of this process, which other fronts may still run signups of. A key changes
    /// hands for `hold` from a change on.
    pub fn load(&self, first: &EdgeConfig, hold: Ms, now: Ms) -> Vec<FormerFronts> {
        let record = match self.read() {
            Ok(record) => record,
            Err(ReadError::Absent) => return Vec::new(),
            Err(error) => {
                eprintln!("edge: {} is not used: {error}", self.0.display());
                return Vec::new();
            }
        };
        // After a start of the machine nothing has passed, which refuses for longer than needed.
        let age =
            record.written_at.zip(BootMoment::now()).and_then(|(at, now)| at.until(&now)).unwrap_or(0.0);
        let mut former = Vec::new();
        for KeptFronts { fronts, left } in record.former {
            let left = left - age.max(0.0);
            if left > 0.0 && left.is_finite() {
                former.push(former_fronts(fronts, now + left));
            }
        }
        if record.current != first.front {
            former.push(former_fronts(record.current, now + hold));
        }
        former
    }

    fn read(&self) -> Result<OwnersRecord, ReadError> {
        let bytes = trusted_file::read(&self.0, MAX_FILE_BYTES)?;
        let body = trusted_file::checked_body(MAGIC, &bytes).ok_or(ReadError::Corrupt)?;
        serde_json::from_slice(body).map_err(|_| ReadError::Corrupt)
    }
}

fn former_fronts(front: Vec<FrontEntry>, until: Ms) -> FormerFronts {
    FormerFronts { config: Arc::new(EdgeConfig { front, ..EdgeConfig::default() }), until }
}

#[cfg(test)]
mod tests;

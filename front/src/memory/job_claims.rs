//! Claims of job ids that all processes of a front share: a file for each id in a folder in `$TMPDIR`.
//!
//! The system creates a file for one process only, so that of two processes one has the claim, whatever either of them
//! knows. A claim outlives its process: what a process took may still run when the next one is asked for it. This rests
//! on no clock, lock or message.

use std::fs::{self, DirBuilder, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use crate::exchange::Token;

/// The most claims of earlier processes that are looked at when a process starts.
const MAX_ADOPTED: usize = 20_000;

/// The folder of the claims.
#[derive(Debug)]
pub struct JobClaims {
    folder: PathBuf,
}

impl JobClaims {
    /// The claims of the front `name`, with the ids that earlier processes have claimed.
    ///
    /// # Errors
    /// If the folder can't be made, or is not a folder of this front's own.
    pub fn open(temporary: &Path, name: &str) -> io::Result<(JobClaims, Vec<Token>)> {
        let folder = temporary.join(format!("elmtide-{name}.jobs"));
        let claims = JobClaims { folder };
        claims.make_folder()?;
        let names = fs::read_dir(&claims.folder)?.take(MAX_ADOPTED).flatten().map(|entry| entry.file_name());
        let adopted = names.filter_map(|name| Token::new(name.to_str()?.as_bytes())).collect();
        Ok((claims, adopted))
    }

    fn make_folder(&self) -> io::Result<()> {
        match DirBuilder::new().mode(0o700).create(&self.folder) {
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {
                // Never a link: what is removed later has to be this front's own.
                let is_folder = fs::symlink_metadata(&self.folder)?.is_dir();
                is_folder.then_some(()).ok_or_else(|| ErrorKind::NotADirectory.into())
            }
            result => result,
        }
    }

    /// Claims an id; false if it is claimed already.
    ///
    /// # Errors
    /// If the folder can't be written.
    pub fn claim(&self, job: &Token) -> io::Result<bool> {
        let create = || {
            let path = self.folder.join(job.as_str());
            OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)
        };
        let created = match create() {
            Err(error) if error.kind() == ErrorKind::NotFound => self.make_folder().and_then(|()| create()),
            created => created,
        };
        match created {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Gives a claim up. A file that can't be removed only refuses its id for longer.
    pub fn release(&self, job: &Token) {
        let _ = fs::remove_file(self.folder.join(job.as_str()));
    }
}

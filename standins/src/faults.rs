//! Faults of a process under test: its wall clock and its system calls, by the library `elmtide-fault-shim` that it preloads.
//!
//! The control file is a row of 64-bit words that the library maps; what is written here takes effect at once.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Names the control file to the library.
pub const CONTROL_VARIABLE: &str = "ELMTIDE_FAULT_CONTROL";
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
const LIBRARY: &str = "libelmtide_fault_shim.so";
const WORDS: u64 = 10;
const WORD_BYTES: u64 = 8;

/// What can be made to fail, and the place of its rate in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailingCalls {
    /// `accept4`.
    Accept = 1,
    /// `socket` and `connect`.
    Connect = 2,
    /// `recv`, interrupted or short.
    Receive = 3,
    /// `send`, interrupted or short.
    Send = 4,
    /// `write`, `fsync`, `fdatasync` and `rename` of files.
    Disk = 5,
    /// The start of a thread.
    Thread = 6,
}

const WALL_CLOCK_OFFSET_WORD: u64 = 0;
const INJECTED_FAILURES_WORD: u64 = 7;
const RANDOM_STATE_WORD: u64 = 8;
const LOG_LINE_PAUSE_WORD: u64 = 9;

/// The faults of one process.
#[derive(Debug)]
pub struct Faults {
    control: File,
    path: PathBuf,
    library: PathBuf,
}

impl Faults {
    /// A control file in this folder, with no fault yet; the seed drives which calls fail.
    ///
    /// # Errors
    /// If the file can't be written, or the library is not beside the running test.
    pub fn new(folder: &Path, seed: u64) -> io::Result<Faults> {
        let path = folder.join("faults.control");
        let control = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        control.set_len(WORDS * WORD_BYTES)?;
        let library = library()?;
        let faults = Faults { control, path, library };
        faults.set_word(RANDOM_STATE_WORD, seed.max(1))?;
        Ok(faults)
    }

    /// The environment that the process is to be started with.
    pub fn environment(&self) -> [(&'static str, String); 2] {
        let text = |path: &Path| path.to_string_lossy().into_owned();
        [(PRELOAD_VARIABLE, text(&self.library)), (CONTROL_VARIABLE, text(&self.path))]
    }

    fn set_word(&self, place: u64, value: u64) -> io::Result<()> {
        self.control.write_all_at(&value.to_ne_bytes(), place * WORD_BYTES)
    }

    /// Sets the wall clock of the process so far from the machine's, in milliseconds.
    ///
    /// # Errors
    /// If the control file can't be written.
    pub fn set_wall_clock_offset(&self, milliseconds: i64) -> io::Result<()> {
        self.set_word(WALL_CLOCK_OFFSET_WORD, milliseconds.cast_unsigned())
    }

    /// A thread of the process that has written a line to its log gets no processor time for so long.
    ///
    /// # Errors
    /// If the control file can't be written.
    pub fn set_log_line_pause(&self, pause: std::time::Duration) -> io::Result<()> {
        self.set_word(LOG_LINE_PAUSE_WORD, pause.as_millis() as u64)
    }

    /// So many calls of a thousand fail from now on.
    ///
    /// # Errors
    /// If the control file can't be written.
    pub fn set_failure_rate(&self, calls: FailingCalls, per_thousand: u64) -> io::Result<()> {
        self.set_word(calls as u64, per_thousand)
    }

    /// Calls that have been made to fail so far.
    ///
    /// # Errors
    /// If the control file can't be read.
    pub fn injected_failures(&self) -> io::Result<u64> {
        let mut word = [0; WORD_BYTES as usize];
        self.control.read_exact_at(&mut word, INJECTED_FAILURES_WORD * WORD_BYTES)?;
        Ok(u64::from_ne_bytes(word))
    }
}

/// The library lies where the build puts what the running test depends on.
fn library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let beside =
        program.ancestors().skip(1).take(2).flat_map(|f| [f.join(LIBRARY), f.join("deps").join(LIBRARY)]);
    let found = beside.into_iter().find(|path| path.is_file());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("{LIBRARY} is not built")))
}

//! The start of the second front: its file is put in force as soon as its addresses can be had.
//!
//! An earlier process of ours may still hold them, as may a stranger, and the system may be short of something. The first front
//! serves meanwhile. What a plan puts in force before that takes the file's place.

use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use crate::edge::config::EdgeConfig;
use crate::lifecycle::apply_error::ApplyError;
use crate::lifecycle::cells::CellsInForce;
use crate::lifecycle::control;
use crate::lifecycle::edge::Edge;
use crate::memory::counters::Counters;
use crate::process::spawn_at_start;

/// Between two looks whether an earlier process has gone.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Between two tries to put the file in force: at first, and at most. Each next one is twice as long.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// An earlier process that gives its addresses up has closed the last of them after so long, or has been killed: until then it
/// is not worth a line in the log that they are in use.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// What it takes to start the second front.
pub struct Activation {
    /// The second front's file.
    pub file: PathBuf,
    /// Where plan and apply reach the program.
    pub control: PathBuf,
    pub edge: Arc<Edge>,
    pub cells: Arc<CellsInForce>,
    pub counters: Arc<Counters>,
}

impl Activation {
    /// Puts the file in force, in the background where an address is not to be had at once. `settled` gets the moment from which
    /// no earlier process has the addresses: the file is in force, or it never will be.
    ///
    /// # Errors
    /// If the thread that waits can't be started.
    pub fn begin(self, settled: Arc<OnceLock<Instant>>) -> std::io::Result<()> {
        let has_predecessor = control::taken(&self.control);
        if !has_predecessor {
            match self.listen().and_then(|()| self.try_once()) {
                Ok(()) => {
                    let _ = settled.set(Instant::now());
                    return Ok(());
                }
                Err(error) if !error.may_pass() => {
                    report_failure(&error);
                    let _ = settled.set(Instant::now());
                    return Ok(());
                }
                Err(error) => report_delay(&error),
            }
        } else {
            eprintln!("edge: an earlier process has the addresses: waiting for them");
        }
        let wait = move || {
            if let Err(error) = self.keep_trying(has_predecessor) {
                report_failure(&error);
            }
            let _ = settled.set(Instant::now());
        };
        spawn_at_start("edge-wait", wait).map(drop)
    }

    fn listen(&self) -> Result<(), ApplyError> {
        control::listen(&self.control, self.edge.clone(), self.cells.clone(), self.counters.clone())?;
        Ok(())
    }

    fn try_once(&self) -> Result<(), ApplyError> {
        let nothing = EdgeConfig::default().fingerprint();
        match self.edge.apply(EdgeConfig::load(&self.file)?, Some(&nothing)) {
            // A plan was quicker, and stays.
            Err(ApplyError::Stale) => Ok(()),
            applied => applied.map(drop),
        }
    }

    fn keep_trying(&self, has_predecessor: bool) -> Result<(), ApplyError> {
        if has_predecessor {
            while control::taken(&self.control) {
                std::thread::sleep(POLL_INTERVAL);
            }
            self.listen()?;
        }
        let begun = Instant::now();
        let mut was_reported = !has_predecessor;
        let mut pause = BACKOFF.0;
        loop {
            let error = match self.try_once() {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            if !error.may_pass() {
                return Err(error);
            }
            if !was_reported && begun.elapsed() > ADDRESS_TIMEOUT {
                report_delay(&error);
                was_reported = true;
            }
            std::thread::sleep(pause);
            // A process that is about to close its sockets is not waited for longer than it takes.
            let is_awaited = has_predecessor && begun.elapsed() < ADDRESS_TIMEOUT;
            pause = if is_awaited { BACKOFF.0 } else { (pause * 2).min(BACKOFF.1) };
        }
    }
}

fn report_failure(error: &ApplyError) {
    eprintln!("edge: nothing is in force: {error}");
}

fn report_delay(error: &ApplyError) {
    eprintln!("edge: not in force yet: {error}; trying again until it is, or a plan is applied");
}

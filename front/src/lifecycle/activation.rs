//! The start of the second front: its file is put in force as soon as its addresses are available.
//!
//! An earlier process of this front or another program may still hold them, or the system may be short of resources.
//! The first front serves in the meantime. A plan applied before that replaces the file.

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

/// Interval between checks whether an earlier process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// First and maximum delay between attempts to put the file in force; the delay doubles after each attempt.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// Time after which an earlier process has closed its last address or has been killed; until then addresses in use are
/// not logged.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Everything needed to start the second front.
pub struct Activation {
    /// The second front's file.
    pub file: PathBuf,
    /// Path of the control socket for plan and apply.
    pub control: PathBuf,
    pub edge: Arc<Edge>,
    pub cells: Arc<CellsInForce>,
    pub counters: Arc<Counters>,
}

impl Activation {
    /// Puts the file in force, in the background if an address is not available immediately. `settled` is set to the
    /// time from which no earlier process holds the addresses: the file is in force, or never will be.
    ///
    /// # Errors
    /// If the waiting thread can't be started.
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
            // A plan was applied first and stays in force.
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
            // While an earlier process is closing its sockets, the delay stays short.
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

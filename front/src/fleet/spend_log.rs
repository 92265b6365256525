//! A log of all spending for checkers that add up what all fronts have spent. Each record is one line: microseconds of
//! the machine's Unix clock, kind and resource of the budget, units, and the share that they were taken from.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide_budgets::{BudgetId, Micros, PermitSource};

use crate::process::backoff::Backoff;
use crate::process::spawn;

/// Maximum number of records that wait to be written. Further ones are counted as lost, and then nothing can be
/// concluded from the log.
const MAX_WAITING_RECORDS: usize = 65_536;

/// Pauses between attempts to write after a failed write: the first and the longest.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

#[derive(Clone, Copy, Debug)]
struct SpendRecord {
    at: Micros,
    budget: BudgetId,
    units: f64,
    source: PermitSource,
}

impl SpendRecord {
    fn append_line(&self, lines: &mut String) {
        let SpendRecord { at, budget, units, source } = self;
        let source = match source {
            PermitSource::Lease => "Share",
            PermitSource::GuaranteedMinimum => "Floor",
        };
        let _ = writeln!(lines, "{at} {} {} {units} {source}", budget.kind.name(), budget.resource);
    }
}

/// Sends records to the thread that writes them.
#[derive(Clone, Debug)]
pub struct SpendLog {
    records: Sender<SpendRecord>,
    lost: Arc<AtomicU64>,
}

impl SpendLog {
    /// Opens the file and starts the thread.
    ///
    /// # Errors
    /// If the file can't be opened or the thread can't be started.
    pub fn start(path: &Path) -> Result<SpendLog, String> {
        let file = SpendFile::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let (records, waiting) = bounded(MAX_WAITING_RECORDS);
        let lost = Arc::new(AtomicU64::new(0));
        let lost_counter = lost.clone();
        let write = move || write_records(file, &waiting, &lost_counter);
        spawn("fleet-record", write).map_err(|e| e.to_string())?;
        Ok(SpendLog { records, lost })
    }

    /// Records units that were spent.
    pub fn record(&self, at: Micros, budget: BudgetId, units: f64, source: PermitSource) {
        let record = SpendRecord { at, budget, units, source };
        if self.records.try_send(record).is_err() {
            self.lost.fetch_add(1, Relaxed);
        }
    }
}

/// The log's file. A partially written record is truncated before the next write.
struct SpendFile {
    file: File,
    /// Length of the completely written records, in bytes.
    length: u64,
}

impl SpendFile {
    fn open(path: &Path) -> io::Result<SpendFile> {
        let file = File::options().create(true).append(true).open(path)?;
        let length = file.metadata()?.len();
        Ok(SpendFile { file, length })
    }

    fn append(&mut self, lines: &str) -> io::Result<()> {
        if self.file.metadata()?.len() != self.length {
            self.file.set_len(self.length)?;
        }
        self.file.write_all(lines.as_bytes())?;
        self.length += lines.len() as u64;
        Ok(())
    }
}

/// Writes records as they arrive. While the file can't be written they wait; those that exceed the queue are counted as
/// lost.
fn write_records(mut file: SpendFile, waiting: &Receiver<SpendRecord>, lost: &AtomicU64) {
    let mut backoff = Backoff::new(RETRY_PAUSE.0, RETRY_PAUSE.1);
    while let Ok(first) = waiting.recv() {
        let mut lines = String::new();
        first.append_line(&mut lines);
        for record in waiting.try_iter() {
            record.append_line(&mut lines);
        }
        let lost = lost.swap(0, Relaxed);
        if lost > 0 {
            let _ = writeln!(lines, "lost {lost}");
        }
        while file.append(&lines).is_err() {
            std::thread::sleep(backoff.pause());
        }
        backoff.reset();
    }
}

#[cfg(test)]
mod tests;

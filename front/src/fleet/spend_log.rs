//! A log of all spending, one line a unit, for checkers that add up what all fronts have spent: microseconds of the machine's Unix
//! clock, kind and resource of the budget, units, and what they were taken from.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

use crossbeam_channel::{bounded, Receiver, Sender};
use elmtide_budgets::{BudgetId, Micros, PermitSource};

use crate::process::spawn;

/// Records that wait to be written; further ones are counted as lost, and then nothing can be concluded from the log.
const MAX_WAITING_RECORDS: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct SpendRecord {
    at: Micros,
    budget: BudgetId,
    units: f64,
    source: PermitSource,
}

impl SpendRecord {
    fn write(&self, file: &mut impl Write) -> std::io::Result<()> {
        let SpendRecord { at, budget, units, source } = self;
        let source = match source {
            PermitSource::Lease => "Share",
            PermitSource::GuaranteedMinimum => "Floor",
        };
        writeln!(file, "{at} {} {} {units} {source}", budget.kind.name(), budget.resource)
    }
}

/// Hands records to the thread that writes them.
#[derive(Clone, Debug)]
pub struct SpendLog {
    records: Sender<SpendRecord>,
    lost: Arc<AtomicU64>,
}

impl SpendLog {
    /// Opens the file and starts the thread.
    pub fn start(path: &Path) -> Result<SpendLog, String> {
        let file = File::options().create(true).append(true).open(path);
        let file = BufWriter::new(file.map_err(|e| format!("{}: {e}", path.display()))?);
        let (records, waiting) = bounded(MAX_WAITING_RECORDS);
        let lost = Arc::new(AtomicU64::new(0));
        let lost_count = lost.clone();
        // A log that can't be written ends; what follows is counted as lost.
        let write = move || drop(write_records(file, &waiting, &lost_count));
        spawn("fleet-record", write).map_err(|e| e.to_string())?;
        Ok(SpendLog { records, lost })
    }

    /// Records a unit that was spent.
    pub fn record(&self, at: Micros, budget: BudgetId, units: f64, source: PermitSource) {
        let record = SpendRecord { at, budget, units, source };
        if self.records.try_send(record).is_err() {
            self.lost.fetch_add(1, Relaxed);
        }
    }
}

fn write_records(
    mut file: BufWriter<File>,
    waiting: &Receiver<SpendRecord>,
    lost: &AtomicU64,
) -> std::io::Result<()> {
    while let Ok(first) = waiting.recv() {
        first.write(&mut file)?;
        for record in waiting.try_iter() {
            record.write(&mut file)?;
        }
        let lost = lost.swap(0, Relaxed);
        if lost > 0 {
            writeln!(file, "lost {lost}")?;
        }
        file.flush()?;
    }
    Ok(())
}

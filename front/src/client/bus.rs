//! Follows the event bus by long polling: reads on from the last event received for as long as the front runs.
//!
//! Events are applied as they arrive and are never asked for again, so an answer of any length is heard, in parts if its
//! connection ends early. What is refused of an answer is bounded in memory by event, not by answer. A connection that
//! counts as silent may be waited for while others are tried beside it (see [`patient`]), so an answer is heard however long
//! the bus takes for it.

mod address;
mod answer;
mod applier;
mod deadline;
mod list_changes;
mod names;
mod patient;
mod pending;
mod reader;

use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam_channel::Sender;

pub use self::address::BusAddress;
use self::answer::{lock, ReadError};
use self::applier::EventApplier;
pub use self::names::NameTable;
use self::patient::PatientSlot;
use self::reader::{ReadEnd, Reader};
use crate::exchange::Input;
use crate::memory::counters::Counters;
use crate::process::{jitter_fraction, spawn, spawn_at_start};
use crate::wire::bus::Batch;

/// The bus counts an announcement as delivered 2 s after the end of the requested wait, whether or not it was
/// received. The wait is short enough to detect a silent bus and to ask again before that.
const LONG_POLL_WAIT_MS: u64 = 1000;
/// The delay before the first retry; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Range of the random factor applied to each delay, drawn per front and failure, so that a failure seen by all
/// fronts does not make them all reconnect at once.
const MIN_JITTER: f64 = 0.4;
const MAX_JITTER: f64 = 1.0;

/// Returns the randomised delay of a front after this number of failures.
fn jittered_delay(backoff: Duration, seed: u64, failures: u64) -> Duration {
    backoff.mul_f64(MIN_JITTER + (MAX_JITTER - MIN_JITTER) * jitter_fraction(seed, failures))
}

/// The engine has stopped, so that there is nobody to read the bus for.
#[derive(Debug, thiserror::Error)]
#[error("the engine has stopped")]
pub struct EngineStopped;

/// Applies the events of the bus.
pub struct BusFollower {
    applier: Mutex<EventApplier>,
    bus: Arc<BusAddress>,
    patient: Arc<PatientSlot>,
    /// The delay before the next retry.
    backoff: Mutex<Duration>,
    counters: Arc<Counters>,
    seed: u64,
}

impl BusFollower {
    /// Creates a follower that has applied no event. `seed` spreads the retries of different fronts.
    pub fn new(
        names: NameTable,
        inputs: Sender<Input>,
        bus: Arc<BusAddress>,
        counters: Arc<Counters>,
        seed: u64,
    ) -> BusFollower {
        BusFollower {
            applier: Mutex::new(EventApplier::new(names, inputs, counters.clone())),
            bus,
            patient: Arc::default(),
            backoff: Mutex::new(MIN_RETRY_DELAY),
            counters,
            seed,
        }
    }

    /// Applies the events that are known at startup.
    pub fn apply_known(&self, known: Batch) -> Result<(), EngineStopped> {
        let applied = lock(&self.applier).apply_batch(known);
        if applied.is_break() {
            return Err(EngineStopped);
        }
        Ok(())
    }

    /// Applies those of the events that directly follow the last one that was applied.
    pub fn apply_following(&self, known: Batch) -> Result<(), EngineStopped> {
        match lock(&self.applier).apply_following(known).is_break() {
            true => Err(EngineStopped),
            false => Ok(()),
        }
    }

    /// Starts the thread that reads events until the engine stops, following changes of the bus address.
    pub fn start(self: Arc<Self>) -> std::io::Result<()> {
        spawn_at_start("bus", move || self.follow()).map(drop)
    }

    fn follow(self: Arc<Self>) {
        loop {
            let addr = self.bus.current();
            let reader = Reader::new(&self, addr);
            // A panic must not permanently stop the delivery of purges and drains.
            let run = AssertUnwindSafe(|| reader.read_events());
            let result = catch_unwind(run).unwrap_or(Err(ReadError::Panicked));
            if reader.has_handed_over() {
                return reader.report_end(&result);
            }
            match result {
                Ok(ReadEnd::EngineStopped) => return,
                Ok(ReadEnd::ConnectionClosed) => {}
                Err(failure) => self.wait_before_retry(&failure, addr),
            }
        }
    }

    /// Starts another thread that goes on in place of one whose connection counts as silent.
    fn start_successor(self: Arc<Self>, silent_addr: SocketAddr) -> std::io::Result<()> {
        let run = move || {
            self.wait_before_retry(&ReadError::Silent, silent_addr);
            self.follow();
        };
        spawn("bus", run).map(drop)
    }

    /// Waits before the next attempt, unless the address has changed.
    fn wait_before_retry(&self, failure: &ReadError, addr: SocketAddr) {
        if self.bus.current() != addr {
            return self.reset_backoff();
        }
        let failures = self.counters.bus_failures.fetch_add(1, Relaxed);
        let backoff = self.next_backoff();
        eprintln!("bus: {failure}; asking again within {} ms", backoff.as_millis());
        self.bus.wait_until_moved(addr, jittered_delay(backoff, self.seed, failures));
    }

    /// The delay before this retry; the next one waits twice as long.
    fn next_backoff(&self) -> Duration {
        let mut backoff = self.backoff.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let current = *backoff;
        *backoff = (current * 2).min(MAX_RETRY_DELAY);
        current
    }

    fn reset_backoff(&self) {
        *self.backoff.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = MIN_RETRY_DELAY;
    }

    /// An answer was received to its end.
    fn on_answer(&self) {
        self.reset_backoff();
        self.patient.on_answer();
    }
}

#[cfg(test)]
mod tests;

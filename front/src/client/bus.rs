//! Follows the event bus by long polling: reads on from the last event received for as long as the front runs.
//!
//! Events are applied as they arrive and are never asked for again, so an answer of any length is heard, in parts if its
//! connection ends early. What is refused of an answer is bounded in memory by event, not by answer.

mod address;
mod answer;
mod applier;
mod deadline;
mod list_changes;
mod names;
mod pending;

use std::net::{SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam_channel::Sender;

pub use self::address::BusAddress;
use self::answer::{lock, AfterAnswer, Connection, ReadError};
use self::applier::EventApplier;
pub use self::names::NameTable;
use crate::exchange::Input;
use crate::memory::counters::Counters;
use crate::process::jitter_fraction;
use crate::wire::bus::Batch;

/// The bus counts an announcement as delivered 2 s after the end of the requested wait, whether or not it was
/// received. The wait is short enough to detect a silent bus and to ask again before that.
const LONG_POLL_WAIT_MS: u64 = 1000;
/// Limits connecting and each write.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
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
    counters: Arc<Counters>,
    seed: u64,
}

impl BusFollower {
    /// Creates a follower that has applied no event. `seed` spreads the retries of different fronts.
    pub fn new(names: NameTable, inputs: Sender<Input>, counters: Arc<Counters>, seed: u64) -> BusFollower {
        let applier = Mutex::new(EventApplier::new(names, inputs, counters.clone()));
        BusFollower { applier, counters, seed }
    }

    /// Applies the events that are known at startup.
    pub fn apply_known(&self, known: Batch) -> Result<(), EngineStopped> {
        let applied = lock(&self.applier).apply_batch(known);
        if applied.is_break() {
            return Err(EngineStopped);
        }
        Ok(())
    }

    /// Reads events until the engine stops, following changes of the bus address.
    pub fn follow(self, bus: &BusAddress) {
        let mut backoff = MIN_RETRY_DELAY;
        loop {
            let addr = bus.current();
            // A panic must not permanently stop the delivery of purges and drains.
            let run = AssertUnwindSafe(|| self.read_events(addr, bus, &mut backoff));
            let failure = match catch_unwind(run).unwrap_or(Err(ReadError::Panicked)) {
                Ok(EngineStopped) => return,
                Err(failure) => failure,
            };
            if bus.current() != addr {
                backoff = MIN_RETRY_DELAY;
                continue;
            }
            let failures = self.counters.bus_failures.fetch_add(1, Relaxed);
            let delay = jittered_delay(backoff, self.seed, failures);
            eprintln!("bus: {failure}; asking again within {} ms", backoff.as_millis());
            bus.wait_until_moved(addr, delay);
            backoff = (backoff * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Reads events from this address until the engine stops.
    fn read_events(
        &self,
        addr: SocketAddr,
        bus: &BusAddress,
        backoff: &mut Duration,
    ) -> Result<EngineStopped, ReadError> {
        loop {
            let stream = connect(addr).map_err(ReadError::Connect)?;
            let stream = Arc::new(stream);
            if !bus.register(addr, &stream) {
                return Err(ReadError::AddressChanged);
            }
            let mut connection = Connection::new(&stream, addr.to_string(), &self.applier);
            loop {
                match connection.read_events()? {
                    AfterAnswer::EngineStopped => return Ok(EngineStopped),
                    AfterAnswer::KeepAlive => *backoff = MIN_RETRY_DELAY,
                    AfterAnswer::Close => break,
                }
            }
            *backoff = MIN_RETRY_DELAY;
        }
    }
}

fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
    Ok(stream)
}

#[cfg(test)]
mod tests;

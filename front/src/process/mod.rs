//! What every part of the program needs of its process: threads, the clock, the log.

pub mod accept;
pub mod backoff;
pub mod clock;
pub mod datagram_counters;
pub mod datagram_listener;
pub mod durable_file;
pub mod log;
pub mod socket_error;
pub mod start_gate;
pub mod system_drops;
pub mod transient;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::thread::{Builder, JoinHandle};

/// Stack of a connection's thread. Hundreds of them have to fit into the memory of a front.
const STACK: usize = 128 * 1024;

/// Starts a thread with a small stack that the program can't do without.
pub fn spawn_at_start(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    transient::spawn_at_start(name, Some(STACK), body)
}

pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).stack_size(STACK).spawn(body)
}

/// Starts a thread for work that needs more stack than a connection's.
pub fn spawn_with_usual_stack(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).spawn(body)
}

/// A part of one, drawn for this front and occasion: what happens to all fronts at once must not bring them, or those
/// whom they turn away, back at once.
pub fn part(seed: u64, occasion: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, occasion).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// A number that nobody can guess.
pub fn random_secret() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => clock::steady_ms().to_bits(),
    }
}

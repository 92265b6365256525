//! Process-level services that every part of the front uses: threads, clocks, socket errors, files, log.

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
pub mod trusted_file;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::thread::{Builder, JoinHandle};

/// Stack size of a connection's thread. Hundreds of these threads have to fit into the memory of a front.
const STACK_BYTES: usize = 128 * 1024;

/// Starts a thread with a small stack that the program cannot run without; retries transient failures.
pub fn spawn_at_start(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    transient::spawn_at_start(name, Some(STACK_BYTES), body)
}

/// Starts a thread with a small stack.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(body)
}

/// Starts a thread with the default stack size, for work that needs more stack than a connection does.
pub fn spawn_with_default_stack(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).spawn(body)
}

/// A pseudo-random fraction from 0 to 1, fixed for a front (`seed`) and an occasion. It spreads out retries: an event
/// that affects all fronts at once must not make them, or the clients they reject, come back at the same time.
pub fn jitter_fraction(seed: u64, occasion: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, occasion).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Whether a name can be part of a file's name as it is.
pub fn is_file_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// An unpredictable number. Falls back to the clock if the system has no random bytes.
pub fn random_secret() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => clock::steady_ms().to_bits(),
    }
}

//! Graceful shutdown: how long the process stays after SIGTERM.

use std::time::{Duration, Instant};

use crossbeam_channel::{tick, Receiver};
use elmtide_drain::DrainSchedule;

use crate::memory::counters::Counters;
use crate::memory::longest::Longest;

/// Minimum time to shutdown: after SIGTERM new connections arrive for up to 0.4 s and requests for 0.2 s.
pub const MIN_SHUTDOWN: Duration = Duration::from_millis(1000);
/// After all requests are answered, how long to wait for late requests and for clients to close their connections.
pub const CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks whether all requests are answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until no request is open, but no longer than the drain: the platform kills the process soon after it.
pub fn wait_until_answered(
    counters: &Counters,
    longest: &Longest,
    stopped: &Receiver<()>,
) -> Result<(), String> {
    let since = Instant::now();
    let ticks = tick(CHECK_INTERVAL);
    loop {
        crossbeam_channel::select! {
            recv(ticks) -> _ => {}
            recv(stopped) -> _ => return Err("the engine has stopped".into()),
        }
        // A reload may still raise the longest deadline.
        let last = DrainSchedule::shutdown(longest.span()).release_after;
        let done = since.elapsed() >= MIN_SHUTDOWN && counters.all_answered();
        if done || since.elapsed() >= last {
            return Ok(());
        }
    }
}

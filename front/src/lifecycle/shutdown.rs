//! Graceful shutdown: how long the process stays after SIGTERM.

use std::time::{Duration, Instant};

use crossbeam_channel::{tick, Receiver};
use elmtide_drain::DrainSchedule;

use crate::memory::counters::Counters;
use crate::memory::longest::Longest;

/// After SIGTERM new connections come for up to 0.4 s and requests for 0.2 s: the front stays at least so long.
pub const MIN_SHUTDOWN: Duration = Duration::from_millis(1000);
/// Once all is answered, so long is waited for what still comes and for the clients' own ends of their connections.
pub const CLIENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(400);
/// How often it is checked whether all is answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until nothing is open any more, up to the end of the drain at most: the platform kills soon after it.
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
        // A reload may still raise it.
        let last = DrainSchedule::shutdown(longest.span()).release_after;
        let done = since.elapsed() >= MIN_SHUTDOWN && counters.all_answered();
        if done || since.elapsed() >= last {
            return Ok(());
        }
    }
}

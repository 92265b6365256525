//! The clocks of the process.
//!
//! Deadlines, windows, waits and ages are durations of real time, so the process measures them with [`steady_ms`]. It
//! runs with the monotonic clock and starts at the Unix time of the process start, so that the platform's timestamps in
//! Unix milliseconds can be compared with it. A step of the wall clock after the start does not move it. The wall
//! clock is read only to convert timestamps of other processes ([`age_of`], [`to_steady_ms`]) and where leases need
//! both clocks ([`both_clocks`]). `docs/design/time.md` describes the effect of a step in each place.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmtide::Ms;
use elmtide_budgets::Clocks;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// Steady time in milliseconds: the Unix time of the process start plus the monotonic time since then.
pub fn steady_ms() -> Ms {
    let (origin, started_at) = origin();
    started_at + millis(origin.elapsed())
}

/// The age of a Unix timestamp in milliseconds, by the clock that shows the smaller age. If either clock has been
/// stepped, the timestamp may be treated as newer than it is, but never as older.
pub fn age_of(timestamp: Ms) -> Ms {
    youngest_age(timestamp, steady_ms(), wall_ms())
}

/// If the two clocks differ by this much, one of them has been stepped. A smaller step causes an error no larger than
/// itself.
const STEP_THRESHOLD_MS: Ms = 50.0;

/// Converts a Unix timestamp of another process to this process's steady time. The result is the timestamp itself, or,
/// if a clock has been stepped since the start, the steady time minus the smaller of the two ages.
pub fn to_steady_ms(timestamp: Ms) -> Ms {
    steady_time_of(timestamp, steady_ms(), wall_ms())
}

fn steady_time_of(timestamp: Ms, steady: Ms, wall: Ms) -> Ms {
    if (steady - wall).abs() < STEP_THRESHOLD_MS {
        return timestamp;
    }
    steady - youngest_age(timestamp, steady, wall)
}

fn youngest_age(timestamp: Ms, steady: Ms, wall: Ms) -> Ms {
    (steady.min(wall) - timestamp).max(0.0)
}

/// Unix time in milliseconds by the wall clock, which may be stepped at any time.
fn wall_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, millis)
}

/// Unix time in seconds by the wall clock, for protocols that require it.
pub fn wall_s() -> u64 {
    (wall_ms() / 1000.0) as u64
}

fn millis(duration: Duration) -> Ms {
    duration.as_secs_f64() * 1000.0
}

/// The uptime at its first reading. It is above zero so that earlier moments can be represented too.
const FIRST_UPTIME: Duration = Duration::from_secs(1000);

/// The moment of the first reading, by the monotonic clock and in Unix milliseconds.
fn origin() -> (Instant, Ms) {
    static ORIGIN: OnceLock<(Instant, Ms)> = OnceLock::new();
    *ORIGIN.get_or_init(|| (Instant::now(), wall_ms()))
}

/// The monotonic time of this process. Steps of the wall clock do not move it.
pub fn uptime() -> Duration {
    FIRST_UPTIME + origin().0.elapsed()
}

/// A moment by the machine's boot clock (`CLOCK_BOOTTIME`), which all of its processes share. Steps of the wall clock
/// do not move it, and it continues while the machine is suspended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BootMoment {
    /// Identifies this boot of the machine.
    boot: String,
    since_boot_ms: Ms,
}

/// The file in which Linux publishes the boot's identifier.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

impl BootMoment {
    /// The current moment; `None` if the system does not publish a boot identifier.
    pub fn now() -> Option<BootMoment> {
        let boot = std::fs::read_to_string(BOOT_ID_PATH).ok()?.trim().to_owned();
        let since_boot = clock_gettime(ClockId::Boottime);
        let since_boot_ms = since_boot.tv_sec as f64 * 1000.0 + since_boot.tv_nsec as f64 / 1_000_000.0;
        (!boot.is_empty()).then_some(BootMoment { boot, since_boot_ms })
    }

    /// Milliseconds from this moment to a later one; `None` if the machine was rebooted in between.
    pub fn until(&self, later: &BootMoment) -> Option<Ms> {
        (self.boot == later.boot).then_some(later.since_boot_ms - self.since_boot_ms)
    }
}

/// Reads both clocks at one moment. The monotonic one starts at [`FIRST_UPTIME`] at its first reading.
pub fn both_clocks() -> Clocks {
    let (origin, _) = origin();
    let mut attempts = 0;
    loop {
        let before = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let after = Instant::now();
        attempts += 1;
        // Retry if the thread was preempted between the two readings, which would set them apart.
        if after - before < Duration::from_millis(1) || attempts >= 4 {
            let steady = (FIRST_UPTIME + (before - origin)).as_micros() as u64;
            return Clocks { monotonic: steady, wall: wall.as_micros() as u64 };
        }
    }
}

#[cfg(test)]
mod tests;

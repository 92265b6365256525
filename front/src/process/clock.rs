//! The clocks of the process.
//!
//! Deadlines, windows, waits and ages are spans of real time: everything inside lives by [`steady_ms`], which runs with the
//! monotonic clock and counts from the Unix time of the start, so that what the platform tells in Unix milliseconds can be
//! compared with it. A step of the wall clock after the start does not move it. The wall clock itself is asked for only where a
//! moment that somebody else has stamped is taken in ([`age_of`], [`on_steady_line`]), and where leases need both clocks ([`both`]). What a step does in
//! each place is in `docs/design/time.md`.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmtide::Ms;
use elmtide_budgets::Clocks;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// Milliseconds on the time line of this process: the Unix time of its start, and the monotonic clock since then.
pub fn steady_ms() -> Ms {
    let (origin, started_at) = origin();
    started_at + millis(origin.elapsed())
}

/// How long ago something was stamped with this Unix time in milliseconds, by whichever of the two clocks says less: where
/// either has been stepped, what is stamped is taken for newer than it is and never for older.
pub fn age_of(stamp: Ms) -> Ms {
    youngest_age(stamp, steady_ms(), wall_ms())
}

/// Where the two clocks differ by more, one of them has been stepped. What a smaller step does to a span is as small.
const STEPPED_FROM: Ms = 50.0;

/// A moment that somebody else has stamped with Unix time, on the time line of this process: the stamp itself, or, where a clock
/// has been stepped since the start, as long ago as whichever of the two clocks says less.
pub fn on_steady_line(stamp: Ms) -> Ms {
    place(stamp, steady_ms(), wall_ms())
}

fn place(stamp: Ms, steady: Ms, wall: Ms) -> Ms {
    if (steady - wall).abs() < STEPPED_FROM {
        return stamp;
    }
    steady - youngest_age(stamp, steady, wall)
}

fn youngest_age(stamp: Ms, steady: Ms, wall: Ms) -> Ms {
    (steady.min(wall) - stamp).max(0.0)
}

/// Unix time in milliseconds by the wall clock, which may be stepped at any moment.
fn wall_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, millis)
}

/// Seconds of Unix time by the wall clock, for what a protocol ties to it.
pub fn wall_s() -> u64 {
    (wall_ms() / 1000.0) as u64
}

fn millis(span: Duration) -> Ms {
    span.as_secs_f64() * 1000.0
}

/// The uptime is this long when it is asked for first: a moment before it can still be told.
const FIRST_UPTIME: Duration = Duration::from_secs(1000);

/// When the process asked for the time first, by the monotonic clock and as Unix milliseconds.
fn origin() -> (Instant, Ms) {
    static ORIGIN: OnceLock<(Instant, Ms)> = OnceLock::new();
    *ORIGIN.get_or_init(|| (Instant::now(), wall_ms()))
}

/// The monotonic clock of this process, which no step of the wall clock moves.
pub fn uptime() -> Duration {
    FIRST_UPTIME + origin().0.elapsed()
}

/// A moment by the clock that all processes of a machine share from its start on, and that no step of the wall clock moves. It
/// counts on while the machine sleeps (`CLOCK_BOOTTIME`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BootMoment {
    /// Names this start of the machine.
    boot: String,
    since_boot_ms: Ms,
}

/// Where Linux names the start of the machine.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

impl BootMoment {
    /// This moment; `None` where the system does not name its start.
    pub fn now() -> Option<BootMoment> {
        let boot = std::fs::read_to_string(BOOT_ID).ok()?.trim().to_owned();
        let since_boot = clock_gettime(ClockId::Boottime);
        let since_boot_ms = since_boot.tv_sec as f64 * 1000.0 + since_boot.tv_nsec as f64 / 1_000_000.0;
        (!boot.is_empty()).then_some(BootMoment { boot, since_boot_ms })
    }

    /// Milliseconds from this moment to a later one; `None` if the machine has been started anew in between.
    pub fn until(&self, later: &BootMoment) -> Option<Ms> {
        (self.boot == later.boot).then_some(later.since_boot_ms - self.since_boot_ms)
    }
}

/// Both clocks at one moment. The steady one counts from the first time that it is asked for, and from well above naught.
pub fn both() -> Clocks {
    let (origin, _) = origin();
    let mut tries = 0;
    loop {
        let before = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let after = Instant::now();
        tries += 1;
        // A thread that lost its processor between the two would see them apart.
        if after - before < Duration::from_millis(1) || tries >= 4 {
            let steady = (FIRST_UPTIME + (before - origin)).as_micros() as u64;
            return Clocks { monotonic: steady, wall: wall.as_micros() as u64 };
        }
    }
}

#[cfg(test)]
mod tests;

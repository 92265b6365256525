//! The clocks of the process.
//!
//! Deadlines, windows, waits and ages are spans of real time: everything inside lives by [`steady_ms`], which runs with the
//! monotonic clock and counts from the Unix time of the start, so that what the platform tells in Unix milliseconds can be
//! compared with it. A step of the wall clock after the start does not move it. The wall clock itself is asked for only where a
//! moment that somebody else has stamped is taken in ([`age_of`]), and where leases need both clocks ([`both`]). What a step does in
//! each place is in `docs/design/time.md`.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmtide::Ms;
use elmtide_budgets::Clocks;

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

fn youngest_age(stamp: Ms, steady: Ms, wall: Ms) -> Ms {
    (steady.min(wall) - stamp).max(0.0)
}

/// Unix time in milliseconds by the wall clock, which may be stepped at any moment.
fn wall_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, millis)
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

//! The system's Unix clock, which all times of the protocol are read from.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmtide::Ms;
use elmtide_budgets::Clocks;

pub fn unix_ms() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The uptime is this long when it is asked for first: a moment before it can still be told.
const FIRST_UPTIME: Duration = Duration::from_secs(1000);

fn origin() -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now)
}

/// The monotonic clock of this process, which no step of the wall clock moves.
pub fn uptime() -> Duration {
    FIRST_UPTIME + origin().elapsed()
}

/// Both clocks at one moment. The steady one counts from the first time that it is asked for, and from well above naught.
pub fn both() -> Clocks {
    let origin = origin();
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

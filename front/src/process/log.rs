//! The log: where events go, and a bound on the lines that a peer can provoke (so many a second are written, the others only
//! counted).

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tracing::Level;

/// Names the least level of the events that are logged: `error`, `warn`, `info` (where it is not set), `debug`, `trace`.
const LEVEL_VARIABLE: &str = "ELMTIDE_LOG";

/// How events are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object each.
    Json,
}

/// Has events written to standard error, each with its time, its level and its fields.
pub fn init(form: LogForm) {
    let level = configured_level();
    let base = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .with_max_level(level);
    // Whoever has set a subscriber already keeps it.
    let _ = match form {
        LogForm::Text => base.try_init(),
        LogForm::Json => base.json().try_init(),
    };
}

fn configured_level() -> Level {
    let Ok(text) = std::env::var(LEVEL_VARIABLE) else { return Level::INFO };
    text.parse().unwrap_or_else(|_| {
        eprintln!(
            "log: {LEVEL_VARIABLE}={text} is no level (error, warn, info, debug, trace): info is taken"
        );
        Level::INFO
    })
}

const EVERY: Duration = Duration::from_secs(1);
const LINES: u32 = 5;

#[derive(Debug, Default)]
pub struct Log(Mutex<Option<Second>>);

#[derive(Debug)]
struct Second {
    since: Instant,
    written: u32,
    left_out: u64,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, Option<Second>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn say(&self, line: impl FnOnce() -> String) {
        let mut second = self.lock();
        let now = Instant::now();
        let fresh = || Second { since: now, written: 0, left_out: 0 };
        let current = second.get_or_insert_with(fresh);
        if now - current.since > EVERY {
            let left_out = std::mem::replace(current, fresh()).left_out;
            if left_out > 0 {
                eprintln!("{left_out} more lines like the last were left out");
            }
        }
        if current.written < LINES {
            current.written += 1;
            eprintln!("{}", line());
        } else {
            current.left_out += 1;
        }
    }
}

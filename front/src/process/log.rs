//! Logging: its setup, and a rate limit on the log lines that a peer can cause. Lines above the limit are only counted.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tracing::Level;

/// Environment variable with the minimum level of logged events: `error`, `warn`, `info` (default), `debug`, `trace`.
const LEVEL_VARIABLE: &str = "ELMTIDE_LOG";

/// The format of log events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object each.
    Json,
}

/// Starts logging to standard error; each event has its time, level and fields.
pub fn init(form: LogForm) {
    let level = configured_level();
    let base = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .with_max_level(level);
    // A subscriber that is already installed stays.
    let _ = match form {
        LogForm::Text => base.try_init(),
        LogForm::Json => base.json().try_init(),
    };
}

fn configured_level() -> Level {
    let Ok(text) = std::env::var(LEVEL_VARIABLE) else { return Level::INFO };
    text.parse().unwrap_or_else(|_| {
        eprintln!(
            "log: {LEVEL_VARIABLE}={text} is not a level (error, warn, info, debug, trace); using info"
        );
        Level::INFO
    })
}

/// Length of a window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines written per window.
const MAX_LINES_PER_WINDOW: u32 = 5;

/// A log with a rate limit, for lines that a peer can cause.
#[derive(Debug, Default)]
pub struct RateLimitedLog(Mutex<Option<Window>>);

/// The lines of the current window.
#[derive(Debug)]
struct Window {
    started_at: Instant,
    written: u32,
    suppressed: u64,
}

impl RateLimitedLog {
    fn lock(&self) -> MutexGuard<'_, Option<Window>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes the line to standard error unless the window's limit has been reached. The first line after a window with
    /// suppressed lines is preceded by their number.
    pub fn write(&self, line: impl FnOnce() -> String) {
        let mut window = self.lock();
        let now = Instant::now();
        let new_window = || Window { started_at: now, written: 0, suppressed: 0 };
        let current = window.get_or_insert_with(new_window);
        if now - current.started_at > WINDOW {
            let suppressed = std::mem::replace(current, new_window()).suppressed;
            if suppressed > 0 {
                eprintln!("{suppressed} similar log lines were suppressed");
            }
        }
        if current.written < MAX_LINES_PER_WINDOW {
            current.written += 1;
            eprintln!("{}", line());
        } else {
            current.suppressed += 1;
        }
    }
}

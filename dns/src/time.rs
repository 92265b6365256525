//! The two times that a message is handled by.

use crate::Ms;

/// A moment by both clocks that matter to a name server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Now {
    /// For limits, waits and the age of cookies: no step of the wall clock moves it.
    pub steady: Ms,
    /// Seconds of Unix time by the wall clock. Signatures are tied to it (RFC 8945, section 5.2.3).
    pub unix_s: u64,
}

impl From<Ms> for Now {
    /// Where both clocks are one, as in simulated time: milliseconds of Unix time.
    fn from(unix_ms: Ms) -> Now {
        Now { steady: unix_ms, unix_s: (unix_ms / 1000.0) as u64 }
    }
}

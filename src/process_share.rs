//! The part of a front's cold budgets that one process may use while several processes of the front run, as during an
//! upgrade. To a cold server they are one front.
//!
//! Invariant: in every overload window the processes together send a cold server at most the front's budget, if each
//! is registered before it makes its first decision. A process divides the budget by the largest number of processes
//! that it has observed within the last window. It sends nothing for one window and one observation's age after its
//! start: until then the processes before it may still act on an observation without it. This does not rest on equal
//! clocks; a process that was stopped finds its observation expired and assumes that another one runs.

use crate::interface::Ms;

/// An observation older than this is not relied on.
pub const MAX_OBSERVATION_AGE_MS: Ms = 250.0;
/// The number of processes that is assumed when it is not known.
const ASSUMED_PROCESSES: u32 = 2;

/// The processes of a front as one of them has observed them.
#[derive(Clone, Debug)]
pub struct ProcessShare {
    started_at: Ms,
    /// When the last observation began.
    observed_at: Ms,
    /// The number by which budgets are divided, and when it was last observed.
    divisor: u32,
    divisor_at: Ms,
}

impl ProcessShare {
    /// The state of a process that starts now, and has observed nothing yet.
    pub fn new(now: Ms) -> ProcessShare {
        ProcessShare {
            started_at: now,
            observed_at: f64::NEG_INFINITY,
            divisor: ASSUMED_PROCESSES,
            divisor_at: now,
        }
    }

    /// Records how many processes, this one included, were observed by a check that began at `at`; `None` if the check
    /// failed. `window` is the overload window.
    pub fn observe(&mut self, at: Ms, processes: Option<u32>, window: Ms) {
        let processes = processes.unwrap_or(ASSUMED_PROCESSES).max(1);
        self.observed_at = self.observed_at.max(at);
        // What an ended process has sent counts until it is a window old.
        if processes >= self.divisor || at - self.divisor_at >= window {
            (self.divisor, self.divisor_at) = (processes, at);
        }
    }

    /// The number by which this process divides the front's cold budgets; infinite while it may send nothing.
    pub fn divisor(&self, now: Ms, window: Ms) -> f64 {
        if now - self.started_at < window + MAX_OBSERVATION_AGE_MS {
            return f64::INFINITY;
        }
        let is_expired = now - self.observed_at > MAX_OBSERVATION_AGE_MS;
        let assumed = if is_expired { ASSUMED_PROCESSES } else { 1 };
        f64::from(self.divisor.max(assumed))
    }
}

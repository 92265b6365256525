//! Durations and tolerances of leases, and the clocks that they are measured with.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Durations and tolerances of leases; the same for all fronts of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseSettings {
    /// Length of a lease in the front's own settings file; the length in force comes with the responses.
    pub duration: Micros,
    /// Maximum difference between the rates of two clocks, as a fraction of 1.
    pub drift: f64,
    /// Safety margin added to every wait for a lease to expire.
    pub slack: Micros,
    /// Maximum divergence of the two clocks of a machine during a lease.
    pub max_clock_divergence: Micros,
    /// The longest deadline of a request: a request in flight when the lease expires may run for up to this long.
    pub max_request_deadline: Micros,
}

impl LeaseSettings {
    /// How long the leader waits, by its own clock, until a lease of this length has expired by the holder's clock.
    pub fn safe_expiry(&self, duration: Micros) -> Micros {
        (duration as f64 * (1.0 + self.drift)).ceil() as Micros + self.slack
    }

    /// Interval between a holder's lease renewals.
    pub fn renewal_interval(&self) -> Micros {
        (self.duration / 4).max(1)
    }

    /// Whether a lease requested at `requested_at` is in force by both clocks.
    pub fn is_in_force(&self, requested_at: Clocks, expires_at: Micros, now: Clocks) -> bool {
        now.monotonic >= requested_at.monotonic
            && now.monotonic < expires_at
            && now.divergence_since(requested_at) <= self.max_clock_divergence
    }
}

/// Both clocks of a machine at one moment, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// Never goes backwards; may stop while the machine is suspended.
    pub monotonic: Micros,
    /// Unix time, which may be set forwards or backwards.
    pub wall: Micros,
}

impl Clocks {
    /// How far the two clocks have diverged since an earlier reading.
    pub fn divergence_since(&self, since: Clocks) -> Micros {
        let monotonic = i128::from(self.monotonic) - i128::from(since.monotonic);
        let wall = i128::from(self.wall) - i128::from(since.wall);
        (wall - monotonic).unsigned_abs().min(u128::from(u64::MAX)) as Micros
    }
}

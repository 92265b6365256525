//! The times that leases go by, and the clocks that they are measured with.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The times that leases go by; the same for all fronts of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseSettings {
    /// Length of a lease by the front's own file; the one in force comes with the responses.
    pub duration: Micros,
    /// How much faster one clock may run than another, as a fraction of 1.
    pub drift: f64,
    /// Added to every wait for an expiry.
    pub slack: Micros,
    /// How far the two clocks of a machine may diverge during a lease.
    pub max_clock_divergence: Micros,
    /// The longest deadline of a request: one that runs when the lease expires may go on for so long.
    pub max_request_deadline: Micros,
}

impl LeaseSettings {
    /// After this long by the leader's clock, a lease of this length has expired by the holder's.
    pub fn safe_expiry(&self, duration: Micros) -> Micros {
        (duration as f64 * (1.0 + self.drift)).ceil() as Micros + self.slack
    }

    /// How often a holder renews its lease.
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
    /// Never goes back; may stand still while the machine sleeps.
    pub monotonic: Micros,
    /// Unix time, which may be set.
    pub wall: Micros,
}

impl Clocks {
    /// By how much the two clocks have diverged since another moment.
    pub fn divergence_since(&self, since: Clocks) -> Micros {
        let monotonic = i128::from(self.monotonic) - i128::from(since.monotonic);
        let wall = i128::from(self.wall) - i128::from(since.wall);
        (wall - monotonic).unsigned_abs().min(u128::from(u64::MAX)) as Micros
    }
}

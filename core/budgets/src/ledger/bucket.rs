//! A token bucket whose rate and burst are a share of a budget's rate and burst.

use super::{ReservationOutcome, TotalLimit};
use crate::{Micros, PartsPerMillion, TOTAL};

/// Millionths of a unit.
pub(super) type MicroUnits = u64;
/// Micro-units in one unit.
pub(super) const MICRO_UNITS: MicroUnits = 1_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;
/// Divisor that converts the product of parts per million, micro-units per second and microseconds to micro-units.
const FILL_DIVISOR: u128 = TOTAL as u128 * MICROS_PER_SECOND;

/// Converts units to micro-units; negative numbers become 0.
pub(super) fn to_micro_units(units: f64) -> u128 {
    (units.max(0.0) * MICRO_UNITS as f64) as u128
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    quota: PartsPerMillion,
    content: MicroUnits,
    /// The fraction of the next micro-unit filled so far, in units of 1 / [`FILL_DIVISOR`].
    fill_remainder: u128,
    filled_at: Micros,
    /// Taken, but not yet known to be used; the sum of this and the content never exceeds the capacity.
    reserved: MicroUnits,
    /// Incremented when the quota expires: units reserved before are not returned.
    generation: u32,
}

impl TokenBucket {
    pub(super) fn empty(quota: PartsPerMillion, now: Micros) -> TokenBucket {
        TokenBucket { quota, filled_at: now, ..TokenBucket::default() }
    }

    pub(super) fn quota(&self) -> PartsPerMillion {
        self.quota
    }

    pub(super) fn content(&self) -> MicroUnits {
        self.content
    }

    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    pub(super) fn capacity(&self, limit: &TotalLimit) -> MicroUnits {
        (to_micro_units(limit.burst) * u128::from(self.quota) / u128::from(TOTAL)) as MicroUnits
    }

    /// The capacity minus what is reserved.
    fn unreserved_capacity(&self, limit: &TotalLimit) -> MicroUnits {
        self.capacity(limit).saturating_sub(self.reserved)
    }

    pub(super) fn refill(&mut self, limit: &TotalLimit, now: Micros) {
        // All steps of one engine input have the same time, and an empty quota never fills.
        if now <= self.filled_at || self.quota == 0 {
            self.filled_at = self.filled_at.max(now);
            return;
        }
        let elapsed_us = u128::from(now - self.filled_at);
        let filled = to_micro_units(limit.rate) * u128::from(self.quota) * elapsed_us + self.fill_remainder;
        let capacity = self.unreserved_capacity(limit);
        let content = u128::from(self.content) + filled / FILL_DIVISOR;
        self.content = content.min(u128::from(capacity)) as MicroUnits;
        self.fill_remainder = if self.content < capacity { filled % FILL_DIVISOR } else { 0 };
        self.filled_at = now;
    }

    /// Changes the quota; the content is cut, never raised.
    pub(super) fn resize(&mut self, limit: &TotalLimit, quota: PartsPerMillion, now: Micros) {
        self.refill(limit, now);
        self.quota = quota;
        self.content = self.content.min(self.unreserved_capacity(limit));
        self.fill_remainder = 0;
    }

    /// Sets the quota and the content to 0.
    pub(super) fn expire(&mut self, now: Micros) {
        let generation = self.generation.wrapping_add(1);
        *self = TokenBucket { filled_at: now, generation, ..TokenBucket::default() };
    }

    /// Whether this bucket is filled to a larger fraction than the other, and so would overflow first.
    pub(super) fn is_fuller_than(&self, other: &TokenBucket, limit: &TotalLimit) -> bool {
        let own_capacity = u128::from(self.unreserved_capacity(limit));
        let other_capacity = u128::from(other.unreserved_capacity(limit));
        u128::from(self.content) * other_capacity > u128::from(other.content) * own_capacity
    }

    /// Takes the whole amount or nothing.
    pub(super) fn try_take(&mut self, amount: MicroUnits) -> bool {
        let has_enough = self.content >= amount;
        if has_enough {
            self.content -= amount;
        }
        has_enough
    }

    /// Records that an amount that was taken may be returned.
    pub(super) fn reserve(&mut self, amount: MicroUnits) {
        self.reserved += amount;
    }

    pub(super) fn resolve(&mut self, limit: &TotalLimit, amount: MicroUnits, outcome: ReservationOutcome) {
        self.reserved = self.reserved.saturating_sub(amount);
        if outcome == ReservationOutcome::Unused {
            self.content = (self.content + amount).min(self.unreserved_capacity(limit));
        }
    }
}

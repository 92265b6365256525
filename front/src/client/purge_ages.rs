//! The age of a purge, by the timestamp of another machine whose clock may be far from this one's.
//!
//! Invariant: no purge is taken for older than it is while the clock that stamps purges runs evenly, however far this
//! machine's clock was off when the process started. By this machine's clock every timestamp seems older by the same
//! difference, and none is younger than nothing: the smallest age that was seen lately is at least that difference. A
//! timestamp from before the bus is known to have had no such event is not believed at all.
//!
//! A purge that is taken for younger than it is costs fetches: as many as if it had been made that much later.

use elmtide::Ms;

/// The smallest age counts for one to two of these: the clocks of two machines drift apart by a few milliseconds in it.
const WINDOW_MS: Ms = 120_000.0;

/// The smallest ages by this machine's clock, of this window and of the one before.
#[derive(Debug)]
pub struct PurgeAges {
    window_start: Ms,
    smallest: Ms,
    smallest_before: Ms,
}

impl Default for PurgeAges {
    fn default() -> PurgeAges {
        PurgeAges { window_start: f64::NEG_INFINITY, smallest: f64::INFINITY, smallest_before: f64::INFINITY }
    }
}

impl PurgeAges {
    /// Records the age of a timestamp by this machine's clock. Those that come together are all recorded before the age of
    /// one of them is asked for.
    pub fn observe(&mut self, own_age: Ms, now: Ms) {
        let windows = (now - self.window_start) / WINDOW_MS;
        if windows >= 1.0 {
            self.smallest_before = if windows < 2.0 { self.smallest } else { f64::INFINITY };
            (self.smallest, self.window_start) = (f64::INFINITY, now);
        }
        self.smallest = self.smallest.min(own_age);
    }

    /// The age of a purge whose age by this machine's clock is `own_age`, and which was told after all of `max_age` ago.
    pub fn age(&self, own_age: Ms, max_age: Option<Ms>) -> Ms {
        let difference = self.smallest.min(self.smallest_before);
        let age = (own_age - difference).max(0.0);
        match max_age {
            Some(max_age) if age > max_age => 0.0,
            _ => age,
        }
    }
}

#[cfg(test)]
mod tests;

//! Checks that all fronts together spend at most rate·t + burst of a budget in any window of length t.
//!
//! The check is exact without enumerating windows: a leaky-bucket level that falls at the rate and rises with each
//! spending exceeds the burst at some moment if and only if a window that ends there holds more than rate·t + burst.

use std::collections::BTreeMap;

/// The limit of a budget for all fronts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendLimit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be spent at once.
    pub burst: f64,
}

/// A moment at which the level of a budget was above its burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess<K> {
    /// The budget.
    pub key: K,
    /// Time in microseconds, on the clock of the records.
    pub at: u64,
    /// Units above rate·t in the fullest window that ends here.
    pub level: f64,
    /// Units above rate·t that a window may hold.
    pub burst: f64,
}

/// The leaky-bucket level of one budget.
#[derive(Clone, Debug, Default)]
struct Level {
    level: f64,
    at: u64,
    peak: f64,
    spent: f64,
}

/// Adds up the spendings of all fronts, in the order of their times.
#[derive(Clone, Debug)]
pub struct SpendChecker<K> {
    limits: BTreeMap<K, SpendLimit>,
    levels: BTreeMap<K, Level>,
    /// Number of spendings of budgets that have no limit set.
    pub unknown_spendings: u64,
    /// The first excesses, up to a maximum count.
    pub excesses: Vec<Excess<K>>,
}

/// Maximum number of excesses that are recorded.
const MAX_RECORDED_EXCESSES: usize = 100;

impl<K: Ord + Clone> SpendChecker<K> {
    /// A checker without budgets.
    pub fn new() -> SpendChecker<K> {
        SpendChecker {
            limits: BTreeMap::new(),
            levels: BTreeMap::new(),
            unknown_spendings: 0,
            excesses: Vec::new(),
        }
    }

    /// Sets the limit of a budget.
    pub fn set_limit(&mut self, key: K, limit: SpendLimit) {
        self.limits.insert(key, limit);
    }

    /// Records a spending. Times must not decrease.
    pub fn record(&mut self, key: K, units: f64, at: u64) {
        let Some(limit) = self.limits.get(&key) else {
            self.unknown_spendings += 1;
            return;
        };
        let level = self.levels.entry(key.clone()).or_default();
        let passed = at.saturating_sub(level.at) as f64 / 1e6;
        level.level = (level.level - limit.rate * passed).max(0.0) + units;
        level.at = level.at.max(at);
        level.spent += units;
        level.peak = level.peak.max(level.level);
        if level.level > limit.burst + 1e-6 && self.excesses.len() < MAX_RECORDED_EXCESSES {
            self.excesses.push(Excess { key, at, level: level.level, burst: limit.burst });
        }
    }

    /// Total units spent of a budget.
    pub fn total(&self, key: &K) -> f64 {
        self.levels.get(key).map_or(0.0, |l| l.spent)
    }

    /// Fill of the fullest window relative to the burst: 1 is at the limit, more is an excess.
    pub fn peak_ratio(&self, key: &K) -> f64 {
        let burst = self.limits.get(key).map_or(0.0, |w| w.burst);
        self.levels.get(key).map_or(0.0, |l| l.peak / burst.max(1e-9))
    }
}

impl<K: Ord + Clone> Default for SpendChecker<K> {
    fn default() -> Self {
        SpendChecker::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Compares the level with a check of every window.
    #[test]
    fn the_level_finds_an_excess_exactly_if_some_window_has_one() {
        let mut seed = 1u64;
        let mut draw = |limit_exclusive: u64| {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (seed >> 33) % limit_exclusive
        };
        let (mut found, mut clean) = (0, 0);
        for _ in 0..400 {
            let limit = SpendLimit { rate: 5.0, burst: 4.0 };
            let mut at = 0;
            let events: Vec<(u64, f64)> = (0..30)
                .map(|_| {
                    at += draw(400_000);
                    (at, 1.0)
                })
                .collect();
            let mut checker = SpendChecker::new();
            checker.set_limit((), limit);
            events.iter().for_each(|(at, units)| checker.record((), *units, *at));
            let mut over = false;
            for (i, (from, _)) in events.iter().enumerate() {
                let mut total = 0.0;
                for (to, units) in &events[i..] {
                    total += units;
                    over |= total > limit.rate * (to - from) as f64 / 1e6 + limit.burst + 1e-6;
                }
            }
            assert_eq!(!checker.excesses.is_empty(), over);
            found += usize::from(over);
            clean += usize::from(!over);
        }
        assert!(found > 20 && clean > 20, "{found} runs with an excess, {clean} without");
    }
}

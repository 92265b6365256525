//! Adapts the concurrency limit of a cell to the latency of its requests: additive increase, multiplicative decrease.

use crate::Ms;

/// A decrease multiplies the limit by this; at most one decrease in the time that a request takes.
const DECREASE_FACTOR: f64 = 0.85;
/// Fraction by which the baseline latency rises each second, so that it follows a fleet that has become slower.
const BASELINE_GROWTH_PER_S: f64 = 0.02;
/// Weight of one latency in the moving average.
const MEAN_WEIGHT: f64 = 0.1;
/// Half-life of the excess of the mean over the baseline. An overloaded cell renews the excess with each request; a
/// cell that gets few requests must not be held back by old latencies.
const EXCESS_HALF_LIFE: Ms = 500.0;

/// The concurrency limit of a cell, and the latencies that it depends on.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    min: f64,
    max: f64,
    /// The cell is overloaded above this many times the baseline latency.
    tolerance: f64,
    /// Latency without load; `None` before the first request.
    baseline: Option<Ms>,
    /// Moving average of the latency.
    mean: Ms,
    decreased_at: Ms,
    sampled_at: Ms,
}

impl ConcurrencyLimit {
    /// `bounds` are the initial, the lowest and the highest limit.
    pub fn new(bounds: (f64, f64, f64), tolerance: f64) -> ConcurrencyLimit {
        let (initial, min, max) = bounds;
        ConcurrencyLimit {
            limit: initial,
            min,
            max,
            tolerance,
            baseline: None,
            mean: 0.0,
            decreased_at: f64::MIN,
            sampled_at: 0.0,
        }
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Moving average of the latency; 0 before the first request.
    pub fn mean_latency(&self) -> Ms {
        self.mean
    }

    /// Whether the recent latency is above the tolerated one.
    pub fn is_overloaded(&self, now: Ms) -> bool {
        self.baseline.is_some_and(|baseline| self.decayed_mean(baseline, now) > baseline * self.tolerance)
    }

    /// The mean latency, its excess over the baseline decayed for the time since the last request.
    fn decayed_mean(&self, baseline: Ms, now: Ms) -> Ms {
        let excess = (self.mean - baseline).max(0.0);
        let half_lives = (now - self.sampled_at).max(0.0) / EXCESS_HALF_LIFE;
        self.mean.min(baseline + excess * 0.5f64.powf(half_lives))
    }

    /// Records a completed request: its latency, how many requests ran when it ended, and whether it failed (timed out
    /// or was refused by the node).
    pub fn record(&mut self, latency: Ms, running: usize, failed: bool, now: Ms) {
        if !(latency.is_finite() && latency >= 0.0 && now.is_finite()) {
            return;
        }
        let passed_s = (now - self.sampled_at).clamp(0.0, 60_000.0) / 1000.0;
        let mean = self.baseline.map_or(latency, |baseline| {
            let decayed = self.decayed_mean(baseline, now);
            decayed + (latency - decayed) * MEAN_WEIGHT
        });
        let baseline = self.baseline.map_or(latency, |baseline| {
            (baseline * (1.0 + BASELINE_GROWTH_PER_S * passed_s)).min(latency.max(0.1))
        });
        self.sampled_at = self.sampled_at.max(now);
        self.mean = mean;
        self.baseline = Some(baseline.max(0.1));
        if failed || self.is_overloaded(now) {
            if now - self.decreased_at > self.mean.max(baseline) {
                self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
                self.decreased_at = now;
            }
        } else if running as f64 * 2.0 >= self.limit {
            // The limit grows only while at least half of it is used, so that a burst after an idle time doesn't find a
            // limit that no load has confirmed.
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }
}

#[cfg(test)]
mod tests;

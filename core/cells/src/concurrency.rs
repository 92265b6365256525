//! How many requests of a cell run at once, by what their latency tells (additive increase, multiplicative decrease).

use crate::Ms;

/// The limit falls by this part, at most once in the time that a request takes.
const FALL: f64 = 0.85;
/// The latency at rest is forgotten at this rate a second, so that a slower fleet is learned.
const FORGET: f64 = 0.02;
/// Weight of one latency in the mean.
const GAIN: f64 = 0.1;
/// What the mean has above the latency at rest halves in this time. A cell that is overloaded shows it anew with each request;
/// one that gets few must not be judged by what was long ago.
const EXCESS_HALF_LIFE: Ms = 500.0;

#[derive(Clone, Debug)]
pub struct Concurrency {
    limit: f64,
    least: f64,
    most: f64,
    tolerance: f64,
    /// Latency at rest, and the mean of late; none before the first.
    rest: Option<Ms>,
    mean: Ms,
    fell: Ms,
    seen: Ms,
}

impl Concurrency {
    pub fn new(running: (f64, f64, f64), tolerance: f64) -> Concurrency {
        let (start, least, most) = running;
        Concurrency { limit: start, least, most, tolerance, rest: None, mean: 0.0, fell: f64::MIN, seen: 0.0 }
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Mean latency of late; 0 before the first.
    pub fn latency(&self) -> Ms {
        self.mean
    }

    /// Whether latency of late is above what is borne.
    pub fn strained(&self, now: Ms) -> bool {
        self.rest.is_some_and(|rest| self.faded_mean(rest, now) > rest * self.tolerance)
    }

    /// The mean latency, with what it has above the latency at rest faded since the last request.
    fn faded_mean(&self, rest: Ms, now: Ms) -> Ms {
        let excess = (self.mean - rest).max(0.0);
        let half_lives = (now - self.seen).max(0.0) / EXCESS_HALF_LIFE;
        self.mean.min(rest + excess * 0.5f64.powf(half_lives))
    }

    /// A request has come back: how long it took, how many ran then, and whether it was lost (timed out, turned away).
    pub fn back(&mut self, latency: Ms, running: usize, lost: bool, now: Ms) {
        if !(latency.is_finite() && latency >= 0.0 && now.is_finite()) {
            return;
        }
        let passed = (now - self.seen).clamp(0.0, 60_000.0) / 1000.0;
        let mean = self.rest.map_or(latency, |rest| {
            let faded = self.faded_mean(rest, now);
            faded + (latency - faded) * GAIN
        });
        let rest = self.rest.map_or(latency, |rest| (rest * (1.0 + FORGET * passed)).min(latency.max(0.1)));
        self.seen = self.seen.max(now);
        self.mean = mean;
        self.rest = Some(rest.max(0.1));
        if lost || self.strained(now) {
            if now - self.fell > self.mean.max(rest) {
                self.limit = (self.limit * FALL).max(self.least);
                self.fell = now;
            }
        } else if running as f64 * 2.0 >= self.limit {
            // Only what is used may grow: a burst after idleness finds the limit where it was.
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }
}

#[cfg(test)]
mod tests;

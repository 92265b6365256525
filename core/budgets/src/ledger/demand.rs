//! Estimates the recent demand for a budget: a long-term mean that restarts when demand has clearly changed.

/// Time constants of the two exponentially decaying sums, in seconds.
const SHORT_TERM_S: f64 = 1.0;
const LONG_TERM_S: f64 = 4.0;
/// The long-term mean is reported until the short-term mean differs from it by this many standard deviations of a
/// Poisson process. Demand has then changed, and the long-term mean restarts from the short-term one.
const CHANGE_THRESHOLD_DEVIATIONS: f64 = 3.0;
/// Weight of a new sample in the mean size.
const SIZE_SMOOTHING: f64 = 0.1;

/// Estimate of the recent demand in units.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimate {
    short_sum: f64,
    long_sum: f64,
    /// Mean number of units per request, which determines the variance.
    mean_size: f64,
}

impl DemandEstimate {
    pub(super) fn add(&mut self, units: f64) {
        self.short_sum += units;
        self.long_sum += units;
        let smoothing = if self.mean_size > 0.0 { SIZE_SMOOTHING } else { 1.0 };
        self.mean_size += (units - self.mean_size) * smoothing;
    }

    pub(super) fn decay(&mut self, seconds: f64) {
        self.short_sum *= (-seconds / SHORT_TERM_S).exp();
        self.long_sum *= (-seconds / LONG_TERM_S).exp();
    }

    /// Demand in units per second. A decaying sum equals the rate times its time constant.
    pub(super) fn rate(&mut self) -> f64 {
        let short_rate = self.short_sum / SHORT_TERM_S;
        let long_rate = self.long_sum / LONG_TERM_S;
        // For a Poisson process the decaying sum has half the variance of a count over its time constant.
        let rate = short_rate.max(long_rate).max(self.mean_size);
        let deviation = (rate * self.mean_size / (2.0 * SHORT_TERM_S)).sqrt();
        if (short_rate - long_rate).abs() > CHANGE_THRESHOLD_DEVIATIONS * deviation {
            self.long_sum = short_rate * LONG_TERM_S;
        }
        self.long_sum / LONG_TERM_S
    }
}

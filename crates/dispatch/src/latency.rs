//! Running estimates of the latency of a service or a target.

use std::time::Duration;

/// Estimates the mean, the median and an upper bound of a latency from a stream of samples.
///
/// # Examples
///
/// ```
/// use dispatch::LatencyEstimate;
/// use std::time::Duration;
///
/// let mut estimate = LatencyEstimate::new(Duration::from_millis(20));
/// estimate.record(Duration::from_millis(20));
/// assert_eq!(estimate.mean(), Duration::from_millis(20));
/// ```
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    mean_s: f64,
    deviation_s: f64,
    median_s: f64,
}

/// Weight of each sample in the exponentially weighted mean.
const MEAN_GAIN: f64 = 0.05;
/// Weight of each sample in the exponentially weighted mean deviation.
const DEVIATION_GAIN: f64 = 0.05;
/// Fraction of itself by which the median moves towards each sample.
const MEDIAN_STEP: f64 = 0.02;
/// Mean deviations that the upper bound lies above the mean.
const UPPER_BOUND_DEVIATIONS: f64 = 4.0;

impl LatencyEstimate {
    /// Returns an estimate that starts at `initial`.
    pub fn new(initial: Duration) -> Self {
        Self {
            mean_s: initial.as_secs_f64(),
            deviation_s: initial.as_secs_f64() / 2.0,
            median_s: initial.as_secs_f64(),
        }
    }

    /// Updates the estimates with one sample.
    pub fn record(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        let error = sample_s - self.mean_s;
        self.median_s *= 1.0 + MEDIAN_STEP * (sample_s - self.median_s).signum();
        self.mean_s += MEAN_GAIN * error;
        self.deviation_s += DEVIATION_GAIN * (error.abs() - self.deviation_s);
    }

    /// Returns the exponentially weighted mean of the samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }

    /// Returns an estimate of the median; each sample moves it by a fixed fraction.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_s.max(0.0))
    }

    /// Returns a latency that few samples exceed: the mean plus four mean deviations.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + UPPER_BOUND_DEVIATIONS * self.deviation_s).max(0.0))
    }
}

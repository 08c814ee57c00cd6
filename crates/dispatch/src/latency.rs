//! Running estimates of a service's latency.

use std::time::Duration;

/// Estimates the mean and a high quantile of a latency from a stream of samples.
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

const MEAN_GAIN: f64 = 0.05;
const DEVIATION_GAIN: f64 = 0.05;
/// Part of itself by which the median moves towards each sample.
const MEDIAN_STEP: f64 = 0.02;
const HIGH_DEVIATIONS: f64 = 4.0;

impl LatencyEstimate {
    /// Returns an estimate that begins at `first`.
    pub fn new(first: Duration) -> Self {
        Self {
            mean_s: first.as_secs_f64(),
            deviation_s: first.as_secs_f64() / 2.0,
            median_s: first.as_secs_f64(),
        }
    }

    /// Takes in one sample.
    pub fn record(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        let error = sample_s - self.mean_s;
        self.median_s *= 1.0 + MEDIAN_STEP * (sample_s - self.median_s).signum();
        self.mean_s += MEAN_GAIN * error;
        self.deviation_s += DEVIATION_GAIN * (error.abs() - self.deviation_s);
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }

    /// Returns the latency that half of the samples pass; it moves by a fixed part with each.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_s.max(0.0))
    }

    /// Returns a latency that few samples pass: the mean plus four mean deviations.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + HIGH_DEVIATIONS * self.deviation_s).max(0.0))
    }
}

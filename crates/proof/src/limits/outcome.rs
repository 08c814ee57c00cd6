//! Results of a run.

use std::time::Duration;

/// Compares what a run admitted with what one token bucket for all instances would have.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Number of requests that arrived; those that come back count once.
    pub arrived: u64,
    /// Number of refusals of any try.
    pub refusals: u64,
    /// Number of refusals later than 10 ms after the try.
    pub late_refusals: u64,
    /// Number of requests that were admitted.
    pub admitted: u64,
    /// Number of requests that one token bucket shared by all instances would have admitted.
    pub ideal: u64,
    /// Number of requests that were not admitted although the shared bucket would have done so.
    pub wrongly_refused: u64,
    /// Tokens left in the worst window; negative if the quota was exceeded.
    pub min_remaining: f64,
    /// Number of grant requests and grants; heartbeats and loans are not counted.
    pub messages: u64,
    /// Maximum time that an admitted request waited.
    pub max_wait: Duration,
}

impl Outcome {
    /// Returns the wrongly refused requests as a share of those within the quota.
    pub fn wrongly_refused_share(&self) -> f64 {
        self.wrongly_refused as f64 / (self.ideal as f64).max(1.0)
    }

    /// Returns by what share fewer requests were admitted than by the shared bucket.
    pub fn shortfall(&self) -> f64 {
        (self.ideal as f64 - self.admitted as f64).max(0.0) / (self.ideal as f64).max(1.0)
    }
}

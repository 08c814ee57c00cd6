//! Rate limit of log lines.

use std::time::Duration;

/// Limits the rate of log lines with a token bucket, part of which is reserved for failures.
///
/// # Examples
///
/// ```
/// use record::LineLimiter;
/// use std::time::Duration;
///
/// let mut limiter = LineLimiter::new(2.0);
/// assert!(limiter.admit(Duration::ZERO, false));
/// assert!(!limiter.admit(Duration::ZERO, false));
/// assert!(limiter.admit(Duration::ZERO, true));
/// assert_eq!(limiter.take_suppressed(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct LineLimiter {
    per_s: f64,
    available: f64,
    updated_at: Duration,
    suppressed: u64,
}

/// Fraction of the bucket's capacity that only failures may use.
const FAILURE_RESERVE: f64 = 0.5;

impl LineLimiter {
    /// Returns a limiter of `per_s` lines per second, with a burst of as many lines.
    pub fn new(per_s: f64) -> Self {
        Self {
            per_s,
            available: per_s,
            updated_at: Duration::ZERO,
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written at `now`, which is the time since any fixed point.
    pub fn admit(&mut self, now: Duration, is_failure: bool) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.available = (self.available + elapsed * self.per_s).min(self.per_s);
        let reserve = if is_failure {
            0.0
        } else {
            self.per_s * FAILURE_RESERVE
        };
        if self.available < reserve + 1.0 - f64::EPSILON {
            self.suppressed += 1;
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Returns the number of lines suppressed since the last call and resets it.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}

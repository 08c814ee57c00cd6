//! How many lines may be written, and which are left out first.

use std::time::Duration;

/// Admits lines up to a rate; successes give way to failures.
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
    level: f64,
    at: Duration,
    suppressed: u64,
}

/// Part of a second's lines that only failures may use.
const RESERVED: f64 = 0.5;

impl LineLimiter {
    /// Returns a volume of `per_s` lines a second, a second's lines at once at most.
    pub fn new(per_s: f64) -> Self {
        Self {
            per_s,
            level: per_s,
            at: Duration::ZERO,
            suppressed: 0,
        }
    }

    /// Returns whether a line may be written at `now`, the time since any fixed point.
    pub fn admit(&mut self, now: Duration, is_failure: bool) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.per_s).min(self.per_s);
        let kept = if is_failure {
            0.0
        } else {
            self.per_s * RESERVED
        };
        if self.level < kept + 1.0 - f64::EPSILON {
            self.suppressed += 1;
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Returns the lines left out since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}

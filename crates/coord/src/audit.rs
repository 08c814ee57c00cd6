//! A check that admissions kept to a quota in every window.

use base::Time;

use crate::Quota;

/// Finds the window in which admissions came nearest to, or most over, a quota.
///
/// Admissions keep to `burst + rate * (t - s)` in every window from s to t exactly when a bucket
/// that begins full and takes a unit for each never goes below zero.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Quota, QuotaAudit};
///
/// let mut audit = QuotaAudit::new(Quota { rate: 1.0, burst: 2.0 });
/// for _ in 0..2 {
///     audit.record(Time::ZERO);
/// }
/// assert!(audit.is_within_quota());
/// audit.record(Time::ZERO);
/// assert!(!audit.is_within_quota());
/// ```
#[derive(Debug, Clone)]
pub struct QuotaAudit {
    quota: Quota,
    level: f64,
    at: Time,
    least: f64,
    count: u64,
}

const ROUNDING: f64 = 1e-6;

impl QuotaAudit {
    /// Returns an audit with no admissions.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            level: quota.burst,
            at: Time::ZERO,
            least: quota.burst,
            count: 0,
        }
    }

    /// Records an admission; times must not fall.
    pub fn record(&mut self, at: Time) {
        let gained = self.quota.rate * (at - self.at).as_secs_f64();
        self.at = self.at.max(at);
        self.level = (self.level + gained).min(self.quota.burst) - 1.0;
        self.least = self.least.min(self.level);
        self.count += 1;
    }

    /// Returns whether every window kept to the quota.
    pub fn is_within_quota(&self) -> bool {
        self.least >= -ROUNDING
    }

    /// Returns the units left in the worst window; negative where the quota was passed.
    pub fn min_remaining(&self) -> f64 {
        self.least
    }

    /// Returns the number of admissions.
    pub fn count(&self) -> u64 {
        self.count
    }
}

//! Verifies that admissions stay within a quota over every time window.

use base::Time;

use crate::Quota;

/// Finds the window in which admissions come closest to a quota or exceed it most.
///
/// Admissions stay within `burst + rate * (t - s)` in every window from s to t exactly when a
/// token bucket that starts full and loses a token for each admission never goes below zero.
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
    updated_at: Time,
    min_level: f64,
    count: u64,
}

/// Rounding error that does not count as exceeding the quota, in tokens.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl QuotaAudit {
    /// Returns an audit that has recorded no admissions.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            level: quota.burst,
            updated_at: Time::ZERO,
            min_level: quota.burst,
            count: 0,
        }
    }

    /// Records an admission, which must not be earlier than the last one.
    pub fn record(&mut self, at: Time) {
        let gained = self.quota.rate * (at - self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(at);
        self.level = (self.level + gained).min(self.quota.burst) - 1.0;
        self.min_level = self.min_level.min(self.level);
        self.count += 1;
    }

    /// Returns whether admissions stayed within the quota in every window.
    pub fn is_within_quota(&self) -> bool {
        self.min_level >= -ROUNDING_TOLERANCE
    }

    /// Returns the tokens left in the worst window, negative if the quota was exceeded.
    pub fn min_remaining(&self) -> f64 {
        self.min_level
    }

    /// Returns the number of recorded admissions.
    pub fn count(&self) -> u64 {
        self.count
    }
}

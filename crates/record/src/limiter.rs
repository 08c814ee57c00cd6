//! Rate limit of log lines.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Limits the rate of log lines with a token bucket, part of which is reserved for failures; tasks share
/// it without a lock.
///
/// # Examples
///
/// ```
/// use record::LineLimiter;
/// use std::time::Duration;
///
/// let limiter = LineLimiter::new(2.0);
/// assert!(limiter.admit(Duration::ZERO, false));
/// assert!(!limiter.admit(Duration::ZERO, false));
/// assert!(limiter.admit(Duration::ZERO, true));
/// assert_eq!(limiter.take_suppressed(), 1);
/// ```
#[derive(Debug)]
pub struct LineLimiter {
    /// Time in which the bucket gains the token of one line.
    line_ns: u64,
    /// Time at which the bucket will be full.
    full_at_ns: AtomicU64,
    suppressed: AtomicU64,
}

/// Time in which an empty bucket becomes full.
const FILL_NS: u64 = 1_000_000_000;
/// Part of [`FILL_NS`] whose tokens only failures may use.
const FAILURE_RESERVE_NS: u64 = FILL_NS / 2;

impl LineLimiter {
    /// Returns a limiter of `per_s` lines per second, with a burst of as many lines.
    pub fn new(per_s: f64) -> Self {
        Self {
            line_ns: (FILL_NS as f64 / per_s) as u64,
            full_at_ns: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Returns whether a line may be written at `now`, which is the time since any fixed point.
    pub fn admit(&self, now: Duration, is_failure: bool) -> bool {
        let now_ns = now.as_nanos() as u64;
        let reserve_ns = if is_failure { 0 } else { FAILURE_RESERVE_NS };
        let use_token = |full_at_ns: u64| {
            let full_at_ns = full_at_ns.max(now_ns).saturating_add(self.line_ns);
            (full_at_ns - now_ns <= FILL_NS - reserve_ns).then_some(full_at_ns)
        };
        let used = self
            .full_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, use_token);
        if used.is_err() {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        used.is_ok()
    }

    /// Returns the number of lines suppressed since the last call and resets it.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}

//! A concurrency limit that learns from refusals.

use std::time::Duration;

use base::Time;

/// Limits the requests that one instance runs on one target at the same time.
///
/// The limit grows by one for each round of successes at the limit and shrinks by a factor on a
/// refusal, at most once a round (additive increase, multiplicative decrease).
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(4);
/// limit.refused(Time::from_secs(1));
/// assert_eq!(limit.current(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    most: f64,
    limit: f64,
    last_cut: Option<Time>,
}

const DECREASE: f64 = 0.7;
const CUT_PAUSE: Duration = Duration::from_millis(100);

impl ConcurrencyLimit {
    /// Returns a limit that begins at and never passes `most`.
    pub fn new(most: u32) -> Self {
        Self {
            most: f64::from(most.max(1)),
            limit: f64::from(most.max(1)),
            last_cut: None,
        }
    }

    /// Sets the number that the limit never passes.
    pub fn set_most(&mut self, most: u32) {
        self.most = f64::from(most.max(1));
        self.limit = self.limit.min(self.most);
    }

    /// Returns the requests that may run at the same time, at least one.
    pub fn current(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Records a success while `in_flight` requests ran.
    pub fn succeeded(&mut self, in_flight: u32) {
        if in_flight >= self.current() {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    /// Records a refusal for lack of capacity.
    pub fn refused(&mut self, now: Time) {
        if self.last_cut.is_some_and(|cut| now - cut < CUT_PAUSE) {
            return;
        }
        self.last_cut = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}

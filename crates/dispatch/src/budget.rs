//! A budget for retries and hedges as a fraction of successes.

/// Allows retries as a fraction of successful requests, so that retries can't multiply an overload.
///
/// # Examples
///
/// ```
/// use dispatch::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1, 1.0);
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    fraction: f64,
    cap: f64,
    level: f64,
}

impl RetryBudget {
    /// Returns a full budget that earns `fraction` of a retry per success, up to `cap` retries.
    pub fn new(fraction: f64, cap: f64) -> Self {
        Self {
            fraction,
            cap,
            level: cap,
        }
    }

    /// Returns the retries that are left now.
    pub fn available(&self) -> f64 {
        self.level
    }

    /// Records a success.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.fraction).min(self.cap);
    }

    /// Takes one retry and returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

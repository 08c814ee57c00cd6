//! A budget for retries and hedges as a fraction of successes.

/// Allows retries and hedges as a fraction of successful requests, so that they can't multiply an
/// overload.
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
    balance: f64,
}

impl RetryBudget {
    /// Returns a full budget that gains `fraction` of a retry per success, up to `cap` retries.
    pub fn new(fraction: f64, cap: f64) -> Self {
        Self {
            fraction,
            cap,
            balance: cap,
        }
    }

    /// Returns the number of retries and hedges that can be made now.
    pub fn available(&self) -> f64 {
        self.balance
    }

    /// Adds the retries that one success earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.fraction).min(self.cap);
    }

    /// Takes one retry from the budget; returns `false` where less than one is available.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

//! A budget for requests that run outside their planned region.

/// Fraction of the requests that may leave their planned region because it has no capacity.
const SPILL_FRACTION: f64 = 0.05;
/// Maximum balance of the spill budget, in requests.
const SPILL_CAP: f64 = 3.0;

/// Bounds the requests that leave their planned region because it has no capacity.
#[derive(Debug, Clone, Default)]
pub(crate) struct SpillBudget {
    balance: f64,
}

impl SpillBudget {
    /// Records a request that was placed in its planned region.
    pub(crate) fn deposit(&mut self) {
        self.balance = (self.balance + SPILL_FRACTION).min(SPILL_CAP);
    }

    /// Returns whether a request may be placed outside its planned region.
    pub(crate) fn is_allowed(&self) -> bool {
        self.balance >= 1.0
    }

    /// Records a request that was placed outside its planned region.
    pub(crate) fn withdraw(&mut self) {
        self.balance -= 1.0;
    }
}

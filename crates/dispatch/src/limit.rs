//! An adaptive concurrency limit driven by refusals.

/// Limits the requests that one instance runs at the same time on a target or in a region.
///
/// The limit grows a little with each success at the limit and shrinks by a fraction with each
/// refusal (additive increase, multiplicative decrease), so that instances that compete for the
/// same slots converge to equal shares. How many refusals that costs depends on the
/// [`AimdParams`].
///
/// # Examples
///
/// ```
/// use dispatch::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(4);
/// for _ in 0..100 {
///     limit.record_refusal();
/// }
/// assert!(limit.has_capacity(0) && !limit.has_capacity(2));
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    max: f64,
    limit: f64,
    params: AimdParams,
}

/// Sets how fast a limit adapts, and so how many refusals it takes to keep the slots fully used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AimdParams {
    /// Increase per success at the limit, divided by the current limit.
    pub increase: f64,
    /// Fraction of the limit that each refusal takes away.
    pub decrease: f64,
}

impl AimdParams {
    /// Parameters for targets in the instance's own region, where a refusal costs almost nothing.
    pub const SAME_REGION: Self = Self {
        increase: 1.0,
        decrease: 0.004,
    };
    /// Parameters for targets in other regions, where a refusal costs a round trip between regions.
    pub const OTHER_REGION: Self = Self {
        increase: 0.5,
        decrease: 0.03,
    };
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at `max` and never exceeds it.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self {
            max,
            limit: max,
            params: AimdParams::SAME_REGION,
        }
    }

    /// Sets how fast the limit adapts.
    pub fn with_params(mut self, params: AimdParams) -> Self {
        self.params = params;
        self
    }

    /// Sets the upper bound of the limit. The limit is lowered to a lower one, and rises in proportion
    /// with a higher one, since refusals have shown nothing of the room that is added.
    pub fn set_max(&mut self, max: u32) {
        let max = f64::from(max.max(1));
        self.limit = (self.limit * (max / self.max).max(1.0)).min(max);
        self.max = max;
    }

    /// Returns the number of requests that may run at the same time, at least one.
    pub fn current(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Returns whether one more request may run at the same time as `in_flight` others.
    pub fn has_capacity(&self, in_flight: u32) -> bool {
        in_flight < self.current()
    }

    /// Records a success while `in_flight` requests ran.
    pub fn record_success(&mut self, in_flight: u32) {
        if in_flight >= self.current() {
            self.limit = (self.limit + self.params.increase / self.limit).min(self.max);
        }
    }

    /// Records a refusal for lack of capacity.
    pub fn record_refusal(&mut self) {
        self.limit = (self.limit * (1.0 - self.params.decrease)).max(1.0);
    }
}

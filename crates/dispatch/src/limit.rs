//! A concurrency limit that learns from refusals.

/// Limits the requests that one instance runs at the same time on a target or in a region.
///
/// The limit grows a little with each success at the limit and shrinks by a share with each
/// refusal (additive increase, multiplicative decrease), so that instances that compete for the
/// same slots come to equal shares. How many refusals that costs depends on the [`Pace`].
///
/// # Examples
///
/// ```
/// use dispatch::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(4);
/// for _ in 0..100 {
///     limit.refused();
/// }
/// assert!(limit.has_room(0) && !limit.has_room(2));
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    most: f64,
    limit: f64,
    pace: Pace,
}

/// Sets how fast a limit moves, and so how many refusals it takes for full use of the slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Growth with each success at the limit, divided by the limit.
    pub increase: f64,
    /// Share that each refusal takes away.
    pub decrease: f64,
}

impl Pace {
    /// For targets so near that a refusal costs next to nothing.
    pub const NEAR: Self = Self {
        increase: 1.0,
        decrease: 0.004,
    };
    /// For targets in other regions.
    pub const FAR: Self = Self {
        increase: 0.5,
        decrease: 0.03,
    };
}

impl ConcurrencyLimit {
    /// Returns a limit that begins at and never passes `most`.
    pub fn new(most: u32) -> Self {
        let most = f64::from(most.max(1));
        Self {
            most,
            limit: most,
            pace: Pace::NEAR,
        }
    }

    /// Sets how fast the limit moves.
    pub fn pace(mut self, pace: Pace) -> Self {
        self.pace = pace;
        self
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

    /// Returns whether one more may run beside `in_flight` requests.
    pub fn has_room(&self, in_flight: u32) -> bool {
        in_flight < self.current()
    }

    /// Records a success while `in_flight` requests ran.
    pub fn succeeded(&mut self, in_flight: u32) {
        if in_flight >= self.current() {
            self.limit = (self.limit + self.pace.increase / self.limit).min(self.most);
        }
    }

    /// Records a refusal for lack of capacity.
    pub fn refused(&mut self) {
        self.limit = (self.limit * (1.0 - self.pace.decrease)).max(1.0);
    }
}

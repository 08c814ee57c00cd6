//! The shares that the instances of one region apply, updated with each set of measurements.

use std::collections::BTreeMap;

use base::RegionId;

use crate::plan::{Measurements, PlanPolicy, Shares, ShiftLimiter, desired_shares};

/// Computes one region's shares from measurements.
///
/// After a sudden loss of capacity the shares for the remaining capacity apply at once; every other
/// change is bounded by the shift cap. Without new measurements the shares stay as they are.
///
/// # Examples
///
/// ```
/// use steer::{Measurements, PlanPolicy, Steering};
///
/// let mut measurements = Measurements::default();
/// measurements.demand.insert("a".into(), 100.0);
/// measurements.capacity.insert("a".into(), 50.0);
/// measurements.capacity.insert("b".into(), 200.0);
/// measurements.egress_capacity.insert("a".into(), 1_000.0);
/// let mut steering = Steering::new("a".into(), PlanPolicy::default());
/// let shares = steering.update(0.0, &measurements).clone();
/// assert!((shares["b"] - 0.1).abs() < 1e-9);
/// ```
#[derive(Debug, Clone)]
pub struct Steering {
    local_region: RegionId,
    policy: PlanPolicy,
    shares: Shares,
    shift_limiter: ShiftLimiter,
    /// Capacity of each region by the last measurements, in requests per second.
    last_capacity: BTreeMap<RegionId, f64>,
}

impl Steering {
    /// Returns a steering whose shares send all traffic to `local_region`.
    pub fn new(local_region: RegionId, policy: PlanPolicy) -> Self {
        Self {
            shares: Shares::from([(local_region.clone(), 1.0)]),
            local_region,
            policy,
            shift_limiter: ShiftLimiter::default(),
            last_capacity: BTreeMap::new(),
        }
    }

    /// Sets the parameters of planning.
    pub fn set_policy(&mut self, policy: PlanPolicy) {
        self.policy = policy;
    }

    /// Updates the shares with new measurements and returns those to apply; `now_s` counts seconds
    /// since any fixed point.
    pub fn update(&mut self, now_s: f64, measurements: &Measurements) -> &Shares {
        let desired = desired_shares(measurements, self.policy);
        let Some(shares) = desired.get(&self.local_region) else {
            return &self.shares;
        };
        let has_lost_capacity = self.has_lost_capacity(measurements);
        self.last_capacity.clone_from(&measurements.capacity);
        self.shares = if has_lost_capacity {
            shares.clone()
        } else {
            self.shift_limiter
                .step(now_s, &self.shares, shares, self.policy)
        };
        &self.shares
    }

    /// Applies the shares for these measurements at once, regardless of the shift cap; meant for
    /// the time before any request has been seen.
    pub fn initialize(&mut self, measurements: &Measurements) {
        if let Some(shares) = desired_shares(measurements, self.policy).remove(&self.local_region) {
            self.shares = shares;
        }
    }

    /// Returns the shares of the last update.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns whether a region has lost more of its capacity than the threshold since the last
    /// measurements.
    fn has_lost_capacity(&self, measurements: &Measurements) -> bool {
        self.last_capacity.iter().any(|(region, old)| {
            let new = measurements.capacity.get(region).copied().unwrap_or(0.0);
            new < old * (1.0 - self.policy.capacity_loss_threshold)
        })
    }
}

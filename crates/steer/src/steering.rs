//! The shares that one region's instances apply, as measurements come in.

use base::RegionId;

use crate::{Measurements, PlanPolicy, Shares, ShiftLimiter, desired_shares};

/// Follows measurements on behalf of one region.
///
/// A loss of capacity is answered at once, by the shares that were worked out for what is left;
/// every other move keeps to the shift cap. Without fresh measurements nothing moves.
///
/// # Examples
///
/// ```
/// use steer::{Measurements, PlanPolicy, Steering};
///
/// let mut seen = Measurements::default();
/// seen.demand.insert("a".into(), 100.0);
/// seen.capacity.insert("a".into(), 50.0);
/// seen.capacity.insert("b".into(), 200.0);
/// seen.egress_capacity.insert("a".into(), 1_000.0);
/// let mut steering = Steering::new("a".into(), PlanPolicy::default());
/// let shares = steering.update(0.0, &seen).clone();
/// assert!((shares["b"] - 0.1).abs() < 1e-9);
/// ```
#[derive(Debug, Clone)]
pub struct Steering {
    home: RegionId,
    policy: PlanPolicy,
    shares: Shares,
    ramp: ShiftLimiter,
    capacity: Shares,
}

impl Steering {
    /// Returns a steering that serves everything at home.
    pub fn new(home: RegionId, policy: PlanPolicy) -> Self {
        Self {
            shares: Shares::from([(home.clone(), 1.0)]),
            home,
            policy,
            ramp: ShiftLimiter::default(),
            capacity: Shares::new(),
        }
    }

    /// Sets the constants of planning.
    pub fn set_policy(&mut self, policy: PlanPolicy) {
        self.policy = policy;
    }

    /// Takes in fresh measurements, by the seconds since any fixed point, and returns the shares
    /// to apply.
    pub fn update(&mut self, now_s: f64, seen: &Measurements) -> &Shares {
        let targets = desired_shares(seen, self.policy);
        let Some(target) = targets.get(&self.home) else {
            return &self.shares;
        };
        let is_sudden = self.has_lost_capacity(seen);
        self.capacity.clone_from(&seen.capacity);
        self.shares = if is_sudden {
            target.clone()
        } else {
            self.ramp.step(now_s, &self.shares, target, self.policy)
        };
        &self.shares
    }

    /// Applies the shares for these measurements at once, where no request has been seen yet.
    pub fn initialize(&mut self, seen: &Measurements) {
        if let Some(target) = desired_shares(seen, self.policy).remove(&self.home) {
            self.shares = target;
        }
    }

    /// Returns the shares that were applied last.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    fn has_lost_capacity(&self, seen: &Measurements) -> bool {
        self.capacity.iter().any(|(region, old)| {
            let new = seen.capacity.get(region).copied().unwrap_or(0.0);
            new < old * (1.0 - self.policy.capacity_loss_threshold)
        })
    }
}

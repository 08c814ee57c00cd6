//! Planned shares of each region's traffic by serving region, and contingencies for the loss of a
//! region.

use std::collections::BTreeMap;

use base::RegionId;

/// Shares of one region's traffic by the region that serves it; they add up to one.
pub type Shares = BTreeMap<RegionId, f64>;

/// Weighs the demand for one service against the capacity to serve it, in requests per second.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Measurements {
    /// Requests per second that the callers of each region send.
    pub demand: BTreeMap<RegionId, f64>,
    /// Requests per second that the targets of each region can serve.
    pub capacity: BTreeMap<RegionId, f64>,
    /// Requests per second that the link out of each region can carry.
    pub egress_capacity: BTreeMap<RegionId, f64>,
    /// Requests per second, from callers of all regions, that may run in this region only; they are
    /// not part of the demand.
    pub pinned_demand: BTreeMap<RegionId, f64>,
}

impl Measurements {
    /// Returns the capacity of each region that its pinned demand leaves free.
    fn free_capacity(&self) -> BTreeMap<RegionId, f64> {
        let remaining = |(region, capacity): (&RegionId, &f64)| {
            let pinned = self.pinned_demand.get(region).copied().unwrap_or(0.0);
            (region.clone(), (capacity - pinned).max(0.0))
        };
        self.capacity.iter().map(remaining).collect()
    }
}

/// Limits how full regions are planned to be and how fast traffic moves between them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanPolicy {
    /// Fraction of each region's capacity up to which it is planned to be used, while the total
    /// demand allows it.
    pub target_utilization: f64,
    /// Maximum share of a region's traffic that may move within one window.
    pub shift_cap: f64,
    /// Length of the shift window, in seconds.
    pub window_s: f64,
    /// Loss of a region's capacity, as a fraction of it, beyond which the shift cap does not apply.
    pub capacity_loss_threshold: f64,
}

impl Default for PlanPolicy {
    fn default() -> Self {
        Self {
            target_utilization: 0.85,
            shift_cap: 0.1,
            window_s: 60.0,
            capacity_loss_threshold: 0.1,
        }
    }
}

/// Divides each region's traffic among all regions, now and for the loss of any one of them.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Shares of each region's traffic.
    pub shares: BTreeMap<RegionId, Shares>,
    /// Shares of the remaining regions' traffic, by the region that is lost.
    pub contingencies: BTreeMap<RegionId, BTreeMap<RegionId, Shares>>,
}

/// Returns the shares that serve each region's demand as close to its callers as capacity allows.
///
/// Demand stays in its own region up to the capacity of that region. The rest is spread over the
/// other regions in proportion to their available capacity, up to what the link out of its region
/// carries. Where the total demand exceeds the target utilization, all regions are filled to the
/// same utilization, none over its capacity. Demand that fits nowhere stays in its own region,
/// where it is refused.
///
/// # Examples
///
/// ```
/// use steer::{Measurements, PlanPolicy, desired_shares};
///
/// let mut measurements = Measurements::default();
/// measurements.demand.insert("a".into(), 100.0);
/// measurements.capacity.insert("a".into(), 50.0);
/// measurements.capacity.insert("b".into(), 100.0);
/// measurements.egress_capacity.insert("a".into(), 1_000.0);
/// let policy = PlanPolicy { target_utilization: 1.0, ..PlanPolicy::default() };
/// let shares = desired_shares(&measurements, policy);
/// assert_eq!(shares["a"]["b"], 0.5);
/// ```
pub fn desired_shares(
    measurements: &Measurements,
    policy: PlanPolicy,
) -> BTreeMap<RegionId, Shares> {
    let utilization = planned_utilization(measurements, policy);
    let mut available: BTreeMap<RegionId, f64> = measurements
        .free_capacity()
        .iter()
        .map(|(region, capacity)| (region.clone(), capacity * utilization))
        .collect();
    let mut overflow = BTreeMap::new();
    let mut served: BTreeMap<RegionId, BTreeMap<RegionId, f64>> = BTreeMap::new();
    for (origin, demand) in &measurements.demand {
        let local = available.get_mut(origin).map_or(0.0, |available| {
            let taken = demand.min(*available);
            *available -= taken;
            taken
        });
        served
            .entry(origin.clone())
            .or_default()
            .insert(origin.clone(), local);
        overflow.insert(origin.clone(), demand - local);
    }
    distribute_overflow(measurements, &mut available, &overflow, &mut served);
    served
        .into_iter()
        .map(|(origin, served)| {
            let demand = measurements.demand.get(&origin).copied().unwrap_or(0.0);
            let shares = normalize_shares(&origin, served, demand);
            (origin, shares)
        })
        .collect()
}

/// Returns the planned utilization of each region: the target utilization, or more where the total
/// demand needs it, at most one.
pub fn planned_utilization(measurements: &Measurements, policy: PlanPolicy) -> f64 {
    let demand: f64 = measurements.demand.values().sum();
    let capacity: f64 = measurements.free_capacity().values().sum();
    if capacity <= 0.0 {
        return policy.target_utilization;
    }
    (demand / capacity).clamp(policy.target_utilization, 1.0)
}

/// Distributes the demand that does not fit in its own region over the available capacity, which
/// origins get in proportion to the demand that they send elsewhere.
fn distribute_overflow(
    measurements: &Measurements,
    available: &mut BTreeMap<RegionId, f64>,
    overflow: &BTreeMap<RegionId, f64>,
    served: &mut BTreeMap<RegionId, BTreeMap<RegionId, f64>>,
) {
    let requested: BTreeMap<&RegionId, f64> = overflow
        .iter()
        .map(|(origin, overflow)| {
            let egress = measurements
                .egress_capacity
                .get(origin)
                .copied()
                .unwrap_or(0.0);
            (origin, overflow.min(egress))
        })
        .collect();
    let total_requested: f64 = requested.values().sum();
    let total_available: f64 = available.values().sum();
    if total_requested <= 0.0 || total_available <= 0.0 {
        return;
    }
    let utilization = (total_requested / total_available).min(1.0);
    for (origin, requested) in requested {
        let fraction = requested / total_requested;
        for (region, available) in &*available {
            let moved = available * utilization * fraction;
            if moved > 0.0 {
                let to = served.entry(origin.clone()).or_default();
                *to.entry(region.clone()).or_insert(0.0) += moved;
            }
        }
    }
}

/// Converts served rates into shares that add up to one; what is not served stays at the origin.
fn normalize_shares(origin: &RegionId, served: BTreeMap<RegionId, f64>, demand: f64) -> Shares {
    if demand <= 0.0 {
        return Shares::from([(origin.clone(), 1.0)]);
    }
    let mut shares: Shares = served
        .into_iter()
        .map(|(region, served)| (region, served / demand))
        .collect();
    let sum: f64 = shares.values().sum();
    *shares.entry(origin.clone()).or_insert(0.0) += 1.0 - sum;
    shares.retain(|_, share| *share > 1e-9);
    shares
}

/// Returns the share of traffic that moves to another region between two sets of shares.
pub fn moved_share(old: &Shares, new: &Shares) -> f64 {
    new.iter()
        .map(|(region, share)| (share - old.get(region).copied().unwrap_or(0.0)).max(0.0))
        .sum()
}

/// Moves shares towards new ones within the shift cap.
///
/// All shifts within the last window count towards the cap, so that many small steps can't exceed
/// it.
#[derive(Debug, Clone, Default)]
pub struct ShiftLimiter {
    /// Time in seconds and moved share of each shift within the last window.
    recent_shifts: Vec<(f64, f64)>,
}

impl ShiftLimiter {
    /// Returns the shares to apply at `now_s` (seconds since any fixed point) on the way from `old`
    /// to `new`, and records the shift.
    pub fn step(&mut self, now_s: f64, old: &Shares, new: &Shares, policy: PlanPolicy) -> Shares {
        let cap = policy.shift_cap;
        self.recent_shifts
            .retain(|(at, _)| now_s - at < policy.window_s);
        let shifted: f64 = self.recent_shifts.iter().map(|(_, moved)| moved).sum();
        let requested = moved_share(old, new);
        let allowed = (cap - shifted).max(0.0);
        if requested <= 1e-9 || allowed <= 1e-9 {
            return old.clone();
        }
        let fraction = (allowed / requested).min(1.0);
        self.recent_shifts.push((now_s, requested * fraction));
        interpolate(old, new, fraction)
    }
}

fn interpolate(old: &Shares, new: &Shares, fraction: f64) -> Shares {
    let mut interpolated: Shares = old
        .iter()
        .map(|(region, share)| (region.clone(), share * (1.0 - fraction)))
        .collect();
    for (region, share) in new {
        *interpolated.entry(region.clone()).or_insert(0.0) += share * fraction;
    }
    interpolated.retain(|_, share| *share > 1e-9);
    interpolated
}

/// Returns the plan for the current measurements, with a contingency for the loss of each region.
///
/// A contingency adds the lost region's demand to the other regions in equal parts, since its
/// callers reconnect through instances there.
pub fn plan(measurements: &Measurements, policy: PlanPolicy) -> Plan {
    let contingencies = measurements
        .capacity
        .keys()
        .map(|lost| {
            (
                lost.clone(),
                desired_shares(&without_region(measurements, lost), policy),
            )
        })
        .collect();
    Plan {
        shares: desired_shares(measurements, policy),
        contingencies,
    }
}

/// Returns the measurements to expect after the loss of a region: its capacity is gone and its
/// demand comes from the other regions in equal parts.
pub fn without_region(measurements: &Measurements, lost: &RegionId) -> Measurements {
    let mut remaining = measurements.clone();
    remaining.capacity.remove(lost);
    remaining.egress_capacity.remove(lost);
    let moved = remaining.demand.remove(lost).unwrap_or(0.0);
    let others = remaining.demand.len().max(1) as f64;
    for demand in remaining.demand.values_mut() {
        *demand += moved / others;
    }
    remaining
}

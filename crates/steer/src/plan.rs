//! Shares of each region's traffic by region, and what to do when a region or domain is lost.

use std::collections::BTreeMap;

use base::RegionId;

/// Shares of one region's traffic by the region that serves it; they sum to one.
pub type Shares = BTreeMap<RegionId, f64>;

/// Holds what is known of one service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Measurements {
    /// Requests per second that callers of each region send.
    pub demand: BTreeMap<RegionId, f64>,
    /// Requests per second that each region's targets can serve.
    pub capacity: BTreeMap<RegionId, f64>,
    /// Requests per second that the link out of each region can carry.
    pub egress_capacity: BTreeMap<RegionId, f64>,
    /// Requests per second that may run in this region alone, from callers of all regions; they are
    /// no part of the demand.
    pub pinned_demand: BTreeMap<RegionId, f64>,
}

impl Measurements {
    /// Returns the capacity that is left beside what may run in one region alone.
    fn free_capacity(&self) -> BTreeMap<RegionId, f64> {
        let left = |(region, capacity): (&RegionId, &f64)| {
            let bound = self.pinned_demand.get(region).copied().unwrap_or(0.0);
            (region.clone(), (capacity - bound).max(0.0))
        };
        self.capacity.iter().map(left).collect()
    }
}

/// Holds the constants of planning.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanPolicy {
    /// Share of a region's capacity that is planned for while the whole has room.
    pub target_utilization: f64,
    /// Whether objects have one region for the callers of all regions.
    ///
    /// Then each region gets its part of the free capacity from everywhere, and nothing moves when
    /// callers do.
    pub has_global_affinity: bool,
    /// Largest share of a region's traffic that may move in one window.
    pub shift_cap: f64,
    /// Length of that window, in seconds.
    pub window_s: f64,
    /// Loss of a region's capacity, as a share of it, that is answered at once.
    pub capacity_loss_threshold: f64,
}

impl Default for PlanPolicy {
    fn default() -> Self {
        Self {
            target_utilization: 0.85,
            has_global_affinity: false,
            shift_cap: 0.1,
            window_s: 60.0,
            capacity_loss_threshold: 0.1,
        }
    }
}

/// Holds the shares of all regions, and the ones to apply when a region is lost.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Shares of each region's traffic.
    pub shares: BTreeMap<RegionId, Shares>,
    /// For each region that can be lost, the shares of the others' traffic.
    pub contingencies: BTreeMap<RegionId, BTreeMap<RegionId, Shares>>,
}

/// Returns the shares that serve each region's demand as near as capacity allows.
///
/// Demand stays at home as far as the home region has room; the rest goes to the regions with the
/// most room, as far as the link out of its region carries it. Where all demand together leaves
/// less room than the headroom, all regions are filled alike, none over its capacity. What fits
/// nowhere stays at home, where it is refused. Where objects span regions, all regions' callers have
/// the same shares.
///
/// # Examples
///
/// ```
/// use steer::{Measurements, PlanPolicy, desired_shares};
///
/// let mut seen = Measurements::default();
/// seen.demand.insert("a".into(), 100.0);
/// seen.capacity.insert("a".into(), 50.0);
/// seen.capacity.insert("b".into(), 100.0);
/// seen.egress_capacity.insert("a".into(), 1_000.0);
/// let policy = PlanPolicy { target_utilization: 1.0, ..PlanPolicy::default() };
/// let shares = desired_shares(&seen, policy);
/// assert_eq!(shares["a"]["b"], 0.5);
/// ```
pub fn desired_shares(seen: &Measurements, policy: PlanPolicy) -> BTreeMap<RegionId, Shares> {
    if policy.has_global_affinity {
        return common_shares(seen);
    }
    let filled = planned_utilization(seen, policy);
    let mut room: Shares = seen
        .free_capacity()
        .iter()
        .map(|(region, capacity)| (region.clone(), capacity * filled))
        .collect();
    let mut excess = BTreeMap::new();
    let mut served: BTreeMap<RegionId, Shares> = BTreeMap::new();
    for (origin, demand) in &seen.demand {
        let home = room.get_mut(origin).map_or(0.0, |room| {
            let taken = demand.min(*room);
            *room -= taken;
            taken
        });
        served
            .entry(origin.clone())
            .or_default()
            .insert(origin.clone(), home);
        excess.insert(origin.clone(), demand - home);
    }
    spread_excess(seen, &mut room, &excess, &mut served);
    served
        .into_iter()
        .map(|(origin, served)| {
            let demand = seen.demand.get(&origin).copied().unwrap_or(0.0);
            let shares = to_shares(&origin, served, demand);
            (origin, shares)
        })
        .collect()
}

/// Returns the same shares for all regions' callers: each region's part of the free capacity.
fn common_shares(seen: &Measurements) -> BTreeMap<RegionId, Shares> {
    let free = seen.free_capacity();
    let total: f64 = free.values().sum();
    if total <= 0.0 {
        let home = |origin: &RegionId| (origin.clone(), Shares::from([(origin.clone(), 1.0)]));
        return seen.demand.keys().map(home).collect();
    }
    let shares: Shares = free
        .into_iter()
        .filter(|(_, capacity)| *capacity > 0.0)
        .map(|(region, capacity)| (region, capacity / total))
        .collect();
    let common = |origin: &RegionId| (origin.clone(), shares.clone());
    seen.demand.keys().map(common).collect()
}

/// Returns the share of each region's capacity that is planned for: the headroom, or more where
/// the whole demand needs it, at most all.
pub fn planned_utilization(seen: &Measurements, policy: PlanPolicy) -> f64 {
    let demand: f64 = seen.demand.values().sum();
    let capacity: f64 = seen.free_capacity().values().sum();
    if capacity <= 0.0 {
        return policy.target_utilization;
    }
    (demand / capacity).clamp(policy.target_utilization, 1.0)
}

/// Sends what has no room at home elsewhere, all origins in proportion.
fn spread_excess(
    seen: &Measurements,
    room: &mut Shares,
    excess: &BTreeMap<RegionId, f64>,
    served: &mut BTreeMap<RegionId, Shares>,
) {
    let wanted: BTreeMap<&RegionId, f64> = excess
        .iter()
        .map(|(origin, excess)| {
            let link = seen.egress_capacity.get(origin).copied().unwrap_or(0.0);
            (origin, excess.min(link))
        })
        .collect();
    let all_wanted: f64 = wanted.values().sum();
    let all_room: f64 = room.values().sum();
    if all_wanted <= 0.0 || all_room <= 0.0 {
        return;
    }
    let filled = (all_wanted / all_room).min(1.0);
    for (origin, wanted) in wanted {
        let part = wanted / all_wanted;
        for (region, room) in &*room {
            let moved = room * filled * part;
            if moved > 0.0 {
                let to = served.entry(origin.clone()).or_default();
                *to.entry(region.clone()).or_insert(0.0) += moved;
            }
        }
    }
}

fn to_shares(origin: &RegionId, served: Shares, demand: f64) -> Shares {
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

/// Returns the share of traffic that differs between two divisions.
pub fn moved_share(old: &Shares, new: &Shares) -> f64 {
    new.iter()
        .map(|(region, share)| (share - old.get(region).copied().unwrap_or(0.0)).max(0.0))
        .sum()
}

/// Moves shares towards new ones as far as the shift cap allows.
///
/// It remembers what has moved within the last window, by the seconds since any fixed point, so
/// that many small steps keep to the cap, too.
#[derive(Debug, Clone, Default)]
pub struct ShiftLimiter {
    moves: Vec<(f64, f64)>,
}

impl ShiftLimiter {
    /// Returns the shares to apply at `now_s` on the way from `old` to `new`.
    pub fn step(&mut self, now_s: f64, old: &Shares, new: &Shares, policy: PlanPolicy) -> Shares {
        let cap = policy.shift_cap;
        self.moves.retain(|(at, _)| now_s - at < policy.window_s);
        let spent: f64 = self.moves.iter().map(|(_, moved)| moved).sum();
        let wanted = moved_share(old, new);
        let allowed = (cap - spent).max(0.0);
        if wanted <= 1e-9 || allowed <= 1e-9 {
            return old.clone();
        }
        let part = (allowed / wanted).min(1.0);
        self.moves.push((now_s, wanted * part));
        blend(old, new, part)
    }
}

fn blend(old: &Shares, new: &Shares, part: f64) -> Shares {
    let mut blended: Shares = old
        .iter()
        .map(|(region, share)| (region.clone(), share * (1.0 - part)))
        .collect();
    for (region, share) in new {
        *blended.entry(region.clone()).or_insert(0.0) += share * part;
    }
    blended.retain(|_, share| *share > 1e-9);
    blended
}

/// Returns the plan for the present measurements, with a contingency for each region.
///
/// A contingency moves the lost region's callers evenly to the others, since they come back
/// through the others' instances.
pub fn plan(seen: &Measurements, policy: PlanPolicy) -> Plan {
    let contingencies = seen
        .capacity
        .keys()
        .map(|lost| {
            (
                lost.clone(),
                desired_shares(&without_region(seen, lost), policy),
            )
        })
        .collect();
    Plan {
        shares: desired_shares(seen, policy),
        contingencies,
    }
}

/// Returns the measurements as they would be without a region.
pub fn without_region(seen: &Measurements, lost: &RegionId) -> Measurements {
    let mut left = seen.clone();
    left.capacity.remove(lost);
    left.egress_capacity.remove(lost);
    let moved = left.demand.remove(lost).unwrap_or(0.0);
    let others = left.demand.len().max(1) as f64;
    for demand in left.demand.values_mut() {
        *demand += moved / others;
    }
    left
}

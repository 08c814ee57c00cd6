//! The targets, the queue and the statistics of one service.

pub(crate) mod choice;
mod statistics;

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, Service, TargetId, Time};
use chart::Chart;

use crate::{
    AimdParams, ConcurrencyLimit, FairQueue, LatencyEstimate, RequestId, Target, TargetEvent,
    TargetState, backlog::BacklogTracker, hash::seeded_hash, target::INITIAL_LATENCY,
    throughput::Throughput,
};

/// Divides a service's traffic among the regions of its targets, as planned for the instance's region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RegionShares {
    /// Share of each region; a region without one gets only what the others can't take.
    pub shares: BTreeMap<RegionId, f64>,
}

/// Queues the requests of one service, selects targets for them and measures how they are answered.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) targets: Vec<Target>,
    /// Position of each target in `targets`.
    pub(crate) index: BTreeMap<TargetId, usize>,
    pub(crate) regions: BTreeMap<RegionId, RegionPool>,
    pub(crate) queue: FairQueue<RequestId>,
    pub(crate) backlog: BacklogTracker,
    pub(crate) latency: LatencyEstimate,
    /// Latency on free targets that ranked first for the object or were the cheaper of two.
    warm_latency: Option<LatencyEstimate>,
    /// Latency on free targets that ranked lower or were in another region than planned.
    cold_latency: Option<LatencyEstimate>,
    /// Most urgent priority among the service's routes.
    pub(crate) top_priority: u32,
    pub(crate) throughput: Throughput,
    pub(crate) region_shares: RegionShares,
}

/// Limits what this instance runs on the targets of one region together.
#[derive(Debug, Clone)]
pub(crate) struct RegionPool {
    /// Positions of the region's targets in [`Pool::targets`].
    pub(crate) members: Vec<usize>,
    /// Requests of this instance that are in flight in the region.
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    /// Latency on free targets of the region that ranked first; `None` before the first sample.
    pub(crate) warm_latency: Option<LatencyEstimate>,
    /// Whether the slots of its targets are not known yet.
    is_new: bool,
}

/// Passes what is the same for all targets to the functions that update them.
#[derive(Debug)]
pub(crate) struct TargetContext<'a> {
    /// State chart of a target.
    pub(crate) chart: &'a Chart<TargetState, TargetEvent>,
    /// Number of instances that share the capacity of the targets.
    pub(crate) instance_count: u32,
    /// Number that distinguishes this instance from the others.
    pub(crate) instance_seed: u64,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            targets: Vec::new(),
            index: BTreeMap::new(),
            regions: BTreeMap::new(),
            queue: FairQueue::default(),
            backlog: BacklogTracker::default(),
            latency: LatencyEstimate::new(INITIAL_LATENCY),
            warm_latency: None,
            cold_latency: None,
            top_priority: 0,
            throughput: Throughput::default(),
            region_shares: RegionShares::default(),
        }
    }

    /// Adds new targets and updates known ones; targets that are no longer configured stay until
    /// [`Pool::remove_unused`].
    ///
    /// Returns the positions of the known targets that are in another region or at another address now.
    pub(crate) fn configure<F>(
        &mut self,
        now: Time,
        service: &Service,
        context: &TargetContext<'_>,
        region_of: F,
    ) -> Vec<usize>
    where
        F: Fn(&base::DomainId) -> Option<RegionId>,
    {
        let mut moved = Vec::new();
        for (id, target) in &service.targets {
            let region = region_of(&target.domain).unwrap_or_else(RegionId::unknown);
            if let Some(&idx) = self.index.get(id) {
                let has_other_addr = self.targets[idx].set_addr(target.addr);
                if self.move_target(idx, region) || has_other_addr {
                    moved.push(idx);
                }
                self.targets[idx].set_slots(service.slots_of(target));
                self.apply_registration(now, idx, service, target, context);
                continue;
            }
            let idx = self.targets.len();
            let slots = service.slots_of(target);
            let added = Target::new(now, id.clone(), region.clone(), target.addr, slots);
            self.targets.push(added);
            self.index.insert(id.clone(), idx);
            self.region_entry(region).members.push(idx);
            self.apply_registration(now, idx, service, target, context);
        }
        moved
    }

    /// Applies the fields of a target's entry that concern the target itself.
    pub(crate) fn apply_registration(
        &mut self,
        now: Time,
        idx: usize,
        service: &Service,
        target: &base::Target,
        context: &TargetContext<'_>,
    ) {
        let Some(registration) = target.registered else {
            return;
        };
        let cold_interval = service.cold.map_or(Duration::ZERO, |cold| {
            cold_interval(cold.max_per_s, context, &self.targets[idx].id)
        });
        self.targets[idx].update_registration(now, context.chart, registration, cold_interval);
    }

    /// Removes targets that are no longer configured, have no request in flight and have said nothing
    /// lately, once they outnumber the others.
    ///
    /// Returns the new position of each target, or `None` where nothing was removed.
    pub(crate) fn remove_unused(
        &mut self,
        now: Time,
        service: &Service,
    ) -> Option<Vec<Option<usize>>> {
        let is_kept = |target: &Target| {
            target.in_flight > 0
                || service.targets.contains_key(&target.id)
                || target.is_remembered(now)
        };
        let kept = self.targets.iter().filter(|target| is_kept(target)).count();
        if self.targets.len() - kept <= kept.max(MIN_UNUSED_TARGETS) {
            return None;
        }
        let mut next = 0;
        let new_indices: Vec<Option<usize>> = self
            .targets
            .iter()
            .map(|target| {
                let new_idx = is_kept(target).then_some(next);
                next += usize::from(new_idx.is_some());
                new_idx
            })
            .collect();
        self.targets.retain(is_kept);
        self.index.retain(|_, idx| match new_indices[*idx] {
            Some(new_idx) => {
                *idx = new_idx;
                true
            }
            None => false,
        });
        for region in self.regions.values_mut() {
            region.members = region
                .members
                .iter()
                .filter_map(|idx| new_indices[*idx])
                .collect();
        }
        Some(new_indices)
    }

    /// Moves a target that is in another region now, with what is in flight on it, and returns whether
    /// it is.
    fn move_target(&mut self, idx: usize, region: RegionId) -> bool {
        let target = &mut self.targets[idx];
        if target.region == region {
            return false;
        }
        let in_flight = target.in_flight;
        let left = std::mem::replace(&mut target.region, region.clone());
        if let Some(pool) = self.regions.get_mut(&left) {
            pool.members.retain(|member| *member != idx);
            pool.in_flight = pool.in_flight.saturating_sub(in_flight);
        }
        let pool = self.region_entry(region);
        pool.members.push(idx);
        pool.in_flight += in_flight;
        true
    }

    fn region_entry(&mut self, region: RegionId) -> &mut RegionPool {
        self.regions.entry(region).or_insert_with(|| RegionPool {
            members: Vec::new(),
            in_flight: 0,
            limit: ConcurrencyLimit::new(1),
            warm_latency: None,
            is_new: true,
        })
    }

    /// Sets the maximum of each region's limit to the slots of all its targets.
    pub(crate) fn resize_limits(&mut self, local_region: &RegionId) {
        for (region, pool) in &mut self.regions {
            let slots = pool
                .members
                .iter()
                .map(|idx| self.targets[*idx].slots())
                .sum();
            if std::mem::take(&mut pool.is_new) {
                let params = if region == local_region {
                    AimdParams::SAME_REGION
                } else {
                    AimdParams::OTHER_REGION
                };
                pool.limit = ConcurrencyLimit::new(slots).with_params(params);
            } else {
                pool.limit.set_max(slots);
            }
        }
    }
}

/// Returns the minimum time between two requests of this instance to a cold target.
///
/// Where many instances share the target's rate, only a subset sends it anything, drawn per target
/// by a hash: about as many instances as the target can take requests in a second, so that it is
/// not overloaded even if all of them send in the same second.
fn cold_interval(per_s: f64, context: &TargetContext<'_>, target: &TargetId) -> Duration {
    let per_s = per_s.max(1e-3);
    let instance_count = f64::from(context.instance_count.max(1));
    let max_senders = per_s.max(1.0) * COLD_SENDERS_PER_RATE;
    if instance_count <= max_senders {
        return Duration::from_secs_f64(instance_count / per_s);
    }
    let draw = seeded_hash(context.instance_seed, target.as_str()) as f64 / u64::MAX as f64;
    if draw * instance_count < max_senders {
        Duration::from_secs_f64(max_senders / per_s)
    } else {
        NEVER_WHILE_COLD
    }
}

/// Number of unused targets up to which none is removed.
const MIN_UNUSED_TARGETS: usize = 16;
/// Instances that may send to a cold target, as a multiple of its rate in requests per second.
const COLD_SENDERS_PER_RATE: f64 = 1.5;
/// Interval for an instance that sends nothing to a cold target; longer than any target stays cold.
const NEVER_WHILE_COLD: Duration = Duration::from_secs(24 * 3_600);

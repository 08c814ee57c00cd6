//! The targets, the queue and the statistics of one service.

use std::{collections::BTreeMap, time::Duration};

use base::{AllowedRegions, RegionId, Service, TargetId, Time, WorkspaceId};
use chart::Chart;
use rand::{Rng, RngExt};

use crate::{
    AimdParams, ConcurrencyLimit, FairQueue, LatencyEstimate, RequestId, SelectionReason, Target,
    TargetEvent, TargetState, backlog::BacklogTracker, hash::seeded_hash, target::INITIAL_LATENCY,
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

/// Constrains the regions that a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RegionConstraints<'a> {
    /// Region of the instance.
    pub(crate) local_region: &'a RegionId,
    /// Regions in which the request may run.
    pub(crate) allowed: &'a AllowedRegions,
    /// Whether the request has waited long enough to be worth a round trip to another region.
    pub(crate) allows_other_regions: bool,
    /// Slots of the region that the request must leave free.
    pub(crate) reserved_slots: u32,
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
    /// Returns the positions of the known targets that are in another region now.
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
                if self.move_target(idx, region) {
                    moved.push(idx);
                }
                self.targets[idx].set_slots(service.slots_of(target));
                self.apply_registration(now, idx, service, target, context);
                continue;
            }
            let idx = self.targets.len();
            let slots = service.slots_of(target);
            self.targets
                .push(Target::new(now, id.clone(), region.clone(), slots));
            self.index.insert(id.clone(), idx);
            self.region_entry(region).members.push(idx);
            self.apply_registration(now, idx, service, target, context);
        }
        moved
    }

    fn apply_registration(
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

    /// Selects a free target other than the one at `avoid`: in the planned region, then in the
    /// local one, then in the others, if the constraints allow them or no target of the first of
    /// these regions takes requests.
    pub(crate) fn choose_target<R>(
        &self,
        now: Time,
        rng: &mut R,
        constraints: RegionConstraints<'_>,
        avoid: Option<usize>,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let allowed = constraints.allowed;
        let planned = self.pick_planned_region(rng, allowed);
        let first = planned.as_ref().unwrap_or(constraints.local_region);
        let mut found = self.choose_in_region(now, rng, constraints, first, avoid);
        if found.is_none() && first != constraints.local_region {
            found = self.choose_in_region(now, rng, constraints, constraints.local_region, avoid);
        }
        if found.is_some()
            || !(constraints.allows_other_regions
                || !allowed.contains(first)
                || self.is_region_unavailable(now, first))
        {
            return found;
        }
        let others: Vec<&RegionId> = self
            .regions
            .keys()
            .filter(|region| *region != first)
            .collect();
        // Starts at a random region, so that the first by name gets no preference.
        let start = rng.random_range(0..others.len().max(1));
        (0..others.len())
            .map(|step| others[(start + step) % others.len()])
            .find_map(|region| self.choose_in_region(now, rng, constraints, region, avoid))
    }

    /// Returns whether no target of a region takes requests.
    fn is_region_unavailable(&self, now: Time, region: &RegionId) -> bool {
        self.regions.get(region).is_none_or(|pool| {
            let mut members = pool.members.iter();
            members.all(|idx| self.targets[*idx].concurrency_limit(now) == 0)
        })
    }

    fn choose_in_region<R>(
        &self,
        now: Time,
        rng: &mut R,
        constraints: RegionConstraints<'_>,
        region: &RegionId,
        avoid: Option<usize>,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let pool = self.regions.get(region)?;
        if !constraints.allowed.contains(region) {
            return None;
        }
        if !pool
            .limit
            .has_capacity(pool.in_flight + constraints.reserved_slots)
        {
            return None;
        }
        self.choose_among(now, rng, &pool.members, avoid)
    }

    /// Draws one of the allowed regions in proportion to the planned shares, or `None` without any.
    fn pick_planned_region<R>(&self, rng: &mut R, allowed: &AllowedRegions) -> Option<RegionId>
    where
        R: Rng,
    {
        let shares = self.region_shares.shares.iter();
        let shares: Vec<_> = shares
            .filter(|(region, _)| allowed.contains(region))
            .collect();
        let total: f64 = shares.iter().map(|(_, share)| **share).sum();
        if total <= 0.0 {
            return None;
        }
        let mut point = rng.random::<f64>() * total;
        for (region, share) in &shares {
            point -= **share;
            if point < 0.0 {
                return Some((*region).clone());
            }
        }
        shares.last().map(|(region, _)| (*region).clone())
    }

    /// Returns the cheaper of two random targets, or any free one where neither of the two is.
    fn choose_among<R>(
        &self,
        now: Time,
        rng: &mut R,
        members: &[usize],
        avoid: Option<usize>,
    ) -> Option<usize>
    where
        R: Rng,
    {
        if members.is_empty() {
            return None;
        }
        let is_usable = |idx: usize| Some(idx) != avoid && self.targets[idx].has_capacity(now);
        let first = members[rng.random_range(0..members.len())];
        let second = members[rng.random_range(0..members.len())];
        match (is_usable(first), is_usable(second)) {
            (true, true) => {
                let is_first_cheaper =
                    self.targets[first].cost(now) <= self.targets[second].cost(now);
                Some(if is_first_cheaper { first } else { second })
            }
            (true, false) => Some(first),
            (false, true) => Some(second),
            (false, false) => members.iter().copied().find(|&idx| is_usable(idx)),
        }
    }

    /// Returns whether any target of these regions takes requests at all, even if it is full now.
    pub(crate) fn has_available_target(&self, now: Time, allowed: &AllowedRegions) -> bool {
        self.targets
            .iter()
            .any(|target| allowed.contains(&target.region) && target.concurrency_limit(now) > 0)
    }

    /// Records that a request is sent to a target.
    pub(crate) fn record_start(&mut self, now: Time, idx: usize, workspace: &WorkspaceId) {
        self.backlog.record_start(now, workspace);
        let target = &mut self.targets[idx];
        target.record_send(now);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.in_flight += 1;
        }
    }

    /// Records that a request has ended on a target.
    pub(crate) fn record_end(&mut self, now: Time, idx: usize, workspace: &WorkspaceId) {
        self.backlog.record_end(now, workspace);
        let target = &mut self.targets[idx];
        target.in_flight = target.in_flight.saturating_sub(1);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.in_flight = pool.in_flight.saturating_sub(1);
        }
    }

    /// Records a response; `reason` tells whether its latency is a sample for warm targets, for
    /// cold ones or for neither.
    pub(crate) fn record_response(
        &mut self,
        now: Time,
        idx: usize,
        reason: SelectionReason,
        latency: Duration,
    ) {
        self.latency.record(latency);
        self.throughput.record_response(now, !self.queue.is_empty());
        let target = &mut self.targets[idx];
        target.record_word(now);
        let estimate = match reason {
            SelectionReason::First | SelectionReason::Cheaper => Some(&mut self.warm_latency),
            SelectionReason::Next | SelectionReason::OtherRegion => Some(&mut self.cold_latency),
            SelectionReason::ShortQueue => None,
        };
        if let Some(estimate) = estimate {
            estimate
                .get_or_insert_with(|| LatencyEstimate::new(latency))
                .record(latency);
        }
        target.record_success(latency);
        target.record_result(false);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.limit.record_success(pool.in_flight);
        }
    }

    /// Records a refusal for lack of capacity.
    pub(crate) fn record_refusal(&mut self, now: Time, idx: usize) {
        let target = &mut self.targets[idx];
        target.record_word(now);
        target.record_refusal(now);
        target.record_result(true);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.limit.record_refusal();
        }
    }

    /// Returns the mean latency of a request on a warm target with a free slot.
    pub(crate) fn service_time(&self) -> Duration {
        self.warm_latency
            .as_ref()
            .map_or(Duration::ZERO, LatencyEstimate::mean)
    }

    /// Returns the median latency of a request on a warm target with a free slot. Unlike the mean,
    /// it is not raised by the occasional cold request.
    pub(crate) fn median_service_time(&self) -> Duration {
        self.warm_latency
            .as_ref()
            .map_or(Duration::ZERO, LatencyEstimate::median)
    }

    /// Returns the mean latency on a target that is cold for the object, at least twice the warm
    /// one.
    pub(crate) fn cold_service_time(&self) -> Duration {
        let cold = self.cold_latency.as_ref().map(LatencyEstimate::mean);
        cold.unwrap_or_default().max(self.service_time() * 2)
    }

    /// Returns the time that a request sent now is expected to take, with a margin of half the
    /// mean; a request with less time left is refused.
    pub(crate) fn expected_latency(&self) -> Duration {
        self.latency.mean() + self.latency.mean() / 2
    }

    /// Predicts how long a new request of `workspace` would wait for a target.
    pub(crate) fn predicted_wait(&self, now: Time, workspace: &WorkspaceId) -> Duration {
        let concurrency: u32 = self
            .regions
            .values()
            .map(|pool| {
                let allowed = pool
                    .members
                    .iter()
                    .map(|idx| self.targets[*idx].concurrency_limit(now));
                allowed.sum::<u32>().min(pool.limit.current())
            })
            .sum();
        let ahead = self.queue.ahead_of(workspace) + 1;
        if let Some(wait) = self.throughput.time_for(ahead) {
            return wait;
        }
        self.latency.mean().mul_f64(ahead as f64) / concurrency.max(1)
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

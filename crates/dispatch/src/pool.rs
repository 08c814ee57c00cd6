//! The targets and the queue of one service.

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, Service, TargetId, Time, WorkspaceId};
use chart::Chart;
use rand::{Rng, RngExt};

use crate::{
    AimdParams, ConcurrencyLimit, FairQueue, LatencyEstimate, RequestId, SelectionReason, Target,
    TargetEvent, TargetState,
    active::Active,
    place::{Spill, mix},
    target::FIRST_LATENCY,
    throughput::Throughput,
};

/// Shares of a service's traffic by region, as the plan sets them for this instance's region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RegionShares {
    /// Share of each region; a region without one takes only what the others can't.
    pub shares: BTreeMap<RegionId, f64>,
}

#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) targets: Vec<Target>,
    pub(crate) index: BTreeMap<TargetId, usize>,
    pub(crate) regions: BTreeMap<RegionId, RegionPool>,
    pub(crate) queue: FairQueue<RequestId>,
    pub(crate) active: Active,
    pub(crate) latency: LatencyEstimate,
    /// Latency on objects' first choices that had a free slot.
    service: Option<LatencyEstimate>,
    /// Latency on other targets that had a free slot.
    cold: Option<LatencyEstimate>,
    /// Rank of the most urgent requests that come here.
    pub(crate) most_urgent: u32,
    /// Shortest latency objective of routes that keep objects together here; `None` without any.
    pub(crate) objective: Option<Duration>,
    pub(crate) spill: Spill,
    pub(crate) throughput: Throughput,
    pub(crate) route: RegionShares,
}

/// Holds the targets of one region and what this instance runs on them.
#[derive(Debug, Clone)]
pub(crate) struct RegionPool {
    pub(crate) members: Vec<usize>,
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
}

/// Holds what all targets have in common.
#[derive(Debug)]
pub(crate) struct TargetRules<'a> {
    /// Transitions of a target's state.
    pub(crate) chart: &'a Chart<TargetState, TargetEvent>,
    /// Number of instances that share what the targets bear.
    pub(crate) instance_count: u32,
    /// Number that tells this instance from the others.
    pub(crate) instance_seed: u64,
}

/// Tells which regions a request may go to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reach<'a> {
    /// Region of the instance.
    pub(crate) home: &'a RegionId,
    /// Whether the request has waited so long that another region is worth the way.
    pub(crate) is_far_worthwhile: bool,
    /// Requests that must still have room beside it.
    pub(crate) spared: u32,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            targets: Vec::new(),
            index: BTreeMap::new(),
            regions: BTreeMap::new(),
            queue: FairQueue::default(),
            active: Active::default(),
            latency: LatencyEstimate::new(FIRST_LATENCY),
            service: None,
            cold: None,
            most_urgent: 0,
            objective: None,
            spill: Spill::default(),
            throughput: Throughput::default(),
            route: RegionShares::default(),
        }
    }

    /// Adds new targets; ones that are gone keep their place until their requests have ended.
    pub(crate) fn configure<F>(
        &mut self,
        now: Time,
        service: &Service,
        rules: &TargetRules<'_>,
        region_of: F,
    ) where
        F: Fn(&base::DomainId) -> Option<RegionId>,
    {
        for (id, target) in &service.targets {
            if let Some(&idx) = self.index.get(id) {
                self.targets[idx].set_slots(service.slots);
                self.register(now, idx, service, target, rules);
                continue;
            }
            let region = region_of(&target.domain).unwrap_or_else(|| RegionId::from(""));
            let idx = self.targets.len();
            self.targets
                .push(Target::new(now, id.clone(), region.clone(), service.slots));
            self.index.insert(id.clone(), idx);
            self.region(region).members.push(idx);
            self.register(now, idx, service, target, rules);
        }
    }

    fn register(
        &mut self,
        now: Time,
        idx: usize,
        service: &Service,
        target: &base::Target,
        rules: &TargetRules<'_>,
    ) {
        let Some(told) = target.registered else {
            return;
        };
        let pause = service.cold.map_or(Duration::ZERO, |cold| {
            cold_pause(cold.max_per_s, rules, &self.targets[idx].id)
        });
        self.targets[idx].registered(now, rules.chart, told, pause);
    }

    /// Forgets targets that a service no longer names and that run nothing, once they are as many
    /// as the others.
    ///
    /// Returns the new place of each target, where places have changed.
    pub(crate) fn forget(&mut self, service: &Service) -> Option<Vec<Option<usize>>> {
        let is_kept =
            |target: &Target| target.in_flight > 0 || service.targets.contains_key(&target.id);
        let kept = self.targets.iter().filter(|target| is_kept(target)).count();
        if self.targets.len() - kept <= kept.max(FEWEST_FORGOTTEN) {
            return None;
        }
        let mut next = 0;
        let places: Vec<Option<usize>> = self
            .targets
            .iter()
            .map(|target| {
                let place = is_kept(target).then_some(next);
                next += usize::from(place.is_some());
                place
            })
            .collect();
        self.targets.retain(is_kept);
        self.index.retain(|_, idx| match places[*idx] {
            Some(place) => {
                *idx = place;
                true
            }
            None => false,
        });
        for region in self.regions.values_mut() {
            region.members = region
                .members
                .iter()
                .filter_map(|idx| places[*idx])
                .collect();
        }
        Some(places)
    }

    fn region(&mut self, region: RegionId) -> &mut RegionPool {
        self.regions.entry(region).or_insert_with(|| RegionPool {
            members: Vec::new(),
            in_flight: 0,
            limit: ConcurrencyLimit::new(1),
        })
    }

    /// Lets the regions' limits reach all slots of their targets.
    pub(crate) fn size_limits(&mut self, home: &RegionId) {
        for (region, pool) in &mut self.regions {
            let slots = pool
                .members
                .iter()
                .map(|idx| self.targets[*idx].slots())
                .sum();
            let is_new = pool.limit.current() == 1 && pool.in_flight == 0;
            if is_new {
                let params = if region == home {
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

    /// Chooses a free target for a request that should avoid the target at `avoid`.
    pub(crate) fn choose<R>(
        &self,
        now: Time,
        rng: &mut R,
        reach: Reach<'_>,
        avoid: Option<usize>,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let planned = self.planned_region(rng);
        let first = planned.as_ref().unwrap_or(reach.home);
        let mut found = self.choose_in(now, rng, reach, first, avoid);
        if found.is_none() && first != reach.home {
            found = self.choose_in(now, rng, reach, reach.home, avoid);
        }
        if found.is_some() || !(reach.is_far_worthwhile || self.is_closed(now, first)) {
            return found;
        }
        let others: Vec<&RegionId> = self
            .regions
            .keys()
            .filter(|region| *region != first)
            .collect();
        // Begins with any of them, so that the first by name is not favoured.
        let start = rng.random_range(0..others.len().max(1));
        (0..others.len())
            .map(|step| others[(start + step) % others.len()])
            .find_map(|region| self.choose_in(now, rng, reach, region, avoid))
    }

    /// Returns whether no target of a region takes work.
    fn is_closed(&self, now: Time, region: &RegionId) -> bool {
        self.regions.get(region).is_none_or(|pool| {
            let mut members = pool.members.iter();
            members.all(|idx| self.targets[*idx].allowed(now) == 0)
        })
    }

    fn choose_in<R>(
        &self,
        now: Time,
        rng: &mut R,
        reach: Reach<'_>,
        region: &RegionId,
        avoid: Option<usize>,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let pool = self.regions.get(region)?;
        if !pool.limit.has_capacity(pool.in_flight + reach.spared) {
            return None;
        }
        self.choose_among(now, rng, &pool.members, avoid)
    }

    fn planned_region<R>(&self, rng: &mut R) -> Option<RegionId>
    where
        R: Rng,
    {
        let total: f64 = self.route.shares.values().sum();
        if total <= 0.0 {
            return None;
        }
        let mut point = rng.random::<f64>() * total;
        for (region, share) in &self.route.shares {
            point -= share;
            if point < 0.0 {
                return Some(region.clone());
            }
        }
        self.route.shares.keys().next_back().cloned()
    }

    /// Takes the cheaper of two random targets, or any free one where neither is.
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
        let is_usable = |idx: usize| Some(idx) != avoid && self.targets[idx].is_free(now);
        let one = members[rng.random_range(0..members.len())];
        let two = members[rng.random_range(0..members.len())];
        match (is_usable(one), is_usable(two)) {
            (true, true) => {
                let is_one_cheaper = self.targets[one].cost(now) <= self.targets[two].cost(now);
                Some(if is_one_cheaper { one } else { two })
            }
            (true, false) => Some(one),
            (false, true) => Some(two),
            (false, false) => members.iter().copied().find(|&idx| is_usable(idx)),
        }
    }

    /// Returns whether any target takes work at all.
    pub(crate) fn is_served(&self, now: Time) -> bool {
        self.targets.iter().any(|target| target.allowed(now) > 0)
    }

    /// Records that a request was sent to a target.
    pub(crate) fn sent(&mut self, now: Time, idx: usize, workspace: &WorkspaceId) {
        self.active.sent(now, workspace);
        let target = &mut self.targets[idx];
        target.sent(now);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.in_flight += 1;
        }
    }

    /// Records that a request has ended on a target.
    pub(crate) fn ended(&mut self, now: Time, idx: usize, workspace: &WorkspaceId) {
        self.active.ended(now, workspace);
        let target = &mut self.targets[idx];
        target.in_flight = target.in_flight.saturating_sub(1);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.in_flight = pool.in_flight.saturating_sub(1);
        }
    }

    /// Records an answer.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        idx: usize,
        reason: SelectionReason,
        latency: Duration,
    ) {
        self.latency.record(latency);
        self.throughput.answered(now, !self.queue.is_empty());
        let target = &mut self.targets[idx];
        let estimate = match reason {
            SelectionReason::First | SelectionReason::Cheaper => Some(&mut self.service),
            SelectionReason::Next | SelectionReason::OtherRegion => Some(&mut self.cold),
            SelectionReason::ShortQueue => None,
        };
        if let Some(estimate) = estimate {
            estimate
                .get_or_insert_with(|| LatencyEstimate::new(latency))
                .record(latency);
        }
        target.answered(latency);
        target.judged(false);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.limit.record_success(pool.in_flight);
        }
    }

    /// Records a refusal for lack of capacity.
    pub(crate) fn refused(&mut self, now: Time, idx: usize) {
        let target = &mut self.targets[idx];
        target.refused(now);
        target.judged(true);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.limit.record_refusal();
        }
    }

    /// Returns whether objects may have one region for all callers, where the ways take this long.
    pub(crate) fn has_global_affinity(&self, ways: &BTreeMap<RegionId, Duration>) -> bool {
        let Some(objective) = self.objective else {
            return false;
        };
        let reached = ways
            .iter()
            .filter(|(region, _)| self.regions.contains_key(*region));
        let longest = reached.map(|(_, way)| *way).max().unwrap_or_default();
        longest <= objective.mul_f64(MOST_WAY)
    }

    /// Returns the mean time that a request takes where a slot is free.
    pub(crate) fn service_time(&self) -> Duration {
        self.service
            .as_ref()
            .map_or(Duration::ZERO, LatencyEstimate::mean)
    }

    /// Returns the time that half of the requests take on their first choice: a warm run's.
    pub(crate) fn usual_service_time(&self) -> Duration {
        self.service
            .as_ref()
            .map_or(Duration::ZERO, LatencyEstimate::median)
    }

    /// Returns the mean time that a request takes on a target that is cold for its object.
    pub(crate) fn cold_time(&self) -> Duration {
        let cold = self.cold.as_ref().map(LatencyEstimate::mean);
        cold.unwrap_or_default().max(self.service_time() * 2)
    }

    /// Returns the time that a request sent now takes as a rule; with less left it is hopeless.
    pub(crate) fn usual_time(&self) -> Duration {
        self.latency.mean() + self.latency.mean() / 2
    }

    /// Predicts how long a new request of `workspace` would wait for a target.
    pub(crate) fn predicted_wait(&self, now: Time, workspace: &WorkspaceId) -> Duration {
        let at_once: u32 = self
            .regions
            .values()
            .map(|pool| {
                let allowed = pool
                    .members
                    .iter()
                    .map(|idx| self.targets[*idx].allowed(now));
                allowed.sum::<u32>().min(pool.limit.current())
            })
            .sum();
        let ahead = self.queue.ahead_of(workspace) + 1;
        if let Some(wait) = self.throughput.time_for(ahead) {
            return wait;
        }
        self.latency.mean().mul_f64(ahead as f64) / at_once.max(1)
    }
}

/// Returns the time that this instance leaves between two requests to a cold target.
///
/// Where many instances share the target's rate, only about as many as it bears in a second send it
/// anything, each target's drawn by its name: all of them in the same second are no harm then.
fn cold_pause(per_s: f64, rules: &TargetRules<'_>, target: &TargetId) -> Duration {
    let per_s = per_s.max(1e-3);
    let instance_count = f64::from(rules.instance_count.max(1));
    let most = per_s.max(1.0) * COLD_SENDERS;
    if instance_count <= most {
        return Duration::from_secs_f64(instance_count / per_s);
    }
    let draw = mix(rules.instance_seed, target.as_str()) as f64 / u64::MAX as f64;
    if draw * instance_count < most {
        Duration::from_secs_f64(most / per_s)
    } else {
        NEVER
    }
}

/// Targets without a use that are kept all the same.
const FEWEST_FORGOTTEN: usize = 16;
/// Part of a latency objective that the way to another region and back may take.
const MOST_WAY: f64 = 0.3;
/// Instances that may send to a cold target, as a multiple of the requests it bears in a second.
const COLD_SENDERS: f64 = 1.5;
/// Longer than any target is cold.
const NEVER: Duration = Duration::from_secs(24 * 3_600);

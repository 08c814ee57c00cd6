//! The targets and the queue of one service.

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, Service, TargetId, Time, WorkspaceId};
use rand::{Rng, RngExt};

use crate::{FairQueue, LatencyEstimate, RequestId, Target};

/// Shares of a service's traffic by region, as the plan sets them for this instance's region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Share of each region; a region without one takes only what the others can't.
    pub shares: BTreeMap<RegionId, f64>,
}

#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) targets: Vec<Target>,
    pub(crate) index: BTreeMap<TargetId, usize>,
    pub(crate) regions: BTreeMap<RegionId, Vec<usize>>,
    pub(crate) queue: FairQueue<RequestId>,
    pub(crate) latency: LatencyEstimate,
    pub(crate) route: Route,
}

const FIRST_LATENCY: Duration = Duration::from_millis(20);

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            targets: Vec::new(),
            index: BTreeMap::new(),
            regions: BTreeMap::new(),
            queue: FairQueue::default(),
            latency: LatencyEstimate::new(FIRST_LATENCY),
            route: Route::default(),
        }
    }

    /// Adds new targets; ones that are gone keep their place until their requests have ended.
    pub(crate) fn configure<F>(&mut self, now: Time, service: &Service, region_of: F)
    where
        F: Fn(&base::DomainId) -> Option<RegionId>,
    {
        for (id, target) in &service.targets {
            if let Some(&idx) = self.index.get(id) {
                self.targets[idx].set_slots(service.slots);
                continue;
            }
            let region = region_of(&target.domain).unwrap_or_else(|| RegionId::from(""));
            let idx = self.targets.len();
            self.targets
                .push(Target::new(now, id.clone(), region.clone(), service.slots));
            self.index.insert(id.clone(), idx);
            self.regions.entry(region).or_default().push(idx);
        }
    }

    /// Chooses a free target for a request that should avoid the target at `avoid`.
    pub(crate) fn choose<R>(
        &self,
        now: Time,
        rng: &mut R,
        home: &RegionId,
        avoid: Option<usize>,
    ) -> Option<usize>
    where
        R: Rng,
    {
        let planned = self.planned_region(rng);
        let first = planned.as_ref().unwrap_or(home);
        let found = self
            .regions
            .get(first)
            .and_then(|members| self.choose_among(now, rng, members, avoid));
        found.or_else(|| {
            self.regions
                .iter()
                .filter(|(region, _)| *region != first)
                .find_map(|(_, members)| self.choose_among(now, rng, members, avoid))
        })
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

    /// Takes the less loaded of two random targets, or any free one where neither is.
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
                let is_one_less = self.targets[one].load(now) <= self.targets[two].load(now);
                Some(if is_one_less { one } else { two })
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

    /// Predicts how long a new request of `workspace` would wait for a target.
    pub(crate) fn predicted_wait(&self, now: Time, workspace: &WorkspaceId) -> Duration {
        let allowed: u32 = self.targets.iter().map(|target| target.allowed(now)).sum();
        let ahead = self.queue.ahead_of(workspace) + 1;
        self.latency.mean().mul_f64(ahead as f64) / allowed.max(1)
    }
}

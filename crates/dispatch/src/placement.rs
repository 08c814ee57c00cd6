//! Placement by object affinity: all instances send requests for an object to the same target.

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, Time};
use rand::{Rng, RngExt};

use crate::{
    AdmittedRequest, Candidate, SelectionReason, Target, TargetState, hash::seeded_hash, pool::Pool,
};

/// Refusal rate at and above which a target gets a penalty, so that others are preferred.
const REFUSAL_RATE_THRESHOLD: f64 = 0.3;
/// Penalty of a target that refuses all requests, as a multiple of the cold service time.
const REFUSAL_COST_FACTOR: f64 = 4.0;
/// Fraction of a target's slots that is reserved for requests of the highest priority.
const URGENT_RESERVE: f64 = 0.1;
/// Fraction of the time left until the objective that requests of lower priority may wait in a
/// target's queue.
const LOW_PRIORITY_WAIT: f64 = 0.8;
/// Utilization below which a target takes requests for objects for which it ranks second, however
/// long they would wait.
const SECOND_MAX_UTILIZATION: f64 = 0.6;
/// Number of targets of a region among which an object's requests are divided, so that it is warm
/// on them and leaves the others' memory to their own objects.
const TARGETS_PER_OBJECT: usize = 2;
/// Time after which a caller may retry where it is not this instance's turn to send to any target.
const MAX_TURN_WAIT: Duration = Duration::from_secs(1);

/// Describes the region of this instance and the round-trip times to the others.
#[derive(Debug)]
pub(crate) struct Surroundings {
    pub(crate) local_region: RegionId,
    /// Round-trip time to each region as measured when connections were opened.
    pub(crate) round_trips: BTreeMap<RegionId, Duration>,
}

impl Surroundings {
    /// Returns the query that places a request on a target that it has not been sent to.
    pub(crate) fn query<'a>(
        &'a self,
        request: &'a AdmittedRequest,
        tried: &'a [usize],
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            request,
            local_region: &self.local_region,
            round_trips: &self.round_trips,
            tried,
        }
    }
}

/// Describes a request to be placed and what placement needs to know besides the pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementQuery<'a> {
    /// Request to place.
    pub(crate) request: &'a AdmittedRequest,
    /// Region of the instance.
    pub(crate) local_region: &'a RegionId,
    /// Round-trip time to each region.
    pub(crate) round_trips: &'a BTreeMap<RegionId, Duration>,
    /// Indices of the targets that the request has been sent to already.
    pub(crate) tried: &'a [usize],
}

impl Pool {
    /// Selects a target, or returns `None` where no allowed one has capacity in time.
    ///
    /// An object's requests go to the region that the plan assigns to it, and there to the same
    /// target from all instances, so that the target is warm for the object. On any other target
    /// the object is cold, and a cold request takes as much slot time as several warm ones, so none
    /// leaves its planned region for lack of capacity; the plan moves objects instead. Requests
    /// leave a region without any usable target at once.
    pub(crate) fn place<R>(
        &self,
        now: Time,
        rng: &mut R,
        query: PlacementQuery<'_>,
    ) -> Option<(usize, SelectionReason)>
    where
        R: Rng,
    {
        let object_hash = query.request.affinity.unwrap_or_else(|| rng.random());
        let planned = self.planned_region(object_hash, query);
        if let Some(planned) = planned {
            let found = self.place_in_region(now, object_hash, planned, query);
            if found.is_some() {
                return found;
            }
        }
        if planned.is_some_and(|region| self.has_usable_target(now, region, query)) {
            return None;
        }
        let others = self
            .regions
            .keys()
            .filter(|region| Some(*region) != planned);
        others
            .filter(|region| self.can_meet_deadline(now, region, query))
            .filter_map(|region| {
                let (idx, _) = self.place_in_region(now, object_hash, region, query)?;
                let target = &self.targets[idx];
                let utilization = target.estimated_load(now) / f64::from(target.slots());
                Some((utilization, idx))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, idx)| (idx, SelectionReason::OtherRegion))
    }

    /// Returns the region that the plan assigns to an object, by weighted rendezvous hashing: all
    /// instances with the same shares agree, and a change of the shares moves as few objects as
    /// possible.
    ///
    /// Without shares of allowed regions that is the local region, or `None` where the request may
    /// not run there.
    fn planned_region<'a>(
        &'a self,
        object_hash: u64,
        query: PlacementQuery<'a>,
    ) -> Option<&'a RegionId> {
        let request = query.request;
        let allowed = |region: &&RegionId| request.may_run_in(region);
        let total: f64 = self
            .region_shares
            .shares
            .iter()
            .filter(|(region, _)| allowed(region))
            .map(|(_, share)| share)
            .sum();
        if total <= 0.0 {
            return Some(query.local_region).filter(allowed);
        }
        self.region_shares
            .shares
            .iter()
            .filter(|(region, share)| allowed(region) && **share > 0.0)
            .map(|(region, share)| {
                let draw =
                    (seeded_hash(object_hash, region.as_str()) as f64 + 1.0) / u64::MAX as f64;
                (-draw.ln() / share, region)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, region)| region)
    }

    fn has_usable_target(&self, now: Time, region: &RegionId, query: PlacementQuery<'_>) -> bool {
        self.usable_targets(region, query)
            .any(|target| target.may_send(now))
    }

    /// Returns the region's targets that a request may be sent to, apart from their load.
    fn usable_targets(
        &self,
        region: &RegionId,
        query: PlacementQuery<'_>,
    ) -> impl Iterator<Item = &Target> {
        let members = self.regions.get(region).map(|pool| &pool.members[..]);
        members
            .unwrap_or_default()
            .iter()
            .filter(move |idx| !query.tried.contains(idx))
            .map(|idx| &self.targets[*idx])
            .filter(|target| !matches!(target.state(), TargetState::Down | TargetState::Leaving))
    }

    /// Returns how long a request can be sent to no target because of the pauses and rates that they have asked for, or
    /// `None` if one could take it, or if there is none.
    pub(crate) fn wait_for_gates(&self, now: Time, query: PlacementQuery<'_>) -> Option<Duration> {
        let regions = self.regions.keys();
        let waits: Vec<Option<Duration>> = regions
            .filter(|region| query.request.may_run_in(region))
            .flat_map(|region| self.usable_targets(region, query))
            .map(|target| target.send_wait(now))
            .collect();
        let is_blocked =
            !waits.is_empty() && waits.iter().all(|wait| *wait != Some(Duration::ZERO));
        let shortest = waits.into_iter().flatten().min();
        is_blocked.then(|| shortest.unwrap_or(MAX_TURN_WAIT))
    }

    fn can_meet_deadline(&self, now: Time, region: &RegionId, query: PlacementQuery<'_>) -> bool {
        let round_trip = query.round_trips.get(region).copied().unwrap_or_default();
        now + round_trip + self.service_time() < query.request.deadline
    }

    fn place_in_region(
        &self,
        now: Time,
        object_hash: u64,
        region: &RegionId,
        query: PlacementQuery<'_>,
    ) -> Option<(usize, SelectionReason)> {
        let pool = self.regions.get(region)?;
        let request = query.request;
        if !request.may_run_in(region) {
            return None;
        }
        let ranked = self.ranked_targets(now, object_hash, &pool.members, query.tried);
        let round_trip = query.round_trips.get(region).copied().unwrap_or_default();
        let slack = (request.objective_deadline - (now + round_trip))
            .saturating_sub(self.median_service_time());
        let is_urgent = self.is_urgent(request);
        let max_wait = if is_urgent {
            slack
        } else {
            slack.mul_f64(LOW_PRIORITY_WAIT)
        };
        ranked
            .iter()
            .enumerate()
            .filter(|(_, idx)| self.targets[**idx].accepts_request(now))
            .map(|(rank, idx)| (rank, *idx, self.queue_time(now, *idx, is_urgent)))
            .filter(|(rank, idx, wait)| self.is_acceptable(now, *rank, *idx, *wait, max_wait))
            .min_by_key(|(rank, idx, wait)| *wait + self.placement_penalty(*rank, *idx))
            .map(|(rank, idx, wait)| {
                let reason = match rank {
                    _ if !wait.is_zero() => SelectionReason::ShortQueue,
                    0 => SelectionReason::First,
                    _ => SelectionReason::Next,
                };
                (idx, reason)
            })
    }

    /// Returns the targets among which an object's requests are divided, the first choice first.
    fn ranked_targets(
        &self,
        now: Time,
        object_hash: u64,
        members: &[usize],
        tried: &[usize],
    ) -> Vec<usize> {
        let mut ranked: Vec<(u64, usize)> = members
            .iter()
            .filter(|idx| !tried.contains(idx) && self.targets[**idx].is_ranked(now))
            .map(|idx| {
                let id = self.targets[*idx].id.as_str();
                (seeded_hash(object_hash, id), *idx)
            })
            .collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(TARGETS_PER_OBJECT);
        first.map(|(_, idx)| idx).collect()
    }

    /// Returns the targets that a request for an object competes for, as they are now: those that rank
    /// first for it in its planned region. Empty where it may not run there.
    pub(crate) fn candidates(&self, now: Time, query: PlacementQuery<'_>) -> Vec<Candidate> {
        let Some(object_hash) = query.request.affinity else {
            return Vec::new();
        };
        let region = self.planned_region(object_hash, query);
        let Some(pool) = region.and_then(|region| self.regions.get(region)) else {
            return Vec::new();
        };
        let is_urgent = self.is_urgent(query.request);
        let ranked = self.ranked_targets(now, object_hash, &pool.members, query.tried);
        ranked
            .into_iter()
            .map(|idx| {
                let target = &self.targets[idx];
                Candidate {
                    target: target.id.clone(),
                    in_flight: target.in_flight,
                    limit: target.concurrency_limit(now),
                    load: target.estimated_load(now).round() as u32,
                    wait: self.queue_time(now, idx, is_urgent),
                }
            })
            .collect()
    }

    fn is_urgent(&self, request: &AdmittedRequest) -> bool {
        request.route_priority <= self.top_priority
    }

    /// Returns whether a target of this rank may take a request that would wait there for `wait`;
    /// `max_wait` is the maximum wait with which a warm request meets the objective.
    ///
    /// A request on a target that does not rank first is often cold: it takes as much slot time as
    /// several warm ones and evicts objects that the target is warm for. It must therefore meet the
    /// objective even when cold, or the target's utilization must be low.
    fn is_acceptable(
        &self,
        now: Time,
        rank: usize,
        idx: usize,
        wait: Duration,
        max_wait: Duration,
    ) -> bool {
        let target = &self.targets[idx];
        let utilization = target.estimated_load(now) / f64::from(target.slots());
        let cold_extra = self
            .cold_service_time()
            .saturating_sub(self.median_service_time());
        match rank {
            0 => wait <= max_wait,
            _ => utilization < SECOND_MAX_UTILIZATION || wait + cold_extra <= max_wait,
        }
    }

    /// Returns how long a request would wait in the target's own queue.
    ///
    /// Requests that are not urgent count as queued once only the reserved slots are free.
    fn queue_time(&self, now: Time, idx: usize, is_urgent: bool) -> Duration {
        let target = &self.targets[idx];
        let slots = f64::from(target.slots());
        let load = target.estimated_load(now);
        let usable_slots = if is_urgent {
            slots
        } else {
            slots * (1.0 - URGENT_RESERVE)
        };
        if load < usable_slots {
            return Duration::ZERO;
        }
        let ahead = (load + 1.0 - usable_slots).max(0.0);
        self.service_time().mul_f64(ahead / slots)
    }

    /// Returns the penalty, as time, for a target that does not rank first or that refuses many
    /// requests.
    ///
    /// A request on a target that does not rank first is often cold there.
    fn placement_penalty(&self, rank: usize, idx: usize) -> Duration {
        let cold = match rank {
            0 => Duration::ZERO,
            _ => self.cold_service_time().saturating_sub(self.service_time()),
        };
        let refusal_rate = self.targets[idx].refusal_rate();
        let refusal_cost = if refusal_rate < REFUSAL_RATE_THRESHOLD {
            Duration::ZERO
        } else {
            self.cold_service_time()
                .mul_f64(refusal_rate * REFUSAL_COST_FACTOR)
        };
        cold + refusal_cost
    }
}

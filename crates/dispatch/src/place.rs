//! Placement by object: the same target for the same object, on all instances alike.

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, Time};
use rand::{Rng, RngExt};

use crate::{AdmittedRequest, SelectionReason, TargetState, pool::Pool};

/// Share of the requests on a target that may fail before others are preferred.
const MOST_ERRORS: f64 = 0.3;
/// Times a cold run that a target counts as slower by where all requests fail on it.
const FAILING_COST: f64 = 4.0;
/// Part of a target's slots that only the most urgent requests may take.
const URGENT_PART: f64 = 0.1;
/// Part of the time left until the objective that less urgent requests may wait in a target's queue.
const PATIENT_PART: f64 = 0.8;
/// Part of the requests that may leave their planned region because it has no room.
const SPILL_PART: f64 = 0.05;
const MOST_SPILLS: f64 = 3.0;
/// Part of a target's slots up to which it takes what has no room in its planned region.
const SPILL_FILL: f64 = 0.6;
/// Part of a target's slots up to which it takes objects whose second choice it is.
const NEXT_FILL: f64 = 0.6;
/// Part of a target's slots up to which it takes any object.
const LATER_FILL: f64 = 0.3;

/// Describes the request that is placed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placing<'a> {
    /// What is placed.
    pub(crate) work: &'a AdmittedRequest,
    /// Region of the instance.
    pub(crate) home: &'a RegionId,
    /// Time that a request takes to each region and back.
    pub(crate) ways: &'a BTreeMap<RegionId, Duration>,
    /// Targets that have had it already.
    pub(crate) tried: &'a [usize],
}

/// Bounds the requests that leave their planned region because it has no room.
#[derive(Debug, Clone, Default)]
pub(crate) struct Spill {
    level: f64,
}

impl Spill {
    /// Records a request that found room where it was planned.
    pub(crate) fn earn(&mut self) {
        self.level = (self.level + SPILL_PART).min(MOST_SPILLS);
    }

    fn is_allowed(&self) -> bool {
        self.level >= 1.0
    }

    /// Records a request that has left its planned region.
    pub(crate) fn spend(&mut self) {
        self.level -= 1.0;
    }
}

impl Pool {
    /// Chooses a target, or none where no allowed one has room in time.
    ///
    /// An object's requests go to the region that the plan gives it, and there to the same target
    /// on all instances, which is warm for it. Elsewhere it is cold, and cold requests would take
    /// the slots of several warm ones: so only few leave their region for lack of room. A region
    /// without any open target is left at once.
    pub(crate) fn place<R>(
        &self,
        now: Time,
        rng: &mut R,
        placing: Placing<'_>,
    ) -> Option<(usize, SelectionReason)>
    where
        R: Rng,
    {
        let point = placing.work.affinity.unwrap_or_else(|| rng.random());
        let planned = self.region_at(point, placing);
        if let Some(planned) = planned {
            let found = self.place_in(now, point, planned, placing);
            if found.is_some() {
                return found;
            }
        }
        let is_closed = planned.is_none_or(|region| !self.has_open(region, placing));
        if !is_closed && !self.spill.is_allowed() {
            return None;
        }
        let others = self
            .regions
            .keys()
            .filter(|region| Some(*region) != planned);
        others
            .filter(|region| self.reaches_in_time(now, region, placing))
            .filter_map(|region| {
                let (idx, _) = self.place_in(now, point, region, placing)?;
                let target = &self.targets[idx];
                let fill = target.expected_load(now) / f64::from(target.slots());
                (is_closed || fill < SPILL_FILL).then_some((fill, idx))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, idx)| (idx, SelectionReason::OtherRegion))
    }

    /// Returns the region that the plan gives a point of the requests, by weighted rendezvous: all
    /// instances with the same shares agree, and a change of the shares moves only what it must.
    /// `None` where nothing there may take the request.
    fn region_at<'a>(&'a self, point: u64, placing: Placing<'a>) -> Option<&'a RegionId> {
        let work = placing.work;
        let allowed = |region: &&RegionId| work.may_run_in(region);
        let total: f64 = self
            .route
            .shares
            .iter()
            .filter(|(region, _)| allowed(region))
            .map(|(_, share)| share)
            .sum();
        if total <= 0.0 {
            return Some(placing.home).filter(allowed);
        }
        self.route
            .shares
            .iter()
            .filter(|(region, share)| allowed(region) && **share > 0.0)
            .map(|(region, share)| {
                let draw = (mix(point, region.as_str()) as f64 + 1.0) / u64::MAX as f64;
                (-draw.ln() / share, region)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, region)| region)
    }

    fn has_open(&self, region: &RegionId, placing: Placing<'_>) -> bool {
        self.regions.get(region).is_some_and(|pool| {
            let mut members = pool.members.iter();
            members.any(|idx| {
                !placing.tried.contains(idx)
                    && self.targets[*idx].state() != TargetState::Down
                    && self.targets[*idx].state() != TargetState::Leaving
            })
        })
    }

    fn reaches_in_time(&self, now: Time, region: &RegionId, placing: Placing<'_>) -> bool {
        let way = placing.ways.get(region).copied().unwrap_or_default();
        now + way + self.service_time() < placing.work.deadline
    }

    fn place_in(
        &self,
        now: Time,
        point: u64,
        region: &RegionId,
        placing: Placing<'_>,
    ) -> Option<(usize, SelectionReason)> {
        let pool = self.regions.get(region)?;
        let work = placing.work;
        if !work.may_run_in(region) {
            return None;
        }
        let mut order: Vec<(u64, usize)> = pool
            .members
            .iter()
            .filter(|idx| !placing.tried.contains(idx) && self.targets[**idx].is_ranked(now))
            .map(|idx| (mix(point, self.targets[*idx].id.as_str()), *idx))
            .collect();
        order.sort_unstable();
        let way = placing.ways.get(region).copied().unwrap_or_default();
        let left =
            (work.objective_deadline - (now + way)).saturating_sub(self.usual_service_time());
        let is_urgent = work.route_priority <= self.most_urgent;
        let most = if is_urgent {
            left
        } else {
            left.mul_f64(PATIENT_PART)
        };
        order
            .iter()
            .enumerate()
            .filter(|(_, (_, idx))| self.targets[*idx].is_open(now))
            .map(|(rank, (_, idx))| (rank, *idx, self.queue_time(now, *idx, is_urgent)))
            .filter(|(rank, idx, wait)| self.is_worthwhile(now, *rank, *idx, *wait, most))
            .min_by_key(|(rank, idx, wait)| *wait + self.detour(*rank, *idx))
            .map(|(rank, idx, wait)| {
                let choice = match rank {
                    _ if !wait.is_zero() => SelectionReason::ShortQueue,
                    0 => SelectionReason::First,
                    _ => SelectionReason::Next,
                };
                (idx, choice)
            })
    }

    /// Returns whether a target may take a request that waits there for `wait`, of at most `most`.
    ///
    /// A run on a later choice is often cold: it takes the time of several warm ones and drives out
    /// what the target is warm for. So it must be in time all the same, or find much room.
    fn is_worthwhile(
        &self,
        now: Time,
        rank: usize,
        idx: usize,
        wait: Duration,
        most: Duration,
    ) -> bool {
        let target = &self.targets[idx];
        let fill = target.expected_load(now) / f64::from(target.slots());
        let extra = self.cold_time().saturating_sub(self.usual_service_time());
        match rank {
            0 => wait <= most,
            1 => fill < NEXT_FILL || wait + extra <= most,
            _ => fill < LATER_FILL,
        }
    }

    /// Returns how long a request would wait in the target's own queue.
    ///
    /// For less urgent ones the queue begins before the last slots.
    fn queue_time(&self, now: Time, idx: usize, is_urgent: bool) -> Duration {
        let target = &self.targets[idx];
        if target.state() == TargetState::Down {
            return Duration::MAX / 4;
        }
        let slots = f64::from(target.slots());
        let load = target.expected_load(now);
        let room = if is_urgent {
            slots
        } else {
            slots * (1.0 - URGENT_PART)
        };
        if load < room {
            return Duration::ZERO;
        }
        let ahead = (load + 1.0 - room).max(0.0);
        self.service_time().mul_f64(ahead / slots)
    }

    /// Returns what it costs to run a request on a target that is not its object's first choice.
    ///
    /// A cold run takes its slot from other requests, too, and so counts twice; a second choice is
    /// often warm.
    fn detour(&self, rank: usize, idx: usize) -> Duration {
        let extra = self.cold_time().saturating_sub(self.service_time());
        let cold = match rank {
            0 => Duration::ZERO,
            1 => extra,
            _ => extra * 2,
        };
        let errors = self.targets[idx].errors();
        let failing = if errors < MOST_ERRORS {
            Duration::ZERO
        } else {
            self.cold_time().mul_f64(errors * FAILING_COST)
        };
        cold + failing
    }
}

/// Mixes a number and a name into a number whose order looks random.
pub(crate) fn mix(point: u64, name: &str) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut mixed = point ^ 0xcbf2_9ce4_8422_2325;
    for byte in name.bytes() {
        mixed = (mixed ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    // The finalizer of SplitMix64.
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

//! Placement by object: the same target for the same object, on all instances alike.

use std::time::Duration;

use base::{RegionId, Time};
use rand::{Rng, RngExt};

use crate::{Choice, TargetState, Work, pool::Pool};

/// Share of the requests on a target that may fail before others are preferred.
const MOST_ERRORS: f64 = 0.3;

/// Describes the request that is placed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placing<'a> {
    /// What is placed.
    pub(crate) work: &'a Work,
    /// Region of the instance.
    pub(crate) home: &'a RegionId,
    /// Time that a request takes to another region and back.
    pub(crate) round_trip: Duration,
    /// Targets that have had it already.
    pub(crate) tried: &'a [usize],
}

impl Pool {
    /// Chooses a target, or none where no allowed one has room in time.
    pub(crate) fn place<R>(
        &self,
        now: Time,
        rng: &mut R,
        placing: Placing<'_>,
    ) -> Option<(usize, Choice)>
    where
        R: Rng,
    {
        let affinity = placing.work.affinity;
        let point = affinity.unwrap_or_else(|| rng.random());
        let planned = self.region_at(point, placing.home);
        let in_planned = self.place_in(now, point, &planned, placing);
        if in_planned.is_some() {
            return in_planned;
        }
        self.regions
            .keys()
            .filter(|region| **region != planned)
            .find_map(|region| self.place_in(now, point, region, placing))
            .map(|(idx, _)| (idx, Choice::OtherRegion))
    }

    /// Returns the region that the plan gives a point of the requests: all instances of a region
    /// send the same objects elsewhere.
    fn region_at(&self, point: u64, home: &RegionId) -> RegionId {
        let total: f64 = self.route.shares.values().sum();
        if total <= 0.0 {
            return home.clone();
        }
        let mut left = (mix(point, home.as_str()) as f64 / u64::MAX as f64) * total;
        for (region, share) in &self.route.shares {
            left -= share;
            if left < 0.0 {
                return region.clone();
            }
        }
        home.clone()
    }

    fn place_in(
        &self,
        now: Time,
        point: u64,
        region: &RegionId,
        placing: Placing<'_>,
    ) -> Option<(usize, Choice)> {
        let pool = self.regions.get(region)?;
        if !placing.work.may_run_in(region) {
            return None;
        }
        let way = if region == placing.home {
            Duration::ZERO
        } else {
            placing.round_trip
        };
        if region != placing.home && now + way + self.latency.mean() > placing.work.deadline {
            return None;
        }
        let mut order: Vec<(u64, usize)> = pool
            .members
            .iter()
            .filter(|idx| !placing.tried.contains(idx) && self.targets[**idx].is_open(now))
            .map(|idx| (mix(point, self.targets[*idx].id.as_str()), *idx))
            .collect();
        order.sort_unstable();
        let has_slot = |idx: usize| {
            let target = &self.targets[idx];
            target.expected_load(now) < f64::from(target.slots()) && target.errors() < MOST_ERRORS
        };
        if let Some(rank) = order.iter().position(|(_, idx)| has_slot(*idx)) {
            let choice = if rank == 0 {
                Choice::First
            } else {
                Choice::Next
            };
            return Some((order[rank].1, choice));
        }
        let left = placing.work.objective - (now + way);
        order
            .iter()
            .map(|(_, idx)| (self.queue_time(now, *idx), *idx))
            .filter(|(wait, _)| *wait + self.latency.mean() <= left)
            .min()
            .map(|(_, idx)| (idx, Choice::ShortQueue))
    }

    /// Returns how long a request would wait in the target's own queue.
    fn queue_time(&self, now: Time, idx: usize) -> Duration {
        let target = &self.targets[idx];
        if target.state() == TargetState::Down {
            return Duration::MAX / 4;
        }
        let slots = f64::from(target.slots());
        let ahead = (target.expected_load(now) + 1.0 - slots).max(0.0);
        self.latency.mean().mul_f64(ahead / slots)
    }
}

/// Mixes a number and a name into a number whose order looks random.
fn mix(point: u64, name: &str) -> u64 {
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

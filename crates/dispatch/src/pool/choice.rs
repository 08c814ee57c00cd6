//! The choice of a region and of a target in it.

use std::collections::BTreeSet;

use base::{AllowedRegions, RegionId, Time};
use rand::{Rng, RngExt};

use super::Pool;

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
            !members.any(|idx| self.targets[*idx].takes_requests(now))
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
            .any(|target| allowed.contains(&target.region) && target.takes_requests(now))
    }

    /// Returns the regions in which any target takes requests at all, even if it is full now.
    pub(crate) fn available_regions(&self, now: Time) -> BTreeSet<&RegionId> {
        let targets = self.targets.iter();
        let available = targets.filter(|target| target.takes_requests(now));
        available.map(|target| &target.region).collect()
    }
}

//! Ranking of entry instances for a caller.

use std::collections::BTreeSet;

use base::{AllowedRegions, Config, DomainId, InstanceId, RegionId, mix_bits};

/// Locates a caller by what is known of its location.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Nearest failure domain.
    pub domain: Option<DomainId>,
    /// Nearest region.
    pub region: Option<RegionId>,
}

impl CallerLocation {
    /// Returns the caller's region, which may be known from the candidates in its failure domain.
    fn region_among<'a>(&'a self, candidates: &[Candidate<'a>]) -> Option<&'a RegionId> {
        self.region.as_ref().or_else(|| {
            candidates
                .iter()
                .find(|candidate| self.domain.as_ref() == Some(candidate.domain))
                .map(|candidate| candidate.region)
        })
    }
}

/// Describes an instance that a look-up can return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Identifier of the instance.
    pub instance: &'a InstanceId,
    /// Failure domain in which the instance runs.
    pub domain: &'a DomainId,
    /// Region of that domain.
    pub region: &'a RegionId,
}

/// Returns the indices of `candidates` in the order in which a caller at `location` should try
/// them.
///
/// Instances in the caller's failure domain come first, then those in its region, then the others.
/// Within each group the order depends on `seed`, so that callers spread evenly.
///
/// # Examples
///
/// ```
/// use steer::{Candidate, CallerLocation, rank_candidates};
///
/// let (a, b) = ("a".into(), "b".into());
/// let (north, south) = ("north".into(), "south".into());
/// let region = "r".into();
/// let candidates = [
///     Candidate { instance: &a, domain: &north, region: &region },
///     Candidate { instance: &b, domain: &south, region: &region },
/// ];
/// let location = CallerLocation { domain: Some("south".into()), region: None };
/// assert_eq!(rank_candidates(&candidates, &location, 7), [1, 0]);
/// ```
pub fn rank_candidates(
    candidates: &[Candidate<'_>],
    location: &CallerLocation,
    seed: u64,
) -> Vec<usize> {
    let region = location.region_among(candidates);
    let mut ranked: Vec<(u8, u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(idx, candidate)| {
            let distance = if location.domain.as_ref() == Some(candidate.domain) {
                0
            } else if region == Some(candidate.region) {
                1
            } else {
                2
            };
            (distance, seeded_hash(seed, idx as u64), idx)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, idx)| idx).collect()
}

/// Returns the same without the candidates that are neither in one of the `allowed` regions nor in the
/// caller's: a caller sends the body of its request to the instance that it chooses.
pub fn rank_allowed_candidates(
    candidates: &[Candidate<'_>],
    location: &CallerLocation,
    allowed: &AllowedRegions,
    seed: u64,
) -> Vec<usize> {
    let own = location.region_among(candidates);
    let mut ranked = rank_candidates(candidates, location, seed);
    ranked.retain(|idx| {
        let region = candidates[*idx].region;
        allowed.contains(region) || own == Some(region)
    });
    ranked
}

/// Returns the indices of the candidates that a caller at `location` should use for `host`.
///
/// These are the candidates in the caller's region, or all of them where that region has none or is
/// not known. Where routes of the host have home regions, candidates outside the home regions and
/// the caller's region are left out.
pub fn candidates_for_host(
    config: &Config,
    candidates: &[Candidate<'_>],
    location: &CallerLocation,
    host: &str,
) -> Vec<usize> {
    let domain_region = || config.region_of(location.domain.as_ref()?);
    let region = location.region.as_ref().or_else(domain_region);
    let home_regions: BTreeSet<&RegionId> = config
        .routes
        .iter()
        .filter(|route| route.host == host)
        .flat_map(|route| &route.homes)
        .collect();
    let is_local = |idx: &usize| region == Some(candidates[*idx].region);
    let is_allowed = |idx: &usize| {
        home_regions.is_empty() || is_local(idx) || home_regions.contains(candidates[*idx].region)
    };
    let allowed: Vec<usize> = rank_candidates(candidates, location, 0)
        .into_iter()
        .filter(is_allowed)
        .collect();
    let local: Vec<usize> = allowed.iter().copied().filter(is_local).collect();
    if local.is_empty() { allowed } else { local }
}

/// Returns a well-mixed hash of a seed and a value (the finalizer of SplitMix64).
fn seeded_hash(seed: u64, value: u64) -> u64 {
    mix_bits(seed ^ value.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

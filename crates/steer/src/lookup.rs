//! The order in which a caller tries entry instances.

use std::collections::BTreeSet;

use base::{Config, DomainId, InstanceId, RegionId};

/// Tells where a caller is, as far as it is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Nearest failure domain.
    pub domain: Option<DomainId>,
    /// Nearest region.
    pub region: Option<RegionId>,
}

/// Describes an instance that can be answered with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceId,
    /// Failure domain in which it runs.
    pub domain: &'a DomainId,
    /// Region of that domain.
    pub region: &'a RegionId,
}

/// Returns the indices of `candidates` in the order in which a caller at `origin` should try them.
///
/// Instances of the caller's failure domain come first, then those of its region, then the others;
/// within each group `seed` decides, so that callers spread evenly.
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
/// let origin = CallerLocation { domain: Some("south".into()), region: None };
/// assert_eq!(rank_candidates(&candidates, &origin, 7), [1, 0]);
/// ```
pub fn rank_candidates(
    candidates: &[Candidate<'_>],
    origin: &CallerLocation,
    seed: u64,
) -> Vec<usize> {
    let region = origin.region.as_ref().or_else(|| {
        candidates
            .iter()
            .find(|candidate| origin.domain.as_ref() == Some(candidate.domain))
            .map(|candidate| candidate.region)
    });
    let mut keyed: Vec<(u8, u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(idx, candidate)| {
            let distance = if origin.domain.as_ref() == Some(candidate.domain) {
                0
            } else if region == Some(candidate.region) {
                1
            } else {
                2
            };
            (distance, mix(seed, idx as u64), idx)
        })
        .collect();
    keyed.sort_unstable();
    keyed.into_iter().map(|(_, _, idx)| idx).collect()
}

/// Returns the indices of the candidates that a caller at `origin` should use for `host`.
///
/// They are the ones of the caller's region, or all where it has none. Where routes of the host
/// have home regions, only instances in a home or in the caller's region are named.
pub fn candidates_for_host(
    config: &Config,
    candidates: &[Candidate<'_>],
    origin: &CallerLocation,
    host: &str,
) -> Vec<usize> {
    let of_domain = || config.region_of(origin.domain.as_ref()?);
    let region = origin.region.as_ref().or_else(of_domain);
    let homes: BTreeSet<&RegionId> = config
        .routes
        .iter()
        .filter(|route| route.host == host)
        .flat_map(|route| &route.homes)
        .collect();
    let is_near = |idx: &usize| region == Some(candidates[*idx].region);
    let is_allowed =
        |idx: &usize| homes.is_empty() || is_near(idx) || homes.contains(candidates[*idx].region);
    let allowed: Vec<usize> = rank_candidates(candidates, origin, 0)
        .into_iter()
        .filter(is_allowed)
        .collect();
    let near: Vec<usize> = allowed.iter().copied().filter(is_near).collect();
    if near.is_empty() { allowed } else { near }
}

/// Mixes two numbers into one whose order looks random (the finalizer of SplitMix64).
fn mix(seed: u64, value: u64) -> u64 {
    let mut mixed = seed ^ value.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

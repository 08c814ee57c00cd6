//! Choice of the instances that read a followed table; they report its changes to the others.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceId, RegionId, Time};

use crate::rendezvous_rank;

/// Name by which the instances of a region are ranked.
const RANKED_NAME: &str = "reader";
/// Factor by which reads must become fewer for an instance to leave them to others.
const MIN_SAVING: u32 = 2;

/// Lists the ways in which an instance learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// It reads for itself, as often as it needs.
    Own,
    /// It reads for others as well, more often.
    ForOthers,
    /// It reads only what others report to have changed.
    OnReport,
}

/// Sets who reads, and how long an instance relies on others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderTiming {
    /// Number of instances of a region that read for others.
    pub per_region: usize,
    /// Maximum age of the last confirmation that others have reported, for an instance that relies on
    /// them.
    pub max_age: Duration,
    /// Time for which reports must have been young before an instance relies on them again.
    pub hold: Duration,
    /// Usual time between two reads of an instance that reads for itself.
    pub own_interval: Duration,
    /// Usual time between two reads of an instance that reads for others.
    pub others_interval: Duration,
}

/// Decides whether an instance reads a table itself.
///
/// A few instances of each region read for all: the first ones by rendezvous rank among the live ones, so
/// nobody votes. Another instance relies on them as long as it receives recent reports of when some instance
/// last knew the table to be unchanged. Whatever the failure of the readers, the reports then become older, and
/// it reads the table itself.
///
/// # Examples
///
/// ```
/// use base::{InstanceId, RegionId, Time};
/// use coord::{ReaderTiming, Readers, Reading};
/// use std::{collections::BTreeMap, time::Duration};
///
/// let region = RegionId::from("r");
/// let ids: Vec<InstanceId> = (0..20).map(|idx| format!("i{idx}").into()).collect();
/// let live: BTreeMap<_, _> = ids.iter().map(|id| (id, Some(&region))).collect();
/// let second = Duration::from_secs(1);
/// let timing = ReaderTiming {
///     per_region: 2,
///     max_age: second,
///     hold: Duration::ZERO,
///     own_interval: second,
///     others_interval: second / 2,
/// };
/// let now = Time::from_secs(9);
/// let decide = |id: &InstanceId| {
///     let mut readers = Readers::new(timing);
///     readers.on_report(now);
///     readers.decide(now, id, &live)
/// };
/// let reading = ids.iter().filter(|id| decide(id) == Reading::ForOthers);
/// assert_eq!(reading.count(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct Readers {
    timing: ReaderTiming,
    /// Latest time at which any other instance reported to have known the latest state.
    reported_at: Option<Time>,
    /// Time at which the reports were last found too old.
    old_at: Option<Time>,
}

impl Readers {
    /// Returns the state of an instance that has received no report.
    pub fn new(timing: ReaderTiming) -> Self {
        Self {
            timing,
            reported_at: None,
            old_at: None,
        }
    }

    /// Records that another instance had the latest state at `confirmed_at`, or that what it lacked has been
    /// reported to this one.
    pub fn on_report(&mut self, confirmed_at: Time) {
        self.reported_at = self.reported_at.max(Some(confirmed_at));
    }

    /// Decides how `own` learns of changes, among the live instances with their regions; `own` may be one of
    /// them or not.
    pub fn decide(
        &mut self,
        now: Time,
        own: &InstanceId,
        live: &BTreeMap<&InstanceId, Option<&RegionId>>,
    ) -> Reading {
        let timing = &self.timing;
        let max_age = timing.max_age;
        if self.reported_at.is_none_or(|at| now - at >= max_age) {
            self.old_at = Some(now);
        }
        if !self.is_worthwhile(live) {
            return Reading::Own;
        }
        let region = live.get(own).copied().flatten();
        let local = live.iter().filter(|(_, one)| **one == region);
        let rank = rendezvous_rank(RANKED_NAME, local.map(|(id, _)| *id), own);
        if rank.is_none_or(|rank| rank < timing.per_region) {
            return Reading::ForOthers;
        }
        match self.old_at {
            Some(at) if now - at < timing.hold || at == now => Reading::Own,
            _ => Reading::OnReport,
        }
    }

    /// Returns when another instance last reported to have known the latest state.
    pub fn reported_at(&self) -> Option<Time> {
        self.reported_at
    }

    /// Returns when the last report becomes too old, unless another one follows.
    pub fn old_from(&self) -> Option<Time> {
        Some(self.reported_at? + self.timing.max_age)
    }

    /// Returns whether the table is read less often if few instances read it for all.
    fn is_worthwhile(&self, live: &BTreeMap<&InstanceId, Option<&RegionId>>) -> bool {
        let mut regions: BTreeMap<Option<&RegionId>, usize> = BTreeMap::new();
        for region in live.values() {
            *regions.entry(*region).or_default() += 1;
        }
        let counts = regions.values();
        let readers: usize = counts.map(|count| self.timing.per_region.min(*count)).sum();
        let by_all = self.timing.others_interval * live.len() as u32;
        self.timing.own_interval * readers as u32 * MIN_SAVING <= by_all
    }
}

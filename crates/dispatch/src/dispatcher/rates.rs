//! Rates that targets name and that all instances share.

use std::time::Duration;

use base::{InstanceId, Refusal, RegionId, TargetId, Time};

use super::Dispatcher;
use crate::{
    Action, RateRank, RateReport, RequestId, Target, hash::seeded_hash, placement::PlacementQuery,
};

impl Dispatcher {
    /// Sets the live instances and their regions; `own_id` identifies this one.
    pub fn set_instances(&mut self, own_id: &InstanceId, instances: Vec<(InstanceId, RegionId)>) {
        self.own_id = own_id.clone();
        self.instances = instances;
        for pool in self.pools.values_mut() {
            for target in &mut pool.targets {
                target.set_rate_rank(rate_rank(&self.own_id, &self.instances, target));
            }
        }
    }

    /// Records the rate that the target of an attempt named in its answer, or that it named none.
    ///
    /// Returns the target if its rate changed.
    pub fn record_named_rate(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        per_s: Option<f64>,
    ) -> Option<TargetId> {
        let entry = self.entries.get(&id)?;
        let found = entry.attempts.iter().find(|one| one.number == attempt)?;
        let pool = self.pools.get_mut(&entry.request.service)?;
        let target = &mut pool.targets[found.target];
        if !target.record_named_rate(now, found.started_at, per_s) {
            return None;
        }
        target.set_rate_rank(rate_rank(&self.own_id, &self.instances, target));
        Some(target.id.clone())
    }

    /// Merges what another instance has learned of targets' rates and returns the targets whose
    /// rate changed.
    ///
    /// `not_before` is the earliest time at which the reports can have been sent, if it is known.
    pub fn merge_rate_reports(
        &mut self,
        now: Time,
        not_before: Option<Time>,
        reports: &[RateReport],
    ) -> Vec<TargetId> {
        let mut changed = Vec::new();
        for target in self.pools.values_mut().flat_map(|pool| &mut pool.targets) {
            let digest = target.digest();
            for report in reports.iter().filter(|one| one.target_digest == digest) {
                if target.merge_rate_report(now, not_before, report) {
                    target.set_rate_rank(rate_rank(&self.own_id, &self.instances, target));
                    changed.push(target.id.clone());
                }
            }
        }
        changed
    }

    /// Returns what this instance has learned of targets' rates recently, for the others.
    pub fn rate_reports(&self, now: Time) -> Vec<RateReport> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        targets
            .filter_map(|target| target.rate_report(now))
            .collect()
    }

    /// Returns the targets that name a rate, in requests per second.
    pub fn named_rates(&self) -> Vec<(TargetId, f64)> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        targets
            .filter_map(|target| Some((target.id.clone(), target.named_rate()?)))
            .collect()
    }

    /// Refuses a queued request at once if the rates that targets name keep it from all of them for
    /// longer than it may wait.
    pub(super) fn refuse_beyond_rates(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        let Some(wait) = self.wait_beyond_deadline(now, id) else {
            return Vec::new();
        };
        self.remove_from_queue(id);
        let refused = self.refuse(id, base::ErrorKind::Overloaded);
        refused
            .into_iter()
            .map(|action| match action {
                Action::Refuse(id, refusal) => Action::Refuse(id, come_back_in(refusal, wait)),
                other => other,
            })
            .collect()
    }

    fn wait_beyond_deadline(&self, now: Time, id: RequestId) -> Option<Duration> {
        let entry = self.entries.get(&id).filter(|entry| entry.is_queued)?;
        let pool = self.pools.get(&entry.request.service)?;
        let query = PlacementQuery {
            request: &entry.request,
            local_region: &self.local_region,
            round_trips: &self.round_trips,
            tried: &entry.reached,
        };
        let wait = pool.wait_for_rates(now, query)?;
        (now + wait > entry.wait_deadline).then_some(wait)
    }
}

fn come_back_in(refusal: Refusal, wait: Duration) -> Refusal {
    let earliest = refusal.retry_after.max(wait);
    refusal.retry_after(earliest)
}

/// Ranks the live instances for a target, those in its region first.
///
/// An instance that is not among them, because it is leaving, comes last.
fn rate_rank(
    own_id: &InstanceId,
    instances: &[(InstanceId, RegionId)],
    target: &Target,
) -> RateRank {
    let digest = target.digest();
    let key = |(id, region): &(InstanceId, RegionId)| {
        let is_remote = *region != target.region;
        (is_remote, seeded_hash(digest, id.as_str()), id.clone())
    };
    let local = instances
        .iter()
        .filter(|(_, region)| *region == target.region);
    let local_count = match local.count() {
        0 => instances.len(),
        count => count,
    };
    let own = instances.iter().find(|(id, _)| id == own_id).map(key);
    let position = match own {
        Some(own) => instances.iter().filter(|other| key(other) < own).count(),
        None => instances.len(),
    };
    RateRank {
        position: position as u32,
        local_count: local_count as u32,
    }
}

//! Limits that targets ask for: rates that all instances share, and pauses.

use std::time::Duration;

use base::{InstanceId, RegionId, TargetId, Time};

use super::Dispatcher;
use crate::{Action, RateRank, RateReport, RequestId, Target, hash::seeded_hash};

impl Dispatcher {
    /// Sets the running instances and their regions; `own_id` identifies this one.
    pub fn set_instances(&mut self, own_id: &InstanceId, instances: Vec<(InstanceId, RegionId)>) {
        self.own_id = own_id.clone();
        self.quarantine.set_instances(instances.len());
        self.instances = instances;
        self.rank_rates();
    }

    /// Ranks this instance among those that share each target's rate.
    pub(super) fn rank_rates(&mut self) {
        for pool in self.pools.values_mut() {
            for target in &mut pool.targets {
                let rank = rate_rank(&self.own_id, &self.instances, target);
                target.gate_mut().set_rate_rank(rank);
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
        if !target
            .gate_mut()
            .record_named_rate(now, found.started_at, per_s)
        {
            return None;
        }
        let rank = rate_rank(&self.own_id, &self.instances, target);
        target.gate_mut().set_rate_rank(rank);
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
                if target.gate_mut().merge_rate_report(now, not_before, report) {
                    let rank = rate_rank(&self.own_id, &self.instances, target);
                    target.gate_mut().set_rate_rank(rank);
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
            .filter_map(|target| target.gate().rate_report(now, target.digest()))
            .collect()
    }

    /// Returns the targets that name a rate, in requests per second.
    pub fn named_rates(&self) -> Vec<(TargetId, f64)> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        targets
            .filter_map(|target| Some((target.id.clone(), target.gate().named_rate()?)))
            .collect()
    }

    /// Records that the target of an attempt asks this instance for a pause, and returns the target if no pause was in
    /// force.
    pub fn record_rest(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        rest: Duration,
    ) -> Option<TargetId> {
        let entry = self.entries.get(&id)?;
        let found = entry.attempts.iter().find(|one| one.number == attempt)?;
        let pool = self.pools.get_mut(&entry.request.service)?;
        let target = &mut pool.targets[found.target];
        let is_new = target.gate_mut().rest(now, rest);
        is_new.then(|| target.id.clone())
    }

    /// Refuses a queued request at once if the pauses and rates that targets have asked for keep it from all of them for
    /// longer than it may wait.
    pub(super) fn refuse_beyond_gates(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        if !self.is_beyond_deadline(now, id) {
            return Vec::new();
        }
        self.remove_from_queue(id);
        self.refuse(now, id, base::ErrorKind::Overloaded)
    }

    fn is_beyond_deadline(&self, now: Time, id: RequestId) -> bool {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.is_queued) else {
            return false;
        };
        let Some(pool) = self.pools.get(&entry.request.service) else {
            return false;
        };
        let query = self.surroundings.query(&entry.request, &entry.reached);
        let wait = pool.wait_for_gates(now, query);
        wait.is_some_and(|wait| now + wait > entry.wait_deadline)
    }
}

/// Ranks the running instances for a target, those in its region first.
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

//! Statistics that the dispatcher reports, and reports about targets that it receives.

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, ServiceId, TargetId, Time};

use super::Dispatcher;
use crate::{
    Action, AdmittedRequest, Candidate, ExclusionReason, HealthReport, PathState, PoolStats,
    RequestId, TargetEvent, TargetState, pool::Pool,
};

impl Dispatcher {
    /// Records a response of a target's health endpoint, or `None` if it has not responded for too
    /// long.
    pub fn report_health(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        report: Option<HealthReport>,
    ) -> Vec<Action> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let Some(&idx) = pool.index.get(target) else {
            return Vec::new();
        };
        let target = &mut pool.targets[idx];
        match report {
            Some(report) => {
                target.record_health(report);
                target.apply_health(now, &self.chart, report.is_leaving);
            }
            // Health checks use the direct path, so their results mean nothing while that is lost.
            None if self.path.state() == PathState::Relayed => {}
            None => {
                target.apply_event(now, &self.chart, TargetEvent::Failed);
            }
        }
        self.assign(now, service)
    }

    /// Returns the targets that a request competes for now, to explain why it was refused; none where
    /// targets are chosen without regard to objects.
    pub fn candidates(&self, now: Time, request: &AdmittedRequest) -> Vec<Candidate> {
        let pool = self.pools.get(&request.service);
        let query = self.surroundings.query(request, &[]);
        pool.map_or_else(Vec::new, |pool| pool.candidates(now, query))
    }

    /// Records the load that came with a target's response.
    pub fn record_load(&mut self, now: Time, service: &ServiceId, target: &TargetId, total: u32) {
        if let Some(pool) = self.pools.get_mut(service)
            && let Some(&idx) = pool.index.get(target)
        {
            pool.targets[idx].record_load(now, total);
        }
    }

    /// Records how long it took to open a connection to a target.
    pub fn record_connect_time(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        connect_time: Duration,
    ) {
        let pool = self.pools.get(service);
        let Some(region) = pool
            .and_then(|pool| pool.targets.get(*pool.index.get(target)?))
            .map(|target| target.region.clone())
        else {
            return;
        };
        let estimate = self
            .surroundings
            .round_trips
            .entry(region)
            .or_insert(connect_time);
        // A single slow connection may be an outlier; a fast one shows what the network can do. So
        // a lower sample applies at once, a higher one by a sixteenth.
        *estimate = connect_time.min(*estimate + (connect_time.saturating_sub(*estimate)) / 16);
    }

    /// Returns the latencies of each service and the states and slots of its targets.
    pub fn pool_stats(&self) -> Vec<PoolStats> {
        self.pools
            .iter()
            .map(|(service, pool)| {
                let targets = pool
                    .targets
                    .iter()
                    .map(|target| (target.id.clone(), target.state(), target.slots()))
                    .collect();
                PoolStats {
                    service: service.clone(),
                    latency: pool.latency.mean(),
                    service_time: pool.service_time(),
                    region_service_times: self.region_service_times(pool),
                    targets,
                }
            })
            .collect()
    }

    /// Returns the mean time of a request on a warm target with a free slot, without the way there, of
    /// each region where that was measured.
    fn region_service_times(&self, pool: &Pool) -> BTreeMap<RegionId, Duration> {
        let measured = pool.regions.iter().filter_map(|(region, members)| {
            let latency = members.warm_latency.as_ref()?.mean();
            let way = self.surroundings.round_trips.get(region);
            let time = latency.saturating_sub(way.copied().unwrap_or_default());
            Some((region.clone(), time))
        });
        measured.collect()
    }

    /// Returns each target's state, its requests in flight and the limit of those.
    pub fn targets(&self, now: Time) -> Vec<(TargetId, TargetState, u32, u32)> {
        self.pools
            .values()
            .flat_map(|pool| &pool.targets)
            .map(|target| {
                (
                    target.id.clone(),
                    target.state(),
                    target.in_flight,
                    target.concurrency_limit(now),
                )
            })
            .collect()
    }

    /// Stops new requests to a target that is leaving according to the target list.
    pub fn mark_leaving(&mut self, now: Time, service: &ServiceId, target: &TargetId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(&idx) = pool.index.get(target) {
            pool.targets[idx].exclude(now, &self.chart, ExclusionReason::Listed, true);
        }
    }

    /// Records that the target of an attempt says in its answer that it is leaving, and returns the
    /// target if that is new.
    pub fn record_leaving(&mut self, now: Time, id: RequestId, attempt: u32) -> Option<TargetId> {
        let entry = self.entries.get(&id)?;
        let found = entry.attempts.iter().find(|one| one.number == attempt)?;
        let pool = self.pools.get_mut(&entry.request.service)?;
        let target = &mut pool.targets[found.target];
        let is_news = target.say_leaving(now, &self.chart);
        is_news.then(|| target.id.clone())
    }

    /// Returns the number of retries and hedges that the retry budget allows now.
    pub fn retries_left(&self) -> f64 {
        self.budget.available()
    }

    /// Returns the earliest wait deadline of the queued requests.
    pub fn next_wait_deadline(&self) -> Option<Time> {
        self.queued.first().map(|(at, _)| *at)
    }

    /// Returns whether any request waits for a target.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns the number of requests that wait for a target.
    pub fn queue_len(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

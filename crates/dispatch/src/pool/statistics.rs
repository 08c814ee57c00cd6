//! What is in flight, what the answers say of the targets, and the estimates drawn from it.

use std::time::Duration;

use base::{Time, WorkspaceId};

use super::Pool;
use crate::{LatencyEstimate, SelectionReason};

impl Pool {
    /// Records that a request is sent to a target.
    pub(crate) fn record_start(&mut self, now: Time, idx: usize, workspace: &WorkspaceId) {
        self.backlog.record_start(now, workspace);
        let target = &mut self.targets[idx];
        target.record_send(now);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.in_flight += 1;
        }
    }

    /// Records that a request has ended on a target.
    pub(crate) fn record_end(&mut self, now: Time, idx: usize, workspace: &WorkspaceId) {
        self.backlog.record_end(now, workspace);
        let target = &mut self.targets[idx];
        target.in_flight = target.in_flight.saturating_sub(1);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.in_flight = pool.in_flight.saturating_sub(1);
        }
    }

    /// Records a response; `reason` decides whether its latency is a sample for warm targets, for
    /// cold ones or for neither.
    pub(crate) fn record_response(
        &mut self,
        now: Time,
        idx: usize,
        reason: SelectionReason,
        latency: Duration,
    ) {
        self.latency.record(latency);
        self.throughput.record_response(now, !self.queue.is_empty());
        let target = &mut self.targets[idx];
        target.record_word(now);
        let estimate = match reason {
            SelectionReason::First | SelectionReason::Cheaper => Some(&mut self.warm_latency),
            SelectionReason::Next | SelectionReason::OtherRegion => Some(&mut self.cold_latency),
            SelectionReason::ShortQueue => None,
        };
        if let Some(estimate) = estimate {
            estimate
                .get_or_insert_with(|| LatencyEstimate::new(latency))
                .record(latency);
        }
        target.record_success(latency);
        target.record_result(false);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.limit.record_success(pool.in_flight);
            if matches!(reason, SelectionReason::First | SelectionReason::Cheaper) {
                let estimate = &mut pool.warm_latency;
                estimate
                    .get_or_insert_with(|| LatencyEstimate::new(latency))
                    .record(latency);
            }
        }
    }

    /// Records a refusal for lack of capacity.
    pub(crate) fn record_refusal(&mut self, now: Time, idx: usize) {
        let target = &mut self.targets[idx];
        target.record_word(now);
        target.record_refusal(now);
        target.record_result(true);
        if let Some(pool) = self.regions.get_mut(&target.region) {
            pool.limit.record_refusal();
        }
    }

    /// Returns the time within which nearly all requests are answered, `least` or more.
    pub(crate) fn latency_bound(&self, least: Duration) -> Duration {
        self.latency.upper_bound().max(least)
    }

    /// Returns the mean latency of a request on a warm target with a free slot.
    pub(crate) fn service_time(&self) -> Duration {
        self.warm_latency
            .as_ref()
            .map_or(Duration::ZERO, LatencyEstimate::mean)
    }

    /// Returns the median latency of a request on a warm target with a free slot. Unlike the mean,
    /// it is not raised by the occasional cold request.
    pub(crate) fn median_service_time(&self) -> Duration {
        self.warm_latency
            .as_ref()
            .map_or(Duration::ZERO, LatencyEstimate::median)
    }

    /// Returns the mean latency on a target that is cold for the object, at least twice the warm
    /// one.
    pub(crate) fn cold_service_time(&self) -> Duration {
        let cold = self.cold_latency.as_ref().map(LatencyEstimate::mean);
        cold.unwrap_or_default().max(self.service_time() * 2)
    }

    /// Returns the time that a request sent now is expected to take, with a margin of half the
    /// mean; a request with less time left is refused.
    pub(crate) fn expected_latency(&self) -> Duration {
        self.latency.mean() + self.latency.mean() / 2
    }

    /// Predicts how long a new request of `workspace` would wait for a target.
    pub(crate) fn predicted_wait(&self, now: Time, workspace: &WorkspaceId) -> Duration {
        let concurrency: u32 = self
            .regions
            .values()
            .map(|pool| {
                let allowed = pool
                    .members
                    .iter()
                    .map(|idx| self.targets[*idx].concurrency_limit(now));
                allowed.sum::<u32>().min(pool.limit.current())
            })
            .sum();
        let ahead = self.queue.ahead_of(workspace) + 1;
        if let Some(wait) = self.throughput.time_for(ahead) {
            return wait;
        }
        self.latency.mean().mul_f64(ahead as f64) / concurrency.max(1)
    }
}

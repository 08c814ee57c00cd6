//! Baseline strategies, which dispatch requests as a simple proxy does.

use std::collections::{BTreeMap, VecDeque};

use base::Time;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{
    event::{AttemptId, AttemptOutcome},
    simulation::{InstanceDispatcher, SimulatedTarget, Simulation},
};

/// Lists the ways in which a baseline selects a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetSelection {
    /// Each target in turn.
    RoundRobin,
    /// The target whose last report shows the least load.
    LeastReportedLoad,
    /// A random target of the instance's region, or of any region if that has none usable.
    NearestRegion,
}

/// Holds one instance's state of a baseline strategy.
#[derive(Debug, Clone)]
pub(super) struct BaselineDispatcher {
    pub(super) selection: TargetSelection,
    pub(super) max_attempts: u32,
    pub(super) is_queueing: bool,
    pub(super) region: usize,
    pub(super) slots: u32,
    /// Load by the last report of each target; `None` if the target is down or leaving.
    pub(super) reported_load: Vec<Option<u32>>,
    /// Open attempts of this instance on each target.
    pub(super) in_flight: Vec<u32>,
    /// Requests that wait for a slot.
    pub(super) queue: VecDeque<u64>,
    /// Attempts so far, by request.
    pub(super) attempt_counts: BTreeMap<u64, u32>,
    /// Counter of the round robin.
    pub(super) rotation: usize,
}

impl BaselineDispatcher {
    /// Selects one of the targets, given by index and region.
    ///
    /// Returns `None` if there is none, or if the baseline queues requests and this instance has
    /// filled all slots.
    pub(super) fn select(&mut self, rng: &mut Pcg32, targets: &[(usize, usize)]) -> Option<usize> {
        let usable: Vec<usize> = targets
            .iter()
            .filter(|(idx, _)| !self.is_queueing || self.in_flight[*idx] < self.slots)
            .map(|(idx, _)| *idx)
            .collect();
        if usable.is_empty() {
            return None;
        }
        match self.selection {
            TargetSelection::RoundRobin => {
                self.rotation += 1;
                Some(usable[self.rotation % usable.len()])
            }
            TargetSelection::LeastReportedLoad => usable
                .into_iter()
                .min_by_key(|idx| self.reported_load[*idx].unwrap_or(u32::MAX)),
            TargetSelection::NearestRegion => {
                let local: Vec<usize> = targets
                    .iter()
                    .filter(|(idx, region)| *region == self.region && usable.contains(idx))
                    .map(|(idx, _)| *idx)
                    .collect();
                let candidates = if local.is_empty() { &usable } else { &local };
                Some(candidates[rng.random_range(0..candidates.len())])
            }
        }
    }
}

impl Simulation<'_> {
    /// Sends a request's next attempt, or queues the request if no target can be selected.
    pub(super) fn baseline_send(&mut self, now: Time, id: u64) {
        let instance = self.requests[&id].instance;
        let is_not_leaving = |target: &SimulatedTarget| !target.is_leaving;
        let targets: Vec<(usize, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, target)| is_not_leaving(target))
            .map(|(idx, target)| (idx, target.region))
            .collect();
        let InstanceDispatcher::Baseline(baseline) = &mut self.instances[instance].dispatcher
        else {
            return;
        };
        let Some(target) = baseline.select(&mut self.rng, &targets) else {
            baseline.queue.push_back(id);
            return;
        };
        baseline.in_flight[target] += 1;
        let attempt_count = baseline.attempt_counts.entry(id).or_insert(0);
        *attempt_count += 1;
        let attempt = AttemptId {
            request: id,
            number: *attempt_count,
        };
        self.send(now, instance, attempt, target, false);
    }

    /// Retries the request of a failed attempt while it has attempts left, then serves the queue.
    pub(super) fn baseline_attempt_ended(
        &mut self,
        now: Time,
        instance: usize,
        id: AttemptId,
        target: usize,
        outcome: AttemptOutcome,
    ) {
        let InstanceDispatcher::Baseline(baseline) = &mut self.instances[instance].dispatcher
        else {
            return;
        };
        baseline.in_flight[target] -= 1;
        let is_retried = outcome != AttemptOutcome::Answered && id.number < baseline.max_attempts;
        if outcome == AttemptOutcome::Answered || !is_retried {
            baseline.attempt_counts.remove(&id.request);
        }
        if is_retried {
            self.baseline_send(now, id.request);
        } else if outcome != AttemptOutcome::Answered {
            self.complete_failed(id.request, false);
        }
        self.baseline_send_queued(now, instance);
    }

    /// Sends queued requests in order until no target can be selected.
    pub(super) fn baseline_send_queued(&mut self, now: Time, instance: usize) {
        loop {
            let InstanceDispatcher::Baseline(baseline) = &mut self.instances[instance].dispatcher
            else {
                return;
            };
            let len_before = baseline.queue.len();
            let Some(id) = baseline.queue.pop_front() else {
                return;
            };
            if self.requests[&id].is_completed {
                continue;
            }
            self.baseline_send(now, id);
            let InstanceDispatcher::Baseline(baseline) = &mut self.instances[instance].dispatcher
            else {
                return;
            };
            if baseline.queue.len() >= len_before {
                // No slot was free: the request goes back to the front of the queue.
                if let Some(id) = baseline.queue.pop_back() {
                    baseline.queue.push_front(id);
                }
                return;
            }
        }
    }
}

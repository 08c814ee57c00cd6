//! Attempts of instances that dispatch by a baseline strategy.

use base::Time;

use crate::service::{
    event::{AttemptId, AttemptOutcome},
    state::{InstanceDispatcher, SimulatedTarget, Simulation},
};

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

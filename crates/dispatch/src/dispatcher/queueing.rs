//! Queueing of admitted requests, and refusals of those that would wait too long.

use std::{collections::BTreeSet, time::Duration};

use base::{ErrorKind, Refusal, RegionId, ServiceId, Time};

use super::{Dispatcher, Entry};
use crate::{Action, AdmittedRequest, Placement, RequestId, pool::Pool};

/// Fraction of the time until its deadline that a new request may spend on the predicted wait and
/// its run together.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the time until its objective that a request waits for a target with capacity.
const OBJECTIVE_WAIT_FRACTION: f64 = 0.06;

impl Dispatcher {
    /// Returns why a new request must be refused, or `None` where it can be queued.
    pub(super) fn refusal(&self, now: Time, request: &AdmittedRequest) -> Option<Refusal> {
        let Some(pool) = self.pools.get(&request.service) else {
            return Some(Refusal::new(ErrorKind::UnknownService));
        };
        if !pool.has_available_target(now, &request.allowed_regions) {
            return Some(Refusal::new(ErrorKind::NoTarget));
        }
        if request.deadline <= now {
            return Some(Refusal::new(ErrorKind::Expired));
        }
        if pool.queue.is_empty() || self.policy.placement == Placement::ObjectAffinity {
            return None;
        }
        let wait = pool.predicted_wait(now, &request.workspace);
        // If the queue could grow up to the deadlines, every request would be served too late.
        let max_wait = (request.deadline - now).mul_f64(MAX_WAIT_FRACTION);
        let is_late = wait + pool.expected_latency() > max_wait;
        is_late.then(|| Refusal::new(ErrorKind::Overloaded).retry_after(wait))
    }

    pub(super) fn enqueue(&mut self, now: Time, request: AdmittedRequest) {
        let id = request.id;
        if let Some(pool) = self.pools.get_mut(&request.service) {
            pool.queue.push(&request.workspace, request.weight, id);
            let queued = pool.queue.len_of(&request.workspace);
            pool.backlog.record_arrival(now, &request.workspace, queued);
        }
        let wait_deadline = self.wait_deadline(now, &request);
        self.queued.insert((wait_deadline, id));
        let entry = Entry {
            reached: Vec::new(),
            wait_deadline,
            request,
            attempts: Vec::new(),
            attempts_sent: 0,
            refusals: 0,
            losses: 0,
            avoid: None,
            queued_at: now,
            was_refused_remotely: false,
            is_queued: true,
            is_answered: false,
            may_have_run: false,
            withdrawn: None,
        };
        self.entries.insert(id, entry);
    }

    /// Returns the time until which a new request may wait for a target.
    fn wait_deadline(&self, now: Time, request: &AdmittedRequest) -> Time {
        match self.policy.placement {
            Placement::TwoChoices => request.deadline,
            Placement::ObjectAffinity => request
                .deadline
                .min(now + (request.objective_deadline - now).mul_f64(OBJECTIVE_WAIT_FRACTION)),
        }
    }

    pub(super) fn requeue_for_retry(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_queued = true;
        self.queued.insert((entry.wait_deadline, id));
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            pool.queue.push_front(&entry.request.workspace, id);
        }
    }

    pub(super) fn remove_from_queue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_queued = false;
        self.queued.remove(&(entry.wait_deadline, id));
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            pool.queue.remove_if(|queued| *queued == id);
        }
    }

    /// Returns a popped request without a target to the front of the queue.
    pub(super) fn return_to_queue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            pool.queue.push_front(&entry.request.workspace, id);
        }
    }

    /// Refuses queued requests that have less time left than a request is expected to take, or
    /// whose wait deadline has passed.
    pub(super) fn refuse_late(&mut self, now: Time) -> Vec<Action> {
        if self.policy.placement == Placement::ObjectAffinity {
            return self.refuse_wait_expired(now);
        }
        let max_latency = self.pools.values().map(Pool::expected_latency).max();
        let horizon = now + max_latency.unwrap_or(Duration::ZERO);
        let late: Vec<RequestId> = self
            .queued
            .iter()
            .take_while(|(deadline, _)| *deadline <= horizon)
            .filter(|(deadline, id)| self.will_miss_deadline(now, *deadline, *id))
            .map(|(_, id)| *id)
            .collect();
        late.into_iter()
            .flat_map(|id| {
                self.remove_from_queue(id);
                self.refuse(now, id, ErrorKind::Overloaded)
            })
            .collect()
    }

    /// Refuses queued requests of which no target that they may use takes requests.
    pub(super) fn refuse_unplaceable(&mut self, now: Time) -> Vec<Action> {
        let mut unplaceable: Vec<RequestId> = Vec::new();
        for (service, pool) in self.pools.iter().filter(|(_, pool)| !pool.queue.is_empty()) {
            let available = pool.available_regions(now);
            let queued = self.queued.iter().map(|(_, id)| *id);
            unplaceable.extend(queued.filter(|id| {
                let request = self.entries.get(id).map(|entry| &entry.request);
                request.is_some_and(|request| {
                    request.service == *service && !can_run_in(request, &available)
                })
            }));
        }
        unplaceable
            .into_iter()
            .flat_map(|id| {
                self.remove_from_queue(id);
                self.refuse(now, id, ErrorKind::NoTarget)
            })
            .collect()
    }

    /// Refuses queued requests whose wait deadline has passed.
    fn refuse_wait_expired(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(wait_deadline, id)) = self.queued.first() {
            if wait_deadline > now {
                break;
            }
            self.remove_from_queue(id);
            actions.extend(self.refuse(now, id, ErrorKind::Overloaded));
        }
        actions
    }

    /// Refuses requests at the head of the queue that would miss their deadline, since those behind
    /// them may still meet theirs.
    pub(super) fn refuse_late_heads(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(id) = self.late_head(now, service) {
            self.remove_from_queue(id);
            actions.extend(self.refuse(now, id, ErrorKind::Overloaded));
        }
        actions
    }

    fn late_head(&self, now: Time, service: &ServiceId) -> Option<RequestId> {
        let id = *self.pools.get(service)?.queue.peek()?;
        let deadline = self.entries.get(&id)?.request.deadline;
        self.will_miss_deadline(now, deadline, id).then_some(id)
    }

    fn will_miss_deadline(&self, now: Time, deadline: Time, id: RequestId) -> bool {
        let service = self.entries.get(&id).map(|entry| &entry.request.service);
        let pool = service.and_then(|service| self.pools.get(service));
        pool.is_none_or(|pool| deadline <= now + pool.expected_latency())
    }
}

fn can_run_in(request: &AdmittedRequest, available: &BTreeSet<&RegionId>) -> bool {
    let mut regions = available.iter();
    regions.any(|region| request.allowed_regions.contains(region))
}

//! Choice of a target for queued requests, and the start of attempts.

use std::time::Duration;

use base::{ServiceId, Time};

use super::{Attempt, Dispatcher};
use crate::{
    Action, Assignment, Placement, RequestId, RequestKind, SelectionReason,
    pool::choice::RegionConstraints,
};

/// Maximum number of queued requests without a target that later ones may overtake at a time.
const MAX_SKIPPED: usize = 8;
/// The same of requests that are bound to regions, where targets are chosen without regard to objects:
/// those may wait until their deadline.
const MAX_BOUND_SKIPPED: usize = 256;

/// Minimum time after which a new connection is tried through another instance as well.
const MIN_RELAY_DELAY: Duration = Duration::from_millis(100);
/// The same to another region whose round-trip time is not known yet.
const REMOTE_RELAY_DELAY: Duration = Duration::from_millis(400);
/// The same as a number of round trips to the target's region.
const RELAY_DELAY_ROUND_TRIPS: u32 = 3;

impl Dispatcher {
    pub(super) fn assign_all(&mut self, now: Time) -> Vec<Action> {
        let services: Vec<ServiceId> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        services
            .iter()
            .flat_map(|service| self.assign(now, service))
            .collect()
    }

    /// Assigns queued requests to free targets, in the order of the fair queue.
    pub(super) fn assign(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        if self.policy.placement == Placement::ObjectAffinity {
            return self.place_queued(now, service);
        }
        let mut actions = self.refuse_late_heads(now, service);
        while let Some((id, idx)) = self.next_match(now, service) {
            if let Some(assignment) = self.start_attempt(now, id, idx, SelectionReason::Cheaper) {
                actions.push(Action::Assign(assignment));
            }
        }
        actions
    }

    /// Places queued requests by affinity, in the order of the fair queue. A request without a
    /// target does not block those behind it, so that one busy target does not hold up the others.
    fn place_queued(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED {
            let Some(id) = self
                .pools
                .get_mut(service)
                .and_then(|pool| pool.queue.pop())
            else {
                break;
            };
            match self.place_request(now, id) {
                Some(assignment) => actions.push(Action::Assign(assignment)),
                None => skipped.push(id),
            }
        }
        for id in skipped.into_iter().rev() {
            self.return_to_queue(id);
        }
        actions
    }

    fn place_request(&mut self, now: Time, id: RequestId) -> Option<Assignment> {
        let entry = self.entries.get(&id)?;
        let pool = self.pools.get(&entry.request.service)?;
        let query = self.surroundings.query(&entry.request, &entry.reached);
        let (idx, reason) = pool.place(now, &mut self.rng, query)?;
        let wait_deadline = entry.wait_deadline;
        self.queued.remove(&(wait_deadline, id));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_queued = false;
        }
        self.start_attempt(now, id, idx, reason)
    }

    /// Takes the next request from the queue for which there is a free target.
    ///
    /// Later ones overtake a few that are bound to regions without one.
    fn next_match(&mut self, now: Time, service: &ServiceId) -> Option<(RequestId, usize)> {
        let mut skipped = Vec::new();
        let found = loop {
            let Some(id) = self.pools.get(service).and_then(|pool| pool.queue.peek()) else {
                break None;
            };
            let id = *id;
            let found = self.match_head(now, service, id);
            let is_bound = self
                .entries
                .get(&id)
                .is_some_and(|entry| !entry.request.allowed_regions.is_all());
            let is_skipped = found.is_none() && is_bound && skipped.len() < MAX_BOUND_SKIPPED;
            if found.is_none() && !is_skipped {
                break None;
            }
            if let Some(pool) = self.pools.get_mut(service) {
                pool.queue.pop();
            }
            match found {
                Some(idx) => break Some((id, idx)),
                None => skipped.push(id),
            }
        };
        for id in skipped.into_iter().rev() {
            self.return_to_queue(id);
        }
        let (id, _) = found?;
        let entry = self.entries.get_mut(&id)?;
        entry.is_queued = false;
        self.queued.remove(&(entry.wait_deadline, id));
        found
    }

    /// Returns a free target for the request `id`, which is the first of its queue.
    fn match_head(&mut self, now: Time, service: &ServiceId, id: RequestId) -> Option<usize> {
        let pool = self.pools.get_mut(service)?;
        let entry = self.entries.get(&id)?;
        let constraints = RegionConstraints {
            local_region: &self.surroundings.local_region,
            allowed: &entry.request.allowed_regions,
            reserved_slots: pool
                .backlog
                .reserved_slots(now, pool.queue.queued_workspaces()),
            allows_other_regions: !entry.was_refused_remotely
                && now - entry.queued_at > self.configured_round_trip
                && entry.request.deadline - now
                    > self.configured_round_trip + pool.expected_latency(),
        };
        let fallback = pool.choose_target(now, &mut self.rng, constraints, None)?;
        let other = entry
            .avoid
            .and_then(|avoid| pool.choose_target(now, &mut self.rng, constraints, Some(avoid)));
        Some(other.unwrap_or(fallback))
    }

    /// Records a new attempt on the target at `idx` and returns its assignment.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        idx: usize,
        reason: SelectionReason,
    ) -> Option<Assignment> {
        let is_trial = self.take_trial(now, id);
        let service = &self.entries.get(&id)?.request.service;
        let max_hedge_delay = if is_trial {
            self.usual_latency(service)
        } else {
            Duration::MAX
        };
        let entry = self.entries.get_mut(&id)?;
        let pool = self.pools.get_mut(&entry.request.service)?;
        let load = pool.targets[idx].estimated_load(now).round() as u32;
        pool.record_start(now, idx, &entry.request.workspace);
        let target = &pool.targets[idx];
        entry.attempts_sent += 1;
        self.attempts_sent += 1;
        entry.attempts.push(Attempt {
            number: entry.attempts_sent,
            overall_number: self.attempts_sent,
            target: idx,
            reason,
            started_at: now,
            is_trial,
        });
        let hedge_delay = pool.latency_bound(self.policy.min_hedge_delay);
        Some(Assignment {
            id,
            attempt: entry.attempts_sent,
            service: entry.request.service.clone(),
            target: target.id.clone(),
            region: target.region.clone(),
            needs_fresh_connection: entry.request.kind == RequestKind::Once
                || entry.attempts_sent > 1,
            prefers_relay: !is_trial && self.path.prefers_relay(now, &target.id),
            is_trial,
            relay_delay: relay_delay(
                self.surroundings.round_trips.get(&target.region),
                target.region == self.surroundings.local_region,
            ),
            hedge_delay: hedge_delay.min(max_hedge_delay),
            reason,
            load,
        })
    }
}

/// Returns the time after which a connection is tried through another instance as well;
/// `round_trip` is that to the target's region, if it has been measured.
fn relay_delay(round_trip: Option<&Duration>, is_local: bool) -> Duration {
    let unmeasured = if is_local {
        MIN_RELAY_DELAY
    } else {
        REMOTE_RELAY_DELAY
    };
    let usual = round_trip.map(|round_trip| *round_trip * RELAY_DELAY_ROUND_TRIPS);
    usual.unwrap_or(unmeasured).max(MIN_RELAY_DELAY)
}

//! Assignment of requests to targets, with retries, hedges and refusals.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Config, ErrorKind, Executed, Refusal, RegionId, ServiceId, TargetId, Time};
use chart::{Chart, ChartError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    Action, AdmittedRequest, Assignment, ConnectionLoss, HealthReport, Outcome, Placement, Policy,
    PoolStats, Quarantine, RegionShares, RequestId, RequestKind, RequestProgress, RetryBudget,
    SelectionReason, TargetEvent, TargetState,
    placement::PlacementQuery,
    pool::{Pool, RegionConstraints, TargetContext},
    target_chart,
};

/// Tracks one request until it has ended and none of its attempts is in flight.
#[derive(Debug)]
struct Entry {
    request: AdmittedRequest,
    /// Attempts in flight.
    attempts: Vec<Attempt>,
    attempts_sent: u32,
    /// Attempts that were refused or could not connect.
    refusals: u32,
    /// Targets that the request may have reached.
    reached: Vec<usize>,
    /// Time after which the request no longer waits for a target.
    wait_deadline: Time,
    /// Attempts whose connection was lost.
    losses: u32,
    /// Target of the last attempt, which the next one avoids where it can.
    avoid: Option<usize>,
    queued_at: Time,
    /// Whether a target in another region has refused the request; a second round trip to another
    /// region is not worthwhile.
    was_refused_remotely: bool,
    is_queued: bool,
    is_answered: bool,
    may_have_run: bool,
}

impl Entry {
    /// Updates target positions after a removal; targets with requests in flight are never removed.
    fn remap_targets(&mut self, new_indices: &[Option<usize>]) {
        for attempt in &mut self.attempts {
            attempt.target = new_indices[attempt.target].unwrap_or(attempt.target);
        }
        self.reached = self
            .reached
            .iter()
            .filter_map(|idx| new_indices[*idx])
            .collect();
        self.avoid = self.avoid.and_then(|idx| new_indices[idx]);
    }
}

#[derive(Debug)]
struct Attempt {
    number: u32,
    target: usize,
    reason: SelectionReason,
}

/// Assigns admitted requests to targets and decides what follows when an attempt fails.
///
/// # Examples
///
/// ```
/// use base::{Config, Time};
/// use dispatch::{Dispatcher, Policy};
///
/// let mut dispatcher = Dispatcher::new("north".into(), 1, Policy::default()).unwrap();
/// dispatcher.configure(Time::ZERO, &Config::default());
/// assert!(dispatcher.tick(Time::from_secs(1)).is_empty());
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    local_region: RegionId,
    /// Round-trip time between two regions by the configuration.
    configured_round_trip: Duration,
    /// Round-trip time to each region as measured when connections were opened.
    round_trips: BTreeMap<RegionId, Duration>,
    rng: Pcg32,
    policy: Policy,
    chart: Chart<TargetState, TargetEvent>,
    pools: BTreeMap<ServiceId, Pool>,
    entries: BTreeMap<RequestId, Entry>,
    /// Queued requests by wait deadline.
    queued: BTreeSet<(Time, RequestId)>,
    budget: RetryBudget,
    quarantine: Quarantine,
}

/// Fraction of the time until its deadline that a new request may spend on the predicted wait and
/// its run together.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the time until its objective that a request waits for a target with capacity.
const OBJECTIVE_WAIT_FRACTION: f64 = 0.06;
/// Minimum time that a request waits for another target after one has refused it.
const RETRY_WAIT: Duration = Duration::from_millis(20);
/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Maximum number of queued requests without a target that later ones may overtake at a time.
const MAX_SKIPPED: usize = 8;

impl Dispatcher {
    /// Returns a dispatcher for an instance in `local_region`, without any services.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if the target's state chart can't be parsed.
    pub fn new(local_region: RegionId, seed: u64, policy: Policy) -> Result<Self, ChartError> {
        Ok(Self {
            local_region,
            configured_round_trip: Duration::ZERO,
            round_trips: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(seed),
            chart: target_chart()?,
            pools: BTreeMap::new(),
            entries: BTreeMap::new(),
            queued: BTreeSet::new(),
            budget: RetryBudget::new(policy.retry_fraction, policy.retry_cap),
            quarantine: Quarantine::new(policy.max_losses, policy.quarantine_period),
            policy,
        })
    }

    /// Applies a configuration; targets that it does not contain get no new requests.
    pub fn configure(&mut self, now: Time, config: &Config) -> Vec<Action> {
        self.configured_round_trip =
            Duration::from_millis(u64::from(config.links.region_delay_ms)) * 2;
        for (id, service) in &config.services {
            let pool = self.pools.entry(id.clone()).or_insert_with(Pool::new);
            let context = TargetContext {
                chart: &self.chart,
                instance_count: self.policy.instance_count,
                instance_seed: self.policy.instance_seed,
            };
            let region_of = |domain: &base::DomainId| config.region_of(domain).cloned();
            pool.configure(now, service, &context, region_of);
            let routes = || {
                let uses_service =
                    |route: &&base::Route| route.services.iter().any(|part| part.service == *id);
                config.routes.iter().filter(uses_service)
            };
            let priorities = routes().map(|route| route.priority);
            pool.top_priority = priorities.min().unwrap_or(0);
            if let Some(new_indices) = pool.remove_unused(service) {
                let entries = self.entries.values_mut();
                for entry in entries.filter(|entry| entry.request.service == *id) {
                    entry.remap_targets(&new_indices);
                }
            }
            pool.resize_limits(&self.local_region);
        }
        for (id, pool) in &mut self.pools {
            for target in &mut pool.targets {
                let is_in_service = config.is_target_in_service(id, &target.id);
                if is_in_service == target.is_in_service {
                    continue;
                }
                target.is_in_service = is_in_service;
                let event = if is_in_service {
                    TargetEvent::Returned
                } else {
                    TargetEvent::Leave
                };
                target.apply_event(now, &self.chart, event);
                let service = config.services.get(id);
                if let Some(cold) = service.and_then(|service| service.cold)
                    && is_in_service
                    && target.is_registered()
                {
                    // A target may have been restarted while it was drained.
                    let left = Duration::from_millis(u64::from(cold.duration_ms));
                    target.mark_cold(now, &self.chart, left);
                }
            }
        }
        self.assign_all(now)
    }

    /// Sets the planned shares of a service's traffic by region.
    pub fn set_region_shares(&mut self, service: &ServiceId, shares: RegionShares) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.region_shares = shares;
        }
    }

    /// Queues an admitted request and assigns queued requests to free targets.
    pub fn submit(&mut self, now: Time, request: AdmittedRequest) -> Vec<Action> {
        let id = request.id;
        if let Some(refusal) = self.refusal(now, &request) {
            return vec![Action::Refuse(id, refusal)];
        }
        let service = request.service.clone();
        self.enqueue(now, request);
        self.assign(now, &service)
    }

    /// Records the end of an attempt and decides whether its request is retried.
    ///
    /// An attempt that is not in flight is ignored.
    pub fn finish(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    ) -> (RequestProgress, Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return (RequestProgress::Ended, Vec::new());
        };
        let Some(pos) = entry.attempts.iter().position(|one| one.number == attempt) else {
            return (RequestProgress::Ended, Vec::new());
        };
        let Attempt { target, reason, .. } = entry.attempts.swap_remove(pos);
        let service = entry.request.service.clone();
        let fingerprint = entry.request.fingerprint;
        let workspace = entry.request.workspace.clone();
        self.update_target(now, &service, (target, reason), outcome);
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.record_end(now, target, &workspace);
        }
        let loss = (outcome == Outcome::Lost).then(|| ConnectionLoss {
            fingerprint,
            target_digest: self.target_digest(&service, target),
        });
        let (progress, mut actions) = self.update_request(now, id, target, outcome, loss);
        actions.extend(loss.map(Action::ReportLoss));
        actions.extend(self.assign(now, &service));
        (progress, actions)
    }

    /// Returns the target of an attempt that is in flight.
    pub fn target_of(&self, id: RequestId, attempt: u32) -> Option<&TargetId> {
        let entry = self.entries.get(&id)?;
        let found = entry.attempts.iter().find(|one| one.number == attempt)?;
        let pool = self.pools.get(&entry.request.service)?;
        Some(&pool.targets[found.target].id)
    }

    /// Returns a second, concurrent attempt of an idempotent request that has received no first
    /// byte yet, or `None` where it may not be hedged, the retry budget is empty or no target is
    /// free.
    pub fn hedge(&mut self, now: Time, id: RequestId) -> Option<Assignment> {
        let entry = self.entries.get(&id)?;
        if entry.request.kind != RequestKind::Idempotent || entry.attempts.len() != 1 {
            return None;
        }
        let avoid = Some(entry.attempts[0].target);
        let pool = self.pools.get(&entry.request.service)?;
        if self.policy.placement == Placement::ObjectAffinity {
            if entry.reached.len() + 1 >= entry.request.max_attempts as usize {
                return None;
            }
            let tried = [entry.attempts[0].target];
            let query = PlacementQuery {
                request: &entry.request,
                local_region: &self.local_region,
                round_trips: &self.round_trips,
                tried: &tried,
            };
            let (idx, reason) = pool.place(now, &mut self.rng, query)?;
            if !self.budget.try_withdraw() {
                return None;
            }
            return self.start_attempt(now, id, idx, reason);
        }
        let constraints = RegionConstraints {
            local_region: &self.local_region,
            reserved_slots: 0,
            allows_other_regions: true,
        };
        let idx = pool.choose_target(now, &mut self.rng, constraints, avoid)?;
        if !self.budget.try_withdraw() {
            return None;
        }
        self.start_attempt(now, id, idx, SelectionReason::Cheaper)
    }

    /// Drops a queued request whose caller has left; attempts in flight must still be ended by
    /// [`Dispatcher::finish`].
    pub fn cancel(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if entry.is_queued {
            self.remove_from_queue(id);
            self.entries.remove(&id);
        }
    }

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
                let event = match (report.is_leaving, target.state()) {
                    (true, _) => TargetEvent::Leave,
                    (false, TargetState::Leaving) if target.is_in_service => TargetEvent::Returned,
                    (false, _) => TargetEvent::Recovered,
                };
                target.apply_event(now, &self.chart, event);
            }
            None => {
                target.apply_event(now, &self.chart, TargetEvent::Failed);
            }
        }
        self.assign(now, service)
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
        let estimate = self.round_trips.entry(region).or_insert(connect_time);
        // A single slow connection may be an outlier; a fast one shows what the network can do. So
        // a lower sample applies at once, a higher one by a sixteenth.
        *estimate = connect_time.min(*estimate + (connect_time.saturating_sub(*estimate)) / 16);
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

    /// Returns the number of retries and hedges that the retry budget allows now.
    pub fn retries_left(&self) -> f64 {
        self.budget.available()
    }

    /// Stops new requests to a target that is leaving according to the target list.
    pub fn mark_leaving(&mut self, now: Time, service: &ServiceId, target: &TargetId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(&idx) = pool.index.get(target) {
            pool.targets[idx].apply_event(now, &self.chart, TargetEvent::Leave);
        }
    }

    /// Records a connection loss that another instance has reported.
    pub fn record_remote_loss(&mut self, now: Time, loss: ConnectionLoss) {
        self.quarantine.record(now, loss);
    }

    /// Returns the fingerprints of the quarantined requests and how much longer each is.
    pub fn quarantined(&self, now: Time) -> Vec<(u64, Duration)> {
        self.quarantine.quarantined(now)
    }

    /// Refuses queued requests that can no longer be answered in time, ends warm-ups that are over
    /// and assigns queued requests to free targets.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.refuse_late(now);
        for pool in self.pools.values_mut() {
            for target in &mut pool.targets {
                if target.is_warm_up_over(now) {
                    target.apply_event(now, &self.chart, TargetEvent::Warmed);
                }
            }
        }
        actions.extend(self.assign_all(now));
        actions
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
                    targets,
                }
            })
            .collect()
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
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
}

impl Dispatcher {
    /// Returns why a new request must be refused, or `None` where it can be queued.
    fn refusal(&self, now: Time, request: &AdmittedRequest) -> Option<Refusal> {
        if let Some(wait) = self.quarantine.remaining(now, request.fingerprint) {
            return Some(Refusal::new(ErrorKind::Quarantined).retry_after(wait));
        }
        let Some(pool) = self.pools.get(&request.service) else {
            return Some(Refusal::new(ErrorKind::UnknownService));
        };
        if !pool.has_available_target(now) {
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

    fn enqueue(&mut self, now: Time, request: AdmittedRequest) {
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

    fn requeue_for_retry(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_queued = true;
        self.queued.insert((entry.wait_deadline, id));
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            pool.queue.push_front(&entry.request.workspace, id);
        }
    }

    fn remove_from_queue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_queued = false;
        self.queued.remove(&(entry.wait_deadline, id));
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            pool.queue.remove_if(|queued| *queued == id);
        }
    }

    fn assign_all(&mut self, now: Time) -> Vec<Action> {
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
    fn assign(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
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
        let query = PlacementQuery {
            request: &entry.request,
            local_region: &self.local_region,
            round_trips: &self.round_trips,
            tried: &entry.reached,
        };
        let (idx, reason) = pool.place(now, &mut self.rng, query)?;
        let wait_deadline = entry.wait_deadline;
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            match reason {
                SelectionReason::OtherRegion => pool.spill_budget.withdraw(),
                _ => pool.spill_budget.deposit(),
            }
        }
        self.queued.remove(&(wait_deadline, id));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_queued = false;
        }
        self.start_attempt(now, id, idx, reason)
    }

    /// Returns a popped request without a target to the front of the queue.
    fn return_to_queue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            pool.queue.push_front(&entry.request.workspace, id);
        }
    }

    /// Takes the next request from the queue if there is a free target for it.
    fn next_match(&mut self, now: Time, service: &ServiceId) -> Option<(RequestId, usize)> {
        let pool = self.pools.get_mut(service)?;
        let first = self.entries.get(pool.queue.peek()?)?;
        let constraints = RegionConstraints {
            local_region: &self.local_region,
            reserved_slots: pool
                .backlog
                .reserved_slots(now, pool.queue.queued_workspaces()),
            allows_other_regions: !first.was_refused_remotely
                && now - first.queued_at > self.configured_round_trip
                && first.request.deadline - now
                    > self.configured_round_trip + pool.expected_latency(),
        };
        // Selected before the request is popped, since a popped request needs a target.
        let fallback = pool.choose_target(now, &mut self.rng, constraints, None)?;
        let id = pool.queue.pop()?;
        let entry = self.entries.get_mut(&id)?;
        entry.is_queued = false;
        self.queued.remove(&(entry.wait_deadline, id));
        let idx = entry
            .avoid
            .and_then(|avoid| pool.choose_target(now, &mut self.rng, constraints, Some(avoid)))
            .unwrap_or(fallback);
        Some((id, idx))
    }

    /// Records a new attempt on the target at `idx` and returns its assignment.
    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        idx: usize,
        reason: SelectionReason,
    ) -> Option<Assignment> {
        let entry = self.entries.get_mut(&id)?;
        let pool = self.pools.get_mut(&entry.request.service)?;
        let load = pool.targets[idx].estimated_load(now).round() as u32;
        pool.record_start(now, idx, &entry.request.workspace);
        let target = &pool.targets[idx];
        entry.attempts_sent += 1;
        entry.attempts.push(Attempt {
            number: entry.attempts_sent,
            target: idx,
            reason,
        });
        Some(Assignment {
            id,
            attempt: entry.attempts_sent,
            service: entry.request.service.clone(),
            target: target.id.clone(),
            region: target.region.clone(),
            needs_fresh_connection: entry.request.kind == RequestKind::Once
                || entry.attempts_sent > 1,
            hedge_delay: pool.latency.upper_bound().max(self.policy.min_hedge_delay),
            reason,
            load,
        })
    }

    /// Updates the state, the limits and the estimates of a target after an attempt.
    fn update_target(
        &mut self,
        now: Time,
        service: &ServiceId,
        (idx, reason): (usize, SelectionReason),
        outcome: Outcome,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        match outcome {
            Outcome::Answered(latency) => {
                pool.record_response(now, idx, reason, latency);
                self.budget.deposit();
            }
            Outcome::Refused => pool.record_refusal(now, idx),
            Outcome::Unreachable | Outcome::Lost => {
                let target = &mut pool.targets[idx];
                if target.record_failure() {
                    target.apply_event(now, &self.chart, TargetEvent::Failed);
                }
            }
            Outcome::TimedOut | Outcome::Canceled => {}
        }
    }

    /// Decides what follows for a request after an attempt has ended.
    fn update_request(
        &mut self,
        now: Time,
        id: RequestId,
        target: usize,
        outcome: Outcome,
        loss: Option<ConnectionLoss>,
    ) -> (RequestProgress, Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return (RequestProgress::Ended, Vec::new());
        };
        entry.avoid = Some(target);
        if outcome == Outcome::Refused {
            let pool = self.pools.get(&entry.request.service);
            entry.was_refused_remotely |=
                pool.is_some_and(|pool| pool.targets[target].region != self.local_region);
        }
        entry.may_have_run |= matches!(outcome, Outcome::Lost | Outcome::TimedOut);
        if entry.is_answered {
            return self.apply_disposition(now, id, Disposition::Drop);
        }
        let disposition = match outcome {
            Outcome::Answered(_) => {
                entry.is_answered = true;
                Disposition::Complete
            }
            Outcome::Canceled => Disposition::Drop,
            Outcome::TimedOut => Disposition::Refuse(ErrorKind::TargetTimeout),
            Outcome::Refused | Outcome::Unreachable
                if self.policy.placement == Placement::ObjectAffinity =>
            {
                entry.refusals += 1;
                if outcome == Outcome::Refused {
                    entry.reached.push(target);
                }
                let may_retry = entry.reached.len() < entry.request.max_attempts as usize
                    && entry.refusals < self.policy.max_refusals;
                // An attempt that never connected put no load on a target.
                let has_budget = outcome == Outcome::Unreachable || self.budget.try_withdraw();
                if may_retry && has_budget {
                    entry.wait_deadline = entry.wait_deadline.max(now + RETRY_WAIT);
                    Disposition::Retry
                } else {
                    Disposition::Refuse(ErrorKind::TargetRefused)
                }
            }
            Outcome::Refused | Outcome::Unreachable => {
                entry.refusals += 1;
                if entry.refusals >= self.policy.max_refusals {
                    Disposition::Refuse(ErrorKind::TargetRefused)
                } else {
                    Disposition::Retry
                }
            }
            Outcome::Lost => {
                entry.losses += 1;
                entry.reached.push(target);
                let is_quarantined = loss.is_some_and(|loss| self.quarantine.record(now, loss));
                let is_retried = entry.request.kind == RequestKind::Idempotent
                    && entry.losses == 1
                    && entry.reached.len() < entry.request.max_attempts as usize
                    && !is_quarantined
                    && self.budget.try_withdraw();
                if is_retried {
                    Disposition::Retry
                } else {
                    Disposition::Refuse(ErrorKind::TargetLost)
                }
            }
        };
        self.apply_disposition(now, id, disposition)
    }

    /// Returns the digest of a target's incarnation; a random one for an unregistered target, so
    /// that each of its losses counts.
    fn target_digest(&mut self, service: &ServiceId, target: usize) -> u64 {
        let pool = self.pools.get(service);
        let known = pool.and_then(|pool| pool.targets[target].incarnation_digest());
        known.unwrap_or_else(|| self.rng.random())
    }

    fn apply_disposition(
        &mut self,
        now: Time,
        id: RequestId,
        disposition: Disposition,
    ) -> (RequestProgress, Vec<Action>) {
        let Some(entry) = self.entries.get(&id) else {
            return (RequestProgress::Ended, Vec::new());
        };
        let has_other = !entry.attempts.is_empty();
        match disposition {
            // The other attempt of a hedged request reports its own end later.
            Disposition::Complete | Disposition::Drop if has_other => {
                (RequestProgress::Continues, Vec::new())
            }
            Disposition::Complete | Disposition::Drop => {
                self.entries.remove(&id);
                (RequestProgress::Ended, Vec::new())
            }
            Disposition::Retry | Disposition::Refuse(_) if has_other => {
                (RequestProgress::Continues, Vec::new())
            }
            Disposition::Retry if entry.request.deadline <= now => {
                (RequestProgress::Ended, self.refuse(id, ErrorKind::Expired))
            }
            Disposition::Retry => {
                self.requeue_for_retry(id);
                (RequestProgress::Continues, Vec::new())
            }
            Disposition::Refuse(kind) => (RequestProgress::Ended, self.refuse(id, kind)),
        }
    }

    /// Refuses queued requests that have less time left than a request is expected to take, or
    /// whose wait deadline has passed.
    fn refuse_late(&mut self, now: Time) -> Vec<Action> {
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
                self.refuse(id, ErrorKind::Overloaded)
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
            actions.extend(self.refuse(id, ErrorKind::Overloaded));
        }
        actions
    }

    /// Refuses requests at the head of the queue that would miss their deadline, since those behind
    /// them may still meet theirs.
    fn refuse_late_heads(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(id) = self.late_head(now, service) {
            self.remove_from_queue(id);
            actions.extend(self.refuse(id, ErrorKind::Overloaded));
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

    /// Ends a request with a refusal. One that says that the request did not run is replaced where
    /// an attempt may have run it.
    fn refuse(&mut self, id: RequestId, kind: ErrorKind) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        let contradicts_run = entry.may_have_run && kind.response().executed == Executed::No;
        let kind = if contradicts_run {
            ErrorKind::TargetLost
        } else {
            kind
        };
        let mut refusal = Refusal::new(kind);
        let is_overloaded = matches!(kind, ErrorKind::Overloaded | ErrorKind::TargetRefused);
        if is_overloaded && self.policy.placement == Placement::ObjectAffinity {
            let pool = self.pools.get(&entry.request.service);
            let service_time = pool.map_or(Duration::ZERO, Pool::service_time);
            // After half a service time slots have become free, and the objective can still be met.
            refusal = refusal.retry_after((service_time / 2).max(MIN_RETRY_AFTER));
        }
        vec![Action::Refuse(id, refusal)]
    }
}

/// Lists what can follow for a request after an attempt has ended.
#[derive(Clone, Copy)]
enum Disposition {
    /// The request was answered.
    Complete,
    /// The attempt is no longer needed.
    Drop,
    /// The request is queued for another attempt.
    Retry,
    /// The request is refused.
    Refuse(ErrorKind),
}

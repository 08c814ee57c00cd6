//! Assignment of requests to targets, with retries, hedges and refusals.

mod departures;
mod outcomes;
mod paths;
mod probes;
mod quarantine;
mod queueing;
mod rates;
mod sending;
mod statistics;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{
    AllowedRegions, ColdStart, Config, ErrorKind, InstanceId, RegionId, Route, ServiceId, Shared,
    TargetId, Time,
};
use chart::{Chart, ChartError};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::{
    Action, AdmittedRequest, Assignment, ConnectionLoss, LossCollector, LostAttempt, Outcome,
    PathMonitor, Placement, Policy, Quarantine, RegionShares, RequestId, RequestKind,
    RequestProgress, RetryBudget, SelectionReason, Target, TargetEvent, TargetState, path_chart,
    placement::Surroundings,
    pool::{Pool, TargetContext, choice::RegionConstraints},
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
    /// Why the request is not sent again, since a new configuration doesn't allow it.
    withdrawn: Option<ErrorKind>,
}

impl Entry {
    /// Returns whether an attempt is in flight at one of these targets.
    fn is_on(&self, targets: &[usize]) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| targets.contains(&attempt.target))
    }

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
    /// Number of the attempt among those of all requests, in the order of their start.
    overall_number: u64,
    target: usize,
    reason: SelectionReason,
    started_at: Time,
    /// Whether it shows if the lost path to the targets answers again.
    is_trial: bool,
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
    surroundings: Surroundings,
    /// Round-trip time between two regions by the configuration.
    configured_round_trip: Duration,
    rng: Pcg32,
    policy: Policy,
    chart: Chart<TargetState, TargetEvent>,
    pools: BTreeMap<ServiceId, Pool>,
    routes: Shared<Vec<Route>>,
    /// Most urgent priority among the routes of each service.
    top_priorities: BTreeMap<ServiceId, u32>,
    entries: BTreeMap<RequestId, Entry>,
    /// Queued requests by wait deadline.
    queued: BTreeSet<(Time, RequestId)>,
    budget: RetryBudget,
    quarantine: Quarantine,
    losses: LossCollector,
    holds_reported_at: Time,
    /// Losses that have been reported to the other instances once.
    reported_once: Vec<(Time, ConnectionLoss)>,
    /// Number of attempts of all requests.
    attempts_sent: u64,
    path: PathMonitor,
    /// Time within which nearly all requests of each service were answered before the path was lost.
    usual_latencies: BTreeMap<ServiceId, Duration>,
    own_id: InstanceId,
    /// Running instances, among which the rates that targets name are shared.
    instances: Vec<(InstanceId, RegionId)>,
}

impl Dispatcher {
    /// Returns a dispatcher for an instance in `local_region`, without any services.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if the target's state chart can't be parsed.
    pub fn new(local_region: RegionId, seed: u64, policy: Policy) -> Result<Self, ChartError> {
        Ok(Self {
            surroundings: Surroundings {
                local_region,
                round_trips: BTreeMap::new(),
            },
            configured_round_trip: Duration::ZERO,
            rng: Pcg32::seed_from_u64(seed),
            chart: target_chart()?,
            pools: BTreeMap::new(),
            routes: Shared::default(),
            top_priorities: BTreeMap::new(),
            entries: BTreeMap::new(),
            queued: BTreeSet::new(),
            budget: RetryBudget::new(policy.retry_fraction, policy.retry_cap),
            quarantine: Quarantine::new(policy.max_losses, policy.quarantine_period),
            policy,
            losses: LossCollector::default(),
            holds_reported_at: Time::ZERO,
            reported_once: Vec::new(),
            attempts_sent: 0,
            path: PathMonitor::new(path_chart()?),
            usual_latencies: BTreeMap::new(),
            own_id: InstanceId::from(""),
            instances: Vec::new(),
        })
    }

    /// Applies a configuration; targets that it does not contain get no new requests, and the requests
    /// on targets that it moves to another region or address or takes out of service are recalled before
    /// anything is sent.
    pub fn configure(&mut self, now: Time, config: &Config) -> Vec<Action> {
        self.configured_round_trip =
            Duration::from_millis(u64::from(config.links.region_delay_ms)) * 2;
        if self.routes != config.routes {
            self.routes = config.routes.clone();
            self.top_priorities = top_priorities(&config.routes);
        }
        let mut recalled = Vec::new();
        let mut has_moved = false;
        for (id, service) in &config.services {
            let pool = self.pools.entry(id.clone()).or_insert_with(Pool::new);
            let context = TargetContext {
                chart: &self.chart,
                instance_count: self.policy.instance_count,
                instance_seed: self.policy.instance_seed,
            };
            let region_of = |domain: &base::DomainId| config.region_of(domain).cloned();
            let moved = pool.configure(now, service, &context, region_of);
            has_moved |= !moved.is_empty();
            recalled.extend(recalls(&self.entries, id, &moved));
            pool.top_priority = self.top_priorities.get(id).copied().unwrap_or(0);
            if let Some(new_indices) = pool.remove_unused(now, service) {
                let entries = self.entries.values_mut();
                for entry in entries.filter(|entry| entry.request.service == *id) {
                    entry.remap_targets(&new_indices);
                }
            }
            pool.resize_limits(&self.surroundings.local_region);
        }
        if has_moved {
            self.rank_rates();
        }
        recalled.extend(self.configure_service_states(now, config));
        let mut actions = recalled;
        actions.extend(self.refuse_unplaceable(now));
        actions.extend(self.assign_all(now));
        actions
    }

    /// Takes targets in and out of service according to a configuration, and recalls what is on those that it
    /// takes out.
    fn configure_service_states(&mut self, now: Time, config: &Config) -> Vec<Action> {
        let mut recalled = Vec::new();
        for (id, pool) in &mut self.pools {
            let service = config.services.get(id);
            let cold = service.and_then(|service| service.cold);
            let mut taken_out = Vec::new();
            for (idx, target) in pool.targets.iter_mut().enumerate() {
                if configure_service_state(now, &self.chart, config, (id, cold), target) {
                    taken_out.push(idx);
                }
            }
            recalled.extend(recalls(&self.entries, id, &taken_out));
        }
        recalled
    }

    /// Sets the planned shares of a service's traffic by region.
    pub fn set_region_shares(&mut self, service: &ServiceId, shares: RegionShares) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.region_shares = shares;
        }
    }

    /// Replaces the routing by an earlier configuration of a request that has no final answer yet.
    ///
    /// It applies to what is sent from now on; call it before [`Dispatcher::configure`], which sends
    /// what waits.
    pub fn revise(&mut self, id: RequestId, allowed_regions: &AllowedRegions, max_attempts: u32) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.request.allowed_regions = allowed_regions.clone();
            entry.request.max_attempts = max_attempts;
            entry.withdrawn = None;
        }
    }

    /// Records that a request may run at most once from now on.
    pub fn forbid_repeats(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.request.kind = RequestKind::Once;
        }
    }

    /// Refuses a request that a new configuration doesn't allow: at once if it waits, and otherwise
    /// where another attempt would follow.
    pub fn withdraw(&mut self, now: Time, id: RequestId, kind: ErrorKind) -> Vec<Action> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        if !entry.is_queued {
            entry.withdrawn = Some(kind);
            return Vec::new();
        }
        self.remove_from_queue(id);
        self.refuse(now, id, kind)
    }

    /// Returns whether a request has been submitted and has not ended.
    pub fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Queues an admitted request and assigns queued requests to free targets.
    pub fn submit(&mut self, now: Time, request: AdmittedRequest) -> Vec<Action> {
        let id = request.id;
        // A trial of a quarantined request begins only if nothing else forbids it.
        let refusal = self
            .refusal(now, &request)
            .or_else(|| self.quarantine_refusal(now, &request));
        if let Some(refusal) = refusal {
            return vec![Action::Refuse(id, refusal)];
        }
        let service = request.service.clone();
        self.enqueue(now, request);
        let mut actions = self.assign(now, &service);
        actions.extend(self.refuse_beyond_gates(now, id));
        actions
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
        let Attempt {
            target,
            reason,
            overall_number,
            is_trial,
            ..
        } = entry.attempts.swap_remove(pos);
        let service = entry.request.service.clone();
        let fingerprint = entry.request.fingerprint;
        let workspace = entry.request.workspace.clone();
        if matches!(outcome, Outcome::Answered(_) | Outcome::Refused) {
            self.path.record_response(now);
        }
        if is_trial {
            self.end_trial(now, &service, outcome);
        }
        let mut reports = Vec::new();
        if matches!(outcome, Outcome::Answered(_)) {
            reports = self.record_request_answer(now, fingerprint);
        }
        self.update_target(now, &service, (target, reason), outcome);
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.record_end(now, target, &workspace);
        }
        if outcome == Outcome::Lost {
            let target_digest = self.target_digest(&service, target);
            let loss = ConnectionLoss {
                fingerprint,
                target_digest,
            };
            let pool = self.pools.get(&service);
            let lost = LostAttempt {
                number: overall_number,
                target: pool.map_or(0, |pool| pool.targets[target].digest()),
                loss,
            };
            self.losses.add(now, self.attempts_sent, lost);
            if self.quarantine.is_held(fingerprint) {
                // The trial is over, whatever else was lost with it.
                reports = self.record_losses(now, &[loss.into()]);
            }
        }
        let (progress, mut actions) = self.update_request(now, id, target, outcome);
        actions.extend(reports);
        actions.extend(self.assign(now, &service));
        // The answer may have closed the last target that the request could wait for.
        actions.extend(self.refuse_beyond_gates(now, id));
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
        let is_suspected = self.quarantine.is_suspected(entry.request.fingerprint);
        if entry.request.kind != RequestKind::Idempotent
            || entry.attempts.len() != 1
            || entry.withdrawn.is_some()
            || is_suspected
        {
            return None;
        }
        let avoid = Some(entry.attempts[0].target);
        let pool = self.pools.get(&entry.request.service)?;
        if self.policy.placement == Placement::ObjectAffinity {
            if entry.reached.len() + 1 >= entry.request.max_attempts as usize {
                return None;
            }
            let tried = [entry.attempts[0].target];
            let query = self.surroundings.query(&entry.request, &tried);
            let (idx, reason) = pool.place(now, &mut self.rng, query)?;
            if !self.budget.try_withdraw() {
                return None;
            }
            return self.start_attempt(now, id, idx, reason);
        }
        let constraints = RegionConstraints {
            local_region: &self.surroundings.local_region,
            allowed: &entry.request.allowed_regions,
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

    /// Refuses queued requests that can no longer be answered in time, ends warm-ups that are over
    /// and assigns queued requests to free targets.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.refuse_late(now);
        actions.extend(self.refuse_unplaceable(now));
        actions.extend(self.attribute_losses(now));
        actions.extend(self.due_repeats(now));
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
}

/// Takes a target in or out of service according to a configuration, and returns whether that takes it out.
fn configure_service_state(
    now: Time,
    chart: &Chart<TargetState, TargetEvent>,
    config: &Config,
    (service, cold): (&ServiceId, Option<ColdStart>),
    target: &mut Target,
) -> bool {
    let is_available = config.is_target_available(service, &target.id);
    let is_drained = config.is_target_drained(service, &target.id);
    let was_in_service = target.is_configured_in_service();
    let is_back = target.apply_config(now, chart, is_available, is_drained);
    if let Some(cold) = cold
        && is_back
        && target.is_registered()
    {
        // A target may have become cold while it was drained, without a new entry.
        let left = Duration::from_millis(u64::from(cold.duration_ms));
        target.mark_cold(now, chart, left);
    }
    was_in_service && !target.is_configured_in_service()
}

/// Returns the most urgent priority among the routes of each service.
fn top_priorities(routes: &[Route]) -> BTreeMap<ServiceId, u32> {
    let mut top: BTreeMap<ServiceId, u32> = BTreeMap::new();
    for route in routes {
        for part in &route.services {
            let priority = top.entry(part.service.clone()).or_insert(route.priority);
            *priority = route.priority.min(*priority);
        }
    }
    top
}

/// Returns the recall of each request with an attempt in flight at one of these targets of a service.
fn recalls(
    entries: &BTreeMap<RequestId, Entry>,
    service: &ServiceId,
    targets: &[usize],
) -> Vec<Action> {
    // Most configurations change no target.
    if targets.is_empty() {
        return Vec::new();
    }
    entries
        .iter()
        .filter(|(_, entry)| entry.request.service == *service && entry.is_on(targets))
        .map(|(id, _)| Action::Recall(*id))
        .collect()
}

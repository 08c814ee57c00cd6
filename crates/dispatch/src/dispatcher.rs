//! The decision which request runs on which target, and what follows when it fails.

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
    place::Placing,
    pool::{Pool, Reach, TargetRules},
    target_chart,
};

#[derive(Debug)]
struct Entry {
    work: AdmittedRequest,
    attempts: Vec<Attempt>,
    sent: u32,
    refusals: u32,
    /// Targets that it may have reached.
    reached: Vec<usize>,
    /// Time at which it is no longer worth waiting for a target.
    give_up: Time,
    losses: u32,
    avoid: Option<usize>,
    queued_at: Time,
    /// Whether another region has refused it: the way there is not worth a second try.
    is_refused_far: bool,
    is_queued: bool,
    is_answered: bool,
    may_have_run: bool,
}

impl Entry {
    /// Takes in that targets have new places; those that ran anything have kept one.
    fn move_targets(&mut self, places: &[Option<usize>]) {
        for attempt in &mut self.attempts {
            attempt.target = places[attempt.target].unwrap_or(attempt.target);
        }
        self.reached = self.reached.iter().filter_map(|idx| places[*idx]).collect();
        self.avoid = self.avoid.and_then(|idx| places[idx]);
    }
}

#[derive(Debug)]
struct Attempt {
    number: u32,
    target: usize,
    reason: SelectionReason,
}

/// Assigns requests to targets.
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
    home: RegionId,
    round_trip: Duration,
    /// Measured time to each region and back.
    ways: BTreeMap<RegionId, Duration>,
    rng: Pcg32,
    policy: Policy,
    chart: Chart<TargetState, TargetEvent>,
    pools: BTreeMap<ServiceId, Pool>,
    entries: BTreeMap<RequestId, Entry>,
    queued: BTreeSet<(Time, RequestId)>,
    budget: RetryBudget,
    quarantine: Quarantine,
}

/// Share of a request's time that it may spend waiting for a target.
const MOST_WAIT_SHARE: f64 = 0.5;
/// Share of the latency objective that a request waits for a target that has room in time.
const PATIENCE: f64 = 0.06;
/// Time that a request waits for another target after one has refused it.
const SECOND_PATIENCE: Duration = Duration::from_millis(20);
/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(20);
/// Queued requests without room that may be passed over by later ones.
const MOST_PASSED: usize = 8;

impl Dispatcher {
    /// Returns a dispatcher of an instance in region `home`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the target's chart can't be read.
    pub fn new(home: RegionId, seed: u64, policy: Policy) -> Result<Self, ChartError> {
        Ok(Self {
            home,
            round_trip: Duration::ZERO,
            ways: BTreeMap::new(),
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

    /// Puts a configuration in force; targets that it no longer names take no new work.
    pub fn configure(&mut self, now: Time, config: &Config) -> Vec<Action> {
        self.round_trip = Duration::from_millis(u64::from(config.links.region_delay_ms)) * 2;
        for (id, service) in &config.services {
            let pool = self.pools.entry(id.clone()).or_insert_with(Pool::new);
            let rules = TargetRules {
                chart: &self.chart,
                instance_count: self.policy.instance_count,
                instance_seed: self.policy.instance_seed,
            };
            let region_of = |domain: &base::DomainId| config.region_of(domain).cloned();
            pool.configure(now, service, &rules, region_of);
            let routes = || {
                let leads_here =
                    |route: &&base::Route| route.services.iter().any(|part| part.service == *id);
                config.routes.iter().filter(leads_here)
            };
            let priorities = routes().map(|route| route.priority);
            pool.most_urgent = priorities.min().unwrap_or(0);
            pool.objective = routes()
                .filter(|route| route.is_sticky)
                .map(|route| Duration::from_millis(u64::from(route.objective_ms)))
                .min();
            if let Some(places) = pool.forget(service) {
                let entries = self.entries.values_mut();
                for entry in entries.filter(|entry| entry.work.service == *id) {
                    entry.move_targets(&places);
                }
            }
            pool.size_limits(&self.home);
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
                target.fire(now, &self.chart, event);
                let service = config.services.get(id);
                if let Some(cold) = service.and_then(|service| service.cold)
                    && is_in_service
                    && target.is_registered()
                {
                    // What came back from a drain may have been restarted meanwhile.
                    let left = Duration::from_millis(u64::from(cold.duration_ms));
                    target.chill(now, &self.chart, left);
                }
            }
        }
        self.assign_all(now)
    }

    /// Sets the shares of the regions for a service.
    pub fn set_region_shares(&mut self, service: &ServiceId, route: RegionShares) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.route = route;
        }
    }

    /// Takes in an admitted request.
    pub fn submit(&mut self, now: Time, work: AdmittedRequest) -> Vec<Action> {
        let id = work.id;
        if let Some(refusal) = self.refusal(now, &work) {
            return vec![Action::Refuse(id, refusal)];
        }
        let service = work.service.clone();
        self.enqueue(now, work);
        self.assign(now, &service)
    }

    /// Takes in the end of an attempt.
    ///
    /// An attempt that is not under way is ignored.
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
        let service = entry.work.service.clone();
        let fingerprint = entry.work.fingerprint;
        let workspace = entry.work.workspace.clone();
        self.settle_target(now, &service, (target, reason), outcome);
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.ended(now, target, &workspace);
        }
        let loss = (outcome == Outcome::Lost).then(|| ConnectionLoss {
            fingerprint,
            target_digest: self.target_digest(&service, target),
        });
        let (next, mut actions) = self.settle_request(now, id, target, outcome, loss);
        actions.extend(loss.map(Action::ReportLoss));
        actions.extend(self.assign(now, &service));
        (next, actions)
    }

    /// Returns the target of an attempt that is under way.
    pub fn target_of(&self, id: RequestId, attempt: u32) -> Option<&TargetId> {
        let entry = self.entries.get(&id)?;
        let found = entry.attempts.iter().find(|one| one.number == attempt)?;
        let pool = self.pools.get(&entry.work.service)?;
        Some(&pool.targets[found.target].id)
    }

    /// Returns a second attempt of an idempotent request that has got no first byte yet.
    pub fn hedge(&mut self, now: Time, id: RequestId) -> Option<Assignment> {
        let entry = self.entries.get(&id)?;
        if entry.work.kind != RequestKind::Idempotent || entry.attempts.len() != 1 {
            return None;
        }
        let avoid = Some(entry.attempts[0].target);
        let pool = self.pools.get(&entry.work.service)?;
        if self.policy.placement == Placement::ObjectAffinity {
            if entry.reached.len() + 1 >= entry.work.max_attempts as usize {
                return None;
            }
            let tried = [entry.attempts[0].target];
            let placing = Placing {
                work: &entry.work,
                home: &self.home,
                ways: &self.ways,
                tried: &tried,
            };
            let (idx, reason) = pool.place(now, &mut self.rng, placing)?;
            if !self.budget.try_withdraw() {
                return None;
            }
            return self.start(now, id, idx, reason);
        }
        let reach = Reach {
            home: &self.home,
            spared: 0,
            is_far_worthwhile: true,
        };
        let idx = pool.choose(now, &mut self.rng, reach, avoid)?;
        if !self.budget.try_withdraw() {
            return None;
        }
        self.start(now, id, idx, SelectionReason::Cheaper)
    }

    /// Drops a request whose caller has left; its attempts still end by [`Dispatcher::finish`].
    pub fn cancel(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if entry.is_queued {
            self.unqueue(id);
            self.entries.remove(&id);
        }
    }

    /// Takes in what a target's health endpoint said; `None` where it was silent for long.
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
                target.reported(report);
                let event = match (report.is_leaving, target.state()) {
                    (true, _) => TargetEvent::Leave,
                    (false, TargetState::Leaving) if target.is_in_service => TargetEvent::Returned,
                    (false, _) => TargetEvent::Recovered,
                };
                target.fire(now, &self.chart, event);
            }
            None => {
                target.fire(now, &self.chart, TargetEvent::Failed);
            }
        }
        self.assign(now, service)
    }

    /// Takes in the load that came with a target's answer.
    pub fn record_load(&mut self, now: Time, service: &ServiceId, target: &TargetId, total: u32) {
        if let Some(pool) = self.pools.get_mut(service)
            && let Some(&idx) = pool.index.get(target)
        {
            pool.targets[idx].record_load(now, total);
        }
    }

    /// Takes in how long it took to open a connection to a target.
    pub fn record_connect_time(&mut self, service: &ServiceId, target: &TargetId, took: Duration) {
        let pool = self.pools.get(service);
        let Some(region) = pool
            .and_then(|pool| pool.targets.get(*pool.index.get(target)?))
            .map(|target| target.region.clone())
        else {
            return;
        };
        let way = self.ways.entry(region).or_insert(took);
        // A single slow connection says little; a fast one shows what is possible.
        *way = took.min(*way + (took.saturating_sub(*way)) / 16);
    }

    /// Returns when the first queued request is given up on.
    pub fn next_wait_deadline(&self) -> Option<Time> {
        self.queued.first().map(|(at, _)| *at)
    }

    /// Returns whether a request waits for a target.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns the number of requests that wait for a target.
    pub fn queue_len(&self) -> usize {
        self.queued.len()
    }

    /// Returns how many requests may be sent again now.
    pub fn retries_left(&self) -> f64 {
        self.budget.available()
    }

    /// Stops new work for a target that the list says is leaving.
    pub fn mark_leaving(&mut self, now: Time, service: &ServiceId, target: &TargetId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if let Some(&idx) = pool.index.get(target) {
            pool.targets[idx].fire(now, &self.chart, TargetEvent::Leave);
        }
    }

    /// Takes in that another instance lost a connection while this request was in flight.
    pub fn record_remote_loss(&mut self, now: Time, loss: ConnectionLoss) {
        self.quarantine.record(now, loss);
    }

    /// Returns the barred requests and how long each stays so.
    pub fn quarantined(&self, now: Time) -> Vec<(u64, Duration)> {
        self.quarantine.quarantined(now)
    }

    /// Refuses queued requests that can't be answered in time any more, and ends warm-ups.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.refuse_hopeless(now);
        for pool in self.pools.values_mut() {
            for target in &mut pool.targets {
                if target.is_warm(now) {
                    target.fire(now, &self.chart, TargetEvent::Warmed);
                }
            }
        }
        actions.extend(self.assign_all(now));
        actions
    }

    /// Returns each service's mean latency and its targets' states and slots.
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
                    has_global_affinity: pool.has_global_affinity(&self.ways),
                    targets,
                }
            })
            .collect()
    }

    /// Returns the requests that are queued or under way.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued or under way.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns each target's state, requests under way and allowed requests.
    pub fn targets(&self, now: Time) -> Vec<(TargetId, TargetState, u32, u32)> {
        self.pools
            .values()
            .flat_map(|pool| &pool.targets)
            .map(|target| {
                (
                    target.id.clone(),
                    target.state(),
                    target.in_flight,
                    target.allowed(now),
                )
            })
            .collect()
    }
}

impl Dispatcher {
    /// Returns why a request can't be taken in, or `None` where it can.
    fn refusal(&self, now: Time, work: &AdmittedRequest) -> Option<Refusal> {
        if let Some(wait) = self.quarantine.remaining(now, work.fingerprint) {
            return Some(Refusal::new(ErrorKind::Quarantined).retry_after(wait));
        }
        let Some(pool) = self.pools.get(&work.service) else {
            return Some(Refusal::new(ErrorKind::UnknownService));
        };
        if !pool.is_served(now) {
            return Some(Refusal::new(ErrorKind::NoTarget));
        }
        if work.deadline <= now {
            return Some(Refusal::new(ErrorKind::Expired));
        }
        if pool.queue.is_empty() || self.policy.placement == Placement::ObjectAffinity {
            return None;
        }
        let wait = pool.predicted_wait(now, &work.workspace);
        // A queue as long as the deadlines would serve each request too late.
        let longest = (work.deadline - now).mul_f64(MOST_WAIT_SHARE);
        let is_late = wait + pool.usual_time() > longest;
        is_late.then(|| Refusal::new(ErrorKind::Overloaded).retry_after(wait))
    }

    fn enqueue(&mut self, now: Time, work: AdmittedRequest) {
        let id = work.id;
        if let Some(pool) = self.pools.get_mut(&work.service) {
            pool.queue.push(&work.workspace, work.weight, id);
            let queued = pool.queue.len_of(&work.workspace);
            pool.active.came(now, &work.workspace, queued);
        }
        let give_up = self.give_up(now, &work);
        self.queued.insert((give_up, id));
        let entry = Entry {
            reached: Vec::new(),
            give_up,
            work,
            attempts: Vec::new(),
            sent: 0,
            refusals: 0,
            losses: 0,
            avoid: None,
            queued_at: now,
            is_refused_far: false,
            is_queued: true,
            is_answered: false,
            may_have_run: false,
        };
        self.entries.insert(id, entry);
    }

    /// Returns when a request that finds no target is refused.
    fn give_up(&self, now: Time, work: &AdmittedRequest) -> Time {
        match self.policy.placement {
            Placement::TwoChoices => work.deadline,
            Placement::ObjectAffinity => work
                .deadline
                .min(now + (work.objective_deadline - now).mul_f64(PATIENCE)),
        }
    }

    fn enqueue_again(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_queued = true;
        self.queued.insert((entry.give_up, id));
        if let Some(pool) = self.pools.get_mut(&entry.work.service) {
            pool.queue.push_front(&entry.work.workspace, id);
        }
    }

    fn unqueue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.is_queued = false;
        self.queued.remove(&(entry.give_up, id));
        if let Some(pool) = self.pools.get_mut(&entry.work.service) {
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

    /// Hands queued requests to free targets, in fair order.
    fn assign(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        if self.policy.placement == Placement::ObjectAffinity {
            return self.place_heads(now, service);
        }
        let mut actions = self.refuse_late_heads(now, service);
        while let Some((id, idx)) = self.next_pair(now, service) {
            if let Some(assignment) = self.start(now, id, idx, SelectionReason::Cheaper) {
                actions.push(Action::Assign(assignment));
            }
        }
        actions
    }

    /// Places the requests whose turn it is; one that has no room does not hold up the next ones.
    fn place_heads(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut passed = Vec::new();
        while passed.len() < MOST_PASSED {
            let Some(id) = self
                .pools
                .get_mut(service)
                .and_then(|pool| pool.queue.pop())
            else {
                break;
            };
            match self.place(now, id) {
                Some(assignment) => actions.push(Action::Assign(assignment)),
                None => passed.push(id),
            }
        }
        for id in passed.into_iter().rev() {
            self.requeue(id);
        }
        actions
    }

    fn place(&mut self, now: Time, id: RequestId) -> Option<Assignment> {
        let entry = self.entries.get(&id)?;
        let pool = self.pools.get(&entry.work.service)?;
        let placing = Placing {
            work: &entry.work,
            home: &self.home,
            ways: &self.ways,
            tried: &entry.reached,
        };
        let (idx, reason) = pool.place(now, &mut self.rng, placing)?;
        let give_up = entry.give_up;
        if let Some(pool) = self.pools.get_mut(&entry.work.service) {
            match reason {
                SelectionReason::OtherRegion => pool.spill.spend(),
                _ => pool.spill.earn(),
            }
        }
        self.queued.remove(&(give_up, id));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_queued = false;
        }
        self.start(now, id, idx, reason)
    }

    /// Puts a request back whose turn had come.
    fn requeue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&entry.work.service) {
            pool.queue.push_front(&entry.work.workspace, id);
        }
    }

    fn next_pair(&mut self, now: Time, service: &ServiceId) -> Option<(RequestId, usize)> {
        let pool = self.pools.get_mut(service)?;
        let first = self.entries.get(pool.queue.peek()?)?;
        let reach = Reach {
            home: &self.home,
            spared: pool.active.room_beside(now, pool.queue.waiting()),
            is_far_worthwhile: !first.is_refused_far
                && now - first.queued_at > self.round_trip
                && first.work.deadline - now > self.round_trip + pool.usual_time(),
        };
        // Chosen before the request is taken: one that is taken must go somewhere.
        let any = pool.choose(now, &mut self.rng, reach, None)?;
        let id = pool.queue.pop()?;
        let entry = self.entries.get_mut(&id)?;
        entry.is_queued = false;
        self.queued.remove(&(entry.give_up, id));
        let idx = entry
            .avoid
            .and_then(|avoid| pool.choose(now, &mut self.rng, reach, Some(avoid)))
            .unwrap_or(any);
        Some((id, idx))
    }

    fn start(
        &mut self,
        now: Time,
        id: RequestId,
        idx: usize,
        reason: SelectionReason,
    ) -> Option<Assignment> {
        let entry = self.entries.get_mut(&id)?;
        let pool = self.pools.get_mut(&entry.work.service)?;
        let load = pool.targets[idx].expected_load(now).round() as u32;
        pool.sent(now, idx, &entry.work.workspace);
        let target = &pool.targets[idx];
        entry.sent += 1;
        entry.attempts.push(Attempt {
            number: entry.sent,
            target: idx,
            reason,
        });
        Some(Assignment {
            id,
            attempt: entry.sent,
            service: entry.work.service.clone(),
            target: target.id.clone(),
            needs_fresh_connection: entry.work.kind == RequestKind::Once || entry.sent > 1,
            hedge_delay: pool.latency.upper_bound().max(self.policy.min_hedge_delay),
            reason,
            load,
        })
    }

    fn settle_target(
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
                pool.answered(now, idx, reason, latency);
                self.budget.deposit();
            }
            Outcome::Refused => pool.refused(now, idx),
            Outcome::Unreachable | Outcome::Lost => {
                let target = &mut pool.targets[idx];
                if target.failed() {
                    target.fire(now, &self.chart, TargetEvent::Failed);
                }
            }
            Outcome::TimedOut | Outcome::Canceled => {}
        }
    }

    fn settle_request(
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
            let pool = self.pools.get(&entry.work.service);
            entry.is_refused_far |=
                pool.is_some_and(|pool| pool.targets[target].region != self.home);
        }
        entry.may_have_run |= matches!(outcome, Outcome::Lost | Outcome::TimedOut);
        if entry.is_answered {
            return self.conclude(now, id, Verdict::Drop);
        }
        let verdict = match outcome {
            Outcome::Answered(_) => {
                entry.is_answered = true;
                Verdict::End
            }
            Outcome::Canceled => Verdict::Drop,
            Outcome::TimedOut => Verdict::Refuse(ErrorKind::TargetTimeout),
            Outcome::Refused | Outcome::Unreachable
                if self.policy.placement == Placement::ObjectAffinity =>
            {
                entry.refusals += 1;
                if outcome == Outcome::Refused {
                    entry.reached.push(target);
                }
                let has_left = entry.reached.len() < entry.work.max_attempts as usize
                    && entry.refusals < self.policy.max_refusals;
                // What never reached a target costs no target anything.
                let is_paid = outcome == Outcome::Unreachable || self.budget.try_withdraw();
                if has_left && is_paid {
                    entry.give_up = entry.give_up.max(now + SECOND_PATIENCE);
                    Verdict::Again
                } else {
                    Verdict::Refuse(ErrorKind::TargetRefused)
                }
            }
            Outcome::Refused | Outcome::Unreachable => {
                entry.refusals += 1;
                if entry.refusals >= self.policy.max_refusals {
                    Verdict::Refuse(ErrorKind::TargetRefused)
                } else {
                    Verdict::Again
                }
            }
            Outcome::Lost => {
                entry.losses += 1;
                entry.reached.push(target);
                let is_barred = loss.is_some_and(|loss| self.quarantine.record(now, loss));
                let is_retried = entry.work.kind == RequestKind::Idempotent
                    && entry.losses == 1
                    && entry.reached.len() < entry.work.max_attempts as usize
                    && !is_barred
                    && self.budget.try_withdraw();
                if is_retried {
                    Verdict::Again
                } else {
                    Verdict::Refuse(ErrorKind::TargetLost)
                }
            }
        };
        self.conclude(now, id, verdict)
    }

    /// Returns the digest of a target's life; where lives aren't told, each loss has its own.
    fn target_digest(&mut self, service: &ServiceId, target: usize) -> u64 {
        let pool = self.pools.get(service);
        let told = pool.and_then(|pool| pool.targets[target].place());
        told.unwrap_or_else(|| self.rng.random())
    }

    fn conclude(
        &mut self,
        now: Time,
        id: RequestId,
        verdict: Verdict,
    ) -> (RequestProgress, Vec<Action>) {
        let Some(entry) = self.entries.get(&id) else {
            return (RequestProgress::Ended, Vec::new());
        };
        let has_other = !entry.attempts.is_empty();
        match verdict {
            // The losing attempt of a hedged request reports its own end later.
            Verdict::End | Verdict::Drop if has_other => (RequestProgress::Continues, Vec::new()),
            Verdict::End | Verdict::Drop => {
                self.entries.remove(&id);
                (RequestProgress::Ended, Vec::new())
            }
            Verdict::Again | Verdict::Refuse(_) if has_other => {
                (RequestProgress::Continues, Vec::new())
            }
            Verdict::Again if entry.work.deadline <= now => {
                (RequestProgress::Ended, self.refuse(id, ErrorKind::Expired))
            }
            Verdict::Again => {
                self.enqueue_again(id);
                (RequestProgress::Continues, Vec::new())
            }
            Verdict::Refuse(kind) => (RequestProgress::Ended, self.refuse(id, kind)),
        }
    }

    /// Refuses queued requests that have less time left than a request takes.
    fn refuse_hopeless(&mut self, now: Time) -> Vec<Action> {
        if self.policy.placement == Placement::ObjectAffinity {
            return self.refuse_impatient(now);
        }
        let longest = self.pools.values().map(Pool::usual_time).max();
        let horizon = now + longest.unwrap_or(Duration::ZERO);
        let hopeless: Vec<RequestId> = self
            .queued
            .iter()
            .take_while(|(deadline, _)| *deadline <= horizon)
            .filter(|(deadline, id)| self.is_hopeless(now, *deadline, *id))
            .map(|(_, id)| *id)
            .collect();
        hopeless
            .into_iter()
            .flat_map(|id| {
                self.unqueue(id);
                self.refuse(id, ErrorKind::Overloaded)
            })
            .collect()
    }

    /// Refuses requests that have waited as long as is worthwhile.
    fn refuse_impatient(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(give_up, id)) = self.queued.first() {
            if give_up > now {
                break;
            }
            self.unqueue(id);
            actions.extend(self.refuse(id, ErrorKind::Overloaded));
        }
        actions
    }

    /// Refuses requests whose turn has come too late; others behind them may still be in time.
    fn refuse_late_heads(&mut self, now: Time, service: &ServiceId) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(id) = self.late_head(now, service) {
            self.unqueue(id);
            actions.extend(self.refuse(id, ErrorKind::Overloaded));
        }
        actions
    }

    fn late_head(&self, now: Time, service: &ServiceId) -> Option<RequestId> {
        let id = *self.pools.get(service)?.queue.peek()?;
        let deadline = self.entries.get(&id)?.work.deadline;
        self.is_hopeless(now, deadline, id).then_some(id)
    }

    fn is_hopeless(&self, now: Time, deadline: Time, id: RequestId) -> bool {
        let service = self.entries.get(&id).map(|entry| &entry.work.service);
        let pool = service.and_then(|service| self.pools.get(service));
        pool.is_none_or(|pool| deadline <= now + pool.usual_time())
    }

    /// Ends a request; "not run" is said only where no attempt can have run it.
    fn refuse(&mut self, id: RequestId, kind: ErrorKind) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        let is_untrue = entry.may_have_run && kind.response().executed == Executed::No;
        let kind = if is_untrue {
            ErrorKind::TargetLost
        } else {
            kind
        };
        let mut refusal = Refusal::new(kind);
        let is_crowded = matches!(kind, ErrorKind::Overloaded | ErrorKind::TargetRefused);
        if is_crowded && self.policy.placement == Placement::ObjectAffinity {
            let pool = self.pools.get(&entry.work.service);
            let service_time = pool.map_or(Duration::ZERO, Pool::service_time);
            // By then slots have become free, and the objective can still be met.
            refusal = refusal.retry_after((service_time / 2).max(SHORTEST_RETRY));
        }
        vec![Action::Refuse(id, refusal)]
    }
}

#[derive(Clone, Copy)]
enum Verdict {
    End,
    Drop,
    Again,
    Refuse(ErrorKind),
}

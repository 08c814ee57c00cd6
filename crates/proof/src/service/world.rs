//! The event queue and what moves in it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Executed, RegionId, Time};
use dispatch::{
    Action, AdmittedRequest, Assignment, ConnectionLoss, Dispatcher, HealthReport, Outcome,
    RegionShares, RequestId, RequestKind,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use steer::{Measurements, PlanPolicy, Steering};

use super::{
    Incident, Measures, Scenario, WorkspaceMeasures,
    baseline::Baseline,
    event::{Attempt, AttemptId, End, Event, Request},
    setup::{config, deciding},
};

pub(super) const TICK: Duration = Duration::from_millis(10);
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
const CONNECT: Duration = Duration::from_millis(1);
const LOCAL_DELAY: Duration = Duration::from_millis(1);
const IDLE_LIFE: Duration = Duration::from_secs(5);
const PROVEN_LIFE: Duration = Duration::from_secs(1);
pub(super) const SERVICE: &str = "s";
const POISON: u64 = 0xdead;

/// Carries out a run.
pub fn run(scenario: &Scenario) -> Measures {
    let mut world = World::new(scenario);
    world.schedule();
    while let Some(((now, _), event)) = world.queue.pop_first() {
        world.handle(now, event);
    }
    world.finish()
}

#[derive(Debug)]
pub(super) struct World<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) rng: Pcg32,
    pub(super) queue: BTreeMap<(Time, u64), Event>,
    pub(super) queued: u64,
    pub(super) end: Time,
    pub(super) instances: Vec<Instance>,
    pub(super) targets: Vec<TargetSim>,
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) measures: Measures,
    pub(super) has_reports: bool,
    pub(super) liar: Option<usize>,
    pub(super) cold: Option<(Time, Duration)>,
    pub(super) left_at: Option<(usize, Time)>,
}

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) region: usize,
    pub(super) is_up: bool,
    pub(super) decider: Deciding,
    pub(super) steering: Steering,
    /// Requests that came since the last plan.
    pub(super) arrived: u64,
    /// Idle connections by target: when they were used last, and whether they are silent.
    pub(super) idle: BTreeMap<usize, VecDeque<(Time, bool)>>,
}

#[derive(Debug)]
pub(super) enum Deciding {
    Product(Box<Dispatcher>),
    Baseline(Baseline),
}

#[derive(Debug)]
pub(super) struct TargetSim {
    pub(super) region: usize,
    pub(super) domain: usize,
    pub(super) is_up: bool,
    pub(super) is_leaving: bool,
    pub(super) running: Vec<AttemptId>,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let targets = (0..scenario.regions * scenario.targets_per_region)
            .map(|idx| TargetSim {
                region: idx / scenario.targets_per_region,
                domain: idx % 2,
                is_up: true,
                is_leaving: false,
                running: Vec::new(),
            })
            .collect();
        let config = config(scenario);
        let instances = (0..scenario.regions * scenario.instances_per_region)
            .map(|idx| Instance {
                region: idx / scenario.instances_per_region,
                is_up: true,
                decider: deciding(scenario, idx, &config),
                steering: Steering::new(
                    region_name(idx / scenario.instances_per_region),
                    PlanPolicy::default(),
                ),
                arrived: 0,
                idle: BTreeMap::new(),
            })
            .collect();
        let count = scenario.workspaces.len();
        Self {
            scenario,
            rng: Pcg32::seed_from_u64(scenario.seed),
            queue: BTreeMap::new(),
            queued: 0,
            end: Time::ZERO + scenario.length,
            instances,
            targets,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            measures: Measures {
                workspaces: vec![WorkspaceMeasures::new(); count],
                run_twice: 0,
                refusals: BTreeMap::new(),
                attempts_refused: 0,
                untrue_refusals: 0,
                answered_per_s: 0.0,
                targets_ended: 0,
                cut_by_drain: 0,
                last_work_after_drain: Duration::ZERO,
                drain_time: Duration::ZERO,
            },
            has_reports: true,
            liar: None,
            cold: None,
            left_at: None,
        }
    }

    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn schedule(&mut self) {
        for workspace in 0..self.scenario.workspaces.len() {
            self.schedule_workspace(workspace);
        }
        self.push(Time::ZERO, Event::Tick);
        self.push(Time::ZERO, Event::Report);
        for (idx, incident) in self.scenario.incidents.iter().enumerate() {
            let at = match incident {
                Incident::Flood(_, _, at, _)
                | Incident::DomainLost(_, _, at)
                | Incident::RegionLost(_, at)
                | Incident::Liar(_, at)
                | Incident::ReportsStop(at)
                | Incident::Drain(_, at)
                | Incident::Cold(at, _, _)
                | Incident::Poison(at, _)
                | Incident::Silent(_, at) => *at,
            };
            self.queued += 1;
            self.queue
                .insert((Time::ZERO + at, self.queued), Event::Begin(idx));
        }
    }

    fn schedule_workspace(&mut self, workspace: usize) {
        let usual = self.scenario.demand_of(workspace);
        let mut at = Time::ZERO;
        while at < self.end {
            let factor = self.flood_factor(workspace, at);
            let draw: f64 = self.rng.random();
            at = at + Duration::from_secs_f64(-(1.0 - draw).ln() / (usual * factor));
            self.schedule_request(workspace, at, false);
        }
    }

    fn flood_factor(&self, workspace: usize, at: Time) -> f64 {
        self.scenario
            .incidents
            .iter()
            .find_map(|incident| match incident {
                Incident::Flood(flooding, factor, from, length)
                    if *flooding == workspace
                        && at >= Time::ZERO + *from
                        && at < Time::ZERO + *from + *length =>
                {
                    Some(*factor)
                }
                _ => None,
            })
            .unwrap_or(1.0)
    }

    pub(super) fn schedule_request(&mut self, workspace: usize, at: Time, is_poison: bool) {
        let id = self.requests.len() as u64 + 1;
        let is_once = !is_poison && self.rng.random::<f64>() < self.scenario.once_share;
        let request = Request {
            workspace,
            instance: self.rng.random_range(0..self.instances.len()),
            sent_at: at,
            arrived_at: at + self.scenario.client_delay,
            is_once,
            is_poison,
            runs: 0,
            is_closed: false,
        };
        self.push(request.arrived_at, Event::Arrive(id));
        self.requests.insert(id, request);
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(now, id),
            Event::Reach(id) => self.reach(now, id),
            Event::Work(id) => self.work_done(now, id),
            Event::End(id, end) => self.attempt_ended(now, id, end),
            Event::Hedge(id) => self.hedge(now, id),
            Event::Deadline(id) => self.deadline(now, id),
            Event::Tick => self.tick(now),
            Event::Report => self.report(now),
            Event::Begin(idx) => self.begin(now, idx),
            Event::Poison(idx) => self.poison(now, idx),
            Event::CheckIdle(idx) => self.check_idle(now, idx),
            Event::LossReported(from, loss) => self.spread_loss(now, from, loss),
        }
    }

    fn arrive(&mut self, now: Time, id: u64) {
        let mut request = self.requests[&id].clone();
        while !self.instances[request.instance].is_up {
            request.instance = self.rng.random_range(0..self.instances.len());
        }
        self.requests.insert(id, request.clone());
        if self.is_measured(&request) {
            self.measures.workspaces[request.workspace].sent += 1;
        }
        let deadline = request.sent_at + self.scenario.deadline;
        self.push(deadline, Event::Deadline(id));
        let instance = &mut self.instances[request.instance];
        instance.arrived += 1;
        match &mut instance.decider {
            Deciding::Product(dispatcher) => {
                let work = AdmittedRequest {
                    kind: if request.is_once {
                        RequestKind::Once
                    } else {
                        RequestKind::Idempotent
                    },
                    fingerprint: if request.is_poison { POISON } else { id },
                    ..AdmittedRequest::new(
                        RequestId(id),
                        format!("w{}", request.workspace).into(),
                        SERVICE.into(),
                        deadline,
                    )
                };
                let actions = dispatcher.submit(now, work);
                self.apply(now, request.instance, actions);
            }
            Deciding::Baseline(_) => self.baseline_send(now, id),
        }
    }

    fn apply(&mut self, now: Time, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.assigned(now, instance, &assignment),
                Action::ReportLoss(loss) => {
                    let at = now + self.scenario.region_delay;
                    self.push(at, Event::LossReported(instance, loss));
                }
                Action::Refuse(id, refusal) => {
                    let is_not_run = refusal.kind.response().executed == Executed::No;
                    *self.measures.refusals.entry(refusal.kind).or_default() += 1;
                    self.close_failed(id.0, is_not_run);
                }
            }
        }
    }

    fn assigned(&mut self, now: Time, instance: usize, assignment: &Assignment) {
        let target = assignment.target.as_str()[1..].parse().unwrap_or(0);
        let id = AttemptId {
            request: assignment.id.0,
            number: assignment.attempt,
        };
        self.send(now, instance, id, target, assignment.needs_fresh_connection);
        if assignment.attempt == 1 {
            self.push(now + assignment.hedge_delay, Event::Hedge(id.request));
        }
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        instance: usize,
        id: AttemptId,
        target: usize,
        proven: bool,
    ) {
        let (is_new, is_silent) = self.take_connection(now, instance, target, proven);
        let attempt = Attempt {
            target,
            started_at: now,
            is_on_new_connection: is_new,
            is_silent,
        };
        self.attempts.insert(id, attempt);
        if is_silent {
            return;
        }
        let connect = if is_new {
            CONNECT + self.delay(instance, target)
        } else {
            Duration::ZERO
        };
        let at = now + connect + self.delay(instance, target);
        self.push(at, Event::Reach(id));
    }

    /// Takes an idle connection or opens a new one; returns whether it is new and is silent.
    fn take_connection(
        &mut self,
        now: Time,
        instance: usize,
        target: usize,
        proven: bool,
    ) -> (bool, bool) {
        let idle = self.instances[instance].idle.entry(target).or_default();
        while idle.front().is_some_and(|(at, _)| now - *at > IDLE_LIFE) {
            idle.pop_front();
        }
        let usable = idle
            .back()
            .is_some_and(|(at, _)| !proven || now - *at <= PROVEN_LIFE);
        match idle.pop_back().filter(|_| usable) {
            Some((_, is_silent)) => (false, is_silent),
            None => (true, false),
        }
    }

    fn reach(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        let instance = request.instance;
        let back = now
            + delay(
                self.scenario,
                self.instances[instance].region,
                self.targets[attempt.target].region,
            );
        let target = &mut self.targets[attempt.target];
        if !target.is_up {
            let end = if attempt.is_on_new_connection {
                End::Unreachable
            } else {
                End::Lost
            };
            self.push(back, Event::End(id, end));
            return;
        }
        if target.running.len() >= self.scenario.slots as usize {
            self.measures.attempts_refused += 1;
            self.push(back, Event::End(id, End::Refused));
            return;
        }
        if let Some((leaving, at)) = self.left_at
            && leaving == attempt.target
        {
            self.measures.last_work_after_drain = now - at;
        }
        request.runs += 1;
        if request.is_once && request.runs > 1 {
            self.measures.run_twice += 1;
        }
        if request.is_poison {
            self.end_target(now, attempt.target);
            self.measures.targets_ended += 1;
            self.push(back, Event::End(id, End::Lost));
            return;
        }
        target.running.push(id);
        let work = self.draw_work(now, attempt.target);
        self.push(now + work, Event::Work(id));
    }

    fn draw_work(&mut self, now: Time, target: usize) -> Duration {
        // A quarter of the mean is fixed, the rest exponential.
        let mean = self.scenario.work.as_secs_f64();
        let draw: f64 = self.rng.random();
        let mut secs = mean * 0.25 - (1.0 - draw).ln() * mean * 0.75;
        if self.liar == Some(target) {
            secs *= 10.0;
        }
        if let Some((until, extra)) = self.cold
            && now < until
        {
            secs += extra.as_secs_f64();
        }
        Duration::from_secs_f64(secs)
    }

    fn work_done(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let target = &mut self.targets[attempt.target];
        let Some(pos) = target.running.iter().position(|one| *one == id) else {
            return;
        };
        target.running.swap_remove(pos);
        let instance = self.requests[&id.request].instance;
        let back = now + self.delay(instance, attempt.target);
        self.push(back, Event::End(id, End::Answered));
    }

    /// Ends a target's process: what runs on it is lost.
    pub(super) fn end_target(&mut self, now: Time, idx: usize) {
        let running = std::mem::take(&mut self.targets[idx].running);
        for id in running {
            let instance = self.requests[&id.request].instance;
            let back = now + self.delay(instance, idx);
            self.push(back, Event::End(id, End::Lost));
        }
        self.targets[idx].is_up = false;
    }

    fn attempt_ended(&mut self, now: Time, id: AttemptId, end: End) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let instance = self.requests[&id.request].instance;
        if matches!(end, End::Answered | End::Refused) {
            let idle = self.instances[instance]
                .idle
                .entry(attempt.target)
                .or_default();
            idle.push_back((now, attempt.is_silent));
        }
        if end == End::Answered {
            self.close_answered(now, id.request);
        }
        match &mut self.instances[instance].decider {
            Deciding::Product(dispatcher) => {
                let outcome = match end {
                    End::Answered => Outcome::Answered(now - attempt.started_at),
                    End::Refused => Outcome::Refused,
                    End::Unreachable => Outcome::Unreachable,
                    End::Lost => Outcome::Lost,
                };
                let request = RequestId(id.request);
                let (_, actions) = dispatcher.finish(now, request, id.number, outcome);
                self.apply(now, instance, actions);
                if end == End::Answered {
                    self.cancel_others(now, instance, id);
                }
            }
            Deciding::Baseline(_) => self.baseline_ended(now, instance, id, attempt.target, end),
        }
    }

    /// Ends the other attempt of a hedged request, as the product's handler does.
    fn cancel_others(&mut self, now: Time, instance: usize, id: AttemptId) {
        let others: Vec<AttemptId> = self
            .attempts
            .keys()
            .filter(|other| other.request == id.request)
            .copied()
            .collect();
        for other in others {
            self.attempts.remove(&other);
            for target in &mut self.targets {
                target.running.retain(|one| *one != other);
            }
            if let Deciding::Product(dispatcher) = &mut self.instances[instance].decider {
                let request = RequestId(other.request);
                let (_, actions) = dispatcher.finish(now, request, other.number, Outcome::Canceled);
                self.apply(now, instance, actions);
            }
        }
    }

    fn hedge(&mut self, now: Time, id: u64) {
        let request = &self.requests[&id];
        if request.is_closed {
            return;
        }
        let instance = request.instance;
        if let Deciding::Product(dispatcher) = &mut self.instances[instance].decider
            && let Some(assignment) = dispatcher.hedge(now, RequestId(id))
        {
            self.assigned(now, instance, &assignment);
        }
    }

    fn deadline(&mut self, now: Time, id: u64) {
        if self.requests[&id].is_closed {
            return;
        }
        let instance = self.requests[&id].instance;
        self.close_failed(id, false);
        let open: Vec<AttemptId> = self
            .attempts
            .range(
                AttemptId {
                    request: id,
                    number: 0,
                }..=AttemptId {
                    request: id,
                    number: u32::MAX,
                },
            )
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in open {
            let Some(gone) = self.attempts.remove(&attempt) else {
                continue;
            };
            self.targets[gone.target]
                .running
                .retain(|one| *one != attempt);
            match &mut self.instances[instance].decider {
                Deciding::Product(dispatcher) => {
                    let (_, actions) =
                        dispatcher.finish(now, RequestId(id), attempt.number, Outcome::TimedOut);
                    self.apply(now, instance, actions);
                }
                Deciding::Baseline(baseline) => baseline.in_flight[gone.target] -= 1,
            }
        }
    }

    fn tick(&mut self, now: Time) {
        for idx in 0..self.instances.len() {
            if let Deciding::Product(dispatcher) = &mut self.instances[idx].decider {
                let actions = dispatcher.tick(now);
                self.apply(now, idx, actions);
            } else {
                self.baseline_drain(now, idx);
            }
        }
        if now < self.end + self.scenario.deadline {
            self.push(now + TICK, Event::Tick);
        }
    }

    /// Passes the targets' load on to the instances.
    fn report(&mut self, now: Time) {
        if now < self.end {
            self.push(now + REPORT_INTERVAL, Event::Report);
        }
        if !self.has_reports {
            return;
        }
        if now
            .as_micros()
            .is_multiple_of(PLAN_INTERVAL.as_micros() as u64)
            && now > Time::ZERO
        {
            self.plan(now);
        }
        for idx in 0..self.targets.len() {
            let target = &self.targets[idx];
            let in_flight = if self.liar == Some(idx) {
                0
            } else {
                target.running.len() as u32
            };
            let report = target.is_up.then_some(HealthReport {
                in_flight,
                is_leaving: target.is_leaving,
            });
            for instance in 0..self.instances.len() {
                self.tell(now, instance, idx, report);
            }
        }
    }

    /// Lets each instance work its routes out anew, from what all of them have measured.
    fn plan(&mut self, now: Time) {
        let mut seen = Measurements::default();
        for instance in &mut self.instances {
            let rate = instance.arrived as f64 / PLAN_INTERVAL.as_secs_f64();
            instance.arrived = 0;
            *seen.demand.entry(region_name(instance.region)).or_default() += rate;
            seen.egress_capacity
                .insert(region_name(instance.region), f64::INFINITY);
        }
        let rate = f64::from(self.scenario.slots) / self.scenario.work.as_secs_f64();
        for target in &self.targets {
            let usable = if target.is_up && !target.is_leaving {
                rate
            } else {
                0.0
            };
            *seen.capacity.entry(region_name(target.region)).or_default() += usable;
        }
        for instance in &mut self.instances {
            if let Deciding::Product(dispatcher) = &mut instance.decider {
                let shares = instance.steering.update(now.as_secs_f64(), &seen).clone();
                dispatcher.set_region_shares(&SERVICE.into(), RegionShares { shares });
            }
        }
    }

    fn tell(&mut self, now: Time, instance: usize, target: usize, report: Option<HealthReport>) {
        match &mut self.instances[instance].decider {
            Deciding::Product(dispatcher) => {
                let name = target_name(target).into();
                let actions = dispatcher.report_health(now, &SERVICE.into(), &name, report);
                self.apply(now, instance, actions);
            }
            Deciding::Baseline(baseline) => {
                baseline.reported[target] = report
                    .filter(|report| !report.is_leaving)
                    .map(|report| report.in_flight);
            }
        }
    }

    fn spread_loss(&mut self, now: Time, from: usize, loss: ConnectionLoss) {
        for (idx, instance) in self.instances.iter_mut().enumerate() {
            if let Deciding::Product(dispatcher) = &mut instance.decider
                && idx != from
            {
                dispatcher.record_remote_loss(now, loss);
            }
        }
    }

    fn delay(&self, instance: usize, target: usize) -> Duration {
        delay(
            self.scenario,
            self.instances[instance].region,
            self.targets[target].region,
        )
    }

    fn is_measured(&self, request: &Request) -> bool {
        let from = Time::ZERO + self.scenario.measured_from;
        !request.is_poison && request.sent_at >= from && request.sent_at < self.end
    }

    fn close_answered(&mut self, now: Time, id: u64) {
        let back = now + self.scenario.client_delay;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_closed {
            return;
        }
        request.is_closed = true;
        let latency = back - request.sent_at;
        let request = request.clone();
        if !self.is_measured(&request) {
            return;
        }
        let measures = &mut self.measures.workspaces[request.workspace];
        if latency <= self.scenario.deadline {
            measures.answered += 1;
            let _ = measures.latency_us.record(latency.as_micros() as u64);
        } else {
            measures.failed += 1;
        }
    }

    pub(super) fn close_failed(&mut self, id: u64, is_not_run: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_closed {
            return;
        }
        request.is_closed = true;
        let request = request.clone();
        self.measures.untrue_refusals += u64::from(is_not_run && request.runs > 0);
        if self.is_measured(&request) {
            self.measures.workspaces[request.workspace].failed += 1;
        }
    }

    fn finish(mut self) -> Measures {
        let secs = (self.scenario.length - self.scenario.measured_from).as_secs_f64();
        let answered: u64 = self
            .measures
            .workspaces
            .iter()
            .map(|one| one.answered)
            .sum();
        self.measures.answered_per_s = answered as f64 / secs;
        self.measures
    }
}

fn delay(scenario: &Scenario, from: usize, to: usize) -> Duration {
    if from == to {
        LOCAL_DELAY
    } else {
        scenario.region_delay
    }
}

pub(super) fn region_name(idx: usize) -> RegionId {
    format!("r{idx}").into()
}

pub(super) fn target_name(idx: usize) -> String {
    format!("t{idx}")
}

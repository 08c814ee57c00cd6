//! What happens at each event of the simulation, in the order of their times.

mod attempts;
mod baseline;
mod incident;
mod reports;

use std::time::Duration;

use base::{Executed, Time};
use dispatch::{Action, AdmittedRequest, Outcome, QuarantineReport, RequestId, RequestKind};
use rand::RngExt;

use super::{
    event::{AttemptId, Event, Request},
    measures::Measures,
    scenario::{Incident, Scenario},
    state::{InstanceDispatcher, SERVICE, Simulation},
};

const TICK_INTERVAL: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which instances update their region shares.
const STEERING_INTERVAL: Duration = Duration::from_secs(1);
/// Fingerprint of all requests that crash targets; that of any other request is its id.
const POISON_FINGERPRINT: u64 = 0xdead;

/// Runs a scenario until its event queue is empty.
pub fn run(scenario: &Scenario) -> Measures {
    let mut simulation = Simulation::new(scenario);
    simulation.schedule();
    while let Some(((now, _), event)) = simulation.queue.pop_first() {
        simulation.handle(now, event);
    }
    simulation.finish()
}

impl Simulation<'_> {
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
                | Incident::UnderreportedLoad(_, at)
                | Incident::ReportsStop(at)
                | Incident::Drain(_, at)
                | Incident::ColdStart(at, _, _)
                | Incident::PoisonRequests(at, _)
                | Incident::SilentConnections(_, at) => *at,
            };
            self.event_count += 1;
            self.queue.insert(
                (Time::ZERO + at, self.event_count),
                Event::IncidentBegins(idx),
            );
        }
    }

    fn schedule_workspace(&mut self, workspace: usize) {
        let base_rate = self.scenario.demand_of(workspace);
        let mut at = Time::ZERO;
        while at < self.end {
            let factor = self.flood_factor(workspace, at);
            let draw: f64 = self.rng.random();
            at = at + Duration::from_secs_f64(-(1.0 - draw).ln() / (base_rate * factor));
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

    fn schedule_request(&mut self, workspace: usize, at: Time, is_poison: bool) {
        let id = self.requests.len() as u64 + 1;
        let is_non_idempotent =
            !is_poison && self.rng.random::<f64>() < self.scenario.non_idempotent_share;
        let request = Request {
            workspace,
            instance: self.rng.random_range(0..self.instances.len()),
            sent_at: at,
            arrived_at: at + self.scenario.client_delay,
            is_non_idempotent,
            is_poison,
            execution_count: 0,
            is_completed: false,
        };
        self.push(request.arrived_at, Event::RequestArrives(id));
        self.requests.insert(id, request);
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::RequestArrives(id) => self.handle_arrival(now, id),
            Event::AttemptArrives(id) => self.handle_attempt_arrival(now, id),
            Event::WorkCompletes(id) => self.handle_work_completion(now, id),
            Event::AttemptEnds(id, outcome) => self.handle_attempt_end(now, id, outcome),
            Event::HedgeDue(id) => self.send_hedge(now, id),
            Event::Deadline(id) => self.handle_deadline(now, id),
            Event::Tick => self.handle_tick(now),
            Event::Report => self.send_reports(now),
            Event::IncidentBegins(idx) => self.begin_incident(now, idx),
            Event::PoisonRequestDue(idx) => self.send_poison_request(now, idx),
            Event::CheckIdle(idx) => self.check_idle(now, idx),
            Event::LossReported(from, loss) => {
                self.send_to_others(now, from, |dispatcher| {
                    dispatcher.record_remote_loss(now, loss)
                });
            }
            Event::QuarantineReported(from, report) => {
                let sent_at = now.before(self.scenario.region_delay);
                self.send_to_others(now, from, |dispatcher| {
                    dispatcher.merge_quarantine(now, Some(sent_at), &report)
                });
            }
        }
    }

    fn handle_arrival(&mut self, now: Time, id: u64) {
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
        match &mut instance.dispatcher {
            InstanceDispatcher::Product(dispatcher) => {
                let work = AdmittedRequest {
                    kind: if request.is_non_idempotent {
                        RequestKind::Once
                    } else {
                        RequestKind::Idempotent
                    },
                    fingerprint: if request.is_poison {
                        POISON_FINGERPRINT
                    } else {
                        id
                    },
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
            InstanceDispatcher::Baseline(_) => self.baseline_send(now, id),
        }
    }

    fn apply(&mut self, now: Time, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.send_assignment(now, instance, &assignment),
                Action::ReportLoss(loss) => {
                    let at = now + self.scenario.region_delay;
                    self.push(at, Event::LossReported(instance, loss));
                }
                Action::BeginQuarantine(hold) => {
                    let report = QuarantineReport::Held(vec![hold]);
                    let at = now + self.scenario.region_delay;
                    self.push(at, Event::QuarantineReported(instance, report));
                }
                Action::ReportQuarantine(report) => {
                    let at = now + self.scenario.region_delay;
                    self.push(at, Event::QuarantineReported(instance, report));
                }
                Action::Recall(_) => {}
                Action::Refuse(id, refusal) => {
                    let is_not_run = refusal.kind.response().executed == Executed::No;
                    *self.measures.refusals.entry(refusal.kind).or_default() += 1;
                    self.complete_failed(id.0, is_not_run);
                }
            }
        }
    }

    /// Cancels the other attempt of a hedged request, as the product's request handler does.
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
                target.running.retain(|running| *running != other);
            }
            if let InstanceDispatcher::Product(dispatcher) =
                &mut self.instances[instance].dispatcher
            {
                let request = RequestId(other.request);
                let (_, actions) = dispatcher.finish(now, request, other.number, Outcome::Canceled);
                self.apply(now, instance, actions);
            }
        }
    }

    fn send_hedge(&mut self, now: Time, id: u64) {
        let request = &self.requests[&id];
        if request.is_completed {
            return;
        }
        let instance = request.instance;
        if let InstanceDispatcher::Product(dispatcher) = &mut self.instances[instance].dispatcher
            && let Some(assignment) = dispatcher.hedge(now, RequestId(id))
        {
            self.send_assignment(now, instance, &assignment);
        }
    }

    fn handle_deadline(&mut self, now: Time, id: u64) {
        if self.requests[&id].is_completed {
            return;
        }
        let instance = self.requests[&id].instance;
        self.complete_failed(id, false);
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
            let Some(canceled) = self.attempts.remove(&attempt) else {
                continue;
            };
            self.targets[canceled.target]
                .running
                .retain(|running| *running != attempt);
            match &mut self.instances[instance].dispatcher {
                InstanceDispatcher::Product(dispatcher) => {
                    let (_, actions) =
                        dispatcher.finish(now, RequestId(id), attempt.number, Outcome::TimedOut);
                    self.apply(now, instance, actions);
                }
                InstanceDispatcher::Baseline(baseline) => baseline.in_flight[canceled.target] -= 1,
            }
        }
    }

    /// Returns whether a request counts in the measurements.
    fn is_measured(&self, request: &Request) -> bool {
        let from = Time::ZERO + self.scenario.measured_from;
        !request.is_poison && request.sent_at >= from && request.sent_at < self.end
    }

    /// Completes a request whose answer the instance received, and records its latency.
    fn complete_answered(&mut self, now: Time, id: u64) {
        let answered_at = now + self.scenario.client_delay;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_completed {
            return;
        }
        request.is_completed = true;
        let latency = answered_at - request.sent_at;
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

    /// Completes a request that failed; `is_not_run` indicates that it was refused as not executed.
    fn complete_failed(&mut self, id: u64, is_not_run: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_completed {
            return;
        }
        request.is_completed = true;
        let request = request.clone();
        self.measures.false_not_run += u64::from(is_not_run && request.execution_count > 0);
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
            .map(|workspace| workspace.answered)
            .sum();
        self.measures.answered_per_s = answered as f64 / secs;
        self.measures
    }
}

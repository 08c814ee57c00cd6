//! The instances of a fleet: what they are given, what they decide and what they report.

use std::time::Duration;

use base::{Config, ErrorKind, InstanceId, RegionId, Service, Time};
use dispatch::{Action, AdmittedRequest, QuarantineReport, RequestId, RequestKind};
use rand::RngExt;
use standin::config::{registration, service, target};

use super::{
    Event, MAX_WAY_MS, RESTART_MS, Report, SERVICE, Visit, World, dispatcher, instance_id,
    target_id,
};

impl World<'_> {
    /// Gives all instances the targets' entries as they are now.
    pub(super) fn register(&mut self) {
        let config = self.config();
        let ids: Vec<(InstanceId, RegionId)> = (0..self.instances.len())
            .map(|idx| (instance_id(idx), "r".into()))
            .collect();
        for idx in 0..self.instances.len() {
            let now = self.now();
            let dispatcher = &mut self.instances[idx].dispatcher;
            dispatcher.set_instances(&instance_id(idx), ids.clone());
            let actions = dispatcher.configure(now, &config);
            self.apply(idx, actions);
        }
    }

    fn config(&self) -> Config {
        let mut config = standin::config::config([("d", "r")]);
        let targets = self.targets.iter().enumerate().map(|(idx, state)| {
            let target = target("d", Some(registration(5, state.incarnation)));
            (target_id(idx), target)
        });
        let service = Service {
            connections: 300,
            targets: targets.collect(),
            ..service(5, 3_000)
        };
        config.services.insert(SERVICE.into(), service);
        config
    }

    /// An instance that is up gets a request; without any, its caller gives up.
    pub(super) fn arrive(&mut self, is_innocent: bool, visit: Visit) {
        let up: Vec<usize> = (0..self.instances.len())
            .filter(|idx| self.instances[*idx].is_up)
            .collect();
        if up.is_empty() {
            return;
        }
        let idx = up[self.rng.random_range(0..up.len())];
        self.next_id += 1;
        let id = self.next_id;
        let now = self.now();
        let mut request = AdmittedRequest::new(
            RequestId(id),
            "w".into(),
            SERVICE.into(),
            now + Duration::from_secs(3),
        );
        request.fingerprint = visit.fingerprint;
        request.max_attempts = 2;
        if visit.is_once {
            request.kind = RequestKind::Once;
        } else {
            request.kind = RequestKind::Idempotent;
        }
        if is_innocent {
            request.affinity = Some(self.rng.random_range(0..60));
        }
        self.instances[idx].requests.insert(id, visit);
        let actions = self.instances[idx].dispatcher.submit(now, request);
        self.apply(idx, actions);
    }

    pub(super) fn apply(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.send(instance, &assignment),
                Action::Refuse(id, refusal) => self.refused(instance, id.0, refusal.kind),
                Action::Recall(_) => {}
                Action::ReportLoss(loss) => self.broadcast(instance, &Report::Loss(loss)),
                Action::BeginQuarantine(hold) => {
                    let report = QuarantineReport::Held(vec![hold]);
                    self.broadcast(instance, &Report::Quarantine(report));
                }
                Action::ReportQuarantine(report) => {
                    self.broadcast(instance, &Report::Quarantine(report));
                }
            }
        }
    }

    fn broadcast(&mut self, from: usize, report: &Report) {
        for to in 0..self.instances.len() {
            let is_known = matches!(report, Report::Loss(_)) || from.min(to) >= self.plan.older;
            if to != from && self.rng.random::<f64>() >= self.plan.report_loss && is_known {
                let delay = self.rng.random_range(1..MAX_WAY_MS);
                let report = report.clone();
                let sent_ms = self.now_ms;
                let event = Event::Deliver {
                    to,
                    sent_ms,
                    report,
                };
                self.push(delay, event);
            }
        }
    }

    pub(super) fn deliver(&mut self, to: usize, sent_ms: u64, report: Report) {
        if !self.instances[to].is_up {
            return;
        }
        let now = self.now();
        let dispatcher = &mut self.instances[to].dispatcher;
        let actions = match report {
            Report::Loss(loss) => dispatcher.record_remote_loss(now, loss),
            Report::Quarantine(report) => {
                // What a heartbeat that took as long as any shows of the time at which it was sent.
                let not_before = Time::from_millis(sent_ms.saturating_sub(MAX_WAY_MS));
                dispatcher.merge_quarantine(now, Some(not_before), &report)
            }
        };
        self.apply(to, actions);
    }

    /// The caller of a request that was refused sends it again if it may.
    fn refused(&mut self, instance: usize, id: u64, kind: ErrorKind) {
        let Some(visit) = self.instances[instance].requests.remove(&id) else {
            return;
        };
        let is_innocent = !self.is_deadly(visit.fingerprint);
        if kind == ErrorKind::Quarantined && is_innocent {
            self.outcome.wronged += 1;
            let first = self.wronged_ms.entry(visit.fingerprint);
            let since = self.now_ms - *first.or_insert(self.now_ms);
            let since = Duration::from_millis(since);
            self.outcome.wronged_for = self.outcome.wronged_for.max(since);
        }
        let may_retry = !visit.is_once || kind != ErrorKind::TargetLost;
        if visit.retries_left > 0 && may_retry {
            let visit = Visit {
                retries_left: visit.retries_left - 1,
                ..visit
            };
            let delay = self.rng.random_range(1..50);
            self.push(delay, Event::Arrive { is_innocent, visit });
        }
    }

    pub(super) fn finish(
        &mut self,
        instance: usize,
        id: u64,
        attempt: u32,
        outcome: dispatch::Outcome,
    ) {
        let now = self.now();
        let dispatcher = &mut self.instances[instance].dispatcher;
        let (_, actions) = dispatcher.finish(now, RequestId(id), attempt, outcome);
        self.apply(instance, actions);
    }

    /// Ends an instance, which knows nothing any more when it starts again.
    pub(super) fn restart(&mut self, idx: usize) {
        let gap = self.plan.restart_gap_s.unwrap_or(1.0);
        let gap = self.gap_ms(gap);
        self.push(gap, Event::Restart((idx + 1) % self.instances.len()));
        let seed = self.rng.random();
        let count = self.instances.len();
        let instance = &mut self.instances[idx];
        instance.life += 1;
        instance.requests.clear();
        instance.dispatcher = dispatcher(count, seed, idx < self.plan.older);
        instance.disturbed_ms = Some(self.now_ms + RESTART_MS);
        self.running.retain(|one| one.instance != idx);
        self.push(RESTART_MS, Event::Register);
    }
}

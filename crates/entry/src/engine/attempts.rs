//! Attempts of requests, and the idle connections that they use.

use std::{net::SocketAddr, time::Duration};

use admit::Action as AdmitAction;
use base::{AllowedRegions, ErrorKind, Refusal, TargetId, Time};
use dispatch::{
    Action, Assignment, Outcome, PathState, QuarantineReport, RequestId, RequestProgress,
};

use super::Engine;
use crate::{
    connection::Connection,
    forward::TargetFeedback,
    message::{AttemptPlan, Decision, OutgoingMessage},
};

/// Delay after which callers of an instance that stops may retry at another one.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

impl Engine {
    pub(super) fn finish_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        connection: Option<Connection>,
    ) {
        let target = self.dispatcher.target_of(id, attempt).cloned();
        let path_state = self.dispatcher.path_state();
        let is_sound = |connection: &Connection| {
            path_state == PathState::Direct
                || connection.relay.is_some()
                || self.dispatcher.is_in_time(id, outcome)
        };
        let connection = connection.filter(is_sound);
        if let (Some(target), Some(connection)) = (target, connection) {
            self.return_connection(target, connection);
        }
        let (progress, actions) = self.dispatcher.finish(now, id, attempt, outcome);
        if self.dispatcher.path_state() != path_state {
            self.change_path();
        }
        self.apply_dispatch(now, actions);
        if progress == RequestProgress::Ended {
            self.requests.remove(&id);
        }
    }

    pub(super) fn record_feedback(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        feedback: TargetFeedback,
    ) {
        let Some(service) = self
            .requests
            .get(&id)
            .map(|request| request.service.clone())
        else {
            return;
        };
        if self.dispatcher.record_dial(now, id, attempt, feedback.dial) {
            self.change_path();
        }
        let target = self.dispatcher.target_of(id, attempt).cloned();
        let Some(target) = target else {
            return;
        };
        if let Some(load) = feedback.load {
            self.dispatcher.record_load(now, &service, &target, load);
        }
        if let Some(connect_time) = feedback.connect_time {
            self.dispatcher
                .record_connect_time(&service, &target, connect_time);
        }
    }

    /// Passes an attempt to the request's handler to send; cancels it if there is no handler.
    pub(super) fn send_attempt(&mut self, now: Time, assignment: Assignment) {
        let (id, attempt) = (assignment.id, assignment.attempt);
        let planned = self.requests.get(&id).and_then(|request| {
            let plan = AttemptPlan {
                addr: self.target_addr(&assignment)?,
                connection: None,
                relays: self.relays_to(&assignment.region, request),
                allowed_regions: request.allowed_regions.subscribe(),
                revision: self.revision,
                in_force: self.in_force.subscribe(),
                sends_until: self.sends_until.subscribe(),
                deadline: request.deadline,
                workspace: request.workspace.clone(),
                is_open: request.is_open,
                assignment,
            };
            Some((request.tx.clone(), plan))
        });
        let Some((tx, mut plan)) = planned else {
            self.abandon_attempt(now, id, attempt);
            return;
        };
        let allowed = self
            .requests
            .get(&id)
            .map(|request| request.allowed_regions.borrow().clone());
        let allowed = allowed.unwrap_or_default();
        if !plan.assignment.is_trial {
            plan.connection = self.take_connection(now, &plan.assignment, plan.addr, &allowed);
        }
        if tx.send(Decision::SendAttempt(Box::new(plan))).is_err() {
            self.abandon_attempt(now, id, attempt);
        }
    }

    pub(super) fn abandon_attempt(&mut self, now: Time, id: RequestId, attempt: u32) {
        let (_, actions) = self.dispatcher.finish(now, id, attempt, Outcome::Canceled);
        self.requests.remove(&id);
        self.apply_dispatch(now, actions);
    }

    pub(super) fn target_addr(&self, assignment: &Assignment) -> Option<SocketAddr> {
        let service = self.config.as_ref()?.services.get(&assignment.service)?;
        Some(service.targets.get(&assignment.target)?.addr)
    }

    /// Takes the most recently used idle connection to the target.
    ///
    /// A connection that another instance carries is used only while the target can't be reached
    /// directly, since to the target it is that instance which sends; and only if that one is in one of
    /// the `allowed` regions. Where the assignment needs a fresh connection, one that has been idle for
    /// too long is not used: the target may have closed it, and a request lost on it can't be sent
    /// again.
    pub(super) fn take_connection(
        &mut self,
        now: Time,
        assignment: &Assignment,
        addr: SocketAddr,
        allowed: &AllowedRegions,
    ) -> Option<Connection> {
        let relays = &self.relays;
        let is_relay_needed =
            assignment.prefers_relay || self.dispatcher.path_state() == PathState::Relayed;
        let may_carry = |connection: &Connection| {
            connection.relay.as_ref().is_none_or(|carrier| {
                let mut known = relays.iter();
                is_relay_needed
                    && known.any(|relay| {
                        relay.instance == carrier.instance && allowed.contains(&relay.region)
                    })
            })
        };
        let connections = self.idle_connections.get_mut(&assignment.target)?;
        while let Some(connection) = connections.pop_back() {
            let is_usable = connection.is_open() && connection.addr == addr;
            if !is_usable || !may_carry(&connection) {
                continue;
            }
            let is_fresh = now - connection.last_response_at <= connection.fresh_timeout;
            if is_fresh || !assignment.needs_fresh_connection {
                return Some(connection);
            }
            // The remaining connections have been idle for even longer.
            connections.clear();
        }
        None
    }

    pub(super) fn return_connection(&mut self, target: TargetId, connection: Connection) {
        let idle = self.idle_connections.entry(target).or_default();
        idle.push_back(connection);
    }

    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let refusal = self.with_delay(refusal);
        if let Some(request) = self.requests.remove(&id) {
            let _ = request.tx.send(Decision::Refuse(refusal));
        }
    }

    /// Sets the delay after which other instances can serve what this one refuses by its own state.
    pub(super) fn with_delay(&self, refusal: Refusal) -> Refusal {
        match refusal.kind {
            ErrorKind::Leaving => refusal.retry_after(LEAVING_RETRY_AFTER),
            kind if self.outdated.refusal() == Some(kind) => {
                refusal.retry_after(self.outdated.retry_after())
            }
            _ => refusal,
        }
    }

    /// Reports to the handler of a request that is refused for lack of free slots which targets had none.
    fn explain_overload(&self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let candidates = self.dispatcher.candidates(now, &request.to_admitted(id));
        if !candidates.is_empty() {
            let _ = request.tx.send(Decision::NoRoom(candidates));
        }
    }

    pub(super) fn apply_dispatch(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.send_attempt(now, assignment),
                Action::Recall(id) => self.recall(id),
                Action::Refuse(id, refusal) => {
                    if refusal.kind == ErrorKind::Overloaded {
                        self.explain_overload(now, id);
                    }
                    self.refuse(id, refusal);
                }
                Action::ReportLoss(report) => {
                    let _ = self.outgoing.send(OutgoingMessage::ConnectionLoss(report));
                }
                Action::BeginQuarantine(hold) => {
                    tracing::warn!(
                        event = "quarantine",
                        fingerprint = hold.fingerprint,
                        period_s = hold.period.as_secs()
                    );
                    let report = QuarantineReport::Held(vec![hold]);
                    let _ = self.outgoing.send(OutgoingMessage::Quarantine(report));
                }
                Action::ReportQuarantine(report) => {
                    if let QuarantineReport::AnsweredAgo { fingerprint, .. } = report {
                        tracing::info!(event = "suspicion_ended", fingerprint);
                    }
                    let _ = self.outgoing.send(OutgoingMessage::Quarantine(report));
                }
            }
        }
    }

    pub(super) fn apply_admission(&mut self, now: Time, actions: Vec<AdmitAction>) {
        for action in actions {
            match action {
                AdmitAction::Admit(id) => self.handle_admitted(now, RequestId(id)),
                AdmitAction::Refuse(id, refusal) => self.refuse(RequestId(id), refusal),
                AdmitAction::RequestGrant(workspace, owner, request) => {
                    let _ = self.outgoing.send(OutgoingMessage::GrantRequest {
                        workspace,
                        owner,
                        request,
                    });
                }
                AdmitAction::Lend(workspace, owner, loans) => {
                    let last_heartbeat =
                        self.owner_heartbeats.get(&workspace).copied().unwrap_or(0);
                    let _ = self.outgoing.send(OutgoingMessage::Lend {
                        workspace,
                        owner,
                        loans,
                        at: now,
                        last_heartbeat,
                    });
                }
            }
        }
    }
}

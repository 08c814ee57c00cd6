//! Routes, keys and admission of arriving requests.

use std::{sync::Arc, time::Duration};

use base::{
    AllowedRegions, ErrorKind, Refusal, Route, RouteKind, ServiceId, Time, Workspace, WorkspaceId,
};
use coord::Freshness;
use dispatch::{AdmittedRequest, RequestId, RequestKind};
use tokio::sync::watch;

use super::{Engine, OPEN_WORKSPACE, Origin, PendingRequest, split::WeightedSplit};
use crate::message::{Admitted, Arrival, Decision, RequestInfo, UsedConfig};

/// Number of route priorities within each workspace priority.
const ROUTE_PRIORITY_LIMIT: u32 = 1_000;

/// Whose request it is, and by which route it came.
pub(super) struct Identity {
    /// `None` where the path names the service.
    pub(super) route: Option<Arc<Route>>,
    pub(super) workspace: WorkspaceId,
    /// Whether the request needs no API key.
    pub(super) is_open: bool,
}

/// Limits how long a request may take, from its arrival.
struct Timeouts {
    /// Time after which it has failed.
    total: Duration,
    /// Time within which it meets the latency objective.
    objective: Duration,
}

impl Timeouts {
    fn new(asked: Option<Duration>, limit_ms: u32, route: Option<&Route>) -> Self {
        let limit = millis(limit_ms);
        let total = asked.unwrap_or(limit).min(limit);
        let objective = route.map_or(total, |route| millis(route.objective_ms).min(total));
        Self { total, objective }
    }
}

impl Engine {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        let (id, tx) = (arrival.id, arrival.tx.clone());
        let config = self.used_config();
        match self.resolve(now, arrival) {
            Ok((request, is_open)) => {
                let (workspace, deadline) = (request.workspace.clone(), request.deadline);
                let info = RequestInfo {
                    route: request.route.clone(),
                    service: request.service.clone(),
                    workspace: workspace.clone(),
                    deadline,
                    objective_deadline: request.objective_deadline,
                    config,
                    affinity: request.affinity,
                    allowed_regions: request.allowed_regions.borrow().clone(),
                };
                let _ = tx.send(Decision::Resolved(info));
                self.requests.insert(id, request);
                if is_open {
                    self.handle_admitted(now, id);
                } else {
                    let actions = self.admission.on_request(now, id.0, &workspace, deadline);
                    self.apply_admission(now, actions);
                }
            }
            Err(kind) => {
                let refusal = self.with_delay(Refusal::new(kind));
                let _ = tx.send(Decision::Consulted(config));
                let _ = tx.send(Decision::Refuse(refusal));
            }
        }
    }

    /// Returns which configuration decides by now, and how old it may be.
    pub(super) fn used_config(&self) -> UsedConfig {
        UsedConfig {
            revision: self.revision,
            version: self.version,
            confirmed_at: self.confirmed_at,
            confirmation: self.confirmation.clone(),
        }
    }

    /// Resolves the service and workspace of a request; the flag is set if it needs no API key.
    pub(super) fn resolve(
        &mut self,
        now: Time,
        arrival: Arrival,
    ) -> Result<(PendingRequest, bool), ErrorKind> {
        if self.is_draining {
            return Err(ErrorKind::Leaving);
        }
        if let Some(kind) = self.outdated.refusal() {
            return Err(kind);
        }
        let origin = Origin {
            host: arrival.host,
            full_path: arrival.full_path,
            service: arrival.service,
            path: arrival.path,
            api_key: arrival.api_key,
        };
        let identity = self.identify_caller(now, &origin)?;
        let config = self.config.clone().ok_or(ErrorKind::NotReady)?;
        let settings = config.workspaces.get(&identity.workspace);
        let route = identity.route.as_deref();
        let limit_ms = match route {
            Some(route) => route.timeout_ms,
            None => config.services[&origin.service].deadline_ms,
        };
        let timeouts = Timeouts::new(arrival.timeout, limit_ms, route);
        let request = PendingRequest {
            tx: arrival.tx,
            service: match route {
                Some(route) => self.pick_service(route),
                None => origin.service.clone(),
            },
            weight: settings.map_or(1, |settings| settings.weight),
            deadline: now + timeouts.total,
            kind: route.map_or(arrival.kind, kind_of),
            fingerprint: arrival.fingerprint,
            awaits_dispatch: arrival.awaits_dispatch,
            is_open: identity.is_open,
            route: Arc::from(route.map_or("", |route| &route.name)),
            objective_deadline: now + timeouts.objective,
            priority: route.map_or(0, |route| priority_of(route, settings)),
            max_attempts: route.map_or(u32::MAX, |route| route.attempts.max(1)),
            affinity: arrival
                .affinity
                .filter(|_| route.is_none_or(|route| route.is_sticky)),
            allowed_regions: watch::Sender::new(AllowedRegions::of(route, settings)),
            workspace: identity.workspace,
            origin,
        };
        Ok((request, identity.is_open))
    }

    /// Identifies an arriving request, or returns why it is refused by now.
    fn identify_caller(&self, now: Time, origin: &Origin) -> Result<Identity, ErrorKind> {
        let identity = self
            .identify(origin)
            .map_err(|kind| self.verdict(now, kind))?;
        if !identity.is_open && self.is_isolated(now) {
            return Err(ErrorKind::Isolated);
        }
        Ok(identity)
    }

    /// Finds by the active configuration the route of a request, if there are routes, and its workspace.
    pub(super) fn identify(&self, origin: &Origin) -> Result<Identity, ErrorKind> {
        let config = self.config.as_ref().ok_or(ErrorKind::NotReady)?;
        let route = if !self.routes.is_empty() {
            let found = self.routes.find(&origin.host, &origin.full_path);
            Some(found.cloned().ok_or(ErrorKind::UnknownService)?)
        } else if config.services.contains_key(&origin.service) {
            None
        } else {
            return Err(ErrorKind::UnknownService);
        };
        let is_open = match &route {
            Some(route) => route.is_open,
            None => config.is_open(&origin.service, &origin.path),
        };
        let workspace = if is_open {
            WorkspaceId::from(OPEN_WORKSPACE)
        } else {
            let key = origin.api_key.as_deref().ok_or(ErrorKind::MissingKey)?;
            self.keys
                .workspace(key)
                .ok_or(ErrorKind::UnknownKey)?
                .clone()
        };
        Ok(Identity {
            route,
            workspace,
            is_open,
        })
    }

    /// Returns whether valid keys can't be distinguished from withdrawn ones, since the configuration is unconfirmed.
    fn is_isolated(&self, now: Time) -> bool {
        // After a pause of the process, the last freshness received may no longer be valid.
        let is_isolated = self.freshness == Freshness::Isolated || now > self.freshness_valid_until;
        is_isolated && self.refuses_when_isolated
    }

    /// Returns the refusal of a request that the active configuration doesn't allow, which is
    /// [`ErrorKind::Isolated`] where a later one that has to be in force may allow it.
    pub(super) fn verdict(&self, now: Time, kind: ErrorKind) -> ErrorKind {
        let is_latest = now <= self.refuse_until;
        let needs_key = matches!(kind, ErrorKind::MissingKey | ErrorKind::UnknownKey);
        let is_outdated = !self.routes.is_empty() && !is_latest;
        if is_outdated || (needs_key && self.is_isolated(now)) {
            ErrorKind::Isolated
        } else {
            kind
        }
    }

    /// Picks a service of a route in proportion to the weights.
    pub(super) fn pick_service(&mut self, route: &Route) -> ServiceId {
        let [first, _, ..] = &route.services[..] else {
            let only = route.services.first();
            return only.map_or_else(|| ServiceId::from(""), |weighted| weighted.service.clone());
        };
        let rng = &mut self.rng;
        let split = self
            .splits
            .entry(route.name.clone())
            .or_insert_with(|| WeightedSplit::new(rng, &route.services));
        let idx = split.pick();
        let picked = idx.and_then(|idx| route.services.get(idx));
        picked.unwrap_or(first).service.clone()
    }

    /// Refuses what arrives from now on and what hasn't been sent to a target: little time is left for answers.
    pub(super) fn stop_accepting(&mut self, now: Time) {
        self.is_draining = true;
        self.withdraw_all(now, ErrorKind::Leaving);
    }

    /// Answers the requests that targets haven't answered by the end of a stop; they may have run.
    pub(super) fn end_requests(&mut self) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.refuse(id, Refusal::new(ErrorKind::TargetTimeout));
        }
    }

    pub(super) fn handle_admitted(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.awaits_dispatch {
            self.dispatch(now, id, None);
            return;
        }
        let admitted = Admitted {
            workspace: request.workspace.clone(),
            deadline: request.deadline,
        };
        let _ = request.tx.send(Decision::Admitted(admitted));
    }

    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, fingerprint: Option<u64>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut admitted = request.to_admitted(id);
        if let Some(fingerprint) = fingerprint {
            admitted.fingerprint = fingerprint;
        }
        let counter = self.counters.entry(admitted.service.clone()).or_default();
        match admitted.allowed_regions.single() {
            Some(only) => *counter.pinned.entry(only.clone()).or_default() += 1,
            None => counter.requests += 1,
        }
        let actions = self.dispatcher.submit(now, admitted);
        self.apply_dispatch(now, actions);
    }
}

impl PendingRequest {
    /// Returns the request as it is dispatched once it has passed admission.
    pub(super) fn to_admitted(&self, id: RequestId) -> AdmittedRequest {
        AdmittedRequest {
            id,
            workspace: self.workspace.clone(),
            weight: self.weight,
            service: self.service.clone(),
            deadline: self.deadline,
            kind: self.kind,
            fingerprint: self.fingerprint,
            objective_deadline: self.objective_deadline,
            priority: self.priority,
            route_priority: self.priority % ROUTE_PRIORITY_LIMIT,
            max_attempts: self.max_attempts,
            affinity: self.affinity,
            allowed_regions: self.allowed_regions.borrow().clone(),
        }
    }
}

/// Returns whether the requests of a route may run more than once.
fn kind_of(route: &Route) -> RequestKind {
    match route.kind {
        RouteKind::Idempotent => RequestKind::Idempotent,
        RouteKind::Once => RequestKind::Once,
    }
}

/// Returns the priority of a route's requests, after that of their workspace.
fn priority_of(route: &Route, workspace: Option<&Workspace>) -> u32 {
    let first = workspace.map_or(0, |workspace| workspace.priority);
    first * ROUTE_PRIORITY_LIMIT + route.priority
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

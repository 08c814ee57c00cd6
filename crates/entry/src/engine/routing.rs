//! Routes, keys and admission of arriving requests.

use std::{sync::Arc, time::Duration};

use base::{AllowedRegions, ErrorKind, Refusal, Route, RouteKind, ServiceId, Time, WorkspaceId};
use coord::Freshness;
use dispatch::{AdmittedRequest, RequestId, RequestKind};

use super::{Engine, OPEN_WORKSPACE, PendingRequest, split::WeightedSplit};
use crate::message::{Admitted, Arrival, Decision, RequestInfo, UsedConfig};

/// Number of route priorities within each workspace priority.
const ROUTE_PRIORITY_LIMIT: u32 = 1_000;

impl Engine {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        let (id, tx) = (arrival.id, arrival.tx.clone());
        let config = UsedConfig {
            revision: self.revision,
            confirmed_at: self.confirmed_at,
        };
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
                    allowed_regions: request.allowed_regions.clone(),
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
                let wait = match kind {
                    // The caller can retry on another instance at once.
                    ErrorKind::Leaving => Duration::from_millis(10),
                    _ => Duration::from_secs(1),
                };
                let refusal = Refusal::new(kind).retry_after(wait);
                let _ = tx.send(Decision::Consulted(config));
                let _ = tx.send(Decision::Refuse(refusal));
            }
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
        if !self.routes.is_empty() {
            return self.resolve_by_route(now, arrival);
        }
        let config = self.config.as_ref().ok_or(ErrorKind::NotReady)?;
        let service = config
            .services
            .get(&arrival.service)
            .ok_or(ErrorKind::UnknownService)?;
        let is_open = config.is_open(&arrival.service, &arrival.path);
        let workspace = if is_open {
            WorkspaceId::from(OPEN_WORKSPACE)
        } else {
            self.authenticate(now, arrival.api_key.as_deref())?.clone()
        };
        let weight = config
            .workspaces
            .get(&workspace)
            .map_or(1, |settings| settings.weight);
        let limit = Duration::from_millis(u64::from(service.deadline_ms));
        let timeout = arrival.timeout.unwrap_or(limit).min(limit);
        let request = PendingRequest {
            tx: arrival.tx,
            workspace,
            service: arrival.service,
            weight,
            deadline: now + timeout,
            kind: arrival.kind,
            fingerprint: arrival.fingerprint,
            awaits_dispatch: arrival.awaits_dispatch,
            is_open,
            route: Arc::from(""),
            objective_deadline: now + timeout,
            priority: 0,
            max_attempts: u32::MAX,
            affinity: arrival.affinity,
            allowed_regions: AllowedRegions::All,
        };
        Ok((request, is_open))
    }

    /// Resolves the route of a request by host and path, and its workspace by API key.
    pub(super) fn resolve_by_route(
        &mut self,
        now: Time,
        arrival: Arrival,
    ) -> Result<(PendingRequest, bool), ErrorKind> {
        let config = self.config.clone().ok_or(ErrorKind::NotReady)?;
        let found = self.routes.find(&arrival.host, &arrival.full_path);
        let Some(route) = found.cloned() else {
            return Err(self.isolated_if_outdated(now, ErrorKind::UnknownService));
        };
        let workspace = if route.is_open {
            WorkspaceId::from(OPEN_WORKSPACE)
        } else {
            match self.authenticate(now, arrival.api_key.as_deref()) {
                Ok(workspace) => workspace.clone(),
                Err(kind) => return Err(self.isolated_if_outdated(now, kind)),
            }
        };
        let settings = config.workspaces.get(&workspace);
        let limit = Duration::from_millis(u64::from(route.timeout_ms));
        let timeout = arrival.timeout.unwrap_or(limit).min(limit);
        let request = PendingRequest {
            tx: arrival.tx,
            service: self.pick_service(&route),
            weight: settings.map_or(1, |settings| settings.weight),
            deadline: now + timeout,
            kind: match route.kind {
                RouteKind::Idempotent => RequestKind::Idempotent,
                RouteKind::Once => RequestKind::Once,
            },
            fingerprint: arrival.fingerprint,
            awaits_dispatch: arrival.awaits_dispatch,
            is_open: route.is_open,
            route: Arc::from(route.name.as_str()),
            objective_deadline: now
                + Duration::from_millis(u64::from(route.objective_ms)).min(timeout),
            priority: settings.map_or(0, |settings| settings.priority) * ROUTE_PRIORITY_LIMIT
                + route.priority,
            max_attempts: route.attempts.max(1),
            affinity: arrival.affinity.filter(|_| route.is_sticky),
            allowed_regions: AllowedRegions::of(Some(&route), settings),
            workspace,
        };
        Ok((request, route.is_open))
    }

    /// Returns `kind` where the active configuration is known to be the latest, and otherwise
    /// [`ErrorKind::Isolated`], since a later configuration may allow the request.
    pub(super) fn isolated_if_outdated(&self, now: Time, kind: ErrorKind) -> ErrorKind {
        let is_latest = self.freshness == Freshness::Fresh && now <= self.freshness_valid_until;
        if is_latest { kind } else { ErrorKind::Isolated }
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
        let idx = split.pick(&route.services);
        let picked = idx.and_then(|idx| route.services.get(idx));
        picked.unwrap_or(first).service.clone()
    }

    pub(super) fn authenticate(
        &self,
        now: Time,
        key: Option<&str>,
    ) -> Result<&WorkspaceId, ErrorKind> {
        // After a pause of the process, the last freshness received may no longer be valid.
        let is_isolated = self.freshness == Freshness::Isolated || now > self.freshness_valid_until;
        if is_isolated && self.refuses_when_isolated {
            return Err(ErrorKind::Isolated);
        }
        let key = key.ok_or(ErrorKind::MissingKey)?;
        self.keys.workspace(key).ok_or(ErrorKind::UnknownKey)
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
        let admitted = AdmittedRequest {
            id,
            workspace: request.workspace.clone(),
            weight: request.weight,
            service: request.service.clone(),
            deadline: request.deadline,
            kind: request.kind,
            fingerprint: fingerprint.unwrap_or(request.fingerprint),
            objective_deadline: request.objective_deadline,
            priority: request.priority,
            route_priority: request.priority % ROUTE_PRIORITY_LIMIT,
            max_attempts: request.max_attempts,
            affinity: request.affinity,
            allowed_regions: request.allowed_regions.clone(),
        };
        let counter = self.counters.entry(admitted.service.clone()).or_default();
        match admitted.allowed_regions.single() {
            Some(only) => *counter.pinned.entry(only.clone()).or_default() += 1,
            None => counter.requests += 1,
        }
        let actions = self.dispatcher.submit(now, admitted);
        self.apply_dispatch(now, actions);
    }
}

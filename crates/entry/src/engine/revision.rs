//! The routing by a new configuration of the requests that have no final answer yet.

use base::{AllowedRegions, ErrorKind, Refusal, RouteKind, Time};
use dispatch::{Action, RequestId, RequestKind};
use tokio::sync::watch;

use super::{Engine, PendingRequest};
use crate::message::Decision;

/// Describes how the active configuration routes a request.
struct Terms {
    allowed_regions: AllowedRegions,
    max_attempts: u32,
    /// Whether the request may run at most once.
    is_once: bool,
}

impl Engine {
    /// Decides again about all requests without a final answer: those that are not allowed any more are
    /// refused unless they are running, and the others go where they may run now.
    ///
    /// Service, deadline and priority stay as they were at the arrival. While a later configuration is known
    /// that should be in force, or the instance is about to stop, those that are left stay withdrawn.
    pub(super) fn revise_requests(&mut self, now: Time) -> Vec<Action> {
        if self.is_draining || self.outdated.refusal().is_some() {
            return Vec::new();
        }
        let requests = self.requests.iter();
        let revised: Vec<(RequestId, Result<Terms, ErrorKind>)> = requests
            .map(|(id, request)| (*id, self.terms(request)))
            .collect();
        let mut actions = Vec::new();
        for (id, terms) in revised {
            match terms {
                Ok(terms) => self.revise(id, terms),
                Err(kind) => {
                    let kind = self.verdict(now, kind);
                    actions.extend(self.withdraw(now, id, kind));
                }
            }
        }
        actions
    }

    fn terms(&self, request: &PendingRequest) -> Result<Terms, ErrorKind> {
        let identity = self.identify(&request.origin)?;
        if !identity.is_open && identity.workspace != request.workspace {
            // Its quota was drawn from the other workspace; its caller may ask again.
            return Err(ErrorKind::NotReady);
        }
        let route = identity.route.as_deref();
        let config = self.config.as_ref().ok_or(ErrorKind::NotReady)?;
        let workspace = config.workspaces.get(&identity.workspace);
        let is_once = route.is_some_and(|route| route.kind == RouteKind::Once);
        Ok(Terms {
            is_once,
            allowed_regions: AllowedRegions::of(route, workspace),
            max_attempts: route.map_or(request.max_attempts, |route| route.attempts.max(1)),
        })
    }

    fn revise(&mut self, id: RequestId, terms: Terms) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.max_attempts = terms.max_attempts;
        if terms.is_once {
            request.kind = RequestKind::Once;
            self.dispatcher.forbid_repeats(id);
        }
        self.dispatcher
            .revise(id, &terms.allowed_regions, terms.max_attempts);
        let current = &request.allowed_regions;
        current.send_if_modified(|allowed| {
            let is_changed = *allowed != terms.allowed_regions;
            *allowed = terms.allowed_regions;
            is_changed
        });
    }

    /// Withholds the attempts of a request that are not sent yet; others follow them.
    pub(super) fn recall(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let current = request.allowed_regions.borrow().clone();
        let later = watch::Sender::new(current);
        let earlier = std::mem::replace(&mut request.allowed_regions, later);
        earlier.send_replace(AllowedRegions::nowhere());
    }

    /// Ends a request that is not allowed any more, unless it is running.
    pub(super) fn withdraw(&mut self, now: Time, id: RequestId, kind: ErrorKind) -> Vec<Action> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        request
            .allowed_regions
            .send_replace(AllowedRegions::nowhere());
        let tx = request.tx.clone();
        let actions = if self.dispatcher.contains(id) {
            self.dispatcher.withdraw(now, id, kind)
        } else {
            self.admission.cancel(id.0);
            vec![Action::Refuse(id, Refusal::new(kind))]
        };
        let is_refused =
            |action: &Action| matches!(action, Action::Refuse(refused, _) if *refused == id);
        if actions.iter().any(is_refused) {
            let _ = tx.send(Decision::Consulted(self.used_config()));
        }
        actions
    }
}

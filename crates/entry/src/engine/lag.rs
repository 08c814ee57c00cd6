//! What an engine refuses while a later configuration than the active one is known.

use std::time::Duration;

use base::{ErrorKind, Refusal, Time};
use dispatch::{Action, RequestId};

use super::Engine;
use crate::message::ConfigLag;

/// Until when requests may be decided by the active configuration.
#[derive(Debug)]
pub(super) struct Outdated {
    /// Time from which on they may not.
    from: Time,
    /// Whether that time has come.
    is_reached: bool,
    retry_after: Duration,
}

impl Default for Outdated {
    fn default() -> Self {
        Self {
            from: Time::NEVER,
            is_reached: false,
            retry_after: Duration::ZERO,
        }
    }
}

impl Outdated {
    /// Returns whether arriving requests are refused.
    pub(super) fn is_reached(&self) -> bool {
        self.is_reached
    }

    /// Returns the delay after which callers may come back.
    pub(super) fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

impl Engine {
    pub(super) fn set_lag(&mut self, now: Time, lag: ConfigLag) {
        self.outdated.from = lag.outdated_from.unwrap_or(Time::NEVER);
        self.outdated.retry_after = lag.retry_after;
        self.check_outdated(now);
    }

    /// Withdraws all requests that aren't running, once the active configuration may not decide any more, and lets it
    /// decide again once it may.
    pub(super) fn check_outdated(&mut self, now: Time) {
        let is_reached = now >= self.outdated.from || self.is_unheard(now);
        if is_reached == self.outdated.is_reached {
            return;
        }
        self.outdated.is_reached = is_reached;
        if is_reached {
            self.withdraw_all(now);
        } else {
            let actions = self.revise_requests(now);
            self.apply_dispatch(now, actions);
        }
    }

    /// Returns whether nothing has been heard from the follower for so long that the process stood still, and a later
    /// configuration that has to be in force may have come meanwhile.
    fn is_unheard(&self, now: Time) -> bool {
        let is_silent = now > self.freshness_valid_until && self.freshness_valid_until > Time::ZERO;
        is_silent && now > self.refuse_until
    }

    fn withdraw_all(&mut self, now: Time) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        let withdrawn = ids
            .into_iter()
            .flat_map(|id| self.withdraw(now, id, ErrorKind::Outdated))
            .collect::<Vec<_>>();
        let actions = withdrawn.into_iter().map(|action| match action {
            Action::Refuse(id, refusal) if refusal.kind == ErrorKind::Outdated => {
                let refusal = Refusal::new(refusal.kind).retry_after(self.outdated.retry_after);
                Action::Refuse(id, refusal)
            }
            other => other,
        });
        let actions = actions.collect();
        self.apply_dispatch(now, actions);
    }
}

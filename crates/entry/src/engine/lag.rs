//! What an engine refuses while a later configuration than the active one is known.

use std::time::Duration;

use base::{ErrorKind, Time};
use dispatch::RequestId;

use super::Engine;
use crate::message::ConfigLag;

/// Until when requests may be decided by the active configuration.
#[derive(Debug)]
pub(super) struct Outdated {
    /// Time from which on they may not.
    from: Time,
    /// Why requests are refused by now, if they are.
    refusal: Option<ErrorKind>,
    retry_after: Duration,
}

impl Default for Outdated {
    fn default() -> Self {
        Self {
            from: Time::NEVER,
            refusal: None,
            retry_after: Duration::ZERO,
        }
    }
}

impl Outdated {
    /// Returns why arriving requests are refused, if they are.
    pub(super) fn refusal(&self) -> Option<ErrorKind> {
        self.refusal
    }

    /// Returns the delay after which callers may retry; others can serve those of an isolated instance at once.
    pub(super) fn retry_after(&self) -> Duration {
        match self.refusal {
            Some(ErrorKind::Isolated) => Duration::ZERO,
            _ => self.retry_after,
        }
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
        let refusal = if now >= self.outdated.from {
            Some(ErrorKind::Outdated)
        } else {
            self.is_unheard(now).then_some(ErrorKind::Isolated)
        };
        let before = std::mem::replace(&mut self.outdated.refusal, refusal);
        match (before, refusal) {
            (None, Some(kind)) => self.withdraw_all(now, kind),
            (Some(_), None) => {
                let actions = self.revise_requests(now);
                self.apply_dispatch(now, actions);
            }
            _ => {}
        }
    }

    /// Returns whether the follower has reported nothing for so long that the process stood still, and meanwhile a
    /// later configuration that has to be in force may have come, or a target have left that has to be out of use.
    fn is_unheard(&self, now: Time) -> bool {
        self.freshness_valid_until > Time::ZERO && now > self.valid_until()
    }

    /// Returns until when the follower's last report holds.
    pub(super) fn valid_until(&self) -> Time {
        let rows_until = self.refuse_until.min(self.targets_until);
        self.freshness_valid_until.max(rows_until)
    }

    /// Refuses all requests of which nothing has been sent, and lets the others go on without another attempt.
    pub(super) fn withdraw_all(&mut self, now: Time, kind: ErrorKind) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        let actions = ids
            .into_iter()
            .flat_map(|id| self.withdraw(now, id, kind))
            .collect();
        self.apply_dispatch(now, actions);
    }
}

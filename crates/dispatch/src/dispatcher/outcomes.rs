//! What follows when an attempt has ended: answers, retries, refusals and quarantine.

use std::time::Duration;

use base::{ErrorKind, Executed, Refusal, ServiceId, Time};
use rand::RngExt;

use super::{Dispatcher, Entry};
use crate::{
    Action, Outcome, Placement, Quarantine, RequestId, RequestKind, RequestProgress,
    SelectionReason, TargetEvent,
};

/// Minimum time that a request waits for another target after one has refused it.
const RETRY_WAIT: Duration = Duration::from_millis(20);
/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

impl Dispatcher {
    /// Updates the state, the limits and the estimates of a target after an attempt.
    pub(super) fn update_target(
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
                pool.record_response(now, idx, reason, latency);
                self.budget.deposit();
            }
            Outcome::Refused => pool.record_refusal(now, idx),
            Outcome::Unreachable | Outcome::Lost | Outcome::Invalid => {
                let target = &mut pool.targets[idx];
                if target.record_failure(now) {
                    target.apply_event(now, &self.chart, TargetEvent::Failed);
                }
            }
            Outcome::TimedOut | Outcome::Expired | Outcome::Canceled | Outcome::Withheld => {}
        }
    }

    /// Decides what follows for a request after an attempt has ended.
    pub(super) fn update_request(
        &mut self,
        now: Time,
        id: RequestId,
        target: usize,
        outcome: Outcome,
    ) -> (RequestProgress, Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return (RequestProgress::Ended, Vec::new());
        };
        entry.avoid = Some(target);
        if outcome == Outcome::Refused {
            let pool = self.pools.get(&entry.request.service);
            entry.was_refused_remotely |= pool
                .is_some_and(|pool| pool.targets[target].region != self.surroundings.local_region);
        }
        entry.may_have_run |= matches!(
            outcome,
            Outcome::Lost | Outcome::Invalid | Outcome::TimedOut
        );
        if entry.is_answered {
            return self.apply_disposition(now, id, Disposition::Drop);
        }
        let disposition = match outcome {
            Outcome::Answered(_) => {
                entry.is_answered = true;
                Disposition::Complete
            }
            Outcome::Canceled => Disposition::Drop,
            Outcome::Withheld => {
                // Attempts that ended while this one was in flight count as if it had ended now.
                let is_follow_up = !entry.reached.is_empty();
                let may_follow = entry.may_follow(now, &self.quarantine);
                if !is_follow_up || (may_follow && self.budget.try_withdraw()) {
                    entry.wait_deadline = entry.wait_deadline.max(now + RETRY_WAIT);
                    Disposition::Retry
                } else if entry.losses > 0 {
                    Disposition::Refuse(ErrorKind::TargetLost)
                } else {
                    Disposition::Refuse(ErrorKind::TargetRefused)
                }
            }
            Outcome::TimedOut => Disposition::Refuse(ErrorKind::TargetTimeout),
            Outcome::Expired => Disposition::Refuse(ErrorKind::Expired),
            Outcome::Refused | Outcome::Unreachable
                if self.policy.placement == Placement::ObjectAffinity =>
            {
                entry.refusals += 1;
                if outcome == Outcome::Refused {
                    entry.reached.push(target);
                }
                let may_retry = entry.reached.len() < entry.request.max_attempts as usize
                    && entry.refusals < self.policy.max_refusals;
                // An attempt that never connected put no load on a target.
                let has_budget = outcome == Outcome::Unreachable || self.budget.try_withdraw();
                if may_retry && has_budget {
                    entry.wait_deadline = entry.wait_deadline.max(now + RETRY_WAIT);
                    Disposition::Retry
                } else {
                    Disposition::Refuse(ErrorKind::TargetRefused)
                }
            }
            Outcome::Refused | Outcome::Unreachable => {
                entry.refusals += 1;
                if entry.refusals >= self.policy.max_refusals {
                    Disposition::Refuse(ErrorKind::TargetRefused)
                } else {
                    Disposition::Retry
                }
            }
            Outcome::Lost | Outcome::Invalid => {
                entry.losses += 1;
                entry.reached.push(target);
                if entry.may_follow(now, &self.quarantine) && self.budget.try_withdraw() {
                    Disposition::Retry
                } else {
                    Disposition::Refuse(ErrorKind::TargetLost)
                }
            }
        };
        let withdrawn = entry.withdrawn.map(Disposition::Refuse);
        let disposition = match (disposition, withdrawn) {
            (Disposition::Retry, Some(refused)) => refused,
            (disposition, _) => disposition,
        };
        self.apply_disposition(now, id, disposition)
    }

    /// Returns the digest of a target's incarnation; a random one for an unregistered target, so
    /// that each of its losses counts.
    pub(super) fn target_digest(&mut self, service: &ServiceId, target: usize) -> u64 {
        let pool = self.pools.get(service);
        let known = pool.and_then(|pool| pool.targets[target].incarnation_digest());
        known.unwrap_or_else(|| self.rng.random())
    }

    fn apply_disposition(
        &mut self,
        now: Time,
        id: RequestId,
        disposition: Disposition,
    ) -> (RequestProgress, Vec<Action>) {
        let Some(entry) = self.entries.get(&id) else {
            return (RequestProgress::Ended, Vec::new());
        };
        let has_other = !entry.attempts.is_empty();
        match disposition {
            // The other attempt of a hedged request reports its own end later.
            Disposition::Complete | Disposition::Drop if has_other => {
                (RequestProgress::Continues, Vec::new())
            }
            Disposition::Complete | Disposition::Drop => {
                self.entries.remove(&id);
                (RequestProgress::Ended, Vec::new())
            }
            Disposition::Retry | Disposition::Refuse(_) if has_other => {
                (RequestProgress::Continues, Vec::new())
            }
            Disposition::Retry if entry.request.deadline <= now => (
                RequestProgress::Ended,
                self.refuse(now, id, ErrorKind::Expired),
            ),
            Disposition::Retry => {
                self.requeue_for_retry(id);
                (RequestProgress::Continues, Vec::new())
            }
            Disposition::Refuse(kind) => (RequestProgress::Ended, self.refuse(now, id, kind)),
        }
    }

    /// Ends a request with a refusal. One that says that the request did not run is replaced where
    /// an attempt may have run it.
    pub(super) fn refuse(&mut self, now: Time, id: RequestId, kind: ErrorKind) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        let contradicts_run = entry.may_have_run && kind.response().executed == Executed::No;
        let kind = match (contradicts_run, entry.losses) {
            (false, _) => kind,
            (true, 0) => ErrorKind::TargetTimeout,
            (true, _) => ErrorKind::TargetLost,
        };
        let mut refusal = Refusal::new(kind);
        let waits_for_slots = matches!(
            kind,
            ErrorKind::Overloaded | ErrorKind::TargetRefused | ErrorKind::Expired
        );
        let pool = self.pools.get(&entry.request.service);
        if let Some(pool) = pool.filter(|_| waits_for_slots) {
            let mut wait = refusal.retry_after;
            if self.policy.placement == Placement::ObjectAffinity {
                // After half a service time slots have become free, and the objective can still be
                // met.
                wait = (pool.service_time() / 2).max(MIN_RETRY_AFTER);
            }
            let query = self.surroundings.query(&entry.request, &[]);
            let gates = pool.wait_for_gates(now, query).unwrap_or_default();
            refusal = refusal.retry_after(wait.max(gates));
        }
        vec![Action::Refuse(id, refusal)]
    }
}

impl Entry {
    /// Returns whether another attempt may follow those that have reached a target: after a loss only
    /// one, and only of an idempotent request that is neither quarantined nor doubtful.
    fn may_follow(&self, now: Time, quarantine: &Quarantine) -> bool {
        let has_attempts_left = self.reached.len() < self.request.max_attempts as usize;
        let is_repeatable = self.request.kind == RequestKind::Idempotent
            && !quarantine.is_held(self.request.fingerprint)
            && !quarantine.is_doubtful(now, self.request.fingerprint);
        has_attempts_left && (self.losses == 0 || (self.losses == 1 && is_repeatable))
    }
}

/// Lists what can follow for a request after an attempt has ended.
#[derive(Clone, Copy)]
enum Disposition {
    /// The request was answered.
    Complete,
    /// The attempt is no longer needed.
    Drop,
    /// The request is queued for another attempt.
    Retry,
    /// The request is refused.
    Refuse(ErrorKind),
}

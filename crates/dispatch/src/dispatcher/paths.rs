//! The path from this instance to the targets, directly or through other instances.

use std::time::Duration;

use base::{ServiceId, TargetId, Time};
use rand::{Rng, RngExt};

use super::Dispatcher;
use crate::{Dial, Outcome, PathState, RequestId, RequestKind, TargetEvent, TargetState};

/// Number of targets by which the path is checked.
const CHECKED_TARGETS: usize = 3;

/// Number of usual latencies within which a trial must be answered: its connection is new, and targets may
/// have become slower since the path was lost.
const TRIAL_MARGIN: u32 = 2;

impl Dispatcher {
    /// Returns whether connections to targets are opened directly or through other instances.
    pub fn path_state(&self) -> PathState {
        self.path.state()
    }

    /// Returns the time from which the direct path counts as lost.
    pub fn path_lost_since(&self) -> Time {
        self.path.lost_since()
    }

    /// Records how the connection of an attempt was opened and returns whether the state of the
    /// path changed.
    pub fn record_dial(&mut self, now: Time, id: RequestId, attempt: u32, dial: Dial) -> bool {
        if dial.direct == Some(false) || dial.relayed == Some(true) {
            self.fail_trial(now, id, attempt);
        }
        let target = self.target_of(id, attempt).cloned();
        target.is_some_and(|target| self.record_dial_to(now, &target, dial))
    }

    /// Returns whether a direct connection on which a request was just answered may be used again while the
    /// path is lost: the answer came in time.
    pub fn is_in_time(&self, id: RequestId, outcome: Outcome) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| self.is_usual(&entry.request.service, outcome))
    }

    /// Returns whether the first attempt of a request is the trial of the lost path, and if so, counts it.
    ///
    /// Only a request that another attempt may follow, if no answer comes, is one.
    pub(super) fn take_trial(&mut self, now: Time, id: RequestId) -> bool {
        let may_try = self.entries.get(&id).is_some_and(|entry| {
            entry.request.kind == RequestKind::Idempotent
                && entry.request.max_attempts > 1
                && entry.attempts_sent == 0
                && !self.quarantine.is_suspected(entry.request.fingerprint)
        });
        may_try && self.budget.available() >= 1.0 && self.path.take_trial(now)
    }

    /// Records the end of the trial of the lost path.
    pub(super) fn end_trial(&mut self, now: Time, service: &ServiceId, outcome: Outcome) {
        let limit = self.usual_latency(service) * TRIAL_MARGIN;
        let is_in_time = matches!(outcome, Outcome::Answered(latency) if latency <= limit);
        self.path.record_trial(now, is_in_time);
    }

    /// Ends the trial without a result if it could open no direct connection.
    fn fail_trial(&mut self, now: Time, id: RequestId, attempt: u32) {
        let entry = self.entries.get_mut(&id);
        let mut attempts = entry.into_iter().flat_map(|entry| &mut entry.attempts);
        let trial = attempts.find(|one| one.number == attempt && one.is_trial);
        if let Some(trial) = trial {
            trial.is_trial = false;
            self.path.record_trial(now, false);
        }
    }

    /// Returns the time within which nearly all requests of a service are answered; while the path is
    /// lost, as it was before.
    pub(super) fn usual_latency(&self, service: &ServiceId) -> Duration {
        let least = self.policy.min_hedge_delay;
        let before = self.usual_latencies.get(service).copied();
        let pool = || Some(self.pools.get(service)?.latency_bound(least));
        before.or_else(pool).unwrap_or(least)
    }

    fn is_usual(&self, service: &ServiceId, outcome: Outcome) -> bool {
        matches!(outcome, Outcome::Answered(latency) if latency <= self.usual_latency(service))
    }

    /// Records how a connection to a target was opened and returns whether the state of the path
    /// changed.
    pub(super) fn record_dial_to(&mut self, now: Time, target: &TargetId, dial: Dial) -> bool {
        let is_changed = self.path.record_dial(now, target, dial);
        if is_changed {
            self.adapt_to_lost_path(now);
        }
        is_changed
    }

    /// Finds out whether requests are left without any answer, and returns whether the state of the
    /// path changed.
    ///
    /// After a pause of the process, `was_paused`, answers may wait in the sockets unread.
    pub fn check_path(&mut self, now: Time, was_paused: bool) -> bool {
        if was_paused {
            self.path.record_response(now);
        }
        let Some(oldest) = self.oldest_attempt() else {
            return false;
        };
        if !self.path.is_silent(now, oldest) {
            return false;
        }
        let mut overdue: Vec<(&TargetId, Time)> = Vec::new();
        for entry in self.entries.values() {
            let Some(pool) = self.pools.get(&entry.request.service) else {
                continue;
            };
            let usual = pool.latency_bound(self.policy.min_hedge_delay);
            let late = entry
                .attempts
                .iter()
                .filter(|attempt| now - attempt.started_at > usual);
            overdue
                .extend(late.map(|attempt| (&pool.targets[attempt.target].id, attempt.started_at)));
        }
        let is_changed = self.path.record_overdue(&overdue);
        if is_changed {
            self.adapt_to_lost_path(now);
        }
        is_changed
    }

    /// Returns the targets to which connections are to be opened now, directly and through other
    /// instances, because nothing answers any more.
    pub fn due_path_checks(&mut self, now: Time) -> Vec<TargetId> {
        let oldest = self.oldest_attempt();
        if !oldest.is_some_and(|oldest| self.path.take_check(now, oldest)) {
            return Vec::new();
        }
        let mut waiting: Vec<&TargetId> = self
            .entries
            .values()
            .filter_map(|entry| Some((entry, self.pools.get(&entry.request.service)?)))
            .flat_map(|(entry, pool)| {
                let attempts = entry.attempts.iter();
                attempts.map(|attempt| &pool.targets[attempt.target].id)
            })
            .collect();
        waiting.sort();
        waiting.dedup();
        waiting.into_iter().take(CHECKED_TARGETS).cloned().collect()
    }

    /// Returns the target to which a connection is to be opened now to check the path, because one to
    /// `failed` that another instance had asked for could not be opened.
    ///
    /// If another target can be reached directly, the path is sound, and nobody needs to be asked.
    pub fn due_asked_check(&mut self, now: Time, failed: &TargetId) -> Option<TargetId> {
        if !self.path.take_asked_check(now) {
            return None;
        }
        let other = self.any_usable_target(|id| id != failed);
        Some(other.unwrap_or_else(|| failed.clone()))
    }

    /// Returns the time at which the oldest attempt in flight was sent.
    fn oldest_attempt(&self) -> Option<Time> {
        let attempts = self.entries.values().flat_map(|entry| &entry.attempts);
        attempts.map(|attempt| attempt.started_at).min()
    }

    /// Returns a target to which a connection is to be tried now, to see whether the path is back.
    pub(super) fn due_path_probe(&mut self, now: Time) -> Option<TargetId> {
        if !self.path.take_probe(now) {
            return None;
        }
        self.any_usable_target(|_| true)
    }

    /// Returns a drawn target of those that are in use and that `is_meant` selects.
    fn any_usable_target<F>(&mut self, is_meant: F) -> Option<TargetId>
    where
        F: Fn(&TargetId) -> bool,
    {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let usable: Vec<&TargetId> = targets
            .filter(|target| matches!(target.state(), TargetState::Cold | TargetState::Ready))
            .map(|target| &target.id)
            .filter(|id| is_meant(id))
            .collect();
        draw(&mut self.rng, &usable)
    }

    /// Uses targets again that were found down, as the path may have failed, not they, and notes how long
    /// requests took: late answers of the lost path would raise it.
    fn adapt_to_lost_path(&mut self, now: Time) {
        let least = self.policy.min_hedge_delay;
        let latencies = self
            .pools
            .iter()
            .map(|(id, pool)| (id.clone(), pool.latency_bound(least)));
        self.usual_latencies = latencies.collect();
        for target in self.pools.values_mut().flat_map(|pool| &mut pool.targets) {
            target.apply_event(now, &self.chart, TargetEvent::Recovered);
        }
    }
}

/// Draws one of the targets.
pub(super) fn draw<R>(rng: &mut R, targets: &[&TargetId]) -> Option<TargetId>
where
    R: Rng,
{
    let idx = rng.random_range(0..targets.len().max(1));
    targets.get(idx).map(|id| (*id).clone())
}

//! The path from this instance to the targets, directly or through other instances.

use base::{TargetId, Time};
use rand::RngExt;

use super::Dispatcher;
use crate::{Dial, PathState, RequestId, TargetEvent, TargetState};

/// Number of targets by which the path is checked.
const CHECKED_TARGETS: usize = 3;

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
        let target = self.target_of(id, attempt).cloned();
        target.is_some_and(|target| self.record_dial_to(now, &target, dial))
    }

    /// Records how a connection to a target was opened and returns whether the state of the path
    /// changed.
    pub(super) fn record_dial_to(&mut self, now: Time, target: &TargetId, dial: Dial) -> bool {
        let is_changed = self.path.record_dial(now, target, dial);
        if is_changed {
            self.revive_targets(now);
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
            let usual = pool.latency.upper_bound().max(self.policy.min_hedge_delay);
            let late = entry
                .attempts
                .iter()
                .filter(|attempt| now - attempt.started_at > usual);
            overdue
                .extend(late.map(|attempt| (&pool.targets[attempt.target].id, attempt.started_at)));
        }
        let is_changed = self.path.record_overdue(&overdue);
        if is_changed {
            self.revive_targets(now);
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
        let idx = self.rng.random_range(0..usable.len().max(1));
        usable.get(idx).map(|id| (*id).clone())
    }

    /// Uses targets again that were found down: the path may have failed, not they.
    fn revive_targets(&mut self, now: Time) {
        for target in self.pools.values_mut().flat_map(|pool| &mut pool.targets) {
            target.apply_event(now, &self.chart, TargetEvent::Recovered);
        }
    }
}

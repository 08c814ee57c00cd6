//! The path from this instance to the targets, directly or through other instances.

use base::{TargetId, Time};
use rand::RngExt;

use super::Dispatcher;
use crate::{Dial, PathState, RequestId, TargetEvent, TargetState};

impl Dispatcher {
    /// Returns whether connections to targets are opened directly or through other instances.
    pub fn path_state(&self) -> PathState {
        self.path.state()
    }

    /// Returns the time from which the direct path counts as lost.
    pub fn path_lost_since(&self) -> Time {
        self.path.lost_since()
    }

    /// Records how the connection of an attempt was opened and returns whether the state of the path
    /// changed.
    pub fn record_dial(&mut self, now: Time, id: RequestId, attempt: u32, dial: Dial) -> bool {
        let Some(target) = self.target_of(id, attempt).cloned() else {
            return false;
        };
        let is_changed = self.path.record_dial(now, &target, dial);
        if is_changed {
            self.revive_targets(now);
        }
        is_changed
    }

    /// Finds out whether requests are left without any answer, and returns whether the state of the path
    /// changed.
    ///
    /// After a pause of the process, `was_paused`, answers may wait in the sockets unread.
    pub fn check_path(&mut self, now: Time, was_paused: bool) -> bool {
        if was_paused {
            self.path.record_response(now);
        }
        if !self.path.is_silent(now, self.policy.min_hedge_delay) {
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

    /// Returns a target to which a connection is to be tried now, to see whether the path is back.
    pub(super) fn due_path_probe(&mut self, now: Time) -> Option<TargetId> {
        if !self.path.take_probe(now) {
            return None;
        }
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let usable: Vec<&TargetId> = targets
            .filter(|target| matches!(target.state(), TargetState::Cold | TargetState::Ready))
            .map(|target| &target.id)
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

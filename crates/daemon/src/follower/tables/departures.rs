//! Targets that leave by their rows, and since when later rows of targets than the own ones have been known.

use std::time::Duration;

use base::{Config, TargetId, Time};
use coord::Lag;

use crate::table_logs::{log_targets_behind, log_targets_caught_up};

/// Index of the targets' table among the followed ones.
pub(super) const TARGETS: usize = 1;
/// Time for which later rows must have been known for a line about it.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// Follows since when others have reported a later position of the targets' table than the own one.
#[derive(Debug, Default)]
pub(super) struct TargetsLag {
    lag: Lag,
    own_position: u64,
    /// Since when a present time of more than [`LONG_WAIT`] has lasted, once it has been logged.
    logged_since: Option<Time>,
}

impl TargetsLag {
    /// Records the position that another instance reports.
    pub(super) fn on_report(&mut self, now: Time, position: u64) {
        self.lag.on_report(now, position);
    }

    /// Records that a read that was sent at `sent_at` has brought `position`.
    pub(super) fn on_read(&mut self, sent_at: Time, position: u64) {
        self.lag.on_read(sent_at, position);
    }

    /// Records the position of the own copy.
    pub(super) fn on_position(&mut self, position: u64) {
        self.own_position = position;
        self.lag.on_position(position);
    }

    /// Returns since when later rows have been known.
    pub(super) fn behind_since(&self) -> Option<Time> {
        self.lag.behind_since(true)
    }

    /// Returns since when later rows have been known, and logs the begin and the end of a long time.
    pub(super) fn assess(&mut self, now: Time) -> Option<Time> {
        let since = self.behind_since();
        let long = since.filter(|since| now - *since >= LONG_WAIT);
        match (self.logged_since, long) {
            (None, Some(_)) => {
                log_targets_behind(now, long, self.lag.latest_report(), self.own_position);
                self.logged_since = long;
            }
            (Some(before), None) => {
                log_targets_caught_up(now, before, self.own_position);
                self.logged_since = None;
            }
            _ => {}
        }
        since
    }
}

/// Returns the targets that get new requests by the entries of `before` and by those of `after` no longer.
pub(super) fn left(before: &Config, after: &Config) -> Vec<TargetId> {
    let services = before.services.iter();
    let targets = services.flat_map(|(id, service)| {
        let targets = service.targets.keys();
        targets.map(move |target| (id, target))
    });
    let left = targets.filter(|(service, target)| {
        before.is_target_available(service, target) && !after.is_target_available(service, target)
    });
    left.map(|(_, target)| target.clone()).collect()
}

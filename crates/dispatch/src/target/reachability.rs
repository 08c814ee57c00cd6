//! Whether connections to a target can be opened, and when that is tried again.

use std::time::Duration;

use base::Time;

/// Counts failed connections to a target and times those that check whether it is back.
#[derive(Debug, Clone)]
pub(super) struct Reachability {
    /// Consecutive failed connections.
    failures: u32,
    last_probed_at: Time,
    /// Minimum time between two connections that probe whether the target is back.
    probe_backoff: Duration,
    /// When a connection last showed that the target is back.
    found_at: Time,
    /// Minimum time from then until another such connection counts, while no request is answered.
    find_backoff: Duration,
}

/// Initial time between two probes of a target that can't be reached.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum time between two probes of a target that can't be reached.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(4);
/// Consecutive failed connections after which a target counts as down.
const FAILURES_UNTIL_DOWN: u32 = 3;

impl Default for Reachability {
    fn default() -> Self {
        Self {
            failures: 0,
            last_probed_at: Time::ZERO,
            probe_backoff: MIN_PROBE_BACKOFF,
            found_at: Time::ZERO,
            find_backoff: MIN_PROBE_BACKOFF,
        }
    }
}

impl Reachability {
    /// Forgets failed connections, and that they were tried less and less often.
    pub(super) fn reset(&mut self) {
        self.reset_failures();
        self.probe_backoff = MIN_PROBE_BACKOFF;
        self.find_backoff = MIN_PROBE_BACKOFF;
    }

    /// Forgets failed connections.
    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Records a failed connection and returns whether there were so many that the target counts as down;
    /// `is_down` says whether it did before.
    pub(super) fn record_failure(&mut self, now: Time, is_down: bool) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_UNTIL_DOWN {
            return false;
        }
        if !is_down {
            self.last_probed_at = now;
        }
        true
    }

    /// Returns whether a probe is due, and if so, counts it as tried.
    pub(super) fn take_probe(&mut self, now: Time) -> bool {
        let is_due = now - self.last_probed_at >= self.probe_backoff;
        if is_due {
            self.last_probed_at = now;
            self.probe_backoff = (self.probe_backoff * 2).min(MAX_PROBE_BACKOFF);
        }
        is_due
    }

    /// Returns whether an opened connection may count as a find.
    pub(super) fn may_be_found(&self, now: Time) -> bool {
        now - self.found_at >= self.find_backoff
    }

    /// Records that an opened connection showed that the target is back.
    pub(super) fn record_find(&mut self, now: Time) {
        self.found_at = now;
        self.find_backoff = (self.find_backoff * 2).min(MAX_PROBE_BACKOFF);
    }
}

//! Whether connections to a target can be opened, and when that is tried again.

use std::time::Duration;

use base::Time;
use chart::Chart;

use super::{Target, TargetEvent, TargetState};

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
}

impl Target {
    /// Records a failed connection at `now` and returns whether the target counts as down now.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let reachability = &mut self.reachability;
        reachability.failures += 1;
        if reachability.failures < FAILURES_UNTIL_DOWN {
            return false;
        }
        if self.condition != TargetState::Down {
            reachability.last_probed_at = now;
        }
        true
    }

    /// Returns whether a connection is to be tried now to see whether the target is back, and if
    /// so, counts it as tried.
    ///
    /// The time between two of them grows until a request is answered, so that a target that only
    /// accepts connections is not taken for a sound one again and again.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let may_probe = self.state() == TargetState::Down && self.is_registered();
        let reachability = &mut self.reachability;
        let is_due = may_probe && now - reachability.last_probed_at >= reachability.probe_backoff;
        if is_due {
            reachability.last_probed_at = now;
            reachability.probe_backoff = (reachability.probe_backoff * 2).min(MAX_PROBE_BACKOFF);
        }
        is_due
    }

    /// Returns whether a connection to the target, which is down, may show now that it is back.
    ///
    /// A target that accepts connections and answers nothing is found less and less often.
    pub(crate) fn may_be_found(&self, now: Time) -> bool {
        let reachability = &self.reachability;
        self.state() == TargetState::Down
            && now - reachability.found_at >= reachability.find_backoff
    }

    /// Records that a connection could be opened, and returns whether the target was down.
    pub(crate) fn record_find(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
    ) -> bool {
        let is_found = self.apply_event(now, chart, TargetEvent::Recovered);
        if is_found {
            let reachability = &mut self.reachability;
            reachability.found_at = now;
            reachability.find_backoff = (reachability.find_backoff * 2).min(MAX_PROBE_BACKOFF);
        }
        is_found
    }
}

//! The pace at which a cold target gets work.

use std::time::Duration;

use base::Time;

/// Limits what a target gets while it is cold, and decides when it is no longer.
#[derive(Debug, Clone)]
pub(super) struct WarmUp {
    began_at: Time,
    /// Time until which a registered target is cold.
    until: Time,
    /// Minimum time between two requests of this instance while the target is cold.
    interval: Duration,
    next_send_at: Time,
}

/// Interval at and above which an instance sends nothing to a cold target.
const MAX_COLD_INTERVAL: Duration = Duration::from_secs(3_600);
/// Time over which the concurrency of a cold target that is not registered grows to all its slots.
const WARM_UP_TIME: Duration = Duration::from_secs(5);

impl WarmUp {
    /// Returns the warm-up of an unregistered target that is cold from `now` on.
    pub(super) fn new(now: Time) -> Self {
        Self {
            began_at: now,
            until: Time::ZERO,
            interval: Duration::ZERO,
            next_send_at: Time::ZERO,
        }
    }

    /// Records that the target is cold from `now` on.
    pub(super) fn begin(&mut self, now: Time) {
        self.began_at = now;
    }

    /// Sets the minimum time between two requests of this instance.
    pub(super) fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Keeps a registered target cold at least until `until`.
    pub(super) fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Returns whether the time is over in which the target is cold.
    pub(super) fn is_over(&self, now: Time, is_registered: bool) -> bool {
        if is_registered {
            now >= self.until
        } else {
            now - self.began_at >= WARM_UP_TIME
        }
    }

    /// Returns how many of its slots a target that is not registered may use by now.
    pub(super) fn usable_slots(&self, now: Time, slots: u32) -> u32 {
        let progress = (now - self.began_at).as_secs_f64() / WARM_UP_TIME.as_secs_f64();
        1 + (f64::from(slots) * progress.min(1.0)) as u32
    }

    /// Returns whether this instance may send the next request.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.interval < MAX_COLD_INTERVAL && now >= self.next_send_at
    }

    /// Records that this instance sends a request.
    pub(super) fn record_send(&mut self, now: Time) {
        self.next_send_at = now + self.interval;
    }
}

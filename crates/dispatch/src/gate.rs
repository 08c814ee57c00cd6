//! When this instance may send the next request to a target, by the pauses and rates that the target has asked for.

use std::time::Duration;

use base::Time;

use crate::{RateRank, RateReport, SharedRate};

/// Limits what this instance sends to a target: nothing during a pause that the target has asked for, and its part of the
/// rate that the target takes from all instances.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::SendGate;
/// use std::time::Duration;
///
/// let mut gate = SendGate::default();
/// let now = Time::from_secs(1);
/// assert!(gate.rest(now, Duration::from_secs(3)));
/// assert_eq!(gate.wait(Time::from_secs(2), false), Some(Duration::from_secs(2)));
/// assert_eq!(gate.wait(Time::from_secs(4), false), Some(Duration::ZERO));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SendGate {
    /// End of the pause that the target has asked for.
    rest_until: Time,
    /// Whether the target has run no request since it last asked for a pause.
    is_on_trial: bool,
    rate: SharedRate,
    rank: RateRank,
}

impl SendGate {
    /// Returns how long this instance must wait before it sends a request; `None` if it is not its
    /// turn before other instances have been silent for longer.
    ///
    /// `has_request` says whether a request of this instance is on the target.
    pub fn wait(&self, now: Time, has_request: bool) -> Option<Duration> {
        let by_rate = self.rate.wait(now, self.rank, has_request)?;
        Some(by_rate.max(self.rest_until - now))
    }

    /// Records that the target asks for a pause of this length, and returns whether none was in force.
    ///
    /// A pause is never shortened: each of the target's answers counts on its own.
    pub fn rest(&mut self, now: Time, rest: Duration) -> bool {
        let is_new = self.rest_until <= now;
        self.rest_until = self.rest_until.max(now + rest);
        self.is_on_trial = true;
        is_new
    }

    /// Returns whether the target may get only one request at a time, because it has run none since its last pause.
    pub fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Records that the target ran a request.
    pub fn record_run(&mut self) {
        self.is_on_trial = false;
    }

    /// Records that this instance sends a request.
    pub fn record_send(&mut self, now: Time) {
        self.rate.record_send(now, self.rank);
    }

    /// Returns the rate that the target names, in requests per second.
    pub fn named_rate(&self) -> Option<f64> {
        self.rate.per_s()
    }

    /// Records an answer to a request sent at `sent_at` that names this rate, and returns whether
    /// the rate changed.
    pub fn record_named_rate(&mut self, now: Time, sent_at: Time, per_s: Option<f64>) -> bool {
        self.rate.observe(now, sent_at, per_s)
    }

    /// Merges what another instance has learned of the rate and returns whether it changed.
    pub fn merge_rate_report(
        &mut self,
        now: Time,
        not_before: Option<Time>,
        report: &RateReport,
    ) -> bool {
        self.rate.merge(now, not_before, report)
    }

    /// Returns what this instance has learned of the rate recently.
    pub fn rate_report(&self, now: Time, target_digest: u64) -> Option<RateReport> {
        self.rate.report(now, target_digest)
    }

    /// Returns the position of this instance among those that share the rate.
    pub fn rate_rank(&self) -> RateRank {
        self.rank
    }

    /// Sets the position of this instance among those that share the rate.
    pub fn set_rate_rank(&mut self, rank: RateRank) {
        self.rank = rank;
    }
}

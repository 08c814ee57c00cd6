//! A rate that a target takes from all instances together, and this instance's part of it.

use std::time::Duration;

use base::Time;
use serde::{Deserialize, Serialize};

/// Reports to the other instances which rate a target has asked for.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Digest of the target and its incarnation.
    pub target_digest: u64,
    /// Requests per second that the target takes from all instances; `None` if it names none.
    pub per_s: Option<f64>,
    /// Time since the target was last known to ask for this rate.
    pub age: Duration,
}

/// Determines an instance's part of the rate that a target names, by its position among the others.
///
/// The running instances are ranked for each target, those of its region first. The first ones share
/// its rate equally; the others send only if all of those are silent.
///
/// # Examples
///
/// ```
/// use dispatch::RateRank;
///
/// let rank = RateRank { position: 2, local_count: 3 };
/// assert_eq!((rank.senders(6.5), rank.senders(1.2)), (3, 1));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateRank {
    /// Position of this instance, starting at zero.
    pub position: u32,
    /// Number of running instances in the target's region, or of all of them where it has none.
    pub local_count: u32,
}

impl RateRank {
    /// Returns the number of instances that share a rate. A lower rate has fewer senders, so that
    /// each may send a request every second.
    pub fn senders(&self, per_s: f64) -> u32 {
        (per_s as u32).min(self.local_count).max(1)
    }
}

/// Tracks the rate that a target names, and limits what this instance sends to its part of it.
///
/// A named rate holds until the target answers a later request without naming one. What others
/// have learned counts like an own answer.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{RateRank, SharedRate};
/// use std::time::Duration;
///
/// let mut rate = SharedRate::default();
/// let now = Time::from_secs(1);
/// rate.observe(now, Time::ZERO, Some(4.0));
/// let rank = RateRank { position: 0, local_count: 2 };
/// // Two instances share four requests a second, so this one sends two a second.
/// assert_eq!(rate.wait(now, rank, false), Some(Duration::from_millis(500)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SharedRate {
    per_s: Option<f64>,
    /// Latest time at which the target is known to have named the rate.
    named_at: Time,
    /// Time at which the last answer without a rate had been asked for.
    lifted_at: Time,
    /// What this instance has learned from the target itself, and when.
    own: Option<(Option<f64>, Time)>,
    tokens: f64,
    refilled_at: Time,
}

/// Rate below which a target still gets requests that show whether it names a rate, per second.
const MIN_RATE_PER_S: f64 = 0.25;
/// Time without updates of a target after which instances that don't share its rate may send to it.
const SILENCE_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which own observations are reported to the other instances.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Requests that all senders together may send at once, as a time at the named rate.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Requests that all senders together may send at once beyond [`BURST_TIME`].
const BURST_REQUESTS: f64 = 2.0;

impl SharedRate {
    /// Returns the rate that the target names, in requests per second.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Records an answer of the target to a request sent at `sent_at` and returns whether the named
    /// rate changed.
    pub fn observe(&mut self, now: Time, sent_at: Time, per_s: Option<f64>) -> bool {
        if per_s.is_some() {
            self.own = Some((per_s, now));
            return self.name(now, now, per_s);
        }
        // An answer that was under way when the target named its rate says nothing of it.
        if self.per_s.is_some() && sent_at <= self.named_at {
            return false;
        }
        if self.own.is_some() || self.per_s.is_some() {
            self.own = Some((None, sent_at));
        }
        self.lift(sent_at)
    }

    /// Merges what another instance has learned and returns whether the named rate changed.
    ///
    /// `not_before` is the earliest time at which the report can have been sent, if it is known.
    pub fn merge(&mut self, now: Time, not_before: Option<Time>, report: &RateReport) -> bool {
        match report.per_s {
            Some(_) => self.name(now, subtract(now, report.age), report.per_s),
            None => not_before.is_some_and(|sent| self.lift(subtract(sent, report.age))),
        }
    }

    /// Returns what this instance has learned recently from the target itself.
    pub fn report(&self, now: Time, target_digest: u64) -> Option<RateReport> {
        let (per_s, at) = self.own?;
        let age = now - at;
        (age <= REPORT_TTL).then_some(RateReport {
            target_digest,
            per_s,
            age,
        })
    }

    /// Returns how long this instance must wait before it sends a request; `None` if it is not its
    /// turn before other instances have been silent for longer.
    ///
    /// `has_request` says whether a request of this instance is on the target.
    pub fn wait(&self, now: Time, rank: RateRank, has_request: bool) -> Option<Duration> {
        let Some(per_s) = self.per_s.map(|per_s| per_s.max(MIN_RATE_PER_S)) else {
            return Some(Duration::ZERO);
        };
        let senders = rank.senders(per_s);
        if rank.position < senders {
            let missing = 1.0 - self.tokens(now, per_s, senders);
            let share = per_s / f64::from(senders);
            return Some(Duration::from_secs_f64((missing / share).max(0.0)));
        }
        // The next instance may send once all before it have had the time for a request.
        let turns = f64::from(rank.position - senders + 1);
        let turn_at = self.named_at + SILENCE_GRACE + Duration::from_secs_f64(turns / per_s);
        (turn_at <= now && !has_request).then_some(Duration::ZERO)
    }

    /// Records that this instance sends a request.
    pub fn record_send(&mut self, now: Time, rank: RateRank) {
        let Some(per_s) = self.per_s.map(|per_s| per_s.max(MIN_RATE_PER_S)) else {
            return;
        };
        self.tokens = (self.tokens(now, per_s, rank.senders(per_s)) - 1.0).max(0.0);
        self.refilled_at = now;
    }

    fn tokens(&self, now: Time, per_s: f64, senders: u32) -> f64 {
        let senders = f64::from(senders);
        let burst = per_s * BURST_TIME.as_secs_f64() + BURST_REQUESTS;
        let refill = (now - self.refilled_at).as_secs_f64() * per_s / senders;
        (self.tokens + refill).min((burst / senders).max(1.0))
    }

    fn name(&mut self, now: Time, at: Time, per_s: Option<f64>) -> bool {
        if at <= self.lifted_at || at < self.named_at {
            return false;
        }
        self.named_at = at;
        if self.per_s.is_none() {
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }

    fn lift(&mut self, sent_at: Time) -> bool {
        if sent_at <= self.named_at {
            return false;
        }
        self.lifted_at = self.lifted_at.max(sent_at);
        self.per_s.take().is_some()
    }
}

fn subtract(at: Time, age: Duration) -> Time {
    Time::ZERO + (at - Time::ZERO).saturating_sub(age)
}

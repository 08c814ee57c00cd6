//! Token requests of a holder to the owner, and the grants that answer them.

use std::time::Duration;

use base::Time;

use super::QuotaHolder;
use crate::{Grant, GrantRequest, GrantUsage};

/// Time without an answer after which a token request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two token requests.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Weight of a new sample in the moving average of the round-trip time.
const ROUND_TRIP_GAIN: f64 = 0.2;
/// Time beyond a round trip for which expected demand is requested ahead.
const PREFETCH_MARGIN: Duration = Duration::from_millis(100);
/// Maximum time for which an owner that granted too little is not asked again: it may get to know of a
/// higher quota later than the holder.
const MAX_EXHAUSTED_TIME: Duration = Duration::from_secs(1);

/// Repeats a token request until the owner answers it.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) request: GrantRequest,
    pub(super) sent_at: Time,
    /// Time at which the present owner was first asked.
    asked_at: Option<Time>,
    pub(super) resend_at: Time,
}

/// Tracks how much of a grant is spent, until the owner no longer needs reports of it.
#[derive(Debug, Clone)]
pub(super) struct HeldGrant {
    pub(super) usage: GrantUsage,
    pub(super) valid_until: Time,
    pub(super) forget_at: Time,
}

impl QuotaHolder {
    /// Returns the token request to send to the owner now, if any, given the number of waiting
    /// callers' requests.
    pub fn next_grant_request(&mut self, now: Time, waiting: u32) -> Option<GrantRequest> {
        self.owner.as_ref()?;
        self.expire(now);
        if let Some(pending) = &mut self.pending {
            return pending.resend(now);
        }
        if self.is_exhausted(now) || now - self.requested_at < MIN_REQUEST_INTERVAL {
            return None;
        }
        let wanted = self.wanted(now, waiting)?;
        Some(self.new_request(now, waiting, wanted))
    }

    /// Applies the owner's answer and returns whether it belongs to the pending request.
    ///
    /// If fewer tokens were granted than callers' requests waited for, the quota counts as
    /// exhausted until the grant's retry delay is over, for a second at most.
    pub fn on_grant(&mut self, now: Time, grant: &Grant) -> bool {
        let is_pending = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.request.serial == grant.serial);
        if !is_pending {
            return false;
        }
        let Some(pending) = self.pending.take() else {
            return false;
        };
        let sample = (now - pending.sent_at).as_secs_f64();
        let old = self.round_trip.as_secs_f64();
        self.round_trip = Duration::from_secs_f64(old + ROUND_TRIP_GAIN * (sample - old));
        if grant.tokens < pending.request.waiting {
            self.emptied_at = Some(pending.sent_at);
            self.exhausted_until = now + grant.retry_after.min(MAX_EXHAUSTED_TIME);
            self.token_expected_at = now + grant.retry_after;
        }
        self.add_grant(grant, pending.sent_at);
        true
    }

    /// Returns the time at which [`QuotaHolder::next_grant_request`] sends the pending request
    /// again.
    pub fn resend_at(&self) -> Option<Time> {
        self.pending.as_ref().map(|pending| pending.resend_at)
    }

    /// Returns when the owner is asked again, if it should have answered the pending request by now, even if one message of
    /// it was lost.
    pub(super) fn next_question_at(&self, now: Time) -> Option<Time> {
        let answer_time = RESEND_INTERVAL + self.round_trip * 2;
        let pending = self.pending.as_ref()?;
        let is_overdue = pending.asked_at.is_some_and(|at| now - at > answer_time);
        is_overdue.then(|| pending.sent_at + self.split.holder_grant_ttl())
    }

    /// Returns the number of tokens to request, if any are needed.
    fn wanted(&mut self, now: Time, waiting: u32) -> Option<u32> {
        let available = self.available(now);
        let reserved_rate: f64 = self
            .reservations
            .values()
            .filter(|reservation| reservation.is_usable(now))
            .map(|reservation| reservation.bucket.quota().rate)
            .sum();
        let per_s = (self.demand.per_second(now) - reserved_rate).max(0.0);
        let lead_s = (self.round_trip + PREFETCH_MARGIN).as_secs_f64();
        let expected = per_s * lead_s;
        // A holder with little demand requests nothing ahead: tokens that it kept unspent would be
        // missing elsewhere.
        let is_enough = waiting == 0 && available >= expected.floor();
        if is_enough {
            return None;
        }
        let half_ttl_s = self.split.grant_ttl.as_secs_f64() / 2.0;
        let ahead = expected + per_s * half_ttl_s.min(lead_s);
        let wanted = (ahead.floor() + f64::from(waiting) - available).ceil();
        (wanted >= 1.0).then_some(wanted as u32)
    }

    fn new_request(&mut self, now: Time, waiting: u32, wanted: u32) -> GrantRequest {
        self.serial += 1;
        self.requested_at = now;
        let request = GrantRequest {
            serial: self.serial,
            waiting,
            wanted,
            usage: self.grants.iter().map(|grant| grant.usage).collect(),
        };
        self.pending = Some(PendingRequest {
            request: request.clone(),
            sent_at: now,
            asked_at: Some(now),
            resend_at: now + RESEND_INTERVAL,
        });
        request
    }

    fn add_grant(&mut self, grant: &Grant, sent_at: Time) {
        let usage = GrantUsage {
            epoch: grant.epoch,
            serial: grant.serial,
            unspent: grant.tokens,
            spent: 0,
        };
        self.grants.push_back(HeldGrant {
            usage,
            valid_until: sent_at + self.split.holder_grant_ttl(),
            forget_at: sent_at + self.split.owner_grant_ttl() * 2,
        });
    }

    /// Expires grants, and gives up on a request whose grant would have expired.
    ///
    /// Such a request is reported as an empty grant, so that the owner takes back the tokens that
    /// did not arrive.
    pub(super) fn expire(&mut self, now: Time) {
        for grant in &mut self.grants {
            if grant.valid_until <= now {
                grant.usage.unspent = 0;
            }
        }
        self.grants.retain(|grant| grant.forget_at > now);
        let is_expired = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.sent_at + self.split.holder_grant_ttl() <= now);
        if is_expired && let Some(pending) = self.pending.take() {
            let empty = Grant {
                epoch: 0,
                serial: pending.request.serial,
                tokens: 0,
                retry_after: Duration::ZERO,
            };
            self.add_grant(&empty, pending.sent_at);
        }
    }
}

impl PendingRequest {
    fn resend(&mut self, now: Time) -> Option<GrantRequest> {
        if now < self.resend_at {
            return None;
        }
        self.resend_at = now + RESEND_INTERVAL;
        self.asked_at.get_or_insert(now);
        Some(self.request.clone())
    }

    /// Lets another owner be asked at once, which hasn't been silent yet.
    pub(super) fn ask_anew(&mut self) {
        self.asked_at = None;
        self.resend_at = Time::ZERO;
    }
}

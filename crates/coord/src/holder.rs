//! Holders of a quota, which spend reservations and granted tokens.

mod requests;
mod reservation;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::Time;

use self::{
    requests::{HeldGrant, PendingRequest},
    reservation::Reservation,
};
use crate::{AdmissionDecision, OwnerId, Quota, QuotaSplit, demand::DemandEstimate};

/// Spends the reservations and grants of one instance.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{AdmissionDecision, Quota, QuotaHolder, QuotaSplit, SlotHistory};
///
/// let split = QuotaSplit { reserved_share: 1.0, slots: 1, ..QuotaSplit::default() };
/// let mut holder = QuotaHolder::new(Quota { rate: 1.0, burst: 1.0 }, split);
/// holder.hold_slot(Time::ZERO, 0, Time::from_secs(60), SlotHistory::NeverHeld);
/// assert_eq!(holder.admit(Time::ZERO), AdmissionDecision::Admit);
/// ```
#[derive(Debug, Clone)]
pub struct QuotaHolder {
    split: QuotaSplit,
    whole: Quota,
    reservation_quota: Quota,
    reservations: BTreeMap<u32, Reservation>,
    grants: VecDeque<HeldGrant>,
    pending: Option<PendingRequest>,
    serial: u64,
    requested_at: Time,
    /// Time until which the owner is not asked again after it has granted too little.
    exhausted_until: Time,
    /// Time at which the owner expects a token by its last answer.
    token_expected_at: Time,
    /// Time of the last question to which the owner granted too little: it had no token left.
    emptied_at: Option<Time>,
    owner: Option<OwnerId>,
    round_trip: Duration,
    demand: DemandEstimate,
    /// Tokens taken per second.
    taken: DemandEstimate,
}

/// Indicates whether tokens of a slot's reservations may have been spent by an earlier holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotHistory {
    /// The slot was never held: its reservations start full.
    NeverHeld,
    /// The last holder had ended by this time: its reservations are empty at that time.
    EndedBy(Time),
}

impl SlotHistory {
    /// Returns the history of a slot whose tokens may have been spent until `at`, if that is later.
    pub fn not_before(self, at: Option<Time>) -> Self {
        match (self, at) {
            (history, None) => history,
            (Self::NeverHeld, Some(at)) => Self::EndedBy(at),
            (Self::EndedBy(ended), Some(at)) => Self::EndedBy(ended.max(at)),
        }
    }
}

/// Round-trip time to the owner that is assumed before its first answer.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(20);
/// Factor by which a grant may exceed what the tokens taken lately let expect, as other holders may want less than before.
const EXPECTED_MARGIN: f64 = 2.0;
/// Minimum delay after which a refused request may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

impl QuotaHolder {
    /// Returns a holder with no reservations, no grants and no owner.
    pub fn new(whole: Quota, split: QuotaSplit) -> Self {
        Self {
            split,
            whole,
            reservation_quota: split.reservation(whole),
            reservations: BTreeMap::new(),
            grants: VecDeque::new(),
            pending: None,
            serial: 0,
            requested_at: Time::ZERO,
            exhausted_until: Time::ZERO,
            token_expected_at: Time::ZERO,
            emptied_at: None,
            owner: None,
            round_trip: INITIAL_ROUND_TRIP,
            demand: DemandEstimate::default(),
            taken: DemandEstimate::default(),
        }
    }

    /// Sets the whole quota, of which this holder has a part, and returns whether it was another one. What
    /// the owner said of that one counts no more.
    pub fn set_quota(&mut self, now: Time, whole: Quota) -> bool {
        let is_changed = std::mem::replace(&mut self.whole, whole) != whole;
        if is_changed {
            self.exhausted_until = Time::ZERO;
            self.token_expected_at = Time::ZERO;
            self.emptied_at = None;
        }
        self.reservation_quota = self.split.reservation(whole);
        for reservation in self.reservations.values_mut() {
            reservation.bucket.set_quota(now, self.reservation_quota);
        }
        is_changed
    }

    /// Sets the owner to which requests and loans are sent.
    pub fn set_owner(&mut self, owner: Option<OwnerId>) {
        if self.owner != owner
            && let Some(pending) = &mut self.pending
        {
            pending.ask_anew();
        }
        self.owner = owner;
    }

    /// Returns the owner to which requests and loans are sent.
    pub fn owner(&self) -> Option<&OwnerId> {
        self.owner.as_ref()
    }

    /// Takes a token for a new request, and counts the request as demand.
    pub fn admit(&mut self, now: Time) -> AdmissionDecision {
        if self.whole.is_unlimited() {
            return AdmissionDecision::Admit;
        }
        self.demand.record_request(now);
        if self.try_take(now) {
            return AdmissionDecision::Admit;
        }
        if self.owner.is_none() {
            return AdmissionDecision::Refuse(self.time_until_reserved_token(now));
        }
        if self.waits_in_vain(now) {
            return AdmissionDecision::Refuse(self.retry_after(now));
        }
        AdmissionDecision::Wait
    }

    /// Takes a token for a request that has waited, which is not counted as demand again, and
    /// returns whether one was available.
    pub fn try_take(&mut self, now: Time) -> bool {
        if self.whole.is_unlimited() {
            return true;
        }
        self.expire(now);
        let is_taken = self.try_take_granted()
            || self
                .reservations
                .values_mut()
                .any(|reservation| reservation.try_take(now));
        if is_taken {
            self.taken.record_request(now);
        }
        is_taken
    }

    fn try_take_granted(&mut self) -> bool {
        let unspent = self.grants.iter_mut().find(|grant| grant.usage.unspent > 0);
        unspent.is_some_and(|grant| {
            grant.usage.unspent -= 1;
            grant.usage.spent += 1;
            true
        })
    }

    /// Returns the number of tokens that can be taken now.
    pub fn available(&mut self, now: Time) -> f64 {
        self.expire(now);
        let granted: u32 = self.grants.iter().map(|grant| grant.usage.unspent).sum();
        let reserved: f64 = self
            .reservations
            .values_mut()
            .filter(|reservation| reservation.is_usable(now))
            .map(|reservation| reservation.bucket.level(now))
            .sum();
        f64::from(granted) + reserved
    }

    /// Returns whether the owner has granted too little and is not asked again yet.
    pub fn is_exhausted(&self, now: Time) -> bool {
        now < self.exhausted_until
    }

    /// Returns whether waiting for a grant brings nothing: the owner has none to give, or should have answered by now.
    pub fn waits_in_vain(&self, now: Time) -> bool {
        self.is_exhausted(now) || self.next_question_at(now).is_some()
    }

    /// Returns the delay after which a refused request may be retried.
    pub fn retry_after(&self, now: Time) -> Duration {
        let wait = match self.next_question_at(now) {
            Some(at) => self.time_until_reserved_token(now).min(at - now),
            None => self.token_expected_at - now,
        };
        wait.max(MIN_RETRY_AFTER)
    }

    /// Returns how many tokens per second can be expected here: as many as were taken lately, and an equal part of the quota
    /// at least; `None` while the owner doesn't answer.
    pub fn expected_rate(&mut self, now: Time) -> Option<f64> {
        if self.next_question_at(now).is_some() {
            return None;
        }
        let equal_part = self.whole.rate / f64::from(self.split.slots.max(1));
        let taken = self.taken.per_second(now);
        Some(taken.max(equal_part).min(self.whole.rate))
    }

    /// Returns how many waiting requests can expect a token of the owner's next answer, if it ever granted too little: twice as many
    /// as have become available here between that question and the next one.
    pub fn expected_tokens(&mut self, now: Time) -> Option<f64> {
        let emptied_at = self.emptied_at?;
        let asked_at = self.pending.as_ref().map_or(now, |pending| pending.sent_at);
        let rate = (EXPECTED_MARGIN * self.expected_rate(now)?).min(self.whole.rate);
        Some(1.0 + rate * (asked_at - emptied_at).as_secs_f64())
    }

    fn time_until_reserved_token(&self, now: Time) -> Duration {
        self.reservations
            .values()
            .map(|reservation| {
                (reservation.usable_from - now) + reservation.bucket.time_until_token(0.0)
            })
            .min()
            .unwrap_or(Duration::from_secs(1))
    }
}

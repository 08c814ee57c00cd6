//! Holders of a quota, which spend reservations and granted tokens.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::Time;

use crate::{
    AdmissionDecision, Grant, GrantRequest, GrantUsage, Loan, OwnerId, Quota, QuotaSplit,
    TokenBucket, demand::DemandEstimate,
};

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
    owner: Option<OwnerId>,
    round_trip: Duration,
    demand: DemandEstimate,
}

/// Tells whether tokens of a slot's reservations may have been spent by an earlier holder.
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

/// Tracks whether the holder of a slot may spend its reservation itself, or has lent it to an
/// owner.
#[derive(Debug, Clone)]
struct Reservation {
    bucket: TokenBucket,
    /// Time from which it may be spent: the end of the last loan and of the grants made from it.
    usable_from: Time,
    held_until: Time,
    lent_to: Option<OwnerId>,
    loan_count: u64,
}

/// Time without an answer after which a token request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two token requests.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Round-trip time to the owner that is assumed before its first answer.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(20);
/// Weight of a new sample in the moving average of the round-trip time.
const ROUND_TRIP_GAIN: f64 = 0.2;
/// Time beyond a round trip for which expected demand is requested ahead.
const PREFETCH_MARGIN: Duration = Duration::from_millis(100);

/// Maximum time for which an owner that granted too little is not asked again: it may get to know of a
/// higher quota later than the holder.
const MAX_EXHAUSTED_TIME: Duration = Duration::from_secs(1);

/// Multiple of its demand that a holder does not lend, so that uneven arrivals find tokens.
const DEMAND_MARGIN: f64 = 1.25;

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
            owner: None,
            round_trip: INITIAL_ROUND_TRIP,
            demand: DemandEstimate::default(),
        }
    }

    /// Sets the whole quota, of which this holder has a part. What the owner said of another one counts
    /// no more.
    pub fn set_quota(&mut self, now: Time, whole: Quota) {
        if std::mem::replace(&mut self.whole, whole) != whole {
            self.exhausted_until = Time::ZERO;
            self.token_expected_at = Time::ZERO;
        }
        self.reservation_quota = self.split.reservation(whole);
        for reservation in self.reservations.values_mut() {
            reservation.bucket.set_quota(now, self.reservation_quota);
        }
    }

    /// Acquires a slot's reservations or renews the right to them, until a time.
    ///
    /// Reservations of a slot that was never held start full. Others start empty, and not before
    /// the previous holder has ended and the loans that it may have made are over.
    pub fn hold_slot(&mut self, now: Time, slot: u32, until: Time, history: SlotHistory) {
        for number in self.split.slot_reservations(slot) {
            self.hold_reservation(now, number, until, history);
        }
    }

    fn hold_reservation(&mut self, now: Time, number: u32, until: Time, history: SlotHistory) {
        if let Some(reservation) = self.reservations.get_mut(&number) {
            reservation.held_until = until;
            return;
        }
        // A reservation that is never lent has no outstanding loans.
        let (usable_from, bucket) = match history {
            SlotHistory::NeverHeld => (now, TokenBucket::full(now, self.reservation_quota)),
            SlotHistory::EndedBy(at) => {
                let is_never_lent = self.split.is_never_lent(number, self.reservation_quota);
                let wait = self.split.lender_wait();
                let usable_from = if is_never_lent { at } else { at + wait };
                (
                    usable_from,
                    TokenBucket::empty(usable_from, self.reservation_quota),
                )
            }
        };
        let reservation = Reservation {
            bucket,
            usable_from,
            held_until: until,
            lent_to: None,
            loan_count: 0,
        };
        self.reservations.insert(number, reservation);
    }

    /// Releases a slot's reservations.
    pub fn release_slot(&mut self, slot: u32) {
        for number in self.split.slot_reservations(slot) {
            self.reservations.remove(&number);
        }
    }

    /// Lends reservations to the owner and returns the loans.
    ///
    /// A lent reservation is not spent here until the loan and all grants made from it are over,
    /// and starts empty then. This holds whether or not the owner receives the loan. A reservation
    /// that is lent to another owner is lent again only when that loan is over.
    pub fn lend(&mut self, now: Time) -> Vec<Loan> {
        let Some(owner) = self.owner.clone() else {
            return Vec::new();
        };
        let wait = self.split.lender_wait();
        let retained = self.retained_count(now);
        let (split, quota) = (self.split, self.reservation_quota);
        self.reservations
            .iter_mut()
            .skip(retained)
            .filter(|(number, _)| !split.is_never_lent(**number, quota))
            .filter_map(|(number, reservation)| reservation.lend(now, *number, &owner, wait))
            .collect()
    }

    /// Returns the number of reservations, from the first one on, that this holder's own demand
    /// needs.
    fn retained_count(&mut self, now: Time) -> usize {
        if !self.split.lends_only_surplus || self.reservation_quota.burst < 1.0 {
            return 0;
        }
        let needed =
            self.demand.per_second(now) * DEMAND_MARGIN / self.reservation_quota.rate.max(1e-9);
        (needed.ceil() as usize).max(1)
    }

    /// Records that an owner no longer uses the reservations that were lent to it.
    pub fn on_loans_returned(&mut self, now: Time, owner: &OwnerId) {
        let usable_from = now + self.split.owner_grant_ttl();
        for reservation in self.reservations.values_mut() {
            if reservation.lent_to.as_ref() == Some(owner) && reservation.usable_from > usable_from
            {
                reservation.suspend_until(usable_from);
            }
        }
    }

    /// Sets the owner to which requests and loans are sent.
    pub fn set_owner(&mut self, owner: Option<OwnerId>) {
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
        if self.is_exhausted(now) {
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
        let unspent = self.grants.iter_mut().find(|grant| grant.usage.unspent > 0);
        if let Some(grant) = unspent {
            grant.usage.unspent -= 1;
            grant.usage.spent += 1;
            return true;
        }
        self.reservations
            .values_mut()
            .any(|reservation| reservation.try_take(now))
    }

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
            self.exhausted_until = now + grant.retry_after.min(MAX_EXHAUSTED_TIME);
            self.token_expected_at = now + grant.retry_after;
        }
        self.add_grant(grant, pending.sent_at);
        true
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

    /// Returns the delay after which a refused request may be retried.
    pub fn retry_after(&self, now: Time) -> Duration {
        let wait = self.token_expected_at - now;
        wait.max(Duration::from_millis(10))
    }

    /// Returns the time at which [`QuotaHolder::next_grant_request`] sends the pending request
    /// again.
    pub fn resend_at(&self) -> Option<Time> {
        self.pending.as_ref().map(|pending| pending.resend_at)
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
    fn expire(&mut self, now: Time) {
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

impl Reservation {
    fn is_usable(&self, now: Time) -> bool {
        now >= self.usable_from && now < self.held_until
    }

    fn try_take(&mut self, now: Time) -> bool {
        self.is_usable(now) && self.bucket.try_take(now)
    }

    fn lend(&mut self, now: Time, number: u32, to: &OwnerId, wait: Duration) -> Option<Loan> {
        let is_renewal = self.lent_to.as_ref() == Some(to) && now < self.usable_from;
        let is_lendable = now < self.held_until && (is_renewal || now >= self.usable_from);
        if !is_lendable || self.bucket.quota().rate <= 0.0 {
            return None;
        }
        let tokens = if is_renewal {
            0
        } else {
            self.bucket.level(now) as u32
        };
        self.suspend_until(now + wait);
        self.lent_to = Some(to.clone());
        self.loan_count += 1;
        Some(Loan {
            reservation: number,
            serial: self.loan_count,
            tokens,
        })
    }

    /// Makes the reservation unusable until a time, at which it is empty.
    fn suspend_until(&mut self, until: Time) {
        self.usable_from = until;
        self.bucket = TokenBucket::empty(until, self.bucket.quota());
    }
}

impl PendingRequest {
    fn resend(&mut self, now: Time) -> Option<GrantRequest> {
        if now < self.resend_at {
            return None;
        }
        self.resend_at = now + RESEND_INTERVAL;
        Some(self.request.clone())
    }
}

/// Tracks how much of a grant is spent, until the owner no longer needs reports of it.
#[derive(Debug, Clone)]
struct HeldGrant {
    usage: GrantUsage,
    valid_until: Time,
    forget_at: Time,
}

/// Repeats a token request until the owner answers it.
#[derive(Debug, Clone)]
struct PendingRequest {
    request: GrantRequest,
    sent_at: Time,
    resend_at: Time,
}

//! Quotas, token buckets, and how a quota is divided between reservations and an owner.

use std::time::Duration;

use base::{Time, UNLIMITED_RATE};
use serde::{Deserialize, Serialize};

/// Allows at most `burst + rate * (t - s)` tokens in every window from s to t.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be taken at once.
    pub burst: f64,
}

impl Quota {
    /// Returns whether the quota is no limit, so that nothing has to be counted or asked for.
    pub fn is_unlimited(&self) -> bool {
        self.rate >= UNLIMITED_RATE
    }
}

/// Divides a quota into equal reservations, which belong to slots, and a part for one owner.
///
/// The holder of a slot spends its reservations without contacting anyone; the owner grants the
/// rest on request. Reservations and the owner's part never sum to more than the whole quota,
/// however many slots are held. Rates are reduced by the drift, so that instances with fast clocks
/// don't exceed the rate of the whole quota.
///
/// # Examples
///
/// ```
/// use coord::{Quota, QuotaSplit};
///
/// let split = QuotaSplit { reserved_share: 0.2, slots: 10, drift: 0.0, ..QuotaSplit::default() };
/// let whole = Quota { rate: 100.0, burst: 50.0 };
/// assert_eq!(split.reservation(whole), Quota { rate: 2.0, burst: 1.0 });
/// assert_eq!(split.owner_quota(whole), Quota { rate: 80.0, burst: 40.0 });
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaSplit {
    /// Share of the whole quota that is divided into reservations, from 0 to 1.
    #[serde(rename = "floor_share")]
    pub reserved_share: f64,
    /// Number of slots.
    pub slots: u32,
    /// How long granted tokens can be spent.
    #[serde(rename = "grant_life")]
    pub grant_ttl: Duration,
    /// How long a reservation is lent to the owner.
    #[serde(rename = "loan_life")]
    pub loan_ttl: Duration,
    /// Maximum deviation of a clock's rate, as a fraction.
    pub drift: f64,
    /// Fraction by which rate and burst may be exceeded.
    pub overage: f64,
    /// Tokens by which the burst may be exceeded in addition to that.
    pub slack: f64,
    /// Number of reservations that belong to each slot.
    #[serde(rename = "parts")]
    pub reservations_per_slot: u32,
    /// Whether a holder lends only the reservations that its own demand does not need.
    #[serde(rename = "is_thrifty")]
    pub lends_only_surplus: bool,
}

impl Default for QuotaSplit {
    fn default() -> Self {
        Self {
            reserved_share: 0.2,
            slots: 10,
            grant_ttl: Duration::from_secs(1),
            loan_ttl: Duration::from_secs(3),
            drift: 0.01,
            overage: 0.0,
            slack: 0.0,
            reservations_per_slot: 1,
            lends_only_surplus: false,
        }
    }
}

const ZERO_QUOTA: Quota = Quota {
    rate: 0.0,
    burst: 0.0,
};

impl QuotaSplit {
    /// Returns the quota of one reservation.
    ///
    /// A burst of less than one token is raised to one if the whole burst is at least two tokens
    /// per reservation. Otherwise the reservation is empty, unless the whole quota is divided into
    /// reservations.
    pub fn reservation(&self, whole: Quota) -> Quota {
        let whole = self.with_tolerance(whole);
        let count = f64::from(self.reservation_count());
        let reservation = Quota {
            rate: self.drift_adjusted(whole.rate) * self.reserved_share / count,
            burst: whole.burst * self.reserved_share / count,
        };
        if self.reserved_share >= 1.0 || reservation.burst >= 1.0 {
            return reservation;
        }
        let has_room = self.reserved_share > 0.0 && whole.burst >= 2.0 * count;
        if has_room {
            Quota {
                burst: 1.0,
                ..reservation
            }
        } else {
            ZERO_QUOTA
        }
    }

    /// Returns the quota that remains for the owner.
    pub fn owner_quota(&self, whole: Quota) -> Quota {
        let reservation = self.reservation(whole);
        let whole = self.with_tolerance(whole);
        let count = f64::from(self.reservation_count());
        Quota {
            rate: (self.drift_adjusted(whole.rate) - count * reservation.rate).max(0.0),
            burst: (whole.burst - count * reservation.burst).max(0.0),
        }
    }

    /// Returns the number of reservations over all slots.
    pub fn reservation_count(&self) -> u32 {
        self.slots.max(1) * self.reservations_per_slot.max(1)
    }

    /// Returns the numbers of the reservations that belong to a slot.
    pub(crate) fn slot_reservations(&self, slot: u32) -> std::ops::Range<u32> {
        let per_slot = self.reservations_per_slot.max(1);
        slot * per_slot..(slot + 1) * per_slot
    }

    /// Returns whether a reservation is never lent.
    ///
    /// That is the first one of each slot, if holders lend only their surplus and it can hold a
    /// token.
    pub(crate) fn is_never_lent(&self, number: u32, reservation: Quota) -> bool {
        let is_first = number.is_multiple_of(self.reservations_per_slot.max(1));
        self.lends_only_surplus && is_first && reservation.burst >= 1.0
    }

    /// Returns the whole quota with overage and slack added.
    fn with_tolerance(&self, whole: Quota) -> Quota {
        Quota {
            rate: whole.rate * (1.0 + self.overage),
            burst: whole.burst * (1.0 + self.overage) + self.slack,
        }
    }

    /// Returns how long a lender does not spend a reservation, counted from when it lent it.
    ///
    /// This covers the loan and the grants that the owner may have made from it.
    pub(crate) fn lender_wait(&self) -> Duration {
        self.loan_ttl.mul_f64(1.0 + 2.0 * self.drift) + self.owner_grant_ttl()
    }

    /// Returns how long the owner uses a loan, counted from a time that is no later than when the
    /// loan was made.
    pub fn borrower_loan_ttl(&self) -> Duration {
        self.loan_ttl.mul_f64(1.0 - 2.0 * self.drift)
    }

    /// Returns how long a holder may spend a grant, counted by its own clock.
    pub(crate) fn holder_grant_ttl(&self) -> Duration {
        self.grant_ttl.mul_f64(1.0 - 2.0 * self.drift)
    }

    /// Returns how long the owner counts a grant as outstanding, by its own clock.
    pub fn owner_grant_ttl(&self) -> Duration {
        self.grant_ttl.mul_f64(1.0 + 2.0 * self.drift)
    }

    /// Returns `rate` reduced so that a clock that is fast by the drift does not exceed it.
    fn drift_adjusted(&self, rate: f64) -> f64 {
        rate * (1.0 - self.drift)
    }
}

/// Admits requests against tokens that accrue at the quota's rate, up to its burst.
///
/// # Examples
///
/// ```
/// use base::{Time, UNLIMITED_RATE};
/// use coord::{TokenBucket, Quota};
///
/// let mut bucket = TokenBucket::empty(Time::ZERO, Quota { rate: 10.0, burst: 5.0 });
/// assert!(!bucket.try_take(Time::ZERO));
/// assert!(bucket.try_take(Time::from_millis(100)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    quota: Quota,
    level: f64,
    refilled_at: Time,
}

/// Rounding error that is tolerated when a level is compared with a whole token.
const EPSILON: f64 = 1e-9;

impl TokenBucket {
    /// Returns an empty bucket.
    pub fn empty(now: Time, quota: Quota) -> Self {
        Self {
            quota,
            level: 0.0,
            refilled_at: now,
        }
    }

    /// Returns a bucket that holds the quota's burst.
    pub fn full(now: Time, quota: Quota) -> Self {
        Self {
            level: quota.burst,
            ..Self::empty(now, quota)
        }
    }

    /// Sets the quota and discards tokens above the new burst.
    pub fn set_quota(&mut self, now: Time, quota: Quota) {
        self.refill(now, self.quota.burst);
        self.quota = quota;
        self.level = self.level.min(quota.burst);
    }

    /// Replaces the quota of a refilled bucket without regard to the burst; the next refill applies the cap.
    pub(crate) fn replace_quota(&mut self, quota: Quota) {
        self.quota = quota;
    }

    /// Returns the quota by which the bucket is refilled.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Takes one token and returns whether one was available.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now, self.quota.burst);
        self.take_up_to(1) == 1
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now, self.quota.burst);
        self.level
    }

    /// Returns the time until a token is available: at least a millisecond, at most an hour, and a
    /// second if no tokens accrue.
    ///
    /// `extra_rate` tokens per second are added to the rate of the bucket's own quota.
    pub fn time_until_token(&self, extra_rate: f64) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let rate = self.quota.rate + extra_rate;
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64((missing / rate).clamp(0.001, 3_600.0))
    }

    /// Returns the number of tokens at the last refill.
    pub(crate) fn level_at_refill(&self) -> f64 {
        self.level
    }

    /// Adds the tokens accrued since the last refill, up to a level of `cap`.
    fn refill(&mut self, now: Time, cap: f64) {
        let gained = self.quota.rate * (now - self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + gained).min(cap);
    }

    /// Returns the time of the last refill.
    pub(crate) fn refilled_at(&self) -> Time {
        self.refilled_at
    }

    /// Adds `extra` tokens and those accrued since the last refill, up to a level of `cap`.
    pub(crate) fn refill_with(&mut self, now: Time, extra: f64, cap: f64) {
        self.level += extra;
        self.refill(now, cap.max(0.0));
    }

    /// Takes up to `limit` whole tokens and returns their number.
    pub(crate) fn take_up_to(&mut self, limit: u32) -> u32 {
        let available = (self.level + EPSILON).max(0.0) as u32;
        let taken = available.min(limit);
        self.level = (self.level - f64::from(taken)).max(0.0);
        taken
    }

    /// Adds tokens without regard to the burst; the next refill applies the cap.
    pub(crate) fn add(&mut self, tokens: u32) {
        self.level += f64::from(tokens);
    }
}

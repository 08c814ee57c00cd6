//! Rates with bursts, and how one is divided into floors and an owned part.

use std::time::Duration;

use base::Time;
use serde::{Deserialize, Serialize};

/// Allows `burst + rate * (t - s)` units in every window from s to t.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be taken at once.
    pub burst: f64,
}

/// Divides a quota into equal floors, one a slot, and a part for one owner.
///
/// The floors and the owned part always sum to no more than the whole, however many slots are
/// held. Rates are lower by the drift, so that a fast clock does not pass the whole's rate.
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
    /// Share of the whole that is divided into floors, 0 to 1.
    #[serde(rename = "floor_share")]
    pub reserved_share: f64,
    /// Number of floors.
    pub slots: u32,
    /// How long granted units last.
    #[serde(rename = "grant_life")]
    pub grant_ttl: Duration,
    /// How long a floor is lent to the owner.
    #[serde(rename = "loan_life")]
    pub loan_ttl: Duration,
    /// Most by which a clock's rate is off, as a fraction.
    pub drift: f64,
    /// Part by which rate and burst may be passed.
    pub overage: f64,
    /// Units by which the burst may be passed beyond that.
    pub slack: f64,
    /// Floors that each slot is divided into.
    #[serde(rename = "parts")]
    pub reservations_per_slot: u32,
    /// Whether a holder lends only the floors that it does not need itself.
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

const NOTHING: Quota = Quota {
    rate: 0.0,
    burst: 0.0,
};

impl QuotaSplit {
    /// Returns the quota of one floor; nothing where not even one unit would fit in it.
    pub fn reservation(&self, whole: Quota) -> Quota {
        let whole = self.tolerated(whole);
        let slots = f64::from(self.reservation_count());
        let floor = Quota {
            rate: self.slowed(whole.rate) * self.reserved_share / slots,
            burst: whole.burst * self.reserved_share / slots,
        };
        if self.reserved_share >= 1.0 || floor.burst >= 1.0 {
            return floor;
        }
        let has_room = self.reserved_share > 0.0 && whole.burst >= 2.0 * slots;
        if has_room {
            Quota {
                burst: 1.0,
                ..floor
            }
        } else {
            NOTHING
        }
    }

    /// Returns the quota that is left for the owner.
    pub fn owner_quota(&self, whole: Quota) -> Quota {
        let floor = self.reservation(whole);
        let whole = self.tolerated(whole);
        let slots = f64::from(self.reservation_count());
        Quota {
            rate: (self.slowed(whole.rate) - slots * floor.rate).max(0.0),
            burst: (whole.burst - slots * floor.burst).max(0.0),
        }
    }

    /// Returns the number of floors.
    pub fn reservation_count(&self) -> u32 {
        self.slots.max(1) * self.reservations_per_slot.max(1)
    }

    /// Returns the numbers of the floors that belong to a slot.
    pub(crate) fn floors_of(&self, slot: u32) -> std::ops::Range<u32> {
        let parts = self.reservations_per_slot.max(1);
        slot * parts..(slot + 1) * parts
    }

    /// Returns whether a floor of this quota is never lent: the first one of each slot, where holders
    /// are thrifty and a unit fits in it.
    pub(crate) fn is_kept(&self, number: u32, floor: Quota) -> bool {
        let is_first = number.is_multiple_of(self.reservations_per_slot.max(1));
        self.lends_only_surplus && is_first && floor.burst >= 1.0
    }

    /// Returns the whole with the tolerance added.
    fn tolerated(&self, whole: Quota) -> Quota {
        Quota {
            rate: whole.rate * (1.0 + self.overage),
            burst: whole.burst * (1.0 + self.overage) + self.slack,
        }
    }

    /// Returns how long a lender leaves its floor alone, counted from when it lent it: the loan, and
    /// the grants that the owner may have made from it.
    pub(crate) fn lender_pause(&self) -> Duration {
        self.loan_ttl.mul_f64(1.0 + 2.0 * self.drift) + self.owner_grant_ttl()
    }

    /// Returns how long the owner counts on a loan, from a time that is no later than when it was
    /// made.
    pub fn borrower_loan_ttl(&self) -> Duration {
        self.loan_ttl.mul_f64(1.0 - 2.0 * self.drift)
    }

    /// Returns the grants' life as their holder counts it.
    pub(crate) fn holder_life(&self) -> Duration {
        self.grant_ttl.mul_f64(1.0 - 2.0 * self.drift)
    }

    /// Returns the grants' life as their owner counts it.
    pub fn owner_grant_ttl(&self) -> Duration {
        self.grant_ttl.mul_f64(1.0 + 2.0 * self.drift)
    }

    /// Returns a rate that a clock which is fast by the drift turns into `rate` at most.
    fn slowed(&self, rate: f64) -> f64 {
        rate * (1.0 - self.drift)
    }
}

/// Holds units that come in at a rate, up to a cap.
///
/// # Examples
///
/// ```
/// use base::Time;
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
    at: Time,
}

/// Allowance for rounding when a level is compared with a whole unit.
const EPSILON: f64 = 1e-9;

impl TokenBucket {
    /// Returns a bucket with nothing in it.
    pub fn empty(now: Time, quota: Quota) -> Self {
        Self {
            quota,
            level: 0.0,
            at: now,
        }
    }

    /// Returns a bucket that is full.
    pub fn full(now: Time, quota: Quota) -> Self {
        Self {
            level: quota.burst,
            ..Self::empty(now, quota)
        }
    }

    /// Sets the quota; a level over the new burst is lost.
    pub fn set_quota(&mut self, now: Time, quota: Quota) {
        self.refill(now, self.quota.burst);
        self.quota = quota;
        self.level = self.level.min(quota.burst);
    }

    /// Returns the quota.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Takes one unit and returns whether there was one.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now, self.quota.burst);
        self.remove(1) == 1
    }

    /// Returns the units now in the bucket.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now, self.quota.burst);
        self.level
    }

    /// Returns the time until one unit will be there, at least a millisecond, where `extra_rate`
    /// units per second come in beside the bucket's own.
    pub fn time_until_token(&self, extra_rate: f64) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let rate = self.quota.rate + extra_rate;
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        Duration::from_secs_f64((missing / rate).clamp(0.001, 3_600.0))
    }

    /// Returns the units that were in the bucket at the last refill.
    pub(crate) fn now_level(&self) -> f64 {
        self.level
    }

    /// Adds what came in since the last call, up to `cap` units.
    fn refill(&mut self, now: Time, cap: f64) {
        let gained = self.quota.rate * (now - self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + gained).min(cap);
    }

    /// Returns the time of the last refill.
    pub(crate) fn refilled_at(&self) -> Time {
        self.at
    }

    /// Adds `extra` units beside what came in, and cuts the level down to `cap`.
    pub(crate) fn refill_with(&mut self, now: Time, extra: f64, cap: f64) {
        self.level += extra;
        self.refill(now, cap.max(0.0));
    }

    /// Takes up to `most` whole units.
    pub(crate) fn remove(&mut self, most: u32) -> u32 {
        let there = (self.level + EPSILON).max(0.0) as u32;
        let taken = there.min(most);
        self.level = (self.level - f64::from(taken)).max(0.0);
        taken
    }

    /// Puts units back.
    pub(crate) fn restore(&mut self, units: u32) {
        self.level += f64::from(units);
    }
}

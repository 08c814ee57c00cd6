//! Holders, which spend floors and granted units.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::Time;

use crate::{
    AdmissionDecision, Grant, GrantRequest, GrantUsage, Loan, OwnerId, Quota, QuotaSplit,
    TokenBucket, demand::Demand,
};

/// Spends floors and grants on behalf of one instance.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{SlotHistory, QuotaHolder, Quota, QuotaSplit, AdmissionDecision};
///
/// let split = QuotaSplit { reserved_share: 1.0, slots: 1, ..QuotaSplit::default() };
/// let mut holder = QuotaHolder::new(Quota { rate: 1.0, burst: 1.0 }, split);
/// holder.hold_slot(Time::ZERO, 0, Time::from_secs(60), SlotHistory::NeverHeld);
/// assert_eq!(holder.admit(Time::ZERO), AdmissionDecision::Admit);
/// ```
#[derive(Debug, Clone)]
pub struct QuotaHolder {
    split: QuotaSplit,
    quota: Quota,
    floors: BTreeMap<u32, Floor>,
    held: VecDeque<Held>,
    pending: Option<Pending>,
    serial: u64,
    asked_at: Time,
    empty_until: Time,
    owner: Option<OwnerId>,
    round_trip: Duration,
    demand: Demand,
}

/// Tells who has held a slot before, and so what may have been spent of its floors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotHistory {
    /// Nobody: its floors begin full.
    NeverHeld,
    /// Somebody who had ended by this time: its floors begin empty then.
    EndedBy(Time),
}

/// Holds the floor of one slot.
#[derive(Debug, Clone)]
struct Floor {
    bucket: TokenBucket,
    /// Start of the right to spend it: the end of the last loan and of the grants made from it.
    from: Time,
    until: Time,
    lent_to: Option<OwnerId>,
    loans: u64,
}

const RESEND_AFTER: Duration = Duration::from_millis(250);
const ASK_PAUSE: Duration = Duration::from_millis(10);
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(20);
const ROUND_TRIP_GAIN: f64 = 0.2;
const LOOK_AHEAD: Duration = Duration::from_millis(100);

/// Part of its demand that a holder keeps for itself, so that what comes unevenly finds units.
const DEMAND_MARGIN: f64 = 1.25;

impl QuotaHolder {
    /// Returns a holder with no floor, no grants and no owner.
    pub fn new(whole: Quota, split: QuotaSplit) -> Self {
        Self {
            split,
            quota: split.reservation(whole),
            floors: BTreeMap::new(),
            held: VecDeque::new(),
            pending: None,
            serial: 0,
            asked_at: Time::ZERO,
            empty_until: Time::ZERO,
            owner: None,
            round_trip: FIRST_ROUND_TRIP,
            demand: Demand::default(),
        }
    }

    /// Sets the whole quota.
    pub fn set_quota(&mut self, now: Time, whole: Quota) {
        self.quota = self.split.reservation(whole);
        for floor in self.floors.values_mut() {
            floor.bucket.set_quota(now, self.quota);
        }
    }

    /// Takes up or renews the right to a slot's floor, until a time.
    ///
    /// A floor that nobody has held before begins full. Another one begins empty, once its earlier
    /// holder had ended and what that may have lent is over.
    pub fn hold_slot(&mut self, now: Time, slot: u32, until: Time, before: SlotHistory) {
        for number in self.split.floors_of(slot) {
            self.hold_part(now, number, until, before);
        }
    }

    fn hold_part(&mut self, now: Time, number: u32, until: Time, before: SlotHistory) {
        if let Some(floor) = self.floors.get_mut(&number) {
            floor.until = until;
            return;
        }
        // What is never lent has nothing outstanding.
        let (from, bucket) = match before {
            SlotHistory::NeverHeld => (now, TokenBucket::full(now, self.quota)),
            SlotHistory::EndedBy(at) => {
                let is_kept = self.split.is_kept(number, self.quota);
                let pause = self.split.lender_pause();
                let from = if is_kept { at } else { at + pause };
                (from, TokenBucket::empty(from, self.quota))
            }
        };
        let floor = Floor {
            bucket,
            from,
            until,
            lent_to: None,
            loans: 0,
        };
        self.floors.insert(number, floor);
    }

    /// Gives a slot's floor up.
    pub fn release_slot(&mut self, slot: u32) {
        for number in self.split.floors_of(slot) {
            self.floors.remove(&number);
        }
    }

    /// Lends the floors to the owner and returns the loans.
    ///
    /// A lent floor stays alone until the loan and all grants made from it are over, and begins
    /// empty then. The promise holds whether or not the owner gets to know of it. A floor that was
    /// lent to another owner is lent anew only when that loan is over.
    pub fn lend(&mut self, now: Time) -> Vec<Loan> {
        let Some(owner) = self.owner.clone() else {
            return Vec::new();
        };
        let pause = self.split.lender_pause();
        let kept = self.kept_floors(now);
        let (split, quota) = (self.split, self.quota);
        self.floors
            .iter_mut()
            .skip(kept)
            .filter(|(number, _)| !split.is_kept(**number, quota))
            .filter_map(|(number, floor)| floor.lend(now, *number, &owner, pause))
            .collect()
    }

    /// Returns the number of floors that this holder's own demand needs, the first ones.
    fn kept_floors(&mut self, now: Time) -> usize {
        if !self.split.lends_only_surplus || self.quota.burst < 1.0 {
            return 0;
        }
        let needed = self.demand.per_second(now) * DEMAND_MARGIN / self.quota.rate.max(1e-9);
        (needed.ceil() as usize).max(1)
    }

    /// Takes in that an owner has stopped using what was lent to it.
    pub fn on_loans_returned(&mut self, now: Time, owner: &OwnerId) {
        let from = now + self.split.owner_grant_ttl();
        for floor in self.floors.values_mut() {
            if floor.lent_to.as_ref() == Some(owner) && floor.from > from {
                floor.rest(from);
            }
        }
    }

    /// Sets the owner that can be asked.
    pub fn set_owner(&mut self, owner: Option<OwnerId>) {
        self.owner = owner;
    }

    /// Returns the owner that can be asked.
    pub fn owner(&self) -> Option<&OwnerId> {
        self.owner.as_ref()
    }

    /// Takes a unit for one request.
    pub fn admit(&mut self, now: Time) -> AdmissionDecision {
        self.demand.record(now);
        if self.try_take(now) {
            return AdmissionDecision::Admit;
        }
        if self.owner.is_none() {
            return AdmissionDecision::Refuse(self.wait_for_floor(now));
        }
        if self.is_exhausted(now) {
            return AdmissionDecision::Refuse(self.empty_until - now);
        }
        AdmissionDecision::Wait
    }

    /// Takes a unit for a request that has waited.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.expire(now);
        let grant = self.held.iter_mut().find(|held| held.report.unspent > 0);
        if let Some(held) = grant {
            held.report.unspent -= 1;
            held.report.spent += 1;
            return true;
        }
        self.floors.values_mut().any(|floor| floor.take(now))
    }

    /// Returns the ask that is due, given the number of waiting requests.
    pub fn next_request(&mut self, now: Time, waiting: u32) -> Option<GrantRequest> {
        self.owner.as_ref()?;
        self.expire(now);
        if let Some(pending) = &mut self.pending {
            return pending.resend(now);
        }
        if self.is_exhausted(now) || now - self.asked_at < ASK_PAUSE {
            return None;
        }
        let want = self.wanted(now, waiting)?;
        Some(self.send(now, waiting, want))
    }

    /// Takes in the owner's answer and returns whether it was the one awaited.
    ///
    /// Where fewer units came than requests had waited for, the quota counts as used up for now.
    pub fn on_grant(&mut self, now: Time, grant: &Grant) -> bool {
        let is_awaited = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.ask.serial == grant.serial);
        if !is_awaited {
            return false;
        }
        let Some(pending) = self.pending.take() else {
            return false;
        };
        let sample = (now - pending.sent_at).as_secs_f64();
        let old = self.round_trip.as_secs_f64();
        self.round_trip = Duration::from_secs_f64(old + ROUND_TRIP_GAIN * (sample - old));
        if grant.tokens < pending.ask.waiting {
            self.empty_until = now + grant.retry_after;
        }
        self.hold(grant, pending.sent_at);
        true
    }

    /// Returns the units that can be taken now.
    pub fn available(&mut self, now: Time) -> f64 {
        self.expire(now);
        let granted: u32 = self.held.iter().map(|held| held.report.unspent).sum();
        let floors: f64 = self
            .floors
            .values_mut()
            .filter(|floor| floor.is_usable(now))
            .map(|floor| floor.bucket.level(now))
            .sum();
        f64::from(granted) + floors
    }

    /// Returns whether the owner has said that the quota is used up for now.
    pub fn is_exhausted(&self, now: Time) -> bool {
        now < self.empty_until
    }

    /// Returns the time after which a refused request may come back.
    pub fn retry_after(&self, now: Time) -> Duration {
        let wait = self.empty_until - now;
        wait.max(Duration::from_millis(10))
    }

    /// Returns the time at which [`QuotaHolder::next_request`] may have something to send again.
    pub fn resend_at(&self) -> Option<Time> {
        self.pending.as_ref().map(|pending| pending.resend_at)
    }

    fn wait_for_floor(&self, now: Time) -> Duration {
        self.floors
            .values()
            .map(|floor| (floor.from - now) + floor.bucket.time_until_token(0.0))
            .min()
            .unwrap_or(Duration::from_secs(1))
    }

    fn wanted(&mut self, now: Time, waiting: u32) -> Option<u32> {
        let there = self.available(now);
        let own_rate: f64 = self
            .floors
            .values()
            .filter(|floor| floor.is_usable(now))
            .map(|floor| floor.bucket.quota().rate)
            .sum();
        let per_s = (self.demand.per_second(now) - own_rate).max(0.0);
        let lead = (self.round_trip + LOOK_AHEAD).as_secs_f64();
        let soon = per_s * lead;
        // A holder with little demand asks for nothing ahead: units that wait for it would be
        // missing elsewhere.
        let is_enough = waiting == 0 && there >= soon.floor();
        if is_enough {
            return None;
        }
        let life = self.split.grant_ttl.as_secs_f64() / 2.0;
        let ahead = soon + per_s * life.min(lead);
        let want = (ahead.floor() + f64::from(waiting) - there).ceil();
        (want >= 1.0).then_some(want as u32)
    }

    fn send(&mut self, now: Time, need: u32, want: u32) -> GrantRequest {
        self.serial += 1;
        self.asked_at = now;
        let ask = GrantRequest {
            serial: self.serial,
            waiting: need,
            wanted: want,
            usage: self.held.iter().map(|held| held.report).collect(),
        };
        self.pending = Some(Pending {
            ask: ask.clone(),
            sent_at: now,
            resend_at: now + RESEND_AFTER,
        });
        ask
    }

    fn hold(&mut self, grant: &Grant, sent_at: Time) {
        let report = GrantUsage {
            epoch: grant.epoch,
            serial: grant.serial,
            unspent: grant.tokens,
            spent: 0,
        };
        self.held.push_back(Held {
            report,
            until: sent_at + self.split.holder_life(),
            forget_at: sent_at + self.split.owner_grant_ttl() * 2,
        });
    }

    /// Ends grants whose life is over, and gives up on an ask whose grant would be.
    fn expire(&mut self, now: Time) {
        for held in &mut self.held {
            if held.until <= now {
                held.report.unspent = 0;
            }
        }
        self.held.retain(|held| held.forget_at > now);
        let is_late = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.sent_at + self.split.holder_life() <= now);
        if is_late && let Some(pending) = self.pending.take() {
            let nothing = Grant {
                epoch: 0,
                serial: pending.ask.serial,
                tokens: 0,
                retry_after: Duration::ZERO,
            };
            self.hold(&nothing, pending.sent_at);
        }
    }
}

impl Floor {
    fn is_usable(&self, now: Time) -> bool {
        now >= self.from && now < self.until
    }

    fn take(&mut self, now: Time) -> bool {
        self.is_usable(now) && self.bucket.try_take(now)
    }

    fn lend(&mut self, now: Time, slot: u32, to: &OwnerId, pause: Duration) -> Option<Loan> {
        let is_renewal = self.lent_to.as_ref() == Some(to) && now < self.from;
        let is_lendable = now < self.until && (is_renewal || now >= self.from);
        if !is_lendable || self.bucket.quota().rate <= 0.0 {
            return None;
        }
        let tokens = if is_renewal {
            0
        } else {
            self.bucket.level(now) as u32
        };
        self.rest(now + pause);
        self.lent_to = Some(to.clone());
        self.loans += 1;
        Some(Loan {
            reservation: slot,
            serial: self.loans,
            tokens,
        })
    }

    /// Leaves the floor alone until a time; it begins empty then.
    fn rest(&mut self, until: Time) {
        self.from = until;
        self.bucket = TokenBucket::empty(until, self.bucket.quota());
    }
}

impl Pending {
    fn resend(&mut self, now: Time) -> Option<GrantRequest> {
        if now < self.resend_at {
            return None;
        }
        self.resend_at = now + RESEND_AFTER;
        Some(self.ask.clone())
    }
}

#[derive(Debug, Clone)]
struct Held {
    report: GrantUsage,
    until: Time,
    forget_at: Time,
}

#[derive(Debug, Clone)]
struct Pending {
    ask: GrantRequest,
    sent_at: Time,
    resend_at: Time,
}

//! Units granted by an owner to holders, and holders that spend them.
//!
//! A holder has a floor that needs no contact with anyone, and asks the owner for short-lived
//! grants when its demand is higher. The sum over all holders and the owner never passes the
//! whole quota: outstanding units count against the owner's burst until they are reported spent,
//! returned or expired, and a grant expires for its holder before it does for its owner.
//!
//! While an owner can be reached, holders lend it their floors for a few seconds at a time, so
//! that nothing lies idle where there is no demand. A loan that is not renewed ends by itself:
//! first for the owner, then, once the grants made from it have expired, for the lender.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Incarnation, InstanceId, Time};
use serde::{Deserialize, Serialize};

use crate::{Bucket, Quota, Split};

/// Asks the owner for units and reports what became of earlier grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of this ask within the holder's life; repeated when it is sent again.
    pub serial: u64,
    /// Requests that wait for a unit.
    pub need: u32,
    /// Units wanted, those for waiting requests and for ones expected soon.
    pub want: u32,
    /// Grants of the last seconds.
    pub holdings: Vec<Holding>,
}

/// Reports one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Epoch of the owner that granted it, zero where no grant came.
    pub epoch: u64,
    /// Number of the ask that it answered.
    pub serial: u64,
    /// Units not spent yet that the holder may still spend.
    pub left: u32,
    /// Units spent.
    pub spent: u32,
}

/// Answers an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the ask.
    pub serial: u64,
    /// Units granted.
    pub tokens: u32,
    /// Time after which asking again is worthwhile.
    pub retry_after: Duration,
}

/// Tells what a holder decides on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A unit was taken.
    Admit,
    /// No unit is here; the owner's answer will tell.
    Wait,
    /// The quota is used up; asking again is worthwhile after this time.
    Refuse(Duration),
}

#[derive(Debug, Clone)]
struct Held {
    report: Holding,
    until: Time,
    forget_at: Time,
}

#[derive(Debug, Clone)]
struct Pending {
    ask: Ask,
    sent_at: Time,
    resend_at: Time,
}

/// Names one tenure of an owner that floors are lent to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Borrower {
    /// Instance that owns.
    pub instance: InstanceId,
    /// Number of the tenure.
    pub epoch: u64,
}

/// Lends the floor of one slot to a borrower for [`Split::loan_life`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the slot.
    pub slot: u32,
    /// Number of the loan; rises with each loan of the slot.
    pub serial: u64,
    /// Units that the floor held and that go over to the borrower.
    pub tokens: u32,
}

/// Spends floors and grants on behalf of one instance.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Holder, Quota, Split, Verdict};
///
/// let split = Split { floor_share: 1.0, slots: 1, ..Split::default() };
/// let mut holder = Holder::new(Quota { rate: 1.0, burst: 1.0 }, split);
/// holder.hold_floor(Time::ZERO, 0, Time::from_secs(60), true);
/// assert_eq!(holder.admit(Time::ZERO), Verdict::Admit);
/// ```
#[derive(Debug, Clone)]
pub struct Holder {
    split: Split,
    quota: Quota,
    floors: BTreeMap<u32, Floor>,
    held: VecDeque<Held>,
    pending: Option<Pending>,
    serial: u64,
    asked_at: Time,
    empty_until: Time,
    owner: Option<Borrower>,
    round_trip: Duration,
    demand: Demand,
}

/// Holds the floor of one slot.
#[derive(Debug, Clone)]
struct Floor {
    bucket: Bucket,
    /// Start of the right to spend it: the end of the last loan and of the grants made from it.
    from: Time,
    until: Time,
    lent_to: Option<Borrower>,
    loans: u64,
}

const RESEND_AFTER: Duration = Duration::from_millis(250);
const ASK_PAUSE: Duration = Duration::from_millis(10);
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(20);
const ROUND_TRIP_GAIN: f64 = 0.2;
const LOOK_AHEAD: Duration = Duration::from_millis(100);

impl Holder {
    /// Returns a holder with no floor, no grants and no owner.
    pub fn new(whole: Quota, split: Split) -> Self {
        Self {
            split,
            quota: split.floor(whole),
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
        self.quota = self.split.floor(whole);
        for floor in self.floors.values_mut() {
            floor.bucket.set_quota(now, self.quota);
        }
    }

    /// Takes up or renews the right to a slot's floor, until a time.
    ///
    /// A floor that nobody has held before begins full. Another one begins empty, once what an
    /// earlier holder may have lent is over.
    pub fn hold_floor(&mut self, now: Time, slot: u32, until: Time, is_first: bool) {
        if let Some(floor) = self.floors.get_mut(&slot) {
            floor.until = until;
            return;
        }
        let from = if is_first {
            now
        } else {
            now + self.split.lender_pause()
        };
        let bucket = if is_first {
            Bucket::full(now, self.quota)
        } else {
            Bucket::empty(from, self.quota)
        };
        let floor = Floor {
            bucket,
            from,
            until,
            lent_to: None,
            loans: 0,
        };
        self.floors.insert(slot, floor);
    }

    /// Gives a slot's floor up.
    pub fn drop_floor(&mut self, slot: u32) {
        self.floors.remove(&slot);
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
        self.floors
            .iter_mut()
            .filter_map(|(slot, floor)| floor.lend(now, *slot, &owner, pause))
            .collect()
    }

    /// Takes in that an owner has stopped using what was lent to it.
    pub fn returned(&mut self, now: Time, owner: &Borrower) {
        let from = now + self.split.owner_life();
        for floor in self.floors.values_mut() {
            if floor.lent_to.as_ref() == Some(owner) && floor.from > from {
                floor.rest(from);
            }
        }
    }

    /// Sets the owner that can be asked.
    pub fn set_owner(&mut self, owner: Option<Borrower>) {
        self.owner = owner;
    }

    /// Returns the owner that can be asked.
    pub fn owner(&self) -> Option<&Borrower> {
        self.owner.as_ref()
    }

    /// Takes a unit for one request.
    pub fn admit(&mut self, now: Time) -> Verdict {
        self.demand.record(now);
        if self.take(now) {
            return Verdict::Admit;
        }
        if self.owner.is_none() {
            return Verdict::Refuse(self.wait_for_floor(now));
        }
        if self.is_refused(now) {
            return Verdict::Refuse(self.empty_until - now);
        }
        Verdict::Wait
    }

    /// Takes a unit for a request that has waited.
    pub fn take(&mut self, now: Time) -> bool {
        self.expire(now);
        let grant = self.held.iter_mut().find(|held| held.report.left > 0);
        if let Some(held) = grant {
            held.report.left -= 1;
            held.report.spent += 1;
            return true;
        }
        self.floors.values_mut().any(|floor| floor.take(now))
    }

    /// Returns the ask that is due, given the number of waiting requests.
    pub fn ask(&mut self, now: Time, waiting: u32) -> Option<Ask> {
        self.owner.as_ref()?;
        self.expire(now);
        if let Some(pending) = &mut self.pending {
            return pending.resend(now);
        }
        if self.is_refused(now) || now - self.asked_at < ASK_PAUSE {
            return None;
        }
        let want = self.wanted(now, waiting)?;
        Some(self.send(now, waiting, want))
    }

    /// Takes in the owner's answer and returns whether it was the one awaited.
    ///
    /// Where fewer units came than requests had waited for, the quota counts as used up for now.
    pub fn granted(&mut self, now: Time, grant: &Grant) -> bool {
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
        if grant.tokens < pending.ask.need {
            self.empty_until = now + grant.retry_after;
        }
        self.hold(grant, pending.sent_at);
        true
    }

    /// Returns the units that can be taken now.
    pub fn available(&mut self, now: Time) -> f64 {
        self.expire(now);
        let granted: u32 = self.held.iter().map(|held| held.report.left).sum();
        let floors: f64 = self
            .floors
            .values_mut()
            .filter(|floor| floor.is_usable(now))
            .map(|floor| floor.bucket.level(now))
            .sum();
        f64::from(granted) + floors
    }

    /// Returns whether the owner has said that the quota is used up for now.
    pub fn is_refused(&self, now: Time) -> bool {
        now < self.empty_until
    }

    /// Returns the time after which a refused request may come back.
    pub fn retry_after(&self, now: Time) -> Duration {
        let wait = self.empty_until - now;
        wait.max(Duration::from_millis(10))
    }

    /// Returns the time at which [`Holder::ask`] may have something to send again.
    pub fn wake_at(&self) -> Option<Time> {
        self.pending.as_ref().map(|pending| pending.resend_at)
    }

    fn wait_for_floor(&self, now: Time) -> Duration {
        self.floors
            .values()
            .map(|floor| (floor.from - now) + floor.bucket.wait_for_one(0.0))
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
        let is_enough = waiting == 0 && there >= soon;
        if is_enough {
            return None;
        }
        let life = self.split.grant_life.as_secs_f64() / 2.0;
        let ahead = soon + per_s * life.min(lead);
        let want = (ahead + f64::from(waiting) - there).ceil();
        (want >= 1.0).then_some(want as u32)
    }

    fn send(&mut self, now: Time, need: u32, want: u32) -> Ask {
        self.serial += 1;
        self.asked_at = now;
        let ask = Ask {
            serial: self.serial,
            need,
            want,
            holdings: self.held.iter().map(|held| held.report).collect(),
        };
        self.pending = Some(Pending {
            ask: ask.clone(),
            sent_at: now,
            resend_at: now + RESEND_AFTER,
        });
        ask
    }

    fn hold(&mut self, grant: &Grant, sent_at: Time) {
        let report = Holding {
            epoch: grant.epoch,
            serial: grant.serial,
            left: grant.tokens,
            spent: 0,
        };
        self.held.push_back(Held {
            report,
            until: sent_at + self.split.holder_life(),
            forget_at: sent_at + self.split.owner_life() * 2,
        });
    }

    /// Ends grants whose life is over, and gives up on an ask whose grant would be.
    fn expire(&mut self, now: Time) {
        for held in &mut self.held {
            if held.until <= now {
                held.report.left = 0;
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
        self.is_usable(now) && self.bucket.take(now)
    }

    fn lend(&mut self, now: Time, slot: u32, to: &Borrower, pause: Duration) -> Option<Loan> {
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
            slot,
            serial: self.loans,
            tokens,
        })
    }

    /// Leaves the floor alone until a time; it begins empty then.
    fn rest(&mut self, until: Time) {
        self.from = until;
        self.bucket = Bucket::empty(until, self.bucket.quota());
    }
}

impl Pending {
    fn resend(&mut self, now: Time) -> Option<Ask> {
        if now < self.resend_at {
            return None;
        }
        self.resend_at = now + RESEND_AFTER;
        Some(self.ask.clone())
    }
}

/// Estimates requests per second over the last second or so.
#[derive(Debug, Clone, Default)]
struct Demand {
    per_s: f64,
    at: Time,
}

const DEMAND_WINDOW_S: f64 = 0.5;

impl Demand {
    fn record(&mut self, now: Time) {
        self.decay(now);
        self.per_s += 1.0 / DEMAND_WINDOW_S;
    }

    fn per_second(&mut self, now: Time) -> f64 {
        self.decay(now);
        self.per_s
    }

    fn decay(&mut self, now: Time) {
        let passed = (now - self.at).as_secs_f64();
        self.per_s *= (-passed / DEMAND_WINDOW_S).exp();
        self.at = self.at.max(now);
    }
}

/// Grants units of the owned part of a quota.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Time};
/// use coord::{Ask, Owner, Quota, Split};
///
/// let whole = Quota { rate: 10.0, burst: 10.0 };
/// let split = Split { floor_share: 0.0, ..Split::default() };
/// let mut owner = Owner::first(Time::ZERO, whole, split);
/// owner.set_right(Time::from_secs(60));
/// let ask = Ask { serial: 1, need: 4, want: 4, holdings: Vec::new() };
/// let grant = owner.ask(Time::ZERO, &"i1".into(), Incarnation(1), &ask).unwrap();
/// assert_eq!(grant.tokens, 4);
/// ```
#[derive(Debug, Clone)]
pub struct Owner {
    split: Split,
    bucket: Bucket,
    epoch: u64,
    opens_at: Time,
    right_until: Time,
    accounts: BTreeMap<InstanceId, Account>,
    loans: BTreeMap<u32, Borrowed>,
    floor: Quota,
    outstanding: u32,
    /// Grants by expiry: all live equally long, so the oldest is in front.
    expiries: VecDeque<(Time, InstanceId, (Incarnation, u64))>,
}

/// Holds the loan of one slot's floor.
#[derive(Debug, Clone)]
struct Borrowed {
    until: Time,
    /// Life of the lender and number of its last loan whose units were taken over.
    last: (Incarnation, u64),
}

#[derive(Debug, Clone)]
struct Account {
    incarnation: Incarnation,
    last: Option<Grant>,
    ended: VecDeque<Incarnation>,
    grants: BTreeMap<(Incarnation, u64), Outstanding>,
    asked: f64,
    asked_at: Time,
}

#[derive(Debug, Clone)]
struct Outstanding {
    tokens: u32,
    left: u32,
}

/// Ended lives of one holder whose late asks are still told apart.
const MOST_ENDED_LIVES: usize = 16;
const MIN_RETRY: Duration = Duration::from_millis(10);

impl Owner {
    /// Returns an owner of nothing but what is lent to it.
    ///
    /// Any number of instances may act as owners at the same time: each floor is lent to one of
    /// them at a time.
    pub fn acting(now: Time, whole: Quota, split: Split, epoch: u64) -> Self {
        Self {
            bucket: Bucket::empty(now, split.owned(whole)),
            epoch,
            ..Self::first(now, whole, split)
        }
    }

    /// Returns the first owner that a quota ever has: its bucket is full.
    pub fn first(now: Time, whole: Quota, split: Split) -> Self {
        let owned = split.owned(whole);
        Self {
            split,
            bucket: Bucket::full(now, owned),
            epoch: 1,
            opens_at: now,
            right_until: Time::ZERO,
            accounts: BTreeMap::new(),
            loans: BTreeMap::new(),
            floor: split.floor(whole),
            outstanding: 0,
            expiries: VecDeque::new(),
        }
    }

    /// Returns an owner that follows another one: it is empty and waits out that one's grants.
    pub fn successor(now: Time, whole: Quota, split: Split, epoch: u64) -> Self {
        let opens_at = now + split.owner_life();
        let owned = split.owned(whole);
        Self {
            bucket: Bucket::empty(opens_at, owned),
            epoch,
            opens_at,
            ..Self::first(now, whole, split)
        }
    }

    /// Sets the time until which units may be granted.
    pub fn set_right(&mut self, until: Time) {
        self.right_until = until;
    }

    /// Sets the whole quota.
    pub fn set_quota(&mut self, now: Time, whole: Quota) {
        self.settle(now);
        self.bucket.set_quota(now, self.split.owned(whole));
        self.floor = self.split.floor(whole);
    }

    /// Takes in a loan that a life of an instance made no earlier than `dated`.
    pub fn lent(&mut self, now: Time, life: Incarnation, loan: &Loan, dated: Time) {
        if now < self.opens_at || loan.slot >= self.split.slots {
            return;
        }
        self.settle(now);
        let until = dated + self.split.borrower_life();
        if until <= now {
            return;
        }
        let known = self.loans.entry(loan.slot).or_insert(Borrowed {
            until,
            last: (life, 0),
        });
        known.until = known.until.max(until);
        let is_new = known.last.0 != life || known.last.1 < loan.serial;
        if is_new {
            known.last = (life, loan.serial);
            self.bucket.restore(loan.tokens);
            self.settle(now);
        }
    }

    /// Gives all loans back and stops granting; the lenders may be told after this.
    pub fn give_back(&mut self) {
        self.loans.clear();
        self.right_until = Time::ZERO;
    }

    /// Returns the number of floors that are lent to this owner now.
    pub fn borrowed(&self, now: Time) -> usize {
        self.loans.values().filter(|loan| loan.until > now).count()
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the units granted and neither spent, returned nor expired as far as is known.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Answers a holder; `None` where the owner's right is over or the ask is an old one.
    pub fn ask(
        &mut self,
        now: Time,
        from: &InstanceId,
        incarnation: Incarnation,
        ask: &Ask,
    ) -> Option<Grant> {
        if now >= self.right_until {
            return None;
        }
        self.expire(now);
        let last = self.open_account(from, incarnation)?;
        match last {
            Some(last) if last.serial > ask.serial => return None,
            Some(last) if last.serial == ask.serial => return Some(last),
            _ => {}
        }
        self.take_report(from, ask);
        self.settle(now);
        let tokens = if now < self.opens_at {
            0
        } else {
            self.bucket.remove(self.allotment(ask))
        };
        Some(self.record(now, from, ask, tokens))
    }

    /// Returns the units that each holder asked for over the last seconds.
    pub fn demand(&self, now: Time) -> BTreeMap<InstanceId, f64> {
        self.accounts
            .iter()
            .map(|(id, account)| (id.clone(), account.demand(now)))
            .collect()
    }

    /// Returns the account's last grant; `None` where the ask comes from an ended life.
    fn open_account(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<Option<Grant>> {
        let account = self
            .accounts
            .entry(from.clone())
            .or_insert_with(|| Account::new(incarnation));
        if account.ended.contains(&incarnation) {
            return None;
        }
        if incarnation != account.incarnation {
            account.begin_life(incarnation);
        }
        Some(account.last)
    }

    /// Frees what the holder reports as spent, and takes back what never reached it.
    fn take_report(&mut self, from: &InstanceId, ask: &Ask) {
        let Some(account) = self.accounts.get_mut(from) else {
            return;
        };
        let incarnation = account.incarnation;
        for holding in &ask.holdings {
            let Some(out) = account.grants.get_mut(&(incarnation, holding.serial)) else {
                continue;
            };
            if holding.epoch != self.epoch && holding.epoch != 0 {
                continue;
            }
            let unused = out.tokens.saturating_sub(holding.left + holding.spent);
            let freed = out.left.saturating_sub(holding.left);
            let returned = unused.min(freed);
            self.outstanding -= freed;
            out.left -= freed;
            out.tokens -= returned;
            self.bucket.restore(returned);
        }
    }

    fn record(&mut self, now: Time, from: &InstanceId, ask: &Ask, tokens: u32) -> Grant {
        let retry_after = if now < self.opens_at {
            self.opens_at - now
        } else {
            let lent_rate = self.loans.len() as f64 * self.floor.rate;
            self.bucket.wait_for_one(lent_rate)
        };
        let grant = Grant {
            epoch: self.epoch,
            serial: ask.serial,
            tokens,
            retry_after: retry_after.max(MIN_RETRY),
        };
        self.outstanding += tokens;
        let expires_at = now + self.split.owner_life();
        if let Some(account) = self.accounts.get_mut(from) {
            account.note_demand(now, ask.want);
            account.last = Some(grant);
            let key = (account.incarnation, ask.serial);
            let out = Outstanding {
                tokens,
                left: tokens,
            };
            account.grants.insert(key, out);
            self.expiries.push_back((expires_at, from.clone(), key));
        }
        grant
    }

    /// Returns the units to grant: all that requests wait for, and half of the rest at most.
    fn allotment(&self, ask: &Ask) -> u32 {
        let spare = (self.bucket.now_level() - f64::from(ask.need)).max(0.0) / 2.0;
        let ahead = ask.want.saturating_sub(ask.need);
        ask.need + ahead.min(spare as u32)
    }

    /// Adds what came in since the last call, from lent floors too, as far as there is room.
    fn settle(&mut self, now: Time) {
        let from = self.bucket.refilled_at();
        let borrowed_s: f64 = self
            .loans
            .values()
            .map(|loan| (now.min(loan.until) - from).as_secs_f64())
            .sum();
        self.loans.retain(|_, loan| loan.until > now);
        let floors = self.loans.len() as f64;
        let cap =
            self.bucket.quota().burst + floors * self.floor.burst - f64::from(self.outstanding);
        self.bucket
            .refill_with(now, self.floor.rate * borrowed_s, cap);
    }

    fn expire(&mut self, now: Time) {
        // The bucket fills up to the old cap before expired units make room.
        self.settle(now);
        while self.expiries.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, holder, key)) = self.expiries.pop_front() else {
                return;
            };
            let ended = self
                .accounts
                .get_mut(&holder)
                .and_then(|account| account.grants.remove(&key));
            self.outstanding -= ended.map_or(0, |out| out.left);
        }
    }
}

impl Account {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last: None,
            ended: VecDeque::new(),
            grants: BTreeMap::new(),
            asked: 0.0,
            asked_at: Time::ZERO,
        }
    }

    /// Ends the present life; its units stay outstanding until they expire.
    fn begin_life(&mut self, incarnation: Incarnation) {
        self.ended.push_back(self.incarnation);
        if self.ended.len() > MOST_ENDED_LIVES {
            self.ended.pop_front();
        }
        self.incarnation = incarnation;
        self.last = None;
    }

    fn note_demand(&mut self, now: Time, want: u32) {
        self.asked = self.demand(now) + f64::from(want);
        self.asked_at = now;
    }

    fn demand(&self, now: Time) -> f64 {
        const WINDOW_S: f64 = 10.0;
        self.asked * (-(now - self.asked_at).as_secs_f64() / WINDOW_S).exp()
    }
}

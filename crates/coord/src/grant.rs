//! Units granted by an owner to holders, and holders that spend them.
//!
//! A holder has a floor that needs no contact with anyone, and asks the owner for short-lived
//! grants when its demand is higher. The sum over all holders and the owner never passes the
//! whole quota: outstanding units count against the owner's burst until they are reported spent,
//! returned or expired, and a grant expires for its holder before it does for its owner.

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
    /// Units wanted.
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

/// Spends a floor and grants on behalf of one instance.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Holder, Quota, Split, Verdict};
///
/// let split = Split { floor_share: 1.0, slots: 1, ..Split::default() };
/// let mut holder = Holder::new(Time::ZERO, Quota { rate: 1.0, burst: 1.0 }, split);
/// holder.set_floor_right(Time::from_secs(60));
/// assert_eq!(holder.admit(Time::from_secs(1)), Verdict::Admit);
/// ```
#[derive(Debug, Clone)]
pub struct Holder {
    split: Split,
    floor: Bucket,
    floor_until: Time,
    held: VecDeque<Held>,
    pending: Option<Pending>,
    serial: u64,
    asked_at: Time,
    empty_until: Time,
    owner_known: bool,
    round_trip: Duration,
    demand: Demand,
}

const RESEND_AFTER: Duration = Duration::from_millis(250);
const ASK_PAUSE: Duration = Duration::from_millis(10);
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(20);
const ROUND_TRIP_GAIN: f64 = 0.2;
const LOOK_AHEAD: Duration = Duration::from_millis(100);

impl Holder {
    /// Returns a holder with an empty floor and no grants.
    pub fn new(now: Time, whole: Quota, split: Split) -> Self {
        Self {
            split,
            floor: Bucket::empty(now, split.floor(whole)),
            floor_until: Time::ZERO,
            held: VecDeque::new(),
            pending: None,
            serial: 0,
            asked_at: Time::ZERO,
            empty_until: Time::ZERO,
            owner_known: false,
            round_trip: FIRST_ROUND_TRIP,
            demand: Demand::default(),
        }
    }

    /// Sets the whole quota.
    pub fn set_quota(&mut self, now: Time, whole: Quota) {
        self.floor.set_quota(now, self.split.floor(whole));
    }

    /// Sets the time until which the floor may be spent.
    pub fn set_floor_right(&mut self, until: Time) {
        self.floor_until = until;
    }

    /// Fills the floor, for a slot that nobody has held before.
    pub fn fill_floor(&mut self, now: Time) {
        self.floor = Bucket::full(now, self.floor.quota());
    }

    /// Sets whether there is an owner to ask.
    pub fn set_owner_known(&mut self, is_known: bool) {
        self.owner_known = is_known;
    }

    /// Takes a unit for one request.
    pub fn admit(&mut self, now: Time) -> Verdict {
        self.demand.record(now);
        if self.take(now) {
            return Verdict::Admit;
        }
        if !self.owner_known {
            return Verdict::Refuse(self.floor.wait_for_one());
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
        now < self.floor_until && self.floor.take(now)
    }

    /// Returns the ask that is due, given the number of waiting requests.
    pub fn ask(&mut self, now: Time, waiting: u32) -> Option<Ask> {
        if !self.owner_known {
            return None;
        }
        self.expire(now);
        if let Some(pending) = &mut self.pending {
            return pending.resend(now);
        }
        if self.is_refused(now) || now - self.asked_at < ASK_PAUSE {
            return None;
        }
        let want = self.wanted(now, waiting)?;
        Some(self.send(now, want))
    }

    /// Takes in the owner's answer and returns whether it was the one awaited.
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
        if grant.tokens < pending.ask.want {
            self.empty_until = now + grant.retry_after;
        }
        self.hold(grant, pending.sent_at);
        true
    }

    /// Returns the units that can be taken now.
    pub fn available(&mut self, now: Time) -> f64 {
        self.expire(now);
        let granted: u32 = self.held.iter().map(|held| held.report.left).sum();
        let floor = if now < self.floor_until {
            self.floor.level(now)
        } else {
            0.0
        };
        f64::from(granted) + floor
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

    fn wanted(&mut self, now: Time, waiting: u32) -> Option<u32> {
        let there = self.available(now);
        let per_s = self.demand.per_second(now);
        let floor_rate = self.floor.quota().rate;
        let lead = (self.round_trip + LOOK_AHEAD).as_secs_f64();
        let soon = (per_s - floor_rate).max(0.0) * lead;
        let is_enough = waiting == 0 && there >= soon;
        if is_enough {
            return None;
        }
        let life = self.split.grant_life.as_secs_f64() / 2.0;
        let ahead = soon + (per_s - floor_rate).max(0.0) * life.min(lead);
        let want = (ahead + f64::from(waiting) - there).ceil();
        (want >= 1.0).then_some(want as u32)
    }

    fn send(&mut self, now: Time, want: u32) -> Ask {
        self.serial += 1;
        self.asked_at = now;
        let ask = Ask {
            serial: self.serial,
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
/// let ask = Ask { serial: 1, want: 4, holdings: Vec::new() };
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
    outstanding: u32,
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
    expires_at: Time,
}

/// Ended lives of one holder whose late asks are still told apart.
const MOST_ENDED_LIVES: usize = 16;
const MIN_RETRY: Duration = Duration::from_millis(10);

impl Owner {
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
            outstanding: 0,
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
            self.bucket.remove(ask.want)
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
            self.bucket.wait_for_one()
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
                expires_at,
            };
            account.grants.insert(key, out);
        }
        grant
    }

    fn settle(&mut self, now: Time) {
        let cap = self.bucket.quota().burst - f64::from(self.outstanding);
        self.bucket.refill(now, cap.max(0.0));
    }

    fn expire(&mut self, now: Time) {
        // The bucket fills up to the old cap before expired units make room.
        self.settle(now);
        for account in self.accounts.values_mut() {
            account.grants.retain(|_, out| {
                if out.expires_at > now {
                    return true;
                }
                self.outstanding -= out.left;
                false
            });
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

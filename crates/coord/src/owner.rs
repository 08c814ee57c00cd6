//! Owners, which borrow floors and grant units.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Incarnation, InstanceId, Time};

use crate::{Grant, GrantRequest, Loan, Quota, QuotaSplit, TokenBucket};

/// Grants units of the owned part of a quota.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Time};
/// use coord::{GrantRequest, QuotaOwner, Quota, QuotaSplit};
///
/// let whole = Quota { rate: 10.0, burst: 10.0 };
/// let split = QuotaSplit { reserved_share: 0.0, ..QuotaSplit::default() };
/// let mut owner = QuotaOwner::initial(Time::ZERO, whole, split);
/// owner.set_valid_until(Time::from_secs(60));
/// let ask = GrantRequest { serial: 1, waiting: 4, wanted: 4, usage: Vec::new() };
/// let grant = owner.on_request(Time::ZERO, &"i1".into(), Incarnation(1), &ask).unwrap();
/// assert_eq!(grant.tokens, 4);
/// ```
#[derive(Debug, Clone)]
pub struct QuotaOwner {
    split: QuotaSplit,
    bucket: TokenBucket,
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
}

#[derive(Debug, Clone)]
struct Outstanding {
    tokens: u32,
    left: u32,
}

/// Ended lives of one holder whose late asks are still told apart.
const MOST_ENDED_LIVES: usize = 16;
const MIN_RETRY: Duration = Duration::from_millis(10);

impl QuotaOwner {
    /// Returns an owner of nothing but what is lent to it.
    ///
    /// Any number of instances may act as owners at the same time: each floor is lent to one of
    /// them at a time.
    pub fn borrowing(now: Time, whole: Quota, split: QuotaSplit, epoch: u64) -> Self {
        Self {
            bucket: TokenBucket::empty(now, split.owner_quota(whole)),
            epoch,
            ..Self::initial(now, whole, split)
        }
    }

    /// Returns the first owner that a quota ever has: its bucket is full.
    pub fn initial(now: Time, whole: Quota, split: QuotaSplit) -> Self {
        let owned = split.owner_quota(whole);
        Self {
            split,
            bucket: TokenBucket::full(now, owned),
            epoch: 1,
            opens_at: now,
            right_until: Time::ZERO,
            accounts: BTreeMap::new(),
            loans: BTreeMap::new(),
            floor: split.reservation(whole),
            outstanding: 0,
            expiries: VecDeque::new(),
        }
    }

    /// Returns an owner that follows another one: it is empty and waits out that one's grants.
    pub fn successor(now: Time, whole: Quota, split: QuotaSplit, epoch: u64) -> Self {
        let opens_at = now + split.owner_grant_ttl();
        let owned = split.owner_quota(whole);
        Self {
            bucket: TokenBucket::empty(opens_at, owned),
            epoch,
            opens_at,
            ..Self::initial(now, whole, split)
        }
    }

    /// Sets the time until which units may be granted.
    pub fn set_valid_until(&mut self, until: Time) {
        self.right_until = until;
    }

    /// Sets the whole quota.
    pub fn set_quota(&mut self, now: Time, whole: Quota) {
        self.settle(now);
        self.bucket.set_quota(now, self.split.owner_quota(whole));
        self.floor = self.split.reservation(whole);
    }

    /// Takes in a loan that a life of an instance made no earlier than `dated`.
    pub fn on_loan(&mut self, now: Time, life: Incarnation, loan: &Loan, dated: Time) {
        if now < self.opens_at || loan.reservation >= self.split.reservation_count() {
            return;
        }
        self.settle(now);
        let until = dated + self.split.borrower_loan_ttl();
        if until <= now {
            return;
        }
        let known = self.loans.entry(loan.reservation).or_insert(Borrowed {
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
    pub fn return_loans(&mut self) {
        self.loans.clear();
        self.right_until = Time::ZERO;
    }

    /// Returns the number of floors that are lent to this owner now.
    pub fn loan_count(&self, now: Time) -> usize {
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
    pub fn on_request(
        &mut self,
        now: Time,
        from: &InstanceId,
        incarnation: Incarnation,
        ask: &GrantRequest,
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
    fn take_report(&mut self, from: &InstanceId, ask: &GrantRequest) {
        let Some(account) = self.accounts.get_mut(from) else {
            return;
        };
        let incarnation = account.incarnation;
        for holding in &ask.usage {
            let Some(out) = account.grants.get_mut(&(incarnation, holding.serial)) else {
                continue;
            };
            if holding.epoch != self.epoch && holding.epoch != 0 {
                continue;
            }
            let unused = out.tokens.saturating_sub(holding.unspent + holding.spent);
            let freed = out.left.saturating_sub(holding.unspent);
            let returned = unused.min(freed);
            self.outstanding -= freed;
            out.left -= freed;
            out.tokens -= returned;
            self.bucket.restore(returned);
        }
    }

    fn record(&mut self, now: Time, from: &InstanceId, ask: &GrantRequest, tokens: u32) -> Grant {
        let retry_after = if now < self.opens_at {
            self.opens_at - now
        } else {
            let lent_rate = self.loans.len() as f64 * self.floor.rate;
            self.bucket.time_until_token(lent_rate)
        };
        let grant = Grant {
            epoch: self.epoch,
            serial: ask.serial,
            tokens,
            retry_after: retry_after.max(MIN_RETRY),
        };
        self.outstanding += tokens;
        let expires_at = now + self.split.owner_grant_ttl();
        if let Some(account) = self.accounts.get_mut(from) {
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
    fn allotment(&self, ask: &GrantRequest) -> u32 {
        let spare = (self.bucket.now_level() - f64::from(ask.waiting)).max(0.0) / 2.0;
        let ahead = ask.wanted.saturating_sub(ask.waiting);
        ask.waiting + ahead.min(spare as u32)
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
}

//! Owners of a quota, which borrow reservations and grant tokens.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Incarnation, InstanceId, Time};

use crate::{Grant, GrantRequest, Loan, Quota, QuotaSplit, TokenBucket};

/// Grants tokens from the owner's part of a quota and from the reservations that are lent to it.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Time};
/// use coord::{GrantRequest, Quota, QuotaOwner, QuotaSplit};
///
/// let whole = Quota { rate: 10.0, burst: 10.0 };
/// let split = QuotaSplit { reserved_share: 0.0, ..QuotaSplit::default() };
/// let mut owner = QuotaOwner::initial(Time::ZERO, whole, split);
/// owner.set_valid_until(Time::from_secs(60));
/// let request = GrantRequest { serial: 1, waiting: 4, wanted: 4, usage: Vec::new() };
/// let grant = owner.on_request(Time::ZERO, &"i1".into(), Incarnation(1), &request).unwrap();
/// assert_eq!(grant.tokens, 4);
/// ```
#[derive(Debug, Clone)]
pub struct QuotaOwner {
    split: QuotaSplit,
    bucket: TokenBucket,
    epoch: u64,
    starts_at: Time,
    valid_until: Time,
    accounts: BTreeMap<InstanceId, Account>,
    loans: BTreeMap<u32, BorrowedReservation>,
    reservation_quota: Quota,
    outstanding: u32,
    /// Grants in the order of their expiry, which is the order in which they were made.
    expiries: VecDeque<(Time, InstanceId, (Incarnation, u64))>,
}

/// Tracks until when a reservation is lent to the owner, and which of its loans have been added.
#[derive(Debug, Clone)]
struct BorrowedReservation {
    until: Time,
    /// Incarnation of the lender and number of its last loan whose tokens were added.
    last_loan: (Incarnation, u64),
}

/// Accounts for the tokens granted to one holder, so that what it gives back unused can be granted
/// again.
#[derive(Debug, Clone)]
struct Account {
    incarnation: Incarnation,
    last_grant: Option<Grant>,
    ended_incarnations: VecDeque<Incarnation>,
    grants: BTreeMap<(Incarnation, u64), OutstandingGrant>,
}

#[derive(Debug, Clone)]
struct OutstandingGrant {
    tokens: u32,
    unspent: u32,
}

/// Maximum number of ended incarnations of a holder whose late requests are recognized.
const MAX_ENDED_INCARNATIONS: usize = 16;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);

impl QuotaOwner {
    /// Returns an owner that starts empty and grants the tokens that are lent to it.
    ///
    /// If the split leaves no quota for the owner, any number of instances may be owners at the same
    /// time, since each reservation is lent to one of them at a time.
    pub fn borrowing(now: Time, whole: Quota, split: QuotaSplit, epoch: u64) -> Self {
        Self {
            bucket: TokenBucket::empty(now, split.owner_quota(whole)),
            epoch,
            ..Self::initial(now, whole, split)
        }
    }

    /// Returns the first owner that a quota ever has; its bucket is full.
    pub fn initial(now: Time, whole: Quota, split: QuotaSplit) -> Self {
        let quota = split.owner_quota(whole);
        Self {
            split,
            bucket: TokenBucket::full(now, quota),
            epoch: 1,
            starts_at: now,
            valid_until: Time::ZERO,
            accounts: BTreeMap::new(),
            loans: BTreeMap::new(),
            reservation_quota: split.reservation(whole),
            outstanding: 0,
            expiries: VecDeque::new(),
        }
    }

    /// Returns an owner that replaces another one: it starts empty, once that one's grants expired.
    pub fn successor(now: Time, whole: Quota, split: QuotaSplit, epoch: u64) -> Self {
        let starts_at = now + split.owner_grant_ttl();
        let quota = split.owner_quota(whole);
        Self {
            bucket: TokenBucket::empty(starts_at, quota),
            epoch,
            starts_at,
            ..Self::initial(now, whole, split)
        }
    }

    /// Sets the time until which tokens may be granted.
    pub fn set_valid_until(&mut self, until: Time) {
        self.valid_until = until;
    }

    /// Sets the whole quota, of which this owner has a part; discards tokens above what the new one and the
    /// reservations that are lent to this owner may hold.
    pub fn set_quota(&mut self, now: Time, whole: Quota) {
        self.refill(now);
        self.bucket.replace_quota(self.split.owner_quota(whole));
        self.reservation_quota = self.split.reservation(whole);
        self.refill(now);
    }

    /// Adds or renews a loan that was made no earlier than `not_before` on this owner's clock.
    pub fn on_loan(&mut self, now: Time, lender: Incarnation, loan: &Loan, not_before: Time) {
        if now < self.starts_at || loan.reservation >= self.split.reservation_count() {
            return;
        }
        self.refill(now);
        let until = not_before + self.split.borrower_loan_ttl();
        if until <= now {
            return;
        }
        let borrowed = self
            .loans
            .entry(loan.reservation)
            .or_insert(BorrowedReservation {
                until,
                last_loan: (lender, 0),
            });
        borrowed.until = borrowed.until.max(until);
        let is_new = borrowed.last_loan.0 != lender || borrowed.last_loan.1 < loan.serial;
        if is_new {
            borrowed.last_loan = (lender, loan.serial);
            self.bucket.add(loan.tokens);
            self.refill(now);
        }
    }

    /// Drops all loans and stops granting; the lenders may be notified after this call.
    pub fn return_loans(&mut self) {
        self.loans.clear();
        self.valid_until = Time::ZERO;
    }

    /// Returns the number of reservations that are lent to this owner now.
    pub fn loan_count(&self, now: Time) -> usize {
        self.loans.values().filter(|loan| loan.until > now).count()
    }

    /// Returns the epoch of this owner.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of granted tokens not yet known to be spent, returned or expired.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Answers a holder's request, unless the owner's validity is over or the request is outdated.
    pub fn on_request(
        &mut self,
        now: Time,
        from: &InstanceId,
        incarnation: Incarnation,
        request: &GrantRequest,
    ) -> Option<Grant> {
        if now >= self.valid_until {
            return None;
        }
        self.expire_grants(now);
        let last = self.open_account(from, incarnation)?;
        match last {
            Some(last) if last.serial > request.serial => return None,
            Some(last) if last.serial == request.serial => return Some(last),
            _ => {}
        }
        self.apply_usage(from, request);
        self.refill(now);
        let tokens = if now < self.starts_at {
            0
        } else {
            self.bucket.take_up_to(self.grant_size(request))
        };
        Some(self.record_grant(now, from, request, tokens))
    }

    /// Opens an account for the holder's incarnation and returns the last grant to it; `None` if
    /// the incarnation has ended.
    fn open_account(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<Option<Grant>> {
        let account = self
            .accounts
            .entry(from.clone())
            .or_insert_with(|| Account::new(incarnation));
        if account.ended_incarnations.contains(&incarnation) {
            return None;
        }
        if incarnation != account.incarnation {
            account.begin_incarnation(incarnation);
        }
        Some(account.last_grant)
    }

    /// Releases the tokens that are reported spent, and takes back those that never arrived or
    /// expired at the holder.
    fn apply_usage(&mut self, from: &InstanceId, request: &GrantRequest) {
        let Some(account) = self.accounts.get_mut(from) else {
            return;
        };
        let incarnation = account.incarnation;
        for usage in &request.usage {
            let Some(grant) = account.grants.get_mut(&(incarnation, usage.serial)) else {
                continue;
            };
            if usage.epoch != self.epoch && usage.epoch != 0 {
                continue;
            }
            let kept = usage.unspent.saturating_add(usage.spent);
            let unused = grant.tokens.saturating_sub(kept);
            let released = grant.unspent.saturating_sub(usage.unspent);
            let returned = unused.min(released);
            self.outstanding -= released;
            grant.unspent -= released;
            grant.tokens -= returned;
            self.bucket.add(returned);
        }
    }

    fn record_grant(
        &mut self,
        now: Time,
        from: &InstanceId,
        request: &GrantRequest,
        tokens: u32,
    ) -> Grant {
        let retry_after = if now < self.starts_at {
            self.starts_at - now
        } else {
            let borrowed_rate = self.loans.len() as f64 * self.reservation_quota.rate;
            self.bucket.time_until_token(borrowed_rate)
        };
        let grant = Grant {
            epoch: self.epoch,
            serial: request.serial,
            tokens,
            retry_after: retry_after.max(MIN_RETRY_DELAY),
        };
        self.outstanding += tokens;
        let expires_at = now + self.split.owner_grant_ttl();
        if let Some(account) = self.accounts.get_mut(from) {
            account.last_grant = Some(grant);
            let key = (account.incarnation, request.serial);
            let outstanding = OutstandingGrant {
                tokens,
                unspent: tokens,
            };
            account.grants.insert(key, outstanding);
            self.expiries.push_back((expires_at, from.clone(), key));
        }
        grant
    }

    /// Returns the number of tokens to grant: one for each waiting request, and at most half of the
    /// rest for expected ones.
    fn grant_size(&self, request: &GrantRequest) -> u32 {
        let spare = (self.bucket.level_at_refill() - f64::from(request.waiting)).max(0.0) / 2.0;
        let ahead = request.wanted.saturating_sub(request.waiting);
        request.waiting + ahead.min(spare as u32)
    }

    /// Adds the tokens accrued since the last refill, those of borrowed reservations included.
    ///
    /// Outstanding tokens count against the burst.
    fn refill(&mut self, now: Time) {
        let from = self.bucket.refilled_at();
        let borrowed_s: f64 = self
            .loans
            .values()
            .map(|loan| (now.min(loan.until) - from).as_secs_f64())
            .sum();
        self.loans.retain(|_, loan| loan.until > now);
        let borrowed = self.loans.len() as f64;
        let cap = self.bucket.quota().burst + borrowed * self.reservation_quota.burst
            - f64::from(self.outstanding);
        self.bucket
            .refill_with(now, self.reservation_quota.rate * borrowed_s, cap);
    }

    fn expire_grants(&mut self, now: Time) {
        // The bucket is refilled up to the old cap before expired tokens raise it.
        self.refill(now);
        while self.expiries.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, holder, key)) = self.expiries.pop_front() else {
                return;
            };
            let expired = self
                .accounts
                .get_mut(&holder)
                .and_then(|account| account.grants.remove(&key));
            self.outstanding -= expired.map_or(0, |grant| grant.unspent);
        }
    }
}

impl Account {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last_grant: None,
            ended_incarnations: VecDeque::new(),
            grants: BTreeMap::new(),
        }
    }

    /// Replaces the current incarnation, whose tokens stay outstanding until they expire.
    fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.ended_incarnations.push_back(self.incarnation);
        if self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
        self.incarnation = incarnation;
        self.last_grant = None;
    }
}

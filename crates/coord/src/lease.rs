//! Leases on rows of a compare-and-swap table, with fencing epochs and without a shared clock.

mod chart;
mod row;
mod settling;

use std::{
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use base::{Incarnation, InstanceId, Position, Time};

use self::row::next_epoch;
pub use self::{
    chart::{LeaseChart, LeaseEvent, LeaseState, lease_chart},
    row::{LeaseRow, LeaseWrite},
    settling::{CONFIRM_TIME, EraSettling},
};

/// Configures the timing of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// How long the lease lasts without renewal, by its holder's clock.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Maximum difference between the rates of two clocks, as a fraction.
    pub drift: f64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(2 * 3_600),
            renew_interval: Duration::from_secs(20),
            drift: 0.02,
        }
    }
}

/// Reports the result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and the row now has this version.
    Applied(Position),
    /// The row did not have the expected version.
    Conflict,
    /// No answer arrived; the write may have taken effect.
    Unanswered,
}

/// Acquires, renews and observes one lease on behalf of one incarnation of an instance.
///
/// The holder counts the TTL from before it sent the write, shortened by the drift; other instances
/// count it from when they first read the renewal, lengthened by the drift. Each uses its own
/// clock, and no clock is compared with another one.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Time};
/// use coord::{Lease, LeaseTiming, WriteOutcome, lease_chart};
///
/// let chart = lease_chart().unwrap();
/// let mut lease = Lease::new(chart, "i1".into(), Incarnation(1), LeaseTiming::default());
/// lease.on_read(Time::ZERO, None);
/// let write = lease.next_write(Time::ZERO, true, false).unwrap();
/// assert_eq!(write.expected_version, None);
/// lease.on_write_outcome(Time::from_millis(5), WriteOutcome::Applied(1.into()));
/// assert!(lease.is_held(Time::from_millis(5)));
/// ```
#[derive(Debug, Clone)]
pub struct Lease {
    chart: Arc<LeaseChart>,
    state: LeaseState,
    me: InstanceId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    era: u32,
    /// Earliest era in which a lease of the table was acquired.
    since_era: u32,
    /// Whether the leases of earlier eras are over or confirmed.
    is_settled: bool,
    /// The row as read or written in the present era.
    row: Option<(Position, LeaseRow)>,
    was_read: bool,
    /// Whether the row was changed in the present era to one that had been written in an earlier one.
    is_overwritten: bool,
    row_changed_at: Time,
    claim: Option<Claim>,
    highest_epoch: u64,
    held_until: Time,
    renewal_sent_at: Time,
    pending_write: Option<(Time, LeaseRow)>,
    /// The last write that wasn't answered and hasn't been found: it may be performed in a later era, in the place of a
    /// later row.
    forgotten_write: Option<LeaseRow>,
}

/// Remembers the row by which this incarnation acquired or renewed the lease last, whatever a table has lost.
#[derive(Debug, Clone, Hash)]
struct Claim {
    row: LeaseRow,
    expires_at: Time,
}

impl Lease {
    /// Returns a lease whose row has not been read.
    pub fn new(
        chart: Arc<LeaseChart>,
        me: InstanceId,
        incarnation: Incarnation,
        timing: LeaseTiming,
    ) -> Self {
        Self {
            state: *chart.initial(),
            chart,
            me,
            incarnation,
            timing,
            era: 0,
            since_era: 0,
            is_settled: true,
            row: None,
            was_read: false,
            is_overwritten: false,
            row_changed_at: Time::ZERO,
            claim: None,
            highest_epoch: 0,
            held_until: Time::ZERO,
            renewal_sent_at: Time::ZERO,
            pending_write: None,
            forgotten_write: None,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// Returns whether this incarnation holds the lease at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// Returns the time at which the lease of this incarnation expires.
    pub fn held_until(&self) -> Time {
        self.held_until
    }

    /// Returns the epoch of the row as last read or written, or zero if it never was.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |(_, row)| row.epoch)
    }

    /// Returns the epoch in which this incarnation acquired the lease last, or zero if it never did.
    pub fn held_epoch(&self) -> u64 {
        self.claim.as_ref().map_or(0, |claim| claim.row.epoch)
    }

    /// Returns the instance and incarnation that hold the lease, if known.
    pub fn owner(&self) -> Option<(&InstanceId, Incarnation)> {
        let (_, row) = self.row.as_ref()?;
        (!row.is_released).then_some((&row.owner, row.incarnation))
    }

    /// Returns the latest known era of the table.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Returns whether this incarnation holds the lease by a row that it has to write again: that is of an earlier era, or
    /// isn't the present one any more.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        let claim = self.claim.as_ref().filter(|claim| now < claim.expires_at);
        claim.is_some_and(|claim| claim.row.era < self.era || self.state == LeaseState::Unconfirmed)
    }

    /// Returns whether the row was written in the present era, so that nothing that came after it is lost.
    pub fn is_of_present_era(&self) -> bool {
        match &self.row {
            Some((_, row)) => row.era >= self.era,
            None => self.era == 0,
        }
    }

    /// Returns whether this incarnation holds the lease for the first time since the table exists.
    pub fn is_first_ownership(&self) -> bool {
        self.claim
            .as_ref()
            .is_some_and(|claim| claim.row.is_first())
    }

    /// Processes that the table has been restored from an older copy: rows of earlier eras may be lost, and their versions
    /// are given out again.
    ///
    /// A lease that is held now may be used for [`CONFIRM_TIME`], or until it is confirmed in the new era. One that
    /// was not confirmed within that time in the era before may have been taken by others since.
    pub fn on_era(&mut self, now: Time, era: u32) {
        if era <= self.era {
            return;
        }
        let is_usable = self.is_held(now);
        self.claim = self.claim.take().filter(|_| is_usable);
        self.held_until = self.held_until.min(now + CONFIRM_TIME);
        self.era = era;
        self.is_settled = false;
        self.row = None;
        self.was_read = false;
        self.is_overwritten = false;
        self.row_changed_at = now;
        let open = self.pending_write.take().map(|(_, row)| row);
        self.forgotten_write = open.or(self.forgotten_write.take());
        self.fire(LeaseEvent::EraChanged);
    }

    /// Sets whether a lease may be taken whose row isn't of the present era, and the earliest era in which a lease of
    /// the table was acquired.
    pub fn set_settled(&mut self, is_settled: bool, since_era: u32) {
        self.is_settled = is_settled;
        self.since_era = since_era;
    }

    /// Processes a read of the row in the present era.
    ///
    /// Reads that started before the last write of this instance was answered must not be passed.
    pub fn on_read(&mut self, now: Time, row: Option<(Position, LeaseRow)>) {
        if self.is_newer(row.as_ref()) {
            self.is_overwritten = row.as_ref().is_some_and(|(_, row)| {
                let may_be_late = self.was_read || self.forgotten_write.as_ref() == Some(row);
                may_be_late && row.era < self.era
            });
            self.row_changed_at = now;
            self.resolve_unanswered(row.as_ref());
            self.row = row;
        }
        self.was_read = true;
        let seen = self.row.as_ref().map_or(0, |(_, row)| row.epoch);
        self.highest_epoch = self.highest_epoch.max(seen);
        let event = match &self.row {
            _ if self.has_later_claim(now) => LeaseEvent::SawLost,
            Some((_, row)) if row.is_released => LeaseEvent::SawFree,
            Some((_, row)) if self.is_own(row) && row.era == self.era => LeaseEvent::SawOwn,
            Some(_) => LeaseEvent::SawOther,
            None => LeaseEvent::SawFree,
        };
        if !matches!(event, LeaseEvent::SawOwn | LeaseEvent::SawLost) {
            self.held_until = Time::ZERO;
            self.claim = None;
        }
        self.fire(event);
    }

    /// Returns whether the lease may be taken at `now` if nobody holds it by the row: it is a row of the present era, or
    /// the leases of earlier ones are over.
    ///
    /// A row of an earlier era that was written in the place of a later one comes from an instance that didn't know
    /// of the present era yet; the holder of the later one writes that again.
    pub fn may_take(&self, now: Time) -> bool {
        self.is_of_present_era()
            || self.is_settled && (!self.is_overwritten || self.has_ttl_passed(now))
    }

    /// Returns the write that is due, if any: an acquisition, a renewal or a takeover.
    ///
    /// `is_wanted` indicates whether this instance should hold the lease, `is_owner_gone` whether it is
    /// certain that the current owner has ended.
    pub fn next_write(
        &mut self,
        now: Time,
        is_wanted: bool,
        is_owner_gone: bool,
    ) -> Option<LeaseWrite> {
        if !is_wanted {
            return None;
        }
        let is_due = match self.state {
            LeaseState::Free => self.may_take(now),
            LeaseState::Other => self.may_take(now) && (is_owner_gone || self.is_expired(now)),
            LeaseState::Unconfirmed => true,
            LeaseState::Held => now - self.renewal_sent_at >= self.timing.renew_interval,
            LeaseState::Unread | LeaseState::Writing => false,
        };
        if !is_due {
            return None;
        }
        let row = self.next_row();
        Some(self.begin_write(now, row))
    }

    /// Releases the lease immediately and returns the write that publishes the release, unless the present row
    /// in the present era isn't known.
    pub fn release(&mut self, now: Time) -> Option<LeaseWrite> {
        if !self.is_held(now) {
            return None;
        }
        self.held_until = Time::ZERO;
        let claim = self.claim.take()?;
        let version = self.row.as_ref().map(|(version, _)| *version);
        let is_known = version.is_some() || self.was_read;
        self.fire(LeaseEvent::Released);
        self.pending_write = None;
        is_known.then_some(LeaseWrite {
            row: LeaseRow {
                is_released: true,
                era: self.era,
                ..claim.row
            },
            expected_version: version,
        })
    }

    /// Processes the result of the last write.
    ///
    /// Results of writes that were begun in an earlier era must not be passed.
    pub fn on_write_outcome(&mut self, now: Time, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Applied(version) => {
                if let Some((sent_at, row)) = self.pending_write.take() {
                    self.row_changed_at = now;
                    self.is_overwritten = false;
                    self.row = Some((version, row.clone()));
                    self.start_holding(sent_at, row);
                    self.fire(LeaseEvent::Written);
                }
            }
            WriteOutcome::Conflict => {
                self.pending_write = None;
                self.held_until = Time::ZERO;
                self.fire(LeaseEvent::Conflict);
            }
            WriteOutcome::Unanswered => {
                self.fire(LeaseEvent::Unanswered);
            }
        }
    }
}

impl Hash for LeaseTiming {
    fn hash<H>(&self, hasher: &mut H)
    where
        H: Hasher,
    {
        (self.ttl, self.renew_interval, self.drift.to_bits()).hash(hasher);
    }
}

/// Leases of equal hashes do the same from here on; the chart is the same for all.
impl Hash for Lease {
    fn hash<H>(&self, hasher: &mut H)
    where
        H: Hasher,
    {
        let Self {
            chart: _,
            state,
            me,
            incarnation,
            timing,
            era,
            since_era,
            is_settled,
            row,
            was_read,
            is_overwritten,
            row_changed_at,
            claim,
            highest_epoch,
            held_until,
            renewal_sent_at,
            pending_write,
            forgotten_write,
        } = self;
        (state, me, incarnation, timing, era, since_era, is_settled).hash(hasher);
        (row, was_read, is_overwritten, row_changed_at).hash(hasher);
        (claim, highest_epoch, held_until).hash(hasher);
        (renewal_sent_at, pending_write, forgotten_write).hash(hasher);
    }
}

impl Lease {
    fn fire(&mut self, event: LeaseEvent) {
        if let Some(&next) = self.chart.next(&self.state, &event) {
            self.state = next;
        }
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.owner == self.me && row.incarnation == self.incarnation
    }

    /// Returns whether the row is newer than the last one read or written.
    fn is_newer(&self, row: Option<&(Position, LeaseRow)>) -> bool {
        match (&self.row, row) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some((known, _)), Some((version, _))) => version > known,
        }
    }

    /// Determines from the row whether an unanswered write took effect.
    fn resolve_unanswered(&mut self, row: Option<&(Position, LeaseRow)>) {
        let Some((sent_at, written)) = self.pending_write.take() else {
            return;
        };
        if row.is_some_and(|(_, row)| *row == written) {
            self.start_holding(sent_at, written);
        } else {
            self.forgotten_write = Some(written);
        }
    }

    fn start_holding(&mut self, sent_at: Time, row: LeaseRow) {
        self.renewal_sent_at = sent_at;
        self.held_until = sent_at + self.timing.ttl.mul_f64(1.0 - self.timing.drift);
        self.highest_epoch = self.highest_epoch.max(row.epoch);
        self.claim = Some(Claim {
            row,
            expires_at: self.held_until,
        });
    }

    /// Returns whether this incarnation holds the lease by a row that is later than the present one, or hasn't been
    /// confirmed in the present era.
    fn has_later_claim(&self, now: Time) -> bool {
        let claim = self.claim.as_ref().filter(|claim| now < claim.expires_at);
        claim.is_some_and(|claim| match &self.row {
            Some((_, row)) if self.is_own(row) && row.epoch == claim.row.epoch => {
                row.era < self.era
            }
            Some((_, row)) => row.epoch <= claim.row.epoch,
            None => true,
        })
    }

    fn is_expired(&self, now: Time) -> bool {
        let is_previous_own = self
            .row
            .as_ref()
            .is_some_and(|(_, row)| row.owner == self.me);
        is_previous_own || self.has_ttl_passed(now)
    }

    /// Returns whether the row has been unchanged for longer than a holder may use it.
    fn has_ttl_passed(&self, now: Time) -> bool {
        self.row.as_ref().is_some_and(|(_, row)| {
            let ttl = Duration::from_millis(row.ttl_ms).mul_f64(1.0 + self.timing.drift);
            now - self.row_changed_at > ttl
        })
    }

    fn next_row(&self) -> LeaseRow {
        let renewed = match self.state {
            LeaseState::Held => self.row.as_ref().map(|(_, row)| row),
            LeaseState::Unconfirmed => self.claim.as_ref().map(|claim| &claim.row),
            _ => None,
        };
        let (epoch, renewal) = match renewed {
            Some(row) => (row.epoch, row.renewal.saturating_add(1)),
            None => (next_epoch(self.highest_epoch, self.era), 0),
        };
        LeaseRow {
            owner: self.me.clone(),
            incarnation: self.incarnation,
            epoch,
            renewal,
            ttl_ms: self.timing.ttl.as_millis() as u64,
            is_released: false,
            era: self.era,
            since_era: self.since_era,
        }
    }

    fn begin_write(&mut self, now: Time, row: LeaseRow) -> LeaseWrite {
        self.fire(LeaseEvent::Write);
        self.pending_write = Some((now, row.clone()));
        LeaseWrite {
            row,
            expected_version: self.row.as_ref().map(|(version, _)| *version),
        }
    }
}

//! Leases on rows of a table that compares and swaps, with fencing epochs and no shared clock.

use std::{sync::Arc, time::Duration};

use base::{Incarnation, InstanceId, Time};
use chart::{Chart, ChartError};
use serde::{Deserialize, Serialize};

/// Holds the durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseTiming {
    /// How long the holder's right lasts without renewal, by its own clock.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// Most by which two clocks' rates differ, as a fraction.
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

/// Holds the content of a lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds the lease.
    pub owner: InstanceId,
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Number of the tenure; each taker's is one more than the last one's.
    pub epoch: u64,
    /// Number of the renewal within the tenure.
    pub renewal: u64,
    /// How long the right lasts from this renewal on, in milliseconds.
    #[serde(rename = "horizon_ms")]
    pub ttl_ms: u64,
    /// Whether the holder has given the lease up.
    pub is_released: bool,
}

/// Lists the states of a lease; `charts/lease.json` holds the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The row has to be read.
    Unread,
    /// Nobody holds the lease.
    Free,
    /// Another instance or an earlier life of this one holds it.
    Other,
    /// A write of this instance is under way.
    Writing,
    /// This instance holds it.
    Held,
}

/// Lists what changes a lease's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEvent {
    /// The row was read and nobody holds it.
    SawFree,
    /// The row was read and is another's.
    SawOther,
    /// The row was read and is this life's.
    SawOwn,
    /// A write was begun.
    Write,
    /// The write took effect.
    Written,
    /// The row was not as expected.
    Conflict,
    /// No answer to the write came; it may have taken effect.
    Unanswered,
    /// This instance gave the lease up.
    Released,
}

/// Tells what became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row has this version now.
    Applied(u64),
    /// The row was not as expected.
    Conflict,
    /// No answer came.
    Unanswered,
}

/// Tells to write the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// New content.
    pub row: LeaseRow,
    /// Version that the row must have; `None` where it must not exist.
    pub expected_version: Option<u64>,
}

/// Follows one lease on behalf of one life of an instance.
///
/// The holder's right is counted from before its write was sent, by its own clock and shortened by
/// the drift; another instance counts from when it first saw the renewal, lengthened by the drift.
/// No clock is compared with another one.
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
/// lease.on_write_outcome(Time::from_millis(5), WriteOutcome::Applied(1));
/// assert!(lease.is_held(Time::from_millis(5)));
/// ```
#[derive(Debug)]
pub struct Lease {
    chart: Arc<LeaseChart>,
    state: LeaseState,
    me: InstanceId,
    incarnation: Incarnation,
    terms: LeaseTiming,
    row: Option<(u64, LeaseRow)>,
    seen_at: Time,
    held_until: Time,
    renewed_at: Time,
    sent: Option<(Time, LeaseRow)>,
}

const CHART: &str = include_str!("../charts/lease.json");

/// Holds the transitions of a lease.
pub type LeaseChart = Chart<LeaseState, LeaseEvent>;

/// Reads the chart that all leases share.
///
/// # Errors
///
/// [`ChartError`] where the chart can't be read.
pub fn lease_chart() -> Result<Arc<LeaseChart>, ChartError> {
    Chart::parse(CHART).map(Arc::new)
}

impl Lease {
    /// Returns a lease whose row has not been read.
    pub fn new(
        chart: Arc<LeaseChart>,
        me: InstanceId,
        incarnation: Incarnation,
        terms: LeaseTiming,
    ) -> Self {
        Self {
            state: *chart.initial(),
            chart,
            me,
            incarnation,
            terms,
            row: None,
            seen_at: Time::ZERO,
            held_until: Time::ZERO,
            renewed_at: Time::ZERO,
            sent: None,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// Returns whether this life holds the lease at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// Returns the time at which this life's right ends.
    pub fn held_until(&self) -> Time {
        self.held_until
    }

    /// Returns the epoch of the row as last read or written, zero before that.
    pub fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |(_, row)| row.epoch)
    }

    /// Returns who holds the lease as far as is known.
    pub fn owner(&self) -> Option<(&InstanceId, Incarnation)> {
        let (_, row) = self.row.as_ref()?;
        (!row.is_released).then_some((&row.owner, row.incarnation))
    }

    /// Takes in the row as read.
    ///
    /// A read that began before a write of this instance was answered must not be passed in.
    pub fn on_read(&mut self, now: Time, row: Option<(u64, LeaseRow)>) {
        if self.is_newer(row.as_ref()) {
            self.seen_at = now;
            self.settle_unanswered(row.as_ref());
            self.row = row;
        }
        let event = match &self.row {
            Some((_, row)) if row.is_released => LeaseEvent::SawFree,
            Some((_, row)) if self.is_own(row) => LeaseEvent::SawOwn,
            Some(_) => LeaseEvent::SawOther,
            None => LeaseEvent::SawFree,
        };
        if event != LeaseEvent::SawOwn {
            self.held_until = Time::ZERO;
        }
        self.fire(event);
    }

    /// Returns the write that is due: a first one, a renewal or a take-over.
    ///
    /// `is_wanted` tells whether this instance should hold the lease, `is_owner_gone` whether the
    /// present owner is proved to have ended.
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
            LeaseState::Free => true,
            LeaseState::Other => is_owner_gone || self.is_lapsed(now),
            LeaseState::Held => now - self.renewed_at >= self.terms.renew_interval,
            LeaseState::Unread | LeaseState::Writing => false,
        };
        if !is_due {
            return None;
        }
        let row = self.next_row();
        Some(self.send(now, row))
    }

    /// Gives the lease up at once and returns the write that tells the others.
    pub fn release(&mut self, now: Time) -> Option<LeaseWrite> {
        if !self.is_held(now) {
            return None;
        }
        self.held_until = Time::ZERO;
        let (version, row) = self.row.clone()?;
        self.fire(LeaseEvent::Released);
        self.sent = None;
        Some(LeaseWrite {
            row: LeaseRow {
                is_released: true,
                ..row
            },
            expected_version: Some(version),
        })
    }

    /// Takes in what became of the last write.
    pub fn on_write_outcome(&mut self, now: Time, result: WriteOutcome) {
        match result {
            WriteOutcome::Applied(version) => {
                if let Some((sent_at, row)) = self.sent.take() {
                    self.seen_at = now;
                    self.row = Some((version, row));
                    self.hold_from(sent_at);
                    self.fire(LeaseEvent::Written);
                }
            }
            WriteOutcome::Conflict => {
                self.sent = None;
                self.held_until = Time::ZERO;
                self.fire(LeaseEvent::Conflict);
            }
            WriteOutcome::Unanswered => {
                self.fire(LeaseEvent::Unanswered);
            }
        }
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

    /// Returns whether the row differs from what is known and is no older.
    fn is_newer(&self, row: Option<&(u64, LeaseRow)>) -> bool {
        match (&self.row, row) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some((known, _)), Some((version, _))) => version > known,
        }
    }

    /// Finds out from the row whether an unanswered write took effect.
    fn settle_unanswered(&mut self, row: Option<&(u64, LeaseRow)>) {
        let Some((sent_at, sent)) = self.sent.take() else {
            return;
        };
        if row.is_some_and(|(_, row)| *row == sent) {
            self.hold_from(sent_at);
        }
    }

    fn hold_from(&mut self, sent_at: Time) {
        self.renewed_at = sent_at;
        self.held_until = sent_at + self.terms.ttl.mul_f64(1.0 - self.terms.drift);
    }

    fn is_lapsed(&self, now: Time) -> bool {
        let Some((_, row)) = &self.row else {
            return false;
        };
        let is_earlier_life = row.owner == self.me;
        let horizon = Duration::from_millis(row.ttl_ms).mul_f64(1.0 + self.terms.drift);
        is_earlier_life || now - self.seen_at > horizon
    }

    fn next_row(&self) -> LeaseRow {
        let old = self.row.as_ref().map(|(_, row)| row);
        let is_renewal = old.is_some_and(|row| self.is_own(row) && !row.is_released);
        LeaseRow {
            owner: self.me.clone(),
            incarnation: self.incarnation,
            epoch: old.map_or(0, |row| row.epoch) + u64::from(!is_renewal),
            renewal: if is_renewal {
                old.map_or(0, |row| row.renewal) + 1
            } else {
                0
            },
            ttl_ms: self.terms.ttl.as_millis() as u64,
            is_released: false,
        }
    }

    fn send(&mut self, now: Time, row: LeaseRow) -> LeaseWrite {
        self.fire(LeaseEvent::Write);
        self.sent = Some((now, row.clone()));
        LeaseWrite {
            row,
            expected_version: self.row.as_ref().map(|(version, _)| *version),
        }
    }
}

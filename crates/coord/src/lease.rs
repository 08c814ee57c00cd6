//! Leases on rows of a compare-and-swap table, with fencing epochs and without a shared clock.

use std::{sync::Arc, time::Duration};

use base::{Incarnation, InstanceId, Position, Time};
use chart::{Chart, ChartError};
use serde::{Deserialize, Serialize};

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

/// Reports to all instances who owns a lease, how long it lasts and whether it was released, as a row of
/// the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds the lease.
    pub owner: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Fencing epoch, which increases by one each time the lease is acquired.
    pub epoch: u64,
    /// Number of the renewal within the epoch.
    pub renewal: u64,
    /// How long the lease lasts from this renewal on, in milliseconds.
    #[serde(rename = "horizon_ms")]
    pub ttl_ms: u64,
    /// Whether the holder has released the lease.
    pub is_released: bool,
}

/// Lists the states of a lease as one instance sees it.
///
/// `charts/lease.json` defines the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The row has to be read.
    Unread,
    /// Nobody holds the lease.
    Free,
    /// Another instance or an earlier incarnation of this one holds the lease.
    Other,
    /// A write of this instance is in progress.
    Writing,
    /// This instance holds the lease.
    Held,
}

/// Lists the events that change a lease's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEvent {
    /// The row was read and nobody holds the lease.
    SawFree,
    /// The row was read and another instance or incarnation holds the lease.
    SawOther,
    /// The row was read and this incarnation holds the lease.
    SawOwn,
    /// A write was started.
    Write,
    /// The write took effect.
    Written,
    /// The row did not have the expected version.
    Conflict,
    /// No answer to the write arrived; it may have taken effect.
    Unanswered,
    /// This instance released the lease.
    Released,
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

/// Describes a conditional write of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// New content of the row.
    pub row: LeaseRow,
    /// Version that the row must have, or `None` if it must not exist.
    pub expected_version: Option<Position>,
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
/// use base::{Incarnation, Position, Time};
/// use coord::{Lease, LeaseTiming, WriteOutcome, lease_chart};
///
/// let chart = lease_chart().unwrap();
/// let mut lease = Lease::new(chart, "i1".into(), Incarnation(1), LeaseTiming::default());
/// lease.on_read(Time::ZERO, None);
/// let write = lease.next_write(Time::ZERO, true, false).unwrap();
/// assert_eq!(write.expected_version, None);
/// lease.on_write_outcome(Time::from_millis(5), WriteOutcome::Applied(Position::from(1)));
/// assert!(lease.is_held(Time::from_millis(5)));
/// ```
#[derive(Debug)]
pub struct Lease {
    chart: Arc<LeaseChart>,
    state: LeaseState,
    me: InstanceId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    row: Option<(Position, LeaseRow)>,
    row_changed_at: Time,
    held_until: Time,
    renewal_sent_at: Time,
    pending_write: Option<(Time, LeaseRow)>,
}

const CHART: &str = include_str!("../charts/lease.json");

/// Defines the transitions between the states of a lease.
pub type LeaseChart = Chart<LeaseState, LeaseEvent>;

/// Parses the state chart that all leases share.
///
/// # Errors
///
/// [`ChartError`] if the chart is invalid.
pub fn lease_chart() -> Result<Arc<LeaseChart>, ChartError> {
    Chart::parse(CHART).map(Arc::new)
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
            row: None,
            row_changed_at: Time::ZERO,
            held_until: Time::ZERO,
            renewal_sent_at: Time::ZERO,
            pending_write: None,
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

    /// Returns the instance and incarnation that hold the lease, if known.
    pub fn owner(&self) -> Option<(&InstanceId, Incarnation)> {
        let (_, row) = self.row.as_ref()?;
        (!row.is_released).then_some((&row.owner, row.incarnation))
    }

    /// Processes a read of the row.
    ///
    /// Reads that started before the last write of this instance was answered must not be passed.
    pub fn on_read(&mut self, now: Time, row: Option<(Position, LeaseRow)>) {
        if self.is_newer(row.as_ref()) {
            self.row_changed_at = now;
            self.resolve_unanswered(row.as_ref());
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
            LeaseState::Free => true,
            LeaseState::Other => is_owner_gone || self.is_expired(now),
            LeaseState::Held => now - self.renewal_sent_at >= self.timing.renew_interval,
            LeaseState::Unread | LeaseState::Writing => false,
        };
        if !is_due {
            return None;
        }
        let row = self.next_row();
        Some(self.begin_write(now, row))
    }

    /// Releases the lease immediately and returns the write that publishes the release.
    pub fn release(&mut self, now: Time) -> Option<LeaseWrite> {
        if !self.is_held(now) {
            return None;
        }
        self.held_until = Time::ZERO;
        let (version, row) = self.row.clone()?;
        self.fire(LeaseEvent::Released);
        self.pending_write = None;
        Some(LeaseWrite {
            row: LeaseRow {
                is_released: true,
                ..row
            },
            expected_version: Some(version),
        })
    }

    /// Processes the result of the last write.
    pub fn on_write_outcome(&mut self, now: Time, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Applied(version) => {
                if let Some((sent_at, row)) = self.pending_write.take() {
                    self.row_changed_at = now;
                    self.row = Some((version, row));
                    self.start_holding(sent_at);
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
            self.start_holding(sent_at);
        }
    }

    fn start_holding(&mut self, sent_at: Time) {
        self.renewal_sent_at = sent_at;
        self.held_until = sent_at + self.timing.ttl.mul_f64(1.0 - self.timing.drift);
    }

    fn is_expired(&self, now: Time) -> bool {
        let Some((_, row)) = &self.row else {
            return false;
        };
        let is_earlier_incarnation = row.owner == self.me;
        let ttl = Duration::from_millis(row.ttl_ms).mul_f64(1.0 + self.timing.drift);
        is_earlier_incarnation || now - self.row_changed_at > ttl
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
            ttl_ms: self.timing.ttl.as_millis() as u64,
            is_released: false,
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

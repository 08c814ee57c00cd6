//! A replica of a table, updated from the table itself or from other replicas.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::Time;
use serde::{Deserialize, Serialize};

use crate::{RowsDigest, RowsReport, Standstills};

/// Pairs a row with the position of its last change, so that older reads of it can't replace it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Content of the row, which copies share.
    pub value: Arc<str>,
    /// Position of its last change in the table's history.
    pub position: u64,
}

/// Describes the change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Name of the row.
    pub name: String,
    /// New content, or `None` if the row was deleted.
    pub value: Option<String>,
    /// Position of the change in the table's history.
    pub position: u64,
}

/// Carries a whole table from one instance to another, with the position up to which it is
/// complete.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableSnapshot {
    /// Rows by name.
    pub rows: BTreeMap<String, ReplicaRow>,
    /// Position up to which the snapshot is complete.
    pub position: u64,
}

/// Replicates one table; its position never decreases.
///
/// While nobody can read the table, rows may expire whose writers are alive but can't reach it
/// either; those writers write them again once it is back. Rows that are found deleted are therefore
/// retained until a while after the table's return. A read that fails on some instances alone is no
/// outage, since the writers were not affected; so each instance reports to the others whether its own reads succeed.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Replica, RowChange};
/// use std::time::Duration;
///
/// let mut replica = Replica::new(Duration::from_secs(2));
/// let change = RowChange { name: "t1".into(), value: Some("up".into()), position: 5 };
/// assert!(replica.apply_changes(Time::ZERO, vec![change], 7));
/// assert_eq!(replica.position(), 7);
/// assert_eq!(replica.rows().count(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct Replica {
    snapshot: TableSnapshot,
    /// Position up to which rows may have changed; from there to the own position, none has.
    changed_at: u64,
    /// Position of the last change of a row that has been seen.
    last_change: u64,
    is_initialized: bool,
    digest: RowsDigest,
    /// Whether each row is known to be as it is at the own position.
    is_settled: bool,
    /// Whether rows have been corrected at the own position, which others may have as well.
    is_corrected: bool,
    /// Deleted rows that are retained until a time.
    retained: BTreeMap<String, (ReplicaRow, Time)>,
    grace_period: Duration,
    /// Time at or after which the table was last read, by this instance or another.
    last_contact_at: Option<Time>,
    outage: Option<Outage>,
    /// Time from which an outage was assumed that reports of other instances may still refute, and the outage before it.
    uncertain: Option<(Time, Option<Outage>)>,
    standstills: Standstills,
}

/// Describes the last time during which no instance could read the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outage {
    /// It has lasted since this time.
    Ongoing(Time),
    /// It ended at this time.
    Over(Time),
}

/// Time after a successful read, by any instance, during which a failed one is no sign of an outage.
const CONTACT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time after a standstill of this instance within which it handles the reports that arrived meanwhile.
const HEARING_TIME: Duration = Duration::from_millis(500);

impl Replica {
    /// Returns an empty replica that retains rows which an outage may have removed until
    /// `grace_period` after its end.
    pub fn new(grace_period: Duration) -> Self {
        Self {
            snapshot: TableSnapshot::default(),
            changed_at: 0,
            last_change: 0,
            is_initialized: false,
            digest: RowsDigest::default(),
            is_settled: false,
            is_corrected: false,
            retained: BTreeMap::new(),
            grace_period,
            last_contact_at: None,
            outage: None,
            uncertain: None,
            standstills: Standstills::default(),
        }
    }

    /// Returns whether the table has been read at least once.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Returns the position up to which the replica is complete.
    pub fn position(&self) -> u64 {
        self.snapshot.position
    }

    /// Returns the position from which on no row has changed: a replica that is complete up to it has
    /// all that this one has.
    ///
    /// The own position rises with all writes to the platform, also to other tables.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Returns the position of the last change that is known to have happened: unlike [`Self::changed_at`], it doesn't
    /// rise with the position of a whole table.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the rows with their names, retained rows included.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &ReplicaRow)> {
        let retained = self.retained.iter().map(|(name, (row, _))| (name, row));
        let rows = self.snapshot.rows.iter().chain(retained);
        rows.map(|(name, row)| (name.as_str(), row))
    }

    /// Returns the rows without retained ones, to be sent to other replicas.
    pub fn snapshot(&self) -> &TableSnapshot {
        &self.snapshot
    }

    /// Returns the digest of the rows, retained ones left out, and the positions for which it holds; `None` unless each
    /// row is known to be as it is there.
    ///
    /// All replicas that report a position have the same rows at it.
    pub fn rows_report(&self) -> Option<RowsReport> {
        let is_exact = self.is_settled && self.last_change <= self.snapshot.position;
        is_exact.then(|| RowsReport {
            changed_at: self.changed_at,
            span: self.snapshot.position.saturating_sub(self.changed_at),
            digest: self.digest,
        })
    }

    /// Records that each row is as it is at the own position: changes have been read up to it since the last whole table
    /// came.
    ///
    /// The rows of a whole table may be later than its position.
    pub fn settle(&mut self) {
        self.is_settled = self.is_initialized;
    }

    /// Returns whether the row has been deleted and is retained.
    pub fn is_retained(&self, name: &str) -> bool {
        self.retained.contains_key(name)
    }

    /// Returns the position up to which what is told of a row is old: that of its last change if it is retained, else the
    /// replica's.
    pub fn position_for(&self, name: &str) -> u64 {
        let retained = self.retained.get(name);
        retained.map_or(self.snapshot.position, |(row, _)| row.position)
    }

    /// Returns the names of the deleted rows that are retained, with the times until which they are.
    pub fn retained_until(&self) -> impl Iterator<Item = (&str, Time)> {
        let retained = self.retained.iter();
        retained.map(|(name, (_, until))| (name.as_str(), *until))
    }

    /// Returns the names of the deleted rows that are retained.
    pub fn retained(&self) -> impl Iterator<Item = &str> {
        self.retained.keys().map(String::as_str)
    }

    /// Returns whether no instance can read the table, as far as this one knows.
    pub fn has_outage(&self) -> bool {
        matches!(self.outage, Some(Outage::Ongoing(_)))
    }

    /// Returns a time at or after which the table was last read, by this instance or another.
    pub fn last_contact_at(&self) -> Option<Time> {
        self.last_contact_at
    }

    /// Records that an instance could not read the table over a new connection.
    pub fn on_read_failure(&mut self, now: Time) {
        self.on_failure(now, self.last_contact_at.map(|at| now - at));
    }

    /// Records that this instance could not read the table over a new connection. The time for which it stood still
    /// doesn't count as time without a read, since it couldn't handle reports of other instances' reads then; where these
    /// report failures, [`Self::on_read_failure`] counts it.
    pub fn on_own_read_failure(&mut self, now: Time) {
        let last_contact = self.last_contact_at;
        self.on_failure(
            now,
            last_contact.map(|at| self.standstills.awake_time(at, now)),
        );
    }

    fn on_failure(&mut self, now: Time, silence: Option<Duration>) {
        let is_reachable = silence.is_some_and(|silence| silence <= CONTACT_VALIDITY);
        if !is_reachable && !self.has_outage() {
            let has_just_woken =
                self.standstills.awake_time(now.before(HEARING_TIME), now) < HEARING_TIME;
            self.uncertain = has_just_woken.then_some((now, self.outage));
            self.outage = Some(Outage::Ongoing(now));
        }
    }

    /// Records that this instance stood still until `now`, where it was to run at `due`.
    pub fn on_wake(&mut self, due: Time, now: Time) {
        self.standstills.on_wake(due, now);
    }

    /// Records that some instance read the table at `at` or later. This may refute an outage that was assumed just after
    /// a standstill; rows are then no longer retained because of it.
    pub fn on_contact(&mut self, at: Time) {
        self.last_contact_at = self.last_contact_at.max(Some(at));
        if matches!(self.outage, Some(Outage::Ongoing(since)) if at > since) {
            self.outage = Some(Outage::Over(at));
        }
        let refuted = self
            .uncertain
            .filter(|(since, _)| at <= *since && *since - at <= CONTACT_VALIDITY);
        if let Some((since, before)) = refuted {
            (self.outage, self.uncertain) = (before, None);
            self.shorten_retention(since);
        }
    }

    /// Retains rows no longer than the last outage asks for, at most until `end` if there was none.
    fn shorten_retention(&mut self, end: Time) {
        let end = match self.outage {
            Some(Outage::Over(at)) => at + self.grace_period,
            _ => end,
        };
        for (_, until) in self.retained.values_mut() {
            *until = end.min(*until);
        }
    }

    /// Applies the changes up to `position` and returns whether the rows have changed.
    pub fn apply_changes(&mut self, now: Time, changes: Vec<RowChange>, position: u64) -> bool {
        let mut is_changed = !self.is_initialized;
        self.is_initialized = true;
        let own_position = self.snapshot.position;
        // A late read: the content at the own position reflects what it brings.
        for change in changes
            .into_iter()
            .filter(|change| change.position > own_position)
        {
            self.changed_at = self.changed_at.max(change.position);
            self.last_change = self.last_change.max(change.position);
            let value = change.value.map(Arc::from);
            is_changed |= self.apply_change(now, change.name, value, change.position);
        }
        if position > own_position {
            self.snapshot.position = position;
            if std::mem::take(&mut self.is_corrected) {
                self.changed_at = position;
            }
        }
        is_changed
    }

    /// Replaces the content by a newer snapshot and returns whether the rows have changed. The rows that it lacks
    /// count as deleted at `deleted_by`, when it was first known that some row may have changed, unless they are later
    /// than the snapshot.
    ///
    /// A snapshot that is not newer is ignored.
    pub fn replace(&mut self, deleted_by: Time, snapshot: TableSnapshot) -> bool {
        if self.is_initialized && snapshot.position <= self.snapshot.position {
            return false;
        }
        self.take(deleted_by, snapshot)
    }

    /// Replaces the content by a whole read of the table itself and returns whether the rows have changed. Rows that
    /// contradict it are replaced, also at the own position. The rows that it lacks count as deleted at `deleted_by`.
    ///
    /// A read from before the own position is ignored.
    pub fn restore(&mut self, deleted_by: Time, snapshot: TableSnapshot) -> bool {
        if self.is_initialized && snapshot.position < self.snapshot.position {
            return false;
        }
        let (position, changed_at) = (self.snapshot.position, self.changed_at);
        let is_same_position = self.is_initialized && snapshot.position == position;
        let wrong = self.rows_against(&snapshot);
        for name in &wrong {
            self.take_out(name);
        }
        let is_changed = self.take(deleted_by, snapshot) || !wrong.is_empty();
        if is_same_position {
            self.is_corrected |= is_changed;
            self.changed_at = if is_changed { position } else { changed_at };
        }
        is_changed
    }

    /// Returns the names of the rows that a whole read of the table itself has with an earlier change, or with other
    /// content. Those that are later than the read may have changed since.
    fn rows_against(&self, read: &TableSnapshot) -> Vec<String> {
        let rows = self.snapshot.rows.iter();
        let comparable = rows.filter(|(_, row)| row.position <= read.position);
        let wrong = comparable.filter(|(name, row)| {
            read.rows.get(*name).is_some_and(|found| {
                let is_same = found.position == row.position;
                found.position < row.position || (is_same && found.value != row.value)
            })
        });
        wrong.map(|(name, _)| name.clone()).collect()
    }

    fn take(&mut self, deleted_by: Time, snapshot: TableSnapshot) -> bool {
        let deleted: Vec<String> = self
            .snapshot
            .rows
            .iter()
            // A row of a later page of a whole read is later than the read's position.
            .filter(|(_, row)| row.position <= snapshot.position)
            .map(|(name, _)| name)
            .filter(|name| !snapshot.rows.contains_key(*name))
            .cloned()
            .collect();
        let mut is_changed = !self.is_initialized || !deleted.is_empty();
        self.is_initialized = true;
        for name in deleted {
            self.remove(deleted_by, &name);
        }
        let positions = snapshot.rows.values().map(|row| row.position);
        self.last_change = positions.fold(self.last_change, u64::max);
        for (name, found) in snapshot.rows {
            is_changed |= self.apply_change(deleted_by, name, Some(found.value), found.position);
        }
        self.snapshot.position = snapshot.position;
        // A row that came and went in between has left no trace.
        self.changed_at = snapshot.position;
        self.is_settled = false;
        is_changed
    }

    /// Drops retained rows whose grace period is over and returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.retained.len();
        self.retained.retain(|_, (_, until)| now < *until);
        self.retained.len() < before
    }

    /// Returns the time at which the next retained row is dropped.
    pub fn expires_at(&self) -> Option<Time> {
        self.retained.values().map(|(_, until)| *until).min()
    }

    fn apply_change(
        &mut self,
        now: Time,
        name: String,
        value: Option<Arc<str>>,
        position: u64,
    ) -> bool {
        let known = self.snapshot.rows.get(&name);
        if known.is_some_and(|row| row.position >= position) {
            return false;
        }
        let Some(value) = value else {
            return self.remove(now, &name);
        };
        self.retained.remove(&name);
        let is_same = self.take_out(&name).is_some_and(|row| row.value == value);
        let row = ReplicaRow { value, position };
        self.digest = self.digest.with(&name, &row);
        self.snapshot.rows.insert(name, row);
        !is_same
    }

    fn remove(&mut self, now: Time, name: &str) -> bool {
        let Some(row) = self.take_out(name) else {
            return false;
        };
        let until = match self.outage {
            Some(Outage::Ongoing(_)) => now + self.grace_period,
            Some(Outage::Over(at)) => at + self.grace_period,
            None => now,
        };
        if now < until {
            self.retained.insert(name.to_owned(), (row, until));
        }
        true
    }

    fn take_out(&mut self, name: &str) -> Option<ReplicaRow> {
        let row = self.snapshot.rows.remove(name)?;
        self.digest = self.digest.without(name, &row);
        Some(row)
    }
}

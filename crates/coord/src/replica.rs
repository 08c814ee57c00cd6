//! A replica of a table, updated from the table itself or from other replicas.

mod outage;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Position, Time};

use self::outage::Outage;
use crate::{
    KeptRows, ReplicaRow, RowChange, RowOrder, RowsDigest, RowsReport, Standstills, TableSnapshot,
    unordered_rows,
};

/// Replicates one table; its position never decreases.
///
/// A platform that is restored from an older copy of its tables begins a later era of positions. What was known before and is
/// later than the copy is kept over the table's rows until its writers write it again ([`KeptRows`]).
///
/// While nobody can read the table, rows may expire whose writers are alive but can't reach it
/// either; those writers write them again once it is back. Rows that are found deleted are therefore
/// retained until a while after the table's return. A read that fails on some instances alone is no
/// outage, since the writers were not affected; so each instance reports to the others whether its own reads succeed.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{Replica, RowChange};
/// use std::time::Duration;
///
/// let mut replica = Replica::new(Duration::from_secs(2));
/// let change = RowChange { name: "t1".into(), value: Some("up".into()), position: Position::from(5) };
/// assert!(replica.apply_changes(Time::ZERO, vec![change], Position::from(7)));
/// assert_eq!(replica.position(), Position::from(7));
/// assert_eq!(replica.rows().count(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct Replica {
    snapshot: TableSnapshot,
    /// Position up to which rows may have changed; from there to the own position, none has.
    changed_at: Position,
    /// Position of the last change of a row that has been seen.
    last_change: Position,
    is_initialized: bool,
    digest: RowsDigest,
    /// Whether each row is known to be as it is at the own position.
    is_settled: bool,
    /// Whether rows have been corrected at the own position, which others may have as well.
    is_corrected: bool,
    /// Deleted rows that are retained until a time.
    retained: BTreeMap<String, (ReplicaRow, Time)>,
    /// Rows that are kept as they were known in an earlier era.
    kept: KeptRows,
    /// Time at which the first table of the present era came, unless a row whose revisions are counted has been written
    /// in it since.
    unwritten_since: Option<Time>,
    /// Rows that were known before the present era and are gone with its first table.
    dropped: Vec<String>,
    grace_period: Duration,
    /// Time at or after which the table was last read, by this instance or another.
    last_contact_at: Option<Time>,
    outage: Option<Outage>,
    /// Time from which an outage was assumed that reports of other instances may still refute, and the outage before it.
    uncertain: Option<(Time, Option<Outage>)>,
    standstills: Standstills,
}

impl Replica {
    /// Returns an empty replica that retains rows which an outage may have removed until
    /// `grace_period` after its end.
    pub fn new(grace_period: Duration) -> Self {
        Self {
            snapshot: TableSnapshot::default(),
            changed_at: Position::ZERO,
            last_change: Position::ZERO,
            is_initialized: false,
            digest: RowsDigest::default(),
            is_settled: false,
            is_corrected: false,
            retained: BTreeMap::new(),
            kept: KeptRows::ordered_by(unordered_rows),
            unwritten_since: None,
            dropped: Vec::new(),
            grace_period,
            last_contact_at: None,
            outage: None,
            uncertain: None,
            standstills: Standstills::default(),
        }
    }

    /// Sets how contents of a row are compared after the table was restored from a copy; by default the copy's are taken.
    pub fn ordered_by(mut self, order: RowOrder) -> Self {
        self.kept = KeptRows::ordered_by(order);
        self
    }

    /// Returns whether the table has been read at least once.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Returns the position up to which the replica is complete.
    pub fn position(&self) -> Position {
        self.snapshot.position
    }

    /// Returns the position from which on no row has changed: a replica that is complete up to it has
    /// all that this one has.
    ///
    /// The own position rises with all writes to the platform, also to other tables.
    pub fn changed_at(&self) -> Position {
        self.changed_at
    }

    /// Returns the position of the last change that is known to have happened: unlike [`Self::changed_at`], it doesn't
    /// rise with the position of a whole table.
    pub fn last_change(&self) -> Position {
        self.last_change
    }

    /// Returns the rows with their names as they are known: retained rows and those kept from an earlier era included.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &ReplicaRow)> {
        let retained = self.retained.iter().map(|(name, (row, _))| (name, row));
        let rows = self.snapshot.rows.iter().chain(retained);
        let rows = rows.filter(|(name, _)| self.kept.get(name).is_none());
        let rows = rows.chain(self.kept.present());
        rows.map(|(name, row)| (name.as_str(), row))
    }

    /// Returns the names of the rows that are kept as they were known in an earlier era.
    pub fn kept(&self) -> impl Iterator<Item = &str> {
        self.kept.names()
    }

    /// Returns since when the table has been a copy in which no row whose revisions are counted has been written again.
    pub fn unwritten_since(&self) -> Option<Time> {
        self.unwritten_since
    }

    /// Returns the names of the rows that were known before the present era, and which its first table neither had nor left
    /// to be kept.
    pub fn dropped(&self) -> impl Iterator<Item = &str> {
        self.dropped.iter().map(String::as_str)
    }

    /// Returns until when the last one is kept of the kept rows that aren't kept until their next write.
    pub fn kept_until(&self) -> Option<Time> {
        self.kept.until()
    }

    /// Returns the rows as the table has them, without retained and kept ones, to be sent to other replicas.
    pub fn snapshot(&self) -> &TableSnapshot {
        &self.snapshot
    }

    /// Returns the digest of the rows, retained ones left out, and the positions for which it holds; `None` unless each
    /// row is known to be as it is there.
    ///
    /// All replicas that report a position have the same rows at it.
    pub fn rows_report(&self) -> Option<RowsReport> {
        let (position, changed_at) = (self.snapshot.position, self.changed_at);
        let is_exact = self.is_settled && self.last_change <= position;
        (is_exact && changed_at.era == position.era).then(|| RowsReport {
            changed_at,
            span: position.version.saturating_sub(changed_at.version),
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

    /// Returns whether the row is retained although it has been deleted, or kept from an earlier era.
    pub fn is_retained(&self, name: &str) -> bool {
        self.retained.contains_key(name) || self.kept.get(name).is_some()
    }

    /// Returns the position up to which what is reported of a row is old: that of its last change if it is retained or kept,
    /// else the replica's.
    pub fn position_for(&self, name: &str) -> Position {
        let retained = self.retained.get(name).map(|(row, _)| row);
        let known = self.kept.get(name).flatten().or(retained);
        known.map_or(self.snapshot.position, |row| row.position)
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

    /// Applies the changes up to `position` and returns whether the rows have changed.
    pub fn apply_changes(
        &mut self,
        now: Time,
        changes: Vec<RowChange>,
        position: Position,
    ) -> bool {
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
        if self.is_initialized && snapshot.position.era > self.snapshot.position.era {
            return self.begin_era(deleted_by, snapshot);
        }
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
        let is_changed = !self.is_initialized || !deleted.is_empty();
        self.is_initialized = true;
        for name in deleted {
            self.remove(deleted_by, &name);
        }
        self.take_rows(deleted_by, snapshot) || is_changed
    }

    /// Takes the rows of a whole table and its position; returns whether they differ from those of the own one.
    fn take_rows(&mut self, now: Time, snapshot: TableSnapshot) -> bool {
        let mut is_changed = false;
        self.last_change = last_change(&snapshot).max(self.last_change);
        for (name, found) in snapshot.rows {
            is_changed |= self.apply_change(now, name, Some(found.value), found.position);
        }
        self.snapshot.position = snapshot.position;
        // A row that came and went in between has left no trace.
        self.changed_at = snapshot.position;
        self.is_settled = false;
        is_changed
    }

    /// Takes a table of a later era as it is, and keeps what was known before and is later; returns whether the known rows
    /// have changed. The rows that it lacks count as deleted a grace period after `now` at the latest, if there is one.
    fn begin_era(&mut self, now: Time, snapshot: TableSnapshot) -> bool {
        let known: BTreeMap<String, ReplicaRow> = self
            .rows()
            .map(|(name, row)| (name.to_owned(), row.clone()))
            .collect();
        let has_grace = self.grace_period > Duration::ZERO;
        let missing_until = has_grace.then_some(now + self.grace_period);
        let is_written = self
            .kept
            .begin_era(now, &known, &snapshot.rows, missing_until);
        self.unwritten_since = (!is_written).then_some(now);
        self.retained.clear();
        self.is_corrected = false;
        self.is_settled = false;
        self.changed_at = snapshot.position;
        self.last_change = last_change(&snapshot).max(self.last_change);
        let rows = snapshot.rows.iter();
        self.digest = rows.fold(RowsDigest::default(), |digest, (name, row)| {
            digest.with(name, row)
        });
        self.snapshot = snapshot;
        for (name, row) in &known {
            let is_there = self.snapshot.rows.contains_key(name) || self.kept.get(name).is_some();
            if !is_there {
                self.retain_deleted(now, name, row.clone());
            }
        }
        let rows = self.rows().map(|(name, row)| (name, &row.value));
        let rows: BTreeMap<&str, &Arc<str>> = rows.collect();
        let dropped = known
            .keys()
            .filter(|name| !rows.contains_key(name.as_str()));
        let dropped = dropped.cloned().collect();
        let known = known.iter().map(|(name, row)| (name.as_str(), &row.value));
        let is_changed = !known.eq(rows);
        self.dropped = dropped;
        is_changed
    }

    /// Records that others know a row to be deleted permanently, as a table of a later era is about to come, which may be from
    /// before; returns whether it was known otherwise.
    pub fn on_told_deleted(&mut self, now: Time, name: &str) -> bool {
        let retained = self.retained.remove(name).map(|(row, _)| row);
        let kept = self.kept.take(name);
        let Some(row) = kept.or(self.take_out(name)).or(retained) else {
            return false;
        };
        self.kept.on_deleted(now, name.to_owned(), row);
        true
    }

    /// Drops retained and kept rows whose grace period is over and returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let over = self.retained.extract_if(.., |_, (_, until)| *until <= now);
        let over: Vec<_> = over.collect();
        let is_any = !over.is_empty();
        for (name, (row, _)) in over {
            self.kept.on_deleted(now, name, row);
        }
        self.kept.expire(now) || is_any
    }

    /// Returns the time at which the next retained or kept row is dropped.
    pub fn expires_at(&self) -> Option<Time> {
        let retained = self.retained.values().map(|(_, until)| *until);
        retained.chain(self.kept.expires_at()).min()
    }

    fn apply_change(
        &mut self,
        now: Time,
        name: String,
        value: Option<Arc<str>>,
        position: Position,
    ) -> bool {
        let known = self.snapshot.rows.get(&name);
        if known.is_some_and(|row| row.position >= position) {
            return false;
        }
        if self.unwritten_since.is_some() {
            let is_counted = |value: &Arc<str>| self.kept.is_counted(&name, value);
            self.unwritten_since
                .take_if(|_| value.as_ref().is_some_and(is_counted));
        }
        let Some(value) = value else {
            return self.remove(now, &name);
        };
        self.retained.remove(&name);
        let was_kept = self.kept.on_write(&name, Some(&value));
        let is_same = self.take_out(&name).is_some_and(|row| row.value == value);
        let row = ReplicaRow { value, position };
        self.digest = self.digest.with(&name, &row);
        self.snapshot.rows.insert(name, row);
        !is_same || was_kept
    }

    fn remove(&mut self, now: Time, name: &str) -> bool {
        let was_kept = self.kept.on_write(name, None);
        let Some(row) = self.take_out(name) else {
            return was_kept;
        };
        self.retain_deleted(now, name, row);
        true
    }

    /// Retains a row that has been deleted if an outage may have removed it.
    fn retain_deleted(&mut self, now: Time, name: &str, row: ReplicaRow) {
        let until = match self.outage {
            Some(Outage::Ongoing(_)) => now + self.grace_period,
            Some(Outage::Over { at, .. }) => at + self.grace_period,
            None => now,
        };
        if now < until {
            self.retained.insert(name.to_owned(), (row, until));
        } else {
            self.kept.on_deleted(now, name.to_owned(), row);
        }
    }

    fn take_out(&mut self, name: &str) -> Option<ReplicaRow> {
        let row = self.snapshot.rows.remove(name)?;
        self.digest = self.digest.without(name, &row);
        Some(row)
    }
}

/// Returns the position of the last change that a whole table shows.
fn last_change(snapshot: &TableSnapshot) -> Position {
    let positions = snapshot.rows.values().map(|row| row.position);
    positions.max().unwrap_or_default()
}

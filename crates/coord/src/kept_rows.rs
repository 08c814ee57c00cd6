//! Rows that are kept as they were known before their table was restored from an older copy.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use base::{Position, Time};

use crate::ReplicaRow;

/// Maximum number of deleted rows that are remembered.
const MAX_DELETED: usize = 4_096;
/// Time for which a deleted row is remembered.
const DELETED_VALIDITY: Duration = Duration::from_secs(600);
/// Maximum time for which a row is kept whose writer doesn't count its revisions, or that counts as deleted: by then the
/// table shows whether its writer is alive, and what it wants.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// Compares what a row is found to hold with what it was known to hold, by its writer's own count of revisions; `None`
/// if these say nothing. Takes the row's name, the known content and the found one.
pub type RowOrder = fn(&str, &str, &str) -> Option<Ordering>;

/// Keeps what was known of rows over an older copy of their table, until their writers write them again.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{KeptRows, ReplicaRow};
/// use std::collections::BTreeMap;
///
/// let by_length = |_: &str, known: &str, found: &str| Some(found.len().cmp(&known.len()));
/// let mut kept = KeptRows::ordered_by(by_length);
/// let row = |value: &str, position| ReplicaRow { value: value.into(), position };
/// let known = BTreeMap::from([("t1".to_owned(), row("later", Position::new(1, 9)))]);
/// let copy = BTreeMap::from([("t1".to_owned(), row("old", Position::new(2, 5)))]);
///
/// kept.begin_era(Time::ZERO, &known, &copy, None);
/// assert_eq!(kept.get("t1").unwrap().unwrap().value.as_ref(), "later");
/// kept.on_write("t1", Some("latest"));
/// assert!(kept.get("t1").is_none());
/// ```
#[derive(Debug, Clone)]
pub struct KeptRows {
    order: RowOrder,
    rows: BTreeMap<String, KeptRow>,
    deleted: VecDeque<DeletedRow>,
}

/// A row as it was known in an earlier era.
#[derive(Debug, Clone)]
struct KeptRow {
    row: ReplicaRow,
    /// Whether it was known to be deleted, with that content before.
    is_deleted: bool,
    /// Time until which it is kept; `None` if until its next write.
    until: Option<Time>,
}

/// A row that was found deleted.
#[derive(Debug, Clone)]
struct DeletedRow {
    name: String,
    row: ReplicaRow,
    at: Time,
}

impl KeptRows {
    /// Returns no rows; those of the same name are compared by `order`.
    pub fn ordered_by(order: RowOrder) -> Self {
        Self {
            order,
            rows: BTreeMap::new(),
            deleted: VecDeque::new(),
        }
    }

    /// Returns what is kept of a row: its content, or `None` if it counts as deleted.
    pub fn get(&self, name: &str) -> Option<Option<&ReplicaRow>> {
        let kept = self.rows.get(name)?;
        Some((!kept.is_deleted).then_some(&kept.row))
    }

    /// Returns whether the row's writer counts its revisions.
    pub fn is_counted(&self, name: &str, value: &str) -> bool {
        (self.order)(name, value, value).is_some()
    }

    /// Returns the kept rows that don't count as deleted.
    pub fn present(&self) -> impl Iterator<Item = (&String, &ReplicaRow)> {
        let present = self.rows.iter().filter(|(_, kept)| !kept.is_deleted);
        present.map(|(name, kept)| (name, &kept.row))
    }

    /// Returns the names of all kept rows, those that count as deleted included.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Begins an era at `now` with a copy of the table, where `known` are the rows as they were known before. Rows are kept
    /// until they are written again, for a minute at most if their revisions aren't counted or they count as deleted;
    /// those that the copy lacks until `missing_until`. With such a time, those that the copy must have had aren't kept: they
    /// have been deleted since.
    ///
    /// Returns whether the copy has any row later than it was known, so that its writer has written it since.
    pub fn begin_era(
        &mut self,
        now: Time,
        known: &BTreeMap<String, ReplicaRow>,
        copy: &BTreeMap<String, ReplicaRow>,
        missing_until: Option<Time>,
    ) -> bool {
        let mut deleted: BTreeMap<String, ReplicaRow> = BTreeMap::new();
        for one in &self.deleted {
            deleted.insert(one.name.clone(), one.row.clone());
        }
        let before = std::mem::take(&mut self.rows);
        let before = before.into_iter().filter(|(_, kept)| kept.is_deleted);
        deleted.extend(before.map(|(name, kept)| (name, kept.row)));
        deleted.retain(|name, _| !known.contains_key(name));
        let copied_to = missing_until.map_or(Position::ZERO, |_| copied_to(known, copy));
        let mut is_written = false;
        for (name, row) in known {
            let found = copy.get(name);
            let order = found.and_then(|found| (self.order)(name, &row.value, &found.value));
            is_written |= order == Some(Ordering::Greater);
            let is_older = match found {
                Some(_) => order == Some(Ordering::Less),
                None => row.position > copied_to || row.position.era < copied_to.era,
            };
            let limit = (!self.is_counted(name, &row.value)).then_some(now + KEEP_TIME);
            let until = missing_until.filter(|_| found.is_none()).or(limit);
            self.keep_if(is_older, name.clone(), row.clone(), false, until);
        }
        for (name, row) in deleted {
            let is_older = copy
                .get(&name)
                .is_some_and(|found| self.is_from_before(&name, &row, found));
            self.keep_if(is_older, name, row, true, Some(now + KEEP_TIME));
        }
        is_written
    }

    /// Records that a row has been written or deleted in the present era; returns whether it was kept until now.
    pub fn on_write(&mut self, name: &str, value: Option<&str>) -> bool {
        let Some(kept) = self.rows.get(name) else {
            return false;
        };
        let order = value.and_then(|value| (self.order)(name, &kept.row.value, value));
        let is_older = match order {
            Some(order) if kept.is_deleted => order.is_le(),
            Some(order) => order.is_lt(),
            None => false,
        };
        if !is_older {
            self.rows.remove(name);
        }
        !is_older
    }

    /// Takes out a row that doesn't count as deleted.
    pub fn take(&mut self, name: &str) -> Option<ReplicaRow> {
        let kept = self.rows.get(name).filter(|kept| !kept.is_deleted)?;
        let row = kept.row.clone();
        self.rows.remove(name);
        Some(row)
    }

    /// Records that a row is gone permanently as far as is known.
    pub fn on_deleted(&mut self, now: Time, name: String, row: ReplicaRow) {
        let is_over = |one: &DeletedRow| now - one.at > DELETED_VALIDITY;
        while self.deleted.front().is_some_and(is_over) || self.deleted.len() >= MAX_DELETED {
            self.deleted.pop_front();
        }
        self.deleted.push_back(DeletedRow { name, row, at: now });
    }

    /// Drops rows that have been kept for long enough; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let is_over = |kept: &KeptRow| kept.until.is_some_and(|until| until <= now);
        let over: Vec<_> = self.rows.extract_if(.., |_, kept| is_over(kept)).collect();
        let is_any = !over.is_empty();
        let gone = over.into_iter().filter(|(_, kept)| !kept.is_deleted);
        for (name, kept) in gone {
            self.on_deleted(now, name, kept.row);
        }
        is_any
    }

    /// Returns until when the last one is kept of the rows that aren't kept until their next write.
    pub fn until(&self) -> Option<Time> {
        self.rows.values().filter_map(|kept| kept.until).max()
    }

    /// Returns the time at which the next row is dropped.
    pub fn expires_at(&self) -> Option<Time> {
        self.rows.values().filter_map(|kept| kept.until).min()
    }
}

impl KeptRows {
    fn keep_if(
        &mut self,
        is_kept: bool,
        name: String,
        row: ReplicaRow,
        is_deleted: bool,
        until: Option<Time>,
    ) {
        if is_kept {
            let kept = KeptRow {
                row,
                is_deleted,
                until,
            };
            self.rows.insert(name, kept);
        }
    }

    /// Returns whether a row of a copy was written before it was known to be deleted, with `last` as its last content.
    fn is_from_before(&self, name: &str, last: &ReplicaRow, found: &ReplicaRow) -> bool {
        match (self.order)(name, &last.value, &found.value) {
            Some(order) => order.is_le(),
            // The same write has the same version in all eras.
            None => {
                let is_same_write = found.position == last.position.in_era(found.position.era);
                is_same_write && Arc::as_ref(&found.value) == last.value.as_ref()
            }
        }
    }
}

/// Returns a position of the last era that the copy has reached: the last one at which both have the same write.
fn copied_to(
    known: &BTreeMap<String, ReplicaRow>,
    copy: &BTreeMap<String, ReplicaRow>,
) -> Position {
    let same = known.iter().filter(|(name, row)| {
        copy.get(*name).is_some_and(|found| {
            found.position.version == row.position.version && found.value == row.value
        })
    });
    same.map(|(_, row)| row.position).max().unwrap_or_default()
}

/// Returns no order: what is found replaces what was known.
pub fn unordered_rows(_: &str, _: &str, _: &str) -> Option<Ordering> {
    None
}

//! A copy of a table that follows its changes, from the table or from others who follow it.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use serde::{Deserialize, Serialize};

/// Holds one row of a copied table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Content.
    pub value: String,
    /// Position of its last change.
    pub position: u64,
}

/// Describes a row's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Name of the row.
    pub name: String,
    /// Content; `None` where the row was deleted.
    pub value: Option<String>,
    /// Position of the change.
    pub position: u64,
}

/// Holds a whole table as of one position.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableSnapshot {
    /// Rows by name.
    pub rows: BTreeMap<String, ReplicaRow>,
    /// Position up to which the image is complete.
    pub position: u64,
}

/// Copies one table; its position only ever rises.
///
/// Rows that vanish right after the table could not be read are kept for a while: their writers
/// may have been cut off from it, too, and write them anew.
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
    image: TableSnapshot,
    is_read: bool,
    /// Rows that have been deleted and are kept until a time.
    kept: BTreeMap<String, (ReplicaRow, Time)>,
    grace: Duration,
    failed_at: Option<Time>,
}

impl Replica {
    /// Returns an empty copy that keeps vanished rows for `grace` after an outage.
    pub fn new(grace: Duration) -> Self {
        Self {
            image: TableSnapshot::default(),
            is_read: false,
            kept: BTreeMap::new(),
            grace,
            failed_at: None,
        }
    }

    /// Returns whether the table has been read at all.
    pub fn is_initialized(&self) -> bool {
        self.is_read
    }

    /// Returns the position up to which the copy is complete.
    pub fn position(&self) -> u64 {
        self.image.position
    }

    /// Returns the rows, kept ones included.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &ReplicaRow)> {
        let kept = self.kept.iter().map(|(name, (row, _))| (name, row));
        let rows = self.image.rows.iter().chain(kept);
        rows.map(|(name, row)| (name.as_str(), row))
    }

    /// Returns the copy, for others.
    pub fn snapshot(&self) -> &TableSnapshot {
        &self.image
    }

    /// Takes in that the table could not be read.
    pub fn on_read_failure(&mut self, now: Time) {
        self.failed_at = Some(now);
    }

    /// Takes in the changes up to `position` and returns whether the rows have changed.
    pub fn apply_changes(&mut self, now: Time, changes: Vec<RowChange>, position: u64) -> bool {
        let mut is_changed = !self.is_read;
        self.is_read = true;
        for change in changes {
            is_changed |= self.change(now, change);
        }
        self.image.position = self.image.position.max(position);
        is_changed
    }

    /// Takes in a whole table and returns whether the rows have changed; an older one is ignored.
    pub fn replace(&mut self, now: Time, image: TableSnapshot) -> bool {
        if self.is_read && image.position <= self.image.position {
            return false;
        }
        let gone: Vec<String> = self
            .image
            .rows
            .keys()
            .filter(|name| !image.rows.contains_key(*name))
            .cloned()
            .collect();
        let mut is_changed = !self.is_read || !gone.is_empty();
        self.is_read = true;
        for name in gone {
            self.remove(now, &name);
        }
        for (row, found) in image.rows {
            let change = RowChange {
                name: row,
                value: Some(found.value),
                position: found.position,
            };
            is_changed |= self.change(now, change);
        }
        self.image.position = image.position;
        is_changed
    }

    /// Drops kept rows whose time is over and returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.kept.len();
        self.kept.retain(|_, (_, until)| now < *until);
        self.kept.len() < before
    }

    /// Returns when the first kept row ends.
    pub fn expires_at(&self) -> Option<Time> {
        self.kept.values().map(|(_, until)| *until).min()
    }

    fn change(&mut self, now: Time, change: RowChange) -> bool {
        let known = self.image.rows.get(&change.name);
        if known.is_some_and(|row| row.position >= change.position) {
            return false;
        }
        let Some(value) = change.value else {
            return self.remove(now, &change.name);
        };
        self.kept.remove(&change.name);
        let is_same = known.is_some_and(|row| row.value == value);
        let row = ReplicaRow {
            value,
            position: change.position,
        };
        self.image.rows.insert(change.name, row);
        !is_same
    }

    fn remove(&mut self, now: Time, name: &str) -> bool {
        let Some(row) = self.image.rows.remove(name) else {
            return false;
        };
        let was_out = self.failed_at.is_some_and(|at| now - at < self.grace * 2);
        if was_out {
            let until = now + self.grace;
            self.kept.insert(name.to_owned(), (row, until));
        }
        true
    }
}

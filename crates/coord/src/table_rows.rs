//! Rows of a table as instances store and transfer them.

use std::{collections::BTreeMap, sync::Arc};

use base::{Position, Version};
use serde::{Deserialize, Serialize};

/// Pairs a row with the position of its last change, so that older reads of it can't replace it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow<P = Position> {
    /// Content of the row, which copies share.
    pub value: Arc<str>,
    /// Position of its last change in the table's history.
    pub position: P,
}

/// Describes the change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Name of the row.
    pub name: String,
    /// New content, or `None` if the row was deleted.
    pub value: Option<String>,
    /// Position of the change in the table's history.
    pub position: Position,
}

/// Carries a whole table from one instance to another, with the position up to which it is
/// complete.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableSnapshot<P = Position> {
    /// Rows by name.
    pub rows: BTreeMap<String, ReplicaRow<P>>,
    /// Position up to which the snapshot is complete.
    pub position: P,
}

impl TableSnapshot<Version> {
    /// Returns the table in its era: all its rows are described by the era's versions.
    pub fn in_era(self, era: u32) -> TableSnapshot {
        let rows = self.rows.into_iter().map(|(name, row)| {
            let position = row.position.in_era(era);
            let value = row.value;
            (name, ReplicaRow { value, position })
        });
        TableSnapshot {
            rows: rows.collect(),
            position: self.position.in_era(era),
        }
    }
}

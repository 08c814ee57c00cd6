//! Rows of a table as instances store and transfer them.

use std::{collections::BTreeMap, sync::Arc};

use base::Position;
use serde::{Deserialize, Serialize};

/// Pairs a row with the position of its last change, so that older reads of it can't replace it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Content of the row, which copies share.
    pub value: Arc<str>,
    /// Position of its last change in the table's history.
    pub position: Position,
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
pub struct TableSnapshot {
    /// Rows by name.
    pub rows: BTreeMap<String, ReplicaRow>,
    /// Position up to which the snapshot is complete.
    pub position: Position,
}

impl TableSnapshot {
    /// Returns the same table in another era: all its rows are described by the era's versions.
    pub fn in_era(mut self, era: u32) -> Self {
        self.position = self.position.in_era(era);
        for row in self.rows.values_mut() {
            row.position = row.position.in_era(era);
        }
        self
    }
}

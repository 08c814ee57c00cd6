//! The rows of leases and the writes that change them.

use base::{Incarnation, InstanceId, Position};
use serde::{Deserialize, Serialize};

/// Reports to all instances who owns a lease, how long it lasts and whether it was released, as a row of
/// the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds the lease.
    pub owner: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Fencing epoch, which increases each time the lease is acquired.
    pub epoch: u64,
    /// Number of the renewal within the epoch.
    pub renewal: u64,
    /// How long the lease lasts from this renewal on, in milliseconds.
    #[serde(rename = "horizon_ms")]
    pub ttl_ms: u64,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// Era of the table in which the row was written.
    #[serde(default)]
    pub era: u32,
    /// Earliest era in which a lease of the table was acquired, as far as the holder knows.
    #[serde(default)]
    pub since_era: u32,
}

impl LeaseRow {
    /// Returns whether the lease was never held before this row, in any era.
    pub fn is_first(&self) -> bool {
        self.renewal == 0 && self.epoch == first_epoch(self.era) && self.since_era == self.era
    }
}

/// Describes a conditional write of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// New content of the row.
    pub row: LeaseRow,
    /// Version that the row must have, or `None` if it must not exist.
    pub expected_version: Option<Position>,
}

/// Returns the epoch of a lease that is acquired in an era and whose highest known epoch is `highest`.
///
/// The epochs of two eras don't overlap: those that a table has lost aren't used again.
pub(super) fn next_epoch(highest: u64, era: u32) -> u64 {
    highest.saturating_add(1).max(first_epoch(era))
}

fn first_epoch(era: u32) -> u64 {
    (u64::from(era) << u32::BITS).max(1)
}

//! Digests of a table's rows, by which replicas at the same position are compared.

use base::{Position, Version};
use serde::{Deserialize, Serialize};

use crate::ReplicaRow;

/// Size of a digest of rows, in bytes.
const DIGEST_BYTES: usize = 8;

/// Digest of a table's rows, which doesn't depend on their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct RowsDigest([u8; DIGEST_BYTES]);

impl RowsDigest {
    /// Returns the digest as a number, for operators.
    pub fn number(self) -> u64 {
        u64::from_le_bytes(self.0)
    }

    /// Returns the digest with a row more.
    pub(crate) fn with(self, name: &str, row: &ReplicaRow) -> Self {
        Self::of(self.number().wrapping_add(row_digest(name, row)))
    }

    /// Returns the digest with a row less.
    pub(crate) fn without(self, name: &str, row: &ReplicaRow) -> Self {
        Self::of(self.number().wrapping_sub(row_digest(name, row)))
    }

    fn of(number: u64) -> Self {
        Self(number.to_le_bytes())
    }
}

/// Reports the rows that a replica has at all positions of a range.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{Replica, RowChange};
/// use std::time::Duration;
///
/// let mut replicas = [Replica::new(Duration::ZERO), Replica::new(Duration::ZERO)];
/// for (replica, value) in replicas.iter_mut().zip(["up", "down"]) {
///     let change = RowChange { name: "t1".into(), value: Some(value.into()), position: Position::from(5) };
///     replica.apply_changes(Time::ZERO, vec![change], Position::from(7));
///     replica.settle();
/// }
/// let [one, other] = replicas.map(|replica| replica.rows_report().unwrap());
/// assert!(one.contradicts(&other));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsReport<P = Position> {
    /// Position from which on no row has changed.
    pub changed_at: P,
    /// Number of further positions for which that holds.
    pub span: u64,
    /// Digest of the rows.
    pub digest: RowsDigest,
}

impl RowsReport<Version> {
    /// Returns the report in its era of the table's history.
    pub fn in_era(self, era: u32) -> RowsReport {
        RowsReport {
            changed_at: self.changed_at.in_era(era),
            span: self.span,
            digest: self.digest,
        }
    }
}

impl RowsReport {
    /// Returns the last position for which the report holds.
    pub fn position(&self) -> Position {
        let Position { era, version } = self.changed_at;
        Position::new(era, version.saturating_add(self.span))
    }

    /// Returns whether both reports hold for some position.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.changed_at <= other.position() && other.changed_at <= self.position()
    }

    /// Returns whether the two replicas differ at the same position, so that one of them has wrong rows.
    pub fn contradicts(&self, other: &Self) -> bool {
        self.overlaps(other) && self.digest != other.digest
    }
}

fn row_digest(name: &str, row: &ReplicaRow) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(name.len() as u64).to_le_bytes());
    hasher.update(name.as_bytes());
    hasher.update(&row.position.version.to_le_bytes());
    hasher.update(row.value.as_bytes());
    let mut digest = [0; DIGEST_BYTES];
    hasher.finalize_xof().fill(&mut digest);
    u64::from_le_bytes(digest)
}

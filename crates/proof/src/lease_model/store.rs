//! The store's row of the lease, and the copies from which the store may be restored.

use std::time::Duration;

use base::{Position, Time};
use coord::{LeaseRow, LeaseWrite, WriteOutcome};

/// A row, if there is one, with its version.
pub(super) type Standing = Option<(Position, LeaseRow)>;

/// Maximum age of a copy from which the store is restored.
const COPY_AGE: Duration = Duration::from_secs(10);

/// Performs conditional writes of the row, and goes back to copies.
#[derive(Debug, Clone, Hash)]
pub(super) struct Table {
    pub(super) era: u32,
    pub(super) row: Standing,
    /// Earlier row, with the time until which it was the present one.
    pub(super) copies: Vec<(Time, u64, Standing)>,
    pub(super) restored_at: Time,
    version: u64,
}

impl Table {
    pub(super) fn new() -> Self {
        Self {
            era: 1,
            restored_at: Time::ZERO,
            version: 0,
            row: None,
            copies: Vec::new(),
        }
    }

    /// Performs a write; the version that it expects may have been given out again.
    pub(super) fn perform(&mut self, now: Time, write: &LeaseWrite) -> WriteOutcome {
        let number = |position: Position| position.version;
        let standing = self.row.as_ref().map(|(position, _)| number(*position));
        if standing != write.expected_version.map(number) {
            return WriteOutcome::Conflict;
        }
        self.copies.push((now, self.version, self.row.clone()));
        self.version += 1;
        let position = Position::new(self.era, self.version);
        self.row = Some((position, write.row.clone()));
        WriteOutcome::Applied(position)
    }

    /// Goes back to the copy of a number, or to the present row if there is none of that number.
    pub(super) fn restore(&mut self, now: Time, idx: usize) {
        self.era += 1;
        self.restored_at = now;
        let copies = self.copies.split_off(idx);
        if let Some((_, version, row)) = copies.into_iter().next() {
            (self.version, self.row) = (version, row);
        }
        // Its version is of the new era from now on.
        self.row = self.row.take().map(|(position, row)| {
            let position = position.in_era(self.era);
            (position, row)
        });
        self.forget_copies(now);
    }

    pub(super) fn forget_copies(&mut self, now: Time) {
        self.copies.retain(|(until, ..)| now - *until <= COPY_AGE);
    }
}

//! What a read of a table has brought, and its rows as a replica takes them.

use base::{Position, Time};
use coord::{Answer, ReplicaRow, RowChange, TableSnapshot};
use platform::Change;

use crate::read_reports::{Fetch, LaterChange, ReadFailure};

/// Carries the result of one read of a table.
#[derive(Debug)]
pub(crate) enum TableRead {
    Changes(PlatformRead),
    Snapshot(PlatformRead),
    /// A part of the platform's answer has arrived.
    Arriving(Arrival),
    /// The table has changed after an answer that is arriving was made.
    Later(LaterChange),
    /// Rows that have changed after an answer that is arriving was made.
    Concurrent(ConcurrentRows),
    Failed(ReadFailure),
    Fetched(Fetch),
}

/// Carries rows that have changed after a position which the own copy hasn't reached: they can't be applied to it, and
/// confirm nothing.
#[derive(Debug)]
pub(crate) struct ConcurrentRows {
    pub(crate) rows: Vec<Change>,
    /// Position up to which they are complete.
    pub(crate) position: Position,
}

/// Describes an answer of the platform that is arriving.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    /// Time at which it began; `None` if it may bring nothing new, as a first read.
    pub(crate) since: Option<Time>,
    /// Position after which it was asked for changes.
    pub(crate) after: Position,
    /// Whether it arrives below the lowest rate of a transfer, or too slowly to be complete within the time in
    /// which a change must be in force.
    pub(crate) is_slow: bool,
}

/// Carries what the platform answered.
#[derive(Debug)]
pub(crate) struct PlatformRead {
    pub(crate) answer: Answer,
    /// Time at which the answer was made: it contains no later change.
    pub(crate) made_at: Time,
    /// Time at which an earlier read was sent over a new connection, of whose answer nothing had arrived in time as this one
    /// was complete.
    pub(crate) unanswered_since: Option<Time>,
    pub(crate) rows: Vec<Change>,
    /// Position up to which the rows are complete.
    pub(crate) position: Position,
}

impl PlatformRead {
    pub(crate) fn sent_at(&self) -> Time {
        self.answer.sent_at
    }
}

pub(crate) fn to_row_change(change: Change) -> RowChange {
    RowChange {
        name: change.row,
        value: change.value,
        position: change.at,
    }
}

pub(crate) fn to_snapshot(rows: Vec<Change>, position: Position) -> TableSnapshot {
    let rows = rows
        .into_iter()
        .filter_map(|change| {
            let row = ReplicaRow {
                value: change.value?.into(),
                position: change.at,
            };
            Some((change.row, row))
        })
        .collect();
    TableSnapshot { rows, position }
}

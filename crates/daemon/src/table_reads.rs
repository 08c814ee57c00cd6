//! Reads of the followed tables: long polls of the platform, and fetches from other instances.

use std::time::Duration;

use base::{InstanceId, Time};
use coord::{RowChange, TableSnapshot};
use entry::view::Clock;
use platform::{Change, Platform, PlatformError};
use tokio::{sync::mpsc, time::sleep};

/// Time for which the platform holds a poll open while nothing changes.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Time beyond [`POLL_WAIT`] after which a poll counts as failed.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Delay between two polls, so that changes in quick succession cost one poll.
const POLL_DELAY: Duration = Duration::from_millis(100);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Carries the result of one read of a table.
#[derive(Debug)]
pub(crate) enum TableRead {
    Changes(Vec<Change>, u64),
    Snapshot(Vec<Change>, u64),
    Failed(ReadFailure),
    Fetched(Fetch),
}

/// Describes a read of the platform that brought nothing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadFailure {
    /// Whether no answer came in time; otherwise the platform refused the call or couldn't be reached.
    pub(crate) is_unanswered: bool,
    /// Time from the call to its failure.
    pub(crate) waited: Duration,
}

/// Carries what another instance answered when it was asked for a table.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub(crate) from: InstanceId,
    pub(crate) asked_at: Time,
    pub(crate) snapshot: Option<TableSnapshot>,
}

/// Polls one table and sends what it reads to `tx`, until the receiver is dropped.
pub(crate) async fn poll_table(
    clock: Clock,
    platform: Platform,
    table: String,
    idx: usize,
    tx: mpsc::Sender<(usize, TableRead)>,
) {
    let timeout = POLL_WAIT + POLL_TIMEOUT_MARGIN;
    let platform = platform.timeout(timeout);
    let mut position = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let sent_at = clock.now();
        let read = match position {
            None => platform
                .snapshot(&table)
                .await
                .map(|(rows, at)| (TableRead::Snapshot(rows, at), at)),
            Some(after) => platform
                .changes(&table, after, POLL_WAIT)
                .await
                .map(|(rows, at)| (TableRead::Changes(rows, at), at)),
        };
        let read = match read {
            Ok((read, at)) => {
                position = Some(at);
                retry_delay = MIN_RETRY_DELAY;
                read
            }
            Err(PlatformError::HistoryGone) => {
                position = None;
                continue;
            }
            Err(_) => {
                let waited = clock.now() - sent_at;
                TableRead::Failed(ReadFailure {
                    is_unanswered: waited >= timeout,
                    waited,
                })
            }
        };
        let is_failed = matches!(read, TableRead::Failed(_));
        if tx.send((idx, read)).await.is_err() {
            return;
        }
        if is_failed {
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        } else {
            sleep(POLL_DELAY).await;
        }
    }
}

pub(crate) fn to_row_change(change: Change) -> RowChange {
    RowChange {
        name: change.row,
        value: change.value,
        position: change.at,
    }
}

pub(crate) fn to_snapshot(rows: Vec<Change>, position: u64) -> TableSnapshot {
    let rows = rows
        .into_iter()
        .filter_map(|change| {
            let row = coord::ReplicaRow {
                value: change.value?,
                position: change.at,
            };
            Some((change.row, row))
        })
        .collect();
    TableSnapshot { rows, position }
}

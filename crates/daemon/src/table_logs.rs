//! Log lines about reads of the followed tables and what they put in force.

use std::time::Duration;

use base::{Config, InstanceId, Position, TargetId, Time};
use coord::{Replica, RowsDifference};
use derive_more::Display;
use entry::metrics::Metrics;
use platform::PlatformError;

use crate::read_reports::{Fetch, LaterChange, ReadFailure};

/// Maximum number of targets or rows that a line names.
const MAX_IDS: usize = 16;

/// Facts that count the standstills and the milliseconds that they lasted.
const STANDSTILL_GAUGES: [&str; 2] = ["standstills", "standstill_ms"];

/// Lists the sources of a table's changes for which a configuration was composed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum NewsSource {
    /// An own read of the platform.
    #[display("platform")]
    Platform,
    /// Another instance's copy of the table.
    #[display("{_0}")]
    Instance(InstanceId),
    /// Targets that another instance has reported to have left.
    #[display("departures from {_0}")]
    Departures(InstanceId),
    /// An own read that doesn't confirm what others have reported.
    #[display("own rows")]
    OwnRows,
    /// An own read during one that is still arriving.
    #[display("beside a transfer")]
    ConcurrentRead,
    /// The end of the time for which a removed row is kept.
    #[display("grace period")]
    GracePeriod,
}

/// Logs that a table could not be read; `blind_ms` is the time since its last answer.
pub(crate) fn log_read_failure(
    now: Time,
    table: &str,
    position: Position,
    answered_at: Option<Time>,
    failure: &ReadFailure,
) {
    let waited_ms = failure.waited.as_millis() as u64;
    let blind_ms = age_ms(now, answered_at);
    let received_bytes = failure.received.bytes;
    let quiet_ms = failure.received.quiet_time().as_millis() as u64;
    tracing::info!(
        event = "table_unread",
        table,
        reason = %failure.cause,
        is_on_kept_connection = failure.is_on_kept_connection,
        waited_ms,
        received_bytes,
        quiet_ms,
        blind_ms,
        era = position.era,
        position = position.version,
    );
}

/// Logs that the platform answered a read from before the position that it had reached in the same era, so from a copy
/// that lags: one that was restored from an older copy reports a later era.
pub(crate) fn log_older(table: &str, own_position: Position, position: Position) {
    tracing::warn!(
        event = "table_older",
        table,
        own_era = own_position.era,
        own_position = own_position.version,
        era = position.era,
        position = position.version,
    );
}

/// Describes what is known of a later version of the operators' rows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behind {
    /// Latest position that others have reported.
    pub(crate) known_position: Option<Position>,
    pub(crate) own_position: Position,
    /// Number of live instances that have a later version.
    pub(crate) holders: usize,
    /// Number of live instances at which a later version is still arriving.
    pub(crate) receivers: usize,
    /// Whether the answer to an own read is arriving.
    pub(crate) is_arriving: bool,
    /// Whether the time counts from what a read during a transfer has shown.
    pub(crate) is_shown_beside: bool,
}

/// Logs that a later version of the operators' rows has been known for longer than an instance may go on
/// deciding by the own one.
pub(crate) fn log_behind(now: Time, since: Option<Time>, behind: &Behind) {
    tracing::warn!(
        event = "config_behind",
        known_era = behind.known_position.map(|known| known.era),
        known_position = behind.known_position.map(|known| known.version),
        own_era = behind.own_position.era,
        own_position = behind.own_position.version,
        since_ms = age_ms(now, since),
        holders = behind.holders,
        receivers = behind.receivers,
        is_arriving = behind.is_arriving,
        is_shown_beside = behind.is_shown_beside,
    );
}

/// Logs that a read during a transfer has shown a change that the transfer doesn't bring.
pub(crate) fn log_concurrent_change(
    now: Time,
    table: &str,
    own_position: Position,
    later: &LaterChange,
) {
    tracing::info!(
        event = "table_changed_beside",
        table,
        own_position = own_position.version,
        after = later.after.version,
        era = later.after.era,
        known_ms = age_ms(now, Some(later.since)),
    );
}

/// Logs that a read during a transfer has failed, for the first or the second time.
pub(crate) fn log_concurrent_failure(
    table: &str,
    call: &str,
    error: Option<&PlatformError>,
    is_second: bool,
) {
    let reason = match error {
        None => "no answer",
        Some(PlatformError::HistoryGone) => "history gone",
        Some(PlatformError::UnusableEra) => "unusable era",
        Some(_) => "unavailable",
    };
    tracing::info!(
        event = "table_read_beside_failed",
        table,
        call,
        reason,
        is_second
    );
}

/// Logs that the operators' rows are no longer behind, or that nobody has later ones any more.
pub(crate) fn log_caught_up(behind: &Behind) {
    tracing::info!(
        event = "config_caught_up",
        era = behind.own_position.era,
        own_position = behind.own_position.version,
        holders = behind.holders,
    );
}

/// Logs that later rows of targets than the own ones have been known for long.
pub(crate) fn log_targets_behind(
    now: Time,
    since: Option<Time>,
    known_position: Option<Position>,
    own_position: Position,
) {
    let since_ms = age_ms(now, since);
    tracing::info!(
        event = "targets_behind",
        known_position = known_position.map(|known| known.version),
        era = own_position.era,
        own_position = own_position.version,
        since_ms,
    );
}

/// Logs that this is over.
pub(crate) fn log_targets_caught_up(now: Time, since: Time, own_position: Position) {
    let lasted_ms = age_ms(now, Some(since));
    let (era, own_position) = (own_position.era, own_position.version);
    tracing::info!(event = "targets_caught_up", era, own_position, lasted_ms);
}

/// Logs the targets that get nothing more from now on, by rows that are complete up to `position` and came
/// from `source`; later rows than the ones before had been known since `known_since`.
pub(crate) fn log_targets_left(
    now: Time,
    left: &[TargetId],
    position: Position,
    source: &NewsSource,
    known_since: Option<Time>,
) {
    tracing::info!(
        event = "targets_left",
        ids = first_names(left.iter().map(TargetId::as_str)),
        count = left.len(),
        era = position.era,
        position = position.version,
        %source,
        known_ms = age_ms(now, known_since),
    );
}

/// Logs that a table counts as unreadable by all instances from now on, or no longer; `contact_at` is when any was
/// last known to read it.
pub(crate) fn log_outage(now: Time, table: &str, is_over: bool, contact_at: Option<Time>) {
    let contact_ms = age_ms(now, contact_at);
    tracing::info!(event = "table_outage", table, is_over, contact_ms);
}

/// Logs the deleted rows that are kept for a while, since an outage may have removed them.
pub(crate) fn log_rows_kept(table: &str, kept: &[&str], source: &NewsSource) {
    let names = first_names(kept.iter().copied());
    tracing::info!(event = "rows_kept", table, names, count = kept.len(), %source);
}

/// Logs that a table has been restored from an older copy, which rows are kept over it as they were known and for how long at
/// most, and which are gone with it.
pub(crate) fn log_era(
    now: Time,
    table: &str,
    before: Position,
    replica: &Replica,
    source: &NewsSource,
) {
    let position = replica.position();
    let kept_until = replica.kept_until();
    tracing::warn!(
        event = "table_era",
        table,
        before_era = before.era,
        before = before.version,
        era = position.era,
        position = position.version,
        rows = replica.snapshot().rows.len(),
        kept = first_names(replica.kept()),
        kept_count = replica.kept().count(),
        kept_ms = kept_until.map(|until| (until - now).as_millis() as u64),
        dropped = first_names(replica.dropped()),
        dropped_count = replica.dropped().count(),
        %source,
    );
}

/// Logs that changes which a table's copy lacked have been written again, or aren't waited for any longer.
pub(crate) fn log_unwritten_ended(
    table: &str,
    position: Position,
    is_written: bool,
    after: Duration,
) {
    let after_ms = after.as_millis() as u64;
    let (era, position) = (position.era, position.version);
    tracing::info!(
        event = "unwritten_ended",
        table,
        era,
        position,
        is_written,
        after_ms
    );
}

/// Logs the rows that were kept over an older copy and are no longer, because they have been written again or are gone.
pub(crate) fn log_kept_ended(
    table: &str,
    ended: &[&str],
    left: usize,
    position: Position,
    source: &NewsSource,
) {
    tracing::info!(
        event = "kept_rows_ended",
        table,
        names = first_names(ended.iter().copied()),
        count = ended.len(),
        left,
        era = position.era,
        position = position.version,
        %source,
    );
}

/// Logs that another instance has other rows at the same position; one of the two is wrong.
pub(crate) fn log_difference(table: &str, rows: usize, found: &RowsDifference) {
    let (own, other) = (&found.own, &found.other);
    tracing::warn!(
        event = "table_differs",
        table,
        from = %found.from,
        era = own.changed_at.era,
        own_position = own.position().version,
        position = other.position().version,
        own_digest = format!("{:016x}", own.digest.number()),
        digest = format!("{:016x}", other.digest.number()),
        rows,
    );
}

/// Logs that the whole of a table is read again, since its rows may be wrong.
pub(crate) fn log_read_anew(table: &str, position: Position) {
    let (era, position) = (position.era, position.version);
    tracing::warn!(event = "table_read_anew", table, era, position);
}

/// Logs that another instance was asked for a table, and what it had.
pub(crate) fn log_fetch(now: Time, table: &str, before: Position, fetch: &Fetch) {
    let fetched = &fetch.fetched;
    let position = fetched.table.as_ref().map(|table| table.position);
    let rows = fetched.table.as_ref().map(|table| table.rows.len());
    let parts = fetched.parts.map(|parts| parts.listed);
    let parts_fetched = fetched.parts.map(|parts| parts.fetched);
    let fault = fetched.fault.map(|fault| fault.to_string());
    let took_ms = (now - fetch.asked_at).as_millis() as u64;
    let received_bytes = fetch.received.bytes;
    tracing::info!(
        event = "table_fetched",
        table,
        from = %fetch.from,
        before_era = before.era,
        before = before.version,
        era = position.map(|position| position.era),
        position = position.map(|position| position.version),
        rows,
        parts,
        parts_fetched,
        received_bytes,
        took_ms,
        fault,
    );
}

/// Logs each workspace whose rate or burst has changed.
pub(crate) fn log_rates(old: Option<&Config>, new: &Config) {
    if old.is_some_and(|old| old.workspaces == new.workspaces) {
        return;
    }
    for (workspace, now) in &new.workspaces {
        let before = old.and_then(|old| old.workspaces.get(workspace));
        let is_same = before.is_some_and(|old| old.rate == now.rate && old.burst == now.burst);
        if !is_same {
            let (rate, burst) = (now.rate, now.burst);
            let before = before.map_or(0.0, |old| old.rate);
            tracing::info!(event = "rate", %workspace, rate, burst, before);
        }
    }
}

/// Logs and counts that the process, or the task that follows the tables, stood still.
pub(crate) fn log_standstill(metrics: &Metrics, lasted: Duration) {
    let lasted_ms = i64::try_from(lasted.as_millis()).unwrap_or(i64::MAX);
    tracing::warn!(event = "standstill", lasted_ms);
    for (name, added) in STANDSTILL_GAUGES.into_iter().zip([1, lasted_ms]) {
        metrics.gauges.with_label_values(&[name]).add(added);
    }
}

/// Returns the time since `at`, in milliseconds.
pub(crate) fn age_ms(now: Time, at: Option<Time>) -> Option<u64> {
    at.map(|at| (now - at).as_millis() as u64)
}

/// Returns the first [`MAX_IDS`] names, as a line has them.
fn first_names<'a, I>(names: I) -> String
where
    I: Iterator<Item = &'a str>,
{
    names.take(MAX_IDS).collect::<Vec<_>>().join(" ")
}

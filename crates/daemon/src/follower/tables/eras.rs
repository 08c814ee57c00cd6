//! What the follower does as the platform is restored from an older copy of its tables.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Position, Time};
use coord::{Replica, TableSnapshot};

use super::{ComposedConfig, TableFollower, table::Table};
use crate::{
    message::TARGETS,
    table_fetch::FetchFault,
    table_logs::{NewsSource, log_era, log_kept_ended, log_unwritten_ended},
    table_reads::TableRead,
};

/// Maximum time after the return of the platform from a copy for which a change of the configuration that was lost with it may
/// still be unwritten.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Gauges of the era of the operators' table, and of the rows that are kept from earlier ones.
const ERA_GAUGE: &str = "table_era";
pub(crate) const KEPT_GAUGE: &str = "rows_kept_over_copy";
/// Fact that counts the tables that have been restored from an older copy.
const ERA_COUNT_GAUGE: &str = "tables_restored";

/// Maximum number of eras whose begin is remembered.
const MAX_ERAS: usize = 8;

/// Remembers when eras of the platform's history became known, by any answer or another instance.
#[derive(Debug, Default)]
pub(super) struct EraTimes(BTreeMap<u32, Time>);

impl EraTimes {
    /// Records that an era is known.
    pub(super) fn record(&mut self, now: Time, era: u32) {
        self.0.entry(era).or_insert(now);
        while self.0.len() > MAX_ERAS {
            self.0.pop_first();
        }
    }

    /// Returns from when on the rows count as gone that a whole table at `position` lacks, which came at `now` after the own
    /// position `before`: since the platform was known to be back, if the table is the first one of its era.
    pub(super) fn deleted_by(&self, before: Position, position: Position, now: Time) -> Time {
        let known_at = self.0.get(&position.era);
        let known_at = known_at.filter(|_| before.era < position.era);
        known_at.map_or(now, |at| now.min(*at))
    }
}

impl Table {
    /// Logs the begin of an era with a change from `source` at `now`, where `before` was the position, and rows that are no
    /// longer kept from an earlier one; returns whether an era has begun.
    pub(super) fn log_kept(
        &mut self,
        now: Time,
        name: &str,
        before: Position,
        source: &NewsSource,
    ) -> bool {
        let position = self.replica.position();
        let is_new_era = before.era < position.era && before != Position::ZERO;
        if !is_new_era && self.logged_kept.is_empty() {
            return false;
        }
        let kept: BTreeSet<String> = self.replica.kept().map(str::to_owned).collect();
        if is_new_era {
            log_era(now, name, before, &self.replica, source);
        }
        let ended: Vec<&str> = self
            .logged_kept
            .difference(&kept)
            .map(String::as_str)
            .collect();
        if !ended.is_empty() {
            log_kept_ended(name, &ended, kept.len(), position, source);
        }
        self.logged_kept = kept;
        is_new_era
    }

    /// Logs that changes which the platform had lost have been written again, or no longer count as unwritten.
    fn log_unwritten(&mut self, now: Time, name: &str, until: Option<Time>) {
        if let (Some(until), None) = (self.logged_unwritten, until) {
            let is_written = self.replica.unwritten_since().is_none();
            let after = now - until.before(REWRITE_TIME);
            log_unwritten_ended(name, self.replica.position(), is_written, after);
        }
        self.logged_unwritten = until;
    }
}

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Refuses a table that another instance sent and whose era isn't known to have begun, to this instance.
    pub(super) fn refuse_unknown_era(&self, mut read: TableRead) -> TableRead {
        let latest = self.options.platform.latest_era();
        if let TableRead::Fetched(fetch) = &mut read {
            let is_unknown = |table: &mut TableSnapshot| table.position.era > latest;
            if fetch.fetched.table.take_if(is_unknown).is_some() {
                fetch.fetched.fault = Some(FetchFault::UnknownEra);
            }
        }
        read
    }

    /// Keeps what others have reported of targets that left, where a read brings a table of a later era: that may be from before. Returns
    /// whether the own rows had any of them.
    pub(super) fn keep_departures(&mut self, now: Time, idx: usize, read: &TableRead) -> bool {
        let position = match read {
            TableRead::Snapshot(read) => read.position,
            TableRead::Fetched(fetch) => {
                let found = fetch.fetched.table.as_ref();
                found.map_or(Position::ZERO, |found| found.position)
            }
            _ => return false,
        };
        let replica = &mut self.tables[idx].replica;
        if idx != TARGETS || position.era <= replica.position().era {
            return false;
        }
        let mut is_any = false;
        for (target, _) in self.overlay.reported.targets() {
            is_any |= replica.on_told_deleted(now, target.as_str());
        }
        is_any
    }

    /// Returns until when the operators' table is a copy that may lack changes which had been acknowledged, unless somebody
    /// writes them again: what it doesn't allow may be allowed all the same.
    pub(super) fn unwritten_until(&self, now: Time) -> Option<Time> {
        let since = self.tables.first()?.replica.unwritten_since()?;
        Some(since + REWRITE_TIME).filter(|until| now < *until)
    }

    /// Counts a table that has been restored from an older copy.
    pub(super) fn count_era(&self) {
        let gauges = &self.options.metrics.gauges;
        gauges.with_label_values(&[ERA_COUNT_GAUGE]).inc();
    }

    /// Sets the gauges of the era and of the rows that are kept, and logs the end of the time for which changes may be
    /// unwritten.
    pub(super) fn publish_kept(&mut self, now: Time) {
        let unwritten_until = self.unwritten_until(now);
        if let Some(table) = self.tables.first_mut() {
            table.log_unwritten(now, &self.followed.tables[0], unwritten_until);
        }
        let tables = self.tables.iter();
        let kept: usize = tables.map(|table| table.replica.kept().count()).sum();
        let operators = self.tables.first();
        let era = operators.map_or(0, |table| table.replica.position().era);
        self.set_gauge(ERA_GAUGE, u64::from(era));
        self.set_gauge(KEPT_GAUGE, kept as u64);
    }
}

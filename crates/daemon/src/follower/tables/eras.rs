//! What the follower does as the platform comes back from an older copy of its tables.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Position, Time};
use coord::Replica;

use super::{ComposedConfig, TableFollower, table::Table};
use crate::{
    message::TARGETS,
    table_logs::{NewsSource, log_era, log_kept_ended},
    table_reads::TableRead,
};

/// Maximum time after the return of the platform from a copy for which a change of the configuration that was lost with it may
/// still be unwritten.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Gauges of the era of the operators' table, and of the rows that are kept from earlier ones.
const ERA_GAUGE: &str = "table_era";
pub(crate) const KEPT_GAUGE: &str = "rows_kept_over_copy";

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
    /// Logs the begin of an era with a change from `source`, where `before` was the position, and rows that are no longer kept
    /// from an earlier one.
    pub(super) fn log_kept(&mut self, name: &str, before: Position, source: &NewsSource) {
        let position = self.replica.position();
        let is_new_era = before.era < position.era && before != Position::ZERO;
        if !is_new_era && self.logged_kept.is_empty() {
            return;
        }
        let kept: BTreeSet<String> = self.replica.kept().map(str::to_owned).collect();
        if is_new_era {
            let rows = self.replica.snapshot().rows.len();
            log_era(name, before, position, rows, &kept, source);
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
    }
}

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Keeps what others have told of targets that left, where a read brings a table of a later era: that may be from before. Returns
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

    /// Returns whether the operators' table is a copy that may lack changes which had been acknowledged, and nobody has
    /// written them again yet: what it doesn't allow may be allowed all the same.
    pub(super) fn may_lack_changes(&self, now: Time) -> bool {
        let operators = self.tables.first();
        let since = operators.and_then(|table| table.replica.unwritten_since());
        since.is_some_and(|since| now < since + REWRITE_TIME)
    }

    /// Sets the gauges of the era and of the rows that are kept.
    pub(super) fn publish_kept(&self) {
        let tables = self.tables.iter();
        let kept: usize = tables.map(|table| table.replica.kept().count()).sum();
        let operators = self.tables.first();
        let era = operators.map_or(0, |table| table.replica.position().era);
        self.set_gauge(ERA_GAUGE, u64::from(era));
        self.set_gauge(KEPT_GAUGE, kept as u64);
    }
}

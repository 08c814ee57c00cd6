//! Whether the own rows are those of other instances at the same position, and when they are read again.

use base::{InstanceId, Position, Time};
use coord::{Replica, RowsCheck, RowsReport, rendezvous_draw};
use tokio::sync::watch;

use super::{ComposedConfig, Table, TableFollower};
use crate::{
    message::PeerCommand,
    table_logs::{log_difference, log_read_anew},
};

/// Alarm of rows that differ from those of another instance.
const ROWS_ALARM: &str = "rows_differ";

/// Compares a replica's rows with those of other instances, and requests that they are read again if they may be wrong.
#[derive(Debug)]
pub(super) struct RowsState {
    check: RowsCheck,
    /// Time at which a whole table came last.
    whole_at: Time,
    /// Whether the rows differ from any others.
    differs: bool,
    /// Counts the whole reads that the own reads were asked for.
    pub(super) read_anew: watch::Sender<u64>,
}

impl Default for RowsState {
    fn default() -> Self {
        Self {
            check: RowsCheck::default(),
            whole_at: Time::ZERO,
            differs: false,
            read_anew: watch::Sender::new(0),
        }
    }
}

impl RowsState {
    /// Records that a whole table has come from another instance.
    pub(super) fn on_fetched(&mut self, now: Time) {
        self.whole_at = now;
    }

    /// Records that the whole table has been read.
    pub(super) fn on_whole_read(&mut self, now: Time) {
        self.whole_at = now;
        self.check.on_whole_read();
    }
}

impl Table {
    /// Records that a read of changes that was sent at `sent_at` has brought `position`. All that the last whole table
    /// may have shown was there before, so the rows are now as they are at that position.
    pub(super) fn settle_rows(&mut self, sent_at: Time, position: Position) {
        if sent_at > self.rows.whole_at && position == self.replica.position() {
            self.replica.settle();
        }
    }

    /// Compares the rows with those that others report, and has them read again where they may be wrong.
    fn check_rows(&mut self, now: Time, name: &str, own: &InstanceId) {
        let draw = rendezvous_draw(name, own) as f64 / u64::MAX as f64;
        let report = self.replica.rows_report();
        let verdict = self.rows.check.assess(now, report, draw);
        for found in &verdict.found {
            log_difference(name, self.replica.snapshot().rows.len(), found);
        }
        self.rows.differs = verdict.differs;
        if verdict.reads_anew {
            log_read_anew(name, self.replica.position());
            self.rows.read_anew.send_modify(|count| *count += 1);
        }
    }
}

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Records what another instance reports of its rows.
    pub(super) fn record_rows(&mut self, from: &InstanceId, rows: Vec<Option<RowsReport>>) {
        let now = self.options.clock.now();
        for (table, report) in self.tables.iter_mut().zip(rows) {
            table.rows.check.on_report(now, from, report);
        }
    }

    /// Compares the rows of all tables with those that others report.
    pub(super) fn check_rows(&mut self, now: Time) {
        let own = &self.options.own_entry.instance;
        for (table, name) in self.tables.iter_mut().zip(&self.followed.tables) {
            table.check_rows(now, name, own);
        }
        let differs = self.tables.iter().any(|table| table.rows.differs);
        self.options.metrics.set_alarm(ROWS_ALARM, differs);
    }

    /// Informs the task that sends heartbeats what rows the tables have.
    pub(super) fn tell_rows(&mut self) {
        let tables = self.tables.iter();
        let rows: Vec<_> = tables.map(|table| table.replica.rows_report()).collect();
        if self.told_rows != rows {
            let command = PeerCommand::SetRows(rows.clone());
            if self.outputs.peers.try_send(command).is_ok() {
                self.told_rows = rows;
            }
        }
    }
}

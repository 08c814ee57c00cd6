//! Fetches of a table from other instances: whole, or by parts of what changed.

use std::sync::Arc;

use base::{InstanceId, Time};
use coord::parts::TableCut;
use entry::metrics::Metrics;
use platform::{Progress, Received};
use tokio::sync::mpsc;

use super::{OpenFetch, Table};
use crate::{
    table_fetch::{FetchFault, FetchWay, Fetched, OwnTable, Source, fetch},
    table_reads::{Fetch, TableRead},
};

/// Fact that counts answers of other instances that were not what had been asked for.
const REFUSED_GAUGE: &str = "table_parts_refused";
/// Number of failed fetches by parts after which whole tables are fetched until the position rises.
const MAX_PARTS_FAILURES: u32 = 2;

/// Holds what is known of a replica's parts, and of fetches by them.
#[derive(Debug, Default)]
pub(super) struct PartsState {
    /// Last known cut of the replica.
    cut: Arc<TableCut>,
    /// Fetches by parts that failed at the replica's position.
    pub(super) failures: u32,
    /// Time until which an own read counts as arriving.
    pub(super) read_until: Time,
}

impl PartsState {
    /// Records the end of a fetch.
    pub(super) fn on_fetched(&mut self, received: &Received, fetched: &Fetched) {
        self.cut = fetched.cut.clone();
        let is_failure = fetched.fault.is_some_and(|fault| {
            // A source that was gone before it sent anything says nothing about its parts.
            fault.is_bad_content() || (fault == FetchFault::NoAnswer && received.bytes > 0)
        });
        self.failures += u32::from(is_failure);
    }
}

impl Table {
    /// Returns how to fetch the table, or `None` while an own read is arriving and this would share the
    /// link with it for long.
    pub(super) fn fetch_way(&self, now: Time, takes_parts: bool) -> Option<FetchWay> {
        let may_take_whole = now >= self.parts.read_until;
        let has_parts = self.replica.is_initialized() && self.parts.failures < MAX_PARTS_FAILURES;
        match (takes_parts, has_parts) {
            (true, true) => Some(FetchWay::Parts { may_take_whole }),
            (true, false) => may_take_whole.then_some(FetchWay::Packed),
            (false, _) => may_take_whole.then_some(FetchWay::Whole),
        }
    }

    /// Starts a fetch that sends its result to `tx`.
    pub(super) fn start_fetch(
        &mut self,
        now: Time,
        from: InstanceId,
        source: Source,
        tx: mpsc::Sender<(usize, TableRead)>,
    ) {
        let progress = Progress::start();
        let received = progress.received();
        let own = OwnTable {
            table: self.replica.snapshot().clone(),
            cut: self.parts.cut.clone(),
        };
        let task = tokio::spawn(async move {
            let fetched = fetch(&source, own, &progress).await;
            let fetch = Fetch {
                from,
                asked_at: now,
                received: *progress.received().borrow(),
                fetched,
            };
            let read = TableRead::Fetched(fetch);
            let _ = tx.send((source.index as usize, read)).await;
        });
        let task = task.abort_handle();
        self.fetches.push(OpenFetch { received, task });
    }
}

/// Counts an answer that was not what had been asked for.
pub(super) fn count_fault(metrics: &Metrics, fetched: &Fetched) {
    if fetched.fault.is_some_and(FetchFault::is_bad_content) {
        metrics.gauges.with_label_values(&[REFUSED_GAUGE]).inc();
    }
}

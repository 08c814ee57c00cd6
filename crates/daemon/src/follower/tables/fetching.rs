//! Fetches of a table from other instances: whole, or by parts of what changed.

use std::{sync::Arc, time::Duration};

use base::{InstanceId, Time};
use coord::{Replica, parts::TableCut, rendezvous_draw};
use entry::metrics::Metrics;
use platform::Progress;
use tokio::sync::mpsc;

use super::{ComposedConfig, MAX_FETCHES, OpenFetch, PEER_FETCH_DELAYS, Table, TableFollower};
use crate::{
    read_reports::Fetch,
    table_fetch::{FetchFault, FetchWay, Fetched, OwnTable, Source, fetch},
    table_reads::{Arrival, TableRead},
};

/// Fact that counts answers of other instances that were not what had been asked for.
const REFUSED_GAUGE: &str = "table_parts_refused";
/// Number of failed fetches by parts after which whole tables are fetched until the position rises.
const MAX_PARTS_FAILURES: u32 = 2;

/// Tracks the fetches and own reads of a table, to decide whether it is fetched whole or by parts.
#[derive(Debug, Default)]
pub(super) struct PartsState {
    /// Last known cut of the replica.
    cut: Arc<TableCut>,
    /// Fetches by parts that failed at the replica's position.
    failures: u32,
    /// Time until which an own read counts as arriving.
    read_until: Time,
    /// Time from which on own reads have held off whole tables, since one was complete or the position rose.
    held_since: Option<Time>,
    /// Whether a list has shown that much is lacking at the replica's position, so that the whole table is to be
    /// fetched.
    lacks_much: bool,
    /// The instance that has sent that list, unless the whole table has been asked of it, and when.
    listed: Option<(InstanceId, Time)>,
}

impl PartsState {
    /// Records the end of a fetch for a replica whose position rose last at `advanced_at`.
    pub(super) fn on_fetched(&mut self, now: Time, fetch: &Fetch, advanced_at: Time) {
        let (received, fetched) = (&fetch.received, &fetch.fetched);
        self.cut = fetched.cut.clone();
        if fetched.fault == Some(FetchFault::MuchLacking) && fetch.asked_at >= advanced_at {
            self.lacks_much = true;
            self.listed = Some((fetch.from.clone(), now));
        }
        let is_failure = fetched.fault.is_some_and(|fault| {
            // A source that was gone before it sent anything says nothing about its parts.
            fault.is_bad_content() || (fault == FetchFault::NoAnswer && received.bytes > 0)
        });
        self.failures += u32::from(is_failure);
    }

    /// Records that a part of an own read has arrived, which is to be complete within `apply`. Reads that begin
    /// again and again hold off whole tables no longer than a single one.
    pub(super) fn on_arriving(&mut self, now: Time, arrival: &Arrival, apply: Duration) {
        let held_since = *self.held_since.get_or_insert(now);
        if !arrival.is_slow && now < held_since + apply {
            self.read_until = now + PEER_FETCH_DELAYS.max;
        }
    }

    /// Records that an own read is complete.
    pub(super) fn on_read(&mut self) {
        self.held_since = None;
    }

    /// Records that no own read is arriving any more.
    pub(super) fn on_read_failure(&mut self, now: Time) {
        self.read_until = now;
    }

    /// Records that the replica's position has risen.
    pub(super) fn on_position(&mut self) {
        self.failures = 0;
        self.held_since = None;
        self.lacks_much = false;
        self.listed = None;
    }

    /// Returns when the whole table is to be asked of the instance that has shown that much is lacking.
    pub(super) fn whole_at(&self) -> Option<Time> {
        let (_, listed_at) = self.listed.as_ref()?;
        Some(self.read_until.max(*listed_at))
    }

    /// Returns the instance that has shown that much is lacking if the whole table may be asked of it now; it is
    /// asked once.
    fn take_listed(&mut self, now: Time) -> Option<InstanceId> {
        if now < self.whole_at()? {
            return None;
        }
        self.listed.take().map(|(from, _)| from)
    }
}

impl Table {
    /// Returns the instance to fetch from now, if a fetch is due: first the one that has shown that much is
    /// lacking, which is alive and has the table. A change must be in force within `apply`.
    pub(super) fn next_source(&mut self, now: Time, apply: Duration) -> Option<InstanceId> {
        if self.is_fetch_arriving(apply) || self.fetches.len() >= MAX_FETCHES {
            self.catch_up.postpone(now);
            return None;
        }
        if let Some(from) = self.parts.take_listed(now) {
            // Their lists would show the same.
            self.end_unanswered_fetches();
            self.catch_up.postpone(now);
            return Some(from);
        }
        self.catch_up.next_source(now)
    }

    /// Returns how to fetch the table, or `None` while an own read is arriving and a fetch would share the link with it
    /// for long. During another fetch, a list of parts isn't followed by the whole table at once, since that fetch may
    /// bring it.
    pub(super) fn fetch_way(&self, now: Time, takes_parts: bool) -> Option<FetchWay> {
        let is_read_over = now >= self.parts.read_until;
        let may_take_whole = is_read_over && self.fetches.is_empty();
        let has_parts = self.replica.is_initialized() && self.parts.failures < MAX_PARTS_FAILURES;
        match (takes_parts, has_parts) {
            (true, true) if !self.parts.lacks_much => Some(FetchWay::Parts { may_take_whole }),
            (true, _) => is_read_over.then_some(FetchWay::Packed),
            (false, _) => is_read_over.then_some(FetchWay::Whole),
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
        self.fetches.push(OpenFetch::new(now, received, task));
    }
}

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Returns in which order an instance is asked for tables among others: those in this instance's
    /// region come first, each reader with its own order of them.
    pub(super) fn fetch_rank(&self, from: &InstanceId) -> u64 {
        const REMOTE: u64 = 1 << 63;
        let own = &self.options.own_entry;
        let region_of = |domain| self.own_rows.as_ref()?.region_of(domain);
        let fleet = self.options.fleet.borrow();
        let member = fleet.members.get(from);
        let region = member.and_then(|member| region_of(&member.domain));
        let is_local = region.is_some() && region == region_of(&own.domain);
        let draw = rendezvous_draw(own.instance.as_str(), from) & !REMOTE;
        if is_local { draw } else { draw | REMOTE }
    }
}

/// Counts an answer that was not what had been asked for.
pub(super) fn count_fault(metrics: &Metrics, fetched: &Fetched) {
    if fetched.fault.is_some_and(FetchFault::is_bad_content) {
        metrics.gauges.with_label_values(&[REFUSED_GAUGE]).inc();
    }
}

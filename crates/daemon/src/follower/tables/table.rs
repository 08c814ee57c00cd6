//! One followed table: its copy, own reads of it, and fetches from other instances.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use base::{InstanceId, Position, Time};
use coord::{CatchUp, Replica, RowOrder};
use entry::message::Confirmation;
use platform::Received;
use tokio::{sync::watch, task::AbortHandle, time::Instant};

use super::{MAX_FETCHES, PEER_FETCH_DELAYS, fetching::PartsState, rows::RowsState};
use crate::{
    message::OwnReads,
    table_logs::{NewsSource, log_older, log_outage, log_rows_kept},
    table_reads::{FailingElsewhere, PlatformRead},
};

/// Time after which a table that is arriving too slowly from one instance is fetched from another as well.
const SLOW_FETCH_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the first byte of a fetch is waited for while another one is arriving before a third one is started.
const FIRST_BYTE_TIME: Duration = Duration::from_secs(1);
/// Minimum time over which two fetches that arrive concurrently are compared.
const COMPARE_TIME: Duration = Duration::from_millis(400);

/// Follows one table: its copy here, how recent that is, and what is still to be caught up with.
#[derive(Debug)]
pub(super) struct Table {
    pub(super) replica: Replica,
    pub(super) confirmed_at: Option<Time>,
    /// The last confirmation by another instance.
    peer_confirmation: Option<Confirmation>,
    pub(super) catch_up: CatchUp,
    pub(super) fetches: Vec<OpenFetch>,
    /// What is known of the replica's parts, and of fetches by them.
    pub(super) parts: PartsState,
    /// What is known of the replica's rows in relation to those of the others.
    pub(super) rows: RowsState,
    pub(super) is_reachable: bool,
    /// Whether the outage that the replica believes in has been logged.
    has_logged_outage: bool,
    /// Number of retained rows that have been logged.
    logged_retained: usize,
    /// Rows that are kept from an earlier era, as they have been logged.
    pub(super) logged_kept: BTreeSet<String>,
    /// Time until which changes may be unwritten that the platform has lost, as it was last looked at.
    pub(super) logged_unwritten: Option<Time>,
    /// Whether the own reads succeed; `None` before the first one that was answered.
    pub(super) own_reads: Option<OwnReads>,
    /// Time at which its position rose last.
    pub(super) advanced_at: Time,
    /// Tells the own reads up to which position rows have come from other instances.
    pub(super) advanced: watch::Sender<Position>,
    /// Tells the own reads what other instances report of theirs that fail.
    pub(super) failing_elsewhere: watch::Sender<FailingElsewhere>,
}

/// A fetch from another instance that has not ended.
#[derive(Debug)]
pub(super) struct OpenFetch {
    /// Time of its start, which no other one of the table shares.
    pub(super) asked_at: Time,
    /// The same by the runtime's clock.
    pub(super) asked: Instant,
    pub(super) received: watch::Receiver<Received>,
    pub(super) task: AbortHandle,
    /// What had arrived of it and of the one that has come farthest when they were first seen to arrive
    /// concurrently.
    comparison: Option<Comparison>,
    /// Time until which no other one is started concurrently while it goes on.
    alone_until: Option<Instant>,
}

/// What had arrived of two fetches at the same time.
#[derive(Debug, Clone, Copy)]
struct Comparison {
    at: Instant,
    bytes: u64,
    /// Time at which the one that has come farthest was asked for.
    first: Time,
    first_bytes: u64,
}

impl OpenFetch {
    /// Returns a fetch that has just been started.
    pub(super) fn new(
        asked_at: Time,
        received: watch::Receiver<Received>,
        task: AbortHandle,
    ) -> Self {
        Self {
            asked_at,
            asked: Instant::now(),
            received,
            task,
            comparison: None,
            alone_until: None,
        }
    }

    /// Returns whether nothing has arrived yet of an answer that was asked for lately.
    fn is_awaited(&self) -> bool {
        self.received.borrow().begun_at.is_none() && self.asked.elapsed() < FIRST_BYTE_TIME
    }

    /// Compares it with the one that has come farthest, and returns whether that one is complete earlier if both go on
    /// as they have since they were first seen to arrive concurrently.
    fn is_behind(&mut self, first_asked_at: Time, first: Received) -> bool {
        let own = *self.received.borrow();
        let (Some(left), Some(first_left)) = (own.left(), first.left()) else {
            return false;
        };
        if own.begun_at.is_none() || first_left == 0 || self.asked_at == first_asked_at {
            return false;
        }
        let known = self
            .comparison
            .filter(|known| known.first == first_asked_at);
        let comparison = *self.comparison.insert(known.unwrap_or(Comparison {
            at: Instant::now(),
            bytes: own.bytes,
            first: first_asked_at,
            first_bytes: first.bytes,
        }));
        let came = own.bytes - comparison.bytes;
        let first_came = first.bytes - comparison.first_bytes;
        comparison.at.elapsed() >= COMPARE_TIME && first_left * came < left * first_came
    }

    /// Returns whether something has arrived lately, where what follows a list may take as long to begin as the list
    /// has, and as long again.
    fn is_active(&self) -> bool {
        let received = *self.received.borrow();
        received.begun_at.is_some_and(|begun_at| {
            let max_quiet = (begun_at - self.asked) * 2;
            received.quiet_time() < max_quiet.max(PEER_FETCH_DELAYS.max)
        })
    }
}

impl Table {
    /// Returns a table of which nothing has been read; rows that an outage may have removed are kept for
    /// `grace_period` after it. Contents of a row are compared by `order` after the table was restored from an older copy.
    pub(super) fn new(grace_period: Duration, order: RowOrder) -> Self {
        Self {
            replica: Replica::new(grace_period).ordered_by(order),
            confirmed_at: None,
            peer_confirmation: None,
            catch_up: CatchUp::new(PEER_FETCH_DELAYS),
            fetches: Vec::new(),
            parts: PartsState::default(),
            rows: RowsState::default(),
            is_reachable: false,
            has_logged_outage: false,
            logged_retained: 0,
            logged_kept: BTreeSet::new(),
            logged_unwritten: None,
            own_reads: None,
            advanced_at: Time::ZERO,
            advanced: watch::Sender::default(),
            failing_elsewhere: watch::Sender::default(),
        }
    }

    /// Returns whether a part of a fetched table has arrived lately, and the fetch isn't below the lowest rate of a
    /// transfer, or too slow to be complete within `apply`, after [`SLOW_FETCH_TIME`].
    pub(super) fn is_fetch_arriving(&self, apply: Duration) -> bool {
        let mut active = self.fetches.iter().filter(|fetch| fetch.is_active());
        let is_one_awaited = self.fetches.iter().any(OpenFetch::is_awaited);
        active.any(|fetch| {
            let received = *fetch.received.borrow();
            let is_new = |at: Instant| at.elapsed() < SLOW_FETCH_TIME;
            let is_alone = fetch
                .alone_until
                .is_some_and(|until| Instant::now() < until);
            // The rest of it is there before the whole from another one, unless that one is much faster.
            let is_nearly_done = received.left().is_some() && !received.has_much_left();
            let is_late = received.is_late(apply) && !is_nearly_done;
            let is_only_one = is_alone || is_one_awaited || !is_late;
            let is_waited_for = |at| is_new(at) || (is_only_one && !received.is_slow());
            received.begun_at.is_some_and(is_waited_for)
        })
    }

    /// Ends the fetches that are complete later than the one that has come farthest, as they arrive concurrently: where they
    /// share the link they only make it later. It goes on alone for as long again as it has been arriving, unless it is
    /// below the lowest rate of a transfer.
    pub(super) fn end_fetches_behind(&mut self) {
        let active = self.fetches.iter().filter(|fetch| fetch.is_active());
        let Some(first) = active.max_by_key(|fetch| fetch.received.borrow().bytes) else {
            return;
        };
        let (first_asked_at, received) = (first.asked_at, *first.received.borrow());
        if received.is_slow() {
            return;
        }
        let is_behind = |fetch: &mut OpenFetch| fetch.is_behind(first_asked_at, received);
        let ended: Vec<_> = self.fetches.extract_if(.., is_behind).collect();
        ended.iter().for_each(|fetch| fetch.task.abort());
        let mut rest = self.fetches.iter_mut();
        let first = rest.find(|fetch| fetch.asked_at == first_asked_at);
        if let Some(first) = first.filter(|_| !ended.is_empty()) {
            let elapsed = received.begun_at.map(|at| at.elapsed());
            first.alone_until = elapsed.map(|elapsed| Instant::now() + elapsed);
        }
    }

    /// Ends one of the fetches that go on below the lowest rate of a transfer if there is no room for
    /// another one, but never the one that has come farthest, so that one is complete in the end even if
    /// all of them are slow.
    pub(super) fn make_room(&mut self) {
        if self.fetches.len() < MAX_FETCHES || self.catch_up.next_at().is_none() {
            return;
        }
        let received = self.fetches.iter().map(|fetch| *fetch.received.borrow());
        let mut received: Vec<(usize, Received)> = received.enumerate().collect();
        received.sort_by_key(|(idx, received)| (Reverse(received.bytes), *idx));
        let slow = received
            .iter()
            .skip(1)
            .rfind(|(_, received)| received.is_slow());
        if let Some((idx, _)) = slow {
            self.fetches.remove(*idx).task.abort();
        }
    }

    /// Ends the fetches of which nothing has arrived.
    pub(super) fn end_unanswered_fetches(&mut self) {
        let is_unanswered = |fetch: &mut OpenFetch| fetch.received.borrow().bytes == 0;
        for fetch in self.fetches.extract_if(.., is_unanswered) {
            fetch.task.abort();
        }
    }

    /// Ends all fetches.
    pub(super) fn end_fetches(&mut self) {
        for fetch in self.fetches.drain(..) {
            fetch.task.abort();
        }
    }

    /// Records that the platform could not be read over a new connection, by a read that was sent at `sent_at`.
    pub(super) fn record_failure(&mut self, sent_at: Time, now: Time) {
        self.is_reachable = false;
        if let Some(reads) = &mut self.own_reads {
            reads.is_failing = true;
        }
        self.replica.on_own_read_failure(sent_at, now);
    }

    /// Logs the begin and the end of an outage, and rows that are retained since a change from `source`.
    pub(super) fn log_retention(&mut self, now: Time, name: &str, source: &NewsSource) {
        let has_outage = self.replica.has_outage();
        if has_outage != self.has_logged_outage {
            self.has_logged_outage = has_outage;
            log_outage(now, name, !has_outage, self.replica.last_contact_at());
        }
        let retained: Vec<&str> = self.replica.retained().collect();
        if retained.len() > self.logged_retained {
            log_rows_kept(name, &retained, source);
        }
        self.logged_retained = retained.len();
    }

    /// Records what another instance reports of its own reads. While the own ones don't fail, where a poll rests for
    /// `max_rest`, a read that fails there counts only once a prompt one, in this instance's `turn`, isn't answered.
    pub(super) fn record_reads_elsewhere(
        &mut self,
        now: Time,
        reads: OwnReads,
        max_rest: Duration,
        turn: Duration,
    ) {
        self.record_contact(reads.contact_at);
        if !reads.is_failing {
            return;
        }
        let own = self.own_reads.filter(|own| !own.is_failing);
        let contact_at = self.replica.last_contact_at().unwrap_or(reads.contact_at);
        let rests_until = own.map_or(now, |own| own.contact_at + max_rest);
        self.failing_elsewhere
            .send_modify(|failing| failing.on_report(now, contact_at, rests_until, turn));
        if own.is_none() {
            self.replica.on_read_failure(now);
        }
        self.believe_overdue(now);
    }

    /// Records that another instance, whose rows are those at `position`, knew at `at` that they were the latest. That says
    /// the same of the own rows, unless these lack some of them.
    pub(super) fn record_confirmation(
        &mut self,
        from: &InstanceId,
        position: Position,
        at: Option<Time>,
    ) {
        let known = self.peer_confirmation.as_ref();
        let is_later = at > known.map(|confirmation| confirmation.at);
        if is_later && position <= self.replica.position() {
            let by = Some(from.clone());
            self.peer_confirmation = at.map(|at| Confirmation {
                at,
                by,
                ..Confirmation::default()
            });
        }
    }

    /// Returns what last showed that the rows are the latest.
    pub(super) fn confirmation(&self) -> Option<Confirmation> {
        let own = self.confirmed_at.map(|at| Confirmation {
            at,
            ..Confirmation::default()
        });
        let reported = self.peer_confirmation.clone();
        let pair = [own, reported].into_iter().flatten();
        let latest = pair.max_by_key(|confirmation| confirmation.at)?;
        Some(Confirmation {
            era: self.replica.position().era,
            ..latest
        })
    }

    /// Counts the failing reads that others have reported if an own one that is due hasn't been answered either.
    pub(super) fn believe_overdue(&mut self, now: Time) {
        if self.failing_elsewhere.borrow().is_answer_overdue(now) {
            self.replica.on_read_failure(now);
        }
    }

    /// Counts the last failing read that others have reported: an answer came late, or rows are found removed.
    pub(super) fn believe_reported(&mut self) {
        let reported_at = self.failing_elsewhere.borrow().reported_at();
        if let Some(at) = reported_at {
            self.replica.on_read_failure(at);
        }
    }

    /// Records that some instance read the table at `at` or later.
    pub(super) fn record_contact(&mut self, at: Time) {
        if self.replica.last_contact_at() < Some(at) {
            self.failing_elsewhere.send_if_modified(|failing| {
                let before = *failing;
                failing.on_contact();
                before != *failing
            });
        }
        self.replica.on_contact(at);
    }

    /// Records that the platform has answered. An answer from before the own position confirms nothing, and is
    /// logged unless it was asked for before that position was known.
    pub(super) fn record_answer(&mut self, name: &str, read: &PlatformRead) {
        let own_position = self.replica.position();
        if read.position < own_position && read.sent_at() > self.advanced_at {
            log_older(name, own_position, read.position);
        }
        self.is_reachable = true;
        self.parts.on_read();
        if read.position >= own_position {
            self.confirmed_at = self.confirmed_at.max(Some(read.made_at));
        }
        let contact_at = read.answer.arrived_at;
        if let Some(sent_at) = read.unanswered_since {
            self.replica.on_own_read_failure(sent_at, contact_at);
        }
        let is_late = self
            .failing_elsewhere
            .borrow()
            .is_answer_overdue(contact_at);
        if is_late || read.rows.iter().any(|row| row.value.is_none()) {
            self.believe_reported();
        }
        self.own_reads = Some(OwnReads {
            contact_at,
            is_failing: false,
        });
        self.record_contact(contact_at);
    }
}

//! Reads during a transfer: whether the table has changed since the answer that is arriving was made.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use base::Position;
use coord::AnswerDates;
use tokio::task::JoinSet;

use super::{
    MIN_ARRIVAL_TIME, TableRead,
    open_polls::OpenPoll,
    side_calls::{Finding, Seen, SideCalls},
};
use crate::read_reports::LaterChange;

/// Reads a table's position as an answer is arriving, and follows it from there until that answer is complete.
///
/// The answer contains nothing that has changed since it was made, and nothing shows that until it is complete. A
/// small call reports the position a moment later, and a poll from there shows when the next change comes: as its first
/// bytes arrive it is dropped, since its rows can't be applied and would share the link. Where the poll that follows the
/// answer brings something although the concurrent one brought nothing, the change lies between that answer and the small
/// call, if another prompt read from that call's position is empty.
///
/// Where the poll during the answer brings a change, and the answer's position turns out to be lower than the small call's,
/// there may have been an earlier change between the two, or one of another table: nothing that is read without the rows
/// shows which. It is reported too, with a later date than it would have. The same holds where that prompt read fails.
///
/// Where the rows are of use, such a poll is read whole and followed by another one. One whose rows are arriving goes on
/// during the polls after the transfer.
///
/// What fails or isn't answered here is tried once more, and has no effect then.
#[derive(Debug, Default)]
pub(super) struct ConcurrentReads {
    tasks: JoinSet<Finding>,
    /// Number of the poll during whose answer the present read goes on.
    present_poll: Option<u64>,
    /// Number of the last poll during whose answer the position was read.
    last_poll: Option<u64>,
    /// The last position that was read.
    seen: Option<Seen>,
    /// The same where the table has changed after it, during an answer that isn't complete.
    passed: Option<Seen>,
    /// Number of the poll that was answered last, and the position of its answer.
    answered: Option<(u64, Position)>,
    /// A change that a complete answer has shown, and that is to be reported.
    due: Option<LaterChange>,
    /// Whether rows are arriving that are of use.
    brings_rows: Arc<AtomicBool>,
    /// Whether a read of the table has been answered.
    has_rows: bool,
    /// Whether a later change has been shown that the next poll brings.
    is_change_due: bool,
}

impl ConcurrentReads {
    /// Ends the present read unless it goes on during one of the open polls.
    pub(super) fn end_unless_open<'a, I>(&mut self, open: I)
    where
        I: IntoIterator<Item = &'a OpenPoll>,
    {
        let mut open = open.into_iter();
        let is_over = |number| open.all(|poll| poll.number != number);
        if self.present_poll.is_some_and(is_over) {
            self.present_poll = None;
        }
        if self.present_poll.is_none() && !self.brings_rows.load(Ordering::Relaxed) {
            self.tasks.abort_all();
        }
    }

    /// Starts the read that is due during the answer to a poll, of which something has arrived.
    pub(super) fn on_arriving(&mut self, poll: &OpenPoll, calls: &SideCalls) {
        // Without rows nothing is decided.
        if !self.tasks.is_empty() || !self.has_rows {
            return;
        }
        if !self.start_check(poll, calls) {
            self.start_position(poll, calls);
        }
    }

    /// Starts the read that shows whether what is arriving had changed before the position that was read during an answer
    /// before; returns whether that is due.
    fn start_check(&mut self, poll: &OpenPoll, calls: &SideCalls) -> bool {
        let earlier = self.seen.filter(|seen| {
            seen.number < poll.number && poll.after.is_some_and(|after| after < seen.position)
        });
        let Some((seen, after)) = earlier.zip(poll.after) else {
            return false;
        };
        self.seen = None;
        self.present_poll = Some(poll.number);
        let calls = calls.clone();
        let (sent, received) = (poll.sent, poll.received.clone());
        self.tasks.spawn(calls.check(seen, after, sent, received));
        true
    }

    /// Starts the first read of the position during an answer that has been arriving for long enough.
    fn start_position(&mut self, poll: &OpenPoll, calls: &SideCalls) {
        let read_at = poll.received.borrow().begun_at;
        let is_long = read_at.is_some_and(|at| at.elapsed() >= MIN_ARRIVAL_TIME);
        let begun_at = poll.begun_at().filter(|_| is_long);
        if let Some(begun_at) = begun_at.filter(|_| self.last_poll != Some(poll.number)) {
            self.last_poll = Some(poll.number);
            self.present_poll = Some(poll.number);
            let calls = calls.clone();
            self.tasks.spawn(calls.read_position(poll.number, begun_at));
        }
    }

    /// Records that the poll with a number has been answered up to a position, whatever it brings: what it doesn't has come
    /// after it.
    pub(super) fn on_answer(&mut self, number: u64, position: Position, calls: &SideCalls) {
        self.has_rows = true;
        self.answered = Some((number, position));
        if let Some(seen) = self.passed.take() {
            self.on_passed(seen, calls);
        }
        self.seen = self.seen.filter(|seen| seen.number >= number);
    }

    /// Records that the table has changed after a position that was read during an answer, which may be complete by now.
    fn on_passed(&mut self, seen: Seen, calls: &SideCalls) {
        match self.answered.filter(|(number, _)| *number >= seen.number) {
            None => self.passed = Some(seen),
            Some((number, after)) if number == seen.number && after < seen.position => {
                let since = calls.doubtful_since(&seen);
                self.due = Some(LaterChange { after, since });
            }
            Some(_) => {}
        }
    }

    /// Returns whether the next poll brings a change that has been shown, so that it need not wait for one. Should none have
    /// been made, its answer shows that.
    pub(super) fn take_due_change(&mut self) -> bool {
        std::mem::take(&mut self.is_change_due)
    }

    /// Awaits a later change that a read has shown; `None` if it has shown none. Waits for ever if there is no read.
    pub(super) async fn next(
        &mut self,
        calls: &SideCalls,
        dates: &mut AnswerDates,
    ) -> Option<TableRead> {
        if let Some(change) = self.due.take() {
            return Some(TableRead::Later(change));
        }
        let Some(ended) = self.tasks.join_next().await else {
            return std::future::pending().await;
        };
        self.brings_rows.store(false, Ordering::Relaxed);
        match ended.unwrap_or(Finding::Nothing) {
            Finding::Nothing => None,
            Finding::Position(mut seen) => {
                seen.date(dates);
                self.seen = (!calls.takes_rows).then_some(seen);
                self.follow(seen, calls);
                None
            }
            Finding::Rows(seen, rows) => {
                self.follow(seen, calls);
                Some(TableRead::Concurrent(rows))
            }
            Finding::Change(seen, change) => {
                // What is arriving after this one may have changed then.
                self.seen = None;
                self.on_passed(seen, calls);
                self.is_change_due = true;
                Some(TableRead::Later(change))
            }
            // What is complete by now may have been an answer without changes.
            Finding::Earlier(change) => self.present_poll.map(|_| TableRead::Later(change)),
        }
    }

    /// Follows the table from a position if the answer during which that was read is still arriving.
    fn follow(&mut self, seen: Seen, calls: &SideCalls) {
        if self.present_poll == Some(seen.number) {
            let follow = calls.clone().follow(seen, self.brings_rows.clone());
            self.tasks.spawn(follow);
        }
    }
}

//! Reads beside a transfer: whether the table has changed since the answer that is arriving was made.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{Position, Time};
use coord::{Answer, AnswerDates};
use entry::{lag::LagMeter, view::Clock};
use platform::{Platform, PlatformError, Progress, Received};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    MIN_ARRIVAL_TIME, POLL_DELAY, ReadTiming, RowsBeside, TableRead, open_polls::OpenPoll,
};
use crate::{read_reports::LaterChange, table_logs::log_failure_beside};

/// Maximum size of an answer without rows, in bytes.
const MAX_EMPTY_BYTES: u64 = 512;
/// Fraction of the time within which a change must be in force by which a change that may not exist is dated later than it
/// would have been made: well below what is left of that time once an instance that knows of a change stops to decide.
const DOUBT_FRACTION: f64 = 0.15;
/// Time within which a read is to show whether there is such a change, beyond the time of two small calls.
const CHECK_TIME: Duration = Duration::from_millis(300);

/// What a read beside a transfer is sent with.
#[derive(Debug, Clone)]
pub(super) struct SideCalls {
    pub(super) clock: Clock,
    pub(super) lag: LagMeter,
    pub(super) platform: Platform,
    pub(super) table: String,
    pub(super) timing: ReadTiming,
    /// Time within which a change must be in force.
    pub(super) apply: Duration,
    /// Whether the rows of the answers are of use although what comes before them is still arriving.
    pub(super) takes_rows: bool,
}

/// Reads a table's position as an answer is arriving, and follows it from there until that answer is complete.
///
/// The answer contains nothing that has changed since it was made, and nothing shows that until it is complete. A
/// small call tells the position a moment later, and a poll from there shows when the next change comes: as its first
/// bytes arrive it is dropped, since its rows can't be applied and would share the link. Where the poll that follows the
/// answer brings something although the one beside it brought nothing, the change lies between that answer and the small
/// call, if another prompt read from that call's position is empty.
///
/// Where the poll beside the answer brings a change, and the answer's position turns out to be lower than the small call's,
/// there may have been an earlier change between the two, or one of another table: nothing that is read without the rows
/// tells which. It is reported too, with a later date than it would have. The same holds where that prompt read fails.
///
/// Where the rows are of use, such a poll is read whole and followed by another one. One whose rows are arriving goes on
/// beside the polls after the transfer.
///
/// What fails or isn't answered here is tried once more, and has no effect then.
#[derive(Debug, Default)]
pub(super) struct BesideReads {
    tasks: JoinSet<Finding>,
    /// Number of the poll beside whose answer the present read goes on.
    present_poll: Option<u64>,
    /// Number of the last poll beside whose answer the position was read.
    last_poll: Option<u64>,
    /// The last position that was read.
    seen: Option<Seen>,
    /// The same where the table has changed after it, beside an answer that isn't complete.
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

/// A position of the platform's tables that was read beside a transfer.
#[derive(Debug, Clone, Copy)]
struct Seen {
    position: Position,
    /// The answer that said it.
    answer: Answer,
    /// Time at which the platform had it by its clock, or else the middle of the call.
    at: Time,
    /// Time that the answer took to arrive since then.
    way: Duration,
    /// Number of the poll whose answer was arriving.
    number: u64,
    /// Time at which that began to arrive.
    begun_at: Time,
    /// Whether a poll from an earlier position has failed.
    is_second: bool,
}

/// What a read beside a transfer has shown.
#[derive(Debug)]
enum Finding {
    /// The read failed.
    Nothing,
    Position(Seen),
    /// The table has changed since a position was read.
    Change(Seen, LaterChange),
    /// The table has changed after a position, by these rows.
    Rows(Seen, RowsBeside),
    /// What is arriving had changed, or may have, before a position that was read before.
    Earlier(LaterChange),
}

/// What became of a poll beside a transfer.
enum SideAnswer {
    /// It has no rows, and is complete up to a position.
    Empty(Position),
    /// It brings rows, and began at a time.
    Begun(Time),
    Rows(RowsBeside),
    /// It failed; `None` if no answer came in time.
    Failed(Option<PlatformError>),
}

impl Seen {
    fn new(
        number: u64,
        begun_at: Time,
        late: Duration,
        (position, answer): (Position, Answer),
    ) -> Self {
        let way = (answer.arrived_at - answer.sent_at) / 2;
        Self {
            position,
            answer,
            at: answer.arrived_at.before(way + late).max(answer.sent_at),
            way,
            number,
            begun_at,
            is_second: false,
        }
    }

    /// Dates the position by the platform's clock, if it reports one: neither connecting nor what holds up this instance
    /// counts then.
    fn date(&mut self, dates: &mut AnswerDates) {
        if self.answer.reading.is_some() {
            self.at = dates.date(self.answer);
            self.way = self.answer.arrived_at - self.at;
        }
    }
}

impl BesideReads {
    /// Ends the present read unless it goes on beside one of the open polls.
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

    /// Starts the read that is due beside the answer to a poll, of which something has arrived.
    pub(super) fn on_arriving(&mut self, poll: &OpenPoll, calls: &SideCalls) {
        // Without rows nothing is decided.
        if !self.tasks.is_empty() || !self.has_rows {
            return;
        }
        if !self.start_check(poll, calls) {
            self.start_position(poll, calls);
        }
    }

    /// Starts the read that shows whether what is arriving had changed before the position that was read beside an answer
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

    /// Starts the first read of the position beside an answer that has been arriving for long enough.
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

    /// Records that the table has changed after a position that was read beside an answer, which may be complete by now.
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
                Some(TableRead::Beside(rows))
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

    /// Follows the table from a position if the answer beside which that was read is still arriving.
    fn follow(&mut self, seen: Seen, calls: &SideCalls) {
        if self.present_poll == Some(seen.number) {
            let follow = calls.clone().follow(seen, self.brings_rows.clone());
            self.tasks.spawn(follow);
        }
    }
}

impl SideCalls {
    async fn read_position(self, number: u64, begun_at: Time) -> Finding {
        let answer = self.ask_position().await;
        answer.map_or(Finding::Nothing, |answer| {
            let late = self.lag.of_handed_on();
            Finding::Position(Seen::new(number, begun_at, late, answer))
        })
    }

    /// Returns the platform's position, and the answer that said it.
    async fn ask_position(&self) -> Option<(Position, Answer)> {
        for is_second in [false, true] {
            let sent_at = self.clock.now();
            let progress = Progress::start();
            let received = progress.received();
            let platform = self.platform.clone().progress(progress);
            let read = platform.position(&self.table);
            let error = match timeout(self.timing.first_answer_time(), read).await {
                Ok(Ok(position)) => {
                    let answer = Answer {
                        sent_at,
                        arrived_at: self.clock.now(),
                        reading: received.borrow().made_at,
                    };
                    return Some((position, answer));
                }
                Ok(Err(error)) => Some(error),
                Err(_) => None,
            };
            self.log_failure("position", error.as_ref(), is_second);
            sleep(POLL_DELAY).await;
        }
        None
    }

    fn log_failure(&self, call: &str, error: Option<&PlatformError>, is_second: bool) {
        log_failure_beside(&self.table, call, error, is_second);
    }

    /// Returns the date of a change that may have been made between an answer and the small call.
    fn doubtful_since(&self, seen: &Seen) -> Time {
        seen.begun_at + self.apply.mul_f64(DOUBT_FRACTION)
    }

    /// Follows the table until it changes. The change was made before its first bytes arrive, by as long as those of the
    /// small call took where the link is as full.
    async fn follow(self, mut seen: Seen, brings_rows: Arc<AtomicBool>) -> Finding {
        let mut after = seen.position;
        loop {
            let answer = if self.takes_rows {
                self.poll_rows(after, &brings_rows).await
            } else {
                self.poll(after, self.timing.poll_wait).await
            };
            match answer {
                SideAnswer::Empty(position) => after = after.max(position),
                SideAnswer::Rows(rows) => {
                    let position = after.max(rows.position);
                    return Finding::Rows(Seen { position, ..seen }, rows);
                }
                SideAnswer::Begun(begun_at) => {
                    let since = begun_at.before(seen.way).max(seen.at);
                    return Finding::Change(seen, LaterChange { after, since });
                }
                SideAnswer::Failed(error) => {
                    self.log_failure("poll", error.as_ref(), seen.is_second);
                    if seen.is_second {
                        return Finding::Nothing;
                    }
                    seen.is_second = true;
                    if error == Some(PlatformError::HistoryGone) {
                        return self.read_position_again(seen).await;
                    }
                }
            }
            sleep(POLL_DELAY).await;
        }
    }

    /// Reads the position again where the history after the one that was seen is gone.
    async fn read_position_again(&self, seen: Seen) -> Finding {
        let answer = self.ask_position().await;
        answer.map_or(Finding::Nothing, |answer| {
            Finding::Position(Seen {
                is_second: true,
                ..Seen::new(seen.number, seen.begun_at, self.lag.of_handed_on(), answer)
            })
        })
    }

    /// Reads whether the table has changed since `seen`, where the answer to a poll that was sent at `sent` has begun to arrive,
    /// and brings what has changed after the position `after`. Answers without changes end before this.
    ///
    /// Where this read fails, the table may have changed before `seen`, unless the answer that is arriving waited for its
    /// change.
    async fn check(
        self,
        seen: Seen,
        after: Position,
        sent: Instant,
        received: watch::Receiver<Received>,
    ) -> Finding {
        let answer = self.poll_at_once(seen.position);
        let answer = timeout(seen.way * 4 + CHECK_TIME, answer).await;
        if matches!(answer, Ok(SideAnswer::Begun(_))) {
            return Finding::Nothing;
        }
        let Some(begun_at) = await_news(received).await else {
            return Finding::Nothing;
        };
        let doubtful_since = self.doubtful_since(&seen);
        let since = match answer {
            Ok(SideAnswer::Empty(_)) => seen.at.min(doubtful_since),
            _ if begun_at - sent <= seen.way * 4 + MIN_ARRIVAL_TIME => doubtful_since,
            _ => return Finding::Nothing,
        };
        Finding::Earlier(LaterChange { after, since })
    }

    /// Sends a poll that waits for nothing, and another one if that fails.
    async fn poll_at_once(&self, after: Position) -> SideAnswer {
        let answer = self.poll(after, Duration::ZERO).await;
        let SideAnswer::Failed(error) = answer else {
            return answer;
        };
        self.log_failure("check", error.as_ref(), false);
        sleep(POLL_DELAY).await;
        self.poll(after, Duration::ZERO).await
    }

    /// Sends a poll and reads what it brings.
    async fn poll_rows(&self, after: Position, brings_rows: &AtomicBool) -> SideAnswer {
        let wait = self.timing.poll_wait;
        let progress = Progress::start();
        let mut received = progress.received();
        let platform = self.platform.clone().progress(progress);
        let mut answer = pin!(platform.changes(&self.table, after, wait));
        let mut max_quiet_time = wait + self.timing.first_answer_time();
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answer => break answer,
                arrived = timeout(max_quiet_time, received.changed()) => {
                    if !matches!(arrived, Ok(Ok(()))) {
                        return SideAnswer::Failed(None);
                    }
                }
            }
            if received.borrow().begun_at.is_some() {
                brings_rows.store(true, Ordering::Relaxed);
                max_quiet_time = self.timing.first_answer_time();
            }
        };
        match answer {
            Ok((rows, position)) if rows.is_empty() => {
                brings_rows.store(false, Ordering::Relaxed);
                SideAnswer::Empty(position)
            }
            Ok((rows, position)) => SideAnswer::Rows(RowsBeside { rows, position }),
            Err(error) => SideAnswer::Failed(Some(error)),
        }
    }

    /// Sends a poll and drops it as soon as it is seen to bring rows.
    async fn poll(&self, after: Position, wait: Duration) -> SideAnswer {
        let progress = Progress::start();
        let received = progress.received();
        let platform = self.platform.clone().progress(progress.clone());
        let max_silence = wait + self.timing.first_answer_time();
        let answer = timeout(max_silence, platform.changes(&self.table, after, wait));
        let mut answer = pin!(answer);
        let begun = await_news(progress.received());
        let since = |at: Instant| {
            let waited = at.elapsed() + self.lag.of_handed_on();
            self.clock.now().before(waited)
        };
        tokio::select! {
            biased;
            answer = &mut answer => match answer {
                Ok(Ok((rows, position))) if rows.is_empty() => SideAnswer::Empty(position),
                Ok(Ok(_)) => {
                    let begun_at = received.borrow().begun_at;
                    SideAnswer::Begun(since(begun_at.unwrap_or_else(Instant::now)))
                }
                Ok(Err(error)) => SideAnswer::Failed(Some(error)),
                Err(_) => SideAnswer::Failed(None),
            },
            Some(begun_at) = begun => SideAnswer::Begun(since(begun_at)),
        }
    }
}

/// Waits until an answer that brings rows is arriving, and returns when it began: one of an announced length by that, another
/// one if it isn't complete, which ends this, after [`MIN_ARRIVAL_TIME`]. Waits for ever for an answer without rows.
async fn await_news(mut received: watch::Receiver<Received>) -> Option<Instant> {
    let begun = received.wait_for(|received| received.begun_at.is_some());
    let begun_at = begun.await.ok()?.begun_at?;
    let is_announced = received.borrow().left().is_some();
    let has_rows = received.wait_for(|received| {
        let left = received.left().unwrap_or(0);
        received.bytes + left > MAX_EMPTY_BYTES
    });
    if is_announced {
        has_rows.await.ok()?;
    } else {
        let _ = timeout_at(begun_at + MIN_ARRIVAL_TIME, has_rows).await;
    }
    Some(begun_at)
}

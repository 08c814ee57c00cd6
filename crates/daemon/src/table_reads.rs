//! Reads of the followed tables: long polls of the platform, and fetches from other instances.

mod concurrent;
mod elsewhere;
mod open_polls;
mod outcome;
mod polling;
mod probes;
mod side_calls;
mod timing;

use std::time::Duration;

use base::{Position, Time};
use coord::{AnswerDates, MIN_STANDSTILL};
use entry::{lag::LagMeter, view::Clock};
use platform::{Platform, PlatformError, Received};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until},
};

pub(crate) use self::probes::ProbePace;
pub use self::timing::ReadTiming;
use self::{
    concurrent::ConcurrentReads,
    open_polls::{OpenPoll, OpenPolls},
    side_calls::SideCalls,
};
pub(crate) use self::{
    elsewhere::FailingElsewhere,
    outcome::{Arrival, ConcurrentRows, PlatformRead, TableRead, to_row_change, to_snapshot},
};
use crate::read_reports::{FailureCause, ReadFailure};

/// Time from when a poll was answered to the next one, so that changes in quick succession cost one poll.
const POLL_DELAY: Duration = Duration::from_millis(100);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between polls that wait for nothing, over a connection that is kept.
const PROMPT_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time for which a poll waits for a change while the reads of another instance fail: well below the time for
/// which a read shows that there is no outage.
const CONTACT_POLL_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two reports that an answer is arriving.
const ARRIVAL_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an answer must have been arriving to bring changes: one without any is complete before.
pub(crate) const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// Maximum number of polls without an answer, probes left out; beyond it, the oldest is cancelled.
const MAX_OPEN_POLLS: usize = 4;
/// Time after a standstill of this instance within which an answer that arrived meanwhile is handled.
const HEARING_TIME: Duration = Duration::from_millis(200);
/// Time without a byte after which a poll fails.
const GIVE_UP_TIME: Duration = Duration::from_secs(20);

/// Configures a [`TableReader`]: what it reads, and how.
#[derive(Debug)]
pub(crate) struct ReaderOptions {
    pub(crate) clock: Clock,
    pub(crate) lag: LagMeter,
    pub(crate) platform: Platform,
    pub(crate) table: String,
    pub(crate) timing: ReadTiming,
    /// Whether rows are of use although what comes before them is still arriving.
    pub(crate) takes_rows_concurrently: bool,
    /// How often the table is asked for while the platform doesn't answer; `None` if its return needn't be noticed soon.
    pub(crate) probes: Option<ProbePace>,
    /// Time within which a change must be in force.
    pub(crate) apply: Duration,
    /// Position up to which rows have come from another source.
    pub(crate) advanced: watch::Receiver<Position>,
    /// What other instances report of reads that fail.
    pub(crate) failing_elsewhere: watch::Receiver<FailingElsewhere>,
    /// Changes when the whole table is to be read again.
    pub(crate) read_anew: watch::Receiver<u64>,
}

/// Follows one table by long polls.
///
/// A poll of whose answer nothing arrives in time is overtaken by one on a new connection, since its own
/// may have gone silent permanently; if its answer comes after all, it is used. One whose answer is arriving
/// is waited for, however long that takes, unless most of it is left when rows of a later position than it
/// asked from have come from another source: the next poll goes on from there. Beside it, other calls show whether the
/// table changes again meanwhile.
#[derive(Debug)]
pub(crate) struct TableReader {
    options: ReaderOptions,
    /// Position from which the next poll continues; `None` before the first rows.
    position: Option<Position>,
    /// Whether the next poll asks for all rows, whatever the position.
    is_reading_anew: bool,
    polls: JoinSet<PollResult>,
    concurrent: ConcurrentReads,
    side_calls: SideCalls,
    /// What is known of the platform's clock.
    dates: AnswerDates,
    /// Time of the last poll that waited for nothing.
    prompt_at: Time,
    open: OpenPolls,
    next_number: u64,
    /// Whether the next poll opens a new connection, so that it must be answered at once.
    is_reconnecting: bool,
    /// Number of the first poll since connections were last given up.
    reconnected_before: u64,
    /// The last rows from another source.
    advance: Option<Advance>,
    /// Whether an answer has been ended since one was complete.
    has_ended: bool,
    retry_delay: Duration,
    /// Numbers of the polls whose answers are arriving, and where the polls send them.
    arrivals: mpsc::Receiver<u64>,
    arrivals_tx: mpsc::Sender<u64>,
}

/// Records that rows have come from another source.
#[derive(Debug, Clone, Copy)]
struct Advance {
    /// Position up to which they have come.
    position: Position,
    /// Number of the first poll that was sent after that.
    before: u64,
}

type PollResult = (u64, Result<TableRead, PlatformError>);

/// What the reader does next unless an answer comes before.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Sends a poll at a time.
    Poll(Instant),
    /// Counts the newest poll as unanswered at a time.
    Overtake(Instant),
}

impl TableReader {
    pub(crate) fn new(options: ReaderOptions) -> Self {
        let platform = options.platform.timeout(GIVE_UP_TIME);
        let (arrivals_tx, arrivals) = mpsc::channel(MAX_OPEN_POLLS);
        let side_calls = SideCalls {
            clock: options.clock,
            lag: options.lag.clone(),
            platform: platform.clone(),
            table: options.table.clone(),
            timing: options.timing,
            apply: options.apply,
            takes_rows: options.takes_rows_concurrently,
        };
        Self {
            options: ReaderOptions {
                platform,
                ..options
            },
            position: None,
            is_reading_anew: false,
            polls: JoinSet::new(),
            concurrent: ConcurrentReads::default(),
            side_calls,
            dates: AnswerDates::default(),
            prompt_at: Time::ZERO,
            open: OpenPolls::default(),
            next_number: 0,
            is_reconnecting: true,
            reconnected_before: 0,
            advance: None,
            has_ended: false,
            retry_delay: MIN_RETRY_DELAY,
            arrivals,
            arrivals_tx,
        }
    }

    /// Polls the table and sends what it reads to `tx`, with `idx`, until the receiver is dropped.
    pub(crate) async fn run(mut self, idx: usize, tx: mpsc::Sender<(usize, TableRead)>) {
        let mut step = Step::Poll(Instant::now());
        let mut eras = self.options.platform.era();
        eras.mark_unchanged();
        loop {
            let (Step::Poll(at) | Step::Overtake(at)) = step;
            let prompt_at = self.next_prompt_at(step);
            self.concurrent.end_unless_open(self.open.iter());
            let read = tokio::select! {
                // What has come is taken before anything counts as silent.
                biased;
                Some(ended) = self.polls.join_next() => match ended {
                    Ok(result) => self.handle_result(result, &mut step).await,
                    // The poll has been given up.
                    Err(_) => None,
                },
                Some(number) = self.arrivals.recv() => {
                    self.open.cancel_overtakers(number);
                    self.end_outdated(&mut step).await;
                    let poll = self.open.iter().find(|poll| poll.number == number);
                    if let Some(poll) = poll {
                        self.concurrent.on_arriving(poll, &self.side_calls);
                    }
                    Some(TableRead::Arriving(Arrival {
                        since: poll.and_then(OpenPoll::arriving_since),
                        after: poll.and_then(|poll| poll.after).unwrap_or_default(),
                        is_slow: self.open.is_slow() || self.open.is_late(self.options.apply),
                    }))
                }
                later = self.concurrent.next(&self.side_calls, &mut self.dates) => later,
                Ok(()) = self.options.advanced.changed() => {
                    let position = *self.options.advanced.borrow_and_update();
                    self.position = self.position.max(Some(position));
                    self.advance = Some(Advance { position, before: self.next_number });
                    self.end_outdated(&mut step).await;
                    None
                }
                Ok(()) = eras.changed() => {
                    let era = *eras.borrow_and_update();
                    self.begin_era(era, &mut step).await;
                    None
                }
                Ok(()) = self.options.read_anew.changed() => {
                    self.is_reading_anew = true;
                    None
                }
                Ok(()) = self.options.failing_elsewhere.changed() => None,
                () = sleep_until(prompt_at.unwrap_or(at)) => match (step, self.arriving_until()) {
                    (Step::Overtake(_), _) if self.is_probe_due() => {
                        self.send_probe();
                        None
                    }
                    _ if prompt_at.is_some() => {
                        let until = Instant::now() + self.send_prompt();
                        step = Step::Overtake(at.min(until));
                        None
                    }
                    (_, Some(until)) => {
                        step = Step::Overtake(until);
                        None
                    }
                    (Step::Poll(_), None) => {
                        step = Step::Overtake(Instant::now() + self.send_poll());
                        None
                    }
                    // An answer that came meanwhile waits in the socket.
                    (Step::Overtake(due), None) if due.elapsed() >= MIN_STANDSTILL => {
                        step = Step::Overtake(Instant::now() + HEARING_TIME);
                        None
                    }
                    (Step::Overtake(_), None) => self.overtake(&mut step).await,
                },
            };
            if let Some(read) = read
                && tx.send((idx, read)).await.is_err()
            {
                return;
            }
        }
    }

    async fn handle_result(
        &mut self,
        (number, result): PollResult,
        step: &mut Step,
    ) -> Option<TableRead> {
        let idx = self.open.index_of(number)?;
        let advanced = self.advanced_past(&self.open[idx]);
        match result {
            Ok(mut read) => {
                let mut answered_at = Instant::now();
                if let TableRead::Changes(read) | TableRead::Snapshot(read) = &mut read {
                    let position = read.position;
                    self.concurrent
                        .on_answer(number, position, &self.side_calls);
                    // What came meanwhile stays; an answer to a later poll contains the platform's position.
                    self.position = advanced.max(Some(read.position));
                    read.made_at = self.dates.date(read.answer);
                    read.unanswered_since = self.open.unanswered_before(idx);
                    answered_at = self.options.clock.instant(read.answer.arrived_at);
                }
                // The others can't bring anything newer: they ask for what has come, or for less. Where connections
                // were given up after it was sent, its own one is no longer kept.
                self.is_reconnecting = number < self.reconnected_before;
                self.open.cancel_all();
                self.retry_delay = MIN_RETRY_DELAY;
                self.has_ended = false;
                // What changed while a long answer arrived has waited long enough.
                *step = Step::Poll(answered_at + POLL_DELAY);
                Some(read)
            }
            Err(PlatformError::HistoryGone) => {
                self.position = advanced;
                self.open.cancel_all();
                *step = Step::Poll(Instant::now());
                None
            }
            Err(error) => {
                let is_newest = self.open.last_regular() <= Some(idx);
                let failed = self.open.remove(idx)?;
                // An earlier one has been reported already.
                if !is_newest || matches!(step, Step::Poll(_)) {
                    return None;
                }
                let cause = FailureCause::from(&error);
                Some(self.fail(&failed, cause, step).await)
            }
        }
    }

    /// Returns when an answer that is arriving counts as cut off unless more of it comes.
    fn arriving_until(&self) -> Option<Instant> {
        let max_silence = self.options.timing.first_answer_time();
        self.open.arriving_until(max_silence)
    }

    /// Returns the position up to which rows have come from another source since a poll was sent if that is later
    /// than the one from which it asks.
    fn advanced_past(&self, poll: &OpenPoll) -> Option<Position> {
        let advance = self.advance.as_ref();
        let later = advance.filter(|advance| poll.number < advance.before);
        let position = later.map(|advance| advance.position);
        position.filter(|position| Some(*position) > poll.after)
    }

    /// Ends the polls if most of what an answer brings has come from another source: it is arriving below the
    /// lowest rate, or much of it is left. The next poll opens a new connection. Answers that bring something
    /// later again and again are ended once, so that the next one is complete.
    async fn end_outdated(&mut self, step: &mut Step) {
        let outdated = self.open.iter();
        let outdated = outdated.filter(|poll| self.advanced_past(poll).is_some());
        let mut received = outdated.map(|poll| *poll.received.borrow());
        let ends = |received: Received| {
            received.is_slow() || (received.has_much_left() && !self.has_ended)
        };
        if received.any(ends) {
            self.has_ended = true;
            self.open.cancel_all();
            self.reconnect().await;
            *step = Step::Poll(Instant::now() + POLL_DELAY);
        }
    }

    /// Reads the table at once in a new era: the open polls ask for changes of an earlier one. Before the first rows, an era is
    /// that of the read which is under way.
    async fn begin_era(&mut self, era: u32, step: &mut Step) {
        if self.position.is_none() || self.open.iter().all(|poll| poll.is_of(era)) {
            return;
        }
        self.position = self.position.filter(|position| position.era >= era);
        self.open.cancel_all();
        self.reconnect().await;
        *step = Step::Poll(Instant::now());
    }

    /// Counts the newest poll as unanswered, and lets another one follow on a new connection.
    async fn overtake(&mut self, step: &mut Step) -> Option<TableRead> {
        *step = Step::Poll(Instant::now());
        self.open.make_room(MAX_OPEN_POLLS);
        let idx = self.open.last_regular()?;
        let newest = self.open.remove(idx)?;
        let read = self.fail(&newest, FailureCause::Unanswered, step).await;
        self.open.insert(idx, newest);
        Some(read)
    }

    /// Reports a failed poll; the next one follows at once if the cause may be its old connection.
    async fn fail(&mut self, poll: &OpenPoll, cause: FailureCause, step: &mut Step) -> TableRead {
        self.reconnect().await;
        let delay = if poll.is_on_kept_connection {
            Duration::ZERO
        } else {
            let delay = self.retry_delay;
            self.retry_delay = (delay * 2).min(self.options.timing.max_retry_delay);
            self.probe_delay().map_or(delay, |probe| probe.min(delay))
        };
        *step = Step::Poll(Instant::now() + delay);
        TableRead::Failed(ReadFailure {
            cause,
            is_on_kept_connection: poll.is_on_kept_connection,
            waited: self.options.clock.now() - poll.sent_at,
            received: *poll.received.borrow(),
        })
    }

    /// Gives up the kept connections, so that the next poll opens a new one.
    async fn reconnect(&mut self) {
        self.options.platform.reconnect().await;
        self.is_reconnecting = true;
        self.reconnected_before = self.next_number;
    }
}

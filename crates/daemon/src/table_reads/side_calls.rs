//! Small calls during a transfer, and what their answers date.

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
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{ConcurrentRows, MIN_ARRIVAL_TIME, POLL_DELAY, ReadTiming};
use crate::{read_reports::LaterChange, table_logs::log_concurrent_failure};

/// Maximum size of an answer without rows, in bytes.
const MAX_EMPTY_BYTES: u64 = 512;
/// Fraction of the time within which a change must be in force by which a change that may not exist is dated later than it
/// would have been made: well below what is left of that time once an instance that knows of a change stops to decide.
const DOUBT_FRACTION: f64 = 0.15;
/// Time within which a read is to show whether there is such a change, beyond the time of two small calls.
const CHECK_TIME: Duration = Duration::from_millis(300);

/// What a read during a transfer is sent with.
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

/// A position of the platform's tables that was read during a transfer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    pub(super) position: Position,
    /// The answer that said it.
    pub(super) answer: Answer,
    /// Time at which the platform had it by its clock, or else the middle of the call.
    pub(super) at: Time,
    /// Time that the answer took to arrive since then.
    pub(super) way: Duration,
    /// Number of the poll whose answer was arriving.
    pub(super) number: u64,
    /// Time at which that began to arrive.
    pub(super) begun_at: Time,
    /// Whether a poll from an earlier position has failed.
    pub(super) is_second: bool,
}

/// What a read during a transfer has shown.
#[derive(Debug)]
pub(super) enum Finding {
    /// The read failed.
    Nothing,
    Position(Seen),
    /// The table has changed since a position was read.
    Change(Seen, LaterChange),
    /// The table has changed after a position, by these rows.
    Rows(Seen, ConcurrentRows),
    /// What is arriving had changed, or may have, before a position that was read before.
    Earlier(LaterChange),
}

/// What became of a poll during a transfer.
pub(super) enum SideAnswer {
    /// It has no rows, and is complete up to a position.
    Empty(Position),
    /// It brings rows, and began at a time.
    Begun(Time),
    Rows(ConcurrentRows),
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
    pub(super) fn date(&mut self, dates: &mut AnswerDates) {
        if self.answer.reading.is_some() {
            self.at = dates.date(self.answer);
            self.way = self.answer.arrived_at - self.at;
        }
    }
}

impl SideCalls {
    pub(super) async fn read_position(self, number: u64, begun_at: Time) -> Finding {
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
        log_concurrent_failure(&self.table, call, error, is_second);
    }

    /// Returns the date of a change that may have been made between an answer and the small call.
    pub(super) fn doubtful_since(&self, seen: &Seen) -> Time {
        seen.begun_at + self.apply.mul_f64(DOUBT_FRACTION)
    }

    /// Follows the table until it changes. The change was made before its first bytes arrive, by as long as those of the
    /// small call took where the link is as full.
    pub(super) async fn follow(self, mut seen: Seen, brings_rows: Arc<AtomicBool>) -> Finding {
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
    pub(super) async fn check(
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
            Ok((rows, position)) => SideAnswer::Rows(ConcurrentRows { rows, position }),
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

//! When and how a table is polled.

use std::{pin::pin, time::Duration};

use base::Time;
use coord::Answer;
use entry::lag::LagMeter;
use platform::Progress;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use super::{
    ARRIVAL_REPORT_INTERVAL, CONTACT_POLL_WAIT, MAX_OPEN_POLLS, PROMPT_INTERVAL, PlatformRead,
    Step, TableRead, TableReader, open_polls::OpenPoll,
};

impl TableReader {
    /// Sends a poll and returns the time within which it must be answered.
    pub(super) fn send_poll(&mut self) -> Duration {
        let sent_at = self.options.clock.now();
        let timing = self.options.timing;
        let is_on_kept_connection = !self.is_reconnecting;
        let is_prompt = self.concurrent.take_due_change() || self.needs_prompt_answer(sent_at);
        let wait = if is_on_kept_connection && !is_prompt {
            self.poll_wait(sent_at)
        } else {
            Duration::ZERO
        };
        let reads_all = self.position.is_none() || self.is_reading_anew;
        self.send_waiting_poll(sent_at, wait);
        if reads_all || is_on_kept_connection {
            timing.max_silence()
        } else {
            timing.first_answer_time()
        }
    }

    /// Sends a poll that is answered at once, in addition to the open ones, and returns the time within which it must be
    /// answered.
    pub(super) fn send_prompt(&mut self) -> Duration {
        self.open.make_room(MAX_OPEN_POLLS);
        self.send_waiting_poll(self.options.clock.now(), Duration::ZERO);
        self.options.timing.first_answer_time()
    }

    /// Sends a poll that waits for a change for a time.
    pub(super) fn send_waiting_poll(&mut self, sent_at: Time, wait: Duration) {
        let progress = Progress::start();
        let received = progress.received();
        let platform = self.options.platform.clone().progress(progress.clone());
        let table = self.options.table.clone();
        // Where it fails, changes are followed as before.
        let is_reading_anew = std::mem::take(&mut self.is_reading_anew);
        let position = self.position.filter(|_| !is_reading_anew);
        let number = self.next_number;
        if wait.is_zero() {
            self.prompt_at = sent_at;
        }
        let (sent, clock, begun) = (Instant::now(), self.options.clock, received.clone());
        let to_read = move |(rows, position)| {
            let begun = *begun.borrow();
            let since = begun.begun_at.map_or(Duration::ZERO, |at| at.elapsed());
            let answer = Answer {
                sent_at,
                arrived_at: clock.now().before(since),
                reading: begun.made_at,
            };
            PlatformRead {
                answer,
                made_at: sent_at,
                unanswered_since: None,
                rows,
                position,
            }
        };
        let lag = self.options.lag.clone();
        let reports = report_arrivals(number, progress, lag, self.arrivals_tx.clone());
        let answer = async move {
            match position {
                None => {
                    let answer = platform.snapshot(&table).await;
                    answer.map(|answer| TableRead::Snapshot(to_read(answer)))
                }
                Some(after) => {
                    let answer = platform.changes(&table, after, wait).await;
                    answer.map(|answer| TableRead::Changes(to_read(answer)))
                }
            }
        };
        let task = self.polls.spawn(async move {
            let mut answer = pin!(answer);
            tokio::select! {
                biased;
                read = &mut answer => (number, read),
                () = reports => (number, answer.await),
            }
        });
        self.next_number += 1;
        self.open.push(OpenPoll {
            number,
            after: position,
            sent_at,
            sent,
            wait,
            is_on_kept_connection: !self.is_reconnecting,
            is_probe: false,
            received,
            task,
        });
    }

    /// Returns the time for which a poll waits for a change. While the reads of another instance fail, whoever reads is
    /// to show in time that there is no outage.
    fn poll_wait(&self, now: Time) -> Duration {
        let poll_wait = self.options.timing.poll_wait;
        if self.options.failing_elsewhere.borrow().is_recent(now) {
            poll_wait.min(CONTACT_POLL_WAIT)
        } else {
            poll_wait
        }
    }

    /// Returns when a poll that is answered at once is to be sent before the next step, because the platform may hold the
    /// open one beyond the time at which the table is to be read.
    pub(super) fn next_prompt_at(&self, step: Step) -> Option<Instant> {
        let Step::Overtake(until) = step else {
            return None;
        };
        if let Some(at) = self.next_probe_at().filter(|at| *at < until) {
            return Some(at);
        }
        let due = self.options.failing_elsewhere.borrow().read_due()?;
        let newest = self.open.back()?;
        let is_resting =
            newest.after.is_some() && newest.sent_at < due && newest.sent_at + newest.wait > due;
        let at = self.options.clock.instant(due);
        (is_resting && at < until && self.arriving_until().is_none()).then_some(at)
    }

    /// Returns whether the next poll is to wait for nothing, so that the platform's clock is known more closely.
    fn needs_prompt_answer(&self, now: Time) -> bool {
        now - self.prompt_at >= PROMPT_INTERVAL && self.dates.is_uncertain(now)
    }
}

/// Sends a poll's number, at most once an [`ARRIVAL_REPORT_INTERVAL`], when parts of its answer have
/// arrived. Before the first time, notes how late this process has read them.
async fn report_arrivals(number: u64, progress: Progress, lag: LagMeter, tx: mpsc::Sender<u64>) {
    let mut received = progress.received();
    while received.changed().await.is_ok() {
        let is_noted = {
            let received = received.borrow();
            received.read_late.is_some() || received.begun_at.is_none()
        };
        if !is_noted {
            progress.on_read_late(lag.of_handed_on());
            received.mark_unchanged();
        }
        if tx.send(number).await.is_err() {
            return;
        }
        sleep(ARRIVAL_REPORT_INTERVAL).await;
    }
}

//! The polls of a table that have been sent and not been answered.

use std::{collections::VecDeque, time::Duration};

use base::{Position, Time};
use derive_more::Deref;
use platform::Received;
use tokio::{sync::watch, task::AbortHandle, time::Instant};

/// Minimum time without a byte of the answer after which a poll over a new connection is a sign that the platform didn't
/// answer anybody when it was sent, if a later one is answered.
const MIN_SILENCE: Duration = Duration::from_millis(200);

/// A poll that has been sent and not been answered.
#[derive(Debug)]
pub(super) struct OpenPoll {
    pub(super) number: u64,
    /// Position from which it asks; `None` if it asks for all rows.
    pub(super) after: Option<Position>,
    pub(super) sent_at: Time,
    /// The same by the runtime's clock.
    pub(super) sent: Instant,
    /// Time for which it waits for a change.
    pub(super) wait: Duration,
    /// Whether the connection had been used before.
    pub(super) is_on_kept_connection: bool,
    /// Whether it only asks again whether the platform answers, in addition to one that waits for its answer.
    pub(super) is_probe: bool,
    pub(super) received: watch::Receiver<Received>,
    pub(super) task: AbortHandle,
}

impl OpenPoll {
    /// Returns whether it asks for changes in an era.
    pub(super) fn is_of(&self, era: u32) -> bool {
        self.after.is_some_and(|after| after.era >= era)
    }

    /// Returns whether a part of the answer has arrived.
    pub(super) fn is_arriving(&self) -> bool {
        self.received.borrow().begun_at.is_some()
    }

    /// Returns when the answer to a poll for changes began to arrive.
    pub(super) fn arriving_since(&self) -> Option<Time> {
        self.after?;
        self.begun_at()
    }

    /// Returns when the answer began to arrive, which may have waited for this process before it was read.
    pub(super) fn begun_at(&self) -> Option<Time> {
        let received = *self.received.borrow();
        let read_at = self.sent_at + (received.begun_at? - self.sent);
        let late = received.read_late.unwrap_or_default();
        Some(read_at.before(late).max(self.sent_at))
    }
}

/// Lists the polls of a table that have not been answered, the newest last.
#[derive(Debug, Default, Deref)]
pub(super) struct OpenPolls(VecDeque<OpenPoll>);

impl OpenPolls {
    /// Returns the index of the poll with a number.
    pub(super) fn index_of(&self, number: u64) -> Option<usize> {
        self.iter().position(|poll| poll.number == number)
    }

    /// Adds a poll as the newest one.
    pub(super) fn push(&mut self, poll: OpenPoll) {
        self.0.push_back(poll);
    }

    /// Removes the poll at an index, and returns it.
    pub(super) fn remove(&mut self, idx: usize) -> Option<OpenPoll> {
        self.0.remove(idx)
    }

    /// Adds a poll at an index.
    pub(super) fn insert(&mut self, idx: usize, poll: OpenPoll) {
        self.0.insert(idx, poll);
    }

    /// Returns the index of the newest poll that isn't a probe.
    pub(super) fn last_regular(&self) -> Option<usize> {
        self.iter().rposition(|poll| !poll.is_probe)
    }

    /// Cancels the oldest poll that isn't a probe if there are `max` of them.
    pub(super) fn make_room(&mut self, max: usize) {
        let mut regular = self.iter().enumerate().filter(|(_, poll)| !poll.is_probe);
        let oldest = regular.next().map(|(idx, _)| idx);
        if regular.count() + 1 >= max
            && let Some(oldest) = oldest.and_then(|idx| self.remove(idx))
        {
            oldest.task.abort();
        }
    }

    /// Makes the newest poll a probe, and cancels the probes that were sent before `since`.
    pub(super) fn on_probe(&mut self, since: Instant) {
        if let Some(newest) = self.0.back_mut() {
            newest.is_probe = true;
        }
        self.0.retain(|poll| {
            let is_kept = !poll.is_probe || poll.sent >= since;
            if !is_kept {
                poll.task.abort();
            }
            is_kept
        });
    }

    /// Returns when the latest poll before the one at `idx` was sent over a new connection of whose answer nothing has
    /// arrived within [`MIN_SILENCE`].
    pub(super) fn unanswered_before(&self, idx: usize) -> Option<Time> {
        let answered = self
            .get(idx)
            .and_then(|poll| poll.received.borrow().begun_at);
        let answered = answered.unwrap_or_else(Instant::now);
        let mut earlier = self.range(..idx);
        let unanswered = earlier.rfind(|poll| {
            let is_silent = !poll.is_arriving() && answered - poll.sent >= MIN_SILENCE;
            is_silent && !poll.is_on_kept_connection
        });
        unanswered.map(|poll| poll.sent_at)
    }

    /// Returns when an answer that is arriving counts as cut off unless more of it comes within `max_silence`.
    pub(super) fn arriving_until(&self, max_silence: Duration) -> Option<Instant> {
        let begun = self.received().filter(|received| received.bytes > 0);
        let last_byte = begun.map(|received| received.last_byte_at).max()?;
        let until = last_byte + max_silence;
        (until > Instant::now()).then_some(until)
    }

    /// Returns whether an answer is arriving too slowly to be complete within `apply`, the time in which a change must
    /// be in force.
    pub(super) fn is_late(&self, apply: Duration) -> bool {
        self.received().any(|received| received.is_late(apply))
    }

    /// Returns whether an answer is arriving below the lowest rate of a transfer.
    pub(super) fn is_slow(&self) -> bool {
        self.received().any(|received| received.is_slow())
    }

    /// Cancels the oldest polls.
    pub(super) fn cancel_oldest(&mut self, count: usize) {
        for poll in self.0.drain(..count) {
            poll.task.abort();
        }
    }

    /// Cancels all polls.
    pub(super) fn cancel_all(&mut self) {
        self.cancel_oldest(self.len());
    }

    /// Cancels the polls that overtook one whose answer is arriving after all: theirs can hardly bring
    /// more, and would share the link with it.
    pub(super) fn cancel_overtakers(&mut self, number: u64) {
        if let Some(idx) = self.index_of(number) {
            for poll in self.0.drain(idx + 1..) {
                poll.task.abort();
            }
        }
    }

    /// Returns what has arrived of the answer to each poll.
    fn received(&self) -> impl Iterator<Item = Received> {
        self.iter().map(|poll| *poll.received.borrow())
    }
}

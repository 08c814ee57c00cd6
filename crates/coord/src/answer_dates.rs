//! When the answers of a store were made, by its clock.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Time for which the least time that answers took counts; the clocks hardly drift in it.
const MEMORY: Duration = Duration::from_secs(60);
/// Maximum time from a call that waits for nothing to its answer for which the answer yields the clocks' offset.
const PROMPT_TIME: Duration = Duration::from_millis(250);

/// An answer of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Time at which the call was sent.
    pub sent_at: Time,
    /// Time at which the answer began to arrive.
    pub arrived_at: Time,
    /// Reading of the store's steady clock when the answer was made, if it reports one.
    pub reading: Option<Duration>,
    /// Whether the store held the call until something changed.
    pub has_waited: bool,
}

/// Dates a store's answers, which may have been held up on their way for seconds.
///
/// The store's clock and the own one stand apart by a fixed time. The least time by which an answer's arrival
/// was behind its reading in the last minute is that, and the shortest way; what another answer takes
/// beyond is its hold-up. An answer is never dated before its call, and dated by it where nothing else is
/// known, as after a restart of the store, whose clock then doesn't fit.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Answer, AnswerDates};
/// use std::time::Duration;
///
/// let mut dates = AnswerDates::default();
/// let answer = |sent_ms, arrived_ms, reading_ms| Answer {
///     sent_at: Time::from_millis(sent_ms),
///     arrived_at: Time::from_millis(arrived_ms),
///     reading: Some(Duration::from_millis(reading_ms)),
///     has_waited: true,
/// };
/// dates.date(answer(0, 1_010, 91_000));
/// assert_eq!(dates.date(answer(1_100, 2_410, 92_400)), Time::from_millis(2_410));
/// // Made 1.4 s after the one before, and held up for 2 s.
/// assert_eq!(dates.date(answer(2_500, 5_810, 93_800)), Time::from_millis(3_810));
/// ```
#[derive(Debug, Clone, Default)]
pub struct AnswerDates {
    /// Offsets of the own clock and when they were measured, rising in both.
    offsets: VecDeque<(Time, i128)>,
}

impl AnswerDates {
    /// Returns when an answer was made, at the latest but for the shortest way from the store.
    pub fn date(&mut self, answer: Answer) -> Time {
        let Some(reading) = answer.reading else {
            return answer.sent_at;
        };
        let now = answer.arrived_at;
        while self
            .offsets
            .front()
            .is_some_and(|(at, _)| now - *at > MEMORY)
        {
            self.offsets.pop_front();
        }
        let reading = reading.as_micros() as i128;
        let made_at = self.offsets.front().map(|(_, least)| reading + least);
        let sent_at = i128::from(answer.sent_at.as_micros());
        if made_at.is_some_and(|at| at < sent_at) {
            self.offsets.clear();
        }
        let took = answer.arrived_at - answer.sent_at;
        if answer.has_waited || took <= PROMPT_TIME {
            self.record(now, i128::from(now.as_micros()) - reading);
        }
        let made_at = made_at.and_then(|at| u64::try_from(at).ok());
        made_at.map_or(answer.sent_at, |at| {
            let at = Time::from_micros(at);
            at.min(answer.arrived_at).max(answer.sent_at)
        })
    }

    fn record(&mut self, now: Time, offset: i128) {
        while self
            .offsets
            .back()
            .is_some_and(|(_, later)| *later >= offset)
        {
            self.offsets.pop_back();
        }
        self.offsets.push_back((now, offset));
    }
}

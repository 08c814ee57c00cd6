//! When the answers of a store were made, by its clock.

use std::time::Duration;

use base::Time;

/// Most microseconds by which two steady clocks drift apart in a second.
const MAX_DRIFT_US_PER_S: u64 = 100;
/// Coarsest step in which a store's clock is read.
const READING_STEP: Duration = Duration::from_millis(10);
/// Maximum time between the bounds of a clock's offset by which answers are dated closely enough.
const MAX_UNCERTAINTY: Duration = Duration::from_millis(150);

/// An answer of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Time at which the call was sent.
    pub sent_at: Time,
    /// Time at which the answer began to arrive.
    pub arrived_at: Time,
    /// Reading of the store's steady clock when the answer was made, if it reports one.
    pub reading: Option<Duration>,
}

/// Dates a store's answers, which may have been held up on their way for seconds.
///
/// An answer is made after its call was sent, and before it arrives, so that each one bounds the offset between the
/// own clock and the store's on both sides. An answer is dated by the earliest offset that all of them allow: it was
/// made then or later, however long calls and answers take. Where they contradict each other, as after a restart
/// of the store with another clock, the last one alone counts.
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
/// };
/// // Made at 10 ms or later, and held up.
/// assert_eq!(dates.date(answer(10, 2_510, 90_000)), Time::from_millis(10));
/// // Made 4.4 s after the one before, and held up as well.
/// let date = dates.date(answer(2_610, 6_010, 94_400));
/// assert!(date > Time::from_millis(4_390) && date < Time::from_millis(4_410));
/// ```
#[derive(Debug, Clone, Default)]
pub struct AnswerDates {
    offset: Option<Offset>,
}

/// Bounds how much the own clock is ahead of the store's, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Offset {
    /// Time for which the bounds hold.
    at: Time,
    min: i128,
    max: i128,
}

impl AnswerDates {
    /// Returns a time at or after which an answer was made.
    pub fn date(&mut self, answer: Answer) -> Time {
        let Some(reading) = answer.reading else {
            return answer.sent_at;
        };
        let reading = reading.as_micros() as i128;
        let step = READING_STEP.as_micros() as i128;
        let own = Offset {
            at: answer.arrived_at,
            min: i128::from(answer.sent_at.as_micros()) - reading - step,
            max: i128::from(answer.arrived_at.as_micros()) - reading + step,
        };
        let known = self.offset.map(|offset| offset.aged(answer.arrived_at));
        let offset = known.and_then(|known| known.and(&own)).unwrap_or(own);
        self.offset = Some(offset);
        let made_at = u64::try_from(reading + offset.min).unwrap_or(0);
        Time::from_micros(made_at).max(answer.sent_at)
    }

    /// Returns whether answers may be dated much too early until the store answers a call that waits for nothing.
    /// Without a clock of the store, no call would improve the dates, so this returns `false`.
    pub fn is_uncertain(&self, now: Time) -> bool {
        self.offset.is_some_and(|offset| {
            let offset = offset.aged(now);
            offset.max - offset.min > MAX_UNCERTAINTY.as_micros() as i128
        })
    }
}

impl Offset {
    /// Returns the bounds as they hold at `now`.
    fn aged(&self, now: Time) -> Self {
        let age_us = now.as_micros().saturating_sub(self.at.as_micros());
        let drift_us = age_us.saturating_mul(MAX_DRIFT_US_PER_S) / 1_000_000 + 1;
        let drift_us = i128::from(drift_us);
        Self {
            at: self.at.max(now),
            min: self.min - drift_us,
            max: self.max + drift_us,
        }
    }

    /// Returns the bounds that both hold, or `None` if they contradict each other.
    fn and(&self, other: &Self) -> Option<Self> {
        let (min, max) = (self.min.max(other.min), self.max.min(other.max));
        (min <= max).then_some(Self {
            at: self.at.max(other.at),
            min,
            max,
        })
    }
}

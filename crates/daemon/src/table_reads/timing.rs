//! How long reads of the platform take.

use std::time::Duration;

use super::POLL_DELAY;

pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Maximum time for which the platform holds a poll open while nothing changes.
const MAX_POLL_WAIT: Duration = Duration::from_secs(3);
/// Maximum time that the platform's answer may take beyond the wait for a change.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Fraction of the time to regain contact after which a poll counts as unanswered; the rest is for
/// the read on a new connection.
const SILENCE_FRACTION: f64 = 0.6;
/// Fraction of the time within which a change must be in force for which a poll waits at most; the rest is
/// for the way of its answer and for the next poll.
const CONFIRMING_FRACTION: f64 = 0.76;

/// Sets how long reads of the platform take.
///
/// # Examples
///
/// ```
/// use daemon::table_reads::ReadTiming;
/// use std::time::Duration;
///
/// let contact = Duration::from_secs(3);
/// assert!(ReadTiming::within(contact).max_silence() < contact);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTiming {
    pub(super) poll_wait: Duration,
    answer_time: Duration,
    pub(super) max_retry_delay: Duration,
}

impl ReadTiming {
    /// Returns times by which a table has been read over a new connection well within `contact`
    /// after its open connection went silent.
    pub fn within(contact: Duration) -> Self {
        let silence = contact.mul_f64(SILENCE_FRACTION);
        let answer_time = (silence / 3).min(MAX_ANSWER_TIME);
        Self {
            poll_wait: (silence - answer_time).min(MAX_POLL_WAIT),
            answer_time,
            max_retry_delay: (silence / 2).min(MAX_RETRY_DELAY),
        }
    }

    /// Returns these times with polls answered so often that each answer confirms the configuration until the
    /// next one, where a change must be in force within `apply`.
    pub fn confirming_within(self, apply: Duration) -> Self {
        Self {
            poll_wait: self.poll_wait.min(apply.mul_f64(CONFIRMING_FRACTION)),
            ..self
        }
    }

    /// Returns the time after which a poll that waits for changes counts as unanswered.
    pub fn max_silence(&self) -> Duration {
        self.poll_wait + self.answer_time
    }

    /// Returns the time from an answer to when the next poll no longer waits for a change.
    pub(crate) fn max_rest(&self) -> Duration {
        POLL_DELAY + self.poll_wait
    }

    /// Returns the time without a byte after which a call on a new connection that waits for nothing
    /// counts as unanswered, and an answer that has begun as cut off.
    pub(super) fn first_answer_time(&self) -> Duration {
        self.answer_time * 2
    }
}

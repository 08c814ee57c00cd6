//! Reads of a table that fail at other instances, and when an own one is to show whether it can be read.

use std::time::Duration;

use base::Time;

use super::{CONTACT_POLL_WAIT, POLL_DELAY};
use crate::fleet::HEARTBEAT_TIMEOUT;

/// Time that an answer takes at most, as far as it shows that there is no outage.
const PROMPT_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Records that other instances report reads that fail.
///
/// An own poll may rest for longer than a read counts. So where nobody is known to have read the table for as long as a
/// shorter poll takes, an own read is due, and the reports count once it isn't answered either. Instances take
/// turns, so that those whose turn comes later hear of the first answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FailingElsewhere {
    reported_at: Option<Time>,
    due: Option<DueRead>,
}

/// Describes the own read that is to show whether the table can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DueRead {
    at: Time,
    /// Time at which an answer is overdue, also that of the poll that rests.
    overdue_at: Time,
}

impl FailingElsewhere {
    /// Records a report, where some instance read the table at `contact_at` and the own poll rests until `rests_until` at
    /// most; a read that isn't due yet is so `turn` later.
    pub(crate) fn on_report(
        &mut self,
        now: Time,
        contact_at: Time,
        rests_until: Time,
        turn: Duration,
    ) {
        self.reported_at = Some(now);
        let earliest = contact_at + CONTACT_POLL_WAIT + POLL_DELAY;
        let at = earliest.max(now) + turn;
        self.due.get_or_insert(DueRead {
            at,
            overdue_at: at.min(rests_until.max(earliest)) + PROMPT_ANSWER_TIME,
        });
    }

    /// Records that an instance is known to have read the table later than before.
    pub(crate) fn on_contact(&mut self) {
        self.due = None;
    }

    /// Returns when an instance last reported failing reads.
    pub(crate) fn reported_at(&self) -> Option<Time> {
        self.reported_at
    }

    /// Returns whether an instance has reported failing reads lately.
    pub(super) fn is_recent(&self, now: Time) -> bool {
        self.reported_at
            .is_some_and(|at| now - at < HEARTBEAT_TIMEOUT)
    }

    /// Returns when the table is to be read to show whether it can be.
    pub(super) fn read_due(&self) -> Option<Time> {
        self.due.map(|due| due.at)
    }

    /// Returns whether that should have been shown by now.
    pub(crate) fn is_answer_overdue(&self, now: Time) -> bool {
        self.due.is_some_and(|due| now >= due.overdue_at)
    }
}

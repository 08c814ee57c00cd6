//! Reads of a table that fail at other instances, and when an own one is to show whether it can be read.

use std::time::Duration;

use base::Time;

use super::{CONTACT_POLL_WAIT, POLL_DELAY};
use crate::fleet::HEARTBEAT_TIMEOUT;

/// Maximum time for the answer to the own read; after it, the reported failures count as an outage.
const PROMPT_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Records that other instances report reads that fail.
///
/// The platform may hold the own poll open for longer than a successful read shows that there is no outage. So an own
/// read becomes due when no instance is known to have read the table for about [`CONTACT_POLL_WAIT`], and if it isn't
/// answered in time either, the reports count as an outage. Each instance delays its read by a different time, so that
/// most of them learn of the first answers before they read themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FailingElsewhere {
    reported_at: Option<Time>,
    due: Option<DueRead>,
}

/// Describes the own read that is to show whether the table can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DueRead {
    at: Time,
    /// Time at which the answer is overdue, and that of the open poll as well.
    overdue_at: Time,
}

impl FailingElsewhere {
    /// Records a report of failing reads. Some instance read the table at `contact_at`, and the platform may hold the own
    /// poll open until `rests_until`. If this makes an own read due, it is delayed by `turn`.
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

    /// Returns when an own read is due that shows whether the table can be read.
    pub(super) fn read_due(&self) -> Option<Time> {
        self.due.map(|due| due.at)
    }

    /// Returns whether the answer to that read is overdue.
    pub(crate) fn is_answer_overdue(&self, now: Time) -> bool {
        self.due.is_some_and(|due| now >= due.overdue_at)
    }
}

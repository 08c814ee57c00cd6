//! Times during which no instance can read a table, so that rows may be removed whose writers are alive.

use std::time::Duration;

use base::Time;

use super::Replica;

/// Time after a successful read, by any instance, during which a failed one is no sign of an outage.
const CONTACT_VALIDITY: Duration = Duration::from_millis(1_500);
/// Time after a standstill of this instance within which it handles the reports that arrived meanwhile.
const HEARING_TIME: Duration = Duration::from_millis(500);
/// Describes the last time during which no instance could read the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outage {
    /// It has lasted since this time.
    Ongoing(Time),
    /// It had lasted since a time, and the earliest known read after that shows that it was over.
    Over { since: Time, at: Time },
}

impl Replica {
    /// Records that an instance could not read the table over a new connection.
    pub fn on_read_failure(&mut self, now: Time) {
        self.on_failure(now, now, self.last_contact_at.map(|at| now - at));
    }

    /// Records that this instance could not read the table over a new connection, by a read that was sent at `sent_at`:
    /// whoever reads it after that shows that an outage is over. The time for which it stood still
    /// doesn't count as time without a read, since it couldn't handle reports of other instances' reads then; where these
    /// report failures, [`Self::on_read_failure`] counts it.
    pub fn on_own_read_failure(&mut self, sent_at: Time, now: Time) {
        let last_contact = self.last_contact_at;
        self.on_failure(
            sent_at,
            now,
            last_contact.map(|at| self.standstills.awake_time(at, now)),
        );
    }

    fn on_failure(&mut self, since: Time, now: Time, silence: Option<Duration>) {
        let is_reachable = silence.is_some_and(|silence| silence <= CONTACT_VALIDITY);
        if !is_reachable && !self.has_outage() {
            let has_just_woken =
                self.standstills.awake_time(now.before(HEARING_TIME), now) < HEARING_TIME;
            self.uncertain = has_just_woken.then_some((now, self.outage));
            self.outage = Some(Outage::Ongoing(since));
        }
    }

    /// Records that this instance stood still until `now`, where it was to run at `due`.
    pub fn on_wake(&mut self, due: Time, now: Time) {
        self.standstills.on_wake(due, now);
    }

    /// Records that some instance read the table at `at` or later. An outage ends with the earliest read after its begin,
    /// whenever that becomes known; rows are retained by that time. This may refute an outage that was assumed just after
    /// a standstill; rows are then no longer retained because of it.
    pub fn on_contact(&mut self, at: Time) {
        self.last_contact_at = self.last_contact_at.max(Some(at));
        match self.outage {
            Some(Outage::Ongoing(since)) if at > since => {
                self.outage = Some(Outage::Over { since, at });
                self.shorten_retention(Time::NEVER);
            }
            Some(Outage::Over { since, at: end }) if since < at && at < end => {
                self.outage = Some(Outage::Over { since, at });
                self.shorten_retention(Time::NEVER);
            }
            _ => {}
        }
        let refuted = self
            .uncertain
            .filter(|(since, _)| at <= *since && *since - at <= CONTACT_VALIDITY);
        if let Some((since, before)) = refuted {
            (self.outage, self.uncertain) = (before, None);
            self.shorten_retention(since);
        }
    }

    /// Retains rows no longer than the last outage asks for, at most until `end` if there was none.
    fn shorten_retention(&mut self, end: Time) {
        let end = match self.outage {
            Some(Outage::Over { at, .. }) => at + self.grace_period,
            _ => end,
        };
        for (_, until) in self.retained.values_mut() {
            *until = end.min(*until);
        }
    }
}

//! Whether the instance knows of a later version of the operators' table than the one that it decides by.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceId, Position, Time};
use coord::{KnownChange, Lag, PositionTimes, Replica, ShownChanges};
use entry::message::ConfigLag;

use crate::{
    fleet::{Fleet, HEARTBEAT_TIMEOUT},
    message::TableChange,
    read_reports::LaterChange,
    table_logs::{Behind, log_behind, log_caught_up},
    table_reads::MIN_ARRIVAL_TIME,
};

/// Fraction of the time within which a change must be in force for which an instance that knows of a
/// later version decides by its own; the rest is for the way to the first one that knows of it.
const KNOWN_FRACTION: f64 = 0.75;
/// The same fraction for another instance, which is left out of look-ups after it: what it has comes by heartbeats.
const OTHERS_FRACTION: f64 = 2.0 / 3.0;
/// Delay after which callers may retry where another instance is likely to serve them at once.
const ELSEWHERE_DELAY: Duration = Duration::from_millis(10);
/// Minimum and maximum delay after which callers may retry where most instances are behind.
const WAIT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];
/// Time for which an answer that is arriving is reported before a later, concurrent change: two heartbeats.
const FIRST_REPORT_TIME: Duration = Duration::from_secs(1);

/// The last that another instance has reported.
#[derive(Debug, Clone, Copy)]
struct Report {
    position: Position,
    /// The latest change that it knows.
    change: Option<TableChange>,
    received_at: Time,
    /// Time at which a fetch from it last brought a later position.
    fetched_at: Option<Time>,
}

impl Report {
    /// Returns whether its instance sends heartbeats at `now`, by a fetch: heartbeats may have waited behind that.
    fn is_fetched(&self, now: Time) -> bool {
        self.fetched_at
            .is_some_and(|at| now <= at + HEARTBEAT_TIMEOUT)
    }
}

/// Follows since when the operators' table has been behind what others have.
#[derive(Debug)]
pub(super) struct Lateness {
    /// Time for which an instance that knows of a later version decides by its own.
    limit: Duration,
    /// Time for which another instance may report an older version than the own one.
    others_limit: Duration,
    lag: Lag,
    /// Time at which the first word of what is arriving came.
    arrival_read_at: Time,
    /// Since when a version that the own rows lack has been arriving elsewhere without a break.
    elsewhere_since: Option<Time>,
    /// Dates of such arrivals in place of which the same instances report later ones.
    replaced: ShownChanges,
    /// The date of the latest such arrival that an own read has shown to bring nothing.
    refuted: Option<Time>,
    own_position: Position,
    /// Time at which the own position rose last.
    advanced_at: Time,
    /// Times of the own changes.
    own_changes: PositionTimes,
    /// The latest change that the own rows have, and since when it has been known.
    own_change: Option<TableChange>,
    /// Whether the store has answered from before the own position.
    is_store_older: bool,
    /// Since when a later version has been known.
    behind_since: Option<Time>,
    /// Time for which a later version was known when one was known last.
    last_wait: Duration,
    /// Last positions that the others have reported.
    reported: BTreeMap<InstanceId, Report>,
    /// Whether the present time beyond the limit has been logged.
    is_logged: bool,
}

impl Lateness {
    /// Returns the state of an instance that has read nothing, where a change must be in force within `apply`.
    pub(super) fn within(apply: Duration) -> Self {
        Self {
            limit: apply.mul_f64(KNOWN_FRACTION),
            others_limit: apply.mul_f64(OTHERS_FRACTION),
            lag: Lag::default(),
            arrival_read_at: Time::ZERO,
            elsewhere_since: None,
            replaced: ShownChanges::default(),
            refuted: None,
            own_position: Position::ZERO,
            advanced_at: Time::ZERO,
            own_changes: PositionTimes::default(),
            own_change: None,
            is_store_older: false,
            behind_since: None,
            last_wait: Duration::ZERO,
            reported: BTreeMap::new(),
            is_logged: false,
        }
    }

    /// Records the position that another instance reports, and the change that it knows.
    pub(super) fn on_report(
        &mut self,
        now: Time,
        from: &InstanceId,
        position: Position,
        change: Option<TableChange>,
    ) {
        if let Some(change) = change.filter(|change| self.lacks(change)) {
            let since = change.since.min(now);
            if change.is_arriving {
                let earliest = self.elsewhere_since.map_or(since, |at| at.min(since));
                self.elsewhere_since = Some(earliest);
            } else {
                let position = change.position;
                self.lag.on_report(now, KnownChange { position, since });
            }
        }
        self.on_replaced_arrival(now, from, change);
        let before = self.reported.get(from);
        let report = Report {
            position,
            change,
            received_at: now,
            fetched_at: before.and_then(|report| report.fetched_at),
        };
        self.reported.insert(from.clone(), report);
    }

    /// Keeps the date of what has been arriving at an instance that reports a later, concurrent change now: its next reports
    /// have that one's.
    fn on_replaced_arrival(&mut self, now: Time, from: &InstanceId, change: Option<TableChange>) {
        let before = self.reported.get(from).and_then(|report| report.change);
        let is_replaced = |before: &TableChange| {
            let later = change.filter(|change| change.is_arriving && before.is_arriving);
            later.is_some_and(|change| change.position > before.position)
        };
        let replaced = before.filter(|before| is_replaced(before) && self.lacks(before));
        if let Some(TableChange {
            position, since, ..
        }) = replaced
        {
            self.replaced.record(now, KnownChange { position, since });
        }
    }

    /// Records that a fetch from an instance has brought a later position, which shows it to be alive as a heartbeat does.
    pub(super) fn on_fetched(&mut self, now: Time, from: &InstanceId) {
        if let Some(report) = self.reported.get_mut(from) {
            report.fetched_at = Some(now);
        }
    }

    /// Records that an answer is arriving. One that began at no known time reports nothing later, nor does one that was
    /// asked for changes after a position before the own one: it brings what a fetch has brought.
    pub(super) fn on_arriving(&mut self, now: Time, begun_at: Option<Time>, after: Position) {
        if self.lag.arriving_since().is_none() {
            self.arrival_read_at = now;
        }
        match begun_at.filter(|_| after >= self.own_position) {
            Some(at) => self.lag.on_arriving(at),
            None => self.lag.on_old_arriving(),
        }
    }

    /// Records a change that a read during a transfer has shown.
    pub(super) fn on_later(&mut self, now: Time, later: LaterChange) {
        let (position, since) = (later.after, later.since);
        self.lag.on_shown(now, KnownChange { position, since });
    }

    /// Records that a read has failed.
    pub(super) fn on_read_failure(&mut self, is_on_kept_connection: bool) {
        self.lag.on_read_failure(is_on_kept_connection);
    }

    /// Records that a read that was sent at `sent_at` has brought `position`.
    pub(super) fn on_read(&mut self, sent_at: Time, position: Position) {
        if position >= self.own_position {
            self.is_store_older = false;
        } else if sent_at > self.advanced_at {
            self.is_store_older = true;
        }
        self.lag.on_read(sent_at, position);
        self.replaced.on_read(sent_at);
        // What was arriving elsewhere before this read was sent would have come with it.
        let arriving = self.reported.values().filter_map(|report| {
            let change = report.change?;
            (report.received_at < sent_at && change.is_arriving).then_some(change)
        });
        let refuted = arriving.filter(|change| self.lacks(change));
        if let Some(latest) = refuted.map(|change| change.since).max() {
            self.refuted = self.refuted.max(Some(latest));
            self.elsewhere_since = self.first_arrival();
        }
    }

    /// Records the own copy.
    pub(super) fn on_replica(&mut self, now: Time, replica: &Replica) {
        let (position, last_change) = (replica.position(), replica.last_change());
        if self
            .own_change
            .is_none_or(|change| change.position < last_change)
        {
            let since = self.lag.known_since(last_change);
            self.own_change = Some(TableChange::complete(last_change, since.unwrap_or(now)));
            self.elsewhere_since = self.first_arrival();
        }
        if position > self.own_position {
            self.own_position = position;
            self.advanced_at = now;
        }
        self.own_changes.record(now, last_change);
        self.lag.on_last_change(last_change);
        self.replaced.on_last_change(last_change);
        self.lag.on_position(position);
    }

    /// Returns the latest change of which this instance knows at first hand: one that is still arriving or that a read
    /// during the transfer has shown, or the last one that its rows have. The one that is arriving is reported first, long
    /// enough for others to receive it although a heartbeat is lost.
    pub(super) fn known_change(&self, now: Time) -> Option<TableChange> {
        let arriving_since = self.lag.arriving_since();
        let arriving_since =
            arriving_since.filter(|_| now - self.arrival_read_at >= MIN_ARRIVAL_TIME);
        let shown = self.lag.shown().filter(|_| !self.lag.is_failing());
        let is_first = |since: Time| {
            shown.is_none_or(|shown| {
                since < shown.since && now - self.arrival_read_at < FIRST_REPORT_TIME
            })
        };
        let arriving = arriving_since.filter(|since| is_first(*since));
        let arriving = arriving.map(|since| TableChange::arriving_after(self.own_position, since));
        let shown = shown.map(|shown| TableChange::arriving_after(shown.position, shown.since));
        arriving.or(shown).or(self.own_change)
    }

    /// Returns since when the latest change that the own rows have has been known, also while it was arriving here or
    /// elsewhere.
    pub(super) fn own_known_since(&self) -> Option<Time> {
        self.own_change.map(|change| change.since)
    }

    /// Works out since when a later version has been known that can be had, and returns until when the own one
    /// may decide. What a fetch is bringing can be had, whoever sends heartbeats. The begin and the end of the time after that are
    /// logged.
    pub(super) fn assess(&mut self, now: Time, fleet: &Fleet, is_fetching: bool) -> ConfigLag {
        self.reported.retain(|id, _| fleet.members.contains_key(id));
        let later: Vec<TableChange> = self.later_changes(now, fleet).collect();
        let receivers = later.iter().filter(|change| change.is_arriving).count();
        if receivers == 0 {
            self.elsewhere_since = None;
        }
        let holders = later.len() - receivers;
        let is_held = is_fetching || !later.is_empty();
        if later.is_empty() {
            // What was arriving elsewhere came to nothing, or nobody in contact knows of it.
            self.replaced.clear();
        }
        let replaced = self.replaced.first().map(|change| change.since);
        let known_since = self.lag.behind_since(is_held).into_iter().chain(replaced);
        let since = known_since.chain(self.elsewhere_since).min();
        let behind = Behind {
            known_position: self.lag.latest_report(),
            own_position: self.own_position,
            holders,
            receivers,
            is_arriving: self.lag.arriving_since().is_some(),
            is_shown_beside: since.is_some() && since == self.lag.shown().map(|shown| shown.since),
        };
        let is_over = since.is_some_and(|since| now - since >= self.limit);
        if is_over && !self.is_logged {
            log_behind(now, since, &behind);
        } else if !is_over && self.is_logged {
            log_caught_up(&behind);
        }
        self.is_logged = is_over;
        if let (Some(before), None) = (self.behind_since, since) {
            self.last_wait = now - before;
        }
        self.behind_since = since;
        ConfigLag {
            outdated_from: since.map(|since| since + self.limit),
            retry_after: self.retry_after(now, fleet, holders),
        }
    }

    /// Returns since when a later version has been known that can be had.
    pub(super) fn behind_since(&self) -> Option<Time> {
        self.behind_since
    }

    /// Returns whether this instance has known of a later version for longer than it may decide by its own.
    pub(super) fn is_outdated(&self, now: Time) -> bool {
        let since = self.behind_since;
        since.is_some_and(|since| now - since >= self.limit)
    }

    /// Returns whether another instance has reported an older version than this one after it could have had
    /// the later one for as long.
    pub(super) fn is_other_outdated(&self, id: &InstanceId) -> bool {
        let known = self
            .reported
            .get(id)
            .filter(|report| report.position > Position::ZERO);
        let is_late = known.is_some_and(|report| {
            let later_at = self.own_changes.first_after(report.position);
            later_at.is_some_and(|at| report.received_at - at >= self.others_limit)
        });
        is_late && !self.is_store_older
    }

    /// Returns when callers may retry: at once where most instances have a later version, else when it is
    /// expected here.
    fn retry_after(&self, now: Time, fleet: &Fleet, holders: usize) -> Duration {
        let (_, alive) = fleet.count_listed_and_alive(now);
        if holders * 2 >= alive && holders > 0 {
            return ELSEWHERE_DELAY;
        }
        let [min, max] = WAIT_DELAYS;
        let waited = self
            .behind_since
            .map_or(Duration::ZERO, |since| now - since);
        self.last_wait.saturating_sub(waited).clamp(min, max)
    }

    /// Returns whether the own rows lack a change that another instance knows. One that is arriving there comes after
    /// all that it follows, so it is lacking here if no change after that is known here.
    fn lacks(&self, change: &TableChange) -> bool {
        if change.is_arriving {
            let own = self.own_change.map_or(Position::ZERO, |own| own.position);
            own <= change.position && self.refuted.is_none_or(|at| change.since > at)
        } else {
            change.position > self.own_position
        }
    }

    /// Returns since when a version that the own rows lack has been arriving elsewhere by the last reports.
    fn first_arrival(&self) -> Option<Time> {
        let changes = self.reported.values().filter_map(|report| report.change);
        let arriving = changes.filter(|change| change.is_arriving && self.lacks(change));
        arriving.map(|change| change.since).min()
    }

    /// Goes through the changes that live instances have reported last and the own copy lacks.
    fn later_changes(&self, now: Time, fleet: &Fleet) -> impl Iterator<Item = TableChange> {
        let live = self.reported.iter().filter(move |(id, report)| {
            let member = fleet.members.get(*id);
            member.is_some_and(|one| one.is_heard(now)) || report.is_fetched(now)
        });
        let changes = live.filter_map(|(_, report)| report.change);
        changes.filter(|change| self.lacks(change))
    }
}

//! Since when a state later than the own one has been known.

use std::time::Duration;

use base::{Position, Time};

use crate::shown_changes::{KnownChange, ShownChanges};

/// Keeps when each position of a state became known, in bounded memory.
///
/// A position represents all below it, so only higher ones are kept. If there are too many, the two
/// oldest become one, with the higher position and the earlier time.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::PositionTimes;
///
/// let mut known = PositionTimes::default();
/// known.record(Time::from_secs(1), Position::from(10));
/// known.record(Time::from_secs(2), Position::from(20));
/// known.record(Time::from_secs(3), Position::from(15));
/// assert_eq!(known.first_after(Position::from(9)), Some(Time::from_secs(1)));
/// assert_eq!(known.first_after(Position::from(10)), Some(Time::from_secs(2)));
/// assert_eq!(known.first_after(Position::from(20)), None);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PositionTimes {
    /// Positions, rising with the times since which they have been known.
    times: Vec<KnownPosition>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownPosition {
    position: Position,
    /// Time since which it, or one that was merged with it, has been known.
    since: Time,
    /// Time at which it was recorded.
    at: Time,
}

impl PositionTimes {
    /// Records that `position` is known at `now`.
    pub fn record(&mut self, now: Time, position: Position) {
        self.record_since(now, now, position);
    }

    /// Records at `now` that `position` has been known since `since`.
    pub fn record_since(&mut self, now: Time, since: Time, position: Position) {
        let mut known = self.times.iter();
        if known.any(|known| known.position >= position && known.since <= since) {
            return;
        }
        self.times
            .retain(|known| known.position > position || known.since < since);
        let idx = self
            .times
            .partition_point(|known| known.position < position);
        match self.times[..idx].last_mut() {
            Some(before) if since - before.since < RESOLUTION => {
                before.position = position;
                before.at = now;
            }
            _ => self.times.insert(
                idx,
                KnownPosition {
                    position,
                    since,
                    at: now,
                },
            ),
        }
        if self.times.len() > MAX_TIMES {
            let oldest = self.times.remove(0);
            self.times[0].since = oldest.since;
        }
    }

    /// Returns when a position later than `position` first became known.
    pub fn first_after(&self, position: Position) -> Option<Time> {
        let later = self.times.iter().find(|known| known.position > position);
        later.map(|known| known.since)
    }

    /// Returns the latest position that is known.
    pub fn latest(&self) -> Option<Position> {
        self.times.last().map(|known| known.position)
    }

    /// Forgets the positions up to `position`.
    pub fn forget_to(&mut self, position: Position) {
        self.times.retain(|known| known.position > position);
    }

    /// Forgets what was recorded before `time`, and returns the latest of it.
    fn forget_before(&mut self, time: Time) -> Option<Position> {
        let forgotten = self.times.iter().filter(|known| known.at < time);
        let latest = forgotten.map(|known| known.position).max();
        self.times.retain(|known| known.at >= time);
        latest
    }
}

/// Tracks since when an instance has known that its copy of a state is not the latest.
///
/// It learns of later changes from reports of other instances, from an own read whose answer has begun to arrive, and from
/// another one concurrent with that, which shows that the state has changed again and brings nothing. A
/// series of versions doesn't restart the time: it counts from the first version that the own copy lacks. If an
/// own read that was sent after a report returns a lower position, the state has gone back, and the reported
/// change is no longer expected.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{KnownChange, Lag};
///
/// let mut lag = Lag::default();
/// let change = |version, since| KnownChange { position: Position::from(version), since };
/// lag.on_report(Time::from_secs(1), change(7, Time::from_secs(1)));
/// lag.on_report(Time::from_secs(3), change(9, Time::from_secs(2)));
/// lag.on_position(Position::from(8));
/// assert_eq!(lag.behind_since(true), Some(Time::from_secs(2)));
/// assert_eq!(lag.behind_since(false), None);
/// lag.on_read(Time::from_secs(4), Position::from(8));
/// assert_eq!(lag.behind_since(true), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Position of the own copy.
    position: Position,
    /// Later positions.
    later: PositionTimes,
    /// Position up to which the state has gone back.
    gone_to: Position,
    /// Time at which an answer that is still arriving began.
    arriving_since: Option<Time>,
    /// Changes that reads during a transfer have shown.
    shown: ShownChanges,
    /// Whether the last own read failed and nothing has arrived since.
    is_failing: bool,
}

impl Lag {
    /// Records what another instance knows of the state.
    pub fn on_report(&mut self, now: Time, change: KnownChange) {
        if change.position > self.position.max(self.gone_to) {
            let since = change.since.min(now);
            self.later.record_since(now, since, change.position);
        }
    }

    /// Records that the answer to an own read is arriving, which began at `begun_at`.
    pub fn on_arriving(&mut self, begun_at: Time) {
        let earliest = self.arriving_since.map_or(begun_at, |at| at.min(begun_at));
        self.arriving_since = Some(earliest);
        self.is_failing = false;
    }

    /// Records that an answer is arriving that may bring nothing later.
    pub fn on_old_arriving(&mut self) {
        self.arriving_since = None;
        self.is_failing = false;
    }

    /// Records that a read during a transfer has shown a change after a position.
    pub fn on_shown(&mut self, now: Time, change: KnownChange) {
        self.shown.record(now, change);
    }

    /// Records the position of the last change that the own copy has.
    pub fn on_last_change(&mut self, position: Position) {
        self.shown.on_last_change(position);
    }

    /// Records that an own read has failed, so that no answer is arriving any more. Where its connection had been used
    /// before, that alone may have failed: what is known counts until the read that follows at once fails too.
    pub fn on_read_failure(&mut self, is_on_kept_connection: bool) {
        if is_on_kept_connection {
            return;
        }
        self.arriving_since = None;
        self.is_failing = true;
    }

    /// Records the position that an own read has brought, which was sent at `sent_at`.
    pub fn on_read(&mut self, sent_at: Time, position: Position) {
        self.arriving_since = None;
        self.is_failing = false;
        self.shown.on_read(sent_at);
        self.on_position(position);
        if let Some(gone) = self.later.forget_before(sent_at) {
            self.gone_to = self.gone_to.max(gone);
        }
    }

    /// Records the position of the own copy. If it has risen, an answer that was arriving meanwhile
    /// contains nothing later.
    pub fn on_position(&mut self, position: Position) {
        if position > self.position {
            self.arriving_since = None;
        }
        self.position = self.position.max(position);
        self.later.forget_to(self.position);
    }

    /// Returns since when a later state has been known that can still be obtained: from an own read
    /// that is arriving, or, if `is_held`, from an instance that has it. What a read during a transfer has shown can be
    /// obtained unless own reads fail.
    pub fn behind_since(&self, is_held: bool) -> Option<Time> {
        let can_be_had = is_held || self.arriving_since.is_some();
        let reported = self.later.first_after(self.position);
        let reported = reported.filter(|_| can_be_had);
        let shown = self.shown().filter(|_| can_be_had || !self.is_failing);
        let shown = shown.map(|change| change.since);
        let known = reported.into_iter().chain(shown);
        known.chain(self.arriving_since).min()
    }

    /// Returns the first change that reads during a transfer have shown and the own copy lacks, with a position that it
    /// has passed.
    pub fn shown(&self) -> Option<KnownChange> {
        self.shown.first()
    }

    /// Returns whether own reads fail.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns since when an answer has been arriving.
    pub fn arriving_since(&self) -> Option<Time> {
        self.arriving_since
    }

    /// Returns since when a change at `position` or a later one has been known.
    pub fn known_since(&self, position: Position) -> Option<Time> {
        let reported = self.later.first_after(position.predecessor());
        let known = reported
            .into_iter()
            .chain(self.shown.since_before(position));
        known.chain(self.arriving_since).min()
    }

    /// Returns the latest position that others have reported and the own copy lacks.
    pub fn latest_report(&self) -> Option<Position> {
        self.later.latest()
    }
}

/// Maximum number of positions that are kept.
const MAX_TIMES: usize = 32;
/// Time within which positions that become known count as known with the first.
const RESOLUTION: Duration = Duration::from_millis(100);

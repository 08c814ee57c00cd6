//! Since when a state later than the own one has been known.

use std::time::Duration;

use base::Time;

/// Keeps when each position of a state became known, in bounded memory.
///
/// A position stands for all below it, so only higher ones are kept. If there are too many, the two
/// oldest become one, with the higher position and the earlier time.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::PositionTimes;
///
/// let mut known = PositionTimes::default();
/// known.record(Time::from_secs(1), 10);
/// known.record(Time::from_secs(2), 20);
/// known.record(Time::from_secs(3), 15);
/// assert_eq!(known.first_after(9), Some(Time::from_secs(1)));
/// assert_eq!(known.first_after(10), Some(Time::from_secs(2)));
/// assert_eq!(known.first_after(20), None);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PositionTimes {
    /// Positions, rising with their times.
    times: Vec<KnownPosition>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownPosition {
    position: u64,
    /// Time at which it, or one that was merged with it, became known.
    since: Time,
    /// Time at which it became known itself.
    at: Time,
}

impl PositionTimes {
    /// Records that `position` is known at `now`.
    pub fn record(&mut self, now: Time, position: u64) {
        if self.latest().is_some_and(|latest| position <= latest) {
            return;
        }
        match self.times.last_mut() {
            Some(latest) if now - latest.since < RESOLUTION => {
                latest.position = position;
                latest.at = now;
            }
            _ => self.times.push(KnownPosition {
                position,
                since: now,
                at: now,
            }),
        }
        if self.times.len() > MAX_TIMES {
            let oldest = self.times.remove(0);
            self.times[0].since = oldest.since;
        }
    }

    /// Returns when a position later than `position` first became known.
    pub fn first_after(&self, position: u64) -> Option<Time> {
        let later = self.times.iter().find(|known| known.position > position);
        later.map(|known| known.since)
    }

    /// Returns the latest position that is known.
    pub fn latest(&self) -> Option<u64> {
        self.times.last().map(|known| known.position)
    }

    /// Forgets the positions up to `position`.
    pub fn forget_to(&mut self, position: u64) {
        self.times.retain(|known| known.position > position);
    }

    /// Forgets what became known before `time`, and returns the latest of it.
    fn forget_before(&mut self, time: Time) -> Option<u64> {
        let count = self.times.partition_point(|known| known.at < time);
        self.times
            .drain(..count)
            .next_back()
            .map(|known| known.position)
    }
}

/// Tells since when an instance has known that its copy of a state is not the latest.
///
/// Others report their positions, and an own read whose answer has begun to arrive brings a later one. A
/// series of versions doesn't restart the time: it counts from the first one that the own copy lacks. An
/// own read that was sent after a report and brings a lower position shows that the state has gone back:
/// there is nothing to wait for.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::Lag;
///
/// let mut lag = Lag::default();
/// lag.on_report(Time::from_secs(1), 7);
/// lag.on_report(Time::from_secs(2), 9);
/// lag.on_position(8);
/// assert_eq!(lag.behind_since(true), Some(Time::from_secs(2)));
/// assert_eq!(lag.behind_since(false), None);
/// lag.on_read(Time::from_secs(3), 8);
/// assert_eq!(lag.behind_since(true), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Lag {
    /// Position of the own copy.
    position: u64,
    /// Later positions.
    later: PositionTimes,
    /// Position up to which the state has gone back.
    gone_to: u64,
    /// Time at which an answer that is still arriving began.
    arriving_since: Option<Time>,
}

impl Lag {
    /// Records that another instance has the state at `position`.
    pub fn on_report(&mut self, now: Time, position: u64) {
        if position > self.position.max(self.gone_to) {
            self.later.record(now, position);
        }
    }

    /// Records that the answer to an own read is arriving, which began at `begun_at`.
    pub fn on_arriving(&mut self, begun_at: Time) {
        let earliest = self.arriving_since.map_or(begun_at, |at| at.min(begun_at));
        self.arriving_since = Some(earliest);
    }

    /// Records that no answer is arriving any more.
    pub fn on_read_failure(&mut self) {
        self.arriving_since = None;
    }

    /// Records the position that an own read has brought, which was sent at `sent_at`.
    pub fn on_read(&mut self, sent_at: Time, position: u64) {
        self.arriving_since = None;
        self.on_position(position);
        if let Some(gone) = self.later.forget_before(sent_at) {
            self.gone_to = self.gone_to.max(gone);
        }
    }

    /// Records the position of the own copy. If it has risen, an answer that was arriving meanwhile tells of
    /// nothing later.
    pub fn on_position(&mut self, position: u64) {
        if position > self.position {
            self.arriving_since = None;
        }
        self.position = self.position.max(position);
        self.later.forget_to(self.position);
    }

    /// Returns since when a later state has been known, as far as it can still be had: from an own read
    /// that is arriving, or, if `is_held`, from an instance that has it.
    pub fn behind_since(&self, is_held: bool) -> Option<Time> {
        let reported = self.later.first_after(self.position);
        let reported = reported.filter(|_| is_held || self.arriving_since.is_some());
        reported.into_iter().chain(self.arriving_since).min()
    }

    /// Returns whether an answer is arriving.
    pub fn is_arriving(&self) -> bool {
        self.arriving_since.is_some()
    }

    /// Returns the latest position that others have reported and the own copy lacks.
    pub fn latest_report(&self) -> Option<u64> {
        self.later.latest()
    }
}

/// Maximum number of positions that are kept.
const MAX_TIMES: usize = 32;
/// Time within which positions that become known count as known with the first.
const RESOLUTION: Duration = Duration::from_millis(100);

//! Choice of the instances from which to fetch a later state than the own one.

use std::{collections::VecDeque, time::Duration};

use base::{InstanceId, Time};

/// Maximum number of instances that are remembered as sources of one state.
const MAX_SOURCES: usize = 8;

/// Decides from which instance to fetch a state that others have and this instance lacks.
///
/// A source that is slow or cut off must not hold up the news: while its answer is outstanding, the
/// next source is asked.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::CatchUp;
/// use std::time::Duration;
///
/// let mut catch_up = CatchUp::new(Duration::ZERO, Duration::from_millis(300));
/// catch_up.on_report(Time::ZERO, "i1".into(), 7);
/// catch_up.on_report(Time::ZERO, "i2".into(), 7);
/// assert_eq!(catch_up.next_source(Time::ZERO), Some("i1".into()));
/// assert_eq!(catch_up.next_source(Time::from_millis(299)), None);
/// assert_eq!(catch_up.next_source(Time::from_millis(300)), Some("i2".into()));
/// catch_up.on_position(Time::from_millis(310), 7);
/// assert_eq!(catch_up.next_source(Time::from_secs(1)), None);
/// ```
#[derive(Debug, Clone)]
pub struct CatchUp {
    delay: Duration,
    retry_interval: Duration,
    /// Instances that reported a later state and its position, in the order in which they are to be
    /// asked.
    sources: VecDeque<(InstanceId, u64)>,
    /// Position of the own state.
    position: u64,
    /// Time from which on the next source may be asked.
    next_at: Time,
}

impl CatchUp {
    /// Returns a state that is up to date.
    ///
    /// The first fetch waits for `delay` after the first report, since the own read may be about to
    /// succeed; each further one follows after `retry_interval`.
    pub fn new(delay: Duration, retry_interval: Duration) -> Self {
        Self {
            delay,
            retry_interval,
            sources: VecDeque::new(),
            position: 0,
            next_at: Time::ZERO,
        }
    }

    /// Records that an instance has the state at `position`.
    pub fn on_report(&mut self, now: Time, from: InstanceId, position: u64) {
        if position <= self.position {
            return;
        }
        if self.sources.is_empty() {
            self.next_at = now + self.delay;
        }
        let is_full = self.sources.len() >= MAX_SOURCES;
        match self.sources.iter_mut().find(|(id, _)| *id == from) {
            Some((_, known)) => *known = position.max(*known),
            None if is_full => {}
            None => self.sources.push_back((from, position)),
        }
    }

    /// Records the position of the own state; while it rises, the next fetch waits for the delay
    /// again.
    pub fn on_position(&mut self, now: Time, position: u64) {
        if position <= self.position {
            return;
        }
        self.position = position;
        self.sources.retain(|(_, reported)| *reported > position);
        self.next_at = self.next_at.max(now + self.delay);
    }

    /// Returns the instance to fetch from now, if a fetch is due; the other sources come before it
    /// the next time.
    pub fn next_source(&mut self, now: Time) -> Option<InstanceId> {
        if self.sources.is_empty() || now < self.next_at {
            return None;
        }
        self.next_at = now + self.retry_interval;
        self.sources.rotate_left(1);
        self.sources.back().map(|(id, _)| id.clone())
    }

    /// Forgets a source that can't be reached.
    pub fn remove_source(&mut self, id: &InstanceId) {
        self.sources.retain(|(source, _)| source != id);
    }

    /// Returns the time of the next fetch, or `None` if none is due.
    pub fn next_at(&self) -> Option<Time> {
        (!self.sources.is_empty()).then_some(self.next_at)
    }
}

//! Choice of the instances from which to fetch a later state than the own one.

use std::time::Duration;

use base::{InstanceId, Position, Time};

/// Describes an instance that reported a later state.
#[derive(Debug, Clone)]
struct Source {
    id: InstanceId,
    /// Position of its state.
    position: Position,
    /// Number that orders the sources; the lowest is asked first.
    rank: u64,
    /// Number of fetches from it since the own state last rose.
    fetches: u32,
}

/// Sets how long a [`CatchUp`] waits before it fetches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchDelays {
    /// Minimum time from the first report of a later state to the first fetch.
    pub min: Duration,
    /// Maximum of that time, whatever the lag of own reads.
    pub max: Duration,
    /// Time from one fetch to the next while the state has not come.
    pub retry: Duration,
}

/// Maximum number of instances that are remembered as sources of one state.
const MAX_SOURCES: usize = 8;

/// Decides from which instance to fetch a state that others have and this instance lacks.
///
/// Own reads often bring the same state a little later than others report it, the farther away the
/// platform is the later. So a fetch waits for twice the time by which own reads have lagged, but
/// not for longer than a limit: the own read may be one that is never answered.
///
/// A source that is slow or cut off must not delay the change: while its answer is outstanding, the
/// next source is asked.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{CatchUp, FetchDelays};
/// use std::time::Duration;
///
/// let retry = Duration::from_millis(300);
/// let mut catch_up = CatchUp::new(FetchDelays { min: Duration::ZERO, max: retry, retry });
/// catch_up.on_report(Time::ZERO, "i1".into(), Position::from(7), 1);
/// catch_up.on_report(Time::ZERO, "i2".into(), Position::from(7), 2);
/// assert_eq!(catch_up.next_source(Time::ZERO), Some("i1".into()));
/// assert_eq!(catch_up.next_source(Time::from_millis(299)), None);
/// assert_eq!(catch_up.next_source(Time::from_millis(300)), Some("i2".into()));
/// catch_up.on_position(Time::from_millis(310), Position::from(7));
/// assert_eq!(catch_up.next_source(Time::from_secs(1)), None);
/// ```
#[derive(Debug, Clone)]
pub struct CatchUp {
    delays: FetchDelays,
    /// Time by which own reads lag behind the reports of others, as last measured; it decays.
    read_lag: Duration,
    /// Time at which a state later than the own one was first reported.
    behind_since: Time,
    /// Instances that reported a later state.
    sources: Vec<Source>,
    /// Position of the own state.
    position: Position,
    /// Time from which on the next source may be asked, unless that is put off.
    next_at: Time,
    /// Time until which it is put off.
    postponed_until: Time,
}

impl CatchUp {
    /// Returns a state that is up to date.
    pub fn new(delays: FetchDelays) -> Self {
        Self {
            delays,
            read_lag: Duration::ZERO,
            behind_since: Time::ZERO,
            sources: Vec::new(),
            position: Position::ZERO,
            next_at: Time::ZERO,
            postponed_until: Time::ZERO,
        }
    }

    /// Records that an instance has the state at `position`.
    ///
    /// Of several instances the one with the lowest `rank` is asked first. Ranks that differ between
    /// the instances that ask spread the fetches over those that can answer.
    pub fn on_report(&mut self, now: Time, from: InstanceId, position: Position, rank: u64) {
        if position <= self.position {
            return;
        }
        if self.sources.is_empty() {
            self.behind_since = now;
            self.next_at = self.next_at.max(now + self.delay());
        }
        if let Some(known) = self.sources.iter_mut().find(|source| source.id == from) {
            known.position = position.max(known.position);
            return;
        }
        if self.sources.len() >= MAX_SOURCES {
            let worst = (0..MAX_SOURCES).max_by_key(|idx| self.sources[*idx].rank);
            match worst.filter(|idx| rank < self.sources[*idx].rank) {
                Some(idx) => self.sources.swap_remove(idx),
                None => return,
            };
        }
        self.sources.push(Source {
            id: from,
            position,
            rank,
            fetches: 0,
        });
    }

    /// Records the position that an own read has brought.
    pub fn on_read(&mut self, now: Time, position: Position) {
        let has_caught_up = self
            .sources
            .iter()
            .any(|source| source.position <= position);
        if has_caught_up {
            let decayed = self.read_lag.mul_f64(READ_LAG_DECAY);
            self.read_lag = decayed.max(now - self.behind_since);
        }
        self.on_position(now, position);
    }

    /// Puts off the next fetch, since a part of the state is arriving by an own read or a fetch, or enough
    /// fetches are under way: another one would only share the link with them. That is over once the own state
    /// rises.
    pub fn postpone(&mut self, now: Time) {
        self.postponed_until = self.postponed_until.max(now + self.delays.max);
    }

    /// Records that an own read has failed: there is nothing to wait for.
    pub fn on_read_failure(&mut self) {
        self.read_lag = Duration::ZERO;
    }

    /// Records the position of the own state; while it rises, the next fetch waits for the delay
    /// again.
    pub fn on_position(&mut self, now: Time, position: Position) {
        if position <= self.position {
            return;
        }
        self.position = position;
        self.sources.retain(|source| source.position > position);
        for source in &mut self.sources {
            source.fetches = 0;
        }
        self.behind_since = now;
        self.next_at = self.next_at.max(now + self.delay());
        self.postponed_until = Time::ZERO;
    }

    /// Returns the instance to fetch from now, if a fetch is due; the others come before it the next
    /// time.
    pub fn next_source(&mut self, now: Time) -> Option<InstanceId> {
        if now < self.next_at.max(self.postponed_until) {
            return None;
        }
        let sources = self.sources.iter_mut();
        let next = sources.min_by_key(|source| (source.fetches, source.rank))?;
        next.fetches += 1;
        self.next_at = now + self.delays.retry;
        Some(next.id.clone())
    }

    /// Forgets a source that can't be reached.
    pub fn remove_source(&mut self, id: &InstanceId) {
        self.sources.retain(|source| source.id != *id);
    }

    /// Returns the time of the next fetch, or `None` if none is due.
    pub fn next_at(&self) -> Option<Time> {
        (!self.sources.is_empty()).then_some(self.next_at.max(self.postponed_until))
    }

    fn delay(&self) -> Duration {
        let expected = self.read_lag * LAG_MARGIN;
        expected.min(self.delays.max).max(self.delays.min)
    }
}

/// Factor by which an earlier lag of own reads counts less with each read.
const READ_LAG_DECAY: f64 = 0.9;
/// Number of usual lags after which an own read is not waited for any longer.
const LAG_MARGIN: u32 = 2;

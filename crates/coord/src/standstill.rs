//! When the own process stood still, by how late its waits ended.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Minimum time by which a wait ends late for the process to have stood still; below it, it is merely slow.
pub const MIN_STANDSTILL: Duration = Duration::from_millis(500);
/// Number of standstills that are remembered.
const MAX_STANDSTILLS: usize = 16;

/// Remembers when the own process stood still, so that messages that it couldn't handle then don't count as missing.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::Standstills;
/// use std::time::Duration;
///
/// let mut standstills = Standstills::default();
/// let (due, woken) = (Time::from_secs(5), Time::from_secs(7));
/// assert_eq!(standstills.on_wake(due, woken), Some(Duration::from_secs(2)));
/// let before = Time::from_secs(4);
/// assert_eq!(standstills.awake_time(before, woken), Duration::from_secs(1));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standstills {
    /// Begins and ends, in their order.
    recent: VecDeque<(Time, Time)>,
}

impl Standstills {
    /// Records that a wait that was due at `due` ended at `now`, and returns for how long the process stood still if
    /// it did.
    pub fn on_wake(&mut self, due: Time, now: Time) -> Option<Duration> {
        let lasted = now - due;
        if lasted < MIN_STANDSTILL {
            return None;
        }
        if self.recent.len() >= MAX_STANDSTILLS {
            self.recent.pop_front();
        }
        self.recent.push_back((due, now));
        Some(lasted)
    }

    /// Returns the time from `since` to `now` without the standstills within it.
    pub fn awake_time(&self, since: Time, now: Time) -> Duration {
        let within = self
            .recent
            .iter()
            .map(|(from, until)| (*until).min(now) - (*from).max(since));
        (now - since).saturating_sub(within.sum())
    }
}

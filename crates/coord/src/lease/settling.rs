//! From when on leases may be taken in an era of the table whose rows of earlier eras may be lost.

use std::time::Duration;

use base::Time;

use super::LeaseTiming;

/// Time for which a lease is still used that hasn't been confirmed in a later era, counted from when its holder learns of
/// that era.
pub const CONFIRM_TIME: Duration = Duration::from_secs(5);
/// Time within which instances in contact learn of an era from each other.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Determines whether the leases of earlier eras are over or confirmed, so that a lease may be taken whose row is of an
/// earlier era or absent.
///
/// That is so once each instance that may hold one has known of the era for longer than it uses a lease that isn't
/// confirmed, or else once the leases of earlier eras have expired. There are none where no lease was acquired before
/// the era.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{EraSettling, LeaseTiming};
///
/// let mut settling = EraSettling::new(LeaseTiming::default());
/// settling.on_era(Time::ZERO, 2);
/// settling.on_others(Time::ZERO, true);
/// assert!(!settling.is_settled(Time::from_secs(8)));
/// assert!(settling.is_settled(Time::from_secs(9)));
/// ```
#[derive(Debug, Clone, Hash)]
pub struct EraSettling {
    timing: LeaseTiming,
    era: u32,
    learned_at: Time,
    /// Earliest era in which a lease of the table was acquired, once the table was read.
    since_era: Option<u32>,
    all_know_since: Option<Time>,
    has_settled: bool,
}

impl EraSettling {
    /// Returns the state of a table without eras.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            era: 0,
            learned_at: Time::ZERO,
            since_era: None,
            all_know_since: None,
            has_settled: true,
        }
    }

    /// Sets the era in which the deployment began, if it is known from elsewhere: no lease of it is older.
    pub fn begun_in(mut self, era: Option<u32>) -> Self {
        self.since_era = era;
        self
    }

    /// Returns the latest known era of the table.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Returns the time at which that era became known.
    pub fn learned_at(&self) -> Time {
        self.learned_at
    }

    /// Records the latest known era of the table.
    pub fn on_era(&mut self, now: Time, era: u32) {
        if era > self.era {
            self.era = era;
            self.learned_at = now;
            self.all_know_since = None;
            self.has_settled = false;
        }
    }

    /// Processes a read of all rows in the present era, by the earliest eras that they name; `others_hold` is whether
    /// another instance reports a lease.
    pub fn on_rows<I>(&mut self, since_eras: I, others_hold: bool)
    where
        I: IntoIterator<Item = u32>,
    {
        let unread = (!others_hold).then_some(self.era);
        let read = since_eras.into_iter().min();
        let earliest = [self.since_era, read.or(unread)];
        self.since_era = earliest.into_iter().flatten().min();
        self.has_settled |= self.since_era == Some(self.era);
    }

    /// Records whether all other instances that may hold a lease are known to know of the era.
    pub fn on_others(&mut self, now: Time, all_know: bool) {
        if all_know {
            self.all_know_since.get_or_insert(now);
        } else {
            self.all_know_since = None;
        }
    }

    /// Returns whether a lease may be taken whose row isn't of the present era.
    pub fn is_settled(&mut self, now: Time) -> bool {
        let takeover_delay = CONFIRM_TIME.mul_f64(1.0 + 2.0 * self.timing.drift) + LEARNING_TIME;
        let have_confirmed = self
            .all_know_since
            .is_some_and(|since| now - since > takeover_delay);
        let ttl = self.timing.ttl.mul_f64(1.0 + self.timing.drift);
        self.has_settled |= have_confirmed || now - self.learned_at > ttl;
        self.has_settled
    }

    /// Returns the earliest era in which a lease of the table was acquired, as far as that is known.
    pub fn since_era(&self) -> u32 {
        self.since_era.unwrap_or(0)
    }
}

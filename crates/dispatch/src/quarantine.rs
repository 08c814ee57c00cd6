//! Requests that end the targets that run them.

use std::{collections::BTreeMap, time::Duration};

use base::Time;

/// Counts connection losses per request and bars a request after the second one.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::Quarantine;
/// use std::time::Duration;
///
/// let mut quarantine = Quarantine::new(2, Duration::from_secs(60));
/// assert!(!quarantine.record(Time::ZERO, 7));
/// assert!(quarantine.record(Time::ZERO, 7));
/// assert!(quarantine.barred_for(Time::ZERO, 7).is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Quarantine {
    most_losses: u32,
    period: Duration,
    entries: BTreeMap<u64, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    losses: u32,
    until: Time,
}

const MOST_ENTRIES: usize = 4096;

impl Quarantine {
    /// Returns a quarantine that bars a request after `most_losses` losses for `period`.
    pub fn new(most_losses: u32, period: Duration) -> Self {
        Self {
            most_losses,
            period,
            entries: BTreeMap::new(),
        }
    }

    /// Records that the request with this fingerprint lost its connection in flight.
    ///
    /// Returns whether the request is now barred.
    pub fn record(&mut self, now: Time, fingerprint: u64) -> bool {
        self.prune(now);
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            losses: 0,
            until: now,
        });
        entry.losses += 1;
        entry.until = now + self.period;
        entry.losses >= self.most_losses
    }

    /// Returns how long the request stays barred, or `None` where it is not.
    pub fn barred_for(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let is_barred = entry.losses >= self.most_losses && entry.until > now;
        is_barred.then(|| entry.until - now)
    }

    /// Returns the barred requests and how long each stays so.
    pub fn barred(&self, now: Time) -> Vec<(u64, Duration)> {
        self.entries
            .keys()
            .filter_map(|&print| Some((print, self.barred_for(now, print)?)))
            .collect()
    }

    fn prune(&mut self, now: Time) {
        if self.entries.len() >= MOST_ENTRIES {
            self.entries.retain(|_, entry| entry.until > now);
        }
        if self.entries.len() >= MOST_ENTRIES {
            self.entries.pop_first();
        }
    }
}

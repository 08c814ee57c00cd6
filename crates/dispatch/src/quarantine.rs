//! Requests that end the targets that run them.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use serde::{Deserialize, Serialize};

/// Tells of one connection that was lost while it carried a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Digest of what makes it the same request when its caller sends it again.
    pub fingerprint: u64,
    /// Digest of the target and its life: what one life of a target loses counts once, since it may
    /// be the target's fault.
    pub place: u64,
}

/// Counts the targets that were lost with a request and bars a request after the second one.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{Loss, Quarantine};
/// use std::time::Duration;
///
/// let mut quarantine = Quarantine::new(2, Duration::from_secs(60));
/// let loss = |place| Loss { fingerprint: 7, place };
/// assert!(!quarantine.record(Time::ZERO, loss(1)));
/// assert!(!quarantine.record(Time::ZERO, loss(1)));
/// assert!(quarantine.record(Time::ZERO, loss(2)));
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
    /// Places of the losses, each once, as many as bar a request at most.
    places: Vec<u64>,
    until: Time,
}

const MOST_ENTRIES: usize = 4096;

impl Quarantine {
    /// Returns a quarantine that bars a request after losses at `most_losses` places for `period`.
    pub fn new(most_losses: u32, period: Duration) -> Self {
        Self {
            most_losses,
            period,
            entries: BTreeMap::new(),
        }
    }

    /// Records a loss and returns whether the request is now barred.
    pub fn record(&mut self, now: Time, loss: Loss) -> bool {
        self.prune(now);
        let most = self.most_losses as usize;
        let entry = self.entries.entry(loss.fingerprint).or_insert(Entry {
            places: Vec::new(),
            until: now,
        });
        if entry.until <= now {
            entry.places.clear();
        }
        if entry.places.len() < most && !entry.places.contains(&loss.place) {
            entry.places.push(loss.place);
        }
        entry.until = now + self.period;
        entry.places.len() >= most
    }

    /// Returns how long the request stays barred, or `None` where it is not.
    pub fn barred_for(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let is_barred = entry.places.len() >= self.most_losses as usize && entry.until > now;
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

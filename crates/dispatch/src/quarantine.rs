//! Requests that end the targets that run them.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use serde::{Deserialize, Serialize};

/// Tells of one connection that was lost while it carried a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLoss {
    /// Digest of what makes it the same request when its caller sends it again.
    pub fingerprint: u64,
    /// Digest of the target and its life: what one life of a target loses counts once, since it may
    /// be the target's fault.
    pub target_digest: u64,
}

/// Counts the targets that were lost with a request and bars a request after the second one.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{ConnectionLoss, Quarantine};
/// use std::time::Duration;
///
/// let mut quarantine = Quarantine::new(2, Duration::from_secs(60));
/// let loss = |target_digest| ConnectionLoss { fingerprint: 7, target_digest };
/// assert!(!quarantine.record(Time::ZERO, loss(1)));
/// assert!(!quarantine.record(Time::ZERO, loss(1)));
/// assert!(quarantine.record(Time::ZERO, loss(2)));
/// assert!(quarantine.remaining(Time::ZERO, 7).is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Quarantine {
    max_losses: u32,
    period: Duration,
    entries: BTreeMap<u64, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    /// Places of the losses, each once, as many as bar a request at most.
    target_digests: Vec<u64>,
    until: Time,
}

const MOST_ENTRIES: usize = 4096;

impl Quarantine {
    /// Returns a quarantine that bars a request after losses at `max_losses` places for `period`.
    pub fn new(max_losses: u32, period: Duration) -> Self {
        Self {
            max_losses,
            period,
            entries: BTreeMap::new(),
        }
    }

    /// Records a loss and returns whether the request is now barred.
    pub fn record(&mut self, now: Time, loss: ConnectionLoss) -> bool {
        self.prune(now);
        let most = self.max_losses as usize;
        let entry = self.entries.entry(loss.fingerprint).or_insert(Entry {
            target_digests: Vec::new(),
            until: now,
        });
        if entry.until <= now {
            entry.target_digests.clear();
        }
        if entry.target_digests.len() < most && !entry.target_digests.contains(&loss.target_digest)
        {
            entry.target_digests.push(loss.target_digest);
        }
        entry.until = now + self.period;
        entry.target_digests.len() >= most
    }

    /// Returns how long the request stays barred, or `None` where it is not.
    pub fn remaining(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let is_barred = entry.target_digests.len() >= self.max_losses as usize && entry.until > now;
        is_barred.then(|| entry.until - now)
    }

    /// Returns the barred requests and how long each stays so.
    pub fn quarantined(&self, now: Time) -> Vec<(u64, Duration)> {
        self.entries
            .keys()
            .filter_map(|&print| Some((print, self.remaining(now, print)?)))
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

//! Quarantine of requests that crash the targets that run them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use serde::{Deserialize, Serialize};

/// Reports one connection that was lost while it carried a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLoss {
    /// Digest that is the same when the caller sends the same request again.
    pub fingerprint: u64,
    /// Digest of the target and its incarnation. All losses of one incarnation count once, since
    /// they may be the target's own fault.
    pub target_digest: u64,
}

/// Counts the target incarnations that lost a connection with a request, and quarantines the
/// request once there are `max_losses` of them.
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
    /// Distinct target digests of the losses, at most `max_losses`.
    target_digests: Vec<u64>,
    until: Time,
}

/// Collects lost connections until it is clear whether a target or the path to the targets failed.
///
/// A request that crashes its target, and with its retry another one, costs the connections to these
/// two. Connections to more targets that are lost together show that the way to them failed, and
/// speak against no request.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{ConnectionLoss, LossCollector};
///
/// let mut losses = LossCollector::default();
/// let loss = |target_digest| ConnectionLoss { fingerprint: 7, target_digest };
/// losses.add(Time::from_millis(0), 1, loss(1));
/// losses.add(Time::from_millis(5), 2, loss(2));
/// assert_eq!(losses.take_due(Time::from_millis(200)), [loss(1), loss(2)]);
///
/// for target in 1..=3 {
///     losses.add(Time::from_millis(500), target, loss(target));
/// }
/// assert!(losses.take_due(Time::from_millis(700)).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct LossCollector {
    pending: Vec<PendingLoss>,
}

#[derive(Debug, Clone)]
struct PendingLoss {
    at: Time,
    target: u64,
    loss: ConnectionLoss,
    /// Whether it belongs to a failure of the path.
    is_path: bool,
}

/// Time between two losses within which they count as one event.
const LOSS_WINDOW: Duration = Duration::from_millis(100);
/// Targets that must lose connections in one event for it to count as a failure of the path.
const MIN_PATH_TARGETS: usize = 3;

impl LossCollector {
    /// Adds the loss of a connection to a target, which `target` identifies.
    pub fn add(&mut self, now: Time, target: u64, loss: ConnectionLoss) {
        self.pending.push(PendingLoss {
            at: now,
            target,
            loss,
            is_path: false,
        });
        let is_recent = |one: &PendingLoss| now - one.at <= LOSS_WINDOW;
        let recent = self.pending.iter().filter(|one| is_recent(one));
        let targets: BTreeSet<u64> = recent.map(|one| one.target).collect();
        if targets.len() >= MIN_PATH_TARGETS {
            for one in self.pending.iter_mut().filter(|one| is_recent(one)) {
                one.is_path = true;
            }
        }
    }

    /// Returns the losses that are old enough to be judged and speak against their requests.
    pub fn take_due(&mut self, now: Time) -> Vec<ConnectionLoss> {
        let is_due = |one: &PendingLoss| now - one.at >= LOSS_WINDOW;
        let due = self.pending.iter();
        let due = due.filter(|one| is_due(one) && !one.is_path);
        let due = due.map(|one| one.loss).collect();
        self.pending.retain(|one| !is_due(one));
        due
    }
}

/// Maximum number of requests whose losses are tracked.
const MAX_ENTRIES: usize = 4096;

impl Quarantine {
    /// Returns a quarantine that refuses a request for `period` after losses on `max_losses`
    /// target incarnations.
    pub fn new(max_losses: u32, period: Duration) -> Self {
        Self {
            max_losses,
            period,
            entries: BTreeMap::new(),
        }
    }

    /// Records a loss and returns whether the request is now quarantined.
    pub fn record(&mut self, now: Time, loss: ConnectionLoss) -> bool {
        self.prune(now);
        let max = self.max_losses as usize;
        let entry = self.entries.entry(loss.fingerprint).or_insert(Entry {
            target_digests: Vec::new(),
            until: now,
        });
        if entry.until <= now {
            entry.target_digests.clear();
        }
        if entry.target_digests.len() < max && !entry.target_digests.contains(&loss.target_digest) {
            entry.target_digests.push(loss.target_digest);
        }
        entry.until = now + self.period;
        entry.target_digests.len() >= max
    }

    /// Returns how much longer the request is quarantined, or `None` where it is not.
    pub fn remaining(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let is_quarantined =
            entry.target_digests.len() >= self.max_losses as usize && entry.until > now;
        is_quarantined.then(|| entry.until - now)
    }

    /// Returns the fingerprints of the quarantined requests and how much longer each is.
    pub fn quarantined(&self, now: Time) -> Vec<(u64, Duration)> {
        self.entries
            .keys()
            .filter_map(|&fingerprint| Some((fingerprint, self.remaining(now, fingerprint)?)))
            .collect()
    }

    /// Makes room for one entry: drops expired ones, then the one with the lowest fingerprint.
    fn prune(&mut self, now: Time) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, entry| entry.until > now);
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_first();
        }
    }
}

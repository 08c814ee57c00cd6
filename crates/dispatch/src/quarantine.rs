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

/// Reports that a request is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Time until the request may be tried again.
    pub remaining: Duration,
    /// Length of the quarantine; the next one is twice as long.
    pub period: Duration,
}

/// Reports to the other instances what this one knows of requests that crash targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineReport {
    /// These requests are quarantined.
    Held(Vec<Hold>),
    /// A target has answered the request with this fingerprint, so it doesn't crash targets.
    Answered(u64),
}

/// Lists what may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Free,
    /// It may be sent once, to see whether it still crashes its target.
    Trial,
    /// It must not be sent before this time has passed.
    Refused(Duration),
}

/// Counts the target incarnations that lost a connection with a request, and quarantines the
/// request once there are `max_losses` of them.
///
/// An incarnation crashes once, by one request: its loss doesn't count against a request if another one
/// that lost more of them was on it too. That may become known after a quarantine has begun, which ends it.
///
/// A quarantine ends with a trial: one attempt at a time. If that is lost as well, the request is
/// quarantined again for twice as long; an answer ends it.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{Admission, ConnectionLoss, Quarantine};
/// use std::time::Duration;
///
/// let period = Duration::from_secs(60);
/// let mut quarantine = Quarantine::new(2, period);
/// let loss = |target_digest| ConnectionLoss { fingerprint: 7, target_digest };
/// assert!(quarantine.record(Time::ZERO, &[loss(1), loss(1)]).is_empty());
/// assert_eq!(quarantine.record(Time::ZERO, &[loss(2)]), [7]);
/// let deadline = Time::from_secs(63);
/// assert_eq!(quarantine.admit(Time::ZERO, 7, deadline, true), Admission::Refused(period));
/// // The trial is lost as well.
/// let now = Time::from_secs(60);
/// assert_eq!(quarantine.admit(now, 7, deadline, true), Admission::Trial);
/// assert_eq!(quarantine.record(now, &[loss(3)]), [7]);
/// assert_eq!(quarantine.admit(now, 7, deadline, true), Admission::Refused(period * 2));
/// ```
#[derive(Debug, Clone)]
pub struct Quarantine {
    max_losses: u32,
    period: Duration,
    entries: BTreeMap<u64, Entry>,
    /// Losses of one event that were taken for a failed path, and when.
    unclear: Vec<(Time, Vec<ConnectionLoss>)>,
    /// Requests with enough losses that aren't quarantined, as their cause isn't clear, and when the
    /// last loss became known.
    doubtful: BTreeMap<u64, Time>,
    answers: RecentAnswers,
}

#[derive(Debug, Clone)]
struct Entry {
    /// Distinct target digests of the losses.
    target_digests: BTreeSet<u64>,
    forgotten_at: Time,
    breaker: Option<Breaker>,
}

/// Circuit breaker of a request: open until a time, then half open.
#[derive(Debug, Clone, Copy)]
struct Breaker {
    until: Time,
    period: Duration,
    /// Time until which a trial may be under way.
    trial_until: Option<Time>,
}

/// Maximum number of requests whose losses are tracked.
const MAX_ENTRIES: usize = 4096;
/// Maximum number of target digests that are kept for a request.
const MAX_DIGESTS: usize = 32;
/// Time within which losses that were taken for a failed path may turn out to be something else.
const UNCLEAR_TTL: Duration = Duration::from_secs(3);
/// Maximum number of events whose losses are kept for that.
const MAX_UNCLEAR: usize = 8;
/// Time after which losses are forgotten, and quarantined requests that nobody has tried again, as a
/// number of quarantine periods.
const MEMORY_PERIODS: u32 = 10;
/// Maximum length of a quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);
/// Time after which an instance that may not try a request asks its caller to come back, perhaps to
/// one that may.
const TRIAL_ELSEWHERE: Duration = Duration::from_secs(1);

impl Quarantine {
    /// Returns a quarantine that refuses a request for `period` after losses on `max_losses`
    /// target incarnations.
    pub fn new(max_losses: u32, period: Duration) -> Self {
        Self {
            max_losses,
            period,
            entries: BTreeMap::new(),
            unclear: Vec::new(),
            doubtful: BTreeMap::new(),
            answers: RecentAnswers::default(),
        }
    }

    /// Records losses that became known together and returns the requests whose quarantine begins with
    /// them.
    pub fn record(&mut self, now: Time, losses: &[ConnectionLoss]) -> Vec<u64> {
        for loss in losses {
            self.add(now, *loss);
        }
        for loss in losses {
            self.end_explained(now, loss.target_digest);
        }
        let fingerprints: BTreeSet<u64> = losses.iter().map(|loss| loss.fingerprint).collect();
        fingerprints
            .into_iter()
            .filter(|fingerprint| self.begin(now, *fingerprint))
            .collect()
    }

    fn add(&mut self, now: Time, loss: ConnectionLoss) {
        self.prune(now);
        let forgotten_at = now + self.period * MEMORY_PERIODS;
        let entry = self.entry(now, loss.fingerprint);
        if entry.target_digests.len() < MAX_DIGESTS {
            entry.target_digests.insert(loss.target_digest);
        }
        if entry.breaker.is_none() {
            entry.forgotten_at = forgotten_at;
        }
    }

    /// Begins the quarantine of a request that has just lost a connection, if it is due, or the next
    /// one; returns whether it did.
    fn begin(&mut self, now: Time, fingerprint: u64) -> bool {
        let breaker = self.breaker(fingerprint).copied();
        let period = match breaker {
            // Attempts that were under way when the quarantine began.
            Some(breaker) if breaker.until > now => {
                let until = breaker.until.max(now + breaker.period);
                self.hold(fingerprint, until, breaker.period);
                return false;
            }
            Some(breaker) => (breaker.period * 2).min(MAX_PERIOD),
            None if self.count(fingerprint) < self.max_losses as usize => return false,
            None if self.is_doubtful(now, fingerprint) => {
                self.doubtful.insert(fingerprint, now);
                return false;
            }
            None => self.period,
        };
        self.hold(fingerprint, now + period, period);
        true
    }

    /// Returns the requests whose quarantine begins now, since nothing speaks for them any more.
    pub fn begin_due(&mut self, now: Time) -> Vec<u64> {
        self.doubtful.retain(|_, at| now - *at < UNCLEAR_TTL);
        let doubtful: Vec<u64> = self.doubtful.keys().copied().collect();
        let is_due =
            |fingerprint: &u64| !self.is_doubtful(now, *fingerprint) && !self.is_held(*fingerprint);
        let due: Vec<u64> = doubtful.into_iter().filter(is_due).collect();
        for fingerprint in &due {
            self.doubtful.remove(fingerprint);
            self.hold(*fingerprint, now + self.period, self.period);
        }
        due
    }

    /// Returns whether something speaks for a request with enough losses: an answer of late, or other
    /// requests that explain its losses.
    fn is_doubtful(&self, now: Time, fingerprint: u64) -> bool {
        self.answers.contains(now, fingerprint)
            || self.unexplained(now, fingerprint) < self.max_losses as usize
    }

    fn count(&self, fingerprint: u64) -> usize {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(0, |entry| entry.target_digests.len())
    }

    /// Keeps losses that were taken for a failed path, in case another instance explains some of them.
    pub fn suspend(&mut self, now: Time, losses: Vec<ConnectionLoss>) {
        self.unclear.retain(|(at, _)| now - *at < UNCLEAR_TTL);
        if self.unclear.len() < MAX_UNCLEAR && !losses.is_empty() {
            self.unclear.push((now, losses));
        }
    }

    /// Returns losses that were taken for a failed path but can't be: with what other requests
    /// explain, they concern fewer targets than `min_path_targets`.
    pub fn take_cleared(&mut self, now: Time, min_path_targets: usize) -> Vec<ConnectionLoss> {
        self.unclear.retain(|(at, _)| now - *at < UNCLEAR_TTL);
        let mut cleared = Vec::new();
        let unclear = std::mem::take(&mut self.unclear);
        for (at, losses) in unclear {
            let left: Vec<ConnectionLoss> = losses
                .iter()
                .filter(|loss| !self.is_explained(now, loss))
                .copied()
                .collect();
            let targets: BTreeSet<u64> = left.iter().map(|loss| loss.target_digest).collect();
            if targets.len() < min_path_targets {
                cleared.extend(left);
            } else {
                self.unclear.push((at, losses));
            }
        }
        cleared
    }

    /// Records that a target has answered the request: it doesn't crash those that run it, so earlier
    /// losses had other causes. Returns whether there were any.
    pub fn record_answer(&mut self, now: Time, fingerprint: u64) -> bool {
        self.answers.insert(now, fingerprint);
        self.doubtful.remove(&fingerprint);
        !self.entries.is_empty() && self.entries.remove(&fingerprint).is_some()
    }

    /// Decides whether a request may be sent, which ends at `deadline`. After the quarantine only an
    /// instance that `may_try` sends it; the others follow if that one hasn't for as long again.
    pub fn admit(
        &mut self,
        now: Time,
        fingerprint: u64,
        deadline: Time,
        may_try: bool,
    ) -> Admission {
        let Some(breaker) = self.breaker(fingerprint) else {
            return Admission::Free;
        };
        if breaker.until > now {
            return Admission::Refused(breaker.until - now);
        }
        if let Some(trial_until) = breaker.trial_until.filter(|until| *until > now) {
            return Admission::Refused(trial_until - now);
        }
        if !may_try && breaker.until + breaker.period > now {
            return Admission::Refused(TRIAL_ELSEWHERE);
        }
        breaker.trial_until = Some(deadline);
        Admission::Trial
    }

    /// Returns how much longer the request is quarantined, or `None` where it is not.
    pub fn remaining(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let until = self.entries.get(&fingerprint)?.breaker?.until;
        (until > now).then(|| until - now)
    }

    /// Returns whether connections were lost with the request and no answer has come since.
    pub fn is_suspected(&self, fingerprint: u64) -> bool {
        self.entries.contains_key(&fingerprint)
    }

    /// Returns whether the request is quarantined or on trial.
    pub fn is_held(&self, fingerprint: u64) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.breaker.is_some())
    }

    /// Returns the fingerprints of the quarantined requests and how much longer each is.
    pub fn quarantined(&self, now: Time) -> Vec<(u64, Duration)> {
        self.entries
            .keys()
            .filter_map(|&fingerprint| Some((fingerprint, self.remaining(now, fingerprint)?)))
            .collect()
    }

    /// Returns the requests that are quarantined or on trial, for other instances.
    pub fn holds(&self, now: Time) -> Vec<Hold> {
        let breakers = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.forgotten_at > now)
            .filter_map(|(fingerprint, entry)| Some((*fingerprint, entry.breaker?)));
        breakers
            .map(|(fingerprint, breaker)| Hold {
                fingerprint,
                remaining: breaker.until.max(now) - now,
                period: breaker.period,
            })
            .collect()
    }

    /// Merges what another instance knows of a request. Returns `false` if this one knows better: the
    /// request has been answered since.
    pub fn merge(&mut self, now: Time, hold: &Hold) -> bool {
        if self.answers.contains(now, hold.fingerprint) {
            return false;
        }
        if self.is_cleared(now, hold.fingerprint) {
            return true;
        }
        self.prune(now);
        let until = now + hold.remaining;
        match self.entry(now, hold.fingerprint).breaker {
            Some(own) if own.period > hold.period => {}
            // A trial may be under way, which the other instance doesn't know.
            Some(own) if own.period == hold.period && own.until <= now => {}
            Some(own) if own.period == hold.period && own.until >= until => {}
            _ => self.hold(hold.fingerprint, until, hold.period),
        }
        true
    }

    /// Returns how many incarnations crashed by this request, as far as no other one explains them.
    fn unexplained(&self, now: Time, fingerprint: u64) -> usize {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return 0;
        };
        let losses = entry.target_digests.iter().map(|digest| ConnectionLoss {
            fingerprint,
            target_digest: *digest,
        });
        losses.filter(|loss| !self.is_explained(now, loss)).count()
    }

    /// Returns whether another request that lost more incarnations was on this one too, and has no
    /// answer of late.
    fn is_explained(&self, now: Time, loss: &ConnectionLoss) -> bool {
        let count_of = |entry: &Entry| entry.target_digests.len();
        let own = self.entries.get(&loss.fingerprint).map_or(1, count_of);
        self.entries.iter().any(|(fingerprint, entry)| {
            *fingerprint != loss.fingerprint
                && count_of(entry) > own
                && entry.target_digests.contains(&loss.target_digest)
                && !self.answers.contains(now, *fingerprint)
        })
    }

    /// Returns whether there are losses enough for a quarantine, but other requests explain them.
    fn is_cleared(&self, now: Time, fingerprint: u64) -> bool {
        let max = self.max_losses as usize;
        self.count(fingerprint) >= max && self.unexplained(now, fingerprint) < max
    }

    /// Ends quarantines that began with the loss of this incarnation if another request explains it now.
    fn end_explained(&mut self, now: Time, target_digest: u64) {
        let explained: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.breaker.is_some())
            .filter(|(_, entry)| entry.target_digests.contains(&target_digest))
            .map(|(fingerprint, _)| *fingerprint)
            .filter(|fingerprint| self.is_cleared(now, *fingerprint))
            .collect();
        for fingerprint in explained {
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.breaker = None;
            }
        }
    }

    fn breaker(&mut self, fingerprint: u64) -> Option<&mut Breaker> {
        self.entries.get_mut(&fingerprint)?.breaker.as_mut()
    }

    /// Returns the entry of a request, a new one if what is known of it is too old.
    fn entry(&mut self, now: Time, fingerprint: u64) -> &mut Entry {
        let new = Entry {
            target_digests: BTreeSet::new(),
            forgotten_at: now + self.period * MEMORY_PERIODS,
            breaker: None,
        };
        let entry = self.entries.entry(fingerprint).or_insert(new.clone());
        if entry.forgotten_at <= now {
            *entry = new;
        }
        entry
    }

    fn hold(&mut self, fingerprint: u64, until: Time, period: Duration) {
        let memory = self.period * MEMORY_PERIODS;
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.forgotten_at = until + period + memory;
            entry.breaker = Some(Breaker {
                until,
                period,
                trial_until: None,
            });
        }
    }

    /// Makes room for one entry: drops those that are too old, then the oldest one, a quarantined one
    /// only if there is no other.
    fn prune(&mut self, now: Time) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, entry| entry.forgotten_at > now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.breaker.is_some(), entry.forgotten_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.entries.remove(&oldest);
        }
    }
}

/// Requests that targets have answered of late; one of them may hide another.
#[derive(Debug, Clone, Default)]
struct RecentAnswers {
    slots: Vec<(u64, Time)>,
}

/// Number of requests that are remembered at most.
const ANSWER_SLOTS: usize = 1024;
/// Time for which an answer speaks for a request. Shorter than any time in which a request that begins
/// to crash its targets must be known.
const ANSWER_TTL: Duration = Duration::from_secs(2);

impl RecentAnswers {
    fn insert(&mut self, now: Time, fingerprint: u64) {
        self.slots.resize(ANSWER_SLOTS, (0, Time::ZERO));
        self.slots[slot_of(fingerprint)] = (fingerprint, now);
    }

    fn contains(&self, now: Time, fingerprint: u64) -> bool {
        let slot = self.slots.get(slot_of(fingerprint));
        slot.is_some_and(|(found, at)| *found == fingerprint && now - *at < ANSWER_TTL)
    }
}

fn slot_of(fingerprint: u64) -> usize {
    (fingerprint % ANSWER_SLOTS as u64) as usize
}

//! Quarantine of requests that crash the targets that run them, from lost connections to refusals.

mod answers;
mod attribution;
mod deaths;
mod loss_events;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use serde::{Deserialize, Serialize};

pub use loss_events::{ConnectionLoss, LossCauses, LossCollector, LossReport, LostAttempt};

use answers::{AnswerTime, Told};
use attribution::Attribution;

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
    /// A target has answered the request with this fingerprint, so it doesn't crash targets. Instances of earlier
    /// builds report answers so.
    Answered(u64),
    /// A target has answered a request, which so didn't crash those that ran it until then.
    AnsweredAgo {
        /// Digest of the request.
        fingerprint: u64,
        /// Time since the answer.
        age: Duration,
    },
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
/// let loss = |target_digest| ConnectionLoss { fingerprint: 7, target_digest }.into();
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
    period: Duration,
    /// Requests with losses or a quarantine; exactly these are tracked in `attribution`.
    entries: BTreeMap<u64, Entry>,
    attribution: Attribution,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
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
/// Time after which losses are forgotten, and quarantined requests that nobody has tried again, as a
/// number of quarantine periods.
const MEMORY_PERIODS: u32 = 10;
/// Maximum length of a quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);
/// Time in which other instances learn of losses and report answers to the same request.
const HEARING: Duration = Duration::from_millis(250);
/// Time after which an instance that may not try a request asks its caller to retry, perhaps to
/// one that may.
const TRIAL_ELSEWHERE: Duration = Duration::from_secs(1);

impl Quarantine {
    /// Returns a quarantine that refuses a request for `period` after losses on `max_losses`
    /// target incarnations.
    pub fn new(max_losses: u32, period: Duration) -> Self {
        Self {
            period,
            entries: BTreeMap::new(),
            attribution: Attribution::new(max_losses),
        }
    }

    /// Sets how many instances there are. Where there are others, a quarantine begins only after they have had time to
    /// report answers.
    pub fn set_instances(&mut self, instances: usize) {
        let has_others = instances > 1;
        let hearing = if has_others { HEARING } else { Duration::ZERO };
        self.attribution.set_instances(instances, hearing);
    }

    /// Records losses that became known together and returns the requests whose quarantine begins with
    /// them.
    pub fn record(&mut self, now: Time, losses: &[LossReport]) -> Vec<u64> {
        for report in losses {
            self.add(now, *report);
        }
        for report in losses {
            self.end_explained(report.loss.target_digest);
        }
        let fingerprints: BTreeSet<u64> = losses.iter().map(|one| one.loss.fingerprint).collect();
        fingerprints
            .into_iter()
            .filter(|fingerprint| self.begin(now, *fingerprint))
            .collect()
    }

    /// Counts losses of this instance, for how often targets die.
    pub fn count_own(&mut self, now: Time, losses: &[LossReport]) {
        self.attribution.count_own(now, losses);
    }

    /// Records a loss that another instance has reported, as [`Quarantine::record`] does. One from before an answer has
    /// another cause.
    pub fn record_remote(&mut self, now: Time, report: LossReport) -> Vec<u64> {
        if self.attribution.is_answered_since(now, &report) {
            self.attribution.count_death(now, report.loss.target_digest);
            return Vec::new();
        }
        self.record(now, &[report])
    }

    fn add(&mut self, now: Time, report: LossReport) {
        self.prune(now);
        let forgotten_at = now + self.period * MEMORY_PERIODS;
        let entry = self.entry(now, report.loss.fingerprint);
        if entry.breaker.is_none() {
            entry.forgotten_at = forgotten_at;
        }
        self.attribution.add(now, report);
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
            None if !self.attribution.is_cause(now, fingerprint) => return false,
            None => self.period,
        };
        self.hold(fingerprint, now + period, period);
        true
    }

    /// Returns the requests whose quarantine begins now, since nothing speaks for them any more.
    pub fn begin_due(&mut self, now: Time) -> Vec<u64> {
        let entries = &self.entries;
        let is_held = |fingerprint| is_held(entries, fingerprint);
        let due = self.attribution.take_clear(now, is_held);
        for fingerprint in &due {
            self.hold(*fingerprint, now + self.period, self.period);
        }
        due
    }

    /// Keeps losses that were taken for a failed path, in case another instance explains some of them.
    pub fn suspend(&mut self, now: Time, losses: Vec<LossReport>) {
        self.attribution.suspend(now, losses);
    }

    /// Returns losses that were taken for a failed path but can't be: with what other requests
    /// explain, they concern too few targets.
    pub fn take_cleared(&mut self, now: Time) -> Vec<LossReport> {
        self.attribution.take_cleared(now)
    }

    /// Records that a target has answered the request: it doesn't crash those that run it, so earlier
    /// losses had other causes. Returns whether there were any.
    pub fn record_answer(&mut self, now: Time, fingerprint: u64) -> bool {
        let was_suspected = self.entries.remove(&fingerprint).is_some();
        let told = if was_suspected { Told::Once } else { Told::Not };
        self.attribution.record_answer(now, fingerprint, told);
        was_suspected
    }

    /// Records an answer that another instance has reported. It was given between these times: what was lost until
    /// `earliest` is forgotten, and until some time after `latest` the request isn't quarantined.
    pub fn record_remote_answer(&mut self, earliest: Time, latest: Time, fingerprint: u64) {
        let at = AnswerTime { earliest, latest };
        self.attribution.record_remote_answer(at, fingerprint);
        self.forget_until(earliest, fingerprint);
    }

    /// Returns how long ago a target has answered the request, if that was recently, losses have just become known and
    /// the others don't know of it. It is to be reported to them now, and the losses until then are forgotten.
    pub fn take_untold_answer(&mut self, now: Time, fingerprint: u64) -> Option<Duration> {
        let at = self.attribution.tell(now, fingerprint, Told::Once)?;
        self.forget_until(at, fingerprint);
        Some(now - at)
    }

    /// Forgets the losses of a request until a time, and its quarantine unless those since suffice for it.
    fn forget_until(&mut self, at: Time, fingerprint: u64) {
        let left = self.attribution.refute(at, fingerprint);
        if left == 0 {
            self.entries.remove(&fingerprint);
            self.attribution.forget(fingerprint);
        } else if !self.attribution.has_enough(fingerprint)
            && let Some(entry) = self.entries.get_mut(&fingerprint)
        {
            entry.breaker = None;
        }
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

    /// Returns how much longer the others are asked before the request may be quarantined; it isn't sent meanwhile.
    pub fn hearing_left(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        self.attribution.hearing_left(now, fingerprint)
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

    /// Returns whether the request has lost so many connections that it is hardly by chance, though perhaps too few for a
    /// quarantine.
    pub fn is_doubtful(&self, now: Time, fingerprint: u64) -> bool {
        self.attribution.is_doubtful(now, fingerprint)
    }

    /// Returns whether the request is quarantined or on trial.
    pub fn is_held(&self, fingerprint: u64) -> bool {
        is_held(&self.entries, fingerprint)
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

    /// Merges what another instance knows of a request. If a target has answered the request recently, returns once for
    /// each answer how long ago instead, which is to be reported to the others.
    pub fn merge(&mut self, now: Time, hold: &Hold) -> Option<Duration> {
        let answered_at = self.attribution.tell(now, hold.fingerprint, Told::Again);
        if let Some(at) = answered_at {
            return Some(now - at);
        }
        if self.attribution.is_cleared(hold.fingerprint) {
            return None;
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
        None
    }

    /// Ends quarantines that began with the loss of this incarnation if another request explains it now.
    fn end_explained(&mut self, target_digest: u64) {
        let explained: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.breaker.is_some())
            .map(|(fingerprint, _)| *fingerprint)
            .filter(|fingerprint| self.attribution.has_lost(*fingerprint, target_digest))
            .filter(|fingerprint| self.attribution.is_cleared(*fingerprint))
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
            forgotten_at: now + self.period * MEMORY_PERIODS,
            breaker: None,
        };
        let known = self.entries.get(&fingerprint);
        if known.is_none_or(|entry| entry.forgotten_at <= now) {
            self.entries.insert(fingerprint, new);
            self.attribution.track(fingerprint);
        }
        self.entries.entry(fingerprint).or_insert(new)
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
        self.attribution
            .retain(|fingerprint| self.entries.contains_key(&fingerprint));
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
            self.attribution.forget(oldest);
        }
    }
}

fn is_held(entries: &BTreeMap<u64, Entry>, fingerprint: u64) -> bool {
    let entry = entries.get(&fingerprint);
    entry.is_some_and(|entry| entry.breaker.is_some())
}

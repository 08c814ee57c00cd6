//! Attribution of lost connections to the requests that caused them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;

use super::{
    answers::{AnswerTime, RecentAnswers, Told},
    deaths::{Death, Deaths, WINDOW},
    loss_events::{ConnectionLoss, LossReport, MIN_PATH_TARGETS},
};

/// Decides which requests crashed target incarnations, where several requests were lost with one.
#[derive(Debug, Clone)]
pub(super) struct Attribution {
    max_losses: usize,
    /// Number of instances, all of which send requests to targets.
    instances: u64,
    /// Distinct target digests of the losses of each tracked request, each with the latest time at which the connection
    /// can have ended.
    losses: BTreeMap<u64, BTreeMap<u64, Time>>,
    deaths: Deaths,
    /// Losses of one event that were taken for a failed path, and when.
    unclear: Vec<(Time, Vec<LossReport>)>,
    /// Time for which other instances are asked before a request is taken for a cause.
    hearing: Duration,
    /// Requests with enough losses that aren't quarantined, as their cause isn't clear or others are still asked.
    doubtful: BTreeMap<u64, Doubt>,
    answers: RecentAnswers,
    /// Time at which this instance began to look for causes.
    started_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Doubt {
    began_at: Time,
    /// Time at which the last loss became known.
    last_at: Time,
}

/// Maximum number of target digests that are kept for a request.
const MAX_DIGESTS: usize = 32;
/// Maximum probability that a request which crashes no target has been lost on as many of them.
const MAX_CHANCE: f64 = 1e-6;
/// The same where the request isn't sent again after a loss, which costs one answer and not those of a minute.
const MAX_REPEATED_CHANCE: f64 = 1e-3;
/// Time within which losses that were taken for a failed path may turn out to be something else.
const UNCLEAR_TTL: Duration = Duration::from_secs(3);
/// Maximum number of events whose losses are kept for that.
const MAX_UNCLEAR: usize = 8;

impl Attribution {
    /// Returns an attribution that takes a request for a cause after losses on `max_losses` target
    /// incarnations.
    pub(super) fn new(max_losses: u32) -> Self {
        Self {
            max_losses: max_losses as usize,
            instances: 1,
            losses: BTreeMap::new(),
            deaths: Deaths::default(),
            unclear: Vec::new(),
            hearing: Duration::ZERO,
            doubtful: BTreeMap::new(),
            answers: RecentAnswers::default(),
            started_at: None,
        }
    }

    /// Sets how many instances there are, and for how long the others are asked before a request is taken for
    /// a cause.
    pub(super) fn set_instances(&mut self, instances: usize, hearing: Duration) {
        self.instances = instances as u64;
        self.hearing = hearing;
    }

    /// Tracks a request, without what is known of its losses.
    pub(super) fn track(&mut self, fingerprint: u64) {
        self.losses.insert(fingerprint, BTreeMap::new());
    }

    /// Tracks a request no longer.
    pub(super) fn forget(&mut self, fingerprint: u64) {
        self.losses.remove(&fingerprint);
    }

    /// Tracks no request any longer but those that `is_kept` selects.
    pub(super) fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(u64) -> bool,
    {
        self.losses.retain(|fingerprint, _| is_kept(*fingerprint));
    }

    /// Adds a loss of a tracked request.
    pub(super) fn add(&mut self, now: Time, LossReport { loss, age }: LossReport) {
        self.deaths.add(now, loss.target_digest);
        let digests = self.losses.entry(loss.fingerprint).or_default();
        if digests.len() < MAX_DIGESTS || digests.contains_key(&loss.target_digest) {
            let at = digests.entry(loss.target_digest).or_insert(Time::ZERO);
            *at = now.before(age).max(*at);
        }
    }

    /// Returns whether a request has enough losses and nothing speaks for it; where something does, it may be
    /// due later, see [`Attribution::take_clear`].
    pub(super) fn is_cause(&mut self, now: Time, fingerprint: u64) -> bool {
        if !self.has_enough(fingerprint) {
            return false;
        }
        let new = Doubt {
            began_at: now,
            last_at: now,
        };
        let doubt = self.doubtful.entry(fingerprint).or_insert(new);
        doubt.last_at = now;
        let required = self.required_losses(now);
        let is_cause = self.is_clear(now, fingerprint, required);
        if is_cause {
            self.doubtful.remove(&fingerprint);
        }
        is_cause
    }

    /// Returns the requests with enough losses for which nothing speaks any more, but for those that are held
    /// already.
    pub(super) fn take_clear<F>(&mut self, now: Time, is_held: F) -> Vec<u64>
    where
        F: Fn(u64) -> bool,
    {
        self.started_at.get_or_insert(now);
        self.doubtful
            .retain(|_, doubt| now - doubt.last_at < UNCLEAR_TTL);
        let doubtful: Vec<u64> = self.doubtful.keys().copied().collect();
        if doubtful.is_empty() {
            return doubtful;
        }
        let required = self.required_losses(now);
        let clear: Vec<u64> = doubtful
            .into_iter()
            .filter(|fingerprint| self.is_clear(now, *fingerprint, required))
            .filter(|fingerprint| !is_held(*fingerprint))
            .collect();
        for fingerprint in &clear {
            self.doubtful.remove(fingerprint);
        }
        clear
    }

    /// Counts an incarnation that has lost connections, whatever caused it.
    pub(super) fn count_death(&mut self, now: Time, target_digest: u64) {
        self.deaths.add(now, target_digest);
    }

    /// Counts losses of this instance.
    pub(super) fn count_own(&mut self, now: Time, losses: &[LossReport]) {
        for report in losses {
            self.deaths.add_own(now, report.loss.target_digest);
        }
    }

    /// Keeps losses that were taken for a failed path, in case another instance explains some of them.
    pub(super) fn suspend(&mut self, now: Time, losses: Vec<LossReport>) {
        self.unclear.retain(|(at, _)| now - *at < UNCLEAR_TTL);
        if self.unclear.len() < MAX_UNCLEAR && !losses.is_empty() {
            self.unclear.push((now, losses));
        }
    }

    /// Returns losses that were taken for a failed path but can't be: with what other requests
    /// explain, they concern too few targets.
    pub(super) fn take_cleared(&mut self, now: Time) -> Vec<LossReport> {
        self.unclear.retain(|(at, _)| now - *at < UNCLEAR_TTL);
        let mut cleared = Vec::new();
        let unclear = std::mem::take(&mut self.unclear);
        for (at, losses) in unclear {
            let left: Vec<LossReport> = losses
                .iter()
                .filter(|one| !self.is_explained(&one.loss))
                .copied()
                .collect();
            let targets: BTreeSet<u64> = left.iter().map(|one| one.loss.target_digest).collect();
            if targets.len() < MIN_PATH_TARGETS {
                let current = left.into_iter().map(|one| LossReport {
                    age: one.age + (now - at),
                    ..one
                });
                cleared.extend(current.filter(|one| !self.is_answered_since(now, one)));
            } else {
                self.unclear.push((at, losses));
            }
        }
        cleared
    }

    /// Records that this instance has got an answer to a request, which is tracked no longer.
    pub(super) fn record_answer(&mut self, now: Time, fingerprint: u64, told: Told) {
        self.deaths.record_answer(now);
        self.answers
            .insert(AnswerTime::exact(now), fingerprint, told);
        self.doubtful.remove(&fingerprint);
        self.forget(fingerprint);
    }

    /// Records that another instance has got an answer to a request.
    pub(super) fn record_remote_answer(&mut self, at: AnswerTime, fingerprint: u64) {
        self.answers.insert(at, fingerprint, Told::Again);
    }

    /// Returns whether a target is known to have answered a request since this loss.
    pub(super) fn is_answered_since(&self, now: Time, report: &LossReport) -> bool {
        let lost_at = now.before(report.age);
        self.answers
            .contains_since(lost_at, report.loss.fingerprint)
    }

    /// Returns whether a target has answered the request recently.
    pub(super) fn is_answered(&self, now: Time, fingerprint: u64) -> bool {
        self.answers.contains(now, fingerprint)
    }

    /// Forgets the losses of a request until a time, as they have other causes, and returns how many are left.
    pub(super) fn refute(&mut self, at: Time, fingerprint: u64) -> usize {
        if let Some(digests) = self.losses.get_mut(&fingerprint) {
            digests.retain(|_, lost_at| *lost_at > at);
        }
        if !self.has_enough(fingerprint) {
            self.doubtful.remove(&fingerprint);
        }
        self.count(fingerprint)
    }

    /// Returns whether a request has so many losses that it may be their cause.
    pub(super) fn has_enough(&self, fingerprint: u64) -> bool {
        self.count(fingerprint) >= self.max_losses
    }

    /// Returns when a target answered the request, if that was recently and the others know less of it than `told`;
    /// now it is reported.
    pub(super) fn tell(&mut self, now: Time, fingerprint: u64, told: Told) -> Option<Time> {
        self.answers.tell(now, fingerprint, told)
    }

    /// Returns whether a request was lost with this incarnation.
    pub(super) fn has_lost(&self, fingerprint: u64, target_digest: u64) -> bool {
        let digests = self.losses.get(&fingerprint);
        digests.is_some_and(|digests| digests.contains_key(&target_digest))
    }

    /// Returns whether there are losses enough for a quarantine, but other requests explain them.
    pub(super) fn is_cleared(&self, fingerprint: u64) -> bool {
        self.has_enough(fingerprint) && self.unexplained(fingerprint) < self.max_losses
    }

    /// Returns whether a request with enough losses is their cause: others have answered, no recent answer speaks
    /// for it, and no other requests explain its losses. One with an earlier answer needs `required`,
    /// and so does each while this instance is new.
    fn is_clear(&self, now: Time, fingerprint: u64, required: usize) -> bool {
        self.hears_until(fingerprint)
            .is_some_and(|until| now >= until)
            && self.is_suspected(now, fingerprint, required)
    }

    /// Returns how much longer the others are asked about a request with enough losses, for which nothing speaks yet.
    pub(super) fn hearing_left(&self, now: Time, fingerprint: u64) -> Option<Duration> {
        let until = self.hears_until(fingerprint)?;
        let is_suspected =
            now < until && self.is_suspected(now, fingerprint, self.required_losses(now));
        is_suspected.then(|| until - now)
    }

    /// Returns whether a request has so many losses that they are hardly by chance, though perhaps too few for a quarantine.
    pub(super) fn is_doubtful(&self, now: Time, fingerprint: u64) -> bool {
        if !self.has_enough(fingerprint) {
            return false;
        }
        let required = self.losses_beyond(now, MAX_REPEATED_CHANCE);
        let needed = self.needed_losses(now, fingerprint, required);
        self.has_unexplained(now, fingerprint, needed)
    }

    fn is_suspected(&self, now: Time, fingerprint: u64, required: usize) -> bool {
        let needed = self.needed_losses(now, fingerprint, required);
        self.has_unexplained(now, fingerprint, needed)
    }

    /// Returns how many losses a request needs where one that has been answered needs `required`.
    fn needed_losses(&self, now: Time, fingerprint: u64, required: usize) -> usize {
        let is_new = self
            .started_at
            .is_some_and(|started_at| now - started_at < WINDOW);
        if is_new || self.answers.contains_any(fingerprint) {
            required
        } else {
            self.max_losses
        }
    }

    /// Returns whether a request has this many losses that no other one explains, and no recent answer.
    fn has_unexplained(&self, now: Time, fingerprint: u64, count: usize) -> bool {
        !self.is_answered(now, fingerprint) && self.unexplained(fingerprint) >= count
    }

    fn hears_until(&self, fingerprint: u64) -> Option<Time> {
        let doubt = self.doubtful.get(&fingerprint)?;
        Some(doubt.began_at + self.hearing)
    }

    /// Returns on how many incarnations a request must have been lost for a quarantine.
    fn required_losses(&self, now: Time) -> usize {
        self.losses_beyond(now, MAX_CHANCE)
    }

    /// Returns on how many incarnations a request must have been lost, so that it hardly was by chance: more than
    /// the least number where targets also die without those that are suspected.
    fn losses_beyond(&self, now: Time, max_chance: f64) -> usize {
        let chance = self.chance_of_loss(now);
        let mut required = self.max_losses;
        while required < MAX_DIGESTS && chance.powf(required as f64) > max_chance {
            required += 1;
        }
        required
    }

    /// Returns the share of attempts that were lost of late on incarnations that no suspected request was on.
    fn chance_of_loss(&self, now: Time) -> f64 {
        let suspects: Vec<&BTreeMap<u64, Time>> = self.suspects(now).collect();
        let is_unexplained = |death: &&Death| {
            let mut suspects = suspects.iter();
            !suspects.any(|digests| digests.contains_key(&death.target_digest))
        };
        let (mut deaths, mut own_losses) = (0, 0);
        for death in self.deaths.recent(now).filter(is_unexplained) {
            deaths += 1;
            own_losses += death.own_losses;
        }
        // Other instances report their losses, but not how many of their attempts have been answered.
        let losses = (own_losses * self.instances).max(deaths) as f64;
        let answers = (self.deaths.answers(now) * self.instances) as f64;
        losses / (losses + answers).max(1.0)
    }

    /// Returns the losses of the requests that have enough of them and no recent answer.
    fn suspects(&self, now: Time) -> impl Iterator<Item = &BTreeMap<u64, Time>> {
        let suspects = self.losses.iter().filter(move |(fingerprint, digests)| {
            digests.len() >= self.max_losses && !self.is_answered(now, **fingerprint)
        });
        suspects.map(|(_, digests)| digests)
    }

    fn count(&self, fingerprint: u64) -> usize {
        self.losses.get(&fingerprint).map_or(0, BTreeMap::len)
    }

    /// Returns how many incarnations crashed by this request, unless another one explains them.
    fn unexplained(&self, fingerprint: u64) -> usize {
        let digests = self
            .losses
            .get(&fingerprint)
            .into_iter()
            .flat_map(BTreeMap::keys);
        let losses = digests.map(|digest| ConnectionLoss {
            fingerprint,
            target_digest: *digest,
        });
        losses.filter(|loss| !self.is_explained(loss)).count()
    }

    /// Returns whether another request that lost more incarnations since its last answer was on this one too.
    fn is_explained(&self, loss: &ConnectionLoss) -> bool {
        let own = self.count(loss.fingerprint).max(1);
        self.losses.iter().any(|(fingerprint, digests)| {
            *fingerprint != loss.fingerprint
                && digests.len() > own
                && digests.contains_key(&loss.target_digest)
        })
    }
}

//! Requests that targets have answered recently.

use std::{ops::Range, time::Duration};

use base::Time;

/// Remembers the requests that targets have answered recently, in sets of a few slots. One that has been answered
/// often stays for as many others that its set takes in.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    slots: Vec<Option<Answer>>,
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    fingerprint: u64,
    at: AnswerTime,
    told: Told,
    /// Answers to the request, less the requests that its set has taken in since.
    weight: u8,
}

/// When an answer was given, as exactly as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerTime {
    /// Earliest time; losses until then came before the answer.
    pub(super) earliest: Time,
    /// Latest time; the answer speaks for its request for some time from then on.
    pub(super) latest: Time,
}

/// What the other instances know of an answer, from little to much.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Told {
    /// Nothing.
    Not,
    /// They have been reported once.
    Once,
    /// They have been reported again after one of them had quarantined the request, or it is one of them that got it.
    Again,
}

/// Number of requests that are remembered at most.
const ANSWER_SLOTS: usize = 1024;
/// Number of slots in which a request may be remembered.
const SET_SLOTS: usize = 4;
/// Time for which an answer speaks for a request. Shorter than any time in which a request that begins
/// to crash its targets must be known.
const ANSWER_TTL: Duration = Duration::from_secs(2);

impl RecentAnswers {
    pub(super) fn insert(&mut self, at: AnswerTime, fingerprint: u64, told: Told) {
        self.slots.resize(ANSWER_SLOTS, None);
        let set = &mut self.slots[set_of(fingerprint)];
        let mut answer = Answer {
            fingerprint,
            at,
            told,
            weight: 1,
        };
        let mut known = set.iter_mut().flatten();
        if let Some(known) = known.find(|known| known.fingerprint == fingerprint) {
            answer.weight = known.weight.saturating_add(1);
            if known.at.latest > at.latest {
                (answer.at, answer.told) = (known.at, known.told);
            }
            answer.at.earliest = at.earliest.max(known.at.earliest);
            *known = answer;
            return;
        }
        for other in set.iter_mut().flatten() {
            other.weight = other.weight.saturating_sub(1);
        }
        let rank = |slot: &&mut Option<Answer>| slot.map(|other| (other.weight, other.at.latest));
        if let Some(lightest) = set.iter_mut().min_by_key(rank) {
            *lightest = Some(answer);
        }
    }

    /// Returns whether a target has answered the request within the last seconds.
    pub(super) fn contains(&self, now: Time, fingerprint: u64) -> bool {
        let answer = self.get(fingerprint);
        answer.is_some_and(|answer| answer.is_recent(now))
    }

    /// Returns whether an answer to the request is remembered, however old.
    pub(super) fn contains_any(&self, fingerprint: u64) -> bool {
        self.get(fingerprint).is_some()
    }

    /// Returns whether a target is known to have answered the request at this time or later.
    pub(super) fn contains_since(&self, at: Time, fingerprint: u64) -> bool {
        let answer = self.get(fingerprint);
        answer.is_some_and(|answer| answer.at.earliest >= at)
    }

    /// Returns the time of a recent answer of which the others know less than `told`, if there is one; now it is reported.
    pub(super) fn tell(&mut self, now: Time, fingerprint: u64, told: Told) -> Option<Time> {
        let set = self.slots.get_mut(set_of(fingerprint)).into_iter();
        let mut answers = set.flatten().flatten();
        let is_news = |answer: &&mut Answer| {
            answer.fingerprint == fingerprint && answer.is_recent(now) && answer.told < told
        };
        let news = answers.find(is_news)?;
        news.told = told;
        Some(news.at.latest)
    }

    fn get(&self, fingerprint: u64) -> Option<&Answer> {
        let set = self.slots.get(set_of(fingerprint))?;
        let mut answers = set.iter().flatten();
        answers.find(|answer| answer.fingerprint == fingerprint)
    }
}

impl AnswerTime {
    /// Returns the time of an answer that this instance got.
    pub(super) fn exact(at: Time) -> Self {
        Self {
            earliest: at,
            latest: at,
        }
    }
}

impl Answer {
    fn is_recent(&self, now: Time) -> bool {
        now - self.at.latest.min(now) < ANSWER_TTL
    }
}

fn set_of(fingerprint: u64) -> Range<usize> {
    let sets = (ANSWER_SLOTS / SET_SLOTS) as u64;
    let first = (fingerprint % sets) as usize * SET_SLOTS;
    first..first + SET_SLOTS
}

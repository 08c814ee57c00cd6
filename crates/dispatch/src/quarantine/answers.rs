//! Requests that targets have answered recently.

use std::time::Duration;

use base::Time;

/// Remembers the requests that targets have answered recently; one of them may hide another.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    slots: Vec<Option<Answer>>,
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    fingerprint: u64,
    at: Time,
    told: Told,
}

/// What the other instances know of an answer, from little to much.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Told {
    /// Nothing.
    Not,
    /// They have been told once.
    Once,
    /// They have been told again after one of them had quarantined the request, or it is one of them that got it.
    Again,
}

/// Number of requests that are remembered at most.
const ANSWER_SLOTS: usize = 1024;
/// Time for which an answer speaks for a request. Shorter than any time in which a request that begins
/// to crash its targets must be known.
const ANSWER_TTL: Duration = Duration::from_secs(2);

impl RecentAnswers {
    pub(super) fn insert(&mut self, now: Time, fingerprint: u64, told: Told) {
        self.slots.resize(ANSWER_SLOTS, None);
        self.slots[slot_of(fingerprint)] = Some(Answer {
            fingerprint,
            at: now,
            told,
        });
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

    /// Returns whether a target has answered the request at this time or later.
    pub(super) fn contains_since(&self, at: Time, fingerprint: u64) -> bool {
        self.get(fingerprint).is_some_and(|answer| answer.at >= at)
    }

    /// Returns whether there is a recent answer of which the others know less than `told`; now they are told.
    pub(super) fn tell(&mut self, now: Time, fingerprint: u64, told: Told) -> bool {
        let slot = self.slots.get_mut(slot_of(fingerprint));
        let answer = slot.and_then(Option::as_mut);
        let is_news = |answer: &&mut Answer| {
            answer.fingerprint == fingerprint && answer.is_recent(now) && answer.told < told
        };
        let news = answer.filter(is_news);
        news.map(|answer| answer.told = told).is_some()
    }

    fn get(&self, fingerprint: u64) -> Option<&Answer> {
        let answer = self.slots.get(slot_of(fingerprint))?.as_ref();
        answer.filter(|answer| answer.fingerprint == fingerprint)
    }
}

impl Answer {
    fn is_recent(&self, now: Time) -> bool {
        now - self.at < ANSWER_TTL
    }
}

fn slot_of(fingerprint: u64) -> usize {
    (fingerprint % ANSWER_SLOTS as u64) as usize
}

//! Requests that targets have answered recently.

use std::time::Duration;

use base::Time;

/// Remembers the requests that targets have answered recently; one of them may hide another.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    slots: Vec<(u64, Time)>,
}

/// Number of requests that are remembered at most.
const ANSWER_SLOTS: usize = 1024;
/// Time for which an answer speaks for a request. Shorter than any time in which a request that begins
/// to crash its targets must be known.
const ANSWER_TTL: Duration = Duration::from_secs(2);

impl RecentAnswers {
    pub(super) fn insert(&mut self, now: Time, fingerprint: u64) {
        self.slots.resize(ANSWER_SLOTS, (0, Time::ZERO));
        self.slots[slot_of(fingerprint)] = (fingerprint, now);
    }

    pub(super) fn contains(&self, now: Time, fingerprint: u64) -> bool {
        let slot = self.slots.get(slot_of(fingerprint));
        slot.is_some_and(|(found, at)| *found == fingerprint && now - *at < ANSWER_TTL)
    }
}

fn slot_of(fingerprint: u64) -> usize {
    (fingerprint % ANSWER_SLOTS as u64) as usize
}

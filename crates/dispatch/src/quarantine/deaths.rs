//! How often targets have died of late, and how often requests have been answered.

use std::{collections::VecDeque, time::Duration};

use base::Time;

/// Counts the target incarnations that have lost connections of late, and the requests that have been answered.
#[derive(Debug, Clone, Default)]
pub(super) struct Deaths {
    incarnations: VecDeque<Death>,
    /// Answers that this instance got, each number with the time of the first of them.
    answers: VecDeque<(Time, u64)>,
}

/// A target incarnation that has lost connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct Death {
    /// Time at which its first loss became known.
    at: Time,
    pub(super) target_digest: u64,
    /// Connections that it lost with this instance.
    pub(super) own_losses: u64,
}

/// Time for which deaths and answers are counted.
pub(super) const WINDOW: Duration = Duration::from_secs(10);
/// Time for which answers are counted together.
const STEP: Duration = Duration::from_secs(1);
/// Maximum number of incarnations that are counted.
const MAX_INCARNATIONS: usize = 256;

impl Deaths {
    /// Adds a loss that some instance has reported.
    pub(super) fn add(&mut self, now: Time, target_digest: u64) {
        let is_known = self
            .incarnations
            .iter()
            .any(|one| one.target_digest == target_digest);
        if is_known {
            return;
        }
        if self.incarnations.len() == MAX_INCARNATIONS {
            self.incarnations.pop_front();
        }
        self.incarnations.push_back(Death {
            at: now,
            target_digest,
            own_losses: 0,
        });
    }

    /// Adds a loss of this instance.
    pub(super) fn add_own(&mut self, now: Time, target_digest: u64) {
        self.add(now, target_digest);
        let mut known = self.incarnations.iter_mut();
        if let Some(death) = known.find(|one| one.target_digest == target_digest) {
            death.own_losses += 1;
        }
    }

    /// Records that a target has answered a request of this instance.
    pub(super) fn record_answer(&mut self, now: Time) {
        while self
            .answers
            .front()
            .is_some_and(|(at, _)| now - *at >= WINDOW)
        {
            self.answers.pop_front();
        }
        match self.answers.back_mut() {
            Some((at, count)) if now - *at < STEP => *count += 1,
            _ => self.answers.push_back((now, 1)),
        }
    }

    /// Returns how many requests of this instance targets have answered of late.
    pub(super) fn answers(&self, now: Time) -> u64 {
        let recent = self.answers.iter().filter(|(at, _)| now - *at < WINDOW);
        recent.map(|(_, count)| count).sum()
    }

    /// Returns the incarnations that have died of late.
    pub(super) fn recent(&self, now: Time) -> impl Iterator<Item = &Death> {
        let recent = self.incarnations.iter().rev();
        recent.take_while(move |death| now - death.at < WINDOW)
    }
}

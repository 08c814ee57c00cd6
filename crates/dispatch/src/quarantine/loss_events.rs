//! Events of lost connections, and whether requests or the path to the targets caused them.

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

/// Reports a lost connection, and how long ago it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// The loss.
    pub loss: ConnectionLoss,
    /// Time since the connection ended; for a loss of another instance that does not report it, zero.
    pub age: Duration,
}

impl From<ConnectionLoss> for LossReport {
    fn from(loss: ConnectionLoss) -> Self {
        let age = Duration::ZERO;
        Self { loss, age }
    }
}

/// Collects lost connections until their event is over, and separates those that requests caused from
/// those of a failed path.
///
/// Losses that follow each other closely are one event. What was in flight together may have been lost
/// with the path to the targets. A request that was sent again after a loss, so over a path that
/// worked, and lost the next target as well explains the losses on all of these targets: they aren't the
/// path's. Which request caused each of them is decided by [`Quarantine`](crate::Quarantine),
/// which knows what other instances have lost.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{ConnectionLoss, LossCollector, LostAttempt};
/// use std::time::Duration;
///
/// let mut losses = LossCollector::default();
/// let lost = |number, fingerprint, target| LostAttempt {
///     number,
///     target,
///     loss: ConnectionLoss { fingerprint, target_digest: target },
/// };
/// // Three targets at once: the path.
/// for target in 1..=3 {
///     losses.add(Time::from_millis(100), 10, lost(target, 7, target));
/// }
/// let causes = losses.take_due(Time::from_millis(300));
/// assert_eq!((causes.requests.len(), causes.path.len()), (0, 3));
///
/// // One after the other, by the same request; request 8 was on one of them.
/// losses.add(Time::from_millis(500), 22, lost(22, 7, 1));
/// losses.add(Time::from_millis(505), 23, lost(23, 7, 2));
/// losses.add(Time::from_millis(505), 23, lost(20, 8, 2));
/// losses.add(Time::from_millis(510), 24, lost(24, 7, 3));
/// let lost = losses.take_due(Time::from_millis(700)).requests;
/// assert_eq!(lost.iter().filter(|one| one.loss.fingerprint == 7).count(), 3);
/// assert_eq!(lost.len(), 4);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LossCollector {
    event: Option<LossEvent>,
}

/// Losses that follow each other closely.
#[derive(Debug, Clone)]
struct LossEvent {
    began_at: Time,
    last_at: Time,
    /// Losses in their order.
    lost: Vec<EventLoss>,
    /// Numbers of the attempts whose requests have been answered since.
    answered: BTreeSet<u64>,
}

#[derive(Debug, Clone, Copy)]
struct EventLoss {
    at: Time,
    /// Number of attempts that had been sent until then.
    sent: u64,
    attempt: LostAttempt,
}

/// Describes an attempt whose connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostAttempt {
    /// Number of the attempt among all that this instance has sent, in their order.
    pub number: u64,
    /// Digest of the target and, where it is known, of its incarnation.
    pub target: u64,
    /// What is recorded if requests caused the loss.
    pub loss: ConnectionLoss,
}

/// Separates the losses of an event by their cause.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossCauses {
    /// Losses caused by requests.
    pub requests: Vec<LossReport>,
    /// Losses with requests that have been answered since, caused by others or by the targets themselves.
    pub answered: Vec<LossReport>,
    /// Losses caused by a failed path to the targets, by what this instance knows.
    pub path: Vec<LossReport>,
}

/// Time between two losses within which they belong to one event.
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Maximum time of an event, after which its losses are attributed.
const MAX_EVENT_TIME: Duration = Duration::from_millis(300);
/// Targets that must lose connections in one event, with nothing else to explain it, for it to count
/// as a failure of the path.
pub(super) const MIN_PATH_TARGETS: usize = 3;
/// Targets that a request must have lost in one event to explain the losses on them.
const MIN_EXPLAINED_TARGETS: usize = 2;
/// Requests that may together explain an event; more of them show a path that fails again and again.
const MAX_EXPLAINING_REQUESTS: usize = 2;

impl LossCollector {
    /// Adds the loss of a connection; this instance had sent `sent` attempts by then.
    pub fn add(&mut self, now: Time, sent: u64, attempt: LostAttempt) {
        let event = self.event.get_or_insert_with(|| LossEvent {
            began_at: now,
            last_at: now,
            lost: Vec::new(),
            answered: BTreeSet::new(),
        });
        event.last_at = now;
        event.lost.push(EventLoss {
            at: now,
            sent,
            attempt,
        });
    }

    /// Records that a target has answered a request at a time, which so caused none of its losses until then.
    pub fn record_answer(&mut self, at: Time, fingerprint: u64) {
        if let Some(event) = &mut self.event {
            let lost = event.lost.iter().filter(|one| one.at <= at);
            let refuted = lost
                .map(|one| one.attempt)
                .filter(|one| one.loss.fingerprint == fingerprint);
            event.answered.extend(refuted.map(|one| one.number));
        }
    }

    /// Returns the losses of an event by their cause, once it is over.
    pub fn take_due(&mut self, now: Time) -> LossCauses {
        let is_over = |event: &mut LossEvent| {
            now - event.last_at >= EVENT_GAP || now - event.began_at >= MAX_EVENT_TIME
        };
        self.event
            .take_if(is_over)
            .map(|event| attribute(now, event))
            .unwrap_or_default()
    }
}

fn attribute(now: Time, event: LossEvent) -> LossCauses {
    let mut causes = Vec::new();
    let mut left = event.lost;
    let mut explaining = 0;
    while let Some(targets) = best_explanation(&left) {
        explaining += 1;
        if explaining > MAX_EXPLAINING_REQUESTS {
            return LossCauses::default();
        }
        let (explained, rest): (Vec<_>, Vec<_>) = left
            .into_iter()
            .partition(|one| targets.contains(&one.attempt.target));
        causes.extend(explained);
        left = rest;
    }
    let targets: BTreeSet<u64> = left.iter().map(|one| one.attempt.target).collect();
    if targets.len() < MIN_PATH_TARGETS {
        causes.append(&mut left);
    }
    let is_answered = |one: &EventLoss| event.answered.contains(&one.attempt.number);
    let (answered, requests) = causes.into_iter().partition(is_answered);
    LossCauses {
        requests: reports(now, requests),
        answered: reports(now, answered),
        path: reports(now, left),
    }
}

fn reports(now: Time, lost: Vec<EventLoss>) -> Vec<LossReport> {
    let reports = lost.into_iter().map(|one| LossReport {
        loss: one.attempt.loss,
        age: now - one.at,
    });
    reports.collect()
}

/// Returns the targets that one request explains, as many as possible: it lost one after the other,
/// each sent after the loss of the one before.
fn best_explanation(lost: &[EventLoss]) -> Option<BTreeSet<u64>> {
    let mut chains: BTreeMap<u64, Chain> = BTreeMap::new();
    for EventLoss { sent, attempt, .. } in lost {
        let chain = chains.entry(attempt.loss.fingerprint).or_default();
        // What was in flight at the loss before may have been lost with the same path.
        if attempt.number > chain.sent_at_loss {
            chain.targets.insert(attempt.target);
            chain.sent_at_loss = *sent;
        }
    }
    chains
        .into_values()
        .map(|chain| chain.targets)
        .filter(|targets| targets.len() >= MIN_EXPLAINED_TARGETS)
        .max_by_key(BTreeSet::len)
}

/// Losses of one request that followed from each other.
#[derive(Debug, Default)]
struct Chain {
    targets: BTreeSet<u64>,
    /// Number of attempts of all requests that had been sent at the last of these losses.
    sent_at_loss: u64,
}

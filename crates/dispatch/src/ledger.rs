//! The record of non-idempotent actions that ensures that each runs at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Incarnation, InstanceId, Time, WorkspaceId};
use chart::{Chart, ChartError};
use serde::{Deserialize, Serialize};

use crate::action_chart;

/// Identifies an action by its workspace and the idempotency key that the caller chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ActionKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key.
    pub key: String,
}

/// Identifies the one request that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claimer {
    /// Instance that runs the request.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Number of the request within that incarnation.
    pub request: u64,
}

/// Lists the states of an action; `charts/action.json` holds the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionState {
    /// One request holds the claim and has not sent the action yet.
    Claimed,
    /// The action is being sent, or has been sent, to a target.
    Running,
    /// The action did not run and may be claimed again.
    Released,
    /// The action has run and its response is stored.
    Done,
    /// The action may have run.
    Unknown,
}

/// Lists the events that change an action's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionEvent {
    /// A request claims the action.
    Claim,
    /// The action is about to be sent.
    Sent,
    /// The action certainly did not run.
    NotRun,
    /// The response arrived.
    Answered,
    /// The outcome can't be determined.
    Lost,
}

/// Keeps the response to an action, so that repeated requests get the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Lists the results of an attempt to claim an action.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimer, and no other, may send the action.
    Granted,
    /// Another request holds the claim or is running the action.
    InProgress,
    /// The action has run with this response.
    Done(SavedAnswer),
    /// The action may have run.
    Unknown,
    /// The idempotency key has been used for a different request.
    Reused,
    /// This claimer has already released its claim.
    Stale,
}

#[derive(Debug, Clone)]
struct Entry {
    state: ActionState,
    claimer: Claimer,
    fingerprint: u64,
    answer: Option<SavedAnswer>,
    expires_at: Time,
}

/// Stores the actions that this instance is responsible for.
///
/// # Examples
///
/// ```
/// use base::{Incarnation, Time};
/// use dispatch::{ActionKey, ClaimOutcome, Claimer, Ledger};
/// use std::time::Duration;
///
/// let mut ledger = Ledger::new(Duration::from_secs(600), Duration::from_secs(30)).unwrap();
/// let key = ActionKey { workspace: "w".into(), key: "k".into() };
/// let one = Claimer { instance: "a".into(), incarnation: Incarnation(1), request: 1 };
/// let two = Claimer { request: 2, ..one.clone() };
/// assert_eq!(ledger.claim(Time::ZERO, &key, &one, 7), ClaimOutcome::Granted);
/// assert_eq!(ledger.claim(Time::ZERO, &key, &two, 7), ClaimOutcome::InProgress);
/// ```
#[derive(Debug)]
pub struct Ledger {
    chart: Chart<ActionState, ActionEvent>,
    entries: BTreeMap<ActionKey, Entry>,
    expiries: BTreeSet<(Time, ActionKey)>,
    retention: Duration,
    claim_timeout: Duration,
}

impl Ledger {
    /// Returns an empty ledger that keeps finished actions for `retention` and marks an action as
    /// unknown once its claimer has been silent for `claim_timeout`.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if the action's state chart can't be parsed.
    pub fn new(retention: Duration, claim_timeout: Duration) -> Result<Self, ChartError> {
        Ok(Self {
            chart: action_chart()?,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            retention,
            claim_timeout,
        })
    }

    /// Claims an action for `claimer`; a claimer that asks again before sending is granted it
    /// again.
    ///
    /// `fingerprint` is a digest of the request; the same key with another one is refused as
    /// [`ClaimOutcome::Reused`].
    pub fn claim(
        &mut self,
        now: Time,
        key: &ActionKey,
        claimer: &Claimer,
        fingerprint: u64,
    ) -> ClaimOutcome {
        self.expire(now);
        let Some(entry) = self.entries.get(key) else {
            self.insert(now, key, claimer, fingerprint);
            return ClaimOutcome::Granted;
        };
        if entry.fingerprint != fingerprint {
            return ClaimOutcome::Reused;
        }
        let is_own = entry.claimer == *claimer;
        match entry.state {
            ActionState::Claimed if is_own => ClaimOutcome::Granted,
            ActionState::Claimed | ActionState::Running => ClaimOutcome::InProgress,
            ActionState::Released if is_own => ClaimOutcome::Stale,
            ActionState::Released => {
                self.insert(now, key, claimer, fingerprint);
                ClaimOutcome::Granted
            }
            ActionState::Unknown => ClaimOutcome::Unknown,
            ActionState::Done => entry
                .answer
                .clone()
                .map_or(ClaimOutcome::Unknown, ClaimOutcome::Done),
        }
    }

    /// Applies an event to an action and returns whether its state changed.
    ///
    /// Events are ignored unless they come from the request that holds the claim.
    pub fn apply_event(
        &mut self,
        now: Time,
        key: &ActionKey,
        claimer: &Claimer,
        event: ActionEvent,
        answer: Option<SavedAnswer>,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if entry.claimer != *claimer {
            return false;
        }
        let Some(&next) = self.chart.next(&entry.state, &event) else {
            return false;
        };
        entry.state = next;
        entry.answer = answer.or_else(|| entry.answer.take());
        let ttl = match next {
            ActionState::Claimed | ActionState::Running => self.claim_timeout,
            ActionState::Released | ActionState::Done | ActionState::Unknown => self.retention,
        };
        self.expiries.remove(&(entry.expires_at, key.clone()));
        entry.expires_at = now + ttl;
        self.expiries.insert((entry.expires_at, key.clone()));
        true
    }

    /// Marks the unfinished actions of an instance's incarnation that has ended as unknown.
    pub fn instance_ended(&mut self, now: Time, instance: &InstanceId, incarnation: Incarnation) {
        let claims: Vec<(ActionKey, Claimer)> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.claimer.instance == *instance && entry.claimer.incarnation == incarnation
            })
            .map(|(key, entry)| (key.clone(), entry.claimer.clone()))
            .collect();
        for (key, claimer) in claims {
            self.apply_event(now, &key, &claimer, ActionEvent::Lost, None);
        }
    }

    /// Removes finished actions after their retention and marks actions whose claim has timed out
    /// as unknown.
    pub fn expire(&mut self, now: Time) {
        while let Some((expires_at, key)) = self.expiries.first().cloned() {
            if expires_at > now {
                return;
            }
            let Some(entry) = self.entries.get(&key) else {
                self.expiries.pop_first();
                continue;
            };
            let claimer = entry.claimer.clone();
            if !self.apply_event(now, &key, &claimer, ActionEvent::Lost, None) {
                self.expiries.pop_first();
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the number of stored actions.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no action is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, now: Time, key: &ActionKey, claimer: &Claimer, fingerprint: u64) {
        let expires_at = now + self.claim_timeout;
        let entry = Entry {
            state: ActionState::Claimed,
            claimer: claimer.clone(),
            fingerprint,
            answer: None,
            expires_at,
        };
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.expiries.remove(&(old.expires_at, key.clone()));
        }
        self.expiries.insert((expires_at, key.clone()));
    }
}

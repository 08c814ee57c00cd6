//! The record of non-idempotent actions that makes each run at most once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Incarnation, InstanceId, Time, WorkspaceId};
use chart::{Chart, ChartError};
use serde::{Deserialize, Serialize};

use crate::action_chart;

/// Names an action: a workspace and the idempotency key that its caller chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ActionKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key.
    pub key: String,
}

/// Names the one request that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claimer {
    /// Instance that runs the request.
    pub instance: InstanceId,
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Number of the request within that life.
    pub request: u64,
}

/// Lists the states of an action; `charts/action.json` holds the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionState {
    /// One request may send it; it has not been sent.
    Claimed,
    /// It has been sent to a target.
    Running,
    /// It was not run and may be claimed anew.
    Released,
    /// Its answer is known.
    Done,
    /// It may have run.
    Unknown,
}

/// Lists what changes an action's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionEvent {
    /// A request claims it.
    Claim,
    /// It is about to be sent.
    Sent,
    /// It certainly did not run.
    NotRun,
    /// Its answer came.
    Answered,
    /// Its outcome can't be told.
    Lost,
}

/// Holds the first answer, for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers by name.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Answers a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimer, and no other, may send the action.
    Granted,
    /// Another request holds the claim or runs the action.
    InProgress,
    /// The action has run; this was its answer.
    Done(SavedAnswer),
    /// The action may have run.
    Unknown,
    /// The idempotency key came before with another request.
    Reused,
    /// This claimer has given the claim up before.
    Stale,
}

#[derive(Debug, Clone)]
struct Entry {
    state: ActionState,
    claimer: Claimer,
    fingerprint: u64,
    answer: Option<SavedAnswer>,
    until: Time,
}

/// Remembers the actions whose home is this instance.
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
    /// Returns an empty ledger that keeps ended actions for `retention` and counts a claim whose
    /// claimer has been silent for `claim_timeout` as unknown.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the action's chart can't be read.
    pub fn new(retention: Duration, claim_timeout: Duration) -> Result<Self, ChartError> {
        Ok(Self {
            chart: action_chart()?,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            retention,
            claim_timeout,
        })
    }

    /// Claims an action for `claimer`; the same claimer may ask again and gets the same answer.
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

    /// Takes in what became of an action; only its claimer's word counts.
    ///
    /// Returns whether the state changed.
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
        let life = match next {
            ActionState::Claimed | ActionState::Running => self.claim_timeout,
            ActionState::Released | ActionState::Done | ActionState::Unknown => self.retention,
        };
        self.expiries.remove(&(entry.until, key.clone()));
        entry.until = now + life;
        self.expiries.insert((entry.until, key.clone()));
        true
    }

    /// Counts the open claims of an ended life of an instance as unknown.
    pub fn instance_ended(&mut self, now: Time, instance: &InstanceId, incarnation: Incarnation) {
        let open: Vec<(ActionKey, Claimer)> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.claimer.instance == *instance && entry.claimer.incarnation == incarnation
            })
            .map(|(key, entry)| (key.clone(), entry.claimer.clone()))
            .collect();
        for (key, claimer) in open {
            self.apply_event(now, &key, &claimer, ActionEvent::Lost, None);
        }
    }

    /// Forgets ended actions after their retention and counts silent claims as unknown.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, key)) = self.expiries.first().cloned() {
            if until > now {
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

    /// Returns the number of remembered actions.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no action is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, now: Time, key: &ActionKey, claimer: &Claimer, fingerprint: u64) {
        let until = now + self.claim_timeout;
        let entry = Entry {
            state: ActionState::Claimed,
            claimer: claimer.clone(),
            fingerprint,
            answer: None,
            until,
        };
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.expiries.remove(&(old.until, key.clone()));
        }
        self.expiries.insert((until, key.clone()));
    }
}

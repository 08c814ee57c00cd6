//! State whose version only ever rises, with how fresh an instance's view of it is.

use std::time::Duration;

use base::Time;
use serde::{Deserialize, Serialize};

/// Names one version of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the version, from one.
    pub version: u64,
    /// Digest of the object that holds it.
    pub digest: String,
}

/// Tells what to do with an offered head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer: fetch its object.
    Fetch,
    /// It is in force already.
    Active,
    /// It is older than what is in force and is ignored.
    Older,
    /// It was found unusable before; the version in force stays.
    Rejected,
    /// It has the version in force with another digest, which must never happen.
    Forked,
}

/// Tells how an instance stands towards the state's latest version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// No version is in force yet.
    Empty,
    /// The version in force was confirmed lately, directly or through others.
    Fresh,
    /// Nobody can confirm it, the others neither.
    Unconfirmed,
    /// Nobody can confirm it, and none of the others is heard.
    Isolated,
}

/// Follows a versioned state on behalf of one instance.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Head, OfferOutcome, VersionTracker};
/// use std::time::Duration;
///
/// let mut state = VersionTracker::new(Duration::from_secs(4));
/// let head = Head { version: 2, digest: "b".into() };
/// assert_eq!(state.classify_offer(&head), OfferOutcome::Fetch);
/// state.activate(Time::ZERO, head);
/// let old = Head { version: 1, digest: "a".into() };
/// assert_eq!(state.classify_offer(&old), OfferOutcome::Older);
/// ```
#[derive(Debug, Clone)]
pub struct VersionTracker {
    limit: Duration,
    in_force: Option<Head>,
    confirmed_at: Option<Time>,
    rejected: Option<Head>,
}

impl VersionTracker {
    /// Returns a state with no version, whose confirmations count as fresh for `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            in_force: None,
            confirmed_at: None,
            rejected: None,
        }
    }

    /// Returns the version in force.
    pub fn active(&self) -> Option<&Head> {
        self.in_force.as_ref()
    }

    /// Returns the number of the version in force, zero where there is none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |head| head.version)
    }

    /// Returns the version that was found unusable and is newer than the one in force.
    pub fn rejected(&self) -> Option<&Head> {
        self.rejected.as_ref()
    }

    /// Tells what to do with a head that the table or another instance offers.
    pub fn classify_offer(&self, head: &Head) -> OfferOutcome {
        if self.rejected.as_ref() == Some(head) {
            return OfferOutcome::Rejected;
        }
        let Some(current) = &self.in_force else {
            return OfferOutcome::Fetch;
        };
        if head.version > current.version {
            OfferOutcome::Fetch
        } else if head.version < current.version {
            OfferOutcome::Older
        } else if head.digest == current.digest {
            OfferOutcome::Active
        } else {
            OfferOutcome::Forked
        }
    }

    /// Puts a version in force and returns whether it was newer than the last one.
    pub fn activate(&mut self, at: Time, head: Head) -> bool {
        if head.version <= self.version() {
            return false;
        }
        if self
            .rejected
            .as_ref()
            .is_some_and(|old| old.version <= head.version)
        {
            self.rejected = None;
        }
        self.in_force = Some(head);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        true
    }

    /// Keeps an unusable version out.
    pub fn reject(&mut self, head: Head) {
        if head.version > self.version() {
            self.rejected = Some(head);
        }
    }

    /// Records that at time `at` no version later than `version` existed.
    ///
    /// `at` is when the question was sent, not when its answer came.
    pub fn on_confirmation(&mut self, at: Time, version: u64) {
        let is_current = version == self.version() && self.in_force.is_some();
        let is_kept_out = self
            .rejected
            .as_ref()
            .is_some_and(|head| head.version == version);
        if is_current || is_kept_out {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the time since the version in force was confirmed.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Tells how this instance stands, given how many others there are and are heard.
    pub fn freshness(&self, now: Time, others_known: usize, others_heard: usize) -> Freshness {
        if self.in_force.is_none() {
            return Freshness::Empty;
        }
        let is_fresh = self
            .confirmation_age(now)
            .is_some_and(|ago| ago <= self.limit);
        if is_fresh {
            Freshness::Fresh
        } else if others_known > 0 && others_heard == 0 {
            Freshness::Isolated
        } else {
            Freshness::Unconfirmed
        }
    }
}

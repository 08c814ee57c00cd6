//! State with a monotonically increasing version, and the freshness of an instance's copy.

use std::time::Duration;

use base::Time;
use serde::{Deserialize, Serialize};

/// Identifies one version of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the version, from one.
    pub version: u64,
    /// Digest of the object that contains it.
    pub digest: String,
}

/// Classifies an offered head against the active version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is newer, and its object has to be fetched.
    Fetch,
    /// It is already active.
    Active,
    /// It is older than the active version and is ignored.
    Older,
    /// It was found unusable before; the active version stays.
    Rejected,
    /// It has the active version but another digest, which must never happen.
    Forked,
}

/// Indicates whether an instance's active version is known to be the latest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// No version is active yet.
    Empty,
    /// The active version was confirmed recently, by the table or by another instance.
    Fresh,
    /// The active version was not confirmed recently, neither by the table nor by another instance.
    Unconfirmed,
    /// As [`Freshness::Unconfirmed`], and no other instance is reachable.
    Isolated,
}

/// Tracks the active version of a state on behalf of one instance.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Head, OfferOutcome, VersionTracker};
/// use std::time::Duration;
///
/// let mut tracker = VersionTracker::new(Duration::from_secs(4));
/// let head = Head { version: 2, digest: "b".into() };
/// assert_eq!(tracker.classify_offer(&head), OfferOutcome::Fetch);
/// tracker.activate(Time::ZERO, head);
/// let old = Head { version: 1, digest: "a".into() };
/// assert_eq!(tracker.classify_offer(&old), OfferOutcome::Older);
/// ```
#[derive(Debug, Clone)]
pub struct VersionTracker {
    max_confirmation_age: Duration,
    active: Option<Head>,
    confirmed_at: Option<Time>,
    rejected: Option<Head>,
}

impl VersionTracker {
    /// Returns a tracker without a version, for which a confirmation is fresh until it reaches the
    /// maximum age.
    pub fn new(max_confirmation_age: Duration) -> Self {
        Self {
            max_confirmation_age,
            active: None,
            confirmed_at: None,
            rejected: None,
        }
    }

    /// Returns the active version.
    pub fn active(&self) -> Option<&Head> {
        self.active.as_ref()
    }

    /// Returns the number of the active version, or zero if there is none.
    pub fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |head| head.version)
    }

    /// Returns the unusable version that is newer than the active one, if any.
    pub fn rejected(&self) -> Option<&Head> {
        self.rejected.as_ref()
    }

    /// Classifies a head that the table or another instance offers.
    pub fn classify_offer(&self, head: &Head) -> OfferOutcome {
        if self.rejected.as_ref() == Some(head) {
            return OfferOutcome::Rejected;
        }
        let Some(current) = &self.active else {
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

    /// Activates a version that was confirmed at time `at`, if it is newer than the active one, and
    /// returns whether it is.
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
        self.active = Some(head);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        true
    }

    /// Marks a version as unusable, so that it is not fetched again.
    pub fn reject(&mut self, head: Head) {
        if head.version > self.version() {
            self.rejected = Some(head);
        }
    }

    /// Records that at time `at` no version later than `version` existed.
    ///
    /// `at` is the time at which the query was sent, not the time at which its answer arrived.
    pub fn on_confirmation(&mut self, at: Time, version: u64) {
        let is_current = version == self.version() && self.active.is_some();
        let is_rejected = self
            .rejected
            .as_ref()
            .is_some_and(|head| head.version == version);
        if is_current || is_rejected {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the time at which it was last confirmed that no newer usable version existed.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    /// Returns the time since the last confirmation that no newer usable version existed.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Returns the freshness of the active version, given how many other instances are known and
    /// how many of them are reachable.
    pub fn freshness(&self, now: Time, peers_known: usize, peers_reachable: usize) -> Freshness {
        if self.active.is_none() {
            return Freshness::Empty;
        }
        let is_fresh = self
            .confirmation_age(now)
            .is_some_and(|age| age <= self.max_confirmation_age);
        if is_fresh {
            Freshness::Fresh
        } else if peers_known > 0 && peers_reachable == 0 {
            Freshness::Isolated
        } else {
            Freshness::Unconfirmed
        }
    }
}

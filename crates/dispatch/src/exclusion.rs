//! Reasons for which a target gets no new work.

use std::collections::BTreeSet;

/// Lists the reasons for which a target gets no new work; each is entered and left by its own source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionReason {
    /// The configuration has no entry of the target, or one that marks it as leaving.
    Entry,
    /// An operator has taken the target, its failure domain or its region out of service.
    Drained,
    /// The target has reported itself that it is leaving, and no later report contradicts it.
    OwnWord,
    /// The platform's list of machines says that it is leaving, and its health endpoint has not said
    /// otherwise since.
    Listed,
}

/// Decides whether a target is in service: it is while there is no reason against it.
///
/// # Examples
///
/// ```
/// use dispatch::{ExclusionReason, Exclusions};
///
/// let mut exclusions = Exclusions::default();
/// exclusions.set(ExclusionReason::Drained, true);
/// exclusions.set(ExclusionReason::Entry, true);
/// assert!(!exclusions.set(ExclusionReason::Entry, false));
/// assert!(exclusions.set(ExclusionReason::Drained, false));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Exclusions {
    reasons: BTreeSet<ExclusionReason>,
}

impl Exclusions {
    /// Returns whether there is no reason.
    pub fn is_empty(&self) -> bool {
        self.reasons.is_empty()
    }

    /// Returns whether this is one of the reasons.
    pub fn contains(&self, reason: ExclusionReason) -> bool {
        self.reasons.contains(&reason)
    }

    /// Adds or removes a reason, and returns whether its removal was that of the last one.
    pub fn set(&mut self, reason: ExclusionReason, holds: bool) -> bool {
        if holds {
            self.reasons.insert(reason);
            return false;
        }
        self.reasons.remove(&reason) && self.reasons.is_empty()
    }
}

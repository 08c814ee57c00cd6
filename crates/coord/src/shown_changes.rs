//! Changes of a state that have been shown, and whose content isn't known.

use base::{Position, Time};

/// Maximum number of changes that are kept.
const MAX_SHOWN: usize = 8;

/// A change of a state of which an instance knows, whether or not it has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownChange {
    /// Position of the change, or one that the change has passed.
    pub position: Position,
    /// Time since which it has been known that there is such a change.
    pub since: Time,
}

/// Keeps changes of a state of which nothing but a position that they have passed is known, in bounded memory.
///
/// A change counts until the own copy has one after that position, or a read that was sent since is answered.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{KnownChange, ShownChanges};
///
/// let mut shown = ShownChanges::default();
/// let change = KnownChange { position: Position::from(7), since: Time::from_secs(1) };
/// shown.record(Time::from_secs(2), change);
/// shown.on_last_change(Position::from(7));
/// assert_eq!(shown.first(), Some(change));
/// shown.on_last_change(Position::from(8));
/// assert_eq!(shown.first(), None);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShownChanges {
    /// The position that each has passed, and since when it has been known.
    changes: Vec<KnownChange>,
    /// Position of the last change that the own copy has.
    last_change: Position,
}

impl ShownChanges {
    /// Records a change after a position, unless the own copy has one.
    pub fn record(&mut self, now: Time, change: KnownChange) {
        if change.position < self.last_change {
            return;
        }
        let since = change.since.min(now);
        let mut known = self.changes.iter_mut();
        if let Some(known) = known.find(|known| known.position == change.position) {
            known.since = known.since.min(since);
        } else if self.changes.len() < MAX_SHOWN {
            // The time counts from the first ones, and few are known at once.
            self.changes.push(KnownChange { since, ..change });
        }
    }

    /// Records the position of the last change that the own copy has.
    pub fn on_last_change(&mut self, position: Position) {
        self.last_change = position;
        self.changes.retain(|change| change.position >= position);
    }

    /// Records that a read that was sent at `sent_at` has been answered.
    pub fn on_read(&mut self, sent_at: Time) {
        self.changes.retain(|change| change.since >= sent_at);
    }

    /// Forgets all changes.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// Returns the change that has been known for longest.
    pub fn first(&self) -> Option<KnownChange> {
        let changes = self.changes.iter().copied();
        changes.min_by_key(|change| change.since)
    }

    /// Returns since when a change has been known that may be the one at `position`.
    pub(crate) fn since_before(&self, position: Position) -> Option<Time> {
        let changes = self.changes.iter();
        let earlier = changes.filter(|change| change.position < position);
        earlier.map(|change| change.since).min()
    }
}

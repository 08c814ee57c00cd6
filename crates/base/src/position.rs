//! Positions in the history of the platform's tables.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Locates a change in the history of the platform's tables.
///
/// Versions rise within an era. A platform that is restored from an older copy of its tables begins a later era, in which
/// versions that were given out before are given out again with other content. So positions are ordered by era
/// first: whatever was known in an earlier era is older than any position of a later one.
///
/// Serialized, it is the version alone; it is read as one of era 0, and [`Position::in_era`] gives it the era that was
/// transferred with it. One that isn't given any counts as older than all others.
///
/// # Examples
///
/// ```
/// use base::Position;
///
/// let lost = Position::new(1, 164);
/// let restored = Position::new(2, 157);
/// assert!(restored > lost);
/// assert_eq!(Position::from(157).in_era(2), restored);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// Number of the era, zero where the platform reports none.
    pub era: u32,
    /// Version within the era.
    pub version: u64,
}

impl Position {
    /// Position before all changes.
    pub const ZERO: Self = Self::new(0, 0);

    /// Returns the position of a version of an era.
    pub const fn new(era: u32, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the position of the same version in another era.
    pub const fn in_era(self, era: u32) -> Self {
        Self::new(era, self.version)
    }

    /// Returns the last position before this one; none precedes [`Position::ZERO`].
    pub const fn predecessor(self) -> Self {
        match (self.era, self.version) {
            (0, version) => Self::new(0, version.saturating_sub(1)),
            (era, 0) => Self::new(era - 1, u64::MAX),
            (era, version) => Self::new(era, version - 1),
        }
    }
}

impl From<u64> for Position {
    fn from(version: u64) -> Self {
        Self::new(0, version)
    }
}

impl Serialize for Position {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.version.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::deserialize(deserializer).map(Self::from)
    }
}

//! Positions in the history of the platform's tables.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Locates a change in the history of the platform's tables.
///
/// Versions rise within an era. A platform that is restored from an older copy of its tables begins a later era, in which
/// versions that were given out before are given out again with other content. So positions are ordered by era
/// first: whatever was known in an earlier era is older than any position of a later one.
///
/// Serialized, it is the version alone, next to which the era is transferred. It can't be deserialized: what is read is a
/// [`Version`], which [`Version::in_era`] makes a position.
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

/// Holds the version of a [`Position`] that was transferred without its era.
///
/// It isn't ordered: versions of different eras say nothing about each other.
///
/// # Examples
///
/// ```
/// use base::{Position, Version};
///
/// assert_eq!(Version::from(157).in_era(2), Position::new(2, 157));
/// ```
///
/// ```compile_fail
/// use base::Version;
///
/// assert!(Version::from(157) < Version::from(164));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Returns the position of this version in an era.
    pub const fn in_era(self, era: u32) -> Position {
        Position::new(era, self.0)
    }
}

impl From<u64> for Version {
    fn from(version: u64) -> Self {
        Self(version)
    }
}

/// Reads positions of a platform that has no eras, for `deserialize_with`.
pub mod without_eras {
    use super::{Deserialize, Deserializer, Position, Version};

    /// Reads one position of era 0.
    ///
    /// # Errors
    ///
    /// If it is no version.
    pub fn one<'de, D>(deserializer: D) -> Result<Position, D::Error>
    where
        D: Deserializer<'de>,
    {
        Version::deserialize(deserializer).map(|version| version.in_era(0))
    }

    /// Reads a list of positions of era 0.
    ///
    /// # Errors
    ///
    /// If it is no list of versions.
    pub fn all<'de, D>(deserializer: D) -> Result<Vec<Position>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let versions = Vec::<Version>::deserialize(deserializer)?;
        Ok(versions
            .into_iter()
            .map(|version| version.in_era(0))
            .collect())
    }
}

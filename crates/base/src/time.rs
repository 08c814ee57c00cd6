//! Points in time for the sans-IO crates.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Represents a point on one process's monotonic clock, in microseconds since that process's origin.
///
/// Two processes' values can't be compared: only durations travel between instances.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use std::time::Duration;
///
/// let start = Time::from_millis(20);
/// assert_eq!(start + Duration::from_millis(5), Time::from_millis(25));
/// assert_eq!(start - Time::from_millis(30), Duration::ZERO);
/// assert_eq!(start.before(Duration::from_millis(5)), Time::from_millis(15));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the point `secs` seconds after the origin.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the point `age` before this one, or the origin if that is later.
    pub fn before(self, age: Duration) -> Self {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the seconds since the origin.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the duration from `rhs` to `self`, or zero if `rhs` is later.
    fn sub(self, rhs: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(rhs.0))
    }
}

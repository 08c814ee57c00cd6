//! What reads of a table report besides the rows of the platform's answers.

use std::time::Duration;

use base::{InstanceId, Position, Time};
use derive_more::Display;
use platform::{PlatformError, Received};

use crate::table_fetch::Fetched;

/// Describes a change of a table that the answer that is arriving, or the last one, doesn't contain: another read during
/// it has shown the change, and nothing of what it brings is here. It confirms nothing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaterChange {
    /// Position after which the table has changed.
    pub(crate) after: Position,
    /// Time since which that has been known.
    pub(crate) since: Time,
}

/// Lists why a read of the platform brings nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum FailureCause {
    /// No answer came in time.
    #[display("no answer")]
    Unanswered,
    /// The platform refused the call or couldn't be reached.
    #[display("unavailable")]
    Unavailable,
    /// The platform answered in an era that isn't the known one, so it can be reached.
    #[display("unusable era")]
    UnusableEra,
}

/// Describes a read of the platform that has brought nothing so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadFailure {
    pub(crate) cause: FailureCause,
    /// Whether the connection had been used before, so that it alone may have failed.
    pub(crate) is_on_kept_connection: bool,
    /// Time from the call to its failure.
    pub(crate) waited: Duration,
    /// What had arrived of an answer.
    pub(crate) received: Received,
}

impl From<&PlatformError> for FailureCause {
    fn from(error: &PlatformError) -> Self {
        match error {
            PlatformError::UnusableEra => Self::UnusableEra,
            _ => Self::Unavailable,
        }
    }
}

impl ReadFailure {
    /// Returns whether it may be a sign that no instance can read the table.
    pub(crate) fn is_sign_of_outage(&self) -> bool {
        !self.is_on_kept_connection && self.cause != FailureCause::UnusableEra
    }
}

/// Carries what another instance answered when it was asked for a table.
#[derive(Debug)]
pub(crate) struct Fetch {
    pub(crate) from: InstanceId,
    pub(crate) asked_at: Time,
    /// What has arrived of the answer.
    pub(crate) received: Received,
    pub(crate) fetched: Fetched,
}

//! Calls of a follower to a modelled store.

use std::time::Duration;

use platform::{Call, PlatformError};

/// Returns the table that a call reads, the position after which, and how long it waits for a change.
pub(crate) fn read_of(call: Call) -> Result<(String, u64, Duration), PlatformError> {
    match call {
        Call::Snapshot { table } => Ok((table, 0, Duration::ZERO)),
        Call::Changes {
            table,
            after,
            wait_ms,
        } => Ok((table, after.version, Duration::from_millis(wait_ms))),
        _ => Err(PlatformError::Unavailable),
    }
}

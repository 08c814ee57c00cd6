//! How many descriptors each kind of connection may use, by the limit of the process.

use std::io;

use rustix::{
    io::Errno,
    process::{Resource, getrlimit},
};

/// Descriptors that a process counts on if the system sets no limit, or a higher one.
const MAX_DESCRIPTORS: usize = 65_536;
/// Shares into which the descriptors are divided.
const SHARES: usize = 64;
/// Shares for connections of callers whose requests are served.
const SERVED_SHARES: usize = 26;
/// Shares for connections of callers whose requests are refused.
const REFUSED_SHARES: usize = 4;
/// Shares for each other listener: readiness, look-ups and operators.
const OTHER_LISTENER_SHARES: usize = 2;
/// Shares for connections to targets, direct or through other instances.
const TARGET_SHARES: usize = 12;
/// Shares for connections that are carried for other instances.
const CARRIED_SHARES: usize = 8;
/// Descriptors of a connection that is carried: one to the other instance and one to the target.
const CARRIED_DESCRIPTORS: usize = 2;

/// Divisor of the number of connections that are closed at a time to make room for others.
const BATCH_DIVISOR: usize = 16;

/// Divides the descriptors of a process among its kinds of connections.
///
/// What no part names, an eighth, is the reserve for the store, other instances, listeners and files.
///
/// # Examples
///
/// ```
/// use entry::descriptors::DescriptorBudget;
///
/// let budget = DescriptorBudget::of(4_100);
/// assert_eq!((budget.callers.served, budget.callers.refused), (1_665, 256));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Descriptors that the process may have open.
    pub limit: usize,
    /// Connections of callers.
    pub callers: ConnectionLimit,
    /// Connections of each other listener.
    pub other_listener: ConnectionLimit,
    /// Connections to targets.
    pub targets: usize,
    /// Connections that are carried for other instances.
    pub carried: usize,
}

/// Limits the connections that a listener has open at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// Connections whose requests are served.
    pub served: usize,
    /// Connections beyond these whose requests are refused.
    pub refused: usize,
}

impl DescriptorBudget {
    /// Returns the budget of this process: by the system's limit, or by `known` if that is lower.
    pub fn of_process(known: Option<u64>) -> Self {
        let system = getrlimit(Resource::Nofile).current;
        let limit = system.into_iter().chain(known).min();
        Self::of(limit.map_or(MAX_DESCRIPTORS, |limit| {
            usize::try_from(limit).unwrap_or(MAX_DESCRIPTORS)
        }))
    }

    /// Returns the budget of a process that may have `limit` descriptors.
    pub fn of(limit: usize) -> Self {
        let limit = limit.min(MAX_DESCRIPTORS);
        let part = |shares: usize| (limit * shares / SHARES).max(1);
        Self {
            limit,
            callers: ConnectionLimit {
                served: part(SERVED_SHARES),
                refused: part(REFUSED_SHARES),
            },
            other_listener: ConnectionLimit {
                served: part(OTHER_LISTENER_SHARES),
                refused: 0,
            },
            targets: part(TARGET_SHARES),
            carried: part(CARRIED_SHARES) / CARRIED_DESCRIPTORS,
        }
    }
}

impl ConnectionLimit {
    /// Returns the number of idle connections that are closed at a time.
    pub(crate) fn batch(&self) -> usize {
        (self.served / BATCH_DIVISOR).max(1)
    }
}

/// Returns whether an operation failed because the process or the system has no descriptor left.
pub fn is_out_of_descriptors(err: &io::Error) -> bool {
    matches!(Errno::from_io_error(err), Some(Errno::MFILE | Errno::NFILE))
}

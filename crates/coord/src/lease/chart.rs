//! The states of a lease, the events that change them, and the chart of their transitions.

use std::sync::Arc;

use chart::{Chart, ChartError};
use serde::Deserialize;

/// Lists the states of a lease as one instance sees it.
///
/// `charts/lease.json` defines the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseState {
    /// The row has to be read.
    Unread,
    /// Nobody holds the lease.
    Free,
    /// Another instance or an earlier incarnation of this one holds the lease.
    Other,
    /// This instance holds the lease by a row that the table of the present era doesn't have.
    Unconfirmed,
    /// A write of this instance is in progress.
    Writing,
    /// This instance holds the lease.
    Held,
}

/// Lists the events that change a lease's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEvent {
    /// The row was read and nobody holds the lease.
    SawFree,
    /// The row was read and another instance or incarnation holds the lease.
    SawOther,
    /// The row was read and this incarnation holds the lease.
    SawOwn,
    /// The row was read, and the lease that this incarnation holds is a later one.
    SawLost,
    /// The table was restored from an older copy, in a later era.
    EraChanged,
    /// A write was started.
    Write,
    /// The write took effect.
    Written,
    /// The row did not have the expected version.
    Conflict,
    /// No answer to the write arrived; it may have taken effect.
    Unanswered,
    /// This instance released the lease.
    Released,
}

const CHART: &str = include_str!("../../charts/lease.json");

/// Defines the transitions between the states of a lease.
pub type LeaseChart = Chart<LeaseState, LeaseEvent>;

/// Parses the state chart that all leases share.
///
/// # Errors
///
/// [`ChartError`] if the chart is invalid.
pub fn lease_chart() -> Result<Arc<LeaseChart>, ChartError> {
    Chart::parse(CHART).map(Arc::new)
}

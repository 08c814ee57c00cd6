//! Dispatch of admitted requests: concurrency limits, fair queueing, retries and at-most-once execution.
//!
//! Everything here is sans-IO: calls take the event and `now`, and return typed actions.

mod active;
mod budget;
mod dispatcher;
mod latency;
mod ledger;
mod limit;
mod place;
mod pool;
mod quarantine;
mod queue;
mod target;
mod throughput;
mod work;

use chart::{Chart, ChartError};

pub use budget::RetryBudget;
pub use dispatcher::Dispatcher;
pub use latency::LatencyEstimate;
pub use ledger::{ActionEvent, ActionKey, ActionState, ClaimOutcome, Claimer, Ledger, SavedAnswer};
pub use limit::{AimdParams, ConcurrencyLimit};
pub use pool::RegionShares;
pub use quarantine::{ConnectionLoss, Quarantine};
pub use queue::FairQueue;
pub use target::{HealthReport, Target, TargetEvent, TargetState};
pub use work::{
    Action, AdmittedRequest, Assignment, Outcome, Placement, Policy, PoolStats, RequestId,
    RequestKind, RequestProgress, SelectionReason,
};

/// Reads the chart of a target.
///
/// # Errors
///
/// [`ChartError`] where the chart can't be read.
pub fn target_chart() -> Result<Chart<TargetState, TargetEvent>, ChartError> {
    Chart::parse(include_str!("../charts/target.json"))
}

/// Reads the chart of a non-idempotent action.
///
/// # Errors
///
/// [`ChartError`] where the chart can't be read.
pub fn action_chart() -> Result<Chart<ActionState, ActionEvent>, ChartError> {
    Chart::parse(include_str!("../charts/action.json"))
}

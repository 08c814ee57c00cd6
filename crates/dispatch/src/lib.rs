//! Dispatch of admitted requests: concurrency limits, fair queueing, retries and at-most-once
//! execution.
//!
//! All types are sans-IO: calls take an event and the current time, and return typed actions for
//! the caller to carry out.

mod backlog;
mod budget;
mod dispatcher;
mod exclusion;
mod gate;
mod hash;
mod latency;
mod ledger;
mod limit;
mod path;
mod placement;
mod pool;
mod quarantine;
mod queue;
mod request;
mod shared_rate;
mod target;
mod throughput;

use chart::{Chart, ChartError};

pub use budget::RetryBudget;
pub use dispatcher::Dispatcher;
pub use exclusion::{ExclusionReason, Exclusions};
pub use gate::SendGate;
pub use latency::LatencyEstimate;
pub use ledger::{ActionEvent, ActionKey, ActionState, ClaimOutcome, Claimer, Ledger, SavedAnswer};
pub use limit::{AimdParams, ConcurrencyLimit};
pub use path::{Dial, PathEvent, PathMonitor, PathState};
pub use pool::RegionShares;
pub use quarantine::{
    Admission, ConnectionLoss, Hold, LossCauses, LossCollector, LossReport, LostAttempt,
    Quarantine, QuarantineReport,
};
pub use queue::FairQueue;
pub use request::{
    Action, AdmittedRequest, Assignment, Candidate, Outcome, Placement, Policy, PoolStats,
    RequestId, RequestKind, RequestProgress, SelectionReason,
};
pub use shared_rate::{RateRank, RateReport, SharedRate};
pub use target::{HealthReport, Target, TargetEvent, TargetState};

/// Parses the state chart of a target.
///
/// # Errors
///
/// Returns a [`ChartError`] if the chart can't be parsed.
pub fn target_chart() -> Result<Chart<TargetState, TargetEvent>, ChartError> {
    Chart::parse(include_str!("../charts/target.json"))
}

/// Parses the state chart of the path to the targets.
///
/// # Errors
///
/// Returns a [`ChartError`] if the chart can't be parsed.
pub fn path_chart() -> Result<Chart<PathState, PathEvent>, ChartError> {
    Chart::parse(include_str!("../charts/path.json"))
}

/// Parses the state chart of a non-idempotent action.
///
/// # Errors
///
/// Returns a [`ChartError`] if the chart can't be parsed.
pub fn action_chart() -> Result<Chart<ActionState, ActionEvent>, ChartError> {
    Chart::parse(include_str!("../charts/action.json"))
}

//! Dispatch of admitted requests: concurrency limits, fair queueing, retries and at-most-once execution.
//!
//! Everything here is sans-IO: calls take the event and `now`, and return typed actions.

mod budget;
mod dispatcher;
mod latency;
mod ledger;
mod limit;
mod pool;
mod quarantine;
mod queue;
mod target;
mod throughput;
mod work;

pub use budget::RetryBudget;
pub use dispatcher::Dispatcher;
pub use latency::LatencyEstimate;
pub use ledger::{ActionEvent, ActionKey, ActionState, Claim, Claimer, Ledger, SavedAnswer};
pub use limit::{ConcurrencyLimit, Pace};
pub use pool::Route;
pub use quarantine::Quarantine;
pub use queue::FairQueue;
pub use target::{Report, Target, TargetEvent, TargetState};
pub use work::{Action, Assignment, Next, Outcome, Policy, PoolLoad, RequestId, Work, WorkKind};

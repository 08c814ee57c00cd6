//! What goes into a dispatcher and what comes out.

use std::time::Duration;

use base::{Refusal, ServiceId, TargetId, Time, WorkspaceId};

use crate::TargetState;

/// Names a request within one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Tells whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It may run at most once.
    Once,
}

/// Describes an admitted request.
#[derive(Debug, Clone)]
pub struct Work {
    /// Name of the request.
    pub id: RequestId,
    /// Workspace whose key came with it.
    pub workspace: WorkspaceId,
    /// Share of contended targets relative to other workspaces.
    pub weight: u32,
    /// Service that it is for.
    pub service: ServiceId,
    /// Time after which its caller no longer waits.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub kind: WorkKind,
    /// Digest of what makes it the same request when its caller sends it again.
    pub fingerprint: u64,
}

/// Tells to send one attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the request.
    pub id: RequestId,
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// Service of the target.
    pub service: ServiceId,
    /// Target to send it to.
    pub target: TargetId,
    /// Whether only a new or just proven connection may be used.
    pub needs_proven: bool,
    /// Time without a first byte after which a hedge is worthwhile.
    pub hedge_after: Duration,
}

/// Lists what the dispatcher tells its caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Assign(Assignment),
    /// Give the request its final answer at once.
    Refuse(RequestId, Refusal),
    /// Tell the other instances that a connection was lost while this request was in flight.
    ReportLoss(u64),
}

/// Lists the ends of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came after this time.
    Answered(Duration),
    /// The target refused it for lack of capacity, without running it.
    Refused,
    /// No connection came about; nothing was sent.
    Unreachable,
    /// The connection was lost after the request had been sent.
    Lost,
    /// No answer came within the deadline.
    TimedOut,
    /// The attempt is no longer needed: another one answered or the caller left.
    Canceled,
}

/// Tells what became of the request after [`Dispatcher::finish`](crate::Dispatcher::finish).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The request has ended.
    Ended,
    /// Another attempt follows or is under way.
    Continues,
}

/// Shows one service's latency and targets.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLoad {
    /// Name of the service.
    pub service: ServiceId,
    /// Mean time that a request takes on a target.
    pub latency: Duration,
    /// Each target's state and slots.
    pub targets: Vec<(TargetId, TargetState, u32)>,
}

/// Holds the constants of dispatch.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Retries and hedges earned per success.
    pub retry_fraction: f64,
    /// Most retries and hedges saved up.
    pub retry_cap: f64,
    /// Refusals by targets after which a request is refused.
    pub most_refusals: u32,
    /// Connection losses after which a request is barred.
    pub most_losses: u32,
    /// How long a request stays barred.
    pub quarantine: Duration,
    /// Shortest time without a first byte after which a hedge is sent.
    pub hedge_floor: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            retry_fraction: 0.1,
            retry_cap: 20.0,
            most_refusals: 40,
            most_losses: 2,
            quarantine: Duration::from_secs(60),
            hedge_floor: Duration::from_millis(200),
        }
    }
}

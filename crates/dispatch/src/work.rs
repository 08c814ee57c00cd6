//! What goes into a dispatcher and what comes out.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{Refusal, RegionId, ServiceId, TargetId, Time, WorkspaceId};

use derive_more::Display;

use crate::{ConnectionLoss, TargetState};

/// Names a request within one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Tells whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It may run at most once.
    Once,
}

/// Describes an admitted request.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
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
    pub kind: RequestKind,
    /// Digest of what makes it the same request when its caller sends it again.
    pub fingerprint: u64,
    /// Time until which an answer meets the latency objective.
    pub objective_deadline: Time,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Rank of its route alone.
    pub route_priority: u32,
    /// Most targets that it may be sent to.
    pub max_attempts: u32,
    /// Digest of the object that it is about.
    pub affinity: Option<u64>,
    /// Regions in which it may run; empty for all.
    pub allowed_regions: Arc<BTreeSet<RegionId>>,
}

impl AdmittedRequest {
    /// Returns work of weight one whose objective is its deadline.
    pub fn new(id: RequestId, workspace: WorkspaceId, service: ServiceId, deadline: Time) -> Self {
        Self {
            id,
            workspace,
            weight: 1,
            service,
            deadline,
            kind: RequestKind::Idempotent,
            fingerprint: id.0,
            objective_deadline: deadline,
            priority: 0,
            route_priority: 0,
            max_attempts: u32::MAX,
            affinity: None,
            allowed_regions: Arc::default(),
        }
    }

    /// Sets whether it may run more than once.
    pub fn kind(mut self, kind: RequestKind) -> Self {
        self.kind = kind;
        self
    }

    /// Returns whether it may run in `region`.
    pub fn may_run_in(&self, region: &RegionId) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }
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
    pub needs_fresh_connection: bool,
    /// Time without a first byte after which a hedge is worthwhile.
    pub hedge_delay: Duration,
    /// Why this target was chosen.
    pub reason: SelectionReason,
    /// Requests that the target was thought to run and to queue, from all instances.
    pub load: u32,
}

/// Tells why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SelectionReason {
    /// It was the cheaper of two.
    #[display("cheaper")]
    Cheaper,
    /// It is the object's first choice.
    #[display("first")]
    First,
    /// The object's first choices had no room.
    #[display("next")]
    Next,
    /// Nothing had a free slot, and its queue is short enough.
    #[display("short_queue")]
    ShortQueue,
    /// The planned region had no room.
    #[display("other_region")]
    OtherRegion,
}

/// Lists what the dispatcher tells its caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Assign(Assignment),
    /// Give the request its final answer at once.
    Refuse(RequestId, Refusal),
    /// Tell the other instances that a connection was lost while this request was in flight.
    ReportLoss(ConnectionLoss),
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
pub enum RequestProgress {
    /// The request has ended.
    Ended,
    /// Another attempt follows or is under way.
    Continues,
}

/// Shows one service's latency and targets.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolStats {
    /// Name of the service.
    pub service: ServiceId,
    /// Mean time that a request takes on a target.
    pub latency: Duration,
    /// The same for targets that had a free slot.
    pub service_time: Duration,
    /// Whether its objects may have one region for the callers of all regions: its routes keep
    /// objects together, and the way to any region is short beside their latency objectives.
    pub has_global_affinity: bool,
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
    pub max_refusals: u32,
    /// Connection losses after which a request is barred.
    pub max_losses: u32,
    /// How long a request stays barred.
    pub quarantine_period: Duration,
    /// Shortest time without a first byte after which a hedge is sent.
    pub min_hedge_delay: Duration,
    /// How targets are chosen and how long requests wait for one.
    pub placement: Placement,
    /// Number of instances that share what the targets bear.
    pub instance_count: u32,
    /// Number that tells this instance from the others that share it.
    pub instance_seed: u64,
}

/// Chooses how targets are chosen and how long requests wait for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// The cheaper of two random targets; a request waits as long as its deadline allows.
    TwoChoices,
    /// By the object that a request is about, by reported load and by latency objective; sending
    /// again always draws on the retry budget.
    ObjectAffinity,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            retry_fraction: 0.1,
            retry_cap: 20.0,
            max_refusals: 40,
            max_losses: 2,
            quarantine_period: Duration::from_secs(60),
            min_hedge_delay: Duration::from_millis(200),
            placement: Placement::TwoChoices,
            instance_count: 1,
            instance_seed: 0,
        }
    }
}

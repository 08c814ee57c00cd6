//! The inputs and outputs of a dispatcher, and its policy.

use std::{collections::BTreeMap, time::Duration};

use base::{AllowedRegions, Refusal, RegionId, ServiceId, TargetId, Time, WorkspaceId};
use derive_more::Display;

use crate::{Hold, LossReport, QuarantineReport, TargetState};

/// Identifies a request within one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Indicates whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Running it twice has the same effect as running it once.
    Idempotent,
    /// It may run at most once.
    Once,
}

/// Describes a request that has passed admission.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace that the request's key belongs to.
    pub workspace: WorkspaceId,
    /// Weight of the workspace in fair queueing: workspaces with queued requests get targets in
    /// proportion to it.
    pub weight: u32,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub kind: RequestKind,
    /// Digest that is the same when the caller sends the same request again.
    pub fingerprint: u64,
    /// Time until which a response meets the latency objective.
    pub objective_deadline: Time,
    /// Combined priority of workspace and route; 0 is the most urgent.
    pub priority: u32,
    /// Priority of the route alone; 0 is the most urgent.
    pub route_priority: u32,
    /// Maximum number of targets that the request may be sent to.
    pub max_attempts: u32,
    /// Digest of the object that the request is about, for affinity.
    pub affinity: Option<u64>,
    /// Regions in which the request may run.
    pub allowed_regions: AllowedRegions,
}

impl AdmittedRequest {
    /// Returns an idempotent request of weight one that may run in all regions and whose objective
    /// is its deadline.
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
            allowed_regions: AllowedRegions::All,
        }
    }

    /// Sets whether the request may run more than once.
    pub fn kind(mut self, kind: RequestKind) -> Self {
        self.kind = kind;
        self
    }

    /// Returns whether the request may run in `region`.
    pub fn may_run_in(&self, region: &RegionId) -> bool {
        self.allowed_regions.contains(region)
    }
}

/// Instructs the caller to send one attempt of a request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Identifier of the request.
    pub id: RequestId,
    /// Number of the attempt, starting at one.
    pub attempt: u32,
    /// Service of the target.
    pub service: ServiceId,
    /// Target to send the attempt to.
    pub target: TargetId,
    /// Region of that target.
    pub region: RegionId,
    /// Whether the attempt requires a new or recently verified connection.
    pub needs_fresh_connection: bool,
    /// Whether a new connection is to be opened through another instance first.
    pub prefers_relay: bool,
    /// Whether to send it on a new direct connection, to see whether the lost path answers again.
    pub is_trial: bool,
    /// Time after which a new connection is tried through another instance as well.
    pub relay_delay: Duration,
    /// Time without a first byte after which a hedge is worthwhile.
    pub hedge_delay: Duration,
    /// Why this target was selected.
    pub reason: SelectionReason,
    /// Estimated number of requests from all instances that run or wait on the target.
    pub load: u32,
}

/// Describes a target that a refused request competed for, to explain the refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Identifier of the target.
    pub target: TargetId,
    /// Requests of this instance that are in flight on it.
    pub in_flight: u32,
    /// Number of these that this instance allows itself.
    pub limit: u32,
    /// Estimated number of requests from all instances that run or wait on it.
    pub load: u32,
    /// Time that the request would have waited in the target's own queue.
    pub wait: Duration,
}

/// Indicates why a target was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SelectionReason {
    /// It was the cheaper of two random targets.
    #[display("cheaper")]
    Cheaper,
    /// It ranks first for the object and had a free slot.
    #[display("first")]
    First,
    /// It had a free slot, and the targets that rank higher for the object had no capacity or
    /// refused many requests.
    #[display("next")]
    Next,
    /// It had no free slot, but the wait in its queue costs less than the other targets do.
    #[display("short_queue")]
    ShortQueue,
    /// The planned region has no target that takes requests.
    #[display("other_region")]
    OtherRegion,
}

/// Lists what the dispatcher instructs its caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Assign(Assignment),
    /// Withhold the attempts of this request that are not sent yet, since the target of one is in
    /// another region now or out of service; each ends as [`Outcome::Withheld`], and others follow
    /// them.
    Recall(RequestId),
    /// Send the caller this refusal; the request has ended.
    Refuse(RequestId, Refusal),
    /// Report to the other instances that a connection was lost while it carried this request.
    ReportLoss(LossReport),
    /// Report to the other instances that a quarantine of a request begins.
    BeginQuarantine(Hold),
    /// Report to the other instances what is known of requests that crash targets.
    ReportQuarantine(QuarantineReport),
}

/// Lists how an attempt can end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived after this time.
    Answered(Duration),
    /// The target refused the request for lack of capacity, without running it.
    Refused,
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The connection was lost after the request had been sent.
    Lost,
    /// The target sent something that is no answer to the request, which may have run.
    Invalid,
    /// No response arrived before the deadline.
    TimedOut,
    /// The deadline passed before anything was sent.
    Expired,
    /// The attempt is no longer needed: another one was answered, or the caller has left.
    Canceled,
    /// Nothing was sent, since by a new configuration the request may not run there any more.
    Withheld,
}

/// Indicates whether a request continues after [`Dispatcher::finish`](crate::Dispatcher::finish).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestProgress {
    /// The request has ended.
    Ended,
    /// Another attempt is in flight or will follow.
    Continues,
}

/// Reports the latency of one service and the states of its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolStats {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Mean latency of all answered attempts.
    pub latency: Duration,
    /// Mean latency of a request on a warm target with a free slot; zero before the first one.
    pub service_time: Duration,
    /// The same of each region where it was measured, without the way there.
    pub region_service_times: BTreeMap<RegionId, Duration>,
    /// Each target with its state and slots.
    pub targets: Vec<(TargetId, TargetState, u32)>,
}

/// Configures a [`Dispatcher`](crate::Dispatcher).
#[derive(Debug, Clone)]
pub struct Policy {
    /// Retries and hedges that each success adds to the retry budget.
    pub retry_fraction: f64,
    /// Maximum number of retries and hedges in the retry budget.
    pub retry_cap: f64,
    /// Number of attempts that targets refused, or that could not connect, after which a request is
    /// refused.
    pub max_refusals: u32,
    /// Number of target incarnations that lose a connection with a request after which the request
    /// is quarantined.
    pub max_losses: u32,
    /// Time for which a request stays quarantined.
    pub quarantine_period: Duration,
    /// Minimum time without a first byte after which a hedge is sent.
    pub min_hedge_delay: Duration,
    /// How targets are selected and how long requests wait for one.
    pub placement: Placement,
    /// Number of instances that share the capacity of the targets.
    pub instance_count: u32,
    /// Number that distinguishes this instance from the others that share the targets.
    pub instance_seed: u64,
}

/// Determines how targets are selected and how long requests wait for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Takes the cheaper of two random targets; a request waits as long as its deadline allows.
    TwoChoices,
    /// Takes a target by the object that the request is about, the load that targets report and
    /// the latency objective; a request waits for a fraction of the time until its objective. A
    /// retry after an attempt that reached a target always draws on the retry budget.
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

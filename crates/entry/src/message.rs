//! Messages between the handlers, the engine and the ledger.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{
    AllowedRegions, Config, ErrorKind, InstanceId, Refusal, RegionId, ServiceId, TargetId, Time,
    WorkspaceId,
};
use coord::{Freshness, Grant, GrantRequest, Loan, OwnerId, SlotHistory};
use dispatch::{
    ActionEvent, ActionKey, Assignment, Candidate, ClaimOutcome, Dial, HealthReport, LossReport,
    Outcome, PathState, QuarantineReport, RateReport, RegionShares, RequestId, RequestKind,
    SavedAnswer, TargetState,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{connection::Connection, forward::TargetFeedback, relay::Relay};

/// Carries an event or a query to the engine's task.
#[derive(Debug)]
pub enum Event {
    /// A request has arrived from a caller.
    RequestArrived(Arrival),
    /// The handler releases an admitted request for dispatch, once it has read the body and claimed
    /// the idempotency key, if there is one.
    Dispatch {
        /// ID of the request.
        id: RequestId,
        /// Digest that identifies repeats of the request, now including its body.
        fingerprint: u64,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// ID of the request.
        id: RequestId,
        /// Number of the attempt, counted from one.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Size of the response body; `None` without a response.
        response_bytes: Option<usize>,
        /// Connection to return to the idle pool.
        connection: Option<Connection>,
        /// What the attempt revealed about the target.
        feedback: TargetFeedback,
    },
    /// This instance could not connect to the target for another one that asked it to.
    RelayFailed(TargetId),
    /// A connection that no request waits for could be opened, or not.
    ProbeEnded {
        /// Target of the connection.
        target: TargetId,
        /// The connection; `None` if it could not be opened.
        connection: Option<Connection>,
        /// How it was opened.
        dial: Dial,
    },
    /// The first attempt has run for its hedge delay without a result.
    HedgeDelayElapsed(RequestId),
    /// The caller has disconnected or no longer needs a response.
    Cancel(RequestId),
    /// The instance is about to stop: new requests are refused, and those of which nothing has been sent to a target.
    StopAccepting,
    /// The instance ends in a moment: requests without an answer get one of its own.
    EndRequests,
    /// A configuration becomes the active one.
    ConfigActivated {
        /// The configuration.
        config: Arc<Config>,
        /// Which version of the operators it is; `None` if it has no number.
        version: Option<u64>,
    },
    /// Targets that others have reported to have left get no more requests until a configuration has them in service.
    TargetsLeft(Vec<TargetId>),
    /// The entries of these targets are removed or mark them as leaving; nothing else in this configuration
    /// differs from what is in force, so that it isn't activated.
    EntriesLeft(Arc<Config>, Vec<(ServiceId, TargetId)>),
    /// Freshness of the active configuration.
    ConfigFreshness {
        /// Whether the configuration was confirmed recently and, if not, whether other instances
        /// can be reached.
        freshness: Freshness,
        /// End of validity; from then on the instance counts as isolated.
        valid_until: Time,
        /// Time at which the configuration was last known to be the latest.
        confirmed_at: Option<Time>,
        /// Time until which requests for unknown routes and keys are refused permanently: no later
        /// configuration has to be in force before.
        refuse_until: Time,
        /// What last showed that the routes and keys in force are the latest, which `refuse_until` follows from.
        confirmation: Option<Confirmation>,
        /// Time until which requests may be sent by the rows of targets without another report: none that has left has
        /// to be out of use before.
        targets_until: Time,
    },
    /// The instance knows of a later configuration than the active one, or no longer does.
    ConfigBehind(ConfigLag),
    /// The instance holds a slot, whose reservations of every workspace's rate it may use or lend.
    HoldQuotaSlot {
        /// Number of the slot.
        slot: u32,
        /// End of the lease of the slot.
        until: Time,
        /// Whether another holder may have spent tokens of the slot before.
        previous_holder: SlotHistory,
    },
    /// The instance releases a slot; the reply confirms that it no longer uses the slot's quota.
    ReleaseQuotaSlot(u32, oneshot::Sender<()>),
    /// The quota owner of each workspace; `None` where no owner can be reached.
    QuotaOwners(Vec<(WorkspaceId, Option<ReachableOwner>)>),
    /// An owner has stopped using the quota that was lent to it.
    LoanReturned(WorkspaceId, OwnerId),
    /// An owner replied to a quota request of this instance.
    GrantReceived(WorkspaceId, Grant),
    /// Result of a target's health probe; `None` after several probes without a response.
    TargetHealth(ServiceId, TargetId, Option<HealthReport>),
    /// The target list marks a target as leaving.
    TargetLeaving(TargetId),
    /// How the requests that arrive in this instance's region are divided among the regions, by
    /// service.
    RegionShares(BTreeMap<ServiceId, RegionShares>),
    /// The running instances with their regions, among which the rates that targets name are shared.
    LiveInstances {
        /// ID of this instance.
        own_id: InstanceId,
        /// Running instances that accept callers, including this one unless it is leaving.
        instances: Vec<LiveInstance>,
    },
    /// Another instance reports the rates that targets have named to it.
    RatesReported {
        /// Earliest time at which the reports can have been sent, if it is known.
        not_before: Option<Time>,
        /// The reports.
        reports: Vec<RateReport>,
    },
    /// Another instance lost a connection while the request with this fingerprint was in flight.
    RemoteLoss(LossReport),
    /// Another instance reports what it knows of requests that crash targets.
    RemoteQuarantine {
        /// Earliest time at which the report can have been sent, if it is known.
        not_before: Option<Time>,
        /// The report.
        report: QuarantineReport,
    },
    /// Returns the load of each service and resets the counters behind it, for the planner.
    CollectLoads(oneshot::Sender<BTreeMap<ServiceId, ServiceLoad>>),
    /// Returns the engine's current status, for operators and readiness checks.
    Status(oneshot::Sender<EngineStatus>),
}

impl Event {
    /// Returns whether it says by what configuration to decide, or until when.
    pub(crate) fn is_of_config(&self) -> bool {
        matches!(
            self,
            Self::ConfigActivated { .. }
                | Self::ConfigFreshness { .. }
                | Self::ConfigBehind(_)
                | Self::TargetsLeft(_)
                | Self::EntriesLeft(..)
        )
    }
}

/// Sets until when requests may be decided by the active configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigLag {
    /// Time from which on they may not; `None` if no later configuration is known.
    pub outdated_from: Option<Time>,
    /// Delay after which a caller may be served, here or by another instance.
    pub retry_after: Duration,
}

/// Describes a caller's request as the handler passes it to the engine.
#[derive(Debug)]
pub struct Arrival {
    /// ID of the request.
    pub id: RequestId,
    /// API key that the caller sent.
    pub api_key: Option<String>,
    /// Service named by the first path segment.
    pub service: ServiceId,
    /// Path below the service.
    pub path: String,
    /// Host that the caller addressed.
    pub host: String,
    /// Full path, without the query.
    pub full_path: String,
    /// Digest of the affinity key: requests with the same one prefer the same target.
    pub affinity: Option<u64>,
    /// Whether the request may run more than once.
    pub kind: RequestKind,
    /// Digest that identifies repeats of the request.
    pub fingerprint: u64,
    /// Timeout that the caller asked for.
    pub timeout: Option<Duration>,
    /// Whether to wait for [`Event::Dispatch`] after admission.
    pub awaits_dispatch: bool,
    /// Channel to the handler.
    pub tx: mpsc::UnboundedSender<Decision>,
}

/// Specifies what a request's handler does next.
#[derive(Debug)]
pub enum Decision {
    /// The request is routed and authenticated, but not yet admitted.
    Resolved(RequestInfo),
    /// The request is about to be refused by this configuration.
    Consulted(UsedConfig),
    /// The request is about to be refused because none of these targets has room for it.
    NoRoom(Vec<Candidate>),
    /// The request is within its workspace's rate and waits for [`Event::Dispatch`].
    Admitted(Admitted),
    /// Send an attempt to a target.
    SendAttempt(Box<AttemptPlan>),
    /// End the request with an error.
    Refuse(Refusal),
}

/// Describes how a request was routed and authenticated, for its log line.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Name of the route; empty where the path names the service.
    pub route: Arc<str>,
    /// Service that the request was routed to.
    pub service: ServiceId,
    /// Workspace that the API key belongs to.
    pub workspace: WorkspaceId,
    /// Deadline of the request.
    pub deadline: Time,
    /// Time until which an answer counts as in time.
    pub objective_deadline: Time,
    /// Configuration used.
    pub config: UsedConfig,
    /// Digest of the affinity key; `None` on routes that are not sticky.
    pub affinity: Option<u64>,
    /// Regions in which the request may run.
    pub allowed_regions: AllowedRegions,
}

/// Identifies the configuration by which a request was decided, and how old it may have been.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsedConfig {
    /// Number of the configuration, counted by this process.
    pub revision: u64,
    /// The operators' version of it, if it is known by then.
    pub version: Option<u64>,
    /// Time at which it was last known to be the latest.
    pub confirmed_at: Option<Time>,
    /// What last showed that its routes and keys are the latest.
    pub confirmation: Option<Confirmation>,
}

/// What showed that the routes and keys of a configuration were the latest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Time at which they were.
    pub at: Time,
    /// Instance that reported so; `None` for an own read.
    pub by: Option<InstanceId>,
    /// Era of the platform's history to which they belong.
    pub era: u32,
    /// Time until which changes may be unwritten that the platform had acknowledged and then lost; `None` if it has
    /// lost none, or they have been written again.
    pub unwritten_until: Option<Time>,
}

/// Describes a request that was admitted.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Workspace that the API key belongs to.
    pub workspace: WorkspaceId,
    /// Deadline of the request.
    pub deadline: Time,
}

/// Describes an attempt that the handler is to send.
#[derive(Debug)]
pub struct AttemptPlan {
    /// Target and attempt number chosen by the dispatcher.
    pub assignment: Assignment,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Idle connection to reuse; `None` to open a new one.
    pub connection: Option<Connection>,
    /// Instances that may carry a new connection, in order of preference.
    pub relays: Vec<Relay>,
    /// Regions in which the request may run, by the active configuration; none if it isn't allowed any
    /// more.
    pub allowed_regions: watch::Receiver<AllowedRegions>,
    /// Number of the configuration by which the attempt was planned.
    pub revision: u64,
    /// Number of the configuration in force, as it changes.
    pub in_force: watch::Receiver<u64>,
    /// Time until which it may be sent without another report of the follower, as that changes.
    pub sends_until: watch::Receiver<Time>,
    /// Deadline of the request.
    pub deadline: Time,
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Whether the route needs no API key.
    pub is_open: bool,
}

/// Describes an instance that may be sending requests to targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveInstance {
    /// ID of the instance.
    pub id: InstanceId,
    /// Region in which it runs.
    pub region: RegionId,
    /// Address at which it carries connections of others to targets; `None` if it can't.
    pub relay_addr: Option<SocketAddr>,
}

/// Identifies a workspace's quota owner that this instance can reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableOwner {
    /// Instance and epoch of the owner.
    pub owner: OwnerId,
    /// Sequence number of the last heartbeat received from the owner, which limits the age of a
    /// loan by the owner's clock.
    pub last_heartbeat: u64,
}

/// Carries a message from the engine to other instances.
#[derive(Debug)]
pub enum OutgoingMessage {
    /// Requests quota tokens from a workspace's owner.
    GrantRequest {
        /// Workspace whose quota is requested.
        workspace: WorkspaceId,
        /// Owner of the workspace's quota.
        owner: OwnerId,
        /// Tokens needed and earlier grants.
        request: GrantRequest,
    },
    /// A connection was lost while the request with this fingerprint was in flight.
    ConnectionLoss(LossReport),
    /// Reports what is known of requests that crash targets.
    Quarantine(QuarantineReport),
    /// Reports the rates that targets have named to this instance.
    Rates(Vec<RateReport>),
    /// Reports whether this instance has a direct path to the targets.
    TargetPath {
        /// Whether it opens connections itself, not through other instances.
        is_direct: bool,
    },
    /// Lends the quota of this instance's slots.
    Lend {
        /// Workspace whose quota is lent.
        workspace: WorkspaceId,
        /// Owner that the quota is lent to.
        owner: OwnerId,
        /// One loan for each slot.
        loans: Vec<Loan>,
        /// Time at which the loans were made.
        at: Time,
        /// Sequence number of the last heartbeat received from the owner before the loans were
        /// made.
        last_heartbeat: u64,
    },
}

/// Carries a call to the ledger of idempotency keys.
#[derive(Debug)]
pub enum LedgerCall {
    /// Claims a non-idempotent action for a request of this instance.
    Claim {
        /// Workspace and idempotency key of the action.
        key: ActionKey,
        /// Request that claims the action.
        request: RequestId,
        /// Digest of the request, to detect a key reused for another request.
        fingerprint: u64,
        /// Channel for the result.
        reply: oneshot::Sender<Result<ClaimOutcome, ErrorKind>>,
    },
    /// Records the outcome of a claimed action.
    Settle {
        /// Workspace and idempotency key of the action.
        key: ActionKey,
        /// Request that claimed the action.
        request: RequestId,
        /// Outcome of the action.
        event: ActionEvent,
        /// Response to replay to repeats of the request; `None` if none was received.
        answer: Option<SavedAnswer>,
        /// Channel that reports that the outcome is recorded; dropped if it can't be.
        recorded: oneshot::Sender<()>,
    },
}

/// Reports the load of one service on this instance since the planner last collected it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Requests per second that were dispatched and may run in more than one region.
    pub requests_per_s: f64,
    /// Requests per second that were dispatched and may run in one region only, by region.
    pub pinned_requests_per_s: Vec<(RegionId, f64)>,
    /// Mean size of a response body; `None` without a response in the period.
    pub mean_response_bytes: Option<f64>,
    /// Mean latency of attempts.
    pub latency: Duration,
    /// Mean latency of attempts on targets that had a free slot.
    pub service_time: Duration,
    /// The same of each region that requests were sent to, without the way there.
    pub region_service_times: BTreeMap<RegionId, Duration>,
    /// State and slots of each target.
    pub targets: Vec<(TargetId, TargetState, u32)>,
}

/// Reports the engine's current state, for metrics and the status page.
#[derive(Debug, Clone)]
pub struct EngineStatus {
    /// Requests that have no final response yet.
    pub requests: usize,
    /// Requests that wait for a target.
    pub queued: usize,
    /// Retries and hedges left in the retry budget.
    pub retries_left: f64,
    /// State, requests in flight and concurrency limit of each target.
    pub targets: Vec<(TargetId, TargetState, u32, u32)>,
    /// Quota tokens available on this instance, by workspace.
    pub available: BTreeMap<WorkspaceId, f64>,
    /// Owner of each workspace whose owner can be reached.
    pub owners: BTreeMap<WorkspaceId, InstanceId>,
    /// Whether connections to targets are opened directly or through other instances.
    pub path: PathState,
    /// Instances through which connections to targets can be opened.
    pub relays: Vec<InstanceId>,
    /// Targets that name a rate, in requests per second.
    pub named_rates: Vec<(TargetId, f64)>,
    /// Fingerprints of quarantined requests and the time until their release.
    pub quarantined: Vec<(u64, Duration)>,
}

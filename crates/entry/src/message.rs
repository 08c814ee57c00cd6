//! Messages between the handlers, the engine and the ledger.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{
    Config, ErrorKind, InstanceId, Refusal, RegionId, ServiceId, TargetId, Time, WorkspaceId,
};
use coord::{Ask, Before, Borrower, Grant, Loan, Standing};
use dispatch::{
    ActionEvent, ActionKey, Assignment, Claim, Loss, Outcome, Report, RequestId, Route,
    SavedAnswer, TargetState, WorkKind,
};
use tokio::sync::{mpsc, oneshot};

use crate::forward::Connection;

/// Tells the engine of something that happened.
#[derive(Debug)]
pub enum Event {
    /// A caller's request came.
    Arrive(Arrival),
    /// An admitted request that was held back may be dispatched now.
    Dispatch {
        /// Name of the request.
        id: RequestId,
        /// Digest of what makes it the same request when it is sent again.
        fingerprint: u64,
    },
    /// An attempt has ended.
    Finish {
        /// Name of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Bytes of the answer, where one came.
        answer_bytes: Option<usize>,
        /// Connection that can be used again.
        connection: Option<Connection>,
        /// What the answer told of the target.
        feedback: TargetFeedback,
    },
    /// No first byte has come in time.
    Hedge(RequestId),
    /// The caller has left.
    Cancel(RequestId),
    /// The instance is about to stop: new requests are refused.
    StopAccepting,
    /// A configuration is in force.
    Config(Arc<Config>),
    /// How the instance stands towards the latest configuration.
    Standing {
        /// The standing.
        standing: Standing,
        /// End of its validity; after that the instance counts as alone.
        until: Time,
    },
    /// The instance holds a slot of the workspaces' floors.
    HoldFloor {
        /// Number of the slot.
        slot: u32,
        /// End of the right.
        until: Time,
        /// Who has held it before.
        before: Before,
    },
    /// The instance gives a slot up; the answer tells that its floors are no longer used.
    DropFloor(u32, oneshot::Sender<()>),
    /// The owners of all workspaces, where there is one to ask.
    Owners(Vec<(WorkspaceId, Option<ReachableOwner>)>),
    /// An owner has stopped using the floors that were lent to it.
    LoanReturned(WorkspaceId, Borrower),
    /// An owner answered an ask.
    GrantReceived(WorkspaceId, Grant),
    /// A target's health endpoint answered, or was silent for long.
    TargetReport(ServiceId, TargetId, Option<Report>),
    /// The list says that a target is leaving.
    TargetLeaving(TargetId),
    /// The plan's shares for this instance's region.
    TrafficPlan(BTreeMap<ServiceId, Route>),
    /// Another instance lost a connection while this request was in flight.
    RemoteLoss(Loss),
    /// The planner asks for the load of each service since it last asked.
    CollectLoads(oneshot::Sender<BTreeMap<ServiceId, ServiceLoad>>),
    /// Somebody asks how things are.
    Status(oneshot::Sender<EngineStatus>),
}

/// Holds what an answer told of the target that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetFeedback {
    /// Requests that it runs and queues.
    pub load: Option<u32>,
    /// How long it took to open the connection, where a new one was opened.
    pub connect_time: Option<Duration>,
}

/// Describes a request as it comes in.
#[derive(Debug)]
pub struct Arrival {
    /// Name of the request.
    pub id: RequestId,
    /// Key that came with it.
    pub key: Option<String>,
    /// Service that it is for.
    pub service: ServiceId,
    /// Path below the service.
    pub path: String,
    /// Host that the caller named.
    pub host: String,
    /// Whole path, without the query.
    pub whole_path: String,
    /// Digest of the name of the object that it is about.
    pub affinity: Option<u64>,
    /// Whether it may run more than once.
    pub kind: WorkKind,
    /// Digest of what makes it the same request when it is sent again.
    pub fingerprint: u64,
    /// How long its caller waits, where the caller said so.
    pub timeout: Option<Duration>,
    /// Whether to wait for [`Event::Dispatch`] after admission.
    pub is_held: bool,
    /// Where decisions go.
    pub tx: mpsc::UnboundedSender<Decision>,
}

/// Tells a handler what to do next.
#[derive(Debug)]
pub enum Decision {
    /// The request may be served: these are its route and workspace.
    Accepted(RequestInfo),
    /// The request is admitted and held back.
    Admitted(Admitted),
    /// Send an attempt.
    SendAttempt(Box<AttemptPlan>),
    /// Give the final answer at once.
    Refuse(Refusal),
}

/// Tells what was found out about a request.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Name of its route, empty where paths name the services.
    pub route: Arc<str>,
    /// Service that was chosen.
    pub service: ServiceId,
    /// Workspace whose key came with it.
    pub workspace: WorkspaceId,
    /// Time after which its caller no longer waits.
    pub deadline: Time,
    /// Number of the configuration that decided, counted by this process.
    pub revision: u64,
    /// Digest of the object that it is about, where its route keeps objects together.
    pub object: Option<u64>,
}

/// Describes an admitted request.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Workspace whose key came with it.
    pub workspace: WorkspaceId,
    /// Time after which its caller no longer waits.
    pub deadline: Time,
}

/// Describes an attempt to send.
#[derive(Debug)]
pub struct AttemptPlan {
    /// What the dispatcher decided.
    pub assignment: Assignment,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Connection to use; `None` for a new one.
    pub connection: Option<Connection>,
    /// Time after which the caller no longer waits.
    pub deadline: Time,
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Whether no key was needed.
    pub is_open: bool,
}

/// Names the owner of a workspace that can be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachableOwner {
    /// Its tenure.
    pub owner: Borrower,
    /// Number of its last heartbeat, by which it dates loans.
    pub last_heartbeat: u64,
}

/// Carries what the engine has to say to other instances.
#[derive(Debug)]
pub enum OutgoingMessage {
    /// Asks for units.
    Ask {
        /// Workspace whose units are wanted.
        workspace: WorkspaceId,
        /// Owner to ask.
        owner: Borrower,
        /// The ask.
        ask: Ask,
    },
    /// A connection was lost while the request with this fingerprint was in flight.
    Loss(Loss),
    /// Lends floors.
    Lend {
        /// Workspace of the floors.
        workspace: WorkspaceId,
        /// Owner that they are lent to.
        owner: Borrower,
        /// The loans.
        loans: Vec<Loan>,
        /// Time at which they were made.
        at: Time,
        /// Number of the owner's heartbeat that had been heard before.
        last_heartbeat: u64,
    },
}

/// Asks the ledger.
#[derive(Debug)]
pub enum LedgerCall {
    /// Claims an action for a request of this instance.
    Claim {
        /// The action.
        key: ActionKey,
        /// Request that claims it.
        request: RequestId,
        /// Digest of the request.
        fingerprint: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Claim, ErrorKind>>,
    },
    /// Tells what became of a claimed action.
    Settle {
        /// The action.
        key: ActionKey,
        /// Request that had claimed it.
        request: RequestId,
        /// What became of it.
        event: ActionEvent,
        /// The answer, where there is one.
        answer: Option<SavedAnswer>,
    },
}

/// Shows the load of one service on this instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Requests per second that were dispatched and may run in several regions.
    pub requests_per_s: f64,
    /// Requests per second that may run in one region alone.
    pub single_region_per_s: Vec<(RegionId, f64)>,
    /// Mean bytes of an answer; `None` before the first.
    pub answer_bytes: Option<f64>,
    /// Mean time that a request takes on a target.
    pub latency: Duration,
    /// The same for targets that had a free slot.
    pub service_time: Duration,
    /// Whether its objects may have one region for the callers of all regions.
    pub spans_regions: bool,
    /// Each target's state and slots.
    pub targets: Vec<(TargetId, TargetState, u32)>,
}

/// Shows how the engine's parts are.
#[derive(Debug, Clone)]
pub struct EngineStatus {
    /// Requests queued or under way.
    pub requests: usize,
    /// Requests that wait for a target.
    pub queued: usize,
    /// Requests that may be sent again now.
    pub retries_left: f64,
    /// Each target's state, requests under way and allowed requests.
    pub targets: Vec<(TargetId, TargetState, u32, u32)>,
    /// Units of each workspace that can be taken here.
    pub available: BTreeMap<WorkspaceId, f64>,
    /// Owner of each workspace that has one to ask.
    pub owners: BTreeMap<WorkspaceId, InstanceId>,
    /// Requests that are barred and for how long.
    pub barred: Vec<(u64, Duration)>,
}

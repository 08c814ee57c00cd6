//! Messages between the handlers, the engine and the ledger.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Config, ErrorKind, Refusal, ServiceId, TargetId, Time, WorkspaceId};
use coord::{Ask, Grant, Standing};
use dispatch::{
    ActionEvent, ActionKey, Assignment, Claim, Outcome, Report, RequestId, Route, SavedAnswer,
    TargetState, WorkKind,
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
        /// Connection that can be used again.
        connection: Option<Connection>,
    },
    /// No first byte has come in time.
    Hedge(RequestId),
    /// The caller has left.
    Cancel(RequestId),
    /// A configuration is in force.
    Config(Arc<Config>),
    /// How the instance stands towards the latest configuration.
    Standing {
        /// The standing.
        standing: Standing,
        /// End of its validity; after that the instance counts as alone.
        until: Time,
    },
    /// The instance's right to its floors.
    Floors {
        /// End of the right.
        until: Time,
        /// Whether nobody has held them before.
        is_first: bool,
    },
    /// The workspaces that have an owner to ask.
    Owners(Vec<WorkspaceId>),
    /// An owner answered an ask.
    Granted(WorkspaceId, Grant),
    /// A target's health endpoint answered, or was silent for long.
    Report(ServiceId, TargetId, Option<Report>),
    /// The list says that a target is leaving.
    TargetLeaves(TargetId),
    /// The plan's shares for this instance's region.
    Routes(BTreeMap<ServiceId, Route>),
    /// Other instances have barred these requests.
    Bars(Vec<(u64, Duration)>),
    /// The instance is leaving.
    Leave,
    /// Somebody asks how things are.
    Status(oneshot::Sender<EngineStatus>),
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
    /// The request is admitted and held back.
    Admitted(Admitted),
    /// Send an attempt.
    Go(Box<Go>),
    /// Give the final answer at once.
    Refuse(Refusal),
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
pub struct Go {
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
}

/// Carries an ask from the engine to the task that reaches the owners.
#[derive(Debug)]
pub struct Outgoing {
    /// Workspace whose owner is asked.
    pub workspace: WorkspaceId,
    /// The ask.
    pub ask: Ask,
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

/// Shows how the engine's parts are.
#[derive(Debug, Clone)]
pub struct EngineStatus {
    /// Requests queued or under way.
    pub requests: usize,
    /// Each target's state, requests under way and allowed requests.
    pub targets: Vec<(TargetId, TargetState, u32, u32)>,
    /// Units of each workspace that can be taken here.
    pub available: BTreeMap<WorkspaceId, f64>,
    /// Requests that are barred and for how long.
    pub barred: Vec<(u64, Duration)>,
}

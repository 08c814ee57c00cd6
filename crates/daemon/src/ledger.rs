//! The task that ensures that each non-idempotent action runs at most once in the deployment.
//!
//! An idempotency key may begin with a home (`instance.incarnation.`, as returned by a look-up):
//! the instance that stores the action's record. An action without a home is claimed by inserting a
//! row into a table of the platform.

mod claim;
mod keeper;
mod recent;
mod remote;
mod rows;

use std::sync::Arc;

use base::{ErrorKind, Incarnation, InstanceId};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, Ledger, RequestId, SavedAnswer};
use entry::{
    message::LedgerCall,
    view::{Clock, View},
};
use platform::Platform;
use tokio::sync::{mpsc, oneshot, watch};
use wire::Secret;

pub(crate) use self::keeper::certainty;
pub use self::{
    claim::{ClaimRow, RowState},
    keeper::{MAX_DOUBT, MIN_DOUBT},
};
use self::{keeper::ClaimKeeper, remote::RemoteClaims};
use crate::{
    fleet::Fleet,
    rpc::{Call, IncomingCall, Reply},
};

/// Stores the records of actions whose home is this instance, and forwards claims of other actions
/// to their home.
#[derive(Debug)]
pub struct LedgerTask {
    clock: Clock,
    own_id: InstanceId,
    incarnation: Incarnation,
    ledger: Ledger,
    remote: RemoteClaims,
    keeper: Option<ClaimKeeper>,
    view: watch::Receiver<Arc<View>>,
    tables: mpsc::Sender<IncomingCall>,
}

/// Gives a [`LedgerTask`] its own records and the ways to those of other instances and of the
/// table.
#[derive(Debug)]
pub struct LedgerTaskOptions {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// ID of this instance.
    pub own_id: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Records of the actions whose home is this instance.
    pub ledger: Ledger,
    /// Platform that stores the claim rows.
    pub platform: Platform,
    /// Secret that authenticates calls between instances.
    pub secret: Secret,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Active configuration and its freshness.
    pub view: watch::Receiver<Arc<View>>,
    /// Channel to the task that answers calls for followed tables.
    pub tables: mpsc::Sender<IncomingCall>,
}

/// Locates the record of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Home {
    Local,
    /// A previous incarnation of this instance, whose records are lost.
    LocalPrevious,
    Remote(InstanceId, Incarnation),
    Table,
}

impl LedgerTask {
    /// Creates the task's state.
    pub fn new(options: LedgerTaskOptions) -> Self {
        let (notes, notes_rx) = mpsc::unbounded_channel();
        // Whether the platform has been restored shortly before isn't known as long as it reports no era.
        let (certain_tx, certain) = watch::channel(Some(0));
        let eras = options.platform.era();
        let keeper = ClaimKeeper::new(
            options.platform.clone(),
            options.clock,
            options.fleet.clone(),
            notes_rx,
            certain_tx,
        );
        Self {
            keeper: Some(keeper),
            clock: options.clock,
            own_id: options.own_id,
            incarnation: options.incarnation,
            ledger: options.ledger,
            remote: RemoteClaims {
                platform: options.platform,
                secret: options.secret,
                fleet: options.fleet,
                eras,
                certain,
                notes,
            },
            view: options.view,
            tables: options.tables,
        }
    }

    /// Answers calls of the request handlers and of other instances, until the handlers' senders
    /// are dropped.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<LedgerCall>,
        mut incoming: mpsc::Receiver<IncomingCall>,
    ) {
        if let Some(keeper) = self.keeper.take() {
            tokio::spawn(keeper.run());
        }
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.handle(call),
                    None => return,
                },
                Some(incoming) = incoming.recv() => self.handle_incoming(incoming),
            }
        }
    }

    fn handle(&mut self, call: LedgerCall) {
        match call {
            LedgerCall::Claim {
                key,
                request,
                fingerprint,
                reply,
            } => self.claim(key, request, fingerprint, reply),
            LedgerCall::Settle {
                key,
                request,
                event,
                answer,
                recorded,
            } => self.settle(key, request, (event, answer), recorded),
        }
    }

    fn claim(
        &mut self,
        key: ActionKey,
        request: RequestId,
        fingerprint: u64,
        reply: oneshot::Sender<Result<ClaimOutcome, ErrorKind>>,
    ) {
        let claimer = self.claimer(request);
        match self.home(&key.key) {
            Home::Local => {
                let now = self.clock.now();
                let claim = self.ledger.claim(now, &key, &claimer, fingerprint);
                let _ = reply.send(Ok(claim));
            }
            Home::LocalPrevious => {
                let _ = reply.send(Ok(ClaimOutcome::Unknown));
            }
            Home::Remote(home, incarnation) => {
                let remote = self.remote.clone();
                let call = Call::Claim {
                    incarnation,
                    key,
                    claimer,
                    fingerprint,
                };
                tokio::spawn(async move {
                    let _ = reply.send(remote.claim_at_home(&home, incarnation, &call).await);
                });
            }
            Home::Table => {
                let remote = self.remote.clone();
                tokio::spawn(async move {
                    let claim = remote.claim_row(&key, &claimer, fingerprint).await;
                    let _ = reply.send(claim);
                });
            }
        }
    }

    fn settle(
        &mut self,
        key: ActionKey,
        request: RequestId,
        (event, answer): (ActionEvent, Option<SavedAnswer>),
        recorded: oneshot::Sender<()>,
    ) {
        let claimer = self.claimer(request);
        match self.home(&key.key) {
            Home::Local => {
                let now = self.clock.now();
                self.ledger.apply_event(now, &key, &claimer, event, answer);
                let _ = recorded.send(());
            }
            Home::LocalPrevious => {}
            Home::Remote(home, _) => {
                let call = Call::Settle {
                    key,
                    claimer,
                    event,
                    answer,
                };
                let remote = self.remote.clone();
                tokio::spawn(async move {
                    if remote.settle_at_home(&home, &call).await {
                        let _ = recorded.send(());
                    }
                });
            }
            Home::Table => {
                let remote = self.remote.clone();
                tokio::spawn(async move {
                    if remote.settle_row(&key, &claimer, event, answer).await {
                        let _ = recorded.send(());
                    }
                });
            }
        }
    }

    fn handle_incoming(&mut self, incoming: IncomingCall) {
        let now = self.clock.now();
        let reply = match incoming.call {
            Call::Claim { incarnation, .. } if incarnation != self.incarnation => {
                Reply::Claim(ClaimOutcome::Unknown)
            }
            Call::Claim {
                key,
                claimer,
                fingerprint,
                ..
            } => Reply::Claim(self.ledger.claim(now, &key, &claimer, fingerprint)),
            Call::Settle {
                key,
                claimer,
                event,
                answer,
            } => {
                self.ledger.apply_event(now, &key, &claimer, event, answer);
                Reply::Settled
            }
            Call::Object(digest) => Reply::Object(self.config_object(&digest)),
            Call::Table(_) | Call::PackedTable(_) | Call::TableList { .. } | Call::Parts { .. } => {
                // Too many at the same time stay unanswered; their callers ask another instance.
                let _ = self.tables.try_send(incoming);
                return;
            }
        };
        let _ = incoming.reply.send(reply);
    }

    fn config_object(&self, digest: &str) -> Option<String> {
        let view = self.view.borrow();
        let (_, config) = view.config.as_ref()?;
        let text = base::canonical_json(config);
        (base::config_digest(&text) == digest).then_some(text)
    }

    fn claimer(&self, request: RequestId) -> Claimer {
        Claimer {
            instance: self.own_id.clone(),
            incarnation: self.incarnation,
            request: request.0,
        }
    }

    fn home(&self, key: &str) -> Home {
        let Some((instance, incarnation)) = parse_home(key) else {
            return Home::Table;
        };
        if instance != self.own_id {
            return Home::Remote(instance, incarnation);
        }
        if incarnation == self.incarnation {
            Home::Local
        } else {
            Home::LocalPrevious
        }
    }
}

/// Parses the home at the start of an idempotency key: `instance.incarnation.`, the incarnation in
/// hexadecimal.
fn parse_home(key: &str) -> Option<(InstanceId, Incarnation)> {
    let mut parts = key.splitn(3, '.');
    let (instance, incarnation, rest) = (parts.next()?, parts.next()?, parts.next()?);
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    (!instance.is_empty() && !rest.is_empty()).then(|| (instance.into(), Incarnation(incarnation)))
}

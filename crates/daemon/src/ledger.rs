//! The task that ensures that each non-idempotent action runs at most once in the deployment.
//!
//! An idempotency key may begin with a home (`instance.incarnation.`, as returned by a look-up):
//! the instance that stores the action's record. An action without a home is claimed by inserting a
//! row into a table of the platform.

use std::{sync::Arc, time::Duration};

use base::{ErrorKind, Incarnation, InstanceId};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, Ledger, RequestId, SavedAnswer};
use entry::{
    message::LedgerCall,
    view::{Clock, View},
};
use platform::{Platform, PlatformError, Precondition, Write};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use wire::Secret;

use crate::{
    fleet::Fleet,
    rpc::{self, Call, IncomingCall, Reply},
};

const CLAIM_TABLE: &str = "claim";
/// Number of attempts to record an action's outcome at a remote home or in the table.
const MAX_SETTLE_ATTEMPTS: u32 = 5;
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stores the records of actions whose home is this instance, and forwards claims of other actions
/// to their home.
#[derive(Debug)]
pub struct LedgerTask {
    clock: Clock,
    own_id: InstanceId,
    incarnation: Incarnation,
    ledger: Ledger,
    remote: RemoteClaims,
    view: watch::Receiver<Arc<View>>,
    tables: mpsc::Sender<IncomingCall>,
}

/// Claims and settles actions at other instances and in the platform's table.
#[derive(Debug, Clone)]
struct RemoteClaims {
    platform: Platform,
    secret: Secret,
    fleet: watch::Receiver<Arc<Fleet>>,
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

/// Records in the table the claim of an action whose key names no instance that stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that claims the action.
    pub claimer: Claimer,
    /// Digest of the request.
    pub fingerprint: u64,
    /// What is known of the action's run.
    pub state: RowState,
}

/// Lists the states of an action that a claim's row records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// It may be running.
    Open,
    /// It did not run, and may be claimed anew.
    Released,
    /// It may have run.
    Unknown,
    /// It ran with this response.
    Done(SavedAnswer),
}

impl LedgerTask {
    /// Creates the task's state.
    pub fn new(options: LedgerTaskOptions) -> Self {
        Self {
            clock: options.clock,
            own_id: options.own_id,
            incarnation: options.incarnation,
            ledger: options.ledger,
            remote: RemoteClaims {
                platform: options.platform,
                secret: options.secret,
                fleet: options.fleet,
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

impl RemoteClaims {
    async fn claim_at_home(
        &self,
        home: &InstanceId,
        incarnation: Incarnation,
        call: &Call,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let member = self.fleet.borrow().members.get(home).cloned();
        let Some(member) = member else {
            // An instance that was never listed and sent no heartbeat can't have a record.
            return Err(ErrorKind::BadRequest);
        };
        if member.incarnation.is_some_and(|known| known != incarnation) || member.is_gone {
            return Ok(ClaimOutcome::Unknown);
        }
        let addr = member.addr.ok_or(ErrorKind::ClaimUnavailable)?;
        match rpc::call(&self.secret, addr, call).await {
            Some(Reply::Claim(claim)) => Ok(claim),
            // The home may have a record of an earlier execution but can't be reached now.
            _ => Err(ErrorKind::OutcomeUnknown),
        }
    }

    /// Records an outcome at the action's home, and returns whether the home confirmed it.
    async fn settle_at_home(&self, home: &InstanceId, call: &Call) -> bool {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let addr = self
                .fleet
                .borrow()
                .members
                .get(home)
                .and_then(|member| member.addr);
            let Some(addr) = addr else {
                return false;
            };
            if rpc::call(&self.secret, addr, call).await.is_some() {
                return true;
            }
            tokio::time::sleep(SETTLE_RETRY_DELAY).await;
        }
        false
    }

    /// Claims an action by inserting a row; if the insert fails or is not answered, the row that is
    /// then read determines the result.
    async fn claim_row(
        &self,
        key: &ActionKey,
        claimer: &Claimer,
        fingerprint: u64,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let name = row_name(key);
        let new_row = ClaimRow {
            claimer: claimer.clone(),
            fingerprint,
            state: RowState::Open,
        };
        let text = serde_json::to_string(&new_row).map_err(|_| ErrorKind::Internal)?;
        let insert = Write::new(CLAIM_TABLE, &name)
            .value(&text)
            .expect(Precondition::Absent);
        if self.platform.write(vec![insert]).await.is_ok() {
            return Ok(ClaimOutcome::Granted);
        }
        let unavailable = |_: PlatformError| ErrorKind::ClaimUnavailable;
        let row = self.platform.get(CLAIM_TABLE, &name).await;
        let Some(row) = row.map_err(unavailable)? else {
            // The insert may still take effect later: release the claim if it does.
            let (remote, key, claimer) = (self.clone(), key.clone(), claimer.clone());
            tokio::spawn(async move {
                tokio::time::sleep(SETTLE_RETRY_DELAY).await;
                remote
                    .settle_row(&key, &claimer, ActionEvent::NotRun, None)
                    .await;
            });
            return Err(ErrorKind::ClaimUnavailable);
        };
        let existing: ClaimRow =
            serde_json::from_str(&row.value).map_err(|_| ErrorKind::OutcomeUnknown)?;
        if existing.fingerprint != fingerprint {
            return Ok(ClaimOutcome::Reused);
        }
        match existing.state {
            RowState::Open if existing.claimer == *claimer => Ok(ClaimOutcome::Granted),
            RowState::Open if self.has_ended(&existing.claimer) => Ok(ClaimOutcome::Unknown),
            RowState::Open => Ok(ClaimOutcome::InProgress),
            RowState::Unknown => Ok(ClaimOutcome::Unknown),
            RowState::Done(answer) => Ok(ClaimOutcome::Done(answer)),
            RowState::Released => {
                let reclaim = Write::new(CLAIM_TABLE, &name)
                    .value(&text)
                    .expect(Precondition::Version(row.version));
                self.platform
                    .write(vec![reclaim])
                    .await
                    .map(|_| ClaimOutcome::Granted)
                    .map_err(unavailable)
            }
        }
    }

    /// Records an outcome in the action's row, and returns whether that succeeded.
    async fn settle_row(
        &self,
        key: &ActionKey,
        claimer: &Claimer,
        event: ActionEvent,
        answer: Option<SavedAnswer>,
    ) -> bool {
        let state = match (event, answer) {
            (ActionEvent::Answered, Some(answer)) => RowState::Done(answer),
            (ActionEvent::NotRun, _) => RowState::Released,
            _ => RowState::Unknown,
        };
        let name = row_name(key);
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            if self.try_settle_row(&name, claimer, &state).await.is_ok() {
                return true;
            }
            tokio::time::sleep(SETTLE_RETRY_DELAY).await;
        }
        false
    }

    async fn try_settle_row(
        &self,
        name: &str,
        claimer: &Claimer,
        state: &RowState,
    ) -> Result<(), PlatformError> {
        let Some(row) = self.platform.get(CLAIM_TABLE, name).await? else {
            return Ok(());
        };
        let Ok(existing) = serde_json::from_str::<ClaimRow>(&row.value) else {
            return Ok(());
        };
        if existing.claimer != *claimer || existing.state != RowState::Open {
            return Ok(());
        }
        let settled = ClaimRow {
            state: state.clone(),
            ..existing
        };
        let text = serde_json::to_string(&settled).unwrap_or_default();
        let write = Write::new(CLAIM_TABLE, name)
            .value(&text)
            .expect(Precondition::Version(row.version));
        self.platform.write(vec![write]).await.map(|_| ())
    }

    /// Returns whether the incarnation that claimed an action is known to have ended.
    fn has_ended(&self, claimer: &Claimer) -> bool {
        self.fleet
            .borrow()
            .members
            .get(&claimer.instance)
            .is_some_and(|member| {
                member.is_gone
                    || member
                        .incarnation
                        .is_some_and(|incarnation| incarnation != claimer.incarnation)
            })
    }
}

fn row_name(key: &ActionKey) -> String {
    format!("{}/{}", key.workspace, key.key)
}

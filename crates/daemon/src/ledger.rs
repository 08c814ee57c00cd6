//! The task that makes each non-idempotent action run at most once over the fleet.
//!
//! An idempotency key that begins with a home (`instance.life.`, from a look-up's answer) is
//! remembered by that instance. A key without one is claimed by a row of the platform's table.

use std::{sync::Arc, time::Duration};

use base::{ErrorKind, Incarnation, InstanceId};
use coord::TableSnapshot;
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
    rpc::{self, Call, Incoming, Reply},
};

const CLAIM_TABLE: &str = "claim";
const SETTLE_TRIES: u32 = 5;
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Remembers the actions whose home is this instance, and reaches the others' homes.
#[derive(Debug)]
pub struct Ledgers {
    clock: Clock,
    me: InstanceId,
    life: Incarnation,
    ledger: Ledger,
    remote: Remote,
    view: watch::Receiver<Arc<View>>,
    images: watch::Receiver<Arc<Vec<TableSnapshot>>>,
}

/// Reaches other homes and the table.
#[derive(Debug, Clone)]
struct Remote {
    platform: Platform,
    secret: Secret,
    fleet: watch::Receiver<Arc<Fleet>>,
}

/// Holds what the ledgers' task is made from.
#[derive(Debug)]
pub struct LedgersOptions {
    /// Clock of the process.
    pub clock: Clock,
    /// This instance.
    pub me: InstanceId,
    /// This life of it.
    pub life: Incarnation,
    /// Memory of this home.
    pub ledger: Ledger,
    /// Platform that keeps the claim rows.
    pub platform: Platform,
    /// Secret of the deployment.
    pub secret: Secret,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// What is in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Followed tables that other instances may fetch.
    pub images: watch::Receiver<Arc<Vec<TableSnapshot>>>,
}

/// Where an action is remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Home {
    Here,
    /// An earlier life of this instance, whose memory is gone.
    LostHere,
    There(InstanceId, Incarnation),
    Table,
}

/// Holds the content of a claim row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimRow {
    claimer: Claimer,
    fingerprint: u64,
    state: RowState,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RowState {
    Open,
    Released,
    Unknown,
    Done(SavedAnswer),
}

impl Ledgers {
    /// Returns the task's state.
    pub fn new(options: LedgersOptions) -> Self {
        Self {
            clock: options.clock,
            me: options.me,
            life: options.life,
            ledger: options.ledger,
            remote: Remote {
                platform: options.platform,
                secret: options.secret,
                fleet: options.fleet,
            },
            view: options.view,
            images: options.images,
        }
    }

    /// Answers the handlers' and other instances' calls until all senders are gone.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<LedgerCall>,
        mut incoming: mpsc::Receiver<Incoming>,
    ) {
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => self.handle(call),
                    None => return,
                },
                Some(incoming) = incoming.recv() => self.answer(incoming),
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
            } => self.settle(key, request, event, answer),
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
            Home::Here => {
                let now = self.clock.now();
                let claim = self.ledger.claim(now, &key, &claimer, fingerprint);
                let _ = reply.send(Ok(claim));
            }
            Home::LostHere => {
                let _ = reply.send(Ok(ClaimOutcome::Unknown));
            }
            Home::There(home, life) => {
                let remote = self.remote.clone();
                let call = Call::Claim {
                    life,
                    key,
                    claimer,
                    fingerprint,
                };
                tokio::spawn(async move {
                    let _ = reply.send(remote.claim_there(&home, life, &call).await);
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
        event: ActionEvent,
        answer: Option<SavedAnswer>,
    ) {
        let claimer = self.claimer(request);
        match self.home(&key.key) {
            Home::Here => {
                let now = self.clock.now();
                self.ledger.apply_event(now, &key, &claimer, event, answer);
            }
            Home::LostHere => {}
            Home::There(home, _) => {
                let call = Call::Settle {
                    key,
                    claimer,
                    event,
                    answer,
                };
                let remote = self.remote.clone();
                tokio::spawn(async move { remote.settle_there(&home, &call).await });
            }
            Home::Table => {
                let remote = self.remote.clone();
                tokio::spawn(async move { remote.settle_row(&key, &claimer, event, answer).await });
            }
        }
    }

    fn answer(&mut self, incoming: Incoming) {
        let now = self.clock.now();
        let reply = match incoming.call {
            Call::Claim { life, .. } if life != self.life => Reply::Claim(ClaimOutcome::Unknown),
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
            Call::Object(digest) => Reply::Object(self.object(&digest)),
            Call::Table(number) => {
                let images = self.images.borrow();
                Reply::Table(images.get(number as usize).cloned())
            }
        };
        let _ = incoming.reply.send(reply);
    }

    fn object(&self, digest: &str) -> Option<String> {
        let view = self.view.borrow();
        let (_, config) = view.config.as_ref()?;
        let text = base::canonical_json(config);
        (base::config_digest(&text) == digest).then_some(text)
    }

    fn claimer(&self, request: RequestId) -> Claimer {
        Claimer {
            instance: self.me.clone(),
            incarnation: self.life,
            request: request.0,
        }
    }

    fn home(&self, key: &str) -> Home {
        let Some((instance, life)) = named_home(key) else {
            return Home::Table;
        };
        if instance != self.me {
            return Home::There(instance, life);
        }
        if life == self.life {
            Home::Here
        } else {
            Home::LostHere
        }
    }
}

/// Reads the home that an idempotency key begins with: `instance.life.`, the life in hexadecimal.
fn named_home(key: &str) -> Option<(InstanceId, Incarnation)> {
    let mut parts = key.splitn(3, '.');
    let (instance, life, rest) = (parts.next()?, parts.next()?, parts.next()?);
    let life = u64::from_str_radix(life, 16).ok()?;
    (!instance.is_empty() && !rest.is_empty()).then(|| (instance.into(), Incarnation(life)))
}

impl Remote {
    async fn claim_there(
        &self,
        home: &InstanceId,
        life: Incarnation,
        call: &Call,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let member = self.fleet.borrow().members.get(home).cloned();
        let Some(member) = member else {
            // A home that nobody has ever seen can't have remembered anything.
            return Err(ErrorKind::BadRequest);
        };
        if member.incarnation.is_some_and(|known| known != life) || member.is_gone {
            return Ok(ClaimOutcome::Unknown);
        }
        let addr = member.addr.ok_or(ErrorKind::ClaimUnavailable)?;
        match rpc::call(&self.secret, addr, call).await {
            Some(Reply::Claim(claim)) => Ok(claim),
            // The home may remember an earlier run that can't be asked for now.
            _ => Err(ErrorKind::OutcomeUnknown),
        }
    }

    async fn settle_there(&self, home: &InstanceId, call: &Call) {
        for _ in 0..SETTLE_TRIES {
            let addr = self
                .fleet
                .borrow()
                .members
                .get(home)
                .and_then(|member| member.addr);
            let Some(addr) = addr else {
                return;
            };
            if rpc::call(&self.secret, addr, call).await.is_some() {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
    }

    /// Claims by inserting a row; an unanswered insert is settled by reading the row.
    async fn claim_row(
        &self,
        key: &ActionKey,
        claimer: &Claimer,
        fingerprint: u64,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let name = row_name(key);
        let open = ClaimRow {
            claimer: claimer.clone(),
            fingerprint,
            state: RowState::Open,
        };
        let text = serde_json::to_string(&open).map_err(|_| ErrorKind::Internal)?;
        let insert = Write::new(CLAIM_TABLE, &name)
            .value(&text)
            .expect(Precondition::Absent);
        if self.platform.write(vec![insert]).await.is_ok() {
            return Ok(ClaimOutcome::Granted);
        }
        let unavailable = |_: PlatformError| ErrorKind::ClaimUnavailable;
        let row = self.platform.get(CLAIM_TABLE, &name).await;
        let Some(row) = row.map_err(unavailable)? else {
            // The insert may still take effect: give the claim up where it does.
            let (remote, key, claimer) = (self.clone(), key.clone(), claimer.clone());
            tokio::spawn(async move {
                tokio::time::sleep(SETTLE_PAUSE).await;
                remote
                    .settle_row(&key, &claimer, ActionEvent::NotRun, None)
                    .await;
            });
            return Err(ErrorKind::ClaimUnavailable);
        };
        let found: ClaimRow =
            serde_json::from_str(&row.value).map_err(|_| ErrorKind::OutcomeUnknown)?;
        if found.fingerprint != fingerprint {
            return Ok(ClaimOutcome::Reused);
        }
        match found.state {
            RowState::Open if found.claimer == *claimer => Ok(ClaimOutcome::Granted),
            RowState::Open if self.has_ended(&found.claimer) => Ok(ClaimOutcome::Unknown),
            RowState::Open => Ok(ClaimOutcome::InProgress),
            RowState::Unknown => Ok(ClaimOutcome::Unknown),
            RowState::Done(answer) => Ok(ClaimOutcome::Done(answer)),
            RowState::Released => {
                let again = Write::new(CLAIM_TABLE, &name)
                    .value(&text)
                    .expect(Precondition::Version(row.version));
                self.platform
                    .write(vec![again])
                    .await
                    .map(|_| ClaimOutcome::Granted)
                    .map_err(unavailable)
            }
        }
    }

    async fn settle_row(
        &self,
        key: &ActionKey,
        claimer: &Claimer,
        event: ActionEvent,
        answer: Option<SavedAnswer>,
    ) {
        let state = match (event, answer) {
            (ActionEvent::Answered, Some(answer)) => RowState::Done(answer),
            (ActionEvent::NotRun, _) => RowState::Released,
            _ => RowState::Unknown,
        };
        let name = row_name(key);
        for _ in 0..SETTLE_TRIES {
            if self.try_settle_row(&name, claimer, &state).await.is_ok() {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
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
        let Ok(found) = serde_json::from_str::<ClaimRow>(&row.value) else {
            return Ok(());
        };
        if found.claimer != *claimer || found.state != RowState::Open {
            return Ok(());
        }
        let settled = ClaimRow {
            state: state.clone(),
            ..found
        };
        let text = serde_json::to_string(&settled).unwrap_or_default();
        let write = Write::new(CLAIM_TABLE, name)
            .value(&text)
            .expect(Precondition::Version(row.version));
        self.platform.write(vec![write]).await.map(|_| ())
    }

    /// Returns whether the life that claimed an action is known to have ended.
    fn has_ended(&self, claimer: &Claimer) -> bool {
        self.fleet
            .borrow()
            .members
            .get(&claimer.instance)
            .is_some_and(|member| {
                member.is_gone
                    || member
                        .incarnation
                        .is_some_and(|life| life != claimer.incarnation)
            })
    }
}

fn row_name(key: &ActionKey) -> String {
    format!("{}/{}", key.workspace, key.key)
}

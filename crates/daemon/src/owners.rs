//! The task that owns workspaces: it borrows reservations from other instances and grants tokens to
//! them.
//!
//! Each instance decides by itself whether it owns a workspace, from the heartbeats that it
//! receives. Two owners of the same workspace at the same time can't exceed its quota, because each
//! reservation is lent to only one of them.

mod publication;
mod sending;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Config, DomainId, Incarnation, InstanceId, Shared, Time, Workspace, WorkspaceId};
use coord::{
    GrantRequest, Loan, MIN_STANDSTILL, OwnerId, Quota, QuotaOwner, QuotaSplit, rendezvous_rank,
};
use entry::{
    message::{Event, LiveInstance, OutgoingMessage},
    view::{Clock, View},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    fleet::{Fleet, HEARING_TIME},
    message::{PeerCommand, PeerMessage},
};

const OWNERSHIP_UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start during which the instance only receives heartbeats of other owners and
/// takes no ownership.
const STARTUP_LISTEN_TIME: Duration = Duration::from_millis(1_500);

/// Notifies the task that owns workspaces.
#[derive(Debug)]
pub enum OwnersMessage {
    /// An instance requests tokens.
    GrantRequest {
        /// Instance that sent the request.
        from: InstanceId,
        /// Incarnation of that instance.
        incarnation: Incarnation,
        /// Workspace from whose quota it requests tokens.
        workspace: WorkspaceId,
        /// The request.
        request: GrantRequest,
    },
    /// An instance lends reservations.
    Lend {
        /// Incarnation of that instance.
        incarnation: Incarnation,
        /// Workspace of the reservations.
        workspace: WorkspaceId,
        /// Epoch of the ownership to which the reservations are lent.
        epoch: u64,
        /// The loans.
        loans: Vec<Loan>,
        /// Earliest time at which the loans can have been made, by this instance's clock.
        not_before: Time,
    },
    /// This instance is leaving: return all loans, then report on the channel.
    Release(oneshot::Sender<()>),
}

/// Configures how [`Owners`] divide rates, and connects them to the engine and to other instances.
#[derive(Debug)]
pub struct OwnersOptions {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// ID of this instance.
    pub own_id: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// How workspaces' rates are divided into reservations.
    pub split: QuotaSplit,
    /// Active configuration and its freshness.
    pub view: watch::Receiver<Arc<View>>,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Channel to the task that exchanges messages with the other instances.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Owns workspaces and grants tokens of their quotas.
#[derive(Debug)]
pub struct Owners {
    options: OwnersOptions,
    owned: BTreeMap<WorkspaceId, QuotaOwner>,
    /// Workspaces of the latest configuration.
    configured: Shared<BTreeMap<WorkspaceId, Workspace>>,
    workspaces: BTreeMap<WorkspaceId, Quota>,
    version: u64,
    published: Vec<(WorkspaceId, u64)>,
    live_instances: Vec<LiveInstance>,
    is_leaving: bool,
    /// Time of the last update of the ownership, or of one that was left out.
    updated_at: Time,
    /// Time until which heartbeats that arrived while this instance stood still may not have been handled yet.
    hearing_until: Time,
}

impl Owners {
    /// Creates the task's state.
    pub fn new(options: OwnersOptions) -> Self {
        Self {
            options,
            owned: BTreeMap::new(),
            configured: Shared::default(),
            workspaces: BTreeMap::new(),
            version: 0,
            published: Vec::new(),
            live_instances: Vec::new(),
            is_leaving: false,
            updated_at: Time::ZERO,
            hearing_until: Time::ZERO,
        }
    }

    /// Handles messages until all message senders are dropped.
    pub async fn run(
        mut self,
        mut rx: mpsc::Receiver<OwnersMessage>,
        mut outgoing: mpsc::UnboundedReceiver<OutgoingMessage>,
    ) {
        let mut update_tick = interval(OWNERSHIP_UPDATE_INTERVAL);
        self.updated_at = self.options.clock.now();
        update_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                Some(outgoing) = outgoing.recv() => self.handle_outgoing(outgoing).await,
                _ = update_tick.tick() => self.update_ownership().await,
                Ok(()) = self.options.fleet.changed() => self.update_ownership().await,
                Ok(()) = self.options.view.changed() => self.update_ownership().await,
            }
        }
    }
}

impl Owners {
    async fn handle(&mut self, message: OwnersMessage) {
        match message {
            OwnersMessage::GrantRequest {
                from,
                incarnation,
                workspace,
                request,
            } => {
                self.grant_tokens(&from, incarnation, &workspace, &request)
                    .await;
            }
            OwnersMessage::Lend {
                incarnation,
                workspace,
                epoch,
                loans,
                not_before,
            } => self.accept_loans(incarnation, &workspace, epoch, &loans, not_before),
            OwnersMessage::Release(done) => self.release(done).await,
        }
    }

    async fn grant_tokens(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        workspace: &WorkspaceId,
        request: &GrantRequest,
    ) {
        let now = self.options.clock.now();
        let Some(owner) = self.owned.get_mut(workspace) else {
            return;
        };
        let Some(grant) = owner.on_request(now, from, incarnation, request) else {
            return;
        };
        if *from == self.options.own_id {
            let event = Event::GrantReceived(workspace.clone(), grant);
            let _ = self.options.engine.send(event);
            return;
        }
        let message = PeerMessage::Grant(workspace.clone(), grant);
        let command = PeerCommand::Send(from.clone(), message);
        let _ = self.options.peers.send(command).await;
    }

    fn accept_loans(
        &mut self,
        incarnation: Incarnation,
        workspace: &WorkspaceId,
        epoch: u64,
        loans: &[Loan],
        not_before: Time,
    ) {
        let now = self.options.clock.now();
        let owner = self.owned.get_mut(workspace);
        if let Some(owner) = owner.filter(|owner| owner.epoch() == epoch) {
            for loan in loans {
                owner.on_loan(now, incarnation, loan, not_before);
            }
        }
    }

    /// Takes ownership of workspaces without an owner, and releases those for which another owner
    /// ranks higher.
    async fn update_ownership(&mut self) {
        self.apply_config();
        let now = self.options.clock.now();
        if self.is_hearing(now) {
            return;
        }
        let fleet = self.options.fleet.borrow_and_update().clone();
        let own_id = self.options.own_id.clone();
        if !self.is_leaving && now >= Time::ZERO + STARTUP_LISTEN_TIME {
            let candidates = fleet.lease_candidates(now, &own_id);
            let acting_owners = fleet.acting_owners(now);
            for (workspace, quota) in &self.workspaces {
                let is_first = |among: &[&InstanceId]| {
                    rendezvous_rank(workspace.as_str(), among.iter().copied(), &own_id) == Some(0)
                };
                if self.owned.contains_key(workspace) {
                    let contenders: Vec<&InstanceId> =
                        acting_owners.of(workspace).chain([&own_id]).collect();
                    if !is_first(&contenders) {
                        self.owned.remove(workspace);
                    }
                } else if acting_owners.first(workspace).is_none() && is_first(&candidates) {
                    let owner = new_owner(now, *quota, self.options.split);
                    self.owned.insert(workspace.clone(), owner);
                }
            }
        }
        self.publish(&fleet).await;
    }

    /// Returns whether this instance stood still so recently that heartbeats of live owners may not have been handled yet.
    fn is_hearing(&mut self, now: Time) -> bool {
        let due = self.updated_at + OWNERSHIP_UPDATE_INTERVAL;
        self.updated_at = now;
        if now - due >= MIN_STANDSTILL {
            self.hearing_until = now + HEARING_TIME;
        }
        now < self.hearing_until
    }

    fn apply_config(&mut self) {
        let config = self.options.view.borrow_and_update().config.clone();
        let Some((version, config)) = config else {
            return;
        };
        if version == self.version {
            return;
        }
        self.version = version;
        if self.configured == config.workspaces {
            return;
        }
        let now = self.options.clock.now();
        self.configured = config.workspaces.clone();
        self.workspaces = quotas(&config);
        self.owned
            .retain(|workspace, _| config.workspaces.contains_key(workspace));
        for (workspace, owner) in &mut self.owned {
            if let Some(quota) = self.workspaces.get(workspace) {
                owner.set_quota(now, *quota);
            }
        }
    }

    /// Stops granting, then reports to the lenders that their reservations are no longer used.
    async fn release(&mut self, done: oneshot::Sender<()>) {
        self.is_leaving = true;
        let owned = std::mem::take(&mut self.owned);
        let fleet = self.options.fleet.borrow().clone();
        self.publish(&fleet).await;
        for (workspace, mut owner) in owned {
            owner.return_loans();
            let borrower = OwnerId {
                instance: self.options.own_id.clone(),
                epoch: owner.epoch(),
            };
            let event = Event::LoanReturned(workspace.clone(), borrower.clone());
            let _ = self.options.engine.send(event);
            self.broadcast(&PeerMessage::LoansReturned(workspace, borrower.epoch))
                .await;
        }
        let _ = done.send(());
    }
}

fn new_owner(now: Time, quota: Quota, split: QuotaSplit) -> QuotaOwner {
    let epoch = rand::random::<u64>().max(1);
    let mut owner = QuotaOwner::borrowing(now, quota, split, epoch);
    // The ownership needs no expiry: it grants only from loans, each of which expires.
    owner.set_valid_until(Time::NEVER);
    owner
}

fn quotas(config: &Config) -> BTreeMap<WorkspaceId, Quota> {
    config
        .workspaces
        .iter()
        .map(|(id, workspace)| {
            let quota = Quota {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            (id.clone(), quota)
        })
        .collect()
}

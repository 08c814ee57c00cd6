//! The task that acts as owner of workspaces: it borrows floors and grants units.
//!
//! Which instance acts for a workspace is decided by each instance alone, from the heartbeats it
//! hears. Two instances that act at the same time do no harm: each floor is lent to one of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Config, Incarnation, InstanceId, Time, WorkspaceId};
use coord::{GrantRequest, Loan, OwnerId, Quota, QuotaOwner, QuotaSplit, rendezvous_rank};
use entry::{
    message::{Event, OutgoingMessage, ReachableOwner},
    view::{Clock, View},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    fleet::Fleet,
    message::{PeerCommand, PeerMessage},
};

const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start during which others' claims are awaited.
const LISTEN_FIRST: Duration = Duration::from_millis(1_500);

/// Tells the owners' task what happened.
#[derive(Debug)]
pub enum OwnersMessage {
    /// An instance asks for units.
    Ask {
        /// Instance that asks.
        from: InstanceId,
        /// Life of that instance.
        life: Incarnation,
        /// Workspace whose units it wants.
        workspace: WorkspaceId,
        /// The ask.
        ask: GrantRequest,
    },
    /// An instance lends floors.
    Lend {
        /// Life of that instance.
        life: Incarnation,
        /// Workspace of the floors.
        workspace: WorkspaceId,
        /// Tenure that they are lent to.
        epoch: u64,
        /// The loans.
        loans: Vec<Loan>,
        /// Time before which they were not made, by this instance's clock.
        not_before: Time,
    },
    /// This instance is leaving: give everything back, then report.
    Release(oneshot::Sender<()>),
}

/// Holds what the owners' task is made from.
#[derive(Debug)]
pub struct OwnersOptions {
    /// Clock of the process.
    pub clock: Clock,
    /// This instance.
    pub me: InstanceId,
    /// This life of it.
    pub life: Incarnation,
    /// How workspaces' rates are divided.
    pub split: QuotaSplit,
    /// What is in force.
    pub view: watch::Receiver<Arc<View>>,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The peers.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Acts as owner of workspaces.
#[derive(Debug)]
pub struct Owners {
    options: OwnersOptions,
    owned: BTreeMap<WorkspaceId, QuotaOwner>,
    workspaces: BTreeMap<WorkspaceId, Quota>,
    version: u64,
    told: Vec<(WorkspaceId, u64)>,
    is_leaving: bool,
}

impl Owners {
    /// Returns the task's state.
    pub fn new(options: OwnersOptions) -> Self {
        Self {
            options,
            owned: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            version: 0,
            told: Vec::new(),
            is_leaving: false,
        }
    }

    /// Borrows and grants until all senders of messages are gone.
    pub async fn run(
        mut self,
        mut rx: mpsc::Receiver<OwnersMessage>,
        mut outgoing: mpsc::UnboundedReceiver<OutgoingMessage>,
    ) {
        let mut review = interval(REVIEW_INTERVAL);
        review.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                Some(outgoing) = outgoing.recv() => self.route(outgoing).await,
                _ = review.tick() => self.review().await,
                Ok(()) = self.options.fleet.changed() => self.review().await,
                Ok(()) = self.options.view.changed() => self.review().await,
            }
        }
    }
}

impl Owners {
    async fn handle(&mut self, message: OwnersMessage) {
        match message {
            OwnersMessage::Ask {
                from,
                life,
                workspace,
                ask,
            } => self.answer(&from, life, &workspace, &ask).await,
            OwnersMessage::Lend {
                life,
                workspace,
                epoch,
                loans,
                not_before,
            } => self.borrow(life, &workspace, epoch, &loans, not_before),
            OwnersMessage::Release(done) => self.release(done).await,
        }
    }

    async fn answer(
        &mut self,
        from: &InstanceId,
        life: Incarnation,
        workspace: &WorkspaceId,
        ask: &GrantRequest,
    ) {
        let now = self.options.clock.now();
        let Some(owner) = self.owned.get_mut(workspace) else {
            return;
        };
        let Some(grant) = owner.on_request(now, from, life, ask) else {
            return;
        };
        if *from == self.options.me {
            let event = Event::GrantReceived(workspace.clone(), grant);
            let _ = self.options.engine.send(event);
            return;
        }
        let message = PeerMessage::Grant(workspace.clone(), grant);
        let command = PeerCommand::Send(from.clone(), message);
        let _ = self.options.peers.send(command).await;
    }

    fn borrow(
        &mut self,
        life: Incarnation,
        workspace: &WorkspaceId,
        epoch: u64,
        loans: &[Loan],
        not_before: Time,
    ) {
        let now = self.options.clock.now();
        let owner = self.owned.get_mut(workspace);
        if let Some(owner) = owner.filter(|owner| owner.epoch() == epoch) {
            for loan in loans {
                owner.on_loan(now, life, loan, not_before);
            }
        }
    }

    /// Brings asks and loans of this instance to the workspace's owner.
    async fn route(&mut self, outgoing: OutgoingMessage) {
        let me = self.options.me.clone();
        match outgoing {
            OutgoingMessage::Loss(loss) => self.tell_all(&PeerMessage::Loss(loss)).await,
            OutgoingMessage::Ask {
                workspace,
                owner,
                ask,
            } if owner.instance == me => {
                let life = self.options.life;
                self.answer(&me, life, &workspace, &ask).await;
            }
            OutgoingMessage::Ask {
                workspace,
                owner,
                ask,
            } => {
                let message = PeerMessage::Ask(workspace, ask);
                let command = PeerCommand::Send(owner.instance, message);
                let _ = self.options.peers.send(command).await;
            }
            OutgoingMessage::Lend {
                workspace,
                owner,
                loans,
                at,
                ..
            } if owner.instance == me => {
                let life = self.options.life;
                self.borrow(life, &workspace, owner.epoch, &loans, at);
            }
            OutgoingMessage::Lend {
                workspace,
                owner,
                loans,
                last_heartbeat: echo,
                ..
            } => {
                let message = PeerMessage::Lend {
                    workspace,
                    epoch: owner.epoch,
                    loans,
                    ack: echo,
                };
                let command = PeerCommand::Send(owner.instance, message);
                let _ = self.options.peers.send(command).await;
            }
        }
    }

    async fn tell_all(&self, message: &PeerMessage) {
        let fleet = self.options.fleet.borrow().clone();
        for id in fleet.members.keys() {
            let command = PeerCommand::Send(id.clone(), message.clone());
            let _ = self.options.peers.send(command).await;
        }
    }

    /// Takes up workspaces that nobody acts for, and gives up those that another one should have.
    async fn review(&mut self) {
        self.follow_config();
        let now = self.options.clock.now();
        let fleet = self.options.fleet.borrow_and_update().clone();
        let me = self.options.me.clone();
        if !self.is_leaving && now >= Time::ZERO + LISTEN_FIRST {
            let placeable = fleet.lease_candidates(now, &me);
            for (workspace, quota) in &self.workspaces {
                let place = |among: &[&InstanceId]| {
                    rendezvous_rank(workspace.as_str(), among.iter().copied(), &me) == Some(0)
                };
                let claimants = fleet.acting_owners(now, workspace);
                if self.owned.contains_key(workspace) {
                    let contest: Vec<&InstanceId> = claimants.into_iter().chain([&me]).collect();
                    if !place(&contest) {
                        self.owned.remove(workspace);
                    }
                } else if claimants.is_empty() && place(&placeable) {
                    let owner = open(now, *quota, self.options.split);
                    self.owned.insert(workspace.clone(), owner);
                }
            }
        }
        self.publish(&fleet).await;
    }

    fn follow_config(&mut self) {
        let config = self.options.view.borrow_and_update().config.clone();
        let Some((version, config)) = config else {
            return;
        };
        if version == self.version {
            return;
        }
        self.version = version;
        let now = self.options.clock.now();
        self.workspaces = quotas(&config);
        self.owned
            .retain(|workspace, _| config.workspaces.contains_key(workspace));
        for (workspace, owner) in &mut self.owned {
            if let Some(quota) = self.workspaces.get(workspace) {
                owner.set_quota(now, *quota);
            }
        }
    }

    /// Tells the engine whom to ask, and the peers what this instance acts for.
    async fn publish(&mut self, fleet: &Fleet) {
        let owned: Vec<(WorkspaceId, u64)> = self
            .owned
            .iter()
            .map(|(workspace, owner)| (workspace.clone(), owner.epoch()))
            .collect();
        if owned != self.told {
            self.told.clone_from(&owned);
            let _ = self
                .options
                .peers
                .send(PeerCommand::SetOwnedWorkspaces(owned))
                .await;
        }
        let owners = self
            .workspaces
            .keys()
            .map(|workspace| (workspace.clone(), self.to_ask(fleet, workspace)))
            .collect();
        let _ = self.options.engine.send(Event::Owners(owners));
    }

    fn to_ask(&self, fleet: &Fleet, workspace: &WorkspaceId) -> Option<ReachableOwner> {
        if let Some(owner) = self.owned.get(workspace) {
            return Some(ReachableOwner {
                owner: OwnerId {
                    instance: self.options.me.clone(),
                    epoch: owner.epoch(),
                },
                last_heartbeat: 0,
            });
        }
        let (instance, epoch) = fleet.owner(self.options.clock.now(), workspace)?;
        Some(ReachableOwner {
            owner: OwnerId {
                instance: instance.clone(),
                epoch,
            },
            last_heartbeat: fleet.members.get(instance)?.heartbeat_sequence,
        })
    }

    /// Stops granting, then tells the lenders that their floors are free.
    async fn release(&mut self, done: oneshot::Sender<()>) {
        self.is_leaving = true;
        let owned = std::mem::take(&mut self.owned);
        let fleet = self.options.fleet.borrow().clone();
        self.publish(&fleet).await;
        for (workspace, mut owner) in owned {
            owner.return_loans();
            let borrower = OwnerId {
                instance: self.options.me.clone(),
                epoch: owner.epoch(),
            };
            let event = Event::LoanReturned(workspace.clone(), borrower.clone());
            let _ = self.options.engine.send(event);
            self.tell_all(&PeerMessage::Return(workspace, borrower.epoch))
                .await;
        }
        let _ = done.send(());
    }
}

fn open(now: Time, quota: Quota, split: QuotaSplit) -> QuotaOwner {
    let epoch = rand::random::<u64>().max(1);
    let mut owner = QuotaOwner::borrowing(now, quota, split, epoch);
    // Nothing but loans is granted from, and each of them ends by itself.
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

//! The task that exchanges UDP messages with the other instances and tracks which of them are
//! alive.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{Incarnation, InstanceId, Time};
use coord::{Head, Heartbeat, ListEntry, Membership, OwnerId, Presence};
use entry::{message::Event, view::Clock};
use rand::seq::IndexedRandom;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep_until},
};
use wire::Sessions;

use crate::{
    fleet::{Fleet, FleetMember},
    format::{self, OWN_FORMAT, UnreadMessage},
    message::{FollowerMessage, PeerCommand, PeerHeartbeat, PeerMessage},
    owners::OwnersMessage,
};

/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of instances that are told at once of a table's new position; the others hear of it with
/// the next heartbeats, and most of them read the table themselves.
const NEWS_RECEIVERS: usize = 6;

/// Minimum time between two publications of the other instances' state, except for news that can't
/// wait. Each one costs in proportion to the number of instances, as do its receivers' reactions.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of instances and kinds of messages for which unread messages are counted.
const MAX_UNREAD_KINDS: usize = 64;

/// Number of own heartbeats whose send times are kept, to determine the age of messages that
/// acknowledge them.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Leads each message from another instance to the task that handles it.
#[derive(Debug, Clone)]
pub struct Outputs {
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Channel to the task that owns workspaces.
    pub owners: mpsc::Sender<OwnersMessage>,
    /// Channel to the task that follows the configuration.
    pub follower: mpsc::Sender<FollowerMessage>,
    /// Publishes the state of the other instances.
    pub fleet: watch::Sender<Arc<Fleet>>,
}

/// Exchanges messages with the other instances over one UDP socket and tracks their membership.
#[derive(Debug)]
pub struct Peers {
    clock: Clock,
    socket: UdpSocket,
    sessions: Sessions,
    membership: Membership,
    addrs: BTreeMap<InstanceId, SocketAddr>,
    last_heartbeats: BTreeMap<InstanceId, PeerHeartbeat>,
    own_heartbeat: PeerHeartbeat,
    sent_heartbeats: VecDeque<(u64, Time)>,
    confirmed_at: Option<Time>,
    /// Messages that could not be read, by sender and kind.
    unread: BTreeMap<(InstanceId, u32), u64>,
    published_at: Time,
    /// Whether anything has changed since the last publication.
    is_unpublished: bool,
    outputs: Outputs,
}

impl Peers {
    /// Creates the task's state; heartbeats report `own_heartbeat` until commands change it.
    pub fn new(
        clock: Clock,
        socket: UdpSocket,
        sessions: Sessions,
        membership: Membership,
        own_heartbeat: PeerHeartbeat,
        outputs: Outputs,
    ) -> Self {
        Self {
            clock,
            socket,
            sessions,
            membership,
            addrs: BTreeMap::new(),
            last_heartbeats: BTreeMap::new(),
            own_heartbeat,
            sent_heartbeats: VecDeque::new(),
            confirmed_at: None,
            unread: BTreeMap::new(),
            published_at: Time::ZERO,
            is_unpublished: false,
            outputs,
        }
    }

    /// Handles datagrams and commands until all command senders are dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<PeerCommand>) {
        let mut tick = interval(HEARTBEAT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let publish_at = self.clock.instant(self.published_at + PUBLISH_INTERVAL);
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, _)) = received {
                        self.receive(&buf[..len]).await;
                    }
                }
                command = rx.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                _ = tick.tick() => {
                    self.send_heartbeats().await;
                    self.publish();
                }
                () = sleep_until(publish_at), if self.is_unpublished => self.publish(),
            }
        }
    }
}

impl Peers {
    async fn handle_command(&mut self, command: PeerCommand) {
        match command {
            PeerCommand::Send(to, message) => self.send(&to, &message).await,
            PeerCommand::SetList(list) => {
                let now = self.clock.now();
                for peer in &list {
                    self.addrs.insert(peer.entry.id.clone(), peer.addr);
                }
                let entries: Vec<ListEntry> = list.into_iter().map(|peer| peer.entry).collect();
                self.membership.on_list(now, &entries);
                self.publish();
            }
            PeerCommand::SetHead { head, confirmed_at } => {
                let is_changed = head != self.own_heartbeat.head;
                self.own_heartbeat.status.version = head.as_ref().map_or(0, |head| head.version);
                self.own_heartbeat.head = head;
                self.confirmed_at = confirmed_at;
                if is_changed {
                    self.send_heartbeats().await;
                }
            }
            PeerCommand::SetTablePositions {
                positions,
                confirmed_at,
            } => {
                let is_changed = positions != self.own_heartbeat.table_positions;
                self.own_heartbeat.table_positions = positions;
                self.confirmed_at = confirmed_at;
                if is_changed {
                    self.send_news().await;
                }
            }
            PeerCommand::SetOwnedWorkspaces(owned) => {
                self.own_heartbeat.owned_workspaces = owned;
                self.send_heartbeats().await;
            }
            PeerCommand::SetHeldSlots(slots) => self.own_heartbeat.held_slots = slots,
            PeerCommand::SetTargetPath(is_direct) => {
                self.own_heartbeat.has_target_path = is_direct;
                self.send_heartbeats().await;
                self.publish();
            }
            PeerCommand::SetDemand(demand, pinned_demand) => {
                self.own_heartbeat.demand = demand;
                self.own_heartbeat.pinned_demand = pinned_demand;
            }
            PeerCommand::Leave => {
                self.own_heartbeat.status.is_leaving = true;
                self.send_heartbeats().await;
                self.publish();
            }
        }
    }

    async fn receive(&mut self, buf: &[u8]) {
        let opened = match self.sessions.open_encoded(buf) {
            Ok(opened) => opened,
            Err(err) => {
                tracing::debug!(event = "frame_dropped", reason = %err);
                return;
            }
        };
        if !opened.is_fresh {
            // The frame may be a replay from before this instance restarted. The heartbeat carries
            // this instance's incarnation, which proves the sender's next frame to be recent.
            let heartbeat = self.heartbeat_for(&opened.from);
            self.send(&opened.from, &PeerMessage::Heartbeat(Box::new(heartbeat)))
                .await;
            return;
        }
        let format = self.format_of(&opened.from, Some(opened.incarnation));
        let message = match format::decode(opened.message, format) {
            Ok(message) => message,
            Err(unread) => {
                self.count_unread(opened.from, unread);
                return;
            }
        };
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(&opened.from, *heartbeat).await;
            }
            PeerMessage::GrantRequest(workspace, request) => {
                let message = OwnersMessage::GrantRequest {
                    from: opened.from,
                    incarnation: opened.incarnation,
                    workspace,
                    request,
                };
                // If the queue is full, the message is dropped; the sender repeats its request.
                let _ = self.outputs.owners.try_send(message);
            }
            PeerMessage::Grant(workspace, grant) => {
                let _ = self
                    .outputs
                    .engine
                    .send(Event::GrantReceived(workspace, grant));
            }
            PeerMessage::Lend {
                workspace,
                epoch,
                loans,
                ack,
            } => {
                let Some(not_before) = self.sent_at(ack) else {
                    return;
                };
                let message = OwnersMessage::Lend {
                    incarnation: opened.incarnation,
                    workspace,
                    epoch,
                    loans,
                    not_before,
                };
                // If the queue is full, the message is dropped; the loan expires and another
                // follows.
                let _ = self.outputs.owners.try_send(message);
            }
            PeerMessage::Rates { reports, ack } => {
                let not_before = self.sent_at(ack);
                let _ = self.outputs.engine.send(Event::RatesReported {
                    not_before,
                    reports,
                });
            }
            PeerMessage::ConnectionLoss(loss) => {
                let _ = self.outputs.engine.send(Event::RemoteLoss(loss));
            }
            PeerMessage::Quarantine(report) => {
                let _ = self.outputs.engine.send(Event::RemoteQuarantine(report));
            }
            PeerMessage::LoansReturned(workspace, epoch) => {
                let owner = OwnerId {
                    instance: opened.from,
                    epoch,
                };
                let _ = self
                    .outputs
                    .engine
                    .send(Event::LoanReturned(workspace, owner));
            }
        }
    }

    /// Returns the format of an instance's messages by its last heartbeat; with an incarnation, only
    /// if that one sent it.
    fn format_of(&self, id: &InstanceId, incarnation: Option<Incarnation>) -> Option<u32> {
        let heartbeat = self.last_heartbeats.get(id)?;
        let is_same = incarnation.is_none_or(|one| one == heartbeat.status.incarnation);
        is_same.then_some(heartbeat.format)
    }

    /// Counts a message that can't be read; each kind of message of an instance is logged once.
    fn count_unread(&mut self, from: InstanceId, unread: UnreadMessage) {
        let key = (from, unread.kind);
        let is_known = self.unread.contains_key(&key);
        if !is_known && self.unread.len() >= MAX_UNREAD_KINDS {
            return;
        }
        if !is_known {
            tracing::warn!(
                event = "message_unread",
                from = %key.0,
                kind = unread.kind,
                format = unread.format,
                own_format = OWN_FORMAT,
            );
        }
        *self.unread.entry(key).or_default() += 1;
        self.is_unpublished = true;
    }

    async fn handle_heartbeat(&mut self, from: &InstanceId, heartbeat: PeerHeartbeat) {
        if let Some(not_before) = self.sent_at(heartbeat.ack) {
            self.membership.on_heartbeat(not_before, &heartbeat.status);
            self.forward_to_follower(from, &heartbeat, not_before);
        } else {
            self.membership.on_undated_heartbeat(&heartbeat.status);
        }
        let before = self.last_heartbeats.get(from);
        let is_urgent = before.is_none_or(|before| is_urgent_change(before, &heartbeat));
        self.last_heartbeats.insert(from.clone(), heartbeat);
        self.is_unpublished = true;
        if is_urgent {
            self.publish();
        }
    }

    /// Forwards the sender's head and table positions, which it sent no earlier than `not_before`.
    fn forward_to_follower(&self, from: &InstanceId, heartbeat: &PeerHeartbeat, not_before: Time) {
        let confirmed_at = heartbeat
            .status
            .confirmation_age
            .map(|age| subtract(not_before, age));
        if !heartbeat.table_positions.is_empty() {
            let message = FollowerMessage::PeerPositions {
                from: from.clone(),
                positions: heartbeat.table_positions.clone(),
                confirmed_at,
            };
            let _ = self.outputs.follower.try_send(message);
        }
        let Some(head) = heartbeat.head.clone() else {
            return;
        };
        let message = FollowerMessage::PeerHead {
            from: from.clone(),
            head,
            confirmed_at,
        };
        let _ = self.outputs.follower.try_send(message);
    }

    /// Returns the time at which this instance sent the heartbeat with this sequence number.
    fn sent_at(&self, number: u64) -> Option<Time> {
        self.sent_heartbeats
            .iter()
            .rev()
            .find(|(sent, _)| *sent == number)
            .map(|(_, at)| *at)
    }

    /// Sends a heartbeat to all other instances.
    async fn send_heartbeats(&mut self) {
        let to = self.receivers();
        self.send_heartbeat_to(&to).await;
    }

    /// Sends a heartbeat to a few other instances, drawn anew each time.
    async fn send_news(&mut self) {
        let all = self.receivers();
        let to: Vec<InstanceId> = all
            .sample(&mut rand::rng(), NEWS_RECEIVERS)
            .cloned()
            .collect();
        self.send_heartbeat_to(&to).await;
    }

    /// Returns the other instances that may be running.
    fn receivers(&self) -> Vec<InstanceId> {
        self.membership
            .members()
            .iter()
            .filter(|(id, member)| {
                **id != self.own_heartbeat.status.id
                    && !matches!(member.presence, Presence::Absent(_))
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    async fn send_heartbeat_to(&mut self, to: &[InstanceId]) {
        self.own_heartbeat.sequence += 1;
        self.sent_heartbeats
            .push_back((self.own_heartbeat.sequence, self.clock.now()));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        for id in to {
            let heartbeat = PeerMessage::Heartbeat(Box::new(self.heartbeat_for(id)));
            self.send(id, &heartbeat).await;
        }
    }

    fn heartbeat_for(&self, to: &InstanceId) -> PeerHeartbeat {
        let now = self.clock.now();
        let status = Heartbeat {
            confirmation_age: self.confirmed_at.map(|at| now - at),
            ..self.own_heartbeat.status.clone()
        };
        PeerHeartbeat {
            status,
            ack: self
                .last_heartbeats
                .get(to)
                .map_or(0, |heartbeat| heartbeat.sequence),
            ..self.own_heartbeat.clone()
        }
    }

    async fn send(&mut self, to: &InstanceId, message: &PeerMessage) {
        let Some(&addr) = self.addrs.get(to) else {
            return;
        };
        let format = self.format_of(to, None).unwrap_or(OWN_FORMAT);
        let Some(content) = format::encode(message, format) else {
            return;
        };
        if let Ok(frame) = self.sessions.seal_encoded(to, &content) {
            // Datagrams may be lost anyway, so senders repeat the messages that matter.
            let _ = self.socket.send_to(&frame, addr).await;
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        self.published_at = now;
        self.is_unpublished = false;
        let members = self
            .membership
            .members()
            .iter()
            .filter(|(id, _)| **id != self.own_heartbeat.status.id)
            .map(|(id, member)| {
                let heard = self.last_heartbeats.get(id);
                let state = FleetMember {
                    addr: self.addrs.get(id).copied(),
                    alive_until: self.membership.alive_until(id),
                    is_gone: self.membership.is_gone(now, id),
                    ..FleetMember::new(member, heard)
                };
                (id.clone(), state)
            })
            .collect();
        let fleet = Fleet {
            members,
            has_target_path: self.own_heartbeat.has_target_path,
            unread_messages: self.unread.values().sum(),
        };
        self.outputs.fleet.send_if_modified(|current| {
            let is_changed = **current != fleet;
            if is_changed {
                *current = Arc::new(fleet);
            }
            is_changed
        });
    }
}

/// Returns whether callers or requests would go wrong if the change were published later.
fn is_urgent_change(before: &PeerHeartbeat, now: &PeerHeartbeat) -> bool {
    before.status.incarnation != now.status.incarnation
        || before.status.is_leaving != now.status.is_leaving
        || before.has_target_path != now.has_target_path
        || before.entry != now.entry
}

fn subtract(now: Time, age: Duration) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64))
}

/// Returns the content of an instance's first heartbeat.
pub fn initial_heartbeat(status: Heartbeat, entry: SocketAddr) -> PeerHeartbeat {
    PeerHeartbeat {
        status,
        sequence: 0,
        ack: 0,
        entry,
        head: None::<Head>,
        owned_workspaces: Vec::new(),
        held_slots: 0,
        demand: Vec::new(),
        pinned_demand: Vec::new(),
        table_positions: Vec::new(),
        has_target_path: true,
        format: OWN_FORMAT,
        build: env!("CARGO_PKG_VERSION").to_owned(),
    }
}

//! The task that exchanges UDP messages with the other instances and tracks which of them are
//! alive.

mod receiving;
mod sending;

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{Incarnation, InstanceId, Time};
use coord::{Departure, Head, Heartbeat, ListEntry, Membership, RetainedEntry};
use entry::{message::Event, view::Clock};
use platform::StoreEra;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{Instant, MissedTickBehavior, interval, sleep_until},
};
use wire::Sessions;

use self::sending::OpenNews;
use crate::{
    fleet::{Fleet, FleetMember, HEARTBEAT_INTERVAL},
    format::OWN_FORMAT,
    message::{FollowerMessage, OwnReads, PeerCommand, PeerHeartbeat, TableChange},
    owners::OwnersMessage,
};

/// Minimum time between two publications of the other instances' state, except for urgent
/// ones. Each one costs in proportion to the number of instances, as do its receivers' reactions.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Routes each message from another instance to the task that handles it.
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
    /// Times at which the last heartbeats arrived.
    heard_at: BTreeMap<InstanceId, Time>,
    /// Times that the last heartbeats took, at most.
    ways: BTreeMap<InstanceId, Duration>,
    own_heartbeat: PeerHeartbeat,
    /// What is known of the eras of the platform's history.
    era: StoreEra,
    sent_heartbeats: VecDeque<(u64, Time)>,
    /// The last update, as long as it may be sent again.
    open_news: Option<OpenNews>,
    /// Incarnations of others to which heartbeats have been sent.
    introduced: BTreeMap<InstanceId, Incarnation>,
    confirmed_at: Option<Time>,
    /// The latest change of the first table of which this instance knows at first hand.
    known_change: Option<TableChange>,
    /// Whether the own reads of the targets' table succeed.
    own_reads: Option<OwnReads>,
    /// Targets that have left lately, the newest first.
    departures: Arc<Vec<Departure>>,
    /// Entries that are gone and retained for some time.
    retained: Arc<Vec<RetainedEntry>>,
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
            heard_at: BTreeMap::new(),
            ways: BTreeMap::new(),
            own_heartbeat,
            era: StoreEra::default(),
            sent_heartbeats: VecDeque::new(),
            open_news: None,
            introduced: BTreeMap::new(),
            confirmed_at: None,
            known_change: None,
            own_reads: None,
            departures: Arc::default(),
            retained: Arc::default(),
            unread: BTreeMap::new(),
            published_at: Time::ZERO,
            is_unpublished: false,
            outputs,
        }
    }

    /// Sets what is known of the eras of the platform's history, which heartbeats report and learn.
    pub fn tracking(mut self, era: StoreEra) -> Self {
        self.era = era;
        self
    }

    /// Handles datagrams and commands until all command senders are dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<PeerCommand>) {
        let mut tick = interval(HEARTBEAT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        let mut eras = self.era.subscribe();
        loop {
            let repeat_at = self.open_news.as_ref().and_then(OpenNews::next_at);
            let repeat_at = repeat_at.map(|at| self.clock.instant(at));
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
                Ok(()) = eras.changed() => self.send_news().await,
                _ = tick.tick() => {
                    self.send_heartbeats().await;
                    self.publish();
                }
                () = sleep_until(repeat_at.unwrap_or_else(Instant::now)), if repeat_at.is_some() => {
                    self.repeat_news().await;
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
                    let before = self.addrs.insert(peer.entry.id.clone(), peer.addr);
                    if before != Some(peer.addr) {
                        self.introduced.remove(&peer.entry.id);
                    }
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
                change,
                reads,
            } => {
                let is_changed = positions != self.own_heartbeat.table_positions;
                self.own_heartbeat.set_positions(positions);
                self.confirmed_at = confirmed_at;
                self.known_change = change;
                self.own_reads = reads;
                if is_changed {
                    self.send_news().await;
                }
            }
            PeerCommand::SetDepartures(departures) => self.departures = departures,
            PeerCommand::SetRetained(retained) => self.retained = retained,
            PeerCommand::SetRows(rows) => self.own_heartbeat.rows = rows,
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
                    heartbeat_way: self.ways.get(id).copied().unwrap_or_default(),
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
        departures: Vec::new(),
        change: None,
        ack_age: Duration::ZERO,
        reads: None,
        rows: Vec::new(),
        retained: Vec::new(),
        store_era: 0,
        table_eras: Vec::new(),
    }
}

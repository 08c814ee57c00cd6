//! The task that owns the UDP socket, the sessions and the roster.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{InstanceId, Time};
use coord::{Borrower, Head, Heartbeat, ListEntry, Presence, Roster};
use entry::{message::Event, view::Clock};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};
use wire::{Opened, Sessions};

use crate::{
    fleet::{Fleet, FleetMember},
    message::{Beat, FollowerMessage, PeerCommand, PeerMessage},
    owners::OwnersMessage,
};

/// Time between heartbeats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Own heartbeats whose sending times are remembered.
const BEATS_KEPT: usize = 64;

/// Holds the channels to the tasks that messages from other instances are for.
#[derive(Debug, Clone)]
pub struct Outlets {
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The owners.
    pub owners: mpsc::Sender<OwnersMessage>,
    /// The configuration.
    pub follower: mpsc::Sender<FollowerMessage>,
    /// What is known of the other instances.
    pub fleet: watch::Sender<Arc<Fleet>>,
}

/// Owns the UDP socket, the sessions and the roster.
#[derive(Debug)]
pub struct Peers {
    clock: Clock,
    socket: UdpSocket,
    sessions: Sessions,
    roster: Roster,
    addrs: BTreeMap<InstanceId, SocketAddr>,
    last_beats: BTreeMap<InstanceId, Beat>,
    own: Beat,
    beats_sent: VecDeque<(u64, Time)>,
    confirmed_at: Option<Time>,
    outlets: Outlets,
}

impl Peers {
    /// Returns the task's state; `own` is what the first heartbeat tells.
    pub fn new(
        clock: Clock,
        socket: UdpSocket,
        sessions: Sessions,
        roster: Roster,
        own: Beat,
        outlets: Outlets,
    ) -> Self {
        Self {
            clock,
            socket,
            sessions,
            roster,
            addrs: BTreeMap::new(),
            last_beats: BTreeMap::new(),
            own,
            beats_sent: VecDeque::new(),
            confirmed_at: None,
            outlets,
        }
    }

    /// Handles datagrams and commands until all senders of commands are gone.
    pub async fn run(mut self, mut rx: mpsc::Receiver<PeerCommand>) {
        let mut tick = interval(BEAT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buf = vec![0; wire::MOST_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, _)) = received {
                        self.receive(&buf[..len]).await;
                    }
                }
                command = rx.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
                _ = tick.tick() => {
                    self.beat().await;
                    self.publish();
                }
            }
        }
    }
}

impl Peers {
    async fn obey(&mut self, command: PeerCommand) {
        match command {
            PeerCommand::Send(to, message) => self.send(&to, &message).await,
            PeerCommand::List(list) => {
                let now = self.clock.now();
                for peer in &list {
                    self.addrs.insert(peer.entry.id.clone(), peer.addr);
                }
                let entries: Vec<ListEntry> = list.into_iter().map(|peer| peer.entry).collect();
                self.roster.listed(now, &entries);
                self.publish();
            }
            PeerCommand::Head { head, confirmed_at } => {
                let is_news = head != self.own.head;
                self.own.heartbeat.version = head.as_ref().map_or(0, |head| head.version);
                self.own.head = head;
                self.confirmed_at = confirmed_at;
                if is_news {
                    self.beat().await;
                }
            }
            PeerCommand::Positions {
                positions,
                confirmed_at,
            } => {
                let is_news = positions != self.own.positions;
                self.own.positions = positions;
                self.confirmed_at = confirmed_at;
                if is_news {
                    self.beat().await;
                }
            }
            PeerCommand::Owns(owns) => {
                self.own.owns = owns;
                self.beat().await;
            }
            PeerCommand::Slots(slots) => self.own.slots = slots,
            PeerCommand::Demand(demand, bound) => {
                self.own.demand = demand;
                self.own.bound = bound;
            }
            PeerCommand::Leave => {
                self.own.heartbeat.is_leaving = true;
                self.beat().await;
                self.publish();
            }
        }
    }

    async fn receive(&mut self, buf: &[u8]) {
        let opened: Opened<PeerMessage> = match self.sessions.open(buf) {
            Ok(opened) => opened,
            Err(err) => {
                tracing::debug!(event = "frame_dropped", reason = %err);
                return;
            }
        };
        if !opened.is_proven {
            // Answering lets the sender prove its next frame.
            let beat = self.beat_for(&opened.from);
            self.send(&opened.from, &PeerMessage::Beat(Box::new(beat)))
                .await;
            return;
        }
        match opened.message {
            PeerMessage::Beat(beat) => self.heard(&opened.from, *beat).await,
            PeerMessage::Ask(workspace, ask) => {
                let message = OwnersMessage::Ask {
                    from: opened.from,
                    life: opened.life,
                    workspace,
                    ask,
                };
                // A lost ask is repeated by its sender.
                let _ = self.outlets.owners.try_send(message);
            }
            PeerMessage::Grant(workspace, grant) => {
                let _ = self
                    .outlets
                    .engine
                    .send(Event::GrantReceived(workspace, grant));
            }
            PeerMessage::Lend {
                workspace,
                epoch,
                loans,
                echo,
            } => {
                let Some(dated) = self.sent_at(echo) else {
                    return;
                };
                let message = OwnersMessage::Lend {
                    life: opened.life,
                    workspace,
                    epoch,
                    loans,
                    dated,
                };
                // A lost loan ends by itself and is followed by another one.
                let _ = self.outlets.owners.try_send(message);
            }
            PeerMessage::Loss(loss) => {
                let _ = self.outlets.engine.send(Event::RemoteLoss(loss));
            }
            PeerMessage::Return(workspace, epoch) => {
                let owner = Borrower {
                    instance: opened.from,
                    epoch,
                };
                let _ = self
                    .outlets
                    .engine
                    .send(Event::LoanReturned(workspace, owner));
            }
        }
    }

    async fn heard(&mut self, from: &InstanceId, beat: Beat) {
        if let Some(dated) = self.sent_at(beat.echo) {
            self.roster.heard(dated, &beat.heartbeat);
            self.tell_follower(from, &beat, dated);
        } else {
            self.roster.noted(&beat.heartbeat);
        }
        // Published each time: loans are dated by the last heartbeat.
        self.last_beats.insert(from.clone(), beat);
        self.publish();
    }

    /// Passes on what the sender knows of the configuration, as of `dated` at the latest.
    fn tell_follower(&self, from: &InstanceId, beat: &Beat, dated: Time) {
        let confirmed_at = beat.heartbeat.confirmed_ago.map(|ago| earlier(dated, ago));
        if !beat.positions.is_empty() {
            let message = FollowerMessage::Positions {
                from: from.clone(),
                positions: beat.positions.clone(),
                confirmed_at,
            };
            let _ = self.outlets.follower.try_send(message);
        }
        let Some(head) = beat.head.clone() else {
            return;
        };
        let message = FollowerMessage::Beat {
            from: from.clone(),
            head,
            confirmed_at,
        };
        let _ = self.outlets.follower.try_send(message);
    }

    /// Returns when this instance sent the heartbeat with this number.
    fn sent_at(&self, number: u64) -> Option<Time> {
        self.beats_sent
            .iter()
            .rev()
            .find(|(sent, _)| *sent == number)
            .map(|(_, at)| *at)
    }

    async fn beat(&mut self) {
        self.own.number += 1;
        self.beats_sent
            .push_back((self.own.number, self.clock.now()));
        if self.beats_sent.len() > BEATS_KEPT {
            self.beats_sent.pop_front();
        }
        let to: Vec<InstanceId> = self
            .roster
            .members()
            .iter()
            .filter(|(id, member)| {
                **id != self.own.heartbeat.id && !matches!(member.presence, Presence::Absent(_))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in to {
            let beat = PeerMessage::Beat(Box::new(self.beat_for(&id)));
            self.send(&id, &beat).await;
        }
    }

    fn beat_for(&self, to: &InstanceId) -> Beat {
        let now = self.clock.now();
        let heartbeat = Heartbeat {
            confirmed_ago: self.confirmed_at.map(|at| now - at),
            ..self.own.heartbeat.clone()
        };
        Beat {
            heartbeat,
            echo: self.last_beats.get(to).map_or(0, |beat| beat.number),
            ..self.own.clone()
        }
    }

    async fn send(&mut self, to: &InstanceId, message: &PeerMessage) {
        let Some(&addr) = self.addrs.get(to) else {
            return;
        };
        if let Ok(frame) = self.sessions.seal(to, message) {
            // A datagram may be lost at any time; senders repeat what matters.
            let _ = self.socket.send_to(&frame, addr).await;
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let members = self
            .roster
            .members()
            .iter()
            .filter(|(id, _)| **id != self.own.heartbeat.id)
            .map(|(id, member)| {
                let beat = self.last_beats.get(id);
                let shown = FleetMember {
                    domain: member.domain.clone(),
                    addr: self.addrs.get(id).copied(),
                    entry: beat.map(|beat| beat.entry),
                    life: beat.map(|beat| beat.heartbeat.incarnation),
                    version: beat.map_or(0, |beat| beat.heartbeat.version),
                    heard_until: self.roster.heard_until(id),
                    is_leaving: member.is_leaving,
                    is_listed: member.presence == Presence::Listed,
                    is_gone: self.roster.is_gone(now, id),
                    owns: beat.map_or_else(Vec::new, |beat| beat.owns.clone()),
                    slots: beat.map(|beat| beat.slots),
                    beat: beat.map_or(0, |beat| beat.number),
                    demand: beat.map_or_else(Vec::new, |beat| beat.demand.clone()),
                    bound: beat.map_or_else(Vec::new, |beat| beat.bound.clone()),
                };
                (id.clone(), shown)
            })
            .collect();
        let fleet = Fleet { members };
        self.outlets.fleet.send_if_modified(|current| {
            let is_changed = **current != fleet;
            if is_changed {
                *current = Arc::new(fleet);
            }
            is_changed
        });
    }
}

fn earlier(now: Time, ago: Duration) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(ago.as_micros() as u64))
}

/// Returns the first heartbeat's content.
pub fn first_beat(heartbeat: Heartbeat, entry: SocketAddr) -> Beat {
    Beat {
        heartbeat,
        number: 0,
        echo: 0,
        entry,
        head: None::<Head>,
        owns: Vec::new(),
        slots: 0,
        demand: Vec::new(),
        bound: Vec::new(),
        positions: Vec::new(),
    }
}

//! What the exchange of heartbeats costs an instance among many.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Incarnation, InstanceId};
use coord::{Heartbeat, ListEntry, Membership};
use daemon::{
    fleet::Fleet,
    message::{ListedPeer, PeerCommand, PeerMessage},
    peers::{HEARTBEAT_INTERVAL, Outputs, Peers, initial_heartbeat},
};
use entry::view::Clock;
use rstest::rstest;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout_at},
};
use wire::{Secret, Sessions};

const OWN_ID: &str = "own";
const OWN_INCARNATION: Incarnation = Incarnation(7);

/// Runs the task of one instance; one socket stands for all the others.
struct Neighbourhood {
    peers: mpsc::Sender<PeerCommand>,
    fleet: watch::Receiver<Arc<Fleet>>,
    addr: SocketAddr,
    socket: UdpSocket,
    sessions: BTreeMap<InstanceId, Sessions>,
    sequence: u64,
}

fn secret() -> Secret {
    Secret::derive("a secret for tests only")
}

fn heartbeat(id: &InstanceId, incarnation: Incarnation) -> Heartbeat {
    Heartbeat {
        id: id.clone(),
        incarnation,
        domain: "d".into(),
        is_leaving: false,
        version: 0,
        confirmation_age: None,
    }
}

impl Neighbourhood {
    async fn start(others: usize) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let addr = own_socket.local_addr().unwrap();
        let (engine, _) = mpsc::unbounded_channel();
        let (owners, _) = mpsc::channel(1);
        let (follower, _) = mpsc::channel(1);
        let (fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
        let own_id = InstanceId::from(OWN_ID);
        let peers = Peers::new(
            Clock::start(),
            own_socket,
            Sessions::new(secret(), own_id.clone(), OWN_INCARNATION),
            Membership::new(Duration::from_secs(40), Duration::from_secs(2)),
            initial_heartbeat(heartbeat(&own_id, OWN_INCARNATION), addr),
            Outputs {
                engine,
                owners,
                follower,
                fleet: fleet_tx,
            },
        );
        let (tx, rx) = mpsc::channel(64);
        tokio::spawn(peers.run(rx));
        let ids: Vec<InstanceId> = (0..others).map(|idx| format!("i{idx}").into()).collect();
        let list = ids.iter().map(|id| ListedPeer {
            entry: ListEntry {
                id: id.clone(),
                domain: "d".into(),
                is_leaving: false,
            },
            addr: socket.local_addr().unwrap(),
        });
        tx.send(PeerCommand::SetList(list.collect())).await.unwrap();
        let sessions = ids.into_iter().map(|id| {
            let sessions = Sessions::new(secret(), id.clone(), Incarnation(1));
            (id, sessions)
        });
        Self {
            peers: tx,
            fleet,
            addr,
            sessions: sessions.collect(),
            socket,
            sequence: 0,
        }
    }

    /// Returns how many frames arrive until `until`, and makes the others know the instance.
    async fn receive(&mut self, until: Instant) -> usize {
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        let mut count = 0;
        while let Ok(Ok((len, _))) = timeout_at(until, self.socket.recv_from(&mut buf)).await {
            count += 1;
            for sessions in self.sessions.values_mut() {
                let _ = sessions.open::<PeerMessage>(&buf[..len]);
            }
        }
        count
    }

    /// Sends one heartbeat of each of the others.
    async fn send_heartbeats(&mut self, is_leaving: bool) {
        self.sequence += 1;
        for (id, sessions) in &mut self.sessions {
            let mut status = heartbeat(id, Incarnation(1));
            status.is_leaving = is_leaving;
            let mut message = initial_heartbeat(status, self.addr);
            message.sequence = self.sequence;
            let message = PeerMessage::Heartbeat(Box::new(message));
            let frame = sessions.seal(&OWN_ID.into(), &message).unwrap();
            self.socket.send_to(&frame, self.addr).await.unwrap();
            // The others' heartbeats are spread over their interval.
            sleep(HEARTBEAT_INTERVAL / 200).await;
        }
    }
}

/// Guards against CONFIG: each change of a table's position was sent to all instances at once, so
/// that rows which change all day cost the square of the instances.
#[rstest]
#[case::few(8)]
#[case::many(66)]
#[tokio::test]
async fn news_of_positions_costs_the_same_among_many(#[case] others: usize) {
    const CHANGES: u64 = 10;
    const MAX_SENT_AT_ONCE: usize = 8;
    let mut neighbourhood = Neighbourhood::start(others).await;
    let started = Instant::now();
    for position in 1..=CHANGES {
        let command = PeerCommand::SetTablePositions {
            positions: vec![1, position],
            confirmed_at: None,
        };
        neighbourhood.peers.send(command).await.unwrap();
    }
    // At most one of the regular heartbeats to each comes before this.
    let sent = neighbourhood
        .receive(started + HEARTBEAT_INTERVAL * 4 / 5)
        .await;
    assert!(sent > 0, "nobody is told");
    let allowed = CHANGES as usize * MAX_SENT_AT_ONCE + others;
    assert!(sent <= allowed, "{sent} frames, allowed {allowed}");
}

/// Guards against CONFIG: each heartbeat copied the state of all others and woke every task that
/// follows it.
#[tokio::test]
async fn state_of_others_is_published_seldom() {
    const ROUNDS: u32 = 3;
    /// Rate, beside what comes at the end of the rounds.
    const MAX_PUBLISHED_PER_S: f64 = 12.0;
    let mut neighbourhood = Neighbourhood::start(66).await;
    neighbourhood
        .receive(Instant::now() + HEARTBEAT_INTERVAL * 2)
        .await;
    // Instances that are heard for the first time are news.
    neighbourhood.send_heartbeats(false).await;
    let mut fleet = neighbourhood.fleet.clone();
    fleet.mark_unchanged();
    let counted = tokio::spawn(async move {
        let mut published = 0;
        while let Ok(Ok(())) =
            tokio::time::timeout(Duration::from_millis(400), fleet.changed()).await
        {
            published += 1;
        }
        published
    });
    let started = Instant::now();
    for _ in 0..ROUNDS {
        neighbourhood.send_heartbeats(false).await;
    }
    let allowed = started.elapsed().as_secs_f64() * MAX_PUBLISHED_PER_S + 4.0;
    let published = counted.await.unwrap();
    assert!(published > 0);
    assert!(
        f64::from(published) <= allowed,
        "{published} times, allowed {allowed:.0}"
    );
}

/// An instance that leaves is out of look-ups at once, not with the next regular publication.
#[tokio::test]
async fn leaving_instance_is_published_at_once() {
    const AT_ONCE: Duration = Duration::from_millis(50);
    // The machine may be busy, so one prompt publication is enough.
    const TRIALS: usize = 5;
    let mut delays = Vec::new();
    for _ in 0..TRIALS {
        let mut neighbourhood = Neighbourhood::start(1).await;
        neighbourhood
            .receive(Instant::now() + HEARTBEAT_INTERVAL * 2)
            .await;
        neighbourhood.send_heartbeats(false).await;
        let mut fleet = neighbourhood.fleet.clone();
        fleet
            .wait_for(|fleet| fleet.members.values().any(|member| member.entry.is_some()))
            .await
            .unwrap();
        let sent_at = Instant::now();
        neighbourhood.send_heartbeats(true).await;
        fleet
            .wait_for(|fleet| fleet.members.values().all(|member| member.is_leaving))
            .await
            .unwrap();
        delays.push(sent_at.elapsed());
    }
    assert!(
        delays.iter().any(|delay| *delay < AT_ONCE),
        "published after {delays:?}"
    );
}

//! What the exchange of heartbeats costs an instance among many, and what it does with frames that it
//! can't read.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{Incarnation, InstanceId, Position, Time, WorkspaceId};
use coord::{
    Departure, Grant, Heartbeat, ListEntry, Membership, RetainedEntry, RowsDigest, RowsReport,
};
use daemon::{
    fleet::Fleet,
    fleet::HEARTBEAT_INTERVAL,
    format::OWN_FORMAT,
    message::{
        ChangeReport, FollowerMessage, ListedPeer, PeerCommand, PeerHeartbeat, PeerMessage,
        ReadsReport, RetainedReport,
    },
    owners::OwnersMessage,
    peers::{Outputs, Peers, initial_heartbeat},
};
use dispatch::{ConnectionLoss, LossReport, QuarantineReport};
use entry::{message::Event, view::Clock};
use platform::StoreEra;
use proof::mutate::Mutator;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout, timeout_at},
};
use wire::{Secret, Sessions};

const OWN_ID: &str = "own";
const OWN_INCARNATION: Incarnation = Incarnation(7);

/// Runs the task of one instance; one socket represents all the others.
struct Neighbourhood {
    peers: mpsc::Sender<PeerCommand>,
    fleet: watch::Receiver<Arc<Fleet>>,
    addr: SocketAddr,
    socket: Arc<UdpSocket>,
    sessions: BTreeMap<InstanceId, Sessions>,
    sequence: u64,
    /// Format that the others' heartbeats name.
    format: u32,
    /// Table positions that they report.
    positions: Vec<Position>,
    /// Whether their own reads succeed.
    reads: Option<ReadsReport>,
    clock: Clock,
    engine: mpsc::UnboundedReceiver<Event>,
    owners: mpsc::Receiver<OwnersMessage>,
    follower: mpsc::Receiver<FollowerMessage>,
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
        Self::start_in(others, StoreEra::default()).await
    }

    /// Starts with what is known of the platform's eras.
    async fn start_in(others: usize, era: StoreEra) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let own_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let addr = own_socket.local_addr().unwrap();
        let (engine, engine_rx) = mpsc::unbounded_channel();
        let (owners, owners_rx) = mpsc::channel(1);
        let (follower, follower_rx) = mpsc::channel(64);
        let clock = Clock::start();
        let (fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
        let own_id = InstanceId::from(OWN_ID);
        let peers = Peers::new(
            clock,
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
        )
        .tracking(era);
        let (tx, rx) = mpsc::channel(64);
        tokio::spawn(peers.run(rx));
        let ids: Vec<InstanceId> = (0..others).map(|idx| format!("i{idx}").into()).collect();
        let sessions = ids.into_iter().map(|id| {
            let sessions = Sessions::new(secret(), id.clone(), Incarnation(1));
            (id, sessions)
        });
        let neighbourhood = Self {
            peers: tx,
            fleet,
            addr,
            sessions: sessions.collect(),
            socket,
            sequence: 0,
            format: OWN_FORMAT,
            positions: Vec::new(),
            reads: None,
            clock,
            engine: engine_rx,
            owners: owners_rx,
            follower: follower_rx,
        };
        let list = neighbourhood.listed(neighbourhood.sessions.keys().cloned());
        let command = PeerCommand::SetList(list);
        neighbourhood.peers.send(command).await.unwrap();
        neighbourhood
    }

    /// Returns the platform's list with these instances.
    fn listed<I>(&self, ids: I) -> Vec<ListedPeer>
    where
        I: IntoIterator<Item = InstanceId>,
    {
        let listed = ids.into_iter().map(|id| ListedPeer {
            entry: ListEntry {
                id,
                domain: "d".into(),
                is_leaving: false,
            },
            addr: self.socket.local_addr().unwrap(),
        });
        listed.collect()
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

    /// Returns the number of the newest heartbeat that has arrived for one of the others, waiting for one.
    async fn next_sequence(&mut self, id: &InstanceId) -> u64 {
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        let mut newest = None;
        loop {
            let len = match newest {
                None => self.socket.recv_from(&mut buf).await.unwrap().0,
                Some(sequence) => match self.socket.try_recv_from(&mut buf) {
                    Ok((len, _)) => len,
                    Err(_) => return sequence,
                },
            };
            let sessions = self.sessions.get_mut(id).unwrap();
            let opened = sessions.open::<PeerMessage>(&buf[..len]).unwrap();
            if let PeerMessage::Heartbeat(heartbeat) = opened.message {
                newest = Some(heartbeat.sequence);
            }
        }
    }

    /// Sends a heartbeat of one of the others.
    async fn send(&mut self, id: &InstanceId, heartbeat: PeerHeartbeat) {
        let message = PeerMessage::Heartbeat(Box::new(heartbeat));
        let sessions = self.sessions.get_mut(id).unwrap();
        let frame = sessions.seal(&OWN_ID.into(), &message).unwrap();
        self.socket.send_to(&frame, self.addr).await.unwrap();
    }

    /// Sends a heartbeat of one of the others, which is on its way for a time.
    fn send_after(&mut self, id: &InstanceId, heartbeat: PeerHeartbeat, way: Duration) {
        let message = PeerMessage::Heartbeat(Box::new(heartbeat));
        let sessions = self.sessions.get_mut(id).unwrap();
        let frame = sessions.seal(&OWN_ID.into(), &message).unwrap();
        let (socket, addr) = (self.socket.clone(), self.addr);
        tokio::spawn(async move {
            sleep(way).await;
            let _ = socket.send_to(&frame, addr).await;
        });
    }

    /// Sends one heartbeat of each of the others.
    async fn send_heartbeats(&mut self, is_leaving: bool) {
        self.sequence += 1;
        for (id, sessions) in &mut self.sessions {
            let mut status = heartbeat(id, Incarnation(1));
            status.is_leaving = is_leaving;
            let mut message = initial_heartbeat(status, self.addr);
            message.sequence = self.sequence;
            message.format = self.format;
            message.table_positions = self.positions.clone();
            message.reads = self.reads;
            let message = PeerMessage::Heartbeat(Box::new(message));
            let frame = sessions.seal(&OWN_ID.into(), &message).unwrap();
            self.socket.send_to(&frame, self.addr).await.unwrap();
            // The others' heartbeats are spread over their interval.
            sleep(HEARTBEAT_INTERVAL / 200).await;
        }
    }

    /// Waits for a heartbeat to this instance that reports these positions.
    async fn heartbeat_to(&mut self, id: &InstanceId, positions: &[u64]) -> PeerHeartbeat {
        let sessions = self.sessions.get_mut(id).unwrap();
        let positions: Vec<_> = positions.iter().copied().map(Position::from).collect();
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let (len, _) = self.socket.recv_from(&mut buf).await.unwrap();
            let opened = sessions.open(&buf[..len]).unwrap();
            if let PeerMessage::Heartbeat(heartbeat) = opened.message
                && heartbeat.table_positions == positions
            {
                return *heartbeat;
            }
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
            positions: vec![Position::from(1), Position::from(position)],
            confirmed_at: None,
            change: None,
            reads: None,
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

/// An instance that lacks rows by which targets have left is informed of them; one that has the rows isn't, nor one that could
/// not read it.
#[rstest]
#[case::lacks_rows(OWN_FORMAT, 6, &["t1"])]
#[case::lacks_more(OWN_FORMAT, 4, &["t1", "t2"])]
#[case::has_rows(OWN_FORMAT, 7, &[])]
#[case::has_read_nothing(OWN_FORMAT, 0, &[])]
#[case::of_a_build_without_departures(5, 4, &[])]
#[case::of_a_build_before(6, 4, &["t1", "t2"])]
#[tokio::test]
async fn departures_are_told_to_those_that_lack_them(
    #[case] format: u32,
    #[case] position: u64,
    #[case] expected: &[&str],
) {
    let told = told_departures(format, position, None).await;
    assert_eq!(told, expected);
}

/// Guards against DRAIN: an instance that fetched the rows, and retains an entry since it believes in an outage, was informed
/// nothing of the departure.
#[rstest]
#[case::reads_the_rows(false, 7, &[])]
#[case::is_turned_away(true, 7, &["t1", "t2"])]
#[case::has_read_nothing(true, 0, &[])]
#[tokio::test]
async fn departures_are_told_to_those_that_may_retain_the_entries(
    #[case] is_failing: bool,
    #[case] position: u64,
    #[case] expected: &[&str],
) {
    let reads = ReadsReport {
        contact_age: Duration::ZERO,
        is_failing,
    };
    let told = told_departures(OWN_FORMAT, position, Some(reads)).await;
    assert_eq!(told, expected);
}

/// Returns the departures that a heartbeat reports to an instance that has sent one itself.
async fn told_departures(format: u32, position: u64, reads: Option<ReadsReport>) -> Vec<String> {
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    neighbourhood.format = format;
    neighbourhood.positions = vec![Position::from(1), Position::from(position)];
    neighbourhood.reads = reads;
    neighbourhood
        .receive(Instant::now() + HEARTBEAT_INTERVAL * 2)
        .await;
    neighbourhood.send_heartbeats(false).await;
    sleep(HEARTBEAT_INTERVAL / 10).await;
    let departures = [("t1", 7), ("t2", 5)].map(|(target, position)| Departure {
        target: target.into(),
        position: Position::from(position),
    });
    let told = Arc::new(departures.to_vec());
    for command in [
        PeerCommand::SetDepartures(told),
        PeerCommand::SetTablePositions {
            positions: vec![Position::from(1), Position::from(7)],
            confirmed_at: None,
            change: None,
            reads: None,
        },
    ] {
        neighbourhood.peers.send(command).await.unwrap();
    }
    let heartbeat = neighbourhood.heartbeat_to(&id, &[1, 7]).await;
    let told = heartbeat.departures.iter();
    told.map(|one| one.target.to_string()).collect()
}

/// Guards against DRAIN: an instance that the store turns away learned of an entry that another one retained only after that,
/// with a heartbeat; and against bytes for those that read the rows themselves.
#[rstest]
#[case::lacks_the_removal(Some(false), 4, true)]
#[case::reads_the_rows(Some(false), 7, false)]
#[case::is_turned_away(Some(true), 7, true)]
#[case::of_a_build_that_does_not_say(None, 7, true)]
#[tokio::test]
async fn retained_entries_are_told_with_the_time_that_is_left(
    #[case] is_failing: Option<bool>,
    #[case] position: u64,
    #[case] is_told: bool,
) {
    const RETAINED: Duration = Duration::from_secs(30);
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
    message.table_positions = vec![Position::from(1), Position::from(position)];
    message.reads = is_failing.map(|is_failing| ReadsReport {
        contact_age: Duration::ZERO,
        is_failing,
    });
    neighbourhood.next_sequence(&id).await;
    neighbourhood.send(&id, message).await;
    let mut fleet = neighbourhood.fleet.clone();
    let is_heard = |fleet: &Arc<Fleet>| fleet.members.values().any(|one| one.entry.is_some());
    fleet.wait_for(is_heard).await.unwrap();
    let told_at = neighbourhood.clock.now();
    let entry = RetainedEntry {
        target: "t1".into(),
        position: Position::from(7),
        until: told_at + RETAINED,
    };
    for command in [
        PeerCommand::SetRetained(Arc::new(vec![entry])),
        PeerCommand::SetTablePositions {
            positions: vec![Position::from(1), Position::from(7)],
            confirmed_at: None,
            change: None,
            reads: None,
        },
    ] {
        neighbourhood.peers.send(command).await.unwrap();
    }
    let told = neighbourhood.heartbeat_to(&id, &[1, 7]).await.retained;
    let since = neighbourhood.clock.now() - told_at;
    assert_eq!(!told.is_empty(), is_told);
    for report in told {
        let target = report.departure.target.as_str();
        assert_eq!(
            (target, report.departure.position),
            ("t1", Position::from(7))
        );
        let remaining = report.remaining;
        assert!(
            remaining <= RETAINED && remaining + since >= RETAINED,
            "{remaining:?}, told within {since:?}"
        );
    }
}

/// Guards against DRAIN: the time for which another instance retains an entry counted from when its heartbeat arrived.
#[tokio::test]
async fn retained_entry_is_dated_by_when_its_heartbeat_was_sent() {
    const WAY: Duration = Duration::from_millis(400);
    const REMAINING: Duration = Duration::from_secs(1);
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    let ack = neighbourhood.next_sequence(&id).await;
    let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
    message.ack = ack;
    message.table_positions = vec![Position::from(7), Position::from(7)];
    message.retained = vec![RetainedReport {
        departure: Departure {
            target: "t1".into(),
            position: Position::from(7),
        },
        remaining: REMAINING,
    }];
    let sent_at = neighbourhood.clock.now();
    sleep(WAY).await;
    neighbourhood.send(&id, message).await;
    let entries = loop {
        let received = timeout(READ_WITHIN, neighbourhood.follower.recv()).await;
        match received.unwrap() {
            Some(FollowerMessage::PeerRetained { from, entries }) if from == id => break entries,
            Some(_) => {}
            None => panic!(),
        }
    };
    let [entry] = &entries[..] else {
        panic!("{entries:?}");
    };
    assert_eq!(
        (entry.target.as_str(), entry.position),
        ("t1", Position::from(7))
    );
    assert!(entry.until <= sent_at + REMAINING, "{entry:?}, {sent_at:?}");
}

/// Guards against BUDGET: an answer counted as one of the time at which its report was read. Builds before this one receive
/// and send reports of answers without a time.
#[rstest]
#[case::own(OWN_FORMAT, true)]
#[case::without_ages(10, false)]
#[tokio::test]
async fn report_of_an_answer_is_dated(#[case] format: u32, #[case] is_dated: bool) {
    const WAY: Duration = Duration::from_millis(200);
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    neighbourhood.format = format;
    let ack = neighbourhood.next_sequence(&id).await;
    neighbourhood.send_heartbeats(false).await;
    sleep(HEARTBEAT_INTERVAL / 10).await;
    let age = Duration::from_millis(300);
    let dated = QuarantineReport::AnsweredAgo {
        fingerprint: 7,
        age,
    };
    let command = PeerCommand::Send(id.clone(), PeerMessage::Quarantine(dated.clone()));
    neighbourhood.peers.send(command).await.unwrap();
    let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
    let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
    let sent = loop {
        let (len, _) = neighbourhood.socket.recv_from(&mut buf).await.unwrap();
        let opened = sessions.open::<PeerMessage>(&buf[..len]).unwrap();
        if !matches!(opened.message, PeerMessage::Heartbeat(_)) {
            break opened.message;
        }
    };
    let answer = match sent {
        PeerMessage::DatedQuarantine { report, ack: 1, .. } if is_dated => {
            assert_eq!(report, dated);
            let ack_age = Duration::ZERO;
            PeerMessage::DatedQuarantine {
                report,
                ack,
                ack_age,
            }
        }
        PeerMessage::Quarantine(QuarantineReport::Answered(7)) if !is_dated => sent,
        other => panic!("{other:?}"),
    };
    let frame = sessions.seal(&OWN_ID.into(), &answer).unwrap();
    let sent_at = neighbourhood.clock.now();
    sleep(WAY).await;
    let (socket, addr) = (&neighbourhood.socket, neighbourhood.addr);
    socket.send_to(&frame, addr).await.unwrap();
    let received = timeout(READ_WITHIN, neighbourhood.engine.recv()).await;
    let Some(Event::RemoteQuarantine { not_before, .. }) = received.unwrap() else {
        panic!();
    };
    assert_eq!(not_before.is_some(), is_dated);
    assert!(not_before <= Some(sent_at), "{not_before:?}, {sent_at:?}");
}

/// Guards against BUDGET, LIMIT and QUOTA: what instances report to each other of targets, and what they grant and lend, rests
/// on no table, so it counts whatever era of the platform's tables each of them knows.
#[rstest]
#[case::same(OWN_FORMAT, 3)]
#[case::earlier(OWN_FORMAT, 2)]
#[case::later(OWN_FORMAT, 4)]
#[case::unknown(OWN_FORMAT, 0)]
#[case::build_without_eras(11, 0)]
#[tokio::test]
async fn reports_count_in_all_eras(#[case] format: u32, #[case] era: u32) {
    let own = StoreEra::default();
    own.learn(3);
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start_in(1, own).await;
    let ack = neighbourhood.next_sequence(&id).await;
    let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
    (message.format, message.store_era, message.ack) = (format, era, ack);
    neighbourhood.send(&id, message).await;
    let workspace = WorkspaceId::from("w");
    let loss = LossReport::from(ConnectionLoss {
        fingerprint: 7,
        target_digest: 8,
    });
    let grant = Grant {
        epoch: 5,
        serial: 1,
        tokens: 2,
        retry_after: Duration::ZERO,
    };
    let reports = [
        PeerMessage::DatedLoss(loss),
        PeerMessage::DatedQuarantine {
            report: QuarantineReport::Held(Vec::new()),
            ack,
            ack_age: Duration::ZERO,
        },
        PeerMessage::Rates {
            reports: Vec::new(),
            ack,
        },
        PeerMessage::Grant(workspace.clone(), grant),
        PeerMessage::LoansReturned(workspace.clone(), 5),
        PeerMessage::Lend {
            workspace,
            epoch: 5,
            loans: Vec::new(),
            ack,
        },
    ];
    for report in &reports {
        let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
        let frame = sessions.seal(&OWN_ID.into(), report).unwrap();
        let sent = neighbourhood.socket.send_to(&frame, neighbourhood.addr);
        sent.await.unwrap();
    }
    let lent = timeout(READ_WITHIN, neighbourhood.owners.recv()).await;
    let Some(OwnersMessage::Lend { epoch: 5, .. }) = lent.unwrap() else {
        panic!();
    };
    let events: Vec<_> = std::iter::from_fn(|| neighbourhood.engine.try_recv().ok()).collect();
    assert!(
        matches!(
            &events[..],
            [
                Event::RemoteLoss(_),
                Event::RemoteQuarantine {
                    not_before: Some(_),
                    ..
                },
                Event::RatesReported {
                    not_before: Some(_),
                    ..
                },
                Event::GrantReceived(..),
                Event::LoanReturned(..),
            ]
        ),
        "{events:?}"
    );
}

/// Guards against CONFIG: a datagram with a new position that was lost left the receiver without it until the next
/// regular heartbeat.
#[rstest]
#[case::lost(0, 3)]
#[case::acknowledged(u64::MAX, 1)]
#[tokio::test]
async fn news_is_sent_again_until_acknowledged(#[case] ack: u64, #[case] expected: usize) {
    const POSITION: Position = Position::new(0, 7);
    // The machine may be busy, so one trial in which no regular heartbeat falls among them is enough.
    const TRIALS: usize = 5;
    let id = InstanceId::from("i0");
    let mut counts = Vec::new();
    for _ in 0..TRIALS {
        let mut neighbourhood = Neighbourhood::start(1).await;
        neighbourhood
            .receive(Instant::now() + HEARTBEAT_INTERVAL / 10)
            .await;
        let command = PeerCommand::SetTablePositions {
            positions: vec![POSITION],
            confirmed_at: None,
            change: None,
            reads: None,
        };
        neighbourhood.peers.send(command).await.unwrap();
        let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
        let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
        message.ack = ack;
        let message = PeerMessage::Heartbeat(Box::new(message));
        let frame = sessions.seal(&OWN_ID.into(), &message).unwrap();
        let addr = neighbourhood.addr;
        neighbourhood.socket.send_to(&frame, addr).await.unwrap();
        let until = Instant::now() + HEARTBEAT_INTERVAL * 3 / 5;
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        let mut count = 0;
        while let Ok(Ok((len, _))) =
            timeout_at(until, neighbourhood.socket.recv_from(&mut buf)).await
        {
            let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
            let opened = sessions.open::<PeerMessage>(&buf[..len]).unwrap();
            if let PeerMessage::Heartbeat(heartbeat) = opened.message {
                count += usize::from(heartbeat.table_positions == [POSITION]);
            }
        }
        counts.push(count);
    }
    assert!(counts.contains(&expected), "{counts:?}, not {expected}");
    assert!(
        counts.iter().all(|count| *count <= expected + 1),
        "{counts:?}"
    );
}

/// Guards against refusals for nothing: a confirmation counted as older by the time for which the acknowledged heartbeat
/// had been at its receiver, so that one that was young enough was put off.
#[tokio::test]
async fn confirmation_is_dated_by_when_its_sender_had_it() {
    const HELD: Duration = Duration::from_millis(400);
    const AGE: Duration = Duration::from_millis(300);
    // The machine may be busy, so half of the exchanges must be prompt.
    const TRIALS: usize = 5;
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    let mut lost = Vec::new();
    for _ in 0..TRIALS {
        let ack = neighbourhood.next_sequence(&id).await;
        sleep(HELD).await;
        let mut status = heartbeat(&id, Incarnation(1));
        status.confirmation_age = Some(AGE);
        let mut message = initial_heartbeat(status, neighbourhood.addr);
        (message.ack, message.ack_age) = (ack, HELD);
        message.table_positions = vec![Position::from(7), Position::from(7)];
        let sent_at = neighbourhood.clock.now();
        neighbourhood.send(&id, message).await;
        let received = timeout(READ_WITHIN, neighbourhood.follower.recv()).await;
        let Some(FollowerMessage::PeerPositions { confirmed_at, .. }) = received.unwrap() else {
            panic!();
        };
        let (confirmed_at, exact) = (confirmed_at.unwrap(), sent_at.before(AGE));
        assert!(confirmed_at <= exact, "{confirmed_at:?}, {exact:?}");
        lost.push(exact - confirmed_at);
    }
    lost.sort();
    assert!(lost[TRIALS / 2] < HELD / 2, "{lost:?}");
}

/// Guards against CONFIG and HOME: an instance whose heartbeats take long counted as gone between two of them, so that a
/// later version that it had reported was forgotten.
#[tokio::test]
async fn instance_with_slow_heartbeats_stays_alive() {
    /// Time that a heartbeat takes, in each direction.
    const WAY: Duration = Duration::from_millis(600);
    const RUN_TIME: Duration = Duration::from_secs(7);
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    let mut fleet = neighbourhood.fleet.clone();
    let clock = neighbourhood.clock;
    let exchange = async {
        // Numbers of the instance's heartbeats, and when they reach the other one.
        let mut on_their_way = VecDeque::new();
        let mut heard = None;
        let mut next = Instant::now();
        loop {
            let sequence = timeout_at(next, neighbourhood.next_sequence(&id)).await;
            if let Ok(sequence) = sequence {
                on_their_way.push_back((sequence, Instant::now() + WAY));
                continue;
            }
            next += HEARTBEAT_INTERVAL;
            while let Some((sequence, at)) = on_their_way.front().copied()
                && at <= Instant::now()
            {
                heard = Some((sequence, at));
                on_their_way.pop_front();
            }
            let Some((sequence, at)) = heard else {
                continue;
            };
            let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
            (message.ack, message.ack_age) = (sequence, at.elapsed());
            neighbourhood.send_after(&id, message, WAY);
        }
    };
    let watch = async {
        let is_known = |fleet: &Arc<Fleet>| !fleet.members.is_empty();
        let is_alive = |fleet: &Arc<Fleet>| {
            let now = clock.now();
            fleet.members.values().any(|member| member.is_alive(now))
        };
        fleet.wait_for(is_known).await.unwrap();
        fleet.wait_for(is_alive).await.unwrap();
        let end = Instant::now() + RUN_TIME;
        let mut lapses = 0;
        while Instant::now() < end {
            sleep(HEARTBEAT_INTERVAL / 50).await;
            lapses += usize::from(!is_alive(&fleet.borrow()));
        }
        lapses
    };
    let lapses = tokio::select! {
        () = exchange => unreachable!(),
        lapses = watch => lapses,
    };
    assert_eq!(lapses, 0);
}

/// Guards against CONFIG and HOME: a change counted from when a heartbeat that reported it was handled, however long its
/// sender had known of it and however long the heartbeat had been on its way.
#[tokio::test]
async fn change_is_dated_by_when_its_sender_knew_of_it() {
    const HELD: Duration = Duration::from_millis(200);
    const WAY: Duration = Duration::from_millis(400);
    const AGE: Duration = Duration::from_secs(1);
    let mut neighbourhood = Neighbourhood::start(1).await;
    let id = InstanceId::from("i0");
    let mut ack = 0;
    // There must have been a time that long ago.
    while neighbourhood.clock.now().before(AGE) == Time::ZERO {
        ack = neighbourhood.next_sequence(&id).await;
    }
    sleep(HELD).await;
    let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
    message.ack = ack;
    message.ack_age = HELD;
    message.table_positions = vec![Position::from(7), Position::from(7)];
    message.change = Some(ChangeReport {
        position: Position::from(7),
        is_arriving: true,
        age: AGE,
    });
    let sent_at = neighbourhood.clock.now();
    sleep(WAY).await;
    neighbourhood.send(&id, message).await;
    let received = timeout(READ_WITHIN, neighbourhood.follower.recv()).await;
    let Some(FollowerMessage::PeerPositions { change, .. }) = received.unwrap() else {
        panic!();
    };
    let since = change.unwrap().since;
    let known_since = sent_at.before(AGE);
    assert!(since <= known_since, "{since:?}, {known_since:?}");
    // A heartbeat that has been acknowledged is no older than this by the time it was read here.
    let earliest = known_since.before(AGE);
    assert!(since >= earliest, "{since:?}, {known_since:?}");
}

/// Guards against wrong rows that nobody sees: what an instance reports of them goes out with its next heartbeat.
#[tokio::test]
async fn rows_are_reported_in_heartbeats() {
    let mut neighbourhood = Neighbourhood::start(1).await;
    let id = InstanceId::from("i0");
    let rows = vec![Some(rows_report()), None];
    let command = PeerCommand::SetRows(rows.clone());
    neighbourhood.peers.send(command).await.unwrap();
    neighbourhood.send_heartbeats(false).await;
    let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
    let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
    let reported = async {
        loop {
            let (len, _) = neighbourhood.socket.recv_from(&mut buf).await.unwrap();
            let opened = sessions.open(&buf[..len]).unwrap();
            if let PeerMessage::Heartbeat(heartbeat) = opened.message
                && heartbeat.rows == rows
            {
                break;
            }
        }
    };
    let reported = timeout(READ_WITHIN, reported).await;
    assert_eq!(reported, Ok(()));
}

/// Guards against reports that are lost: one of rows holds however old it is, so it counts without an acknowledgement.
#[tokio::test]
async fn undated_report_of_rows_is_forwarded() {
    let mut neighbourhood = Neighbourhood::start(1).await;
    let id = InstanceId::from("i0");
    let mut message = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
    message.rows = vec![Some(rows_report()), None];
    let sent = message.rows.clone();
    neighbourhood.next_sequence(&id).await;
    neighbourhood.send(&id, message).await;
    let received = timeout(READ_WITHIN, neighbourhood.follower.recv()).await;
    let Some(FollowerMessage::PeerRows { from, rows }) = received.unwrap() else {
        panic!();
    };
    assert_eq!((from, rows), (id, sent));
}

fn rows_report() -> RowsReport {
    RowsReport {
        changed_at: Position::from(5),
        span: 3,
        digest: RowsDigest::default(),
    }
}

/// Guards against CONFIG: each heartbeat copied the state of all others and woke every task that
/// follows it.
#[tokio::test]
async fn state_of_others_is_published_seldom() {
    const ROUNDS: u32 = 3;
    /// Rate, in addition to what comes at the end of the rounds.
    const MAX_PUBLISHED_PER_S: f64 = 12.0;
    let mut neighbourhood = Neighbourhood::start(66).await;
    neighbourhood
        .receive(Instant::now() + HEARTBEAT_INTERVAL * 2)
        .await;
    // Instances whose first heartbeat has come are new.
    neighbourhood.send_heartbeats(false).await;
    let mut fleet = neighbourhood.fleet.clone();
    fleet.mark_unchanged();
    let counted = tokio::spawn(async move {
        let mut published = 0;
        while let Ok(Ok(())) = timeout(Duration::from_millis(400), fleet.changed()).await {
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

/// Time within which the instance must have dealt with a batch of frames.
const READ_WITHIN: Duration = Duration::from_secs(20);

/// Ways in which a message of a later build can't be read.
#[derive(Debug, Clone, Copy)]
enum Fault {
    UnknownKind,
    ZeroFormat,
    CutOff,
    LengthBeyondEnd,
}

/// Draws a message that can't be read.
fn draw_unreadable(rng: &mut Pcg32) -> Vec<u8> {
    /// Kinds that this build lacks; at most 64 kinds of an instance are counted.
    const UNKNOWN_KINDS: std::ops::Range<u8> = 20..50;
    let faults = [
        Fault::UnknownKind,
        Fault::ZeroFormat,
        Fault::CutOff,
        Fault::LengthBeyondEnd,
    ];
    let status = heartbeat(&"i0".into(), Incarnation(1));
    let mut heartbeat = initial_heartbeat(status, ([127, 0, 0, 1], 1).into());
    heartbeat.demand = vec![("board".into(), 12.5)];
    heartbeat.format = OWN_FORMAT + 1;
    match faults[rng.random_range(0..faults.len())] {
        Fault::UnknownKind => {
            let kind = rng.random_range(UNKNOWN_KINDS);
            let fields = (0..rng.random_range(0..200)).map(|_| rng.random());
            [kind].into_iter().chain(fields).collect()
        }
        Fault::ZeroFormat => {
            heartbeat.format = 0;
            encode(&heartbeat)
        }
        Fault::CutOff => {
            // Without the eras, retained entries, rows, reads, change, departures, build, format and path it is one of an earlier format.
            let lacking = heartbeat.build.len() + 11;
            let whole = encode(&heartbeat);
            loop {
                let cut = rng.random_range(1..whole.len());
                if ![lacking, lacking + 1].contains(&cut) {
                    return whole[..whole.len() - cut].to_vec();
                }
            }
        }
        Fault::LengthBeyondEnd => {
            // A kind that begins with a workspace's name, and a name longer than the rest.
            let (len, beyond) = (rng.random_range(1..60), rng.random_range(1..60));
            let name = (0..len).map(|_| b'g');
            let head = [rng.random_range(1..4), len + beyond];
            head.into_iter().chain(name).collect()
        }
    }
}

fn encode(heartbeat: &PeerHeartbeat) -> Vec<u8> {
    let message = PeerMessage::Heartbeat(Box::new(heartbeat.clone()));
    postcard::to_stdvec(&message).unwrap()
}

/// Frames of a newer format, of format zero, cut off, with lengths beyond their end, damaged or made up:
/// those of another instance are counted, all are dropped, and nothing else changes.
#[tokio::test]
async fn malformed_frames_change_nothing() {
    const BATCHES: usize = 40;
    const BATCH: usize = 100;
    let mut rng = Pcg32::seed_from_u64(28);
    let mut neighbourhood = Neighbourhood::start(1).await;
    neighbourhood.format = OWN_FORMAT + 1;
    neighbourhood
        .receive(Instant::now() + HEARTBEAT_INTERVAL * 2)
        .await;
    neighbourhood.send_heartbeats(false).await;
    let mut fleet = neighbourhood.fleet.clone();
    let is_known = |fleet: &Fleet| fleet.members.values().any(|one| one.format > OWN_FORMAT);
    let known = fleet
        .wait_for(|fleet| is_known(fleet))
        .await
        .unwrap()
        .clone();
    let id = InstanceId::from("i0");
    let mut unreadable = 0;
    for _ in 0..BATCHES {
        for _ in 0..BATCH {
            let content = draw_unreadable(&mut rng);
            let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
            let mut frame = sessions.seal_encoded(&OWN_ID.into(), &content).unwrap();
            match rng.random_range(0..8) {
                0 => frame.truncate(rng.random_range(0..frame.len())),
                1 => {
                    let idx = rng.random_range(0..frame.len());
                    frame[idx] ^= 1 << rng.random_range(0..8);
                }
                2 => {
                    let len = rng.random_range(0..300);
                    frame = (0..len).map(|_| rng.random()).collect();
                }
                _ => unreadable += 1,
            }
            let addr = neighbourhood.addr;
            neighbourhood.socket.send_to(&frame, addr).await.unwrap();
        }
        let counted = fleet.wait_for(|fleet| fleet.unread_messages >= unreadable);
        timeout(READ_WITHIN, counted).await.unwrap().unwrap();
    }
    assert!(unreadable > 2_000, "{unreadable}");
    let after = fleet.borrow().clone();
    assert_eq!(after.unread_messages, unreadable);
    assert_eq!(after.members, known.members);
    assert!(neighbourhood.engine.try_recv().is_err());
    assert!(neighbourhood.owners.try_recv().is_err());
    // The instance is a member as before, and its next heartbeat is read.
    neighbourhood.send_heartbeats(true).await;
    let left = fleet.wait_for(|fleet| fleet.members[&id].is_leaving);
    timeout(READ_WITHIN, left).await.unwrap().unwrap();
}
/// Guards against messages that are read, of numbers far too large or of nonsense: they end nothing, and sound ones still count.
#[tokio::test]
async fn odd_messages_end_nothing() {
    const BATCHES: u64 = 40;
    const BATCH: usize = 50;
    let mut neighbourhood = Neighbourhood::start(1).await;
    let id = InstanceId::from("i0");
    let status = heartbeat(&id, Incarnation(1));
    let mut full = initial_heartbeat(status, neighbourhood.addr);
    full.set_positions(vec![Position::new(1, 300), Position::new(2, 7)]);
    full.store_era = 2;
    full.ack_age = Duration::from_millis(300);
    full.reads = Some(ReadsReport {
        contact_age: Duration::from_millis(300),
        is_failing: false,
    });
    full.change = Some(ChangeReport {
        position: Position::from(300),
        is_arriving: true,
        age: Duration::from_millis(300),
    });
    let samples = [
        PeerMessage::Heartbeat(Box::new(full)),
        PeerMessage::LoansReturned("gym".into(), 5),
        PeerMessage::Rates {
            reports: Vec::new(),
            ack: 1,
        },
    ];
    let samples = samples.map(|message| postcard::to_stdvec(&message).unwrap());
    let mut mutator = Mutator::new(51, samples.to_vec());
    for _ in 0..Mutator::rounds(BATCHES) {
        for _ in 0..BATCH {
            let content = mutator.draw();
            let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
            let frame = sessions.seal_encoded(&OWN_ID.into(), &content).unwrap();
            let addr = neighbourhood.addr;
            neighbourhood.socket.send_to(&frame, addr).await.unwrap();
        }
        // The instance reads them all, and informs the others of itself.
        neighbourhood
            .receive(Instant::now() + HEARTBEAT_INTERVAL / 25)
            .await;
        while neighbourhood.engine.try_recv().is_ok() {}
        while neighbourhood.follower.try_recv().is_ok() {}
    }
    let mut fleet = neighbourhood.fleet.clone();
    neighbourhood.send_heartbeats(true).await;
    let left = fleet.wait_for(|fleet| fleet.members[&id].is_leaving);
    timeout(READ_WITHIN, left).await.unwrap().unwrap();
}

/// Guards against unread messages in a fleet of one build: an instance that had just started knew another
/// one's incarnation before its address, and reported rates to it before a heartbeat.
#[tokio::test]
async fn first_message_follows_a_heartbeat() {
    const TRIALS: usize = 5;
    let id = InstanceId::from("i0");
    for _ in 0..TRIALS {
        let neighbourhood = Neighbourhood::start(0).await;
        let mut sessions = Sessions::new(secret(), id.clone(), Incarnation(1));
        let frame = sessions.seal(&OWN_ID.into(), &0u8).unwrap();
        let (addr, socket) = (neighbourhood.addr, &neighbourhood.socket);
        socket.send_to(&frame, addr).await.unwrap();
        sleep(HEARTBEAT_INTERVAL / 10).await;
        let report = PeerMessage::LoansReturned("gym".into(), 5);
        let moved = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        // The instance is listed, and then at another address.
        for socket in [socket, &moved] {
            let mut list = neighbourhood.listed([id.clone()]);
            list[0].addr = socket.local_addr().unwrap();
            for command in [
                PeerCommand::SetList(list),
                PeerCommand::Send(id.clone(), report.clone()),
            ] {
                neighbourhood.peers.send(command).await.unwrap();
            }
            let mut messages = Vec::new();
            let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
            while !messages.contains(&report) {
                let (len, _) = socket.recv_from(&mut buf).await.unwrap();
                messages.push(sessions.open(&buf[..len]).unwrap().message);
            }
            assert!(
                matches!(messages[0], PeerMessage::Heartbeat(_)),
                "{messages:?}"
            );
        }
    }
}

/// Guards against DENIED: an instance that had started again took an acknowledgement of its former process's heartbeat for one
/// of its own of that number, so that what was reported to it counted as newer than it was.
#[tokio::test]
async fn heartbeat_of_a_former_process_is_not_acknowledged_to_the_next() {
    const SEQUENCE: u64 = 4;
    let id = InstanceId::from("i0");
    let mut neighbourhood = Neighbourhood::start(1).await;
    neighbourhood
        .receive(Instant::now() + HEARTBEAT_INTERVAL / 5)
        .await;
    let mut former = initial_heartbeat(heartbeat(&id, Incarnation(1)), neighbourhood.addr);
    former.sequence = SEQUENCE;
    neighbourhood.send(&id, former).await;
    neighbourhood
        .receive(Instant::now() + HEARTBEAT_INTERVAL * 2)
        .await;
    // It knows nobody yet, so that its first heartbeat may be from any time.
    let next = Sessions::new(secret(), id.clone(), Incarnation(2));
    neighbourhood.sessions.insert(id.clone(), next);
    let mut first = initial_heartbeat(heartbeat(&id, Incarnation(2)), neighbourhood.addr);
    first.sequence = 1;
    neighbourhood.send(&id, first).await;
    let sessions = neighbourhood.sessions.get_mut(&id).unwrap();
    let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
    let heartbeat = loop {
        let (len, _) = neighbourhood.socket.recv_from(&mut buf).await.unwrap();
        let Ok(opened) = sessions.open::<PeerMessage>(&buf[..len]) else {
            continue;
        };
        if let PeerMessage::Heartbeat(heartbeat) = opened.message
            && opened.is_fresh
        {
            break heartbeat;
        }
    };
    assert_eq!(heartbeat.ack, 0);
}

//! Tables that arrive byte by byte for as long as one waits: another source is read concurrently.

#[path = "support/member.rs"]
mod member;
#[path = "support/options.rs"]
mod options;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Config, InstanceId, Position, Time};
use coord::{Replica, ReplicaRow, TableSnapshot, rendezvous_draw};
use daemon::{
    fleet::{Fleet, FleetMember},
    follower::{
        Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::{FollowerMessage, TableChange},
    peer_server,
    relay::RelayServer,
    rpc::{IncomingCall, Reply},
};
use entry::{
    metrics::Metrics,
    view::{Clock, View},
};
use member::listed_member;
use options::options;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply as Answer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until, timeout},
};
use wire::Secret;

const OWN_ID: &str = "own";
const TABLE: &str = "op";
const OTHER_TABLE: &str = "servers";
/// Positions of the table before and after its change.
const BEFORE: u64 = 1;
const AFTER: u64 = 2;
/// Time between two bytes of a transfer that goes on without end.
const BYTE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two heartbeats of the others, each of which reports the later position.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which the table is wanted.
const BOUND: Duration = Duration::from_secs(4);
/// Time to look for reads that follow.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Sources that send byte by byte, as many as are asked at the same time.
const TRICKLING: usize = 3;

/// Other instances, by their addresses.
type Sources = Vec<(InstanceId, SocketAddr)>;

fn secret() -> Secret {
    Secret::derive("a secret for tests only")
}

fn snapshot() -> TableSnapshot {
    let row = ReplicaRow {
        value: AFTER.to_string().into(),
        position: Position::from(AFTER),
    };
    TableSnapshot {
        rows: [("config".to_owned(), row)].into(),
        position: Position::from(AFTER),
    }
}

/// Starts an instance that has the table after its change.
async fn start_source() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, mut calls) = mpsc::channel::<IncomingCall>(8);
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let relays = RelayServer::new(view, engine);
    let metrics = Metrics::new().unwrap();
    tokio::spawn(peer_server::serve(listener, secret(), tx, relays, metrics));
    tokio::spawn(async move {
        let _kept = (view_tx, engine_rx);
        while let Some(call) = calls.recv().await {
            let _ = call.reply.send(Reply::Table(Some(snapshot())));
        }
    });
    addr
}

/// Starts an instance whose answers arrive byte by byte without end.
async fn start_trickling() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(trickle(stream));
        }
    });
    addr
}

async fn trickle(mut stream: TcpStream) {
    const NONCE: [u8; 16] = [7; 16];
    let _ = stream.set_nodelay(true);
    let _ = stream.write_all(&NONCE).await;
    let _ = stream.write_u32(1_000_000).await;
    while stream.write_u8(0).await.is_ok() {
        sleep(BYTE_INTERVAL).await;
    }
}

/// Returns a store whose answers are complete at once up to the change; after it they arrive byte by byte on
/// the connections that are open, and at once on new ones. `polls` counts the calls from the change on.
fn store(changes_at: Instant, polls: Arc<AtomicUsize>) -> Platform {
    Platform::spawn(move || {
        let (opened, polls) = (Instant::now(), polls.clone());
        move |call, progress| answer(call, progress, opened, changes_at, polls.clone())
    })
}

async fn answer(
    call: Call,
    progress: Progress,
    opened: Instant,
    changes_at: Instant,
    polls: Arc<AtomicUsize>,
) -> Result<Answer, PlatformError> {
    let (after, wait) = match &call {
        Call::Changes { table, wait_ms, .. } if table == OTHER_TABLE => {
            sleep(Duration::from_millis(*wait_ms)).await;
            return Ok(Answer::Changes(Vec::new(), Position::from(BEFORE)));
        }
        Call::Snapshot { table } if table == OTHER_TABLE => {
            return Ok(Answer::Changes(Vec::new(), Position::from(BEFORE)));
        }
        Call::Changes { after, wait_ms, .. } => (after.version, Duration::from_millis(*wait_ms)),
        Call::Snapshot { .. } => (0, Duration::ZERO),
        _ => return Err(PlatformError::Unavailable),
    };
    if after >= BEFORE {
        let until = changes_at.min(Instant::now() + wait);
        sleep_until(until).await;
    }
    let position = if Instant::now() < changes_at {
        BEFORE
    } else {
        polls.fetch_add(1, Ordering::Relaxed);
        AFTER
    };
    if position == AFTER && opened < changes_at {
        loop {
            progress.add(1);
            sleep(BYTE_INTERVAL).await;
        }
    }
    let change = Change {
        row: "config".to_owned(),
        value: Some(position.to_string()),
        at: Position::from(position),
    };
    let is_known = position <= after;
    let rows = (!is_known).then_some(change).into_iter().collect();
    Ok(Answer::Changes(rows, Position::from(position)))
}

/// Follows the tables of `platform` next to these instances, all of which report the later position from
/// `reports_at` on, and sends each version that comes into force.
fn follow(
    platform: Platform,
    sources: Sources,
    reports_at: Instant,
) -> mpsc::UnboundedReceiver<u64> {
    let mut fleet = Fleet::default();
    for (id, addr) in &sources {
        let member = FleetMember {
            addr: Some(*addr),
            ..listed_member()
        };
        fleet.members.insert(id.clone(), member);
    }
    let (fleet_tx, fleet) = watch::channel(Arc::new(fleet));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let (peers, mut peers_rx) = mpsc::channel(64);
    let (view, view_rx) = watch::channel(Arc::new(View::default()));
    let (snapshots, snapshots_rx) = watch::channel(Arc::default());
    let (versions, versions_rx) = mpsc::unbounded_channel();
    let compose = move |replicas: &[&Replica]| {
        let (_, row) = replicas[0].rows().next()?;
        let version = row.value.parse().ok()?;
        let _ = versions.send(version);
        Some(ComposedConfig {
            version,
            is_latest: true,
            config: Config::default(),
        })
    };
    let follower = TableFollower::new(
        options(Clock::start(), platform, fleet),
        Outputs {
            engine,
            peers,
            view,
        },
        FollowedTables {
            orders: Vec::new(),
            tables: vec![TABLE.to_owned(), OTHER_TABLE.to_owned()],
            compose,
        },
        snapshots,
    );
    let (tx, rx) = mpsc::channel(64);
    tokio::spawn(follower.run(rx));
    tokio::spawn(async move {
        let _kept = (fleet_tx, engine_rx, view_rx, snapshots_rx);
        while peers_rx.recv().await.is_some() {}
    });
    tokio::spawn(async move {
        sleep_until(reports_at).await;
        loop {
            for (from, _) in &sources {
                let report = FollowerMessage::PeerPositions {
                    from: from.clone(),
                    positions: vec![Position::from(AFTER), Position::from(BEFORE)],
                    confirmed_at: None,
                    change: Some(TableChange::complete(Position::from(AFTER), Time::ZERO)),
                    reads: None,
                };
                if tx.send(report).await.is_err() {
                    return;
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    versions_rx
}

/// Waits until the version after the change is in force.
async fn await_change(mut versions: mpsc::UnboundedReceiver<u64>) {
    while versions.recv().await.unwrap() != AFTER {}
}

/// Guards against CONFIG: a store that sent a byte now and then held up the version that all others had for
/// as long as it did so, since nothing was asked of them while an own read was arriving.
#[tokio::test(start_paused = true)]
async fn change_is_fetched_beside_a_read_that_trickles() {
    let changes_at = Instant::now() + Duration::from_millis(5_050);
    let polls = Arc::new(AtomicUsize::new(0));
    let platform = store(changes_at, polls.clone());
    let sources = vec![("i1".into(), start_source().await)];
    let versions = follow(platform, sources, changes_at);
    let in_force = await_change(versions);
    timeout(changes_at - Instant::now() + BOUND, in_force)
        .await
        .unwrap();
    // What trickled in is not needed any more: the store is asked again on a new connection.
    sleep(WATCH_TIME).await;
    assert!(polls.load(Ordering::Relaxed) > 1);
}

/// Guards against CONFIG: instances that sent a byte now and then held all places of fetches, and one that
/// could have sent the whole table was never asked.
#[tokio::test(start_paused = true)]
async fn change_is_fetched_beside_sources_that_trickle() {
    let platform = Platform::spawn(|| |_, _| async { Err(PlatformError::Unavailable) });
    let mut ids: Vec<InstanceId> = (0..=TRICKLING)
        .map(|idx| InstanceId::from(format!("i{idx}").as_str()))
        .collect();
    // Without a known region the instances are asked in this order.
    ids.sort_by_key(|id| rendezvous_draw(OWN_ID, id) & !(1 << 63));
    let last = ids.pop().unwrap();
    let mut sources = vec![(last, start_source().await)];
    for id in ids {
        sources.push((id, start_trickling().await));
    }
    let versions = follow(platform, sources, Instant::now());
    timeout(BOUND * 2, await_change(versions)).await.unwrap();
}

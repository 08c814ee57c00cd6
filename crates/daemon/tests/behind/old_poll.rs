//! An instance that fetched a version from another one, and whose store then answers a poll from before it.

use std::{future::pending, net::SocketAddr, sync::Arc, time::Duration};

use base::{InstanceId, Position, Time};
use coord::{ReplicaRow, TableSnapshot};
use daemon::{
    fleet::{Fleet, FleetMember},
    format::OWN_FORMAT,
    message::{FollowerMessage, TableChange},
    peer_server,
    relay::RelayServer,
    table_server::TableServer,
};
use entry::{
    metrics::Metrics,
    view::{Clock, View},
};
use platform::{Call, Change, Platform, Progress, Reply};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};
use wire::Secret;

use crate::{
    call::read_of,
    is_refused,
    model::{
        Decided, HEARTBEAT_INTERVAL, Node, RUN_TIME, Scenario, member, position_of, reporter_id,
        store,
    },
    paused::run_paused,
    transfer::Transfer,
    unread::send_heartbeats,
};

const CHANGE: Duration = Duration::from_secs(5);
/// Time from which on the store answers the instance that it had turned away.
const BACK: Duration = Duration::from_secs(9);

fn table(version: usize) -> TableSnapshot {
    let position = position_of(version);
    let row = ReplicaRow {
        value: version.to_string().as_str().into(),
        position: Position::from(position),
    };
    TableSnapshot {
        rows: [("config".to_owned(), row)].into(),
        position: Position::from(position),
    }
}

/// Serves the tables with the version.
async fn serve_tables() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tables_tx, tables) = watch::channel(Arc::new(vec![table(1), table(0)]));
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let (calls, calls_rx) = mpsc::channel(16);
    tokio::spawn(TableServer::new(tables).run(calls_rx));
    tokio::spawn(async move {
        let _kept = (tables_tx, view_tx, engine_rx);
        let secret = Secret::derive("a secret for tests only");
        let relays = RelayServer::new(view, engine);
        let metrics = Metrics::new().unwrap();
        peer_server::serve(listener, secret, calls, relays, metrics).await;
    });
    addr
}

/// Returns a store that answers first reads, and from [`BACK`] on polls: their answers arrive for `transfer`.
fn late_store(started: Instant, transfer: Duration) -> Platform {
    Platform::spawn(move || {
        move |call: Call, progress: Progress| async move {
            let (table, after, wait) = read_of(call)?;
            let is_operators = table == "op";
            let version = usize::from(is_operators && after > 0);
            let position = position_of(version);
            let rows = vec![Change {
                row: "config".to_owned(),
                value: Some(version.to_string()),
                at: Position::from(position),
            }];
            if after == 0 {
                return Ok(Reply::Changes(rows, Position::from(position)));
            }
            if started.elapsed() < BACK {
                pending::<()>().await;
            }
            if after >= position {
                sleep_until(Instant::now() + wait).await;
                progress.add(1);
                return Ok(Reply::Changes(Vec::new(), Position::from(position)));
            }
            Transfer::Takes(transfer).transmit(&progress).await?;
            Ok(Reply::Changes(rows, Position::from(position)))
        }
    })
}

/// Returns what becomes of requests at the instance that was turned away, and at one that has the version too and reads
/// the store until `outage`.
async fn play(transfer: Duration, outage: Option<Duration>) -> [Vec<Decided>; 2] {
    let (started, clock) = (Instant::now(), Clock::start());
    let scenario = Arc::new(Scenario {
        changes: vec![CHANGE],
        transfers: vec![Transfer::Takes(Duration::from_millis(50)); 4],
        outage,
        ..Scenario::calm()
    });
    let source = InstanceId::from("source");
    let holder = FleetMember {
        addr: Some(serve_tables().await),
        format: OWN_FORMAT,
        ..member(RUN_TIME)
    };
    let fleet = Fleet {
        members: [(source.clone(), holder)].into(),
        ..Fleet::default()
    };
    let mut turned_away = Node::start_among(&scenario, clock, late_store(started, transfer), fleet);
    let reading = store(started, &scenario, scenario.transfers.clone());
    let reader = Node::start(&scenario, clock, reading, [reporter_id(0)], RUN_TIME);
    let follower = turned_away.follower.clone();
    tokio::spawn(async move {
        let mut at = CHANGE + HEARTBEAT_INTERVAL / 4;
        loop {
            sleep_until(started + at).await;
            at += HEARTBEAT_INTERVAL;
            let change = TableChange::complete(Position::from(position_of(1)), Time::ZERO + CHANGE);
            let message = FollowerMessage::PeerPositions {
                from: source.clone(),
                positions: vec![
                    Position::from(position_of(1)),
                    Position::from(position_of(0)),
                ],
                confirmed_at: None,
                change: Some(change),
                reads: None,
            };
            if follower.send(message).await.is_err() {
                return;
            }
        }
    });
    let (_, closed) = mpsc::channel(1);
    let told = std::mem::replace(&mut turned_away.told, closed);
    let phase = Duration::from_millis(100);
    tokio::spawn(send_heartbeats(
        started,
        phase,
        reporter_id(0),
        told,
        reader.follower.clone(),
    ));
    let (first, second) = tokio::join!(turned_away.decide(started), reader.decide(started));
    [first, second]
}

fn refused(decided: &[Decided]) -> (usize, Option<(Duration, Duration)>) {
    let refused = decided.iter().filter(|one| is_refused(one));
    let with_version = refused.filter(|one| one.in_force == 1);
    let times: Vec<Duration> = with_version.map(|one| one.at).collect();
    let span = times.first().copied().zip(times.last().copied());
    (times.len(), span)
}

/// Guards against refusals for nothing: the answer to a poll from before a version that has been fetched brings what is
/// there already, but counted as a later version at the instance itself and, by its heartbeats, at all others.
#[test]
fn answer_to_a_poll_from_before_the_own_rows_makes_nobody_refuse() {
    let outages = [None, Some(Duration::from_secs(7))];
    let transfers = [1_000, 2_400, 4_000].map(Duration::from_millis);
    let mut found = Vec::new();
    for outage in outages {
        for transfer in transfers {
            let [own, others] = run_paused(play(transfer, outage));
            assert!(own.iter().any(|one| one.in_force == 1 && one.at < BACK));
            let counts = [refused(&own), refused(&others)];
            if counts.iter().any(|(count, _)| *count > 0) {
                found.push((outage, transfer, counts));
            }
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

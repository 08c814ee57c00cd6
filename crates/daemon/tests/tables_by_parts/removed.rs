//! Entries of targets that are gone by the rows of an instance that reads the platform, which turns this one away.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Config, Position, Registration, Service, Target, Time};
use coord::{Departure, Replica, ReplicaRow, TableSnapshot};
use daemon::{
    fleet::Fleet,
    follower::{
        Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::{FollowerMessage, OwnReads, TableChange},
};
use entry::{
    message::Event,
    view::{Clock, View},
};
use platform::{Change, Platform, PlatformError, Reply};
use rstest::rstest;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Instant, interval, sleep, timeout},
};

use crate::{
    follower::{Peer, member},
    options::options,
    serve_tables,
};

/// Target whose entry is removed.
const GONE: &str = "t2";
const OPERATOR_POSITION: Position = Position::new(0, 5);
const BEFORE: u64 = 6;
const AFTER: u64 = 9;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the platform has turned this instance away when the entry is removed.
const TURNED_AWAY_TIME: Duration = Duration::from_secs(3);
/// Time within which rows that are handed out have been fetched.
const FETCH_TIME: Duration = Duration::from_millis(600);
/// Least `drainS`.
const DRAIN: Duration = Duration::from_secs(2);
/// Age of what is read all the time.
const RECENT: Duration = Duration::from_millis(150);
/// Age of the last read of a table that doesn't change, so that a poll waits.
const RESTING: Duration = Duration::from_millis(1_900);

/// What the other instance reports, and when it hands its rows out.
#[derive(Debug, Clone, Copy)]
struct Other {
    confirmation_age: Duration,
    contact_age: Duration,
    is_failing: bool,
    /// Time from its report of the removal to when the rows can be fetched.
    hands_out_after: Duration,
    /// Position at which it reports, once the rows have been fetched, that the target has left.
    tells_at: Option<u64>,
}

fn targets(position: u64, names: &[&str]) -> TableSnapshot {
    let rows = names.iter().map(|name| {
        let row = ReplicaRow {
            value: "up".into(),
            position: Position::from(BEFORE),
        };
        ((*name).to_owned(), row)
    });
    TableSnapshot {
        rows: rows.collect(),
        position: Position::from(position),
    }
}

fn operators() -> TableSnapshot {
    let row = ReplicaRow {
        value: "1".into(),
        position: OPERATOR_POSITION,
    };
    TableSnapshot {
        rows: [("config".to_owned(), row)].into(),
        position: OPERATOR_POSITION,
    }
}

/// Returns a platform that answers the first read of each table, and then nothing any more.
fn platform() -> Platform {
    Platform::spawn(|| {
        |call, _: platform::Progress| async move {
            let platform::Call::Snapshot { table } = call else {
                return Err(PlatformError::Unavailable);
            };
            let read = if table == "op" {
                operators()
            } else {
                targets(BEFORE, &["t1", "t2"])
            };
            let rows = read.rows.into_iter().map(|(row, content)| Change {
                row,
                value: Some(content.value.to_string()),
                at: content.position,
            });
            Ok(Reply::Changes(rows.collect(), read.position))
        }
    })
}

/// Guards against DRAIN: an instance that the platform turned away took that for an outage, and kept entries that were
/// gone by the rows that it fetched from one that went on reading.
#[rstest]
#[case::operators_change(RECENT)]
#[case::operators_rest(RESTING)]
#[tokio::test]
async fn removed_entry_is_not_kept_while_others_read(#[case] confirmation_age: Duration) {
    let other = Other {
        confirmation_age,
        contact_age: RECENT,
        is_failing: false,
        hands_out_after: Duration::ZERO,
        tells_at: None,
    };
    let kept = kept_after_report(other).await;
    assert!(kept < DRAIN * 3 / 4, "{kept:?}");
}

/// Guards against DRAIN: where nobody in contact reads the platform, a removed entry was kept from the end of a fetch
/// that took long, not from when its removal was known.
#[tokio::test]
async fn removed_entry_is_kept_from_when_that_was_known() {
    let other = Other {
        confirmation_age: DRAIN * 3,
        contact_age: DRAIN * 3,
        is_failing: true,
        hands_out_after: Duration::from_millis(700),
        tells_at: None,
    };
    let kept = kept_after_report(other).await;
    assert!(kept < DRAIN, "{kept:?}");
    assert!(kept > DRAIN * 3 / 4, "{kept:?}");
}

/// Guards against DRAIN: an instance that had fetched the rows without an entry, and retained it, didn't believe others that
/// no longer did; and against living targets that are out for nothing by a departure of an earlier life.
#[rstest]
#[case::of_this_life(AFTER, DRAIN / 2)]
#[case::of_an_earlier_life(BEFORE - 1, DRAIN)]
#[tokio::test]
async fn retained_entry_is_dropped_once_others_tell_that_it_has_left(
    #[case] position: u64,
    #[case] max_kept: Duration,
) {
    let other = Other {
        confirmation_age: DRAIN * 3,
        contact_age: DRAIN * 3,
        is_failing: true,
        hands_out_after: Duration::ZERO,
        tells_at: Some(position),
    };
    let kept = kept_after_report(other).await;
    assert!(kept < max_kept, "{kept:?}");
    assert!(position > BEFORE || kept > DRAIN * 3 / 4, "{kept:?}");
}

/// Returns the time from the report that an entry is gone to when this instance puts that in force.
async fn kept_after_report(other: Other) -> Duration {
    let (addr, served) = serve_tables(vec![operators(), targets(BEFORE, &["t1", "t2"])]).await;
    let mut fleet = Fleet::default();
    let source = member(addr, Peer::Honest);
    fleet.members.insert("i0".into(), source);
    let clock = Clock::start();
    let (_fleet, fleet) = watch::channel(Arc::new(fleet));
    let (engine, mut events) = mpsc::unbounded_channel();
    let (peers, mut commands) = mpsc::channel(64);
    let (view, _view) = watch::channel(Arc::new(View::default()));
    let (snapshots, _snapshots) = watch::channel(Arc::default());
    let (in_force, mut composed) = watch::channel(Vec::new());
    let follower = TableFollower::new(
        options(clock, platform(), fleet),
        Outputs {
            engine,
            peers,
            view,
        },
        FollowedTables {
            orders: Vec::new(),
            tables: vec!["op".to_owned(), "targets".to_owned()],
            compose: move |replicas: &[&Replica]| {
                let names = replicas[1].rows().map(|(name, _)| name.to_owned());
                in_force.send_replace(names.collect());
                Some(ComposedConfig {
                    version: 1,
                    is_latest: true,
                    config: config_of(replicas[1]),
                })
            },
        },
        snapshots,
    );
    let (tx, rx) = mpsc::channel(64);
    tokio::spawn(follower.run(rx));
    tokio::spawn(async move { while commands.recv().await.is_some() {} });
    let (position, reported) = watch::channel(BEFORE);
    let report_now = Arc::new(Notify::new());
    let news = report_now.clone();
    let (tell, told) = watch::channel(None);
    tokio::spawn(async move {
        let mut tick = interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = news.notified() => {}
            }
            let now = clock.now();
            let report = FollowerMessage::PeerPositions {
                from: "i0".into(),
                positions: vec![OPERATOR_POSITION, Position::from(*reported.borrow())],
                confirmed_at: Some(now.before(other.confirmation_age)),
                change: Some(TableChange::complete(OPERATOR_POSITION, Time::ZERO)),
                reads: Some(OwnReads {
                    contact_at: now.before(other.contact_age),
                    is_failing: other.is_failing,
                }),
            };
            if tx.send(report).await.is_err() {
                return;
            }
            let Some(position) = *told.borrow() else {
                continue;
            };
            let departure = Departure {
                target: GONE.into(),
                position: Position::from(position),
            };
            let told = FollowerMessage::PeerDepartures {
                from: "i0".into(),
                departures: vec![departure],
            };
            if tx.send(told).await.is_err() {
                return;
            }
        }
    });
    sleep(TURNED_AWAY_TIME).await;
    position.send_replace(AFTER);
    report_now.notify_one();
    let reported_at = Instant::now();
    sleep(other.hands_out_after).await;
    served.send_replace(Arc::new(vec![operators(), targets(AFTER, &["t1"])]));
    if other.tells_at.is_some() {
        sleep(FETCH_TIME).await;
        tell.send_replace(other.tells_at);
        report_now.notify_one();
    }
    let gone = async {
        tokio::select! {
            _ = composed.wait_for(|names| *names == ["t1"]) => {}
            () = left(&mut events) => {}
        }
    };
    assert_eq!(timeout(DRAIN * 2, gone).await, Ok(()));
    reported_at.elapsed()
}

/// Waits until the engine is informed that the target has left.
async fn left(events: &mut mpsc::UnboundedReceiver<Event>) {
    while let Some(event) = events.recv().await {
        if let Event::TargetsLeft(targets) = event
            && targets == [GONE.into()]
        {
            return;
        }
    }
}

/// Returns a configuration whose only service has the targets of these rows, retained ones included.
fn config_of(targets: &Replica) -> Config {
    let targets = targets.rows().map(|(name, _)| {
        let target = Target {
            domain: "d".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 9)),
            registered: Some(Registration {
                slots: 1,
                is_leaving: false,
                cold_ms: 0,
                incarnation: 1,
            }),
        };
        (name.into(), target)
    });
    let service = Service {
        slots: 1,
        connections: 1,
        deadline_ms: 10_000,
        open_routes: Vec::new(),
        targets: targets.collect(),
        cold: None,
    };
    Config {
        services: BTreeMap::from([("board".into(), service)]),
        ..Config::default()
    }
}

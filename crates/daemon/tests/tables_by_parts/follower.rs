//! What a follower fetches, and from whom.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Config, Position, Time};
use coord::Replica;
use daemon::{
    fleet::{Fleet, FleetMember},
    follower::{
        FollowerOptions, Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    format::OWN_FORMAT,
    message::{FollowerMessage, TableChange},
    rpc::Call,
};
use entry::{
    message::Event,
    metrics::Metrics,
    view::{Clock, View},
};
use platform::{Change, Platform, PlatformError, Reply};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    carry, document, fetches::changed_part, member::listed_member, options::options, serve_lies,
    table,
};

const ROUTES: usize = 600;
const BEFORE: usize = 100;
const AFTER: usize = 90;
/// Position of the version that the sources have.
pub(crate) const POSITION: u64 = 6;

/// Time in which the read after the first one has begun.
const OWN_READ_TIME: Duration = Duration::from_millis(300);

/// What an own read of the next version does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OwnRead {
    /// It fails.
    Fails,
    /// It goes on arriving.
    Arrives,
}

/// What another instance does.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Peer {
    Honest,
    /// It changes parts that it sends.
    Lies,
    /// It ends after the list.
    Dies,
    /// It is of a build without calls for parts.
    Older,
}

/// Last format without calls for parts.
const FORMAT_WITHOUT_PARTS: u32 = 4;

/// Counts the calls that were made, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Calls {
    lists: usize,
    parts: usize,
    whole: usize,
    packed: usize,
}

type Asked = Arc<Mutex<Calls>>;

/// Lets a follower that has the version before learn of the next one from these instances; returns whether
/// it was in force within `limit`, the calls that it made, and how many answers it refused.
async fn follow(own: OwnRead, peers: &[Peer], limit: Duration) -> (bool, Calls, i64) {
    let asked = Asked::default();
    let mut fleet = Fleet::default();
    for (idx, peer) in peers.iter().enumerate() {
        let id = format!("i{idx}");
        let addr = start_peer(*peer, asked.clone()).await;
        fleet
            .members
            .insert(id.as_str().into(), member(addr, *peer));
    }
    let metrics = Metrics::new().unwrap();
    let (in_force, mut in_force_rx) = mpsc::unbounded_channel();
    let (tx, running) = start_follower(platform(own), fleet, metrics.clone(), in_force);
    in_force_rx.recv().await.unwrap();
    // The next own read is under way, and arriving if any is.
    sleep(OWN_READ_TIME).await;
    for idx in 0..peers.len() {
        let report = FollowerMessage::PeerPositions {
            from: format!("i{idx}").as_str().into(),
            positions: vec![Position::from(POSITION)],
            confirmed_at: None,
            change: Some(TableChange::complete(Position::from(POSITION), Time::ZERO)),
            reads: None,
        };
        tx.send(report).await.unwrap();
    }
    let is_in_force = timeout(limit, in_force_rx.recv()).await;
    if let Ok(text) = &is_in_force {
        assert_eq!(*text, Some(document(ROUTES, AFTER)));
    }
    running.abort();
    let refused = metrics.gauges.with_label_values(&["table_parts_refused"]);
    let calls = *asked.lock().unwrap();
    (is_in_force.is_ok(), calls, refused.get())
}

/// Starts a follower that sends each text that comes into force to `in_force`.
pub(crate) fn start_follower(
    platform: Platform,
    fleet: Fleet,
    metrics: Metrics,
    in_force: mpsc::UnboundedSender<String>,
) -> (mpsc::Sender<FollowerMessage>, tokio::task::JoinHandle<()>) {
    let (engine, mut events) = mpsc::unbounded_channel();
    tokio::spawn(async move { while events.recv().await.is_some() {} });
    let clock = Clock::start();
    start_observed_follower(clock, platform, fleet, metrics, in_force, engine)
}

/// Starts a follower as [`start_follower`] does, which also sends its events to `engine`.
pub(crate) fn start_observed_follower(
    clock: Clock,
    platform: Platform,
    fleet: Fleet,
    metrics: Metrics,
    in_force: mpsc::UnboundedSender<String>,
    engine: mpsc::UnboundedSender<Event>,
) -> (mpsc::Sender<FollowerMessage>, tokio::task::JoinHandle<()>) {
    let (fleet_tx, fleet) = watch::channel(Arc::new(fleet));
    let (peers, peers_rx) = mpsc::channel(64);
    let (view, view_rx) = watch::channel(Arc::new(View::default()));
    let (snapshots, snapshots_rx) = watch::channel(Arc::default());
    let follower = TableFollower::new(
        FollowerOptions {
            metrics,
            ..options(clock, platform, fleet)
        },
        Outputs {
            engine,
            peers,
            view,
        },
        FollowedTables {
            orders: Vec::new(),
            tables: vec!["op".to_owned()],
            compose: move |replicas: &[&Replica]| {
                let mut rows = replicas[0].rows();
                let (_, row) = rows.find(|(name, _)| *name == "config")?;
                let _ = in_force.send(row.value.to_string());
                Some(ComposedConfig {
                    version: row.position.version,
                    is_latest: true,
                    config: Config::default(),
                })
            },
        },
        snapshots,
    );
    let (tx, rx) = mpsc::channel(64);
    let running = tokio::spawn(async move {
        let _kept = (fleet_tx, peers_rx, view_rx, snapshots_rx);
        follower.run(rx).await;
    });
    (tx, running)
}

/// Returns a store that gives the version before, and then does as `own` says.
fn platform(own: OwnRead) -> Platform {
    Platform::spawn(move || {
        move |call, progress: platform::Progress| async move {
            match call {
                platform::Call::Snapshot { .. } => {
                    let sent = table(ROUTES, BEFORE, POSITION - 1);
                    let rows = sent.rows.into_iter().map(|(row, content)| Change {
                        row,
                        value: Some(content.value.to_string()),
                        at: content.position,
                    });
                    Ok(Reply::Changes(rows.collect(), sent.position))
                }
                _ if own == OwnRead::Fails => Err(PlatformError::Unavailable),
                _ => loop {
                    progress.add(1);
                    sleep(Duration::from_millis(20)).await;
                },
            }
        }
    })
}

async fn start_peer(peer: Peer, asked: Asked) -> SocketAddr {
    let sent = table(ROUTES, AFTER, POSITION);
    let addr = serve_lies(sent, move |call, reply| {
        let mut calls = asked.lock().unwrap();
        match call {
            Call::TableList { .. } => calls.lists += 1,
            Call::Parts { .. } => calls.parts += 1,
            Call::Table(_) => calls.whole += 1,
            Call::PackedTable(_) => calls.packed += 1,
            _ => panic!("{call:?}"),
        }
        match peer {
            Peer::Lies => changed_part(call, reply),
            Peer::Honest | Peer::Dies | Peer::Older => reply,
        }
    });
    let addr = addr.await;
    match peer {
        // The list has 1.2 KB.
        Peer::Dies => carry(addr, 1_500).await.0,
        Peer::Honest | Peer::Lies | Peer::Older => addr,
    }
}

/// Returns an instance that is listed and alive at this address.
pub(crate) fn member(addr: SocketAddr, peer: Peer) -> FleetMember {
    let is_older = matches!(peer, Peer::Older);
    FleetMember {
        addr: Some(addr),
        format: if is_older {
            FORMAT_WITHOUT_PARTS
        } else {
            OWN_FORMAT
        },
        ..listed_member()
    }
}

/// Guards against CONFIG: a version was awaited as long as the own read of the whole document took over a
/// narrow link, though others had its few changed parts.
#[rstest]
#[case::while_own_read_arrives(OwnRead::Arrives)]
#[case::without_own_read(OwnRead::Fails)]
#[tokio::test]
async fn change_is_fetched_by_parts(#[case] own: OwnRead) {
    let limit = Duration::from_millis(1_000);
    let (is_in_force, calls, refused) = follow(own, &[Peer::Honest], limit).await;
    assert!(is_in_force, "{calls:?}");
    let one = Calls {
        lists: 1,
        parts: 1,
        ..Calls::default()
    };
    assert_eq!((calls, refused), (one, 0));
}

/// Guards against CONFIG: a whole table was fetched during an own read that was arriving, and shared the link
/// with it.
#[tokio::test]
async fn whole_table_is_not_fetched_beside_own_read() {
    let limit = Duration::from_millis(1_500);
    let (is_in_force, calls, _) = follow(OwnRead::Arrives, &[Peer::Older; 3], limit).await;
    assert_eq!((is_in_force, calls), (false, Calls::default()));
}

/// Guards against an instance of the build before that is asked for what it can't read.
#[tokio::test]
async fn older_build_is_asked_for_whole_table() {
    let limit = Duration::from_millis(1_500);
    let (is_in_force, calls, _) = follow(OwnRead::Fails, &[Peer::Older], limit).await;
    let one = Calls {
        whole: 1,
        ..Calls::default()
    };
    assert_eq!((is_in_force, calls), (true, one));
}

/// Guards against a version that doesn't come because of sources that lie or end: another one is asked, and
/// then for the whole table.
#[rstest]
#[case::one_lies([Peer::Lies, Peer::Honest, Peer::Honest], 0..=1, 1)]
#[case::one_dies([Peer::Dies, Peer::Honest, Peer::Honest], 0..=1, 0)]
#[case::all_lie([Peer::Lies, Peer::Lies, Peer::Lies], 1..=1, 2)]
#[tokio::test]
async fn version_comes_in_spite_of_bad_sources(
    #[case] peers: [Peer; 3],
    #[case] packed: std::ops::RangeInclusive<usize>,
    #[case] most_refused: i64,
) {
    let limit = Duration::from_millis(2_500);
    let (is_in_force, calls, refused) = follow(OwnRead::Fails, &peers, limit).await;
    assert!(is_in_force, "{calls:?}");
    assert!(packed.contains(&calls.packed), "{calls:?}");
    assert_eq!(calls.whole, 0);
    assert!(refused <= most_refused, "{refused} refused");
}

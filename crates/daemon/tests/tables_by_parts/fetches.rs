//! Fetches of one table from one source.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use base::Position;
use coord::{
    TableSnapshot,
    parts::{PartId, PartsError},
};
use daemon::{
    rpc::{Call, IncomingCall, Reply},
    table_fetch::{FetchFault, FetchWay, Fetched, OwnTable, Source, fetch},
    table_server::TableServer,
};
use platform::Progress;
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};
use wire::Packed;

use crate::{carry, secret, serve, serve_lies, serve_table, table};

/// Bytes that a changed weight may cost an instance.
const MAX_CHANGE_BYTES: usize = 8 * 1024;
const BY_PARTS: FetchWay = FetchWay::Parts {
    may_take_whole: true,
};

fn source(addr: SocketAddr, way: FetchWay) -> Source {
    Source {
        secret: secret(),
        addr,
        index: 0,
        way,
    }
}

async fn fetch_from(addr: SocketAddr, way: FetchWay, own: TableSnapshot) -> Fetched {
    let own = OwnTable {
        table: own,
        ..OwnTable::default()
    };
    let (source, progress) = (source(addr, way), Progress::start());
    let fetched = fetch(&source, own, &progress);
    timeout(Duration::from_secs(20), fetched).await.unwrap()
}

/// Guards against CONFIG: each changed weight sent the whole document to every instance, 1.1 MB with 4,200
/// routes more.
#[rstest]
#[case::few(10)]
#[case::as_in_the_incident(4_200)]
#[case::four_times_as_many(16_800)]
#[tokio::test]
async fn changed_weight_costs_few_bytes(#[case] routes: usize) {
    let (addr, tables) = serve_table(table(routes, 100, 5)).await;
    let mut own = OwnTable {
        table: table(routes, 100, 5),
        ..OwnTable::default()
    };
    for (position, weight) in [(6, 90), (7, 5), (8, 100)] {
        tables.send_replace(Arc::new(vec![table(routes, weight, position)]));
        let (carrier, carried) = carry(addr, usize::MAX).await;
        let fetched = fetch(&source(carrier, BY_PARTS), own, &Progress::start()).await;
        assert_eq!(fetched.fault, None);
        assert_eq!(fetched.table, Some(table(routes, weight, position)));
        let bytes = carried.load(Ordering::Relaxed);
        println!("{routes} routes: {bytes} bytes, {:?}", fetched.parts);
        assert!(bytes < MAX_CHANGE_BYTES, "{bytes} bytes");
        own = OwnTable {
            table: fetched.table.unwrap(),
            cut: fetched.cut,
        };
    }
}

/// What is lacking in large part is fetched whole, and compressed.
#[rstest]
#[case::nothing_known(FetchWay::Packed, TableSnapshot::default())]
#[case::by_parts(BY_PARTS, TableSnapshot::default())]
#[case::shrunk(BY_PARTS, table(1, 100, 4))]
#[tokio::test]
async fn whole_table_is_compressed(#[case] way: FetchWay, #[case] own: TableSnapshot) {
    let sent = table(4_200, 100, 5);
    let (addr, _tables) = serve_table(sent.clone()).await;
    let (carrier, carried) = carry(addr, usize::MAX).await;
    let fetched = fetch_from(carrier, way, own).await;
    assert_eq!((fetched.table, fetched.parts), (Some(sent.clone()), None));
    let bytes = carried.load(Ordering::Relaxed);
    let whole = sent.rows["config"].value.len();
    assert!(bytes * 3 < whole, "{bytes} of {whole} bytes");
}

/// A document that shrinks costs what remains at most, and an older one than the own is delivered as it is.
#[tokio::test]
async fn shrunk_table_is_fetched() {
    let empty = TableSnapshot {
        rows: [].into(),
        position: Position::from(9),
    };
    for sent in [table(10, 100, 6), empty] {
        let (addr, _tables) = serve_table(sent.clone()).await;
        let fetched = fetch_from(addr, BY_PARTS, table(900, 100, 5)).await;
        assert_eq!((fetched.fault, fetched.table), (None, Some(sent)));
    }
}

/// Guards against a table that is taken for whole: the source ends anywhere within a fetch.
#[tokio::test]
async fn source_that_dies_brings_nothing() {
    let sent = table(600, 90, 6);
    let (addr, _tables) = serve_table(sent.clone()).await;
    let (carrier, carried) = carry(addr, usize::MAX).await;
    let own = table(600, 100, 5);
    let fetched = fetch_from(carrier, BY_PARTS, own.clone()).await;
    assert_eq!(fetched.table, Some(sent));
    let whole = carried.load(Ordering::Relaxed);
    for max in (0..whole).step_by(whole / 40) {
        let (carrier, _) = carry(addr, max).await;
        let fetched = fetch_from(carrier, BY_PARTS, own.clone()).await;
        let found = (fetched.table, fetched.fault);
        assert_eq!(found, (None, Some(FetchFault::NoAnswer)), "{max} bytes");
    }
}

type Lie = fn(&Call, Reply) -> Reply;

fn parts_of(reply: &Reply) -> Vec<(PartId, Vec<u8>)> {
    let Reply::Parts(Some(packed)) = reply else {
        panic!("{reply:?}");
    };
    postcard::from_bytes(&packed.unpack(1 << 24).unwrap()).unwrap()
}

fn parts_reply(parts: &[(PartId, Vec<u8>)]) -> Reply {
    Reply::Parts(Some(Packed::new(&postcard::to_stdvec(parts).unwrap())))
}

pub(crate) fn changed_part(_: &Call, reply: Reply) -> Reply {
    if !matches!(reply, Reply::Parts(_)) {
        return reply;
    }
    let mut parts = parts_of(&reply);
    parts[0].1[0] ^= 1;
    parts_reply(&parts)
}

/// Sends the shortest part again instead of the longest one.
fn part_twice(_: &Call, reply: Reply) -> Reply {
    if !matches!(reply, Reply::Parts(_)) {
        return reply;
    }
    let mut parts = parts_of(&reply);
    parts.sort_by_key(|(_, content)| content.len());
    let last = parts.len() - 1;
    parts[last] = parts[0].clone();
    parts_reply(&parts)
}

fn other_part(_: &Call, reply: Reply) -> Reply {
    if !matches!(reply, Reply::Parts(_)) {
        return reply;
    }
    parts_reply(&[(PartId::of(b"x"), b"x".to_vec())])
}

fn no_part(_: &Call, reply: Reply) -> Reply {
    if !matches!(reply, Reply::Parts(_)) {
        return reply;
    }
    parts_reply(&[])
}

fn bomb(call: &Call, _: Reply) -> Reply {
    let packed = Some(Packed::new(&vec![0; 60_000_000]));
    match call {
        Call::Parts { .. } => Reply::Parts(packed),
        _ => Reply::TableList(packed),
    }
}

fn bomb_of_parts(call: &Call, reply: Reply) -> Reply {
    match call {
        Call::Parts { .. } => bomb(call, reply),
        _ => reply,
    }
}

fn noise(call: &Call, _: Reply) -> Reply {
    let packed = Some(Packed::new(&[0xff; 300]));
    match call {
        Call::Parts { .. } => Reply::Parts(packed),
        _ => Reply::TableList(packed),
    }
}

fn other_reply(_: &Call, _: Reply) -> Reply {
    Reply::Settled
}

/// Guards against parts that are believed, and against memory that a source takes: each lie is a fault, and none
/// brings a table.
#[rstest]
#[case::changed_part(changed_part, "a part doesn't match its hash")]
#[case::other_part(other_part, "a part was not asked for")]
#[case::no_part(no_part, "1 parts are missing")]
#[case::bomb(bomb, "a packed content of 60000000 bytes is too large")]
#[case::bomb_of_parts(bomb_of_parts, "a packed content of 60000000 bytes is too large")]
#[case::noise(noise, "unreadable")]
#[case::other_reply(other_reply, "unreadable")]
#[tokio::test]
async fn lies_are_found(#[case] lie: Lie, #[case] fault: &str) {
    let addr = serve_lies(table(600, 90, 6), lie).await;
    let fetched = fetch_from(addr, BY_PARTS, table(600, 100, 5)).await;
    assert_eq!(fetched.table, None);
    let found = fetched.fault.unwrap();
    assert!(found.is_bad_content());
    assert_eq!(found.to_string(), fault);
}

#[tokio::test]
async fn part_that_arrives_twice_is_found() {
    let addr = serve_lies(table(600, 100, 6), part_twice).await;
    let fetched = fetch_from(addr, BY_PARTS, table(560, 100, 5)).await;
    let twice = FetchFault::Parts(PartsError::PartTwice);
    assert_eq!((fetched.table, fetched.fault), (None, Some(twice)));
}

/// The list is of a version that the source no longer has: it keeps the parts of the one before.
#[tokio::test]
async fn parts_of_the_version_before_are_sent() {
    let (tables_tx, tables) = watch::channel(Arc::new(vec![table(600, 90, 6)]));
    let (calls, calls_rx) = mpsc::channel(16);
    tokio::spawn(TableServer::new(tables).run(calls_rx));
    let (between, mut between_rx) = mpsc::channel::<IncomingCall>(16);
    tokio::spawn(async move {
        while let Some(call) = between_rx.recv().await {
            if matches!(call.call, Call::Parts { .. }) {
                tables_tx.send_replace(Arc::new(vec![table(600, 80, 7)]));
            }
            calls.send(call).await.unwrap();
        }
    });
    let addr = serve(between).await;
    let fetched = fetch_from(addr, BY_PARTS, table(600, 100, 5)).await;
    assert_eq!(
        (fetched.fault, fetched.table),
        (None, Some(table(600, 90, 6)))
    );
}

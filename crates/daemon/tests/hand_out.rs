//! Whole tables that an instance sends to others.

use std::{sync::Arc, time::Duration};

use base::Position;
use coord::{ReplicaRow, TableSnapshot};
use daemon::{
    peer_server,
    relay::RelayServer,
    rpc::{self, Call, IncomingCall, Reply},
};
use entry::{metrics::Metrics, view::View};
use platform::Progress;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinSet,
    time::sleep,
};
use wire::Secret;

const CALLERS: usize = 14;
const MAX_SENT: usize = 2;

/// Guards against an instance that did nothing else for 11 s: as many others asked for a large table, and
/// it sent all of them the table over its narrow link at the same time.
#[tokio::test]
async fn table_is_sent_to_few_at_a_time() {
    let secret = Secret::derive("a secret for tests only");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (calls, mut calls_rx) = mpsc::channel::<IncomingCall>(CALLERS);
    let (_view_tx, view) = watch::channel(Arc::new(View::default()));
    let (engine, _engine_rx) = mpsc::unbounded_channel();
    let relays = RelayServer::new(view, engine);
    let metrics = Metrics::new().unwrap();
    tokio::spawn(peer_server::serve(
        listener,
        secret.clone(),
        calls,
        relays,
        metrics,
    ));

    let mut fetches = JoinSet::new();
    for _ in 0..CALLERS {
        let secret = secret.clone();
        fetches.spawn(async move { rpc::fetch_table(&secret, addr, 0, &Progress::start()).await });
    }
    let mut turned_away = 0;
    while turned_away < CALLERS - MAX_SENT {
        assert_eq!(fetches.join_next().await.unwrap().unwrap(), None);
        turned_away += 1;
    }
    sleep(Duration::from_millis(50)).await;
    while let Ok(call) = calls_rx.try_recv() {
        assert!(matches!(call.call, Call::Table(0)));
        call.reply.send(Reply::Table(Some(table()))).unwrap();
    }
    let sent = fetches.join_all().await;
    assert_eq!(sent, vec![Some(table()); MAX_SENT]);

    // The next one gets it again.
    let next =
        tokio::spawn(async move { rpc::fetch_table(&secret, addr, 0, &Progress::start()).await });
    let call = calls_rx.recv().await.unwrap();
    call.reply.send(Reply::Table(Some(table()))).unwrap();
    assert_eq!(next.await.unwrap(), Some(table()));
}

fn table() -> TableSnapshot {
    let row = ReplicaRow {
        value: "x".repeat(1_000_000).into(),
        position: Position::from(3),
    };
    TableSnapshot {
        rows: [("config".to_owned(), row)].into(),
        position: Position::from(3),
    }
}

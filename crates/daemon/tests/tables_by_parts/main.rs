//! Tables that are fetched by parts from other instances, over loopback: what a change costs, sources that die,
//! lie or are older, and own reads that begin during them.

mod fetches;
mod follower;
mod late_heartbeats;
#[path = "../support/member.rs"]
mod member;
mod narrow_fetches;
#[path = "../support/options.rs"]
mod options;
mod own_position;
mod own_reads;
#[path = "../support/paused.rs"]
mod paused;
mod removed;
mod rows;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use base::Position;
use coord::{ReplicaRow, TableSnapshot};
use daemon::{
    peer_server,
    relay::RelayServer,
    rpc::{Call, IncomingCall, Reply},
    table_server::TableServer,
};
use entry::{metrics::Metrics, view::View};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, oneshot, watch},
};
use wire::Secret;

fn secret() -> Secret {
    Secret::derive("a secret for tests only")
}

/// Returns a document with as many routes, of a size as operators write them.
fn document(routes: usize, weight: usize) -> String {
    let mut rng = Pcg32::seed_from_u64(9);
    let mut text = String::from("{\"routes\": [\n");
    for idx in 0..routes {
        let weight = if idx == routes / 2 { weight } else { 100 };
        let (code, service) = (rng.random::<u32>(), rng.random_range(0..40));
        text += &format!(
            "  {{\"host\": \"customer-{idx}.example\", \"path\": \"/v1/accounts/{code:08x}/ledger\", \
             \"methods\": [\"GET\", \"POST\"], \"service\": \"service-{service}\", \"weight\": {weight}, \
             \"retry\": {{\"attempts\": 2}}, \"homes\": [\"north\", \"south\"], \"deadline_ms\": 2500, \
             \"priority\": \"usual\"}},\n"
        );
    }
    text + "]}"
}

fn table(routes: usize, weight: usize, position: u64) -> TableSnapshot {
    let row = |text: &str, position| ReplicaRow {
        value: text.into(),
        position: Position::from(position),
    };
    TableSnapshot {
        rows: [
            (
                "config".to_owned(),
                row(&document(routes, weight), position),
            ),
            ("other".to_owned(), row("{}", 1)),
        ]
        .into(),
        position: Position::from(position),
    }
}

/// Serves calls with what `answers` receives.
async fn serve(answers: mpsc::Sender<IncomingCall>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let relays = RelayServer::new(view, engine);
    let metrics = Metrics::new().unwrap();
    tokio::spawn(async move {
        let _kept = (view_tx, engine_rx);
        peer_server::serve(listener, secret(), answers, relays, metrics).await;
    });
    addr
}

/// Serves a table, whose next versions the sender publishes.
async fn serve_table(table: TableSnapshot) -> (SocketAddr, watch::Sender<Arc<Vec<TableSnapshot>>>) {
    serve_tables(vec![table]).await
}

/// Serves tables, whose next versions the sender publishes.
async fn serve_tables(
    tables: Vec<TableSnapshot>,
) -> (SocketAddr, watch::Sender<Arc<Vec<TableSnapshot>>>) {
    let (tables_tx, tables) = watch::channel(Arc::new(tables));
    let (calls, calls_rx) = mpsc::channel(16);
    tokio::spawn(TableServer::new(tables).run(calls_rx));
    (serve(calls).await, tables_tx)
}

/// Serves a table; `lie` changes the answers.
async fn serve_lies<L>(table: TableSnapshot, mut lie: L) -> SocketAddr
where
    L: FnMut(&Call, Reply) -> Reply + Send + 'static,
{
    let (_tables_tx, tables) = watch::channel(Arc::new(vec![table]));
    let (honest, honest_rx) = mpsc::channel(16);
    tokio::spawn(TableServer::new(tables).run(honest_rx));
    let (calls, mut calls_rx) = mpsc::channel::<IncomingCall>(16);
    tokio::spawn(async move {
        while let Some(IncomingCall { call, reply }) = calls_rx.recv().await {
            let (tx, answer) = oneshot::channel();
            let asked = call.clone();
            honest.send(IncomingCall { call, reply: tx }).await.unwrap();
            let _ = reply.send(lie(&asked, answer.await.unwrap()));
        }
    });
    serve(calls).await
}

/// Carries connections to `addr`, up to a number of bytes in both directions together; then they are closed.
async fn carry(addr: SocketAddr, max_bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let carrier = listener.local_addr().unwrap();
    let carried = Arc::new(AtomicUsize::new(0));
    let counter = carried.clone();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let called = TcpStream::connect(addr).await.unwrap();
            let (from, back) = caller.into_split();
            let (answers, to) = called.into_split();
            let one = counter.clone();
            tokio::spawn(async move { pass(from, to, &one, max_bytes).await });
            let one = counter.clone();
            tokio::spawn(async move { pass(answers, back, &one, max_bytes).await });
        }
    });
    (carrier, carried)
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, carried: &AtomicUsize, max: usize) {
    let mut buf = [0; 1_024];
    while let Ok(count) = from.read(&mut buf).await {
        let total = carried.fetch_add(count, Ordering::Relaxed) + count;
        if count == 0 || total > max || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

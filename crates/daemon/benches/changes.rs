//! Measures what the change of one weight costs an instance that fetches the operators' table from another one: bytes
//! in both directions, and times of the work on it.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::Position;
use coord::{ReplicaRow, TableSnapshot, parts::TableCut};
use daemon::{
    peer_server,
    relay::RelayServer,
    table_fetch::{FetchWay, OwnTable, Source, fetch},
    table_server::TableServer,
};
use entry::{metrics::Metrics, view::View};
use platform::Progress;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};
use wire::{Packed, Secret};

const ROUTE_COUNTS: [usize; 3] = [10, 4_200, 16_800];
/// Changes of one weight each, at drawn routes.
const CHANGES: u64 = 20;
const REPEATS: u32 = 10;
const BY_PARTS: FetchWay = FetchWay::Parts {
    may_take_whole: true,
};

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!(
        "| routes | document, KB | whole, bytes | compressed | by parts, middle | by parts, most |"
    );
    println!("|---|---|---|---|---|---|");
    for routes in ROUTE_COUNTS {
        print_bytes(routes).await;
    }
    println!();
    println!("| routes | cutting, ms | compressing, ms | unpacking, ms | fetch by parts, ms |");
    println!("|---|---|---|---|---|");
    for routes in ROUTE_COUNTS {
        print_times(routes).await;
    }
}

async fn print_bytes(routes: usize) {
    let mut rng = Pcg32::seed_from_u64(48);
    let mut changed = None;
    let (addr, tables) = serve(table(routes, changed, 1)).await;
    let (carrier, carried) = carry(addr).await;
    let cost = async |way, own: OwnTable| {
        carried.store(0, Ordering::Relaxed);
        let fetched = fetch(&source(carrier, way), own, &Progress::start()).await;
        (carried.load(Ordering::Relaxed), fetched)
    };
    let (whole, _) = cost(FetchWay::Whole, OwnTable::default()).await;
    let (packed, _) = cost(FetchWay::Packed, OwnTable::default()).await;
    let mut own = OwnTable {
        table: table(routes, changed, 1),
        ..OwnTable::default()
    };
    let mut costs = Vec::new();
    for position in 2..2 + CHANGES {
        changed = Some((rng.random_range(0..routes), rng.random_range(0..100)));
        tables.send_replace(Arc::new(vec![table(routes, changed, position)]));
        let (bytes, fetched) = cost(BY_PARTS, own).await;
        costs.push(bytes);
        own = OwnTable {
            table: fetched.table.unwrap(),
            cut: fetched.cut,
        };
    }
    costs.sort_unstable();
    let (middle, most) = (costs[costs.len() / 2], costs[costs.len() - 1]);
    let kb = own.table.rows["config"].value.len() / 1_000;
    println!("| {routes} | {kb} | {whole} | {packed} | {middle} | {most} |");
}

async fn print_times(routes: usize) {
    let before = table(routes, None, 1);
    let cut = time(|| TableCut::default().update(&before));
    let encoded = postcard::to_stdvec(&before).unwrap();
    let pack = time(|| Packed::new(&encoded));
    let packed = Packed::new(&encoded);
    let unpack = time(|| packed.unpack(encoded.len()));
    let (addr, tables) = serve(before.clone()).await;
    let mut own = OwnTable {
        cut: Arc::new(TableCut::default().update(&before)),
        table: before,
    };
    let mut fetches = Duration::ZERO;
    for position in 2..2 + u64::from(REPEATS) {
        let weight = position as usize;
        let after = table(routes, Some((routes / 2, weight)), position);
        tables.send_replace(Arc::new(vec![after]));
        let started_at = Instant::now();
        let fetched = fetch(&source(addr, BY_PARTS), own, &Progress::start()).await;
        fetches += started_at.elapsed();
        own = OwnTable {
            table: fetched.table.unwrap(),
            cut: fetched.cut,
        };
    }
    let ms = |time: Duration| format!("{:.2}", time.as_secs_f64() * 1e3);
    println!(
        "| {routes} | {} | {} | {} | {} |",
        ms(cut),
        ms(pack),
        ms(unpack),
        ms(fetches / REPEATS)
    );
}

fn time<T, F>(mut work: F) -> Duration
where
    F: FnMut() -> T,
{
    let started_at = Instant::now();
    for _ in 0..REPEATS {
        black_box(work());
    }
    started_at.elapsed() / REPEATS
}

/// Returns the operators' table; `changed` is a route with its weight.
fn table(routes: usize, changed: Option<(usize, usize)>, position: u64) -> TableSnapshot {
    let mut rng = Pcg32::seed_from_u64(9);
    let mut text = String::from("{\"routes\": [\n");
    for idx in 0..routes {
        let weight = changed.filter(|(route, _)| *route == idx);
        let weight = weight.map_or(100, |(_, weight)| weight);
        let (code, service) = (rng.random::<u32>(), rng.random_range(0..40));
        text += &format!(
            "  {{\"host\": \"customer-{idx}.example\", \"path\": \"/v1/accounts/{code:08x}/ledger\", \
             \"methods\": [\"GET\", \"POST\"], \"service\": \"service-{service}\", \"weight\": {weight}, \
             \"retry\": {{\"attempts\": 2}}, \"homes\": [\"north\", \"south\"], \"deadline_ms\": 2500, \
             \"priority\": \"usual\"}},\n"
        );
    }
    let row = ReplicaRow {
        value: (text + "]}").into(),
        position: Position::from(position),
    };
    TableSnapshot {
        rows: [("config".to_owned(), row)].into(),
        position: Position::from(position),
    }
}

fn secret() -> Secret {
    Secret::derive("a secret for benches only")
}

fn source(addr: SocketAddr, way: FetchWay) -> Source {
    Source {
        secret: secret(),
        addr,
        index: 0,
        way,
    }
}

/// Serves a table, whose next versions the sender publishes.
async fn serve(table: TableSnapshot) -> (SocketAddr, watch::Sender<Arc<Vec<TableSnapshot>>>) {
    let (tables_tx, tables) = watch::channel(Arc::new(vec![table]));
    let (calls, calls_rx) = mpsc::channel(16);
    tokio::spawn(TableServer::new(tables).run(calls_rx));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let relays = RelayServer::new(view, engine);
    let metrics = Metrics::new().unwrap();
    tokio::spawn(async move {
        let _kept = (view_tx, engine_rx);
        peer_server::serve(listener, secret(), calls, relays, metrics).await;
    });
    (addr, tables_tx)
}

/// Carries connections to `addr` and counts the bytes in both directions.
async fn carry(addr: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let carrier = listener.local_addr().unwrap();
    let carried = Arc::new(AtomicUsize::new(0));
    let counter = carried.clone();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let called = TcpStream::connect(addr).await.unwrap();
            let (from, back) = caller.into_split();
            let (answers, to) = called.into_split();
            tokio::spawn(pass(from, to, counter.clone()));
            tokio::spawn(pass(answers, back, counter.clone()));
        }
    });
    (carrier, carried)
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, carried: Arc<AtomicUsize>) {
    let mut buf = vec![0; 64 * 1_024];
    while let Ok(count) = from.read(&mut buf).await {
        carried.fetch_add(count, Ordering::Relaxed);
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

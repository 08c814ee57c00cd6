//! Own reads of a large table that begin and don't end well, while other instances have the table: when it comes, in
//! virtual time, over one narrow link.

use std::{
    collections::BTreeMap,
    future::pending,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Position, Time};
use coord::TableSnapshot;
use daemon::{
    fleet::Fleet,
    message::{FollowerMessage, TableChange},
    rpc::{Call, Reply},
};
use entry::metrics::Metrics;
use platform::{Change, Platform, PlatformError, Progress};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};
use wire::Packed;

use crate::{
    document,
    follower::{POSITION, Peer, member, start_follower},
    paused::run_paused,
    serve_lies, table,
};

const SEEDS: Range<u64> = 0..200;
/// Routes before and after the change: nearly all of the table is lacking.
const BEFORE: usize = 2;
const AFTER: usize = 1_500;
const WEIGHT: usize = 100;
/// Bytes per second of the instance's link, over which the compressed table needs half a second or more.
const LINK_RATE: u32 = 40_000;
/// Bytes per second of an own read that goes on just above the lowest rate of a transfer.
const TRICKLE_RATE: u32 = 9_000;
/// Bytes per second that a slow source sends, below the lowest rate of a transfer.
const SLOW_SOURCE_RATE: u32 = 3_000;
const CHUNK_BYTES: usize = 1_460;
/// Time within which a change must be in force, as it is set for the follower.
const APPLY: Duration = Duration::from_secs(2);
/// Time for which an instance decides by its version although it knows of a later one.
const KNOWN_LIMIT: Duration = Duration::from_millis(1_333);
const CHANGES_AFTER: Duration = Duration::from_millis(5_050);
/// Time after the change at which the others have it.
const REPORTS_AFTER: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a run ends without the table.
const RUN_TIME: Duration = Duration::from_secs(60);

/// What becomes of the answer to a read that brings the change.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OwnRead {
    /// It arrives over the link for this time, and then nothing more.
    FallsSilent(Duration),
    /// It arrives for this time, and the connection is lost.
    BreaksOff(Duration),
    /// It goes on arriving at a rate at which it takes far too long.
    Trickles,
    /// The same, and its length is known.
    TricklesAnnounced,
    Unanswered,
    Refused,
}

/// What an instance that has the table does when it is asked for it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Sender {
    Sends,
    /// It sends lists, but has no place for a transfer.
    TurnsAway,
    /// It accepts connections and says nothing.
    Silent,
    Slow,
}

#[derive(Debug, Clone)]
struct Scenario {
    /// Fates of the reads, in their order; the last one is that of all that follow.
    own: Vec<OwnRead>,
    senders: Vec<Sender>,
}

impl Scenario {
    fn draw(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let own = (0..12).map(|_| match ms(0..6).as_millis() {
            0 | 1 => OwnRead::FallsSilent(ms(1..1_500)),
            2 => OwnRead::BreaksOff(ms(1..1_500)),
            3 => OwnRead::Trickles,
            4 => OwnRead::Unanswered,
            _ => OwnRead::Refused,
        });
        let own = own.collect();
        let mut senders = vec![Sender::Sends; ms(1..3).as_millis() as usize];
        for _ in 0..ms(0..3).as_millis() {
            let sender = [Sender::TurnsAway, Sender::Silent, Sender::Slow];
            senders.push(sender[ms(0..3).as_millis() as usize]);
        }
        Self { own, senders }
    }
}

/// Returns the time in which a table that others have must be there although own reads bring nothing: that for
/// which an instance goes on by an older version, and that of the transfer over the link.
fn fetch_bound() -> Duration {
    KNOWN_LIMIT + transfer_time()
}

/// Returns the time that the compressed table takes over the link.
fn transfer_time() -> Duration {
    let bytes = Packed::new(document(AFTER, WEIGHT).as_bytes()).len();
    Duration::from_secs(bytes as u64) / LINK_RATE
}

/// A link that transfers share.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    rate: u32,
    free_at: Arc<Mutex<Instant>>,
}

impl Link {
    pub(crate) fn new(rate: u32) -> Self {
        Self {
            rate,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    pub(crate) async fn cross(&self, bytes: usize) {
        let time = Duration::from_secs(bytes as u64) / self.rate;
        let crossed_at = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(crossed_at).await;
    }
}

/// What a run shows.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// Time from the change to its coming into force.
    took: Duration,
    /// Bytes that came from other instances.
    fetched: usize,
}

fn run(scenario: &Scenario) -> Outcome {
    run_paused(play(scenario.clone()))
}

async fn play(scenario: Scenario) -> Outcome {
    let changes_at = Instant::now() + CHANGES_AFTER;
    let link = Link::new(LINK_RATE);
    let fetched = Arc::new(AtomicUsize::new(0));
    let mut fleet = Fleet::default();
    for (idx, sender) in scenario.senders.iter().enumerate() {
        let id = format!("i{idx}");
        let addr = start_sender(*sender, link.clone(), fetched.clone()).await;
        let member = member(addr, Peer::Honest);
        fleet.members.insert(id.as_str().into(), member);
    }
    let platform = store(changes_at, scenario.own.clone(), link);
    let (in_force, mut in_force_rx) = mpsc::unbounded_channel();
    let metrics = Metrics::new().unwrap();
    let (tx, running) = start_follower(platform, fleet, metrics, in_force);
    tokio::spawn(async move {
        sleep_until(changes_at + REPORTS_AFTER).await;
        loop {
            for idx in 0..scenario.senders.len() {
                let report = FollowerMessage::PeerPositions {
                    from: format!("i{idx}").as_str().into(),
                    positions: vec![Position::from(POSITION)],
                    confirmed_at: None,
                    change: Some(TableChange::complete(Position::from(POSITION), Time::ZERO)),
                    reads: None,
                };
                if tx.send(report).await.is_err() {
                    return;
                }
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    let text = document(AFTER, WEIGHT);
    let arrived = async { while in_force_rx.recv().await.unwrap() != text {} };
    let _ = timeout(CHANGES_AFTER + RUN_TIME, arrived).await;
    running.abort();
    Outcome {
        took: Instant::now() - changes_at,
        fetched: fetched.load(Ordering::Relaxed),
    }
}

/// Returns a store that answers at once up to the change, and whose answers that bring it end as `own` says.
fn store(changes_at: Instant, own: Vec<OwnRead>, link: Link) -> Platform {
    let count = Arc::new(AtomicUsize::new(0));
    Platform::spawn(move || {
        let (own, link, count) = (own.clone(), link.clone(), count.clone());
        move |call, progress| {
            let (own, link, count) = (own.clone(), link.clone(), count.clone());
            async move {
                let wait = match call {
                    platform::Call::Snapshot { .. } => {
                        return Ok(changes(table(BEFORE, WEIGHT, POSITION - 1)));
                    }
                    platform::Call::Changes { wait_ms, .. } => Duration::from_millis(wait_ms),
                    _ => return Err(PlatformError::Unavailable),
                };
                sleep_until(changes_at.min(Instant::now() + wait)).await;
                if Instant::now() < changes_at {
                    return Ok(platform::Reply::Changes(
                        Vec::new(),
                        Position::from(POSITION - 1),
                    ));
                }
                let idx = count.fetch_add(1, Ordering::Relaxed);
                transmit(own[idx.min(own.len() - 1)], &link, &progress).await
            }
        }
    })
}

fn changes(sent: TableSnapshot) -> platform::Reply {
    let rows = sent.rows.into_iter().map(|(row, content)| Change {
        row,
        value: Some(content.value.to_string()),
        at: content.position,
    });
    platform::Reply::Changes(rows.collect(), sent.position)
}

async fn transmit(
    own: OwnRead,
    link: &Link,
    progress: &Progress,
) -> Result<platform::Reply, PlatformError> {
    let began = Instant::now();
    let arrive = async |time: Duration, link: &Link| {
        while began.elapsed() < time {
            progress.add(CHUNK_BYTES);
            link.cross(CHUNK_BYTES).await;
        }
    };
    match own {
        OwnRead::FallsSilent(time) => arrive(time, link).await,
        OwnRead::BreaksOff(time) => {
            arrive(time, link).await;
            return Err(PlatformError::Unavailable);
        }
        OwnRead::TricklesAnnounced => {
            progress.expect(document(AFTER, WEIGHT).len() as u64);
            arrive(RUN_TIME * 2, &Link::new(TRICKLE_RATE)).await;
        }
        OwnRead::Trickles => arrive(RUN_TIME * 2, &Link::new(TRICKLE_RATE)).await,
        OwnRead::Unanswered => {}
        OwnRead::Refused => return Err(PlatformError::Unavailable),
    }
    pending().await
}

/// Starts an instance that has the table, and returns the address at which the narrow link leads to it.
async fn start_sender(sender: Sender, link: Link, fetched: Arc<AtomicUsize>) -> SocketAddr {
    let addr = serve_lies(table(AFTER, WEIGHT, POSITION), move |call, reply| {
        match (sender, call) {
            (Sender::TurnsAway, Call::Parts { .. }) => Reply::Parts(None),
            (Sender::TurnsAway, Call::PackedTable(_)) => Reply::PackedTable(None),
            _ => reply,
        }
    });
    let addr = addr.await;
    let own_rate = match sender {
        Sender::Slow => SLOW_SOURCE_RATE,
        Sender::Silent => return start_silent().await,
        Sender::Sends | Sender::TurnsAway => LINK_RATE * 10,
    };
    start_carrier(addr, [Link::new(own_rate), link], fetched).await
}

/// Starts an instance that accepts connections and says nothing.
async fn start_silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((caller, _)) = listener.accept().await {
            kept.push(caller);
        }
    });
    addr
}

/// Returns an address from which connections to `addr` are carried, with the answers over `links`.
pub(crate) async fn start_carrier(
    addr: SocketAddr,
    links: [Link; 2],
    fetched: Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let carrier = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let called = TcpStream::connect(addr).await.unwrap();
            let (links, fetched) = (links.clone(), fetched.clone());
            tokio::spawn(carry_over(caller, called, links, fetched));
        }
    });
    carrier
}

/// Carries a connection; what the called side sends crosses the links.
async fn carry_over(
    caller: TcpStream,
    called: TcpStream,
    links: [Link; 2],
    carried: Arc<AtomicUsize>,
) {
    // Nothing may wait for real time.
    caller.set_nodelay(true).unwrap();
    called.set_nodelay(true).unwrap();
    let (mut calls, mut back) = caller.into_split();
    let (mut answers, mut to) = called.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut calls, &mut to).await });
    let mut buf = [0; CHUNK_BYTES];
    while let Ok(count) = answers.read(&mut buf).await {
        for link in &links {
            link.cross(count).await;
        }
        carried.fetch_add(count, Ordering::Relaxed);
        if count == 0 || back.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Guards against DENIED and refusals for nothing: others showed that much of the table is lacking, and were not asked for
/// the whole of it though the own read, and those that followed, had begun and ended.
#[rstest]
#[case::falls_silent(OwnRead::FallsSilent)]
#[case::breaks_off(OwnRead::BreaksOff)]
fn table_comes_from_others_after_own_read(#[case] own: fn(Duration) -> OwnRead) {
    let mut worst = Duration::ZERO;
    let late: BTreeMap<u64, _> = (0..2_000)
        .step_by(25)
        .filter_map(|ms| {
            let time = Duration::from_millis(ms);
            let scenario = Scenario {
                own: vec![own(time)],
                senders: vec![Sender::Sends; 3],
            };
            let took = run(&scenario).took - time;
            worst = worst.max(took);
            (took > fetch_bound()).then(|| (ms, took - fetch_bound()))
        })
        .collect();
    println!("at worst {worst:?} after the end of a read");
    assert!(late.is_empty(), "{} of 80, late by {late:?}", late.len());
}

/// Guards against an own read that goes on just above the lowest rate of a transfer, so that others don't send
/// what it would take minutes for.
#[rstest]
#[case::unknown_length(OwnRead::Trickles, APPLY)]
#[case::known_length(OwnRead::TricklesAnnounced, APPLY / 3)]
fn table_comes_from_others_beside_own_read_that_takes_too_long(
    #[case] own: OwnRead,
    #[case] hold: Duration,
) {
    let scenario = Scenario {
        own: vec![own],
        senders: vec![Sender::Sends; 3],
    };
    let outcome = run(&scenario);
    println!("{outcome:?}");
    assert!(outcome.took <= hold + fetch_bound(), "{outcome:?}");
}

/// As above, over drawn reads and sources: whatever own reads do, others are asked once the time is over in
/// which a change must be in force.
#[test]
fn table_comes_in_time_over_drawn_reads_and_sources() {
    let bound = APPLY + fetch_bound();
    let mut worst = Duration::ZERO;
    let late: BTreeMap<u64, _> = SEEDS
        .filter_map(|seed| {
            let scenario = Scenario::draw(seed);
            let took = run(&scenario).took;
            worst = worst.max(took);
            (took > bound).then(|| (seed, (took - bound, scenario)))
        })
        .collect();
    println!("at worst {worst:?} after the change");
    let late_by: Vec<_> = late.iter().map(|(seed, (by, _))| (seed, by)).collect();
    let first = late.iter().next();
    assert!(
        late.is_empty(),
        "{} seeds: {late_by:?}, first {first:?}",
        late.len()
    );
}

/// Guards against bytes for nothing: others send the whole table once, and not during an own read that arrives at a
/// usable rate.
#[rstest]
#[case::short(500)]
#[case::long(1_900)]
fn whole_table_is_sent_once_and_not_beside_own_read(#[case] ms: u64) {
    let time = Duration::from_millis(ms);
    let scenario = Scenario {
        own: vec![OwnRead::BreaksOff(time)],
        senders: vec![Sender::Sends; 3],
    };
    let outcome = run(&scenario);
    let whole = Packed::new(document(AFTER, WEIGHT).as_bytes()).len();
    assert!(outcome.took >= time + transfer_time(), "{outcome:?}");
    assert!(
        outcome.fetched < whole * 3 / 2,
        "{outcome:?}, {whole} bytes"
    );
}

/// Guards against a length that the store announces and nobody notes: a read counted as too slow only after the whole
/// time.
#[rstest]
#[case::announced("content-length: 100000", true)]
#[case::unknown("connection: close", false)]
#[tokio::test]
async fn read_is_late_by_its_announced_length(#[case] header: &'static str, #[case] is_late: bool) {
    const SENT_BYTES: usize = 10_000;
    const LIMIT: Duration = Duration::from_secs(3);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[b' '; SENT_BYTES]).await.unwrap();
        pending::<()>().await;
    });
    let progress = Progress::start();
    let mut received = progress.received();
    let store = platform::http::connect(addr).progress(progress);
    let call = tokio::spawn(async move { store.snapshot("op").await });
    let all = received.wait_for(|received| received.bytes == SENT_BYTES as u64);
    let all = *all.await.unwrap();
    assert!(!all.is_late(LIMIT));
    tokio::time::sleep(LIMIT / 3).await;
    assert_eq!(all.is_late(LIMIT), is_late);
    call.abort();
}

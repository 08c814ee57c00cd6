//! From where own reads go on once a table has come from another instance, in virtual time, over one narrow link.

use std::{
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Duration,
};

use base::{Position, Time};
use daemon::{
    fleet::Fleet,
    message::{FollowerMessage, TableChange},
};
use entry::metrics::Metrics;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rstest::rstest;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    follower::{POSITION, Peer, member, start_follower},
    own_reads::{Link, start_carrier},
    paused::run_paused,
    serve_lies, table,
};

const ROUTES: usize = 600;
const BEFORE: usize = 100;
const AFTER: usize = 90;
/// Position to which the store has gone back.
const GONE_BACK: u64 = POSITION - 2;
/// Bytes per second of the instance's link, over which the document needs some seconds.
const LINK_RATE: u32 = 40_000;
const CHUNK_BYTES: usize = 1_460;
const CHANGES_AFTER: Duration = Duration::from_millis(5_050);
/// Time after the change at which another instance has it.
const REPORTS_AFTER: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the change for which reads are watched.
const WATCH_TIME: Duration = Duration::from_secs(15);

/// What the store does from the change on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Store {
    /// It answers what it has been asked for before this much later.
    AnswersAfter(Duration),
    /// Its answer to what it has been asked for has arrived for this long when the others report the change.
    BeganBefore(Duration),
    /// It refuses calls for this long.
    RefusesFor(Duration),
    /// It refuses calls for this long, as it has done from the start.
    HasRefusedUntil(Duration),
    /// It no longer has the history from before the change.
    LacksHistory,
    /// It answers what has been asked for before, and then as of an earlier position.
    GoesBack,
}

/// A call that the store got after the change.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Read {
    /// Position from which it asks; `None` for all rows.
    after: Option<u64>,
    /// Time after the change.
    at: Duration,
    /// Time of its answer's last byte, if that has come.
    answered_at: Option<Duration>,
    /// Bytes of the answer that have crossed the link.
    bytes: usize,
}

/// What a run shows.
#[derive(Debug)]
struct Outcome {
    /// Time from the change to its coming into force.
    in_force_at: Duration,
    /// Calls that the store got from the change on, and the one that was open.
    reads: Vec<Read>,
}

impl Outcome {
    /// Returns the bytes of all answers of the store.
    fn bytes(&self) -> usize {
        self.reads.iter().map(|read| read.bytes).sum()
    }

    /// Returns the reads that were asked for when the table was there.
    fn later(&self) -> impl Iterator<Item = &Read> {
        let in_force_at = self.in_force_at;
        self.reads.iter().filter(move |read| read.at > in_force_at)
    }
}

type Reads = Arc<Mutex<Vec<Read>>>;

/// Lets a follower learn of a change that its own reads bring as the store does them.
fn run(store: Store) -> Outcome {
    run_paused(play(store))
}

async fn play(store: Store) -> Outcome {
    let changes_at = Instant::now() + CHANGES_AFTER;
    let link = Link::new(LINK_RATE);
    let sender = serve_lies(table(ROUTES, AFTER, POSITION), |_, reply| reply).await;
    let links = [Link::new(LINK_RATE * 10), link.clone()];
    let addr = start_carrier(sender, links, Arc::new(AtomicUsize::new(0))).await;
    let mut fleet = Fleet::default();
    let honest = member(addr, Peer::Honest);
    fleet.members.insert("i0".into(), honest);
    let reads = Reads::default();
    let platform = start_store(store, changes_at, link, reads.clone());
    let (in_force, mut in_force_rx) = mpsc::unbounded_channel();
    let metrics = Metrics::new().unwrap();
    let (tx, running) = start_follower(platform, fleet, metrics, in_force);
    tokio::spawn(async move {
        let arriving = match store {
            Store::BeganBefore(time) => time,
            _ => Duration::ZERO,
        };
        sleep_until(changes_at + REPORTS_AFTER + arriving).await;
        loop {
            let report = FollowerMessage::PeerPositions {
                from: "i0".into(),
                positions: vec![Position::from(POSITION)],
                confirmed_at: None,
                change: Some(TableChange::complete(Position::from(POSITION), Time::ZERO)),
                reads: None,
            };
            if tx.send(report).await.is_err() {
                return;
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    let text = crate::document(ROUTES, AFTER);
    while in_force_rx.recv().await.unwrap() != text {}
    let in_force_at = changes_at.elapsed();
    sleep_until(changes_at + WATCH_TIME).await;
    running.abort();
    let reads = reads.lock().unwrap().clone();
    Outcome { in_force_at, reads }
}

fn start_store(store: Store, changes_at: Instant, link: Link, reads: Reads) -> Platform {
    Platform::spawn(move || {
        let (link, reads) = (link.clone(), reads.clone());
        move |call, progress| {
            let (link, reads) = (link.clone(), reads.clone());
            async move {
                let idx = {
                    let mut reads = reads.lock().unwrap();
                    let after = match call {
                        Call::Changes { after, .. } => Some(after.version),
                        _ => None,
                    };
                    // Only the last one that was asked for before the change may be open then.
                    if Instant::now() < changes_at {
                        reads.clear();
                    }
                    reads.push(Read {
                        after,
                        at: changes_at.elapsed(),
                        answered_at: None,
                        bytes: 0,
                    });
                    reads.len() - 1
                };
                let report = |bytes: usize| reads.lock().unwrap()[idx].bytes += bytes;
                let answer = answer(store, call, changes_at, &link, &progress, report).await;
                reads.lock().unwrap()[idx].answered_at = Some(changes_at.elapsed());
                answer
            }
        }
    })
}

async fn answer<R>(
    store: Store,
    call: Call,
    changes_at: Instant,
    link: &Link,
    progress: &Progress,
    report: R,
) -> Result<Reply, PlatformError>
where
    R: Fn(usize),
{
    let (after, wait) = match call {
        Call::Changes { after, wait_ms, .. } => (after.version, Duration::from_millis(wait_ms)),
        Call::Snapshot { .. } => (0, Duration::ZERO),
        _ => return Err(PlatformError::Unavailable),
    };
    let asked_at = Instant::now();
    let is_older_call = asked_at < changes_at;
    if let Store::HasRefusedUntil(time) = store
        && asked_at < changes_at + time
    {
        return Err(PlatformError::Unavailable);
    }
    if is_older_call {
        if after == 0 {
            return Ok(changes(table(ROUTES, BEFORE, POSITION - 1), after));
        }
        sleep_until(changes_at.min(asked_at + wait)).await;
        if Instant::now() < changes_at {
            return Ok(Reply::Changes(Vec::new(), Position::from(POSITION - 1)));
        }
    }
    match store {
        Store::AnswersAfter(time) if is_older_call => sleep(time).await,
        Store::RefusesFor(time) if changes_at.elapsed() < time => {
            return Err(PlatformError::Unavailable);
        }
        Store::LacksHistory if is_older_call => return Err(PlatformError::Unavailable),
        Store::LacksHistory if (1..POSITION).contains(&after) => {
            sleep(REPORTS_AFTER * 10).await;
            return Err(PlatformError::HistoryGone);
        }
        Store::GoesBack if !is_older_call => {
            let is_ahead = after >= GONE_BACK;
            sleep(if is_ahead { wait } else { Duration::ZERO }).await;
            return Ok(Reply::Changes(Vec::new(), Position::from(GONE_BACK)));
        }
        _ => {}
    }
    let found = table(ROUTES, AFTER, POSITION);
    if after >= found.position.version {
        sleep(wait).await;
        return Ok(Reply::Changes(Vec::new(), found.position));
    }
    let reply = changes(found, after);
    let bytes = crate::document(ROUTES, AFTER).len();
    progress.expect(bytes as u64);
    for sent in (0..bytes).step_by(CHUNK_BYTES) {
        let count = CHUNK_BYTES.min(bytes - sent);
        link.cross(count).await;
        progress.add(count);
        report(count);
    }
    Ok(reply)
}

fn changes(sent: coord::TableSnapshot, after: u64) -> Reply {
    let later = sent
        .rows
        .into_iter()
        .filter(|(_, row)| row.position > Position::from(after));
    let rows = later.map(|(row, content)| Change {
        row,
        value: Some(content.value.to_string()),
        at: content.position,
    });
    Reply::Changes(rows.collect(), sent.position)
}

/// Guards against CONFIG: own reads asked from where they had been before a fetch, and a large document
/// crossed a narrow link once more while the next version waited for it.
#[rstest]
#[case::not_begun(Store::AnswersAfter(Duration::from_millis(1_500)))]
#[case::begun_later(Store::AnswersAfter(Duration::from_millis(800)))]
#[case::arriving(Store::AnswersAfter(Duration::ZERO))]
#[case::refused(Store::RefusesFor(Duration::from_secs(2)))]
#[case::never_read(Store::HasRefusedUntil(Duration::from_secs(2)))]
#[case::history_gone(Store::LacksHistory)]
fn document_that_was_fetched_does_not_cross_the_link_again(#[case] store: Store) {
    let outcome = run(store);
    let whole = crate::document(ROUTES, AFTER).len();
    assert!(outcome.bytes() < whole / 2, "{outcome:?}, {whole} bytes");
    let last = outcome.reads.last().unwrap();
    assert_eq!(last.after, Some(POSITION), "{outcome:?}");
    let later = outcome.later().filter(|read| read.after != Some(POSITION));
    assert_eq!(later.count(), 0, "{outcome:?}");
    // A poll of 1.5 s and its pause.
    let most = WATCH_TIME.as_millis() / 1_500 + 8;
    assert!(outcome.reads.len() as u128 <= most, "{outcome:?}");
}

/// Guards against bytes for nothing: an answer of which most had come when another instance had sent the table was
/// begun again.
#[test]
fn answer_that_is_nearly_there_is_complete() {
    let outcome = run(Store::BeganBefore(Duration::from_millis(2_500)));
    let whole = crate::document(ROUTES, AFTER).len();
    assert_eq!(outcome.bytes(), whole, "{outcome:?}");
}

/// Guards against a store that has gone back and isn't noticed: reads go on from where it is, also after a fetch has
/// brought a later position.
#[test]
fn store_that_went_back_is_read_from_where_it_is() {
    let outcome = run(Store::GoesBack);
    let asked: Vec<_> = outcome.later().map(|read| read.after).collect();
    let gone_back = asked.iter().filter(|after| **after == Some(GONE_BACK));
    assert!(gone_back.count() + 2 >= asked.len(), "{outcome:?}");
    assert_eq!(asked.last(), Some(&Some(GONE_BACK)), "{outcome:?}");
}

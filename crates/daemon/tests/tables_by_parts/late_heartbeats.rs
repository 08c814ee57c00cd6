//! What an instance decides by between two fetches over a link on which heartbeats come too late, in virtual time.

use std::{
    ops::RangeInclusive,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use base::Position;
use daemon::{
    fleet::Fleet,
    message::{FollowerMessage, TableChange},
};
use entry::{message::Event, metrics::Metrics, view::Clock};
use platform::{Call, Change, Platform, PlatformError, Reply};
use tokio::{
    net::TcpSocket,
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};
use wire::Packed;

use crate::{
    document,
    follower::{POSITION, Peer, member, start_observed_follower},
    own_reads::{Link, start_carrier},
    paused::run_paused,
    serve_table, table,
};

const SOURCES: usize = 3;
const GONE: &str = "gone";
/// Sizes of the document, and transfers of it that are above the lowest rate, in milliseconds.
const DOCUMENTS: [(usize, RangeInclusive<u64>); 2] =
    [(1_500, 2_000..=3_500), (6_000, 4_000..=10_000)];
/// Weight of the one route that the second version changes.
const WEIGHTS: [usize; 2] = [100, 90];
/// Bytes per second of the other ends' links.
const WIDE_RATE: u32 = 1_000_000;
const FIRST_AFTER: Duration = Duration::from_secs(5);
/// Time within which a change must be in force, as it is set for the follower.
const APPLY: Duration = Duration::from_secs(2);
/// Time for which a heartbeat shows its sender to be alive.
const ALIVE_TIME: Duration = Duration::from_secs(2);
const RUN_TIME: Duration = Duration::from_secs(30);

/// Two versions that others have.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    routes: usize,
    /// Time that the compressed table takes over the link.
    transfer: Duration,
    /// Time after the first version at which the second one follows, and the last heartbeats come.
    second_after: Duration,
    /// Whether only an instance that has ended meanwhile has reported the second version.
    is_gone: bool,
}

/// What a run shows.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// Time for which an older version decided, later than it may.
    late: Duration,
    /// Time from the end of the fetch of the first version to when that decides to the end, if it does.
    serves_after: Option<Duration>,
}

async fn play(scenario: Scenario) -> Outcome {
    let whole = Packed::new(document(scenario.routes, WEIGHTS[0]).as_bytes()).len();
    let rate = (whole as f64 / scenario.transfer.as_secs_f64()) as u32;
    let link = Link::new(rate);
    let clock = Clock::start();
    let first_at = Instant::now() + FIRST_AFTER;
    let second_at = first_at + scenario.second_after;
    let mut fleet = Fleet::default();
    let mut tables = Vec::new();
    let alive_until = clock.now() + FIRST_AFTER + scenario.second_after + ALIVE_TIME;
    // Nobody else gets its port meanwhile.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut gone = member(closed.local_addr().unwrap(), Peer::Honest);
    gone.alive_until = alive_until;
    fleet.members.insert(GONE.into(), gone);
    for idx in 0..SOURCES {
        let (addr, published) = serve_table(table(scenario.routes, WEIGHTS[0], POSITION)).await;
        let links = [Link::new(WIDE_RATE), link.clone()];
        let carrier = start_carrier(addr, links, Arc::new(AtomicUsize::new(0))).await;
        let id = format!("i{idx}");
        let mut source = member(carrier, Peer::Honest);
        source.alive_until = alive_until;
        fleet.members.insert(id.as_str().into(), source);
        tables.push(published);
    }
    let (in_force, mut in_force_rx) = mpsc::unbounded_channel();
    let (engine, mut events) = mpsc::unbounded_channel();
    let metrics = Metrics::new().unwrap();
    let (tx, running) =
        start_observed_follower(clock, unread_store(), fleet, metrics, in_force, engine);
    let reports = async move {
        sleep_until(first_at).await;
        let sources: Vec<String> = (0..SOURCES).map(|idx| format!("i{idx}")).collect();
        report(&tx, clock, &sources, POSITION).await;
        sleep_until(second_at).await;
        if scenario.is_gone {
            report(&tx, clock, &[GONE.to_owned()], POSITION + 1).await;
        } else {
            for published in &tables {
                let second = table(scenario.routes, WEIGHTS[1], POSITION + 1);
                published.send_replace(Arc::new(vec![second]));
            }
            report(&tx, clock, &sources, POSITION + 1).await;
        }
        sleep(RUN_TIME * 2).await;
    };
    tokio::spawn(reports);
    // From when on the version may decide, and until when.
    let mut states = vec![(Instant::now(), None)];
    let texts = WEIGHTS.map(|weight| document(scenario.routes, weight));
    let mut versions_at = [first_at + RUN_TIME; 2];
    let observed = async {
        loop {
            tokio::select! {
                Some(text) = in_force_rx.recv() => {
                    if let Some(version) = texts.iter().position(|one| *one == text) {
                        versions_at[version] = Instant::now();
                    }
                }
                Some(event) = events.recv() => if let Event::ConfigBehind(lag) = event {
                    states.push((Instant::now(), lag.outdated_from.map(|at| clock.instant(at))));
                },
            }
        }
    };
    let _ = timeout(FIRST_AFTER + RUN_TIME, observed).await;
    running.abort();
    drop(closed);
    let [_, second_in_force_at] = versions_at;
    let bound = second_at + APPLY;
    let ends = states.iter().skip(1).map(|(at, _)| *at);
    let ends = ends.chain([first_at + RUN_TIME]);
    let late = states.iter().zip(ends).map(|((from, outdated_from), to)| {
        let decides_until = outdated_from
            .map_or(to, |at| at.min(to))
            .min(second_in_force_at);
        decides_until.saturating_duration_since((*from).max(bound))
    });
    let late = late.sum();
    let last = states
        .last()
        .filter(|(_, outdated_from)| outdated_from.is_none());
    let serves_after = last.map(|(at, _)| at.saturating_duration_since(versions_at[0]));
    Outcome { late, serves_after }
}

/// Reports a position as a heartbeat of each of these instances does.
async fn report(
    tx: &mpsc::Sender<FollowerMessage>,
    clock: Clock,
    instances: &[String],
    position: u64,
) {
    for from in instances {
        let report = FollowerMessage::PeerPositions {
            from: from.as_str().into(),
            positions: vec![Position::from(position)],
            confirmed_at: None,
            change: Some(TableChange::complete(Position::from(position), clock.now())),
            reads: None,
        };
        tx.send(report).await.unwrap();
    }
}

/// Returns a store that gives the version before the others', and then nothing.
fn unread_store() -> Platform {
    Platform::spawn(move || {
        move |call, _| async move {
            let is_first = matches!(call, Call::Snapshot { .. });
            let change = Change {
                row: "config".to_owned(),
                value: Some("{}".to_owned()),
                at: Position::from(POSITION - 1),
            };
            let first = Reply::Changes(vec![change], Position::from(POSITION - 1));
            is_first.then_some(first).ok_or(PlatformError::Unavailable)
        }
    })
}

fn scenarios(is_gone: bool) -> impl Iterator<Item = Scenario> {
    let transfers = DOCUMENTS
        .into_iter()
        .flat_map(|(routes, times_ms)| times_ms.step_by(500).map(move |time_ms| (routes, time_ms)));
    transfers.flat_map(move |(routes, time_ms)| {
        [500, 1_000, 1_500].map(|second_ms| Scenario {
            routes,
            transfer: Duration::from_millis(time_ms),
            second_after: Duration::from_millis(second_ms),
            is_gone,
        })
    })
}

/// Guards against CONFIG: an instance that had fetched a version, and knew of a later one, decided by the former again until
/// the next fetch had begun to arrive, since no heartbeat had come for as long.
#[test]
fn version_decides_no_more_between_two_fetches() {
    let runs = scenarios(false).map(|scenario| (scenario, run_paused(play(scenario))));
    let late: Vec<_> = runs
        .filter(|(_, outcome)| !outcome.late.is_zero())
        .collect();
    assert!(late.is_empty(), "{} late: {late:?}", late.len());
}

/// Guards against refusals for nothing: the only instance that has reported a later version is gone, and another one has
/// sent the version before.
#[test]
fn version_decides_if_the_later_one_is_gone() {
    let runs = scenarios(true).map(|scenario| (scenario, run_paused(play(scenario))));
    let is_served = |outcome: &Outcome| outcome.serves_after.is_some_and(|time| time <= ALIVE_TIME);
    let refusing: Vec<_> = runs.filter(|(_, outcome)| !is_served(outcome)).collect();
    assert!(
        refusing.is_empty(),
        "{} refusing: {refusing:?}",
        refusing.len()
    );
}

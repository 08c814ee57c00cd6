//! An instance that the store turns away, next to one whose reads take long.

use std::{future::pending, ops::Range, sync::Arc, time::Duration};

use base::{InstanceId, Position, Time};
use daemon::message::{FollowerMessage, PeerCommand, TableChange};
use entry::view::Clock;
use platform::{Call, Platform};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    call::read_of,
    is_refused,
    model::{
        Decided, HEARTBEAT_INTERVAL, Node, RUN_TIME, Scenario, position_of, reporter_id, store,
    },
    paused::run_paused,
    transfer::Transfer,
};

const SEEDS: Range<u64> = 0..150;
/// Time that a heartbeat is on its way.
const WAY: Duration = Duration::from_millis(25);

/// Versions that take a part of the time within which they must be in force to reach the one instance that reads
/// the store; the other one is turned away from the start and gets its first version alone.
fn draw(seed: u64) -> Scenario {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
    let apply = ms(2_000..3_001);
    let is_series = ms(0..2).is_zero();
    let gap = if is_series { 700 } else { 4_000 };
    let mut at = ms(3_000..4_000);
    let mut changes = Vec::new();
    for _ in 0..ms(1..6).as_millis() {
        changes.push(at);
        at += ms(gap / 2..gap);
    }
    let contact = apply + ms(500..1_500);
    let transfers = (0..40).map(|_| Transfer::Takes(ms(100..2_600)));
    Scenario {
        seed,
        contact,
        apply,
        changes,
        transfers: transfers.collect(),
        ..Scenario::calm()
    }
}

/// Answers the first read of each table alone.
pub(crate) fn silent_store(started: Instant, scenario: &Arc<Scenario>) -> Platform {
    let store = store(started, scenario, Vec::new());
    Platform::spawn(move || {
        let store = store.clone();
        move |call: Call, _| {
            let store = store.clone();
            async move {
                let is_first = matches!(read_of(call.clone())?, (_, 0, _));
                if !is_first {
                    pending::<()>().await;
                }
                store.call(call).await
            }
        }
    })
}

/// Sends heartbeats with what the reading instance last reported, as its task for the other instances does.
pub(crate) async fn send_heartbeats(
    started: Instant,
    phase: Duration,
    from: InstanceId,
    mut told: mpsc::Receiver<PeerCommand>,
    follower: mpsc::Sender<FollowerMessage>,
) {
    let mut last = None;
    let mut next = started + phase;
    loop {
        let is_news = tokio::select! {
            command = told.recv() => match command {
                Some(PeerCommand::SetTablePositions { positions, change, .. }) => {
                    let is_news = last.as_ref().is_none_or(|(before, _)| *before != positions);
                    last = Some((positions, change));
                    is_news
                }
                Some(_) => false,
                None => return,
            },
            () = sleep_until(next) => {
                next += HEARTBEAT_INTERVAL;
                true
            }
        };
        let Some((positions, change)) = last.clone().filter(|_| is_news) else {
            continue;
        };
        let message = FollowerMessage::PeerPositions {
            from: from.clone(),
            positions,
            confirmed_at: None,
            change,
            reads: None,
        };
        let follower = follower.clone();
        tokio::spawn(async move {
            sleep(WAY).await;
            let _ = follower.send(message).await;
        });
    }
}

async fn play(scenario: Arc<Scenario>) -> Vec<Decided> {
    let (started, clock) = (Instant::now(), Clock::start());
    let reading = store(started, &scenario, scenario.transfers.clone());
    let reader = Node::start(&scenario, clock, reading, [], RUN_TIME);
    let turned_away = silent_store(started, &scenario);
    let node = Node::start(&scenario, clock, turned_away, [reporter_id(0)], RUN_TIME);
    let phase = Duration::from_millis(scenario.seed * 37 % 500);
    let follower = node.follower.clone();
    let heartbeats = send_heartbeats(started, phase, reporter_id(0), reader.told, follower);
    tokio::spawn(heartbeats);
    node.decide(started).await
}

/// Guards against CONFIG and HOME: an instance that the store turns away learned of a version only when another one had all
/// of it, and then went on deciding by its own one for most of the time within which a change must be in force.
#[test]
fn version_that_is_still_arriving_elsewhere_is_known_in_time() {
    let late = SEEDS.filter_map(|seed| {
        let scenario = draw(seed);
        let decided = run_paused(play(Arc::new(scenario.clone())));
        let late = decided.iter().filter(|decided| {
            let required = scenario.required_version(decided.at);
            decided.outcome.as_ref().is_ok_and(|used| *used < required)
        });
        let late = late.count();
        (late > 0).then_some((seed, late))
    });
    let late: Vec<(u64, usize)> = late.collect();
    assert!(late.is_empty(), "{} seeds: {late:?}", late.len());
}

/// Guards against refusals for nothing: the date of an arrival that came to nothing, and that a later one had replaced, counted
/// for the next version minutes later.
#[test]
fn replaced_arrival_that_came_to_nothing_dates_no_version() {
    const LATER: Duration = Duration::from_secs(15);
    let scenario = Scenario {
        apply: Duration::from_secs(3),
        ..Scenario::calm()
    };
    let decided = run_paused(async move {
        let (started, clock) = (Instant::now(), Clock::start());
        let scenario = Arc::new(scenario);
        let platform = silent_store(started, &scenario);
        let node = Node::start(&scenario, clock, platform, [reporter_id(0)], RUN_TIME);
        let follower = node.follower.clone();
        let secs = |secs| Time::ZERO + Duration::from_secs(secs);
        let own = position_of(0);
        let reports = [
            (
                secs(5),
                TableChange::arriving_after(Position::from(own), secs(5)),
            ),
            (
                secs(6),
                TableChange::arriving_after(Position::from(own + 5), secs(6)),
            ),
            (secs(7), TableChange::complete(Position::from(own), secs(0))),
            (
                secs(15),
                TableChange::complete(Position::from(own + 10), secs(15)),
            ),
        ];
        tokio::spawn(async move {
            for (at, change) in reports {
                sleep_until(clock.instant(at)).await;
                let message = FollowerMessage::PeerPositions {
                    from: reporter_id(0),
                    positions: vec![change.position, Position::from(1)],
                    confirmed_at: None,
                    change: Some(change),
                    reads: None,
                };
                follower.send(message).await.unwrap();
            }
        });
        node.decide(started).await
    });
    let refused = decided.iter().filter(|one| is_refused(one));
    let refused: Vec<Duration> = refused.map(|one| one.at).collect();
    assert!(!refused.is_empty());
    assert!(
        refused[0] > LATER + Duration::from_secs(2),
        "{:?}",
        refused[0]
    );
}

/// Guards against refusals for nothing: an instance that starts reported the position of its first read, which rows of
/// other tables have raised, as that of a change.
#[test]
fn instance_that_starts_reports_the_change_that_its_rows_have() {
    let scenario = Scenario {
        others_start: Some(Duration::ZERO),
        ..Scenario::calm()
    };
    let told = run_paused(async move {
        let (started, clock) = (Instant::now(), Clock::start());
        let scenario = Arc::new(scenario);
        let platform = store(started, &scenario, Vec::new());
        let mut node = Node::start(&scenario, clock, platform, [], RUN_TIME);
        loop {
            let command = node.told.recv().await.unwrap();
            if let PeerCommand::SetTablePositions {
                positions, change, ..
            } = command
                && positions[0] > Position::ZERO
            {
                return (positions[0], change);
            }
        }
    });
    let (position, change) = told;
    assert_eq!(position, Position::from(position_of(0) + 1));
    assert_eq!(
        change.map(|change| change.position),
        Some(Position::from(position_of(0)))
    );
}

//! Reports of a version that is arriving elsewhere which come to nothing, or which are followed by others.

use std::{sync::Arc, time::Duration};

use base::{Position, Time};
use daemon::message::{FollowerMessage, TableChange};
use entry::view::Clock;
use rstest::rstest;
use tokio::time::{Instant, sleep_until};

use crate::{
    is_refused,
    model::{Decided, Node, RUN_TIME, Scenario, position_of, reporter_id, store},
    paused::run_paused,
    transfer::Transfer,
};

/// Lets an instance receive these reports at these times, in milliseconds, from another one that has the position, and
/// returns what becomes of its requests.
fn hear(scenario: Scenario, reports: Vec<(u64, u64, TableChange)>) -> Vec<Decided> {
    run_paused(async move {
        let (started, clock) = (Instant::now(), Clock::start());
        let scenario = Arc::new(scenario);
        let platform = store(started, &scenario, scenario.transfers.clone());
        let node = Node::start(&scenario, clock, platform, [reporter_id(0)], RUN_TIME);
        let follower = node.follower.clone();
        tokio::spawn(async move {
            for (at, position, change) in reports {
                sleep_until(started + Duration::from_millis(at)).await;
                let message = FollowerMessage::PeerPositions {
                    from: reporter_id(0),
                    positions: vec![Position::from(position), Position::from(position_of(0))],
                    confirmed_at: None,
                    change: Some(change),
                    reads: None,
                };
                let _ = follower.send(message).await;
            }
        });
        node.decide(started).await
    })
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// Returns reports each half second that a version has been arriving since `since` after those up to `after`.
fn arriving(from: u64, to: u64, after: u64, since: u64) -> Vec<(u64, u64, TableChange)> {
    let times = (from..to).step_by(500);
    let change = TableChange::arriving_after(Position::from(after), at(since));
    times.map(|time| (time, after, change)).collect()
}

fn complete(from: u64, to: u64, position: u64, since: u64) -> Vec<(u64, u64, TableChange)> {
    let times = (from..to).step_by(500);
    let change = TableChange::complete(Position::from(position), at(since));
    times.map(|time| (time, position, change)).collect()
}

/// Returns reports of an arrival that ends without an update, and of a version that has been arriving since 12.02 s, complete
/// at `complete_at` at this position.
fn after_false_one(
    is_false_one: bool,
    complete_at: u64,
    next: u64,
) -> Vec<(u64, u64, TableChange)> {
    let old = position_of(0);
    let first = if is_false_one {
        arriving(5_000, 5_500, old, 4_800)
    } else {
        complete(5_000, 5_500, old, 0)
    };
    let parts = [
        first,
        complete(5_500, 12_000, old, 0),
        arriving(12_200, complete_at, old, 12_020),
        complete(complete_at, 24_000, next, 12_020),
    ];
    parts.concat()
}

/// Guards against CONFIG: after a report of an arrival that brought nothing, and an own read that showed it, none of the
/// next version was believed.
#[rstest]
#[case::without_false_one(false, 20_200, position_of(1))]
#[case::still_arriving(true, 20_200, position_of(1))]
#[case::next_position(true, 13_200, position_of(0) + 1)]
fn version_after_an_arrival_that_brought_nothing_is_known_in_time(
    #[case] is_false_one: bool,
    #[case] complete_at: u64,
    #[case] next: u64,
) {
    let change = Duration::from_secs(12);
    let scenario = Scenario {
        changes: vec![change],
        outage: Some(Duration::from_secs(10)),
        ..Scenario::calm()
    };
    let bound = change + scenario.apply;
    let decided = hear(scenario, after_false_one(is_false_one, complete_at, next));
    let late = decided
        .iter()
        .filter(|one| one.at > bound && one.outcome.is_ok());
    assert_eq!(late.count(), 0);
}

/// Guards against refusals for nothing: a version was dated by an earlier arrival that brought nothing.
#[test]
fn version_after_an_arrival_that_brought_nothing_is_dated_by_itself() {
    let change = Duration::from_secs(12);
    let scenario = Scenario {
        changes: vec![change],
        outage: Some(Duration::from_secs(3)),
        ..Scenario::calm()
    };
    let known_limit = change + scenario.apply / 2;
    let decided = hear(scenario, after_false_one(true, 20_200, position_of(1)));
    let early = decided
        .iter()
        .filter(|one| is_refused(one) && one.at < known_limit);
    let early: Vec<Duration> = early.map(|one| one.at).collect();
    let span = early.first().zip(early.last());
    assert_eq!(early.len(), 0, "{span:?}");
}

/// Guards against CONFIG: what was known of a version that is arriving elsewhere was forgotten when the one before it came
/// in force, until the next heartbeat.
#[test]
fn arrival_elsewhere_is_known_when_the_version_before_it_comes() {
    let [first, second] = [5, 6].map(Duration::from_secs);
    let scenario = Scenario {
        changes: vec![first, second],
        transfers: [3_600, 3_000]
            .map(Duration::from_millis)
            .map(Transfer::Takes)
            .into(),
        ..Scenario::calm()
    };
    let bound = second + scenario.apply;
    // The answer that began with the first version brings no more.
    let reports = [
        complete(5_100, 6_100, position_of(1), 5_020),
        arriving(6_200, 12_000, position_of(1), 6_020),
    ];
    let decided = hear(scenario, reports.concat());
    let late = decided
        .iter()
        .filter(|one| one.at > bound && one.outcome.as_ref().is_ok_and(|version| *version < 2));
    let late: Vec<Duration> = late.map(|one| one.at).collect();
    let span = late.first().zip(late.last());
    assert_eq!(late.len(), 0, "{span:?}");
}

/// Guards against a region in which an instance names itself alone: one that starts reads the store's position, which rows
/// of other tables have raised, and counted the others, which have the latest version, as behind it.
#[test]
fn instance_that_starts_names_the_others() {
    let scenario = Scenario {
        others_start: Some(Duration::ZERO),
        ..Scenario::calm()
    };
    let decided = hear(scenario, complete(300, 25_000, position_of(0), 0));
    let settled = |one: &&Decided| one.at > Duration::from_secs(1);
    let alone = decided
        .iter()
        .filter(settled)
        .filter(|one| !one.named.contains(&reporter_id(0)));
    let alone: Vec<Duration> = alone.map(|one| one.at).collect();
    let span = alone.first().zip(alone.last());
    assert_eq!(alone.len(), 0, "{span:?}");
}

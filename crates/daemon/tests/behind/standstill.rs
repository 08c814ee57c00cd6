//! An instance that stood still while a version was acknowledged, and what it decides by before it has learned of that.

use std::{ops::Range, sync::Arc, time::Duration};

use base::{Position, Time};
use daemon::message::{FollowerMessage, TableChange};
use entry::view::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    model::{
        Decided, HEARTBEAT_INTERVAL, Node, RUN_TIME, Scenario, position_of, reporter_id, store,
    },
    paused::run_paused,
    transfer::Transfer,
};

const SEEDS: Range<u64> = 0..300;
/// Time from the start to the earliest begin of the standstill.
const STANDS_FROM: Duration = Duration::from_secs(6);
/// Time after an acknowledgement at which another instance has the version.
const READ_TIME: Duration = Duration::from_millis(60);

/// Time for which another instance counts as alive from the standstill's begin on.
const ALIVE_TIME: Duration = Duration::from_millis(1_700);
/// Time after waking until which it doesn't, though its heartbeats have been read.
const PUBLISH_TIME: Duration = Duration::from_millis(100);
/// Age of what confirms the version in a heartbeat.
const CONFIRMATION_AGE: Duration = Duration::from_millis(200);

/// What an instance that stands still misses.
#[derive(Debug, Clone)]
struct Standstill {
    from: Duration,
    time: Duration,
    /// Whether the heartbeats of another instance wait for it.
    hears: bool,
    scenario: Scenario,
}

impl Standstill {
    fn draw(seed: u64, hears: bool) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let apply = ms(2_000..4_001);
        let from = STANDS_FROM + ms(0..2_000);
        let time = ms(300..8_000);
        let acked = from + ms(0..time.as_millis() as u64);
        let transfer = ms(0..2_000);
        Self {
            from,
            time,
            hears,
            scenario: Scenario {
                seed,
                apply,
                contact: apply + ms(0..2_000),
                changes: vec![acked],
                transfers: vec![Transfer::Takes(transfer); 40],
                ..Scenario::calm()
            },
        }
    }

    /// Returns when another instance sends heartbeats from the standstill's begin on.
    fn heartbeat_times(&self) -> Vec<Duration> {
        let count = RUN_TIME.div_duration_f64(HEARTBEAT_INTERVAL) as u32;
        let times = (0..count).map(|number| HEARTBEAT_INTERVAL * number);
        times.filter(|at| self.hears && *at >= self.from).collect()
    }

    fn heartbeat(&self, at: Duration) -> FollowerMessage {
        let version = at
            .checked_sub(READ_TIME)
            .map_or(0, |at| self.scenario.version_at(at));
        let change = version.checked_sub(1).map(|idx| self.scenario.changes[idx]);
        let since = change.map_or(Duration::ZERO, |change| change + READ_TIME);
        FollowerMessage::PeerPositions {
            from: reporter_id(0),
            positions: vec![Position::from(position_of(version)), Position::from(1)],
            confirmed_at: Some((Time::ZERO + at).before(CONFIRMATION_AGE)),
            change: Some(TableChange::complete(
                Position::from(position_of(version)),
                Time::ZERO + since,
            )),
            reads: None,
        }
    }
}

/// Lets the instance stand still while a request and heartbeats wait, and returns what becomes of the request. Later
/// heartbeats come in time.
async fn stand_still(node: &Node, started: Instant, standstill: &Standstill) -> Decided {
    sleep_until(started + standstill.from).await;
    let woken_at = standstill.from + standstill.time;
    let (waiting, later): (Vec<_>, Vec<_>) = standstill
        .heartbeat_times()
        .into_iter()
        .partition(|at| *at < woken_at);
    for at in waiting {
        node.follower.try_send(standstill.heartbeat(at)).unwrap();
    }
    let (follower, heard) = (node.follower.clone(), standstill.clone());
    tokio::spawn(async move {
        for at in later {
            sleep_until(started + at).await;
            let _ = follower.send(heard.heartbeat(at)).await;
        }
    });
    node.stand_still(started, standstill.time).await
}

/// Returns what becomes of the request that waits meanwhile, and of later ones.
async fn play(standstill: Standstill) -> Vec<Decided> {
    let (started, clock) = (Instant::now(), Clock::start());
    let scenario = Arc::new(standstill.scenario.clone());
    let platform = store(started, &scenario, scenario.transfers.clone());
    let other = reporter_id(0);
    let end = standstill.from + ALIVE_TIME;
    let node = Node::start(&scenario, clock, platform, [other.clone()], end);
    let waiting = stand_still(&node, started, &standstill).await;
    let heard = async {
        sleep(PUBLISH_TIME).await;
        if standstill.hears {
            node.hear_of(&other, RUN_TIME);
        }
    };
    let (later, ()) = tokio::join!(node.decide(started), heard);
    [waiting].into_iter().chain(later).collect()
}

/// Returns how long after the acknowledgement the last request was decided by an older version than allowed, if any was.
fn worst_in(standstill: &Standstill, decided: &[Decided]) -> Option<Duration> {
    let late = decided.iter().filter(|decided| {
        let required = standstill.scenario.required_version(decided.at);
        decided.outcome.as_ref().is_ok_and(|used| *used < required)
    });
    let late = late.map(|decided| decided.at - standstill.scenario.changes[0]);
    late.max()
}

/// Guards against CONFIG and HOME: an instance that woke decided by its old version about what had waited, though its own
/// sockets held the update.
#[test]
fn no_request_is_decided_by_an_old_version_after_a_standstill() {
    let late = SEEDS.filter_map(|seed| {
        let standstill = Standstill::draw(seed, true);
        let decided = run_paused(play(standstill.clone()));
        worst_in(&standstill, &decided).map(|worst| (seed, worst))
    });
    let late: Vec<(u64, Duration)> = late.collect();
    let worst = late.iter().map(|(_, worst)| *worst).max();
    assert!(
        late.is_empty(),
        "{} seeds, {worst:?} after the acknowledgement: {late:?}",
        late.len()
    );
}

/// Guards against callers that are refused for long, or for a standstill that was none: nothing had changed meanwhile.
#[test]
fn callers_are_refused_until_the_first_news_at_most() {
    for (hears, allowed) in [(true, 100), (false, 600)] {
        for seed in SEEDS {
            let mut standstill = Standstill::draw(seed, hears);
            standstill.scenario.changes.clear();
            if seed % 3 == 0 && !hears {
                standstill.scenario.outage = Some(standstill.from);
            }
            let woken_at = standstill.from + standstill.time;
            let decided = run_paused(play(standstill.clone()));
            let refused = decided.iter().filter(|one| one.outcome.is_err());
            let last = refused.map(|one| one.at - woken_at).max();
            let last = last.unwrap_or_default();
            assert!(
                last <= Duration::from_millis(allowed),
                "{seed}, {hears}, {last:?}"
            );
            let is_short = standstill.time < Duration::from_millis(700);
            assert!(
                !is_short || decided.iter().all(|one| one.outcome.is_ok()),
                "{seed}"
            );
        }
    }
}

/// Lets an instance stand still twice, the second time from `awake` after the first one's end on, and returns what becomes
/// of the request that waits the second time, and of later ones.
async fn play_twice(standstill: Standstill, first: Duration, awake: Duration) -> Vec<Decided> {
    let (started, clock) = (Instant::now(), Clock::start());
    let scenario = Arc::new(standstill.scenario.clone());
    let platform = store(started, &scenario, scenario.transfers.clone());
    let other = reporter_id(0);
    let node = Node::start(&scenario, clock, platform, [other.clone()], RUN_TIME);
    sleep_until(started + standstill.from - first - awake).await;
    node.stand_still(started, first).await;
    let waiting = stand_still(&node, started, &standstill).await;
    let later = node.decide(started).await;
    [waiting].into_iter().chain(later).collect()
}

/// Guards against CONFIG and HOME: an instance that stood still again before it had learned of others gave its word on the
/// next waking, before the update that waited in its sockets.
#[test]
fn no_request_is_decided_by_an_old_version_after_two_standstills() {
    let late = SEEDS.filter_map(|seed| {
        let standstill = Standstill::draw(seed, true);
        let first = Duration::from_millis(1_000 + seed * 5);
        let awake = Duration::from_millis(seed * 2);
        let decided = run_paused(play_twice(standstill.clone(), first, awake));
        worst_in(&standstill, &decided).map(|worst| (seed, worst))
    });
    let late: Vec<(u64, Duration)> = late.collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against callers that are sent for long to an instance that ended during the standstill of the one that they ask:
/// its look-ups go by what it knew before until its follower's first word, or that of others.
#[test]
fn look_ups_name_an_instance_that_ended_for_a_moment_after_a_standstill() {
    let gone = reporter_id(0);
    let late = SEEDS.filter_map(|seed| {
        let standstill = Standstill::draw(seed, false);
        let known_at = (standstill.from + standstill.time).max(standstill.from + ALIVE_TIME);
        let decided = run_paused(play(standstill));
        let naming = decided.iter().filter(|one| one.named.contains(&gone));
        let last = naming.map(|one| one.at.saturating_sub(known_at)).max()?;
        (last > Duration::from_millis(600)).then_some((seed, last))
    });
    let late: Vec<(u64, Duration)> = late.collect();
    assert!(late.is_empty(), "{late:?}");
}

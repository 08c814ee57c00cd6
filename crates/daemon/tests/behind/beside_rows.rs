//! A target that leaves while an answer that brings earlier rows of targets is still arriving.

use std::{ops::Range, sync::Arc, time::Duration};

use base::{Position, TargetId};
use daemon::message::{FollowerMessage, PeerCommand};
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    sync::mpsc,
    time::{Instant, interval, sleep, sleep_until},
};

use crate::{
    call::read_of,
    departed::{
        ARRIVAL_INTERVAL, DRAINING, FIRST_POSITION, Instance, Limits, OF_OTHERS, TARGET,
        TARGETS_TABLE,
    },
    model::{HEARTBEAT_INTERVAL, RUN_TIME, reporter_id},
    paused::run_paused,
    transfer::Transfer,
};

const SEEDS: Range<u64> = 0..100;
/// Parameter `drainS` of sites, in milliseconds.
const DRAINS_MS: [u64; 3] = [2_000, 2_500, 3_000];
/// Another target, which stays.
const STAYS: &str = "stays";
/// Number of rows that change at once.
const ROWS_AT_ONCE: usize = 81;
const ROWS_AT: Duration = Duration::from_secs(5);
/// Time for which an answer of a few rows arrives.
const SHORT_TRANSFER: Duration = Duration::from_millis(30);
/// Time that a message takes to another instance.
const WAY: Duration = Duration::from_millis(25);
/// Time that the small call for the store's position takes.
const SMALL_CALL_TIME: Duration = Duration::from_millis(10);
/// Time from which on the store turns an instance away.
const TURNED_AWAY_FROM: Duration = Duration::from_secs(3);
/// Time for which requests are sent before the rows change, and after the bound of the departure.
const CALM_TIME: Duration = Duration::from_millis(500);
const WATCHED_TIME: Duration = Duration::from_millis(1_500);

/// How the first answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Read {
    /// It brings the rows that have changed.
    Changes,
    /// The history is gone, and it brings the whole table.
    Whole,
}

/// What changes as the target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Its row alone.
    Few,
    /// Many rows once more.
    Many,
}

/// How a target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    Drains,
    IsGone,
}

/// Which instance sends the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// It reads the store, and nobody reports anything to it.
    Reads,
    /// The store turns it away, and one that reads it reports to it.
    IsTurnedAway,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    read: Read,
    news: News,
    leaving: Leaving,
    drain: Duration,
    /// Time for which an answer with many rows arrives.
    transfer: Duration,
    /// Time from the rows to the target's departure.
    gap: Duration,
    /// Whether the target's first entry is one of the rows.
    comes_with_rows: bool,
    /// Time from the target's departure to when its entry is back.
    back_after: Option<Duration>,
}

impl Scenario {
    fn draw(seed: u64, drain_ms: u64, read: Read, news: News) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let max_ms = match news {
            News::Few => 2_500,
            News::Many => 1_500,
        };
        let leaving = if ms(0..2).is_zero() {
            Leaving::Drains
        } else {
            Leaving::IsGone
        };
        Self {
            read,
            news,
            leaving,
            drain: Duration::from_millis(drain_ms),
            transfer: ms(500..max_ms + 1),
            gap: ms(100..2_001),
            comes_with_rows: false,
            back_after: None,
        }
    }

    fn left_at(&self) -> Duration {
        ROWS_AT + self.gap
    }

    /// Returns the changes of the targets' table, with their times; the first of them are there at the start.
    fn changes(&self) -> Vec<(Duration, Change)> {
        let change = |name: &str, value: Option<&str>| Change {
            row: name.to_owned(),
            value: value.map(str::to_owned),
            at: Position::ZERO,
        };
        let comes_at = ROWS_AT * u32::from(self.comes_with_rows);
        let first = [(Duration::ZERO, STAYS), (comes_at, TARGET)];
        let first = first.map(|(at, name)| (at, change(name, Some(""))));
        let many = |at| {
            (0..ROWS_AT_ONCE).map(move |number| {
                let name = format!("other-{number}");
                (at, change(&name, Some(OF_OTHERS)))
            })
        };
        let value = (self.leaving == Leaving::Drains).then_some(DRAINING);
        let left = (self.left_at(), change(TARGET, value));
        let later = many(self.left_at()).filter(|_| self.news == News::Many);
        let all = first.into_iter().chain(many(ROWS_AT)).chain([left]);
        let back = self.back_after.map(|after| self.left_at() + after);
        let back = back.map(|at| (at, change(TARGET, Some(""))));
        let all = all.chain(later).chain(back).enumerate();
        let all = all.map(|(idx, (at, change))| {
            let position = FIRST_POSITION + idx as u64;
            let change = Change {
                at: Position::from(position),
                ..change
            };
            (at, change)
        });
        all.collect()
    }

    /// Returns the position after which the history begins.
    fn history_from(&self, at: Duration) -> u64 {
        let is_gone = self.read == Read::Whole && at >= ROWS_AT;
        FIRST_POSITION + u64::from(is_gone) * (ROWS_AT_ONCE as u64 + 1)
    }
}

/// Answers a poll when there is an update, or at the end of its wait.
async fn answer(
    started: Instant,
    scenario: Scenario,
    (call, progress): (Call, Progress),
) -> Result<Reply, PlatformError> {
    let changes = scenario.changes();
    if matches!(call, Call::Position { .. }) {
        let there = changes.iter().filter(|(at, _)| *at <= started.elapsed());
        let position = there.map(|(_, change)| change.at).max();
        sleep(SMALL_CALL_TIME).await;
        return Ok(Reply::Position(
            position.unwrap_or(Position::from(FIRST_POSITION)),
        ));
    }
    let (table, after, wait) = read_of(call)?;
    let deadline = started.elapsed() + wait;
    if table != TARGETS_TABLE {
        sleep_until(started + deadline).await;
        progress.add(1);
        return Ok(Reply::Changes(Vec::new(), Position::from(FIRST_POSITION)));
    }
    let mut news = changes
        .iter()
        .filter(|(_, change)| change.at > Position::from(after));
    let news_at = news.next().map_or(deadline, |(at, _)| *at);
    sleep_until(started + news_at.min(deadline)).await;
    let now = started.elapsed();
    if after > 0 && after < scenario.history_from(now) {
        return Err(PlatformError::HistoryGone);
    }
    let there = changes.into_iter().filter(|(at, _)| *at <= now);
    let there: Vec<Change> = there.map(|(_, change)| change).collect();
    let position = there.iter().map(|change| change.at).max();
    let mut found: Vec<Change> = there
        .iter()
        .filter(|one| one.at > Position::from(after))
        .cloned()
        .collect();
    if after == 0 {
        let is_last = |change: &Change| {
            let mut others = there.iter().filter(|one| one.row == change.row);
            others.all(|one| one.at <= change.at)
        };
        found.retain(|change| change.value.is_some() && is_last(change));
    }
    let time = if found.len() >= ROWS_AT_ONCE {
        scenario.transfer
    } else {
        SHORT_TRANSFER
    };
    if found.is_empty() {
        progress.add(1);
    } else {
        Transfer::Takes(time).transmit(&progress).await?;
    }
    Ok(Reply::Changes(
        found,
        position.unwrap_or(Position::from(FIRST_POSITION)),
    ))
}

/// Starts an instance that the store answers until a time.
fn start(started: Instant, scenario: Scenario, answered_until: Duration) -> Instance {
    let platform = Platform::spawn(move || {
        move |call, progress| async move {
            let answer = answer(started, scenario, (call, progress));
            tokio::select! {
                answer = answer => answer,
                () = sleep_until(started + answered_until) => Err(PlatformError::Unavailable),
            }
        }
    });
    let limits = Limits {
        contact: Duration::from_secs(4),
        apply: Duration::from_secs(3),
        drain: scenario.drain,
    };
    Instance::start(platform, limits)
}

/// Brings what an instance reports of departures to another one: with its regular heartbeats, and at once with
/// a later position.
async fn relay(mut from: Instance, to: mpsc::Sender<FollowerMessage>) {
    let mut departures = Arc::default();
    let mut positions = Vec::new();
    let mut regular = interval(HEARTBEAT_INTERVAL);
    loop {
        let is_sent = tokio::select! {
            _ = regular.tick() => true,
            command = from.told.recv() => match command {
                Some(PeerCommand::SetDepartures(set)) => {
                    departures = set;
                    false
                }
                Some(PeerCommand::SetTablePositions { positions: set, .. }) => {
                    set != std::mem::replace(&mut positions, set.clone())
                }
                Some(_) => false,
                None => return,
            },
        };
        if is_sent {
            sleep(WAY).await;
            let message = FollowerMessage::PeerDepartures {
                from: reporter_id(0),
                departures: departures.to_vec(),
            };
            if to.send(message).await.is_err() {
                return;
            }
        }
    }
}

/// Returns to which targets requests are sent, or why they aren't, and when.
async fn play(scenario: Scenario, place: Place) -> Vec<(Duration, Result<TargetId, String>)> {
    let started = Instant::now();
    let instance = match place {
        Place::Reads => start(started, scenario, RUN_TIME),
        Place::IsTurnedAway => {
            let away = start(started, scenario, TURNED_AWAY_FROM);
            let reader = start(started, scenario, RUN_TIME);
            tokio::spawn(relay(reader, away.follower.clone()));
            away
        }
    };
    let mut sent = Vec::new();
    sleep_until(started + ROWS_AT - CALM_TIME).await;
    for id in 0.. {
        if started.elapsed() > scenario.left_at() + scenario.drain + WATCHED_TIME {
            break;
        }
        sleep(ARRIVAL_INTERVAL).await;
        let rx = instance.send(id);
        sent.push(instance.sent_to(started, id, rx).await);
    }
    sent
}

/// Guards against DRAIN: a target that left while earlier rows were still arriving was known to have left only by the poll
/// after their answer, and so it got requests later than `drainS` after the acknowledgement.
#[rstest]
fn target_that_leaves_beside_a_transfer_gets_nothing_late(
    #[values(Place::Reads, Place::IsTurnedAway)] place: Place,
    #[values(Read::Changes, Read::Whole)] read: Read,
    #[values(News::Few, News::Many)] news: News,
) {
    let runs = SEEDS.flat_map(|seed| DRAINS_MS.map(|drain_ms| (seed, drain_ms)));
    let late = runs.filter_map(|(seed, drain_ms)| {
        let scenario = Scenario::draw(seed, drain_ms, read, news);
        let sent = run_paused(play(scenario, place));
        let to_left = sent.iter().filter(|(_, to)| *to == Ok(TARGET.into()));
        let last = to_left.map(|(at, _)| at.saturating_sub(scenario.left_at()));
        let last = last.max().filter(|last| *last > scenario.drain)?;
        Some((seed, last, scenario))
    });
    let late: Vec<_> = late.collect();
    let worst = late
        .iter()
        .max_by_key(|(_, last, scenario)| *last - scenario.drain);
    assert!(late.is_empty(), "{} runs, worst {worst:?}", late.len());
}

/// Guards against refusals for nothing: that a target has left keeps no request from another one, nor does what arrives
/// keep any from that target before.
#[rstest]
fn departure_beside_a_transfer_refuses_nothing(
    #[values(Place::Reads, Place::IsTurnedAway)] place: Place,
    #[values(Read::Changes, Read::Whole)] read: Read,
    #[values(News::Few, News::Many)] news: News,
) {
    for seed in SEEDS {
        let scenario = Scenario::draw(seed, DRAINS_MS[0], read, news);
        let sent = run_paused(play(scenario, place));
        let refused: Vec<_> = sent.iter().filter(|(_, to)| to.is_err()).collect();
        assert!(refused.is_empty(), "{seed}: {refused:?}");
        let early = sent.iter().filter(|(at, _)| *at < scenario.left_at());
        let early: Vec<_> = early.map(|(_, to)| *to == Ok(TARGET.into())).collect();
        let to_left = early.iter().filter(|is_to_left| **is_to_left).count();
        assert!(to_left * 3 > early.len(), "{seed}: {to_left} early");
    }
}

/// A target whose first entry is arriving, and that has left since, never comes into service.
#[rstest]
fn target_that_comes_and_leaves_beside_a_transfer_gets_nothing(
    #[values(Read::Changes, Read::Whole)] read: Read,
) {
    let scenarios = SEEDS.map(|seed| Scenario {
        comes_with_rows: true,
        ..Scenario::draw(seed, DRAINS_MS[0], read, News::Few)
    });
    let known_in = Duration::from_millis(250);
    let in_time: Vec<_> = scenarios
        .filter(|scenario| scenario.gap + known_in < scenario.transfer)
        .collect();
    assert!(in_time.len() > 20, "{} runs", in_time.len());
    for scenario in in_time {
        let sent = run_paused(play(scenario, Place::Reads));
        let to_left = sent.iter().filter(|(_, to)| *to == Ok(TARGET.into()));
        assert_eq!(to_left.count(), 0, "{scenario:?}");
    }
}

/// Guards against capacity that is lost: a target that is back during the same transfer gets requests after it. An instance
/// that the store turns away fetches the rows for that, as after any departure.
#[rstest]
fn target_that_is_back_beside_a_transfer_gets_requests(
    #[values(Read::Changes, Read::Whole)] read: Read,
    #[values(100, 400)] back_after_ms: u64,
) {
    for seed in SEEDS.step_by(4) {
        let scenario = Scenario {
            back_after: Some(Duration::from_millis(back_after_ms)),
            ..Scenario::draw(seed, DRAINS_MS[0], read, News::Few)
        };
        let sent = run_paused(play(scenario, Place::Reads));
        let last = sent.iter().rev().take(20);
        let to_target = last.filter(|(_, to)| *to == Ok(TARGET.into())).count();
        assert!(to_target > 5, "{seed}: {to_target}, {scenario:?}");
    }
}

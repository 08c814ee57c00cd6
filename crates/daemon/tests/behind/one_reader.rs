//! Instances that the store turns away, next to the one that still reads it.

use std::{ops::Range, sync::Arc, time::Duration};

use base::{InstanceId, Position, Time};
use daemon::message::{FollowerMessage, PeerCommand, TableChange};
use entry::view::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    model::{Decided, HEARTBEAT_INTERVAL, Node, RUN_TIME, Scenario, reporter_id, store},
    paused::run_paused,
    transfer::Transfer,
    unread::silent_store,
};

const SEEDS: Range<u64> = 0..60;
/// Time that a heartbeat is on its way.
const WAY: Duration = Duration::from_millis(25);
/// Number of the instance that reads.
const READER: usize = 0;

/// A fleet of which one instance reads the store.
#[derive(Debug, Clone)]
struct Fleet {
    scenario: Arc<Scenario>,
    /// Number of instances, the one that reads included.
    count: usize,
    /// Share of the heartbeats that are lost.
    loss: f64,
}

impl Fleet {
    /// Draws versions that come to the reader in a part of `configApplyS`.
    fn draw(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let apply = ms(2_000..3_001);
        let mut at = ms(4_000..5_000);
        let mut changes = Vec::new();
        for _ in 0..ms(1..5).as_millis() {
            changes.push(at);
            at += ms(500..5_000);
        }
        let contact = apply + ms(500..1_500);
        let transfers = (0..40).map(|_| Transfer::Takes(ms(20..500)));
        let scenario = Scenario {
            seed,
            contact,
            apply,
            changes,
            transfers: transfers.collect(),
            ..Scenario::calm()
        };
        Self {
            scenario: Arc::new(scenario),
            count: ms(2..6).as_millis() as usize,
            loss: 0.1,
        }
    }
}

/// What an instance last said of itself in its heartbeats.
#[derive(Debug, Clone)]
struct Said {
    positions: Vec<Position>,
    confirmed_at: Option<Time>,
    change: Option<TableChange>,
}

/// Sends the heartbeats of an instance to those that receive them.
async fn send_heartbeats(
    (fleet, number): (Fleet, usize),
    started: Instant,
    mut told: mpsc::Receiver<PeerCommand>,
    followers: Vec<mpsc::Sender<FollowerMessage>>,
) {
    let mut rng = Pcg32::seed_from_u64(fleet.scenario.seed * 100 + number as u64);
    let mut next = started + Duration::from_millis(rng.random_range(0..500));
    let mut last: Option<Said> = None;
    loop {
        let is_due = tokio::select! {
            command = told.recv() => match command {
                Some(PeerCommand::SetTablePositions { positions, confirmed_at, change, .. }) => {
                    let is_news = last.as_ref().is_none_or(|said| said.positions != positions);
                    last = Some(Said { positions, confirmed_at, change });
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
        let Some(said) = last.clone().filter(|_| is_due) else {
            continue;
        };
        for (to, follower) in followers.iter().enumerate() {
            let is_lost = rng.random::<f64>() < fleet.loss;
            if to == number || is_lost {
                continue;
            }
            let message = FollowerMessage::PeerPositions {
                from: reporter_id(number),
                positions: said.positions.clone(),
                confirmed_at: said.confirmed_at,
                change: said.change,
                reads: None,
            };
            let follower = follower.clone();
            tokio::spawn(async move {
                sleep(WAY).await;
                let _ = follower.send(message).await;
            });
        }
    }
}

/// Returns what became of requests at each instance that the store turns away.
async fn play(fleet: Fleet) -> Vec<Vec<Decided>> {
    let (started, clock) = (Instant::now(), Clock::start());
    let scenario = fleet.scenario.clone();
    let mut nodes: Vec<Node> = Vec::new();
    let mut told = Vec::new();
    for number in 0..fleet.count {
        let platform = if number == READER {
            store(started, &scenario, scenario.transfers.clone())
        } else {
            silent_store(started, &scenario)
        };
        let others = (0..fleet.count).filter(|other| *other != number);
        let others: Vec<InstanceId> = others.map(reporter_id).collect();
        let mut node = Node::start(&scenario, clock, platform, others, RUN_TIME);
        let (_, none) = mpsc::channel(1);
        told.push(std::mem::replace(&mut node.told, none));
        nodes.push(node);
    }
    let followers: Vec<_> = nodes.iter().map(|node| node.follower.clone()).collect();
    for (number, told) in told.into_iter().enumerate() {
        let sender = (fleet.clone(), number);
        tokio::spawn(send_heartbeats(sender, started, told, followers.clone()));
    }
    let mut deciding = JoinSet::new();
    for node in nodes.into_iter().skip(READER + 1) {
        deciding.spawn(async move { node.decide(started).await });
    }
    deciding.join_all().await
}

/// Returns how many requests ran by a version that had been superseded for longer than `configApplyS`, and how many ran.
fn late(fleet: &Fleet) -> (usize, usize) {
    let decided = run_paused(play(fleet.clone())).into_iter().flatten();
    let ran = decided.filter_map(|one| Some((one.at, one.outcome.ok()?)));
    let ran: Vec<(Duration, usize)> = ran.collect();
    let late = ran
        .iter()
        .filter(|(at, used)| *used < fleet.scenario.required_version(*at));
    (late.count(), ran.len())
}

/// Guards against CONFIG: the store turns most instances away, which is no outage for all, and one that receives the
/// reader's heartbeats serves by an old version.
#[test]
fn instances_beside_one_reader_serve_by_no_old_version() {
    let counts = SEEDS.map(|seed| (seed, late(&Fleet::draw(seed))));
    let counts: Vec<(u64, (usize, usize))> = counts.collect();
    let late: Vec<_> = counts.iter().filter(|(_, (late, _))| *late > 0).collect();
    assert!(late.is_empty(), "{} seeds: {late:?}", late.len());
    // Before the first version comes, all serve.
    assert!(counts.iter().all(|(_, (_, ran))| *ran > 150), "{counts:?}");
}

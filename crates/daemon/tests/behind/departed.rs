//! An instance that stood still while a target left, where the time within which a target that leaves is done with is not
//! that within which a change is in force.

use std::{ops::Range, sync::Arc, time::Duration};

use base::{Config, Key, KeyDigest, Position, Registration, Service, TargetId, Time, Workspace};
use coord::{Replica, SlotHistory};
use daemon::{
    fleet::Fleet,
    follower::{FollowerOptions, tables::ComposedConfig},
    message::{FollowerMessage, PeerCommand},
    table_reads::ReadTiming,
};
use dispatch::{RequestId, RequestKind};
use entry::{
    message::{Arrival, Decision, Event},
    view::Clock,
};
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use standin::config::{config, registration, service, target};
use tokio::{
    sync::{mpsc, watch},
    task::yield_now,
    time::{Instant, advance, sleep, sleep_until, timeout},
};

use crate::{
    call::read_of,
    engine::start_engine,
    follower::start_follower,
    model::{HEARTBEAT_INTERVAL, member, reporter_id},
    options::options,
    paused::run_paused,
};

const SEEDS: Range<u64> = 0..300;
pub(crate) const TARGETS_TABLE: &str = "servers";
const KEY: &str = "key";
/// Slots of a target: the attempts of a run, which aren't ended, leave some free.
const SLOTS: u32 = 10_000;
pub(crate) const TARGET: &str = "leaves";
/// Content of the entry of a target that is leaving, and of one that belongs to another service.
pub(crate) const DRAINING: &str = "draining";
pub(crate) const OF_OTHERS: &str = "of others";
/// Position of the tables at the start.
pub(crate) const FIRST_POSITION: u64 = 10;
/// Time from the start to the earliest begin of the standstill.
const STANDS_FROM: Duration = Duration::from_secs(6);
/// Time from the start to an outage of the store in which the instance runs.
const OUTAGE_FROM: Duration = Duration::from_secs(2);
/// Time for which requests are sent after the standstill.
const WATCHED_TIME: Duration = Duration::from_millis(1_500);
pub(crate) const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
/// Age of what confirms the rows in a heartbeat.
const CONFIRMATION_AGE: Duration = Duration::from_millis(200);
/// Time after the departure at which another instance has read of it.
const READ_TIME: Duration = Duration::from_millis(60);
/// Turns of other tasks from when an answer is in the socket until its first byte is read.
const SOCKET_TURNS: usize = 8;

/// What an instance that stands still misses.
#[derive(Debug, Clone)]
struct Standstill {
    from: Duration,
    time: Duration,
    /// Whether another instance's heartbeats come, or wait for this one.
    hears: bool,
    contact: Duration,
    apply: Duration,
    drain: Duration,
    /// When the one target's row is removed.
    left_at: Option<Duration>,
    /// Time after the standstill at which what came meanwhile is there.
    news_after: Duration,
    /// Time from which on the store gives no answer, and another instance's reads confirm nothing.
    outage: Duration,
}

impl Standstill {
    /// Draws a standstill where `apply` is longer than `drain`.
    fn draw(seed: u64, hears: bool) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let drain = ms(2_000..3_001);
        let apply = drain + ms(200..3_000);
        let from = STANDS_FROM + ms(0..2_000);
        let time = ms(300..8_000);
        let left_at = from + ms(0..500).min(time);
        Self {
            from,
            time,
            hears,
            contact: ms(1_500..5_000),
            apply,
            drain,
            left_at: Some(left_at),
            news_after: Duration::ZERO,
            outage: Duration::MAX,
        }
    }

    /// Returns when that is there which comes at `at`.
    fn arrival_of(&self, at: Duration) -> Duration {
        let is_on_the_way = at >= self.from && !self.news_after.is_zero();
        let earliest = self.woken_at() + self.news_after;
        at.max(if is_on_the_way { earliest } else { at })
    }

    fn position_at(&self, at: Duration) -> u64 {
        FIRST_POSITION + u64::from(self.left_at.is_some_and(|left_at| left_at <= at))
    }

    fn heartbeat(&self, at: Duration) -> FollowerMessage {
        let read_at = at.saturating_sub(READ_TIME);
        let confirmed_at = at.min(self.outage).saturating_sub(CONFIRMATION_AGE);
        FollowerMessage::PeerPositions {
            from: reporter_id(0),
            positions: vec![
                Position::from(FIRST_POSITION),
                Position::from(self.position_at(read_at)),
            ],
            confirmed_at: Some(Time::ZERO + confirmed_at),
            change: None,
            reads: None,
        }
    }

    fn woken_at(&self) -> Duration {
        self.from + self.time
    }
}

/// Whether a request was sent to the target, or why it wasn't.
type Outcome = Result<(), String>;

/// Answers a poll when there is an update, or at the end of its wait.
async fn answer(
    started: Instant,
    standstill: Standstill,
    (call, progress): (Call, Progress),
) -> Result<Reply, PlatformError> {
    let (table, after, wait) = read_of(call)?;
    let is_targets = table == TARGETS_TABLE;
    let deadline = started.elapsed() + wait;
    let left_at = standstill.left_at.filter(|_| is_targets);
    let news_at = left_at.filter(|_| after == FIRST_POSITION);
    if after > 0 {
        let until = news_at.unwrap_or(deadline).min(deadline);
        sleep_until(started + until).await;
    }
    let arrival = standstill.arrival_of(started.elapsed());
    if arrival > started.elapsed() {
        sleep_until(started + arrival).await;
    }
    if started.elapsed() >= standstill.outage {
        return Err(PlatformError::Unavailable);
    }
    for _ in 0..SOCKET_TURNS {
        yield_now().await;
    }
    progress.add(1);
    let has_left = left_at.is_some_and(|at| at <= started.elapsed());
    let position = FIRST_POSITION + u64::from(has_left);
    let row = |value: Option<&str>, at| Change {
        row: TARGET.to_owned(),
        value: value.map(str::to_owned),
        at: Position::from(at),
    };
    let first = row(Some(""), FIRST_POSITION);
    let removed = row(None, FIRST_POSITION + 1);
    let rows = [first].into_iter().chain(has_left.then_some(removed));
    let rows = rows.filter(|row| row.at > Position::from(after)).collect();
    Ok(Reply::Changes(rows, Position::from(position)))
}

/// Returns a configuration with the targets whose rows `replicas` have.
fn composed(replicas: &[&Replica]) -> Config {
    let mut config = config([("north", "north")]);
    let mut board = Service {
        connections: SLOTS,
        ..service(SLOTS, 10_000)
    };
    let rows = replicas[1].rows();
    for (name, row) in rows.filter(|(_, row)| &*row.value != OF_OTHERS) {
        let registered = Registration {
            is_leaving: &*row.value == DRAINING,
            ..registration(SLOTS, 1)
        };
        board
            .targets
            .insert(name.into(), target("north", Some(registered)));
    }
    config.services.insert("board".into(), board);
    let workspace = Workspace {
        rate: 10_000.0,
        burst: 10_000.0,
        ..Workspace::default()
    };
    config.workspaces.insert("gym".into(), workspace);
    let key = Key {
        workspace: "gym".into(),
        digest: KeyDigest::of(KEY),
    };
    config.keys.insert("k".into(), key);
    config
}

/// A follower, and the engine that decides by what it reads.
pub(crate) struct Instance {
    pub(crate) follower: mpsc::Sender<FollowerMessage>,
    engine: mpsc::UnboundedSender<Event>,
    /// What it reports to the task that sends heartbeats.
    pub(crate) told: mpsc::Receiver<PeerCommand>,
    _fleet: watch::Sender<Arc<Fleet>>,
}

/// Time limits of an instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) contact: Duration,
    pub(crate) apply: Duration,
    pub(crate) drain: Duration,
}

fn start(started: Instant, standstill: &Standstill) -> Instance {
    let scenario = standstill.clone();
    let platform = Platform::spawn(move || {
        let scenario = scenario.clone();
        move |call, progress| answer(started, scenario.clone(), (call, progress))
    });
    let limits = Limits {
        contact: standstill.contact,
        apply: standstill.apply,
        drain: standstill.drain,
    };
    Instance::start(platform, limits)
}

impl Instance {
    /// Starts an instance that follows a store next to another one.
    pub(crate) fn start(platform: Platform, limits: Limits) -> Self {
        let clock = Clock::start();
        let other = reporter_id(0);
        let fleet = Fleet {
            members: [(other.clone(), member(Duration::from_secs(60)))].into(),
            ..Fleet::default()
        };
        let (fleet_tx, fleet) = watch::channel(Arc::new(fleet));
        let (engine, engine_rx) = mpsc::unbounded_channel();
        let compose = |replicas: &[&Replica]| {
            Some(ComposedConfig {
                version: 1,
                is_latest: true,
                config: composed(replicas),
            })
        };
        let options = FollowerOptions {
            apply: limits.apply,
            drain: limits.drain,
            confirm_limit: Duration::from_secs(60),
            read_timing: ReadTiming::within(limits.contact),
            ..options(clock, platform, fleet)
        };
        let (follower, told, _) = start_follower(options, engine.clone(), compose);
        let mut deciding = start_engine(clock, &engine);
        deciding.handle(Event::HoldQuotaSlot {
            slot: 0,
            until: Time::NEVER,
            previous_holder: SlotHistory::NeverHeld,
        });
        tokio::spawn(deciding.run(engine_rx));
        Self {
            follower,
            engine,
            told,
            _fleet: fleet_tx,
        }
    }

    /// Sends a request, and returns where its decisions come.
    pub(crate) fn send(&self, id: u64) -> mpsc::UnboundedReceiver<Decision> {
        let (tx, rx) = mpsc::unbounded_channel();
        let arrival = Arrival {
            id: RequestId(id),
            api_key: Some(KEY.to_owned()),
            service: "board".into(),
            path: "/x".to_owned(),
            host: "h".to_owned(),
            full_path: "/board/x".to_owned(),
            affinity: None,
            kind: RequestKind::Idempotent,
            fingerprint: id,
            timeout: None,
            awaits_dispatch: false,
            tx,
        };
        self.engine.send(Event::RequestArrived(arrival)).unwrap();
        rx
    }

    /// Returns what becomes of the request, and when.
    async fn outcome(
        &self,
        started: Instant,
        id: u64,
        rx: mpsc::UnboundedReceiver<Decision>,
    ) -> (Duration, Outcome) {
        let (at, outcome) = self.sent_to(started, id, rx).await;
        (at, outcome.map(|_| ()))
    }

    /// Returns to which target the request is sent first, and when.
    pub(crate) async fn sent_to(
        &self,
        started: Instant,
        id: u64,
        mut rx: mpsc::UnboundedReceiver<Decision>,
    ) -> (Duration, Result<TargetId, String>) {
        let outcome = loop {
            match timeout(ARRIVAL_INTERVAL, rx.recv()).await {
                Ok(Some(Decision::SendAttempt(plan))) => break Ok(plan.assignment.target),
                Ok(Some(Decision::Refuse(refusal))) => break Err(refusal.kind.to_string()),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break Err("no decision".to_owned()),
            }
        };
        let at = started.elapsed();
        let _ = self.engine.send(Event::Cancel(RequestId(id)));
        (at, outcome)
    }
}

/// Brings another instance's heartbeats in time, and those that come during the standstill at once before it.
async fn hear(started: Instant, standstill: Standstill, follower: mpsc::Sender<FollowerMessage>) {
    let mut at = Duration::from_millis(200);
    loop {
        let is_waiting = (standstill.from..standstill.woken_at()).contains(&at);
        let is_there = is_waiting && standstill.news_after.is_zero();
        let due = if is_there {
            standstill.from
        } else {
            standstill.arrival_of(at)
        };
        sleep_until(started + due).await;
        if follower.send(standstill.heartbeat(at)).await.is_err() {
            return;
        }
        at += HEARTBEAT_INTERVAL;
    }
}

/// Returns what becomes of the request that waits during the standstill, and of later ones.
async fn play(standstill: Standstill) -> Vec<(Duration, Outcome)> {
    let started = Instant::now();
    let instance = start(started, &standstill);
    if standstill.hears {
        let follower = instance.follower.clone();
        tokio::spawn(hear(started, standstill.clone(), follower));
    }
    sleep_until(started + standstill.from).await;
    // The heartbeats that wait meanwhile are there.
    yield_now().await;
    let waiting = instance.send(0);
    if !standstill.time.is_zero() {
        advance(standstill.time).await;
    }
    let mut outcomes = vec![instance.outcome(started, 0, waiting).await];
    for id in 1.. {
        if started.elapsed() > standstill.woken_at() + WATCHED_TIME {
            break;
        }
        sleep(ARRIVAL_INTERVAL).await;
        let rx = instance.send(id);
        outcomes.push(instance.outcome(started, id, rx).await);
    }
    outcomes
}

/// Returns how long after its departure the target got a request last, if that was later than allowed.
fn worst_in(standstill: &Standstill, outcomes: &[(Duration, Outcome)]) -> Option<Duration> {
    let left_at = standstill.left_at?;
    let to_left = outcomes.iter().filter(|(_, outcome)| outcome.is_ok());
    let late = to_left.map(|(at, _)| at.saturating_sub(left_at));
    late.filter(|late| *late > standstill.drain).max()
}

/// Guards against DRAIN: an instance that woke sent requests by rows of targets that were older than a target which
/// leaves allows, since the operators' rows were still to be gone by.
#[rstest]
#[case::news_waits(true, false)]
#[case::store_alone(false, false)]
#[case::news_is_on_its_way(true, true)]
#[case::store_alone_is_slow(false, true)]
fn no_request_goes_by_old_rows_of_targets_after_a_standstill(
    #[case] hears: bool,
    #[case] is_late: bool,
) {
    let late = SEEDS.filter_map(|seed| {
        let news_after = Duration::from_millis(100 + seed);
        let standstill = Standstill {
            news_after: news_after * u32::from(is_late),
            ..Standstill::draw(seed, hears)
        };
        let outcomes = run_paused(play(standstill.clone()));
        worst_in(&standstill, &outcomes).map(|worst| (seed, worst))
    });
    let late: Vec<(u64, Duration)> = late.collect();
    let worst = late.iter().map(|(_, worst)| *worst).max();
    assert!(
        late.is_empty(),
        "{} seeds, {worst:?} after the departure: {late:?}",
        late.len()
    );
}

/// Guards against refusals without need: where departures have more time than a change, their time refuses nothing that
/// isn't refused without it.
#[rstest]
#[case::heartbeats(true, 1.1)]
#[case::store_alone(false, 2.0)]
fn longer_time_of_departures_refuses_no_more(#[case] hears: bool, #[case] factor: f64) {
    for seed in SEEDS {
        let mut standstill = Standstill {
            left_at: None,
            ..Standstill::draw(seed, hears)
        };
        if seed % 3 == 0 {
            standstill.outage = standstill.from;
        }
        standstill.drain = standstill.apply.mul_f64(factor);
        let bound = run_paused(play(standstill.clone()));
        standstill.drain = Duration::from_secs(60);
        let unbound = run_paused(play(standstill));
        assert_eq!(bound, unbound, "{seed}");
    }
}

/// Guards against outages of the store that become outages of instances: one that ran all the time sends by what it has.
#[rstest]
#[case::heartbeats(true)]
#[case::store_alone(false)]
fn instance_that_ran_serves_on_in_an_outage(#[case] hears: bool) {
    for seed in SEEDS.step_by(10) {
        let drawn = Standstill::draw(seed, hears);
        let standstill = Standstill {
            left_at: None,
            from: OUTAGE_FROM + drawn.apply * 2,
            outage: OUTAGE_FROM,
            time: Duration::ZERO,
            ..drawn
        };
        let outcomes = run_paused(play(standstill));
        let refused: Vec<_> = outcomes.iter().filter(|(_, one)| one.is_err()).collect();
        assert!(refused.is_empty(), "{seed}: {refused:?}");
    }
}

/// Guards against callers that are refused for longer than the first update takes, or than nothing is received.
#[rstest]
#[case::heartbeats(true, 100)]
#[case::store_alone(false, 600)]
fn callers_are_refused_for_a_moment_after_a_standstill(#[case] hears: bool, #[case] max_ms: u64) {
    for seed in SEEDS {
        let drawn = Standstill::draw(seed, hears);
        let outage = if hears { Duration::MAX } else { drawn.from };
        let standstill = Standstill {
            left_at: None,
            outage,
            ..drawn
        };
        let outcomes = run_paused(play(standstill.clone()));
        let refused = outcomes.iter().filter(|(_, one)| one.is_err());
        let last = refused.map(|(at, _)| *at - standstill.woken_at()).max();
        let last = last.unwrap_or_default();
        assert!(last <= Duration::from_millis(max_ms), "{seed}: {last:?}");
    }
}

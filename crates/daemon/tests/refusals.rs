//! Requests that are refused permanently by a configuration that may no longer decide, over drawn versions,
//! answers of the store and reports of another instance.

#[path = "support/call.rs"]
mod call;
#[path = "support/engine.rs"]
mod engine;
#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;

use std::{
    collections::{BTreeMap, BTreeSet},
    future::pending,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{
    Config, Incarnation, InstanceId, Key, KeyDigest, Position, Route, RouteKind, Service, Time,
    WeightedService, Workspace,
};
use call::read_of;
use coord::{Heartbeat, ListEntry, Membership, Replica};
use daemon::{
    fleet::Fleet,
    follower::{
        FollowerOptions, Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::{FollowerMessage, ListedPeer, PeerCommand, TableChange},
    peers::{Outputs as PeerOutputs, Peers, initial_heartbeat},
    table_reads::ReadTiming,
};
use dispatch::{RequestId, RequestKind};
use engine::start_engine;
use entry::{
    message::{Arrival, Decision, Event, UsedConfig},
    view::{Clock, View},
};
use options::options;
use paused::run_paused;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until, timeout},
};
use wire::{Secret, Sessions};

const SEEDS: Range<u64> = 0..300;
const RUN_TIME: Duration = Duration::from_secs(25);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time from which on answers are disturbed.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time after a restart of the store in which its answers are held up.
const LATE_TIME: Duration = Duration::from_secs(5);
/// Reading of the store's clock at the start.
const STORE_CLOCK: Duration = Duration::from_secs(86_400);
const OPERATOR_TABLE: &str = "op";
/// Routes and keys, of which the first ones are there all the time and the last ones never.
const NAMES: usize = 5;

/// How often each kind of disturbance hits an answer of the store.
#[derive(Debug, Clone, Copy, Default)]
struct Disturbances {
    lost: f64,
    held_up: f64,
    /// Whether the store answers from before the reader's position now and then.
    is_stale: bool,
    /// Whether the answers to the first reads are held up.
    at_start: bool,
    /// Time from the start in which all answers are held up.
    late_time: Duration,
    /// Whether the store starts again now and then, with another clock, and holds up its answers after that.
    restarts: bool,
}

/// What operators have put in force.
#[derive(Debug, Clone)]
struct Version {
    /// Time of its acknowledgement.
    at: Duration,
    routes: BTreeSet<usize>,
    keys: BTreeSet<usize>,
}

impl Version {
    fn allows(&self, asked: Asked) -> bool {
        self.routes.contains(&asked.route) && self.keys.contains(&asked.key)
    }
}

/// Another instance, which reports.
#[derive(Debug, Clone, Copy)]
struct Reporter {
    /// Share of its heartbeats that are lost.
    loss: f64,
    /// Maximum time for which one is held up.
    delay: Duration,
}

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    contact: Duration,
    apply: Duration,
    /// One-way time to the store.
    way: Duration,
    versions: Vec<Version>,
    reporter: Option<Reporter>,
    /// Versions that can't be used.
    unusable: BTreeSet<usize>,
    /// Whether the last version that can be used is composed with them, or nothing.
    keeps_last: bool,
    /// Times in which the store answers from before the reader's position.
    stale: Vec<Range<Duration>>,
    /// Times from which on the store's clock is ahead of the start's by so much, or behind.
    clocks: Vec<(Duration, i64)>,
    disturbances: Disturbances,
}

impl Scenario {
    fn draw(seed: u64, disturbances: Disturbances) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let apply = ms(2_000..3_000);
        let mut version = Version {
            at: Duration::ZERO,
            routes: [0, 1].into(),
            keys: [0, 1].into(),
        };
        let mut versions = vec![version.clone()];
        while version.at < RUN_TIME {
            version.at += ms(300..4_000);
            let name = ms(1..NAMES as u64 - 1).as_millis() as usize;
            let names = match ms(0..2).is_zero() {
                true => &mut version.routes,
                false => &mut version.keys,
            };
            if !names.remove(&name) {
                names.insert(name);
            }
            versions.push(version.clone());
        }
        let reporter = Reporter {
            loss: ms(0..700).as_secs_f64(),
            delay: ms(1..2_000),
        };
        // By then the reader has had a version after the first one.
        let stale = [5_000, 15_000].map(|from| {
            let start = ms(from..from + 5_000);
            start..start + ms(500..6_000)
        });
        let mut clock_rng = Pcg32::seed_from_u64(seed ^ 0xc10c);
        let clocks = [4_000, 11_000, 18_000].map(|from| {
            let at_ms = clock_rng.random_range(from..from + 5_000);
            let by_ms = clock_rng.random_range(-3_600_000..3_600_000);
            (Duration::from_millis(at_ms), by_ms)
        });
        Self {
            unusable: BTreeSet::new(),
            keeps_last: false,
            clocks: if disturbances.restarts {
                clocks.into()
            } else {
                Vec::new()
            },
            stale: if disturbances.is_stale {
                stale.into()
            } else {
                Vec::new()
            },
            seed,
            contact: apply + ms(500..1_600),
            apply,
            way: ms(1..56),
            versions,
            reporter: ms(0..2).is_zero().then_some(reporter),
            disturbances,
        }
    }

    fn version_at(&self, at: Duration) -> usize {
        let is_later = |version: &&Version| version.at <= at;
        self.versions.iter().filter(is_later).count() - 1
    }

    /// Returns the versions by which a request sent at `at` may be handled.
    fn in_force(&self, at: Duration) -> &[Version] {
        let oldest = self.version_at(at.saturating_sub(self.apply));
        &self.versions[oldest..=self.version_at(at)]
    }
}

/// Returns the store's position of a version.
fn position_of(version: usize) -> u64 {
    10 + version as u64 * 10
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    route: usize,
    key: usize,
}

/// What became of a request.
#[derive(Debug, Clone)]
struct Decided {
    at: Duration,
    asked: Asked,
    /// Why it was refused, if it was.
    refusal: Option<String>,
    /// What it was decided by.
    used: UsedConfig,
}

impl Decided {
    /// Returns whether it was decided by a version that wasn't the latest when that is said to have been confirmed.
    fn is_misdated(&self, scenario: &Scenario) -> bool {
        self.used.confirmation.as_ref().is_some_and(|confirmation| {
            let latest = scenario.version_at(confirmation.at - Time::ZERO);
            self.used.version < Some(latest as u64)
        })
    }

    /// Returns whether it was refused permanently although all versions that may be in force allow it, or was decided by what
    /// is said to have been the latest and wasn't.
    fn is_wrong(&self, scenario: &Scenario) -> bool {
        let mut in_force = scenario.in_force(self.at).iter();
        let is_allowed = in_force.all(|version| version.allows(self.asked));
        self.is_refused_for_good() && is_allowed || self.is_misdated(scenario)
    }

    /// Returns whether the caller was asked not to retry.
    fn is_refused_for_good(&self) -> bool {
        let kind = self.refusal.as_deref();
        kind.is_some_and(|kind| ["unknown_service", "missing_key", "unknown_key"].contains(&kind))
    }
}

/// What becomes of an answer once it is made.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Prompt,
    HeldUp(Duration),
    Lost,
}

/// A store whose answers are disturbed.
#[derive(Debug)]
struct Store {
    started: Instant,
    scenario: Scenario,
    rng: Mutex<Pcg32>,
}

impl Store {
    fn fate(&self) -> Fate {
        let mut rng = self.rng.lock().unwrap();
        let disturbances = self.scenario.disturbances;
        let now = self.started.elapsed();
        let mut clocks = self.scenario.clocks.iter();
        let has_restarted = clocks.any(|(at, _)| (*at..*at + LATE_TIME).contains(&now));
        if now < disturbances.late_time || has_restarted {
            return Fate::HeldUp(Duration::from_millis(rng.random_range(0..3_000)));
        }
        let drawn = rng.random_range(0.0..1.0);
        let held_up = Fate::HeldUp(Duration::from_millis(rng.random_range(300..3_500)));
        if now < CALM_TIME {
            return if disturbances.at_start {
                held_up
            } else {
                Fate::Prompt
            };
        }
        match drawn {
            _ if drawn < disturbances.lost => Fate::Lost,
            _ if drawn < disturbances.lost + disturbances.held_up => held_up,
            _ => Fate::Prompt,
        }
    }

    /// Returns the reading of the store's clock.
    fn reading(&self, at: Duration) -> Duration {
        let mut clocks = self.scenario.clocks.iter().rev();
        let ahead_ms = clocks
            .find(|(from, _)| *from <= at)
            .map_or(0, |(_, by)| *by);
        let reading_ms = (STORE_CLOCK + at).as_millis() as i64 + ahead_ms;
        Duration::from_millis(reading_ms as u64)
    }

    fn is_stale(&self, at: Duration) -> bool {
        self.scenario.stale.iter().any(|time| time.contains(&at))
    }

    async fn answer(
        self: Arc<Self>,
        call: Call,
        progress: Progress,
    ) -> Result<Reply, PlatformError> {
        let (table, after, wait) = read_of(call)?;
        let is_operators = table == OPERATOR_TABLE;
        let fate = if is_operators {
            self.fate()
        } else {
            Fate::Prompt
        };
        sleep(self.scenario.way).await;
        let deadline = Instant::now() + wait;
        let mut versions = self.scenario.versions.iter().enumerate();
        let next = versions.find(|(idx, _)| is_operators && position_of(*idx) > after);
        let next = next.map_or(deadline, |(_, version)| self.started + version.at);
        sleep_until(next.min(deadline)).await;
        let made_at = self.started.elapsed();
        let reading = self.reading(made_at);
        let version = match is_operators {
            true => self.scenario.version_at(made_at),
            false => 0,
        };
        let is_stale = is_operators && self.is_stale(made_at);
        let position = match is_stale {
            true => after.saturating_sub(1).max(1),
            false => position_of(version),
        };
        let row = Change {
            row: "config".to_owned(),
            value: Some(version.to_string()),
            at: Position::from(position),
        };
        let rows = (position > after).then_some(row).into_iter().collect();
        match fate {
            Fate::Lost => pending().await,
            Fate::HeldUp(time) => sleep(time).await,
            Fate::Prompt => {}
        }
        sleep(self.scenario.way).await;
        progress.on_clock(reading);
        progress.add(1);
        Ok(Reply::Changes(rows, Position::from(position)))
    }
}

fn route_prefix(name: usize) -> String {
    format!("/r{name}/")
}

fn key(name: usize) -> String {
    format!("key {name}")
}

fn config(version: &Version) -> Config {
    let service = Service {
        slots: 1,
        connections: 1,
        deadline_ms: 10_000,
        open_routes: Vec::new(),
        targets: BTreeMap::new(),
        cold: None,
    };
    let routes = version.routes.iter().map(|name| Route {
        name: name.to_string(),
        host: "h".to_owned(),
        prefix: route_prefix(*name),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService {
            service: "board".into(),
            weight: 1,
        }],
        timeout_ms: 10_000,
        objective_ms: 10_000,
        attempts: 1,
        priority: 0,
        is_open: false,
        is_sticky: false,
        homes: BTreeSet::new(),
    });
    let keys = version.keys.iter().map(|name| {
        let key = Key {
            workspace: "gym".into(),
            digest: KeyDigest::of(&key(*name)),
        };
        (name.to_string(), key)
    });
    Config {
        services: BTreeMap::from([("board".into(), service)]),
        workspaces: BTreeMap::from([("gym".into(), Workspace::default())]).into(),
        routes: routes.collect::<Vec<_>>().into(),
        keys: keys
            .map(|(name, key)| (name.as_str().into(), key))
            .collect(),
        ..Config::default()
    }
}

/// Sends heartbeats of an instance that polls the store undisturbed.
async fn report(
    started: Instant,
    scenario: Scenario,
    reporter: Reporter,
    follower: mpsc::Sender<FollowerMessage>,
) {
    let mut rng = Pcg32::seed_from_u64(scenario.seed ^ 0x4e97);
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        let age = Duration::from_millis(rng.random_range(20..1_400));
        let confirmed_at = started.elapsed().saturating_sub(age);
        let version = scenario.version_at(confirmed_at);
        let message = FollowerMessage::PeerPositions {
            from: "other".into(),
            positions: vec![
                Position::from(position_of(version)),
                Position::from(position_of(0)),
            ],
            confirmed_at: Some(Time::ZERO + confirmed_at),
            change: Some(TableChange::complete(
                Position::from(position_of(version)),
                Time::ZERO + confirmed_at,
            )),
            reads: None,
        };
        let delay = rng.random_range(0..reporter.delay.as_millis() as u64 + 1);
        if rng.random_range(0.0..1.0) < reporter.loss {
            continue;
        }
        let follower = follower.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(delay)).await;
            let _ = follower.send(message).await;
        });
    }
}

fn run(scenario: &Scenario) -> Vec<Decided> {
    run_paused(play(scenario.clone()))
}

async fn play(scenario: Scenario) -> Vec<Decided> {
    let started = Instant::now();
    let (_fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let (peers, _peers_rx) = mpsc::channel(64);
    let (tx, messages) = mpsc::channel(64);
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let instance = Instance {
        clock: Clock::start(),
        engine: engine.clone(),
        engine_rx,
        peers,
        messages,
        fleet,
    };
    instance.start(started, &scenario);
    if let Some(reporter) = scenario.reporter {
        tokio::spawn(report(started, scenario.clone(), reporter, tx.clone()));
    }
    ask(started, scenario.seed, &engine).await
}

/// An instance that is about to start.
struct Instance {
    clock: Clock,
    engine: mpsc::UnboundedSender<Event>,
    engine_rx: mpsc::UnboundedReceiver<Event>,
    peers: mpsc::Sender<PeerCommand>,
    /// What other instances report.
    messages: mpsc::Receiver<FollowerMessage>,
    fleet: watch::Receiver<Arc<Fleet>>,
}

impl Instance {
    /// Starts its engine, and its follower with a store of its own.
    fn start(self, started: Instant, scenario: &Scenario) {
        let store = Arc::new(Store {
            started,
            scenario: scenario.clone(),
            rng: Mutex::new(Pcg32::seed_from_u64(scenario.seed ^ 0x570e)),
        });
        let platform = Platform::spawn(move || {
            let store = store.clone();
            move |call, progress| store.clone().answer(call, progress)
        });
        let versions = scenario.versions.clone();
        let (unusable, keeps_last) = (scenario.unusable.clone(), scenario.keeps_last);
        let mut last = None;
        let compose = move |replicas: &[&Replica]| {
            let mut rows = replicas[0].rows();
            let version: usize = rows.find_map(|(_, row)| row.value.parse().ok())?;
            let is_latest = !unusable.contains(&version);
            if is_latest {
                last = Some(version);
            }
            let used = last.filter(|_| is_latest || keeps_last)?;
            Some(ComposedConfig {
                version: used as u64,
                is_latest,
                config: config(&versions[used]),
            })
        };
        let (view, _view_rx) = watch::channel(Arc::new(View::default()));
        let (snapshots, _snapshots_rx) = watch::channel(Arc::default());
        let follower = TableFollower::new(
            FollowerOptions {
                confirm_limit: scenario.contact,
                apply: scenario.apply,
                read_timing: ReadTiming::within(scenario.contact),
                ..options(self.clock, platform, self.fleet)
            },
            Outputs {
                engine: self.engine.clone(),
                peers: self.peers,
                view,
            },
            FollowedTables {
                orders: Vec::new(),
                tables: vec![OPERATOR_TABLE.to_owned(), "servers".to_owned()],
                compose,
            },
            snapshots,
        );
        tokio::spawn(start_engine(self.clock, &self.engine).run(self.engine_rx));
        tokio::spawn(follower.run(self.messages));
    }
}

/// Sends drawn requests to an instance until the run ends.
async fn ask(started: Instant, seed: u64, engine: &mpsc::UnboundedSender<Event>) -> Vec<Decided> {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0xa5c);
    let mut decided = Vec::new();
    while started.elapsed() < RUN_TIME {
        sleep(ARRIVAL_INTERVAL).await;
        let at = started.elapsed();
        let asked = Asked {
            route: rng.random_range(0..NAMES),
            key: rng.random_range(0..NAMES),
        };
        let (refusal, used) = arrive(engine, decided.len() as u64, asked).await;
        decided.push(Decided {
            at,
            asked,
            refusal,
            used,
        });
    }
    decided
}

/// Plays three instances that exchange heartbeats: the store's answers to the first one are late, those to the others are mostly
/// lost, and in half of the runs the first and the third don't receive from each other.
async fn play_chain(scenario: Scenario) -> Vec<Decided> {
    const COUNT: usize = 3;
    let started = Instant::now();
    let mut rng = Pcg32::seed_from_u64(scenario.seed ^ 0xc4a1);
    let mut sockets = Vec::new();
    for _ in 0..COUNT {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    let addrs: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().unwrap())
        .collect();
    let is_chain = rng.random_range(0..2) == 0;
    let (found, mut all) = mpsc::unbounded_channel();
    for (idx, socket) in sockets.into_iter().enumerate() {
        let mut list = Vec::new();
        for (to, addr) in addrs.iter().enumerate().filter(|(to, _)| *to != idx) {
            let way = Way {
                loss: match is_chain && idx.abs_diff(to) == 2 {
                    true => 1.0,
                    false => rng.random_range(0.0..0.4),
                },
                min_ms: rng.random_range(0..700),
                jitter_ms: rng.random_range(1..300),
                seed: rng.random(),
            };
            list.push(ListedPeer {
                entry: ListEntry {
                    id: instance_id(to),
                    domain: "d".into(),
                    is_leaving: false,
                },
                addr: way.open(*addr).await,
            });
        }
        let disturbances = match idx {
            0 => Disturbances {
                held_up: 0.3,
                late_time: Duration::from_secs(6),
                ..Disturbances::default()
            },
            _ => Disturbances {
                lost: 0.8,
                ..Disturbances::default()
            },
        };
        let scenario = Scenario {
            seed: scenario.seed ^ (idx as u64) << 32,
            disturbances,
            ..scenario.clone()
        };
        let start_after = Duration::from_millis(rng.random_range(0..1_500));
        let found = found.clone();
        tokio::spawn(async move {
            sleep(start_after).await;
            let clock_from = started.elapsed();
            let engine = start_among(started, &scenario, idx, socket, list).await;
            for mut decided in ask(started, scenario.seed, &engine).await {
                if let Some(confirmation) = &mut decided.used.confirmation {
                    confirmation.at = confirmation.at + clock_from;
                }
                let _ = found.send(decided);
            }
        });
    }
    drop(found);
    // Datagrams are handled soon after they have arrived.
    tokio::spawn(async move {
        while started.elapsed() < RUN_TIME {
            sleep(Duration::from_millis(2)).await;
        }
    });
    let mut decided = Vec::new();
    while let Some(one) = all.recv().await {
        decided.push(one);
    }
    decided
}

fn instance_id(idx: usize) -> InstanceId {
    format!("i{idx}").into()
}

/// Starts an instance that exchanges heartbeats with those of a list, and returns its engine's channel.
async fn start_among(
    started: Instant,
    scenario: &Scenario,
    idx: usize,
    socket: UdpSocket,
    list: Vec<ListedPeer>,
) -> mpsc::UnboundedSender<Event> {
    let clock = Clock::start();
    let (id, incarnation) = (instance_id(idx), Incarnation(idx as u64 + 1));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let (owners, _owners_rx) = mpsc::channel(64);
    let (follower, messages) = mpsc::channel(64);
    let (fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let status = Heartbeat {
        id: id.clone(),
        incarnation,
        domain: "d".into(),
        is_leaving: false,
        version: 0,
        confirmation_age: None,
    };
    let addr = socket.local_addr().unwrap();
    let secret = Secret::derive("a secret for tests only");
    let task = Peers::new(
        clock,
        socket,
        Sessions::new(secret, id, incarnation),
        Membership::new(Duration::from_secs(40), Duration::from_secs(2)),
        initial_heartbeat(status, addr),
        PeerOutputs {
            engine: engine.clone(),
            owners,
            follower,
            fleet: fleet_tx,
        },
    );
    let (peers, rx) = mpsc::channel(64);
    tokio::spawn(task.run(rx));
    peers.send(PeerCommand::SetList(list)).await.unwrap();
    let instance = Instance {
        clock,
        engine: engine.clone(),
        engine_rx,
        peers,
        messages,
        fleet,
    };
    instance.start(started, scenario);
    engine
}

/// The way of datagrams in one direction.
#[derive(Debug, Clone, Copy)]
struct Way {
    loss: f64,
    min_ms: u64,
    jitter_ms: u64,
    seed: u64,
}

impl Way {
    /// Returns an address from which datagrams go on to `to`.
    async fn open(self, to: SocketAddr) -> SocketAddr {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let addr = socket.local_addr().unwrap();
        let mut rng = Pcg32::seed_from_u64(self.seed);
        tokio::spawn(async move {
            let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
            while let Ok((len, _)) = socket.recv_from(&mut buf).await {
                let way_ms = self.min_ms + rng.random_range(0..self.jitter_ms);
                if rng.random_range(0.0..1.0) < self.loss {
                    continue;
                }
                let (frame, socket) = (buf[..len].to_vec(), socket.clone());
                tokio::spawn(async move {
                    sleep(Duration::from_millis(way_ms)).await;
                    let _ = socket.send_to(&frame, to).await;
                });
            }
        });
        addr
    }
}

/// Sends a request, and returns why it is refused, if it is, and what that was decided by.
async fn arrive(
    engine: &mpsc::UnboundedSender<Event>,
    id: u64,
    asked: Asked,
) -> (Option<String>, UsedConfig) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let arrival = Arrival {
        id: RequestId(id),
        api_key: Some(key(asked.key)),
        service: "".into(),
        path: "/x".to_owned(),
        host: "h".to_owned(),
        full_path: format!("{}x", route_prefix(asked.route)),
        affinity: None,
        kind: RequestKind::Idempotent,
        fingerprint: id,
        timeout: None,
        awaits_dispatch: true,
        tx,
    };
    engine.send(Event::RequestArrived(arrival)).unwrap();
    let mut used = UsedConfig::default();
    let refusal = loop {
        match timeout(ARRIVAL_INTERVAL, rx.recv()).await.unwrap().unwrap() {
            Decision::Resolved(info) => {
                used = info.config;
                break None;
            }
            Decision::Consulted(config) => used = config,
            Decision::Refuse(refusal) => break Some(refusal.kind.to_string()),
            _ => {}
        }
    };
    engine.send(Event::Cancel(RequestId(id))).unwrap();
    (refusal, used)
}

/// Guards against DENIED and CONFIG: an instance that took its configuration for the latest refused keys and
/// routes later than `configApplyS` after they had been added.
#[rstest]
#[case::answers_are_lost(Disturbances { lost: 0.4, ..Disturbances::default() })]
#[case::answers_are_stale(Disturbances { is_stale: true, ..Disturbances::default() })]
#[case::answers_are_held_up(Disturbances { held_up: 0.3, ..Disturbances::default() })]
#[case::first_answers_are_held_up(Disturbances { at_start: true, ..Disturbances::default() })]
#[case::all_together(Disturbances { lost: 0.2, held_up: 0.2, is_stale: true, ..Disturbances::default() })]
#[case::all_answers_are_late_at_first(Disturbances { late_time: Duration::from_secs(8), ..Disturbances::default() })]
#[case::store_restarts_with_another_clock(Disturbances { restarts: true, ..Disturbances::default() })]
fn nothing_allowed_is_refused_for_good(#[case] disturbances: Disturbances) {
    assert_none_denied(SEEDS.map(|seed| Scenario::draw(seed, disturbances)));
}

/// Guards against DENIED: next to a version that can't be used, the one before it counted as the latest, so that what
/// the later one adds was refused permanently.
#[rstest]
#[case::nothing_is_composed(false)]
#[case::the_last_usable_one_is_composed(true)]
fn nothing_that_an_unusable_version_allows_is_refused_for_good(#[case] keeps_last: bool) {
    assert_none_denied(SEEDS.map(|seed| {
        let scenario = Scenario::draw(seed, Disturbances::default());
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x0b5c);
        let versions = 1..scenario.versions.len();
        let unusable = versions.filter(|_| rng.random_range(0..3) == 0);
        Scenario {
            unusable: unusable.collect(),
            keeps_last,
            ..scenario
        }
    }));
}

/// Guards against DENIED: a confirmation that passes through other instances' heartbeats, over ways that are long in one
/// direction, lose and reorder them, could be dated later than what it reports.
#[test]
fn confirmations_that_instances_pass_on_are_dated_no_later_than_they_were() {
    let mut told = 0;
    let denied = SEEDS.filter_map(|seed| {
        let scenario = Scenario::draw(seed, Disturbances::default());
        let mut decided = run_paused(play_chain(scenario.clone()));
        let is_told = |one: &&Decided| {
            let confirmation = one.used.confirmation.as_ref();
            confirmation.is_some_and(|confirmation| confirmation.by.is_some())
        };
        told += decided.iter().filter(is_told).count();
        decided.retain(|one| one.is_wrong(&scenario));
        (!decided.is_empty()).then_some((scenario, decided))
    });
    assert_none(&denied.collect::<Vec<_>>());
    assert!(told > 0);
}

fn assert_none_denied<I>(scenarios: I)
where
    I: Iterator<Item = Scenario>,
{
    let denied = scenarios.filter_map(|scenario| {
        let mut decided = run(&scenario);
        decided.retain(|one| one.is_wrong(&scenario));
        (!decided.is_empty()).then_some((scenario, decided))
    });
    assert_none(&denied.collect::<Vec<_>>());
}

fn assert_none(denied: &[(Scenario, Vec<Decided>)]) {
    let requests: usize = denied.iter().map(|(_, denied)| denied.len()).sum();
    assert!(
        denied.is_empty(),
        "{} seeds, {requests} requests, first {:?}",
        denied.len(),
        denied
            .first()
            .map(|(scenario, denied)| (scenario.seed, &denied[0], scenario))
    );
}

/// Guards against refusals for nothing: while the store answers, an instance knows that its configuration is
/// the latest, so what no version allows is refused permanently, not put off.
#[rstest]
#[case::cascade_loop(3_000, 2_500)]
#[case::sangh_clearance(3_000, 2_000)]
#[case::presa_verde(4_000, 2_500)]
#[case::grown_sangh_clearance(4_000, 3_000)]
#[case::as_by_default(6_000, 2_000)]
fn what_no_version_allows_is_refused_for_good(#[case] contact_ms: u64, #[case] apply_ms: u64) {
    let put_off = (0..40).filter_map(|seed| {
        let scenario = Scenario {
            contact: Duration::from_millis(contact_ms),
            apply: Duration::from_millis(apply_ms),
            reporter: None,
            ..Scenario::draw(seed, Disturbances::default())
        };
        let is_put_off = |decided: &Decided| {
            decided.at > Duration::from_secs(1)
                && (decided.asked.route == NAMES - 1 || decided.asked.key == NAMES - 1)
                && !decided.is_refused_for_good()
        };
        let mut put_off = run(&scenario).into_iter().filter(is_put_off);
        Some((seed, put_off.next()?, put_off.count() + 1))
    });
    let put_off: Vec<_> = put_off.collect();
    assert!(
        put_off.is_empty(),
        "{} of 40: {:?}",
        put_off.len(),
        put_off[0]
    );
}

/// Guards against permanent refusals of which nobody can know by which version they were and what confirmed it.
#[rstest]
#[case::by_own_reads(0.0, None)]
#[case::by_another_instance(1.0, Some("other"))]
fn refusals_for_good_name_version_and_confirmation(
    #[case] lost: f64,
    #[case] confirmed_by: Option<&str>,
) {
    let disturbances = Disturbances {
        lost,
        ..Disturbances::default()
    };
    let reporter = Reporter {
        loss: 0.0,
        delay: Duration::from_millis(1),
    };
    let scenario = Scenario {
        reporter: confirmed_by.map(|_| reporter),
        versions: Scenario::draw(1, disturbances).versions[..1].into(),
        ..Scenario::draw(1, disturbances)
    };
    let decided = run(&scenario).into_iter().filter(|decided| {
        decided.is_refused_for_good() && decided.at > CALM_TIME + scenario.contact
    });
    let used: Vec<UsedConfig> = decided.map(|decided| decided.used).collect();
    assert!(!used.is_empty());
    for used in used {
        let confirmation = used.confirmation.clone().unwrap();
        assert_eq!(used.version, Some(0), "{used:?}");
        assert_eq!(
            confirmation.by,
            confirmed_by.map(InstanceId::from),
            "{used:?}"
        );
    }
}

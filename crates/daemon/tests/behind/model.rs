//! An instance that follows a modelled store, next to others that report their positions.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{
    Config, Incarnation, InstanceId, Key, KeyDigest, Position, RegionId, Service, Time, Workspace,
};
use coord::Replica;
use daemon::{
    fleet::{Fleet, FleetMember},
    follower::{FollowerOptions, tables::ComposedConfig},
    message::{FollowerMessage, PeerCommand, TableChange},
    table_reads::ReadTiming,
};
use dispatch::{RequestId, RequestKind};
use entry::{
    message::{Arrival, Decision, Event, RequestInfo},
    view::{Clock, View},
};
use platform::Platform;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, advance, sleep, sleep_until, timeout},
};

use crate::{
    engine::start_engine, follower::start_follower, late_turns::meter, member::listed_member,
    options::options, paused::run_paused,
};
pub(crate) use crate::{
    modelled_store::store,
    scenario::{OPERATOR_TABLE, Reporter, Scenario, SideCalls, position_of},
};

pub(crate) const RUN_TIME: Duration = Duration::from_secs(25);
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
const KEY: &str = "key";
/// ID of a request that waits while the instance stands still.
const WAITING_ID: u64 = u64::MAX;

/// What became of a request.
#[derive(Debug, Clone)]
pub(crate) struct Decided {
    pub(crate) at: Duration,
    /// Version that allowed it, or why it was refused.
    pub(crate) outcome: Result<usize, String>,
    /// Version that was in force at its arrival.
    pub(crate) in_force: usize,
    /// Instances that look-ups named.
    pub(crate) named: Vec<InstanceId>,
}

/// Returns the only home of the workspace by a version.
fn home_of(version: usize) -> RegionId {
    format!("r{version}").as_str().into()
}

fn config(version: usize) -> Config {
    let service = Service {
        slots: 1,
        connections: 1,
        deadline_ms: 10_000,
        open_routes: Vec::new(),
        targets: BTreeMap::new(),
        cold: None,
    };
    let key = Key {
        workspace: "gym".into(),
        digest: KeyDigest::of(KEY),
    };
    let workspace = Workspace {
        homes: [home_of(version)].into(),
        ..Workspace::default()
    };
    Config {
        services: BTreeMap::from([("board".into(), service)]),
        workspaces: BTreeMap::from([("gym".into(), workspace)]).into(),
        keys: BTreeMap::from([("k".into(), key)]).into(),
        ..Config::default()
    }
}

/// Returns an instance that is alive until `end`, at no address for other instances.
pub(crate) fn member(end: Duration) -> FleetMember {
    FleetMember {
        alive_until: Time::ZERO + end,
        entry: Some(SocketAddr::from(([127, 0, 0, 1], 2))),
        incarnation: Some(Incarnation(1)),
        ..listed_member()
    }
}

pub(crate) fn reporter_id(idx: usize) -> InstanceId {
    format!("i{idx}").as_str().into()
}

/// Sends an instance's heartbeats.
async fn report(
    started: Instant,
    scenario: Arc<Scenario>,
    idx: usize,
    follower: mpsc::Sender<FollowerMessage>,
) {
    let reporter = scenario.reporters[idx];
    let mut rng = Pcg32::seed_from_u64(scenario.seed ^ idx as u64);
    let mut delivered = 0;
    for (at, is_repeat) in sending_times(&scenario, reporter) {
        sleep_until(started + at).await;
        if scenario.others_end.is_some_and(|end| at >= end) {
            return;
        }
        let had = at.checked_sub(reporter.reads_after);
        let version = had.map_or(0, |at| scenario.version_at(at));
        let changed_at = scenario.lost_position.unwrap_or(position_of(version));
        let position = changed_at + scenario.rise_at(at);
        let change = version.checked_sub(1).map(|idx| scenario.changes[idx]);
        let known_since = change.map_or(Duration::ZERO, |change| change + reporter.reads_after);
        if is_repeat && delivered >= position {
            continue;
        }
        let message = FollowerMessage::PeerPositions {
            from: reporter_id(idx),
            positions: vec![Position::from(position), Position::from(1)],
            confirmed_at: None,
            change: Some(TableChange::complete(
                Position::from(changed_at),
                Time::ZERO + known_since,
            )),
            reads: None,
        };
        if rng.random_range(0.0..1.0) >= reporter.loss {
            delivered = position;
            if follower.send(message).await.is_err() {
                return;
            }
        }
    }
}

/// Returns when an instance sends heartbeats, and whether they repeat an update: regularly, and at once and twice more when
/// it has read a version, among so few that it goes to all.
fn sending_times(scenario: &Scenario, reporter: Reporter) -> Vec<(Duration, bool)> {
    const NEWS_RECEIVERS: usize = 6;
    /// Times after the read at which an update arrives, with its way.
    const NEWS_MS: [(u64, bool); 3] = [(25, false), (125, true), (225, true)];
    let count = RUN_TIME.div_duration_f64(HEARTBEAT_INTERVAL) as u32;
    let regular = (0..count).map(|number| (reporter.phase + HEARTBEAT_INTERVAL * number, false));
    let mut times: Vec<_> = regular.collect();
    if scenario.reporters.len() <= NEWS_RECEIVERS {
        for change in &scenario.changes {
            let read_at = *change + reporter.reads_after;
            let news =
                NEWS_MS.map(|(ms, is_repeat)| (read_at + Duration::from_millis(ms), is_repeat));
            times.extend(news);
        }
    }
    times.sort();
    times
}

pub(crate) fn run(scenario: &Scenario) -> Vec<Decided> {
    run_paused(play(Arc::new(scenario.clone())))
}

/// A follower and the engine that decides by what it reads.
pub(crate) struct Node {
    pub(crate) follower: mpsc::Sender<FollowerMessage>,
    /// What it reports to the task that sends heartbeats.
    pub(crate) told: mpsc::Receiver<PeerCommand>,
    engine: mpsc::UnboundedSender<Event>,
    view: watch::Receiver<Arc<View>>,
    /// Versions that have come into force.
    versions: Arc<Mutex<Vec<usize>>>,
    fleet: watch::Sender<Arc<Fleet>>,
}

impl Node {
    /// Starts an instance next to others that are alive until `end`.
    pub(crate) fn start<I>(
        scenario: &Scenario,
        clock: Clock,
        platform: Platform,
        others: I,
        end: Duration,
    ) -> Self
    where
        I: IntoIterator<Item = InstanceId>,
    {
        let others = others.into_iter();
        let fleet = Fleet {
            members: others.map(|id| (id.clone(), member(end))).collect(),
            ..Fleet::default()
        };
        Self::start_among(scenario, clock, platform, fleet)
    }

    /// Starts an instance among others.
    pub(crate) fn start_among(
        scenario: &Scenario,
        clock: Clock,
        platform: Platform,
        fleet: Fleet,
    ) -> Self {
        let versions = Arc::new(Mutex::new(Vec::new()));
        let composed = versions.clone();
        let compose = move |replicas: &[&Replica]| {
            let mut rows = replicas[0].rows();
            let version = rows.find_map(|(_, row)| row.value.parse().ok())?;
            composed.lock().unwrap().push(version);
            Some(ComposedConfig {
                version: version as u64,
                is_latest: true,
                config: config(version),
            })
        };
        let (fleet_tx, fleet) = watch::channel(Arc::new(fleet));
        let (engine, engine_rx) = mpsc::unbounded_channel();
        let options = FollowerOptions {
            lag: meter(clock, scenario.read_late),
            apply: scenario.apply,
            read_timing: ReadTiming::within(scenario.contact),
            ..options(clock, platform, fleet)
        };
        let (follower, told, view) = start_follower(options, engine.clone(), compose);
        tokio::spawn(start_engine(clock, &engine).run(engine_rx));
        Self {
            follower,
            told,
            engine,
            view,
            versions,
            fleet: fleet_tx,
        }
    }

    /// Tells the follower that another instance is alive until `end`.
    pub(crate) fn hear_of(&self, id: &InstanceId, end: Duration) {
        self.fleet.send_modify(|fleet| {
            let members = &mut Arc::make_mut(fleet).members;
            members.insert(id.clone(), member(end));
        });
    }

    /// Lets the instance stand still while a request waits, and returns what becomes of that.
    pub(crate) async fn stand_still(&self, started: Instant, time: Duration) -> Decided {
        let waiting = send(&self.engine, WAITING_ID);
        advance(time).await;
        let at = started.elapsed();
        let in_force = self.versions.lock().unwrap().last().copied();
        let outcome = outcome(waiting).await;
        let _ = self.engine.send(Event::Cancel(RequestId(WAITING_ID)));
        let versions = self.versions.lock().unwrap();
        Decided {
            at,
            outcome: outcome.map(|info| version_of(&info, &versions)),
            in_force: in_force.unwrap_or(0),
            named: Vec::new(),
        }
    }

    /// Sends requests until [`RUN_TIME`] is over, and returns what became of them.
    pub(crate) async fn decide(&self, started: Instant) -> Vec<Decided> {
        let mut decided = Vec::new();
        while started.elapsed() < RUN_TIME {
            sleep(ARRIVAL_INTERVAL).await;
            let at = started.elapsed();
            let in_force = self.versions.lock().unwrap().last().copied();
            let named = self.view.borrow().entries.clone().into_iter();
            let named = named.map(|entry| entry.instance).collect();
            let outcome = arrive(&self.engine, decided.len() as u64).await;
            let versions = self.versions.lock().unwrap();
            decided.push(Decided {
                at,
                outcome: outcome.map(|info| version_of(&info, &versions)),
                in_force: in_force.unwrap_or(0),
                named,
            });
        }
        decided
    }
}

async fn play(scenario: Arc<Scenario>) -> Vec<Decided> {
    let (started, clock) = (Instant::now(), Clock::start());
    let platform = store(started, &scenario, scenario.transfers.clone());
    let end = scenario.others_end.unwrap_or(RUN_TIME);
    let ids = (0..scenario.reporters.len()).map(reporter_id);
    let node = Node::start(&scenario, clock, platform, ids, end);
    for idx in 0..scenario.reporters.len() {
        let follower = node.follower.clone();
        tokio::spawn(report(started, scenario.clone(), idx, follower));
    }
    node.decide(started).await
}

/// Returns the version that allows a request, whose home binds it.
fn version_of(info: &RequestInfo, versions: &[usize]) -> usize {
    let version = versions[info.config.revision as usize - 1];
    let allowed = &info.allowed_regions;
    assert!(allowed.contains(&home_of(version)) && !allowed.contains(&home_of(version + 1)));
    version
}

/// Sends a request, and returns what allows it, or why it is refused.
async fn arrive(engine: &mpsc::UnboundedSender<Event>, id: u64) -> Result<RequestInfo, String> {
    let outcome = outcome(send(engine, id)).await;
    engine.send(Event::Cancel(RequestId(id))).unwrap();
    outcome
}

/// Sends a request, and returns where its decisions come.
fn send(engine: &mpsc::UnboundedSender<Event>, id: u64) -> mpsc::UnboundedReceiver<Decision> {
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
        awaits_dispatch: true,
        tx,
    };
    engine.send(Event::RequestArrived(arrival)).unwrap();
    rx
}

async fn outcome(mut rx: mpsc::UnboundedReceiver<Decision>) -> Result<RequestInfo, String> {
    loop {
        match timeout(ARRIVAL_INTERVAL, rx.recv()).await.unwrap().unwrap() {
            Decision::Resolved(info) => break Ok(info),
            Decision::Refuse(refusal) => break Err(refusal.kind.to_string()),
            _ => {}
        }
    }
}

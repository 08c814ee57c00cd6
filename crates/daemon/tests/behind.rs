//! How long an instance decides by a version although it knows of a later one, over drawn versions,
//! transfers and heartbeats.

#[path = "support/call.rs"]
mod call;
#[path = "support/engine.rs"]
mod engine;
#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;
#[path = "support/transfer.rs"]
mod transfer;

use std::{
    collections::BTreeMap,
    future::pending,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Config, Incarnation, InstanceId, Key, KeyDigest, Service, Time, Workspace};
use call::read_of;
use coord::{Heartbeat, ListEntry, Membership, Replica};
use daemon::{
    fleet::{Fleet, FleetMember},
    follower::{
        FollowerOptions, Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::FollowerMessage,
    table_reads::ReadTiming,
};
use dispatch::{RequestId, RequestKind};
use engine::start_engine;
use entry::{
    message::{Arrival, Decision, Event},
    view::{Clock, View},
};
use options::options;
use paused::run_paused;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until, timeout},
};
use transfer::Transfer;

const SEEDS: Range<u64> = 0..300;
const RUN_TIME: Duration = Duration::from_secs(25);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
const OPERATOR_TABLE: &str = "op";
const KEY: &str = "key";

/// Another instance, which reports positions and hands nothing out.
#[derive(Debug, Clone, Copy)]
struct Reporter {
    /// Time of its first heartbeat.
    phase: Duration,
    /// Time after an acknowledgement at which it has the version.
    reads_after: Duration,
    /// Share of its heartbeats that are lost.
    loss: f64,
}

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    contact: Duration,
    apply: Duration,
    /// Times at which versions are acknowledged.
    changes: Vec<Duration>,
    transfers: Vec<Transfer>,
    reporters: Vec<Reporter>,
    /// Position that the others report whatever the store has.
    lost_position: Option<u64>,
    /// Time from which on the store gives no answer.
    outage: Option<Duration>,
    /// Time at which the others end.
    others_end: Option<Duration>,
    /// Time at which rows of other tables have changed and another instance starts, whose first read has the
    /// store's latest position.
    others_start: Option<Duration>,
}

impl Scenario {
    fn draw(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let apply = ms(2_000..4_000);
        let contact = apply + ms(0..2_000);
        let is_series = ms(0..2).is_zero();
        let mut at = ms(3_000..6_000);
        let mut changes = Vec::new();
        for _ in 0..ms(1..12).as_millis() {
            changes.push(at);
            at += if is_series {
                ms(100..900)
            } else {
                ms(500..6_000)
            };
        }
        let transfers = Transfer::draw(&mut ms);
        let count = ms(1..8).as_millis();
        let reporters = (0..count).map(|idx| Reporter {
            phase: ms(0..500),
            reads_after: ms(1..150),
            loss: if idx == 0 { 0.0 } else { 0.2 },
        });
        Self {
            seed,
            contact,
            apply,
            changes,
            transfers,
            reporters: reporters.collect(),
            lost_position: None,
            outage: None,
            others_end: None,
            others_start: None,
        }
    }

    /// Returns a deployment of some instances in which nothing happens.
    fn calm() -> Self {
        let reporters = [100, 300].map(|phase_ms| Reporter {
            phase: Duration::from_millis(phase_ms),
            reads_after: Duration::from_millis(20),
            loss: 0.0,
        });
        Self {
            seed: 1,
            contact: Duration::from_secs(4),
            apply: Duration::from_millis(2_500),
            changes: Vec::new(),
            transfers: Vec::new(),
            reporters: reporters.into(),
            lost_position: None,
            outage: None,
            others_end: None,
            others_start: None,
        }
    }

    /// Returns by how much the store's position has risen by rows of other tables.
    fn rise_at(&self, at: Duration) -> u64 {
        u64::from(self.others_start.is_some_and(|start| start <= at))
    }

    fn version_at(&self, at: Duration) -> usize {
        self.changes.iter().filter(|change| **change <= at).count()
    }

    /// Returns the version whose effect a request that arrives at `at` must show.
    fn required_version(&self, at: Duration) -> usize {
        at.checked_sub(self.apply)
            .map_or(0, |at| self.version_at(at))
    }
}

/// Returns the store's position of a version.
fn position_of(version: usize) -> u64 {
    10 + version as u64 * 10
}

/// What became of a request.
#[derive(Debug, Clone)]
struct Decided {
    at: Duration,
    /// Version that allowed it, or why it was refused.
    outcome: Result<usize, String>,
    /// Version that was in force at its arrival.
    in_force: usize,
    /// Instances that look-ups named.
    named: Vec<InstanceId>,
}

/// Answers reads of the tables.
async fn answer(
    started: Instant,
    scenario: Arc<Scenario>,
    transfers: Arc<Mutex<Vec<Transfer>>>,
    call: Call,
    progress: Progress,
) -> Result<Reply, PlatformError> {
    let (table, after, wait) = read_of(call)?;
    let is_operators = table == OPERATOR_TABLE;
    let deadline = Instant::now() + wait;
    let mut next = scenario.changes.iter().enumerate();
    let next = next.find(|(idx, _)| is_operators && position_of(idx + 1) > after && after > 0);
    let next = next.map_or(deadline, |(_, at)| started + *at);
    sleep_until(next.min(deadline)).await;
    if scenario
        .outage
        .is_some_and(|from| started.elapsed() >= from)
    {
        pending::<()>().await;
    }
    let version = if is_operators {
        scenario.version_at(started.elapsed())
    } else {
        0
    };
    let position = position_of(version);
    if position <= after {
        progress.add(1);
        let latest = position + scenario.rise_at(started.elapsed());
        return Ok(Reply::Changes(Vec::new(), latest));
    }
    if after > 0 {
        let transfer = transfers.lock().unwrap().pop();
        let transfer = transfer.unwrap_or(Transfer::Lost);
        transfer.transmit(&progress).await?;
    }
    let row = Change {
        row: "config".to_owned(),
        value: Some(version.to_string()),
        at: position,
    };
    Ok(Reply::Changes(vec![row], position))
}

fn config() -> Config {
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
    Config {
        services: BTreeMap::from([("board".into(), service)]),
        workspaces: BTreeMap::from([("gym".into(), Workspace::default())]).into(),
        keys: BTreeMap::from([("k".into(), key)]).into(),
        ..Config::default()
    }
}

/// Returns an instance that is alive until `end`, at no address for other instances.
fn member(id: &InstanceId, end: Duration) -> FleetMember {
    let mut membership = Membership::new(RUN_TIME, RUN_TIME);
    let entry = ListEntry {
        id: id.clone(),
        domain: "d".into(),
        is_leaving: false,
    };
    membership.on_list(Time::ZERO, &[entry]);
    membership.on_heartbeat(
        Time::ZERO,
        &Heartbeat {
            id: id.clone(),
            incarnation: Incarnation(1),
            domain: "d".into(),
            is_leaving: false,
            version: 0,
            confirmation_age: None,
        },
    );
    FleetMember {
        alive_until: Time::ZERO + end,
        entry: Some(SocketAddr::from(([127, 0, 0, 1], 2))),
        incarnation: Some(Incarnation(1)),
        ..FleetMember::new(&membership.members()[id], None)
    }
}

fn reporter_id(idx: usize) -> InstanceId {
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
        let position = scenario.lost_position.unwrap_or(position_of(version));
        let position = position + scenario.rise_at(at);
        if is_repeat && delivered >= position {
            continue;
        }
        let message = FollowerMessage::PeerPositions {
            from: reporter_id(idx),
            positions: vec![position, 1],
            confirmed_at: None,
        };
        if rng.random_range(0.0..1.0) >= reporter.loss {
            delivered = position;
            if follower.send(message).await.is_err() {
                return;
            }
        }
    }
}

/// Returns when an instance sends heartbeats, and whether they repeat news: regularly, and at once and twice more when
/// it has read a version, among so few that news goes to all.
fn sending_times(scenario: &Scenario, reporter: Reporter) -> Vec<(Duration, bool)> {
    const NEWS_RECEIVERS: usize = 6;
    /// Times after the read at which news arrives, with its way.
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

fn run(scenario: &Scenario) -> Vec<Decided> {
    run_paused(play(Arc::new(scenario.clone())))
}

async fn play(scenario: Arc<Scenario>) -> Vec<Decided> {
    let started = Instant::now();
    let clock = Clock::start();
    let mut transfers = scenario.transfers.clone();
    transfers.reverse();
    let transfers = Arc::new(Mutex::new(transfers));
    let served = scenario.clone();
    let platform = Platform::spawn(move || {
        let (served, transfers) = (served.clone(), transfers.clone());
        move |call, progress| answer(started, served.clone(), transfers.clone(), call, progress)
    });
    let versions = Arc::new(Mutex::new(Vec::new()));
    let composed = versions.clone();
    let compose = move |replicas: &[&Replica]| {
        let mut rows = replicas[0].rows();
        let version = rows.find_map(|(_, row)| row.value.parse().ok())?;
        composed.lock().unwrap().push(version);
        Some(ComposedConfig {
            version: version as u64,
            config: config(),
        })
    };
    let end = scenario.others_end.unwrap_or(RUN_TIME);
    let ids = (0..scenario.reporters.len()).map(reporter_id);
    let fleet = Fleet {
        members: ids.map(|id| (id.clone(), member(&id, end))).collect(),
        ..Fleet::default()
    };
    let (_fleet_tx, fleet) = watch::channel(Arc::new(fleet));
    let (engine, engine_rx) = mpsc::unbounded_channel();
    let (peers, _peers_rx) = mpsc::channel(64);
    let (view, view_rx) = watch::channel(Arc::new(View::default()));
    let (snapshots, _snapshots_rx) = watch::channel(Arc::default());
    let (tx, rx) = mpsc::channel(64);
    let follower = TableFollower::new(
        FollowerOptions {
            apply: scenario.apply,
            read_timing: ReadTiming::within(scenario.contact),
            ..options(clock, platform, fleet)
        },
        Outputs {
            engine: engine.clone(),
            peers,
            view,
        },
        FollowedTables {
            tables: vec![OPERATOR_TABLE.to_owned(), "servers".to_owned()],
            compose,
        },
        snapshots,
    );
    tokio::spawn(start_engine(clock, &engine).run(engine_rx));
    tokio::spawn(follower.run(rx));
    for idx in 0..scenario.reporters.len() {
        tokio::spawn(report(started, scenario.clone(), idx, tx.clone()));
    }
    let mut decided = Vec::new();
    while started.elapsed() < RUN_TIME {
        sleep(ARRIVAL_INTERVAL).await;
        let at = started.elapsed();
        let in_force = versions.lock().unwrap().last().copied();
        let named = view_rx.borrow().entries.clone().into_iter();
        let named = named.map(|entry| entry.instance).collect();
        let outcome = arrive(&engine, decided.len() as u64).await;
        let versions = versions.lock().unwrap();
        decided.push(Decided {
            at,
            outcome: outcome.map(|revision| versions[revision as usize - 1]),
            in_force: in_force.unwrap_or(0),
            named,
        });
    }
    decided
}

/// Sends a request, and returns the revision that allows it, or why it is refused.
async fn arrive(engine: &mpsc::UnboundedSender<Event>, id: u64) -> Result<u64, String> {
    let (tx, mut rx) = mpsc::unbounded_channel();
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
    let outcome = loop {
        match timeout(ARRIVAL_INTERVAL, rx.recv()).await.unwrap().unwrap() {
            Decision::Resolved(info) => break Ok(info.config.revision),
            Decision::Refuse(refusal) => break Err(refusal.kind.to_string()),
            _ => {}
        }
    };
    engine.send(Event::Cancel(RequestId(id))).unwrap();
    outcome
}

/// Guards against HOME and CONFIG: an instance that heard of a later version from others and couldn't get it
/// went on deciding by the old one later than `configApplyS` after the acknowledgement.
#[test]
fn no_request_is_decided_late_by_an_instance_that_knows_of_a_later_version() {
    let late = SEEDS.filter_map(|seed| {
        let scenario = Scenario::draw(seed);
        let decided = run(&scenario);
        let mut late = decided.iter().filter(|decided| {
            let required = scenario.required_version(decided.at);
            decided.outcome.as_ref().is_ok_and(|used| *used < required)
        });
        let first = late.next()?.clone();
        Some((seed, (first, late.count() + 1, scenario)))
    });
    let late: BTreeMap<u64, _> = late.collect();
    let first = late.iter().next();
    assert!(late.is_empty(), "{} seeds, first {first:#?}", late.len());
}

/// Guards against refusals for nothing: an instance refuses only while a version that it lacks has been
/// acknowledged for half of `configApplyS`.
#[test]
fn requests_are_refused_only_by_an_instance_that_is_behind() {
    for seed in SEEDS {
        let scenario = Scenario::draw(seed);
        for decided in run(&scenario) {
            let known = decided.at.saturating_sub(scenario.apply / 2);
            let is_behind = decided.in_force < scenario.version_at(known);
            match &decided.outcome {
                Err(kind) if kind == "outdated" => {
                    assert!(is_behind, "seed {seed}: {decided:?}, {scenario:#?}");
                }
                Err(kind) => assert!(kind == "not_ready", "seed {seed}: {decided:?}"),
                Ok(_) => {}
            }
        }
    }
}

fn is_refused(decided: &Decided) -> bool {
    decided
        .outcome
        .as_ref()
        .is_err_and(|kind| kind == "outdated")
}

/// An instance that refuses is left out of its own look-ups' answers.
#[test]
fn outdated_instance_names_others_alone() {
    let scenario = Scenario {
        changes: vec![Duration::from_secs(5)],
        transfers: vec![Transfer::Takes(Duration::from_secs(6))],
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    let refused = decided.iter().filter(|one| is_refused(one)).count();
    assert!((100..230).contains(&refused), "{refused} refused");
    // The view may come a moment after the engine's word.
    let own = InstanceId::from("own");
    let differs = |one: &&Decided| {
        one.at > Duration::from_secs(1) && one.named.contains(&own) == is_refused(one)
    };
    let differing: Vec<_> = decided.iter().filter(differs).collect();
    assert!(differing.len() < 15, "{differing:?}");
}

/// An instance that has had an older version for too long is left out of the others' look-ups.
#[test]
fn outdated_instance_is_not_named_by_others() {
    let change = Duration::from_secs(5);
    let mut scenario = Scenario {
        changes: vec![change],
        transfers: vec![Transfer::Takes(Duration::from_millis(50))],
        ..Scenario::calm()
    };
    scenario.reporters[1].reads_after = Duration::from_secs(8);
    let decided = run(&scenario);
    let late = reporter_id(1);
    let first = Duration::from_secs(1);
    let left_out = decided
        .iter()
        .filter(|one| one.at > first && !one.named.contains(&late));
    let times: Vec<Duration> = left_out.map(|one| one.at).collect();
    let (from, to) = (times[0], times[times.len() - 1]);
    assert!(
        from > change + scenario.apply / 2 && from < change + scenario.apply,
        "{from:?}"
    );
    let back = change + Duration::from_secs(8);
    assert!(to > back && to < back + Duration::from_secs(1), "{to:?}");
    let names_others = |one: &Decided| one.at <= first || one.named.contains(&reporter_id(0));
    assert!(decided.iter().all(names_others));
}

/// Guards against refusals without an instance that could serve: with a store that is away for all, every
/// instance goes on by what it has.
#[test]
fn outage_of_the_store_makes_nobody_refuse() {
    let scenario = Scenario {
        changes: vec![Duration::from_secs(9)],
        outage: Some(Duration::from_secs(5)),
        // Nobody has read the version.
        lost_position: Some(position_of(0)),
        ..Scenario::calm()
    };
    let refused = run(&scenario).into_iter().filter(is_refused).count();
    assert_eq!(refused, 0);
}

/// As above, where those who had the later version have ended.
#[test]
fn version_that_nobody_has_any_more_is_not_waited_for() {
    let end = Duration::from_secs(12);
    let scenario = Scenario {
        changes: vec![Duration::from_secs(5)],
        others_end: Some(end),
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    let refused: Vec<_> = decided.iter().filter(|one| is_refused(one)).collect();
    assert!(refused.len() > 200, "{} refused", refused.len());
    let last = refused.last().unwrap().at;
    assert!(last < end + Duration::from_millis(400), "{last:?}");
}

/// Guards against refusals without end: after a store has gone back, others go on reporting the position that
/// is lost.
#[test]
fn store_that_went_back_is_not_waited_for() {
    let scenario = Scenario {
        lost_position: Some(1_000),
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    let refused = decided.iter().filter(|one| is_refused(one));
    let last = refused.map(|one| one.at).max().unwrap_or_default();
    // The read that was under way at the first report, and the next one.
    assert!(last < scenario.contact * 3 / 2, "{last:?}");
}

/// Guards against refusals for nothing: an instance that starts reports the position of its first read, which
/// rows of other tables have raised; the others haven't polled again, and lack nothing.
#[test]
fn start_of_another_instance_makes_nobody_refuse() {
    const STEP: Duration = Duration::from_millis(100);
    let refused = (0..24).map(|step| {
        let scenario = Scenario {
            others_start: Some(Duration::from_secs(8) + STEP * step),
            ..Scenario::calm()
        };
        let refused = run(&scenario).into_iter().filter(is_refused).count();
        (step, refused)
    });
    let refused: Vec<_> = refused.filter(|(_, count)| *count > 0).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against CONFIG: a report that is lost leaves no time for the next one.
#[test]
fn knowledge_comes_in_time_though_a_heartbeat_is_lost() {
    let bound = Scenario::calm().apply;
    let late = (0..200).filter_map(|seed| {
        let scenario = Scenario {
            seed,
            changes: vec![Duration::from_millis(5_000 + 25 * seed)],
            transfers: vec![Transfer::Lost, Transfer::Lost, Transfer::Lost],
            reporters: vec![Reporter {
                phase: Duration::from_millis(100),
                reads_after: Duration::from_millis(20),
                loss: 0.2,
            }],
            ..Scenario::calm()
        };
        let decided = run(&scenario);
        let mut late = decided.iter().filter(|one| {
            let required = scenario.required_version(one.at);
            one.outcome.as_ref().is_ok_and(|used| *used < required)
        });
        let last = late.next_back()?.at - scenario.changes[0] - bound;
        Some((seed, last))
    });
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "{} of 200: {late:?}", late.len());
}

/// Guards against refusals for nothing: an instance of which nothing is heard for a moment isn't behind.
#[test]
fn instance_whose_heartbeats_are_lost_stays_named() {
    let mut scenario = Scenario {
        changes: (0..8).map(|n| Duration::from_secs(3 + 2 * n)).collect(),
        transfers: vec![Transfer::Takes(Duration::from_millis(50)); 40],
        ..Scenario::calm()
    };
    // Both have each version after 20 ms.
    scenario.reporters[1].loss = 0.6;
    let decided = run(&scenario);
    let missing = decided
        .iter()
        .filter(|one| one.at > Duration::from_secs(1) && one.named.len() < 3);
    let missing: Vec<_> = missing.map(|one| one.at).collect();
    assert!(missing.is_empty(), "{} {missing:?}", missing.len());
}

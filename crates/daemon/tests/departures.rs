//! How long a target stays in force at an instance after it has left by its row, over drawn rows, reads and
//! heartbeats.

#[path = "support/call.rs"]
mod call;
#[path = "support/follower.rs"]
mod follower;
#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;
#[path = "support/transfer.rs"]
mod transfer;

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Config, InstanceId, Position, Registration, Service, Target, TargetId, Time};
use call::read_of;
use coord::{Departure, ListEntry, Membership, Replica, RetainedEntry, lacking, retained_in_turns};
use daemon::{
    fleet::{Fleet, FleetMember},
    follower::{FollowerOptions, tables::ComposedConfig},
    message::{FollowerMessage, OwnReads, PeerCommand, TableChange},
    table_reads::ReadTiming,
};
use entry::{message::Event, view::Clock};
use follower::start_follower;
use options::options;
use paused::run_paused;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};
use tracing::subscriber::with_default;
use transfer::Transfer;

const SEEDS: Range<u64> = 0..300;
/// Seeds of what doesn't depend on a bound.
const FEWER_SEEDS: Range<u64> = 0..100;
const RUN_TIME: Duration = Duration::from_secs(25);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const OPERATOR_TABLE: &str = "op";
const TARGETS_TABLE: &str = "servers";
const SERVICE: &str = "board";
const CONTACT: Duration = Duration::from_secs(4);
/// Position of the operators' row.
const FIRST_POSITION: u64 = 10;

/// What a row of the targets' table says from a time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Row {
    Ready,
    Leaving,
    Gone,
    /// Ready, of another life.
    Restarted,
}

/// The change of one row.
#[derive(Debug, Clone)]
struct RowWrite {
    at: Duration,
    target: usize,
    row: Row,
}

/// Another instance, which has read the table and hands nothing out.
#[derive(Debug, Clone, Copy)]
struct Reporter {
    /// Time of its first heartbeat.
    phase: Duration,
    /// Share of its heartbeats that are lost.
    loss: f64,
    /// Time at which it ends.
    end: Duration,
}

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    /// Time within which a target that has left gets no more requests.
    drain: Duration,
    /// Rows that change, in the order of their times; the first ones are there at the start.
    writes: Vec<RowWrite>,
    /// What becomes of the own answers that bring rows, in their order; later ones are complete at once.
    transfers: Vec<Transfer>,
    reporters: Vec<Reporter>,
    /// Time from which on the own reads see the store as it was at the second one.
    goes_back: Option<(Duration, Duration)>,
    /// When the store answers nobody.
    outage: Option<Range<Duration>>,
    /// Whether it refuses calls meanwhile, or is silent.
    refuses: bool,
    /// Whether it refuses the polls that are open as that begins.
    cuts_polls: bool,
}

impl Scenario {
    /// Returns the same for an instance that the store turns away from a time on.
    fn turned_away_from(&self, from: Duration) -> Self {
        Self {
            outage: Some(from..RUN_TIME),
            refuses: true,
            cuts_polls: true,
            ..self.clone()
        }
    }

    fn draw(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let drain = ms(2_000..4_000);
        let targets = ms(1..30).as_millis() as usize;
        let mut writes = present(targets);
        let is_series = ms(0..2).is_zero();
        let mut at = ms(3_000..6_000);
        for _ in 0..ms(1..30).as_millis() {
            let row = match ms(0..5).as_millis() {
                0 | 1 => Row::Leaving,
                2 | 3 => Row::Gone,
                _ => Row::Ready,
            };
            let target = ms(0..targets as u64).as_millis() as usize;
            writes.push(RowWrite { at, target, row });
            at += if is_series {
                ms(10..400)
            } else {
                ms(300..4_000)
            };
        }
        let transfers = Transfer::draw(&mut ms);
        let count = ms(1..8).as_millis();
        let reporters = (0..count).map(|idx| Reporter {
            phase: ms(0..500),
            loss: if idx == 0 { 0.0 } else { 0.2 },
            end: RUN_TIME,
        });
        Self {
            seed,
            drain,
            writes,
            transfers,
            reporters: reporters.collect(),
            goes_back: None,
            outage: None,
            refuses: false,
            cuts_polls: false,
        }
    }

    /// Returns a deployment of some instances with two targets, and these changes of the first one's row.
    fn calm(changes: &[(u64, Row)]) -> Self {
        let reporters = [100, 300].map(|phase_ms| Reporter {
            phase: Duration::from_millis(phase_ms),
            loss: 0.0,
            end: RUN_TIME,
        });
        let mut writes = present(2);
        writes.extend(changes.iter().map(|(at_ms, row)| RowWrite {
            at: Duration::from_millis(*at_ms),
            target: 0,
            row: *row,
        }));
        Self {
            seed: 1,
            drain: Duration::from_secs(2),
            writes,
            transfers: Vec::new(),
            reporters: reporters.into(),
            goes_back: None,
            outage: None,
            refuses: false,
            cuts_polls: false,
        }
    }

    /// Returns the changes up to `at`.
    fn written(&self, at: Duration) -> &[RowWrite] {
        let count = self.writes.partition_point(|write| write.at <= at);
        &self.writes[..count]
    }

    /// Returns what the store says of a target at a time.
    fn row_at(&self, at: Duration, target: usize) -> Row {
        let mut written = self.written(at).iter().rev();
        let last = written.find(|write| write.target == target);
        last.map_or(Row::Gone, |write| write.row)
    }

    /// Returns whether the store has said for as long as the bound that a target has left.
    fn must_be_out(&self, at: Duration, target: usize) -> bool {
        let Some(from) = at.checked_sub(self.drain) else {
            return false;
        };
        let within = self.writes.iter();
        let mut within = within.filter(|write| write.target == target && write.at <= at);
        self.row_at(from, target) != Row::Ready
            && within.all(|write| write.at <= from || write.row != Row::Ready)
    }
}

fn present(targets: usize) -> Vec<RowWrite> {
    let rows = (0..targets).map(|target| RowWrite {
        at: Duration::ZERO,
        target,
        row: Row::Ready,
    });
    rows.collect()
}

fn target_id(target: usize) -> TargetId {
    format!("t{target}").as_str().into()
}

fn position_of(idx: usize) -> u64 {
    FIRST_POSITION + 1 + idx as u64
}

/// Answers the reads of one instance; the first read of a table is answered at once.
async fn answer(
    started: Instant,
    scenario: Arc<Scenario>,
    transfers: Arc<Mutex<Vec<Transfer>>>,
    call: Call,
    progress: Progress,
) -> Result<Reply, PlatformError> {
    let (table, after, wait) = read_of(call)?;
    pass_outage(started, &scenario).await?;
    let deadline = Instant::now() + wait;
    let is_targets = table == TARGETS_TABLE;
    let mut next = scenario.writes.iter().enumerate();
    let next = next.find(|(idx, _)| is_targets && position_of(*idx) > after && after > 0);
    let next = next.map_or(deadline, |(_, write)| started + write.at);
    let cut = scenario.outage.as_ref().filter(|_| scenario.cuts_polls);
    let next = cut.map_or(next, |outage| next.min(started + outage.start));
    let went_back = scenario.goes_back.map(|(from, _)| started + from);
    let is_back = went_back.is_some_and(|at| at <= Instant::now());
    sleep_until(if is_back {
        deadline
    } else {
        next.min(deadline)
    })
    .await;
    pass_outage(started, &scenario).await?;
    let seen_at = match scenario.goes_back {
        Some((from, to)) if started.elapsed() >= from => to,
        _ => started.elapsed(),
    };
    let written = scenario.written(seen_at);
    let position = FIRST_POSITION + written.len() as u64;
    let rows: Vec<Change> = if is_targets {
        let rows = written.iter().enumerate();
        let rows = rows.filter(|(idx, _)| position_of(*idx) > after);
        rows.map(|(idx, write)| Change {
            row: target_id(write.target).to_string(),
            value: (write.row != Row::Gone).then(|| format!("{:?}", write.row)),
            at: Position::from(position_of(idx)),
        })
        .collect()
    } else if after == 0 {
        vec![Change {
            row: "config".to_owned(),
            value: Some("1".to_owned()),
            at: Position::from(FIRST_POSITION),
        }]
    } else {
        Vec::new()
    };
    if is_targets && after > 0 && !rows.is_empty() {
        let transfer = transfers.lock().unwrap().pop();
        let transfer = transfer.unwrap_or(Transfer::Takes(Duration::ZERO));
        transfer.transmit(&progress).await?;
    }
    progress.add(1);
    Ok(Reply::Changes(rows, Position::from(position)))
}

/// Waits for the end of the store's outage, or fails where the store refuses calls meanwhile.
async fn pass_outage(started: Instant, scenario: &Scenario) -> Result<(), PlatformError> {
    let at = started.elapsed();
    let outage = scenario.outage.as_ref();
    let Some(outage) = outage.filter(|outage| outage.contains(&at)) else {
        return Ok(());
    };
    if scenario.refuses {
        return Err(PlatformError::Unavailable);
    }
    sleep_until(started + outage.end).await;
    Ok(())
}

/// Returns whether a call reads changes of the targets' table without waiting for one.
fn is_prompt(call: &Call) -> bool {
    matches!(call, Call::Changes { table, wait_ms: 0, .. } if table == TARGETS_TABLE)
}

fn compose(replicas: &[&Replica]) -> Option<ComposedConfig> {
    let targets = replicas[1].rows().map(|(id, row)| {
        let target = Target {
            domain: "d".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 9)),
            registered: Some(Registration {
                slots: 1,
                is_leaving: &*row.value == "Leaving",
                cold_ms: 0,
                incarnation: 1 + u64::from(&*row.value == "Restarted"),
            }),
        };
        (TargetId::from(id), target)
    });
    let service = Service {
        slots: 1,
        connections: 1,
        deadline_ms: 10_000,
        open_routes: Vec::new(),
        targets: targets.collect(),
        cold: None,
    };
    Some(ComposedConfig {
        version: 1,
        is_latest: true,
        config: Config {
            services: BTreeMap::from([(SERVICE.into(), service)]),
            ..Config::default()
        },
    })
}

/// What an instance's heartbeats are made of.
#[derive(Debug, Default)]
struct Told {
    positions: Vec<Position>,
    confirmed_at: Option<Time>,
    change: Option<TableChange>,
    reads: Option<OwnReads>,
    departures: Arc<Vec<Departure>>,
    retained: Arc<Vec<RetainedEntry>>,
}

/// A follower, and what it says to others and to the engine.
struct Instance {
    messages: mpsc::Sender<FollowerMessage>,
    /// What its heartbeats report.
    told: watch::Receiver<Told>,
    /// Configuration in force.
    in_force: watch::Receiver<Arc<Config>>,
    /// Number of configurations that the engine was ordered to activate.
    activations: watch::Receiver<usize>,
    /// Number of reads of changes of the targets' table that waited for nothing.
    prompts: Arc<Mutex<usize>>,
}

/// Returns the instances that send heartbeats; none of them can be called.
fn fleet_of(scenario: &Scenario) -> Fleet {
    let mut membership = Membership::new(RUN_TIME, RUN_TIME);
    let ids = (0..scenario.reporters.len()).map(|idx| InstanceId::from(format!("i{idx}").as_str()));
    let entries = ids.map(|id| ListEntry {
        id,
        domain: "d".into(),
        is_leaving: false,
    });
    membership.on_list(Time::ZERO, &entries.collect::<Vec<_>>());
    let members = membership.members().iter();
    let members = members.map(|(id, member)| (id.clone(), FleetMember::new(member, None)));
    Fleet {
        members: members.collect(),
        ..Fleet::default()
    }
}

/// Starts an instance whose answers that bring rows take what `transfers` say, and which sees the store go back if
/// the scenario says so.
fn start(
    name: &str,
    started: Instant,
    clock: Clock,
    scenario: &Arc<Scenario>,
    mut transfers: Vec<Transfer>,
) -> Instance {
    transfers.reverse();
    let transfers = Arc::new(Mutex::new(transfers));
    let served = scenario.clone();
    let prompts = Arc::new(Mutex::new(0));
    let counted = prompts.clone();
    let platform = Platform::spawn(move || {
        let (served, transfers, counted) = (served.clone(), transfers.clone(), counted.clone());
        move |call, progress| {
            *counted.lock().unwrap() += usize::from(is_prompt(&call));
            answer(started, served.clone(), transfers.clone(), call, progress)
        }
    });
    let (engine, mut events) = mpsc::unbounded_channel();
    let (_, fleet) = watch::channel(Arc::new(fleet_of(scenario)));
    let mut own = options(clock, platform, fleet);
    own.own_entry.instance = name.into();
    let options = FollowerOptions {
        apply: Duration::from_millis(2_500),
        read_timing: ReadTiming::within(CONTACT),
        ..own
    };
    let (messages, mut commands, _) = start_follower(options, engine, compose);
    let (told_tx, told) = watch::channel(Told::default());
    tokio::spawn(async move {
        while let Some(command) = commands.recv().await {
            told_tx.send_modify(|told| match command {
                PeerCommand::SetTablePositions {
                    positions,
                    confirmed_at,
                    change,
                    reads,
                } => {
                    told.change = change;
                    told.reads = reads;
                    told.positions = positions;
                    told.confirmed_at = confirmed_at;
                }
                PeerCommand::SetDepartures(departures) => told.departures = departures,
                PeerCommand::SetRetained(retained) => told.retained = retained,
                _ => {}
            });
        }
    });
    let (config_tx, in_force) = watch::channel(Arc::default());
    let (count_tx, activations) = watch::channel(0);
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            match event {
                Event::ConfigActivated { config, .. } => {
                    config_tx.send_replace(config);
                    count_tx.send_modify(|count| *count += 1);
                }
                Event::TargetsLeft(targets) => config_tx
                    .send_modify(|config| Arc::make_mut(config).drains.targets.extend(targets)),
                Event::EntriesLeft(mut rows, left) => config_tx.send_modify(|config| {
                    let told = config.drains.targets.iter();
                    let told = told.filter(|id| !left.iter().any(|(_, one)| one == *id));
                    let drained = &mut Arc::make_mut(&mut rows).drains.targets;
                    drained.extend(told.cloned());
                    *config = rows;
                }),
                _ => {}
            }
        }
    });
    Instance {
        messages,
        told,
        in_force,
        activations,
        prompts,
    }
}

/// Sends the heartbeats of an instance that has what `source` reports, to `receiver`, whose own ones report `known`.
async fn report(
    started: Instant,
    scenario: Arc<Scenario>,
    (idx, from): (usize, InstanceId),
    source: watch::Receiver<Told>,
    known: watch::Receiver<Told>,
    receiver: mpsc::Sender<FollowerMessage>,
) {
    let reporter = scenario.reporters[idx];
    let mut rng = Pcg32::seed_from_u64(scenario.seed ^ idx as u64);
    let mut next = started + reporter.phase;
    let mut number = 0;
    while started.elapsed() < reporter.end {
        sleep_until(next).await;
        next += HEARTBEAT_INTERVAL;
        if rng.random_range(0.0..1.0) < reporter.loss {
            continue;
        }
        number += 1;
        let messages = heartbeat(&from, number, &source.borrow(), &known.borrow());
        for message in messages {
            if receiver.send(message).await.is_err() {
                return;
            }
        }
    }
}

/// Returns what a heartbeat brings to the follower of its receiver.
fn heartbeat(from: &InstanceId, number: u64, source: &Told, known: &Told) -> Vec<FollowerMessage> {
    let from = from.clone();
    let is_failing = known.reads.is_some_and(|reads| reads.is_failing);
    let position = known.positions.get(1).copied().unwrap_or_default();
    let known = if is_failing { Position::ZERO } else { position };
    let departures = lacking(&source.departures, known, number);
    let positions = FollowerMessage::PeerPositions {
        from: from.clone(),
        positions: source.positions.clone(),
        confirmed_at: source.confirmed_at,
        change: source.change,
        reads: source.reads,
    };
    let entries = retained_in_turns(&source.retained, number);
    let retained = (!entries.is_empty()).then_some(FollowerMessage::PeerRetained {
        from: from.clone(),
        entries,
    });
    let departures =
        (!departures.is_empty()).then_some(FollowerMessage::PeerDepartures { from, departures });
    [positions]
        .into_iter()
        .chain(departures)
        .chain(retained)
        .collect()
}

/// Which targets get requests at a time.
#[derive(Debug, Clone)]
struct Sample {
    at: Duration,
    in_service: Vec<bool>,
}

impl Sample {
    fn of(scenario: &Scenario, at: Duration, config: &Config) -> Self {
        let last = scenario.writes.iter().map(|write| write.target).max();
        let targets = 0..=last.unwrap_or(0);
        let in_service =
            targets.map(|target| config.is_target_in_service(&SERVICE.into(), &target_id(target)));
        Self {
            at,
            in_service: in_service.collect(),
        }
    }
}

fn run(scenario: &Scenario) -> Vec<Sample> {
    run_paused(play(Arc::new(scenario.clone()))).0
}

/// Returns the samples of a run, and how many configurations the instance has activated.
async fn play(scenario: Arc<Scenario>) -> (Vec<Sample>, usize) {
    // The others have read what the store had before it went back.
    let others = Scenario {
        goes_back: None,
        refuses: false,
        ..(*scenario).clone()
    };
    play_beside(scenario, Arc::new(others)).await
}

/// Does the same next to others whose reads see what `others` says.
async fn play_beside(scenario: Arc<Scenario>, others: Arc<Scenario>) -> (Vec<Sample>, usize) {
    let started = Instant::now();
    let clock = Clock::start();
    let own = start("own", started, clock, &scenario, scenario.transfers.clone());
    let other = start("other", started, clock, &others, Vec::new());
    for idx in 0..scenario.reporters.len() {
        let (source, known) = (other.told.clone(), own.told.clone());
        let to = own.messages.clone();
        let from = (idx, format!("i{idx}").as_str().into());
        let reported = report(started, scenario.clone(), from, source, known, to);
        tokio::spawn(reported);
        let (source, known) = (own.told.clone(), other.told.clone());
        let to = other.messages.clone();
        let from = (idx, "own".into());
        let reported = report(started, scenario.clone(), from, source, known, to);
        tokio::spawn(reported);
    }
    let mut samples = Vec::new();
    while started.elapsed() < RUN_TIME {
        sleep(SAMPLE_INTERVAL).await;
        let config = own.in_force.borrow().clone();
        samples.push(Sample::of(&scenario, started.elapsed(), &config));
    }
    let activations = *own.activations.borrow();
    (samples, activations)
}

/// Returns the targets, and when, that were in service later than the bound.
fn late(scenario: &Scenario) -> Vec<(Duration, usize)> {
    late_in(scenario, &run(scenario))
}

fn late_in(scenario: &Scenario, samples: &[Sample]) -> Vec<(Duration, usize)> {
    let used = samples.iter().flat_map(|sample| {
        let targets = sample.in_service.iter().enumerate();
        let used = targets.filter(|(_, is_in_service)| **is_in_service);
        used.map(|(target, _)| (sample.at, target))
    });
    used.filter(|(at, target)| scenario.must_be_out(*at, *target))
        .collect()
}

/// Guards against DRAIN: an instance whose own reads of the targets' rows came late or never sent requests to
/// targets that had left, although others knew it in time.
#[test]
fn no_target_is_used_late_by_an_instance_that_hears_others() {
    let late: BTreeMap<u64, _> = SEEDS
        .map(|seed| (seed, late(&Scenario::draw(seed))))
        .filter(|(_, late)| !late.is_empty())
        .collect();
    let samples: usize = late.values().map(Vec::len).sum();
    let first = late.iter().next().map(|(seed, late)| (seed, &late[0]));
    assert!(
        late.is_empty(),
        "{} of 300 seeds, {samples} samples, first {first:?}",
        late.len()
    );
}

/// Guards against refusals for nothing: only a target that has left once is ever out of service.
#[test]
fn target_that_never_left_stays_in_service() {
    let first = Duration::from_secs(1);
    for seed in FEWER_SEEDS {
        let scenario = Scenario::draw(seed);
        for sample in run(&scenario).iter().filter(|one| one.at > first) {
            let written = scenario.written(sample.at);
            for (target, is_in_service) in sample.in_service.iter().enumerate() {
                let mut rows = written.iter().filter(|write| write.target == target);
                assert!(
                    *is_in_service || rows.any(|write| write.row != Row::Ready),
                    "seed {seed}, target {target}, {sample:?}"
                );
            }
        }
    }
}

/// Guards against targets that stay out: an instance that reads again has what the store says, whatever it received
/// meanwhile.
#[test]
fn own_rows_decide_once_they_have_come() {
    for seed in FEWER_SEEDS {
        let mut scenario = Scenario::draw(seed);
        scenario.transfers.truncate(2);
        scenario.writes.retain(|write| write.at < RUN_TIME / 2);
        let samples = run(&scenario);
        let last = samples.last().unwrap();
        for (target, is_in_service) in last.in_service.iter().enumerate() {
            let row = scenario.row_at(last.at, target);
            assert_eq!(
                *is_in_service,
                row == Row::Ready,
                "seed {seed}, target {target}"
            );
        }
    }
}

/// Returns the times at which the first target was out of service, from the first second on.
fn out_times(scenario: &Scenario) -> Vec<Duration> {
    let samples = run(scenario).into_iter();
    let out = samples.filter(|one| one.at > Duration::from_secs(1) && !one.in_service[0]);
    out.map(|one| one.at).collect()
}

/// Guards against DRAIN, and against a target that stays out: it left and came back while an answer was arriving, and
/// is back with the rows that say so.
#[test]
fn target_that_came_back_is_in_service_again() {
    let scenario = Scenario {
        transfers: vec![Transfer::Takes(Duration::from_secs(4))],
        ..Scenario::calm(&[(5_000, Row::Gone), (7_000, Row::Ready)])
    };
    let out = out_times(&scenario);
    let (first, last) = (out[0], out[out.len() - 1]);
    assert!(
        first > Duration::from_secs(5) && first < Duration::from_secs(6),
        "{first:?}"
    );
    assert!(last < Duration::from_millis(9_500), "{last:?}");
}

/// Guards against targets that are out for nothing: a report about one that is unknown, or of a position that the own rows
/// have reached, says nothing.
#[test]
fn old_and_unknown_departures_say_nothing() {
    run_paused(async {
        let scenario = Arc::new(Scenario::calm(&[(500, Row::Gone), (600, Row::Ready)]));
        let own = start("own", Instant::now(), Clock::start(), &scenario, Vec::new());
        sleep(Duration::from_secs(1)).await;
        let before = own.in_force.borrow().clone();
        let left = [(0, 13), (1, 12), (7, 1_000)];
        for _ in 0..2 {
            let departures = left.map(|(target, position)| Departure {
                target: target_id(target),
                position: Position::from(position),
            });
            let message = FollowerMessage::PeerDepartures {
                from: "i0".into(),
                departures: departures.into(),
            };
            own.messages.send(message).await.unwrap();
            sleep(Duration::from_millis(100)).await;
        }
        let after = own.in_force.borrow().clone();
        assert!(Arc::ptr_eq(&before, &after), "{before:?} {after:?}");
    });
}

/// Guards against targets that stay out: others go on telling of a departure that the store has lost.
#[test]
fn store_that_went_back_decides() {
    let from = Duration::from_millis(5_500);
    let scenario = Scenario {
        transfers: vec![Transfer::Lost, Transfer::Lost],
        goes_back: Some((from, Duration::from_millis(4_900))),
        ..Scenario::calm(&[(5_000, Row::Gone)])
    };
    let out = out_times(&scenario);
    assert!(!out.is_empty());
    // The read that was under way at the report, and the next one.
    let last = out[out.len() - 1];
    assert!(last < from + CONTACT * 3 / 2, "{last:?}");
}

/// Guards against living targets that one instance's view takes out everywhere: after an outage of the store, this
/// instance keeps a row that expired in it, and another one, whose poll was silent for too short a time to know of the
/// outage, reports that the target has left.
#[test]
fn living_target_stays_in_service_after_an_outage_that_another_instance_missed() {
    assert_in_service_after_outage(1_500, 600);
}

/// Guards against the same where the row expires after the outage: the other one, whose own poll was silent, took the
/// first answer after it for a sign that there was none.
#[rstest]
#[case::at_once(2_100)]
#[case::soon(2_300)]
#[case::later(2_800)]
fn living_target_stays_in_service_as_an_outage_is_over(#[case] gone_ms: u64) {
    assert_in_service_after_outage(gone_ms, 100);
}

/// Asserts that a target stays in service whose row is gone `gone_ms` after the start of an outage of two seconds.
fn assert_in_service_after_outage(gone_ms: u64, transfer_ms: u64) {
    let ms = Duration::from_millis;
    let mut out = BTreeMap::new();
    for from in (3_000..6_000).step_by(100) {
        let unheard = Scenario {
            transfers: vec![Transfer::Takes(ms(transfer_ms))],
            outage: Some(ms(from)..ms(from + 2_000)),
            refuses: true,
            reporters: Vec::new(),
            ..Scenario::calm(&[(from + gone_ms, Row::Gone), (from + 3_500, Row::Ready)])
        };
        if !out_times(&unheard).is_empty() {
            continue;
        }
        let heard = Scenario {
            reporters: Scenario::calm(&[]).reporters,
            ..unheard
        };
        out.insert(from, out_times(&heard).len());
    }
    let worst = out.values().max();
    let late = out.values().filter(|samples| **samples > 0).count();
    assert_eq!(
        late,
        0,
        "{late} of {} outages, {worst:?} samples",
        out.len()
    );
}

/// Guards against DRAIN: the store turns this instance away, so a sound one, whose polls wait longer for a change than a
/// read counts, believed in an outage, kept the entry that was removed, and reported the departure only after that.
#[rstest]
#[case::as_that_begins(1_100..5_000)]
#[case::while_that_lasts(5_000..9_000)]
fn departure_is_told_in_time_to_an_instance_that_is_turned_away(#[case] removed_ms: Range<u64>) {
    let mut out_after = BTreeMap::new();
    for removed_ms in removed_ms.step_by(100) {
        let sound = Scenario::calm(&[(removed_ms, Row::Gone)]);
        let turned_away = Scenario {
            outage: Some(Duration::from_secs(1)..RUN_TIME),
            refuses: true,
            ..sound.clone()
        };
        let played = play_beside(Arc::new(turned_away), Arc::new(sound.clone()));
        let samples = run_paused(played).0;
        let late = late_in(&sound, &samples);
        if let Some((at, _)) = late.last() {
            out_after.insert(removed_ms, *at - Duration::from_millis(removed_ms));
        }
    }
    let worst = out_after.values().max();
    assert!(
        out_after.is_empty(),
        "{} late, out after {worst:?} at worst, {:?} allowed: {out_after:?}",
        out_after.len(),
        Scenario::calm(&[]).drain
    );
}

/// Guards against DRAIN: the same where the store refuses open polls, so that a sound instance, whose own poll rests, learns
/// of it at any time since its last read. What it reads as removed before it has asked itself may be due to an outage.
#[rstest]
#[case::from_the_start(100)]
// A heartbeat's interval later, and the time that an answer takes at most.
#[case::once_asked(700)]
fn departure_is_told_in_time_whenever_an_instance_is_turned_away(#[case] first_ms: u64) {
    let mut out_after = BTreeMap::new();
    let mut removals = 0;
    for from_ms in (2_100..4_100).step_by(200) {
        for removed_ms in (from_ms + first_ms..from_ms + 3_100).step_by(100) {
            let sound = Scenario::calm(&[(removed_ms, Row::Gone)]);
            let turned_away = sound.turned_away_from(Duration::from_millis(from_ms));
            let played = play_beside(Arc::new(turned_away), Arc::new(sound.clone()));
            let samples = run_paused(played).0;
            removals += 1;
            let late = late_in(&sound, &samples);
            if let Some((at, _)) = late.last() {
                let after = *at - Duration::from_millis(removed_ms);
                out_after.insert((from_ms, removed_ms), after);
            }
        }
    }
    let worst = out_after.values().max();
    assert!(
        out_after.is_empty(),
        "{} of {removals} late, out after {worst:?} at worst: {out_after:?}",
        out_after.len(),
    );
}

/// Guards against living targets that are out for nothing: others went on telling of an entry that had expired and is
/// back, of the same life at the same address, to an instance whose own rows had it all the time.
#[test]
fn departure_of_an_entry_that_is_back_is_not_told() {
    let scenario = Scenario {
        transfers: vec![Transfer::Lost; 8],
        ..Scenario::calm(&[(5_320, Row::Gone), (5_550, Row::Ready)])
    };
    assert_eq!(out_times(&scenario), []);
}

/// Guards against DRAIN: an entry that is back under the name of a target that left says nothing of the life that an
/// instance with older rows still has.
#[test]
fn departure_of_an_earlier_life_is_told() {
    let scenario = Scenario {
        transfers: vec![Transfer::Lost; 8],
        ..Scenario::calm(&[
            (5_300, Row::Gone),
            (5_320, Row::Restarted),
            (5_340, Row::Gone),
            (5_550, Row::Restarted),
        ])
    };
    let out = out_times(&scenario);
    assert!(
        out.first()
            .is_some_and(|at| *at < Duration::from_millis(6_200)),
        "{out:?}"
    );
}

/// Guards against configurations that are copied and gone through for each target that leaves, once as others report it and
/// once more as the own rows confirm it.
#[test]
fn targets_that_leave_activate_no_configuration() {
    let activations = SEEDS.map(|seed| {
        let mut scenario = Scenario::draw(seed);
        let mut gone = BTreeSet::new();
        scenario.writes.retain(|write| {
            let is_back =
                gone.contains(&write.target) || (write.row == Row::Ready && !write.at.is_zero());
            if write.row == Row::Gone {
                gone.insert(write.target);
            }
            !is_back
        });
        run_paused(play(Arc::new(scenario))).1
    });
    let total: usize = activations.sum();
    assert_eq!(total, SEEDS.count(), "one for each start");
}

/// Guards against calls that cost without need: all instances of a fleet, whose polls began at the same time, read at once
/// since one of them was turned away.
#[rstest]
#[case::early_in_their_polls(2_300)]
#[case::in_the_middle(3_100)]
#[case::late_in_their_polls(3_700)]
fn few_instances_read_at_once_where_one_is_turned_away(#[case] from_ms: u64) {
    const SOUND: usize = 80;
    let phase = |idx: usize| HEARTBEAT_INTERVAL * idx as u32 / (SOUND as u32 + 1);
    let reporters = (0..=SOUND).map(|idx| Reporter {
        phase: phase(idx),
        loss: 0.0,
        end: RUN_TIME,
    });
    let sound = Scenario {
        reporters: reporters.collect(),
        ..Scenario::calm(&[])
    };
    let turned_away = sound.turned_away_from(Duration::from_millis(from_ms));
    let mut fleet = vec![sound; SOUND];
    fleet.push(turned_away);
    let mut prompts = run_paused(count_prompts(fleet));
    prompts.truncate(SOUND);
    assert!(prompts.iter().all(|count| *count <= 1), "{prompts:?}");
    let total: usize = prompts.iter().sum();
    assert!(total <= SOUND / 2, "{total} of {SOUND}");
}

/// Plays a fleet of instances that send heartbeats to each other, and returns how many reads of each one waited for
/// nothing.
async fn count_prompts(fleet: Vec<Scenario>) -> Vec<usize> {
    let (started, clock) = (Instant::now(), Clock::start());
    let fleet = fleet.into_iter().map(Arc::new).enumerate();
    let fleet: Vec<_> = fleet
        .map(|(idx, scenario)| {
            let name = format!("i{idx}");
            let instance = start(&name, started, clock, &scenario, Vec::new());
            (InstanceId::from(name.as_str()), scenario, instance)
        })
        .collect();
    for (idx, (name, scenario, source)) in fleet.iter().enumerate() {
        for (_, _, receiver) in fleet.iter().filter(|(other, ..)| other != name) {
            tokio::spawn(report(
                started,
                scenario.clone(),
                (idx, name.clone()),
                source.told.clone(),
                receiver.told.clone(),
                receiver.messages.clone(),
            ));
        }
    }
    sleep(Duration::from_secs(10)).await;
    let prompts = fleet.iter().map(|(.., one)| *one.prompts.lock().unwrap());
    prompts.collect()
}

/// Guards against outages that are none: where most instances were turned away, these took the operators' table for
/// unreadable while it rested, although they learned that others read the store.
#[rstest]
#[case::early_in_their_polls(2_300, 0)]
#[case::in_the_middle(3_100, 0)]
// Nobody has read anything for 1.7 s then.
#[case::late_in_their_polls(3_700, 7)]
fn no_outage_of_the_operators_table_while_others_read(
    #[case] from_ms: u64,
    #[case] max_of_targets: usize,
) {
    const INSTANCES: usize = 10;
    const SOUND: usize = 3;
    let reporters = (0..INSTANCES).map(|idx| Reporter {
        phase: HEARTBEAT_INTERVAL * idx as u32 / INSTANCES as u32,
        loss: 0.0,
        end: RUN_TIME,
    });
    let sound = Scenario {
        reporters: reporters.collect(),
        ..Scenario::calm(&[])
    };
    let turned_away = sound.turned_away_from(Duration::from_millis(from_ms));
    let mut fleet = vec![sound; SOUND];
    fleet.resize(INSTANCES, turned_away);
    let lines = Lines::default();
    let logs = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(move || logs.clone())
        .finish();
    with_default(subscriber, || run_paused(count_prompts(fleet)));
    let begun = lines.outages(false);
    let ended = lines.outages(true);
    let [of_operators, of_targets] = begun;
    assert!(
        of_operators <= of_targets && of_targets <= max_of_targets,
        "{of_operators} of the operators' table, {of_targets} of the targets'"
    );
    assert_eq!(ended, begun);
}

/// Collects the lines that a test's instances write.
#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    /// Returns how many outages of each table began, or are over.
    fn outages(&self, is_over: bool) -> [usize; 2] {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        [OPERATOR_TABLE, TARGETS_TABLE].map(|table| {
            let begun = format!("event=\"table_outage\" table=\"{table}\" is_over={is_over}");
            text.matches(&begun).count()
        })
    }
}

impl Write for Lines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(text)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

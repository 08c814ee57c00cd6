//! How long an instance may be without updates of the followed tables, over a modelled network with drawn
//! silences.

#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;

use std::{
    collections::BTreeMap,
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Config, Position, Time};
use coord::TableSnapshot;
use daemon::{
    fleet::Fleet,
    follower::{
        FollowerOptions, Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::PeerCommand,
    table_reads::ReadTiming,
};
use entry::{
    message::Event,
    view::{Clock, View},
};
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

const SEEDS: std::ops::Range<u64> = 0..300;
const RUN_TIME: Duration = Duration::from_secs(25);
const OPERATOR_TABLE: &str = "op";
const TARGET_TABLE: &str = "servers";
const ROW: &str = "config";

/// Describes a deployment's bounds and what happens to its store.
#[derive(Debug, Clone)]
struct Scenario {
    /// Time without disruption after which an instance counts as in touch.
    contact: Duration,
    /// Time after its acknowledgement in which a version is in force on instances in touch.
    apply: Duration,
    /// One-way time to the store.
    way: Duration,
    /// Times in which connections go silent permanently: those open at the start, and those that are
    /// opened before the end.
    silences: Vec<(Duration, Duration)>,
    /// Times at which versions are acknowledged.
    changes: Vec<Duration>,
    /// Time at which the only target leaves its table.
    removal: Option<Duration>,
    /// Whether the task that informs the other instances takes commands.
    tells_others: bool,
    /// Time that the operators' rows take over the instance's link if nothing else uses it.
    transfer: Duration,
}

impl Scenario {
    fn draw(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: std::ops::Range<u64>| Duration::from_millis(rng.random_range(range));
        let contact = ms(2_000..6_000);
        let apply = ms(2_000..4_000);
        let way = ms(1..56);
        let silences = (0..ms(1..4).as_millis())
            .map(|_| {
                let start = ms(1_000..14_000);
                let is_of_open_ones = ms(0..2).is_zero();
                let duration = if is_of_open_ones {
                    Duration::ZERO
                } else {
                    ms(1..7_000)
                };
                (start, start + duration)
            })
            .collect();
        let mut changes: Vec<Duration> =
            (0..ms(2..9).as_millis()).map(|_| ms(500..18_000)).collect();
        changes.sort();
        Self {
            contact,
            apply,
            way,
            silences,
            changes,
            removal: None,
            tells_others: true,
            transfer: Duration::ZERO,
        }
    }

    /// Returns whether no silence touches the time of `contact` before `at`.
    fn is_in_touch(&self, at: Duration) -> bool {
        self.silences
            .iter()
            .all(|(start, end)| at < *start || at > *end + self.contact)
    }

    /// Returns the version whose effect a request sent at `at` must show.
    fn required_version(&self, at: Duration) -> usize {
        let is_due = |change: &&Duration| at > **change + self.apply;
        self.changes.iter().filter(is_due).count()
    }
}

/// A store and the connections to it.
#[derive(Debug)]
struct Network {
    started: Instant,
    scenario: Scenario,
    /// The instance's link: each transfer over it holds a clone.
    link: Arc<()>,
    /// Maximum number of transfers at the same time.
    most_transfers: AtomicUsize,
}

impl Network {
    fn new(scenario: &Scenario) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            scenario: scenario.clone(),
            link: Arc::default(),
            most_transfers: AtomicUsize::new(0),
        })
    }
}

/// Times at which the idle connections of one pool were opened.
type IdleConnections = Arc<Mutex<Vec<Instant>>>;

impl Network {
    /// Executes a call over a kept connection, if there is one.
    async fn execute(
        self: Arc<Self>,
        idle: IdleConnections,
        call: Call,
        progress: Progress,
    ) -> Result<Reply, PlatformError> {
        let kept = idle.lock().unwrap().pop();
        let opened = kept.unwrap_or_else(Instant::now);
        if kept.is_none() {
            sleep(self.scenario.way * 2).await;
        }
        self.cross(opened).await;
        let reply = match &call {
            Call::Snapshot { table } => {
                Reply::Changes(self.rows(table, 0), Position::from(self.position()))
            }
            Call::Changes {
                table,
                after,
                wait_ms,
            } => {
                self.wait_for_change(table, after.version, Duration::from_millis(*wait_ms))
                    .await;
                Reply::Changes(
                    self.rows(table, after.version),
                    Position::from(self.position()),
                )
            }
            _ => return Err(PlatformError::Unavailable),
        };
        self.cross(opened).await;
        if let Reply::Changes(rows, _) = &reply
            && rows.iter().any(|change| change.row == ROW)
        {
            self.transfer(&progress).await;
        }
        idle.lock().unwrap().push(opened);
        Ok(reply)
    }

    /// Takes the time of a transfer of the operators' rows; all transfers share the link.
    async fn transfer(&self, progress: &Progress) {
        const STEP: Duration = Duration::from_millis(10);
        let share = self.link.clone();
        let mut left = self.scenario.transfer;
        while !left.is_zero() {
            sleep(STEP).await;
            progress.add(1);
            let transfers = Arc::strong_count(&share) - 1;
            self.most_transfers.fetch_max(transfers, Ordering::Relaxed);
            left = left.saturating_sub(STEP / transfers as u32);
        }
    }

    /// Takes the time of one way; what crosses a silent connection never arrives.
    async fn cross(&self, opened: Instant) {
        sleep(self.scenario.way).await;
        let (opened, now) = (opened - self.started, self.started.elapsed());
        let mut silences = self.scenario.silences.iter();
        if silences.any(|(start, end)| now >= *start && (opened < *start || opened < *end)) {
            pending::<()>().await;
        }
    }

    async fn wait_for_change(&self, table: &str, after: u64, wait: Duration) {
        let deadline = Instant::now() + wait;
        let times = self.change_times(table).into_iter();
        let next = times.map(position_at).find(|position| *position > after);
        let next = next.map_or(deadline, |position| {
            self.started + Duration::from_micros(position)
        });
        sleep_until(next.min(deadline)).await;
    }

    /// Returns when the rows of a table change.
    fn change_times(&self, table: &str) -> Vec<Duration> {
        match table {
            OPERATOR_TABLE => self.scenario.changes.clone(),
            _ => self.scenario.removal.into_iter().collect(),
        }
    }

    fn position(&self) -> u64 {
        position_at(self.started.elapsed())
    }

    fn rows(&self, table: &str, after: u64) -> Vec<Change> {
        let now = self.started.elapsed();
        let times = self.change_times(table);
        let last = times.iter().rev().find(|at| **at <= now);
        let at = last.map_or(1, |at| position_at(*at));
        let version = times.iter().filter(|at| **at <= now).count();
        let change = match table {
            OPERATOR_TABLE => Change {
                row: ROW.to_owned(),
                value: Some(version.to_string()),
                at: Position::from(at),
            },
            _ => Change {
                row: "t1".to_owned(),
                value: last.is_none().then(|| "up".to_owned()),
                at: Position::from(at),
            },
        };
        let is_known = change.at <= Position::from(after) || (after == 0 && change.value.is_none());
        (!is_known).then_some(change).into_iter().collect()
    }
}

/// Returns the store's position at a time; it rises steadily, since others write as well.
fn position_at(at: Duration) -> u64 {
    at.as_micros() as u64 + 1
}

/// Describes what came into force.
#[derive(Debug, Clone, Copy)]
struct InForce {
    at: Duration,
    version: usize,
    has_target: bool,
}

type History = Arc<Mutex<Vec<InForce>>>;

/// Describes what was reported to other instances.
#[derive(Debug, Clone)]
struct Told {
    at: Duration,
    /// Positions that heartbeats report, in the tables' order.
    reported: Vec<Position>,
    /// Positions of the tables that were handed out at that time.
    handed_out: Vec<Position>,
}

type Reports = Arc<Mutex<Vec<Told>>>;

/// Collects what a run shows.
#[derive(Debug, Clone, Default)]
struct Observed {
    history: History,
    reports: Reports,
    /// Times at which something was reported to the engine, with the time at which the version in force was last
    /// known to be the latest.
    confirmations: Arc<Mutex<Vec<(Duration, Duration)>>>,
}

async fn play(scenario: Scenario) -> Vec<InForce> {
    let network = Network::new(&scenario);
    let observed = observe(&network).await;
    observed.history.lock().unwrap().clone()
}

/// Lets an instance follow the tables over `network` for [`RUN_TIME`].
async fn observe(network: &Arc<Network>) -> Observed {
    let observed = Observed::default();
    let _ = tokio::time::timeout(RUN_TIME, follow(network, &observed)).await;
    observed
}

async fn follow(network: &Arc<Network>, observed: &Observed) {
    let served = network.clone();
    let platform = Platform::spawn(move || {
        let (served, idle) = (served.clone(), IdleConnections::default());
        move |call, progress| served.clone().execute(idle.clone(), call, progress)
    });
    let (started, history) = (network.started, observed.history.clone());
    let compose = move |replicas: &[&coord::Replica]| {
        let version = replicas[0]
            .rows()
            .find_map(|(_, row)| row.value.parse().ok());
        let version = version.unwrap_or(0);
        history.lock().unwrap().push(InForce {
            at: started.elapsed(),
            version,
            has_target: replicas[1].rows().next().is_some(),
        });
        Some(ComposedConfig {
            version: version as u64,
            is_latest: true,
            config: Config::default(),
        })
    };
    let (_fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let (engine, mut engine_rx) = mpsc::unbounded_channel();
    let (peers, mut peers_rx) = mpsc::channel(4);
    let (view, _view_rx) = watch::channel(Arc::new(View::default()));
    let (snapshots, snapshots_rx) = watch::channel(Arc::<Vec<TableSnapshot>>::default());
    let (_tx, rx) = mpsc::channel(1);
    let follower = TableFollower::new(
        FollowerOptions {
            confirm_limit: Duration::from_secs(5),
            apply: network.scenario.apply,
            read_timing: ReadTiming::within(network.scenario.contact),
            ..options(Clock::start(), platform, fleet)
        },
        Outputs {
            engine,
            peers,
            view,
        },
        FollowedTables {
            orders: Vec::new(),
            tables: vec![OPERATOR_TABLE.to_owned(), TARGET_TABLE.to_owned()],
            compose,
        },
        snapshots,
    );
    let confirmations = observed.confirmations.clone();
    tokio::spawn(async move {
        while let Some(event) = engine_rx.recv().await {
            if let Event::ConfigFreshness {
                confirmed_at: Some(at),
                ..
            } = event
            {
                let confirmation = (started.elapsed(), at - Time::ZERO);
                confirmations.lock().unwrap().push(confirmation);
            }
        }
    });
    let tells_others = network.scenario.tells_others;
    let reports = observed.reports.clone();
    tokio::spawn(async move {
        if !tells_others {
            pending::<()>().await;
        }
        while let Some(command) = peers_rx.recv().await {
            let PeerCommand::SetTablePositions { positions, .. } = command else {
                continue;
            };
            let handed_out = snapshots_rx.borrow();
            reports.lock().unwrap().push(Told {
                at: started.elapsed(),
                reported: positions,
                handed_out: handed_out.iter().map(|table| table.position).collect(),
            });
        }
    });
    follower.run(rx).await;
}

/// Returns when an instance in touch decided by a version that was too old, and for how long.
fn late(scenario: &Scenario, history: &[InForce]) -> Option<(Duration, Duration)> {
    const STEP: Duration = Duration::from_millis(10);
    let steps = (RUN_TIME.as_millis() / STEP.as_millis()) as u32;
    let mut late = (1..steps).map(|idx| STEP * idx).filter(|at| {
        let in_force = history.iter().rev().find(|in_force| in_force.at <= *at);
        let version = in_force.map_or(0, |in_force| in_force.version);
        scenario.is_in_touch(*at) && version < scenario.required_version(*at)
    });
    let first = late.next()?;
    let last = late.next_back().unwrap_or(first);
    Some((first, last - first + STEP))
}

/// Returns what is reported to other instances.
fn run_reports(scenario: &Scenario) -> Vec<Told> {
    block_on(async {
        let network = Network::new(scenario);
        let observed = observe(&network).await;
        observed.reports.lock().unwrap().clone()
    })
}

fn run(scenario: &Scenario) -> Vec<InForce> {
    block_on(play(scenario.clone()))
}

fn block_on<F>(run: F) -> F::Output
where
    F: Future,
{
    run_paused(run)
}

/// CONFIG: a version was not in force `configApplyS` after its acknowledgement on an instance that had
/// been in touch with a store whose connections had gone silent before.
#[test]
fn change_drawn_silences_in_force_in_time() {
    let late: BTreeMap<u64, _> = SEEDS
        .filter_map(|seed| {
            let scenario = Scenario::draw(seed);
            late(&scenario, &run(&scenario)).map(|late| (seed, (scenario, late)))
        })
        .collect();
    let first = late.iter().next();
    assert!(late.is_empty(), "{} seeds, first {first:#?}", late.len());
}

/// As above, for a silence that begins right after a poll, by its length: the next connection may fall
/// silent as well.
#[rstest]
#[case::cascade_loop(3_000, 2_500)]
#[case::sangh_clearance(3_000, 2_000)]
#[case::presa_verde(4_000, 2_500)]
fn change_any_length_of_silence_in_force_in_time(#[case] contact_ms: u64, #[case] apply_ms: u64) {
    let late: BTreeMap<u64, _> = (0..9_000)
        .step_by(100)
        .filter_map(|length_ms| {
            let start = Duration::from_millis(5_200);
            let scenario = Scenario {
                contact: Duration::from_millis(contact_ms),
                apply: Duration::from_millis(apply_ms),
                way: Duration::from_millis(2),
                silences: vec![(start, start + Duration::from_millis(length_ms))],
                changes: vec![Duration::from_millis(5_000), Duration::from_millis(5_300)],
                removal: None,
                tells_others: true,
                transfer: Duration::ZERO,
            };
            late(&scenario, &run(&scenario)).map(|late| (length_ms, late))
        })
        .collect();
    assert!(late.is_empty(), "by length in ms: {late:?}");
}

/// DRAIN: a target that left while open connections were silent was kept beyond `drainS` and
/// `contactS`, as if the store had been down and the target might register again.
#[rstest]
#[case::cascade_loop(3_000, 2_500)]
#[case::sangh_clearance(3_000, 2_000)]
#[case::presa_verde(4_000, 2_500)]
fn removed_target_goes_in_time_after_silence(#[case] contact_ms: u64, #[case] drain_ms: u64) {
    let late: BTreeMap<u64, _> = (4_000..8_000)
        .step_by(50)
        .filter_map(|silence_ms| {
            let silence = Duration::from_millis(silence_ms);
            let removal = Duration::from_millis(5_300);
            let contact = Duration::from_millis(contact_ms);
            let scenario = Scenario {
                contact,
                apply: contact,
                way: Duration::from_millis(2),
                silences: vec![(silence, silence)],
                changes: vec![Duration::from_millis(500)],
                removal: Some(removal),
                tells_others: true,
                transfer: Duration::ZERO,
            };
            let history = run(&scenario);
            let gone = history
                .iter()
                .find(|in_force| in_force.at > removal && !in_force.has_target);
            let gone_at = gone.map_or(RUN_TIME, |in_force| in_force.at);
            let bound = (removal + Duration::from_millis(drain_ms)).max(silence + contact);
            (gone_at > bound).then(|| (silence_ms, gone_at - bound))
        })
        .collect();
    assert!(late.is_empty(), "by start of the silence in ms: {late:?}");
}

/// CONFIG: a version was not in force in time because the task that informs the other instances took no
/// commands, as while its socket can't send.
#[test]
fn change_in_force_in_time_though_others_are_not_told() {
    let scenario = Scenario {
        contact: Duration::from_secs(3),
        apply: Duration::from_millis(2_500),
        way: Duration::from_millis(2),
        changes: (1..20).map(Duration::from_secs).collect(),
        tells_others: false,
        ..undisturbed(Duration::ZERO, &[])
    };
    assert_eq!(late(&scenario, &run(&scenario)), None);
}

/// Guards against CONFIG: the position of a table rose with the writes to other tables, and each rise was
/// reported as an update, so that the others fetched a table in which nothing had changed.
#[test]
fn reported_positions_rise_with_changes_alone() {
    let change = Duration::from_millis(9_500);
    let scenario = Scenario {
        way: Duration::from_millis(20),
        changes: vec![change],
        ..undisturbed(Duration::ZERO, &[])
    };
    let reports = run_reports(&scenario);
    let mut complete = reports
        .iter()
        .filter(|told| !told.reported.contains(&Position::ZERO));
    let first = complete.clone().next().unwrap().reported.clone();
    let later: Vec<_> = complete.clone().filter(|told| told.at < change).collect();
    assert!(later.len() > 3, "{} reports", later.len());
    for told in later {
        assert_eq!(told.reported, first, "at {:?}", told.at);
    }
    let last = complete.next_back().unwrap();
    assert_eq!(
        last.reported,
        [Position::from(position_at(change)), first[1]]
    );
}

/// Guards against CONFIG: an instance reported later positions than those of the tables that it handed
/// out, so that a fetch from it never brought what it was made for.
#[test]
fn reported_positions_are_handed_out() {
    for seed in SEEDS {
        for told in run_reports(&Scenario::draw(seed)) {
            let mut pairs = told.reported.iter().zip(&told.handed_out);
            let is_handed_out = pairs.all(|(reported, handed_out)| reported <= handed_out);
            assert!(is_handed_out, "seed {seed}: {told:?}");
        }
    }
}

/// Guards against CONFIG: rows that took longer over the instance's link than a read may be silent were asked
/// for again and again while they arrived, so that none of the answers was ever complete.
#[rstest]
#[case::cascade_loop(3_000, 2_500)]
#[case::sangh_clearance(3_000, 2_000)]
#[case::presa_verde(4_000, 2_500)]
#[case::grown_sangh_clearance(4_000, 3_000)]
fn change_any_length_of_transfer_in_force_in_time(#[case] contact_ms: u64, #[case] apply_ms: u64) {
    /// Pause between two reads, the ways, and the wait for a change that a read may have missed.
    const REST_MS: u64 = 300;
    let late: BTreeMap<u64, _> = (100..apply_ms - REST_MS)
        .step_by(100)
        .filter_map(|transfer_ms| {
            let transfer = Duration::from_millis(transfer_ms);
            let scenario = Scenario {
                contact: Duration::from_millis(contact_ms),
                apply: Duration::from_millis(apply_ms),
                ..undisturbed(transfer, &[8_000, 12_300, 16_900])
            };
            late(&scenario, &run(&scenario)).map(|late| (transfer_ms, late))
        })
        .collect();
    assert!(late.is_empty(), "by length of the transfer in ms: {late:?}");
}

/// As above, for a version that follows another one at once, as weights follow new routes.
#[rstest]
#[case::cascade_loop(3_000, 2_500)]
#[case::grown_sangh_clearance(4_000, 3_000)]
fn change_right_after_another_in_force_in_time(#[case] contact_ms: u64, #[case] apply_ms: u64) {
    const REST_MS: u64 = 300;
    let late: BTreeMap<u64, _> = (100..(apply_ms - REST_MS) / 2)
        .step_by(50)
        .filter_map(|transfer_ms| {
            let transfer = Duration::from_millis(transfer_ms);
            let scenario = Scenario {
                contact: Duration::from_millis(contact_ms),
                apply: Duration::from_millis(apply_ms),
                ..undisturbed(transfer, &[8_000, 8_200, 14_100, 14_700])
            };
            late(&scenario, &run(&scenario)).map(|late| (transfer_ms, late))
        })
        .collect();
    assert!(late.is_empty(), "by length of the transfer in ms: {late:?}");
}

/// Guards against CONFIG: after an answer that took long to arrive, an instance waited before it read what
/// had changed meanwhile, as it does after a short one so that more may come together.
#[rstest]
#[case::short(200)]
#[case::long(2_200)]
fn change_during_a_transfer_is_read_right_after_it(#[case] transfer_ms: u64) {
    /// The ways of a read, and the model's steps.
    const WAYS: Duration = Duration::from_millis(50);
    let transfer = Duration::from_millis(transfer_ms);
    let history = run(&undisturbed(transfer, &[8_000, 8_100]));
    let in_force_at = |version| {
        let first = history.iter().find(|one| one.version == version);
        first.unwrap().at
    };
    let took = in_force_at(2) - in_force_at(1);
    assert!(took <= transfer + WAYS, "{took:?}");
}

/// Guards against a read for each of several changes in quick succession.
#[test]
fn changes_in_quick_succession_are_read_together() {
    let history = run(&undisturbed(
        Duration::ZERO,
        &[8_000, 8_020, 8_040, 8_060, 8_080],
    ));
    let mut versions: Vec<usize> = history.iter().map(|one| one.version).collect();
    versions.dedup();
    assert_eq!(versions, [0, 1, 5]);
}

/// Returns a store that is never disturbed and whose rows change at these times.
fn undisturbed(transfer: Duration, changes_ms: &[u64]) -> Scenario {
    let changes = changes_ms.iter().copied().map(Duration::from_millis);
    Scenario {
        contact: Duration::from_secs(4),
        apply: Duration::from_secs(4),
        way: Duration::from_millis(12),
        silences: Vec::new(),
        changes: changes.collect(),
        removal: None,
        tells_others: true,
        transfer,
    }
}

/// Guards against CONFIG: while the answer to one read was arriving late, another one was sent, and both
/// answers shared the link.
#[rstest]
#[case::near(12)]
#[case::far(300)]
#[case::late_first_byte(600)]
fn rows_are_transferred_once_at_a_time(#[case] way_ms: u64) {
    for transfer_ms in (400..2_400).step_by(400) {
        let transfer = Duration::from_millis(transfer_ms);
        let scenario = Scenario {
            way: Duration::from_millis(way_ms),
            ..undisturbed(transfer, &[8_000, 12_300, 16_900])
        };
        let most = block_on(async {
            let network = Network::new(&scenario);
            observe(&network).await;
            network.most_transfers.load(Ordering::Relaxed)
        });
        assert_eq!(most, 1, "{transfer_ms} ms");
    }
}

/// Guards against DENIED: a version counted as the latest at the time at which its rows were complete,
/// although the answer had been made before another version.
#[test]
fn version_counts_as_latest_when_the_answer_was_made() {
    /// Ways and the model's step, for the first byte.
    const FIRST_BYTE_TIME: Duration = Duration::from_millis(50);
    let transfer = Duration::from_millis(1_500);
    let scenario = undisturbed(transfer, &[8_000, 9_000, 15_000, 15_700]);
    let observed = block_on(async { observe(&Network::new(&scenario)).await });
    let history = observed.history.lock().unwrap();
    for (at, confirmed_at) in observed.confirmations.lock().unwrap().iter() {
        let in_force = history.iter().rev().find(|in_force| in_force.at <= *at);
        let known = in_force.map_or(0, |in_force| in_force.version);
        let is_older = |change: &&Duration| **change + FIRST_BYTE_TIME < *confirmed_at;
        let made = scenario.changes.iter().filter(is_older).count();
        assert!(
            known >= made,
            "at {at:?}: version {known}, confirmed {confirmed_at:?}"
        );
    }
}

//! Followers that read a modelled store by pages and feeds, fetch from each other and report their rows.

use std::{
    collections::BTreeMap,
    future::pending,
    iter::once,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Config, Position};
use coord::{Replica, RowsReport};
use daemon::{
    fleet::Fleet,
    follower::{
        Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::{FollowerMessage, PeerCommand},
    table_server::TableServer,
};
use entry::{
    metrics::Metrics,
    view::{Clock, View},
};
use platform::{Call, Change, Platform, PlatformError, Reply};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    follower::{Peer, member},
    options::options,
    paused::run_paused,
    serve,
};

const SEEDS: Range<u64> = 0..120;
const RUN_TIME: Duration = Duration::from_secs(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks at the instances.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const TABLES: [&str; 2] = ["op", "targets"];
/// First name that the second page of a whole read has.
const SECOND_PAGE: &str = "r3";

/// One write to the store; its position is its place in the history.
#[derive(Debug, Clone)]
struct Written {
    at: Duration,
    /// Index among [`TABLES`], or that of a table that nobody follows.
    table: usize,
    row: String,
    value: Option<String>,
}

/// What is wrong with the first whole read of a table.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    LacksRow,
    HasDeletedRow,
    HasOtherContent,
}

/// What an instance's calls to the store meet with.
#[derive(Debug, Clone, Copy)]
struct Access {
    /// What is wrong with its first whole read of a table, by the table's index.
    wrong: Option<(usize, Fault)>,
    /// Whether nothing of the store reaches it.
    is_turned_away: bool,
    /// The one instance that it can fetch from; `None` if it reaches all.
    source: Option<usize>,
    /// Share of its reads that fail, and of those for which there is no history any more.
    faults: [f64; 2],
    max_way: Duration,
    /// Maximum time between the two pages of a whole read.
    max_pause: Duration,
}

const SOUND: Access = Access {
    wrong: None,
    is_turned_away: false,
    source: None,
    faults: [0.0; 2],
    max_way: Duration::from_millis(20),
    max_pause: Duration::from_millis(20),
};

#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    /// In the order of their times.
    history: Vec<Written>,
    instances: Vec<Access>,
    /// Share of the heartbeats that are lost.
    loss: f64,
    /// Maximum time that a heartbeat is on its way.
    max_way: Duration,
}

/// What an instance has shown.
#[derive(Debug, Clone, Default)]
struct Shown {
    /// Time at which its alarm went on first.
    alarm_at: Option<Duration>,
    /// Time at which it last had other rows than the store's last ones.
    right_at: Duration,
    /// Whole reads of each table.
    whole_reads: [usize; TABLES.len()],
    /// Its reports of rows.
    reports: Vec<Vec<Option<RowsReport>>>,
    /// Whether it has shown any rows.
    has_rows: bool,
}

type Rows = BTreeMap<String, (String, u64)>;

#[derive(Debug)]
struct Store {
    started: Instant,
    scenario: Arc<Scenario>,
    access: Access,
    rng: Mutex<Pcg32>,
    whole_reads: [AtomicUsize; TABLES.len()],
}

impl Store {
    fn draw(&self) -> f64 {
        self.rng.lock().unwrap().random()
    }

    async fn rest(&self, max: Duration) {
        sleep(max.mul_f64(self.draw())).await;
    }

    /// Returns the number of writes until now.
    fn position(&self) -> usize {
        let elapsed = self.started.elapsed();
        let history = &self.scenario.history;
        history.partition_point(|written| written.at <= elapsed)
    }

    async fn call(&self, call: Call) -> Result<Reply, PlatformError> {
        if self.access.is_turned_away {
            pending::<()>().await;
        }
        self.rest(self.access.max_way).await;
        let [fails, is_gone] = self.access.faults;
        if self.draw() < fails {
            return Err(PlatformError::Unavailable);
        }
        let reply = match call {
            Call::Snapshot { table } => self.whole(index(&table)).await,
            Call::Changes { .. } if self.draw() < is_gone => {
                return Err(PlatformError::HistoryGone);
            }
            Call::Changes {
                table,
                after,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                self.feed(index(&table), after.version as usize, wait).await
            }
            _ => return Err(PlatformError::Unavailable),
        };
        self.rest(self.access.max_way).await;
        Ok(reply)
    }

    async fn whole(&self, table: usize) -> Reply {
        let position = self.position();
        let mut rows = rows_at(&self.scenario.history, table, position);
        rows.retain(|name, _| name.as_str() < SECOND_PAGE);
        self.rest(self.access.max_pause).await;
        let later = rows_at(&self.scenario.history, table, self.position());
        let second = later
            .into_iter()
            .filter(|(name, _)| name.as_str() >= SECOND_PAGE);
        rows.extend(second);
        let is_first = self.whole_reads[table].fetch_add(1, Ordering::Relaxed) == 0;
        let wrong = self
            .access
            .wrong
            .filter(|(idx, _)| is_first && *idx == table);
        match wrong.map(|(_, fault)| fault) {
            Some(Fault::LacksRow) => drop(rows.pop_first()),
            Some(Fault::HasDeletedRow) => {
                rows.insert("deleted".to_owned(), ("up".to_owned(), 1));
            }
            Some(Fault::HasOtherContent) => {
                let row = rows.values_mut().next();
                row.unwrap().0 = "other".to_owned();
            }
            None => {}
        }
        let rows = rows.into_iter().map(|(row, (value, at))| Change {
            row,
            value: Some(value),
            at: Position::from(at),
        });
        Reply::Changes(rows.collect(), Position::from(position as u64))
    }

    async fn feed(&self, table: usize, after: usize, wait: Duration) -> Reply {
        let history = &self.scenario.history;
        let mut later = history.iter().skip(after);
        let next = later.find(|written| written.table == table);
        let until = Instant::now() + wait;
        let next_at = next.map(|written| self.started + written.at);
        sleep_until(next_at.map_or(until, |at| at.min(until))).await;
        let position = self.position();
        let mut last = BTreeMap::new();
        let written = history.iter().enumerate().take(position).skip(after);
        for (idx, written) in written.filter(|(_, written)| written.table == table) {
            last.insert(written.row.clone(), (idx as u64 + 1, written.value.clone()));
        }
        let changes = last.into_iter().map(|(row, (at, value))| Change {
            row,
            value,
            at: Position::from(at),
        });
        Reply::Changes(changes.collect(), Position::from(position as u64))
    }
}

fn index(table: &str) -> usize {
    TABLES.iter().position(|name| *name == table).unwrap()
}

fn rows_at(history: &[Written], table: usize, position: usize) -> Rows {
    let mut rows = Rows::new();
    for (idx, written) in history.iter().enumerate().take(position) {
        match &written.value {
            _ if written.table != table => {}
            Some(value) => {
                rows.insert(written.row.clone(), (value.clone(), idx as u64 + 1));
            }
            None => {
                rows.remove(&written.row);
            }
        }
    }
    rows
}

/// One follower, its table server, and what it reports to its task for the other instances.
struct Node {
    addr: SocketAddr,
    store: Arc<Store>,
    metrics: Metrics,
    follower: mpsc::Sender<FollowerMessage>,
    fleet: watch::Sender<Arc<Fleet>>,
    told: watch::Receiver<Told>,
    rows: watch::Receiver<Vec<Rows>>,
}

/// What an instance reported last, and all its reports of rows.
#[derive(Debug, Clone, Default)]
struct Told {
    positions: Vec<Position>,
    reports: Vec<Vec<Option<RowsReport>>>,
}

impl Node {
    async fn start(idx: usize, started: Instant, clock: Clock, scenario: &Arc<Scenario>) -> Self {
        let store = Arc::new(Store {
            started,
            scenario: scenario.clone(),
            access: scenario.instances[idx],
            rng: Mutex::new(Pcg32::seed_from_u64(scenario.seed * 100 + idx as u64)),
            whole_reads: Default::default(),
        });
        let called = store.clone();
        let platform = Platform::spawn(move || {
            let store = called.clone();
            move |call, _| {
                let store = store.clone();
                async move { store.call(call).await }
            }
        });
        let (fleet, fleet_rx) = watch::channel(Arc::new(Fleet::default()));
        let mut options = options(clock, platform, fleet_rx);
        options.own_entry.instance = id(idx).as_str().into();
        let metrics = options.metrics.clone();
        let (engine, mut events) = mpsc::unbounded_channel();
        tokio::spawn(async move { while events.recv().await.is_some() {} });
        let (peers, commands) = mpsc::channel(64);
        let (view, view_rx) = watch::channel(Arc::new(View::default()));
        let (snapshots, snapshots_rx) = watch::channel(Arc::default());
        let (shown, rows) = watch::channel(Vec::new());
        let follower = TableFollower::new(
            options,
            Outputs {
                engine,
                peers,
                view,
            },
            FollowedTables {
                orders: Vec::new(),
                tables: TABLES.map(str::to_owned).into(),
                compose: move |replicas: &[&Replica]| {
                    let all = replicas.iter().map(|replica| rows_of(replica));
                    shown.send_replace(all.collect());
                    Some(ComposedConfig {
                        version: 1,
                        is_latest: true,
                        config: Config::default(),
                    })
                },
            },
            snapshots,
        );
        let (follower_tx, rx) = mpsc::channel(4_096);
        tokio::spawn(async move {
            let _kept = view_rx;
            follower.run(rx).await;
        });
        let (calls, calls_rx) = mpsc::channel(16);
        tokio::spawn(TableServer::new(snapshots_rx).run(calls_rx));
        Self {
            addr: serve(calls).await,
            store,
            metrics,
            follower: follower_tx,
            fleet,
            told: listen(commands),
            rows,
        }
    }

    fn has_alarm(&self) -> bool {
        let gauge = self.metrics.gauges.with_label_values(&["rows_differ"]);
        gauge.get() == 1
    }
}

fn id(idx: usize) -> String {
    format!("i{idx}")
}

fn rows_of(replica: &Replica) -> Rows {
    let rows = replica.rows();
    let rows = rows.filter(|(name, _)| !replica.is_retained(name));
    rows.map(|(name, row)| {
        (
            name.to_owned(),
            (row.value.to_string(), row.position.version),
        )
    })
    .collect()
}

/// Keeps what an instance reports to its task for the others.
fn listen(mut commands: mpsc::Receiver<PeerCommand>) -> watch::Receiver<Told> {
    let (tx, told) = watch::channel(Told::default());
    tokio::spawn(async move {
        while let Some(command) = commands.recv().await {
            tx.send_modify(|told| match command {
                PeerCommand::SetTablePositions { positions, .. } => told.positions = positions,
                PeerCommand::SetRows(rows) => told.reports.push(rows),
                _ => {}
            });
        }
    });
    told
}

/// Sends what an instance reported last to the others, at once when its positions change and every [`HEARTBEAT_INTERVAL`].
async fn send_heartbeats(
    idx: usize,
    mut told: watch::Receiver<Told>,
    others: Vec<mpsc::Sender<FollowerMessage>>,
    scenario: Arc<Scenario>,
) {
    let mut rng = Pcg32::seed_from_u64(scenario.seed * 1_000 + idx as u64);
    let mut positions = Vec::new();
    let mut next = Instant::now() + HEARTBEAT_INTERVAL.mul_f64(rng.random());
    loop {
        tokio::select! {
            changed = told.changed() => if changed.is_err() || told.borrow().positions == positions {
                continue;
            },
            () = sleep_until(next) => next += HEARTBEAT_INTERVAL,
        }
        let (current, rows) = {
            let told = told.borrow_and_update();
            (told.positions.clone(), told.reports.last().cloned())
        };
        positions = current;
        for other in &others {
            if rng.random::<f64>() < scenario.loss {
                continue;
            }
            let from = id(idx).as_str().into();
            let reported = FollowerMessage::PeerPositions {
                from,
                positions: positions.clone(),
                confirmed_at: None,
                change: None,
                reads: None,
            };
            let from = id(idx).as_str().into();
            let rows = rows
                .clone()
                .map(|rows| FollowerMessage::PeerRows { from, rows });
            let (other, way) = (other.clone(), scenario.max_way.mul_f64(rng.random()));
            tokio::spawn(async move {
                sleep(way).await;
                for message in once(reported).chain(rows) {
                    let _ = other.send(message).await;
                }
            });
        }
    }
}

/// Plays a scenario for [`RUN_TIME`] in virtual time and returns what each instance has shown.
fn play(scenario: Scenario) -> Vec<Shown> {
    run_paused(async move {
        let (started, clock) = (Instant::now(), Clock::start());
        let scenario = Arc::new(scenario);
        let mut nodes = Vec::new();
        for idx in 0..scenario.instances.len() {
            nodes.push(Node::start(idx, started, clock, &scenario).await);
        }
        for (idx, node) in nodes.iter().enumerate() {
            let others = nodes.iter().enumerate().filter(|(one, _)| *one != idx);
            let mut fleet = Fleet::default();
            let source = scenario.instances[idx].source;
            let reached = others
                .clone()
                .filter(|(one, _)| source.is_none_or(|only| only == *one));
            for (other, node) in reached {
                let member = member(node.addr, Peer::Honest);
                fleet.members.insert(id(other).as_str().into(), member);
            }
            node.fleet.send_replace(Arc::new(fleet));
            let others = others.map(|(_, node)| node.follower.clone()).collect();
            let told = node.told.clone();
            tokio::spawn(send_heartbeats(idx, told, others, scenario.clone()));
        }
        let last = scenario.history.len();
        let right = [0, 1].map(|table| rows_at(&scenario.history, table, last));
        let mut shown = vec![Shown::default(); nodes.len()];
        while started.elapsed() < RUN_TIME {
            sleep(LOOK_INTERVAL).await;
            for (node, shown) in nodes.iter().zip(&mut shown) {
                if node.has_alarm() {
                    shown.alarm_at.get_or_insert(started.elapsed());
                }
                if node.rows.borrow()[..] != right {
                    shown.right_at = started.elapsed() + LOOK_INTERVAL;
                }
            }
        }
        for (node, shown) in nodes.iter().zip(&mut shown) {
            let reads = &node.store.whole_reads;
            shown.whole_reads = [0, 1].map(|table| reads[table].load(Ordering::Relaxed));
            shown.has_rows = !node.rows.borrow().is_empty();
            shown.reports = node.told.borrow().reports.clone();
        }
        shown
    })
}

/// Returns whether any two reports of a table contradict each other.
fn has_contradiction(shown: &[Shown]) -> bool {
    (0..TABLES.len()).any(|table| {
        let reports = shown.iter().flat_map(|one| &one.reports);
        let reports = reports.filter_map(|rows| rows.get(table).copied().flatten());
        let mut reports: Vec<RowsReport> = reports.collect();
        reports.sort_by_key(|report| report.changed_at);
        reports.dedup();
        let mut pairs = reports.iter().enumerate();
        pairs.any(|(idx, one)| {
            reports[idx + 1..]
                .iter()
                .any(|other| one.contradicts(other))
        })
    })
}

/// Returns a history that ends before the instances start, and goes on from a time in a table that nobody follows.
fn resting_history(from: Duration) -> Vec<Written> {
    let rows = (0..5).flat_map(|row| [0, 1].map(|table| (Duration::ZERO, table, row)));
    let beats = (1..50).map(|beat| (from + Duration::from_millis(300) * beat, 2, beat));
    rows.chain(beats)
        .map(|(at, table, row)| Written {
            at,
            table,
            row: format!("r{row}"),
            value: Some("up".to_owned()),
        })
        .collect()
}

/// Guards against EVAC, HOME and all that wrong rows give: an instance whose first read lacked a row had the right position,
/// so nobody asked it and it asked nobody.
#[rstest]
#[case::of_two(2, 0, Fault::LacksRow)]
#[case::of_eight(8, 0, Fault::LacksRow)]
#[case::of_eighty(80, 0, Fault::LacksRow)]
#[case::target_is_missing(8, 1, Fault::LacksRow)]
#[case::target_was_deleted(8, 1, Fault::HasDeletedRow)]
#[case::content_differs(8, 0, Fault::HasOtherContent)]
fn wrong_rows_at_a_right_position_are_read_anew(
    #[case] instances: usize,
    #[case] table: usize,
    #[case] fault: Fault,
) {
    let mut accesses = vec![SOUND; instances];
    accesses[1].wrong = Some((table, fault));
    let shown = play(Scenario {
        seed: 1,
        history: resting_history(Duration::ZERO),
        instances: accesses,
        loss: 0.0,
        max_way: Duration::from_millis(50),
    });
    let wrong = &shown[1];
    // The first poll after the whole read, which settles the rows, and a heartbeat's interval.
    let alarm_at = wrong.alarm_at.unwrap_or(RUN_TIME);
    assert!(alarm_at < Duration::from_millis(3_500), "{alarm_at:?}");
    assert!(
        wrong.right_at < Duration::from_millis(7_000),
        "{:?}",
        wrong.right_at
    );
    let reads: Vec<usize> = shown.iter().map(|one| one.whole_reads[table]).collect();
    assert_eq!(reads[1], 2, "{reads:?}");
    let sum: usize = reads.iter().sum();
    // Of two that differ, nobody knows which one is wrong.
    let expected = if instances == 2 { 4 } else { instances + 1 };
    assert_eq!(sum, expected, "{reads:?}");
}

/// Guards against wrong rows that stay where they were fetched: their instance can't read the store, and the position of the
/// right ones is the same.
#[test]
fn wrong_rows_that_were_fetched_are_fetched_anew() {
    let wrong = Access {
        wrong: Some((0, Fault::LacksRow)),
        ..SOUND
    };
    let turned_away = Access {
        is_turned_away: true,
        source: Some(0),
        ..SOUND
    };
    let shown = play(Scenario {
        seed: 5,
        history: resting_history(Duration::from_secs(10)),
        instances: vec![wrong, turned_away, SOUND, SOUND],
        loss: 0.0,
        max_way: Duration::from_millis(50),
    });
    let seen: Vec<_> = shown
        .iter()
        .map(|one| (one.right_at, one.whole_reads))
        .collect();
    let reads = [0, 1, 2, 3].map(|idx| shown[idx].whole_reads);
    assert_eq!(reads, [[2, 1], [0, 0], [1, 1], [1, 1]]);
    assert!(
        shown[1].has_rows && shown[1].right_at < RUN_TIME,
        "{seen:?}"
    );
}

fn draw(seed: u64) -> Scenario {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
    let end = RUN_TIME.as_millis() as u64 - 8_000;
    let mut times: Vec<Duration> = (0..ms(10..80).as_millis()).map(|_| ms(0..end)).collect();
    times.sort();
    let history = times.into_iter().map(|at| Written {
        at,
        table: ms(0..3).as_millis() as usize,
        row: format!("r{}", ms(0..6).as_millis()),
        value: (ms(0..3) > Duration::ZERO).then(|| ms(0..2).as_millis().to_string()),
    });
    let mut history: Vec<Written> = history.collect();
    history.splice(
        0..0,
        resting_history(Duration::ZERO)
            .into_iter()
            .filter(|one| one.table < 2),
    );
    let instances = (0..ms(2..6).as_millis()).map(|idx| Access {
        is_turned_away: idx > 0 && ms(0..5).is_zero(),
        faults: [ms(0..400), ms(0..200)].map(|share| share.as_secs_f64()),
        max_way: ms(1..400),
        max_pause: ms(1..1_500),
        ..SOUND
    });
    Scenario {
        seed,
        history,
        instances: instances.collect(),
        loss: 0.2,
        max_way: Duration::from_millis(300),
    }
}

/// Guards against false alarms: sound instances that read by pages and feeds, lose history, fail, and fetch from each other.
#[test]
fn sound_instances_find_no_difference() {
    let mut wrong = Vec::new();
    let (mut reports, mut whole_reads, mut fetched) = (0, 0, 0);
    for seed in SEEDS {
        let shown = play(draw(seed));
        let has_alarm = shown.iter().any(|one| one.alarm_at.is_some());
        if has_alarm || has_contradiction(&shown) {
            wrong.push(seed);
        }
        reports += shown.iter().map(|one| one.reports.len()).sum::<usize>();
        whole_reads += shown.iter().map(|one| one.whole_reads[0]).sum::<usize>();
        let fetching = shown
            .iter()
            .filter(|one| one.whole_reads[0] == 0 && one.has_rows);
        fetched += fetching.count();
    }
    assert!(wrong.is_empty(), "{wrong:?}");
    // Otherwise nothing has been compared.
    assert!(reports > 5_000, "{reports}");
    assert!(
        whole_reads > 500 && fetched > 20,
        "{whole_reads}, {fetched}"
    );
}

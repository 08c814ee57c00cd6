//! Calls of many instances to the platform's table: they stay within the rates that it takes, in virtual time.

#[path = "support/member.rs"]
mod member;
#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Config, Incarnation, Time};
use coord::{LeaseTiming, Replica, lease_chart};
use daemon::{
    facts::load_or_create,
    fleet::{Fleet, FleetMember},
    follower::{
        Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    lister::{Liveness, announce_and_poll},
    message::PeerCommand,
    slots::{Slots, SlotsOptions},
};
use entry::{
    message::Event,
    metrics::Metrics,
    view::{Clock, View},
};
use platform::{
    Call, ListedMachine, MachineKind, MachineState, Platform, PlatformError, Reply, Store, Write,
};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use crate::{member::listed_member, options::options, paused::run_paused};

/// Number of instances of the users' largest site.
const INSTANCES: usize = 81;
const TARGETS: usize = 700;
const SECOND: Duration = Duration::from_secs(1);
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(5);
/// Time between changes of targets' rows, each of another target.
const TARGET_INTERVAL: Duration = Duration::from_millis(20);
/// Number of these changes for each version of the document.
const CHANGES_PER_VERSION: usize = 20;
/// Time in which all have started.
const START_TIME: Duration = Duration::from_secs(5);
/// Time after which instances that start have learned of each other.
const HEARD_AFTER: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_secs(22);
/// Calls of a read of a whole followed table, which has two pages: a document of 15,000 routes fills one by itself, and
/// 700 targets have more rows than one holds.
const PAGES: usize = 2;

/// What the store does meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// It refuses all calls from 10 to 16 s.
    Refuses,
    /// It answers no call from 10 to 16 s.
    Silent,
    /// It refuses all writes in the first 6 s.
    RefusesWrites,
}

/// Read and write calls in a second that the store takes from all instances together.
#[derive(Debug, Clone, Copy)]
struct Limits {
    reads: usize,
    writes: usize,
}

/// Write calls in a second that the users' store takes, of which one part handles half.
const WRITES_PER_S: usize = 400;
/// Those of the users' store; all instances write to one part.
const DEPLOYED: Limits = Limits {
    reads: 2_000,
    writes: 200,
};
/// Less than the instances ask for as they start, or as targets and versions change.
const FEWER_READS: Limits = Limits {
    reads: 1_000,
    ..DEPLOYED
};
const FEWER_WRITES: Limits = Limits {
    writes: 20,
    ..DEPLOYED
};

/// Highest numbers of calls in a second, and the number of those that were refused.
#[derive(Debug, Clone, Copy, Default)]
struct Peak {
    reads: usize,
    /// The same once all have started.
    later_reads: usize,
    writes: usize,
    refused: usize,
}

/// Times of the calls of one second.
#[derive(Debug, Default)]
struct Recent(VecDeque<Instant>);

impl Recent {
    /// Returns their number.
    fn count(&mut self) -> usize {
        self.0.retain(|at| at.elapsed() < SECOND);
        self.0.len()
    }

    fn add(&mut self, calls: usize) {
        self.0.extend(std::iter::repeat_n(Instant::now(), calls));
    }
}

#[derive(Debug, Default)]
struct Counts {
    reads: Recent,
    writes: Recent,
    taken_reads: Recent,
    taken_writes: Recent,
    peak: Peak,
}

impl Counts {
    /// Counts a call that is made this long after the start, and returns whether the store takes it.
    fn count(&mut self, call: &Call, elapsed: Duration, limits: Limits) -> bool {
        let is_taken = match call {
            call if is_write(call) => self.count_write(limits),
            Call::Snapshot { .. } => self.count_read(PAGES, elapsed, limits),
            _ => self.count_read(1, elapsed, limits),
        };
        self.peak.refused += usize::from(!is_taken);
        is_taken
    }

    fn count_write(&mut self, limits: Limits) -> bool {
        self.writes.add(1);
        self.peak.writes = self.peak.writes.max(self.writes.count());
        let is_taken = self.taken_writes.count() < limits.writes;
        self.taken_writes.add(usize::from(is_taken));
        is_taken
    }

    fn count_read(&mut self, pages: usize, elapsed: Duration, limits: Limits) -> bool {
        self.reads.add(pages);
        let count = self.reads.count();
        self.peak.reads = self.peak.reads.max(count);
        if elapsed > START_TIME {
            self.peak.later_reads = self.peak.later_reads.max(count);
        }
        let is_taken = self.taken_reads.count() + pages <= limits.reads;
        self.taken_reads.add(if is_taken { pages } else { 0 });
        is_taken
    }
}

fn is_write(call: &Call) -> bool {
    matches!(
        call,
        Call::Write { .. } | Call::Announce { .. } | Call::Forget { .. }
    )
}

/// The store that all instances call.
#[derive(Debug, Clone)]
struct SharedStore {
    rows: Arc<Mutex<Store>>,
    counts: Arc<Mutex<Counts>>,
    changed: watch::Sender<()>,
    started: Instant,
    trouble: Trouble,
    limits: Limits,
}

impl SharedStore {
    fn start(trouble: Trouble, limits: Limits) -> Self {
        Self {
            rows: Arc::default(),
            counts: Arc::default(),
            changed: watch::Sender::new(()),
            started: Instant::now(),
            trouble,
            limits,
        }
    }

    fn is_in_trouble(&self, call: &Call) -> bool {
        let elapsed = self.started.elapsed().as_secs();
        match self.trouble {
            Trouble::None => false,
            Trouble::Refuses | Trouble::Silent => (10..16).contains(&elapsed),
            Trouble::RefusesWrites => elapsed < 6 && is_write(call),
        }
    }

    fn apply(&self, call: Call) -> Result<Reply, PlatformError> {
        let is_change = is_write(&call);
        let reply = self.rows.lock().unwrap().apply(call);
        if is_change {
            self.changed.send_replace(());
        }
        reply
    }

    async fn execute(self, call: Call) -> Result<Reply, PlatformError> {
        let elapsed = self.started.elapsed();
        let is_taken = self
            .counts
            .lock()
            .unwrap()
            .count(&call, elapsed, self.limits);
        sleep(CALL_TIME).await;
        let is_in_trouble = self.is_in_trouble(&call);
        if is_in_trouble && self.trouble == Trouble::Silent {
            return std::future::pending().await;
        }
        if !is_taken || is_in_trouble {
            return Err(PlatformError::Unavailable);
        }
        let Call::Changes { wait_ms, .. } = call else {
            return self.apply(call);
        };
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let reply = self.apply(call.clone());
            let is_empty = matches!(&reply, Ok(Reply::Changes(rows, _)) if rows.is_empty());
            if !is_empty || timeout_at(deadline, changed.changed()).await.is_err() {
                return reply;
            }
        }
    }

    /// Returns what an instance calls it by.
    fn platform(&self) -> Platform {
        let store = self.clone();
        Platform::spawn(move || {
            let store = store.clone();
            move |call, _| store.clone().execute(call)
        })
    }

    fn put(&self, table: &str, row: &str, text: &str) {
        let writes = vec![Write::new(table, row).value(text)];
        self.apply(Call::Write { writes }).unwrap();
    }

    /// Changes targets' rows and versions of the document until it is dropped.
    async fn change(self) {
        for idx in 0_usize.. {
            let target = format!("t{}", idx % TARGETS);
            self.put("servers", &target, &idx.to_string());
            if idx.is_multiple_of(CHANGES_PER_VERSION) {
                self.put("op", "config", &idx.to_string());
            }
            sleep(TARGET_INTERVAL).await;
        }
    }
}

/// An instance's state that the test looks at.
struct Instance {
    versions: watch::Receiver<u64>,
    /// Number of slots that there are.
    slot_count: u32,
    slots: watch::Receiver<u32>,
    _running: Vec<JoinHandle<()>>,
}

/// Counts the slots that are held, as they are reported to the other instances.
fn watch_slots(mut peers: mpsc::Receiver<PeerCommand>) -> (watch::Receiver<u32>, JoinHandle<()>) {
    let (tx, held) = watch::channel(0);
    let watching = tokio::spawn(async move {
        while let Some(command) = peers.recv().await {
            if let PeerCommand::SetHeldSlots(count) = command {
                tx.send_replace(count);
            }
        }
    });
    (held, watching)
}

fn start_slots(
    own: &ListedMachine,
    platform: &Platform,
    count: u32,
    fleet: &watch::Receiver<Arc<Fleet>>,
) -> (watch::Receiver<u32>, Vec<JoinHandle<()>>) {
    let (engine, mut events) = mpsc::unbounded_channel();
    let (peers, peers_rx) = mpsc::channel(64);
    let (release, release_rx) = mpsc::channel(1);
    let slots = Slots::new(SlotsOptions {
        clock: Clock::start(),
        chart: lease_chart().unwrap(),
        own_id: own.id.as_str().into(),
        incarnation: Incarnation(1),
        // As on the users' platform.
        lease_timing: LeaseTiming {
            ttl: Duration::from_secs(120),
            renew_interval: Duration::from_secs(15),
            ..LeaseTiming::default()
        },
        count,
        begun_in: None,
        holder_poll_divisor: 6,
        trusts_absence: false,
        platform: platform.clone(),
        metrics: Metrics::new().unwrap(),
        fleet: fleet.clone(),
        engine,
        peers,
    });
    let running = tokio::spawn(async move {
        let _kept = release;
        slots.run(release_rx).await;
    });
    let draining = tokio::spawn(async move { while events.recv().await.is_some() {} });
    let (held, watching) = watch_slots(peers_rx);
    (held, vec![running, draining, watching])
}

fn start_follower(
    platform: &Platform,
    fleet: &watch::Receiver<Arc<Fleet>>,
) -> (watch::Receiver<u64>, JoinHandle<()>) {
    let (version_tx, versions) = watch::channel(0);
    let (engine, mut events) = mpsc::unbounded_channel::<Event>();
    let (peers, mut peers_rx) = mpsc::channel::<PeerCommand>(64);
    let (view, view_rx) = watch::channel(Arc::new(View::default()));
    let (snapshots, snapshots_rx) = watch::channel(Arc::default());
    let outputs = Outputs {
        engine,
        peers,
        view,
    };
    let followed = FollowedTables {
        orders: Vec::new(),
        tables: vec!["op".to_owned(), "servers".to_owned()],
        compose: move |replicas: &[&Replica]| {
            let (_, row) = replicas[0].rows().find(|(name, _)| *name == "config")?;
            version_tx.send_replace(row.position.version);
            Some(ComposedConfig {
                version: row.position.version,
                is_latest: true,
                config: Config::default(),
            })
        },
    };
    let options = options(Clock::start(), platform.clone(), fleet.clone());
    let follower = TableFollower::new(options, outputs, followed, snapshots);
    let running = tokio::spawn(async move {
        let (messages, messages_rx) = mpsc::channel(1);
        let _kept = (messages, view_rx, snapshots_rx);
        let drained = async { while events.recv().await.is_some() {} };
        let commands = async { while peers_rx.recv().await.is_some() {} };
        tokio::join!(follower.run(messages_rx), drained, commands);
    });
    (versions, running)
}

fn instance_id(idx: usize) -> String {
    format!("front-{idx:02}")
}

/// Returns what an instance knows of the others once it has learned of them.
fn fleet_without(own: usize) -> Fleet {
    let others = (0..INSTANCES).filter(|idx| *idx != own);
    let members = others.map(|idx| {
        let member = FleetMember {
            alive_until: Time::from_secs(3_600),
            ..listed_member()
        };
        (instance_id(idx).as_str().into(), member)
    });
    Fleet {
        members: members.collect(),
        ..Fleet::default()
    }
}

/// Starts what calls the store in an instance, which learns of the others [`HEARD_AFTER`] later.
async fn start_instance(store: SharedStore, idx: usize) -> Instance {
    let platform = store.platform();
    let own = ListedMachine {
        id: instance_id(idx),
        kind: MachineKind::Instance,
        domain: "d".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: MachineState::Live,
    };
    let facts = load_or_create(&platform, &own).await.unwrap().parameters;
    let (fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let liveness = Liveness {
        clock: Clock::start(),
        fleet: fleet.clone(),
    };
    let (peers, mut peers_rx) = mpsc::channel(64);
    let (slots, mut running) = start_slots(&own, &platform, facts.slots, &fleet);
    let (versions, following) = start_follower(&platform, &fleet);
    running.push(following);
    running.push(tokio::spawn(async move {
        let listed = async { while peers_rx.recv().await.is_some() {} };
        let hearing = async {
            sleep(HEARD_AFTER).await;
            fleet_tx.send_replace(Arc::new(fleet_without(idx)));
            fleet_tx.closed().await;
        };
        tokio::join!(
            announce_and_poll(platform, own, liveness, peers),
            listed,
            hearing
        );
    }));
    Instance {
        versions,
        slot_count: facts.slots,
        slots,
        _running: running,
    }
}

/// What the instances have asked for and what they have at the end.
#[derive(Debug)]
struct Outcome {
    peak: Peak,
    slot_count: usize,
    /// Number of instances that hold a slot.
    holders: usize,
    /// Number of instances with the latest version.
    up_to_date: usize,
}

/// Starts all instances at once.
async fn play(trouble: Trouble, limits: Limits) -> Outcome {
    let store = SharedStore::start(trouble, limits);
    let changing = tokio::spawn(store.clone().change());
    let starts = (0..INSTANCES).map(|idx| tokio::spawn(start_instance(store.clone(), idx)));
    let starts: Vec<_> = starts.collect();
    let mut instances = Vec::new();
    for start in starts {
        instances.push(start.await.unwrap());
    }
    sleep(RUN_TIME).await;
    changing.abort();
    sleep(SECOND).await;
    let latest = instances.iter().map(|instance| *instance.versions.borrow());
    let latest = latest.max().unwrap();
    let has_slot = |instance: &&Instance| *instance.slots.borrow() > 0;
    let is_young = |instance: &&Instance| *instance.versions.borrow() == latest;
    let peak = store.counts.lock().unwrap().peak;
    Outcome {
        peak,
        slot_count: instances[0].slot_count as usize,
        holders: instances.iter().filter(has_slot).count(),
        up_to_date: instances.iter().filter(is_young).count(),
    }
}

/// Guards against calls that the store refuses: 81 instances, which start at once and haven't learned of each other, read and
/// write within its rates while targets and versions change.
#[rstest]
#[case::calm(Trouble::None)]
#[case::store_refuses(Trouble::Refuses)]
#[case::store_is_silent(Trouble::Silent)]
fn calls_of_many_instances_stay_within_rates(#[case] trouble: Trouble) {
    let outcome = run_paused(play(trouble, DEPLOYED));
    assert_eq!(outcome.peak.refused, 0, "{outcome:?}");
    assert_eq!(outcome.up_to_date, INSTANCES, "{outcome:?}");
    assert_eq!(outcome.holders, INSTANCES, "{outcome:?}");
}

/// Guards against instances that call without a pause as long as nobody can write the deployment's parameters.
#[test]
fn calls_stay_within_rates_while_writes_are_refused() {
    let outcome = run_paused(play(Trouble::RefusesWrites, DEPLOYED));
    assert!(outcome.peak.reads <= DEPLOYED.reads, "{outcome:?}");
    assert!(outcome.peak.writes <= WRITES_PER_S, "{outcome:?}");
    assert_eq!(outcome.up_to_date, INSTANCES, "{outcome:?}");
    assert_eq!(outcome.holders, outcome.slot_count, "{outcome:?}");
}

/// Guards against budgets that are divided by two permanently: nobody else was on the list when the store took writes again.
#[test]
fn slots_are_as_many_as_instances_that_start_while_writes_are_refused() {
    let outcome = run_paused(play(Trouble::RefusesWrites, DEPLOYED));
    assert_eq!(outcome.slot_count, INSTANCES, "{outcome:?}");
    assert_eq!(outcome.holders, INSTANCES, "{outcome:?}");
}

/// Guards against refused calls that are repeated so often that they are more than the users' store takes.
#[rstest]
#[case::reads(FEWER_READS)]
#[case::writes(FEWER_WRITES)]
fn calls_beyond_a_rate_are_repeated_within_rates(#[case] limits: Limits) {
    let outcome = run_paused(play(Trouble::None, limits));
    assert!(outcome.peak.refused > 0, "{outcome:?}");
    assert!(outcome.peak.reads <= DEPLOYED.reads, "{outcome:?}");
    assert!(outcome.peak.writes <= WRITES_PER_S, "{outcome:?}");
    assert_eq!(outcome.up_to_date, INSTANCES, "{outcome:?}");
    assert_eq!(outcome.holders, outcome.slot_count, "{outcome:?}");
}

//! Instances' tasks that call the store, in virtual time.

use std::{
    cmp::Ordering,
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Config, Incarnation, Time};
use coord::{LeaseTiming, Member, Presence, Replica, RowOrder, lease_chart};
use daemon::{
    facts::{keeping, load_or_create},
    fleet::{Fleet, FleetMember},
    follower::{
        Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    ledger::{LedgerTask, LedgerTaskOptions},
    lister::{Liveness, announce_and_poll},
    slots::{Slots, SlotsOptions},
};
use dispatch::{ActionEvent, ActionKey, Ledger, RequestId, SavedAnswer};
use entry::{
    message::LedgerCall,
    metrics::Metrics,
    view::{Clock, View},
};
use platform::{ListedMachine, MachineKind, MachineState, Platform};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};
use wire::Secret;

use crate::{
    options::options,
    store::{DOCUMENT, FOLLOWED, ModelStore},
};

/// When each instance put each version of the document in force first.
pub(crate) type InForce = Arc<Mutex<BTreeMap<(u64, usize), Instant>>>;

/// The ledger of an instance, whose tasks end with the runtime.
#[derive(Clone)]
pub(crate) struct Instance {
    calls: mpsc::Sender<LedgerCall>,
    own_id: String,
}

/// Starts what calls the store in one of `count` instances, which have learned of each other.
pub(crate) async fn start(
    store: &ModelStore,
    idx: usize,
    count: usize,
    in_force: &InForce,
) -> Instance {
    let own = listed(idx);
    let platform = store.platform(&own.id, count - 1);
    let known = load_or_create(&platform, &own).await.unwrap();
    let slots = known.parameters.slots;
    tokio::spawn(keeping::keep(platform.clone(), known));
    let (fleet_tx, fleet) = watch::channel(Arc::new(fleet_without(idx, count)));
    let liveness = Liveness {
        clock: Clock::start(),
        fleet: fleet.clone(),
    };
    let (peers, peers_rx) = mpsc::channel(64);
    drain(peers_rx);
    let lister = announce_and_poll(platform.clone(), own.clone(), liveness, peers);
    tokio::spawn(async move {
        let _kept = fleet_tx;
        lister.await;
    });
    start_slots(&own, &platform, slots, &fleet);
    start_follower(&platform, &fleet, idx, in_force.clone());
    Instance {
        calls: start_ledger(&own, platform, fleet),
        own_id: own.id,
    }
}

impl Instance {
    /// Runs an action whose key names no home.
    pub(crate) async fn run_action(&self, number: u64) {
        let key = ActionKey {
            workspace: "w".into(),
            key: format!("{}-{number}", self.own_id),
        };
        let (reply, claimed) = oneshot::channel();
        let call = LedgerCall::Claim {
            key: key.clone(),
            request: RequestId(number),
            fingerprint: number,
            reply,
        };
        let _ = self.calls.send(call).await;
        let _ = claimed.await;
        let (recorded, record) = oneshot::channel();
        let answer = SavedAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![b'x'; 100],
        };
        let call = LedgerCall::Settle {
            key,
            request: RequestId(number),
            event: ActionEvent::Answered,
            answer: Some(answer),
            recorded,
        };
        let _ = self.calls.send(call).await;
        let _ = record.await;
    }
}

/// Returns the entry of an instance.
pub(crate) fn listed(idx: usize) -> ListedMachine {
    ListedMachine {
        id: instance_id(idx),
        kind: MachineKind::Instance,
        domain: "d".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: MachineState::Live,
    }
}

fn instance_id(idx: usize) -> String {
    format!("front-{idx:04}")
}

fn fleet_without(own: usize, count: usize) -> Fleet {
    let others = (0..count).filter(|idx| *idx != own);
    let members = others.map(|idx| {
        let member = Member {
            domain: "d".into(),
            presence: Presence::Listed,
            is_leaving: false,
            last_heartbeat_at: None,
            heartbeat: None,
        };
        let member = FleetMember {
            alive_until: Time::from_secs(3_600),
            ..FleetMember::new(&member, None)
        };
        (instance_id(idx).as_str().into(), member)
    });
    Fleet {
        members: members.collect(),
        ..Fleet::default()
    }
}

fn drain<T>(mut rx: mpsc::Receiver<T>)
where
    T: Send + 'static,
{
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
}

fn drain_unbounded<T>(mut rx: mpsc::UnboundedReceiver<T>)
where
    T: Send + 'static,
{
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
}

fn start_slots(
    own: &ListedMachine,
    platform: &Platform,
    count: u32,
    fleet: &watch::Receiver<Arc<Fleet>>,
) {
    let (engine, events) = mpsc::unbounded_channel();
    let (peers, peers_rx) = mpsc::channel(64);
    let (release, release_rx) = mpsc::channel(1);
    drain_unbounded(events);
    drain(peers_rx);
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
    tokio::spawn(async move {
        let _kept = release;
        slots.run(release_rx).await;
    });
}

/// Compares documents by their number, and targets' entries by their sequence.
const ORDERS: [RowOrder; 2] = [by_number, by_number];

fn by_number(name: &str, known: &str, found: &str) -> Option<Ordering> {
    let number = |text: &str| text.split(' ').next()?.parse::<u64>().ok();
    let is_counted = !name.starts_with("evacuate/");
    is_counted.then_some(())?;
    Some(number(found)?.cmp(&number(known)?))
}

fn start_follower(
    platform: &Platform,
    fleet: &watch::Receiver<Arc<Fleet>>,
    idx: usize,
    in_force: InForce,
) {
    let (engine, events) = mpsc::unbounded_channel();
    let (peers, peers_rx) = mpsc::channel(64);
    let (view, view_rx) = watch::channel(Arc::new(View::default()));
    let (snapshots, snapshots_rx) = watch::channel(Arc::default());
    drain_unbounded(events);
    drain(peers_rx);
    let outputs = Outputs {
        engine,
        peers,
        view,
    };
    let followed = FollowedTables {
        orders: ORDERS.into(),
        tables: FOLLOWED.map(str::to_owned).into(),
        compose: move |replicas: &[&Replica]| {
            let (_, row) = replicas[0].rows().find(|(name, _)| *name == DOCUMENT)?;
            let version = row.value.parse().ok()?;
            let mut in_force = in_force.lock().unwrap();
            in_force.entry((version, idx)).or_insert_with(Instant::now);
            Some(ComposedConfig {
                version,
                is_latest: true,
                config: Config::default(),
            })
        },
    };
    let options = options(Clock::start(), platform.clone(), fleet.clone());
    let follower = TableFollower::new(options, outputs, followed, snapshots);
    tokio::spawn(async move {
        let (messages, messages_rx) = mpsc::channel(1);
        let _kept = (messages, view_rx, snapshots_rx);
        follower.run(messages_rx).await;
    });
}

fn start_ledger(
    own: &ListedMachine,
    platform: Platform,
    fleet: watch::Receiver<Arc<Fleet>>,
) -> mpsc::Sender<LedgerCall> {
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (tables, tables_rx) = mpsc::channel(1);
    let (calls, rx) = mpsc::channel(8);
    let (incoming, incoming_rx) = mpsc::channel(1);
    let ledger = LedgerTask::new(LedgerTaskOptions {
        clock: Clock::start(),
        own_id: own.id.as_str().into(),
        incarnation: Incarnation(1),
        ledger: Ledger::new(Duration::from_secs(60), Duration::from_secs(60)).unwrap(),
        platform,
        secret: Secret::derive("a secret for measures only"),
        fleet,
        view,
        tables,
    });
    tokio::spawn(async move {
        let _kept = (incoming, view_tx, tables_rx);
        ledger.run(rx, incoming_rx).await;
    });
    calls
}

//! One running instance: starts its tasks, connects them by channels and stops them.

mod stopping;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use base::{Incarnation, InstanceId};
use coord::{Heartbeat, Membership, QuotaSplit, TurnLag, lease_chart};
use dispatch::Ledger;
use entry::{
    callers::{CallerHandler, HandlerOptions},
    descriptors::DescriptorBudget,
    dial::Dialer,
    engine::{Engine, EngineOptions},
    forward::Forwarder,
    lag::{self, LagMeter},
    message::Event,
    metrics::Metrics,
    recorder::Recorder,
    serve::{Listener, listen},
    view::{Clock, EntryPoint, View},
};
use eyre::{Result, WrapErr};
use platform::{ListedMachine, MachineKind, MachineState, Platform};
use settings::{DaemonSettings, IsolationPolicy, TakeoverPolicy};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, oneshot, watch},
    time::sleep,
};
use wire::{Secret, Sessions};

pub use self::stopping::lookup_ttl;
use crate::{
    fleet::{Fleet, HEARTBEAT_TIMEOUT},
    follower::{
        self, FollowerOptions,
        head::HeadFollower,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    ledger::{LedgerTask, LedgerTaskOptions},
    lister::{self, Liveness},
    message::{FollowerMessage, PeerCommand},
    operator::Operator,
    options::{self, NodeOptions},
    owners::{Owners, OwnersMessage, OwnersOptions},
    peer_server,
    peers::{self, Peers},
    planner::{Planner, PlannerOptions},
    probes,
    relay::{self, RelayServer},
    slots::{Slots, SlotsOptions},
    table_reads::ReadTiming,
    table_server::TableServer,
};

/// Maximum lag of the platform's list; an instance absent from the list for longer has ended.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for which the ledger keeps the records of finished actions.
const ACTION_RETENTION: Duration = Duration::from_secs(3_600);
/// Time after which the outcome of an action counts as unknown if its claimer has not reported it.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(120);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const CHANNEL_CAPACITY: usize = 4_096;

/// Controls a running instance.
#[derive(Debug)]
pub struct Node {
    /// Address of the listener for callers.
    pub entry: SocketAddr,
    /// Address of the listener for operators.
    pub operator: SocketAddr,
    /// Address at which other instances reach it.
    pub peer: SocketAddr,
    /// Receives a message when an operator requests that the instance leave.
    pub leave_requests: mpsc::Receiver<()>,
    callers: Listener,
    operators: Listener,
    lookup_ttl: Duration,
    engine: mpsc::UnboundedSender<Event>,
    peers: mpsc::Sender<PeerCommand>,
    follower: mpsc::Sender<FollowerMessage>,
    owners: mpsc::Sender<OwnersMessage>,
    slots: mpsc::Sender<oneshot::Sender<()>>,
    view: watch::Receiver<Arc<View>>,
}

/// Selects where the configuration comes from.
#[derive(Debug)]
pub enum ConfigSource<F> {
    /// The head row names the active configuration object; the platform maintains the list of
    /// instances.
    HeadRow,
    /// The configuration is composed from tables; the instances maintain the list themselves.
    Tables(FollowedTables<F>),
}

/// Composes a configuration from the followed tables without keeping state between calls.
pub type Compose = fn(&[&coord::Replica]) -> Option<ComposedConfig>;

/// Starts an instance that follows the platform's head row.
///
/// # Errors
///
/// Returns a report that names the listener whose address could not be bound.
pub async fn start(cfg: &DaemonSettings, platform: Platform, options: NodeOptions) -> Result<Node> {
    start_with_source(cfg, platform, options, ConfigSource::<Compose>::HeadRow).await
}

/// Starts an instance whose configuration comes from `source`.
///
/// # Errors
///
/// Returns the same errors as [`start`].
pub async fn start_with_source<F>(
    cfg: &DaemonSettings,
    platform: Platform,
    options: NodeOptions,
    source: ConfigSource<F>,
) -> Result<Node>
where
    F: FnMut(&[&coord::Replica]) -> Option<ComposedConfig> + Send + 'static,
{
    let clock = Clock::start();
    let own_id = InstanceId::from(cfg.instance.as_str());
    let incarnation = Incarnation(rand::random::<u64>().max(1));
    let secret = Secret::derive(&cfg.secret);
    let metrics = Metrics::new().wrap_err("cannot register the metrics")?;
    let (turns_tx, turns_rx) = watch::channel(TurnLag::default());
    tokio::spawn(lag::measure(clock, metrics.clone(), turns_tx));
    let lag = LagMeter::new(clock, turns_rx);
    let (udp, tcp) = bind_peer(cfg.peer)
        .await
        .wrap_err_with(|| format!("peer: {}", cfg.peer))?;
    let peer = udp
        .local_addr()
        .wrap_err("peer: cannot read the bound address")?;
    let split = QuotaSplit {
        slots: cfg.slot_count,
        ..options.quota_split
    };

    let (engine_tx, engine_rx) = mpsc::unbounded_channel();
    let (outgoing_tx, outgoing_rx) = mpsc::unbounded_channel();
    let (peers_tx, peers_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (owners_tx, owners_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (slots_tx, slots_rx) = mpsc::channel(1);
    let (follower_tx, follower_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (ledger_tx, ledger_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (incoming_tx, incoming_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let (leave_tx, leave_rx) = mpsc::channel(1);
    let (relays_tx, relays_rx) = mpsc::unbounded_channel();
    let (fleet_tx, fleet_rx) = watch::channel(Arc::new(Fleet::default()));
    let (view_tx, view_rx) = watch::channel(Arc::new(View::default()));

    let budget = DescriptorBudget::of_process(cfg.descriptors);
    let dialer = Dialer::new(clock, relays_tx).limited_to(budget.targets);
    let engine = Engine::new(
        dialer.clone(),
        EngineOptions {
            region: cfg.region.as_str().into(),
            seed: incarnation.0,
            split,
            policy: options.dispatch_policy.clone(),
            refuses_when_isolated: cfg.isolation == IsolationPolicy::Refuse,
        },
        outgoing_tx,
        engine_tx.downgrade(),
    )
    .wrap_err("cannot create the engine")?;
    tokio::spawn(engine.run(engine_rx));

    let (forwarder, held) = options::hold_bodies(cfg, Forwarder::new(dialer));
    let handler = CallerHandler {
        clock,
        lag: lag.clone(),
        events: engine_tx.clone(),
        ledger: ledger_tx,
        view: view_rx.clone(),
        metrics: metrics.clone(),
        ids: Arc::new(AtomicU64::new(1)),
        options: handler_options(cfg, &options),
        dialect: Arc::new(options.dialect.clone()),
        recorder: options.sink.clone().map_or_else(Recorder::default, |sink| {
            Recorder::new(sink, own_id.clone(), cfg.region.as_str().into())
        }),
        forwarder,
        held,
    };
    let callers = listen(cfg.entry, handler.into_router(), budget.callers)
        .await
        .wrap_err_with(|| format!("entry: {}", cfg.entry))?;
    let own_entry = EntryPoint {
        instance: own_id.clone(),
        incarnation,
        domain: cfg.domain.as_str().into(),
        addr: callers.addr,
    };

    let heartbeat = Heartbeat {
        id: own_id.clone(),
        incarnation,
        domain: cfg.domain.as_str().into(),
        is_leaving: false,
        version: 0,
        confirmation_age: None,
    };
    let peers = Peers::new(
        clock,
        udp,
        Sessions::new(secret.clone(), own_id.clone(), incarnation),
        Membership::new(ABSENCE_TIMEOUT, HEARTBEAT_TIMEOUT),
        peers::initial_heartbeat(heartbeat, callers.addr),
        peers::Outputs {
            engine: engine_tx.clone(),
            owners: owners_tx.clone(),
            follower: follower_tx.clone(),
            fleet: fleet_tx,
        },
    );
    let peers = peers.tracking(platform.store_era());
    tokio::spawn(peers.run(peers_rx));
    let relays = RelayServer::new(view_rx.clone(), engine_tx.clone()).limited_to(budget.carried);
    let calls = peer_server::serve(tcp, secret.clone(), incoming_tx, relays, metrics.clone());
    tokio::spawn(calls);
    tokio::spawn(relay::run(secret.clone(), relays_rx));
    let (snapshots_tx, snapshots_rx) = watch::channel(Arc::new(Vec::new()));
    let contact = Duration::from_secs_f64(cfg.bounds.contact_s);
    let confirm_limit = Duration::from_millis(cfg.confirm_limit_ms).min(contact);
    let probes_targets = matches!(source, ConfigSource::HeadRow);
    let follower_options = FollowerOptions {
        clock,
        lag,
        platform: platform.clone(),
        secret: secret.clone(),
        metrics: metrics.clone(),
        confirm_limit,
        apply: Duration::from_secs_f64(cfg.bounds.apply_s),
        drain: Duration::from_secs_f64(cfg.bounds.drain_s),
        read_timing: ReadTiming::within(contact),
        own_entry,
        fleet: fleet_rx.clone(),
    };
    let follower_outputs = follower::Outputs {
        engine: engine_tx.clone(),
        peers: peers_tx.clone(),
        view: view_tx,
    };
    match source {
        ConfigSource::HeadRow => {
            let lister = lister::poll(platform.clone(), peers_tx.clone(), engine_tx.clone());
            tokio::spawn(lister);
            let follower = HeadFollower::new(follower_options, follower_outputs);
            tokio::spawn(follower.run(follower_rx));
        }
        ConfigSource::Tables(followed) => {
            let (checked, table) = (platform.clone(), followed.tables[0].clone());
            tokio::spawn(async move { checked.check_reported_eras(&table).await });
            let own = announcement(cfg, peer);
            let liveness = Liveness {
                clock,
                fleet: fleet_rx.clone(),
            };
            let lister =
                lister::announce_and_poll(platform.clone(), own, liveness, peers_tx.clone());
            tokio::spawn(lister);
            let follower =
                TableFollower::new(follower_options, follower_outputs, followed, snapshots_tx);
            tokio::spawn(follower.run(follower_rx));
        }
    }
    let slots = Slots::new(SlotsOptions {
        clock,
        chart: lease_chart().wrap_err("cannot parse the state chart of leases")?,
        own_id: own_id.clone(),
        incarnation,
        lease_timing: options.lease_timing,
        count: cfg.slot_count,
        begun_in: options.begun_in,
        holder_poll_divisor: options.holder_poll_divisor,
        trusts_absence: cfg.takeover == TakeoverPolicy::Absence,
        platform: platform.clone(),
        metrics: metrics.clone(),
        fleet: fleet_rx.clone(),
        engine: engine_tx.clone(),
        peers: peers_tx.clone(),
    });
    tokio::spawn(slots.run(slots_rx));

    let owners = Owners::new(OwnersOptions {
        clock,
        own_id: own_id.clone(),
        domain: cfg.domain.as_str().into(),
        incarnation,
        split,
        view: view_rx.clone(),
        fleet: fleet_rx.clone(),
        engine: engine_tx.clone(),
        peers: peers_tx.clone(),
    });
    tokio::spawn(owners.run(owners_rx, outgoing_rx));

    let planner = Planner::new(PlannerOptions {
        clock,
        own_id: own_id.clone(),
        region: cfg.region.as_str().into(),
        view: view_rx.clone(),
        fleet: fleet_rx.clone(),
        policy: options.plan_policy,
        engine: engine_tx.clone(),
        peers: peers_tx.clone(),
    });
    tokio::spawn(planner.run());

    let (tables_tx, tables_rx) = mpsc::channel(CHANNEL_CAPACITY);
    let ledger = LedgerTask::new(LedgerTaskOptions {
        clock,
        own_id: own_id.clone(),
        incarnation,
        ledger: Ledger::new(ACTION_RETENTION, CLAIM_TIMEOUT)
            .wrap_err("cannot create the ledger")?,
        platform,
        secret,
        fleet: fleet_rx.clone(),
        view: view_rx.clone(),
        tables: tables_tx,
    });
    tokio::spawn(ledger.run(ledger_rx, incoming_rx));
    tokio::spawn(TableServer::new(snapshots_rx).run(tables_rx));
    if probes_targets {
        tokio::spawn(probes::run(view_rx.clone(), engine_tx.clone()));
    }

    let operator = Operator {
        clock,
        own_id,
        metrics,
        view: view_rx.clone(),
        fleet: fleet_rx,
        engine: engine_tx.clone(),
        sink: options.sink,
        connections: callers.connections.clone(),
        leave: leave_tx,
    };
    let operators = listen(cfg.operator, operator.to_router(), budget.other_listener)
        .await
        .wrap_err_with(|| format!("operator: {}", cfg.operator))?;
    Ok(Node {
        entry: callers.addr,
        operator: operators.addr,
        peer,
        leave_requests: leave_rx,
        callers,
        operators,
        lookup_ttl: lookup_ttl(cfg),
        engine: engine_tx,
        peers: peers_tx,
        follower: follower_tx,
        owners: owners_tx,
        slots: slots_tx,
        view: view_rx,
    })
}

/// Returns the entry with which the instance announces itself on the platform's list.
pub fn announcement(cfg: &DaemonSettings, peer: SocketAddr) -> ListedMachine {
    ListedMachine {
        id: cfg.instance.clone(),
        kind: MachineKind::Instance,
        domain: cfg.domain.as_str().into(),
        addr: peer,
        state: MachineState::Live,
    }
}

impl Node {
    /// Returns a receiver of the active configuration and its freshness.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Waits until a configuration is active and requests can be admitted, with tokens either of
    /// this instance's reservations or granted by a workspace's owner.
    pub fn ready(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut view = self.view.clone();
        let engine = self.engine.clone();
        async move {
            let _ = view.wait_for(|view| view.config.is_some()).await;
            while !can_admit(&engine).await {
                sleep(READY_POLL_INTERVAL).await;
            }
        }
    }
}

/// Returns whether requests of at least one workspace can be admitted, or there is no workspace.
///
/// Returns `true` if the engine has ended, so that callers don't wait for it forever.
async fn can_admit(engine: &mpsc::UnboundedSender<Event>) -> bool {
    let (reply, answer) = oneshot::channel();
    let _ = engine.send(Event::Status(reply));
    let Ok(status) = answer.await else {
        return true;
    };
    let has_tokens = status.available.values().any(|tokens| *tokens >= 1.0);
    status.available.is_empty() || has_tokens || !status.owners.is_empty()
}

fn handler_options(cfg: &DaemonSettings, options: &NodeOptions) -> HandlerOptions {
    HandlerOptions {
        max_body_bytes: cfg.body_limit_bytes,
        body_timeout: Duration::from_millis(cfg.body_timeout_ms),
        lookup_ttl: lookup_ttl(cfg),
        trace_sample_ratio: options.trace_sample_ratio,
    }
}

/// Binds UDP and TCP sockets to the same port.
async fn bind_peer(addr: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    const MAX_ATTEMPTS: u32 = 16;
    for _ in 0..MAX_ATTEMPTS {
        let tcp = TcpListener::bind(addr).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((udp, tcp)),
            // Retrying helps only if the system chooses the port.
            Err(err) if addr.port() != 0 => return Err(err),
            Err(_) => {}
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

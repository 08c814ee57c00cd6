//! One instance: its tasks, wired together.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use base::{Incarnation, InstanceId};
use coord::{Heartbeat, Membership, QuotaSplit, lease_chart};
use dispatch::Ledger;
use entry::{
    callers::{CallerHandler, HandlerOptions},
    engine::{Engine, EngineOptions},
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
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};
use wire::{Secret, Sessions};

use crate::{
    fleet::Fleet,
    follower::{self, Follower, FollowerOptions},
    ledger::{Ledgers, LedgersOptions},
    lister::{self, Hearing},
    message::{FollowerMessage, PeerCommand},
    operator::Operator,
    options::NodeOptions,
    owners::{Owners, OwnersMessage, OwnersOptions},
    peers::{self, Peers},
    planner::{Planner, PlannerOptions},
    probes,
    registry::{ComposedConfig, FollowedTables, Registry, RegistryOptions},
    rpc,
    slots::{Slots, SlotsOptions},
};

/// Time for which the list may lag, after which an absent instance has ended.
const FENCE: Duration = Duration::from_secs(40);
const SILENCE: Duration = Duration::from_secs(2);
const ACTION_RETENTION: Duration = Duration::from_secs(3_600);
const CLAIM_LIFE: Duration = Duration::from_secs(120);
const LONGEST_STOP: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(10);
/// Part of the time to stop for which new requests are taken.
const STOP_TAKES: f64 = 0.45;
/// Part of the time to stop for which new requests are told to go elsewhere.
const STOP_LISTENS: f64 = 0.8;
/// Part of the time to stop after which requests under way are no longer waited for.
const STOP_ENDS: f64 = 0.93;
const RELEASE_TIMEOUT: Duration = Duration::from_millis(150);
const CHANNEL: usize = 4_096;

/// Holds a running instance.
#[derive(Debug)]
pub struct Node {
    /// Address of the listener for callers.
    pub entry: SocketAddr,
    /// Address of the listener for operators.
    pub operator: SocketAddr,
    /// Address at which other instances reach it.
    pub peer: SocketAddr,
    /// Yields once when an operator wishes that the instance leave.
    pub leave: mpsc::Receiver<()>,
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

/// Tells where the configuration comes from.
#[derive(Debug)]
pub enum ConfigSource<F> {
    /// The product's own head row and objects, with a list that the platform keeps.
    HeadRow,
    /// Tables that are followed, with a list that the instances keep.
    Tables(FollowedTables<F>),
}

/// Turns followed tables into a configuration, where nothing has to be remembered for that.
pub type Compose = fn(&[&coord::Replica]) -> Option<ComposedConfig>;

/// Starts an instance.
///
/// # Errors
///
/// A report that names the listener whose address can't be had.
pub async fn start(cfg: &DaemonSettings, platform: Platform, options: NodeOptions) -> Result<Node> {
    start_with_source(cfg, platform, options, ConfigSource::<Compose>::HeadRow).await
}

/// Starts an instance whose configuration comes from `source`.
///
/// # Errors
///
/// As for [`start`].
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
    let me = InstanceId::from(cfg.instance.as_str());
    let life = Incarnation(rand::random::<u64>().max(1));
    let secret = Secret::derive(&cfg.secret);
    let metrics = Metrics::new().wrap_err("metrics")?;
    let (udp, tcp) = bind_peer(cfg.peer)
        .await
        .wrap_err_with(|| format!("peer: {}", cfg.peer))?;
    let peer = udp.local_addr().wrap_err("peer")?;
    let split = QuotaSplit {
        slots: cfg.slot_count,
        ..options.split
    };

    let (engine_tx, engine_rx) = mpsc::unbounded_channel();
    let (outgoing_tx, outgoing_rx) = mpsc::unbounded_channel();
    let (peers_tx, peers_rx) = mpsc::channel(CHANNEL);
    let (owners_tx, owners_rx) = mpsc::channel(CHANNEL);
    let (slots_tx, slots_rx) = mpsc::channel(1);
    let (follower_tx, follower_rx) = mpsc::channel(CHANNEL);
    let (ledger_tx, ledger_rx) = mpsc::channel(CHANNEL);
    let (incoming_tx, incoming_rx) = mpsc::channel(CHANNEL);
    let (leave_tx, leave_rx) = mpsc::channel(1);
    let (fleet_tx, fleet_rx) = watch::channel(Arc::new(Fleet::default()));
    let (view_tx, view_rx) = watch::channel(Arc::new(View::default()));

    let engine = Engine::new(
        clock,
        EngineOptions {
            region: cfg.region.as_str().into(),
            seed: life.0,
            split,
            policy: options.policy.clone(),
            refuses_when_isolated: cfg.alone == IsolationPolicy::Refuse,
        },
        outgoing_tx,
    )
    .wrap_err("engine")?;
    tokio::spawn(engine.run(engine_rx));

    let callers = CallerHandler {
        clock,
        events: engine_tx.clone(),
        ledger: ledger_tx,
        view: view_rx.clone(),
        metrics: metrics.clone(),
        ids: Arc::new(AtomicU64::new(1)),
        options: caller_limits(cfg, &options),
        dialect: Arc::new(options.dialect.clone()),
        recorder: options
            .sink
            .clone()
            .map_or_else(Recorder::default, |sink| Recorder::new(sink, me.clone())),
    };
    let callers = listen(cfg.entry, callers.into_router())
        .await
        .wrap_err_with(|| format!("entry: {}", cfg.entry))?;
    let own_entry = EntryPoint {
        instance: me.clone(),
        incarnation: life,
        domain: cfg.domain.as_str().into(),
        addr: callers.addr,
    };

    let heartbeat = Heartbeat {
        id: me.clone(),
        incarnation: life,
        domain: cfg.domain.as_str().into(),
        is_leaving: false,
        version: 0,
        confirmation_age: None,
    };
    let peers = Peers::new(
        clock,
        udp,
        Sessions::new(secret.clone(), me.clone(), life),
        Membership::new(FENCE, SILENCE),
        peers::initial_heartbeat(heartbeat, callers.addr),
        peers::Outputs {
            engine: engine_tx.clone(),
            owners: owners_tx.clone(),
            follower: follower_tx.clone(),
            fleet: fleet_tx,
        },
    );
    tokio::spawn(peers.run(peers_rx));
    tokio::spawn(rpc::serve(tcp, secret.clone(), incoming_tx));
    let (images_tx, images_rx) = watch::channel(Arc::new(Vec::new()));
    let confirm_limit = Duration::from_millis(cfg.confirm_limit_ms);
    let is_probing = matches!(source, ConfigSource::HeadRow);
    match source {
        ConfigSource::HeadRow => {
            let lister = lister::run(platform.clone(), peers_tx.clone(), engine_tx.clone());
            tokio::spawn(lister);
            let follower = Follower::new(
                FollowerOptions {
                    clock,
                    platform: platform.clone(),
                    secret: secret.clone(),
                    metrics: metrics.clone(),
                    confirm_limit,
                    own_entry,
                    fleet: fleet_rx.clone(),
                },
                follower::Outlets {
                    engine: engine_tx.clone(),
                    peers: peers_tx.clone(),
                    view: view_tx,
                },
            );
            tokio::spawn(follower.run(follower_rx));
        }
        ConfigSource::Tables(followed) => {
            let own = announcement(cfg, peer);
            let hearing = Hearing {
                clock,
                fleet: fleet_rx.clone(),
            };
            let lister = lister::run_announced(platform.clone(), own, hearing, peers_tx.clone());
            tokio::spawn(lister);
            let registry = Registry::new(RegistryOptions {
                clock,
                platform: platform.clone(),
                secret: secret.clone(),
                metrics: metrics.clone(),
                confirm_limit,
                own_entry,
                fleet: fleet_rx.clone(),
                followed,
                engine: engine_tx.clone(),
                peers: peers_tx.clone(),
                view: view_tx,
                images: images_tx,
            });
            tokio::spawn(registry.run(follower_rx));
        }
    }
    let slots = Slots::new(SlotsOptions {
        clock,
        chart: lease_chart().wrap_err("lease")?,
        me: me.clone(),
        life,
        terms: options.terms,
        count: cfg.slot_count,
        settled_polls: options.settled_polls,
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
        me: me.clone(),
        life,
        split,
        view: view_rx.clone(),
        fleet: fleet_rx.clone(),
        engine: engine_tx.clone(),
        peers: peers_tx.clone(),
    });
    tokio::spawn(owners.run(owners_rx, outgoing_rx));

    let planner = Planner::new(PlannerOptions {
        clock,
        me: me.clone(),
        region: cfg.region.as_str().into(),
        view: view_rx.clone(),
        fleet: fleet_rx.clone(),
        policy: options.plan,
        engine: engine_tx.clone(),
        peers: peers_tx.clone(),
    });
    tokio::spawn(planner.run());

    let ledgers = Ledgers::new(LedgersOptions {
        clock,
        me: me.clone(),
        life,
        ledger: Ledger::new(ACTION_RETENTION, CLAIM_LIFE).wrap_err("ledger")?,
        platform,
        secret,
        fleet: fleet_rx.clone(),
        view: view_rx.clone(),
        images: images_rx,
    });
    tokio::spawn(ledgers.run(ledger_rx, incoming_rx));
    if is_probing {
        tokio::spawn(probes::run(view_rx.clone(), engine_tx.clone()));
    }

    let operator = Operator {
        clock,
        me,
        metrics,
        view: view_rx.clone(),
        fleet: fleet_rx,
        engine: engine_tx.clone(),
        sink: options.sink,
        leave: leave_tx,
    };
    let operators = listen(cfg.operator, operator.to_router())
        .await
        .wrap_err_with(|| format!("operator: {}", cfg.operator))?;
    Ok(Node {
        entry: callers.addr,
        operator: operators.addr,
        peer,
        leave: leave_rx,
        callers,
        operators,
        lookup_ttl: Duration::from_millis(cfg.lookup_ttl_ms),
        engine: engine_tx,
        peers: peers_tx,
        follower: follower_tx,
        owners: owners_tx,
        slots: slots_tx,
        view: view_rx,
    })
}

/// Returns how the instance shows itself on a list that instances keep.
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
    /// Returns what is in force, as it changes.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Waits until a configuration is in force and requests can be admitted: from a floor, or by an
    /// owner.
    pub fn ready(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut view = self.view.clone();
        let engine = self.engine.clone();
        async move {
            let _ = view.wait_for(|view| view.config.is_some()).await;
            while !can_admit(&engine).await {
                sleep(READY_POLL).await;
            }
        }
    }

    /// Leaves as [`Node::stop`] does, but within `longest`.
    pub async fn stop_within(self, longest: Duration) {
        let started = Instant::now();
        let _ = timeout(RELEASE_TIMEOUT, self.begin_leaving()).await;
        sleep_until(started + longest.mul_f64(STOP_TAKES)).await;
        let _ = self.engine.send(Event::StopAccepting);
        sleep_until(started + longest.mul_f64(STOP_LISTENS)).await;
        let ends = started + longest.mul_f64(STOP_ENDS);
        let stopped = self.callers.stop(ends - Instant::now());
        let _ = timeout_at(ends, stopped).await;
        let _ = timeout(RELEASE_TIMEOUT, release_slots(&self.slots)).await;
        tracing::info!(event = "left");
    }

    /// Leaves without cutting a request: look-ups stop naming the instance, cached answers run
    /// out, requests under way end, and leases are given up.
    pub async fn stop(self) {
        self.begin_leaving().await;
        sleep(self.lookup_ttl).await;
        self.callers.stop(LONGEST_STOP).await;
        release_slots(&self.slots).await;
        self.operators.stop(Duration::from_secs(1)).await;
        tracing::info!(event = "left");
    }

    /// Tells all tasks, and through them the other instances, and stops granting.
    async fn begin_leaving(&self) {
        tracing::info!(event = "leaving");
        let _ = self.peers.send(PeerCommand::Leave).await;
        let _ = self.follower.send(FollowerMessage::Leave).await;
        let (done, released) = oneshot::channel();
        if self.owners.send(OwnersMessage::Release(done)).await.is_ok() {
            let _ = released.await;
        }
    }
}

/// Returns whether some workspace's requests can be admitted, or there is no workspace; an engine
/// that has ended is not waited for.
async fn can_admit(engine: &mpsc::UnboundedSender<Event>) -> bool {
    let (reply, answer) = oneshot::channel();
    let _ = engine.send(Event::Status(reply));
    let Ok(status) = answer.await else {
        return true;
    };
    let has_units = status.available.values().any(|units| *units >= 1.0);
    status.available.is_empty() || has_units || !status.owners.is_empty()
}

fn caller_limits(cfg: &DaemonSettings, options: &NodeOptions) -> HandlerOptions {
    HandlerOptions {
        max_body_bytes: cfg.body_limit_bytes,
        body_timeout: Duration::from_millis(cfg.body_timeout_ms),
        lookup_ttl: Duration::from_millis(cfg.lookup_ttl_ms),
        trace_sample_ratio: options.trace_share,
    }
}

/// Binds the same port for UDP and TCP.
async fn bind_peer(addr: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    const TRIES: u32 = 16;
    for _ in 0..TRIES {
        let tcp = TcpListener::bind(addr).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((udp, tcp)),
            // Only a port chosen by the system may be chosen anew.
            Err(err) if addr.port() != 0 => return Err(err),
            Err(_) => {}
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Gives the slots of the workspaces' floors back.
async fn release_slots(slots: &mpsc::Sender<oneshot::Sender<()>>) {
    let (done, released) = oneshot::channel();
    if slots.send(done).await.is_ok() {
        let _ = released.await;
    }
}

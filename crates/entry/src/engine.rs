//! The task that owns admission, dispatch and the idle connections to targets.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use admit::{Action as AdmitAction, AdmissionController, KeyIndex};
use base::{
    Config, ErrorKind, InstanceId, Refusal, RegionId, Route, RouteKind, RouteTable, ServiceId,
    TargetId, Time, Workspace, WorkspaceId,
};
use chart::ChartError;
use coord::{Freshness, QuotaSplit};
use dispatch::{
    Action, AdmittedRequest, Assignment, Dispatcher, Outcome, PathState, Policy, RequestId,
    RequestKind, RequestProgress,
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    dial::{DialPlan, Dialer, Relay},
    forward::{Connection, TargetFeedback},
    message::{
        Admitted, Arrival, AttemptPlan, Decision, EngineStatus, Event, LiveInstance,
        OutgoingMessage, ReachableOwner, RequestInfo, ServiceLoad,
    },
    view::Clock,
};

/// Workspace under which requests on open routes are queued.
pub const OPEN_WORKSPACE: &str = "(open)";

/// Interval between ticks while requests wait for quota or for a target.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between ticks while no request waits.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between loans; short enough that several may be lost before an earlier one expires.
const LEND_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reports of the rates that targets name.
const RATE_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two ticks that shows that the process was paused.
const PAUSE_TIME: Duration = Duration::from_millis(400);
/// Time after which a connection that checks the path is tried through another instance as well.
const CHECK_RELAY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of instances that are asked to carry a connection, one after the other.
const MAX_RELAYS_TRIED: usize = 3;
/// Number of route priorities within each workspace priority.
const ROUTE_PRIORITY_LIMIT: u32 = 1_000;
const MAX_EVENTS_PER_BATCH: usize = 256;

/// Configures an [`Engine`].
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Region in which the instance runs.
    pub region: RegionId,
    /// Seed of the random choice among targets.
    pub seed: u64,
    /// How the rates of workspaces are divided among instances.
    pub split: QuotaSplit,
    /// Retry, hedging and placement settings of the dispatcher.
    pub policy: Policy,
    /// Whether to refuse requests that need an API key while the instance is isolated, that is,
    /// reaches neither the platform nor any other instance.
    pub refuses_when_isolated: bool,
}

/// Owns admission, dispatch and the idle connections to targets.
#[derive(Debug)]
pub struct Engine {
    clock: Clock,
    refuses_when_isolated: bool,
    config: Option<Arc<Config>>,
    revision: u64,
    is_draining: bool,
    routes: RouteTable,
    /// Round-robin credits of the services of each route that has several, by route name.
    route_credits: BTreeMap<String, Vec<f64>>,
    freshness: Freshness,
    freshness_valid_until: Time,
    keys: KeyIndex,
    admission: AdmissionController,
    dispatcher: Dispatcher,
    requests: BTreeMap<RequestId, PendingRequest>,
    idle_connections: BTreeMap<TargetId, VecDeque<Connection>>,
    outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    /// Other instances that can carry connections to targets, with their regions.
    relays: Vec<(RegionId, Relay)>,
    ticked_at: Time,
    dialer: Dialer,
    /// Channel to this engine; weak, so that the engine ends with the other senders.
    events: mpsc::WeakUnboundedSender<Event>,
    owner_heartbeats: BTreeMap<WorkspaceId, u64>,
    last_lent_at: Time,
    rates_reported_at: Time,
    counters: BTreeMap<ServiceId, ServiceCounter>,
    counting_since: Time,
}

/// Counts the traffic of one service since the planner last collected it.
#[derive(Debug, Default)]
struct ServiceCounter {
    requests: u64,
    /// Requests that may run in one region only.
    pinned: BTreeMap<RegionId, u64>,
    responses: u64,
    response_bytes: u64,
}

#[derive(Debug)]
struct PendingRequest {
    tx: mpsc::UnboundedSender<Decision>,
    workspace: WorkspaceId,
    service: ServiceId,
    weight: u32,
    deadline: Time,
    kind: RequestKind,
    fingerprint: u64,
    awaits_dispatch: bool,
    is_open: bool,
    route: Arc<str>,
    objective_deadline: Time,
    priority: u32,
    max_attempts: u32,
    affinity: Option<u64>,
    allowed_regions: Arc<BTreeSet<RegionId>>,
}

impl Engine {
    /// Returns an engine that has no configuration yet, sends its messages to other instances through
    /// `outgoing`, and opens connections of its own
    /// by `dialer`, whose results it receives through `events`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if a state chart can't be parsed.
    pub fn new(
        dialer: Dialer,
        options: EngineOptions,
        outgoing: mpsc::UnboundedSender<OutgoingMessage>,
        events: mpsc::WeakUnboundedSender<Event>,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            clock: dialer.clock(),
            dialer,
            refuses_when_isolated: options.refuses_when_isolated,
            config: None,
            revision: 0,
            is_draining: false,
            routes: RouteTable::default(),
            route_credits: BTreeMap::new(),
            freshness: Freshness::Empty,
            freshness_valid_until: Time::ZERO,
            keys: KeyIndex::default(),
            admission: AdmissionController::new(options.split),
            dispatcher: Dispatcher::new(options.region, options.seed, options.policy)?,
            requests: BTreeMap::new(),
            idle_connections: BTreeMap::new(),
            outgoing,
            relays: Vec::new(),
            ticked_at: Time::ZERO,
            events,
            owner_heartbeats: BTreeMap::new(),
            last_lent_at: Time::ZERO,
            rates_reported_at: Time::ZERO,
            counters: BTreeMap::new(),
            counting_since: Time::ZERO,
        })
    }

    /// Handles events until all senders are dropped.
    ///
    /// The channel is unbounded because no [`Event::AttemptEnded`] may be lost; the listener's
    /// connection limit bounds the number of requests.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut ticked_at = Instant::now();
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_BATCH);
        loop {
            let is_busy = self.dispatcher.has_queued() || self.admission.has_queued();
            let interval = if is_busy {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            };
            tokio::select! {
                count = rx.recv_many(&mut events, MAX_EVENTS_PER_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for event in events.drain(..) {
                        self.handle(event);
                    }
                }
                () = sleep_until(self.next_tick(ticked_at + interval)) => {
                    ticked_at = Instant::now();
                    self.tick();
                }
            }
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::RequestArrived(arrival) => self.arrive(now, arrival),
            Event::Dispatch { id, fingerprint } => self.dispatch(now, id, Some(fingerprint)),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                response_bytes,
                connection,
                feedback,
            } => {
                self.count_response(id, response_bytes);
                self.record_feedback(now, id, attempt, feedback);
                if matches!(outcome, Outcome::Answered(_) | Outcome::Refused) {
                    self.record_named_rate(now, id, attempt, feedback.rate_limit);
                }
                self.finish_attempt(now, id, attempt, outcome, connection);
            }
            Event::CarryFailed(target) => {
                if self.dispatcher.take_path_check(now) {
                    self.probe(target, self.any_relays(now));
                }
            }
            Event::ProbeEnded {
                target,
                connection,
                dial,
            } => {
                if self.dispatcher.record_probe(now, &target, dial) {
                    self.change_path();
                }
                if let Some(connection) = connection {
                    self.return_connection(target, connection);
                }
            }
            Event::HedgeDelayElapsed(id) => {
                if let Some(assignment) = self.dispatcher.hedge(now, id) {
                    self.send_attempt(now, assignment);
                }
            }
            Event::Cancel(id) => {
                self.admission.cancel(id.0);
                self.dispatcher.cancel(id);
                self.requests.remove(&id);
            }
            Event::StopAccepting => self.is_draining = true,
            Event::ConfigActivated(config) => self.configure(now, config),
            Event::ConfigFreshness {
                freshness,
                valid_until,
            } => {
                self.freshness = freshness;
                self.freshness_valid_until = valid_until;
            }
            Event::HoldQuotaSlot {
                slot,
                until,
                previous_holder,
            } => self.admission.hold_slot(now, slot, until, previous_holder),
            Event::ReleaseQuotaSlot(slot, done) => {
                self.admission.release_slot(slot);
                let _ = done.send(());
            }
            Event::QuotaOwners(owners) => self.set_owners(owners),
            Event::LoanReturned(workspace, owner) => {
                self.admission.on_loans_returned(now, &workspace, &owner);
            }
            Event::GrantReceived(workspace, grant) => {
                let actions = self.admission.on_grant(now, &workspace, &grant);
                self.apply_admission(now, actions);
            }
            Event::TargetHealth(service, target, report) => {
                let actions = self
                    .dispatcher
                    .report_health(now, &service, &target, report);
                self.apply_dispatch(now, actions);
            }
            Event::TargetLeaving(target) => self.mark_target_leaving(now, &target),
            Event::RegionShares(shares_by_service) => {
                for (service, shares) in shares_by_service {
                    self.dispatcher.set_region_shares(&service, shares);
                }
            }
            Event::LiveInstances { own_id, instances } => self.set_instances(&own_id, instances),
            Event::RatesReported {
                not_before,
                reports,
            } => {
                let changed = self
                    .dispatcher
                    .merge_rate_reports(now, not_before, &reports);
                self.log_named_rates(&changed, "instance");
            }
            Event::RemoteLoss(loss) => {
                self.dispatcher.record_remote_loss(now, loss);
            }
            Event::CollectLoads(reply) => {
                let _ = reply.send(self.collect_loads(now));
            }
            Event::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
        }
    }
}

impl Engine {
    fn arrive(&mut self, now: Time, arrival: Arrival) {
        let (id, tx) = (arrival.id, arrival.tx.clone());
        match self.resolve(now, arrival) {
            Ok((request, is_open)) => {
                let (workspace, deadline) = (request.workspace.clone(), request.deadline);
                let info = RequestInfo {
                    route: request.route.clone(),
                    service: request.service.clone(),
                    workspace: workspace.clone(),
                    deadline,
                    objective_deadline: request.objective_deadline,
                    revision: self.revision,
                    affinity: request.affinity,
                };
                let _ = tx.send(Decision::Resolved(info));
                self.requests.insert(id, request);
                if is_open {
                    self.handle_admitted(now, id);
                } else {
                    let actions = self.admission.on_request(now, id.0, &workspace, deadline);
                    self.apply_admission(now, actions);
                }
            }
            Err(kind) => {
                let wait = match kind {
                    // The caller can retry on another instance at once.
                    ErrorKind::Leaving => Duration::from_millis(10),
                    _ => Duration::from_secs(1),
                };
                let refusal = Refusal::new(kind).retry_after(wait);
                let _ = tx.send(Decision::Refuse(refusal));
            }
        }
    }

    /// Resolves the service and workspace of a request; the flag is set if it needs no API key.
    fn resolve(
        &mut self,
        now: Time,
        arrival: Arrival,
    ) -> Result<(PendingRequest, bool), ErrorKind> {
        if self.is_draining {
            return Err(ErrorKind::Leaving);
        }
        if !self.routes.is_empty() {
            return self.resolve_by_route(now, arrival);
        }
        let config = self.config.as_ref().ok_or(ErrorKind::NotReady)?;
        let service = config
            .services
            .get(&arrival.service)
            .ok_or(ErrorKind::UnknownService)?;
        let is_open = config.is_open(&arrival.service, &arrival.path);
        let workspace = if is_open {
            WorkspaceId::from(OPEN_WORKSPACE)
        } else {
            self.authenticate(now, arrival.api_key.as_deref())?.clone()
        };
        let weight = config
            .workspaces
            .get(&workspace)
            .map_or(1, |settings| settings.weight);
        let limit = Duration::from_millis(u64::from(service.deadline_ms));
        let timeout = arrival.timeout.unwrap_or(limit).min(limit);
        let request = PendingRequest {
            tx: arrival.tx,
            workspace,
            service: arrival.service,
            weight,
            deadline: now + timeout,
            kind: arrival.kind,
            fingerprint: arrival.fingerprint,
            awaits_dispatch: arrival.awaits_dispatch,
            is_open,
            route: Arc::from(""),
            objective_deadline: now + timeout,
            priority: 0,
            max_attempts: u32::MAX,
            affinity: arrival.affinity,
            allowed_regions: Arc::default(),
        };
        Ok((request, is_open))
    }

    /// Resolves the route of a request by host and path, and its workspace by API key.
    fn resolve_by_route(
        &mut self,
        now: Time,
        arrival: Arrival,
    ) -> Result<(PendingRequest, bool), ErrorKind> {
        let config = self.config.clone().ok_or(ErrorKind::NotReady)?;
        let found = self.routes.find(&arrival.host, &arrival.full_path);
        let Some(route) = found.cloned() else {
            return Err(self.isolated_if_outdated(now, ErrorKind::UnknownService));
        };
        let workspace = if route.is_open {
            WorkspaceId::from(OPEN_WORKSPACE)
        } else {
            match self.authenticate(now, arrival.api_key.as_deref()) {
                Ok(workspace) => workspace.clone(),
                Err(kind) => return Err(self.isolated_if_outdated(now, kind)),
            }
        };
        let settings = config.workspaces.get(&workspace);
        let limit = Duration::from_millis(u64::from(route.timeout_ms));
        let timeout = arrival.timeout.unwrap_or(limit).min(limit);
        let request = PendingRequest {
            tx: arrival.tx,
            service: self.pick_service(&route),
            weight: settings.map_or(1, |settings| settings.weight),
            deadline: now + timeout,
            kind: match route.kind {
                RouteKind::Idempotent => RequestKind::Idempotent,
                RouteKind::Once => RequestKind::Once,
            },
            fingerprint: arrival.fingerprint,
            awaits_dispatch: arrival.awaits_dispatch,
            is_open: route.is_open,
            route: Arc::from(route.name.as_str()),
            objective_deadline: now
                + Duration::from_millis(u64::from(route.objective_ms)).min(timeout),
            priority: settings.map_or(0, |settings| settings.priority) * ROUTE_PRIORITY_LIMIT
                + route.priority,
            max_attempts: route.attempts.max(1),
            affinity: arrival.affinity.filter(|_| route.is_sticky),
            allowed_regions: allowed_regions(&route, settings),
            workspace,
        };
        Ok((request, route.is_open))
    }

    /// Returns `kind` where the active configuration is known to be the latest, and otherwise
    /// [`ErrorKind::Isolated`], since a later configuration may allow the request.
    fn isolated_if_outdated(&self, now: Time, kind: ErrorKind) -> ErrorKind {
        let is_latest = self.freshness == Freshness::Fresh && now <= self.freshness_valid_until;
        if is_latest { kind } else { ErrorKind::Isolated }
    }

    /// Picks a service of a route by smooth weighted round robin: each pick credits every service
    /// with its share of the weights and takes one credit from the service with the most.
    fn pick_service(&mut self, route: &Route) -> ServiceId {
        let [first, _, ..] = &route.services[..] else {
            let only = route.services.first();
            return only.map_or_else(|| ServiceId::from(""), |weighted| weighted.service.clone());
        };
        let total: u32 = route.services.iter().map(|weighted| weighted.weight).sum();
        let credits = self.route_credits.entry(route.name.clone()).or_default();
        credits.resize(route.services.len(), 0.0);
        for (credit, weighted) in credits.iter_mut().zip(&route.services) {
            *credit += f64::from(weighted.weight) / f64::from(total.max(1));
        }
        let largest = (0..credits.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]));
        let Some(idx) = largest else {
            return first.service.clone();
        };
        credits[idx] -= 1.0;
        route.services[idx].service.clone()
    }

    fn authenticate(&self, now: Time, key: Option<&str>) -> Result<&WorkspaceId, ErrorKind> {
        // After a pause of the process, the last freshness received may no longer be valid.
        let is_isolated = self.freshness == Freshness::Isolated || now > self.freshness_valid_until;
        if is_isolated && self.refuses_when_isolated {
            return Err(ErrorKind::Isolated);
        }
        let key = key.ok_or(ErrorKind::MissingKey)?;
        self.keys.workspace(key).ok_or(ErrorKind::UnknownKey)
    }

    fn handle_admitted(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.awaits_dispatch {
            self.dispatch(now, id, None);
            return;
        }
        let admitted = Admitted {
            workspace: request.workspace.clone(),
            deadline: request.deadline,
        };
        let _ = request.tx.send(Decision::Admitted(admitted));
    }

    fn dispatch(&mut self, now: Time, id: RequestId, fingerprint: Option<u64>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let admitted = AdmittedRequest {
            id,
            workspace: request.workspace.clone(),
            weight: request.weight,
            service: request.service.clone(),
            deadline: request.deadline,
            kind: request.kind,
            fingerprint: fingerprint.unwrap_or(request.fingerprint),
            objective_deadline: request.objective_deadline,
            priority: request.priority,
            route_priority: request.priority % ROUTE_PRIORITY_LIMIT,
            max_attempts: request.max_attempts,
            affinity: request.affinity,
            allowed_regions: request.allowed_regions.clone(),
        };
        let counter = self.counters.entry(admitted.service.clone()).or_default();
        let mut regions = admitted.allowed_regions.iter();
        match (regions.next(), regions.next()) {
            (Some(only), None) => *counter.pinned.entry(only.clone()).or_default() += 1,
            _ => counter.requests += 1,
        }
        let actions = self.dispatcher.submit(now, admitted);
        self.apply_dispatch(now, actions);
    }

    fn finish_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        connection: Option<Connection>,
    ) {
        let target = self.dispatcher.target_of(id, attempt).cloned();
        if let (Some(target), Some(connection)) = (target, connection) {
            self.return_connection(target, connection);
        }
        let (progress, actions) = self.dispatcher.finish(now, id, attempt, outcome);
        self.apply_dispatch(now, actions);
        if progress == RequestProgress::Ended {
            self.requests.remove(&id);
        }
    }

    fn return_connection(&mut self, target: TargetId, connection: Connection) {
        let idle = self.idle_connections.entry(target).or_default();
        idle.push_back(connection);
    }

    fn set_instances(&mut self, own_id: &InstanceId, instances: Vec<LiveInstance>) {
        let sharing = instances
            .iter()
            .map(|instance| (instance.id.clone(), instance.region.clone()));
        self.dispatcher.set_instances(own_id, sharing.collect());
        self.relays = instances
            .into_iter()
            .filter(|instance| instance.id != *own_id)
            .filter_map(|instance| {
                let relay = Relay {
                    instance: instance.id,
                    addr: instance.relay_addr?,
                };
                Some((instance.region, relay))
            })
            .collect();
    }

    /// Returns the instances that may carry a request to a target in `region`: some in that region, and
    /// one in another, in case the region's instances have all lost their path.
    ///
    /// A request with home regions passes no instance outside of them.
    fn relays_to(&self, region: &RegionId, request: &PendingRequest) -> Vec<Relay> {
        let allowed = &request.allowed_regions;
        let is_allowed = |found: &RegionId| allowed.is_empty() || allowed.contains(found);
        let (mut same, mut other) = (Vec::new(), Vec::new());
        for (found, relay) in self.relays.iter().filter(|(found, _)| is_allowed(found)) {
            let group = if found == region {
                &mut same
            } else {
                &mut other
            };
            group.push(relay.clone());
        }
        // The fingerprint spreads requests over the instances.
        let start = request.fingerprint as usize;
        for group in [&mut same, &mut other] {
            let len = group.len().max(1);
            group.rotate_left(start % len);
        }
        same.truncate(MAX_RELAYS_TRIED - 1);
        other.truncate(MAX_RELAYS_TRIED - same.len());
        same.into_iter().chain(other).collect()
    }

    /// Acts on a change of the path to the targets: drops idle connections that are of no use on the
    /// new one, and tells the other instances.
    fn change_path(&mut self) {
        let state = self.dispatcher.path_state();
        let is_direct = state == PathState::Direct;
        let lost_since = self.dispatcher.path_lost_since();
        tracing::info!(event = "target_path", is_direct);
        for connections in self.idle_connections.values_mut() {
            connections.retain(|connection| match (&connection.relay, is_direct) {
                (relay, true) => relay.is_none(),
                (Some(_), false) => true,
                (None, false) => connection.last_response_at > lost_since,
            });
        }
        let _ = self
            .outgoing
            .send(OutgoingMessage::TargetPath { is_direct });
    }

    /// Opens connections that no request waits for: to targets that are down, and such as show whether
    /// the path to the targets is lost or back.
    fn probe_targets(&mut self, now: Time) {
        for target in self.dispatcher.due_probes(now) {
            self.probe(target, Vec::new());
        }
        for target in self.dispatcher.due_path_checks(now) {
            self.probe(target, self.any_relays(now));
        }
    }

    /// Returns some instances that can open a connection without a request, in a changing order.
    fn any_relays(&self, now: Time) -> Vec<Relay> {
        let relays = self.relays.iter().map(|(_, relay)| relay.clone());
        let mut relays: Vec<Relay> = relays.collect();
        let start = now.as_micros() as usize % relays.len().max(1);
        relays.rotate_left(start);
        relays.truncate(MAX_RELAYS_TRIED);
        relays
    }

    fn probe(&self, target: TargetId, relays: Vec<Relay>) {
        let (Some(events), Some(addr)) = (self.events.upgrade(), self.addr_of(&target)) else {
            return;
        };
        let dialer = self.dialer.clone();
        tokio::spawn(async move {
            let plan = DialPlan {
                target: target.clone(),
                addr,
                relays,
                prefers_relay: false,
                relay_delay: CHECK_RELAY_DELAY,
            };
            let dialed = dialer.open(&plan).await;
            let _ = events.send(Event::ProbeEnded {
                target,
                connection: dialed.connection.ok(),
                dial: dialed.dial,
            });
        });
    }

    fn addr_of(&self, target: &TargetId) -> Option<SocketAddr> {
        let mut services = self.config.as_ref()?.services.values();
        services.find_map(|service| Some(service.targets.get(target)?.addr))
    }

    fn configure(&mut self, now: Time, config: Arc<Config>) {
        self.revision += 1;
        self.keys = KeyIndex::new(&config);
        self.routes = RouteTable::new(&config);
        self.route_credits
            .retain(|name, _| config.routes.iter().any(|route| route.name == *name));
        self.admission.configure(now, &config);
        let actions = self.dispatcher.configure(now, &config);
        self.idle_connections.retain(|target, _| {
            let mut services = config.services.values();
            services.any(|service| service.targets.contains_key(target))
        });
        self.config = Some(config);
        self.apply_dispatch(now, actions);
    }

    fn set_owners(&mut self, owners: Vec<(WorkspaceId, Option<ReachableOwner>)>) {
        self.owner_heartbeats.clear();
        for (workspace, reachable) in owners {
            if let Some(reachable) = &reachable {
                self.owner_heartbeats
                    .insert(workspace.clone(), reachable.last_heartbeat);
            }
            let owner = reachable.map(|reachable| reachable.owner);
            self.admission.set_owner(&workspace, owner);
        }
    }

    fn record_feedback(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        feedback: TargetFeedback,
    ) {
        let Some(service) = self
            .requests
            .get(&id)
            .map(|request| request.service.clone())
        else {
            return;
        };
        if self.dispatcher.record_dial(now, id, attempt, feedback.dial) {
            self.change_path();
        }
        let target = self.dispatcher.target_of(id, attempt).cloned();
        let Some(target) = target else {
            return;
        };
        if let Some(load) = feedback.load {
            self.dispatcher.record_load(now, &service, &target, load);
        }
        if let Some(connect_time) = feedback.connect_time {
            self.dispatcher
                .record_connect_time(&service, &target, connect_time);
        }
    }

    fn record_named_rate(&mut self, now: Time, id: RequestId, attempt: u32, per_s: Option<f64>) {
        let changed = self.dispatcher.record_named_rate(now, id, attempt, per_s);
        if let Some(target) = changed {
            self.log_named_rates(&[target], "answer");
            self.report_rates(now);
        }
    }

    fn log_named_rates(&self, changed: &[TargetId], source: &str) {
        if changed.is_empty() {
            return;
        }
        let named = self.dispatcher.named_rates();
        for target in changed {
            let found = named.iter().find(|(id, _)| id == target);
            let per_s = found.map(|(_, per_s)| *per_s);
            tracing::info!(event = "target_rate", %target, per_s, source);
        }
    }

    /// Tells the other instances what targets have said of their rates.
    fn report_rates(&mut self, now: Time) {
        self.rates_reported_at = now;
        let reports = self.dispatcher.rate_reports(now);
        if !reports.is_empty() {
            let _ = self.outgoing.send(OutgoingMessage::Rates(reports));
        }
    }

    fn mark_target_leaving(&mut self, now: Time, target: &TargetId) {
        let Some(config) = &self.config else {
            return;
        };
        for (name, service) in &config.services {
            if service.targets.contains_key(target) {
                self.dispatcher.mark_leaving(now, name, target);
            }
        }
    }

    /// Returns the earlier of `usual` and the time at which the first queued request expires.
    fn next_tick(&self, usual: Instant) -> Instant {
        let expiry = self.dispatcher.next_wait_deadline();
        expiry.map_or(usual, |at| usual.min(self.clock.instant(at)))
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let was_paused = now - self.ticked_at >= PAUSE_TIME;
        self.ticked_at = now;
        if self.dispatcher.check_path(now, was_paused) {
            self.change_path();
        }
        let actions = self.admission.tick(now);
        self.apply_admission(now, actions);
        if now - self.last_lent_at >= LEND_INTERVAL {
            self.last_lent_at = now;
            let actions = self.admission.lend(now);
            self.apply_admission(now, actions);
        }
        self.probe_targets(now);
        if now - self.rates_reported_at >= RATE_REPORT_INTERVAL {
            self.report_rates(now);
        }
        let actions = self.dispatcher.tick(now);
        self.apply_dispatch(now, actions);
        for connections in self.idle_connections.values_mut() {
            while connections
                .front()
                .is_some_and(|oldest| now - oldest.last_response_at > oldest.idle_timeout)
            {
                connections.pop_front();
            }
        }
    }

    fn apply_admission(&mut self, now: Time, actions: Vec<AdmitAction>) {
        for action in actions {
            match action {
                AdmitAction::Admit(id) => self.handle_admitted(now, RequestId(id)),
                AdmitAction::Refuse(id, refusal) => self.refuse(RequestId(id), refusal),
                AdmitAction::RequestGrant(workspace, owner, request) => {
                    let _ = self.outgoing.send(OutgoingMessage::GrantRequest {
                        workspace,
                        owner,
                        request,
                    });
                }
                AdmitAction::Lend(workspace, owner, loans) => {
                    let last_heartbeat =
                        self.owner_heartbeats.get(&workspace).copied().unwrap_or(0);
                    let _ = self.outgoing.send(OutgoingMessage::Lend {
                        workspace,
                        owner,
                        loans,
                        at: now,
                        last_heartbeat,
                    });
                }
            }
        }
    }

    fn apply_dispatch(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.send_attempt(now, assignment),
                Action::Refuse(id, refusal) => self.refuse(id, refusal),
                Action::ReportLoss(loss) => {
                    let _ = self.outgoing.send(OutgoingMessage::ConnectionLoss(loss));
                }
            }
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(request) = self.requests.remove(&id) {
            let _ = request.tx.send(Decision::Refuse(refusal));
        }
    }

    /// Passes an attempt to the request's handler to send; cancels it if there is no handler.
    fn send_attempt(&mut self, now: Time, assignment: Assignment) {
        let (id, attempt) = (assignment.id, assignment.attempt);
        let planned = self.requests.get(&id).and_then(|request| {
            let plan = AttemptPlan {
                addr: self.target_addr(&assignment)?,
                connection: None,
                relays: self.relays_to(&assignment.region, request),
                deadline: request.deadline,
                workspace: request.workspace.clone(),
                is_open: request.is_open,
                assignment,
            };
            Some((request.tx.clone(), plan))
        });
        let Some((tx, mut plan)) = planned else {
            self.abandon_attempt(now, id, attempt);
            return;
        };
        let allowed = self
            .requests
            .get(&id)
            .map(|request| request.allowed_regions.clone());
        let allowed = allowed.unwrap_or_default();
        plan.connection = self.take_connection(now, &plan.assignment, plan.addr, &allowed);
        if tx.send(Decision::SendAttempt(Box::new(plan))).is_err() {
            self.abandon_attempt(now, id, attempt);
        }
    }

    fn abandon_attempt(&mut self, now: Time, id: RequestId, attempt: u32) {
        let (_, actions) = self.dispatcher.finish(now, id, attempt, Outcome::Canceled);
        self.requests.remove(&id);
        self.apply_dispatch(now, actions);
    }

    fn target_addr(&self, assignment: &Assignment) -> Option<SocketAddr> {
        let service = self.config.as_ref()?.services.get(&assignment.service)?;
        Some(service.targets.get(&assignment.target)?.addr)
    }

    /// Takes the most recently used idle connection to the target.
    ///
    /// A connection that another instance carries is used only if that instance is in one of the
    /// `allowed` regions. Where the assignment needs a fresh connection, one that has been idle for
    /// too long is not used: the target may have closed it, and a request lost on it can't be sent
    /// again.
    fn take_connection(
        &mut self,
        now: Time,
        assignment: &Assignment,
        addr: SocketAddr,
        allowed: &BTreeSet<RegionId>,
    ) -> Option<Connection> {
        let relays = &self.relays;
        let may_carry = |connection: &Connection| {
            connection.relay.as_ref().is_none_or(|instance| {
                let mut known = relays.iter();
                known.any(|(region, relay)| {
                    relay.instance == *instance && (allowed.is_empty() || allowed.contains(region))
                })
            })
        };
        let connections = self.idle_connections.get_mut(&assignment.target)?;
        while let Some(connection) = connections.pop_back() {
            let is_usable = connection.is_open() && connection.addr == addr;
            if !is_usable || !may_carry(&connection) {
                continue;
            }
            let is_fresh = now - connection.last_response_at <= connection.fresh_timeout;
            if is_fresh || !assignment.needs_fresh_connection {
                return Some(connection);
            }
            // The remaining connections have been idle for even longer.
            connections.clear();
        }
        None
    }

    fn count_response(&mut self, id: RequestId, response_bytes: Option<usize>) {
        let service = self.requests.get(&id).map(|request| &request.service);
        if let (Some(service), Some(bytes)) = (service, response_bytes) {
            let counter = self.counters.entry(service.clone()).or_default();
            counter.responses += 1;
            counter.response_bytes += bytes as u64;
        }
    }

    fn collect_loads(&mut self, now: Time) -> BTreeMap<ServiceId, ServiceLoad> {
        let secs = (now - self.counting_since).as_secs_f64().max(1e-3);
        self.counting_since = now;
        let counters = std::mem::take(&mut self.counters);
        self.dispatcher
            .pool_stats()
            .into_iter()
            .map(|pool| {
                let counter = counters.get(&pool.service);
                let responded = counter.filter(|counter| counter.responses > 0);
                let pinned = counter.into_iter().flat_map(|counter| &counter.pinned);
                let load = ServiceLoad {
                    pinned_requests_per_s: pinned
                        .map(|(region, requests)| (region.clone(), *requests as f64 / secs))
                        .collect(),
                    requests_per_s: counter.map_or(0.0, |counter| counter.requests as f64 / secs),
                    mean_response_bytes: responded
                        .map(|counter| counter.response_bytes as f64 / counter.responses as f64),
                    latency: pool.latency,
                    service_time: pool.service_time,
                    targets: pool.targets,
                };
                (pool.service, load)
            })
            .collect()
    }

    fn status(&mut self, now: Time) -> EngineStatus {
        EngineStatus {
            requests: self.requests.len(),
            queued: self.dispatcher.queue_len(),
            retries_left: self.dispatcher.retries_left(),
            targets: self.dispatcher.targets(now),
            available: self.admission.available(now),
            owners: self.admission.owners(),
            path: self.dispatcher.path_state(),
            named_rates: self.dispatcher.named_rates(),
            quarantined: self.dispatcher.quarantined(now),
        }
    }
}

/// Returns the regions that both the route and the workspace allow; empty if all are allowed.
fn allowed_regions(route: &Route, workspace: Option<&Workspace>) -> Arc<BTreeSet<RegionId>> {
    let workspace_regions = workspace.map(|workspace| &workspace.homes);
    match workspace_regions.filter(|regions| !regions.is_empty()) {
        Some(regions) if route.homes.is_empty() => Arc::new(regions.clone()),
        Some(regions) => {
            let mut common: BTreeSet<RegionId> =
                regions.intersection(&route.homes).cloned().collect();
            if common.is_empty() {
                // No region has an empty name, so the request may run nowhere.
                common.insert(RegionId::from(""));
            }
            Arc::new(common)
        }
        None => Arc::new(route.homes.clone()),
    }
}

//! The task that owns admission, dispatch and the idle connections to targets.

mod attempts;
mod departures;
mod lag;
mod loads;
mod paths;
mod rates;
mod revision;
mod routing;
mod split;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use admit::{AdmissionController, KeyIndex};
use base::{
    AllowedRegions, Config, RegionId, Route, RouteTable, ServiceId, TargetId, Time, WorkspaceId,
};
use chart::ChartError;
use coord::{Freshness, QuotaSplit};
use dispatch::{Dispatcher, Outcome, PathState, Policy, RequestId, RequestKind};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use crate::{
    connection::Connection,
    dial::Dialer,
    message::{Confirmation, Decision, Event, OutgoingMessage, ReachableOwner},
    relay::Relay,
    view::Clock,
};
use lag::Outdated;
use split::WeightedSplit;

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
const MAX_EVENTS_PER_BATCH: usize = 256;

/// Configures an [`Engine`].
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Region in which the instance runs.
    pub region: RegionId,
    /// Seed of the random choice among targets and among the services of a route.
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
    /// Publishes the revision in force to the attempts that aren't sent yet.
    in_force: watch::Sender<u64>,
    /// Publishes to them until when they may be sent without another report of the follower.
    sends_until: watch::Sender<Time>,
    is_draining: bool,
    routes: RouteTable,
    /// How the requests of each route with several services are divided, by route name.
    splits: BTreeMap<String, WeightedSplit>,
    rng: Pcg32,
    freshness: Freshness,
    freshness_valid_until: Time,
    confirmed_at: Option<Time>,
    /// Time until which no later configuration has to be in force.
    refuse_until: Time,
    confirmation: Option<Confirmation>,
    /// Time until which no target that has left has to be out of use.
    targets_until: Time,
    /// The operators' version of the configuration.
    version: Option<u64>,
    outdated: Outdated,
    keys: KeyIndex,
    admission: AdmissionController,
    dispatcher: Dispatcher,
    requests: BTreeMap<RequestId, PendingRequest>,
    idle_connections: BTreeMap<TargetId, VecDeque<Connection>>,
    outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    /// Other instances that can carry connections to targets.
    relays: Vec<Relay>,
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

/// What a caller sent that decides by whom and where its request may be run.
#[derive(Debug)]
struct Origin {
    host: String,
    full_path: String,
    /// Service named by the first path segment, where there are no routes.
    service: ServiceId,
    /// Path below that service.
    path: String,
    api_key: Option<String>,
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
    /// Regions in which the request may run; its attempts receive changes.
    allowed_regions: watch::Sender<AllowedRegions>,
    /// What its caller sent.
    origin: Origin,
}

impl Engine {
    /// Returns an engine that has no configuration yet, sends its messages to other instances
    /// through `outgoing`, and opens connections of its own by `dialer`, whose results it receives
    /// through `events`.
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
            in_force: watch::Sender::new(0),
            sends_until: watch::Sender::new(Time::NEVER),
            is_draining: false,
            routes: RouteTable::default(),
            splits: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(options.seed),
            freshness: Freshness::Empty,
            freshness_valid_until: Time::ZERO,
            confirmed_at: None,
            refuse_until: Time::ZERO,
            confirmation: None,
            targets_until: Time::ZERO,
            version: None,
            outdated: Outdated::default(),
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
            let tick_at = self.next_tick(ticked_at + interval);
            tokio::select! {
                // Events that have waited are handled before time counts as silence.
                biased;
                count = rx.recv_many(&mut events, MAX_EVENTS_PER_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.hear_follower(&mut events);
                    for event in events.drain(..) {
                        self.handle(event);
                    }
                }
                () = sleep_until(tick_at) => {}
            }
            if Instant::now() >= tick_at {
                ticked_at = Instant::now();
                self.tick();
            }
        }
    }

    /// Puts what the follower has sent before the rest, which is then decided by its latest report. That report counts
    /// from the first event on: what has waited behind a long turn of this engine was no silence of the follower.
    fn hear_follower(&mut self, events: &mut [Event]) {
        if !events.iter().any(Event::is_of_config) {
            return;
        }
        events.sort_by_key(|event| !event.is_of_config());
        let words = events.iter().filter_map(|event| match event {
            Event::ConfigFreshness { valid_until, .. } => Some(*valid_until),
            _ => None,
        });
        self.freshness_valid_until = words.fold(self.freshness_valid_until, Time::max);
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        // After a standstill, the follower's report is handled first.
        if !matches!(event, Event::ConfigFreshness { .. }) {
            self.check_outdated(now);
        }
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
                if feedback.is_leaving {
                    self.record_leaving(now, id, attempt);
                }
                if let Some(rest) = feedback.rest {
                    self.record_rest(now, id, attempt, rest);
                }
                self.finish_attempt(now, id, attempt, outcome, connection);
            }
            Event::RelayFailed(target) => {
                if let Some(checked) = self.dispatcher.due_asked_check(now, &target) {
                    self.probe(checked, self.any_relays(now));
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
                let is_direct = self.dispatcher.path_state() == PathState::Direct;
                // While the path is lost, a connection that opened may still bring no answer.
                let sound = connection.filter(|one| is_direct || one.relay.is_some());
                if let Some(connection) = sound {
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
            Event::StopAccepting => self.stop_accepting(now),
            Event::EndRequests => self.end_requests(),
            Event::ConfigActivated { config, version } => self.configure(now, &config, version),
            Event::TargetsLeft(targets) => self.take_out(now, &targets),
            Event::EntriesLeft(config, left) => self.apply_departures(now, config, &left),
            Event::ConfigFreshness {
                freshness,
                valid_until,
                confirmed_at,
                refuse_until,
                confirmation,
                targets_until,
            } => {
                self.freshness = freshness;
                self.freshness_valid_until = self.freshness_valid_until.max(valid_until);
                self.confirmed_at = confirmed_at;
                self.refuse_until = refuse_until;
                self.confirmation = confirmation;
                self.targets_until = targets_until;
                self.sends_until.send_replace(self.valid_until());
                self.check_outdated(now);
            }
            Event::ConfigBehind(lag) => self.set_lag(now, lag),
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
            Event::RemoteLoss(report) => {
                let actions = self.dispatcher.record_remote_loss(now, report);
                self.apply_dispatch(now, actions);
            }
            Event::RemoteQuarantine { not_before, report } => {
                let actions = self.dispatcher.merge_quarantine(now, not_before, &report);
                self.apply_dispatch(now, actions);
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
    fn configure(&mut self, now: Time, config: &Arc<Config>, version: Option<u64>) {
        let previous = self.config.replace(config.clone()).unwrap_or_default();
        self.revision += 1;
        self.version = version;
        self.in_force.send_replace(self.revision);
        if previous.keys != config.keys || previous.workspaces != config.workspaces {
            self.keys = KeyIndex::new(config);
        }
        if previous.routes != config.routes {
            self.routes = RouteTable::new(config);
            self.retain_splits(&config.routes);
        }
        let mut actions = self.revise_requests(now);
        self.admission.configure(now, config);
        actions.extend(self.dispatcher.configure(now, config));
        self.idle_connections.retain(|target, _| {
            let mut services = config.services.values();
            services.any(|service| service.targets.contains_key(target))
        });
        self.apply_dispatch(now, actions);
    }

    /// Keeps the splits of routes whose services have the same weights as before.
    fn retain_splits(&mut self, routes: &[Route]) {
        let mut by_name: BTreeMap<&str, Vec<&Route>> = BTreeMap::new();
        for route in routes {
            by_name.entry(&route.name).or_default().push(route);
        }
        self.splits.retain(|name, split| {
            let mut named = by_name.get(name.as_str()).into_iter().flatten();
            named.any(|route| split.is_among(&route.services))
        });
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
        self.check_outdated(now);
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
}

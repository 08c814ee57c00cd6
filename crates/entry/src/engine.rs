//! The task that owns admission, dispatch and the idle connections to targets.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use admit::{Action as AdmitAction, Admission, Keys};
use base::{
    Config, ErrorKind, Refusal, RegionId, Route, RouteKind, RouteTable, ServiceId, TargetId, Time,
    Workspace, WorkspaceId,
};
use chart::ChartError;
use coord::{Split, Standing};
use dispatch::{Action, Assignment, Dispatcher, Next, Outcome, Policy, RequestId, Work, WorkKind};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    forward::Connection,
    message::{
        Admitted, Arrival, AttemptPlan, Decision, EngineStatus, Event, OutgoingMessage,
        ReachableOwner, RequestInfo, ServiceLoad, TargetFeedback,
    },
    view::Clock,
};

/// Workspace under which requests on open routes are queued.
pub const OPEN_WORKSPACE: &str = "(open)";

/// Time between looks at what waits.
const TICK: Duration = Duration::from_millis(10);
/// The same while nothing waits.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between loans; several of them can be lost before one has ended.
const LEND_INTERVAL: Duration = Duration::from_millis(500);
/// Routes' ranks below each rank of workspaces.
const PRIORITY_SPAN: u32 = 1_000;
const EVENTS_AT_ONCE: usize = 256;

/// Holds the settings of the engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Region in which the instance runs.
    pub region: RegionId,
    /// Seed of the random choices among targets.
    pub seed: u64,
    /// How workspaces' rates are divided.
    pub split: Split,
    /// Constants of dispatch.
    pub policy: Policy,
    /// Whether requests that need a key are refused while the instance is cut off from all.
    pub refuses_when_isolated: bool,
}

/// Owns admission, dispatch and idle connections.
#[derive(Debug)]
pub struct Engine {
    clock: Clock,
    refuses_when_isolated: bool,
    config: Option<Arc<Config>>,
    revision: u64,
    is_closed: bool,
    routes: RouteTable,
    /// What each service of a split route is owed, by the route's name.
    splits: BTreeMap<String, Vec<f64>>,
    standing: Standing,
    standing_until: Time,
    keys: Keys,
    admission: Admission,
    dispatcher: Dispatcher,
    callers: BTreeMap<RequestId, Caller>,
    idle: BTreeMap<TargetId, VecDeque<Connection>>,
    outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    owner_heartbeats: BTreeMap<WorkspaceId, u64>,
    lent_at: Time,
    counts: BTreeMap<ServiceId, Count>,
    counted_from: Time,
}

/// Counts what one service has done since the planner last asked.
#[derive(Debug, Default)]
struct Count {
    requests: u64,
    /// Requests that may run in one region alone.
    bound: BTreeMap<RegionId, u64>,
    answers: u64,
    bytes: u64,
}

#[derive(Debug)]
struct Caller {
    tx: mpsc::UnboundedSender<Decision>,
    workspace: WorkspaceId,
    service: ServiceId,
    weight: u32,
    deadline: Time,
    kind: WorkKind,
    fingerprint: u64,
    is_held: bool,
    is_open: bool,
    route: Arc<str>,
    objective: Time,
    priority: u32,
    attempts: u32,
    affinity: Option<u64>,
    homes: Arc<BTreeSet<RegionId>>,
}

impl Engine {
    /// Returns an engine with no configuration; what it has to say to owners goes to `outgoing`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where a state chart can't be read.
    pub fn new(
        clock: Clock,
        options: EngineOptions,
        outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            clock,
            refuses_when_isolated: options.refuses_when_isolated,
            config: None,
            revision: 0,
            is_closed: false,
            routes: RouteTable::default(),
            splits: BTreeMap::new(),
            standing: Standing::Empty,
            standing_until: Time::ZERO,
            keys: Keys::default(),
            admission: Admission::new(options.split),
            dispatcher: Dispatcher::new(options.region, options.seed, options.policy)?,
            callers: BTreeMap::new(),
            idle: BTreeMap::new(),
            outgoing,
            owner_heartbeats: BTreeMap::new(),
            lent_at: Time::ZERO,
            counts: BTreeMap::new(),
            counted_from: Time::ZERO,
        })
    }

    /// Handles events until all senders are gone.
    ///
    /// The channel is unbounded because ends of attempts must never be lost; the listener bounds
    /// the number of requests.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut ticked_at = Instant::now();
        let mut events = Vec::with_capacity(EVENTS_AT_ONCE);
        loop {
            let is_busy = self.dispatcher.has_queued() || self.admission.has_waiting();
            let pause = if is_busy { TICK } else { IDLE_TICK };
            tokio::select! {
                count = rx.recv_many(&mut events, EVENTS_AT_ONCE) => {
                    if count == 0 {
                        return;
                    }
                    for event in events.drain(..) {
                        self.handle(event);
                    }
                }
                () = sleep_until(self.next_tick(ticked_at + pause)) => {
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
            Event::Arrive(arrival) => self.arrive(now, arrival),
            Event::Dispatch { id, fingerprint } => self.dispatch(now, id, Some(fingerprint)),
            Event::Finish {
                id,
                attempt,
                outcome,
                answer_bytes,
                connection,
                feedback,
            } => {
                self.count_answer(id, answer_bytes);
                self.record_feedback(now, id, attempt, feedback);
                self.finish(now, id, attempt, outcome, connection);
            }
            Event::Hedge(id) => {
                if let Some(assignment) = self.dispatcher.hedge(now, id) {
                    self.go(now, assignment);
                }
            }
            Event::Cancel(id) => {
                self.admission.cancel(id.0);
                self.dispatcher.cancel(id);
                self.callers.remove(&id);
            }
            Event::StopAccepting => self.is_closed = true,
            Event::Config(config) => self.configure(now, config),
            Event::Standing { standing, until } => {
                self.standing = standing;
                self.standing_until = until;
            }
            Event::HoldFloor {
                slot,
                until,
                before,
            } => self.admission.hold_floor(now, slot, until, before),
            Event::DropFloor(slot, done) => {
                self.admission.drop_floor(slot);
                let _ = done.send(());
            }
            Event::Owners(owners) => self.set_owners(owners),
            Event::LoanReturned(workspace, owner) => {
                self.admission.returned(now, &workspace, &owner);
            }
            Event::GrantReceived(workspace, grant) => {
                let actions = self.admission.granted(now, &workspace, &grant);
                self.apply_admission(now, actions);
            }
            Event::TargetReport(service, target, report) => {
                let actions = self.dispatcher.report(now, &service, &target, report);
                self.apply(now, actions);
            }
            Event::TargetLeaving(target) => self.target_leaves(now, &target),
            Event::TrafficPlan(routes) => {
                for (service, route) in routes {
                    self.dispatcher.set_route(&service, route);
                }
            }
            Event::RemoteLoss(loss) => {
                self.dispatcher.lost_elsewhere(now, loss);
            }
            Event::CollectLoads(reply) => {
                let _ = reply.send(self.loads(now));
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
        match self.accept(now, arrival) {
            Ok((caller, is_open)) => {
                let (workspace, deadline) = (caller.workspace.clone(), caller.deadline);
                let about = RequestInfo {
                    route: caller.route.clone(),
                    service: caller.service.clone(),
                    workspace: workspace.clone(),
                    deadline,
                    revision: self.revision,
                    object: caller.affinity,
                };
                let _ = tx.send(Decision::Accepted(about));
                self.callers.insert(id, caller);
                if is_open {
                    self.admitted(now, id);
                } else {
                    let actions = self.admission.arrive(now, id.0, &workspace, deadline);
                    self.apply_admission(now, actions);
                }
            }
            Err(kind) => {
                let wait = match kind {
                    // Another instance can be asked at once.
                    ErrorKind::Leaving => Duration::from_millis(10),
                    _ => Duration::from_secs(1),
                };
                let refusal = Refusal::new(kind).retry_after(wait);
                let _ = tx.send(Decision::Refuse(refusal));
            }
        }
    }

    /// Finds out whose request it is; the flag tells whether its route is open to all.
    fn accept(&mut self, now: Time, arrival: Arrival) -> Result<(Caller, bool), ErrorKind> {
        if self.is_closed {
            return Err(ErrorKind::Leaving);
        }
        if !self.routes.is_empty() {
            return self.accept_routed(now, arrival);
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
            self.authenticate(now, arrival.key.as_deref())?.clone()
        };
        let weight = config
            .workspaces
            .get(&workspace)
            .map_or(1, |found| found.weight);
        let longest = Duration::from_millis(u64::from(service.deadline_ms));
        let timeout = arrival.timeout.unwrap_or(longest).min(longest);
        let caller = Caller {
            tx: arrival.tx,
            workspace,
            service: arrival.service,
            weight,
            deadline: now + timeout,
            kind: arrival.kind,
            fingerprint: arrival.fingerprint,
            is_held: arrival.is_held,
            is_open,
            route: Arc::from(""),
            objective: now + timeout,
            priority: 0,
            attempts: u32::MAX,
            affinity: arrival.affinity,
            homes: Arc::default(),
        };
        Ok((caller, is_open))
    }

    /// Finds the route of a request by host and path, and whose request it is.
    fn accept_routed(&mut self, now: Time, arrival: Arrival) -> Result<(Caller, bool), ErrorKind> {
        let config = self.config.clone().ok_or(ErrorKind::NotReady)?;
        let found = self.routes.find(&arrival.host, &arrival.whole_path);
        let Some(route) = found.cloned() else {
            return Err(self.unless_outdated(now, ErrorKind::UnknownService));
        };
        let workspace = if route.is_open {
            WorkspaceId::from(OPEN_WORKSPACE)
        } else {
            match self.authenticate(now, arrival.key.as_deref()) {
                Ok(workspace) => workspace.clone(),
                Err(kind) => return Err(self.unless_outdated(now, kind)),
            }
        };
        let owner = config.workspaces.get(&workspace);
        let longest = Duration::from_millis(u64::from(route.timeout_ms));
        let timeout = arrival.timeout.unwrap_or(longest).min(longest);
        let caller = Caller {
            tx: arrival.tx,
            service: self.pick_service(&route),
            weight: owner.map_or(1, |found| found.weight),
            deadline: now + timeout,
            kind: match route.kind {
                RouteKind::Idempotent => WorkKind::Idempotent,
                RouteKind::Once => WorkKind::Once,
            },
            fingerprint: arrival.fingerprint,
            is_held: arrival.is_held,
            is_open: route.is_open,
            route: Arc::from(route.name.as_str()),
            objective: now + Duration::from_millis(u64::from(route.objective_ms)).min(timeout),
            priority: owner.map_or(0, |found| found.priority) * PRIORITY_SPAN + route.priority,
            attempts: route.attempts.max(1),
            affinity: arrival.affinity.filter(|_| route.is_sticky),
            homes: joint_homes(&route, owner),
            workspace,
        };
        Ok((caller, route.is_open))
    }

    /// Returns the kind of a refusal, or one that says nothing final where a later configuration
    /// may allow the request.
    fn unless_outdated(&self, now: Time, kind: ErrorKind) -> ErrorKind {
        let is_latest = self.standing == Standing::Fresh && now <= self.standing_until;
        if is_latest { kind } else { ErrorKind::Isolated }
    }

    /// Picks the service of a route that is owed most by the weights.
    fn pick_service(&mut self, route: &Route) -> ServiceId {
        let [first, _, ..] = &route.services[..] else {
            let only = route.services.first();
            return only.map_or_else(|| ServiceId::from(""), |found| found.service.clone());
        };
        let total: u32 = route.services.iter().map(|found| found.weight).sum();
        let owed = self.splits.entry(route.name.clone()).or_default();
        owed.resize(route.services.len(), 0.0);
        for (owed, found) in owed.iter_mut().zip(&route.services) {
            *owed += f64::from(found.weight) / f64::from(total.max(1));
        }
        let most = (0..owed.len()).max_by(|a, b| owed[*a].total_cmp(&owed[*b]));
        let Some(idx) = most else {
            return first.service.clone();
        };
        owed[idx] -= 1.0;
        route.services[idx].service.clone()
    }

    fn authenticate(&self, now: Time, key: Option<&str>) -> Result<&WorkspaceId, ErrorKind> {
        // A process that was paused wakes to an outdated standing.
        let is_alone = self.standing == Standing::Alone || now > self.standing_until;
        if is_alone && self.refuses_when_isolated {
            return Err(ErrorKind::Isolated);
        }
        let key = key.ok_or(ErrorKind::MissingKey)?;
        self.keys.workspace(key).ok_or(ErrorKind::UnknownKey)
    }

    fn admitted(&mut self, now: Time, id: RequestId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        if !caller.is_held {
            self.dispatch(now, id, None);
            return;
        }
        let admitted = Admitted {
            workspace: caller.workspace.clone(),
            deadline: caller.deadline,
        };
        let _ = caller.tx.send(Decision::Admitted(admitted));
    }

    fn dispatch(&mut self, now: Time, id: RequestId, fingerprint: Option<u64>) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let work = Work {
            id,
            workspace: caller.workspace.clone(),
            weight: caller.weight,
            service: caller.service.clone(),
            deadline: caller.deadline,
            kind: caller.kind,
            fingerprint: fingerprint.unwrap_or(caller.fingerprint),
            objective: caller.objective,
            priority: caller.priority,
            route_priority: caller.priority % PRIORITY_SPAN,
            attempts: caller.attempts,
            affinity: caller.affinity,
            homes: caller.homes.clone(),
        };
        let count = self.counts.entry(work.service.clone()).or_default();
        let mut homes = work.homes.iter();
        match (homes.next(), homes.next()) {
            (Some(only), None) => *count.bound.entry(only.clone()).or_default() += 1,
            _ => count.requests += 1,
        }
        let actions = self.dispatcher.submit(now, work);
        self.apply(now, actions);
    }

    fn finish(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        connection: Option<Connection>,
    ) {
        let target = self.dispatcher.target_of(id, attempt).cloned();
        if let (Some(target), Some(connection)) = (target, connection) {
            self.idle.entry(target).or_default().push_back(connection);
        }
        let (next, actions) = self.dispatcher.finish(now, id, attempt, outcome);
        self.apply(now, actions);
        if next == Next::Ended {
            self.callers.remove(&id);
        }
    }

    fn configure(&mut self, now: Time, config: Arc<Config>) {
        self.revision += 1;
        self.keys = Keys::new(&config);
        self.routes = RouteTable::new(&config);
        self.splits
            .retain(|name, _| config.routes.iter().any(|route| route.name == *name));
        self.admission.configure(now, &config);
        let actions = self.dispatcher.configure(now, &config);
        self.idle.retain(|target, _| {
            let mut services = config.services.values();
            services.any(|service| service.targets.contains_key(target))
        });
        self.config = Some(config);
        self.apply(now, actions);
    }

    fn set_owners(&mut self, owners: Vec<(WorkspaceId, Option<ReachableOwner>)>) {
        self.owner_heartbeats.clear();
        for (workspace, found) in owners {
            if let Some(found) = &found {
                self.owner_heartbeats
                    .insert(workspace.clone(), found.last_heartbeat);
            }
            let owner = found.map(|found| found.owner);
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
        let Some(service) = self.callers.get(&id).map(|caller| caller.service.clone()) else {
            return;
        };
        let target = self.dispatcher.target_of(id, attempt).cloned();
        let Some(target) = target else {
            return;
        };
        if let Some(load) = feedback.load {
            self.dispatcher.told_load(now, &service, &target, load);
        }
        if let Some(took) = feedback.connect_time {
            self.dispatcher.told_way(&service, &target, took);
        }
    }

    fn target_leaves(&mut self, now: Time, target: &TargetId) {
        let Some(config) = &self.config else {
            return;
        };
        for (service, found) in &config.services {
            if found.targets.contains_key(target) {
                self.dispatcher.leave(now, service, target);
            }
        }
    }

    /// Returns the earlier of `usual` and the time at which a queued request is given up on.
    fn next_tick(&self, usual: Instant) -> Instant {
        let give_up = self.dispatcher.next_give_up();
        give_up.map_or(usual, |at| usual.min(self.clock.instant(at)))
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.admission.tick(now);
        self.apply_admission(now, actions);
        if now - self.lent_at >= LEND_INTERVAL {
            self.lent_at = now;
            let actions = self.admission.lend(now);
            self.apply_admission(now, actions);
        }
        let actions = self.dispatcher.tick(now);
        self.apply(now, actions);
        for connections in self.idle.values_mut() {
            while connections
                .front()
                .is_some_and(|oldest| now - oldest.proven_at > oldest.idle_life)
            {
                connections.pop_front();
            }
        }
    }

    fn apply_admission(&mut self, now: Time, actions: Vec<AdmitAction>) {
        for action in actions {
            match action {
                AdmitAction::Admit(id) => self.admitted(now, RequestId(id)),
                AdmitAction::Refuse(id, refusal) => self.refuse(RequestId(id), refusal),
                AdmitAction::Ask(workspace, owner, ask) => {
                    let _ = self.outgoing.send(OutgoingMessage::Ask {
                        workspace,
                        owner,
                        ask,
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

    fn apply(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.go(now, assignment),
                Action::Refuse(id, refusal) => self.refuse(id, refusal),
                Action::ReportLoss(loss) => {
                    let _ = self.outgoing.send(OutgoingMessage::Loss(loss));
                }
            }
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(caller) = self.callers.remove(&id) {
            let _ = caller.tx.send(Decision::Refuse(refusal));
        }
    }

    /// Tells the handler to send an attempt; one that nobody awaits is given back.
    fn go(&mut self, now: Time, assignment: Assignment) {
        let (id, attempt) = (assignment.id, assignment.attempt);
        let sent = self.callers.get(&id).and_then(|caller| {
            let go = AttemptPlan {
                addr: self.addr(&assignment)?,
                connection: None,
                deadline: caller.deadline,
                workspace: caller.workspace.clone(),
                is_open: caller.is_open,
                assignment,
            };
            Some((caller.tx.clone(), go))
        });
        let Some((tx, mut go)) = sent else {
            self.give_back(now, id, attempt);
            return;
        };
        go.connection = self.connection(now, &go.assignment, go.addr);
        if tx.send(Decision::SendAttempt(Box::new(go))).is_err() {
            self.give_back(now, id, attempt);
        }
    }

    fn give_back(&mut self, now: Time, id: RequestId, attempt: u32) {
        let (_, actions) = self.dispatcher.finish(now, id, attempt, Outcome::Canceled);
        self.callers.remove(&id);
        self.apply(now, actions);
    }

    fn addr(&self, assignment: &Assignment) -> Option<SocketAddr> {
        let service = self.config.as_ref()?.services.get(&assignment.service)?;
        Some(service.targets.get(&assignment.target)?.addr)
    }

    /// Takes the connection that was used last; an older one only where a silent one does no harm.
    fn connection(
        &mut self,
        now: Time,
        assignment: &Assignment,
        addr: SocketAddr,
    ) -> Option<Connection> {
        let connections = self.idle.get_mut(&assignment.target)?;
        while let Some(connection) = connections.pop_back() {
            if !connection.is_open() || connection.addr != addr {
                continue;
            }
            let is_proven = now - connection.proven_at <= connection.proven_life;
            if is_proven || !assignment.needs_proven {
                return Some(connection);
            }
            // All others have been idle for even longer.
            connections.clear();
        }
        None
    }

    fn count_answer(&mut self, id: RequestId, answer_bytes: Option<usize>) {
        let service = self.callers.get(&id).map(|caller| &caller.service);
        if let (Some(service), Some(bytes)) = (service, answer_bytes) {
            let count = self.counts.entry(service.clone()).or_default();
            count.answers += 1;
            count.bytes += bytes as u64;
        }
    }

    fn loads(&mut self, now: Time) -> BTreeMap<ServiceId, ServiceLoad> {
        let secs = (now - self.counted_from).as_secs_f64().max(1e-3);
        self.counted_from = now;
        let counts = std::mem::take(&mut self.counts);
        self.dispatcher
            .loads()
            .into_iter()
            .map(|pool| {
                let count = counts.get(&pool.service);
                let answered = count.filter(|count| count.answers > 0);
                let bound = count.into_iter().flat_map(|count| &count.bound);
                let load = ServiceLoad {
                    single_region_per_s: bound
                        .map(|(region, requests)| (region.clone(), *requests as f64 / secs))
                        .collect(),
                    requests_per_s: count.map_or(0.0, |count| count.requests as f64 / secs),
                    answer_bytes: answered.map(|count| count.bytes as f64 / count.answers as f64),
                    latency: pool.latency,
                    service_time: pool.service_time,
                    spans_regions: pool.spans_regions,
                    targets: pool.targets,
                };
                (pool.service, load)
            })
            .collect()
    }

    fn status(&mut self, now: Time) -> EngineStatus {
        EngineStatus {
            requests: self.callers.len(),
            queued: self.dispatcher.queued(),
            retries_left: self.dispatcher.retries_left(),
            targets: self.dispatcher.targets(now),
            available: self.admission.available(now),
            owners: self.admission.owners(),
            barred: self.dispatcher.barred(now),
        }
    }
}

/// Returns the regions in which both the route and the workspace allow a request; empty for all.
fn joint_homes(route: &Route, owner: Option<&Workspace>) -> Arc<BTreeSet<RegionId>> {
    let of_owner = owner.map(|found| &found.homes);
    match of_owner.filter(|homes| !homes.is_empty()) {
        Some(homes) if route.homes.is_empty() => Arc::new(homes.clone()),
        Some(homes) => {
            let mut both: BTreeSet<RegionId> = homes.intersection(&route.homes).cloned().collect();
            if both.is_empty() {
                // No region bears this name: the request may run nowhere.
                both.insert(RegionId::from(""));
            }
            Arc::new(both)
        }
        None => Arc::new(route.homes.clone()),
    }
}

//! The task that plans how this region's requests are divided among the regions.

mod bound;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::{Config, InstanceId, RegionId, ServiceId, Time};
use dispatch::{RegionShares, TargetState};
use entry::{
    message::{Event, ServiceLoad},
    view::{Clock, View},
};
use steer::{Measurements, PlanPolicy, Shares, Steering, moved_share};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use self::bound::bound_parts;
use crate::{fleet::Fleet, message::PeerCommand};

/// Demand below which a service doesn't count as measured, in requests per second.
const MIN_DEMAND_PER_S: f64 = 1.0;
/// Fraction of the capacity that is assumed as demand before any request has arrived.
const ASSUMED_UTILIZATION: f64 = 0.8;
/// Fraction of the requests that must change region before a plan is logged.
const MIN_LOGGED_SHIFT: f64 = 0.02;
/// Delay from the first configuration to the first plan.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(20);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Response size that is assumed before the first response, in bytes.
const DEFAULT_RESPONSE_BYTES: f64 = 16_384.0;

/// Configures the [`Planner`]: its region, the input of its plans, and the tasks that receive them.
#[derive(Debug)]
pub struct PlannerOptions {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// ID of this instance.
    pub own_id: InstanceId,
    /// Region of this instance.
    pub region: RegionId,
    /// Active configuration and its freshness.
    pub view: watch::Receiver<Arc<View>>,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Parameters of the planner; `None` to take them from the configuration.
    pub policy: Option<PlanPolicy>,
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Channel to the task that exchanges messages with the other instances.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Plans each service's region shares from the measurements of all instances.
#[derive(Debug)]
pub struct Planner {
    options: PlannerOptions,
    steering: BTreeMap<ServiceId, Steering>,
    /// Shares that were last logged.
    logged: BTreeMap<ServiceId, Shares>,
    /// Time of each service's first plan.
    planned_since: BTreeMap<ServiceId, Time>,
    /// Services whose requests run by the shares, so that these may no longer change at once.
    started: BTreeSet<ServiceId>,
    /// Services whose demand and service time have been measured.
    measured: BTreeSet<ServiceId>,
}

impl Planner {
    /// Creates a planner without measurements.
    pub fn new(options: PlannerOptions) -> Self {
        Self {
            options,
            steering: BTreeMap::new(),
            logged: BTreeMap::new(),
            planned_since: BTreeMap::new(),
            started: BTreeSet::new(),
            measured: BTreeSet::new(),
        }
    }

    /// Plans once a second until the engine has ended.
    pub async fn run(mut self) {
        let mut tick = interval(PLAN_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut view = self.options.view.clone();
        loop {
            // The first plan is made as soon as there is a configuration.
            let has_config = view.borrow_and_update().config.is_some();
            if has_config {
                tick.tick().await;
            } else {
                tokio::select! {
                    _ = tick.tick() => {}
                    // The engine receives the configuration at the same time; the delay lets it
                    // apply the configuration before the loads are collected.
                    _ = view.changed() => sleep(FIRST_PLAN_DELAY).await,
                }
            }
            let (reply, answer) = oneshot::channel();
            if self
                .options
                .engine
                .send(Event::CollectLoads(reply))
                .is_err()
            {
                return;
            }
            if let Ok(loads) = answer.await {
                self.plan(&loads).await;
            }
        }
    }

    async fn plan(&mut self, loads: &BTreeMap<ServiceId, ServiceLoad>) {
        let demand: Vec<(ServiceId, f64)> = loads
            .iter()
            .map(|(service, load)| (service.clone(), load.requests_per_s))
            .collect();
        let pinned_demand = loads
            .iter()
            .flat_map(|(service, load)| {
                let pinned = load.pinned_requests_per_s.iter();
                pinned.map(|(region, rate)| (service.clone(), region.clone(), *rate))
            })
            .collect();
        let command = PeerCommand::SetDemand(demand, pinned_demand);
        let _ = self.options.peers.send(command).await;
        let Some((_, config)) = self.options.view.borrow().config.clone() else {
            return;
        };
        let fleet = self.options.fleet.borrow().clone();
        let now = self.options.clock.now();
        let mut shares_by_service = BTreeMap::new();
        for (service, load) in loads {
            let Some(measurements) = self.merge_measurements(&config, &fleet, service, load) else {
                // The demand of a silent instance is unknown: keep the shares as they are.
                continue;
            };
            let policy = match self.options.policy {
                Some(policy) => policy,
                None => PlanPolicy {
                    shift_cap: config.links.shift_cap_per_min,
                    ..PlanPolicy::default()
                },
            };
            let own_region = self.options.region.clone();
            let is_starting = self.options.policy.is_some() && !self.measured.contains(service);
            let assumed =
                is_starting.then(|| self.assume_demand(&config, &fleet, service, &measurements));
            let has_started = self.has_started(now, service, load, policy);
            let steering = self
                .steering
                .entry(service.clone())
                .or_insert_with(|| Steering::new(own_region, policy));
            steering.set_policy(policy);
            let demand: f64 = measurements.demand.values().sum();
            let is_measured = !load.service_time.is_zero() && demand >= MIN_DEMAND_PER_S;
            let now_s = now.as_secs_f64();
            // The demand of the first seconds is no reliable basis for a plan.
            let shares = match &assumed {
                Some(assumed) if !has_started => {
                    steering.initialize(assumed);
                    steering.shares()
                }
                _ if is_measured || self.options.policy.is_none() => {
                    steering.update(now_s, &measurements)
                }
                Some(assumed) => steering.update(now_s, assumed),
                None => steering.shares(),
            };
            let shares = shares.clone();
            if is_measured {
                self.measured.insert(service.clone());
            }
            self.log_plan(service, &shares, &measurements);
            shares_by_service.insert(service.clone(), RegionShares { shares });
        }
        let _ = self
            .options
            .engine
            .send(Event::RegionShares(shares_by_service));
    }

    /// Returns whether the service's requests run by its shares, so that every change of these counts
    /// towards the shift cap.
    ///
    /// That is not so in the first window of its plans, since no window before it is there to differ from.
    fn has_started(
        &mut self,
        now: Time,
        service: &ServiceId,
        load: &ServiceLoad,
        policy: PlanPolicy,
    ) -> bool {
        let since = *self.planned_since.entry(service.clone()).or_insert(now);
        let has_requests = load.requests_per_s > 0.0 || !load.pinned_requests_per_s.is_empty();
        if has_requests && (now - since).as_secs_f64() >= policy.window_s {
            self.started.insert(service.clone());
        }
        self.started.contains(service)
    }

    /// Logs the shares if they differ enough from those last logged.
    fn log_plan(&mut self, service: &ServiceId, shares: &Shares, measurements: &Measurements) {
        let before = self.logged.get(service);
        if before.is_some_and(|before| moved_share(before, shares) < MIN_LOGGED_SHIFT) {
            return;
        }
        tracing::info!(
            event = "plan",
            %service,
            shares = ?shares,
            demand = ?measurements.demand,
            capacity = ?measurements.capacity,
            bound = ?measurements.pinned_demand,
        );
        self.logged.insert(service.clone(), shares.clone());
    }

    /// Returns the measurements with a demand proportional to the number of instances in each
    /// region, because instances are placed where callers are; of all of it, the part that the
    /// configuration binds to a region is pinned there.
    fn assume_demand(
        &self,
        config: &Config,
        fleet: &Fleet,
        service: &ServiceId,
        measurements: &Measurements,
    ) -> Measurements {
        let now = self.options.clock.now();
        let others = fleet
            .members
            .values()
            .filter(|member| member.is_alive(now))
            .filter_map(|member| config.region_of(&member.domain));
        let mut instances: BTreeMap<RegionId, f64> = BTreeMap::new();
        for region in others.chain([&self.options.region]) {
            *instances.entry(region.clone()).or_default() += 1.0;
        }
        let count: f64 = instances.values().sum();
        let capacity: f64 = measurements.capacity.values().sum();
        let total = capacity * ASSUMED_UTILIZATION;
        let bound = bound_parts(config, service);
        let free = total * (1.0 - bound.values().sum::<f64>()).max(0.0);
        let demand = instances
            .into_iter()
            .map(|(region, own)| (region, own / count * free))
            .collect();
        let pinned_demand = bound
            .into_iter()
            .map(|(region, part)| (region, part * total))
            .collect();
        let egress_capacity = measurements
            .capacity
            .keys()
            .map(|region| (region.clone(), capacity));
        Measurements {
            demand,
            egress_capacity: egress_capacity.collect(),
            pinned_demand,
            ..measurements.clone()
        }
    }

    /// Merges the measurements of all instances.
    ///
    /// Returns `None` if a listed instance is silent although its region has usable targets.
    fn merge_measurements(
        &self,
        config: &Config,
        fleet: &Fleet,
        service: &ServiceId,
        load: &ServiceLoad,
    ) -> Option<Measurements> {
        let now = self.options.clock.now();
        let mut measurements = Measurements::default();
        let own = measurements
            .demand
            .entry(self.options.region.clone())
            .or_default();
        *own += load.requests_per_s;
        for (region, rate) in &load.pinned_requests_per_s {
            *measurements
                .pinned_demand
                .entry(region.clone())
                .or_default() += rate;
        }
        for member in fleet.members.values().filter(|member| !member.is_gone) {
            if !member.is_alive(now) {
                if member.is_listed && self.region_has_usable_targets(config, member, load) {
                    return None;
                }
                continue;
            }
            let Some(region) = config.region_of(&member.domain) else {
                continue;
            };
            for (_, region, rate) in member
                .pinned_demand
                .iter()
                .filter(|(name, ..)| name == service)
            {
                *measurements
                    .pinned_demand
                    .entry(region.clone())
                    .or_default() += rate;
            }
            let demand = member.demand.iter().find(|(name, _)| name == service);
            *measurements.demand.entry(region.clone()).or_default() +=
                demand.map_or(0.0, |(_, rate)| *rate);
        }
        for (target, state, slots) in &load.targets {
            let target_config = config.services.get(service)?.targets.get(target);
            let Some(region) = target_config.and_then(|target| config.region_of(&target.domain))
            else {
                continue;
            };
            let is_usable = matches!(state, TargetState::Cold | TargetState::Ready);
            let time = if self.options.policy.is_some() {
                self.service_time_in(region, load)
            } else {
                load.latency
            };
            let rate = f64::from(*slots) / time.as_secs_f64().max(1e-4);
            *measurements.capacity.entry(region.clone()).or_default() +=
                if is_usable { rate } else { 0.0 };
        }
        let response_bytes = load
            .mean_response_bytes
            .unwrap_or(DEFAULT_RESPONSE_BYTES)
            .max(1.0);
        let mbit_per_s = match config.links.region_mbit_per_s {
            // The link's capacity is unknown: it doesn't limit the plan.
            0 => f64::from(u32::MAX),
            known => f64::from(known),
        };
        let requests_per_s = mbit_per_s * 1e6 / 8.0 / response_bytes;
        for region in measurements.demand.keys() {
            measurements
                .egress_capacity
                .insert(region.clone(), requests_per_s);
        }
        Some(measurements)
    }

    /// Returns the time that a request takes on a free target of a region: in another one as it was
    /// measured, at most that of the own.
    ///
    /// A region that gets nothing from here is no longer measured, so a high value would stay.
    fn service_time_in(&self, region: &RegionId, load: &ServiceLoad) -> Duration {
        let times = &load.region_service_times;
        let own = times.get(&self.options.region);
        let own = own.copied().unwrap_or(load.service_time);
        times.get(region).map_or(own, |time| own.min(*time))
    }

    /// Returns whether the region of a silent instance still has usable targets. Then only the
    /// instance or the connection to it is lost, and the demand of its callers is unknown.
    fn region_has_usable_targets(
        &self,
        config: &Config,
        member: &crate::fleet::FleetMember,
        load: &ServiceLoad,
    ) -> bool {
        let region = config.region_of(&member.domain);
        load.targets.iter().any(|(target, state, _)| {
            let domain = config
                .services
                .values()
                .find_map(|service| service.targets.get(target))
                .map(|target| &target.domain);
            let is_same_region = domain.and_then(|domain| config.region_of(domain)) == region;
            is_same_region && matches!(state, TargetState::Cold | TargetState::Ready)
        })
    }
}

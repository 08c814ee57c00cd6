//! The task that works out where this region's requests go.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::{Config, InstanceId, RegionId, ServiceId};
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

use crate::{fleet::Fleet, message::PeerCommand};

/// Demand below which nothing is concluded from it.
const LEAST_DEMAND_PER_S: f64 = 1.0;
/// Part of the capacity that is assumed to be wanted before any request has been seen.
const ASSUMED_FILL: f64 = 0.8;
/// Part of the requests that must move before a line tells of it.
const LEAST_TOLD: f64 = 0.02;
/// Time from the first configuration to the first plan.
const FIRST_PLAN_DELAY: Duration = Duration::from_millis(20);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Size of an answer that is assumed before any has been measured, in bytes.
const FIRST_ANSWER_BYTES: f64 = 16_384.0;

/// Holds what the planner is made from.
#[derive(Debug)]
pub struct PlannerOptions {
    /// Clock of the process.
    pub clock: Clock,
    /// This instance.
    pub me: InstanceId,
    /// Region of this instance.
    pub region: RegionId,
    /// What is in force.
    pub view: watch::Receiver<Arc<View>>,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Constants of planning; `None` for those of the configuration.
    pub policy: Option<PlanPolicy>,
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The peers.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Works out routes from this instance's and the others' measurements.
#[derive(Debug)]
pub struct Planner {
    options: PlannerOptions,
    steering: BTreeMap<ServiceId, Steering>,
    /// Shares that a line told last.
    told: BTreeMap<ServiceId, Shares>,
    /// Services whose demand and service time have been measured.
    has_begun: BTreeSet<ServiceId>,
}

impl Planner {
    /// Returns a planner that has seen nothing.
    pub fn new(options: PlannerOptions) -> Self {
        Self {
            options,
            steering: BTreeMap::new(),
            told: BTreeMap::new(),
            has_begun: BTreeSet::new(),
        }
    }

    /// Plans once a second until the engine is gone.
    pub async fn run(mut self) {
        let mut tick = interval(PLAN_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut view = self.options.view.clone();
        loop {
            // The first plan waits for nothing but a configuration.
            let has_config = view.borrow_and_update().config.is_some();
            if has_config {
                tick.tick().await;
            } else {
                tokio::select! {
                    _ = tick.tick() => {}
                    // The engine gets it at the same time, and must have taken it in.
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
        let bound = loads
            .iter()
            .flat_map(|(service, load)| {
                let bound = load.single_region_per_s.iter();
                bound.map(|(region, rate)| (service.clone(), region.clone(), *rate))
            })
            .collect();
        let command = PeerCommand::SetDemand(demand, bound);
        let _ = self.options.peers.send(command).await;
        let Some((_, config)) = self.options.view.borrow().config.clone() else {
            return;
        };
        let fleet = self.options.fleet.borrow().clone();
        let now = self.options.clock.now();
        let mut routes = BTreeMap::new();
        for (service, load) in loads {
            let Some(seen) = self.measurements(&config, &fleet, service, load) else {
                // A silent instance's demand is not known: nothing moves.
                continue;
            };
            let policy = match self.options.policy {
                Some(policy) => PlanPolicy {
                    has_global_affinity: load.spans_regions,
                    ..policy
                },
                None => PlanPolicy {
                    shift_cap: config.links.shift_cap_per_min,
                    ..PlanPolicy::default()
                },
            };
            let home = self.options.region.clone();
            let is_beginning = self.options.policy.is_some() && !self.has_begun.contains(service);
            let assumed = is_beginning.then(|| self.assumed(&config, &fleet, &seen));
            let steering = self
                .steering
                .entry(service.clone())
                .or_insert_with(|| Steering::new(home, policy));
            steering.set_policy(policy);
            let demand: f64 = seen.demand.values().sum();
            let is_known = !load.service_time.is_zero() && demand >= LEAST_DEMAND_PER_S;
            if let Some(assumed) = &assumed {
                // The first seconds' demand says little.
                steering.initialize(assumed);
            }
            let shares = if is_known || self.options.policy.is_none() {
                steering.update(now.as_secs_f64(), &seen).clone()
            } else {
                steering.shares().clone()
            };
            if is_known {
                self.has_begun.insert(service.clone());
            }
            self.record(service, &shares, &seen);
            routes.insert(service.clone(), RegionShares { shares });
        }
        let _ = self.options.engine.send(Event::TrafficPlan(routes));
    }

    /// Tells of shares that differ from those told last.
    fn record(&mut self, service: &ServiceId, shares: &Shares, seen: &Measurements) {
        let before = self.told.get(service);
        if before.is_some_and(|before| moved_share(before, shares) < LEAST_TOLD) {
            return;
        }
        tracing::info!(
            event = "plan",
            %service,
            shares = ?shares,
            demand = ?seen.demand,
            capacity = ?seen.capacity,
            bound = ?seen.pinned_demand,
        );
        self.told.insert(service.clone(), shares.clone());
    }

    /// Returns the measurements with a demand that follows the instances: they stand where callers
    /// are.
    fn assumed(&self, config: &Config, fleet: &Fleet, seen: &Measurements) -> Measurements {
        let now = self.options.clock.now();
        let others = fleet
            .members
            .values()
            .filter(|member| member.is_heard(now))
            .filter_map(|member| config.region_of(&member.domain));
        let mut instances: BTreeMap<RegionId, f64> = BTreeMap::new();
        for region in others.chain([&self.options.region]) {
            *instances.entry(region.clone()).or_default() += 1.0;
        }
        let count: f64 = instances.values().sum();
        let capacity: f64 = seen.capacity.values().sum();
        let demand = instances
            .into_iter()
            .map(|(region, own)| (region, own / count * capacity * ASSUMED_FILL))
            .collect();
        let link = seen
            .capacity
            .keys()
            .map(|region| (region.clone(), capacity));
        Measurements {
            demand,
            egress_capacity: link.collect(),
            ..seen.clone()
        }
    }

    /// Joins the measurements of all instances; `None` where a listed one is silent.
    fn measurements(
        &self,
        config: &Config,
        fleet: &Fleet,
        service: &ServiceId,
        load: &ServiceLoad,
    ) -> Option<Measurements> {
        let now = self.options.clock.now();
        let mut seen = Measurements::default();
        let own = seen.demand.entry(self.options.region.clone()).or_default();
        *own += load.requests_per_s;
        for (region, rate) in &load.single_region_per_s {
            *seen.pinned_demand.entry(region.clone()).or_default() += rate;
        }
        for member in fleet.members.values().filter(|member| !member.is_gone) {
            if !member.is_heard(now) {
                if member.is_listed && self.has_live_region(config, member, load) {
                    return None;
                }
                continue;
            }
            let Some(region) = config.region_of(&member.domain) else {
                continue;
            };
            for (_, region, rate) in member
                .region_bound_demand
                .iter()
                .filter(|(name, ..)| name == service)
            {
                *seen.pinned_demand.entry(region.clone()).or_default() += rate;
            }
            let demand = member.demand.iter().find(|(name, _)| name == service);
            *seen.demand.entry(region.clone()).or_default() +=
                demand.map_or(0.0, |(_, rate)| *rate);
        }
        for (target, state, slots) in &load.targets {
            let found = config.services.get(service)?.targets.get(target);
            let Some(region) = found.and_then(|found| config.region_of(&found.domain)) else {
                continue;
            };
            let is_usable = matches!(state, TargetState::Cold | TargetState::Ready);
            let time = if self.options.policy.is_some() {
                load.service_time
            } else {
                load.latency
            };
            let rate = f64::from(*slots) / time.as_secs_f64().max(1e-4);
            *seen.capacity.entry(region.clone()).or_default() += if is_usable { rate } else { 0.0 };
        }
        let answer_bytes = load
            .mean_response_bytes
            .unwrap_or(FIRST_ANSWER_BYTES)
            .max(1.0);
        let mbit_per_s = match config.links.region_mbit_per_s {
            // Not known: no bound is planned for.
            0 => f64::from(u32::MAX),
            known => f64::from(known),
        };
        let link = mbit_per_s * 1e6 / 8.0 / answer_bytes;
        for region in seen.demand.keys() {
            seen.egress_capacity.insert(region.clone(), link);
        }
        Some(seen)
    }

    /// Returns whether a silent instance's region still has targets, so that only the instance or
    /// the way to it is lost and its callers' demand is not known.
    fn has_live_region(
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
                .map(|found| &found.domain);
            let is_same = domain.and_then(|domain| config.region_of(domain)) == region;
            is_same && matches!(state, TargetState::Cold | TargetState::Ready)
        })
    }
}

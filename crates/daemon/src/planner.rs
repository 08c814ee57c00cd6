//! The task that works out where this region's requests go.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Config, InstanceId, RegionId, ServiceId};
use dispatch::{Route, TargetState};
use entry::{
    message::{Event, ServiceLoad},
    view::{Clock, View},
};
use steer::{Measurements, PlanPolicy, Steering};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{fleet::Fleet, message::PeerCommand};

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
}

impl Planner {
    /// Returns a planner that has seen nothing.
    pub fn new(options: PlannerOptions) -> Self {
        Self {
            options,
            steering: BTreeMap::new(),
        }
    }

    /// Plans once a second until the engine is gone.
    pub async fn run(mut self) {
        let mut tick = interval(PLAN_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let (reply, answer) = oneshot::channel();
            if self.options.engine.send(Event::Loads(reply)).is_err() {
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
        let command = PeerCommand::Demand(demand);
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
            let policy = PlanPolicy {
                shift_cap_per_min: config.links.shift_cap_per_min,
                ..PlanPolicy::default()
            };
            let home = self.options.region.clone();
            let steering = self
                .steering
                .entry(service.clone())
                .or_insert_with(|| Steering::new(home, policy));
            steering.set_policy(policy);
            let shares = steering.update(now.as_secs_f64(), &seen).clone();
            routes.insert(service.clone(), Route { shares });
        }
        let _ = self.options.engine.send(Event::Routes(routes));
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
            let rate = f64::from(*slots) / load.latency.as_secs_f64().max(1e-4);
            *seen.capacity.entry(region.clone()).or_default() += if is_usable { rate } else { 0.0 };
        }
        let answer_bytes = load.answer_bytes.unwrap_or(FIRST_ANSWER_BYTES).max(1.0);
        let link = f64::from(config.links.region_mbit_per_s) * 1e6 / 8.0 / answer_bytes;
        for region in seen.demand.keys() {
            seen.link.insert(region.clone(), link);
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

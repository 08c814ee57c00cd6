//! Initial state of a run.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Config, Domain, Service, Target, Time};
use dispatch::{Dispatcher, Policy};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use steer::{PlanPolicy, Steering};

use super::{
    baseline::BaselineDispatcher,
    measures::{Measures, WorkspaceMeasures},
    scenario::{Scenario, Strategy},
    state::{
        InstanceDispatcher, SERVICE, SimulatedInstance, SimulatedTarget, Simulation, region_name,
        target_name,
    },
};

impl<'a> Simulation<'a> {
    /// Returns the state at the start of a run, with nothing scheduled.
    pub(super) fn new(scenario: &'a Scenario) -> Self {
        let targets = (0..scenario.regions * scenario.targets_per_region)
            .map(|idx| SimulatedTarget {
                region: idx / scenario.targets_per_region,
                domain: idx % 2,
                is_up: true,
                is_leaving: false,
                running: Vec::new(),
            })
            .collect();
        let config = build_config(scenario);
        let instances = (0..scenario.regions * scenario.instances_per_region)
            .map(|idx| SimulatedInstance {
                region: idx / scenario.instances_per_region,
                is_up: true,
                dispatcher: build_dispatcher(scenario, idx, &config),
                steering: Steering::new(
                    region_name(idx / scenario.instances_per_region),
                    PlanPolicy::default(),
                ),
                arrived: 0,
                idle: BTreeMap::new(),
            })
            .collect();
        let count = scenario.workspaces.len();
        Self {
            scenario,
            rng: Pcg32::seed_from_u64(scenario.seed),
            queue: BTreeMap::new(),
            event_count: 0,
            end: Time::ZERO + scenario.length,
            instances,
            targets,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            measures: Measures {
                workspaces: vec![WorkspaceMeasures::new(); count],
                run_twice: 0,
                refusals: BTreeMap::new(),
                attempts_refused: 0,
                false_not_run: 0,
                answered_per_s: 0.0,
                targets_crashed: 0,
                interrupted_by_drain: 0,
                last_execution_after_drain: Duration::ZERO,
                drain_time: None,
            },
            has_reports: true,
            underreporting_target: None,
            cold_start: None,
            drain_started: None,
        }
    }
}

/// Builds the dispatcher of the instance with this index.
fn build_dispatcher(scenario: &Scenario, idx: usize, config: &Config) -> InstanceDispatcher {
    let region = idx / scenario.instances_per_region;
    match scenario.strategy {
        Strategy::Product => {
            let seed = scenario.seed * 1_000 + idx as u64;
            let home_region = region_name(region);
            let mut dispatcher = Dispatcher::new(home_region, seed, Policy::default())
                .unwrap_or_else(|err| panic!("the dispatcher's state chart is invalid: {err}"));
            dispatcher.configure(Time::ZERO, config);
            InstanceDispatcher::Product(Box::new(dispatcher))
        }
        Strategy::Baseline {
            selection,
            max_attempts,
            is_queueing,
        } => {
            let count = scenario.regions * scenario.targets_per_region;
            InstanceDispatcher::Baseline(BaselineDispatcher {
                selection,
                max_attempts,
                is_queueing,
                region,
                slots: scenario.slots,
                reported_load: vec![Some(0); count],
                in_flight: vec![0; count],
                queue: VecDeque::new(),
                attempt_counts: BTreeMap::new(),
                rotation: idx,
            })
        }
    }
}

/// Builds a configuration with one failure domain per region and all targets of the service.
fn build_config(scenario: &Scenario) -> Config {
    let mut config = Config::default();
    config.links.region_delay_ms = scenario.region_delay.as_millis() as u32;
    let mut targets = BTreeMap::new();
    for region in 0..scenario.regions {
        let name = format!("d{region}");
        let domain = Domain {
            region: region_name(region),
        };
        config.domains.insert(name.as_str().into(), domain);
        for idx in 0..scenario.targets_per_region {
            let target = Target {
                domain: name.as_str().into(),
                addr: ([127, 0, 0, 1], 1).into(),
                registered: None,
            };
            let idx = region * scenario.targets_per_region + idx;
            targets.insert(target_name(idx).into(), target);
        }
    }
    let service = Service {
        slots: scenario.slots,
        connections: 350,
        deadline_ms: scenario.deadline.as_millis() as u32,
        open_routes: Vec::new(),
        targets,
        cold: None,
    };
    config.services.insert(SERVICE.into(), service);
    config
}

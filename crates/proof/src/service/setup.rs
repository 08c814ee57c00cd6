//! Initial state of a run.

use std::collections::{BTreeMap, VecDeque};

use base::{Config, Domain, Service, Target, Time};
use dispatch::{Dispatcher, Policy};

use super::{
    Scenario, Strategy,
    baseline::BaselineDispatcher,
    simulation::{InstanceDispatcher, SERVICE, region_name, target_name},
};

/// Builds the dispatcher of the instance with this index.
pub(super) fn build_dispatcher(
    scenario: &Scenario,
    idx: usize,
    config: &Config,
) -> InstanceDispatcher {
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
pub(super) fn build_config(scenario: &Scenario) -> Config {
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

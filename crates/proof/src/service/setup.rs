//! What a run begins with.

use std::collections::{BTreeMap, VecDeque};

use base::{Config, Domain, Service, Target, Time};
use dispatch::{Dispatcher, Policy};

use super::{
    Decider, Scenario,
    baseline::Baseline,
    world::{Deciding, SERVICE, region_name, target_name},
};

pub(super) fn deciding(scenario: &Scenario, idx: usize, config: &Config) -> Deciding {
    let region = idx / scenario.instances_per_region;
    match scenario.decider {
        Decider::Product => {
            let seed = scenario.seed * 1_000 + idx as u64;
            let home = region_name(region);
            let mut dispatcher = Dispatcher::new(home, seed, Policy::default())
                .unwrap_or_else(|err| panic!("the chart: {err}"));
            dispatcher.configure(Time::ZERO, config);
            Deciding::Product(Box::new(dispatcher))
        }
        Decider::Baseline {
            choice,
            attempts,
            is_queueing,
        } => {
            let count = scenario.regions * scenario.targets_per_region;
            Deciding::Baseline(Baseline {
                choice,
                attempts,
                is_queueing,
                region,
                slots: scenario.slots,
                reported: vec![Some(0); count],
                in_flight: vec![0; count],
                queue: VecDeque::new(),
                tries: BTreeMap::new(),
                turn: idx,
            })
        }
    }
}

pub(super) fn config(scenario: &Scenario) -> Config {
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

//! Generation of the configuration from the answers.

use std::collections::{BTreeMap, BTreeSet};

use base::{
    ColdStart, Config, Domain, Drains, Links, RegionId, Route, Service, Target, WeightedService,
    Workspace,
};

use crate::answers::{Answers, RouteAnswer, ServiceAnswer};

/// Returns the configuration that `answers` describe, without API keys and drains.
///
/// The result is deterministic: equal answers give equal configurations.
pub fn generate_config(answers: &Answers) -> Config {
    Config {
        deployment: answers.deployment.clone(),
        domains: answers
            .domains
            .iter()
            .map(|domain| {
                let region = domain.region.as_str().into();
                (domain.name.as_str().into(), Domain { region })
            })
            .collect(),
        links: Links {
            region_delay_ms: answers.region_delay_ms,
            client_delay_ms: answers.client_delay_ms,
            region_mbit_per_s: answers.region_mbit_per_s,
            shift_cap_per_min: answers.shift_cap_per_min,
        },
        services: answers
            .services
            .iter()
            .map(|(name, service)| (name.as_str().into(), generate_service(name, service)))
            .collect(),
        workspaces: answers
            .workspaces
            .iter()
            .map(|(name, workspace)| {
                let workspace = Workspace {
                    rate: workspace.rate,
                    burst: workspace.burst,
                    weight: workspace.weight,
                    priority: workspace.priority,
                    homes: region_ids(&workspace.homes),
                };
                (name.as_str().into(), workspace)
            })
            .collect(),
        keys: BTreeMap::new().into(),
        drains: Drains::default(),
        routes: answers
            .routes
            .iter()
            .map(|(name, route)| generate_route(name, route))
            .collect(),
        caller_limits: answers.limits,
    }
}

fn generate_route(name: &str, route: &RouteAnswer) -> Route {
    let weighted_service = |(service, weight): (&String, &u32)| WeightedService {
        service: service.as_str().into(),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        kind: route.kind,
        services: route.services.iter().map(weighted_service).collect(),
        timeout_ms: route.timeout_ms,
        objective_ms: route.objective_ms,
        attempts: route.attempts,
        priority: route.priority,
        is_open: route.is_open,
        is_sticky: route.is_sticky,
        homes: region_ids(&route.homes),
    }
}

fn region_ids(names: &[String]) -> BTreeSet<RegionId> {
    names.iter().map(|name| name.as_str().into()).collect()
}

fn generate_service(name: &str, service: &ServiceAnswer) -> Service {
    let targets = service.targets.iter().flat_map(|(domain, addrs)| {
        addrs.iter().enumerate().map(move |(idx, addr)| {
            let target = Target {
                domain: domain.as_str().into(),
                addr: *addr,
                registered: None,
            };
            (format!("{name}-{domain}-{}", idx + 1).into(), target)
        })
    });
    Service {
        slots: service.slots,
        connections: service.connections,
        deadline_ms: service.deadline_ms,
        open_routes: service.open_routes.clone(),
        targets: targets.collect(),
        cold: (service.cold_ms > 0).then_some(ColdStart {
            max_per_s: service.cold_per_s,
            duration_ms: service.cold_ms,
        }),
    }
}

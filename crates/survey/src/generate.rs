//! Generation of the configuration.

use std::collections::BTreeMap;

use base::{Config, Domain, Drains, Links, Service, Target, Workspace};

use crate::{Answers, ServiceAnswer};

/// Returns the configuration that `answers` describe, without keys.
///
/// The same answers always give the same configuration.
pub fn generate(answers: &Answers) -> Config {
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
                    ..Workspace::default()
                };
                (name.as_str().into(), workspace)
            })
            .collect(),
        keys: BTreeMap::new(),
        drains: Drains::default(),
        ..Config::default()
    }
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
        cold: None,
    }
}

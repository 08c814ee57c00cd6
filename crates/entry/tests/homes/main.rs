//! Requests and connections that wait while a configuration moves the regions in which they may run.

mod dialed;
#[path = "../support/engine.rs"]
mod engine;
#[path = "../support/fresh.rs"]
mod fresh;
#[path = "../support/requests.rs"]
mod requests;
mod retries;
mod versions;
mod waiting;

use std::{collections::BTreeSet, sync::Arc};

use base::{Config, ErrorKind, RegionId, Route, RouteKind, Service, WeightedService, Workspace};
use dispatch::{Placement, Policy};
use engine::engine_with;
use entry::{
    engine::Engine,
    message::{Decision, Event},
};
use fresh::fresh;
use requests::issue_key;
use standin::config::{service, target};
use tokio::sync::mpsc;

/// Returns a configuration with a target in each of two regions, and two workspaces, one of
/// them with a key.
pub(crate) fn config() -> Config {
    let regions = ["north", "south"];
    let mut config = standin::config::config(regions.map(|region| (region, region)));
    let targets = regions.map(|region| (region.into(), target(region, None)));
    let service = Service {
        targets: targets.into(),
        ..service(4, 10_000)
    };
    config.services.insert("board".into(), service);
    let workspace = Workspace {
        rate: 1_000.0,
        burst: 1_000.0,
        ..Workspace::default()
    };
    config.workspaces.insert("other".into(), workspace.clone());
    config.workspaces.insert("gym".into(), workspace);
    issue_key(&mut config);
    config
}

pub(crate) fn with_route(mut config: Config, attempts: u32) -> Config {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/board/".to_owned(),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService {
            service: "board".into(),
            weight: 1,
        }],
        timeout_ms: 10_000,
        objective_ms: 500,
        attempts,
        priority: 0,
        is_open: false,
        is_sticky: false,
        homes: Default::default(),
    };
    config.routes = vec![route].into();
    config
}

pub(crate) fn homes(regions: &[&str]) -> BTreeSet<RegionId> {
    regions.iter().map(|region| (*region).into()).collect()
}

pub(crate) fn engine() -> Engine {
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        ..Policy::default()
    };
    engine_with(policy)
}

pub(crate) fn activate(engine: &mut Engine, config: &Config) {
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config.clone()),
        version: None,
    });
    engine.handle(fresh(None));
}

/// Returns the region to which a request was sent, or why it was refused.
pub(crate) fn outcome(rx: &mut mpsc::UnboundedReceiver<Decision>) -> Result<String, ErrorKind> {
    loop {
        match rx.try_recv() {
            Ok(Decision::SendAttempt(plan)) => return Ok(plan.assignment.region.to_string()),
            Ok(Decision::Refuse(refusal)) => return Err(refusal.kind),
            Ok(_) => {}
            Err(err) => panic!("{err}"),
        }
    }
}

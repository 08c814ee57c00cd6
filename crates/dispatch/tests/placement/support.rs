//! A service over two regions, and requests for it.

use std::time::Duration;

use base::{ColdStart, Config, ErrorKind, Route, RouteKind, Service, Time, WeightedService};
use dispatch::{
    Action, AdmittedRequest, Assignment, Dispatcher, Outcome, Placement, Policy, RequestId,
};
use standin::config::{registration, service, target};

const REGIONS: [&str; 2] = ["r0", "r1"];

pub(crate) fn config(targets: u32) -> Config {
    let mut config = standin::config::config(REGIONS.map(|region| (region, region)));
    let targets = (0..targets).map(|idx| {
        let target = target(REGIONS[idx as usize % 2], Some(registration(4, 1)));
        (format!("t{idx}").into(), target)
    });
    let service = Service {
        targets: targets.collect(),
        cold: Some(ColdStart {
            max_per_s: 4.0,
            duration_ms: 3_000,
        }),
        ..service(1, 10_000)
    };
    config.services.insert("s".into(), service);
    for (name, priority) in [("urgent", 0), ("patient", 2)] {
        config.routes.push(Route {
            name: name.to_owned(),
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
            kind: RouteKind::Idempotent,
            services: vec![WeightedService {
                service: "s".into(),
                weight: 1,
            }],
            timeout_ms: 2_000,
            objective_ms: 500,
            attempts: 2,
            priority,
            is_open: false,
            is_sticky: true,
            homes: Default::default(),
        });
    }
    config
}

pub(crate) fn dispatcher(config: &Config, seed: u64) -> Dispatcher {
    dispatcher_among(config, seed, 6)
}

pub(crate) fn dispatcher_among(config: &Config, seed: u64, instance_count: u32) -> Dispatcher {
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        instance_count,
        instance_seed: seed,
        retry_cap: 5.0,
        max_refusals: 4,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new("r0".into(), seed, policy).unwrap();
    dispatcher.configure(Time::ZERO, config);
    dispatcher.tick(Time::from_millis(1));
    dispatcher
}

pub(crate) fn request(now: Time, id: u64, object: u64) -> AdmittedRequest {
    AdmittedRequest {
        objective_deadline: now + Duration::from_millis(500),
        max_attempts: 2,
        affinity: Some(object),
        ..AdmittedRequest::new(
            RequestId(id),
            "w".into(),
            "s".into(),
            now + Duration::from_secs(2),
        )
    }
}

pub(crate) fn assignments(actions: &[Action]) -> Vec<&Assignment> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Assign(assignment) => Some(assignment),
            _ => None,
        })
        .collect()
}

pub(crate) fn refusals(actions: &[Action]) -> Vec<ErrorKind> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse(_, refusal) => Some(refusal.kind),
            _ => None,
        })
        .collect()
}

/// Sends one request for an object, answers it after 50 ms and returns its target.
pub(crate) fn run(dispatcher: &mut Dispatcher, now: Time, id: u64, object: u64) -> Option<String> {
    let actions = dispatcher.submit(now, request(now, id, object));
    let assignment = assignments(&actions).first().copied().cloned()?;
    let took = Duration::from_millis(50);
    dispatcher.finish(
        now,
        assignment.id,
        assignment.attempt,
        Outcome::Answered(took),
    );
    Some(assignment.target.to_string())
}

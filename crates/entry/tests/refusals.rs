//! What is reported of requests that are refused permanently: the kind of error, and how old the configuration was.

#[path = "support/engine.rs"]
mod engine;
#[path = "support/fresh.rs"]
mod fresh;

use std::{sync::Arc, time::Duration};

use base::{Config, Route, RouteKind, Time, WeightedService, Workspace};
use coord::Freshness;
use dispatch::{Policy, RequestId, RequestKind};
use engine::engine_with;
use entry::{
    engine::Engine,
    message::{Arrival, Confirmation, Decision, Event, UsedConfig},
    metrics::Metrics,
};
use fresh::fresh;
use rstest::rstest;
use standin::config::service;
use tokio::sync::mpsc;

fn route(prefix: &str) -> Route {
    let service = WeightedService {
        service: "board".into(),
        weight: 1,
    };
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        services: vec![service],
        timeout_ms: 10_000,
        objective_ms: 10_000,
        attempts: 1,
        priority: 0,
        is_open: true,
        is_sticky: false,
        homes: Default::default(),
    }
}

fn config(prefixes: &[&str]) -> Config {
    let routes: Vec<Route> = prefixes.iter().map(|prefix| route(prefix)).collect();
    let mut config = Config {
        routes: routes.into(),
        ..standin::config::config([("north", "north")])
    };
    config.services.insert("board".into(), service(1, 10_000));
    let workspaces = [("gym".into(), Workspace::default())];
    config.workspaces.extend(workspaces);
    config
}

fn engine() -> Engine {
    engine_with(Policy::default())
}

fn confirm(engine: &mut Engine, at: Time) {
    engine.handle(fresh(Some(at)));
}

fn submit(engine: &mut Engine, id: u64, path: &str) -> mpsc::UnboundedReceiver<Decision> {
    let (tx, rx) = mpsc::unbounded_channel();
    engine.handle(Event::RequestArrived(Arrival {
        id: RequestId(id),
        api_key: None,
        service: "board".into(),
        path: path.to_owned(),
        host: "h".to_owned(),
        full_path: path.to_owned(),
        affinity: None,
        kind: RequestKind::Idempotent,
        fingerprint: id,
        timeout: None,
        awaits_dispatch: true,
        tx,
    }));
    rx
}

/// Returns why a request was refused, and by which configuration according to its line.
fn refusal(rx: &mut mpsc::UnboundedReceiver<Decision>) -> Option<(String, UsedConfig)> {
    let mut used = UsedConfig::default();
    while let Ok(decision) = rx.try_recv() {
        match decision {
            Decision::Resolved(info) => used = info.config,
            Decision::Consulted(config) => used = config,
            Decision::Refuse(refusal) => return Some((refusal.kind.to_string(), used)),
            _ => {}
        }
    }
    None
}

/// Guards against a refusal whose line names the configuration that had allowed the request at its arrival, or that
/// leaves open which version it was and what confirmed it.
#[tokio::test]
async fn withdrawn_request_names_the_configuration_that_refused_it() {
    let mut engine = engine();
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config(&["/a/", "/b/"])),
        version: Some(4),
    });
    confirm(&mut engine, Time::from_secs(1));
    let mut rx = submit(&mut engine, 1, "/a/x");
    assert_eq!(refusal(&mut rx), None);
    let confirmed_at = Some(Time::from_secs(2));
    let confirmation = Some(Confirmation {
        at: Time::from_secs(3),
        by: Some("i2".into()),
        era: 2,
        unwritten_until: Some(Time::from_secs(9)),
    });
    engine.handle(Event::ConfigFreshness {
        freshness: Freshness::Fresh,
        valid_until: Time::NEVER,
        confirmed_at,
        refuse_until: Time::NEVER,
        confirmation: confirmation.clone(),
        targets_until: Time::NEVER,
    });
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config(&["/b/"])),
        version: Some(7),
    });
    let used = UsedConfig {
        revision: 2,
        version: Some(7),
        confirmed_at,
        confirmation,
    };
    assert_eq!(refusal(&mut rx), Some(("unknown_service".to_owned(), used)));
}

/// Guards against DENIED and CONFIG: what a later configuration that has to be in force may allow was refused
/// permanently.
#[rstest]
#[case::known_to_be_the_latest(Time::NEVER, "unknown_service")]
#[case::not_known(Time::ZERO, "isolated")]
#[tokio::test]
async fn unknown_route_by_what_is_known(#[case] refuse_until: Time, #[case] expected: &str) {
    let mut engine = engine();
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config(&["/a/"])),
        version: None,
    });
    engine.handle(Event::ConfigFreshness {
        freshness: Freshness::Fresh,
        valid_until: Time::NEVER,
        confirmed_at: None,
        refuse_until,
        confirmation: None,
        targets_until: Time::NEVER,
    });
    let mut rx = submit(&mut engine, 1, "/b/x");
    assert_eq!(refusal(&mut rx).unwrap().0, expected);
}

/// Guards against wrong refusals that only lines of single requests show.
#[rstest]
#[case::unknown_key("unknown_key", 401, Some(2_900), Some(1))]
#[case::quarantined("quarantined", 422, Some(100), Some(1))]
#[case::elsewhere("moved", 307, Some(100), Some(1))]
#[case::rate_limited("rate_limited", 429, Some(100), None)]
#[case::slow_sender("slow_sender", 408, Some(100), None)]
#[case::overloaded("overloaded", 503, Some(100), None)]
#[case::decided_by_no_configuration("bad_request", 400, None, None)]
fn ages_of_configurations_that_refuse_for_good_are_counted(
    #[case] end: &str,
    #[case] status: u16,
    #[case] age_ms: Option<u64>,
    #[case] counted: Option<u64>,
) {
    let metrics = Metrics::new().unwrap();
    metrics.record_refusal(end, status, age_ms.map(Duration::from_millis));
    let text = metrics.text();
    let name = "godwitgauge_refusal_config_age_seconds_count";
    let prefix = format!("{name}{{end=\"{end}\"}} ");
    let mut lines = text.lines();
    let count = lines.find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
    assert_eq!(count, counted, "{text}");
}

//! Routes whose requests are divided among services, over many instances with few requests each.

#[path = "support/fresh.rs"]
mod fresh;

use std::sync::Arc;

use base::{Config, Route, RouteKind, ServiceId, WeightedService};
use coord::QuotaSplit;
use dispatch::{Policy, RequestId, RequestKind};
use entry::{
    dial::Dialer,
    engine::{Engine, EngineOptions},
    message::{Arrival, Decision, Event},
    view::Clock,
};
use fresh::fresh;
use rstest::rstest;
use tokio::sync::mpsc;

const INSTANCES: u64 = 67;
/// Difference from its weight's share that the users allow a part.
const ALLOWED_DIFFERENCE: f64 = 0.1;

fn config<const PARTS: usize>(weights: [u32; PARTS]) -> Config {
    let services = ["first", "second", "third"].into_iter().zip(weights);
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/p/".to_owned(),
        kind: RouteKind::Idempotent,
        services: services
            .map(|(service, weight)| WeightedService {
                service: service.into(),
                weight,
            })
            .collect(),
        timeout_ms: 1_000,
        objective_ms: 500,
        attempts: 1,
        priority: 0,
        is_open: true,
        is_sticky: false,
        homes: Default::default(),
    };
    Config {
        routes: vec![route].into(),
        ..Config::default()
    }
}

fn engine(seed: u64, config: &Config) -> Engine {
    let (relays, _) = mpsc::unbounded_channel();
    let (outgoing, _) = mpsc::unbounded_channel();
    let (events, _) = mpsc::unbounded_channel::<Event>();
    let options = EngineOptions {
        region: "r".into(),
        seed,
        split: QuotaSplit::default(),
        policy: Policy::default(),
        refuses_when_isolated: false,
    };
    let dialer = Dialer::new(Clock::start(), relays);
    let mut engine = Engine::new(dialer, options, outgoing, events.downgrade()).unwrap();
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config.clone()),
        version: None,
    });
    engine.handle(fresh(None));
    engine
}

/// Returns the service that a request is resolved to.
fn resolve(engine: &mut Engine, id: u64) -> ServiceId {
    let (tx, mut rx) = mpsc::unbounded_channel();
    engine.handle(Event::RequestArrived(Arrival {
        id: RequestId(id),
        api_key: None,
        service: "".into(),
        path: "/p/x".to_owned(),
        host: "h".to_owned(),
        full_path: "/p/x".to_owned(),
        affinity: None,
        kind: RequestKind::Idempotent,
        fingerprint: id,
        timeout: None,
        awaits_dispatch: false,
        tx,
    }));
    match rx.try_recv() {
        Ok(Decision::Resolved(info)) => info.service,
        other => panic!("{other:?}"),
    }
}

/// Guards against CONFIG: every instance began its round robin with the same service, so that of
/// few requests to each instance nearly all went there.
#[rstest]
#[case::even([50, 50], 1)]
#[case::most_to_the_second([30, 70], 1)]
#[case::most_to_the_first([70, 30], 2)]
#[case::three_each([85, 15], 3)]
#[tokio::test]
async fn split_holds_with_few_requests_an_instance(#[case] weights: [u32; 2], #[case] each: u64) {
    let config = config(weights);
    let mut first = 0.0;
    for seed in 1..=INSTANCES {
        let mut engine = engine(seed, &config);
        let resolved = (0..each).map(|id| resolve(&mut engine, id));
        first += resolved
            .filter(|service| service.as_str() == "first")
            .count() as f64;
    }
    let share = first / (INSTANCES * each) as f64;
    let wanted = f64::from(weights[0]) / f64::from(weights[0] + weights[1]);
    assert!(
        (share - wanted).abs() <= ALLOWED_DIFFERENCE,
        "{share:.2} instead of {wanted:.2}"
    );
}

/// Guards against CONFIG: a service whose part of a route a configuration had taken away got one more
/// request of each instance, from the credit that its former weight had left.
#[rstest]
#[case::first([1, 1, 1], [0, 1, 1], "first")]
#[case::second([1, 2, 3], [1, 0, 3], "second")]
#[case::third([40, 30, 30], [40, 60, 0], "third")]
#[tokio::test]
async fn split_sends_nothing_to_a_part_that_is_taken_away(
    #[case] before: [u32; 3],
    #[case] after: [u32; 3],
    #[case] taken: &str,
) {
    for seed in 1..=INSTANCES {
        let mut engine = engine(seed, &config(before));
        for id in 0..seed % 10 {
            resolve(&mut engine, id);
        }
        engine.handle(Event::ConfigActivated {
            config: Arc::new(config(after)),
            version: None,
        });
        let sent = (10..20).filter(|id| resolve(&mut engine, *id).as_str() == taken);
        assert_eq!(sent.count(), 0, "seed {seed}");
    }
}

/// Guards against splits that begin their round again with each configuration, so that a service with a
/// small weight gets more or less than its part.
#[tokio::test]
async fn split_goes_on_with_the_same_weights() {
    let config = config([1, 3]);
    let mut engine = engine(1, &config);
    let mut first = 0;
    for id in 0..400 {
        first += u32::from(resolve(&mut engine, id).as_str() == "first");
        engine.handle(Event::ConfigActivated {
            config: Arc::new(config.clone()),
            version: None,
        });
    }
    assert_eq!(first, 100);
}

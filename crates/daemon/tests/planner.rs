//! The plan of a region's traffic, with the other tasks replaced by channels.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::{
    Config, RegionId, Route, RouteKind, Service, ServiceId, TargetId, WeightedService, Workspace,
};
use coord::Freshness;
use daemon::{
    fleet::Fleet,
    planner::{Planner, PlannerOptions},
};
use dispatch::TargetState;
use entry::{
    message::{Event, ServiceLoad},
    view::{Clock, View},
};
use rstest::rstest;
use standin::config::{service, target};
use steer::{PlanPolicy, Shares, moved_share};
use tokio::sync::{mpsc, watch};

const REGIONS: [&str; 3] = ["a", "b", "c"];
const TARGETS_PER_REGION: usize = 4;
const SLOTS: u32 = 4;
/// Share of the requests that may move in 2 s, which is two plans.
const SHIFT_CAP: f64 = 0.075;

fn target_id(idx: usize) -> TargetId {
    format!("t{idx}").into()
}

fn config() -> Config {
    let mut config = standin::config::config(REGIONS.map(|region| (region, region)));
    let targets = (0..REGIONS.len() * TARGETS_PER_REGION).map(|idx| {
        (
            target_id(idx),
            target(REGIONS[idx / TARGETS_PER_REGION], None),
        )
    });
    let service = Service {
        targets: targets.collect(),
        ..service(SLOTS, 10_000)
    };
    config.services.insert("s".into(), service);
    config
}

fn load(requests_per_s: f64) -> ServiceLoad {
    let targets = 0..REGIONS.len() * TARGETS_PER_REGION;
    ServiceLoad {
        requests_per_s,
        pinned_requests_per_s: Vec::new(),
        mean_response_bytes: None,
        latency: Duration::from_millis(100),
        service_time: Duration::from_millis(100),
        region_service_times: BTreeMap::new(),
        targets: targets
            .map(|idx| (target_id(idx), TargetState::Ready, SLOTS))
            .collect(),
    }
}

fn route(idx: usize) -> Route {
    let weighted = WeightedService {
        service: "s".into(),
        weight: 1,
    };
    Route {
        name: format!("r{idx}"),
        host: "host".to_owned(),
        prefix: format!("/r{idx}/"),
        kind: RouteKind::Idempotent,
        services: vec![weighted],
        timeout_ms: 1_000,
        objective_ms: 1_000,
        attempts: 1,
        priority: 0,
        is_open: false,
        is_sticky: false,
        homes: BTreeSet::new(),
    }
}

/// Returns the shares of region `a` after `rounds` plans under a constant load.
async fn shares_after(rounds: usize, requests_per_s: f64) -> Shares {
    shares_under(rounds, load(requests_per_s)).await
}

/// Returns the shares of region `a` after `rounds` plans in which its load is `load`.
async fn shares_under(rounds: usize, load: ServiceLoad) -> Shares {
    let mut plans = plans_under(vec![load; rounds]).await;
    plans.pop().expect("a plan")
}

/// Returns the shares of region `a` after each plan, one for each of its loads in turn.
async fn plans_under(loads: Vec<ServiceLoad>) -> Vec<Shares> {
    plans_with(config(), loads).await
}

async fn plans_with(config: Config, loads: Vec<ServiceLoad>) -> Vec<Shares> {
    let (engine, mut events) = mpsc::unbounded_channel();
    let (peers, _commands) = mpsc::channel(64);
    let view = View {
        config: Some((1, Arc::new(config))),
        entries: Vec::new(),
        freshness: Freshness::Fresh,
        ..View::default()
    };
    let (_view_tx, view) = watch::channel(Arc::new(view));
    let (_fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let planner = Planner::new(PlannerOptions {
        clock: Clock::start(),
        own_id: "i1".into(),
        region: "a".into(),
        view,
        fleet,
        policy: Some(PlanPolicy {
            target_utilization: 0.6,
            shift_cap: SHIFT_CAP,
            window_s: 2.0,
            capacity_loss_threshold: 1.0,
        }),
        engine,
        peers,
    });
    let task = tokio::spawn(planner.run());
    let service = ServiceId::from("s");
    let mut plans = Vec::new();
    while plans.len() < loads.len() {
        match events.recv().await.expect("the planner runs") {
            Event::CollectLoads(reply) => {
                let load = loads[plans.len()].clone();
                let loads = BTreeMap::from([(service.clone(), load)]);
                reply.send(loads).expect("the planner waits");
            }
            Event::RegionShares(mut by_service) => {
                plans.push(by_service.remove(&service).expect("a plan").shares);
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    task.abort();
    plans
}

/// Objects are asked for by the callers of one region, so they stay there while it has room: 160
/// requests per second fit in each region, and 60 are sent.
#[tokio::test(start_paused = true)]
async fn planner_keeps_objects_near_their_callers_while_there_is_room() {
    let shares = shares_after(40, 60.0).await;
    let local = shares.get(&RegionId::from("a")).copied();
    assert_eq!(local, Some(1.0), "{shares:?}");
}

/// At 160 requests per second the region is planned to be used by 60 % at most, and the others take
/// the rest in equal parts.
#[tokio::test(start_paused = true)]
async fn planner_sends_the_excess_of_a_region_elsewhere() {
    let shares = shares_after(40, 160.0).await;
    let share = |region: &str| shares.get(&RegionId::from(region)).copied().unwrap_or(0.0);
    assert!((share("a") - 0.6).abs() < 0.01, "{shares:?}");
    assert!((share("b") - 0.2).abs() < 0.01, "{shares:?}");
}

/// Guards against a region that keeps twice what it can serve while others are free, because it takes its
/// own targets' times for theirs: requests that may run nowhere else then wait behind those that could.
///
/// Requests take five times as long in `a`, as its targets are full; it can serve 32 of 160 a second,
/// and each of the others 160.
#[tokio::test(start_paused = true)]
async fn planner_full_region_does_not_take_the_others_for_as_slow() {
    let slow = Duration::from_millis(500);
    let times = [("a", 500), ("b", 100), ("c", 100)];
    let times = times.map(|(region, ms)| (region.into(), Duration::from_millis(ms)));
    let load = ServiceLoad {
        service_time: slow,
        region_service_times: times.into(),
        ..load(160.0)
    };
    let shares = shares_under(40, load).await;
    let local = shares.get(&RegionId::from("a")).copied().unwrap_or(0.0);
    assert!((local - 0.12).abs() < 0.01, "{shares:?}");
}

/// A region that gets nothing more is not measured, so a time from when it was slow must not keep it
/// empty.
#[tokio::test(start_paused = true)]
async fn planner_region_once_slow_is_used_again() {
    let times = [("a", 100), ("b", 5_000), ("c", 5_000)];
    let times = times.map(|(region, ms)| (region.into(), Duration::from_millis(ms)));
    let load = ServiceLoad {
        region_service_times: times.into(),
        ..load(160.0)
    };
    let shares = shares_under(40, load).await;
    let local = shares.get(&RegionId::from("a")).copied().unwrap_or(0.0);
    assert!((local - 0.6).abs() < 0.01, "{shares:?}");
}

/// Guards against shares that move past their cap because requests have no answers to be measured by
/// yet, or have their first ones, while they already run by the shares before.
///
/// Requests begin after eight plans, most of them bound to `a`. The first answers come `unanswered` plans
/// later, after 500 ms each, so that `a` has no room for others.
#[rstest]
#[case::answered_at_once(0)]
#[case::answered_after_one_plan(1)]
#[case::answered_after_three_plans(3)]
#[tokio::test(start_paused = true)]
async fn planner_moves_no_more_than_its_cap_once_requests_run(#[case] unanswered: usize) {
    let idle = ServiceLoad {
        latency: Duration::ZERO,
        service_time: Duration::ZERO,
        ..load(0.0)
    };
    let waiting = ServiceLoad {
        requests_per_s: 30.0,
        pinned_requests_per_s: vec![("a".into(), 40.0)],
        ..idle.clone()
    };
    let answered = ServiceLoad {
        latency: Duration::from_millis(500),
        service_time: Duration::from_millis(500),
        ..waiting.clone()
    };
    let loads = [vec![idle; 8], vec![waiting; unanswered], vec![answered; 8]];
    let plans = plans_under(loads.concat()).await;
    for (idx, shares) in plans.iter().enumerate().skip(8) {
        let moved = moved_share(&plans[idx - 2], shares);
        assert!(
            moved <= SHIFT_CAP + 1e-9,
            "{moved} at plan {idx}: {plans:?}"
        );
    }
}

/// Guards against a region that keeps its callers' requests at the start of traffic although those bound to
/// it fill it: it refuses most of both then, and what its callers' requests run elsewhere changes at once.
///
/// Of 12 targets' room, 0.8 is assumed to be asked for. Where `a` alone may run 3 of 10 of that, 0.72 of its
/// room is taken; it is planned to be as full as the others.
#[rstest]
#[case::without_routes(0.3, "a", &[], 0.1228)]
#[case::elsewhere(0.3, "b", &[], 0.4386)]
#[case::nothing(0.0, "a", &[], 0.3333)]
#[case::beside_routes_without_keys(0.3, "a", &[false, true, true], 0.1228)]
#[tokio::test(start_paused = true)]
async fn planner_first_shares_leave_room_for_bound_requests(
    #[case] bound: f64,
    #[case] home: &str,
    #[case] is_open: &[bool],
    #[case] expected: f64,
) {
    let mut config = config();
    let workspace = |rate, homes: &[&str]| Workspace {
        rate,
        homes: homes.iter().map(|home| RegionId::from(*home)).collect(),
        ..Workspace::default()
    };
    let workspaces = [
        ("bound".into(), workspace(100.0 * bound, &[home])),
        ("free".into(), workspace(100.0 * (1.0 - bound), &[])),
    ];
    config.workspaces = BTreeMap::from(workspaces).into();
    let routes = is_open.iter().enumerate().map(|(idx, is_open)| Route {
        is_open: *is_open,
        ..route(idx)
    });
    config.routes = routes.collect::<Vec<_>>().into();
    let plans = plans_with(config, vec![load(0.0); 3]).await;
    let local = plans[2].get(&RegionId::from("a")).copied().unwrap_or(0.0);
    assert!((local - expected).abs() < 1e-3, "{plans:?}");
}

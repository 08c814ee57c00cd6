//! The plan of a region's traffic, with the other tasks replaced by channels.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Config, RegionId, Service, ServiceId, TargetId};
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
use standin::config::{service, target};
use steer::{PlanPolicy, Shares};
use tokio::sync::{mpsc, watch};

const REGIONS: [&str; 3] = ["a", "b", "c"];
const TARGETS_PER_REGION: usize = 4;
const SLOTS: u32 = 4;

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

/// Returns the shares of region `a` after `rounds` plans under a constant load.
async fn shares_after(rounds: usize, requests_per_s: f64) -> Shares {
    shares_under(rounds, load(requests_per_s)).await
}

/// Returns the shares of region `a` after `rounds` plans in which its load is `load`.
async fn shares_under(rounds: usize, load: ServiceLoad) -> Shares {
    let (engine, mut events) = mpsc::unbounded_channel();
    let (peers, _commands) = mpsc::channel(64);
    let view = View {
        config: Some((1, Arc::new(config()))),
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
            shift_cap: 0.075,
            window_s: 2.0,
            ..PlanPolicy::default()
        }),
        engine,
        peers,
    });
    let task = tokio::spawn(planner.run());
    let service = ServiceId::from("s");
    let mut shares = Shares::new();
    let mut plans = 0;
    while plans < rounds {
        match events.recv().await.expect("the planner runs") {
            Event::CollectLoads(reply) => {
                let loads = BTreeMap::from([(service.clone(), load.clone())]);
                reply.send(loads).expect("the planner waits");
            }
            Event::RegionShares(mut by_service) => {
                shares = by_service.remove(&service).expect("a plan").shares;
                plans += 1;
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    task.abort();
    shares
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

/// Guards against a region that keeps twice what it can serve beside free ones, because it takes its
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

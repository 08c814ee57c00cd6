//! Targets that end with a request or fall silent, and answers that reach their callers.

use std::time::Duration;

use proof::{
    caller::{Caller, Request},
    deployment::{Deployment, DeploymentSpec},
};
use tokio::time::{Instant, sleep};

use crate::{send, start_configured};

#[tokio::test(flavor = "multi_thread")]
async fn lost_target_leaves_action_unknown_and_run_once() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let post = Request::post("/logbook/pay")
        .key(&key)
        .header("idempotency-key", "pay-7")
        .header("crash", "1")
        .body("day pass");
    let first = send(&deployment, "i1", &post).await;
    assert_eq!(
        (first.error_kind(), &first.body["ran"]),
        ("target_lost", &"unknown".into())
    );
    for instance in ["i1", "i2", "i3"] {
        let repeat = send(&deployment, instance, &post).await;
        assert_eq!(repeat.error_kind(), "outcome_unknown", "{repeat:?}");
    }
    assert_eq!(running_target_count(deployment), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_ends_two_targets_at_most() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let poison = Request::get("/logbook/climbs?wall=9")
        .key(&key)
        .header("crash", "1");
    let first = send(&deployment, "i1", &poison).await;
    assert_eq!(first.error_kind(), "target_lost", "{first:?}");
    sleep(Duration::from_millis(200)).await;
    for instance in ["i1", "i2", "i3", "i2", "i3"] {
        let again = send(&deployment, instance, &poison).await;
        assert_eq!(again.error_kind(), "quarantined", "{instance}: {again:?}");
        assert!(again.retry_after.is_some());
    }
    assert!(running_target_count(deployment) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_cost_no_answer() {
    let spec = DeploymentSpec {
        has_target_relays: true,
        ..DeploymentSpec::default()
    };
    let (deployment, key) = start_configured(&spec).await;
    let request = Request::get("/logbook/climbs")
        .key(&key)
        .header("work-ms", "50");
    let entry = deployment.instances["i1"].entry;
    let mut callers = Vec::new();
    for _ in 0..6 {
        callers.push(Caller::connect(entry).await);
    }
    let mut tasks = tokio::task::JoinSet::new();
    for mut caller in callers {
        let request = request.clone();
        tasks.spawn(async move { (caller.send(&request).await.status, caller) });
    }
    let mut callers = Vec::new();
    while let Some(done) = tasks.join_next().await {
        let (status, caller) = done.unwrap();
        assert_eq!(status, 200);
        callers.push(caller);
    }
    for relay in deployment.target_relays.values() {
        relay.blackhole_open_connections();
    }
    // A non-idempotent request is sent only over a new or recently verified connection.
    sleep(Duration::from_millis(1_200)).await;
    let post = Request::post("/logbook/pay")
        .key(&key)
        .header("idempotency-key", "silent-1")
        .body("x");
    assert_eq!(callers[0].send(&post).await.status, 200);
    assert_eq!(deployment.execution_count("silent-1").await, 1);
    for caller in &mut callers {
        let started = Instant::now();
        assert_eq!(caller.send(&request).await.status, 200);
        assert!(
            started.elapsed() < Duration::from_secs(2),
            "{:?}",
            started.elapsed()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_never_cross_between_callers_and_workspaces() {
    let (deployment, club) = start_configured(&DeploymentSpec::default()).await;
    let gym = deployment.issue_key("k2", "gym");
    let entries: Vec<_> = deployment
        .instances
        .values()
        .map(|instance| instance.entry)
        .collect();
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..24 {
        let keys = [(club.clone(), "club"), (gym.clone(), "gym")];
        tasks.spawn(send_alternating(entries[caller as usize % 3], keys, caller));
    }
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
}

/// Returns the number of targets whose process still runs.
fn running_target_count(mut deployment: Deployment) -> usize {
    deployment
        .targets
        .values_mut()
        .filter_map(|target| target.process.is_running().then_some(()))
        .count()
}

/// Alternates requests of two workspaces over one connection and checks that each response belongs
/// to its request.
async fn send_alternating(
    entry: std::net::SocketAddr,
    keys: [(String, &'static str); 2],
    caller: u32,
) {
    let mut connection = Caller::connect(entry).await;
    for round in 0..20 {
        let (key, workspace) = &keys[(round + caller as usize) % 2];
        let path = format!("/logbook/own/{caller}/{round}");
        // Some timeouts are shorter than the work, so that responses arrive too late.
        let timeout = if round % 5 == 4 { "20" } else { "5000" };
        let request = Request::get(&path)
            .key(key)
            .header("work-ms", "30")
            .header("request-timeout-ms", timeout);
        let response = connection.send(&request).await;
        if response.status != 200 {
            assert_ne!(response.status, 0, "{response:?}");
            continue;
        }
        assert_eq!(response.body["path"], path.as_str());
        assert_eq!(response.body["headers"]["request-workspace"], *workspace);
    }
}

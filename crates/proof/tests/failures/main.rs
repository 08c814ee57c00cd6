//! Guarantees that hold while processes are killed or paused, networks are partitioned and the
//! platform is down, tested with separate processes.

mod operators;
mod platform;
mod processes;
mod targets;

use std::time::Duration;

use proof::{
    caller::{Caller, Request, Response},
    deployment::{Deployment, DeploymentSpec},
};
use tokio::time::{Instant, sleep};

pub(crate) const RETRY_TIMEOUT: Duration = Duration::from_secs(8);

/// Starts a deployment with a confirmed configuration and returns it with an API key for `club`.
pub(crate) async fn start_configured(spec: &DeploymentSpec) -> (Deployment, String) {
    let deployment = Deployment::start(spec).await;
    deployment.wait_for_heartbeats().await;
    let key = deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    (deployment, key)
}

pub(crate) async fn get(deployment: &Deployment, instance: &str, key: &str) -> Response {
    let request = Request::get("/logbook/climbs").key(key);
    send(deployment, instance, &request).await
}

pub(crate) async fn send(deployment: &Deployment, instance: &str, request: &Request) -> Response {
    let entry = deployment.instances[instance].entry;
    Caller::connect(entry).await.send(request).await
}

/// Asks `i1` for the instances that serve `logbook`; `place` continues the query.
pub(crate) async fn look_up(deployment: &Deployment, place: &str) -> Response {
    let request = Request::get(&format!("/v1/lookup?service=logbook{place}"));
    send(deployment, "i1", &request).await
}

/// Withdraws the key `k1` and asserts that all three instances refuse it once the command has ended.
pub(crate) async fn assert_withdrawn_everywhere(deployment: &Deployment, key: &str) {
    let (text, code) = deployment.run_cli(&["key", "withdraw", "k1"]);
    assert_eq!(code, 0, "{text}");
    for instance in ["i1", "i2", "i3"] {
        assert_eq!(
            get(deployment, instance, key).await.error_kind(),
            "unknown_key"
        );
    }
}

/// Repeats a request until its response has one of these error kinds, or fails after a timeout.
pub(crate) async fn wait_for_error_kind(
    deployment: &Deployment,
    instance: &str,
    key: &str,
    kinds: &[&str],
) {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        let response = get(deployment, instance, key).await;
        if kinds.contains(&response.error_kind()) {
            return;
        }
        assert!(Instant::now() < deadline, "{instance}: {response:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

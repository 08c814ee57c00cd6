//! A platform that is down, slow or cut off, or that answers what can't be used.

use std::time::Duration;

use proof::{
    caller::{Caller, Request},
    deployment::DeploymentSpec,
};
use standin::{platform_server::Faults, relay::RelayMode};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    RETRY_TIMEOUT, assert_withdrawn_everywhere, get, send, start_configured, wait_for_error_kind,
};

/// Time for which an action runs on its target.
const WORK: Duration = Duration::from_millis(400);
/// Time after its run for which the outcome of an action can't be recorded.
const RECORD_DELAY: Duration = Duration::from_millis(150);

/// Guards against an answer that was out before its record was: a repeat of the request through another instance was answered that
/// the action was in progress.
#[tokio::test(flavor = "multi_thread")]
async fn store_down_answer_waits_for_its_record() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let post = Request::post("/logbook/pay")
        .key(&key)
        .header("idempotency-key", "pay-8")
        .header("work-ms", &WORK.as_millis().to_string())
        .body("day pass");
    let hold_record = async {
        while deployment.execution_count("pay-8").await == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        let down = Faults {
            is_down: true,
            ..Faults::default()
        };
        deployment.set_faults(down).await;
        sleep(WORK + RECORD_DELAY).await;
        deployment.set_faults(Faults::default()).await;
    };
    let (first, held) = tokio::join!(
        send(&deployment, "i1", &post),
        timeout(RETRY_TIMEOUT, hold_record)
    );
    assert_eq!((first.status, held.is_ok()), (200, true), "{first:?}");
    let repeat = send(&deployment, "i2", &post).await;
    assert_eq!(
        (repeat.status, &repeat.body),
        (first.status, &first.body),
        "{repeat:?}"
    );
    assert_eq!(deployment.execution_count("pay-8").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_serves_and_accepts_no_change() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    deployment.set_faults(down).await;
    let deadline = Instant::now() + Duration::from_secs(7);
    while Instant::now() < deadline {
        for instance in ["i1", "i2", "i3"] {
            assert_eq!(get(&deployment, instance, &key).await.status, 200);
        }
        sleep(Duration::from_millis(200)).await;
    }
    let (text, code) = deployment.run_cli(&["key", "withdraw", "k1"]);
    assert_eq!(code, 5, "{text}");
    let plain = Request::post("/logbook/pay")
        .key(&key)
        .header("idempotency-key", "no-home")
        .body("x");
    let response = send(&deployment, "i1", &plain).await;
    assert_eq!(
        (response.error_kind(), &response.body["ran"]),
        ("claim_unavailable", &"no".into())
    );
    assert_eq!(deployment.execution_count("no-home").await, 0);
    deployment.set_faults(Faults::default()).await;
    assert_withdrawn_everywhere(&deployment, &key).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_from_all_refuses_withdrawn_key() {
    let spec = DeploymentSpec {
        relayed_instances: vec!["i2".to_owned()],
        ..DeploymentSpec::default()
    };
    let (deployment, key) = start_configured(&spec).await;
    assert_eq!(get(&deployment, "i2", &key).await.status, 200);
    deployment.relays["i2"]
        .platform
        .set_mode(RelayMode::Blackhole);
    deployment.relays["i2"].peer.set_mode(RelayMode::Blackhole);
    let (text, code) = deployment.run_cli(&["key", "withdraw", "k1", "--wait", "0"]);
    assert_eq!(code, 0, "{text}");
    wait_for_error_kind(&deployment, "i2", &key, &["isolated"]).await;
    // Once it is connected again, it learns that the key is revoked.
    deployment.relays["i2"]
        .platform
        .set_mode(RelayMode::Forward);
    deployment.relays["i2"].peer.set_mode(RelayMode::Forward);
    wait_for_error_kind(&deployment, "i2", &key, &["unknown_key"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_from_store_learns_from_peers() {
    let spec = DeploymentSpec {
        relayed_instances: vec!["i2".to_owned()],
        ..DeploymentSpec::default()
    };
    let (deployment, key) = start_configured(&spec).await;
    deployment.relays["i2"]
        .platform
        .set_mode(RelayMode::Blackhole);
    let (text, code) = deployment.run_cli(&["key", "withdraw", "k1"]);
    assert_eq!(code, 0, "{text}");
    assert_eq!(
        get(&deployment, "i2", &key).await.error_kind(),
        "unknown_key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_configuration_is_kept_out() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let text = "{ not a configuration";
    let digest = base::config_digest(text);
    deployment
        .platform
        .put_object(&format!("config/{digest}"), text)
        .await
        .unwrap();
    let head = platform::Write::new("config", "head").value(&digest);
    deployment.platform.write(vec![head]).await.unwrap();
    let deadline = Instant::now() + RETRY_TIMEOUT;
    let operator = deployment.instances["i1"].operator;
    loop {
        let metrics = Caller::connect(operator)
            .await
            .send(&Request::get("/metrics"))
            .await;
        let text = metrics.body.as_str().unwrap_or_default().to_owned();
        if text.contains("godwitgauge_fact{name=\"config_unreadable\"} 1") {
            break;
        }
        assert!(Instant::now() < deadline, "{text}");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(5)).await;
    assert_eq!(get(&deployment, "i1", &key).await.status, 200);
    assert_eq!(deployment.status("i1").await["version"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_object_keeps_old_version() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let digest = base::config_digest("never stored");
    let head = platform::Write::new("config", "head").value(&digest);
    deployment.platform.write(vec![head]).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(get(&deployment, "i1", &key).await.status, 200);
    assert_eq!(deployment.status("i1").await["version"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_store_changes_still_take_hold() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let faults = Faults {
        delay_ms: 700,
        ..Faults::default()
    };
    deployment.set_faults(faults).await;
    assert_withdrawn_everywhere(&deployment, &key).await;
}

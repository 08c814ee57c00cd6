//! Instances that are killed, paused or started again.

use std::time::Duration;

use proof::{
    caller::{Caller, Request},
    deployment::DeploymentSpec,
};
use standin::platform_server::Faults;
use tokio::time::{Instant, sleep};

use crate::{RETRY_TIMEOUT, get, look_up, send, start_configured, wait_for_error_kind};

#[tokio::test(flavor = "multi_thread")]
async fn kill_others_serve_and_lookups_forget() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    deployment.instances["i3"].process.signal("KILL");
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        assert_eq!(get(&deployment, "i1", &key).await.status, 200);
        let lookup = look_up(&deployment, "").await;
        if lookup.body["entries"].as_array().unwrap().len() == 2 {
            break;
        }
        assert!(Instant::now() < deadline, "{lookup:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_home_makes_outcome_unknown_not_run_again() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let lookup = look_up(&deployment, "&domain=oriente-norte").await;
    let home = lookup.body["entries"][0]["home"].as_str().unwrap();
    assert!(home.starts_with("i3."));
    let action = format!("{home}pay-1");
    let post = Request::post("/logbook/pay")
        .key(&key)
        .header("idempotency-key", &action)
        .body("day pass");
    assert_eq!(send(&deployment, "i1", &post).await.status, 200);
    deployment.instances["i3"].process.signal("KILL");
    let repeat = send(&deployment, "i2", &post).await;
    assert_eq!(repeat.error_kind(), "outcome_unknown", "{repeat:?}");
    assert_eq!(repeat.body["ran"], "unknown");
    assert_eq!(deployment.execution_count(&action).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn pause_withdrawn_key_stays_out_on_wake() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let paused = &deployment.instances["i2"];
    let mut open = Caller::connect(paused.entry).await;
    let request = Request::get("/logbook/climbs").key(&key);
    assert_eq!(open.send(&request).await.status, 200);
    paused.process.pause().await;
    // The request waits in the socket buffer of the paused instance.
    let waiting = tokio::spawn(async move { open.send(&request).await });
    let (text, code) = deployment.run_cli(&["key", "withdraw", "k1", "--wait", "0"]);
    assert_eq!(code, 0, "{text}");
    sleep(Duration::from_secs(6)).await;
    paused.process.signal("CONT");
    let response = waiting.await.unwrap();
    assert!(
        ["unknown_key", "isolated"].contains(&response.error_kind()),
        "{response:?}"
    );
    wait_for_error_kind(&deployment, "i2", &key, &["unknown_key"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_with_empty_state_serves_again() {
    let spec = DeploymentSpec::default();
    let (mut deployment, key) = start_configured(&spec).await;
    deployment.instances.remove("i2");
    deployment.start_instance("i2", "costa-norte", &spec).await;
    deployment.wait_until_confirmed().await;
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        let response = get(&deployment, "i2", &key).await;
        if response.status == 200 {
            break;
        }
        assert!(Instant::now() < deadline, "{response:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn start_without_store_waits_then_serves() {
    let spec = DeploymentSpec::default();
    let (mut deployment, key) = start_configured(&spec).await;
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    deployment.instances.remove("i3");
    deployment.set_faults(down).await;
    let file = deployment.dir.path().join("i3.jsonc");
    let args = ["run", "--config", file.to_str().unwrap(), "--log", "warn"];
    let process = proof::process::Process::start("godwitgauged", &args);
    let line = process.wait_for_event("listening");
    let entry = proof::process::parse_addr(&line, "entry");
    let request = Request::get("/logbook/climbs").key(&key);
    let waiting = Caller::connect(entry).await.send(&request).await;
    assert_eq!(
        (waiting.error_kind(), &waiting.body["ran"]),
        ("not_ready", &"no".into())
    );
    deployment.set_faults(Faults::default()).await;
    deployment
        .announce(
            "i3",
            "oriente-norte",
            proof::process::parse_addr(&line, "peer"),
        )
        .await;
    process.wait_for_event("ready");
    let deadline = Instant::now() + RETRY_TIMEOUT;
    while Caller::connect(entry).await.send(&request).await.status != 200 {
        assert!(Instant::now() < deadline);
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rate_over_the_fleet_is_kept_while_an_instance_is_killed() {
    let spec = DeploymentSpec {
        rate: 60.0,
        burst: 30.0,
        slots: 16,
        ..DeploymentSpec::default()
    };
    let (deployment, key) = start_configured(&spec).await;
    sleep(Duration::from_secs(2)).await;
    let entries: Vec<_> = deployment
        .instances
        .values()
        .map(|instance| instance.entry)
        .collect();
    let started = Instant::now();
    let length = Duration::from_secs(8);
    let mut tasks = tokio::task::JoinSet::new();
    for entry in entries.iter().chain(&entries) {
        let (entry, key) = (*entry, key.clone());
        tasks.spawn(async move {
            let mut admitted = 0u32;
            let mut caller = Caller::connect(entry).await;
            while started.elapsed() < length {
                let request = Request::get("/logbook/climbs").key(&key);
                let response = caller.send(&request).await;
                match response.status {
                    200 => admitted += 1,
                    0 => return admitted,
                    _ => sleep(Duration::from_millis(5)).await,
                }
            }
            admitted
        });
    }
    sleep(Duration::from_secs(3)).await;
    deployment.instances["i3"].process.signal("KILL");
    let mut admitted = 0;
    while let Some(count) = tasks.join_next().await {
        admitted += count.unwrap();
    }
    let allowed = 30.0 + 60.0 * started.elapsed().as_secs_f64();
    assert!(
        f64::from(admitted) <= allowed,
        "{admitted} requests admitted, {allowed} allowed"
    );
    assert!(
        f64::from(admitted) >= 0.4 * allowed,
        "{admitted} requests admitted, {allowed} allowed"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_while_an_instance_is_killed_and_the_store_is_slow() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let slow = Faults {
        delay_ms: 400,
        ..Faults::default()
    };
    deployment.set_faults(slow).await;
    deployment.instances["i3"].process.signal("KILL");
    let (text, code) = deployment.run_cli(&["key", "withdraw", "k1", "--wait", "3"]);
    // The killed instance is still on the platform's list: the command waits for it and names it.
    assert_eq!(code, 6, "{text}");
    assert!(text.contains("i3"), "{text}");
    for instance in ["i1", "i2"] {
        assert_eq!(
            get(&deployment, instance, &key).await.error_kind(),
            "unknown_key"
        );
    }
    deployment.forget("i3").await;
}

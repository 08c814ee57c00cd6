//! Guarantees that hold while processes are killed or paused, networks are partitioned and the
//! platform is down, tested with separate processes.

use std::time::Duration;

use proof::{
    caller::{Caller, Request, Response},
    deployment::{Deployment, DeploymentSpec},
};
use standin::{platform_server::Faults, relay::RelayMode};
use tokio::time::{Instant, sleep, timeout};

const RETRY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which an action runs on its target.
const WORK: Duration = Duration::from_millis(400);
/// Time after its run for which the outcome of an action can't be recorded.
const RECORD_DELAY: Duration = Duration::from_millis(150);

/// Starts a deployment with a confirmed configuration and returns it with an API key for `club`.
async fn start_configured(spec: &DeploymentSpec) -> (Deployment, String) {
    let deployment = Deployment::start(spec).await;
    deployment.wait_for_heartbeats().await;
    let key = deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    (deployment, key)
}

async fn get(deployment: &Deployment, instance: &str, key: &str) -> Response {
    let request = Request::get("/logbook/climbs").key(key);
    send(deployment, instance, &request).await
}

async fn send(deployment: &Deployment, instance: &str, request: &Request) -> Response {
    let entry = deployment.instances[instance].entry;
    Caller::connect(entry).await.send(request).await
}

/// Asks `i1` for the instances that serve `logbook`; `place` continues the query.
async fn look_up(deployment: &Deployment, place: &str) -> Response {
    let request = Request::get(&format!("/v1/lookup?service=logbook{place}"));
    send(deployment, "i1", &request).await
}

/// Withdraws the key `k1` and asserts that all three instances refuse it once the command has ended.
async fn assert_withdrawn_everywhere(deployment: &Deployment, key: &str) {
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
async fn wait_for_error_kind(deployment: &Deployment, instance: &str, key: &str, kinds: &[&str]) {
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

/// Guards against an answer that was out before its record was: a repeat of the request through another instance was told that
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
async fn lost_answer_of_write_is_settled_by_reading() {
    let (deployment, _) = start_configured(&DeploymentSpec::default()).await;
    let faults = Faults {
        loses_answers: true,
        ..Faults::default()
    };
    deployment.set_faults(faults).await;
    let (text, _) = deployment.run_cli(&["key", "withdraw", "k1", "--wait", "0"]);
    deployment.set_faults(Faults::default()).await;
    let (history, _) = deployment.run_cli(&["history"]);
    let withdrawals = history.matches("withdraw key k1").count();
    // Storing the object fails first, so that no version is written; a change is never written
    // twice.
    assert!(withdrawals <= 1, "{text}\n{history}");
    assert_eq!(
        text.contains("written: version"),
        withdrawals == 1,
        "{text}\n{history}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_nothing() {
    let (deployment, _) = start_configured(&DeploymentSpec::default()).await;
    let answers = std::fs::read_to_string(deployment.answers_path()).unwrap();
    let rates = [101, 102, 103, 104, 105];
    let outcomes: Vec<(String, i32)> = std::thread::scope(|scope| {
        let handles: Vec<_> = rates
            .iter()
            .map(|rate| {
                let file = deployment.dir.path().join(format!("{rate}.jsonc"));
                let changed = answers.replace("\"rate\": 1000.0", &format!("\"rate\": {rate}.0"));
                std::fs::write(&file, changed).unwrap();
                let operator_client = deployment.operator_client();
                scope.spawn(move || {
                    let file = file.to_string_lossy().into_owned();
                    operator_client.run_cli(&["apply", &file, "--base", "2", "--wait", "0"])
                })
            })
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().unwrap())
            .collect()
    });
    let applied = outcomes.iter().filter(|(_, code)| *code == 0).count();
    let conflicting = outcomes.iter().filter(|(_, code)| *code == 4).count();
    assert_eq!((applied, conflicting), (1, 4), "{outcomes:?}");
    let conflicts: Vec<&String> = outcomes
        .iter()
        .filter(|(_, code)| *code == 4)
        .map(|(text, _)| text)
        .collect();
    assert!(
        conflicts
            .iter()
            .all(|text| text.contains("version 2") && text.contains("version 3")),
        "{conflicts:?}"
    );
    let (keys, _) = deployment.run_cli(&["key", "list"]);
    assert!(keys.contains("k1"), "{keys}");
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

/// Returns the number of targets whose process still runs.
fn running_target_count(mut deployment: Deployment) -> usize {
    deployment
        .targets
        .values_mut()
        .filter_map(|target| target.process.is_running().then_some(()))
        .count()
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
async fn slow_store_changes_still_take_hold() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let faults = Faults {
        delay_ms: 700,
        ..Faults::default()
    };
    deployment.set_faults(faults).await;
    assert_withdrawn_everywhere(&deployment, &key).await;
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
async fn drained_domain_gets_no_callers_and_no_work() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let (text, code) = deployment.run_cli(&["drain", "domain", "costa-norte"]);
    assert_eq!(code, 0, "{text}");
    sleep(Duration::from_secs(1)).await;
    for _ in 0..30 {
        let response = get(&deployment, "i1", &key).await;
        assert_eq!(response.status, 200);
        assert_ne!(response.body["target"], "logbook-costa-norte-1");
    }
    let lookup = look_up(&deployment, "&domain=costa-norte").await;
    let entries = lookup.body["entries"].as_array().unwrap();
    assert!(
        entries.iter().all(|entry| entry["domain"] != "costa-norte"),
        "{entries:?}"
    );
    let (text, code) = deployment.run_cli(&["drain", "domain", "costa-norte", "--undo"]);
    assert_eq!(code, 0, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn revert_racing_apply_loses_nothing() {
    let (deployment, _) = start_configured(&DeploymentSpec::default()).await;
    let operator_client = deployment.operator_client();
    let answers = std::fs::read_to_string(deployment.answers_path()).unwrap();
    let file = deployment.dir.path().join("changed.jsonc");
    std::fs::write(&file, answers.replace("\"rate\": 1000.0", "\"rate\": 77.0")).unwrap();
    let (revert, apply) = std::thread::scope(|scope| {
        let revert = scope.spawn(|| operator_client.run_cli(&["revert", "1", "--wait", "0"]));
        let path = file.to_string_lossy().into_owned();
        let apply = scope.spawn(move || operator_client.run_cli(&["apply", &path, "--wait", "0"]));
        (revert.join().unwrap(), apply.join().unwrap())
    });
    // Each command either writes its change as a whole or reports the conflict.
    for (text, code) in [&revert, &apply] {
        assert!([0, 4].contains(code), "{text}");
    }
    let (history, _) = deployment.run_cli(&["history"]);
    let written = [&revert, &apply]
        .iter()
        .filter(|(text, _)| text.contains("written: version"))
        .count();
    assert_eq!(history.lines().count(), 2 + written, "{history}");
    let (keys, _) = deployment.run_cli(&["key", "list"]);
    assert!(
        keys.contains("k1"),
        "a revert should keep the current keys: {keys}"
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

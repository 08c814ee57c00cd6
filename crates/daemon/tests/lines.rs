//! `godwitgauged run` writes a line for each request, from which `godwitgauge why` finds its cause.

use std::time::Duration;

use proof::{
    caller::{Caller, Request},
    deployment::{Deployment, DeploymentSpec},
    process::{Process, run},
};
use serde_json::Value;
use tokio::time::{Instant, sleep};

const LINES_TIMEOUT: Duration = Duration::from_secs(10);
const LINES_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the hexadecimal trace ID of a test's request.
fn trace_id(number: usize) -> String {
    format!("{number:032x}")
}

/// Returns the lines that a process writes until `count` of them are about requests.
async fn read_until_requests(process: &Process, count: usize) -> Vec<Value> {
    let deadline = Instant::now() + LINES_TIMEOUT;
    let mut lines = Vec::new();
    loop {
        lines.extend(process.take_lines());
        let requests = lines.iter().filter(|line| line["event"] == "request");
        if requests.count() >= count {
            return lines;
        }
        assert!(Instant::now() < deadline, "{lines:?}");
        sleep(LINES_POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lines_explain_served_and_refused_requests() {
    let spec = DeploymentSpec {
        domains: vec!["sierra-norte".to_owned()],
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(&spec).await;
    deployment.wait_for_heartbeats().await;
    let key = deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    let instance = &deployment.instances["i1"];
    let _ = instance.process.take_lines();
    let unknown_key = format!("{key}-other");
    let in_path = format!("/logbook/climbs?api_key={key}");
    let requests = [
        (Request::get("/logbook/climbs").key(&key), 200, "ok"),
        (Request::get(&in_path), 200, "ok"),
        (Request::get("/logbook/climbs"), 401, "missing_key"),
        (
            Request::get("/logbook/climbs").key(&unknown_key),
            401,
            "unknown_key",
        ),
        (Request::get("/nothing").key(&key), 404, "unknown_service"),
    ];
    let mut caller = Caller::connect(instance.entry).await;
    for (idx, (request, status, _)) in requests.iter().enumerate() {
        let parent = format!("00-{}-0000000000000001-00", trace_id(idx + 1));
        let request = request.clone().header("traceparent", &parent);
        let response = caller.send(&request).await;
        assert_eq!(response.status, *status, "{response:?}");
    }

    let lines = read_until_requests(&instance.process, requests.len()).await;
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    assert!(!text.contains(&key), "{text}");
    let log = deployment.dir.path().join("i1.log");
    std::fs::write(&log, text).unwrap();
    for (idx, (_, status, end)) in requests.iter().enumerate() {
        let id = trace_id(idx + 1);
        let output = run("godwitgauge", &["why", &id, log.to_str().unwrap()]);
        let told = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{told}");
        assert!(told.contains(&format!("request {id} at i1:")), "{told}");
        assert!(told.contains(&format!("{end}, status {status}")), "{told}");
        assert!(told.contains(" of the operators"), "{told}");
    }
}

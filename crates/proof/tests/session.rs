//! One session with separate processes, from the first configuration to a stopped instance.

use std::time::Duration;

use proof::{
    caller::{Caller, Request, Response},
    deployment::{Deployment, DeploymentSpec},
    transcript::Transcript,
};
use tokio::time::{Instant, sleep};

/// Formats a response with the values replaced that differ between runs.
fn format_response(response: &Response) -> String {
    let mut body = response.body.clone();
    if let Some(headers) = body.get_mut("headers").and_then(|all| all.as_object_mut()) {
        for name in ["host", "traceparent", "request-deadline-ms"] {
            if headers.contains_key(name) {
                headers.insert(name.to_owned(), "(varies)".into());
            }
        }
    }
    if body.get("target").is_some() {
        body["target"] = "(any)".into();
    }
    format!("{} {body}", response.status)
}

#[tokio::test(flavor = "multi_thread")]
async fn session_whole_path() {
    let mut deployment = Deployment::start(&DeploymentSpec::default()).await;
    let mut transcript = Transcript::default();
    let answers = deployment.answers_path().to_string_lossy().into_owned();
    deployment.wait_for_heartbeats().await;

    transcript.add_heading("plan and apply");
    transcript.add_output(&first_line(&deployment.run_cli(&["plan", &answers]).0));
    transcript.add_output(&without_progress(
        &deployment.run_cli(&["apply", &answers]).0,
    ));
    deployment.wait_until_confirmed().await;

    transcript.add_heading("issue a key");
    let args = [
        "--output",
        "json",
        "key",
        "issue",
        "k1",
        "--workspace",
        "club",
    ];
    let (text, _) = deployment.run_cli(&args);
    let issued: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    let key = issued["key"].as_str().unwrap().to_owned();
    transcript.replace(&key, "(key)");
    transcript.add_output(&without_progress(&text));

    transcript.add_heading("look up");
    let entry = deployment.instances["i1"].entry;
    let mut caller = Caller::connect(entry).await;
    let lookup = caller
        .send(&Request::get(
            "/v1/lookup?service=logbook&domain=costa-norte",
        ))
        .await;
    let order: Vec<&str> = lookup.body["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["domain"].as_str().unwrap())
        .collect();
    transcript.add_output(&format!(
        "{} ttl_ms {} first {} of {}",
        lookup.status,
        lookup.body["ttl_ms"],
        order[0],
        order.len()
    ));

    transcript.add_heading("a request with its key, without one, with a wrong one");
    let request = Request::get("/logbook/climbs?grade=7a").key(&key);
    transcript.add_output(&format_response(&caller.send(&request).await));
    transcript.add_output(&format_response(
        &caller.send(&Request::get("/logbook/climbs")).await,
    ));
    transcript.add_output(&format_response(
        &caller
            .send(&Request::get("/logbook/climbs").key("wrong"))
            .await,
    ));

    transcript.add_heading("a non-idempotent request and its repeat through another instance");
    let home = lookup.body["entries"][0]["home"].as_str().unwrap();
    let action = format!("{home}send-1");
    let post = Request::post("/logbook/ascents")
        .key(&key)
        .header("idempotency-key", &action)
        .body("7a on-sight");
    let first_response = caller.send(&post).await;
    let mut other = Caller::connect(deployment.instances["i3"].entry).await;
    let second_response = other.send(&post).await;
    transcript.add_output(&format!(
        "{} then {}, same response: {}",
        first_response.status,
        second_response.status,
        first_response.body == second_response.body
    ));
    assert_eq!(deployment.execution_count(&action).await, 1);

    transcript.add_heading("revoke the key while the connection stays open");
    transcript.add_output(&without_progress(
        &deployment.run_cli(&["key", "withdraw", "k1"]).0,
    ));
    transcript.add_output(&format_response(&caller.send(&request).await));
    transcript.add_output(&format_response(&other.send(&request).await));

    transcript.add_heading("a target leaves");
    let key = deployment.issue_key("k2", "club");
    let leaving = deployment.targets["logbook-sierra-norte-1"].addr;
    Caller::connect(leaving)
        .await
        .send(&Request::post("/admin/leave"))
        .await;
    sleep(Duration::from_secs(3)).await;
    let request = Request::get("/logbook/climbs").key(&key);
    let mut served_by_leaving = 0;
    for _ in 0..50 {
        let response = caller.send(&request).await;
        assert_eq!(response.status, 200, "{response:?}");
        served_by_leaving += u32::from(response.body["target"] == "logbook-sierra-norte-1");
    }
    transcript.add_output(&format!(
        "new requests on it after 3 s: {served_by_leaving}"
    ));

    transcript.add_heading("an instance stops without interrupting requests");
    let entry = deployment.instances["i3"].entry;
    let slow = Request::get("/logbook/climbs")
        .key(&key)
        .header("work-ms", "1500");
    let in_flight = tokio::spawn(async move { other.send(&slow).await });
    sleep(Duration::from_millis(200)).await;
    deployment.instances["i3"].process.signal("TERM");
    let deadline = Instant::now() + Duration::from_millis(400);
    while Instant::now() < deadline {
        let response = Caller::connect(entry).await.send(&request).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    transcript.add_output(&format!(
        "request in flight: {}",
        in_flight.await.unwrap().status
    ));
    let stopped = deployment.instances.get_mut("i3").unwrap();
    transcript.add_output(&format!("exited successfully: {}", stopped.process.wait()));
    let lookup = caller
        .send(&Request::get("/v1/lookup?service=logbook"))
        .await;
    let count = lookup.body["entries"].as_array().unwrap().len();
    transcript.add_output(&format!("instances in look-ups: {count}"));

    transcript.add_heading("history");
    transcript.add_output(&deployment.run_cli(&["history"]).0);
    insta::assert_snapshot!(transcript.into_text());
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

/// Removes the progress lines, whose number differs between runs.
fn without_progress(text: &str) -> String {
    text.lines()
        .filter(|line| !line.contains("waiting"))
        .collect::<Vec<_>>()
        .join("\n")
}

//! Requests sent ahead of an answer on one connection: they are answered in order, one that is slow
//! or refused does not lose the others, and what follows an answer that closes has not run.

use std::{net::SocketAddr, time::Duration};

use proof::{
    caller::{Caller, Request},
    deployment::{Deployment, DeploymentSpec},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const READ_TIMEOUT: Duration = Duration::from_secs(8);
const TARGET: &str = "logbook-sierra-norte-1";

async fn start_single_instance() -> (Deployment, String) {
    let spec = DeploymentSpec {
        domains: vec!["sierra-norte".to_owned()],
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(&spec).await;
    deployment.wait_for_heartbeats().await;
    let key = deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    (deployment, key)
}

fn get(path: &str, key: &str, more: &str) -> String {
    format!("GET /logbook/{path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n{more}\r\n")
}

/// Sends all requests at once and returns what the instance sends until it closes the connection.
async fn exchange(addr: SocketAddr, requests: &[String]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    let mut buf = Vec::new();
    timeout(READ_TIMEOUT, stream.read_to_end(&mut buf))
        .await
        .expect("the instance should close the connection")
        .unwrap();
    String::from_utf8(buf).unwrap()
}

/// Returns the statuses of the responses in the order in which they came.
fn statuses(text: &str) -> Vec<u16> {
    let lines = text.split("HTTP/1.1 ").skip(1);
    lines.map(|line| line[..3].parse().unwrap()).collect()
}

async fn total_runs(deployment: &Deployment) -> i64 {
    let mut target = Caller::connect(deployment.targets[TARGET].addr).await;
    let runs = target.send(&Request::get("/admin/runs")).await;
    runs.body["total"].as_i64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelining_answers_in_order_past_a_slow_and_a_refused_request() {
    let (deployment, key) = start_single_instance().await;
    let entry = deployment.instances["i1"].entry;
    let requests = [
        get("first", &key, "work-ms: 300\r\n"),
        get("second", "no-such-key", ""),
        get("third", &key, ""),
        get("fourth", &key, "connection: close\r\n"),
    ];
    let text = exchange(entry, &requests).await;
    assert_eq!(statuses(&text), [200, 401, 200, 200], "{text}");
    let position = |path: &str| text.find(&format!("/{path}")).expect("an echo of the path");
    assert!(position("first") < position("third"));
    assert!(position("third") < position("fourth"));
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelining_behind_an_answer_that_closes_nothing_runs() {
    let (deployment, key) = start_single_instance().await;
    let entry = deployment.instances["i1"].entry;
    let requests = [
        get("first", &key, "connection: close\r\n"),
        get("second", &key, ""),
        get("third", &key, ""),
    ];
    let text = exchange(entry, &requests).await;
    assert_eq!(statuses(&text), [200], "{text}");
    sleep(Duration::from_millis(200)).await;
    assert_eq!(total_runs(&deployment).await, 1);
}

/// The caller leaves while its first request runs: those behind it are not passed on.
#[tokio::test(flavor = "multi_thread")]
async fn pipelining_caller_that_leaves_runs_nothing_more() {
    let (deployment, key) = start_single_instance().await;
    let entry = deployment.instances["i1"].entry;
    let requests = [
        get("first", &key, "work-ms: 500\r\n"),
        get("second", &key, ""),
    ];
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    sleep(Duration::from_millis(200)).await;
    drop(stream);
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(total_runs(&deployment).await, 1);
}

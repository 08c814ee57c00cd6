//! Invalid input at the listeners: the instance responds or closes the connection, and keeps
//! serving.

use std::{net::SocketAddr, time::Duration};

use proof::{
    caller::{Caller, Request},
    deployment::{Deployment, DeploymentSpec},
};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    time::timeout,
};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Starts a deployment of one instance and one target, with low limits for request bodies.
async fn start_single_instance() -> (Deployment, String) {
    let mut spec = DeploymentSpec {
        domains: vec!["sierra-norte".to_owned()],
        ..DeploymentSpec::default()
    };
    spec.settings
        .insert("body_limit_bytes".to_owned(), json!(1_000));
    spec.settings
        .insert("body_timeout_ms".to_owned(), json!(500));
    let deployment = Deployment::start(&spec).await;
    deployment.wait_for_heartbeats().await;
    let key = deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    (deployment, key)
}

/// Sends raw bytes and returns the first line of the response, which is empty if the connection is
/// closed.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut buf = vec![0; 4_096];
    let read = timeout(CLOSE_TIMEOUT, stream.read(&mut buf)).await;
    let len = read
        .expect("the instance should respond or close the connection")
        .unwrap_or(0);
    let text = String::from_utf8_lossy(&buf[..len]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

/// Builds a `POST` request from its API key and the rest of its head and body.
fn post(key: &str, rest: &str) -> String {
    format!("POST /logbook/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n{rest}")
}

#[rstest]
#[case::no_http("\u{0}\u{1}\u{2}\r\n\r\n".to_owned(), "HTTP/1.1 400 Bad Request")]
#[case::over_long_head(format!("GET /logbook/x HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "a".repeat(100_000)), "HTTP/1.1 431 Request Header Fields Too Large")]
#[tokio::test(flavor = "multi_thread")]
async fn inputs_bad_head(#[case] bytes: String, #[case] first_line: &str) {
    let (deployment, key) = start_single_instance().await;
    let entry = deployment.instances["i1"].entry;
    let line = send_raw(entry, bytes.as_bytes()).await;
    assert!(line.is_empty() || line == first_line, "{line}");
    let request = Request::get("/logbook/x").key(&key);
    assert_eq!(
        Caller::connect(entry).await.send(&request).await.status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn inputs_bad_body() {
    let (deployment, key) = start_single_instance().await;
    let entry = deployment.instances["i1"].entry;
    let large = Request::post("/logbook/x")
        .key(&key)
        .body(&"a".repeat(1_001));
    let response = Caller::connect(entry).await.send(&large).await;
    assert_eq!(
        (response.status, response.error_kind()),
        (413, "body_too_large")
    );
    // A body that stalls, an invalid chunk size, and a body cut short by a half-closed connection.
    let slow = send_raw(
        entry,
        post(&key, "content-length: 10\r\n\r\nabc").as_bytes(),
    )
    .await;
    assert_eq!(slow, "HTTP/1.1 408 Request Timeout");
    let chunked = send_raw(
        entry,
        post(&key, "transfer-encoding: chunked\r\n\r\nzz\r\n").as_bytes(),
    )
    .await;
    assert!(
        chunked.is_empty() || chunked.starts_with("HTTP/1.1 400"),
        "{chunked}"
    );
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream
        .write_all(post(&key, "content-length: 10\r\n\r\nabc").as_bytes())
        .await
        .unwrap();
    stream.shutdown().await.unwrap();
    let mut buf = Vec::new();
    let _ = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut buf))
        .await
        .expect("the instance should close the connection");
    let request = Request::get("/logbook/x").key(&key);
    assert_eq!(
        Caller::connect(entry).await.send(&request).await.status,
        200
    );
    let runs = Caller::connect(deployment.targets["logbook-sierra-norte-1"].addr)
        .await
        .send(&Request::get("/admin/runs"))
        .await;
    assert_eq!(runs.body["total"], 1, "only the valid request should run");
}

/// Guards against a request whose end two readers can place differently: a length together with an encoding of
/// the body, a length stated twice and lines ended by less than CR LF were served.
#[rstest]
#[case::length_before_encoding("content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::encoding_before_length("transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n")]
#[case::two_lengths("content-length: 3\r\ncontent-length: 4\r\n\r\nabcd")]
#[case::same_length_twice("content-length: 3\r\ncontent-length: 3\r\n\r\nabc")]
#[case::list_of_lengths("content-length: 3, 3\r\n\r\nabc")]
#[case::line_feed_alone("x: a\ncontent-length: 3\r\n\r\nabc")]
#[case::line_feed_alone_after_head("content-length: 3\r\n\nabc")]
#[case::carriage_return_alone("x: a\rb\r\ncontent-length: 3\r\n\r\nabc")]
#[case::carriage_return_alone_after_head("content-length: 3\r\n\rabc")]
#[tokio::test(flavor = "multi_thread")]
async fn inputs_ambiguous_framing(#[case] rest: &str) {
    let (deployment, key) = start_single_instance().await;
    let entry = deployment.instances["i1"].entry;
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(post(&key, rest).as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(read.is_ok(), "the connection stays open: {answer}");
    let runs = Caller::connect(deployment.targets["logbook-sierra-norte-1"].addr)
        .await
        .send(&Request::get("/admin/runs"))
        .await;
    assert_eq!(runs.body["total"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn inputs_bad_frames_between_instances() {
    let (deployment, key) = start_single_instance().await;
    let instance = &deployment.instances["i1"];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for frame in [&b""[..], b"x", &[0xff; 60_000], &[0; 64]] {
        let _ = socket.send_to(frame, instance.peer).await;
    }
    let mut stream = TcpStream::connect(instance.peer).await.unwrap();
    let mut nonce = [0; 16];
    stream.read_exact(&mut nonce).await.unwrap();
    stream.write_all(&[0, 0, 0, 4, 1, 2, 3, 4]).await.unwrap();
    let mut buf = Vec::new();
    let _ = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut buf))
        .await
        .expect("the instance should close the connection");
    assert!(buf.is_empty(), "an unauthenticated frame gets no response");
    let request = Request::get("/logbook/x").key(&key);
    assert_eq!(
        Caller::connect(instance.entry)
            .await
            .send(&request)
            .await
            .status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn inputs_port_in_use_is_named() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("i.jsonc");
    let settings = json!({
        "instance": "i1", "domain": "d", "region": "r", "entry": addr, "operator": "127.0.0.1:0",
        "peer": "127.0.0.1:0", "platform": "127.0.0.1:1", "secret": "sixteen characters and more",
        "slot_count": 1,
    });
    std::fs::write(&file, settings.to_string()).unwrap();
    let output = proof::process::run("godwitgauged", &["run", "--config", file.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(text.contains(&format!("entry: {addr}")), "{text}");
}

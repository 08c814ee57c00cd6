//! Answers of an instance that come slowly, or not to their end.

use std::{process::Output, time::Duration};

use proof::process;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_blocking,
    time::{Instant, sleep},
};

const PIECES: usize = 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(400);
/// Time in which the command ends if nothing more comes, with a wide margin.
const END_TIME: Duration = Duration::from_secs(15);

/// Runs `status` against an instance that sends `pieces` of the [`PIECES`] of its answer, and says nothing
/// after them.
async fn run_status(pieces: usize) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        answer(&mut stream, pieces).await;
        stream
    });
    let run = move || process::run("godwitgauge", &["--operator", &addr, "status"]);
    let output = spawn_blocking(run).await.unwrap();
    drop(served);
    output
}

async fn answer(stream: &mut TcpStream, pieces: usize) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    let status = json!({
        "flags": [], "instance": "i0", "version": 7, "standing": "fresh", "targets": {},
        "workspaces": {}, "instances": {},
    });
    let body = status.to_string();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    for piece in body
        .as_bytes()
        .chunks(body.len().div_ceil(PIECES))
        .take(pieces)
    {
        sleep(PIECE_INTERVAL).await;
        stream.write_all(piece).await.unwrap();
    }
}

/// Guards against a status page that never came over a slow link: its answer was given up after 3 s,
/// although it went on arriving.
#[tokio::test]
async fn status_waits_for_an_answer_that_arrives() {
    let output = run_status(PIECES).await;
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("version 7"), "{text}");
}

/// Guards against a command that waits forever for the rest of an answer.
#[tokio::test]
async fn status_gives_up_an_answer_that_stops() {
    let start = Instant::now();
    let output = run_status(PIECES / 2).await;
    assert!(!output.status.success());
    assert!(start.elapsed() < END_TIME, "{:?}", start.elapsed());
}

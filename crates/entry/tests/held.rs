//! The bytes of bodies are counted until these are dropped.

mod support;

use std::net::SocketAddr;

use dispatch::Outcome;
use entry::{held::HeldBytes, view::Clock};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::support::{forwarder, send};

const MIB: usize = 1024 * 1024;

/// Starts a target that answers each request with a body of 10 MiB.
async fn start_target(is_chunked: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let body = vec![b'x'; 10 * MIB];
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let len = body.len();
            let (head, end) = if is_chunked {
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                (format!("{head}{len:x}\r\n"), "\r\n0\r\n\r\n")
            } else {
                (
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n"),
                    "",
                )
            };
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
            let _ = stream.write_all(end.as_bytes()).await;
        }
    });
    addr
}

/// LOST: an instance ended by its memory, since bodies counted only while they were received.
#[rstest]
#[case::known_length(false)]
#[case::chunked(true)]
#[tokio::test]
async fn held_answers_leave_room_once_dropped(#[case] is_chunked: bool) {
    let clock = Clock::start();
    let forwarder = forwarder(clock).held(HeldBytes::new(40 * MIB));
    let addr = start_target(is_chunked).await;
    let mut held = Vec::new();
    for _ in 0..3 {
        let result = send(&forwarder, clock, addr).await;
        assert!(matches!(result.outcome, Outcome::Answered(_)), "{result:?}");
        held.push(result.response.unwrap().body);
    }
    // A fourth one would leave no room for another as large.
    let copy = held[0].slice(1..2);
    assert_eq!(send(&forwarder, clock, addr).await.outcome, Outcome::Lost);
    held.clear();
    drop(copy);
    let result = send(&forwarder, clock, addr).await;
    assert!(matches!(result.outcome, Outcome::Answered(_)));
}

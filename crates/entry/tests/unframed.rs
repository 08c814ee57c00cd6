//! Answers without a length, which end with their connection.

mod support;

use std::{future::pending, net::SocketAddr};

use dispatch::Outcome;
use entry::view::Clock;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::support::{forwarder, send};

const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nanswer";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nanswer";

/// Starts a target that answers one request and closes the connection in order; if `is_cut`, it takes
/// no further ones, as behind a link that has been cut.
async fn start_target(answer: &'static str, is_cut: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let kept = (!is_cut).then_some(listener);
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        drop(stream);
        if let Some(listener) = kept {
            let _second = listener.accept().await;
            pending::<()>().await;
        }
    });
    addr
}

/// MIXED: an answer without a length looked whole when a link in between had ended its connection.
#[rstest]
#[case::length(LENGTH, false, true)]
#[case::length_of_a_target_that_ends(LENGTH, true, true)]
#[case::chunked_of_a_target_that_ends(CHUNKED, true, true)]
#[case::unframed(UNFRAMED, false, true)]
#[case::unframed_behind_a_cut(UNFRAMED, true, false)]
#[tokio::test]
async fn answer_without_length_counts_if_its_target_is_reachable(
    #[case] answer: &'static str,
    #[case] is_cut: bool,
    #[case] is_answered: bool,
) {
    let clock = Clock::start();
    let addr = start_target(answer, is_cut).await;
    let result = send(&forwarder(clock), clock, addr).await;
    assert_eq!(
        matches!(result.outcome, Outcome::Answered(_)),
        is_answered,
        "{result:?}"
    );
    assert_eq!(result.response.is_some(), is_answered);
}

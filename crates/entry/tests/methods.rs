//! Methods and headers of requests whose answers are framed in another way, or end the protocol on a connection.

#[path = "support/engine.rs"]
mod engine;
#[path = "support/fresh.rs"]
mod fresh;
#[path = "support/handler.rs"]
mod handler;
#[path = "support/served.rs"]
mod served;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use entry::descriptors::ConnectionLimit;
use rstest::rstest;

use served::{GET, OK, leave, read, send, start, start_target};

const LIMIT: ConnectionLimit = ConnectionLimit {
    served: 8,
    refused: 1,
};
const HEADERS: &str = "host: h\r\nx-api-key: key\r\n";
/// The answer to a HEAD has the length of a body, but none.
const OK_TO_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";
const SWITCHED: &str =
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";

/// Guards against MIXED: a CONNECT was forwarded, and a target's 200 to it came through without its body, as if a
/// tunnel had been opened. What follows the request on its connection is served only if that stays open.
#[rstest]
#[case::connect_to_path("CONNECT /board/x", "", OK, ("400", "bad_request"), 0)]
#[case::connect_to_authority("CONNECT h:80", "", OK, ("400", "bad_request"), 0)]
#[case::connect_to_url("CONNECT http://h/board/x", "", OK, ("400", "bad_request"), 0)]
#[case::connect_to_look_up("CONNECT /v1/lookup?service=board", "", OK, ("400", "bad_request"), 0)]
#[case::connect_upgraded("CONNECT /board/x", "connection: upgrade\r\nupgrade: x\r\n", OK, ("400", "bad_request"), 0)]
#[case::head("HEAD /board/x", "", OK_TO_HEAD, ("200", ""), 2)]
#[case::trace("TRACE /board/x", "", OK, ("200", "ok"), 2)]
#[case::options("OPTIONS /board/x", "", OK, ("200", "ok"), 2)]
#[case::unknown("connect /board/x", "", OK, ("200", "ok"), 2)]
#[case::upgrade("GET /board/x", "connection: upgrade\r\nupgrade: x\r\n", OK, ("200", "ok"), 2)]
#[case::switched("POST /board/x", "connection: upgrade\r\nupgrade: x\r\ncontent-length: 0\r\n", SWITCHED, ("502", "target_lost"), 2)]
#[tokio::test]
async fn method_opens_no_tunnel(
    #[case] line: &str,
    #[case] headers: &str,
    #[case] answer: &'static str,
    #[case] (status, body): (&str, &str),
    #[case] expected: usize,
) {
    let reached = Arc::new(AtomicUsize::new(0));
    let answers: &'static [&'static str] = Box::leak(Box::new([answer, OK]));
    let target = start_target(reached.clone(), answers).await;
    let (listener, engine, events) = start(target, LIMIT).await;
    tokio::spawn(engine.run(events));
    let mut stream = send(
        &listener,
        &format!("{line} HTTP/1.1\r\n{HEADERS}{headers}\r\n{GET}"),
    );
    let text = read(&mut stream, 2).await;
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    let answers: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
    assert_eq!(answers.len(), expected.max(1), "{text}");
    let (_, first) = answers[0].split_once("\r\n\r\n").unwrap();
    assert!(first.contains(body), "{text}");
    assert_eq!(first.is_empty(), body.is_empty(), "{text}");
    let is_closed = answers[0].contains("connection: close");
    assert_eq!(is_closed, expected == 0, "{text}");
    assert_eq!(reached.load(Ordering::Relaxed), expected, "{text}");
    leave(&stream);
}

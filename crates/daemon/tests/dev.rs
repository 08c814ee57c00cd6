//! The development mode answers requests, look-ups and operators as documented.

use proof::caller::{Caller, Request};
use rstest::rstest;

#[rstest]
#[case::with_key(Request::get("/echo/hello").key("dev-key"), 200)]
#[case::without_key(Request::get("/echo/hello"), 401)]
#[case::wrong_key(Request::get("/echo/hello").key("other"), 401)]
#[case::no_such_service(Request::get("/nothing/hello").key("dev-key"), 404)]
#[case::lookup(Request::get("/v1/lookup?service=echo"), 200)]
#[tokio::test]
async fn dev_answers(#[case] request: Request, #[case] status: u16) {
    let node = daemon::dev::start(true, None).await.unwrap();
    let response = Caller::connect(node.entry).await.send(&request).await;
    assert_eq!(response.status, status, "{response:?}");
    assert!(
        !response.body.to_string().contains("dev-key"),
        "{response:?}"
    );
}

#[tokio::test]
async fn dev_shows_metrics_and_status() {
    let node = daemon::dev::start(true, None).await.unwrap();
    let mut caller = Caller::connect(node.entry).await;
    assert_eq!(
        caller
            .send(&Request::get("/echo/hello").key("dev-key"))
            .await
            .status,
        200
    );
    let mut operator = Caller::connect(node.operator).await;
    let metrics = operator.send(&Request::get("/metrics")).await;
    let text = metrics.body.as_str().unwrap().to_owned();
    assert!(
        text.contains("godwitgauge_requests_total{end=\"ok\",service=\"echo\"} 1"),
        "{text}"
    );
    let status = operator.send(&Request::get("/v1/status")).await;
    assert_eq!(status.body["version"], 1);
    let explained = operator
        .send(&Request::get("/v1/explain?service=echo&workspace=dev"))
        .await;
    assert_eq!(explained.body["verdict"], "served");
}

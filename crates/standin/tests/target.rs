//! The stand-in target refuses requests over its concurrency limit and reports that it is leaving.

use std::{net::SocketAddr, time::Duration};

use proof::caller::{Caller, Request};
use standin::{
    listen::listen,
    target::{TargetOptions, TargetServer},
};

async fn start_target(slots: u32) -> (TargetServer, SocketAddr) {
    let options = TargetOptions {
        slots,
        processing_time: Duration::from_millis(100),
        ..TargetOptions::default()
    };
    let server = TargetServer::spawn(options);
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (addr, _) = listen(free_port, server.to_router()).await.unwrap();
    (server, addr)
}

#[tokio::test]
async fn target_refuses_over_slots() {
    let (server, addr) = start_target(1).await;
    let mut one = Caller::connect(addr).await;
    let mut two = Caller::connect(addr).await;
    let request = Request::get("/s/x");
    let (first, second) = tokio::join!(one.send(&request), two.send(&request));
    let mut statuses = [first.status, second.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503]);
    assert_eq!(server.run_counts().await.total, 1);
}

#[tokio::test]
async fn target_health_shows_leaving() {
    let (server, addr) = start_target(2).await;
    server.set_leaving(true);
    let health = Caller::connect(addr)
        .await
        .send(&Request::get("/health"))
        .await;
    assert_eq!(health.body["is_leaving"], true);
    assert_eq!(health.body["slots"], 2);
}

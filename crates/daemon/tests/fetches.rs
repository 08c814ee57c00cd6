//! Fetches of tables from other instances that accept and say nothing.

#[path = "support/follower.rs"]
mod follower;
#[path = "support/member.rs"]
mod member;
#[path = "support/options.rs"]
mod options;

use std::{sync::Arc, time::Duration};

use base::{Config, Position, Time};
use coord::Replica;
use daemon::{
    fleet::{Fleet, FleetMember},
    follower::tables::ComposedConfig,
    message::{FollowerMessage, TableChange},
};
use entry::view::Clock;
use follower::start_follower;
use member::listed_member;
use options::options;
use platform::{Platform, PlatformError};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

const SOURCES: usize = 4;
const WATCH_TIME: Duration = Duration::from_millis(1_300);
/// Publications in that time, with a wide margin over one for each refresh and read.
const MAX_PUBLICATIONS: usize = 200;

/// Guards against an instance that did nothing but try: as many fetches as may be under way were open, and
/// the next one stayed due.
#[tokio::test]
async fn fetches_of_silent_sources_cost_no_time() {
    let mut listeners = Vec::new();
    let mut fleet = Fleet::default();
    for idx in 0..SOURCES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let id = format!("i{idx}");
        fleet.members.insert(
            id.as_str().into(),
            FleetMember {
                addr: Some(listener.local_addr().unwrap()),
                ..listed_member()
            },
        );
        listeners.push(listener);
    }
    let (_fleet_tx, fleet) = watch::channel(Arc::new(fleet));
    let (engine, mut engine_rx) = mpsc::unbounded_channel();
    let platform = Platform::spawn(|| |_, _| async { Err(PlatformError::Unavailable) });
    let compose = |_: &[&Replica]| {
        Some(ComposedConfig {
            version: 1,
            is_latest: true,
            config: Config::default(),
        })
    };
    let options = options(Clock::start(), platform, fleet);
    let (follower, _told, _view) = start_follower(options, engine, compose);
    for idx in 0..SOURCES {
        let report = FollowerMessage::PeerPositions {
            from: format!("i{idx}").as_str().into(),
            positions: vec![Position::from(5), Position::from(5)],
            confirmed_at: None,
            change: Some(TableChange::complete(Position::from(5), Time::ZERO)),
            reads: None,
        };
        follower.send(report).await.unwrap();
    }
    // Three fetches of each table are open from 0.7 s to 1.6 s.
    sleep(WATCH_TIME).await;
    let mut publications = 0;
    while let Ok(Some(_)) = timeout(Duration::ZERO, engine_rx.recv()).await {
        publications += 1;
    }
    assert!(
        (1..MAX_PUBLICATIONS).contains(&publications),
        "{publications} publications"
    );
}

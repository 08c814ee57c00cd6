//! How recent an instance that the store turns away knows its configuration to be, next to one that reads.

use std::{sync::Arc, time::Duration};

use base::{Config, Position, Time};
use coord::Replica;
use daemon::{
    fleet::Fleet,
    follower::tables::ComposedConfig,
    message::{FollowerMessage, TableChange},
};
use entry::{message::Event, view::Clock};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};

use crate::{
    follower::start_follower,
    model::{HEARTBEAT_INTERVAL, RUN_TIME, Scenario, member, position_of, reporter_id},
    options::options,
    paused::run_paused,
    unread::silent_store,
};

/// Time after which the first heartbeats have come.
const SETTLED: Time = Time::from_secs(3);
/// Time that a heartbeat is on its way.
const WAY: Duration = Duration::from_millis(25);
/// Maximum age of what heartbeats confirm: their interval, their way, and the time to the next refresh.
const MAX_AGE: Duration = Duration::from_millis(800);

/// Positions that an instance reports of the operators' and the targets' table in its heartbeat with this number.
type Positions = fn(u64) -> [u64; 2];

fn compose(_: &[&Replica]) -> Option<ComposedConfig> {
    Some(ComposedConfig {
        version: 1,
        is_latest: true,
        config: Config::default(),
    })
}

/// Returns the greatest age of what confirms the routes and keys of an instance that is turned away after its first
/// reads, while another one reads both tables and reports.
async fn oldest_confirmation(positions: Positions) -> Duration {
    let (started, clock) = (Instant::now(), Clock::start());
    let platform = silent_store(started, &Arc::new(Scenario::calm()));
    let reader = reporter_id(0);
    let fleet = Fleet {
        members: [(reader.clone(), member(RUN_TIME))].into(),
        ..Fleet::default()
    };
    let (_fleet, fleet) = watch::channel(Arc::new(fleet));
    let (engine, mut events) = mpsc::unbounded_channel();
    let (follower, _told, _) = start_follower(options(clock, platform, fleet), engine, compose);
    tokio::spawn(async move {
        for number in 0.. {
            sleep(HEARTBEAT_INTERVAL).await;
            let message = FollowerMessage::PeerPositions {
                from: reader.clone(),
                positions: positions(number).map(Position::from).into(),
                confirmed_at: Some(clock.now().before(WAY)),
                change: Some(TableChange::complete(
                    Position::from(position_of(0)),
                    Time::ZERO,
                )),
                reads: None,
            };
            if follower.send(message).await.is_err() {
                return;
            }
        }
    });
    let mut oldest = Duration::ZERO;
    while started.elapsed() < RUN_TIME {
        let event = events.recv().await.unwrap();
        let now = clock.now();
        if let Event::ConfigFreshness { confirmation, .. } = event
            && now > SETTLED
        {
            let at = confirmation.map_or(Time::ZERO, |confirmation| confirmation.at);
            oldest = oldest.max(now - at);
        }
    }
    oldest
}

/// Guards against refusals for nothing, and lines that call a configuration old: an instance that the store turns away took
/// no confirmation of its routes and keys while it lacked rows of targets, which change all the time in a large fleet.
#[rstest]
#[case::nothing_changes(|_| [position_of(0); 2])]
#[case::targets_change_with_each_heartbeat(|number| [position_of(0), position_of(0) + number])]
fn routes_are_confirmed_whatever_the_targets(#[case] positions: Positions) {
    let oldest = run_paused(oldest_confirmation(positions));
    assert!(oldest <= MAX_AGE, "{oldest:?}");
}

/// Guards against wrong permanent refusals: routes and keys that the own rows lack are confirmed by nobody who has them.
#[rstest]
#[case::routes_changed(|_| [position_of(1), position_of(0)])]
#[case::both_changed(|_| [position_of(1); 2])]
fn routes_that_are_lacking_are_not_confirmed(#[case] positions: Positions) {
    let oldest = run_paused(oldest_confirmation(positions));
    assert!(oldest >= RUN_TIME - Duration::from_secs(1), "{oldest:?}");
}

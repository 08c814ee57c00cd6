//! The task that reads the platform's list.

use std::time::Duration;

use base::TargetId;
use coord::ListEntry;
use entry::message::Event;
use platform::{Call, Listed, ListedKind, ListedState, Platform};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::message::{ListedPeer, PeerCommand};

const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two reads of a list that instances keep themselves.
const LONGEST_INTERVAL: Duration = Duration::from_secs(8);
const FIRST_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps this instance on a list that instances write themselves, and reads it until a receiver
/// is gone; the less it changes the less often it is read.
pub async fn run_announced(platform: Platform, own: Listed, peers: mpsc::Sender<PeerCommand>) {
    let mut pause = FIRST_INTERVAL;
    let mut before = Vec::new();
    loop {
        if let Ok(list) = platform.list().await {
            let is_listed = list.contains(&own);
            pause = if is_listed && list == before {
                (pause * 2).min(LONGEST_INTERVAL)
            } else {
                FIRST_INTERVAL
            };
            if !is_listed {
                let listed = own.clone();
                // Another read shows whether it is there.
                let _ = platform.call(Call::Announce { listed }).await;
            }
            before.clone_from(&list);
            let listed = list.into_iter().filter_map(instance).collect();
            if peers.send(PeerCommand::List(listed)).await.is_err() {
                return;
            }
        }
        sleep(pause).await;
    }
}

/// Reads the list once a second and passes it on until a receiver is gone.
pub async fn run(
    platform: Platform,
    peers: mpsc::Sender<PeerCommand>,
    engine: mpsc::UnboundedSender<Event>,
) {
    let mut tick = interval(LIST_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let Ok(list) = platform.list().await else {
            continue;
        };
        for target in leaving_targets(&list) {
            let _ = engine.send(Event::TargetLeaves(target));
        }
        let listed = list.into_iter().filter_map(instance).collect();
        if peers.send(PeerCommand::List(listed)).await.is_err() {
            return;
        }
    }
}

fn leaving_targets(list: &[Listed]) -> Vec<TargetId> {
    list.iter()
        .filter(|listed| listed.kind == ListedKind::Target && listed.state == ListedState::Leaving)
        .map(|listed| listed.id.as_str().into())
        .collect()
}

fn instance(listed: Listed) -> Option<ListedPeer> {
    (listed.kind == ListedKind::Instance).then(|| ListedPeer {
        entry: ListEntry {
            id: listed.id.into(),
            domain: listed.domain,
            is_leaving: listed.state == ListedState::Leaving,
        },
        addr: listed.addr,
    })
}

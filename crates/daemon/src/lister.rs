//! The task that reads the platform's list.

use std::time::Duration;

use base::TargetId;
use coord::ListEntry;
use entry::message::Event;
use platform::{Listed, ListedKind, ListedState, Platform};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use crate::message::{ListedPeer, PeerCommand};

const LIST_INTERVAL: Duration = Duration::from_secs(1);

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

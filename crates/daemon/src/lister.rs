//! The task that reads the platform's list of instances and, where instances maintain that list,
//! keeps it up to date.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{InstanceId, TargetId, Time};
use coord::{ListEntry, rendezvous_rank};
use entry::{message::Event, view::Clock};
use platform::{Call, ListedMachine, MachineKind, MachineState, Platform};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    fleet::Fleet,
    message::{ListedPeer, PeerCommand},
};

/// Time between two reads of a list that the platform maintains.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two reads of a list that instances maintain.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(8);
/// Maximum time between two announcements that the platform refuses.
const MAX_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Time from a change of that list to its next read.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Time without heartbeats after which an instance is removed from a list that instances maintain.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(600);

/// Tracks since when each listed instance has sent no heartbeats.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use daemon::lister::{SILENCE_TIMEOUT, SilenceTracker};
///
/// let mut silence = SilenceTracker::default();
/// let listed = ["gone".to_owned()];
/// assert!(silence.expired(Time::ZERO, &listed, |_| false).is_empty());
/// assert_eq!(silence.expired(Time::ZERO + SILENCE_TIMEOUT, &listed, |_| false), ["gone"]);
/// ```
#[derive(Debug, Default)]
pub struct SilenceTracker {
    since: BTreeMap<String, Time>,
}

impl SilenceTracker {
    /// Updates the set of silent instances and returns those that have been silent for
    /// [`SILENCE_TIMEOUT`].
    pub fn expired<F>(&mut self, now: Time, listed: &[String], is_alive: F) -> Vec<String>
    where
        F: Fn(&str) -> bool,
    {
        self.since
            .retain(|id, _| listed.contains(id) && !is_alive(id));
        for id in listed.iter().filter(|id| !is_alive(id)) {
            self.since.entry(id.clone()).or_insert(now);
        }
        let is_expired = |since: Time| now - since >= SILENCE_TIMEOUT;
        let expired = self.since.iter().filter(|(_, since)| is_expired(**since));
        expired.map(|(id, _)| id.clone()).collect()
    }
}

/// Lets the list's task distinguish live instances from entries of those that have ended.
#[derive(Debug)]
pub struct Liveness {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
}

/// Keeps this instance on a list that instances maintain, and forwards the list to `peers` until
/// the receiver is dropped.
///
/// The interval between reads doubles while the list doesn't change, or the platform refuses the announcement. For each entry that has been
/// silent for [`SILENCE_TIMEOUT`], one instance, chosen by rank, removes it. An instance that was
/// removed but is alive announces itself again after its next read.
pub async fn announce_and_poll(
    platform: Platform,
    own: ListedMachine,
    liveness: Liveness,
    peers: mpsc::Sender<PeerCommand>,
) {
    let mut silence = SilenceTracker::default();
    let mut delay = MIN_LIST_INTERVAL;
    let mut previous = Vec::new();
    loop {
        if let Ok(list) = platform.list().await {
            let is_listed = list.contains(&own);
            delay = if is_listed && list == previous {
                (delay * 2).min(MAX_LIST_INTERVAL)
            } else if is_listed || announce(&platform, &own).await {
                MIN_LIST_INTERVAL
            } else {
                (delay * 2).min(MAX_ANNOUNCE_INTERVAL)
            };
            remove_silent(&platform, &own, &liveness, &mut silence, &list).await;
            previous.clone_from(&list);
            let listed = list.into_iter().filter_map(to_listed_peer).collect();
            if peers.send(PeerCommand::SetList(listed)).await.is_err() {
                return;
            }
        }
        sleep(delay).await;
    }
}

/// Puts this instance on the list, and returns whether the platform took it.
async fn announce(platform: &Platform, own: &ListedMachine) -> bool {
    let listed = own.clone();
    platform.call(Call::Announce { listed }).await.is_ok()
}

async fn remove_silent(
    platform: &Platform,
    own: &ListedMachine,
    liveness: &Liveness,
    silence: &mut SilenceTracker,
    list: &[ListedMachine],
) {
    let now = liveness.clock.now();
    let fleet = liveness.fleet.borrow().clone();
    let ids: Vec<String> = list.iter().map(|listed| listed.id.clone()).collect();
    let own_id = InstanceId::from(own.id.as_str());
    let is_alive = |id: &str| {
        let member = fleet.members.get(&InstanceId::from(id));
        id == own.id || member.is_some_and(|member| member.is_alive(now))
    };
    for id in silence.expired(now, &ids, is_alive) {
        if rendezvous_rank(&id, fleet.lease_candidates(now, &own_id), &own_id) == Some(0) {
            tracing::info!(event = "listed_swept", id);
            let _ = platform.call(Call::Forget { id }).await;
        }
    }
}

/// Reads, once a second, a list that the platform maintains, and forwards it until the receiver is
/// dropped.
pub async fn poll(
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
            let _ = engine.send(Event::TargetLeaving(target));
        }
        let listed = list.into_iter().filter_map(to_listed_peer).collect();
        if peers.send(PeerCommand::SetList(listed)).await.is_err() {
            return;
        }
    }
}

fn leaving_targets(list: &[ListedMachine]) -> Vec<TargetId> {
    list.iter()
        .filter(|listed| {
            listed.kind == MachineKind::Target && listed.state == MachineState::Leaving
        })
        .map(|listed| listed.id.as_str().into())
        .collect()
}

fn to_listed_peer(listed: ListedMachine) -> Option<ListedPeer> {
    (listed.kind == MachineKind::Instance).then(|| ListedPeer {
        entry: ListEntry {
            id: listed.id.into(),
            domain: listed.domain,
            is_leaving: listed.state == MachineState::Leaving,
        },
        addr: listed.addr,
    })
}

//! The task that reads the platform's list of instances and, where instances maintain that list,
//! keeps it up to date.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use base::{InstanceId, TargetId, Time};
use coord::{ListEntry, rendezvous_rank};
use entry::{message::Event, view::Clock};
use platform::{Call, ListedMachine, MachineKind, MachineState, Platform};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep, timeout},
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

/// Reads per second by which all instances together look for their entries in a new era, each of which may lead to a write.
const ENTRIES_PER_S: u32 = 250;
/// Maximum time over which these reads are spread.
const MAX_SPREAD: Duration = Duration::from_millis(1_200);

/// Time without heartbeats after which an instance is removed from a list that instances maintain.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(600);

/// Time in which an instance that was removed can be received before it is removed once more.
pub const REVIVAL_TIME: Duration = Duration::from_secs(10);
/// Maximum number of removed instances that are remembered.
const MAX_REMOVED: usize = 1_024;

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
    /// Instances that were silent as they left the list.
    removed: BTreeSet<String>,
}

impl SilenceTracker {
    /// Updates the set of silent instances and returns those that have been silent for
    /// [`SILENCE_TIMEOUT`].
    pub fn expired<F>(&mut self, now: Time, listed: &[String], is_alive: F) -> Vec<String>
    where
        F: Fn(&str) -> bool,
    {
        let is_silent = |id: &String, since: Time| !is_alive(id) && now - since >= SILENCE_TIMEOUT;
        let was_removed = |id: &String| !listed.contains(id);
        let silent = self
            .since
            .iter()
            .filter(|(id, since)| is_silent(id, **since));
        let removed = silent.map(|(id, _)| id).filter(|id| was_removed(id));
        self.removed.extend(removed.cloned());
        self.removed.retain(|id| !is_alive(id));
        while self.removed.len() > MAX_REMOVED {
            self.removed.pop_first();
        }
        self.since
            .retain(|id, _| listed.contains(id) && !is_alive(id));
        for id in listed.iter().filter(|id| !is_alive(id)) {
            self.since.entry(id.clone()).or_insert(now);
        }
        let is_expired = |since: Time| now - since >= SILENCE_TIMEOUT;
        let expired = self.since.iter().filter(|(_, since)| is_expired(**since));
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Counts instances that were removed, and which an older copy of the list names again, as silent for all but
    /// [`REVIVAL_TIME`], in which one that has started again can be received.
    pub fn on_restored(&mut self, now: Time) {
        for id in &self.removed {
            let since = (now + REVIVAL_TIME).before(SILENCE_TIMEOUT);
            self.since.insert(id.clone(), since);
        }
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
/// The interval between reads doubles while the list doesn't change, or the platform refuses the announcement. Once the
/// platform has been restored from an older copy of its tables, the list is read at once, spread over the instances. For each entry that has been
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
    let mut eras = platform.era();
    let mut listed_in = *eras.borrow_and_update();
    loop {
        if let Ok(list) = platform.list().await {
            let era = platform.latest_era();
            let is_listed = list.contains(&own);
            if era > listed_in {
                tracing::info!(
                    event = "list_restored",
                    era,
                    is_listed,
                    entries = list.len()
                );
                silence.on_restored(liveness.clock.now());
                listed_in = era;
            }
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
        } else {
            delay = delay.max((delay * 2).min(MAX_ANNOUNCE_INTERVAL));
        }
        if let Ok(Ok(())) = timeout(delay, eras.changed()).await {
            let instances = liveness.fleet.borrow().members.len() as u32 + 1;
            let spread = Duration::from_secs(1) * instances / ENTRIES_PER_S;
            sleep(rand::random_range(Duration::ZERO..spread.min(MAX_SPREAD))).await;
            delay = MIN_LIST_INTERVAL;
        }
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

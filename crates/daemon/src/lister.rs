//! The task that reads the platform's list.

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

const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two reads of a list that instances keep themselves.
const LONGEST_INTERVAL: Duration = Duration::from_secs(8);
const FIRST_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an instance is silent before it is taken off a list that instances keep.
pub const SWEEP_AFTER: Duration = Duration::from_secs(600);

/// Remembers since when listed instances have been silent.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use daemon::lister::{SWEEP_AFTER, Silence};
///
/// let mut silence = Silence::default();
/// let listed = ["gone".to_owned()];
/// assert!(silence.due(Time::ZERO, &listed, |_| false).is_empty());
/// assert_eq!(silence.due(Time::ZERO + SWEEP_AFTER, &listed, |_| false), ["gone"]);
/// ```
#[derive(Debug, Default)]
pub struct Silence {
    since: BTreeMap<String, Time>,
}

impl Silence {
    /// Takes in the list and who is heard; returns those that have been silent for long.
    pub fn due<F>(&mut self, now: Time, listed: &[String], is_heard: F) -> Vec<String>
    where
        F: Fn(&str) -> bool,
    {
        self.since
            .retain(|id, _| listed.contains(id) && !is_heard(id));
        for id in listed.iter().filter(|id| !is_heard(id)) {
            self.since.entry(id.clone()).or_insert(now);
        }
        let is_due = |since: Time| now - since >= SWEEP_AFTER;
        let due = self.since.iter().filter(|(_, since)| is_due(**since));
        due.map(|(id, _)| id.clone()).collect()
    }
}

/// Holds what is needed to tell who is heard.
#[derive(Debug)]
pub struct Hearing {
    /// Clock of the process.
    pub clock: Clock,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
}

/// Keeps this instance on a list that instances write themselves, and reads it until a receiver
/// is gone; the less it changes the less often it is read.
///
/// One of the instances takes off the list what has been silent for [`SWEEP_AFTER`]; who is taken
/// off and lives is back with its next read.
pub async fn run_announced(
    platform: Platform,
    own: ListedMachine,
    hearing: Hearing,
    peers: mpsc::Sender<PeerCommand>,
) {
    let mut silence = Silence::default();
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
            sweep(&platform, &own, &hearing, &mut silence, &list).await;
            before.clone_from(&list);
            let listed = list.into_iter().filter_map(instance).collect();
            if peers.send(PeerCommand::SetList(listed)).await.is_err() {
                return;
            }
        }
        sleep(pause).await;
    }
}

async fn sweep(
    platform: &Platform,
    own: &ListedMachine,
    hearing: &Hearing,
    silence: &mut Silence,
    list: &[ListedMachine],
) {
    let now = hearing.clock.now();
    let fleet = hearing.fleet.borrow().clone();
    let ids: Vec<String> = list.iter().map(|listed| listed.id.clone()).collect();
    let me = InstanceId::from(own.id.as_str());
    let is_heard = |id: &str| {
        let member = fleet.members.get(&InstanceId::from(id));
        id == own.id || member.is_some_and(|member| member.is_heard(now))
    };
    for id in silence.due(now, &ids, is_heard) {
        if rendezvous_rank(&id, fleet.lease_candidates(now, &me), &me) == Some(0) {
            tracing::info!(event = "listed_swept", id);
            let _ = platform.call(Call::Forget { id }).await;
        }
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
            let _ = engine.send(Event::TargetLeaving(target));
        }
        let listed = list.into_iter().filter_map(instance).collect();
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

fn instance(listed: ListedMachine) -> Option<ListedPeer> {
    (listed.kind == MachineKind::Instance).then(|| ListedPeer {
        entry: ListEntry {
            id: listed.id.into(),
            domain: listed.domain,
            is_leaving: listed.state == MachineState::Leaving,
        },
        addr: listed.addr,
    })
}

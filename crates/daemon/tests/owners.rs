//! What the engine is informed of the other instances in a fleet of different builds.

#[path = "support/member.rs"]
mod member;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Config, Domain, Incarnation, Time, Workspace};
use coord::QuotaSplit;
use daemon::{
    fleet::{Fleet, FleetMember},
    message::PeerCommand,
    owners::{Owners, OwnersOptions},
};
use entry::{
    message::{Event, LiveInstance},
    view::{Clock, View},
};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, advance, sleep, timeout},
};

use crate::member::listed_member;

const TOLD_WITHIN: Duration = Duration::from_secs(5);
/// Time for which an instance that has sent a heartbeat counts as alive.
const ALIVE_TIME: Duration = Duration::from_secs(2);

fn addr() -> SocketAddr {
    ([10, 1, 0, 8], 8_206).into()
}

/// Returns a live instance that reaches the targets and speaks this format.
fn member(format: u32) -> FleetMember {
    FleetMember {
        addr: Some(addr()),
        incarnation: Some(Incarnation(1)),
        version: 1,
        alive_until: Time::from_secs(600),
        held_slots: Some(1),
        heartbeat_sequence: 1,
        format,
        ..listed_member()
    }
}

/// Returns the task of an instance that owns workspaces.
fn owners(
    view: watch::Receiver<Arc<View>>,
    fleet: watch::Receiver<Arc<Fleet>>,
    engine: mpsc::UnboundedSender<Event>,
    peers: mpsc::Sender<PeerCommand>,
) -> Owners {
    Owners::new(OwnersOptions {
        clock: Clock::start(),
        own_id: "i1".into(),
        domain: "d".into(),
        incarnation: Incarnation(1),
        split: QuotaSplit::default(),
        view,
        fleet,
        engine,
        peers,
    })
}

/// Returns what the engine is informed of another instance that speaks this format.
async fn told_of(format: u32) -> LiveInstance {
    let mut config = Config::default();
    let domain = Domain { region: "r".into() };
    config.domains.insert("d".into(), domain);
    let view = View {
        config: Some((1, Arc::new(config))),
        ..View::default()
    };
    let fleet = Fleet {
        members: BTreeMap::from([("i2".into(), member(format))]),
        ..Fleet::default()
    };
    let (_view, view) = watch::channel(Arc::new(view));
    let (_fleet, fleet) = watch::channel(Arc::new(fleet));
    let (engine, mut events) = mpsc::unbounded_channel();
    let (peers, _commands) = mpsc::channel(64);
    let owners = owners(view, fleet, engine, peers);
    let (_messages, messages) = mpsc::channel(1);
    let (_outgoing, outgoing) = mpsc::unbounded_channel();
    tokio::spawn(owners.run(messages, outgoing));
    let told = async {
        loop {
            if let Some(Event::LiveInstances { instances, .. }) = events.recv().await {
                let other = instances.into_iter().find(|one| one.id == "i2".into());
                return other.unwrap();
            }
        }
    };
    timeout(TOLD_WITHIN, told).await.unwrap()
}

/// Guards against a lost path in an upgrade: instances of a build that can't carry marked connections
/// were asked before those that can, and only three are asked. They stay members.
#[rstest]
#[case::without_rates(1, false)]
#[case::without_number(2, false)]
#[case::without_quarantine(3, false)]
#[case::own(4, true)]
#[case::later(5, true)]
#[tokio::test]
async fn older_instance_is_asked_for_no_connection(#[case] format: u32, #[case] is_asked: bool) {
    let told = told_of(format).await;
    assert_eq!(told.relay_addr, is_asked.then(addr));
    assert_eq!(told.region, "r".into());
}

/// Returns a fleet of one other instance, which owns the only workspace whose last heartbeat was received at a time.
fn owner_heard_at(at: Duration) -> Arc<Fleet> {
    let owner = FleetMember {
        alive_until: Time::ZERO + at + ALIVE_TIME,
        owned_workspaces: vec![("club".into(), 7)],
        ..member(4)
    };
    Arc::new(Fleet {
        members: BTreeMap::from([("i2".into(), owner)]),
        ..Fleet::default()
    })
}

/// Returns the view of a configuration with these workspaces.
fn view_of(workspaces: &[&str]) -> Arc<View> {
    let workspace = Workspace {
        rate: 10.0,
        burst: 10.0,
        ..Workspace::default()
    };
    let workspaces = workspaces
        .iter()
        .map(|id| ((*id).into(), workspace.clone()));
    let config = Config {
        workspaces: workspaces.collect::<BTreeMap<_, _>>().into(),
        ..Config::default()
    };
    Arc::new(View {
        config: Some((1, Arc::new(config))),
        ..View::default()
    })
}

/// Lets an instance stand still, and returns when it takes the workspace, from its waking on. The owner's next heartbeat
/// is received 20 ms after that if it is alive.
async fn taken_after(stands: Duration, is_owner_alive: bool) -> Option<Duration> {
    let woken_at = Duration::from_secs(3) + stands;
    let (_view, view) = watch::channel(view_of(&["club"]));
    let (fleet_tx, fleet) = watch::channel(owner_heard_at(Duration::from_secs(2)));
    let (engine, _events) = mpsc::unbounded_channel();
    let (peers, mut commands) = mpsc::channel(64);
    let owners = owners(view, fleet, engine, peers);
    let (_messages, messages) = mpsc::channel(1);
    let (_outgoing, outgoing) = mpsc::unbounded_channel();
    tokio::spawn(owners.run(messages, outgoing));
    sleep(Duration::from_secs(3)).await;
    advance(stands).await;
    if is_owner_alive {
        tokio::spawn(async move {
            let mut at = woken_at;
            loop {
                sleep(Duration::from_millis(20)).await;
                at += Duration::from_millis(20);
                fleet_tx.send_replace(owner_heard_at(at));
            }
        });
    }
    let since = Instant::now();
    let taken = async {
        loop {
            if let Some(PeerCommand::SetOwnedWorkspaces(owned)) = commands.recv().await
                && !owned.is_empty()
            {
                return since.elapsed();
            }
        }
    };
    timeout(TOLD_WITHIN, taken).await.ok()
}

/// Guards against a second owner: an instance that woke took the workspaces of live owners whose heartbeats waited in its
/// own socket.
#[rstest]
#[case::short(1_600)]
#[case::long(10_000)]
#[tokio::test(start_paused = true)]
async fn workspace_of_a_live_owner_is_left_to_it_after_a_standstill(#[case] stands_ms: u64) {
    let taken = taken_after(Duration::from_millis(stands_ms), true).await;
    assert_eq!(taken, None);
}

/// Guards against workspaces that nobody owns: the owner ended while the instance stood still.
#[rstest]
#[case::slow(400)]
#[case::long(10_000)]
#[tokio::test(start_paused = true)]
async fn workspace_of_an_owner_that_ended_is_taken_after_a_standstill(#[case] stands_ms: u64) {
    let taken = taken_after(Duration::from_millis(stands_ms), false).await;
    assert!(
        taken.is_some_and(|after| after <= Duration::from_millis(1_000)),
        "{taken:?}"
    );
}

/// Guards against owners that give up their workspaces or begin a new epoch as the platform is restored from a copy, while slots
/// aren't confirmed: what they have lent and granted would be counted again.
#[tokio::test(start_paused = true)]
async fn owners_and_epochs_outlast_a_return() {
    let (_view, view) = watch::channel(view_of(&["club", "a", "b", "c", "d"]));
    let fleet_in = |era: u32, slots: u32| {
        let mut fleet = Fleet::clone(&owner_heard_at(Duration::from_secs(60)));
        for member in fleet.members.values_mut() {
            (member.store_era, member.held_slots) = (era, Some(slots));
        }
        Arc::new(fleet)
    };
    let (fleet_tx, fleet) = watch::channel(fleet_in(1, 1));
    let (engine, mut events) = mpsc::unbounded_channel();
    let (peers, mut commands) = mpsc::channel(64);
    let owners = owners(view, fleet, engine, peers);
    let (_messages, messages) = mpsc::channel(1);
    let (_outgoing, outgoing) = mpsc::unbounded_channel();
    tokio::spawn(owners.run(messages, outgoing));
    let mut known = || {
        let events = std::iter::from_fn(|| events.try_recv().ok());
        let owners = events.filter_map(|event| match event {
            Event::QuotaOwners(owners) => Some(owners),
            _ => None,
        });
        owners.last().unwrap()
    };
    sleep(Duration::from_secs(3)).await;
    let before = known();
    let owners = || {
        before
            .iter()
            .filter_map(|(_, one)| Some(&one.as_ref()?.owner))
    };
    assert!(
        owners().any(|one| one.instance == "i1".into()),
        "{before:?}"
    );
    assert!(owners().any(|one| one.epoch == 7), "{before:?}");
    assert!(commands.try_recv().is_ok());
    for (era, slots) in [(1, 0), (2, 0), (2, 1), (3, 1)] {
        fleet_tx.send_replace(fleet_in(era, slots));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(known(), before);
        assert!(commands.try_recv().is_err());
    }
}

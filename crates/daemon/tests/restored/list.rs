//! The list of instances that they maintain.

use std::{sync::Arc, time::Duration};

use base::Time;
use daemon::{
    fleet::Fleet,
    lister::{Liveness, REVIVAL_TIME, SILENCE_TIMEOUT, SilenceTracker, announce_and_poll},
};
use entry::view::Clock;
use platform::Store;
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::store::{RestoredStore, listed};

/// Time within which the entry of a living instance is written again.
const LISTED_WITHIN: Duration = Duration::from_secs(2);

fn start_lister(store: &RestoredStore, instance: usize) {
    let (fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let liveness = Liveness {
        clock: Clock::start(),
        fleet,
    };
    let (peers, mut peers_rx) = mpsc::channel(64);
    tokio::spawn(async move { while peers_rx.recv().await.is_some() {} });
    let platform = store.polled_platform(instance);
    let lister = announce_and_poll(platform, listed(instance), liveness, peers);
    tokio::spawn(async move {
        let _kept = fleet_tx;
        lister.await;
    });
}

/// Guards against instances that look-ups and peers miss: the copy lacked their entries, and each looked for its own only
/// every 8 s.
#[rstest]
#[case::one(1)]
#[case::users_largest_site(81)]
#[case::a_few_hundred(300)]
#[tokio::test(start_paused = true)]
async fn lost_entry_of_a_living_instance_stands_within_two_seconds(#[case] instances: usize) {
    let store = RestoredStore::default();
    for instance in 0..instances {
        start_lister(&store, instance);
    }
    sleep(Duration::from_secs(60)).await;
    let before = store.write_count("instances");
    store.restore(Store::default());
    sleep(LISTED_WITHIN).await;
    let list = store.platform(instances).list().await.unwrap();
    assert_eq!(list.len(), instances);
    let writes = store.write_count("instances") - before;
    assert_eq!(writes, instances, "each writes once");
}

/// Guards against an entry of an instance that has ended, and was removed, which is there again for ten minutes.
#[test]
fn removed_entry_that_stands_again_is_due_soon() {
    let mut silence = SilenceTracker::default();
    let listed = ["gone".to_owned(), "back".to_owned()];
    silence.expired(Time::ZERO, &listed, |_| false);
    let removed_at = Time::ZERO + SILENCE_TIMEOUT;
    let due = silence.expired(removed_at, &listed, |_| false);
    assert_eq!(due.len(), 2);
    silence.expired(removed_at, &[], |_| false);
    let restored_at = removed_at + Duration::from_secs(5);
    silence.on_restored(restored_at);
    assert!(silence.expired(restored_at, &listed, |_| false).is_empty());
    let due = silence.expired(restored_at + REVIVAL_TIME, &listed, |id| id == "back");
    assert_eq!(due, ["gone"]);
}

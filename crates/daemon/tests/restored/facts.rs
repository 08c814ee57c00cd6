//! The deployment's parameters.

use std::time::Duration;

use daemon::facts::{KnownParameters, keeping::keep, load_or_create};
use platform::{Platform, Store};
use rstest::rstest;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::store::{RestoredStore, listed};

/// Number of instances that run before the platform's return.
const INSTANCES: usize = 81;
/// Time in which instances notice the return, and in which those that start then agree.
const AGREE_TIME: Duration = Duration::from_secs(6);

async fn load(platform: &Platform, instance: usize) -> KnownParameters {
    load_or_create(platform, &listed(instance)).await.unwrap()
}

/// Starts instances, and returns their secret and what keeps it.
async fn start_fleet(store: &RestoredStore, count: usize) -> (String, Vec<JoinHandle<()>>) {
    let mut keeping = Vec::new();
    let mut secret = String::new();
    for instance in 0..count {
        let platform = store.polled_platform(instance);
        let known = load(&platform, instance).await;
        secret = known.parameters.secret.clone();
        keeping.push(tokio::spawn(keep(platform, known)));
    }
    (secret, keeping)
}

/// Guards against two secrets: a copy from before the first one was written let the next start make another.
#[rstest]
#[case::nobody_starts(None, 1)]
#[case::one_starts_at_once(Some(Duration::ZERO), 4)]
#[case::one_starts_a_little_later(Some(Duration::from_millis(300)), 4)]
#[tokio::test(start_paused = true)]
async fn lost_secret_is_written_again(
    #[case] starts_after: Option<Duration>,
    #[case] least: usize,
) {
    let store = RestoredStore::default();
    let (secret, _keeping) = start_fleet(&store, INSTANCES).await;
    let before = store.write_count("deployment");
    store.restore(Store::default());
    if let Some(wait) = starts_after {
        sleep(wait).await;
        let known = load(&store.platform(INSTANCES), INSTANCES).await;
        assert_eq!(known.parameters.secret, secret);
    }
    sleep(AGREE_TIME).await;
    let known = load(&store.platform(INSTANCES + 1), INSTANCES + 1).await;
    assert_eq!(known.parameters.secret, secret);
    let writes = store.write_count("deployment") - before;
    assert!(writes >= 1 && writes <= 20 * least, "{writes}");
}

/// Guards against two secrets for the deployment's life: the only instance with the first one was cut off while another one was made.
#[tokio::test(start_paused = true)]
async fn secret_made_while_others_were_cut_off_is_replaced() {
    let store = RestoredStore::default();
    let (secret, _keeping) = start_fleet(&store, 1).await;
    store.restore(Store::default());
    store.cut_off(Some(0));
    let platform = store.platform(1);
    let known = load(&platform, 1).await;
    assert_ne!(known.parameters.secret, secret);
    let keeping = tokio::spawn(keep(platform, known));
    store.cut_off(None);
    sleep(AGREE_TIME).await;
    let known = load(&store.platform(2), 2).await;
    assert_eq!(known.parameters.secret, secret);
    let ended = timeout(Duration::from_secs(10), keeping).await;
    assert!(ended.is_ok(), "an instance goes on with the other secret");
}

/// Guards against two secrets: several instances that start after the return each used the one that it had made.
#[tokio::test(start_paused = true)]
async fn instances_that_start_after_a_return_agree() {
    let store = RestoredStore::default();
    store.restore(Store::default());
    let starts = (0..INSTANCES).map(|instance| {
        let store = store.clone();
        tokio::spawn(async move { load(&store.platform(instance), instance).await })
    });
    let starts: Vec<_> = starts.collect();
    let mut known = Vec::new();
    for start in starts {
        known.push(start.await.unwrap());
    }
    let parameters = &known[0].parameters;
    assert!(known.iter().all(|other| other.parameters == *parameters));
    assert_eq!(parameters.slots as usize, INSTANCES);
}

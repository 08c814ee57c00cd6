//! Claims of actions whose keys name no home, just after a deployment's first start.

use std::time::Duration;

use base::ErrorKind;
use daemon::{
    facts::{keeping::keep, load_or_create},
    fleet::Fleet,
    ledger::MIN_DOUBT,
};
use dispatch::ClaimOutcome;
use platform::Store;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    claims::key,
    ledger::Claims,
    paused::run_paused,
    store::{RestoredStore, listed},
};

const SECOND: Duration = Duration::from_secs(1);
/// Number of schedules drawn in each block, and of steps of each.
const SEEDS_PER_BLOCK: u64 = 50;
const STEPS: u64 = 80;
const INSTANCES: usize = 3;

/// An instance that has agreed on the deployment's parameters and keeps them.
struct Running {
    instance: usize,
    claims: Claims,
    keeping: JoinHandle<()>,
}

impl Running {
    async fn start(store: RestoredStore, instance: usize) -> Self {
        let platform = store.polled_platform(instance);
        let known = load_or_create(&platform, &listed(instance)).await.unwrap();
        let claims = Claims::start(&listed(instance).id, platform.clone(), Fleet::default());
        // A first read takes less time than the rest of a start.
        sleep(SECOND / 10).await;
        Self {
            instance,
            claims,
            keeping: tokio::spawn(keep(platform, known)),
        }
    }
}

/// What happens as two instances start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Meanwhile {
    Nothing,
    /// The platform is restored from the newest copy, or an empty one.
    Returns,
    ReturnsEmpty,
    /// The platform is restored between a write and its answer.
    ReturnsAfterWrite,
    /// An instance runs that has earlier parameters, which were lost.
    EarlierRuns,
}

/// Guards against refused actions after a deployment's first start on a platform that names its first era, and against
/// claims that may have been made and lost.
#[rstest]
#[case::first_era(1, Meanwhile::Nothing, Ok(ClaimOutcome::Granted))]
#[case::later_era(2, Meanwhile::Nothing, Err(ErrorKind::ClaimUnavailable))]
#[case::return_in_between(1, Meanwhile::Returns, Err(ErrorKind::ClaimUnavailable))]
#[case::return_to_nothing(1, Meanwhile::ReturnsEmpty, Err(ErrorKind::ClaimUnavailable))]
#[case::return_at_a_write(1, Meanwhile::ReturnsAfterWrite, Err(ErrorKind::ClaimUnavailable))]
#[case::others_began_earlier(1, Meanwhile::EarlierRuns, Err(ErrorKind::ClaimUnavailable))]
#[tokio::test(start_paused = true)]
async fn first_actions_are_claimed_in_the_first_era(
    #[case] era: u32,
    #[case] meanwhile: Meanwhile,
    #[case] expected: Result<ClaimOutcome, ErrorKind>,
) {
    let store = RestoredStore::default();
    let mut running = Vec::new();
    if meanwhile == Meanwhile::EarlierRuns {
        running.push(Running::start(store.clone(), INSTANCES).await);
    }
    for _ in 0..era {
        store.restore(Store::default());
    }
    let starts = [0, 1].map(|instance| tokio::spawn(Running::start(store.clone(), instance)));
    // The parameters have been made, and are provisional.
    sleep(2 * SECOND).await;
    match meanwhile {
        Meanwhile::Nothing | Meanwhile::EarlierRuns => {}
        Meanwhile::Returns => store.restore(store.copy()),
        Meanwhile::ReturnsEmpty => store.restore(Store::default()),
        Meanwhile::ReturnsAfterWrite => store.restore_after_write(store.copy()),
    }
    for (start, name) in starts.into_iter().zip(["a", "b"]) {
        running.push(start.await.unwrap());
        let started = &running[running.len() - 1];
        let claimed = started.claims.claim(&key(name), 1).await;
        assert_eq!(claimed, expected, "{name}");
    }
}

/// Guards against actions that run twice, over drawn starts, ends and cuts of all instances and returns of the platform
/// from copies that may be older than the deployment. What nobody remembers is refused for a while.
#[rstest]
fn first_action_runs_once_in_drawn_schedules(#[values(1, 2, 3, 4)] block: u64) {
    let mut granted = 0;
    for seed in block * 1_000..block * 1_000 + SEEDS_PER_BLOCK {
        granted += run_paused(play(seed));
    }
    assert!(granted > SEEDS_PER_BLOCK / 4, "{granted}");
}

/// Plays a schedule, and returns whether an action was claimed in the first era.
async fn play(seed: u64) -> u64 {
    let mut rng = Pcg32::seed_from_u64(seed);
    let store = RestoredStore::default();
    store.restore(Store::default());
    let mut copies = vec![Store::default()];
    let mut returned_at: Option<Instant> = None;
    let mut running: Vec<Running> = Vec::new();
    let mut starting: Vec<(usize, JoinHandle<Running>)> = Vec::new();
    let (mut started, mut granted_by, mut first_era) = (0, None, 0);
    for request in 0..STEPS {
        sleep(Duration::from_millis(rng.random_range(0..1_000))).await;
        let ready = starting.extract_if(.., |(_, start)| start.is_finished());
        for (_, start) in ready.collect::<Vec<_>>() {
            running.push(start.await.unwrap());
        }
        match rng.random_range(0..100) {
            0..8 => copies.push(store.copy()),
            8..16 => {
                let copy = copies.swap_remove(rng.random_range(0..copies.len()));
                copies = vec![copy.clone()];
                match rng.random() {
                    true => store.restore(copy),
                    false => store.restore_after_write(copy),
                }
                returned_at = Some(Instant::now());
            }
            16..24 => {
                for ended in running.drain(..) {
                    store.end(ended.instance);
                    ended.keeping.abort();
                }
                for (instance, start) in starting.drain(..) {
                    store.end(instance);
                    start.abort();
                }
            }
            24..30 => store.cut_off(Some(rng.random_range(0..=started)).filter(|_| rng.random())),
            _ if running.len() + starting.len() < INSTANCES => {
                let start = tokio::spawn(Running::start(store.clone(), started));
                starting.push((started, start));
                started += 1;
            }
            _ if running.is_empty() => {}
            _ => {
                let by = &running[rng.random_range(0..running.len())];
                if by.claims.claim(&key("k"), request).await == Ok(ClaimOutcome::Granted) {
                    let is_refused = returned_at.is_none_or(|at| at.elapsed() < MIN_DOUBT);
                    assert!(
                        granted_by.is_none() || !is_refused,
                        "seed {seed}: {granted_by:?}, again {request}"
                    );
                    first_era += u64::from(returned_at.is_none());
                    granted_by = Some(request);
                }
            }
        }
    }
    first_era
}

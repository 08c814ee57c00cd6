//! Claims of actions whose keys name no home, and those of a home.

use std::time::Duration;

use base::{ErrorKind, Time};
use coord::{Member, Presence};
use daemon::{
    fleet::{Fleet, FleetMember},
    ledger::{MAX_DOUBT, MIN_DOUBT},
};
use dispatch::{ActionKey, ClaimOutcome, SavedAnswer};
use platform::Store;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::{
    ledger::Claims,
    store::{RestoredStore, listed},
};

const SECOND: Duration = Duration::from_secs(1);
/// Number of schedules drawn in each block, and of steps of each.
const SEEDS_PER_BLOCK: u64 = 12;
const STEPS: u64 = 300;
/// Number of steps that concern the same action.
const STEPS_PER_ACTION: u64 = 60;
/// Maximum age of a copy from which the platform is restored.
const MAX_COPY_AGE: Duration = Duration::from_secs(10);
/// Claims that each instance remembers.
const CLAIMS: usize = 2;
/// Claims that all instances together may write again in a second; one part of the users' store handles 200 writes.
const MAX_WRITES_PER_S: usize = 150;
/// Time over which the ends of the uncertainty are spread, and within which they are noticed.
const END_TIME: Duration = Duration::from_secs(8);

fn start(store: &RestoredStore, instance: usize) -> Claims {
    start_among(store, instance, 1)
}

/// Starts an instance that learns of all others of `count`.
fn start_among(store: &RestoredStore, instance: usize, count: usize) -> Claims {
    let members = (0..count).filter(|other| *other != instance).map(|other| {
        let member = Member {
            domain: "d".into(),
            presence: Presence::Listed,
            is_leaving: false,
            last_heartbeat_at: None,
            heartbeat: None,
        };
        let member = FleetMember {
            alive_until: Time::from_secs(3_600),
            ..FleetMember::new(&member, None)
        };
        (listed(other).id.as_str().into(), member)
    });
    let fleet = Fleet {
        members: members.collect(),
        ..Fleet::default()
    };
    let platform = store.polled_platform(instance);
    Claims::start(&listed(instance).id, platform, fleet)
}

pub(crate) fn key(key: &str) -> ActionKey {
    ActionKey {
        workspace: "w".into(),
        key: key.to_owned(),
    }
}

fn answer() -> SavedAnswer {
    SavedAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'],
    }
}

/// What a copy holds of an action that has run.
#[derive(Debug, Clone, Copy)]
enum Copied {
    Nothing,
    OpenClaim,
    /// An earlier request's claim, which has been released since.
    EarlierClaim,
    EarlierRelease,
}

/// Guards against actions that run twice, and against answers that are lost: the copy lacked the claim or its outcome.
#[rstest]
#[case::claim_lost(Copied::Nothing)]
#[case::outcome_lost(Copied::OpenClaim)]
#[case::release_and_claim_lost(Copied::EarlierClaim)]
#[case::claim_after_release_lost(Copied::EarlierRelease)]
#[tokio::test(start_paused = true)]
async fn action_of_a_lost_row_runs_once(#[case] copied: Copied) {
    let store = RestoredStore::default();
    let (first, second) = (start(&store, 0), start(&store, 1));
    let key = key("k");
    let nothing = store.copy();
    assert_eq!(second.claim(&key, 1).await, Ok(ClaimOutcome::Granted));
    let earlier_claim = store.copy();
    second.settle(&key, 1, None).await;
    let earlier_release = store.copy();
    assert_eq!(first.claim(&key, 1).await, Ok(ClaimOutcome::Granted));
    let open_claim = store.copy();
    first.settle(&key, 1, Some(answer())).await;
    store.restore(match copied {
        Copied::Nothing => nothing,
        Copied::OpenClaim => open_claim,
        Copied::EarlierClaim => earlier_claim,
        Copied::EarlierRelease => earlier_release,
    });
    let started = Instant::now();
    while started.elapsed() < MAX_DOUBT {
        let repeated = second.claim(&key, 2).await;
        let done = Ok(ClaimOutcome::Done(answer()));
        let is_refused = repeated == Err(ErrorKind::ClaimUnavailable);
        let is_refused = is_refused && started.elapsed() < 2 * SECOND;
        assert!(
            repeated == done || is_refused,
            "{repeated:?} after {:?}",
            started.elapsed()
        );
        sleep(SECOND / 5).await;
    }
}

/// Guards against writes that the store refuses, slots' and entries' among them: each instance wrote its first claim again as soon as
/// it knew of the return.
#[rstest]
#[case::users_largest_site(81)]
#[case::a_few_hundred(300)]
#[tokio::test(start_paused = true)]
async fn claims_are_written_again_within_rates(#[case] instances: usize) {
    let store = RestoredStore::default();
    let claims: Vec<Claims> = (0..instances)
        .map(|instance| start_among(&store, instance, instances))
        .collect();
    for number in 0..CLAIMS {
        for (instance, claims) in claims.iter().enumerate() {
            let key = key(&format!("k{instance}-{number}"));
            assert_eq!(claims.claim(&key, 1).await, Ok(ClaimOutcome::Granted));
        }
    }
    store.restore(Store::default());
    let mut counts = vec![store.write_count("claim")];
    let tenths = 10 * (MIN_DOUBT / 2).as_secs();
    for _ in 0..tenths {
        sleep(SECOND / 10).await;
        counts.push(store.write_count("claim"));
    }
    assert_eq!(counts[counts.len() - 1] - counts[0], CLAIMS * instances);
    let seconds = counts.iter().zip(&counts[10..]);
    let peak = seconds.map(|(before, after)| after - before).max();
    assert!(peak <= Some(MAX_WRITES_PER_S), "{peak:?}");
}

/// Guards against a repeat that runs since its claim, lost with many others of one instance, was written again no faster than
/// if all instances had as many.
#[rstest]
#[case::a_few_hundred(300, 12)]
#[case::users_largest_site(81, 60)]
#[case::few(20, 200)]
#[case::many(20, 500)]
#[tokio::test(start_paused = true)]
async fn claims_of_one_instance_are_written_again_in_time(
    #[case] instances: usize,
    #[case] claims: usize,
) {
    let store = RestoredStore::default();
    let [first, second] = [0, 1].map(|instance| start_among(&store, instance, instances));
    for number in 0..claims {
        let granted = first.claim(&key(&format!("k{number}")), 1).await;
        assert_eq!(granted, Ok(ClaimOutcome::Granted));
    }
    store.restore(Store::default());
    let mut found = Err(ErrorKind::ClaimUnavailable);
    for _ in 0..2 * MIN_DOUBT.as_secs() {
        sleep(SECOND).await;
        found = second.claim(&key("k0"), 2).await;
        assert_ne!(found, Ok(ClaimOutcome::Granted));
    }
    assert_eq!(found, Ok(ClaimOutcome::InProgress));
}

/// Guards against a repeat that runs while the only instance that knows of the action is cut off from the store, and
/// against refusals without end.
#[tokio::test(start_paused = true)]
async fn unknown_action_is_refused_for_a_bounded_time() {
    let store = RestoredStore::default();
    let (first, second) = (start(&store, 0), start(&store, 1));
    sleep(SECOND).await;
    let copy = store.copy();
    assert_eq!(first.claim(&key("k"), 1).await, Ok(ClaimOutcome::Granted));
    store.cut_off(Some(0));
    store.restore(copy);
    sleep(MIN_DOUBT - SECOND).await;
    for action in ["k", "new"] {
        let claimed = second.claim(&key(action), 1).await;
        assert_eq!(claimed, Err(ErrorKind::ClaimUnavailable), "{action}");
    }
    store.cut_off(None);
    sleep(SECOND + END_TIME).await;
    assert_eq!(
        second.claim(&key("k"), 2).await,
        Ok(ClaimOutcome::InProgress)
    );
    assert_eq!(
        second.claim(&key("new"), 2).await,
        Ok(ClaimOutcome::Granted)
    );
}

/// Guards against an instance that starts in the middle and believes what it finds, and one that refuses at each start.
#[rstest]
#[case::at_once(Duration::ZERO, Err(ErrorKind::ClaimUnavailable))]
#[case::once_another_is_certain(MIN_DOUBT + END_TIME, Ok(ClaimOutcome::Granted))]
#[tokio::test(start_paused = true)]
async fn instance_that_starts_claims_what_is_certain(
    #[case] starts_after: Duration,
    #[case] expected: Result<ClaimOutcome, ErrorKind>,
) {
    let store = RestoredStore::default();
    let _first = start(&store, 0);
    sleep(SECOND).await;
    store.restore(Store::default());
    sleep(starts_after).await;
    let second = start(&store, 1);
    sleep(SECOND).await;
    assert_eq!(second.claim(&key("k"), 1).await, expected);
}

/// Guards against a claim that was granted though the platform was restored from a copy without it before the answer.
#[tokio::test(start_paused = true)]
async fn claim_is_refused_if_the_platform_returns_before_its_answer() {
    let store = RestoredStore::default();
    let first = start(&store, 0);
    sleep(SECOND).await;
    store.restore_after_write(store.copy());
    let claimed = first.claim(&key("k"), 1).await;
    assert_eq!(claimed, Err(ErrorKind::ClaimUnavailable));
    sleep(MIN_DOUBT + END_TIME).await;
    assert_eq!(first.claim(&key("k"), 2).await, Ok(ClaimOutcome::Granted));
}

/// Guards against an outcome that was lost with its claim: it was recorded while the row was missing.
#[tokio::test(start_paused = true)]
async fn outcome_of_a_lost_claim_is_recorded() {
    let store = RestoredStore::default();
    let (first, second) = (start(&store, 0), start(&store, 1));
    assert_eq!(first.claim(&key("k"), 1).await, Ok(ClaimOutcome::Granted));
    store.restore(Store::default());
    first.settle(&key("k"), 1, Some(answer())).await;
    sleep(2 * SECOND).await;
    let repeated = second.claim(&key("k"), 2).await;
    assert_eq!(repeated, Ok(ClaimOutcome::Done(answer())));
}

/// Guards against refusals and lost answers of actions whose home remembers them: they have no row.
#[tokio::test(start_paused = true)]
async fn actions_of_a_home_go_on() {
    let store = RestoredStore::default();
    let home = start(&store, 0);
    let (before, after) = (key("front-0.1.before"), key("front-0.1.after"));
    assert_eq!(home.claim(&before, 1).await, Ok(ClaimOutcome::Granted));
    home.settle(&before, 1, Some(answer())).await;
    store.restore(Store::default());
    sleep(SECOND).await;
    let repeated = home.claim(&before, 2).await;
    assert_eq!(repeated, Ok(ClaimOutcome::Done(answer())));
    assert_eq!(home.claim(&after, 3).await, Ok(ClaimOutcome::Granted));
    assert_eq!(store.write_count("claim"), 0);
}

/// Guards against an action that counts as running permanently: the copy lacked its release.
#[tokio::test(start_paused = true)]
async fn released_action_of_an_open_row_is_claimed_again() {
    let store = RestoredStore::default();
    let (first, second) = (start(&store, 0), start(&store, 1));
    assert_eq!(first.claim(&key("k"), 1).await, Ok(ClaimOutcome::Granted));
    let open = store.copy();
    first.settle(&key("k"), 1, None).await;
    store.restore(open);
    sleep(MIN_DOUBT + END_TIME).await;
    assert_eq!(second.claim(&key("k"), 2).await, Ok(ClaimOutcome::Granted));
}

/// Guards against actions that run twice, over drawn claims, outcomes, copies, returns and cut instances.
#[rstest]
#[tokio::test(start_paused = true)]
async fn action_runs_once_in_drawn_schedules(#[values(1, 2, 3, 4)] block: u64) {
    for seed in block * 1_000..block * 1_000 + SEEDS_PER_BLOCK {
        play(seed).await;
    }
}

async fn play(seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let store = RestoredStore::default();
    let claims: Vec<_> = (0..3).map(|instance| start(&store, instance)).collect();
    let mut copies = vec![(Instant::now(), store.copy())];
    let (mut running, mut is_done) = (None, false);
    for request in 0..STEPS {
        let action = key(&(request / STEPS_PER_ACTION).to_string());
        if request % STEPS_PER_ACTION == 0 {
            (running, is_done) = (None, false);
        }
        sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
        copies.retain(|(at, _)| at.elapsed() < MAX_COPY_AGE);
        let instance = rng.random_range(0..claims.len());
        match rng.random_range(0..100) {
            0..20 => copies.push((Instant::now(), store.copy())),
            20..23 if !copies.is_empty() => {
                let (_, copy) = copies.swap_remove(rng.random_range(0..copies.len()));
                match rng.random() {
                    true => store.restore(copy),
                    false => store.restore_after_write(copy),
                }
                copies.clear();
            }
            23..30 => store.cut_off(Some(instance).filter(|_| rng.random())),
            30..50 => {
                if let Some((runner, request)) = running.take() {
                    is_done = rng.random_range(0..4) == 0;
                    let claims: &Claims = &claims[runner];
                    claims
                        .settle(&key("k"), request, is_done.then(answer))
                        .await;
                }
            }
            _ => {
                let other = rng.random_range(0..claims.len());
                let next = request + STEPS;
                let first = claims[instance].claim(&action, request);
                let (first, second) = tokio::join!(first, claims[other].claim(&action, next));
                for (claimed, by) in [(first, (instance, request)), (second, (other, next))] {
                    if claimed == Ok(ClaimOutcome::Granted) {
                        assert!(!is_done, "seed {seed}: runs again at {by:?}");
                        assert_eq!(running, None, "seed {seed}: runs as well at {by:?}");
                        running = Some(by);
                    }
                }
            }
        }
    }
}

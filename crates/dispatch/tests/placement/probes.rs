//! Targets that are all down are found again through other instances.

use std::{collections::BTreeSet, time::Duration};

use base::{ErrorKind, TargetId, Time};
use dispatch::{Dial, Dispatcher, Outcome, PathState, Placement, Policy, TargetState};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, refusals, request};

const TICK: Duration = Duration::from_millis(50);
/// Time after which a target that was found counts no more as a sign that others may be.
const LATER: Duration = Duration::from_secs(3);
/// Time between two shared probes, and one tick.
const MAX_GAP: Duration = Duration::from_millis(550);

fn without_targets() -> (Dispatcher, Time) {
    let config = config(4);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(10);
    lose_targets(&mut dispatcher, now, 0);
    assert_eq!(down(&dispatcher, now), 4);
    (dispatcher, now)
}

/// Sends requests, numbered from `first`, none of which finds its target.
fn lose_targets(dispatcher: &mut Dispatcher, now: Time, first: u64) {
    for id in first..first + 20 {
        let mut actions = dispatcher.submit(now, request(now, id, id));
        while let Some(sent) = assignments(&actions).first().copied().cloned() {
            actions = dispatcher
                .finish(now, sent.id, sent.attempt, Outcome::Unreachable)
                .1;
        }
    }
}

/// Lets the health endpoint of a target be silent.
fn lose_target(dispatcher: &mut Dispatcher, now: Time, id: &str) {
    dispatcher.report_health(now, &"s".into(), &id.into(), None);
}

/// Opens the connections that are due for some time, as `dial` says for each target, and returns its
/// end.
fn play<F>(dispatcher: &mut Dispatcher, start: Time, duration: Duration, dial: F) -> Time
where
    F: Fn(&TargetId) -> Dial,
{
    let mut now = start;
    while now - start < duration {
        now = now + TICK;
        dispatcher.tick(now);
        for target in dispatcher.due_probes(now) {
            let direct = Dial {
                relayed: None,
                ..dial(&target)
            };
            dispatcher.record_probe(now, &target, direct);
        }
        if let Some(target) = dispatcher.due_shared_probe(now) {
            dispatcher.record_probe(now, &target, dial(&target));
        }
    }
    now
}

fn down(dispatcher: &Dispatcher, now: Time) -> usize {
    let targets = dispatcher.targets(now);
    targets
        .iter()
        .filter(|target| target.1 == TargetState::Down)
        .count()
}

/// Guards against RECOVER: after some seconds without any target, others were asked only each four
/// seconds whether they reach one.
#[test]
fn targets_that_are_all_down_are_probed_by_others_twice_a_second() {
    let (mut dispatcher, start) = without_targets();
    let mut probed_at = vec![start];
    let mut probed = BTreeSet::new();
    for step in 1..600 {
        let now = start + TICK * step;
        dispatcher.tick(now);
        dispatcher.due_probes(now);
        if let Some(target) = dispatcher.due_shared_probe(now) {
            let dial = Dial::direct(false).relayed(false);
            assert!(!dispatcher.record_probe(now, &target, dial));
            probed_at.push(now);
            probed.insert(target);
        }
    }
    let gaps = probed_at.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.clone().all(|gap| gap <= MAX_GAP));
    assert!(gaps.skip(1).all(|gap| gap >= MAX_GAP - TICK));
    assert!(probed_at.len() >= 55);
    assert_eq!(probed.len(), 4);
}

/// Guards against an instance that went on with the first target that others had reached for it, as
/// the rest of the service was probed directly alone.
#[test]
fn target_that_others_reach_brings_back_all() {
    let (mut dispatcher, start) = without_targets();
    let only_relayed = |_: &TargetId| Dial::direct(false).relayed(true);
    let now = play(&mut dispatcher, start, Duration::from_secs(1), only_relayed);
    assert_eq!(dispatcher.path_state(), PathState::Relayed);
    assert_eq!(down(&dispatcher, now), 0);
}

/// Guards against RECOVER: targets found down while the path was lost, because of the instances that
/// helped, stayed so until it was back, but for one.
#[test]
fn targets_lost_with_a_helper_come_back_while_the_path_is_lost() {
    let (mut dispatcher, start) = without_targets();
    let only_relayed = |_: &TargetId| Dial::direct(false).relayed(true);
    let now = play(&mut dispatcher, start, Duration::from_secs(1), only_relayed);
    lose_targets(&mut dispatcher, now, 1_000);
    assert_eq!(down(&dispatcher, now), 4);
    let now = play(&mut dispatcher, now, Duration::from_secs(2), only_relayed);
    assert_eq!(down(&dispatcher, now), 0);
    assert_eq!(dispatcher.path_state(), PathState::Relayed);
}

/// The same for some targets while others are sound.
#[test]
fn some_targets_lost_with_a_helper_come_back_while_the_path_is_lost() {
    let (mut dispatcher, start) = without_targets();
    let only_relayed = |_: &TargetId| Dial::direct(false).relayed(true);
    let now = play(&mut dispatcher, start, Duration::from_secs(8), only_relayed);
    lose_targets(&mut dispatcher, now, 1_000);
    for id in ["t0", "t1"] {
        dispatcher.record_probe(now, &id.into(), Dial::direct(false).relayed(true));
    }
    assert_eq!(down(&dispatcher, now), 2);
    let now = play(
        &mut dispatcher,
        now + LATER,
        Duration::from_secs(2),
        only_relayed,
    );
    assert_eq!(down(&dispatcher, now), 0);
}

/// Guards against RECOVER on platforms whose health is asked: targets that were used through others were taken
/// for down, as they can't be asked directly.
#[test]
fn health_that_cannot_be_asked_says_nothing_while_the_path_is_lost() {
    let (mut dispatcher, start) = without_targets();
    let only_relayed = |_: &TargetId| Dial::direct(false).relayed(true);
    let now = play(&mut dispatcher, start, Duration::from_secs(1), only_relayed);
    for id in ["t0", "t1", "t2", "t3"] {
        dispatcher.report_health(now, &"s".into(), &id.into(), None);
    }
    assert_eq!(down(&dispatcher, now), 0);
}

/// Guards against targets that were used again only up to four seconds after a cut had ended, as each
/// waited for its next probe.
#[test]
fn targets_come_back_soon_after_a_long_cut() {
    let (mut dispatcher, start) = without_targets();
    let nobody = |_: &TargetId| Dial::direct(false).relayed(false);
    let now = play(&mut dispatcher, start, Duration::from_secs(12), nobody);
    assert_eq!(down(&dispatcher, now), 4);
    let now = play(&mut dispatcher, now, Duration::from_secs(1), |_| {
        Dial::direct(true)
    });
    assert_eq!(down(&dispatcher, now), 0);
}

/// Guards against RECOVER for requests with homes: as long as another region had targets, others were
/// asked for none of the region that was lost.
#[test]
fn targets_of_a_lost_region_are_probed_by_others() {
    let (mut dispatcher, start) = without_targets();
    let is_local = |target: &TargetId| target.as_str() == "t0" || target.as_str() == "t2";
    let local_alone = |target: &TargetId| Dial::direct(is_local(target)).relayed(false);
    let now = play(&mut dispatcher, start, Duration::from_secs(5), local_alone);
    assert_eq!(down(&dispatcher, now), 2);
    let mut probed = 0;
    for step in 1..200 {
        let probe = dispatcher.due_shared_probe(now + TICK * step);
        probed += usize::from(probe.is_some_and(|target| !is_local(&target)));
    }
    assert!(probed >= 18, "{probed}");
}

/// Guards against a path that stayed lost as long as a service had lost its targets: the probes of
/// these spoke against the path.
#[test]
fn path_is_restored_beside_targets_that_nobody_reaches() {
    let (mut dispatcher, start) = without_targets();
    let is_gone = |target: &TargetId| target.as_str() == "t1" || target.as_str() == "t3";
    let relayed = |target: &TargetId| Dial::direct(false).relayed(!is_gone(target));
    let now = play(&mut dispatcher, start, Duration::from_secs(3), relayed);
    assert_eq!(dispatcher.path_state(), PathState::Relayed);
    lose_targets(&mut dispatcher, now, 1_000);
    let now = play(&mut dispatcher, now, Duration::from_secs(2), relayed);
    assert_eq!(down(&dispatcher, now), 2);
    let direct = |target: &TargetId| Dial::direct(!is_gone(target)).relayed(false);
    let now = play(&mut dispatcher, now, Duration::from_secs(2), direct);
    assert_eq!(dispatcher.path_state(), PathState::Direct);
    assert_eq!(down(&dispatcher, now), 2);
}

/// Guards against targets that accept connections and answer nothing: they were taken for sound twice a
/// second.
#[test]
fn targets_that_only_accept_are_found_less_and_less_often() {
    let (mut dispatcher, start) = without_targets();
    let mut found = 0;
    for step in 1..600 {
        let now = start + TICK * step;
        dispatcher.tick(now);
        dispatcher.due_probes(now);
        if let Some(target) = dispatcher.due_shared_probe(now) {
            dispatcher.record_probe(now, &target, Dial::direct(true));
            found += 1;
            lose_target(&mut dispatcher, now, target.as_str());
        }
    }
    // Four targets, each found at most at 0, 1, 3 and 7 s and then each 4 s.
    assert!((4..=40).contains(&found), "{found}");
}

/// While a service has targets, those of it that are down are probed directly alone.
#[test]
fn target_beside_others_is_not_probed_by_others() {
    let (mut dispatcher, start) = without_targets();
    let is_up = |target: &TargetId| target.as_str() != "t3";
    let one_gone = |target: &TargetId| Dial::direct(is_up(target)).relayed(false);
    let now = play(&mut dispatcher, start, Duration::from_secs(8), one_gone);
    assert_eq!(down(&dispatcher, now), 1);
    for step in 1..100 {
        assert_eq!(dispatcher.due_shared_probe(now + TICK * step), None);
    }
}

/// Guards against a cut that is found late: checks that others' requests give rise to put off those by
/// this instance's own.
#[test]
fn asked_checks_put_off_no_own_check() {
    let (mut dispatcher, start) = without_targets();
    play(&mut dispatcher, start, Duration::from_secs(1), |_| {
        Dial::direct(true)
    });
    let now = start + Duration::from_secs(2);
    dispatcher.submit(now, request(now, 2_000, 1));
    let checked = (1..40).any(|step| {
        let now = now + TICK * step;
        dispatcher.due_asked_check(now, &"t1".into());
        !dispatcher.due_path_checks(now).is_empty()
    });
    assert!(checked);
}

/// Guards against checks that each give rise to more at other instances: a target that nobody reaches
/// was tried through others, which then tried it through others.
#[test]
fn asked_check_tries_another_target() {
    let (mut dispatcher, start) = without_targets();
    let now = play(&mut dispatcher, start, Duration::from_secs(1), |_| {
        Dial::direct(true)
    });
    for step in 1..100 {
        let now = now + Duration::from_millis(100) * step;
        let tried = dispatcher.due_asked_check(now, &"t1".into()).unwrap();
        assert_ne!(tried, "t1".into());
    }
}

/// Guards against callers that wait in vain: what was queued when a service lost its last target waited
/// until its deadline, while new requests were refused at once.
#[rstest]
#[case::down(false)]
#[case::taken_away(true)]
fn queued_requests_are_refused_when_no_target_is_left(#[case] is_taken_away: bool) {
    let mut config = config(2);
    let policy = Policy {
        placement: Placement::TwoChoices,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new("r0".into(), 1, policy).unwrap();
    dispatcher.configure(Time::ZERO, &config);
    let now = Time::from_secs(1);
    let mut sent = Vec::new();
    for id in 0..20 {
        let actions = dispatcher.submit(now, request(now, id, id));
        sent.extend(assignments(&actions).into_iter().cloned());
    }
    let queued = dispatcher.queue_len();
    assert!(queued > 0, "{}", sent.len());
    let mut actions = if is_taken_away {
        config.services.get_mut("s").unwrap().targets.clear();
        dispatcher.configure(now, &config)
    } else {
        let mut actions = Vec::new();
        while let Some(one) = sent.pop() {
            let ended = dispatcher.finish(now, one.id, one.attempt, Outcome::Unreachable);
            sent.extend(assignments(&ended.1).into_iter().cloned());
            actions.extend(ended.1);
        }
        actions
    };
    actions.extend(dispatcher.tick(now + TICK));
    assert_eq!(dispatcher.queue_len(), 0);
    let refused = refusals(&actions);
    let without_target = refused.iter().filter(|kind| **kind == ErrorKind::NoTarget);
    assert!(without_target.count() >= queued, "{queued} {refused:?}");
}

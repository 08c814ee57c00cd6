//! Targets that are all down are found again through other instances.

use std::{collections::BTreeSet, time::Duration};

use base::{ErrorKind, TargetId, Time};
use dispatch::{Dial, Dispatcher, Outcome, PathState, Placement, Policy, TargetState};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, refusals, request};

const TICK: Duration = Duration::from_millis(50);
/// Time between two shared probes, and one tick.
const MAX_GAP: Duration = Duration::from_millis(550);

fn without_targets() -> (Dispatcher, Time) {
    let config = config(4);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(10);
    for id in 0..20 {
        let mut actions = dispatcher.submit(now, request(now, id, id));
        while let Some(sent) = assignments(&actions).first().copied().cloned() {
            actions = dispatcher
                .finish(now, sent.id, sent.attempt, Outcome::Unreachable)
                .1;
        }
    }
    assert_eq!(down(&dispatcher, now), 4);
    (dispatcher, now)
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
    let mut now = start;
    let mut reached: Vec<TargetId> = Vec::new();
    while dispatcher.path_state() == PathState::Direct && now - start < Duration::from_secs(2) {
        now = now + TICK;
        dispatcher.tick(now);
        if let Some(target) = dispatcher.due_shared_probe(now) {
            dispatcher.record_probe(now, &target, Dial::direct(false).relayed(true));
            reached.push(target);
        }
    }
    assert_eq!(dispatcher.path_state(), PathState::Relayed);
    assert_eq!((reached.len(), down(&dispatcher, now)), (2, 0));
}

/// While a service has targets, those of it that are down are probed directly alone.
#[test]
fn target_beside_others_is_not_probed_by_others() {
    let (mut dispatcher, start) = without_targets();
    dispatcher.record_probe(start, &"t0".into(), Dial::direct(true));
    for step in 1..100 {
        let now = start + TICK * step;
        assert_eq!(dispatcher.due_shared_probe(now), None);
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

//! Placement by object affinity: all instances select the same target for an object, cold targets
//! get limited rates, and few requests leave their preferred target or region.

mod cold;
mod configured;
mod homes;
mod losses;
mod moves;
mod probes;
mod support;
mod times;
mod trials;

use std::{collections::BTreeMap, time::Duration};

use base::{ErrorKind, Time};
use dispatch::{
    Action, AdmittedRequest, Dial, Dispatcher, Outcome, RegionShares, SelectionReason, TargetState,
};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, refusals, request, run};

#[test]
fn place_same_object_same_target_on_all_instances() {
    let config = config(12);
    let mut one = dispatcher(&config, 1);
    let mut two = dispatcher(&config, 2);
    let now = Time::from_secs(1);
    for object in 0..50 {
        let first = run(&mut one, now, object, object * 7_919);
        assert!(first.is_some());
        assert_eq!(first, run(&mut two, now, object, object * 7_919));
    }
}

#[test]
fn place_lost_target_moves_only_its_objects() {
    let mut config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let targets = |dispatcher: &mut Dispatcher, from: u64| -> BTreeMap<u64, Option<String>> {
        (0..200)
            .map(|object| {
                (
                    object,
                    run(dispatcher, now, from + object, object * 104_729),
                )
            })
            .collect()
    };
    let before = targets(&mut dispatcher, 0);
    let service = config.services.get_mut("s").unwrap();
    service.targets.remove("t0");
    dispatcher.configure(now, &config);
    let after = targets(&mut dispatcher, 1_000);
    for (object, target) in before {
        let has_moved = after[&object] != target;
        assert_eq!(has_moved, target.as_deref() == Some("t0"), "{object}");
    }
}

#[test]
fn place_plan_sends_its_share_of_objects_to_other_region() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let shares = BTreeMap::from([("r0".into(), 0.7), ("r1".into(), 0.3)]);
    dispatcher.set_region_shares(&"s".into(), RegionShares { shares });
    let now = Time::from_secs(1);
    let elsewhere = (0..1_000_u64)
        .filter(|object| {
            let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let target = run(&mut dispatcher, now, object, object).unwrap();
            target[1..].parse::<u32>().unwrap() % 2 == 1
        })
        .count();
    assert!((240..360).contains(&elsewhere), "{elsewhere}");
}

#[test]
fn place_none_leaves_a_full_region() {
    let config = config(4);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let mut elsewhere = 0;
    let mut sent = 0;
    for id in 0..100 {
        let actions = dispatcher.submit(now, request(now, id, id * 31));
        for assignment in assignments(&actions) {
            sent += 1;
            let target = assignment.target.as_str();
            elsewhere += u32::from(target == "t1" || target == "t3");
        }
    }
    assert!(sent >= 8, "{sent}");
    assert_eq!(elsewhere, 0, "of {sent}");
}

#[test]
fn place_region_without_targets_is_left_at_once() {
    let mut config = config(4);
    config.drains.targets_in_domains.insert("r0".into());
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let target = run(&mut dispatcher, now, 1, 1).unwrap();
    assert!(target == "t1" || target == "t3");
}

#[test]
fn place_refuses_within_an_eighth_of_the_objective() {
    let config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    for id in 0..200 {
        dispatcher.submit(now, request(now, id, id));
    }
    let at = dispatcher.next_wait_deadline().unwrap();
    assert!(at - now <= Duration::from_millis(500) / 8);
    assert!(!refusals(&dispatcher.tick(at)).is_empty());
    assert!(!dispatcher.has_queued());
}

#[rstest]
#[case::refused(Outcome::Refused, 2)]
#[case::unreachable(Outcome::Unreachable, 4)]
fn place_attempts_are_bounded(#[case] outcome: Outcome, #[case] max_sent: u32) {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let mut actions = dispatcher.submit(now, request(now, 1, 1));
    let mut sent = 0;
    while let Some(assignment) = assignments(&actions).first().copied().cloned() {
        sent += 1;
        (_, actions) = dispatcher.finish(now, assignment.id, assignment.attempt, outcome);
    }
    assert_eq!(sent, max_sent);
    assert_eq!(refusals(&actions), [ErrorKind::TargetRefused]);
}

#[test]
fn place_retries_draw_on_the_retry_budget() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let mut sent = 0;
    for id in 0..50 {
        let mut actions = dispatcher.submit(now, request(now, id, id));
        while let Some(assignment) = assignments(&actions).first().copied().cloned() {
            sent += 1;
            (_, actions) =
                dispatcher.finish(now, assignment.id, assignment.attempt, Outcome::Refused);
        }
    }
    // The budget starts with five retries, and nothing is added without a success.
    assert!(sent <= 55, "{sent}");
}

/// A full target keeps its rank: the next target is not treated as the object's first choice, whose
/// latency counts as warm.
#[test]
fn place_full_first_choice_keeps_its_rank() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let reasons: Vec<SelectionReason> = (0..5)
        .flat_map(|id| dispatcher.submit(now, request(now, id, 77)))
        .filter_map(|action| match action {
            Action::Assign(assignment) => Some(assignment.reason),
            _ => None,
        })
        .collect();
    assert_eq!(reasons[..4], [SelectionReason::First; 4]);
    assert!(
        !reasons[4..].contains(&SelectionReason::First),
        "{reasons:?}"
    );
}

/// Guards against a leak: replaced targets must be removed, while targets with requests in flight
/// stay and keep their assignment.
#[test]
fn place_replaced_targets_are_removed() {
    let mut config = config(6);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let actions = dispatcher.submit(now, request(now, 9_999, 1));
    let running = assignments(&actions)[0].clone();
    for round in 0..10_000 {
        let service = config.services.get_mut("s").unwrap();
        let (_, old) = service.targets.pop_first().unwrap();
        service.targets.insert(format!("u{round:05}").into(), old);
        dispatcher.configure(now, &config);
    }
    assert!(
        dispatcher.targets(now).len() <= 6 + 1 + 17,
        "{}",
        dispatcher.targets(now).len()
    );
    assert_eq!(
        dispatcher.target_of(running.id, running.attempt),
        Some(&running.target)
    );
    assert!(run(&mut dispatcher, now, 1, 1).is_some());
    let outcome = Outcome::Answered(Duration::from_millis(5));
    dispatcher.finish(now, running.id, running.attempt, outcome);
    let busy = dispatcher
        .targets(now)
        .into_iter()
        .map(|(_, _, in_flight, _)| in_flight);
    assert_eq!(busy.sum::<u32>(), 0);
}

/// Guards against targets that stayed down for the rest of their lives after three connections had
/// failed, although they could be reached again.
#[test]
fn target_that_answers_again_takes_all_its_slots() {
    let config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let state = |dispatcher: &Dispatcher, now| dispatcher.targets(now)[0].1;
    let now = Time::from_secs(10);
    let mut actions = dispatcher.submit(now, request(now, 1, 7));
    while let Some(assignment) = assignments(&actions).first().copied().cloned() {
        let is_first_target = assignment.target.as_str() == "t0";
        let outcome = if is_first_target {
            Outcome::Unreachable
        } else {
            Outcome::Answered(Duration::from_millis(50))
        };
        actions = dispatcher
            .finish(now, assignment.id, assignment.attempt, outcome)
            .1;
    }
    assert_eq!(state(&dispatcher, now), TargetState::Down);

    assert!(dispatcher.due_probes(now).is_empty());
    let now = now + Duration::from_millis(500);
    assert_eq!(dispatcher.due_probes(now), ["t0".into()]);
    dispatcher.record_probe(now, &"t0".into(), Dial::direct(true));
    dispatcher.tick(now);
    assert_eq!(state(&dispatcher, now), TargetState::Ready);
    let taken = (3..7).filter(|id| {
        let actions = dispatcher.submit(now, request(now, *id, 7));
        let mut assigned = assignments(&actions).into_iter();
        assigned.any(|one| one.target.as_str() == "t0")
    });
    assert_eq!(taken.count(), 4);
}

/// Guards against limits that each configuration lowered to the service's number of slots, so that
/// requests were refused although targets had free slots by their registrations.
#[rstest]
#[case::nothing_in_flight(0)]
#[case::requests_in_flight(2)]
fn target_keeps_its_registered_slots_when_configured_again(#[case] in_flight: u64) {
    let config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let sent = |dispatcher: &mut Dispatcher, ids: std::ops::Range<u64>| {
        ids.map(|id| assignments(&dispatcher.submit(now, request(now, id, 7))).len())
            .sum::<usize>()
    };
    let before = sent(&mut dispatcher, 0..in_flight);
    for _ in 0..3 {
        dispatcher.configure(now, &config);
    }
    let after = sent(&mut dispatcher, in_flight..4);
    assert_eq!(before + after, 4);
}

/// Guards against refusals whose lines don't show what kept the request from its targets.
#[test]
fn candidates_of_a_refused_request_are_its_two_targets() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let mut refused = Vec::new();
    let sent: Vec<String> = (0..20)
        .flat_map(|id| dispatcher.submit(now, request(now, id, 77)))
        .filter_map(|action| match action {
            Action::Assign(assignment) => Some(assignment.target.to_string()),
            _ => None,
        })
        .collect();
    let later = now + Duration::from_millis(30);
    refused.extend(refusals(&dispatcher.tick(later)));
    assert!(refused.contains(&ErrorKind::Overloaded));

    let candidates = dispatcher.candidates(later, &request(later, 30, 77));
    let found: Vec<(&str, u32, u32)> = candidates
        .iter()
        .map(|one| (one.target.as_str(), one.in_flight, one.limit))
        .collect();
    let in_flight = |target: &str| sent.iter().filter(|one| *one == target).count() as u32;
    let expected: Vec<(&str, u32, u32)> = found
        .iter()
        .map(|(target, ..)| (*target, in_flight(target), 4))
        .collect();
    assert_eq!(found, expected);
    assert_eq!((found.len(), found[0].1), (2, 4));
}

/// Guards against callers that retry too late for their own deadline after a request that reached no target
/// in its route's time.
#[rstest]
#[case::refused(Outcome::Refused, ErrorKind::TargetRefused)]
#[case::expired(Outcome::Expired, ErrorKind::Expired)]
fn place_unsent_caller_is_asked_back_when_slots_are_free(
    #[case] outcome: Outcome,
    #[case] expected: ErrorKind,
) {
    let config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let request = AdmittedRequest {
        max_attempts: 1,
        ..request(now, 1, 1)
    };
    let submitted = dispatcher.submit(now, request);
    let sent = assignments(&submitted)[0];
    let (_, actions) = dispatcher.finish(now, sent.id, sent.attempt, outcome);
    let refusal = actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal),
        _ => None,
    });
    let refusal = refusal.unwrap();
    assert_eq!(refusal.kind, expected);
    assert!(
        refusal.retry_after < Duration::from_millis(500),
        "{refusal:?}"
    );
}

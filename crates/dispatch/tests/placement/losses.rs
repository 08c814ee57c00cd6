//! Requests whose connections are lost, and the quarantine of those that crash targets.

use std::{collections::BTreeMap, time::Duration};

use base::{ErrorKind, TargetId, Time};
use dispatch::{
    Action, AdmittedRequest, Assignment, ConnectionLoss, Dispatcher, Outcome, Placement, Policy,
    QuarantineReport, RequestKind,
};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, refusals, request};

#[test]
fn place_lost_once_request_is_never_sent_again() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let actions = dispatcher.submit(now, request(now, 1, 1).kind(RequestKind::Once));
    let assignment = assignments(&actions)[0].clone();
    assert!(assignment.needs_fresh_connection);
    let (_, actions) = dispatcher.finish(now, assignment.id, 1, Outcome::Lost);
    assert!(assignments(&actions).is_empty());
    assert_eq!(refusals(&actions), [ErrorKind::TargetLost]);
}

/// Losses on one incarnation of a target may be its own fault and quarantine no request; losses on
/// two incarnations do.
#[rstest]
#[case::same_incarnation(1, false)]
#[case::next_incarnation(2, true)]
fn place_losses_quarantine_by_incarnation(#[case] incarnation: u64, #[case] expected: bool) {
    let mut config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let once = |id| AdmittedRequest {
        fingerprint: 7,
        ..request(now, id, 1).kind(RequestKind::Once)
    };
    let actions: Vec<Action> = (0..2)
        .flat_map(|id| dispatcher.submit(now, once(id)))
        .collect();
    let sent: Vec<Assignment> = assignments(&actions).into_iter().cloned().collect();
    dispatcher.finish(now, sent[0].id, 1, Outcome::Lost);
    // Losses are attributed once it is clear that no other target is concerned.
    let now = now + Duration::from_millis(100);
    dispatcher.tick(now);
    let target = sent[1].target.clone();
    let service = config.services.get_mut("s").unwrap();
    let target_config = service.targets.get_mut(&target).unwrap();
    target_config.registered.as_mut().unwrap().incarnation = incarnation;
    dispatcher.configure(now, &config);
    dispatcher.finish(now, sent[1].id, 1, Outcome::Lost);
    let now = now + Duration::from_millis(100);
    dispatcher.tick(now);
    assert_eq!(!dispatcher.quarantined(now).is_empty(), expected);
}

/// Guards against a cut of an instance's links barring everybody's requests for the same page for a
/// minute: the resets on several targets were counted against the request that happened to be on
/// them.
#[test]
fn losses_on_many_targets_at_once_quarantine_nothing() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(10);
    let mut sent = Vec::new();
    for object in 0..12 {
        let same_page = AdmittedRequest {
            fingerprint: 7,
            kind: RequestKind::Once,
            ..request(now, object, object * 7_919)
        };
        let actions = dispatcher.submit(now, same_page);
        sent.extend(assignments(&actions).into_iter().cloned());
    }
    assert!(sent.len() >= 6, "{sent:?}");
    for assignment in &sent {
        dispatcher.finish(now, assignment.id, assignment.attempt, Outcome::Lost);
    }
    let now = now + Duration::from_millis(200);
    let actions = dispatcher.tick(now);
    assert_eq!(actions, []);
    assert_eq!(dispatcher.quarantined(now), []);
}

/// Guards against a request that crashes its targets going free: its retry crashes the second one a
/// moment after the first, which must not be taken for a failure of the path.
#[test]
fn request_that_crashes_two_targets_in_a_row_is_quarantined() {
    let config = config(12);
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new("r0".into(), 1, policy).unwrap();
    dispatcher.configure(Time::ZERO, &config);
    dispatcher.tick(Time::from_millis(1));
    let now = Time::from_secs(10);
    let mut actions = dispatcher.submit(now, request(now, 1, 7));
    let mut crashed = Vec::new();
    while let Some(assignment) = assignments(&actions).first().copied().cloned() {
        crashed.push(assignment.target.clone());
        actions = dispatcher
            .finish(now, assignment.id, assignment.attempt, Outcome::Lost)
            .1;
    }
    assert_eq!(crashed.len(), 2, "{crashed:?}");
    let now = now + Duration::from_millis(100);
    dispatcher.tick(now);
    let again = dispatcher.submit(now, request(now, 1, 7));
    assert_eq!(refusals(&again), [ErrorKind::Quarantined]);
}

/// Guards against innocent pages that are turned away for a minute: a target that sends no valid answer hasn't crashed,
/// so no page is the cause. It gets nothing after a few of them, and others get its requests.
#[rstest]
#[case::a_third(4)]
#[case::all(12)]
fn invalid_answers_count_against_their_target_alone(#[case] invalid: usize) {
    const PAGES: u64 = 5;
    const MAX_INVALID: usize = 3;
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let mut now = Time::from_secs(10);
    let mut sent: BTreeMap<TargetId, usize> = BTreeMap::new();
    let mut answered = 0;
    for id in 0..200 {
        now = now + Duration::from_millis(20);
        dispatcher.tick(now);
        let page = AdmittedRequest {
            fingerprint: id % PAGES,
            ..request(now, id, id * 7_919).kind(RequestKind::Once)
        };
        let actions = dispatcher.submit(now, page);
        assert!(!refusals(&actions).contains(&ErrorKind::Quarantined));
        let Some(assignment) = assignments(&actions).first().copied().cloned() else {
            continue;
        };
        let target = assignment.target;
        let is_invalid = config.services["s"]
            .targets
            .keys()
            .take(invalid)
            .any(|one| *one == target);
        *sent.entry(target).or_default() += 1;
        let (outcome, expected) = if is_invalid {
            (Outcome::Invalid, vec![ErrorKind::TargetLost])
        } else {
            answered += 1;
            (Outcome::Answered(Duration::from_millis(20)), Vec::new())
        };
        let (_, actions) = dispatcher.finish(now, assignment.id, assignment.attempt, outcome);
        assert_eq!(refusals(&actions), expected);
    }
    assert_eq!(dispatcher.quarantined(now), []);
    let counts = config.services["s"]
        .targets
        .keys()
        .take(invalid)
        .map(|one| sent.get(one).copied());
    let counts: Vec<usize> = counts.map(Option::unwrap_or_default).collect();
    assert!(counts.iter().any(|count| *count > 0), "{sent:?}");
    assert!(counts.iter().all(|count| *count <= MAX_INVALID), "{sent:?}");
    assert!(
        answered >= if invalid < 12 { 180 } else { 0 },
        "{answered} answered, {sent:?}"
    );
}

/// Guards against an innocent request that is turned away: a loss was reported once more after an answer
/// had spoken for the request, as if the loss had come since.
#[rstest]
#[case::of_this_instance(true)]
#[case::of_another(false)]
fn loss_before_an_answer_is_not_repeated(#[case] is_own: bool) {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let begin = Time::from_secs(10);
    dispatcher.tick(begin);
    end_at(&mut dispatcher, begin, 1, Outcome::Lost);
    let now = begin + Duration::from_millis(200);
    let lost = reported(&dispatcher.tick(now));
    assert_eq!(lost.len(), 1);
    if is_own {
        let answered = Outcome::Answered(Duration::from_millis(20));
        end_at(&mut dispatcher, now, 2, answered);
    } else {
        dispatcher.merge_quarantine(now, None, &QuarantineReport::Answered(FINGERPRINT));
    }
    end_at(&mut dispatcher, now, 3, Outcome::Lost);
    let now = begin + Duration::from_millis(400);
    let since = reported(&dispatcher.tick(now));
    assert_eq!(since.len(), 1);
    assert_ne!(since, lost);
    let now = begin + Duration::from_secs(1);
    assert_eq!(reported(&dispatcher.tick(now)), since);
}

const FINGERPRINT: u64 = 7;

/// Sends a request whose attempt ends with `outcome`.
fn end_at(dispatcher: &mut Dispatcher, now: Time, id: u64, outcome: Outcome) {
    let once = AdmittedRequest {
        fingerprint: FINGERPRINT,
        ..request(now, id, id * 7_919).kind(RequestKind::Once)
    };
    let actions = dispatcher.submit(now, once);
    let sent = assignments(&actions)[0].clone();
    dispatcher.finish(now, sent.id, sent.attempt, outcome);
}

fn reported(actions: &[Action]) -> Vec<ConnectionLoss> {
    let losses = actions.iter().filter_map(|action| match action {
        Action::ReportLoss(report) => Some(report.loss),
        _ => None,
    });
    losses.collect()
}

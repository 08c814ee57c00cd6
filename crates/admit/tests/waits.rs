//! How long requests wait for tokens of their workspace's owner.

use std::{collections::BTreeMap, time::Duration};

use admit::{Action, AdmissionController};
use base::{Config, ErrorKind, Time, Workspace, WorkspaceId};
use coord::{Grant, GrantRequest, OwnerId, QuotaSplit};
use rstest::rstest;

/// Returns a controller without reservations, which asks an owner for each token.
fn controller() -> AdmissionController {
    controller_with(QuotaSplit::default())
}

fn controller_with(split: QuotaSplit) -> AdmissionController {
    let mut config = Config::default();
    let workspace = Workspace {
        rate: 10.0,
        burst: 10.0,
        ..Workspace::default()
    };
    config.workspaces.insert("w".into(), workspace);
    let mut admission = AdmissionController::new(split);
    admission.configure(Time::ZERO, &config);
    let owner = OwnerId {
        instance: "owner".into(),
        epoch: 1,
    };
    admission.set_owner(&"w".into(), Some(owner));
    admission
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn ask(admission: &mut AdmissionController, now: Time, id: u64, left: Duration) -> Vec<Action> {
    admission.on_request(now, id, &"w".into(), now + left)
}

fn requested(actions: &[Action]) -> Option<GrantRequest> {
    actions.iter().find_map(|action| match action {
        Action::RequestGrant(_, _, request) => Some(request.clone()),
        _ => None,
    })
}

/// Returns the requests that are refused, each for its workspace's rate.
fn refused(actions: &[Action]) -> Vec<u64> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse(id, refusal) if refusal.kind == ErrorKind::RateLimited => Some(*id),
        _ => None,
    });
    refused.collect()
}

/// Returns when a request is refused by the ticks after `now`.
fn refused_at(admission: &mut AdmissionController, now: u64) -> Option<u64> {
    let ticks = (now..now + 5_000).step_by(10);
    let mut refusals = ticks.filter(|tick| !refused(&admission.tick(at(*tick))).is_empty());
    refusals.next()
}

/// Guards against late refusals: requests that came while the owner was asked waited for up to a second after it had answered
/// that there is no token.
#[test]
fn request_behind_the_one_that_finds_the_limit_used_up_is_refused_with_it() {
    let mut admission = controller();
    let left = Duration::from_secs(10);
    let request = requested(&ask(&mut admission, at(0), 1, left)).unwrap();
    assert_eq!(ask(&mut admission, at(5), 2, left), []);
    let grant = Grant {
        epoch: 1,
        serial: request.serial,
        tokens: 0,
        retry_after: Duration::from_secs(3),
    };
    let actions = admission.on_grant(at(20), &WorkspaceId::from("w"), &grant);
    assert_eq!(refused(&actions), [1, 2]);
}

/// Guards against late refusals: requests waited for 1.5 s for an owner that answers nothing, each of them again.
#[test]
fn request_is_refused_at_once_while_the_owner_is_overdue() {
    let mut admission = controller();
    let left = Duration::from_secs(10);
    ask(&mut admission, at(0), 1, left);
    let first = refused_at(&mut admission, 0).unwrap();
    assert!((250..400).contains(&first), "{first}");
    let actions = ask(&mut admission, at(first + 100), 2, left);
    let [Action::Refuse(2, refusal)] = &actions[..] else {
        panic!("{actions:?}");
    };
    // The owner is asked again within a second of the first question.
    let delay = refusal.retry_after;
    assert!(delay <= Duration::from_millis(900 - first), "{delay:?}");
}

/// Guards against refusals for the silence of another owner, who has ended.
#[test]
fn request_waits_for_an_owner_that_was_not_asked_yet() {
    let mut admission = controller();
    let left = Duration::from_secs(10);
    ask(&mut admission, at(0), 1, left);
    let first = refused_at(&mut admission, 0).unwrap();
    let owner = OwnerId {
        instance: "next".into(),
        epoch: 2,
    };
    admission.set_owner(&"w".into(), Some(owner));
    let actions = ask(&mut admission, at(first + 10), 2, left);
    assert!(refused(&actions).is_empty());
    assert!(requested(&actions).is_some());
}

/// Guards against refusals that come too late for another try, whatever the caller's deadline.
#[rstest]
#[case::short(100)]
#[case::longer(300)]
fn request_waits_no_longer_than_half_of_its_time(#[case] left_ms: u64) {
    let mut admission = controller();
    ask(&mut admission, at(0), 1, Duration::from_millis(left_ms));
    let refused_at = refused_at(&mut admission, 0).unwrap();
    assert!(refused_at <= left_ms / 2 + 10, "{refused_at}");
}

/// Guards against refusals for nothing: a message to the owner or its answer is lost, and the next one is answered.
#[test]
fn request_waits_for_the_second_message_to_the_owner() {
    let mut admission = controller();
    let left = Duration::from_secs(10);
    ask(&mut admission, at(0), 1, left);
    let mut ticks = (10..=290u64).step_by(10);
    let resent = ticks.find_map(|tick: u64| {
        let actions = admission.tick(at(tick));
        assert!(refused(&actions).is_empty());
        requested(&actions)
    });
    let grant = Grant {
        epoch: 1,
        serial: resent.unwrap().serial,
        tokens: 1,
        retry_after: Duration::ZERO,
    };
    let actions = admission.on_grant(at(285), &WorkspaceId::from("w"), &grant);
    assert_eq!(actions, [Action::Admit(1)]);
}

/// Guards against refused callers that all return in one moment: one delay was named to all that were refused between two
/// answers of the owner.
#[rstest]
#[case::fewer_than_places(40, 60, 1)]
#[case::more_than_places(400, 60, 9)]
#[case::with_little_time(400, 3, 45)]
fn refused_requests_return_at_the_rate_of_their_workspace(
    #[case] count: u64,
    #[case] left_s: u64,
    #[case] most_in_a_tenth: usize,
) {
    let mut admission = controller_with(QuotaSplit {
        slots: 1,
        ..QuotaSplit::default()
    });
    let left = Duration::from_secs(left_s);
    let request = requested(&ask(&mut admission, at(0), 0, left)).unwrap();
    let grant = Grant {
        epoch: 1,
        serial: request.serial,
        tokens: 0,
        retry_after: Duration::from_millis(100),
    };
    let mut actions = admission.on_grant(at(2), &WorkspaceId::from("w"), &grant);
    for id in 1..count {
        actions.extend(ask(&mut admission, at(2), id, left));
    }
    let mut returns = BTreeMap::new();
    for action in &actions {
        let Action::Refuse(_, refusal) = action else {
            panic!("{action:?}");
        };
        *returns
            .entry(refusal.retry_after.as_millis() / 100)
            .or_default() += 1;
    }
    assert_eq!(returns.values().sum::<usize>(), count as usize);
    assert!(
        returns.values().max() <= Some(&most_in_a_tenth),
        "{returns:?}"
    );
}

/// Guards against late refusals: of a workspace that is far beyond its rate, all requests waited for each answer of the owner,
/// which had tokens for few of them.
#[rstest]
#[case::soon(130, 2, 4)]
#[case::later(2_000, 20, 22)]
#[case::long_after(60_000, 100, 100)]
fn request_waits_only_behind_as_many_as_can_be_served(
    #[case] asked_at: u64,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut admission = controller_with(QuotaSplit {
        slots: 1,
        ..QuotaSplit::default()
    });
    let left = Duration::from_secs(10);
    let request = requested(&ask(&mut admission, at(0), 0, left)).unwrap();
    let grant = Grant {
        epoch: 1,
        serial: request.serial,
        tokens: 0,
        retry_after: Duration::from_millis(100),
    };
    admission.on_grant(at(20), &WorkspaceId::from("w"), &grant);
    let waiting = (1..=100).filter(|id| {
        let actions = ask(&mut admission, at(asked_at), *id, left);
        refused(&actions).is_empty()
    });
    let waiting = waiting.count();
    assert!((least..=most).contains(&waiting), "{waiting}");
}

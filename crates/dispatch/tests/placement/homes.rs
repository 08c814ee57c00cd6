//! Requests that may run in some regions only.

use std::time::Duration;

use base::{AllowedRegions, Config, ErrorKind, Time};
use dispatch::{
    Action, AdmittedRequest, Dispatcher, Outcome, Placement, Policy, RegionShares, RequestId,
    RequestKind, RequestProgress, TargetState,
};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, refusals, request};

fn bound(now: Time, id: u64, regions: &[&str]) -> AdmittedRequest {
    let regions = regions.iter().map(|region| (*region).into()).collect();
    AdmittedRequest {
        allowed_regions: AllowedRegions::only(&regions),
        ..request(now, id, id)
    }
}

#[test]
fn place_allowed_regions_bind_even_without_capacity() {
    let mut config = config(4);
    config.drains.targets_in_domains.insert("r0".into());
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let actions = dispatcher.submit(now, bound(now, 1, &["r0"]));
    assert!(assignments(&actions).is_empty());
    assert_eq!(refusals(&actions), [ErrorKind::NoTarget]);
}

/// Guards against HOME: a request that may run nowhere was sent to a target whose failure domain is not
/// known.
#[test]
fn place_nowhere_is_no_unknown_domain() {
    let mut config = config(2);
    config.domains.clear();
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let nowhere = dispatcher.submit(now, bound(now, 1, &[]));
    assert!(assignments(&nowhere).is_empty());
    let anywhere = dispatcher.submit(now, request(now, 2, 2));
    assert_eq!(assignments(&anywhere).len(), 1);
}

/// Guards against HOME: a target that came back in another region under its id got the requests that are
/// bound to the region where it had been.
#[rstest]
#[case::same_incarnation(1)]
#[case::new_incarnation(2)]
fn place_follows_a_target_that_moves(#[case] incarnation: u64) {
    let mut config = config(1);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let running = dispatcher.submit(now, bound(now, 1, &["r0"]));
    let running = assignments(&running)[0].clone();

    let service = config.services.get_mut("s").unwrap();
    let target = service.targets.get_mut("t0").unwrap();
    target.domain = "r1".into();
    target.registered.as_mut().unwrap().incarnation = incarnation;
    dispatcher.configure(now, &config);
    dispatcher.finish(now, running.id, running.attempt, Outcome::Refused);
    let there = dispatcher.submit(now, bound(now, 2, &["r0"]));
    assert!(assignments(&there).is_empty());
    let here = dispatcher.submit(now, bound(now, 3, &["r1"]));
    assert_eq!(assignments(&here)[0].region.as_str(), "r1");
}

/// Guards against HOME: an attempt that wasn't sent yet followed its target to another region, as did one
/// whose target had been taken away in between.
#[rstest]
#[case::at_once(false)]
#[case::taken_away_in_between(true)]
fn configure_recalls_what_is_on_a_moved_target(#[case] is_taken_away: bool) {
    let mut config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    dispatcher.submit(now, bound(now, 1, &["r0"]));
    dispatcher.submit(now, bound(now, 2, &["r1"]));
    assert!(dispatcher.configure(now, &config).is_empty());
    let recall = [Action::Recall(RequestId(1))];
    if is_taken_away {
        let mut without = config.clone();
        without.services.get_mut("s").unwrap().targets.remove("t0");
        assert_eq!(dispatcher.configure(now, &without), recall);
    }
    let service = config.services.get_mut("s").unwrap();
    service.targets.get_mut("t0").unwrap().domain = "r1".into();
    let actions = dispatcher.configure(now, &config);
    assert_eq!(actions, recall);
    assert!(dispatcher.configure(now, &config).is_empty());
}

/// Returns a dispatcher of either placement for an instance in `r0`.
fn dispatcher_by(placement: Placement, config: &Config) -> Dispatcher {
    let policy = Policy {
        placement,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new("r0".into(), 1, policy).unwrap();
    dispatcher.configure(Time::ZERO, config);
    // Ends the warm-up.
    dispatcher.tick(Time::from_millis(1));
    dispatcher
}

/// Guards against HOME: the choice between two random targets didn't look at the regions.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn place_keeps_to_the_homes(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(8));
    let shares = [("r0".into(), 0.9), ("r1".into(), 0.1)];
    let shares = RegionShares {
        shares: shares.into(),
    };
    dispatcher.set_region_shares(&"s".into(), shares);
    let now = Time::from_secs(1);
    // More than the region has slots.
    let actions: Vec<Action> = (0..24)
        .flat_map(|id| dispatcher.submit(now, bound(now, id, &["r1"])))
        .collect();
    let sent = assignments(&actions);
    assert!(sent.len() >= 8);
    assert!(sent.iter().all(|one| one.region.as_str() == "r1"));
    let nowhere = dispatcher.submit(now, bound(now, 24, &[]));
    assert_eq!(refusals(&nowhere), [ErrorKind::NoTarget]);
}

/// A request whose homes are full keeps no other one waiting.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn place_bound_request_holds_up_no_other(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(2));
    let now = Time::from_secs(1);
    for id in 0..6 {
        dispatcher.submit(now, bound(now, id, &["r1"]));
    }
    let other = dispatcher.submit(now, request(now, 6, 6));
    assert_eq!(assignments(&other)[0].region.as_str(), "r0");
    assert_eq!(dispatcher.queue_len(), 2);
}

/// Guards against HOME: a request was tried again, after its connection was lost, where its homes had
/// been before they moved.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn retry_follows_moved_homes(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(8));
    let now = Time::from_secs(1);
    let first = dispatcher.submit(now, bound(now, 1, &["r0"]));
    let first = assignments(&first)[0].clone();
    assert_eq!(first.region.as_str(), "r0");
    dispatcher.revise(first.id, &AllowedRegions::only(&["r1".into()].into()), 3);
    let (_, actions) = dispatcher.finish(now, first.id, first.attempt, Outcome::Lost);
    assert_eq!(assignments(&actions)[0].region.as_str(), "r1");
}

/// Guards against HOME: the second attempt of a request that was slow went where its homes had been.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn hedge_follows_moved_homes(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(8));
    let now = Time::from_secs(1);
    let request = AdmittedRequest {
        max_attempts: 3,
        ..bound(now, 1, &["r0"])
    };
    dispatcher.submit(now, request);
    dispatcher.revise(
        RequestId(1),
        &AllowedRegions::only(&["r1".into()].into()),
        3,
    );
    let hedge = dispatcher.hedge(now, RequestId(1)).unwrap();
    assert_eq!(hedge.region.as_str(), "r1");
}

/// An attempt that was withheld is no fault of its target's, costs no retry and is followed by one
/// where the request may run.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn withheld_attempt_is_followed_by_another(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(8));
    let now = Time::from_secs(1);
    let before = dispatcher.retries_left();
    for id in 0..8 {
        let first = dispatcher.submit(now, bound(now, id, &["r0"]).kind(RequestKind::Once));
        let first = assignments(&first)[0].clone();
        dispatcher.revise(first.id, &AllowedRegions::only(&["r1".into()].into()), 1);
        let (_, actions) = dispatcher.finish(now, first.id, first.attempt, Outcome::Withheld);
        let second = assignments(&actions)[0].clone();
        assert_eq!(second.region.as_str(), "r1");
        let took = Duration::from_millis(10);
        dispatcher.finish(now, second.id, second.attempt, Outcome::Answered(took));
    }
    assert!(dispatcher.is_empty());
    assert!(dispatcher.retries_left() >= before);
    let states = dispatcher.targets(now);
    assert!(
        states
            .iter()
            .all(|(_, state, ..)| *state != TargetState::Down)
    );
}

/// Guards against a withdrawn key: a request that waited over its withdrawal ran.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn withdrawn_request_is_sent_no_more(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(2));
    let now = Time::from_secs(1);
    let actions: Vec<Action> = (0..9)
        .flat_map(|id| dispatcher.submit(now, request(now, id, id)))
        .collect();
    let running = assignments(&actions)[0].clone();
    assert!(dispatcher.queue_len() > 0);
    let queued = RequestId(8);
    let refused = dispatcher.withdraw(now, queued, ErrorKind::UnknownKey);
    assert_eq!(refusals(&refused), [ErrorKind::UnknownKey]);

    assert!(
        dispatcher
            .withdraw(now, running.id, ErrorKind::UnknownKey)
            .is_empty()
    );
    assert!(dispatcher.hedge(now, running.id).is_none());
    let (progress, actions) = dispatcher.finish(now, running.id, running.attempt, Outcome::Refused);
    assert_eq!(progress, RequestProgress::Ended);
    assert_eq!(refusals(&actions), [ErrorKind::UnknownKey]);
}

/// What says that a request didn't run is not said of one that may have run.
#[test]
fn withdrawn_request_that_may_have_run_is_lost() {
    let mut dispatcher = dispatcher_by(Placement::ObjectAffinity, &config(4));
    let now = Time::from_secs(1);
    let actions = dispatcher.submit(now, request(now, 1, 1));
    let running = assignments(&actions)[0].clone();
    dispatcher.withdraw(now, running.id, ErrorKind::UnknownKey);
    let (_, actions) = dispatcher.finish(now, running.id, running.attempt, Outcome::Lost);
    assert_eq!(refusals(&actions), [ErrorKind::TargetLost]);
}

/// What waits for a full region goes out as soon as a target has moved there.
#[test]
fn waiting_request_goes_to_a_target_that_moved_to_its_home() {
    let mut config = config(4);
    let mut dispatcher = dispatcher_by(Placement::ObjectAffinity, &config);
    let now = Time::from_secs(1);
    for id in 0..9 {
        dispatcher.submit(now, bound(now, id, &["r0"]));
    }
    assert!(dispatcher.queue_len() > 0);
    let service = config.services.get_mut("s").unwrap();
    for target in service.targets.values_mut() {
        target.domain = "r0".into();
    }
    let actions = dispatcher.configure(now, &config);
    let sent = assignments(&actions);
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|one| one.region.as_str() == "r0"));
}

/// Guards against a queue that is held up by many requests whose homes are full.
#[test]
fn many_bound_requests_hold_up_no_other() {
    let mut dispatcher = dispatcher_by(Placement::TwoChoices, &config(2));
    let now = Time::from_secs(1);
    // Four run, and more wait than may be overtaken at a time.
    for id in 0..20 {
        dispatcher.submit(now, bound(now, id, &["r1"]));
    }
    let other = dispatcher.submit(now, request(now, 20, 20));
    assert_eq!(assignments(&other).len(), 1);
}

/// Guards against a caller that waits in vain: a queued request whose homes moved to where no target is
/// waited until its deadline, while a new one is refused at once.
#[test]
fn queued_request_that_no_target_can_take_any_more_is_refused() {
    let config = config(2);
    let mut dispatcher = dispatcher_by(Placement::TwoChoices, &config);
    let now = Time::from_secs(1);
    for id in 0..5 {
        dispatcher.submit(now, bound(now, id, &["r0"]));
    }
    assert_eq!(dispatcher.queue_len(), 1);
    let elsewhere = AllowedRegions::only(&["r2".into()].into());
    dispatcher.revise(RequestId(4), &elsewhere, 2);
    let mut actions = dispatcher.configure(now, &config);
    actions.extend(dispatcher.tick(now + Duration::from_millis(100)));
    assert_eq!(refusals(&actions), [ErrorKind::NoTarget]);
}

/// Guards against a request that crashes its targets: after two of them were lost, a withheld hedge let
/// it be sent to a third.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn withheld_hedge_of_a_request_lost_twice_is_not_followed(#[case] placement: Placement) {
    let mut dispatcher = dispatcher_by(placement, &config(8));
    let now = Time::from_secs(1);
    let request = AdmittedRequest {
        max_attempts: 4,
        ..request(now, 1, 1)
    };
    let id = RequestId(1);
    dispatcher.submit(now, request);
    let (_, actions) = dispatcher.finish(now, id, 1, Outcome::Lost);
    assert_eq!(assignments(&actions).len(), 1);
    let hedge = dispatcher.hedge(now, id).unwrap();
    dispatcher.finish(now, id, 2, Outcome::Lost);
    let (_, actions) = dispatcher.finish(now, id, hedge.attempt, Outcome::Withheld);
    assert!(assignments(&actions).is_empty());
    assert_eq!(refusals(&actions), [ErrorKind::TargetLost]);
}

/// Guards against BUDGET: a withheld hedge let a request be sent to more targets than its route allows.
#[test]
fn withheld_hedge_adds_no_attempt() {
    let mut dispatcher = dispatcher_by(Placement::ObjectAffinity, &config(8));
    let now = Time::from_secs(1);
    let request = AdmittedRequest {
        max_attempts: 3,
        ..request(now, 1, 1)
    };
    let id = RequestId(1);
    dispatcher.submit(now, request);
    let hedge = dispatcher.hedge(now, id).unwrap();
    dispatcher.revise(id, &AllowedRegions::All, 1);
    dispatcher.finish(now, id, 1, Outcome::Refused);
    let (_, actions) = dispatcher.finish(now, id, hedge.attempt, Outcome::Withheld);
    assert!(assignments(&actions).is_empty());
    assert_eq!(refusals(&actions), [ErrorKind::TargetRefused]);
}

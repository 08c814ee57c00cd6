//! What a later configuration leaves of what is known of targets and regions.

use std::time::Duration;

use base::Time;
use dispatch::{
    AdmittedRequest, ConcurrencyLimit, Dispatcher, Outcome, Placement, Policy, SelectionReason,
    TargetState,
};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, request, run};

/// Guards against a rest that was forgotten when the entries of all targets were gone for a moment, as
/// after an outage of the store.
#[test]
fn rest_outlives_entries_that_are_gone_for_a_moment() {
    let config = config(40);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    let sent = assignments(&dispatcher.submit(now, request(now, 1, 7)))[0].clone();
    let rest = Duration::from_secs(20);
    assert!(dispatcher.record_rest(now, sent.id, 1, rest).is_some());
    dispatcher.finish(now, sent.id, 1, Outcome::Refused);

    let mut without = config.clone();
    without.services.get_mut("s").unwrap().targets.clear();
    dispatcher.configure(now + Duration::from_secs(1), &without);
    dispatcher.configure(now + Duration::from_secs(2), &config);
    let now = now + Duration::from_secs(10);
    dispatcher.tick(now);
    let target = run(&mut dispatcher, now, 2, 7).unwrap();
    assert_ne!(target, sent.target.as_str());
}

/// Guards against a region that kept the limit of its first targets when a configuration added others.
#[test]
fn added_targets_raise_the_limit_of_their_region() {
    let policy = Policy {
        placement: Placement::TwoChoices,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new("r0".into(), 1, policy).unwrap();
    dispatcher.configure(Time::ZERO, &config(2));
    dispatcher.configure(Time::from_secs(1), &config(20));
    let now = Time::from_secs(2);
    dispatcher.tick(now);
    let sent: usize = (0..30)
        .map(|id| assignments(&dispatcher.submit(now, request(now, id, id))).len())
        .sum();
    assert_eq!(sent, 30);
}

/// Guards against a learned limit that a configuration raised though it brought no room.
#[rstest]
#[case::same(10, 10)]
#[case::twice(20, 20)]
#[case::half(5, 5)]
fn learned_limit_keeps_its_part_of_the_maximum(#[case] max: u32, #[case] top: u32) {
    let mut limit = ConcurrencyLimit::new(10);
    while limit.current() > 6 {
        limit.record_refusal();
    }
    let learned = limit.current();
    limit.set_max(max);
    let expected = match max {
        20 => learned * 2..=learned * 2 + 1,
        _ => learned.min(max)..=learned.min(max),
    };
    assert!(expected.contains(&limit.current()), "{}", limit.current());
    for _ in 0..1_000 {
        limit.record_success(limit.current());
    }
    assert_eq!(limit.current(), top);
}

/// Guards against a service whose targets all counted as cold once their entries, gone while the store
/// was down, came back and said that they are warm; and against one that has turned cold meanwhile.
#[rstest]
#[case::warm(0, TargetState::Ready)]
#[case::cold(2_000, TargetState::Cold)]
fn target_whose_entry_comes_back_is_as_warm_as_it_says(
    #[case] cold_ms: u32,
    #[case] expected: TargetState,
) {
    let mut config = config(2);
    for target in config.services.get_mut("s").unwrap().targets.values_mut() {
        target.registered.as_mut().unwrap().cold_ms = cold_ms;
    }
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(10);
    dispatcher.tick(now);
    assert_eq!(dispatcher.targets(now)[0].1, TargetState::Ready);

    let mut without = config.clone();
    without.services.get_mut("s").unwrap().targets.clear();
    dispatcher.configure(now + Duration::from_secs(1), &without);
    let now = now + Duration::from_secs(2);
    dispatcher.configure(now, &config);
    dispatcher.tick(now);
    assert_eq!(dispatcher.targets(now)[0].1, expected);
}

/// Guards against a target that counts as warm after operators have taken it back into service, though it
/// may have become cold meanwhile without a new entry.
#[test]
fn target_that_is_taken_back_counts_as_cold() {
    let config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let mut drained = config.clone();
    drained.drains.targets_in_domains.insert("r0".into());
    dispatcher.configure(Time::from_secs(10), &drained);
    let now = Time::from_secs(11);
    dispatcher.configure(now, &config);
    dispatcher.tick(now);
    assert_eq!(dispatcher.targets(now)[0].1, TargetState::Cold);
}

/// Guards against a region's learned limit of one that each configuration reset to all of its slots.
#[test]
fn learned_limit_of_one_outlives_the_same_configuration() {
    let policy = Policy {
        placement: Placement::TwoChoices,
        max_refusals: 1,
        ..Policy::default()
    };
    let config = config(4);
    let mut dispatcher = Dispatcher::new("r0".into(), 1, policy).unwrap();
    dispatcher.configure(Time::ZERO, &config);
    let now = Time::from_secs(1);
    dispatcher.tick(now);
    for id in 0..1_000 {
        let actions = dispatcher.submit(now, request(now, id, id));
        let sent = assignments(&actions)[0].clone();
        dispatcher.finish(now, sent.id, sent.attempt, Outcome::Refused);
    }
    dispatcher.configure(now, &config);
    let sent: usize = (1_000..1_004)
        .map(|id| assignments(&dispatcher.submit(now, request(now, id, id))).len())
        .sum();
    assert_eq!(sent, 1);
}

/// Guards against a service that kept the priorities of an earlier configuration, so that requests of its
/// most urgent route left a part of each target to a route that was gone, or to none that had come.
#[rstest]
#[case::same(&["urgent", "patient"], &["urgent", "patient"], SelectionReason::ShortQueue)]
#[case::urgent_removed(&["urgent", "patient"], &["patient"], SelectionReason::First)]
#[case::urgent_added(&["patient"], &["urgent", "patient"], SelectionReason::ShortQueue)]
fn priorities_are_those_of_the_last_configuration(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[case] expected: SelectionReason,
) {
    let with_routes = |names: &[&str]| {
        let mut config = config(1);
        config
            .routes
            .retain(|route| names.contains(&route.name.as_str()));
        let mut targets = config.services.get_mut("s").unwrap().targets.values_mut();
        let registered = targets.next().unwrap().registered.as_mut();
        registered.unwrap().slots = 10;
        config
    };
    let mut dispatcher = dispatcher(&with_routes(before), 1);
    let now = Time::from_secs(10);
    // Without a response no request is expected to wait.
    run(&mut dispatcher, now, 10, 7).unwrap();
    dispatcher.configure(now, &with_routes(after));
    dispatcher.tick(now);
    let reasons: Vec<SelectionReason> = (0..10)
        .map(|id| {
            let patient = AdmittedRequest {
                route_priority: 2,
                ..request(now, id, 7)
            };
            assignments(&dispatcher.submit(now, patient))[0].reason
        })
        .collect();
    // The last of the target's ten slots is reserved for the most urgent route.
    assert_eq!(reasons[..9], [SelectionReason::First; 9]);
    assert_eq!(reasons[9], expected);
}

//! Targets that are cold, and requests that are cold on their targets.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use dispatch::{AdmittedRequest, Outcome, SelectionReason};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, dispatcher_among, request, run};

#[test]
fn place_cold_target_gets_its_rate_over_all_instances() {
    let mut config = config(1);
    let target = config.services.get_mut("s").unwrap().targets.get_mut("t0");
    target.unwrap().registered.as_mut().unwrap().cold_ms = 60_000;
    let mut dispatcher = dispatcher(&config, 1);
    let mut sent = 0;
    for idx in 0..2_000 {
        let now = Time::from_millis(1_000 + idx * 10);
        let mut actions = dispatcher.tick(now);
        actions.extend(dispatcher.submit(now, request(now, idx, idx)));
        for assignment in assignments(&actions) {
            sent += 1;
            let outcome = Outcome::Answered(Duration::from_millis(5));
            dispatcher.finish(now, assignment.id, assignment.attempt, outcome);
        }
    }
    // The cold rate of 4 per second, shared by 6 instances, over 20 seconds.
    assert!((12..=15).contains(&sent), "{sent}");
}

/// Guards against many instances overloading a cold target by each sending its first request in the
/// same second; the largest case is the number of instances expected in two years.
#[rstest]
#[case::few(3)]
#[case::ten(10)]
#[case::hundreds(300)]
#[case::over_a_thousand(1_700)]
fn place_cold_target_is_not_overloaded_by_all_instances(#[case] instance_count: u32) {
    const MAX_AT_ONCE: u32 = 11; // 4 per second x 1.5 senders, plus a margin of 5.
    let mut config = config(1);
    let target = config.services.get_mut("s").unwrap().targets.get_mut("t0");
    target.unwrap().registered.as_mut().unwrap().cold_ms = 60_000;
    let now = Time::from_secs(1);
    let at_once: u32 = (0..instance_count)
        .map(|seed| {
            let mut dispatcher =
                dispatcher_among(&config, u64::from(seed) * 7_919 + 1, instance_count);
            (0..5)
                .filter(|id| run(&mut dispatcher, now, *id, *id).is_some())
                .count() as u32
        })
        .sum();
    assert!((1..=MAX_AT_ONCE).contains(&at_once), "{at_once}");
}

#[test]
fn place_target_turned_cold_again_is_rate_limited() {
    let mut config = config(1);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    assert!(run(&mut dispatcher, now, 1, 1).is_some());
    let target = config.services.get_mut("s").unwrap().targets.get_mut("t0");
    target.unwrap().registered.as_mut().unwrap().cold_ms = 3_000;
    dispatcher.configure(now, &config);
    assert!(run(&mut dispatcher, now, 2, 2).is_some());
    assert!(run(&mut dispatcher, now + Duration::from_millis(50), 3, 3).is_none());
    let warm = now + Duration::from_secs(4);
    dispatcher.tick(warm);
    assert!(run(&mut dispatcher, warm, 4, 4).is_some());
    assert!(run(&mut dispatcher, warm, 5, 5).is_some());
}

/// Guards against cold requests that would miss their objective taking slots that warm requests
/// need: they may only use targets with low utilization.
#[test]
fn place_late_requests_need_low_utilization() {
    let config = config(12);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    for object in 0..50 {
        run(&mut dispatcher, now, object, object * 7_919);
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for id in 100..200 {
        let late = AdmittedRequest {
            // A warm request takes 50 ms, a cold one counts as 100 ms.
            objective_deadline: now + Duration::from_millis(60),
            ..request(now, id, 77)
        };
        for assignment in assignments(&dispatcher.submit(now, late)) {
            *counts.entry(assignment.target.to_string()).or_default() += 1;
        }
    }
    let in_region = counts
        .iter()
        .filter(|(target, _)| target[1..].parse::<u32>().unwrap() % 2 == 0);
    let mut taken: Vec<u32> = in_region.map(|(_, count)| *count).collect();
    taken.sort_unstable();
    // All four slots of the first-ranked target, up to 60 % of the second's, none of the others'.
    assert_eq!(taken, [3, 4]);
}

/// The allowed wait depends on the median latency, so a minority of cold requests among warm ones
/// does not shorten it.
#[test]
fn place_cold_requests_do_not_shorten_the_allowed_wait() {
    let config = config(2);
    let mut dispatcher = dispatcher(&config, 1);
    let now = Time::from_secs(1);
    for id in 0..200 {
        let actions = dispatcher.submit(now, request(now, id, 7));
        let first = assignments(&actions)[0].clone();
        // A third of the requests is cold; the mean is 220 ms, the median 100 ms.
        let took = Duration::from_millis(if id % 3 == 0 { 460 } else { 100 });
        dispatcher.record_load(now, &"s".into(), &first.target, 0);
        dispatcher.finish(now, first.id, 1, Outcome::Answered(took));
    }
    let target = run(&mut dispatcher, now, 300, 7).unwrap().as_str().into();
    // Six requests are ahead for four slots: the wait is 385 ms, within 500 ms less a warm request.
    dispatcher.record_load(now, &"s".into(), &target, 9);
    let actions = dispatcher.submit(now, request(now, 400, 7));
    let chosen: Vec<SelectionReason> = assignments(&actions).iter().map(|one| one.reason).collect();
    assert_eq!(chosen, [SelectionReason::ShortQueue]);
}

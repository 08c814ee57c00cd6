//! How long an instance decides by a version although it knows of a later one, over drawn versions,
//! transfers and heartbeats.

mod arrivals;
mod beside_rows;
mod beside_transfer;
#[path = "../support/call.rs"]
mod call;
mod confirmations;
mod departed;
#[path = "../support/engine.rs"]
mod engine;
#[path = "../support/follower.rs"]
mod follower;
mod late_turns;
#[path = "../support/member.rs"]
mod member;
mod model;
mod modelled_store;
mod old_poll;
mod one_reader;
#[path = "../support/options.rs"]
mod options;
#[path = "../support/paused.rs"]
mod paused;
mod scenario;
mod standstill;
#[path = "../support/transfer.rs"]
mod transfer;
mod unread;

use std::{collections::BTreeMap, ops::Range, time::Duration};

use base::InstanceId;
use model::{Decided, Reporter, Scenario, position_of, reporter_id, run};
use transfer::Transfer;

const SEEDS: Range<u64> = 0..300;

/// Guards against HOME and CONFIG: an instance that learned of a later version from others and couldn't get it
/// went on deciding by the old one later than `configApplyS` after the acknowledgement.
#[test]
fn no_request_is_decided_late_by_an_instance_that_knows_of_a_later_version() {
    let late = SEEDS.filter_map(|seed| {
        let scenario = Scenario::draw(seed);
        let decided = run(&scenario);
        let mut late = decided.iter().filter(|decided| {
            let required = scenario.required_version(decided.at);
            decided.outcome.as_ref().is_ok_and(|used| *used < required)
        });
        let first = late.next()?.clone();
        Some((seed, (first, late.count() + 1, scenario)))
    });
    let late: BTreeMap<u64, _> = late.collect();
    let first = late.iter().next();
    assert!(late.is_empty(), "{} seeds, first {first:#?}", late.len());
}

/// Guards against refusals for nothing: an instance refuses only while a version that it lacks has been
/// acknowledged for half of `configApplyS`.
#[test]
fn requests_are_refused_only_by_an_instance_that_is_behind() {
    for seed in SEEDS {
        let scenario = Scenario::draw(seed);
        for decided in run(&scenario) {
            let known = decided.at.saturating_sub(scenario.apply / 2);
            let is_behind = decided.in_force < scenario.version_at(known);
            match &decided.outcome {
                Err(kind) if kind == "outdated" => {
                    assert!(is_behind, "seed {seed}: {decided:?}, {scenario:#?}");
                }
                Err(kind) => assert!(kind == "not_ready", "seed {seed}: {decided:?}"),
                Ok(_) => {}
            }
        }
    }
}

fn is_refused(decided: &Decided) -> bool {
    decided
        .outcome
        .as_ref()
        .is_err_and(|kind| kind == "outdated")
}

/// An instance that refuses is left out of its own look-ups' answers.
#[test]
fn outdated_instance_names_others_alone() {
    let scenario = Scenario {
        changes: vec![Duration::from_secs(5)],
        transfers: vec![Transfer::Takes(Duration::from_secs(6))],
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    let refused = decided.iter().filter(|one| is_refused(one)).count();
    assert!((100..230).contains(&refused), "{refused} refused");
    // The view may come a moment after the engine's word.
    let own = InstanceId::from("own");
    let differs = |one: &&Decided| {
        one.at > Duration::from_secs(1) && one.named.contains(&own) == is_refused(one)
    };
    let differing: Vec<_> = decided.iter().filter(differs).collect();
    assert!(differing.len() < 15, "{differing:?}");
}

/// An instance that has had an older version for too long is left out of the others' look-ups.
#[test]
fn outdated_instance_is_not_named_by_others() {
    let change = Duration::from_secs(5);
    let mut scenario = Scenario {
        changes: vec![change],
        transfers: vec![Transfer::Takes(Duration::from_millis(50))],
        ..Scenario::calm()
    };
    scenario.reporters[1].reads_after = Duration::from_secs(8);
    let decided = run(&scenario);
    let late = reporter_id(1);
    let first = Duration::from_secs(1);
    let left_out = decided
        .iter()
        .filter(|one| one.at > first && !one.named.contains(&late));
    let times: Vec<Duration> = left_out.map(|one| one.at).collect();
    let (from, to) = (times[0], times[times.len() - 1]);
    assert!(
        from > change + scenario.apply / 2 && from < change + scenario.apply,
        "{from:?}"
    );
    let back = change + Duration::from_secs(8);
    assert!(to > back && to < back + Duration::from_secs(1), "{to:?}");
    let names_others = |one: &Decided| one.at <= first || one.named.contains(&reporter_id(0));
    assert!(decided.iter().all(names_others));
}

/// Guards against refusals without an instance that could serve: with a store that is away for all, every
/// instance goes on by what it has.
#[test]
fn outage_of_the_store_makes_nobody_refuse() {
    let scenario = Scenario {
        changes: vec![Duration::from_secs(9)],
        outage: Some(Duration::from_secs(5)),
        // Nobody has read the version.
        lost_position: Some(position_of(0)),
        ..Scenario::calm()
    };
    let refused = run(&scenario).into_iter().filter(is_refused).count();
    assert_eq!(refused, 0);
}

/// As above, where those who had the later version have ended.
#[test]
fn version_that_nobody_has_any_more_is_not_waited_for() {
    let end = Duration::from_secs(12);
    let scenario = Scenario {
        changes: vec![Duration::from_secs(5)],
        others_end: Some(end),
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    let refused: Vec<_> = decided.iter().filter(|one| is_refused(one)).collect();
    assert!(refused.len() > 200, "{} refused", refused.len());
    let last = refused.last().unwrap().at;
    assert!(last < end + Duration::from_millis(400), "{last:?}");
}

/// Guards against refusals without end: after a store has gone back, others go on reporting the position that
/// is lost.
#[test]
fn store_that_went_back_is_not_waited_for() {
    let scenario = Scenario {
        lost_position: Some(1_000),
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    let refused = decided.iter().filter(|one| is_refused(one));
    let last = refused.map(|one| one.at).max().unwrap_or_default();
    // The read that was under way at the first report, and the next one.
    assert!(last < scenario.contact * 3 / 2, "{last:?}");
}

/// Guards against refusals for nothing: an instance that starts reports the position of its first read, which
/// rows of other tables have raised; the others haven't polled again, and lack nothing.
#[test]
fn start_of_another_instance_makes_nobody_refuse() {
    const STEP: Duration = Duration::from_millis(100);
    let refused = (0..24).map(|step| {
        let scenario = Scenario {
            others_start: Some(Duration::from_secs(8) + STEP * step),
            ..Scenario::calm()
        };
        let refused = run(&scenario).into_iter().filter(is_refused).count();
        (step, refused)
    });
    let refused: Vec<_> = refused.filter(|(_, count)| *count > 0).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against CONFIG: a report that is lost leaves no time for the next one.
#[test]
fn knowledge_comes_in_time_though_a_heartbeat_is_lost() {
    let bound = Scenario::calm().apply;
    let late = (0..200).filter_map(|seed| {
        let scenario = Scenario {
            seed,
            changes: vec![Duration::from_millis(5_000 + 25 * seed)],
            transfers: vec![Transfer::Lost, Transfer::Lost, Transfer::Lost],
            reporters: vec![Reporter {
                phase: Duration::from_millis(100),
                reads_after: Duration::from_millis(20),
                loss: 0.2,
            }],
            ..Scenario::calm()
        };
        let decided = run(&scenario);
        let mut late = decided.iter().filter(|one| {
            let required = scenario.required_version(one.at);
            one.outcome.as_ref().is_ok_and(|used| *used < required)
        });
        let last = late.next_back()?.at - scenario.changes[0] - bound;
        Some((seed, last))
    });
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "{} of 200: {late:?}", late.len());
}

/// Guards against refusals for nothing: an instance of which nothing is received for a moment isn't behind.
#[test]
fn instance_whose_heartbeats_are_lost_stays_named() {
    let mut scenario = Scenario {
        changes: (0..8).map(|n| Duration::from_secs(3 + 2 * n)).collect(),
        transfers: vec![Transfer::Takes(Duration::from_millis(50)); 40],
        ..Scenario::calm()
    };
    // Both have each version after 20 ms.
    scenario.reporters[1].loss = 0.6;
    let decided = run(&scenario);
    let missing = decided
        .iter()
        .filter(|one| one.at > Duration::from_secs(1) && one.named.len() < 3);
    let missing: Vec<_> = missing.map(|one| one.at).collect();
    assert!(missing.is_empty(), "{} {missing:?}", missing.len());
}

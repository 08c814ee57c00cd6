//! A version that follows another one while that is still arriving, at an instance that hears of it from nobody else.

use std::time::Duration;

use rstest::rstest;

use crate::{
    is_refused,
    model::{Decided, Scenario, run},
    transfer::Transfer,
};

const FIRST_AT: Duration = Duration::from_secs(5);

/// Lets two versions follow each other after a gap, which take as long to arrive, and returns when the second one was
/// acknowledged and what becomes of requests.
fn follow(transfer_ms: u64, gap_ms: u64) -> (Scenario, Duration, Vec<Decided>) {
    let second_at = FIRST_AT + Duration::from_millis(gap_ms);
    let transfer = Transfer::Takes(Duration::from_millis(transfer_ms));
    let scenario = Scenario {
        apply: Duration::from_secs(3),
        changes: vec![FIRST_AT, second_at],
        transfers: vec![transfer; 2],
        reporters: Vec::new(),
        ..Scenario::calm()
    };
    let decided = run(&scenario);
    (scenario, second_at, decided)
}

/// Guards against CONFIG: a version that followed while the one before it arrived was dated by the poll after that, and so
/// the older one decided later than `configApplyS` after the acknowledgement.
#[rstest]
#[case::short(1_200, 500)]
#[case::longer(1_500, 500)]
#[case::long(1_800, 500)]
#[case::longest(2_200, 500)]
#[case::longest_soon(2_200, 100)]
#[case::longest_late(2_200, 1_200)]
#[case::longest_at_its_end(2_200, 2_000)]
fn version_beside_a_transfer_decides_in_time(#[case] transfer_ms: u64, #[case] gap_ms: u64) {
    let (scenario, second_at, decided) = follow(transfer_ms, gap_ms);
    let bound = second_at + scenario.apply;
    let late = decided.iter().filter(|one| one.at > bound);
    let late = late.filter(|one| one.outcome.as_ref().is_ok_and(|version| *version < 2));
    let late: Vec<Duration> = late.map(|one| one.at - second_at).collect();
    let span = late.first().zip(late.last());
    assert!(late.is_empty(), "{} late: {span:?}", late.len());
}

/// Guards against refusals for nothing: an instance that knows of no date of a version takes it for older than it is.
#[rstest]
#[case::short(1_200, 500)]
#[case::long(1_800, 500)]
#[case::long_at_its_end(1_800, 1_750)]
#[case::longest(2_200, 500)]
#[case::longest_late(2_200, 1_200)]
#[case::longest_at_its_end(2_200, 2_150)]
fn version_beside_a_transfer_is_not_refused_early(#[case] transfer_ms: u64, #[case] gap_ms: u64) {
    let (scenario, second_at, decided) = follow(transfer_ms, gap_ms);
    let refused = decided.iter().filter(|one| is_refused(one));
    let early = refused.filter(|one| one.at < second_at + scenario.apply / 2);
    let early: Vec<Duration> = early.map(|one| one.at - FIRST_AT).collect();
    let span = early.first().zip(early.last());
    assert!(early.is_empty(), "{} early: {span:?}", early.len());
}

//! Comparison of an instance's rows with those of the others: what is found, and who reads the table again.

use std::time::Duration;

use base::{InstanceId, Position, Time};
use coord::{Replica, RowChange, RowsCheck, RowsReport};
use rstest::rstest;

/// Time between two reports of an instance.
const INTERVAL: Duration = Duration::from_millis(500);

/// Returns the report of an instance whose row has this content at the positions from 5 on.
fn report(value: &str, position: u64) -> RowsReport {
    let mut replica = Replica::new(Duration::ZERO);
    let change = RowChange {
        name: "a".to_owned(),
        value: Some(value.to_owned()),
        position: Position::from(5),
    };
    replica.apply_changes(Time::ZERO, vec![change], Position::from(position));
    replica.settle();
    replica.rows_report().unwrap()
}

fn instance(number: usize) -> InstanceId {
    format!("i{number}").as_str().into()
}

/// Lets as many others report right rows and wrong ones every [`INTERVAL`] to an instance with right ones or wrong ones,
/// and returns when it reads its table again; its reads help if `heals`.
fn reads(is_right: bool, [right, wrong]: [usize; 2], draw: f64, heals: bool) -> Vec<Duration> {
    let mut check = RowsCheck::default();
    let mut own = report(if is_right { "right" } else { "wrong" }, 9);
    let mut reads = Vec::new();
    for tick in 0..240 {
        let elapsed = INTERVAL * tick;
        let now = Time::ZERO + elapsed;
        for number in 0..right + wrong {
            let value = if number < right { "right" } else { "wrong" };
            check.on_report(now, &instance(number), Some(report(value, 8)));
        }
        if check.assess(now, Some(own), draw).reads_anew {
            reads.push(elapsed);
            if heals {
                own = report("right", 10);
            }
            check.on_whole_read();
        }
    }
    reads
}

/// Guards against a storm of reads in a fleet of 80: who differs from most others reads at once, and the others only where
/// that hasn't helped for long, each once and spread.
#[rstest]
#[case::wrong_one_heals(false, [79, 0], true, &[1_000, 1_500])]
#[case::wrong_one_is_read_once(false, [79, 0], false, &[1_000, 1_500])]
#[case::one_of_two(true, [0, 1], false, &[1_000, 1_500])]
#[case::right_one_among_79(true, [78, 1], false, &[10_000, 25_000])]
#[case::two_halves(true, [39, 40], false, &[10_000, 25_000])]
#[case::nobody_differs(true, [79, 0], false, &[])]
fn rows_are_read_anew_by_who_differs(
    #[case] is_right: bool,
    #[case] others: [usize; 2],
    #[case] heals: bool,
    #[case] expected_ms: &[u64],
) {
    let draws = [0.0, 0.5];
    let all: Vec<Duration> = draws
        .into_iter()
        .flat_map(|draw| {
            let reads = reads(is_right, others, draw, heals);
            assert!(reads.len() <= 1, "{reads:?}");
            reads
        })
        .collect();
    let expected = expected_ms.iter().copied().map(Duration::from_millis);
    assert_eq!(all, expected.collect::<Vec<_>>());
}

/// Guards against a line for each heartbeat of a difference that lasts.
#[test]
fn difference_is_found_once_for_each_pair_of_digests() {
    let mut check = RowsCheck::default();
    let own = report("right", 9);
    let mut found = 0;
    for tick in 0..100_u32 {
        let now = Time::ZERO + INTERVAL * tick;
        for number in 0..3 {
            let value = if tick < 50 { "wrong" } else { "other" };
            check.on_report(now, &instance(number), Some(report(value, 8)));
        }
        let verdict = check.assess(now, Some(own), 0.5);
        assert!(verdict.differs);
        found += verdict.found.len();
    }
    assert_eq!(found, 2);
}

/// Guards against false alarms: about other positions, by instances that are gone, and by builds that say nothing.
#[rstest]
#[case::other_position(Some(RowsReport { changed_at: Position::from(10), ..report("wrong", 9) }), Duration::ZERO)]
#[case::instance_is_gone(Some(report("wrong", 9)), Duration::from_secs(3))]
#[case::other_says_nothing(None, Duration::ZERO)]
fn difference_is_not_found(#[case] other: Option<RowsReport>, #[case] age: Duration) {
    let mut check = RowsCheck::default();
    check.on_report(Time::ZERO, &instance(0), other);
    let verdict = check.assess(Time::ZERO + age, Some(report("right", 9)), 0.0);
    assert!(!verdict.differs && !verdict.reads_anew, "{verdict:?}");
    let unsettled = check.assess(Time::ZERO + age, None, 0.0);
    assert!(!unsettled.differs);
}

/// Guards against reports of any numbers.
#[test]
fn report_with_any_numbers_is_compared() {
    let own = report("right", 9);
    let span = u64::MAX;
    let other = RowsReport {
        changed_at: Position::from(7),
        span,
        ..own
    };
    assert!(other.overlaps(&own) && !other.contradicts(&own));
    assert_eq!(other.position(), Position::from(u64::MAX));
}

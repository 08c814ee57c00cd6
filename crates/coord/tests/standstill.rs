//! The own process's standstills, by how late its waits ended.

use std::time::Duration;

use base::Time;
use coord::Standstills;
use rstest::rstest;

/// Guards against false alarms: a slow processor lets waits end late, and every one of them passed for a standstill.
#[rstest]
#[case::in_time(0, None)]
#[case::slow(499, None)]
#[case::stood_still(500, Some(500))]
#[case::stood_still_for_long(90_000, Some(90_000))]
fn late_wait_is_a_standstill(#[case] late_ms: u64, #[case] expected_ms: Option<u64>) {
    let due = Time::from_secs(7);
    let found = Standstills::default().on_wake(due, due + Duration::from_millis(late_ms));
    assert_eq!(found, expected_ms.map(Duration::from_millis));
}

/// Guards against silence in which nothing could have been received.
#[rstest]
#[case::before_it(0, 2_000, 2_000)]
#[case::until_its_middle(1_000, 4_000, 2_000)]
#[case::over_it(2_000, 6_000, 2_000)]
#[case::from_its_middle(4_000, 6_000, 1_000)]
#[case::after_it(5_000, 6_000, 1_000)]
#[case::over_both(1_000, 10_000, 5_000)]
fn standstills_are_no_awake_time(
    #[case] since_ms: u64,
    #[case] now_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut standstills = Standstills::default();
    standstills.on_wake(Time::from_secs(3), Time::from_secs(5));
    standstills.on_wake(Time::from_secs(8), Time::from_secs(10));
    let awake = standstills.awake_time(Time::from_millis(since_ms), Time::from_millis(now_ms));
    assert_eq!(awake, Duration::from_millis(expected_ms));
}

/// Guards against memory that grows with each standstill of a slowed process.
#[test]
fn only_the_last_standstills_are_remembered() {
    let mut standstills = Standstills::default();
    for second in 0..1_000 {
        let due = Time::from_secs(second);
        standstills.on_wake(due, due + Duration::from_millis(500));
    }
    let awake = standstills.awake_time(Time::ZERO, Time::from_secs(1_000));
    assert_eq!(awake, Duration::from_secs(992));
}

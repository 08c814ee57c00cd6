//! Bounds of how late a process reads, by its turns.

use std::time::Duration;

use base::Time;
use coord::{TURN_INTERVAL, TurnLag};
use rstest::rstest;

/// Guards against dates that change although nothing is late: timers alone end a millisecond or two after their time.
#[rstest]
#[case::in_time(0, 0, 0, 0, 0)]
#[case::by_the_timers(2, 2, 2, 0, 0)]
#[case::last_turn(0, 302, 0, 300, 300)]
#[case::both_turns(202, 302, 0, 300, 500)]
#[case::next_turn(0, 0, 702, 700, 700)]
#[case::all(202, 302, 702, 1_000, 1_200)]
fn bounds_are_sums_of_late_turns(
    #[case] before_ms: u64,
    #[case] last_ms: u64,
    #[case] next_ms: u64,
    #[case] read_ms: u64,
    #[case] handed_on_ms: u64,
) {
    let mut lag = TurnLag::default();
    let mut due = lag.on_turn(Time::from_secs(5));
    for late_ms in [before_ms, last_ms] {
        due = lag.on_turn(due + Duration::from_millis(late_ms));
    }
    let now = due + Duration::from_millis(next_ms);
    assert_eq!(lag.of_read(now), Duration::from_millis(read_ms));
    assert_eq!(lag.of_handed_on(now), Duration::from_millis(handed_on_ms));
}

/// Guards against lateness between two turns in time.
#[test]
fn nothing_is_late_before_the_next_turn() {
    let mut lag = TurnLag::default();
    assert_eq!(lag.of_handed_on(Time::from_secs(9)), Duration::ZERO);
    let due = lag.on_turn(Time::from_secs(9));
    assert_eq!(
        lag.of_handed_on(due.before(TURN_INTERVAL / 2)),
        Duration::ZERO
    );
}

//! Since when a later state has been known, over drawn reports and reads.

use std::time::Duration;

use base::{Position, Time};
use coord::{KnownChange, Lag, PositionTimes};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SEEDS: std::ops::Range<u64> = 0..300;
/// Time within which positions that become known count as known with the first.
const RESOLUTION: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Reports a change that becomes known at this moment.
fn report(lag: &mut Lag, now: Time, position: u64) {
    let change = KnownChange {
        position: Position::from(position),
        since: now,
    };
    lag.on_report(now, change);
}

/// Asserts that the time counts from the earliest of what is known beyond the own position.
fn assert_counts_from_earliest(lag: &Lag, own: u64, known: &[(u64, Time)], seed: u64) {
    let missing = known.iter().filter(|(position, _)| *position > own);
    let exact = missing.map(|(_, at)| *at).min();
    let since = lag.behind_since(true);
    assert_eq!(since.is_some(), exact.is_some(), "seed {seed}");
    if let (Some(since), Some(exact)) = (since, exact) {
        assert!(since <= exact, "seed {seed}: {since:?} for {exact:?}");
        assert!(exact - since < RESOLUTION, "seed {seed}: {since:?}");
    }
}

/// Guards against CONFIG: each version of a series began the time again at which an instance knew that it
/// was behind.
#[test]
fn series_of_versions_counts_from_the_first() {
    for step_ms in [1, 50, 100, 300, 1_000] {
        let mut lag = Lag::default();
        for number in 1..1_000 {
            report(&mut lag, at(number * step_ms), number);
        }
        assert_eq!(lag.behind_since(true), Some(at(step_ms)), "{step_ms} ms");
    }
}

/// A version that comes late leaves the time of the next one that is missing.
#[test]
fn drawn_positions_count_from_the_first_that_is_missing() {
    for seed in SEEDS {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut lag = Lag::default();
        let mut known: Vec<(u64, Time)> = Vec::new();
        let (mut now, mut own) = (0, 0);
        for _ in 0..24 {
            now += rng.random_range(0..400);
            if rng.random_range(0..3) == 0 {
                own = rng.random_range(own..own + 30);
                lag.on_position(Position::from(own));
            } else {
                let position = rng.random_range(0..100);
                report(&mut lag, at(now), position);
                if position > own {
                    known.push((position, at(now)));
                }
            }
            assert_counts_from_earliest(&lag, own, &known, seed);
        }
    }
}

/// Guards against refusals without end: after a store has gone back, others go on reporting what is lost.
#[test]
fn what_a_later_read_lacks_is_not_waited_for() {
    let mut lag = Lag::default();
    lag.on_position(Position::from(50));
    report(&mut lag, at(1_000), 100);
    lag.on_read(at(900), Position::from(60));
    assert_eq!(lag.behind_since(true), Some(at(1_000)));
    lag.on_read(at(1_100), Position::from(61));
    report(&mut lag, at(1_500), 100);
    assert_eq!(lag.behind_since(true), None);
    report(&mut lag, at(2_000), 101);
    assert_eq!(lag.behind_since(true), Some(at(2_000)));
}

#[test]
fn report_counts_while_the_state_can_be_had() {
    let mut lag = Lag::default();
    report(&mut lag, at(1_000), 7);
    assert_eq!(lag.behind_since(false), None);
    lag.on_arriving(at(1_400));
    assert_eq!(lag.behind_since(false), Some(at(1_000)));
    lag.on_read_failure(true);
    assert_eq!(lag.behind_since(false), Some(at(1_000)));
    lag.on_read_failure(false);
    assert_eq!(lag.behind_since(false), None);
    assert_eq!(lag.behind_since(true), Some(at(1_000)));
}

/// An answer that is still arriving reports a later state before others do.
#[test]
fn arriving_answer_counts_from_its_begin() {
    let mut lag = Lag::default();
    lag.on_arriving(at(1_000));
    lag.on_arriving(at(1_300));
    assert_eq!(lag.behind_since(false), Some(at(1_000)));
    lag.on_read(at(500), Position::from(7));
    assert_eq!(lag.behind_since(true), None);
}

/// Guards against CONFIG: reports counted from when they were handled, whatever they had waited.
#[test]
fn drawn_dates_count_from_the_earliest_that_is_missing() {
    for seed in SEEDS {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut lag = Lag::default();
        let mut known: Vec<(u64, Time)> = Vec::new();
        let (mut now, mut own) = (3_000, 0);
        for _ in 0..24 {
            now += rng.random_range(0..400);
            if rng.random_range(0..3) == 0 {
                own = rng.random_range(own..own + 30);
                lag.on_position(Position::from(own));
            } else {
                let position = rng.random_range(0..100);
                let since = at(now - rng.random_range(0..3_000));
                lag.on_report(
                    at(now),
                    KnownChange {
                        position: Position::from(position),
                        since,
                    },
                );
                if position > own {
                    known.push((position, since));
                }
            }
            assert_counts_from_earliest(&lag, own, &known, seed);
        }
    }
}

/// A report that comes after a read was sent isn't refuted by it, however old it is.
#[test]
fn read_refutes_only_what_was_reported_before_it_was_sent() {
    let mut lag = Lag::default();
    let change = KnownChange {
        position: Position::from(100),
        since: at(500),
    };
    lag.on_report(at(1_100), change);
    lag.on_read(at(1_000), Position::from(60));
    assert_eq!(lag.behind_since(true), Some(at(500)));
    lag.on_read(at(1_200), Position::from(61));
    assert_eq!(lag.behind_since(true), None);
}

/// Positions that are forgotten keep the time of the first.
#[test]
fn many_positions_take_bounded_memory() {
    let mut known = PositionTimes::default();
    for number in 1..100_000 {
        known.record(at(number * 200), Position::from(number));
    }
    assert_eq!(known.first_after(Position::ZERO), Some(at(200)));
    assert!(known.first_after(Position::from(99_990)) >= Some(at(99_990 * 200)));
}

/// Guards against CONFIG: a change that a read during a transfer had shown was forgotten as the transfer was complete, and
/// dated by the read that brought it.
#[test]
fn shown_change_counts_until_it_is_here() {
    let shown = KnownChange {
        position: Position::from(20),
        since: at(1_500),
    };
    let mut lag = Lag::default();
    lag.on_arriving(at(1_000));
    lag.on_shown(at(1_600), shown);
    assert_eq!(lag.behind_since(false), Some(at(1_000)));
    // The transfer brings a change before it.
    assert_eq!(lag.known_since(Position::from(20)), Some(at(1_000)));
    lag.on_last_change(Position::from(20));
    lag.on_read(at(900), Position::from(20));
    assert_eq!(lag.behind_since(false), Some(at(1_500)));
    lag.on_arriving(at(3_000));
    assert_eq!(lag.behind_since(false), Some(at(1_500)));
    assert_eq!(lag.known_since(Position::from(25)), Some(at(1_500)));
    lag.on_last_change(Position::from(25));
    lag.on_read(at(2_900), Position::from(26));
    assert_eq!(lag.behind_since(true), None);
}

/// Guards against refusals for nothing: a shown change that a later read doesn't bring was undone, and in an outage of the
/// store nobody can have it.
#[test]
fn shown_change_counts_only_while_it_can_be_had() {
    let shown = KnownChange {
        position: Position::from(20),
        since: at(1_500),
    };
    let mut lag = Lag::default();
    lag.on_shown(at(1_600), shown);
    lag.on_read_failure(true);
    assert_eq!(lag.behind_since(false), Some(at(1_500)));
    lag.on_read_failure(false);
    assert_eq!(lag.behind_since(false), None);
    assert_eq!(lag.behind_since(true), Some(at(1_500)));
    lag.on_arriving(at(3_000));
    assert_eq!(lag.behind_since(false), Some(at(1_500)));
    lag.on_read(at(2_900), Position::from(20));
    assert_eq!(lag.behind_since(true), None);
}

/// Guards against refusals for nothing: a fetch from another instance brings a change before a read during the transfer shows
/// it.
#[test]
fn change_that_is_here_is_not_shown() {
    let mut lag = Lag::default();
    lag.on_last_change(Position::from(25));
    let change = |version| KnownChange {
        position: Position::from(version),
        since: at(1_500),
    };
    lag.on_shown(at(1_600), change(20));
    assert_eq!(lag.behind_since(true), None);
    lag.on_shown(at(1_600), change(25));
    assert_eq!(lag.behind_since(true), Some(at(1_500)));
}

/// The dates of shown changes are kept in bounded memory, the first ones of each position.
#[test]
fn shown_changes_count_from_the_first_one() {
    let mut lag = Lag::default();
    for n in 0..1_000 {
        let (position, since) = (20 + n % 100, at(5_000 - n));
        lag.on_shown(
            at(6_000),
            KnownChange {
                position: Position::from(position),
                since,
            },
        );
    }
    let first = lag.shown().unwrap();
    assert!(first.since <= at(5_000 - 900), "{first:?}");
}

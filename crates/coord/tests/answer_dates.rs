//! When a store's answers were made, by its clock and over drawn ways.

use std::time::Duration;

use base::Time;
use coord::{Answer, AnswerDates};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

/// Longest way from the store that no disturbance makes longer.
const WAY_MS: u64 = 55;
/// Rest for the drift of the clocks in a minute.
const DRIFT_MS: u64 = 10;

/// A store that is asked again and again, and the times at which its answers were made.
struct Store {
    rng: Pcg32,
    dates: AnswerDates,
    now_ms: u64,
    /// Reading of its clock at the time zero.
    clock_ms: i64,
    /// Own milliseconds in a million by which its clock is faster.
    drift: i64,
}

impl Store {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        Self {
            dates: AnswerDates::default(),
            now_ms: rng.random_range(0..100_000),
            clock_ms: rng.random_range(100_000..10_000_000),
            drift: rng.random_range(-100..100),
            rng,
        }
    }

    /// Asks the store, which answers after `wait_ms`, and returns when the answer was made, by its date and
    /// truly, and when the call was sent.
    fn ask(&mut self, wait_ms: u64, held_up_ms: u64) -> (u64, u64, u64) {
        let sent_ms = self.now_ms;
        let made_ms = sent_ms + self.rng.random_range(1..WAY_MS) + wait_ms;
        let arrived_ms = made_ms + self.rng.random_range(1..WAY_MS) + held_up_ms;
        self.now_ms = arrived_ms + 100;
        let own_ms = made_ms as i64;
        let reading_ms = self.clock_ms + own_ms + own_ms * self.drift / 1_000_000;
        let date = self.dates.date(Answer {
            sent_at: Time::from_millis(sent_ms),
            arrived_at: Time::from_millis(arrived_ms),
            reading: Some(Duration::from_millis(reading_ms as u64)),
            has_waited: wait_ms > 0,
        });
        (date.as_micros() / 1_000, made_ms, sent_ms)
    }
}

/// Guards against DENIED: an answer that was held up counted as made when it came.
#[test]
fn answers_are_dated_when_they_were_made() {
    for seed in 0..300 {
        let mut store = Store::new(seed);
        store.ask(0, 0);
        for count in 0..300 {
            let wait_ms = store.rng.random_range(0..2_000);
            let is_held_up = store.rng.random::<f64>() < 0.3;
            let held_up_ms = if is_held_up {
                store.rng.random_range(0..8_000)
            } else {
                0
            };
            let (date_ms, made_ms, sent_ms) = store.ask(wait_ms, held_up_ms);
            let latest = made_ms + WAY_MS + DRIFT_MS;
            let told = (seed, count, date_ms, made_ms, sent_ms);
            assert!(date_ms <= latest, "too late: {told:?}");
            assert!(
                date_ms + DRIFT_MS >= made_ms.max(sent_ms),
                "too early: {told:?}"
            );
        }
    }
}

/// Guards against an answer that dates others although it was held up itself.
#[test]
fn first_answer_that_is_held_up_is_dated_by_its_call() {
    let mut store = Store::new(1);
    let (date_ms, _, sent_ms) = store.ask(0, 5_000);
    assert_eq!(date_ms, sent_ms);
    let (date_ms, _, sent_ms) = store.ask(1_300, 0);
    assert_eq!(date_ms, sent_ms);
    let (date_ms, made_ms, _) = store.ask(1_300, 5_000);
    assert!(date_ms >= made_ms && date_ms <= made_ms + WAY_MS);
}

/// Guards against refusals that are put off for a minute after a store has started again.
#[rstest]
#[case::lower(-90_000)]
#[case::a_little_lower(-2_500)]
#[case::higher(3_600_000)]
fn clock_that_jumps_is_followed(#[case] by_ms: i64) {
    let mut store = Store::new(2);
    for _ in 0..10 {
        store.ask(1_300, 0);
    }
    store.clock_ms += by_ms;
    store.ask(1_300, 0);
    for _ in 0..10 {
        let (date_ms, made_ms, _) = store.ask(1_300, 0);
        assert!(date_ms >= made_ms && date_ms <= made_ms + WAY_MS);
    }
}

/// Guards against dates by a clock that isn't told: the call is all that is known.
#[test]
fn answer_without_a_clock_is_dated_by_its_call() {
    let answer = Answer {
        sent_at: Time::from_secs(1),
        arrived_at: Time::from_secs(2),
        reading: None,
        has_waited: true,
    };
    assert_eq!(AnswerDates::default().date(answer), answer.sent_at);
}

//! When a store's answers were made, by its clock and over drawn ways of calls and answers.

use std::time::Duration;

use base::Time;
use coord::{Answer, AnswerDates};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

/// Longest way to or from the store that no disturbance makes longer.
const WAY_MS: u64 = 55;
/// Rest for the drift of the clocks.
const DRIFT_MS: u64 = 10;
/// Most by which an answer may be dated too early unless the dates are said to be uncertain: polls leave so much of
/// the time for which a confirmation allows refusals.
const MAX_EARLY_MS: u64 = 150;

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
    fn ask(&mut self, wait_ms: u64, held_up_ms: u64) -> Dated {
        self.ask_late(0, wait_ms, held_up_ms)
    }

    /// The same with a call that is held up for `late_ms`.
    fn ask_late(&mut self, late_ms: u64, wait_ms: u64, held_up_ms: u64) -> Dated {
        let sent_ms = self.now_ms;
        let made_ms = sent_ms + self.rng.random_range(1..WAY_MS) + late_ms + wait_ms;
        let arrived_ms = made_ms + self.rng.random_range(1..WAY_MS) + held_up_ms;
        self.now_ms = arrived_ms + 100;
        let own_ms = made_ms as i64;
        let reading_ms = self.clock_ms + own_ms + own_ms * self.drift / 1_000_000;
        let date = self.dates.date(Answer {
            sent_at: Time::from_millis(sent_ms),
            arrived_at: Time::from_millis(arrived_ms),
            reading: Some(Duration::from_millis(reading_ms as u64)),
        });
        Dated {
            date_ms: date.as_micros() / 1_000,
            made_ms,
            sent_ms,
        }
    }

    fn is_uncertain(&self) -> bool {
        self.dates.is_uncertain(Time::from_millis(self.now_ms))
    }

    /// Returns how long a poll waits, as a reader asks.
    fn draw_wait(&mut self) -> u64 {
        if self.is_uncertain() {
            0
        } else {
            self.rng.random_range(0..2_000)
        }
    }

    /// Returns for how long something is held up, by a chance.
    fn draw_hold_up(&mut self, chance: f64, max_ms: u64) -> u64 {
        let is_held_up = self.rng.random::<f64>() < chance;
        let held_up_ms = self.rng.random_range(0..max_ms);
        if is_held_up { held_up_ms } else { 0 }
    }
}

/// When an answer was made, by its date and truly, and when its call was sent.
#[derive(Debug)]
struct Dated {
    date_ms: u64,
    made_ms: u64,
    sent_ms: u64,
}

impl Dated {
    fn is_too_late(&self) -> bool {
        self.date_ms > self.made_ms + DRIFT_MS
    }

    fn is_too_early(&self) -> bool {
        self.date_ms + MAX_EARLY_MS < self.made_ms || self.date_ms < self.sent_ms
    }
}

/// Guards against DENIED: an answer that was held up counted as made when it came.
#[test]
fn answers_are_dated_when_they_were_made() {
    for seed in 0..300 {
        let mut store = Store::new(seed);
        store.ask(0, 0);
        for count in 0..300 {
            let wait_ms = store.draw_wait();
            let held_up_ms = store.draw_hold_up(0.3, 8_000);
            let dated = store.ask(wait_ms, held_up_ms);
            assert!(!dated.is_too_late(), "{seed}, {count}: {dated:?}");
            assert!(!dated.is_too_early(), "{seed}, {count}: {dated:?}");
        }
    }
}

/// Guards against DENIED: where the first answers were late, later ones counted as made when they came.
#[rstest]
#[case::answers_are_late(0.0, 1.0)]
#[case::calls_are_late(1.0, 0.0)]
#[case::both_are_late(0.6, 0.6)]
fn first_answers_date_no_later_ones_too_late(#[case] calls: f64, #[case] answers: f64) {
    for seed in 0..300 {
        let mut store = Store::new(seed);
        let late_count = store.rng.random_range(1..10);
        for count in 0..60 {
            let share = if count < late_count { 1.0 } else { 0.1 };
            let wait_ms = if count == 0 { 0 } else { store.draw_wait() };
            let late_ms = store.draw_hold_up(calls * share, 3_000);
            let held_up_ms = store.draw_hold_up(answers * share, 3_000);
            let dated = store.ask_late(late_ms, wait_ms, held_up_ms);
            assert!(!dated.is_too_late(), "{seed}, {count}: {dated:?}");
            let is_early = !store.is_uncertain() && dated.is_too_early();
            assert!(!is_early, "{seed}, {count}: {dated:?}");
        }
        assert!(!store.is_uncertain(), "{seed}");
    }
}

/// Guards against an answer that dates others although it was held up itself.
#[test]
fn first_answer_that_is_held_up_is_dated_by_its_call() {
    let mut store = Store::new(1);
    let first = store.ask(0, 5_000);
    assert_eq!(first.date_ms, first.sent_ms);
    for held_up_ms in [0, 5_000] {
        let dated = store.ask(1_300, held_up_ms);
        assert!(!dated.is_too_late() && !dated.is_too_early(), "{dated:?}");
    }
}

/// Guards against refusals that are put off for a minute after a store has started again, and against DENIED
/// meanwhile.
#[rstest]
#[case::lower(-90_000)]
#[case::a_little_lower(-2_500)]
#[case::higher(3_600_000)]
fn clock_that_jumps_is_followed(#[case] by_ms: i64, #[values(0, 2_000)] held_up_ms: u64) {
    let mut store = Store::new(2);
    for _ in 0..10 {
        store.ask(1_300, 0);
    }
    store.clock_ms += by_ms;
    for _ in 0..2 {
        let dated = store.ask(1_300, held_up_ms);
        assert!(!dated.is_too_late(), "{dated:?}");
    }
    assert!(store.is_uncertain());
    store.ask(0, 0);
    for _ in 0..10 {
        let dated = store.ask(1_300, 0);
        assert!(!dated.is_too_late() && !dated.is_too_early(), "{dated:?}");
    }
}

/// Guards against dates by a clock that isn't reported: the call is all that is known.
#[test]
fn answer_without_a_clock_is_dated_by_its_call() {
    let answer = Answer {
        sent_at: Time::from_secs(1),
        arrived_at: Time::from_secs(2),
        reading: None,
    };
    assert_eq!(AnswerDates::default().date(answer), answer.sent_at);
}

//! The rate limit of log lines: a burst, a steady rate, and a part that only failures may use.

use std::{thread, time::Duration};

use record::LineLimiter;

const LINES_PER_S: f64 = 8.0;
/// Fraction of a second that all times are multiples of, so that tokens are exact in binary.
const STEPS_PER_S: u64 = 64;
const THREADS: usize = 4;
const LINES_PER_THREAD: usize = 10_000;
const DRAWN_LINES: usize = 20_000;

/// Returns the next of a sequence of pseudo-random numbers.
fn draw(state: &mut u64) -> u64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    *state >> 33
}

#[test]
fn limiter_admits_what_a_bucket_of_tokens_does() {
    let limiter = LineLimiter::new(LINES_PER_S);
    let (mut tokens, mut steps, mut suppressed, mut state) = (LINES_PER_S, 0, 0, 1);
    for line in 0..DRAWN_LINES {
        let elapsed = draw(&mut state) % 16;
        let is_failure = draw(&mut state).is_multiple_of(2);
        steps += elapsed;
        tokens = LINES_PER_S.min(tokens + elapsed as f64 * LINES_PER_S / STEPS_PER_S as f64);
        let reserve = if is_failure { 0.0 } else { LINES_PER_S / 2.0 };
        let is_admitted = tokens >= reserve + 1.0;
        if is_admitted {
            tokens -= 1.0;
        } else {
            suppressed += 1;
        }
        let now = Duration::from_secs_f64(steps as f64 / STEPS_PER_S as f64);
        let found = limiter.admit(now, is_failure);
        assert_eq!(found, is_admitted, "line {line} at {now:?}: {tokens}");
    }
    assert_eq!(limiter.take_suppressed(), suppressed);
    assert_eq!(limiter.take_suppressed(), 0);
}

#[test]
fn limiter_shared_by_threads_admits_one_burst() {
    let limiter = LineLimiter::new(400.0);
    let admitted: usize = thread::scope(|scope| {
        let count = || {
            let lines = (0..LINES_PER_THREAD).filter(|_| limiter.admit(Duration::ZERO, true));
            lines.count()
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(count)).collect();
        let counts = threads.into_iter().map(|thread| thread.join().unwrap());
        counts.sum()
    });
    assert_eq!(admitted, 400);
    let suppressed = THREADS * LINES_PER_THREAD - admitted;
    assert_eq!(limiter.take_suppressed(), suppressed as u64);
}

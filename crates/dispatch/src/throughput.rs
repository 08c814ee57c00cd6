//! The rate at which answers come while requests are waiting.

use std::time::Duration;

use base::Time;

/// Measures answers per second over the times in which a queue was not empty.
#[derive(Debug, Clone, Default)]
pub(crate) struct Throughput {
    per_s: Option<f64>,
    window: Option<Window>,
}

#[derive(Debug, Clone, Copy)]
struct Window {
    start: Time,
    answers: u32,
}

const WINDOW: Duration = Duration::from_millis(200);
const GAIN: f64 = 0.3;

impl Throughput {
    /// Records an answer; `is_waiting` tells whether requests wait.
    pub(crate) fn answered(&mut self, now: Time, is_waiting: bool) {
        if !is_waiting {
            self.window = None;
            return;
        }
        let window = self.window.get_or_insert(Window {
            start: now,
            answers: 0,
        });
        window.answers += 1;
        let passed = now - window.start;
        if passed < WINDOW {
            return;
        }
        let sample = f64::from(window.answers) / passed.as_secs_f64();
        let old = self.per_s.unwrap_or(sample);
        self.per_s = Some(old + GAIN * (sample - old));
        self.window = None;
    }

    /// Returns how long it takes until `count` more answers have come, where that is known.
    pub(crate) fn time_for(&self, count: usize) -> Option<Duration> {
        let per_s = self.per_s.filter(|per_s| *per_s > 0.0)?;
        Some(Duration::from_secs_f64(count as f64 / per_s))
    }
}

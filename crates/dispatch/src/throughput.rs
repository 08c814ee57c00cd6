//! The rate of responses while requests are queued.

use std::time::Duration;

use base::Time;

/// Measures responses per second over the periods in which the queue is not empty.
#[derive(Debug, Clone, Default)]
pub(crate) struct Throughput {
    per_s: Option<f64>,
    window: Option<Window>,
}

#[derive(Debug, Clone, Copy)]
struct Window {
    start: Time,
    responses: u32,
}

/// Minimum length of one sample.
const WINDOW: Duration = Duration::from_millis(200);
/// Weight of each sample in the exponentially weighted rate.
const GAIN: f64 = 0.3;

impl Throughput {
    /// Records a response; `has_queued` says whether requests are queued.
    pub(crate) fn record_response(&mut self, now: Time, has_queued: bool) {
        if !has_queued {
            self.window = None;
            return;
        }
        let window = self.window.get_or_insert(Window {
            start: now,
            responses: 0,
        });
        window.responses += 1;
        let elapsed = now - window.start;
        if elapsed < WINDOW {
            return;
        }
        let sample = f64::from(window.responses) / elapsed.as_secs_f64();
        let old = self.per_s.unwrap_or(sample);
        self.per_s = Some(old + GAIN * (sample - old));
        self.window = None;
    }

    /// Returns the expected time until `count` more responses, or `None` before the first sample.
    pub(crate) fn time_for(&self, count: usize) -> Option<Duration> {
        let per_s = self.per_s.filter(|per_s| *per_s > 0.0)?;
        Some(Duration::from_secs_f64(count as f64 / per_s))
    }
}

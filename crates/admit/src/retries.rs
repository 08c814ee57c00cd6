//! When refused callers of one workspace are asked to retry.

use std::time::Duration;

use base::Time;

/// Spreads the retries of one workspace's refused requests along the rate at which it is served.
///
/// Each refused request gets the next place in line, one for each token that is expected. Once all places are taken, the
/// requests that follow are spread evenly over the same time.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetrySchedule {
    /// Time of the next free place.
    next: Time,
    /// Position of the last request without a place in its window, as a fraction of 2^32.
    position: u32,
}

/// Maximum time after the next expected token at which a caller is asked to retry.
const MAX_SPREAD: Duration = Duration::from_secs(5);
/// Fraction of the time left to a request over which its retry is spread, so that time is left for the run, and for one more
/// refusal.
const SPREAD_FRACTION: f64 = 1.0 / 3.0;
/// Step between two positions, 2^32 divided by the golden ratio: any number of steps in a row is spread evenly.
const POSITION_STEP: u32 = 0x9E37_79B9;

impl RetrySchedule {
    /// Returns the delay after which the caller of a refused request is asked to retry.
    ///
    /// `first` is the delay until the next token is expected, `rate` the tokens expected per second from then on, and `left`
    /// the time left to the request.
    pub(crate) fn next_delay(
        &mut self,
        now: Time,
        first: Duration,
        rate: f64,
        left: Duration,
    ) -> Duration {
        let spread = left.mul_f64(SPREAD_FRACTION).min(MAX_SPREAD);
        let place = self.next.max(now + first);
        if place <= now + first + spread {
            let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_SPREAD);
            self.next = place + interval.min(MAX_SPREAD);
            return place - now;
        }
        self.position = self.position.wrapping_add(POSITION_STEP);
        first + spread.mul_f64(f64::from(self.position) / 2f64.powi(32))
    }
}

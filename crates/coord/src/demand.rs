//! An estimate of the demand on one holder.

use base::Time;

/// Estimates requests per second over the last second or so.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    per_s: f64,
    at: Time,
}

const DEMAND_WINDOW_S: f64 = 0.5;

impl Demand {
    pub(crate) fn record(&mut self, now: Time) {
        self.decay(now);
        self.per_s += 1.0 / DEMAND_WINDOW_S;
    }

    pub(crate) fn per_second(&mut self, now: Time) -> f64 {
        self.decay(now);
        self.per_s
    }

    fn decay(&mut self, now: Time) {
        let passed = (now - self.at).as_secs_f64();
        self.per_s *= (-passed / DEMAND_WINDOW_S).exp();
        self.at = self.at.max(now);
    }
}

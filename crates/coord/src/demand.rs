//! An estimate of the request rate that reaches one holder.

use base::Time;

/// Estimates requests per second as an exponentially weighted moving average.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandEstimate {
    per_s: f64,
    updated_at: Time,
}

const TIME_CONSTANT_S: f64 = 0.5;

impl DemandEstimate {
    pub(crate) fn record_request(&mut self, now: Time) {
        self.decay(now);
        self.per_s += 1.0 / TIME_CONSTANT_S;
    }

    pub(crate) fn per_second(&mut self, now: Time) -> f64 {
        self.decay(now);
        self.per_s
    }

    fn decay(&mut self, now: Time) {
        let elapsed_s = (now - self.updated_at).as_secs_f64();
        self.per_s *= (-elapsed_s / TIME_CONSTANT_S).exp();
        self.updated_at = self.updated_at.max(now);
    }
}

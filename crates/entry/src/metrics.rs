//! Prometheus metrics of an instance.

use std::time::Duration;

use prometheus::{
    Encoder, Error, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use record::lines::AttemptLine;

const MS_PER_S: f64 = 1_000.0;
/// Upper bounds, in seconds, of the ages of configurations that refuse requests.
const REFUSAL_AGE_BUCKETS: [f64; 10] = [0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0];
/// Upper bounds, in seconds, of the times by which the process is late.
const LATE_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];
/// Client errors that promise that the request hasn't run, so that its caller may send it again.
const REPEATABLE_STATUSES: [u16; 3] = [408, 421, 429];

/// Counts and times the requests of one instance and exports the metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and result: `ok`, or the kind of error.
    pub requests: IntCounterVec,
    /// Seconds from a request's arrival to its response, by service.
    pub request_seconds: HistogramVec,
    /// Attempts by service, reason for the choice of target, and result.
    pub attempts: IntCounterVec,
    /// Seconds that answered attempts took, by service and reason for the choice of target, since
    /// an object's preferred target is usually warm and others are usually cold.
    pub attempt_seconds: HistogramVec,
    /// Seconds since the configuration that decided was last known to be the latest, by the kind of error,
    /// of requests that callers don't send again.
    pub refusal_config_age: HistogramVec,
    /// Seconds by which the process is late, by part.
    pub late_seconds: HistogramVec,
    /// Gauges of the instance's state, by name; alarms are based on them.
    pub gauges: IntGaugeVec,
}

impl Metrics {
    /// Registers the metrics, all zero, in a new registry.
    ///
    /// # Errors
    ///
    /// [`Error`] if a metric can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new(
                "godwitgauge_requests_total",
                "Requests by service and end: ok, or the kind of error.",
            ),
            &["service", "end"],
        )?;
        let request_seconds = HistogramVec::new(
            HistogramOpts::new(
                "godwitgauge_request_seconds",
                "Seconds from a request's arrival to its answer.",
            )
            .buckets(prometheus::exponential_buckets(0.000_25, 2.0, 16)?),
            &["service"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new(
                "godwitgauge_attempts_total",
                "Attempts by service, why their target was chosen, and how they ended.",
            ),
            &["service", "reason", "end"],
        )?;
        let attempt_seconds = HistogramVec::new(
            HistogramOpts::new(
                "godwitgauge_attempt_seconds",
                "Seconds that answered attempts took.",
            )
            .buckets(prometheus::exponential_buckets(0.001, 2.0, 14)?),
            &["service", "reason"],
        )?;
        let refusal_config_age = HistogramVec::new(
            HistogramOpts::new(
                "godwitgauge_refusal_config_age_seconds",
                "Seconds since the configuration that refused a request for good was last known to be the latest.",
            )
            .buckets(REFUSAL_AGE_BUCKETS.to_vec()),
            &["end"],
        )?;
        let late_seconds = HistogramVec::new(
            HistogramOpts::new(
                "godwitgauge_late_seconds",
                "Seconds by which turns of this process came late, by part.",
            )
            .buckets(LATE_BUCKETS.to_vec()),
            &["part"],
        )?;
        let gauges = IntGaugeVec::new(
            Opts::new("godwitgauge_fact", "Facts that alarms are built on."),
            &["name"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(request_seconds.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(attempt_seconds.clone()))?;
        registry.register(Box::new(refusal_config_age.clone()))?;
        registry.register(Box::new(late_seconds.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self {
            registry,
            requests,
            request_seconds,
            attempts,
            attempt_seconds,
            refusal_config_age,
            late_seconds,
            gauges,
        })
    }

    /// Counts one ended attempt of a request for `service`.
    pub(crate) fn count_attempt(&self, service: &str, attempt: &AttemptLine) {
        let labels = [service, attempt.reason.as_str(), attempt.end];
        self.attempts.with_label_values(&labels).inc();
        if attempt.end == "answered" {
            self.attempt_seconds
                .with_label_values(&[service, attempt.reason.as_str()])
                .observe(attempt.took_ms as f64 / MS_PER_S);
        }
    }

    /// Records a refusal by a configuration that was last known to be the latest `age` ago, if its status is a
    /// redirection or a client error after which callers don't try again.
    pub fn record_refusal(&self, end: &str, status: u16, age: Option<Duration>) {
        if let Some(age) = age.filter(|_| is_final(status)) {
            self.refusal_config_age
                .with_label_values(&[end])
                .observe(age.as_secs_f64());
        }
    }

    /// Sets an alarm gauge to 1 or 0.
    pub fn set_alarm(&self, name: &str, is_on: bool) {
        self.gauges.with_label_values(&[name]).set(i64::from(is_on));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        let encoder = TextEncoder::new();
        if encoder.encode(&self.registry.gather(), &mut buf).is_err() {
            return String::new();
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}

/// Returns whether a status of a refusal asks callers not to retry.
pub(crate) fn is_final(status: u16) -> bool {
    (300..500).contains(&status) && !REPEATABLE_STATUSES.contains(&status)
}

//! Prometheus metrics of an instance.

use prometheus::{
    Encoder, Error, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use record::lines::AttemptLine;

const MS_PER_S: f64 = 1_000.0;

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
        let gauges = IntGaugeVec::new(
            Opts::new("godwitgauge_fact", "Facts that alarms are built on."),
            &["name"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(request_seconds.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(attempt_seconds.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self {
            registry,
            requests,
            request_seconds,
            attempts,
            attempt_seconds,
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

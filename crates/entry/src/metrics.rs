//! Counters and histograms in Prometheus form.

use prometheus::{
    Encoder, Error, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Holds the metrics of one instance.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and end: `ok`, or the kind of error.
    pub requests: IntCounterVec,
    /// Seconds from a request's arrival to its answer, by service.
    pub latency: HistogramVec,
    /// Facts that alarms are built on, by name.
    pub facts: IntGaugeVec,
}

impl Metrics {
    /// Returns metrics that are all zero.
    ///
    /// # Errors
    ///
    /// [`Error`] where a metric can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new(
                "godwitgauge_requests_total",
                "Requests by service and end: ok, or the kind of error.",
            ),
            &["service", "end"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "godwitgauge_request_seconds",
                "Seconds from a request's arrival to its answer.",
            )
            .buckets(prometheus::exponential_buckets(0.000_25, 2.0, 16)?),
            &["service"],
        )?;
        let facts = IntGaugeVec::new(
            Opts::new("godwitgauge_fact", "Facts that alarms are built on."),
            &["name"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(facts.clone()))?;
        Ok(Self {
            registry,
            requests,
            latency,
            facts,
        })
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        let encoder = TextEncoder::new();
        if encoder.encode(&self.registry.gather(), &mut buf).is_err() {
            return String::new();
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}

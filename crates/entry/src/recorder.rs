//! Rate-limited log lines about requests.

use std::sync::Arc;

use base::{InstanceId, Refusal, RegionId, Time};
use http::HeaderMap;
use record::{LineLimiter, Sink, lines::RequestLine};

use crate::{
    dialect::Dialect,
    forward::TargetResponse,
    request_log::{RequestLog, homes},
    trace::Trace,
    view::Clock,
};

/// Maximum number of request log lines per second.
pub const MAX_LINES_PER_S: f64 = 400.0;

/// Names an own read as what confirmed a configuration.
const OWN_READ: &str = "platform";

/// Writes a log line for each request; without a sink, which is the default, it writes nothing.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    output: Option<Output>,
}

#[derive(Debug, Clone)]
struct Output {
    sink: Sink,
    instance: InstanceId,
    region: RegionId,
    limiter: Arc<LineLimiter>,
}

impl Recorder {
    /// Returns a recorder that writes to `sink`.
    pub fn new(sink: Sink, instance: InstanceId, region: RegionId) -> Self {
        let limiter = Arc::new(LineLimiter::new(MAX_LINES_PER_S));
        Self {
            output: Some(Output {
                sink,
                instance,
                region,
                limiter,
            }),
        }
    }

    /// Returns where a line may be written now, or counts it as suppressed.
    fn admit(&self, now: Time, end: &str) -> Option<&Output> {
        let output = self.output.as_ref()?;
        if output.limiter.admit(now - Time::ZERO, end != "ok") {
            return Some(output);
        }
        let suppressed = output.limiter.take_suppressed();
        output.sink.count_suppressed(suppressed);
        None
    }
}

/// Writes a request's log line when it ends, or on drop if the caller disconnects first.
#[derive(Debug)]
pub(crate) struct RequestLineGuard {
    recorder: Recorder,
    dialect: Arc<Dialect>,
    clock: Clock,
    id: String,
    log: RequestLog,
    is_written: bool,
}

impl RequestLineGuard {
    pub(crate) fn new(
        recorder: Recorder,
        dialect: Arc<Dialect>,
        clock: Clock,
        id: String,
        log: RequestLog,
    ) -> Self {
        Self {
            recorder,
            dialect,
            clock,
            id,
            log,
            is_written: false,
        }
    }

    pub(crate) fn finish(&mut self, end: &str, result: &Result<TargetResponse, Refusal>) {
        self.is_written = true;
        let (status, retry_after) = match result {
            Ok(response) => (response.status.as_u16(), None),
            Err(refusal) => (self.dialect.status(refusal.kind), Some(refusal.retry_after)),
        };
        let retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
        self.write(end, status, retry_after_ms);
    }

    fn write(&self, end: &str, status: u16, retry_after_ms: Option<u64>) {
        if self.recorder.output.is_none() {
            return;
        }
        let now = self.clock.now();
        let Some(output) = self.recorder.admit(now, end) else {
            return;
        };
        self.log.with(|state| {
            state.add_sendings();
            let info = state.info.as_ref();
            let config = state.config.as_ref();
            let confirmation = config.and_then(|config| config.confirmation.as_ref());
            let line = RequestLine {
                event: "request",
                at_ms: now.as_micros() / 1_000,
                id: &self.id,
                instance: output.instance.as_str(),
                region: output.region.as_str(),
                route: info.map_or("", |info| &info.route),
                service: info.map_or("", |info| info.service.as_str()),
                workspace: info.map_or("", |info| info.workspace.as_str()),
                revision: config.map_or(0, |config| config.revision),
                version: config.and_then(|config| config.version),
                config_age_ms: state.config_age().map(|age| age.as_millis() as u64),
                rows_age_ms: confirmation
                    .map(|confirmation| (state.started - confirmation.at).as_millis() as u64),
                confirmed_by: confirmation.map(|confirmation| {
                    let by = confirmation.by.as_ref();
                    by.map_or(OWN_READ, |instance| instance.as_str())
                }),
                era: confirmation.map(|known| known.era).filter(|era| *era > 0),
                unwritten_ms: confirmation
                    .and_then(|known| known.unwritten_until)
                    .map(|until| (until - state.started).as_millis() as u64),
                homes: info.and_then(|info| homes(&info.allowed_regions)),
                object: info.and_then(|info| info.affinity),
                late_ms: Some(state.late.as_millis() as u64).filter(|late| *late > 0),
                deadline_ms: info
                    .map_or(0, |info| (info.deadline - state.started).as_millis() as u64),
                objective_ms: info.map_or(0, |info| {
                    (info.objective_deadline - state.started).as_millis() as u64
                }),
                attempts: &state.attempts,
                candidates: &state.candidates,
                end,
                status,
                took_ms: (now - state.started).as_millis() as u64,
                retry_after_ms,
            };
            output.sink.write_json(&line);
        });
    }
}

/// Returns the ID by which a caller names its request: that of its attempt or, if the dialect has none
/// and returns traces, that of the trace.
pub(crate) fn request_id(dialect: &Dialect, headers: &HeaderMap, trace: &Trace) -> String {
    match &dialect.attempt_id {
        Some(name) => {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        }
        None if dialect.propagates_traces => trace.id(),
        None => String::new(),
    }
}

impl Drop for RequestLineGuard {
    fn drop(&mut self) {
        if !self.is_written {
            self.write("caller_left", 0, None);
        }
    }
}

//! Lines about requests, within a volume.

use std::sync::{Arc, Mutex};

use base::{InstanceId, Refusal, Time};
use record::{LineLimiter, Sink, lines::RequestLine};
use salvo::http::Request;

use crate::{
    callers::CallerHandler, dialect::Dialect, forward::TargetResponse, request_log::RequestLog,
    view::Clock,
};

/// Lines about requests that are written in one second at most.
pub const MAX_LINES_PER_S: f64 = 400.0;

/// Writes lines about requests; one without a sink writes none.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    output: Option<Output>,
}

#[derive(Debug, Clone)]
struct Output {
    sink: Sink,
    instance: InstanceId,
    volume: Arc<Mutex<LineLimiter>>,
}

impl Recorder {
    /// Returns a recorder that writes to `sink`.
    pub fn new(sink: Sink, instance: InstanceId) -> Self {
        let volume = Arc::new(Mutex::new(LineLimiter::new(MAX_LINES_PER_S)));
        Self {
            output: Some(Output {
                sink,
                instance,
                volume,
            }),
        }
    }

    fn write<'a>(&'a self, now: Time, mut line: RequestLine<'a>) {
        let Some(output) = &self.output else {
            return;
        };
        let Ok(mut volume) = output.volume.lock() else {
            return;
        };
        if volume.admit(now - Time::ZERO, line.end != "ok") {
            line.instance = output.instance.as_str();
            output.sink.write_json(&line);
        } else {
            output.sink.count_suppressed(volume.take_suppressed());
        }
    }
}

/// Writes a request's line when it ends, or when its caller has left.
#[derive(Debug)]
pub(crate) struct Unfinished {
    recorder: Recorder,
    dialect: Arc<Dialect>,
    clock: Clock,
    id: String,
    story: RequestLog,
    is_written: bool,
}

impl Unfinished {
    pub(crate) fn new(shared: &CallerHandler, req: &Request, story: RequestLog) -> Self {
        let attempt_id = shared.dialect.attempt_id.as_ref();
        let id = attempt_id.and_then(|name| req.headers().get(name)?.to_str().ok());
        Self {
            recorder: shared.recorder.clone(),
            dialect: shared.dialect.clone(),
            clock: shared.clock,
            id: id.unwrap_or_default().to_owned(),
            story,
            is_written: false,
        }
    }

    pub(crate) fn end(&mut self, end: &str, result: &Result<TargetResponse, Refusal>) {
        self.is_written = true;
        let (status, retry) = match result {
            Ok(whole) => (whole.status.as_u16(), None),
            Err(refusal) => (self.dialect.status(refusal.kind), Some(refusal.retry_after)),
        };
        let retry_after_ms = retry.map(|wait| wait.as_millis() as u64);
        self.write(end, status, retry_after_ms);
    }

    fn write(&self, end: &str, status: u16, retry_after_ms: Option<u64>) {
        if self.recorder.output.is_none() {
            return;
        }
        let now = self.clock.now();
        self.story.with(|told| {
            let about = told.about.as_ref();
            let line = RequestLine {
                event: "request",
                at_ms: now.as_micros() / 1_000,
                id: &self.id,
                route: about.map_or("", |about| &about.route),
                service: about.map_or("", |about| about.service.as_str()),
                workspace: about.map_or("", |about| about.workspace.as_str()),
                revision: about.map_or(0, |about| about.revision),
                object: about.and_then(|about| about.object),
                deadline_ms: about.map_or(0, |about| {
                    (about.deadline - told.started).as_millis() as u64
                }),
                attempts: &told.attempts,
                end,
                status,
                took_ms: (now - told.started).as_millis() as u64,
                retry_after_ms,
                ..RequestLine::default()
            };
            self.recorder.write(now, line);
        });
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if !self.is_written {
            self.write("caller_left", 0, None);
        }
    }
}

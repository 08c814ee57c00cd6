//! What happened to one request, for its line in the log.

use std::sync::{Arc, Mutex};

use base::Time;
use dispatch::{Assignment, Outcome};
use record::lines::AttemptLine;

use crate::{forward::AttemptResult, message::RequestInfo};

/// Collects what happened to one request; clones share it.
///
/// The handler and the task that carries the request out hold it one after the other; the lock is
/// never waited for.
#[derive(Debug, Clone)]
pub(crate) struct RequestLog(Arc<Mutex<RequestLogState>>);

#[derive(Debug)]
pub(crate) struct RequestLogState {
    pub(crate) started: Time,
    pub(crate) about: Option<RequestInfo>,
    pub(crate) attempts: Vec<AttemptLine>,
}

impl RequestLog {
    pub(crate) fn new(started: Time) -> Self {
        let told = RequestLogState {
            started,
            about: None,
            attempts: Vec::new(),
        };
        Self(Arc::new(Mutex::new(told)))
    }

    pub(crate) fn accepted(&self, about: RequestInfo) {
        self.with(|told| told.about = Some(about));
    }

    pub(crate) fn begin(&self, now: Time, assignment: &Assignment) {
        self.with(|told| {
            let line = AttemptLine {
                target: assignment.target.to_string(),
                reason: assignment.reason.to_string(),
                load: assignment.load,
                start_ms: (now - told.started).as_millis() as u64,
                end: "open",
                ..AttemptLine::default()
            };
            told.attempts.push(line);
        });
    }

    pub(crate) fn end(&self, now: Time, attempt: u32, end: &AttemptResult) {
        self.with(|told| {
            let since_start = (now - told.started).as_millis() as u64;
            let Some(line) = told.attempts.get_mut(attempt as usize - 1) else {
                return;
            };
            line.took_ms = since_start.saturating_sub(line.start_ms);
            line.is_new = end.is_new;
            line.told_load = end.feedback.load;
            line.end = match end.outcome {
                Outcome::Answered(_) => "answered",
                Outcome::Refused => "refused",
                Outcome::Unreachable => "unreachable",
                Outcome::Lost => "lost",
                Outcome::TimedOut => "timed_out",
                Outcome::Canceled => "canceled",
            };
        });
    }

    pub(crate) fn with<F, T>(&self, read: F) -> Option<T>
    where
        F: FnOnce(&mut RequestLogState) -> T,
    {
        self.0.lock().ok().map(|mut told| read(&mut told))
    }
}

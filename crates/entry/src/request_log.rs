//! Collects the history of one request for its log line.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{AllowedRegions, Time};
use dispatch::{Candidate, Outcome};
use record::lines::{AttemptLine, CandidateLine};

use crate::{
    forward::AttemptResult,
    message::{AttemptPlan, RequestInfo, UsedConfig},
    permit::SendNote,
};

/// Collects the history of one request; all clones share it.
///
/// The handler and the task that executes the request use it one after the other, so the lock is
/// never contended.
#[derive(Debug, Clone)]
pub(crate) struct RequestLog(Arc<Mutex<RequestLogState>>);

#[derive(Debug)]
pub(crate) struct RequestLogState {
    pub(crate) started: Time,
    /// Time for which the head had waited for this process by then at most.
    pub(crate) late: Duration,
    pub(crate) info: Option<RequestInfo>,
    pub(crate) config: Option<UsedConfig>,
    pub(crate) attempts: Vec<AttemptLine>,
    /// When each of the attempts was sent, and the revision by which it was planned.
    sendings: Vec<(SendNote, u64)>,
    pub(crate) candidates: Vec<CandidateLine>,
}

impl RequestLogState {
    /// Returns how long before the request's arrival the configuration that decided was last known to be the
    /// latest.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        let confirmed_at = self.config.as_ref()?.confirmed_at?;
        Some(self.started - confirmed_at)
    }
}

impl RequestLog {
    pub(crate) fn new(started: Time, late: Duration) -> Self {
        let state = RequestLogState {
            started,
            late,
            info: None,
            config: None,
            attempts: Vec::new(),
            sendings: Vec::new(),
            candidates: Vec::new(),
        };
        Self(Arc::new(Mutex::new(state)))
    }

    pub(crate) fn set_info(&self, info: RequestInfo) {
        self.with(|state| {
            state.config = Some(info.config.clone());
            state.info = Some(info);
        });
    }

    pub(crate) fn set_config(&self, config: UsedConfig) {
        self.with(|state| state.config = Some(config));
    }

    pub(crate) fn set_candidates(&self, candidates: &[Candidate]) {
        let lines = candidates.iter().map(|candidate| CandidateLine {
            target: candidate.target.to_string(),
            in_flight: candidate.in_flight,
            limit: candidate.limit,
            load: candidate.load,
            wait_ms: candidate.wait.as_millis() as u64,
        });
        self.with(|state| state.candidates = lines.collect());
    }

    /// Records the start of an attempt and returns where its sending is to be noted.
    pub(crate) fn attempt_started(&self, now: Time, plan: &AttemptPlan) -> SendNote {
        let assignment = &plan.assignment;
        let note = SendNote::default();
        self.with(|state| {
            let used = state.config.as_ref().map(|config| config.revision);
            let line = AttemptLine {
                target: assignment.target.to_string(),
                region: assignment.region.to_string(),
                revision: (used != Some(plan.revision)).then_some(plan.revision),
                homes: homes(&plan.allowed_regions.borrow()),
                reason: assignment.reason.to_string(),
                load: assignment.load,
                start_ms: (now - state.started).as_millis() as u64,
                end: "open",
                ..AttemptLine::default()
            };
            state.attempts.push(line);
            state.sendings.push((note.clone(), plan.revision));
        });
        note
    }

    pub(crate) fn attempt_ended(&self, now: Time, attempt: u32, result: &AttemptResult) {
        self.with(|state| {
            let ended_ms = (now - state.started).as_millis() as u64;
            let Some(line) = state.attempts.get_mut(attempt as usize - 1) else {
                return;
            };
            line.took_ms = ended_ms.saturating_sub(line.start_ms);
            line.is_new = result.is_new_connection;
            line.connect_ms = result
                .feedback
                .connect_time
                .map(|time| time.as_millis() as u64);
            line.relay = result.relay.as_ref().map(ToString::to_string);
            line.connect_error = result.connect_error.map(|err| err.to_string());
            line.told_load = result.feedback.load;
            line.told_limit = result.feedback.rate_limit;
            line.told_rest_ms = result.feedback.rest.map(|rest| rest.as_millis() as u64);
            line.end = match result.outcome {
                Outcome::Answered(_) => "answered",
                Outcome::Refused => "refused",
                Outcome::Unreachable => "unreachable",
                Outcome::Lost => "lost",
                Outcome::Invalid => "invalid",
                Outcome::TimedOut => "timed_out",
                Outcome::Expired => "expired",
                Outcome::Canceled => "canceled",
                Outcome::Withheld => "withheld",
            };
        });
    }

    pub(crate) fn with<F, T>(&self, access: F) -> Option<T>
    where
        F: FnOnce(&mut RequestLogState) -> T,
    {
        self.0.lock().ok().map(|mut state| access(&mut state))
    }
}

impl RequestLogState {
    /// Completes the attempts' lines with when and how they were sent, also of those that have not ended.
    pub(crate) fn add_sendings(&mut self) {
        for (line, (note, planned_by)) in self.attempts.iter_mut().zip(&self.sendings) {
            let Some(sent) = note.sent() else {
                continue;
            };
            line.sent_ms = Some((sent.at - self.started).as_millis() as u64);
            line.sent_revision = (sent.revision != *planned_by).then_some(sent.revision);
            line.relay = sent.relay.map(|relay| relay.to_string());
            line.is_new = sent.is_new;
        }
    }
}

/// Returns the regions to which a request is bound, for its line; `None` if it may run in all.
pub(crate) fn homes(allowed: &AllowedRegions) -> Option<String> {
    (!allowed.is_all()).then(|| allowed.to_string())
}

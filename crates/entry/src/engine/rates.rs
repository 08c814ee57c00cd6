//! What targets report in their answers: rates, rests and that they are leaving.

use std::time::Duration;

use base::{TargetId, Time};
use dispatch::RequestId;

use super::Engine;
use crate::message::OutgoingMessage;

impl Engine {
    pub(super) fn record_named_rate(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        per_s: Option<f64>,
    ) {
        let changed = self.dispatcher.record_named_rate(now, id, attempt, per_s);
        if let Some(target) = changed {
            self.log_named_rates(&[target], "answer");
            self.report_rates(now);
        }
    }

    pub(super) fn record_leaving(&mut self, now: Time, id: RequestId, attempt: u32) {
        if let Some(target) = self.dispatcher.record_leaving(now, id, attempt) {
            tracing::info!(event = "target_leaving", %target);
        }
    }

    pub(super) fn record_rest(&mut self, now: Time, id: RequestId, attempt: u32, rest: Duration) {
        if let Some(target) = self.dispatcher.record_rest(now, id, attempt, rest) {
            let rest_ms = rest.as_millis() as u64;
            tracing::info!(event = "target_rest", %target, rest_ms);
        }
    }

    pub(super) fn log_named_rates(&self, changed: &[TargetId], source: &str) {
        if changed.is_empty() {
            return;
        }
        let named = self.dispatcher.named_rates();
        for target in changed {
            let found = named.iter().find(|(id, _)| id == target);
            let per_s = found.map(|(_, per_s)| *per_s);
            tracing::info!(event = "target_rate", %target, per_s, source);
        }
    }

    /// Sends the rates that targets have reported to the other instances.
    pub(super) fn report_rates(&mut self, now: Time) {
        self.rates_reported_at = now;
        let reports = self.dispatcher.rate_reports(now);
        if !reports.is_empty() {
            let _ = self.outgoing.send(OutgoingMessage::Rates(reports));
        }
    }
}

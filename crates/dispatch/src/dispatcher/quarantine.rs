//! Requests that crash targets: what this instance records of them and reports to the others.

use std::{collections::BTreeSet, time::Duration};

use base::{ErrorKind, Refusal, Time};

use super::Dispatcher;
use crate::{
    Action, Admission, AdmittedRequest, Hold, LossReport, QuarantineReport, RequestId,
    hash::seeded_hash,
};

/// Instances that repeat what they know of a quarantined request, so that one that starts, or that a
/// report hasn't reached, learns of it from the others.
const REPORTERS: usize = 3;
/// Time between two such reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of requests in one report, which must fit into a datagram.
const MAX_REPORTED: usize = 32;

impl Dispatcher {
    /// Records a connection loss that another instance has reported.
    pub fn record_remote_loss(&mut self, now: Time, report: LossReport) -> Vec<Action> {
        let begun = self.quarantine.record_remote(now, report);
        self.follow_losses(now, &[report], &begun)
    }

    /// Merges what another instance knows of requests that crash targets, which it reported no earlier than
    /// `not_before`.
    pub fn merge_quarantine(
        &mut self,
        now: Time,
        not_before: Option<Time>,
        report: &QuarantineReport,
    ) -> Vec<Action> {
        match report {
            // Such an answer has always counted as one of now.
            QuarantineReport::Answered(fingerprint) => {
                self.merge_answer(now, now, *fingerprint);
                Vec::new()
            }
            QuarantineReport::AnsweredAgo { fingerprint, age } => {
                let earliest = not_before.map_or(Time::ZERO, |at| at.min(now).before(*age));
                self.merge_answer(earliest, now.before(*age), *fingerprint);
                Vec::new()
            }
            QuarantineReport::Held(holds) => {
                let mut actions = Vec::new();
                for hold in holds {
                    let age = self.quarantine.merge(now, hold);
                    actions.extend(age.map(|age| answered(hold.fingerprint, age)));
                }
                let refused = holds
                    .iter()
                    .flat_map(|hold| self.refuse_held(now, hold.fingerprint));
                actions.extend(refused.collect::<Vec<_>>());
                actions
            }
        }
    }

    fn merge_answer(&mut self, earliest: Time, latest: Time, fingerprint: u64) {
        self.forget_losses(earliest, fingerprint);
        self.quarantine
            .record_remote_answer(earliest, latest, fingerprint);
    }

    /// Returns the fingerprints of the quarantined requests and how much longer each is.
    pub fn quarantined(&self, now: Time) -> Vec<(u64, Duration)> {
        self.quarantine.quarantined(now)
    }

    /// Returns why a new request that crashed targets must be refused, if it must.
    pub(super) fn quarantine_refusal(
        &mut self,
        now: Time,
        request: &AdmittedRequest,
    ) -> Option<Refusal> {
        let fingerprint = request.fingerprint;
        if let Some(wait) = self.quarantine.hearing_left(now, fingerprint) {
            return Some(Refusal::new(ErrorKind::Quarantined).retry_after(wait));
        }
        if !self.quarantine.is_held(fingerprint) {
            return None;
        }
        let may_try = self.reporter_rank(fingerprint) == 0;
        match self
            .quarantine
            .admit(now, fingerprint, request.deadline, may_try)
        {
            Admission::Free | Admission::Trial => None,
            Admission::Refused(wait) => {
                Some(Refusal::new(ErrorKind::Quarantined).retry_after(wait))
            }
        }
    }

    /// Records the losses of events that are over, and those that others have explained since.
    pub(super) fn attribute_losses(&mut self, now: Time) -> Vec<Action> {
        let causes = self.losses.take_due(now);
        self.quarantine.suspend(now, causes.path);
        let mut losses = causes.requests;
        losses.extend(self.quarantine.take_cleared(now));
        self.quarantine.count_own(now, &losses);
        self.quarantine.count_own(now, &causes.answered);
        let reports = losses.iter().copied().map(Action::ReportLoss);
        let mut actions: Vec<Action> = reports.collect();
        let room = MAX_REPORTED.saturating_sub(self.reported_once.len());
        let dated = losses.iter().map(|one| (now.before(one.age), one.loss));
        self.reported_once.extend(dated.take(room));
        actions.extend(self.record_losses(now, &losses));
        let begun = self.quarantine.begin_due(now);
        actions.extend(self.begin_quarantines(now, &begun));
        actions
    }

    /// Records losses caused by requests; if a quarantine begins with them, it is
    /// reported to the others at once and waiting requests are refused.
    pub(super) fn record_losses(&mut self, now: Time, losses: &[LossReport]) -> Vec<Action> {
        let begun = self.quarantine.record(now, losses);
        self.follow_losses(now, losses, &begun)
    }

    fn follow_losses(&mut self, now: Time, losses: &[LossReport], begun: &[u64]) -> Vec<Action> {
        let mut actions = self.tell_answers(now, losses);
        actions.extend(self.begin_quarantines(now, begun));
        actions
    }

    /// Tells the others of answers that came before these losses.
    fn tell_answers(&mut self, now: Time, losses: &[LossReport]) -> Vec<Action> {
        let fingerprints: BTreeSet<u64> = losses.iter().map(|one| one.loss.fingerprint).collect();
        fingerprints
            .into_iter()
            .filter_map(|fingerprint| {
                let age = self.quarantine.take_untold_answer(now, fingerprint)?;
                Some(answered(fingerprint, age))
            })
            .collect()
    }

    fn begin_quarantines(&mut self, now: Time, begun: &[u64]) -> Vec<Action> {
        if begun.is_empty() {
            return Vec::new();
        }
        let holds = self.quarantine.holds(now).into_iter();
        let holds = holds.filter(|hold| begun.contains(&hold.fingerprint));
        let mut actions: Vec<Action> = holds.map(Action::BeginQuarantine).collect();
        for fingerprint in begun {
            actions.extend(self.refuse_held(now, *fingerprint));
        }
        actions
    }

    /// Records the answer to a request; it is reported to the others if the request had been suspected.
    pub(super) fn record_request_answer(&mut self, now: Time, fingerprint: u64) -> Vec<Action> {
        self.forget_losses(now, fingerprint);
        let was_suspected = self.quarantine.record_answer(now, fingerprint);
        was_suspected
            .then(|| answered(fingerprint, Duration::ZERO))
            .into_iter()
            .collect()
    }

    /// Repeats the losses before an answer no longer.
    fn forget_losses(&mut self, answered_at: Time, fingerprint: u64) {
        self.reported_once
            .retain(|(at, loss)| loss.fingerprint != fingerprint || *at > answered_at);
        self.losses.record_answer(answered_at, fingerprint);
    }

    /// Returns what this instance is to repeat for the others, when it is due: its last losses, once, and
    /// the requests that are quarantined, as long as they are.
    pub(super) fn due_repeats(&mut self, now: Time) -> Vec<Action> {
        if now - self.holds_reported_at < REPORT_INTERVAL {
            return Vec::new();
        }
        self.holds_reported_at = now;
        let reported = std::mem::take(&mut self.reported_once).into_iter();
        let open = reported.filter(|(_, loss)| self.quarantine.is_suspected(loss.fingerprint));
        let losses = open.map(|(at, loss)| {
            let age = now - at;
            Action::ReportLoss(LossReport { loss, age })
        });
        let mut actions: Vec<Action> = losses.collect();
        actions.extend(self.hold_report(now));
        actions
    }

    fn hold_report(&self, now: Time) -> Option<Action> {
        let holds: Vec<Hold> = self
            .quarantine
            .holds(now)
            .into_iter()
            .filter(|hold| self.reporter_rank(hold.fingerprint) < REPORTERS)
            .take(MAX_REPORTED)
            .collect();
        (!holds.is_empty()).then_some(Action::ReportQuarantine(QuarantineReport::Held(holds)))
    }

    /// Refuses the requests with this fingerprint that wait for a target.
    fn refuse_held(&mut self, now: Time, fingerprint: u64) -> Vec<Action> {
        if self.quarantine.remaining(now, fingerprint).is_none() {
            return Vec::new();
        }
        let waiting: Vec<RequestId> = self
            .queued
            .iter()
            .map(|(_, id)| *id)
            .filter(|id| self.entries[id].request.fingerprint == fingerprint)
            .collect();
        waiting
            .into_iter()
            .flat_map(|id| {
                self.remove_from_queue(id);
                self.refuse(now, id, ErrorKind::Quarantined)
            })
            .collect()
    }

    /// Returns this instance's rank among the running ones for a request; one that is not among them, as
    /// it is leaving, comes last.
    fn reporter_rank(&self, fingerprint: u64) -> usize {
        let key = |id: &base::InstanceId| (seeded_hash(fingerprint, id.as_str()), id.clone());
        let is_running = self.instances.iter().any(|(id, _)| *id == self.own_id);
        if !is_running && !self.instances.is_empty() {
            return usize::MAX;
        }
        let own = key(&self.own_id);
        let before = self.instances.iter().filter(|(id, _)| key(id) < own);
        before.count()
    }
}

fn answered(fingerprint: u64, age: Duration) -> Action {
    Action::ReportQuarantine(QuarantineReport::AnsweredAgo { fingerprint, age })
}

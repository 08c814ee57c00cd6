//! Whether a target is in service: the reasons against it, each entered and left by its own source.

use base::Time;
use chart::Chart;

use super::{Target, TargetEvent, TargetState};
use crate::ExclusionReason;

impl Target {
    /// Records that the target itself says that it is leaving, and returns whether that is new.
    ///
    /// It holds until a new incarnation registers, or until the same one registers as ready after it
    /// had registered as leaving, or until its health endpoint says otherwise. An entry that never
    /// said that the target is leaving may be older than what the target says.
    pub fn say_leaving(&mut self, now: Time, chart: &Chart<TargetState, TargetEvent>) -> bool {
        self.record_word(now);
        let is_news = !self.exclusions.contains(ExclusionReason::OwnWord);
        self.exclude(now, chart, ExclusionReason::OwnWord, true);
        is_news
    }

    /// Adds or removes a reason for which the target gets nothing; without any left it returns to
    /// service.
    pub fn exclude(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        reason: ExclusionReason,
        holds: bool,
    ) {
        if self.exclusions.set(reason, holds) {
            self.apply_event(now, chart, TargetEvent::Returned);
        }
    }

    /// Applies what the configuration says of the target, and returns whether operators have taken it
    /// back into service.
    pub fn apply_config(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        is_available: bool,
        is_drained: bool,
    ) -> bool {
        let mut reasons = [
            (ExclusionReason::Entry, !is_available),
            (ExclusionReason::Drained, is_drained),
        ];
        let was_drained = self.exclusions.contains(ExclusionReason::Drained);
        // New reasons come first, so that a change of reasons is no return to service.
        reasons.sort_by_key(|(_, holds)| !holds);
        for (reason, holds) in reasons {
            self.exclude(now, chart, reason, holds);
        }
        was_drained && !is_drained
    }

    /// Returns whether neither the target's entry nor an operator takes it out of service.
    pub(crate) fn is_configured_in_service(&self) -> bool {
        !self.exclusions.contains(ExclusionReason::Entry)
            && !self.exclusions.contains(ExclusionReason::Drained)
    }

    /// Returns whether there is no reason for which the target gets nothing.
    pub fn is_in_service(&self) -> bool {
        self.exclusions.is_empty()
    }

    /// Applies what the health endpoint says: it is the target's own and latest report.
    pub fn apply_health(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        is_leaving: bool,
    ) {
        if is_leaving {
            self.say_leaving(now, chart);
            return;
        }
        self.exclude(now, chart, ExclusionReason::OwnWord, false);
        self.exclude(now, chart, ExclusionReason::Listed, false);
        self.apply_event(now, chart, TargetEvent::Recovered);
    }
}

//! The load that other instances put on a target, by what it reports.

use std::time::Duration;

use base::Time;

/// Estimates the requests of other instances on a target.
#[derive(Debug, Clone, Default)]
pub(super) struct OthersLoad {
    /// Requests of other instances, by the last health report.
    in_health_report: u32,
    /// Time until which a refusal counts more than the last health report.
    report_distrusted_until: Time,
    in_response: Option<LoadReport>,
}

/// Records the load that a target reported with a response, to estimate its load until the next one.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    at: Time,
    /// Requests of other instances that the target ran or queued.
    others: u32,
}

/// Time over which the weight of a load report falls to zero.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);
/// Time for which health reports are distrusted after one showed a free slot and the target
/// refused a request.
const REPORT_DISTRUST: Duration = Duration::from_secs(5);

impl OthersLoad {
    /// Forgets the load that came with the last response.
    pub(super) fn forget_response(&mut self) {
        self.in_response = None;
    }

    /// Records the requests of others that a response reported.
    pub(super) fn record_response(&mut self, now: Time, others: u32) {
        self.in_response = Some(LoadReport { at: now, others });
    }

    /// Records the requests of others by a health report.
    pub(super) fn record_health(&mut self, others: u32) {
        self.in_health_report = others;
    }

    /// Distrusts health reports for a while.
    pub(super) fn distrust_health(&mut self, now: Time) {
        self.report_distrusted_until = now + REPORT_DISTRUST;
    }

    /// Returns the requests of others by the last response, which count less the older it is.
    pub(super) fn by_response(&self, now: Time) -> f64 {
        self.in_response.map_or(0.0, |report| {
            let age = (now - report.at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
            f64::from(report.others) * (1.0 - age).max(0.0)
        })
    }

    /// Returns the requests of others by the last health report, or `None` while that is distrusted.
    pub(super) fn by_health(&self, now: Time) -> Option<u32> {
        (now >= self.report_distrusted_until).then_some(self.in_health_report)
    }
}

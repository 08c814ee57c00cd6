//! The load that other instances put on a target, by what it reports.

use std::time::Duration;

use base::Time;

use super::{HealthReport, Target};

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
}

impl Target {
    /// Records the load that came with a response: `total` requests run or wait on the target.
    pub fn record_load(&mut self, now: Time, total: u32) {
        let others = total.saturating_sub(self.in_flight);
        self.others.in_response = Some(LoadReport { at: now, others });
    }

    /// Records a report of the health endpoint.
    pub fn record_health(&mut self, report: HealthReport) {
        self.others.in_health_report = report.in_flight.saturating_sub(self.in_flight);
    }

    /// Records a refusal for lack of capacity; if the health report showed a free slot, it is
    /// distrusted for a while.
    pub fn record_refusal(&mut self, now: Time) {
        if self.utilization(now) < 1.0 {
            self.others.report_distrusted_until = now + REPORT_DISTRUST;
        }
        self.limit.record_refusal();
    }

    /// Returns the estimated number of requests that run or wait on the target: this instance's own
    /// plus the reported ones of others, which count less the older the report is.
    pub fn estimated_load(&self, now: Time) -> f64 {
        let others = self.others.in_response.map_or(0.0, |report| {
            let age = (now - report.at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
            f64::from(report.others) * (1.0 - age).max(0.0)
        });
        f64::from(self.in_flight) + others
    }

    /// Returns the requests per slot: this instance's own plus those that others are reported to
    /// run. While reports are distrusted, the slots above this instance's limit count as used by
    /// others.
    pub fn utilization(&self, now: Time) -> f64 {
        let others = if now < self.others.report_distrusted_until {
            self.slots - self.limit.current().min(self.slots)
        } else {
            self.others.in_health_report
        };
        f64::from(self.in_flight + others) / f64::from(self.slots)
    }
}

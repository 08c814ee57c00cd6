//! Sums over requests, and the cause of each late one.

use std::collections::BTreeMap;

use base::{ERROR_RESPONSES, ErrorResponse, Executed};
use derive_more::Display;

use super::record::{AttemptRecord, RequestRecord};

/// Fraction of an objective from which on waiting or connecting counts as the cause of lateness.
const MIN_CAUSE_FRACTION: f64 = 0.1;
/// Multiple of the median run on first-ranked targets from which on a run counts as cold.
const COLD_RUN_FACTOR: f64 = 2.0;

/// Lists the causes of late answers that instances measure.
///
/// The path from the caller to the instance and the caller's look-ups are not among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub(super) enum Cause {
    /// An earlier attempt failed or was refused.
    #[display("retry")]
    Retry,
    /// The request waited for quota or for a target.
    #[display("wait")]
    Wait,
    /// The target was cold for the object, or slow.
    #[display("cold run")]
    ColdRun,
    /// A connection had to be opened.
    #[display("connect")]
    Connect,
    /// The target was in another region.
    #[display("distance")]
    Distance,
    /// None of the above.
    #[display("other")]
    Other,
}

impl Cause {
    /// All causes, in the order in which they are reported.
    pub(super) const ALL: [Self; 6] = [
        Self::Retry,
        Self::Wait,
        Self::ColdRun,
        Self::Connect,
        Self::Distance,
        Self::Other,
    ];
}

/// Counts the requests of one route and region, or of one second.
#[derive(Debug, Clone, Default)]
pub(super) struct Row {
    pub(super) requests: u64,
    pub(super) in_time: u64,
    pub(super) late: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    /// Attempts that were answered.
    pub(super) runs: u64,
    /// Those of them in the instance's own region.
    pub(super) local_runs: u64,
}

/// Sums up all requests in the ways in which the report shows them.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// By route and region of the instance.
    pub(super) rows: BTreeMap<(String, String), Row>,
    /// By second since the first start of a process.
    pub(super) seconds: BTreeMap<u64, Row>,
    pub(super) late_by_cause: BTreeMap<Cause, u64>,
    pub(super) runs_by_reason: BTreeMap<String, u64>,
    pub(super) requests_by_end: BTreeMap<String, u64>,
}

impl Tally {
    /// Returns the sums over `records`.
    pub(super) fn new(records: &[RequestRecord]) -> Self {
        let warm_ms = median_warm_run(records);
        let first_start = records.iter().filter_map(|record| record.started_at_ms);
        let first_start_ms = first_start.min().unwrap_or(0);
        let mut tally = Self::default();
        for record in records {
            let warm_ms = warm_ms.get(record.service.as_str()).copied();
            let started_at_ms = record.started_at_ms.unwrap_or(first_start_ms);
            let started_after_ms = started_at_ms.saturating_sub(first_start_ms);
            tally.count(record, started_after_ms, warm_ms.unwrap_or(u64::MAX));
        }
        tally
    }

    fn count(&mut self, record: &RequestRecord, started_after_ms: u64, warm_ms: u64) {
        let has_objective = record.objective_ms > 0;
        let is_late = record.end == "ok" && has_objective && record.took_ms > record.objective_ms;
        let ended_at_ms = started_after_ms + record.at_ms;
        let arrived_at_s = ended_at_ms.saturating_sub(record.took_ms) / 1_000;
        let key = (record.route.clone(), record.region.clone());
        for row in [
            self.rows.entry(key).or_default(),
            self.seconds.entry(arrived_at_s).or_default(),
        ] {
            row.count(record, is_late);
        }
        if is_late {
            let cause = cause_of(record, warm_ms);
            *self.late_by_cause.entry(cause).or_default() += 1;
        }
        for run in answered(record) {
            *self.runs_by_reason.entry(run.reason.clone()).or_default() += 1;
        }
        let end = self.requests_by_end.entry(record.end.clone());
        *end.or_default() += 1;
    }
}

impl Row {
    fn count(&mut self, record: &RequestRecord, is_late: bool) {
        self.requests += 1;
        match record.end.as_str() {
            "ok" if is_late => self.late += 1,
            "ok" => self.in_time += 1,
            end if is_failure(end) => self.failed += 1,
            _ => self.refused += 1,
        }
        for run in answered(record) {
            self.runs += 1;
            self.local_runs += u64::from(run.region == record.region);
        }
    }
}

/// Returns whether a request can end in this way.
pub(super) fn is_known_end(end: &str) -> bool {
    matches!(end, "ok" | "caller_left") || error_response(end).is_some()
}

/// Returns whether a request that ended in this way may have run, or was left by its caller.
fn is_failure(end: &str) -> bool {
    error_response(end).is_none_or(|response| response.executed != Executed::No)
}

fn error_response(end: &str) -> Option<&'static ErrorResponse> {
    let mut responses = ERROR_RESPONSES.iter();
    responses.find(|response| response.kind.to_string() == end)
}

fn answered(record: &RequestRecord) -> impl Iterator<Item = &AttemptRecord> {
    let attempts = record.attempts.iter();
    attempts.filter(|attempt| attempt.end == "answered")
}

fn cause_of(record: &RequestRecord, warm_ms: u64) -> Cause {
    let Some(run) = record.attempts.last() else {
        return Cause::Wait;
    };
    let min_ms = record.objective_ms as f64 * MIN_CAUSE_FRACTION;
    let is_cold = run.took_ms as f64 > warm_ms as f64 * COLD_RUN_FACTOR;
    match run {
        _ if record.attempts.len() > 1 => Cause::Retry,
        _ if run.start_ms as f64 > min_ms => Cause::Wait,
        _ if is_cold => Cause::ColdRun,
        _ if run.connect_ms.unwrap_or(0) as f64 > min_ms => Cause::Connect,
        _ if run.region != record.region => Cause::Distance,
        _ => Cause::Other,
    }
}

/// Returns each service's median run on targets that rank first, in milliseconds.
fn median_warm_run(records: &[RequestRecord]) -> BTreeMap<&str, u64> {
    let mut runs: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        let first = answered(record).filter(|run| run.reason == "first");
        let times = first.map(|run| run.took_ms);
        runs.entry(record.service.as_str())
            .or_default()
            .extend(times);
    }
    let median = |mut times: Vec<u64>| {
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    };
    let medians = runs.into_iter();
    medians
        .filter_map(|(service, times)| Some((service, median(times)?)))
        .collect()
}

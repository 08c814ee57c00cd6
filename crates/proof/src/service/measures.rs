//! Measurements of a run.

use std::{collections::BTreeMap, time::Duration};

use base::ErrorKind;
use hdrhistogram::Histogram;

/// Counts what became of one workspace's requests.
#[derive(Debug, Clone)]
pub struct WorkspaceMeasures {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests answered within their deadline.
    pub answered: u64,
    /// Number of requests refused, failed or answered too late.
    pub failed: u64,
    /// Latencies of the answered requests, in microseconds.
    pub latency_us: Histogram<u64>,
}

/// Reports the outcomes of all requests of a run, and which guarantees were violated.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Measurements of each workspace, by index.
    pub workspaces: Vec<WorkspaceMeasures>,
    /// Number of repeated executions of non-idempotent requests.
    pub run_twice: u64,
    /// Number of refusals by instances, by kind.
    pub refusals: BTreeMap<ErrorKind, u64>,
    /// Number of attempts that targets refused because all slots were taken.
    pub attempts_refused: u64,
    /// Number of requests refused as not executed although a target had executed them.
    pub false_not_run: u64,
    /// Number of requests answered in time per measured second.
    pub answered_per_s: f64,
    /// Number of target crashes that requests caused.
    pub targets_crashed: u64,
    /// Number of requests interrupted by the end of a leaving target.
    pub interrupted_by_drain: u64,
    /// Time from the start of a target's drain until it last began to execute a request.
    pub last_execution_after_drain: Duration,
    /// Time from the start of a target's drain until it was idle; `None` if it never was.
    pub drain_time: Option<Duration>,
}

/// Latencies above this make the histogram grow.
const INITIAL_MAX_LATENCY_US: u64 = 60_000_000;

impl WorkspaceMeasures {
    pub(super) fn new() -> Self {
        let mut latency_us = Histogram::new_with_max(INITIAL_MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| unreachable!("the histogram's bounds are valid constants"));
        latency_us.auto(true);
        Self {
            sent: 0,
            answered: 0,
            failed: 0,
            latency_us,
        }
    }

    /// Returns the share of the sent requests that were answered in time.
    pub fn answered_share(&self) -> f64 {
        self.answered as f64 / (self.sent as f64).max(1.0)
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl Measures {
    /// Returns the merged measurements of all workspaces but the excluded one.
    pub fn merged_except(&self, excluded: Option<usize>) -> WorkspaceMeasures {
        let mut merged = WorkspaceMeasures::new();
        for (idx, workspace) in self.workspaces.iter().enumerate() {
            if Some(idx) == excluded {
                continue;
            }
            merged.sent += workspace.sent;
            merged.answered += workspace.answered;
            merged.failed += workspace.failed;
            let _ = merged.latency_us.add(&workspace.latency_us);
        }
        merged
    }

    /// Returns the lowest answered share of a workspace, without the excluded one.
    pub fn min_answered_share(&self, excluded: Option<usize>) -> f64 {
        self.workspaces
            .iter()
            .enumerate()
            .filter(|(idx, _)| Some(*idx) != excluded)
            .map(|(_, workspace)| workspace.answered_share())
            .fold(1.0, f64::min)
    }
}

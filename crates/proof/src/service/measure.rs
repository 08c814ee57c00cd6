//! What a run showed.

use std::{collections::BTreeMap, time::Duration};

use base::ErrorKind;
use hdrhistogram::Histogram;

/// Holds what one workspace saw.
#[derive(Debug, Clone)]
pub struct WorkspaceMeasures {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered within their deadline.
    pub answered: u64,
    /// Requests refused or failed.
    pub failed: u64,
    /// Latencies of the answered ones in microseconds.
    pub latency_us: Histogram<u64>,
}

/// Holds what a run showed.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Workspaces by index.
    pub workspaces: Vec<WorkspaceMeasures>,
    /// Requests that may run at most once and ran more often.
    pub run_twice: u64,
    /// Refusals by kind, of all requests but poison ones.
    pub refusals: BTreeMap<ErrorKind, u64>,
    /// Attempts that targets refused for lack of a slot.
    pub attempts_refused: u64,
    /// Answers "not run" to requests that ran.
    pub untrue_refusals: u64,
    /// Requests answered in time, for each second that was measured.
    pub answered_per_s: f64,
    /// Targets ended by the poison request.
    pub targets_ended: u64,
    /// Requests cut by the end of a target that was leaving.
    pub cut_by_drain: u64,
    /// Time from a target's leaving to its last new request.
    pub last_work_after_drain: Duration,
    /// Time from a target's leaving to its end.
    pub drain_time: Duration,
}

const HIGHEST_US: u64 = 60_000_000;

impl WorkspaceMeasures {
    pub(super) fn new() -> Self {
        let mut latency_us = Histogram::new_with_max(HIGHEST_US, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constants"));
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
    /// Returns the workspaces but one, joined.
    pub fn others_than(&self, left_out: Option<usize>) -> WorkspaceMeasures {
        let mut joined = WorkspaceMeasures::new();
        for (idx, workspace) in self.workspaces.iter().enumerate() {
            if Some(idx) == left_out {
                continue;
            }
            joined.sent += workspace.sent;
            joined.answered += workspace.answered;
            joined.failed += workspace.failed;
            let _ = joined.latency_us.add(&workspace.latency_us);
        }
        joined
    }

    /// Returns the least share of sent requests that a workspace but one got answered in time.
    pub fn worst_share(&self, left_out: Option<usize>) -> f64 {
        self.workspaces
            .iter()
            .enumerate()
            .filter(|(idx, _)| Some(*idx) != left_out)
            .map(|(_, workspace)| workspace.answered_share())
            .fold(1.0, f64::min)
    }
}

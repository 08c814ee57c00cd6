//! What happens to a drawn fleet.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) instances: usize,
    pub(crate) targets: usize,
    /// Ordinary requests per second.
    pub(crate) rate: f64,
    /// Deadly requests, each of which comes again and again.
    pub(crate) deadly: u64,
    /// Time between two visits of one of them.
    pub(crate) visit_gap_s: f64,
    /// Times that its caller sends it again after a failure.
    pub(crate) caller_retries: u32,
    /// Whether it may run only once.
    pub(crate) is_once: bool,
    /// Maximum time for which it runs before it crashes its target.
    pub(crate) fuse_ms: u64,
    /// Share of messages between instances that are lost.
    pub(crate) report_loss: f64,
    /// Time between two starts of instances, in turn.
    pub(crate) restart_gap_s: Option<f64>,
    /// Mean time between two cuts of an instance's path to its targets.
    pub(crate) cut_gap_s: Option<f64>,
    /// Mean time between two crashes of targets that no request causes.
    pub(crate) crash_gap_s: Option<f64>,
    /// Mean time between two times at which nine tenths of the targets end one after the other.
    pub(crate) release_gap_s: Option<f64>,
    /// Share of ordinary requests that ask for one of a few pages.
    pub(crate) page_share: f64,
    /// Time from which one of these pages crashes the targets that run it.
    pub(crate) turns_deadly_s: Option<u64>,
    /// Number of instances, the first ones, of a build that turns no request away for what it did, and
    /// neither reports nor reads that others do; their runs are not counted.
    pub(crate) older: usize,
}

impl Plan {
    pub(crate) fn drawn(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5eed);
        Self {
            instances: rng.random_range(1..=10),
            targets: rng.random_range(6..=20),
            rate: rng.random_range(20.0..120.0),
            deadly: 1,
            visit_gap_s: rng.random_range(0.7..8.0),
            caller_retries: rng.random_range(0..=3),
            is_once: false,
            fuse_ms: 6,
            report_loss: 0.0,
            restart_gap_s: None,
            cut_gap_s: None,
            crash_gap_s: None,
            release_gap_s: None,
            page_share: 0.2,
            turns_deadly_s: None,
            older: 0,
        }
    }
}

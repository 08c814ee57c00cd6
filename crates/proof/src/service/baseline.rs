//! Baseline strategies, which dispatch requests as a simple proxy does.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;
use rand_pcg::Pcg32;

/// Lists the ways in which a baseline selects a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetSelection {
    /// Each target in turn.
    RoundRobin,
    /// The target whose last report shows the least load.
    LeastReportedLoad,
    /// A random target of the instance's region, or of any region if that has none usable.
    NearestRegion,
}

/// Dispatches one instance's requests by a baseline strategy.
#[derive(Debug, Clone)]
pub(super) struct BaselineDispatcher {
    pub(super) selection: TargetSelection,
    pub(super) max_attempts: u32,
    pub(super) is_queueing: bool,
    pub(super) region: usize,
    pub(super) slots: u32,
    /// Load by the last report of each target; `None` if the target is down or leaving.
    pub(super) reported_load: Vec<Option<u32>>,
    /// Open attempts of this instance on each target.
    pub(super) in_flight: Vec<u32>,
    /// Requests that wait for a slot.
    pub(super) queue: VecDeque<u64>,
    /// Attempts so far, by request.
    pub(super) attempt_counts: BTreeMap<u64, u32>,
    /// Counter of the round robin.
    pub(super) rotation: usize,
}

impl BaselineDispatcher {
    /// Selects one of the targets, given by index and region.
    ///
    /// Returns `None` if there is none, or if the baseline queues requests and this instance has
    /// filled all slots.
    pub(super) fn select(&mut self, rng: &mut Pcg32, targets: &[(usize, usize)]) -> Option<usize> {
        let usable: Vec<usize> = targets
            .iter()
            .filter(|(idx, _)| !self.is_queueing || self.in_flight[*idx] < self.slots)
            .map(|(idx, _)| *idx)
            .collect();
        if usable.is_empty() {
            return None;
        }
        match self.selection {
            TargetSelection::RoundRobin => {
                self.rotation += 1;
                Some(usable[self.rotation % usable.len()])
            }
            TargetSelection::LeastReportedLoad => usable
                .into_iter()
                .min_by_key(|idx| self.reported_load[*idx].unwrap_or(u32::MAX)),
            TargetSelection::NearestRegion => {
                let local: Vec<usize> = targets
                    .iter()
                    .filter(|(idx, region)| *region == self.region && usable.contains(idx))
                    .map(|(idx, _)| *idx)
                    .collect();
                let candidates = if local.is_empty() { &usable } else { &local };
                Some(candidates[rng.random_range(0..candidates.len())])
            }
        }
    }
}

//! Baselines: how a plain proxy would decide.

use std::collections::{BTreeMap, VecDeque};

use rand::RngExt;
use rand_pcg::Pcg32;

/// Lists how a baseline chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Each target in turn.
    RoundRobin,
    /// The target with the least load by the last reports.
    LeastReported,
    /// A random target of the nearest region.
    Nearest,
}

/// Holds the state of a baseline on one instance.
#[derive(Debug, Clone)]
pub(super) struct Baseline {
    pub(super) choice: Choice,
    pub(super) attempts: u32,
    pub(super) is_queueing: bool,
    pub(super) region: usize,
    pub(super) slots: u32,
    pub(super) reported: Vec<Option<u32>>,
    pub(super) in_flight: Vec<u32>,
    pub(super) queue: VecDeque<u64>,
    pub(super) tries: BTreeMap<u64, u32>,
    pub(super) turn: usize,
}

impl Baseline {
    /// Chooses a target; `None` where a queueing baseline has all slots taken.
    pub(super) fn choose(&mut self, rng: &mut Pcg32, targets: &[(usize, usize)]) -> Option<usize> {
        let usable: Vec<usize> = targets
            .iter()
            .filter(|(idx, _)| !self.is_queueing || self.in_flight[*idx] < self.slots)
            .map(|(idx, _)| *idx)
            .collect();
        if usable.is_empty() {
            return None;
        }
        match self.choice {
            Choice::RoundRobin => {
                self.turn += 1;
                Some(usable[self.turn % usable.len()])
            }
            Choice::LeastReported => usable
                .into_iter()
                .min_by_key(|idx| self.reported[*idx].unwrap_or(u32::MAX)),
            Choice::Nearest => {
                let near: Vec<usize> = targets
                    .iter()
                    .filter(|(idx, region)| *region == self.region && usable.contains(idx))
                    .map(|(idx, _)| *idx)
                    .collect();
                let among = if near.is_empty() { &usable } else { &near };
                Some(among[rng.random_range(0..among.len())])
            }
        }
    }
}

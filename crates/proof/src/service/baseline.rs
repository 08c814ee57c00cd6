//! Baselines: how a plain proxy would decide.

use std::collections::{BTreeMap, VecDeque};

use base::Time;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{
    event::{AttemptId, End},
    world::{Deciding, TargetSim, World},
};

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

impl World<'_> {
    pub(super) fn baseline_send(&mut self, now: Time, id: u64) {
        let instance = self.requests[&id].instance;
        let is_silent_on_leaving = |target: &TargetSim| !target.is_leaving;
        let targets: Vec<(usize, usize)> = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, target)| is_silent_on_leaving(target))
            .map(|(idx, target)| (idx, target.region))
            .collect();
        let Deciding::Baseline(baseline) = &mut self.instances[instance].decider else {
            return;
        };
        let Some(target) = baseline.choose(&mut self.rng, &targets) else {
            baseline.queue.push_back(id);
            return;
        };
        baseline.in_flight[target] += 1;
        let tries = baseline.tries.entry(id).or_insert(0);
        *tries += 1;
        let attempt = AttemptId {
            request: id,
            number: *tries,
        };
        self.send(now, instance, attempt, target, false);
    }

    pub(super) fn baseline_ended(
        &mut self,
        now: Time,
        instance: usize,
        id: AttemptId,
        target: usize,
        end: End,
    ) {
        let Deciding::Baseline(baseline) = &mut self.instances[instance].decider else {
            return;
        };
        baseline.in_flight[target] -= 1;
        let is_tried_again = end != End::Answered && id.number < baseline.attempts;
        if end == End::Answered || !is_tried_again {
            baseline.tries.remove(&id.request);
        }
        if is_tried_again {
            self.baseline_send(now, id.request);
        } else if end != End::Answered {
            self.close_failed(id.request, false);
        }
        self.baseline_drain(now, instance);
    }

    pub(super) fn baseline_drain(&mut self, now: Time, instance: usize) {
        loop {
            let Deciding::Baseline(baseline) = &mut self.instances[instance].decider else {
                return;
            };
            let before = baseline.queue.len();
            let Some(id) = baseline.queue.pop_front() else {
                return;
            };
            if self.requests[&id].is_closed {
                continue;
            }
            self.baseline_send(now, id);
            let Deciding::Baseline(baseline) = &mut self.instances[instance].decider else {
                return;
            };
            if baseline.queue.len() >= before {
                // Still no slot: it keeps its place at the front.
                if let Some(id) = baseline.queue.pop_back() {
                    baseline.queue.push_front(id);
                }
                return;
            }
        }
    }
}

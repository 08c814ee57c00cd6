//! State of a run: the event queue, instances, targets, requests and attempts.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{RegionId, Time};
use dispatch::Dispatcher;
use rand_pcg::Pcg32;
use steer::Steering;

use super::{
    baseline::BaselineDispatcher,
    event::{Attempt, AttemptId, Event, Request},
    measures::Measures,
    scenario::Scenario,
};

pub(super) const SERVICE: &str = "s";
/// One-way delay within a region.
const LOCAL_DELAY: Duration = Duration::from_millis(1);

#[derive(Debug)]
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) rng: Pcg32,
    pub(super) queue: BTreeMap<(Time, u64), Event>,
    /// Number of events queued so far; orders events of the same time.
    pub(super) event_count: u64,
    /// Time after which no requests are sent.
    pub(super) end: Time,
    pub(super) instances: Vec<SimulatedInstance>,
    pub(super) targets: Vec<SimulatedTarget>,
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) measures: Measures,
    /// Whether targets report their load.
    pub(super) has_reports: bool,
    pub(super) underreporting_target: Option<usize>,
    /// End of a cold start, and the additional work time until then.
    pub(super) cold_start: Option<(Time, Duration)>,
    /// Target that is drained, and when that started.
    pub(super) drain_started: Option<(usize, Time)>,
}

#[derive(Debug)]
pub(super) struct SimulatedInstance {
    pub(super) region: usize,
    pub(super) is_up: bool,
    pub(super) dispatcher: InstanceDispatcher,
    pub(super) steering: Steering,
    /// Number of requests that arrived since the last update of the region shares.
    pub(super) arrived: u64,
    /// Idle connections by target: when they were last used, and whether they are silent.
    pub(super) idle: BTreeMap<usize, VecDeque<(Time, bool)>>,
}

#[derive(Debug)]
pub(super) enum InstanceDispatcher {
    Product(Box<Dispatcher>),
    Baseline(BaselineDispatcher),
}

#[derive(Debug)]
pub(super) struct SimulatedTarget {
    pub(super) region: usize,
    /// Index of its failure domain within the region.
    pub(super) domain: usize,
    pub(super) is_up: bool,
    pub(super) is_leaving: bool,
    pub(super) running: Vec<AttemptId>,
}

impl Simulation<'_> {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    /// Returns the one-way delay between an instance and a target.
    pub(super) fn delay(&self, instance: usize, target: usize) -> Duration {
        delay(
            self.scenario,
            self.instances[instance].region,
            self.targets[target].region,
        )
    }
}

/// Returns the one-way delay between two regions.
pub(super) fn delay(scenario: &Scenario, from: usize, to: usize) -> Duration {
    if from == to {
        LOCAL_DELAY
    } else {
        scenario.region_delay
    }
}

pub(super) fn region_name(idx: usize) -> RegionId {
    format!("r{idx}").into()
}

pub(super) fn target_name(idx: usize) -> String {
    format!("t{idx}")
}

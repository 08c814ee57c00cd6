//! One service's targets behind several instances, driven by seeded demand in virtual time.
//!
//! Instances decide by the product's [`Dispatcher`](dispatch::Dispatcher) or by a baseline; targets are slots that
//! refuse what is over them. Delays, reports and connections are small fakes in one event queue.

mod baseline;
mod event;
mod incident;
mod measure;
mod setup;
mod world;

pub use baseline::Choice;
pub use measure::{Measures, WorkspaceMeasures};
pub use world::run;

use std::time::Duration;

/// Lists the ways to decide that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decider {
    /// The product's dispatcher.
    Product,
    /// A baseline.
    Baseline {
        /// How it chooses a target.
        choice: Choice,
        /// Attempts that it makes in all.
        attempts: u32,
        /// Whether it holds requests in a first-come-first-served queue while all slots are taken.
        is_queueing: bool,
    },
}

/// Lists what goes wrong or is done, each at a time from the start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Incident {
    /// A workspace sends this many times its usual demand for the duration.
    Flood(usize, f64, Duration, Duration),
    /// All targets of a region and domain index end at once.
    DomainLost(usize, usize, Duration),
    /// All targets and instances of a region end at once.
    RegionLost(usize, Duration),
    /// A target reports no load and slows down tenfold.
    Liar(usize, Duration),
    /// Reports of load stop.
    ReportsStop(Duration),
    /// A target says that it is leaving, and ends once it has been idle.
    Drain(usize, Duration),
    /// Every target is cold from this time on for the duration: requests take this much longer.
    Cold(Duration, Duration, Duration),
    /// A request that ends its target comes again and again, once an interval.
    Poison(Duration, Duration),
    /// This share of the open connections goes silent.
    Silent(f64, Duration),
}

/// Describes a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How instances decide.
    pub decider: Decider,
    /// Number of regions, each with two failure domains.
    pub regions: usize,
    /// Instances of each region.
    pub instances_per_region: usize,
    /// Targets of each region.
    pub targets_per_region: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Mean time that a request takes on a target.
    pub work: Duration,
    /// One-way delay between regions.
    pub region_delay: Duration,
    /// One-way delay between callers and instances.
    pub client_delay: Duration,
    /// Offered demand as a share of the targets' capacity.
    pub load: f64,
    /// Relative demand of each workspace.
    pub workspaces: Vec<f64>,
    /// Share of the requests that may run at most once.
    pub once_share: f64,
    /// Time that callers wait.
    pub deadline: Duration,
    /// Length of the run.
    pub length: Duration,
    /// Start of the part of the run that is measured.
    pub measured_from: Duration,
    /// What goes wrong or is done.
    pub incidents: Vec<Incident>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            decider: Decider::Product,
            regions: 3,
            instances_per_region: 3,
            targets_per_region: 4,
            slots: 5,
            work: Duration::from_millis(40),
            region_delay: Duration::from_millis(55),
            client_delay: Duration::from_millis(1),
            load: 0.7,
            workspaces: vec![3.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0],
            once_share: 0.2,
            deadline: Duration::from_secs(1),
            length: Duration::from_secs(30),
            measured_from: Duration::from_secs(10),
            incidents: Vec::new(),
            seed: 1,
        }
    }
}

impl Scenario {
    /// Returns the requests per second that all targets can serve.
    pub fn capacity(&self) -> f64 {
        let slots = self.regions * self.targets_per_region * self.slots as usize;
        slots as f64 / self.work.as_secs_f64()
    }

    /// Returns the usual requests per second of a workspace.
    pub fn demand_of(&self, workspace: usize) -> f64 {
        let all: f64 = self.workspaces.iter().sum();
        self.capacity() * self.load * self.workspaces[workspace] / all
    }
}

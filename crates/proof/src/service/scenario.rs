//! Parameters of a run: the strategy, the sizes and the incidents.

use std::time::Duration;

use super::baseline::TargetSelection;

/// Lists the dispatch strategies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// The product's dispatcher.
    Product,
    /// A simple proxy to compare with.
    Baseline {
        /// How it selects a target.
        selection: TargetSelection,
        /// Maximum number of attempts for a request, including the first.
        max_attempts: u32,
        /// Whether it queues requests first-in, first-out while it has filled all slots.
        is_queueing: bool,
    },
}

/// Lists faults and operations; the times at which they begin count from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Incident {
    /// A workspace sends its usual demand times a factor, from a time for a duration.
    Flood(usize, f64, Duration, Duration),
    /// All targets with a region index and a domain index crash at a time.
    DomainLost(usize, usize, Duration),
    /// All targets and instances of a region crash at a time.
    RegionLost(usize, Duration),
    /// From a time on, a target reports no load and takes ten times as long for its work.
    UnderreportedLoad(usize, Duration),
    /// From a time on, targets report no load to any instance.
    ReportsStop(Duration),
    /// From a time on, a target reports that it is leaving; it ends once it is idle.
    Drain(usize, Duration),
    /// From a time for a duration, requests take longer on every target by the last duration.
    ColdStart(Duration, Duration, Duration),
    /// From a time on, a request that crashes its target is sent again once per interval.
    PoisonRequests(Duration, Duration),
    /// At a time, this share of the idle connections stops responding without being closed.
    SilentConnections(f64, Duration),
}

/// Describes a run: how large the deployment is, what it is asked and what befalls it.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How instances dispatch requests.
    pub strategy: Strategy,
    /// Number of regions, each with two failure domains.
    pub regions: usize,
    /// Number of instances in each region.
    pub instances_per_region: usize,
    /// Number of targets in each region.
    pub targets_per_region: usize,
    /// Number of slots of each target.
    pub slots: u32,
    /// Mean time that a request takes on a target.
    pub work: Duration,
    /// One-way delay between regions.
    pub region_delay: Duration,
    /// One-way delay between callers and instances.
    pub client_delay: Duration,
    /// Total demand as a fraction of the targets' capacity.
    pub load: f64,
    /// Relative demand of each workspace.
    pub workspaces: Vec<f64>,
    /// Share of the requests that are non-idempotent and may run at most once.
    pub non_idempotent_share: f64,
    /// Time after which callers stop waiting for a response.
    pub deadline: Duration,
    /// Time during which requests are sent.
    pub length: Duration,
    /// Time from which requests are measured; those sent earlier are the warm-up.
    pub measured_from: Duration,
    /// Faults and operations during the run.
    pub incidents: Vec<Incident>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            strategy: Strategy::Product,
            regions: 3,
            instances_per_region: 3,
            targets_per_region: 4,
            slots: 5,
            work: Duration::from_millis(40),
            region_delay: Duration::from_millis(55),
            client_delay: Duration::from_millis(1),
            load: 0.7,
            workspaces: vec![3.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0],
            non_idempotent_share: 0.2,
            deadline: Duration::from_secs(1),
            length: Duration::from_secs(30),
            measured_from: Duration::from_secs(10),
            incidents: Vec::new(),
            seed: 1,
        }
    }
}

impl Scenario {
    /// Returns the requests per second that all targets together can serve.
    pub fn capacity(&self) -> f64 {
        let slots = self.regions * self.targets_per_region * self.slots as usize;
        slots as f64 / self.work.as_secs_f64()
    }

    /// Returns the requests per second that a workspace sends without an incident.
    pub fn demand_of(&self, workspace: usize) -> f64 {
        let total: f64 = self.workspaces.iter().sum();
        self.capacity() * self.load * self.workspaces[workspace] / total
    }
}

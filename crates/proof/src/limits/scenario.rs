//! Parameters of a run: the quota, its demand and the faults.

use std::time::Duration;

use coord::{Quota, QuotaSplit};

/// Describes how the workspace's demand is spread over the instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Demand {
    /// Every instance gets the same demand.
    Even,
    /// The first instance gets this share; the others get equal parts of the rest.
    Hot(f64),
    /// One instance at a time gets this share; it changes after this many seconds.
    Rotating(f64, u64),
}

/// Lists the faults of a run; the times at which they begin count from its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The owner fails at a time; a successor takes over after the second duration, if at all.
    OwnerLost(Duration, Option<Duration>),
    /// An instance is paused from a time for a duration; events for it wait until then.
    Paused(usize, Duration, Duration),
    /// Messages between an instance and the owner are lost from a time for a duration.
    Disconnected(usize, Duration, Duration),
    /// This share of all messages is lost.
    MessageLoss(f64),
    /// An instance other than the owner's is replaced by one without state.
    Replaced(usize, Duration),
}

/// Describes a run: a workspace's quota, who asks for how much of it, and what fails.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How the workspace's quota is divided into reservations and the owner's part.
    pub split: QuotaSplit,
    /// Whether there is an owner that grants tokens.
    pub has_owner: bool,
    /// Whether instances lend their reservations to the owner while it can be reached.
    pub lends_reservations: bool,
    /// Number of instances.
    pub instances: usize,
    /// Quota of the workspace.
    pub quota: Quota,
    /// Mean demand as a multiple of the quota's rate.
    pub load: f64,
    /// How the demand is spread over the instances.
    pub demand: Demand,
    /// Share of the demand that arrives in batches, and the number of requests in a batch.
    pub batches: (f64, u32),
    /// How often a caller asks at most: refused ones come back at the time that they were told.
    pub max_tries: u32,
    /// Time during which requests arrive.
    pub length: Duration,
    /// One-way delay between regions; instances are spread over three regions.
    pub region_delay: Duration,
    /// Maximum deviation of an instance's clock rate, as a fraction.
    pub clock_drift: f64,
    /// Faults of the run.
    pub faults: Vec<Fault>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            split: QuotaSplit {
                reserved_share: 1.0,
                ..QuotaSplit::default()
            },
            has_owner: true,
            lends_reservations: true,
            instances: 10,
            quota: Quota {
                rate: 200.0,
                burst: 100.0,
            },
            load: 0.9,
            demand: Demand::Even,
            batches: (0.0, 1),
            max_tries: 1,
            length: Duration::from_secs(120),
            region_delay: Duration::from_millis(55),
            clock_drift: 0.01,
            faults: Vec::new(),
            seed: 1,
        }
    }
}

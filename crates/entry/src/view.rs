//! What the handlers see of the deployment, and the clock.

use std::{
    net::SocketAddr,
    sync::{Arc, LazyLock},
};

use base::{Config, DomainId, Incarnation, InstanceId, RegionId, Time};
use coord::Standing;
use steer::Candidate;
use tokio::time::Instant;

/// Region of an instance whose failure domain the configuration does not name.
static NO_REGION: LazyLock<RegionId> = LazyLock::new(|| RegionId::from(""));

/// Reads the runtime's clock as [`Time`] since an origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Returns the runtime's instant of `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + (time - Time::ZERO)
    }
}

/// Describes an instance that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPoint {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Life of the instance.
    pub incarnation: Incarnation,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Address of its listener for callers.
    pub addr: SocketAddr,
}

/// Shows the handlers what is in force.
#[derive(Debug, Clone)]
pub struct View {
    /// Configuration and its version.
    pub config: Option<(u64, Arc<Config>)>,
    /// How the instance stands towards the latest configuration.
    pub standing: Standing,
    /// Instances that callers may be sent to.
    pub entries: Vec<EntryPoint>,
    /// Whether this instance is leaving.
    pub is_leaving: bool,
}

impl View {
    /// Returns the instances that callers may be sent to, as look-ups order them.
    pub fn candidates<'a>(&'a self, config: &'a Config) -> Vec<Candidate<'a>> {
        self.entries
            .iter()
            .map(|entry| Candidate {
                instance: &entry.instance,
                domain: &entry.domain,
                region: config.region_of(&entry.domain).unwrap_or(&NO_REGION),
            })
            .collect()
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            config: None,
            standing: Standing::Empty,
            entries: Vec::new(),
            is_leaving: false,
        }
    }
}

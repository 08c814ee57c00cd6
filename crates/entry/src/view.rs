//! What the handlers see of the deployment, and the clock.

use std::{
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::Duration,
};

use base::{Config, DomainId, Incarnation, InstanceId, RegionId, Time};
use coord::Freshness;
use rustix::time::{ClockId, clock_gettime};
use steer::Candidate;
use tokio::time::Instant;

/// Region of an instance whose failure domain the configuration does not name.
static NO_REGION: LazyLock<RegionId> = LazyLock::new(|| RegionId::from(""));

/// Reads the runtime's clock as [`Time`] since an origin.
///
/// The runtime's clock stands still while the machine is suspended. The time that it missed is
/// added, so that whatever was to end meanwhile has ended on waking.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    /// What the clock that counts suspensions was ahead at the origin.
    ahead: Duration,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            ahead: ahead(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended()
    }

    /// Returns the runtime's instant of `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + (time - Time::ZERO).saturating_sub(self.suspended())
    }

    /// Returns how long the machine has been suspended since the origin.
    fn suspended(&self) -> Duration {
        let passed = ahead().saturating_sub(self.ahead);
        // The two clocks are read one after the other.
        if passed < LEAST_SUSPENSION {
            Duration::ZERO
        } else {
            passed
        }
    }
}

/// Shorter differences between the two clocks are no suspension.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Returns by how much the clock that counts suspensions is ahead of the one that does not.
fn ahead() -> Duration {
    let since = |id| {
        let at = clock_gettime(id);
        Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec.unsigned_abs() as u32)
    };
    let steady = since(ClockId::Monotonic);
    since(ClockId::Boottime).saturating_sub(steady)
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
    pub standing: Freshness,
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
            standing: Freshness::Empty,
            entries: Vec::new(),
            is_leaving: false,
        }
    }
}

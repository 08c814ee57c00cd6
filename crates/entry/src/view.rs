//! Snapshot of the deployment's state for request handlers, and the process's clock.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::Duration,
};

use base::{Config, DomainId, Incarnation, InstanceId, RegionId, TargetId, Time};
use coord::Freshness;
use rustix::time::{ClockId, clock_gettime};
use steer::Candidate;
use tokio::time::Instant;

/// Region of an instance whose failure domain is not in the configuration.
static UNKNOWN_REGION: LazyLock<RegionId> = LazyLock::new(RegionId::unknown);

/// Measures [`Time`] since its start, including time for which the machine was suspended.
///
/// The runtime's clock stops while the machine is suspended. This clock adds the time that it
/// missed, so that leases and deadlines which ended meanwhile have expired on resume.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    /// Offset between the boot-time and the monotonic clock at the origin.
    boottime_offset: Duration,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            boottime_offset: boottime_offset(),
        }
    }

    /// Returns the time since the origin, including suspensions.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed() + self.suspended()
    }

    /// Converts `time` to an instant of the runtime's clock.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + (time - Time::ZERO).saturating_sub(self.suspended())
    }

    /// Returns how long the machine has been suspended since the origin.
    fn suspended(&self) -> Duration {
        let suspended = boottime_offset().saturating_sub(self.boottime_offset);
        // The two clocks are not read at the same moment, so small differences are noise.
        if suspended < MIN_SUSPENSION {
            Duration::ZERO
        } else {
            suspended
        }
    }
}

/// Minimum difference between the two clocks that counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Returns the offset between the boot-time clock, which includes suspensions, and the monotonic
/// clock, which does not.
fn boottime_offset() -> Duration {
    let read = |id| {
        let time = clock_gettime(id);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            time.tv_nsec.unsigned_abs() as u32,
        )
    };
    let monotonic = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(monotonic)
}

/// Describes the address and location of an instance that callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPoint {
    /// ID of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance, which changes with each start.
    pub incarnation: Incarnation,
    /// Failure domain in which the instance runs.
    pub domain: DomainId,
    /// Address of the instance's listener for callers.
    pub addr: SocketAddr,
}

/// Provides request handlers with a snapshot of the active configuration and the instances.
#[derive(Debug, Clone)]
pub struct View {
    /// Version and content of the active configuration.
    pub config: Option<(u64, Arc<Config>)>,
    /// Targets that the configuration has in service, and others have reported to have left.
    pub departed: Arc<BTreeSet<TargetId>>,
    /// Freshness of the active configuration.
    pub freshness: Freshness,
    /// Instances that callers may use.
    pub entries: Vec<EntryPoint>,
    /// Whether this instance is leaving and asks callers to close their connections.
    pub is_leaving: bool,
}

impl View {
    /// Returns the instances that callers may use as candidates for a look-up.
    pub fn candidates<'a>(&'a self, config: &'a Config) -> Vec<Candidate<'a>> {
        self.entries
            .iter()
            .map(|entry| Candidate {
                instance: &entry.instance,
                domain: &entry.domain,
                region: config.region_of(&entry.domain).unwrap_or(&UNKNOWN_REGION),
            })
            .collect()
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            config: None,
            departed: Arc::default(),
            freshness: Freshness::Empty,
            entries: Vec::new(),
            is_leaving: false,
        }
    }
}

//! The configuration that operators' answers generate and every instance puts in force.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{DomainId, InstanceId, KeyDigest, KeyId, RegionId, ServiceId, TargetId, WorkspaceId};

/// Describes a whole deployment: what is served, for whom, and from where.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: String,
    /// Failure domains by name.
    pub domains: BTreeMap<DomainId, Domain>,
    /// Delays and rates between regions.
    pub links: Links,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Keys in force, by their public name.
    #[serde(default)]
    pub keys: BTreeMap<KeyId, Key>,
    /// What operators have taken out of service.
    #[serde(default)]
    pub drains: Drains,
    /// Routes; without any, the first segment of a path names the service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Bounds on what callers may send.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

/// Bounds what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: u32,
    /// Most bytes of a request's body.
    pub body_bytes: u64,
    /// Time in which a head must arrive, in milliseconds.
    pub head_timeout_ms: u32,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// Tells whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It may run at most once.
    Once,
}

/// Sends the requests of one host below one path prefix to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: RouteKind,
    /// Services that serve it, in proportion to their weights.
    pub services: Vec<WeightedService>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Latency objective, in milliseconds.
    pub objective_ms: u32,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether it needs no key.
    #[serde(default)]
    pub is_open: bool,
    /// Whether a target that has lately handled an object is faster with it.
    #[serde(default)]
    pub is_sticky: bool,
    /// Regions in which it may be served; empty for all.
    #[serde(default)]
    pub homes: BTreeSet<RegionId>,
}

/// Gives one service's part of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Part relative to the others.
    pub weight: u32,
}

/// Names what takes no new work by an operator's word.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// Targets.
    #[serde(default)]
    pub targets: BTreeSet<TargetId>,
    /// Instances; callers are sent elsewhere.
    #[serde(default)]
    pub instances: BTreeSet<InstanceId>,
    /// Failure domains with their targets and instances.
    #[serde(default)]
    pub domains: BTreeSet<DomainId>,
    /// Regions with their targets and instances.
    #[serde(default)]
    pub regions: BTreeSet<RegionId>,
    /// Failure domains whose targets get nothing, while their instances go on.
    #[serde(
        rename = "targets_of",
        default,
        skip_serializing_if = "BTreeSet::is_empty"
    )]
    pub targets_in_domains: BTreeSet<DomainId>,
}

/// Describes one failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Region that the domain belongs to.
    pub region: RegionId,
}

/// Gives the delays and the capacity between regions.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// One-way delay between two regions, in milliseconds.
    pub region_delay_ms: u32,
    /// One-way delay between callers and their nearest region, in milliseconds.
    pub client_delay_ms: u32,
    /// Rate between two regions in each direction, in Mbit/s.
    pub region_mbit_per_s: u32,
    /// Largest share of a service's traffic that may move between regions in one minute, 0 to 1.
    pub shift_cap_per_min: f64,
}

/// Describes one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one target runs at the same time.
    pub slots: u32,
    /// Connections that one target accepts.
    pub connections: u32,
    /// Time after which an unanswered request is given up on, in milliseconds.
    pub deadline_ms: u32,
    /// Path prefixes below the service that need no key.
    #[serde(default)]
    pub open_routes: Vec<String>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// What a cold target bears; `None` where it bears all that a warm one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

/// Tells what a target bears while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests per second from all instances together.
    #[serde(rename = "per_s")]
    pub max_per_s: f64,
    /// How long a target is cold after its start, in milliseconds.
    #[serde(rename = "ms")]
    pub duration_ms: u32,
}

/// Describes one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// IP number and port.
    pub addr: std::net::SocketAddr,
    /// What it registered, where targets come and go by registration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registered: Option<Registration>,
}

/// Holds what a target says of itself when it registers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// How much longer it is cold, in milliseconds from when it said so.
    pub cold_ms: u32,
    /// Life of the target: a restarted one knows nothing of before.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Describes one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Requests per second over all instances together.
    pub rate: f64,
    /// Requests that may come at once over all instances together.
    pub burst: f64,
    /// Share of contended targets relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rank, which goes before that of routes; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub priority: u32,
    /// Regions in which its requests may be served; empty for all.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<RegionId>,
}

impl Default for Workspace {
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            weight: default_weight(),
            priority: 0,
            homes: BTreeSet::new(),
        }
    }
}

/// Describes one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Workspace whose requests the key admits.
    pub workspace: WorkspaceId,
    /// Digest of the key.
    pub digest: KeyDigest,
}

impl Config {
    /// Returns the region of `domain`, or `None` where the domain is unknown.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.domains.get(domain).map(|found| &found.region)
    }

    /// Returns `true` where `domain` is drained, by itself or with its region.
    pub fn is_domain_drained(&self, domain: &DomainId) -> bool {
        self.drains.domains.contains(domain)
            || self
                .region_of(domain)
                .is_some_and(|region| self.drains.regions.contains(region))
    }

    /// Returns `true` where the target `id` may be given new work.
    pub fn is_target_in_service(&self, service: &ServiceId, id: &TargetId) -> bool {
        self.services
            .get(service)
            .and_then(|svc| svc.targets.get(id))
            .is_some_and(|target| {
                !self.drains.targets.contains(id)
                    && !self.drains.targets_in_domains.contains(&target.domain)
                    && !self.is_domain_drained(&target.domain)
                    && !target.registered.is_some_and(|told| told.is_leaving)
            })
    }

    /// Returns `true` where `path` below `service` needs no key.
    pub fn is_open(&self, service: &ServiceId, path: &str) -> bool {
        self.services.get(service).is_some_and(|svc| {
            svc.open_routes.iter().any(|prefix| {
                path.strip_prefix(prefix.as_str())
                    .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
            })
        })
    }
}

/// Returns the text of a configuration that is stored and whose digest names it.
pub fn canonical_json(config: &Config) -> String {
    serde_json::to_string(config).unwrap_or_default()
}

/// Returns the content address of a configuration's text.
pub fn config_digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

fn default_weight() -> u32 {
    1
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

//! The configuration model. Configurations are generated from operators' answers to a questionnaire, or
//! composed from the platform's tables, and every instance applies them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    DomainId, InstanceId, KeyDigest, KeyId, RegionId, ServiceId, Shared, TargetId, WorkspaceId,
};

/// Describes a whole deployment: its services and targets, the workspaces that may use them, and
/// where they run.
///
/// Its clones share workspaces, keys and routes, which don't change with the targets.
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
    pub workspaces: Shared<BTreeMap<WorkspaceId, Workspace>>,
    /// Valid API keys, by their public name.
    #[serde(default)]
    pub keys: Shared<BTreeMap<KeyId, Key>>,
    /// Targets, instances, failure domains and regions that operators have drained.
    #[serde(default)]
    pub drains: Drains,
    /// Routes; where there are none, the first segment of a path names the service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Shared<Vec<Route>>,
    /// Limits on callers' requests; `None` where instances apply their own limits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

/// Limits the size of callers' requests and the time that they may take to send them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time within which a whole head must arrive, in milliseconds.
    pub head_timeout_ms: u32,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// Tells whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Running it twice has the same effect as running it once.
    Idempotent,
    /// It may run at most once.
    Once,
}

/// Maps the requests for one host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that requests carry.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: RouteKind,
    /// Services that share the route's requests in proportion to their weights.
    pub services: Vec<WeightedService>,
    /// Maximum timeout of a request, in milliseconds; applies also to requests that set none.
    pub timeout_ms: u32,
    /// Latency objective, in milliseconds.
    pub objective_ms: u32,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    pub is_open: bool,
    /// Whether requests for an object prefer targets that have handled it recently, since these
    /// answer faster.
    #[serde(default)]
    pub is_sticky: bool,
    /// Regions in which the route's requests may be served; empty for all.
    #[serde(default)]
    pub homes: BTreeSet<RegionId>,
}

/// Assigns a share of a route's requests to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Share relative to the weights of the route's other services.
    pub weight: u32,
}

/// Lists what operators have drained: it finishes running requests and gets no new ones.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// Drained targets.
    #[serde(default)]
    pub targets: BTreeSet<TargetId>,
    /// Drained instances; callers are directed to others.
    #[serde(default)]
    pub instances: BTreeSet<InstanceId>,
    /// Failure domains drained with all their targets and instances.
    #[serde(default)]
    pub domains: BTreeSet<DomainId>,
    /// Regions drained with all their targets and instances.
    #[serde(default)]
    pub regions: BTreeSet<RegionId>,
    /// Failure domains whose targets are drained while their instances stay in service.
    #[serde(
        rename = "targets_of",
        default,
        skip_serializing_if = "BTreeSet::is_empty"
    )]
    pub targets_in_domains: BTreeSet<DomainId>,
}

/// Assigns a failure domain to a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Region that the domain belongs to.
    pub region: RegionId,
}

/// Describes the network between regions: delays, bandwidth and the limit on shifted traffic.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// One-way delay between two regions, in milliseconds.
    pub region_delay_ms: u32,
    /// One-way delay between callers and their nearest region, in milliseconds; nothing reads it, and it
    /// is written for builds that refuse a configuration without it.
    #[serde(default)]
    pub client_delay_ms: u32,
    /// Bandwidth between two regions in each direction, in Mbit/s; 0 if it is unknown, which sets no
    /// limit.
    pub region_mbit_per_s: u32,
    /// Maximum share of a service's traffic that may move between regions in one minute, 0 to 1.
    pub shift_cap_per_min: f64,
}

/// Describes one service: the capacity of its targets, its timeout and its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Maximum number of requests that one target runs concurrently, unless it registers its own.
    pub slots: u32,
    /// Maximum number of connections that one target accepts.
    pub connections: u32,
    /// Maximum timeout of a request where there are no routes, in milliseconds; applies also to requests
    /// that set none.
    pub deadline_ms: u32,
    /// Path prefixes below the service that need no API key, where there are no routes.
    #[serde(default)]
    pub open_routes: Vec<String>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Limit on cold targets; `None` where they take as much load as warm ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

impl Service {
    /// Returns the number of requests that a target of the service runs concurrently: what it has
    /// registered, or else what the service says.
    pub fn slots_of(&self, target: &Target) -> u32 {
        target
            .registered
            .map_or(self.slots, |registration| registration.slots)
    }

    /// Returns the targets that have left, if nothing else of the service has changed since `before`.
    fn departures_since(&self, before: &Self) -> Option<Vec<TargetId>> {
        let Self {
            slots,
            connections,
            deadline_ms,
            open_routes,
            targets,
            cold,
        } = self;
        let is_same = *slots == before.slots
            && *connections == before.connections
            && *deadline_ms == before.deadline_ms
            && *open_routes == before.open_routes
            && *cold == before.cold;
        if !is_same {
            return None;
        }
        let mut departures = Vec::new();
        let mut kept = 0;
        for (id, was) in &before.targets {
            let now = targets.get(id);
            kept += usize::from(now.is_some());
            if now == Some(was) {
                continue;
            }
            if now.is_some_and(|now| !now.has_only_left(was)) {
                return None;
            }
            departures.push(id.clone());
        }
        (kept == targets.len()).then_some(departures)
    }
}

/// Limits the load on a target during its warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Maximum number of requests per second from all instances together.
    #[serde(rename = "per_s")]
    pub max_per_s: f64,
    /// Length of the warm-up after a target's start, in milliseconds.
    #[serde(rename = "ms")]
    pub duration_ms: u32,
}

/// Locates one target and holds what it has registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// IP address and port.
    pub addr: std::net::SocketAddr,
    /// Its registration; `None` where the configuration lists targets itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registered: Option<Registration>,
}

impl Target {
    /// Returns whether the entry says that the target is leaving, and puts it where `before` does with as many slots.
    fn has_only_left(&self, before: &Self) -> bool {
        let (Some(now), Some(was)) = (self.registered, before.registered) else {
            return false;
        };
        now.is_leaving
            && now.slots == was.slots
            && self.domain == before.domain
            && self.addr == before.addr
    }
}

/// Describes a target as it registers itself.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Remaining warm-up time when it registered, in milliseconds.
    pub cold_ms: u32,
    /// Incarnation of the target: it changes with a restart, which loses the target's state.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Rate, in requests per second, from which on a workspace has no limit.
pub const UNLIMITED_RATE: f64 = u32::MAX as f64;

/// Describes one workspace: its rate limit, its scheduling weight and priority, and its regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Rate limit in requests per second, over all instances together; none from [`UNLIMITED_RATE`] on.
    pub rate: f64,
    /// Burst in requests, over all instances together.
    pub burst: f64,
    /// Weight among workspaces that compete for the same targets.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority, which takes precedence over that of routes; 0 is the highest.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub priority: u32,
    /// Regions in which the workspace's requests may be served; empty for all.
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

/// Assigns an API key to a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Workspace that requests with this key belong to.
    pub workspace: WorkspaceId,
    /// Digest of the API key.
    pub digest: KeyDigest,
}

impl Config {
    /// Returns the region of `domain`, or `None` if the domain is unknown.
    pub fn region_of(&self, domain: &DomainId) -> Option<&RegionId> {
        self.domains.get(domain).map(|domain| &domain.region)
    }

    /// Returns `true` if `domain` is drained, by itself or with its region.
    pub fn is_domain_drained(&self, domain: &DomainId) -> bool {
        self.drains.domains.contains(domain)
            || self
                .region_of(domain)
                .is_some_and(|region| self.drains.regions.contains(region))
    }

    /// Returns `true` if the target `id` may get new requests.
    pub fn is_target_in_service(&self, service: &ServiceId, id: &TargetId) -> bool {
        self.is_target_available(service, id) && !self.is_target_drained(service, id)
    }

    /// Returns `true` if the target `id` has an entry, and one that doesn't say that it is leaving.
    pub fn is_target_available(&self, service: &ServiceId, id: &TargetId) -> bool {
        self.target(service, id).is_some_and(|target| {
            !target
                .registered
                .is_some_and(|registration| registration.is_leaving)
        })
    }

    /// Returns `true` if operators have taken the target `id` out of service, by itself, with its
    /// domain or with its region.
    pub fn is_target_drained(&self, service: &ServiceId, id: &TargetId) -> bool {
        let is_drained_with = |target: &Target| {
            self.drains.targets_in_domains.contains(&target.domain)
                || self.is_domain_drained(&target.domain)
        };
        self.drains.targets.contains(id) || self.target(service, id).is_some_and(is_drained_with)
    }

    /// Returns the targets whose entries have gone or say now that they are leaving, if nothing else has changed since
    /// `before`; none of them gets requests.
    ///
    /// What both share isn't compared, so the cost doesn't grow with routes, workspaces and keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::Config;
    ///
    /// let before = Config::default();
    /// let mut after = before.clone();
    /// assert_eq!(after.departures_since(&before), Some(Vec::new()));
    /// after.drains.targets.insert("t1".into());
    /// assert_eq!(after.departures_since(&before), None);
    /// ```
    pub fn departures_since(&self, before: &Self) -> Option<Vec<(ServiceId, TargetId)>> {
        let Self {
            deployment,
            domains,
            links,
            services,
            workspaces,
            keys,
            drains,
            routes,
            caller_limits,
        } = self;
        let is_same = *deployment == before.deployment
            && *domains == before.domains
            && *links == before.links
            && *workspaces == before.workspaces
            && *keys == before.keys
            && *drains == before.drains
            && *routes == before.routes
            && *caller_limits == before.caller_limits
            && services.len() == before.services.len();
        if !is_same {
            return None;
        }
        let mut departures = Vec::new();
        for (id, service) in services {
            let left = service.departures_since(before.services.get(id)?)?;
            departures.extend(left.into_iter().map(|target| (id.clone(), target)));
        }
        Some(departures)
    }

    fn target(&self, service: &ServiceId, id: &TargetId) -> Option<&Target> {
        self.services.get(service)?.targets.get(id)
    }

    /// Returns `true` if an open route of `service` covers `path`, so that it needs no API key.
    pub fn is_open(&self, service: &ServiceId, path: &str) -> bool {
        self.services.get(service).is_some_and(|svc| {
            svc.open_routes.iter().any(|prefix| {
                path.strip_prefix(prefix.as_str())
                    .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
            })
        })
    }
}

/// Returns the canonical JSON text of a configuration: the text that is stored under its digest.
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

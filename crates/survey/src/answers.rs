//! The answers to the questionnaire and their validation.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use base::{CallerLimits, RouteKind};
use serde::{Deserialize, Serialize};
use settings::{Document, Finding, Findings, parse};

/// Describes a deployment in an operator's words; a configuration is generated from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answers {
    /// Deployment name.
    pub deployment: String,
    /// Failure domains, each with its region.
    pub domains: Vec<DomainAnswer>,
    /// One-way delay between two regions, in milliseconds.
    pub region_delay_ms: u32,
    /// One-way delay between callers and their nearest region, in milliseconds; nothing reads it.
    #[serde(default)]
    pub client_delay_ms: u32,
    /// Bandwidth between two regions in each direction, in Mbit/s.
    pub region_mbit_per_s: u32,
    /// Maximum share of a service's traffic that may move between regions within one minute, above
    /// 0 and at most 1.
    #[serde(default = "default_shift_cap")]
    pub shift_cap_per_min: f64,
    /// Services by name.
    pub services: BTreeMap<String, ServiceAnswer>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceAnswer>,
    /// Routes by name, which select the service by host and path; if there are none, the first path
    /// segment names the service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<String, RouteAnswer>,
    /// Limits on what callers may send; if absent, the instances' own settings apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<CallerLimits>,
}

/// Describes a route, which maps a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Host name that a request must carry.
    pub host: String,
    /// Path prefix that a request must have; the longest matching prefix wins.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Weight of each service that the route leads to, by service name.
    pub services: BTreeMap<String, u32>,
    /// Maximum timeout of a request, in milliseconds.
    pub timeout_ms: u32,
    /// Response time up to which a request meets the latency objective, in milliseconds.
    pub objective_ms: u32,
    /// Maximum number of targets to which a request is sent.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub is_open: bool,
    /// Whether requests for the same object are routed to the same target.
    #[serde(default)]
    pub is_sticky: bool,
    /// Regions in which requests may run; empty for all.
    #[serde(default)]
    pub homes: Vec<String>,
}

/// Names a failure domain and the region that contains it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainAnswer {
    /// Failure domain name.
    pub name: String,
    /// Region name.
    pub region: String,
}

/// Describes a service and its targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Maximum number of concurrent requests of one target.
    pub slots: u32,
    /// Maximum number of connections to one target.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Time after which a request without a response times out, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Path prefixes below the service that need no API key.
    #[serde(default)]
    pub open_routes: Vec<String>,
    /// Addresses of the targets in each failure domain; empty where targets register themselves.
    pub targets: BTreeMap<String, Vec<SocketAddr>>,
    /// Whether targets register themselves.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_registering: bool,
    /// Duration of a target's cold start, in milliseconds; 0 for none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_ms: u32,
    /// Maximum rate of a target during its cold start, in requests per second.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_per_s: f64,
}

/// Describes a workspace with its quota and its share of contended targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAnswer {
    /// Rate limit over all instances together, in requests per second.
    pub rate: f64,
    /// Burst size over all instances together, in requests.
    pub burst: f64,
    /// Weight of the workspace's share of contended targets, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority; 0 is the highest. It takes precedence over the priority of a route.
    #[serde(default, skip_serializing_if = "is_default")]
    pub priority: u32,
    /// Regions in which requests may run; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<String>,
}

/// Parses and validates the text of an answers file; `file` is used in error messages only.
///
/// # Errors
///
/// [`Findings`] with the file, line, field and reason of each fault.
pub fn parse_answers(file: &Path, text: &str) -> Result<Answers, Findings> {
    parse(file, text, validate)
}

/// Service name that would collide with the path prefix of the instances' own endpoints.
const RESERVED_SERVICE_NAME: &str = "v1";

fn validate(doc: &Document<'_>, answers: &Answers) -> Vec<Finding> {
    let mut findings = Vec::new();
    if answers.domains.is_empty() {
        findings.push(doc.finding("domains", "at least one failure domain is needed"));
    }
    if !(answers.shift_cap_per_min > 0.0 && answers.shift_cap_per_min <= 1.0) {
        findings.push(doc.finding("shift_cap_per_min", "must be over 0 and at most 1"));
    }
    for (name, service) in &answers.services {
        findings.extend(validate_service(doc, answers, name, service));
    }
    for (name, workspace) in &answers.workspaces {
        let field = |part: &str| format!("workspaces.{name}.{part}");
        if !(workspace.rate.is_finite() && workspace.rate > 0.0) {
            findings.push(doc.finding(&field("rate"), "must be more than 0"));
        }
        if !(workspace.burst.is_finite() && workspace.burst >= 1.0) {
            findings.push(doc.finding(&field("burst"), "must be at least 1"));
        }
        if workspace.weight == 0 {
            findings.push(doc.finding(&field("weight"), "must be at least 1"));
        }
        for home in unknown_regions(answers, &workspace.homes) {
            findings.push(doc.finding(&field("homes"), &format!("no such region: {home}")));
        }
    }
    for (name, route) in &answers.routes {
        findings.extend(validate_route(doc, answers, name, route));
    }
    findings
}

/// Returns the regions in `homes` that no failure domain of the answers belongs to.
fn unknown_regions<'a>(answers: &Answers, homes: &'a [String]) -> Vec<&'a String> {
    let is_known = |home: &str| answers.domains.iter().any(|domain| domain.region == home);
    homes.iter().filter(|home| !is_known(home)).collect()
}

fn validate_route(
    doc: &Document<'_>,
    answers: &Answers,
    name: &str,
    route: &RouteAnswer,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut require = |is_valid: bool, field: &str, reason: &str| {
        if !is_valid {
            findings.push(doc.finding(&format!("routes.{name}.{field}"), reason));
        }
    };
    require(!route.host.is_empty(), "host", "must not be empty");
    require(
        route.prefix.starts_with('/') && route.prefix.ends_with('/'),
        "prefix",
        "must begin and end with a slash",
    );
    let is_duplicate = |(other_name, other): (&String, &RouteAnswer)| {
        other_name.as_str() != name && other.host == route.host && other.prefix == route.prefix
    };
    require(
        !answers.routes.iter().any(is_duplicate),
        "prefix",
        "another route has this host and prefix",
    );
    let mut services = route.services.keys();
    require(
        !route.services.is_empty()
            && services.all(|service| answers.services.contains_key(service)),
        "services",
        "must be services of these answers, at least one",
    );
    require(
        route.services.values().all(|weight| *weight > 0),
        "services",
        "weights must be at least 1",
    );
    require(route.timeout_ms > 0, "timeout_ms", "must be at least 1");
    require(
        (1..=route.timeout_ms.max(1)).contains(&route.objective_ms),
        "objective_ms",
        "must be at least 1 and at most timeout_ms",
    );
    require(route.attempts > 0, "attempts", "must be at least 1");
    require(
        unknown_regions(answers, &route.homes).is_empty(),
        "homes",
        "must be regions of these answers",
    );
    findings
}

fn validate_service(
    doc: &Document<'_>,
    answers: &Answers,
    name: &str,
    service: &ServiceAnswer,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let field = |part: &str| format!("services.{name}.{part}");
    if name == RESERVED_SERVICE_NAME || name.is_empty() || name.contains('/') {
        findings.push(doc.finding(
            &format!("services.{name}"),
            "is not usable as a path segment",
        ));
    }
    if service.slots == 0 {
        findings.push(doc.finding(&field("slots"), "must be at least 1"));
    }
    if service.deadline_ms == 0 {
        findings.push(doc.finding(&field("deadline_ms"), "must be at least 1"));
    }
    for domain in service.targets.keys() {
        if !answers.domains.iter().any(|known| known.name == *domain) {
            findings.push(doc.finding(&field(&format!("targets.{domain}")), "no such domain"));
        }
    }
    if (service.cold_ms > 0) != (service.cold_per_s > 0.0) {
        findings.push(doc.finding(
            &field("cold_ms"),
            "needs cold_per_s, and the other way round",
        ));
    }
    if service.targets.values().all(Vec::is_empty) && !service.is_registering {
        findings.push(doc.finding(&field("targets"), "at least one target is needed"));
    }
    findings
}

fn default_shift_cap() -> f64 {
    0.1
}

fn default_connections() -> u32 {
    300
}

fn default_deadline_ms() -> u32 {
    10_000
}

fn default_attempts() -> u32 {
    2
}

fn is_default<T>(value: &T) -> bool
where
    T: Default + PartialEq,
{
    *value == T::default()
}

fn default_weight() -> u32 {
    1
}

//! Answers to the questionnaire and their checks.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use base::{CallerLimits, RouteKind};
use serde::{Deserialize, Serialize};
use settings::{Document, Finding, Findings, parse};

/// Holds an operator's answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answers {
    /// Name of the deployment.
    pub deployment: String,
    /// Failure domains, each with its region.
    pub domains: Vec<DomainAnswer>,
    /// One-way delay between two regions, in milliseconds.
    pub region_delay_ms: u32,
    /// One-way delay between callers and their nearest region, in milliseconds.
    pub client_delay_ms: u32,
    /// Rate between two regions in each direction, in Mbit/s.
    pub region_mbit_per_s: u32,
    /// Largest share of a service's traffic that may move between regions in one minute, 0 to 1.
    #[serde(default = "default_shift_cap")]
    pub shift_cap_per_min: f64,
    /// Services by name.
    pub services: BTreeMap<String, ServiceAnswer>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceAnswer>,
    /// Routes by name, where hosts and paths choose the service; without any, the first segment of
    /// a path names it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<String, RouteAnswer>,
    /// What callers may send; without it the instances' own limits hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<CallerLimits>,
}

/// Describes a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteAnswer {
    /// Host that its requests name.
    pub host: String,
    /// Beginning of their paths; the longest that fits is taken.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Services that it leads to, each with its weight.
    pub services: BTreeMap<String, u32>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer meets the latency objective, in milliseconds.
    pub objective_ms: u32,
    /// Most targets that a request is sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Whether its requests need no key.
    #[serde(default)]
    pub is_open: bool,
    /// Whether requests about the same object are kept on the same target.
    #[serde(default)]
    pub is_sticky: bool,
    /// Regions in which its requests may run; empty for all.
    #[serde(default)]
    pub homes: Vec<String>,
}

/// Names a failure domain and its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainAnswer {
    /// Name of the domain.
    pub name: String,
    /// Name of its region.
    pub region: String,
}

/// Describes a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Requests that one target runs at the same time.
    pub slots: u32,
    /// Connections that one target accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Time after which an unanswered request is given up on, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Path prefixes below the service that need no key.
    #[serde(default)]
    pub open_routes: Vec<String>,
    /// Addresses of the targets in each failure domain; empty where targets register themselves.
    pub targets: BTreeMap<String, Vec<SocketAddr>>,
    /// Whether targets register themselves.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_registering: bool,
    /// Time for which a target is cold after its start, in milliseconds; 0 for none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_ms: u32,
    /// Requests per second that a cold target bears.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_per_s: f64,
}

/// Describes a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAnswer {
    /// Requests per second over all instances together.
    pub rate: f64,
    /// Requests that may come at once over all instances together.
    pub burst: f64,
    /// Share of contended targets relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rank; 0 is the most urgent. It goes before the rank of a route.
    #[serde(default, skip_serializing_if = "is_default")]
    pub priority: u32,
    /// Regions in which its requests may run; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<String>,
}

/// Reads and checks an answers file.
///
/// # Errors
///
/// [`Findings`] with file, line, field and reason of each fault.
pub fn parse_answers(file: &Path, text: &str) -> Result<Answers, Findings> {
    parse(file, text, findings)
}

const RESERVED_SERVICE: &str = "v1";

fn findings(doc: &Document<'_>, answers: &Answers) -> Vec<Finding> {
    let mut found = Vec::new();
    if answers.domains.is_empty() {
        found.push(doc.finding("domains", "at least one failure domain is needed"));
    }
    if !(answers.shift_cap_per_min > 0.0 && answers.shift_cap_per_min <= 1.0) {
        found.push(doc.finding("shift_cap_per_min", "must be over 0 and at most 1"));
    }
    for (name, service) in &answers.services {
        found.extend(service_findings(doc, answers, name, service));
    }
    for (name, workspace) in &answers.workspaces {
        let field = |part: &str| format!("workspaces.{name}.{part}");
        if !(workspace.rate.is_finite() && workspace.rate > 0.0) {
            found.push(doc.finding(&field("rate"), "must be more than 0"));
        }
        if !(workspace.burst.is_finite() && workspace.burst >= 1.0) {
            found.push(doc.finding(&field("burst"), "must be at least 1"));
        }
        if workspace.weight == 0 {
            found.push(doc.finding(&field("weight"), "must be at least 1"));
        }
        for home in unknown_regions(answers, &workspace.homes) {
            found.push(doc.finding(&field("homes"), &format!("no such region: {home}")));
        }
    }
    for (name, route) in &answers.routes {
        found.extend(route_findings(doc, answers, name, route));
    }
    found
}

fn unknown_regions<'a>(answers: &Answers, homes: &'a [String]) -> Vec<&'a String> {
    let is_known = |home: &str| answers.domains.iter().any(|domain| domain.region == home);
    homes.iter().filter(|home| !is_known(home)).collect()
}

fn route_findings(
    doc: &Document<'_>,
    answers: &Answers,
    name: &str,
    route: &RouteAnswer,
) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut expect = |is_met: bool, part: &str, reason: &str| {
        if !is_met {
            found.push(doc.finding(&format!("routes.{name}.{part}"), reason));
        }
    };
    expect(!route.host.is_empty(), "host", "must not be empty");
    expect(
        route.prefix.starts_with('/') && route.prefix.ends_with('/'),
        "prefix",
        "must begin and end with a slash",
    );
    let is_same_place = |(other, one): (&String, &RouteAnswer)| {
        other.as_str() != name && one.host == route.host && one.prefix == route.prefix
    };
    expect(
        !answers.routes.iter().any(is_same_place),
        "prefix",
        "another route has this host and prefix",
    );
    let mut services = route.services.keys();
    expect(
        !route.services.is_empty() && services.all(|one| answers.services.contains_key(one)),
        "services",
        "must be services of these answers, at least one",
    );
    expect(
        route.services.values().all(|weight| *weight > 0),
        "services",
        "weights must be at least 1",
    );
    expect(route.timeout_ms > 0, "timeout_ms", "must be at least 1");
    expect(
        (1..=route.timeout_ms.max(1)).contains(&route.objective_ms),
        "objective_ms",
        "must be at least 1 and at most timeout_ms",
    );
    expect(route.attempts > 0, "attempts", "must be at least 1");
    expect(
        unknown_regions(answers, &route.homes).is_empty(),
        "homes",
        "must be regions of these answers",
    );
    found
}

fn service_findings(
    doc: &Document<'_>,
    answers: &Answers,
    name: &str,
    service: &ServiceAnswer,
) -> Vec<Finding> {
    let mut found = Vec::new();
    let field = |part: &str| format!("services.{name}.{part}");
    if name == RESERVED_SERVICE || name.is_empty() || name.contains('/') {
        found.push(doc.finding(
            &format!("services.{name}"),
            "is not usable as a path segment",
        ));
    }
    if service.slots == 0 {
        found.push(doc.finding(&field("slots"), "must be at least 1"));
    }
    if service.deadline_ms == 0 {
        found.push(doc.finding(&field("deadline_ms"), "must be at least 1"));
    }
    for domain in service.targets.keys() {
        if !answers.domains.iter().any(|known| known.name == *domain) {
            found.push(doc.finding(&field(&format!("targets.{domain}")), "no such domain"));
        }
    }
    if (service.cold_ms > 0) != (service.cold_per_s > 0.0) {
        found.push(doc.finding(
            &field("cold_ms"),
            "needs cold_per_s, and the other way round",
        ));
    }
    if service.targets.values().all(Vec::is_empty) && !service.is_registering {
        found.push(doc.finding(&field("targets"), "at least one target is needed"));
    }
    found
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

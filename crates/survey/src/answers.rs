//! Answers to the questionnaire and their checks.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use settings::{Document, Finding, Findings, read};

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
    /// Addresses of the targets in each failure domain.
    pub targets: BTreeMap<String, Vec<SocketAddr>>,
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
}

/// Reads and checks an answers file.
///
/// # Errors
///
/// [`Findings`] with file, line, field and reason of each fault.
pub fn check(file: &Path, text: &str) -> Result<Answers, Findings> {
    read(file, text, findings)
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
    }
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
    if service.targets.values().all(Vec::is_empty) {
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

fn default_weight() -> u32 {
    1
}

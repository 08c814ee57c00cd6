//! What a deployment consists of when it starts.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Describes a deployment to start.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Failure domains, each in a region of its own, with one instance and one target each.
    pub domains: Vec<String>,
    /// Number of slots of each target.
    pub slots: u32,
    /// Rate of the workspace `club`, in requests per second.
    pub rate: f64,
    /// Burst of the workspace `club`, in requests.
    pub burst: f64,
    /// Names of the instances that get [`Relays`](super::Relays).
    pub relayed_instances: Vec<String>,
    /// Whether instances connect to targets through relays.
    pub has_target_relays: bool,
    /// Settings that override or extend those of every instance.
    pub settings: BTreeMap<String, Value>,
}

impl Default for DeploymentSpec {
    fn default() -> Self {
        Self {
            domains: ["sierra-norte", "costa-norte", "oriente-norte"]
                .map(str::to_owned)
                .to_vec(),
            slots: 4,
            rate: 1_000.0,
            burst: 1_000.0,
            relayed_instances: Vec::new(),
            has_target_relays: false,
            settings: BTreeMap::from([("lookup_ttl_ms".to_owned(), json!(500))]),
        }
    }
}

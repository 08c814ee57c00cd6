//! The daemon's settings.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::{Document, Finding, Findings, parse};

/// Holds the settings of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonSettings {
    /// Name of the instance, unique in the deployment.
    pub instance: String,
    /// Failure domain in which the instance runs.
    pub domain: String,
    /// Region of that failure domain.
    pub region: String,
    /// Address of the listener for callers.
    pub entry: SocketAddr,
    /// Address of the listener for operators and metrics.
    pub operator: SocketAddr,
    /// Address of the listener for other instances, over UDP.
    pub peer: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Whether the instances agree on secret and number of slots through the platform.
    #[serde(default)]
    pub agrees_on_facts: bool,
    /// Secret that authenticates messages between instances; at least 16 characters.
    #[serde(default)]
    pub secret: String,
    /// Number of slots that workspaces' rates are divided into, the same on all instances: the usual
    /// number of instances.
    #[serde(default)]
    pub slot_count: u32,
    /// Region of each failure domain, where the configuration does not say it.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Address at which the platform asks whether the instance is ready.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address at which callers ask for instances, where that is not the one for requests.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Bounds that the deployment keeps.
    #[serde(default)]
    pub bounds: Bounds,
    /// Largest body of a request, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
    /// Time in which a request's body must arrive, in milliseconds.
    #[serde(default = "default_body_timeout")]
    pub body_timeout_ms: u64,
    /// How long look-up answers may be kept by callers, in milliseconds.
    #[serde(default = "default_lookup_ttl")]
    pub lookup_ttl_ms: u64,
    /// How long the instance goes on without a confirmation of its configuration, in milliseconds.
    #[serde(default = "default_confirm_limit")]
    pub confirm_limit_ms: u64,
    /// What an instance does that is cut off from the platform and from all other instances.
    #[serde(default)]
    pub alone: IsolationPolicy,
    /// What lets an instance take over the shares of another one.
    #[serde(default)]
    pub takeover: TakeoverPolicy,
}

/// Bounds that a deployment keeps over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Requests sent again, as a fraction of the requests of a service.
    pub retry_fraction: f64,
    /// Requests sent again beyond that fraction in each window.
    pub retry_slack: f64,
    /// Length of that window, in seconds.
    pub retry_window_s: f64,
    /// Part of a workspace's rate and burst that may be passed.
    pub rate_overage: f64,
    /// Requests by which a workspace's rate may be passed beyond that part.
    pub rate_slack: f64,
    /// Largest share of a region's requests that may change region within two seconds.
    pub region_shift: f64,
    /// Time from the wish that a process end to its end by force, in seconds.
    pub stop_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            retry_fraction: 0.1,
            retry_slack: 0.0,
            retry_window_s: 10.0,
            rate_overage: 0.0,
            rate_slack: 0.0,
            region_shift: 0.1,
            stop_s: 60.0,
        }
    }
}

/// Chooses between availability and prompt withdrawal for an instance that is cut off from all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IsolationPolicy {
    /// Refuses requests that need a key, so that a withdrawn key stops.
    #[default]
    Refuse,
    /// Goes on with the last configuration.
    Serve,
}

/// Chooses what proves that another instance has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeoverPolicy {
    /// Its absence from the platform's list after having been there.
    #[default]
    Absence,
    /// Only the end of its horizon.
    Horizon,
}

/// Reads and checks the settings of one instance.
///
/// # Errors
///
/// [`Findings`] with file, line, field and reason of each fault.
pub fn parse_daemon_settings(file: &Path, text: &str) -> Result<DaemonSettings, Findings> {
    parse(file, text, findings)
}

const MIN_SECRET_CHARS: usize = 16;

fn findings(doc: &Document<'_>, cfg: &DaemonSettings) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut expect = |is_met: bool, field: &str, reason: &str| {
        if !is_met {
            found.push(doc.finding(field, reason));
        }
    };
    expect(!cfg.instance.is_empty(), "instance", "must not be empty");
    expect(!cfg.domain.is_empty(), "domain", "must not be empty");
    expect(!cfg.region.is_empty(), "region", "must not be empty");
    expect(
        cfg.agrees_on_facts || cfg.secret.chars().count() >= MIN_SECRET_CHARS,
        "secret",
        "must have at least 16 characters",
    );
    expect(
        cfg.agrees_on_facts || (1..=4096).contains(&cfg.slot_count),
        "slot_count",
        "must be from 1 to 4096",
    );
    expect(
        cfg.entry != cfg.operator || cfg.entry.port() == 0,
        "operator",
        "must differ from entry",
    );
    expect(
        cfg.lookup_ttl_ms > 0,
        "lookup_ttl_ms",
        "must be more than 0",
    );
    expect(
        cfg.confirm_limit_ms >= 1_000,
        "confirm_limit_ms",
        "must be at least 1000",
    );
    let is_share = |value: f64| (0.0..=1.0).contains(&value);
    expect(
        is_share(cfg.bounds.region_shift),
        "bounds.region_shift",
        "must be from 0 to 1",
    );
    expect(
        cfg.bounds.retry_fraction >= 0.0 && cfg.bounds.retry_slack >= 0.0,
        "bounds.retry_fraction",
        "must not be negative",
    );
    expect(
        cfg.bounds.stop_s > 0.0,
        "bounds.stop_s",
        "must be more than 0",
    );
    found
}

fn default_body_limit() -> usize {
    8 * 1024 * 1024
}

fn default_body_timeout() -> u64 {
    10_000
}

fn default_lookup_ttl() -> u64 {
    5_000
}

fn default_confirm_limit() -> u64 {
    4_000
}

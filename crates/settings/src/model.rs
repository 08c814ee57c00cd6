//! The settings of the daemon and their validation.

use std::{collections::BTreeMap, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::{
    document::{Document, Finding, Findings, Parsed, parse, parse_known},
    variables::complete,
};

/// Defines how one instance runs: where it listens, what it belongs to and which bounds it keeps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonSettings {
    /// Name of the instance, unique in the deployment.
    pub instance: String,
    /// Failure domain in which the instance runs.
    pub domain: String,
    /// Region of that failure domain.
    pub region: String,
    /// Address of the listener for callers' requests.
    pub entry: SocketAddr,
    /// Address of the listener for operators and metrics.
    pub operator: SocketAddr,
    /// Address of the listener for other instances, over UDP.
    pub peer: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Whether the instances agree on the secret and the number of slots through the platform, which
    /// replaces `secret` and `slot_count`.
    #[serde(default, rename = "agrees_on_facts")]
    pub shares_parameters: bool,
    /// Shared secret that authenticates messages between instances; at least 16 characters.
    #[serde(default)]
    pub secret: String,
    /// Number of slots into which workspaces' rates are divided: the usual number of instances. Must be
    /// the same on all instances.
    #[serde(default)]
    pub slot_count: u32,
    /// Region of each failure domain, for configurations that do not contain it.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Address of the readiness endpoint for the platform; `None` for no endpoint.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address of a separate listener for callers' look-ups of instances; `None` if look-ups use the
    /// listener for requests.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Limits that the deployment keeps over all instances together.
    #[serde(default)]
    pub bounds: Bounds,
    /// Maximum size of a request's body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
    /// Time within which a request's body must arrive, in milliseconds.
    #[serde(default = "default_body_timeout")]
    pub body_timeout_ms: u64,
    /// Time for which callers may cache the response to a look-up, in milliseconds.
    #[serde(default = "default_lookup_ttl")]
    pub lookup_ttl_ms: u64,
    /// Time after which a configuration that has not been confirmed as the latest counts as possibly
    /// outdated, in milliseconds; no longer than `bounds.contact_s` in any case.
    #[serde(default = "default_confirm_limit")]
    pub confirm_limit_ms: u64,
    /// Memory of the instance, in megabytes; half of it may hold bodies of requests and answers.
    /// `None` for fixed bounds.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Descriptors that the instance may have open, if the platform allows fewer than the system's limit.
    #[serde(default)]
    pub descriptors: Option<u64>,
    /// Policy while the instance reaches neither the platform nor any other instance.
    #[serde(default, rename = "alone")]
    pub isolation: IsolationPolicy,
    /// Evidence that lets the instance take over the slot of another one.
    #[serde(default)]
    pub takeover: TakeoverPolicy,
}

/// Limits that a deployment keeps over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Retry budget: maximum number of retries as a fraction of a service's requests.
    pub retry_fraction: f64,
    /// Number of retries allowed beyond that fraction, in a window of any length.
    pub retry_slack: f64,
    /// Fraction by which a workspace's rate and burst may be exceeded.
    pub rate_overage: f64,
    /// Number of requests by which a workspace's rate may be exceeded beyond that fraction.
    pub rate_slack: f64,
    /// Maximum share of a region's requests that may shift to other regions within two seconds.
    pub region_shift: f64,
    /// Time between the stop signal and the kill of the process by the platform, in seconds.
    pub stop_s: f64,
    /// Time after a disturbance of its connections within which an instance must know all changes
    /// again, in seconds.
    pub contact_s: f64,
    /// Time after its acknowledgement within which a change must be in force on every instance, in seconds.
    pub apply_s: f64,
    /// Time after its acknowledgement within which the departure of a target ends its requests from all instances, in
    /// seconds.
    pub drain_s: f64,
    /// Maximum time for which callers cache the response to a look-up, in seconds; replaces
    /// `lookup_ttl_ms`, within the time to stop.
    pub lookup_ttl_s: Option<f64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            retry_fraction: 0.1,
            retry_slack: 0.0,
            rate_overage: 0.0,
            rate_slack: 0.0,
            region_shift: 0.1,
            stop_s: 60.0,
            contact_s: 6.0,
            apply_s: 2.0,
            drain_s: 2.0,
            lookup_ttl_s: None,
        }
    }
}

/// Policies of an isolated instance, which can't learn of revoked API keys: prompt revocation or
/// availability.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IsolationPolicy {
    /// Refuses requests that need an API key, so that a revoked key stops working.
    #[default]
    Refuse,
    /// Keeps serving with the last configuration.
    Serve,
}

/// Evidence that another instance has ended, so that its slot may be taken over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeoverPolicy {
    /// Its removal from the platform's list, or the expiry of its lease.
    #[default]
    Absence,
    /// Only the expiry of its lease.
    Horizon,
}

/// Returns the settings with which an instance starts.
///
/// Environment variables go before the file: `MEMORY_MB` for `memory_mb`, `DESCRIPTORS` for `descriptors`, `CONTACT_S` for `bounds.contact_s`, `APPLY_S` for `bounds.apply_s` and `DRAIN_S` for `bounds.drain_s`. Unknown fields are passed over,
/// since the platform that fills in the file, or the build for which it was written, may be newer.
///
/// # Examples
///
/// ```
/// use settings::load_daemon_settings;
/// use std::path::Path;
///
/// let text = r#"{
///     "instance": "i1", "domain": "d", "region": "r", "secret": "sixteen characters and more",
///     "entry": "127.0.0.1:0", "operator": "127.0.0.1:0", "peer": "127.0.0.1:0",
///     "platform": "127.0.0.1:1", "slot_count": 2, "colour": "blue"
/// }"#;
/// let variable = |name: &str| (name == "CONTACT_S").then(|| "3".to_owned());
/// let parsed = load_daemon_settings(Path::new("i1.jsonc"), text, variable).unwrap();
/// assert_eq!(parsed.value.bounds.contact_s, 3.0);
/// assert_eq!(parsed.unknown[0].field, "colour");
/// ```
///
/// # Errors
///
/// [`Findings`] with file, line, field and reason of each error.
pub fn load_daemon_settings<F>(
    file: &Path,
    text: &str,
    variable: F,
) -> Result<Parsed<DaemonSettings>, Findings>
where
    F: Fn(&str) -> Option<String>,
{
    let complete = |doc: &Document<'_>, json: &mut _| complete(doc, json, variable);
    parse_known(file, text, complete, validate)
}

/// Parses and validates the settings of one instance; unknown fields are errors.
///
/// # Errors
///
/// [`Findings`] with file, line, field and reason of each error.
pub fn parse_daemon_settings(file: &Path, text: &str) -> Result<DaemonSettings, Findings> {
    parse(file, text, validate)
}

const MIN_SECRET_CHARS: usize = 16;
const MIN_CONTACT_S: f64 = 0.5;
const MIN_APPLY_S: f64 = 0.5;
const MIN_DRAIN_S: f64 = 0.5;
const MIN_MEMORY_MB: u64 = 32;

fn validate(doc: &Document<'_>, cfg: &DaemonSettings) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut require = |is_met: bool, field: &str, reason: &str| {
        if !is_met {
            findings.push(doc.finding(field, reason));
        }
    };
    require(!cfg.instance.is_empty(), "instance", "must not be empty");
    require(!cfg.domain.is_empty(), "domain", "must not be empty");
    require(!cfg.region.is_empty(), "region", "must not be empty");
    require(
        cfg.shares_parameters || cfg.secret.chars().count() >= MIN_SECRET_CHARS,
        "secret",
        "must have at least 16 characters",
    );
    require(
        cfg.shares_parameters || (1..=4096).contains(&cfg.slot_count),
        "slot_count",
        "must be from 1 to 4096",
    );
    require(
        cfg.entry != cfg.operator || cfg.entry.port() == 0,
        "operator",
        "must differ from entry",
    );
    require(
        cfg.lookup_ttl_ms > 0,
        "lookup_ttl_ms",
        "must be more than 0",
    );
    require(
        cfg.confirm_limit_ms >= 1_000,
        "confirm_limit_ms",
        "must be at least 1000",
    );
    require(
        cfg.memory_mb
            .is_none_or(|megabytes| megabytes >= MIN_MEMORY_MB),
        "memory_mb",
        "must be at least 32",
    );
    let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
    require(
        is_fraction(cfg.bounds.region_shift),
        "bounds.region_shift",
        "must be from 0 to 1",
    );
    require(
        cfg.bounds.retry_fraction >= 0.0 && cfg.bounds.retry_slack >= 0.0,
        "bounds.retry_fraction",
        "must not be negative",
    );
    require(
        cfg.bounds.lookup_ttl_s.is_none_or(|ttl| ttl > 0.0),
        "bounds.lookup_ttl_s",
        "must be more than 0",
    );
    require(
        cfg.bounds.stop_s > 0.0,
        "bounds.stop_s",
        "must be more than 0",
    );
    require(
        cfg.bounds.contact_s >= MIN_CONTACT_S,
        "bounds.contact_s",
        "must be at least 0.5",
    );
    require(
        cfg.bounds.apply_s >= MIN_APPLY_S,
        "bounds.apply_s",
        "must be at least 0.5",
    );
    require(
        cfg.bounds.drain_s >= MIN_DRAIN_S,
        "bounds.drain_s",
        "must be at least 0.5",
    );
    findings
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

//! The daemon's settings.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::{Document, Finding, Findings, read};

/// Holds the settings of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Daemon {
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
    /// Secret that authenticates messages between instances; at least 16 characters.
    pub secret: String,
    /// Number of slots that workspaces' rates are divided into, the same on all instances: the usual
    /// number of instances.
    pub slot_count: u32,
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
    pub alone: Alone,
    /// What lets an instance take over the shares of another one.
    #[serde(default)]
    pub takeover: Takeover,
}

/// Chooses between availability and prompt withdrawal for an instance that is cut off from all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alone {
    /// Refuses requests that need a key, so that a withdrawn key stops.
    #[default]
    Refuse,
    /// Goes on with the last configuration.
    Serve,
}

/// Chooses what proves that another instance has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Takeover {
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
pub fn check_daemon(file: &Path, text: &str) -> Result<Daemon, Findings> {
    read(file, text, findings)
}

const MIN_SECRET_CHARS: usize = 16;

fn findings(doc: &Document<'_>, cfg: &Daemon) -> Vec<Finding> {
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
        cfg.secret.chars().count() >= MIN_SECRET_CHARS,
        "secret",
        "must have at least 16 characters",
    );
    expect(
        (1..=4096).contains(&cfg.slot_count),
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

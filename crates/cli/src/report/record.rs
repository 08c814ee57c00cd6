//! The log lines that the report reads.

use serde::Deserialize;

/// Reads of a request's log line what the report counts.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct RequestRecord {
    /// Time since the start of the process, or of an earlier one that it is drawn after.
    pub(super) at_ms: u64,
    /// When that process started, in milliseconds since 1970, if its lines contain it.
    #[serde(skip)]
    pub(super) started_at_ms: Option<u64>,
    #[serde(default)]
    pub(super) instance: String,
    #[serde(default)]
    pub(super) region: String,
    pub(super) route: String,
    pub(super) service: String,
    #[serde(default)]
    pub(super) objective_ms: u64,
    pub(super) attempts: Vec<AttemptRecord>,
    pub(super) end: String,
    pub(super) took_ms: u64,
}

/// Reads of an attempt what the report counts.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct AttemptRecord {
    #[serde(default)]
    pub(super) region: String,
    pub(super) reason: String,
    pub(super) start_ms: u64,
    pub(super) took_ms: u64,
    #[serde(default)]
    pub(super) connect_ms: Option<u64>,
    pub(super) end: String,
}

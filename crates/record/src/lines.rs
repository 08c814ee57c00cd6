//! The lines that tell of requests: a closed list with typed fields.

use serde::Serialize;

/// Tells the whole story of one request on one instance; written when it has ended.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RequestLine<'a> {
    /// Always `request`.
    pub event: &'static str,
    /// Milliseconds since the process started.
    pub at_ms: u64,
    /// Name of the caller's attempt, or of the trace.
    pub id: &'a str,
    /// Instance that took it.
    pub instance: &'a str,
    /// Route that was found.
    pub route: &'a str,
    /// Service that was chosen.
    pub service: &'a str,
    /// Workspace whose key came with it.
    pub workspace: &'a str,
    /// Revision of the configuration that decided.
    pub revision: u64,
    /// Digest of the object that it is about, where its route keeps objects together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub object: Option<u64>,
    /// Milliseconds that the caller was ready to wait.
    pub deadline_ms: u64,
    /// Attempts, in order.
    pub attempts: &'a [AttemptLine],
    /// `ok`, or the kind of error.
    pub end: &'a str,
    /// Status that the caller got; zero where the caller left.
    pub status: u16,
    /// Milliseconds from its arrival to its end.
    pub took_ms: u64,
    /// Milliseconds after which its caller was told to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Tells of one attempt.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AttemptLine {
    /// Target.
    pub target: String,
    /// Why it was chosen.
    pub reason: String,
    /// Requests that it was thought to run and to queue.
    pub load: u32,
    /// Milliseconds from the request's arrival to the attempt's start.
    pub start_ms: u64,
    /// Milliseconds that it took; zero where it had not ended.
    pub took_ms: u64,
    /// Whether a new connection was opened.
    pub is_new: bool,
    /// How it ended: `answered`, `refused`, `unreachable`, `lost`, `timed_out`, `canceled`, or
    /// `open` where the request ended first.
    pub end: &'static str,
    /// Load that the target told afterwards.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_load: Option<u32>,
}

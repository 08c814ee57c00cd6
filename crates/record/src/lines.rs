//! Log lines about requests, with typed fields.

use serde::Serialize;

/// Describes one request on one instance; written to the log when the request ends.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RequestLine<'a> {
    /// Always `request`.
    pub event: &'static str,
    /// Milliseconds since the process started.
    pub at_ms: u64,
    /// ID of the caller's attempt, or of the request's trace where callers send no attempt IDs; empty if
    /// there is none.
    pub id: &'a str,
    /// Instance that received the request.
    pub instance: &'a str,
    /// Region of that instance.
    pub region: &'a str,
    /// Route that the request matched.
    pub route: &'a str,
    /// Service that the request was routed to.
    pub service: &'a str,
    /// Workspace that the API key belongs to.
    pub workspace: &'a str,
    /// Revision of the configuration used.
    pub revision: u64,
    /// Operators' version of that configuration; omitted if it wasn't known by then.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Time from the last confirmation that it was the latest one to the request's arrival, in
    /// milliseconds; omitted if it never was confirmed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_age_ms: Option<u64>,
    /// The same for routes and keys alone, without targets: what the operators change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rows_age_ms: Option<u64>,
    /// What confirmed these, `platform` for an own read or an instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confirmed_by: Option<&'a str>,
    /// Era of the platform's history to which they belong; omitted if it has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub era: Option<u32>,
    /// Milliseconds from the request's arrival for which they may lack changes that the platform has lost, unless these are
    /// written again before; omitted if none are known to be lacking.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unwritten_ms: Option<u64>,
    /// Regions in which the request might run by that revision, separated by commas, or `none`; omitted
    /// if all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub homes: Option<String>,
    /// Digest of the affinity key; omitted if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub object: Option<u64>,
    /// Milliseconds for which the request had waited for the process before it was read, at most; omitted if zero.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// Timeout of the request in milliseconds.
    pub deadline_ms: u64,
    /// Time from the request's arrival within which its answer counts as in time, in milliseconds.
    pub objective_ms: u64,
    /// Attempts in order of their start.
    pub attempts: &'a [AttemptLine],
    /// Targets that had no room for a request refused as `overloaded`, as they were then; omitted if
    /// there is none.
    #[serde(skip_serializing_if = "<[CandidateLine]>::is_empty")]
    pub candidates: &'a [CandidateLine],
    /// `ok`, `caller_left`, or the kind of error.
    pub end: &'a str,
    /// HTTP status returned to the caller; zero if the caller disconnected.
    pub status: u16,
    /// Milliseconds from the request's arrival to its end.
    pub took_ms: u64,
    /// Delay in milliseconds after which the caller may retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Describes a target that had no room for a refused request, within a [`RequestLine`].
#[derive(Debug, Clone, Default, Serialize)]
pub struct CandidateLine {
    /// Target that the request competed for.
    pub target: String,
    /// Requests of this instance that were in flight on it.
    pub in_flight: u32,
    /// Number of these that this instance allowed itself.
    pub limit: u32,
    /// Estimate of the target's running and queued requests.
    pub load: u32,
    /// Milliseconds that the request would have waited in the target's queue.
    pub wait_ms: u64,
}

/// Describes one attempt within a [`RequestLine`].
#[derive(Debug, Clone, Default, Serialize)]
pub struct AttemptLine {
    /// Target that the attempt was sent to.
    pub target: String,
    /// Region of that target.
    pub region: String,
    /// Revision of the configuration by which the attempt was sent, if it is another one than the
    /// request's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Regions in which the request might run by then, as in [`RequestLine::homes`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub homes: Option<String>,
    /// Reason for the choice of target.
    pub reason: String,
    /// Estimate of the target's running and queued requests.
    pub load: u32,
    /// Milliseconds from the request's arrival to the attempt's start.
    pub start_ms: u64,
    /// Milliseconds from the request's arrival to the moment at which it was given to an open connection;
    /// omitted if it never was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sent_ms: Option<u64>,
    /// Revision of the configuration in force at that moment, if it is another one than that by which
    /// the attempt was planned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sent_revision: Option<u64>,
    /// Duration of the attempt in milliseconds; zero if it had not ended.
    pub took_ms: u64,
    /// Whether the attempt opened a new connection.
    pub is_new: bool,
    /// Instance that carried the connection to the target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub relay: Option<String>,
    /// Why no connection could be opened: `refused`, `timed_out` or `failed`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connect_error: Option<String>,
    /// Milliseconds that opening the connection took.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connect_ms: Option<u64>,
    /// Result: `answered`, `refused`, `unreachable`, `lost`, `invalid`, `timed_out`, `expired`,
    /// `canceled`, `withheld`, or `open` if the request ended first.
    pub end: &'static str,
    /// Running and queued requests that the target reported in its response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_load: Option<u32>,
    /// Requests per second that the target takes from all instances, as it reported in its response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_limit: Option<f64>,
    /// Time for which the target wants nothing more from this instance, as it reported in its response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_rest_ms: Option<u64>,
}

//! The closed list of error kinds and the table that maps each kind to its response.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Indicates whether the action of a refused or failed request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The action was executed.
    #[display("yes")]
    Yes,
    /// The action was not executed and will not be.
    #[display("no")]
    No,
    /// The action may have been executed.
    #[display("unknown")]
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $executed:ident, $retry:literal, $message:literal;)+) => {
        /// Lists every reason for which a caller's request is refused or fails.
        ///
        /// # Examples
        ///
        /// ```
        /// use base::{ErrorKind, Executed};
        ///
        /// assert_eq!(ErrorKind::RateLimited.response().status, 429);
        /// assert_eq!(ErrorKind::RateLimited.response().executed, Executed::No);
        /// ```
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        #[non_exhaustive]
        pub enum ErrorKind {
            $($(#[$doc])* #[display($name)] $kind,)+
        }

        /// Maps each kind to the response that callers get, in the order of [`ErrorKind`].
        pub const ERROR_RESPONSES: &[ErrorResponse] = &[
            $(ErrorResponse {
                kind: ErrorKind::$kind,
                status: $status,
                executed: Executed::$executed,
                is_retryable: $retry,
                message: $message,
            },)+
        ];
    };
}

kinds! {
    /// The request carries no API key and its route needs one.
    MissingKey = "missing_key", 401, No, false, "the route needs a key";
    /// The API key was never issued or has been revoked.
    UnknownKey = "unknown_key", 401, No, false, "the key is not valid";
    /// No route and no service matches the request.
    UnknownService = "unknown_service", 404, No, false, "no such service";
    /// The request can't be parsed: its head, API key or idempotency key is malformed.
    BadRequest = "bad_request", 400, No, false, "the request is malformed";
    /// The request's head exceeds its size limit.
    HeadTooLarge = "head_too_large", 431, No, false, "the request head is too large";
    /// The request's body exceeds its size limit.
    BodyTooLarge = "body_too_large", 413, No, false, "the request body is too large";
    /// The request's body did not arrive within its timeout.
    SlowSender = "slow_sender", 408, No, true, "the request body did not arrive in time";
    /// The workspace has used up its rate and burst.
    RateLimited = "rate_limited", 429, No, true, "the workspace is over its rate";
    /// The predicted queueing time exceeds the request's deadline.
    Overloaded = "overloaded", 503, No, true, "the wait would pass the deadline";
    /// No target of the service can take requests.
    NoTarget = "no_target", 503, No, true, "no target can take the request";
    /// The deadline passed before the request was sent to a target.
    Expired = "expired", 504, No, true, "the deadline passed before the request was sent";
    /// The target refused the request without executing it.
    TargetRefused = "target_refused", 503, No, true, "the target refused the request";
    /// The target did not respond before the deadline.
    TargetTimeout = "target_timeout", 504, Unknown, false, "the target did not answer in time";
    /// The connection to the target was lost after the request was sent.
    TargetLost = "target_lost", 502, Unknown, false, "the connection to the target was lost";
    /// A request with the same idempotency key is still running.
    InProgress = "in_progress", 409, Unknown, true, "the same idempotency key is in progress";
    /// The response to the first request with this idempotency key is not known.
    OutcomeUnknown = "outcome_unknown", 409, Unknown, false, "the first outcome is not known";
    /// The idempotency key was used before with a different request.
    KeyReused = "key_reused", 422, No, false, "the idempotency key belongs to another request";
    /// The uniqueness of the idempotency key can't be checked at the moment.
    ClaimUnavailable = "claim_unavailable", 503, No, true, "the action can't be claimed now";
    /// The request is quarantined because several targets lost their connections while running it.
    Quarantined = "quarantined", 422, No, true, "the request has failed targets before";
    /// The instance has not loaded a configuration yet.
    NotReady = "not_ready", 503, No, true, "the instance has no configuration yet";
    /// The instance can't know whether the API key or the route is valid: it is isolated, or its
    /// configuration may be outdated.
    Isolated = "isolated", 503, No, true, "the instance is cut off; use another one";
    /// The instance is shutting down and might stop before the request is complete.
    Leaving = "leaving", 503, No, true, "the instance is about to stop; use another one";
    /// An internal error, possibly after the request was sent.
    Internal = "internal", 500, Unknown, false, "internal error";
    /// The instance knows that its configuration isn't the latest, and doesn't have the later one in time.
    Outdated = "outdated", 503, No, true, "the instance lacks the latest configuration; use another one";
}

/// Describes the response to a request that is refused or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Kind of error that the response reports.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request's action was executed.
    pub executed: Executed,
    /// Whether the response carries a `Retry-After` header.
    pub is_retryable: bool,
    /// Human-readable message.
    pub message: &'static str,
}

impl ErrorKind {
    /// Returns the response to this kind of error.
    pub fn response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }
}

/// Refuses a request with an error kind and the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns a refusal with a retry delay of one second.
    pub fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: Duration::from_secs(1),
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = delay;
        self
    }

    /// Returns the retry delay in whole seconds, rounded up, at least one.
    pub fn retry_after_secs(&self) -> u64 {
        let secs = self.retry_after.as_secs() + u64::from(self.retry_after.subsec_nanos() > 0);
        secs.max(1)
    }
}

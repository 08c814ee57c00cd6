//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Tells whether a refused or failed request's action was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The action was carried out.
    #[display("yes")]
    Yes,
    /// The action was not carried out and will not be.
    #[display("no")]
    No,
    /// The action may have been carried out.
    #[display("unknown")]
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $executed:ident, $retry:literal, $message:literal;)+) => {
        /// Lists every way in which a caller's request is refused or fails.
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

        /// Maps each kind to what its caller is told, in the order of [`ErrorKind`].
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
    /// `GET /logbook/1` came without a key on a route that needs one.
    MissingKey = "missing_key", 401, No, false, "the route needs a key";
    /// The key was never issued, or has been withdrawn.
    UnknownKey = "unknown_key", 401, No, false, "the key is not valid";
    /// The first path segment names no service.
    UnknownService = "unknown_service", 404, No, false, "no such service";
    /// The request can't be read: a malformed head, key or idempotency key.
    BadRequest = "bad_request", 400, No, false, "the request is malformed";
    /// The request's head is over the limit.
    HeadTooLarge = "head_too_large", 431, No, false, "the request head is too large";
    /// The request's body is over the limit.
    BodyTooLarge = "body_too_large", 413, No, false, "the request body is too large";
    /// The request's body did not arrive in time.
    SlowSender = "slow_sender", 408, No, true, "the request body did not arrive in time";
    /// The workspace has used up its rate and burst.
    RateLimited = "rate_limited", 429, No, true, "the workspace is over its rate";
    /// The predicted wait for a target passes the request's deadline.
    Overloaded = "overloaded", 503, No, true, "the wait would pass the deadline";
    /// No target of the service can take work.
    NoTarget = "no_target", 503, No, true, "no target can take the request";
    /// The deadline passed before the request was sent to a target.
    Expired = "expired", 504, No, true, "the deadline passed before the request was sent";
    /// The target refused the request without running it.
    TargetRefused = "target_refused", 503, No, true, "the target refused the request";
    /// The target did not answer within the deadline.
    TargetTimeout = "target_timeout", 504, Unknown, false, "the target did not answer in time";
    /// The connection to the target was lost after the request had been sent.
    TargetLost = "target_lost", 502, Unknown, false, "the connection to the target was lost";
    /// A request with the same idempotency key is still running.
    InProgress = "in_progress", 409, Unknown, true, "the same idempotency key is in progress";
    /// The first answer to this idempotency key can't be told.
    OutcomeUnknown = "outcome_unknown", 409, Unknown, false, "the first outcome is not known";
    /// The idempotency key came before with another request.
    KeyReused = "key_reused", 422, No, false, "the idempotency key belongs to another request";
    /// The uniqueness of an idempotency key can't be checked now.
    ClaimUnavailable = "claim_unavailable", 503, No, true, "the action can't be claimed now";
    /// The request has ended the connections of several targets.
    Quarantined = "quarantined", 422, No, true, "the request has failed targets before";
    /// The instance has not yet read a configuration.
    NotReady = "not_ready", 503, No, true, "the instance has no configuration yet";
    /// The instance is cut off and can't tell whether keys are still in force.
    Isolated = "isolated", 503, No, true, "the instance is cut off; use another one";
    /// The instance is about to stop and could not see the request through.
    Leaving = "leaving", 503, No, true, "the instance is about to stop; use another one";
    /// An internal fault that may have come after the request was sent.
    Internal = "internal", 500, Unknown, false, "internal error";
}

/// Gives what a caller is told about one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Kind that this row belongs to.
    pub kind: ErrorKind,
    /// HTTP status.
    pub status: u16,
    /// Whether the action was carried out.
    pub executed: Executed,
    /// Whether the answer carries a `Retry-After` header.
    pub is_retryable: bool,
    /// Sentence for people.
    pub message: &'static str,
}

impl ErrorKind {
    /// Returns the table row of this kind.
    pub fn response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }
}

/// States that a request has been given up on, and when its caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was given up on.
    pub kind: ErrorKind,
    /// Time after which a new attempt is worthwhile.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns a refusal with a retry time of one second.
    pub fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: Duration::from_secs(1),
        }
    }

    /// Sets the time after which a new attempt is worthwhile.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = wait;
        self
    }

    /// Returns the retry time in whole seconds, rounded up, at least one.
    pub fn retry_after_secs(&self) -> u64 {
        let secs = self.retry_after.as_secs() + u64::from(self.retry_after.subsec_nanos() > 0);
        secs.max(1)
    }
}

//! HTTP conventions between callers, instances and targets: header names and status codes.

use base::ErrorKind;
use http::{HeaderName, HeaderValue};

/// Specifies where in a request the caller's API key is expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyLocation {
    /// `Authorization: Bearer`, `x-api-key` or a query parameter.
    Standard,
    /// A header whose value is the key.
    Header(HeaderName),
}

/// Defines header names and other HTTP conventions towards callers and targets.
///
/// # Examples
///
/// ```
/// use entry::dialect::Dialect;
/// use http::HeaderName;
///
/// let dialect = Dialect::default().attempt_id(HeaderName::from_static("request-id"));
/// assert!(dialect.attempt_id.is_some());
/// ```
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Place of the caller's API key.
    pub key: KeyLocation,
    /// Request header with the caller's timeout, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Header in which a target receives the time left until the deadline, in milliseconds.
    pub remaining_ms: HeaderName,
    /// Header in which a target receives the request's workspace.
    pub workspace: HeaderName,
    /// Response header by which a target states that it did not run a request. With a value, the
    /// header must have that value and the status must be 429 or 503; without one, the header's
    /// presence is enough.
    pub not_run: (HeaderName, Option<HeaderValue>),
    /// Statuses that state the same without the header.
    pub not_run_statuses: Vec<u16>,
    /// Header that identifies an attempt of a caller and that targets repeat in their responses.
    pub attempt_id: Option<HeaderName>,
    /// Header with the ID of the target that a request is sent to.
    pub target: Option<HeaderName>,
    /// Response header with a target's load: running requests, queued requests and slots,
    /// separated by commas.
    pub load: Option<HeaderName>,
    /// Response header with the rate, in requests per second, that a target takes from all
    /// instances together.
    pub rate_limit: Option<HeaderName>,
    /// Response header, with the value 1, by which a target reports that it is leaving.
    pub leaving: Option<HeaderName>,
    /// Response header in which a target that refuses a request with status 503 says for how many
    /// seconds it wants nothing more from this instance.
    pub rest: Option<HeaderName>,
    /// Response header without which a successful status is not trusted.
    pub required_on_success: Option<HeaderName>,
    /// Cookie with the affinity key: requests with equal values prefer the same target.
    pub affinity_cookie: Option<String>,
    /// Whether the caller's `Host` header is forwarded to the target.
    pub preserves_host: bool,
    /// Whether trace contexts are passed on to targets and trace IDs returned to callers.
    pub propagates_traces: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub has_fractional_retry_after: bool,
    /// Statuses that replace those of the error table.
    pub status_overrides: Vec<(ErrorKind, u16)>,
}

impl Default for Dialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            key: KeyLocation::Standard,
            timeout_ms: name("request-timeout-ms"),
            remaining_ms: name("request-deadline-ms"),
            workspace: name("request-workspace"),
            not_run: (name("request-ran"), Some(HeaderValue::from_static("no"))),
            not_run_statuses: Vec::new(),
            attempt_id: None,
            target: None,
            load: None,
            rate_limit: Some(name("target-rate-limit")),
            leaving: Some(name("target-leaving")),
            rest: Some(http::header::RETRY_AFTER),
            required_on_success: None,
            affinity_cookie: None,
            preserves_host: false,
            propagates_traces: true,
            has_fractional_retry_after: false,
            status_overrides: Vec::new(),
        }
    }
}

impl Dialect {
    /// Sets the header that identifies a caller's attempt.
    pub fn attempt_id(mut self, name: HeaderName) -> Self {
        self.attempt_id = Some(name);
        self
    }

    /// Returns the HTTP status of refusals with this kind of error.
    pub fn status(&self, kind: ErrorKind) -> u16 {
        let overridden = self
            .status_overrides
            .iter()
            .find(|(found, _)| *found == kind);
        overridden.map_or(kind.response().status, |(_, status)| *status)
    }

    /// Returns whether the instance sets or consumes a header, so that the caller's is not
    /// forwarded.
    pub fn is_replaced(&self, name: &HeaderName) -> bool {
        *name == self.timeout_ms
            || *name == self.remaining_ms
            || *name == self.workspace
            || self.target.as_ref() == Some(name)
            || matches!(&self.key, KeyLocation::Header(key) if key == name)
    }
}
